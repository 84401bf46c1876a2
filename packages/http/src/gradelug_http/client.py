"""Connections to upstreams that are kept and used again, each answer tied to its request."""

from __future__ import annotations

import asyncio
import re
import typing as t
from collections import defaultdict
from dataclasses import dataclass

import h11

from .exceptions import ConnectFailed, ResponseBroken
from .headers import Header, Headers, find
from .liveness import is_silenced, keep_alive

READ_AHEAD_BYTES = 262_144
"""Reading pauses above this, so that a slow client holds up its upstream, not our memory."""
MAX_HEAD_BYTES = 65_536
"""Longest head of an answer; upstreams' heads are a few hundred bytes."""
IDLE_MARGIN_S = 0.5
"""A connection is left alone this long before the upstream says that it will close it."""
DEFAULT_IDLE_S = 4.0
"""How long a connection is kept where the upstream states no time."""
MAX_STRAY_ANSWERS = 3
"""Answers to earlier requests that are skipped before a connection is given up."""
_timeout_re = re.compile(rb"timeout\s*=\s*(\d+)")


@dataclass(slots=True, frozen=True)
class OutgoingRequest:
    """A request as it goes out; the length of the body is stated by the connection."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: tuple[Header, ...]

    def get(self, name: bytes) -> bytes | None:
        """Return a header's first value, `name` in lower case."""
        return find(self.headers, name)


class Wire(asyncio.Protocol):
    """Bytes of one connection, with the difference between a close and a reset kept."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.received = bytearray()
        self.ended = False
        self.reset: Exception | None = None
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = t.cast(asyncio.Transport, transport)
        keep_alive(transport)

    def data_received(self, data: bytes) -> None:
        """Keep what came and wake up whoever waits."""
        self.received += data
        if len(self.received) > READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._wake()

    def eof_received(self) -> None:
        """Note that the other end closes."""
        self.ended = True
        self._wake()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note the end, by a reset or not."""
        self.ended = True
        self.reset = exc
        self._wake()

    async def read(self) -> bytes:
        """Return what has come, empty after a proper close; raises `ResponseBroken`."""
        while not self.received and not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if self.received:
            data = bytes(self.received)
            self.received.clear()
            if self.transport is not None and not self.ended:
                self.transport.resume_reading()
            return data
        if self.reset is not None:
            raise ResponseBroken(f"the upstream reset the connection: {self.reset!r}")
        return b""

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


Dial = t.Callable[[str], t.Awaitable[Wire]]


async def dial_tcp(address: str) -> Wire:
    """Connect to ``IP:port``; raises `OSError`."""
    host, _, port = address.rpartition(":")
    _, wire = await asyncio.get_running_loop().create_connection(Wire, host, int(port))
    return wire


class Connection:
    """One connection to an upstream, carrying one request at a time.

    Parameters
    ----------
    wire : Wire
        Its bytes.
    address : str
        ``IP:port`` of the upstream.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_h11", "_method", "_wire", "address", "idle_until", "used_at", "uses")

    def __init__(self, wire: Wire, address: str, clock: t.Callable[[], float]) -> None:
        self._wire = wire
        self._clock = clock
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._method = b"GET"
        self.address = address
        self.idle_until = float("inf")
        self.used_at = clock()
        self.uses = 0

    @property
    def is_silenced(self) -> bool:
        """Whether it ended because the upstream could not be reached over it any more."""
        return is_silenced(self._wire.reset)

    def is_fit(self, now: float) -> bool:
        """Tell whether an idle connection may carry another request."""
        wire = self._wire
        return not wire.ended and not wire.received and now < self.idle_until

    def send(self, req: OutgoingRequest) -> None:
        """Hand a request over to the connection whole."""
        headers = [*req.headers]
        if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(req.body)))
        self._method = req.method
        self.uses += 1
        data = self._h11.send(
            h11.Request(method=req.method, target=req.target, headers=headers)  # type: ignore
        )
        parts = [data or b""]
        if req.body:
            parts.append(self._h11.send(h11.Data(data=req.body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        transport = self._wire.transport
        if transport is None or self._wire.ended:
            raise ConnectFailed(f"{self.address} closed the connection before the request")
        transport.write(b"".join(parts))

    async def head(self, is_own: t.Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the answer, skipping late answers to earlier requests.

        Raises
        ------
        ResponseBroken
            If no answer of its own comes.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._next_event()
            if not isinstance(event, h11.Response):
                raise ResponseBroken("the upstream closed the connection without an answer")
            head = ResponseHead(event.status_code, tuple(event.headers.raw_items()))
            if is_own(head):
                return head
            await self._skip_answer()
        raise ResponseBroken("the connection carries answers to other requests")

    async def chunk(self) -> bytes | None:
        """Return the next part of the answer's body, None at its end.

        Raises
        ------
        ResponseBroken
            If it ends early.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ResponseBroken("the upstream closed the connection within its answer")

    async def body(self, limit: int) -> bytes:
        """Return the whole body, at most `limit` bytes; raises `ResponseBroken`."""
        parts, size = [], 0
        while (data := await self.chunk()) is not None:
            parts.append(data)
            size += len(data)
            if size > limit:
                raise ResponseBroken(f"the answer exceeds {limit} bytes")
        return b"".join(parts)

    def settle(self, head: ResponseHead) -> bool:
        """Make ready for the next request after a whole answer; False if it must be closed."""
        transport = self._wire.transport
        if transport is None or self._wire.ended or self._wire.received:
            return False
        if self._h11.trailing_data[0] or transport.get_write_buffer_size():
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self.used_at = self._clock()
        self.idle_until = self.used_at + _idle_s(head)
        return True

    def abort(self) -> None:
        """Close at once; whatever is unsent is dropped."""
        if self._wire.transport is not None:
            self._wire.transport.abort()

    def close(self) -> None:
        """Close an idle connection."""
        if self._wire.transport is not None:
            self._wire.transport.close()

    async def _next_event(self) -> t.Any:
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise ResponseBroken(f"the answer is malformed: {exc}") from exc
            if event is not h11.NEED_DATA:
                return event
            self._h11.receive_data(await self._wire.read())

    async def _skip_answer(self) -> None:
        while await self.chunk() is not None:
            continue
        rest, closed = self._h11.trailing_data
        # The parser pairs requests with answers; give it the request once more, unsent.
        again = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        again.send(h11.Request(method=self._method, target=b"/", headers=[(b"Host", b"-")]))
        again.send(h11.EndOfMessage())
        if rest:
            again.receive_data(rest)
        if closed:
            again.receive_data(b"")
        self._h11 = again


