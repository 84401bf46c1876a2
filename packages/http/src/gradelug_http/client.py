"""One connection to an upstream, each answer tied to its request."""

from __future__ import annotations

import asyncio
import re
import typing as t
from dataclasses import dataclass
from enum import Enum

import h11
import logbook

from .budget import MOST_READ_AHEAD, BodyBudget, BodyLease, KeptBody
from .exceptions import ConnectFailed, NoRoomForAnswer, ResponseBroken
from .headers import Header, Headers, find
from .liveness import is_silenced, keep_alive
from .statuses import BODILESS_STATUSES, MAX_INTERIM_ANSWERS, announces_denied_body, is_final

log = logbook.Logger("client")
MAX_HEAD_BYTES = 65_536
"""Longest head of an answer; upstreams' heads are a few hundred bytes."""
MAX_FIELDS = 256
"""Most fields of a head or a trailer: one of four bytes takes several hundred in memory."""
IDLE_MARGIN_S = 0.5
"""A connection is left alone this long before the upstream says that it will close it."""
DEFAULT_IDLE_S = 4.0
"""How long a connection is kept where the upstream states no time."""
MAX_STRAY_ANSWERS = 3
"""Answers to earlier requests that are skipped before a connection is given up."""
MAX_SKIPPED_BYTES = 1_048_576
"""Largest body of an answer that is skipped."""
PARSED_BYTES = 16_384
"""Bytes that the parser takes at a time; the rest waits where it is counted."""
EVENTS_PER_TURN = 64
"""Parts of answers that are parsed before other connections get their turn."""
RECEIVED_BYTES = 65_536
"""Most bytes that are received at a time."""
LEAST_RECEIVED_BYTES = 4_096
"""The same where a connection has no room left."""
_receive_buffer = memoryview(bytearray(RECEIVED_BYTES))
"""Shared by all connections: each copies what came before the next one receives."""
_CHUNKED = b"chunked"
_status_line_re = re.compile(rb"HTTP/\d\.\d \d{3}(?: |$)")
_timeout_re = re.compile(rb"timeout\s*=\s*(\d{1,9})")


