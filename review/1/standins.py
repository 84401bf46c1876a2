"""Stand-ins of the platform's store and of replicas, by PROTOCOL.md; standard library only."""

import asyncio
import base64
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
now = time.monotonic


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path = urlsplit(target).path
        self.query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    line, *rows = head.decode("latin-1").split("\r\n")
    method, target, _ = line.split(" ", 2)
    headers = {}
    for row in rows:
        name, colon, value = row.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def answer(status, body=b"", headers=()):
    rows = [f"HTTP/1.1 {status} X", *(f"{n}: {v}" for n, v in headers), f"Content-Length: {len(body)}"]
    return ("\r\n".join(rows) + "\r\n\r\n").encode() + body


class Server:
    """Serves one request at a time on each connection."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                await self.handle(req, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.close()


class Store:
    """The platform's store: revisions, conditions, leases and watches."""

    def __init__(self):
        self.items = {}
        self.events = []
        self.revision = 1
        self.leases = {}
        self.lease_number = 100
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["CreateRevision"] if key in self.items else self.revision
        self.items[key] = {
            "TlsKey": key, "Value": base64.b64encode(value).decode(), "Revision": self.revision,
            "CreateRevision": created, "Lease": lease,
        }
        self._note(self.items[key])

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._note({"TlsKey": key, "Revision": self.revision, "Deleted": True})

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def newest(self, model, adapter=""):
        """Return the newest version that the operator has named for some weights."""
        item = self.items.get(f"op/version/{model}.{adapter}" if adapter else f"op/version/{model}")
        return json.loads(base64.b64decode(item["Value"]))["Version"] if item else 1

    def expire(self):
        for lease, (_, until) in list(self.leases.items()):
            if until < now():
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    async def handle(self, req, reader, writer):
        await asyncio.sleep(0.004)
        self.expire()
        status, body = await self.call(req, req.path.removeprefix("/gradelug/"))
        writer.write(answer(status, json.dumps(body).encode(), [("Content-Type", "application/json")]))

    async def call(self, req, call):
        data = json.loads(req.body) if req.body else {}
        if call == "kv-key":
            item = self.items.get(req.query["TlsKey"])
            return (200, {**item, "StoreRevision": self.revision}) if item else (404, {"StoreRevision": self.revision})
        if call == "kv-range":
            prefix, after = req.query.get("PathPrefix", ""), req.query.get("after", "")
            found = [self.items[key] for key in sorted(self.items) if key.startswith(prefix) and key > after]
            return 200, {"items": found[:500], "HasMore": len(found) > 500, "StoreRevision": self.revision}
        if call == "kv-watch":
            prefix, after = req.query.get("PathPrefix", ""), int(req.query["after"])
            until = now() + int(req.query["WaitMs"]) / 1000
            while True:
                changed = self.changed
                events = [e for e in self.events if e["Revision"] > after and e["TlsKey"].startswith(prefix)]
                if events or now() >= until:
                    return 200, {"events": events, "StoreRevision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), max(0.001, until - now()))
                except TimeoutError:
                    pass
                self.expire()
        if call == "kv-txn":
            wrong = [
                row["TlsKey"] for row in data.get("Expected", ())
                if self.items.get(row["TlsKey"], {"Revision": 0})["Revision"] != row["Revision"]
            ]
            if wrong:
                items = [self.items[r["TlsKey"]] for r in data["Expected"] if r["TlsKey"] in self.items]
                return 412, {"items": items}
            if any(row.get("Lease") and row["Lease"] not in self.leases for row in data.get("SetKeys", ())):
                return 404, {}
            for row in data.get("SetKeys", ()):
                self.put(row["TlsKey"], base64.b64decode(row["Value"]), row.get("Lease", 0))
            for key in data.get("Remove", ()):
                self.remove(key)
            return 200, {"Revision": self.revision}
        if call == "kv-lease":
            self.lease_number += 1
            ttl_s = max(1000, data["TtlMs"]) / 1000
            self.leases[self.lease_number] = (ttl_s, now() + ttl_s)
            return 200, {"Lease": self.lease_number, "TtlMs": round(ttl_s * 1000)}
        lease = int(req.path.rsplit("/", 1)[1])
        if call.startswith("kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, now() + ttl_s)
            return 200, {"TtlMs": round(ttl_s * 1000)}
        if call.startswith("kv-lease-end/"):
            self.end_lease(lease)
            return 200, {}
        return 400, {}


LOAD_S = 0.25
REPORT_LAG_S = 0.2
EVENTS, EVENT_S, FIRST_S = 13, 0.02, 0.08
WORK_S, PLAIN_SLOTS = 0.09, 6


class Replica:
    """One start of a replica: a model server, or a server of the plain service if it has no model."""

    def __init__(self, name, service, store, record, trouble, model="", slots=9):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.trouble, self.model, self.slots = trouble, model, slots
        self.state, self.seq, self.beats = "ready", 0, 0
        self.version = 1
        self.held, self.pending, self.users = {}, {}, {}
        self.has_model = bool(model)
        self.busy_until = 0.0
        self.history = []
        self.server = Server(self.handle)
        self.rng = random.Random(name)
        self.tasks = set()
        self.places = asyncio.Semaphore(PLAIN_SLOTS)

    async def start(self):
        await self.server.start()
        self.note()
        self.enter()

    def spawn(self, coro):
        task = asyncio.ensure_future(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def models(self):
        if not self.has_model:
            return []
        adapters = [f"{name}@{version}" for name, version in sorted(self.held.items())]
        return [{"Name": self.model, "Version": self.version, "Adapters": adapters}]

    def enter(self):
        data = {
            "Backend": self.service, "Address": f"{HOST}:{self.server.port}", "Zone": "ams-a", "Version": "v1",
            "Slots": 64 if self.model else 6, "State": self.state, "ColdLeftMs": 0, "Stage": "combined",
            "Models": self.models(), "Seq": self.seq,
        }
        self.store.put(f"servers/{self.name}", json.dumps(data).encode())

    def note(self):
        report = {
            "Stage": "combined", "Models": self.models(), "Busy": now() < self.busy_until, "Seq": self.seq,
            "Queued": 0, "Active": sum(self.users.values()), "KvUsed": 0, "KvTotal": 250763, "Handles": 0,
            "Pending": [f"{self.model}/{name}@{version}" for name, version in self.pending.items()],
        }
        self.history.append((now(), report))

    async def leave(self, drain_s=2.0):
        """Say `draining`, serve on for `DrainMs` and a little longer, and end."""
        self.state = "draining"
        self.enter()
        self.record(f"replica {self.name} says draining")
        await asyncio.sleep(drain_s + 0.8)
        self.store.remove(f"servers/{self.name}")
        self.server.close()
        self.record(f"replica {self.name} has ended")

    async def handle(self, req, reader, writer):
        common = [("X-Gradelug-Instance-Id", self.name)]
        ident = req.headers.get("x-gradelug-request-id", "")
        if ident:
            common.append(("X-Gradelug-Request-Id", ident))
        if req.headers.get("x-gradelug-expect-instance", self.name) != self.name:
            writer.write(answer(421, b"", [*common, ("X-Gradelug-Not-Executed", "1")]))
        elif req.path == "/gradelug/report":
            at = now() - REPORT_LAG_S
            known = [report for since, report in self.history if since <= at] or [self.history[0][1]]
            writer.write(answer(200, json.dumps(known[-1]).encode(), common))
        elif req.path == "/gradelug/order":
            await self.order(json.loads(req.body), writer, common)
        elif self.model:
            await self.stream(req, ident, writer, common)
        else:
            self.record("", ident, self.name)
            async with self.places:
                await asyncio.sleep(WORK_S * self.rng.uniform(0.7, 1.3))
            headers = [*common, ("X-Gradelug-Server-Signature", f"{self.name}.{ident}")]
            writer.write(answer(200, b"x" * 800, headers))

    async def order(self, data, writer, common):
        if "Owner" not in data or "FencingToken" not in data:
            writer.write(answer(400, b"", common))
        elif self.trouble.late_orders and self.rng.random() < self.trouble.share:
            # Left unanswered, and carried out 2 to 12 s later.
            self.record(f"order at {self.name} left unanswered: {json.dumps(data)}")
            self.spawn(self.carry_out_late(data, self.rng.uniform(2, 12)))
            await asyncio.sleep(60)
        else:
            writer.write(answer(self.carry_out(data), b"", common))

    async def carry_out_late(self, data, after_s):
        await asyncio.sleep(after_s)
        self.record(f"order at {self.name} carried out late: {self.carry_out(data)} {json.dumps(data)}")

    def carry_out(self, data):
        if data.get("Expected", self.seq) != self.seq or now() < self.busy_until:
            return 409
        adapter, is_load = data.get("Adapter", ""), data["Operation"] == "model_load"
        status = self.load(adapter, data) if is_load else self.unload(adapter)
        self.note()
        self.enter()
        return status

    def load(self, adapter, data):
        if not adapter:
            newest = self.store.newest(self.model)
            if self.has_model and self.version == newest:
                return 200
            self.seq += 1
            self.busy_until = now() + 1.3
            self.spawn(self.finish_model(newest))
            return 202
        version = data.get("Version") or self.store.newest(self.model, adapter)
        if self.held.get(adapter) == version:
            return 200
        self.seq += 1
        self.pending[adapter] = version
        if len(set(self.pending) | set(self.held)) > self.slots:
            self.record(f"{self.name} was ordered to load more adapters than it has places")
        self.spawn(self.finish_adapter(adapter))
        return 202

    async def finish_model(self, version):
        await asyncio.sleep(1.3)
        self.has_model, self.version = True, version
        self.note()
        self.enter()

    async def finish_adapter(self, adapter):
        await asyncio.sleep(LOAD_S)
        if adapter in self.pending:
            self.held[adapter] = self.pending.pop(adapter)
            self.note()
            self.enter()

    def unload(self, adapter):
        self.seq += 1
        self.pending.pop(adapter, None)
        used = self.users.get(adapter, 0) if adapter else sum(self.users.values())
        if used:
            self.spawn(self.finish_unload(adapter))
            return 202
        self.drop(adapter)
        return 200

    def drop(self, adapter):
        if adapter:
            self.held.pop(adapter, None)
        else:
            self.has_model, self.held = False, {}

    async def finish_unload(self, adapter):
        while self.users.get(adapter, 0) if adapter else sum(self.users.values()):
            await asyncio.sleep(0.01)
        self.drop(adapter)
        self.note()
        self.enter()

    async def stream(self, req, ident, writer, common):
        _, _, adapter = req.headers.get("x-gradelug-model", "").partition("/")
        asked = int(req.headers.get("x-gradelug-expect-version", 0))
        if not self.has_model or adapter not in self.held or asked not in (0, self.held[adapter]):
            writer.write(answer(421, b"", [*common, ("X-Gradelug-Not-Executed", "1")]))
            return
        self.record("", ident, self.name)
        self.users[adapter] = self.users.get(adapter, 0) + 1
        try:
            await asyncio.sleep(FIRST_S)
            headers = [
                *common, ("X-Gradelug-Server-Signature", f"{self.name}.{ident}"),
                ("X-Gradelug-Weight-Versions", self.version),
                ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked"),
            ]
            head = "\r\n".join(["HTTP/1.1 200 X", *(f"{n}: {v}" for n, v in headers)]) + "\r\n\r\n"
            writer.write(head.encode())
            for number in range(int(req.headers.get("last-event-id", 0)) + 1, EVENTS + 1):
                event = b"id: %d\ndata: %b\n\n" % (number, b"x" * 50)
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
            writer.write(b"0\r\n\r\n")
        finally:
            self.users[adapter] -= 1
