"""Complete gateways with engines of several software versions, and callers that resume streams."""

import asyncio
import re
from dataclasses import dataclass, field
from pipes import RawClient, join

from poison_world import EVENTS, Engine, PoisonWorld

_event_re = re.compile(rb"id: (\d+)\ndata: ([^\n]*)\n\n")
_retry_after_re = re.compile(rb"(?i)retry-after: ([0-9.]+)")
MAX_TRIES = 3
RECONNECT_DELAY_S = 0.05


class VersionedEngine(Engine):
    """An engine whose events name the version of its software."""

    def __init__(self, world, name, address):
        super().__init__(world, name, address)
        self.software = world.software_of(address)
        self.rejects = False
        """Whether it rejects all requests, as if it lacked their weights."""

    async def serve(self, inc):
        if not self.rejects:
            await super().serve(inc)
            return
        ident = inc.header(b"x-gradelug-request-id").decode()
        self.world.rejected.append(ident)
        inc.respond(421, self.headers(ident), b"")

    def entry(self):
        return {**super().entry(), "Version": self.software}

    def event(self, number):
        return b"id: %d\ndata: %b\n\n" % (number, self.software.encode())


@dataclass
class CallerStream:
    """What one caller received of its stream, over all of its tries."""

    id: str
    events: list = field(default_factory=list)
    """Number and software version of each event."""
    resumed: int = 0
    """How often the caller resumed it."""
    continued: int = 0
    """How often a resumed try brought a further event."""
    statuses: list = field(default_factory=list)
    tries: list = field(default_factory=list)
    """Identifiers of its tries."""

    @property
    def software(self):
        """Versions of the software whose events it holds."""
        return {software for _, software in self.events}

    @property
    def is_whole(self):
        return [number for number, _ in self.events] == list(range(1, EVENTS + 1))


class VersionWorld(PoisonWorld):
    """A deployment of gateways, and engines of several software versions.

    Parameters
    ----------
    software : sequence of str
        Versions of the engines, in turn.
    """

    engine_type = VersionedEngine

    def __init__(self, gateways=3, engines=6, software=("v1", "v2"), without=()):
        self.software = software
        self.streams = []
        self.rejected = []
        """Identifiers of the requests that engines rejected."""
        super().__init__(gateways, engines, without)

    def software_of(self, address):
        """Return the version that engines at an address run."""
        number = int(address.split(":")[0].rpartition(".")[2])
        return self.software[number % len(self.software)]

    def reset_streams(self, software=None):
        """Reset the connections of one engine; return its name."""
        found = [
            engine
            for engine in self.engines.values()
            if not engine.has_ended and engine.running and software in (None, engine.software)
        ]
        if not found:
            return ""
        engine = max(found, key=lambda one: len(one.running))
        for conn in list(engine.server.connections):
            conn.abort()
        return engine.name

    async def stream(self, at, breaks=(), deadline_s=6.0, headers=None, path=b"/s/x"):
        """Receive a stream, resuming it at the next instance whenever it breaks.

        Parameters
        ----------
        at : int
            Number of the first instance.
        breaks : sequence of int
            Event after which the caller drops each try; none after the last of them.
        deadline_s : float
            Time until the caller gives up, in seconds.
        headers : callable or None
            Returns the headers with which the caller resumes, by the stream and the last event.
        """
        found = CallerStream("")
        self.streams.append(found)
        until, breaks = self.clock() + deadline_s, list(breaks)
        for _ in range(MAX_TRIES + len(breaks)):
            while not self.is_up(at) and self.clock() < until:
                await asyncio.sleep(RECONNECT_DELAY_S)
                at += 1
            self.request_count += 1
            ident = f"q{self.request_count}"
            found.tries.append(ident)
            resume = b""
            if found.events:
                found.resumed += 1
                resume = (headers or resume_headers)(found, found.events[-1][0])
            break_after = breaks.pop(0) if breaks else EVENTS
            before = len(found.events)
            retry_s = await self._try(at, ident, resume, found, break_after, until, path)
            at += 1
            if not before and found.events:
                found.id = ident
            if before and len(found.events) > before:
                found.continued += 1
            if found.is_whole or self.clock() + retry_s >= until:
                break
            await asyncio.sleep(retry_s)
        return found

    async def _try(self, at, ident, resume, found, break_after, until, path):
        """Send one try and read its events; return the pause until the next one."""
        gateway = self.gateways[at % len(self.gateways)]
        client = RawClient()
        join(client, self.net.servers[gateway.front]())
        body = b"harmless " + (found.id or ident).encode()
        client.transport.write(
            b"POST %b HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: %b\r\n%b"
            b"X-Gradelug-Deadline-Ms: %d\r\nX-Gradelug-Model: %b\r\n"
            b"X-Gradelug-Token-Usage: 100,20\r\nContent-Length: %d\r\n\r\n%b"
            % (
                path,
                ident.encode(),
                resume,
                1000 * (until - self.clock()),
                weights_of(body),
                len(body),
                body,
            )
        )
        events = _Events(client, found.events)
        while self.clock() < until and not client.ended and not events.is_complete:
            await asyncio.sleep(0.005)
            if events.read() >= break_after:
                break
        events.read()
        client.transport.close()
        head = bytes(client.received).partition(b"\r\n\r\n")[0]
        found.statuses.append(int(head.split(b" ")[1]) if head else 0)
        wait = _retry_after_re.search(head)
        return float(wait[1]) if wait else RECONNECT_DELAY_S

    async def remove_entry(self, name):
        """Remove the entry of an engine from the store, as if it had left."""
        found = self.kv.entries()[f"servers/{name}"]
        await self.kv.delete(found.key, found.revision)

    def is_up(self, at):
        """Return whether an instance accepts connections."""
        gateway = self.gateways[at % len(self.gateways)]
        return not gateway.process.dead and gateway.front in self.net.servers

    def mixed(self):
        """Return the streams that hold events of two software versions."""
        return [stream for stream in self.streams if len(stream.software) > 1]

    def continued_share(self):
        """Return the share of resumed tries that brought a further event."""
        resumed = sum(stream.resumed for stream in self.streams)
        return sum(stream.continued for stream in self.streams) / max(1, resumed)


class _Events:
    """Reads the events of one response, in order, behind those of earlier tries."""

    def __init__(self, client, events):
        self._client, self._events = client, events

    def read(self):
        """Take in what has arrived; return the number of the last event."""
        last = self._events[-1][0] if self._events else 0
        for number, software in _event_re.findall(bytes(self._client.received)):
            if int(number) > last:
                last = int(number)
                self._events.append((last, software.decode()))
        return last

    @property
    def is_complete(self):
        head, _, rest = bytes(self._client.received).partition(b"\r\n\r\n")
        if b"chunked" in head.lower():
            return rest.endswith(b"0\r\n\r\n")
        return bool(head) and b"\r\n\r\n" in bytes(self._client.received)


def weights_of(body):
    """Return the weights of a stream, the same for all its tries: the base model or an adapter."""
    number = sum(body) % 9
    return b"m/a%d" % number if number > 4 else b"m"


def resume_headers(stream, last):
    """Return the headers with which a caller resumes its stream."""
    return b"Last-Event-Id: %d\r\nResumes: %b\r\n" % (last, stream.id.encode())