class BodyFraming(Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    """Its head, which states a length or allows no body."""
    CHUNKS = "chunks"
    """A last chunk."""
    CLOSE = "close"
    """The end of the connection, which does not show who ended it, nor why."""


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

    @property
    def framing(self) -> BodyFraming:
        """What tells where its body ends, if the request and the status allow one."""
        if (self.get(b"transfer-encoding") or b"").lower() == _CHUNKED:
            return BodyFraming.CHUNKS
        has_length = self.get(b"content-length") is not None
        return BodyFraming.LENGTH if has_length else BodyFraming.CLOSE


class Wire(asyncio.BufferedProtocol):
    """Bytes of one connection, with the difference between a close and a reset kept."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.read_ahead = MOST_READ_AHEAD
        """Reading pauses above so many bytes: a slow client holds up its upstream, not our
        memory."""
        self.received = bytearray()
        self.ended = False
        self.is_idle = False
        """Whether no request is under way: whatever comes belongs to nobody."""
        self.is_dropped = False
        """Whether this end gave the connection up; nothing that came over it is kept."""
        self.reset: Exception | None = None
        self.via = ""
        """``IP:port`` of the tunnel server that the connection passes through; empty if direct."""
        self.reuse_until = float("inf")
        """When the connection must not carry new requests any more, by the runtime's clock."""
        self._waiter: asyncio.Future[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = t.cast(asyncio.Transport, transport)
        keep_alive(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the transport puts what comes."""
        room = self.read_ahead + 1 - len(self.received)
        return _receive_buffer[: max(LEAST_RECEIVED_BYTES, room)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has put into the buffer."""
        self.data_received(_receive_buffer[:nbytes])

    def data_received(self, data: bytes | memoryview) -> None:
        """Keep what came and wake up whoever waits."""
        if self.is_idle:
            log.info("bytes on an idle connection", size=len(data), via=self.via)
            self.abort()
            return
        self.received += data
        if len(self.received) > self.read_ahead and self.transport is not None:
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

    async def read(self, most: int = PARSED_BYTES) -> bytes:
        """Return what has come, at most so many bytes of it.

        Nothing is returned after a proper close; raises `ResponseBroken` after a reset.
        """
        while not self.received and not self.ended:
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        if self.received:
            data = bytes(self.received[:most])
            del self.received[:most]
            is_paused = len(self.received) > self.read_ahead
            if self.transport is not None and not self.ended and not is_paused:
                self.transport.resume_reading()
            return data
        if self.reset is not None:
            raise ResponseBroken(f"the upstream reset the connection: {self.reset!r}")
        return b""

    @property
    def held(self) -> int:
        """Bytes that came and were not read, and of requests that were not sent yet."""
        if self.is_dropped or self.transport is None:
            return 0
        return len(self.received) + self.transport.get_write_buffer_size()

    def abort(self) -> None:
        """Close at once; what is unsent or unread is dropped."""
        self._drop()
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after all bytes are sent; what is unread is dropped."""
        self._drop()
        if self.transport is not None:
            self.transport.close()

    def _drop(self) -> None:
        self.is_dropped = True
        self.received.clear()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


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
    number : int
        Identifies the connection among those of its pool.
    bodies : BodyBudget or None
        Bounds the bodies that are collected over all connections; None for a budget of its own.
    """

    __slots__ = (
        "_announced",
        "_bodies",
        "_clock",
        "_events",
        "_h11",
        "_method",
        "_wire",
        "address",
        "framing",
        "idle_until",
        "is_answered",
        "number",
        "rested_s",
        "sent_at",
        "skipped",
        "used_at",
        "uses",
    )

    def __init__(
        self,
        wire: Wire,
        address: str,
        clock: t.Callable[[], float],
        number: int = 0,
        bodies: BodyBudget | None = None,
    ) -> None:
        self._announced = 0
        """Length of the body that the current head states; 0 if none."""
        self._bodies = bodies or BodyBudget()
        self.number = number
        self.skipped = 0
        """Answers to other requests that were skipped since the current request was sent."""
        self._wire = wire
        self._clock = clock
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._events = 0
        """Parts of answers that were parsed since others had their turn."""
        self._method = b"GET"
        self.address = address
        self.idle_until = float("inf")
        self.used_at = clock()
        self.uses = 0
        self.rested_s = 0.0
        """How long it had been idle when the current request was sent, in seconds."""
        self.sent_at = self.used_at
        """When the current request was sent, by the runtime's clock."""
        self.is_answered = False
        """Whether any byte has come since then."""
        self.framing = BodyFraming.CLOSE
        """What tells where the body of the current answer ends, once its head has come."""

    @property
    def was_reset_unanswered(self) -> bool:
        """Whether it was used again, and reset before any byte of an answer."""
        is_reset = isinstance(self._wire.reset, (ConnectionResetError, BrokenPipeError))
        return is_reset and self.uses > 1 and not self.is_answered

    @property
    def via(self) -> str:
        """``IP:port`` of the tunnel server that it passes through; empty if it is direct."""
        return self._wire.via

    @property
    def is_silenced(self) -> bool:
        """Whether it ended because the upstream could not be reached over it any more."""
        return is_silenced(self._wire.reset)

    def is_fit(self, now: float) -> bool:
        """Tell whether an idle connection may carry another request."""
        wire = self._wire
        return not (wire.ended or wire.is_dropped or wire.received) and now < self.idle_until

    def send(self, req: OutgoingRequest) -> None:
        """Hand a request over to the connection whole."""
        headers = [*req.headers]
        if req.body or req.method not in (b"GET", b"HEAD", b"DELETE"):
            headers.append((b"Content-Length", b"%d" % len(req.body)))
        self._method = req.method
        self.uses += 1
        self.skipped = 0
        data = self._h11.send(
            h11.Request(method=req.method, target=req.target, headers=headers)  # type: ignore
        )
        parts = [data or b""]
        if req.body:
            parts.append(self._h11.send(h11.Data(data=req.body)) or b"")
        parts.append(self._h11.send(h11.EndOfMessage()) or b"")
        transport = self._wire.transport
        if transport is None or self._wire.ended or self._wire.is_dropped:
            raise ConnectFailed(f"{self.address} closed the connection before the request")
        self._wire.is_idle = False
        self.sent_at = self._clock()
        self.rested_s = self.sent_at - self.used_at
        self.is_answered = False
        transport.write(b"".join(parts))

    async def head(self, is_own: t.Callable[[ResponseHead], bool]) -> ResponseHead:
        """Return the head of the answer, skipping late answers to earlier requests.

        Raises
        ------
        ResponseBroken
            If no answer of its own comes.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            event = await self._next_final_event()
            if not isinstance(event, h11.Response):
                raise ResponseBroken("the upstream closed the connection without an answer")
            if not is_final(event.status_code):
                raise ResponseBroken(f"{event.status_code} is not the status of a final response")
            if _holds_status_line(event):
                raise ResponseBroken("a head broke off, and another one follows in the same line")
            head = ResponseHead(event.status_code, tuple(event.headers.raw_items()))
            if is_own(head):
                self._announced = self._body_length(event)
                self.framing = self._body_framing(head)
                return head
            self.skipped += 1
            await self._skip_answer()
        raise ResponseBroken("the connection carries answers to other requests")

    def _body_length(self, response: h11.Response) -> int:
        """Return the length that a head states, 0 if none or if there is no body."""
        if self._method == b"HEAD" or response.status_code in BODILESS_STATUSES:
            return 0
        return int(find(list(response.headers), b"content-length") or 0)

    def _body_framing(self, head: ResponseHead) -> BodyFraming:
        """Return what tells where the body behind a head ends."""
        if self._method == b"HEAD" or head.status in BODILESS_STATUSES:
            return BodyFraming.LENGTH
        return head.framing

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

    async def body(self, limit: int, on_part: t.Callable[[], None] = lambda: None) -> bytes:
        """Return the whole body, at most `limit` bytes; raises `ResponseBroken`.

        `on_part` is called whenever a part of it has come.
        """
        kept = await self.keep_body(limit, on_part)
        kept.release()
        return kept.data

    def open_lease(self) -> BodyLease:
        """Begin to count what its caller keeps of an answer together with collected bodies."""
        return self._bodies.open()

    async def keep_body(self, limit: int, on_part: t.Callable[[], None] = lambda: None) -> KeptBody:
        """Return the whole body as `body` does; it counts until it is released."""
        if self._announced > limit:
            raise ResponseBroken(f"the answer of {self._announced} bytes exceeds {limit} bytes")
        # Not a list of parts: each part of two bytes would be an object of fifty.
        whole, lease = bytearray(), self.open_lease()
        is_whole = False
        try:
            while (data := await self.chunk()) is not None:
                whole += data
                fits = lease.add(len(data))
                on_part()
                if lease.size > limit:
                    raise ResponseBroken(f"the answer exceeds {limit} bytes")
                if not fits:
                    held = lease.size - len(data)
                    raise NoRoomForAnswer(
                        f"the answer exceeds {held} bytes while others hold the rest"
                    )
            is_whole = True
            return KeptBody(bytes(whole), lease)
        finally:
            if not is_whole:
                lease.release()

    def settle(self, head: ResponseHead) -> bool:
        """Make ready for the next request after a whole answer; False if it must be closed."""
        transport = self._wire.transport
        if transport is None or self._wire.ended or self._wire.received:
            return False
        if self._h11.trailing_data[0] or transport.get_write_buffer_size():
            return False
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            return False
        length = head.get(b"content-length")
        has_coding = head.get(b"transfer-encoding") is not None
        if announces_denied_body(head.status, length, has_coding):
            return False
        self._h11.start_next_cycle()
        self._wire.is_idle = True
        self.used_at = self._clock()
        self.idle_until = min(self.used_at + _idle_s(head), self._wire.reuse_until)
        return True

    def rest(self) -> bool:
        """Make an unused connection ready for its first request; False if it must be closed."""
        if self._wire.ended or self._wire.received:
            return False
        self._wire.is_idle = True
        self.used_at = self._clock()
        self.idle_until = min(self.used_at + DEFAULT_IDLE_S, self._wire.reuse_until)
        return True

    def abort(self) -> None:
        """Close at once; whatever is unsent is dropped."""
        self._wire.abort()

    def close(self) -> None:
        """Close an idle connection."""
        self._wire.close()

    async def _next_event(self) -> t.Any:
        if self._events >= EVENTS_PER_TURN:
            self._events = 0
            await asyncio.sleep(0)
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                raise ResponseBroken(f"the answer is malformed: {exc}") from exc
            if event is not h11.NEED_DATA:
                self._events += 1
                fields = _field_count(event)
                if fields <= MAX_FIELDS:
                    return event
                # The error refers to this frame, which must not keep the fields.
                del event
                raise ResponseBroken(
                    f"a head or a trailer has {fields} fields, more than {MAX_FIELDS}"
                )
            data = await self._wire.read()
            self.is_answered = self.is_answered or bool(data)
            self._h11.receive_data(data)

    async def _next_final_event(self) -> t.Any:
        """Return the next event that is no informational answer."""
        for _ in range(MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise ResponseBroken(f"more than {MAX_INTERIM_ANSWERS} informational answers")

    async def _skip_answer(self) -> None:
        size = 0
        while (data := await self.chunk()) is not None:
            size += len(data)
            if size > MAX_SKIPPED_BYTES:
                raise ResponseBroken(
                    f"an answer to another request exceeds {MAX_SKIPPED_BYTES} bytes"
                )
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


def _holds_status_line(response: h11.Response) -> bool:
    """Tell whether the start of one head and the rest of another one were read as a single head."""
    texts = (response.reason, *(value for _, value in response.headers))
    return any(map(_status_line_re.search, texts))


def _field_count(event: t.Any) -> int:
    """Return the number of fields in a head or a trailer; 0 for other parts."""
    return len(getattr(event, "headers", ()))


def _idle_s(head: ResponseHead) -> float:
    stated = _timeout_re.search(head.get(b"keep-alive") or b"")
    if stated is None:
        return DEFAULT_IDLE_S
    return max(0.0, int(stated.group(1)) - IDLE_MARGIN_S)