class HttpPool:
    """Opens connections and keeps idle ones by address.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    dial : callable
        Coroutine function that connects to an address.
    """

    __slots__ = ("_clock", "_dial", "_idle", "doubted", "opened")

    def __init__(self, clock: t.Callable[[], float], dial: Dial | None = None) -> None:
        self._clock = clock
        self._dial = dial or dial_tcp
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self.opened = 0
        """Connections opened since the start."""
        self.doubted = 0
        """Idle connections closed since the start because another one had fallen silent."""

    async def acquire(
        self, address: str, limit_s: float, rested_s: float = float("inf")
    ) -> Connection:
        """Return a connection that is free, opening one if there is none.

        Parameters
        ----------
        address : str
            ``IP:port``.
        limit_s : float
            How long opening may take, in seconds.
        rested_s : float
            Longest time that a connection used again may have been idle, in seconds.

        Raises
        ------
        ConnectFailed
            If none comes up in time.
        """
        now = self._clock()
        idle = self._idle[address]
        while idle:
            conn = idle.pop()
            if conn.is_fit(now) and now - conn.used_at <= rested_s:
                return conn
            conn.close()
        return await self._open(address, limit_s)

    def release(self, conn: Connection, head: ResponseHead) -> None:
        """Take a connection back after a whole answer."""
        if conn.settle(head):
            self._idle[conn.address].append(conn)
        else:
            conn.close()

    async def exchange(
        self, address: str, req: OutgoingRequest, limit_s: float, most_bytes: int
    ) -> tuple[ResponseHead, bytes]:
        """Send a request and return the head and the whole body of its answer.

        A connection on which the answer did not come whole in time is closed: an answer that
        comes later belongs to nobody.

        Parameters
        ----------
        address : str
            ``IP:port``.
        req : OutgoingRequest
            The request.
        limit_s : float
            How long all of it may take, in seconds.
        most_bytes : int
            Largest body that is taken.

        Raises
        ------
        ConnectFailed
            If no connection comes up.
        ResponseBroken
            If the answer is no whole answer.
        TimeoutError
            If time runs out after the request was sent.
        """
        async with asyncio.timeout(limit_s):
            conn = await self.acquire(address, limit_s)
            sent_at = self._clock()
            is_whole = False
            try:
                conn.send(req)
                head = await conn.head(lambda head: True)
                body = await conn.body(most_bytes)
                self.release(conn, head)
                is_whole = True
                return head, body
            finally:
                if not is_whole:
                    conn.abort()
                    self.doubt(address, sent_at)

    def doubt(self, address: str, sent_at: float) -> None:
        """Close the idle connections over which nothing has come since a request got no answer.

        Links silence all connections of one age: what is sent over another one of them would be
        lost as well, and takes a new connection instead.

        Parameters
        ----------
        address : str
            ``IP:port`` of the upstream.
        sent_at : float
            When the request was sent, by the runtime's clock.
        """
        proven = []
        for conn in self._idle.pop(address, ()):
            if conn.used_at > sent_at:
                proven.append(conn)
            else:
                conn.close()
                self.doubted += 1
        if proven:
            self._idle[address] = proven

    def prune(self, addresses: t.Container[str]) -> None:
        """Close what is unfit, and every idle connection to other addresses than these."""
        now = self._clock()
        for address in list(self._idle):
            kept = []
            for conn in self._idle[address]:
                if address in addresses and conn.is_fit(now):
                    kept.append(conn)
                else:
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close every idle connection."""
        self.prune(())

    async def _open(self, address: str, limit_s: float) -> Connection:
        self.opened += 1
        try:
            async with asyncio.timeout(limit_s):
                wire = await self._dial(address)
        except (OSError, TimeoutError, ValueError) as exc:
            raise ConnectFailed(f"{address} cannot be reached: {exc!r}") from exc
        return Connection(wire, address, self._clock)


def _idle_s(head: ResponseHead) -> float:
    stated = _timeout_re.search(head.get(b"keep-alive") or b"")
    if stated is None:
        return DEFAULT_IDLE_S
    return max(0.0, int(stated.group(1)) - IDLE_MARGIN_S)
