"""A gateway before scripted replicas that refuse, fail, repeat, delay and lose their answers."""

import asyncio
import contextvars
import re
from collections import defaultdict, deque
from dataclasses import dataclass, field
from pipes import RawClient, join

import h11
from gradelug_gateway.model import Repeat, Route, Service, Share, Snapshot
from gradelug_http import ServerLimits
from run_engines import intercept_input
from run_world import GatewayNetwork, RunWorld
from test_serving import Bench
from world import PROCESS, Process

WORK_S = 0.03
EVENT_S = 0.02
EVENTS = 3
DEADLINE_S = 1.5
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller learns that its request has not run and never will."""
KINDS = {
    "unsafe": (Repeat.NEVER, False),
    "stream": (Repeat.NEVER, True),
    "resumable": (Repeat.RESUME, True),
    "safe": (Repeat.FREELY, False),
}
"""Repetition and streaming of each route, by the first part of its path."""
ONCE = frozenset({"unsafe", "stream"})
"""Kinds of requests that may run once."""
TARGET_S, GAP_S = 0.4, 0.4
_request_re = re.compile(
    rb"\A(?P<method>\S+) /(?P<kind>\w+)/.*?\r\nx-gradelug-request-id: (?P<ident>\S+)\r\n",
    re.I | re.S,
)
_length_re = re.compile(rb"\r\ncontent-length: (\d+)\r\n", re.I)


@dataclass(slots=True, frozen=True)
class Behaviour:
    """What a replica does with one request.

    Parameters
    ----------
    status : int
        Status of the answer.
    runs : bool
        Whether it runs the request.
    is_proven : bool
        Whether a refusal carries the header that says so.
    ident : bytes or None
        Identifier that the answer carries; None for that of the request, empty for none.
    copies : int
        Number of surplus copies of the answer.
    copy_after_s : float or None
        When they are sent; None for where the next answer of the connection is due.
    cut : float or None
        Part of the answer after which the connection is reset; None if it is whole.
    delay_s : float
        Time until the answer, in seconds.
    prefix : bytes
        Sent before the answer.
    instance : bytes
        Replica that the answer names; empty for none.
    """

    status: int = 200
    runs: bool = True
    is_proven: bool = False
    ident: bytes | None = None
    copies: int = 0
    copy_after_s: float | None = None
    cut: float | None = None
    delay_s: float = WORK_S
    prefix: bytes = b""
    instance: bytes = b""


SERVE = Behaviour()
FULL = Behaviour(503, runs=False, is_proven=True, delay_s=0.001)
ABSENT = Behaviour(421, runs=False, delay_s=0.001)


@dataclass(slots=True)
class Runs:
    """Where each request ran, by its identifier."""

    by_ident: dict = field(default_factory=lambda: defaultdict(list))


class ReplicaConnection(asyncio.Protocol):
    """One connection to a scripted replica."""

    def __init__(self, replica):
        self._replica = replica
        self._received = bytearray()
        self._copies = []
        """Surplus answers that are sent where the next answer is due."""
        self.transport = None
        self.carried = []
        """Identifiers of the requests that arrived over it, in order."""

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self._received += data
        head, end, rest = bytes(self._received).partition(b"\r\n\r\n")
        found = _request_re.match(head + b"\r\n")
        length = int(_length_re.search(head + b"\r\n")[1])
        if not end or len(rest) < length:
            return
        del self._received[: len(head) + len(end) + length]
        self.carried.append(found["ident"].decode())
        copies, self._copies = self._copies, []
        for copy in copies:
            self.transport.write(copy)
        self._replica.take(self, found["kind"].decode(), found["ident"])

    def answer(self, behaviour, kind, ident):
        """Send an answer, or a part of it and a reset, and its copies."""
        parts = _parts(behaviour, kind, ident, self._replica.name)
        if behaviour.cut is not None:
            whole = b"".join(parts)
            self.transport.write(whole[: int(behaviour.cut * len(whole))])
            self.transport.abort()
            return
        for number, part in enumerate(parts):
            self._replica.later(number * EVENT_S, self.transport.write, part)
        copy = b"".join(_parts(behaviour, kind, ident, self._replica.name))
        for _ in range(behaviour.copies):
            if behaviour.copy_after_s is None:
                self._copies.append(copy)
            else:
                after_s = behaviour.copy_after_s + len(parts) * EVENT_S
                self._replica.later(after_s, self.transport.write, copy)

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        pass


def _parts(behaviour, kind, ident, name):
    """Return the bytes of an answer, the events of a stream apart."""
    ident = ident if behaviour.ident is None else behaviour.ident
    headers = [(b"X-Gradelug-Request-Id", ident)] if ident else []
    if behaviour.is_proven:
        headers.append((b"X-Gradelug-Not-Executed", b"1"))
    if behaviour.runs:
        headers.append((b"X-Gradelug-Server-Signature", name.encode()))
    if behaviour.instance:
        headers.append((b"X-Gradelug-Instance-Id", behaviour.instance))
    lines = b"".join(b"%b: %b\r\n" % header for header in headers)
    first = behaviour.prefix + b"HTTP/1.1 %d X\r\n%b" % (behaviour.status, lines)
    if behaviour.status == 200 and KINDS[kind][1]:
        events = [b"id: %d\ndata: x\n\n" % number for number in range(1, EVENTS + 1)]
        chunks = [b"%x\r\n%b\r\n" % (len(event), event) for event in events]
        return [first + b"Transfer-Encoding: chunked\r\n\r\n", *chunks, b"0\r\n\r\n"]
    return [first + b"Content-Length: 2\r\n\r\nok"]


class ScriptedReplica:
    """A replica that treats its next requests as it was told, and serves all others.

    Parameters
    ----------
    name : str
        Its name.
    runs : Runs
        Records what it runs.
    """

    def __init__(self, name, runs):
        self.name = name
        self.script = deque()
        """What it does with its next requests."""
        self.default = SERVE
        self.connections = []
        self._runs = runs
        self._outside = contextvars.copy_context()
        self._outside.run(PROCESS.set, None)

    def accept(self):
        """Return the protocol of a new connection, which belongs to no process of a test."""
        self.connections.append(ReplicaConnection(self))
        return intercept_input(self.connections[-1], self._wrap_input)

    def _wrap_input(self, name, handle):
        return lambda *args: self._outside.copy().run(handle, *args)

    def take(self, conn, kind, ident):
        """Begin to work on a request or refuse it."""
        behaviour = self.script.popleft() if self.script else self.default
        if behaviour.runs:
            self._runs.by_ident[ident.decode()].append(self.name)
        self.later(behaviour.delay_s, conn.answer, behaviour, kind, ident)

    def later(self, after_s, function, *args):
        """Call a function later, whatever becomes of the gateway."""
        loop = asyncio.get_running_loop()
        loop.call_later(after_s, function, *args, context=self._outside.copy())

    def reset(self):
        """Reset all its connections."""
        for conn in self.connections:
            conn.transport.abort()


class Caller:
    """A request of a caller and what it received.

    Parameters
    ----------
    ident, kind : str
        Identifier and kind of the request.
    sent_at : float
        When it was sent, by the event loop's clock.
    """

    def __init__(self, ident, kind, sent_at):
        self.ident, self.kind, self.sent_at = ident, kind, sent_at
        self.client = RawClient()

    @property
    def statuses(self):
        """Statuses of the answers that it received."""
        if not self.client.received:
            return []
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="POST", target="/", headers=[("Host", "h")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(bytes(self.client.received))
        found = []
        while type(event := parser.next_event()) not in (type(h11.NEED_DATA), h11.PAUSED):
            if isinstance(event, h11.Response):
                found.append(event.status_code)
            if isinstance(event, h11.EndOfMessage):
                break
        assert not parser.trailing_data[0], "more than one answer"
        return found

    @property
    def is_answered(self):
        """Whether it received an answer, or its connection was closed."""
        return bool(self.statuses) or self.client.ended


class RefusalWorld(Bench):
    """A gateway before scripted replicas; build it in `in_process` if it is to be suspended."""

    @classmethod
    def in_process(cls, *args, **kwargs):
        """Return a world whose gateway can be suspended."""
        context = contextvars.copy_context()
        context.run(PROCESS.set, Process("gateway"))
        return context.run(cls, *args, **kwargs)

    def __init__(self, replicas=2, max_replicas=3, budget=1000.0):
        self.runs = Runs()
        self.replicas = {}
        self.callers = []
        self.process = PROCESS.get()
        shares = (Share("plain", 1.0),)
        routes = tuple(
            Route(
                name=name,
                host="h",
                prefix=f"/{name}/",
                shares=shares,
                streaming=streaming,
                repeat=repeat,
                timeout_s=DEADLINE_S,
                target_s=TARGET_S,
                gap_s=GAP_S,
                max_replicas=max_replicas,
                rank=0,
            )
            for name, (repeat, streaming) in KINDS.items()
        )
        net = GatewayNetwork(contextvars.copy_context())
        super().__init__(routes[0], [None] * replicas, budget=budget, net=net)
        services = {"plain": Service("plain", 10)}
        self.state.snapshot = Snapshot(1, routes, services, ServerLimits())
        for name, known in self.state.replicas.items():
            self.replicas[name] = ScriptedReplica(name, self.runs)
            net.servers[known.address] = self.replicas[name].accept

    suspend = RunWorld.suspend
    resume = RunWorld.resume

    def ask(self, kind, ident=None):
        """Send a request over a connection of its own and return its caller."""
        caller = Caller(ident or f"q{len(self.callers)}", kind, self.clock())
        self.callers.append(caller)
        join(caller.client, self.net.own(self.server.new_connection()))
        caller.client.transport.write(
            b"POST /%b/x HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: %b\r\n"
            b"X-Gradelug-Deadline-Ms: %d\r\nContent-Length: 4\r\n\r\nbody"
            % (kind.encode(), caller.ident.encode(), 1000 * DEADLINE_S)
        )
        return caller

    def faults(self):
        """Return the broken promises."""
        found = []
        for caller in self.callers:
            ran = self.runs.by_ident.get(caller.ident, [])
            if caller.kind in ONCE and len(ran) > 1:
                found.append(f"{caller.ident} ({caller.kind}) ran at {ran}")
            for status in caller.statuses:
                if status in PROMISES and ran:
                    found.append(f"{caller.ident} ({caller.kind}): {status}, ran at {ran}")
        return found
