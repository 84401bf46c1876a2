"""A gateway process that is stopped as planned, while callers use each kind of connection."""

import asyncio
import copy
import itertools
import json
import random
import signal
from dataclasses import dataclass

from fleet_stand_in import GATEWAY_HOST, HOST
from gradelug_http import HttpServer, ServerLimits
from platform_stand_in import FakeStore
from soak_parts import Gateway, free_ports
from soak_settings import CONFIG

REPLICAS = 5
SLOTS = 64
DEADLINE_MS = 3000
LONG_DEADLINE_MS = 6000
"""Longer than the whole grace period."""
LONG_WORK_S = 3.0
TIMEOUT_MS = 8000
EVENTS = 5
READ_TIMEOUT_S = 20.0
START_TIMEOUT_S = 60.0
"""Time limits that only a process which hangs exceeds."""
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""
STREAMS = "rn"
KINDS = "iurn"
"""Kinds of requests: repeatable, at most once, streams that can and that cannot be resumed."""
AHEAD = 3
"""Number of requests that are sent at once."""
FORMS = ("kept", "new", "late", "halves", "ahead")
"""Connections of callers: kept; new for each request; silent for a moment first; used for a request
in two parts; used for several requests at once."""


def stop_config():
    """Return a configuration whose routes all lead to replicas without engines."""
    config = copy.deepcopy(CONFIG)
    common = {"Hostname": "h", "TimeoutMs": TIMEOUT_MS, "TargetLatencyMs": 1000, "Backend": "plain"}
    config["Routes"] = [
        {
            **common,
            "Name": kind,
            "PathPrefix": f"/{kind}/",
            "Kind": "streaming" if kind in STREAMS else "non_idempotent",
            "MaxAttempts": 2,
        }
        for kind in KINDS
    ]
    routes = {route["Name"]: route for route in config["Routes"]}
    routes["i"]["Kind"] = "idempotent"
    routes["r"]["Resumable"] = True
    return config


@dataclass(slots=True)
class Sent:
    """A request as its caller saw it.

    Parameters
    ----------
    ident : str
        Its identifier.
    kind, form : str
        Its kind, and that of its connection.
    work_s : float
        How long its replica works on it, in seconds.
    sent_at : float
        When its last byte was handed to the kernel; infinite before.
    status : int
        Status of the whole answer; 0 without one.
    ended : str
        How its connection ended where there was no whole answer.
    behind : Sent or None
        The request that was sent just before it on the same connection, ahead of its answer.
    """

    ident: str
    kind: str
    form: str
    work_s: float
    sent_at: float = float("inf")
    status: int = 0
    ended: str = ""
    behind: "Sent | None" = None


class StopReplica:
    """A replica that works on a request as long as the request says."""

    def __init__(self, name, kv, clock):
        self.name = name
        self.kv = kv
        self.server = HttpServer(self.serve, ServerLimits, clock)
        self.ran = set()
        """Identifiers of the requests that it began."""

    async def start(self):
        port = await self.server.start(HOST, 0)
        data = {
            "Backend": "plain",
            "Address": f"{HOST}:{port}",
            "Zone": "z",
            "Slots": SLOTS,
            "State": "ready",
        }
        await self.kv.swap(f"servers/{self.name}", json.dumps(data).encode(), 0)

    async def serve(self, inc):
        ident = inc.header(b"x-gradelug-request-id") or b""
        headers = [(b"X-Gradelug-Request-Id", ident)]
        work = inc.header(b"x-work-s")
        if inc.header(b"x-gradelug-expect-instance") != self.name.encode() or work is None:
            inc.respond(421, headers, b"")
            return
        self.ran.add(ident.decode())
        headers.append((b"X-Gradelug-Server-Signature", self.name.encode()))
        if inc.target[1:2].decode() not in STREAMS:
            await asyncio.sleep(float(work))
            inc.respond(200, headers, b"whole")
            return
        inc.begin(200, [*headers, (b"Content-Type", b"text/event-stream")])
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(float(work) / EVENTS)
            await inc.send(b"id: %d\ndata: x\n\n" % number)
        inc.finish()


