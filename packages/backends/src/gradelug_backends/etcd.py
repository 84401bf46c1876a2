"""The platform's key-value service over etcd's published JSON interface (version 3)."""

from __future__ import annotations

import base64
import json
import math
import typing as t

import aiohttp
from gradelug_coordination import (
    KvEntry,
    KvEvent,
    KvListing,
    KvSwap,
    KvThrottled,
    KvUnavailable,
    WatchCompacted,
)

CALL_LIMIT_S = 2.0
WATCH_READ_LIMIT_S = 30.0
"""A watch that says nothing for this long, not even a progress notice, is opened anew."""
MAX_LINE_BYTES = 4_000_000
_THROTTLED = 429


class EtcdKeyValue:
    """Implements `gradelug_coordination.KeyValue`.

    Parameters
    ----------
    session : aiohttp.ClientSession
        For the calls; closed by its owner.
    address : str
        ``http://IP:port`` of the service.
    """

    __slots__ = ("_address", "_session", "calls")

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        self._session = session
        self._address = address
        self.calls = 0
        """Calls made, each waiting watch counted once."""

    async def get(self, key: str) -> KvEntry | None:
        """Return the entry, or None."""
        data = await self._call("/v3/kv/range", {"key": _encode(key)})
        entries = [_read_entry(item) for item in data.get("kvs", [])]
        return entries[0] if entries else None

    async def list(self, prefix: str) -> KvListing:
        """Return all entries below a prefix."""
        data = await self._call("/v3/kv/range", _range(prefix))
        entries = tuple(_read_entry(item) for item in data.get("kvs", []))
        return KvListing(entries, _revision(data))

    async def swap(self, key: str, value: bytes, expected: int, lease: int = 0) -> KvSwap:
        """Write if the key's revision is `expected`."""
        put = {"key": _encode(key), "value": base64.b64encode(value).decode()}
        if lease:
            put["lease"] = str(lease)
        data = await self._call("/v3/kv/txn", _txn(key, expected, {"requestPut": put}))
        if not data.get("succeeded"):
            return KvSwap(False)
        return KvSwap(True, _revision(data))

    async def delete(self, key: str, expected: int) -> bool:
        """Delete if the key's revision is `expected`."""
        operation = {"requestDeleteRange": {"key": _encode(key)}}
        data = await self._call("/v3/kv/txn", _txn(key, expected, operation))
        return bool(data.get("succeeded"))

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease; the service counts whole seconds."""
        data = await self._call("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s))})
        return int(data["ID"])

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has lapsed."""
        data = await self._call("/v3/lease/keepalive", {"ID": str(lease)})
        return int(data.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._call("/v3/lease/revoke", {"ID": str(lease)})

    async def watch(
        self, prefix: str, after: int, wait_s: t.Callable[[], float] | None = None
    ) -> t.AsyncIterator[tuple[KvEvent, ...]]:
        """Yield the changes below a prefix made after a revision."""
        self.calls += 1
        body = {"create_request": {**_range(prefix), "start_revision": str(after + 1)}}
        limits = aiohttp.ClientTimeout(
            total=None, sock_connect=CALL_LIMIT_S, sock_read=WATCH_READ_LIMIT_S
        )
        url = f"{self._address}/v3/watch"
        try:
            async with self._session.post(
                url, json=body, timeout=limits, read_bufsize=MAX_LINE_BYTES
            ) as res:
                _raise_for_status(res)
                async for line in res.content:
                    events = _read_events(json.loads(line))
                    if events:
                        yield events
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise KvUnavailable(f"watch: {exc!r}") from exc
        raise KvUnavailable("watch: the service closed it")

    async def _call(self, path: str, body: dict[str, t.Any]) -> dict[str, t.Any]:
        self.calls += 1
        limits = aiohttp.ClientTimeout(total=CALL_LIMIT_S)
        try:
            async with self._session.post(self._address + path, json=body, timeout=limits) as res:
                _raise_for_status(res)
                data = await res.json(content_type=None)
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise KvUnavailable(f"{path}: {exc!r}") from exc
        if not isinstance(data, dict):
            # The body may be empty: one without a length ends with its connection.
            raise KvUnavailable(f"{path}: the response is not a JSON object")
        return data


def _raise_for_status(res: aiohttp.ClientResponse) -> None:
    if res.status == _THROTTLED:
        raise KvThrottled(float(res.headers.get("Retry-After", "0.1")))
    if res.status != 200:
        raise KvUnavailable(f"status {res.status}")


def _encode(text: str) -> str:
    return base64.b64encode(text.encode()).decode()


def _range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": _encode(prefix), "range_end": _encode(end)}


def _txn(key: str, expected: int, operation: dict[str, t.Any]) -> dict[str, t.Any]:
    compare = {
        "key": _encode(key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(expected),
    }
    return {"compare": [compare], "success": [operation], "failure": []}


def _revision(data: dict[str, t.Any]) -> int:
    return int(data["header"]["revision"])


def _read_entry(item: dict[str, t.Any]) -> KvEntry:
    return KvEntry(
        base64.b64decode(item["key"]).decode(),
        base64.b64decode(item.get("value", "")),
        int(item["mod_revision"]),
        int(item.get("lease", 0)),
    )


def _read_events(data: dict[str, t.Any]) -> tuple[KvEvent, ...]:
    result = data.get("result", {})
    if int(result.get("compact_revision", 0)):
        raise WatchCompacted(f"compacted at {result['compact_revision']}")
    if result.get("canceled"):
        raise KvUnavailable("watch cancelled by the service")
    events = []
    for item in result.get("events", []):
        entry = _read_entry(item["kv"])
        deleted = item.get("type") == "DELETE"
        events.append(KvEvent(entry.key, None if deleted else entry, entry.revision))
    return tuple(events)
