"""Fake of the platform's metadata store with its HTTP API, for tests and soak runs."""

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from gradelug_coordination import KvUnavailable, WatchCompacted, era_of, position, revision_of
from gradelug_standins.kv import MemoryKv


def encode_entry(entry):
    value = base64.b64encode(entry.value).decode()
    revision = revision_of(entry.revision)
    return {"TlsKey": entry.key, "Value": value, "Revision": revision, "Lease": entry.lease}


class FakeStore:
    """Serves the HTTP API of the store from an in-memory key-value store."""

    def __init__(self, page=500):
        self.kv = MemoryKv()
        self.page = page
        self.status = None
        self.raw = None
        self.silent = False
        self.era = None
        """Value of the era header in place of the correct one; no header if empty."""
        self.lost_response_count = 0

    async def serve(self, inc):
        if self.silent:
            await asyncio.sleep(60)
        if self.status is not None:
            inc.respond(self.status, [], b"")
            return
        if self.raw is not None:
            inc.respond(200, [], self.raw)
            return
        parts = urlsplit(inc.target.decode())
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        body = json.loads(inc.body) if inc.body else {}
        try:
            status, reply = await self.call(
                inc.method, parts.path.removeprefix("/gradelug/"), query, body
            )
        except KvUnavailable:
            status, reply = 503, {}
        if self.lost_response_count and inc.method == b"POST":
            self.lost_response_count -= 1
            return
        era = era_of(self.kv.revision) if self.era is None else self.era
        headers = [(b"Store-Era", str(era).encode())] if era != "" else []
        inc.respond(status, headers, json.dumps(reply).encode())

    async def call(self, method, call, query, body):
        if call == "kv-key":
            entry = await self.kv.get(query["TlsKey"])
            return (200, encode_entry(entry)) if entry else (404, {})
        if call == "kv-range":
            listing = await self.kv.list(query.get("PathPrefix", ""))
            remaining = [entry for entry in listing.entries if entry.key > query.get("after", "")]
            page = [encode_entry(entry) for entry in remaining[: self.page]]
            more = len(remaining) > self.page
            return 200, {
                "items": page,
                "HasMore": more,
                "StoreRevision": revision_of(listing.revision),
            }
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return await self.transact(body)
        if call == "kv-lease":
            return 200, {"Lease": await self.kv.grant_lease(body["TtlMs"] / 1000)}
        if call.startswith("kv-keep/"):
            kept = await self.kv.renew_lease(int(call.partition("/")[2]))
            return (200 if kept else 404), {}
        if call.startswith("kv-lease-end/"):
            await self.kv.revoke_lease(int(call.partition("/")[2]))
            return 200, {}
        return 400, {}

    async def watch(self, query):
        after, prefix = self.to_position(int(query["after"])), query.get("PathPrefix", "")
        try:
            async with asyncio.timeout(int(query["WaitMs"]) / 1000):
                async for events in self.kv.watch(prefix, after):
                    rows = [
                        (
                            encode_entry(ev.entry)
                            if ev.entry is not None
                            else {
                                "TlsKey": ev.key,
                                "Revision": revision_of(ev.revision),
                                "Deleted": True,
                            }
                        )
                        for ev in events
                    ]
                    return 200, {"events": rows, "StoreRevision": revision_of(events[-1].revision)}
        except TimeoutError:
            return 200, {"events": [], "StoreRevision": revision_of(after)}
        except WatchCompacted:
            return 410, {}

    def to_position(self, revision):
        """Return a revision of the current era as a position; 0 is returned unchanged."""
        return position(era_of(self.kv.revision), revision) if revision else 0

    async def transact(self, body):
        (condition,) = body["Expected"]
        expected = self.to_position(condition["Revision"])
        if body["SetKeys"]:
            (put,) = body["SetKeys"]
            if put.get("Lease", 0) and not self.kv.has_lease(put["Lease"]):
                return 404, {}
            value = base64.b64decode(put["Value"])
            swap = await self.kv.swap(put["TlsKey"], value, expected, put.get("Lease", 0))
            return (
                (200, {"Revision": revision_of(swap.revision)})
                if swap.swapped
                else (412, {"items": []})
            )
        is_deleted = await self.kv.delete(condition["TlsKey"], expected)
        return (
            (200, {"Revision": revision_of(self.kv.revision)})
            if is_deleted
            else (412, {"items": []})
        )