class StopFleet:
    """A gateway process, its store and replicas, and its callers.

    Parameters
    ----------
    folder : Path
        Folder for settings and logs.
    seed : int
        Seed of the callers.
    callers : int
        Number of callers.
    long_part : float
        Share of the requests whose work is long and whose deadline exceeds the grace period.
    """

    def __init__(self, folder, seed, callers=60, long_part=0.0):
        self.folder = folder
        self.rng = random.Random(seed)
        self.clock = asyncio.get_running_loop().time
        self.long_part = long_part
        self.sent = []
        self.listened_until = float("-inf")
        """Start of the last attempt to connect that succeeded."""
        self.stopped_at = float("inf")
        """When the gateway was told to stop."""
        self._callers = callers
        self._numbers = itertools.count(1)

    async def play(self, before_s):
        """Let callers call, stop the gateway, and wait until it and all callers have ended."""
        store = FakeStore()
        store_server = HttpServer(store.serve, ServerLimits, self.clock)
        port = await store_server.start(HOST, 0)
        await store.kv.swap("op/config", json.dumps(stop_config()).encode(), 0)
        self.replicas = [
            StopReplica(f"p{at}", store.kv, self.clock) for at in range(1, REPLICAS + 1)
        ]
        for replica in self.replicas:
            await replica.start()
        self.gateway = Gateway(0, self.folder, port, free_ports(3), True)
        self.gateway.start()
        try:
            await self._wait_ready()
            calls = [asyncio.create_task(self._call(at)) for at in range(self._callers)]
            await asyncio.sleep(before_s)
            self.gateway.signal(signal.SIGTERM)
            self.stopped_at = self.clock()
            await asyncio.gather(*calls)
            await asyncio.to_thread(self.gateway.process.wait, READ_TIMEOUT_S)
            self.gateway.note_exit()
        finally:
            if self.gateway.is_running:
                self.gateway.process.kill()
                self.gateway.process.wait()
            for server in (store_server, *(replica.server for replica in self.replicas)):
                await server.close()

    async def _wait_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._is_ready():
                await asyncio.sleep(0.05)

    async def _is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(GATEWAY_HOST, self.gateway.ready)
            writer.write(b"GET /gradelug/ready HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def _call(self, number):
        """Send requests until the gateway refuses connections."""
        form = FORMS[number % len(FORMS)]
        rng = random.Random(f"{self.rng.random()}")
        while True:
            began_at = self.clock()
            try:
                reader, writer = await asyncio.open_connection(GATEWAY_HOST, self.gateway.front)
            except ConnectionRefusedError:
                return
            except OSError:
                # Reset by the kernel while the connection was opened.
                continue
            self.listened_until = max(self.listened_until, began_at)
            try:
                await self._use(form, rng, reader, writer)
            finally:
                writer.transport.abort()
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def _use(self, form, rng, reader, writer):
        """Use a connection until it is closed, or for one request."""
        if form == "late":
            await asyncio.sleep(rng.uniform(0.0, 0.1))
        requests = [self._new(form, rng)]
        while form == "ahead" and len(requests) < AHEAD:
            requests.append(self._new(form, rng))
            requests[-1].behind = requests[-2]
        while await self._exchange(form, rng, reader, writer, requests) and form == "kept":
            await asyncio.sleep(rng.uniform(0.0, 0.3))
            requests = [self._new(form, rng)]

    def _new(self, form, rng):
        kind = rng.choice(KINDS)
        is_long = rng.random() < self.long_part
        work_s = LONG_WORK_S if is_long else rng.uniform(0.1, 1.2)
        return Sent(f"q{next(self._numbers)}", kind, form, work_s)

    async def _exchange(self, form, rng, reader, writer, requests):
        """Send requests and read their answers; return whether the connection remains open."""
        data = b"".join(self._encode(req) for req in requests)
        half = len(data) // 2 if form == "halves" else 0
        self.sent += requests
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                if half:
                    writer.write(data[:half])
                    await asyncio.sleep(rng.uniform(0.0, 0.3))
                writer.write(data[half:])
                sent_at = self.clock()
                for req in requests:
                    req.sent_at = sent_at
                for req in requests:
                    is_open = await self._read(reader, req)
                return is_open
        except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
            for req in requests:
                req.ended = req.ended or repr(exc)
            return False

    def _encode(self, req):
        is_long = req.work_s == LONG_WORK_S
        return (
            f"POST /{req.kind}/x HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: {req.ident}\r\n"
            f"X-Gradelug-Deadline-Ms: {LONG_DEADLINE_MS if is_long else DEADLINE_MS}\r\n"
            f"X-Work-S: {req.work_s:.3f}\r\nContent-Length: {len(req.ident)}\r\n\r\n{req.ident}"
        ).encode()

    async def _read(self, reader, req):
        """Read a whole answer; return whether its connection remains open."""
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        if b"transfer-encoding: chunked" in head:
            await reader.readuntil(b"0\r\n\r\n")
        else:
            length = head.partition(b"content-length: ")[2].partition(b"\r\n")[0]
            await reader.readexactly(int(length))
        req.status = int(head.split(b" ")[1])
        return b"connection: close" not in head

    # What must hold.

    @property
    def ran(self):
        """Identifiers of the requests that a replica began."""
        return set().union(*(replica.ran for replica in self.replicas))

    def unanswered(self):
        """Return the requests that were sent while the gateway listened and have no answer.

        A stream that has begun may be broken off at the end of the grace period if it can be
        resumed, or if it was sent before the stop; requests behind it end with their connection.
        """
        return [
            self._describe(req)
            for req in self.sent
            if not (req.status or self._may_be_cut(req)) and req.sent_at < self.listened_until
        ]

    def cut(self):
        """Return the requests that ran and whose connection ended without a whole answer."""
        ran = self.ran
        return [
            self._describe(req)
            for req in self.sent
            if not (req.status or self._may_be_cut(req)) and req.ident in ran
        ]

    def _may_be_cut(self, req):
        if req.behind is not None and not req.behind.status:
            return self._may_be_cut(req.behind)
        is_begun = req.kind in STREAMS and req.ident in self.ran
        return is_begun and (req.kind == "r" or req.sent_at < self.stopped_at)

    def _describe(self, req):
        """Return what a failed check prints of a request."""
        return req.form, req.kind, round(req.sent_at - self.stopped_at, 2), req.status, req.ended

    def broken_promises(self):
        """Return the requests that were refused as not run, and ran."""
        ran = self.ran
        return [req.ident for req in self.sent if req.status in PROMISES and req.ident in ran]

    def given_up(self):
        """Return the requests sent since the stop that ran at most once and lost their answer."""
        ran = self.ran
        return [
            self._describe(req)
            for req in self.sent
            if req.kind in "un"
            and req.sent_at > self.stopped_at
            and req.ident in ran
            and req.status != 200
        ]
