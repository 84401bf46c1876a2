"""One connection of a caller: reads its requests, and sends their answers."""

from __future__ import annotations

import asyncio
import socket
import typing as t

import h11
import logbook

from .connection_ends import ConnectionEnd, EndCause, RequestState
from .exceptions import ClientGone, MalformedRequest
from .headers import Headers, find
from .incoming import Incoming
from .request_reader import RequestReader, Step
from .reset_on_close import reset_on_close

if t.TYPE_CHECKING:
    from .server import HttpServer

log = logbook.Logger("server")
IDLE_SLACK = 1.25
"""Idle connections are closed this much later than stated, for clients that are slow to know."""
LINGER_S = 0.5
"""After a refusal, what still arrives is read this long so that the client sees its answer."""
ERROR_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
"""The answer to a request whose serving raised an unexpected error."""
STALL_S = 0.5
"""A caller that sends nothing of its request for this long may be given up when memory is short."""
MIN_ARRIVING_S = 0.05
"""Requests that arrive within this are taken for equally fast."""
SMALL_BYTES = 16_384
"""A request that is not longer goes on arriving while memory is short."""
RECEIVE_BUFFER_BYTES = 131_072
"""Bytes of one caller that the kernel may keep before they are read."""
NARROW_BUFFER_BYTES = 65_536
"""The same of connections beyond the first `WIDE_CONNECTIONS` that are open at a time."""
WIDE_CONNECTIONS = 128
DECODE_FACTOR = 4
"""Multiple of the time for a request within which it must have arrived and be decoded."""
MAX_BACKLOG_BYTES = 65_536
"""Bytes that may wait for the decoder before reading pauses."""
MAX_AHEAD_BYTES = 16_384
"""Bytes that are read of requests sent ahead of the answer to the one before them."""


class ServerConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self._limits = server.limits()
        """Limits of the request that is being received, in force when its first byte came."""
        self._reader = RequestReader(self._limits.header_bytes)
        self._is_reading_paused = False
        self._receive_buffer = 0
        """Bytes that the kernel may keep for it, where that is bounded."""
        self._counted = 0
        """Bytes that the server has counted for it."""
        self._counted_arriving = 0
        self._is_waiting_for_reader = False
        """Whether the next request waits until the client has read enough of its answers."""
        self._unsent = 0
        self._sent_at = server.clock()
        """When the unsent bytes were last seen to become fewer."""
        self._is_unread = False
        """Whether the client has stopped reading whole answers for too long."""
        self._discarded = 0
        """Bytes that arrived after a refusal."""
        self._held_back_at: float | None = None
        """Since when its request waits for memory, None if it does not."""
        self._held_back_s = 0.0
        self._began_at: float | None = None
        self._rested_at = server.clock()
        self._idle_s = self._limits.idle_s
        """Idle timeout that was in force or stated when the connection began to rest."""
        self._stated_idle_s = 0
        """Idle timeout that the last answer stated, in whole seconds; 0 if none."""
        self._refused_at: float | None = None
        self._drained: asyncio.Future[None] | None = None
        self.paused_since: float | None = None
        """Since when the client does not read, None if it does."""
        self._held_up_s = 0.0
        self._gone = False
        self._incoming: Incoming | None = None
        self._is_end_marked_by_close = False
        """Whether only the end of the connection tells that the current answer is whole."""
        self._has_dropped = False
        """Whether a part of an answer was not sent because the connection was aborted."""
        self.opened_at = self._read_at = server.clock()
        self._answered = 0
        self._end: ConnectionEnd | None = None
        """How the server ended it, None if it did not."""

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = t.cast(asyncio.Transport, transport)
        self.server.connections.add(self)
        self.server.make_room(self)
        sock = transport.get_extra_info("socket")
        if sock is None or self._is_closing:
            return
        # The event loop does so only for sockets that were created with the protocol's number.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.server.memory.is_bounded:
            self._bound_receive_buffer(sock)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is being served."""
        self._gone = True
        if self._is_end_marked_by_close and exc is None and self._is_answer_sent:
            assert self.transport is not None
            reset_on_close(self.transport, False)
        self.server.connections.discard(self)
        self.server.turns.discard(self)
        self.recount()
        cause = EndCause.CLIENT if exc is None else EndCause.LOST
        self.server.on_end(self._end or self._describe_end(cause))
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self.task is not None:
            self.task.cancel()

    def eof_received(self) -> bool:
        """Note that the other end closes."""
        # A client that closes its side has left: nobody waits for the answer.
        return False

    def pause_writing(self) -> None:
        """Note that the client reads slowly."""
        self.paused_since = self.server.clock()

    def resume_writing(self) -> None:
        """Note that the client has read enough."""
        self._held_up_s = self.held_up_s
        self.paused_since = None
        if self._drained is not None and not self._drained.done():
            self._drained.set_result(None)
        if self._is_waiting_for_reader:
            self._begin_next()

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._refused_at is not None:
            self._discarded += len(data)
            self.pace_reading()
            return
        self._read_at = self.server.clock()
        if self._began_at is None:
            self._note_first_byte()
        self._reader.buffer += data
        if self.server.memory.is_exhausted and not self._is_serving:
            self.give_up()
            return
        if self._is_serving or self in self.server.turns:
            self.recount()
            self.pace_reading()
        else:
            self.read_on()

    def _bound_receive_buffer(self, sock: socket.socket) -> None:
        is_wide = len(self.server.connections) <= WIDE_CONNECTIONS
        self._receive_buffer = RECEIVE_BUFFER_BYTES if is_wide else NARROW_BUFFER_BYTES
        # The kernel doubles what is asked for.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer // 2)

    # Used by the server and by requests.

    @property
    def held(self) -> int:
        """Bytes of requests that arrived, and of the answer that was not sent yet.

        While reading pauses, the kernel may keep as many as its buffer takes.
        """
        served = len(self._incoming.body) if self._incoming is not None else 0
        in_kernel = self._receive_buffer if self._is_reading_paused else 0
        return self._reader.size + served + self.unsent + in_kernel

    def recount(self) -> None:
        """Tell the server what is kept for this caller."""
        if not self.server.memory.is_bounded:
            return
        held = 0 if self._gone else self.held
        arriving = 0 if self._gone or self.task is not None else held
        if (held, arriving) == (self._counted, self._counted_arriving):
            return
        changes = held - self._counted, arriving - self._counted_arriving
        self._counted, self._counted_arriving = held, arriving
        self.server.memory.count(*changes)

    def stalled_since(self, now: float) -> float | None:
        """Return since when the caller neither reads nor sends, None if it does."""
        if self.paused_since is not None:
            return self.paused_since
        is_sending = not self._is_serving and self._began_at is not None
        if not is_sending or self._is_reading_paused or self in self.server.turns:
            return None
        return self._read_at if now - self._read_at > STALL_S else None

    @property
    def began_at(self) -> float | None:
        """When the first byte of the request that arrives came, None if there is none."""
        return self._began_at

    @property
    def is_held_back(self) -> bool:
        """Whether its request waits for memory."""
        return self._held_back_at is not None

    def arrival_rate(self, now: float) -> float:
        """Return the bytes per second at which the current request has arrived."""
        if self._began_at is None:
            return 0.0
        arriving_s = now - self._began_at - self._waited_s(now)
        return self._reader.size / max(arriving_s, MIN_ARRIVING_S)

    def _waited_s(self, now: float) -> float:
        """Return how long the current request has waited for memory."""
        held_back = now - self._held_back_at if self._held_back_at is not None else 0.0
        return self._held_back_s + held_back

    def give_up(self) -> None:
        """Refuse the request that arrives, or close at once if one is being answered."""
        if self.task is None and self.paused_since is None:
            self._refuse(503)
        else:
            self.abort(EndCause.UNREAD)

    def drop(self) -> None:
        """Close at once after an unexpected error."""
        self.abort(EndCause.ERROR)

    @property
    def unsent(self) -> int:
        """Bytes of answers that were not sent yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    @property
    def held_up_s(self) -> float:
        """How long the client has let what was sent lie unread, in seconds."""
        if self.paused_since is None:
            return self._held_up_s
        return self._held_up_s + self.server.clock() - self.paused_since

    def is_idle(self) -> bool:
        """Tell whether nothing is being received or served."""
        return not self._is_serving and self._began_at is None

    def close_if_idle(self, cause: EndCause) -> None:
        """Close if nothing is being received or served."""
        if self.is_idle():
            self.close(cause)

    @property
    def rested_at(self) -> float:
        """When it began to rest, if it does."""
        return self._rested_at

    @property
    def is_unused(self) -> bool:
        """Whether no request has been answered on it yet."""
        return not self._answered

    @property
    def _is_serving(self) -> bool:
        """Whether a request is being served, or its answer lies unread before a next one."""
        return self.task is not None or self._is_waiting_for_reader

    def has_rested(self, rest_s: float) -> bool:
        """Tell whether it has rested for some time since its last answer, in seconds."""
        is_used = self._answered > 0 and self._refused_at is None
        return is_used and self.is_idle() and self.server.clock() - self._rested_at >= rest_s

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served, or an answer is not sent yet."""
        is_receiving = self._began_at is not None and self._refused_at is None
        return self.task is not None or is_receiving or self.unsent > 0

    @property
    def is_last(self) -> bool:
        """Whether the connection is closed after the current request."""
        return self.server.draining and not self._reader.buffer

    def keep_alive_headers(self) -> Headers:
        """Return the headers that state for how long the connection may rest after an answer.

        A client may know a longer idle timeout than this server, whose configuration is older.
        """
        self._stated_idle_s = int(self.server.limits().idle_s)
        if not self._stated_idle_s:
            return []
        return [(b"Keep-Alive", b"timeout=%d" % self._stated_idle_s)]

    def end(self) -> None:
        """Close the connection unless a request is being served, refusing one that has begun."""
        if self.task is not None or self._gone or self.transport is None:
            return
        if self.is_idle():
            # What crosses the close stays unread, so that the client may send it again.
            self.close(EndCause.STOP)
            return
        if self._refused_at is None:
            self._refuse(503)
        self.linger(EndCause.REFUSED)

    def linger(self, cause: EndCause) -> None:
        """Send the end of the connection, and discard what arrives until the client closes it.

        Closing it with unread bytes would reset it, and the client might lose its answer.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._note_end(cause)
        if self._refused_at is None:
            self._refused_at = self.server.clock()
        try:
            self.transport.write_eof()
        except OSError as exc:
            log.info("connection was lost before it was closed", why=str(exc))
            self.close(cause)

    def close(self, cause: EndCause = EndCause.STOP) -> None:
        """Close after what was written has been sent."""
        self._note_end(cause)
        if self.transport is not None:
            self.transport.close()

    def abort(self, cause: EndCause = EndCause.STOP) -> None:
        """Close at once."""
        self._note_end(cause)
        self._has_dropped = self._has_dropped or self.unsent > 0
        if self.transport is not None:
            self.transport.abort()

    def _note_end(self, cause: EndCause) -> None:
        if self._end is None and self.transport is not None and not self.transport.is_closing():
            self._end = self._describe_end(cause)

    def _describe_end(self, cause: EndCause) -> ConnectionEnd:
        now = self.server.clock()
        return ConnectionEnd(
            cause,
            self._request_state(),
            len(self._reader.body if self._incoming is None else self._incoming.body),
            len(self._reader.buffer) if self._reader.is_whole else 0,
            now - self.opened_at,
            now - self._read_at,
            self._answered,
        )

    def _request_state(self) -> RequestState:
        inc = self._incoming
        if inc is not None and not inc.ended:
            return RequestState.ANSWERING if inc.started else RequestState.READ
        return RequestState.NONE if self._began_at is None else RequestState.ARRIVING

    def is_overdue(self, now: float, idle_s: float) -> bool:
        """Return whether its request arrives too slowly, or the connection rests too long.

        Parameters
        ----------
        now : float
            Time by the runtime's clock.
        idle_s : float
            Idle timeout in force, in seconds.
        """
        if self.task is not None:
            self._sent_at = now
            return False
        self._note_unsent(now, idle_s)
        if self._is_unread:
            return True
        if self._refused_at is not None:
            return now - self._refused_at > LINGER_S and not self._is_closing
        if self._is_waiting_for_reader:
            return False
        if self._began_at is not None:
            return self._is_late(now)
        return now - self._rested_at > max(self._idle_s, idle_s) * IDLE_SLACK

    @property
    def _is_closing(self) -> bool:
        return self.transport is not None and self.transport.is_closing()

    def _note_unsent(self, now: float, idle_s: float) -> None:
        """Note whether the client has read nothing of whole answers for the idle timeout."""
        unsent = self.unsent
        if not unsent or unsent < self._unsent:
            self._sent_at = now
        self._unsent = unsent
        self._is_unread = now - self._sent_at > max(self._idle_s, idle_s) * IDLE_SLACK

    def _is_late(self, now: float) -> bool:
        if self._began_at is None:
            return False
        waited_s = min(self._waited_s(now), self._limits.header_s)
        arriving_s = now - self._began_at - waited_s
        # The client is not late while bytes of its wait for the decoder.
        factor = DECODE_FACTOR if self in self.server.turns else 1
        return arriving_s > factor * self._limits.header_s

    def end_overdue(self) -> None:
        """Refuse a request that arrives too slowly, close a connection that rests too long."""
        if self._is_unread:
            self.abort(EndCause.UNREAD)
        elif self._refused_at is not None:
            self.close(EndCause.REFUSED)
        elif self._began_at is not None:
            self._refuse(408)
        else:
            self.close(EndCause.IDLE)

    def write(self, data: bytes | None) -> None:
        """Send bytes; raises `ClientGone`."""
        if self._gone or self.transport is None or self.transport.is_closing():
            raise ClientGone("the client has closed its connection")
        if data:
            self.transport.write(data)
            if self.transport.get_write_buffer_size():
                self.recount()

    def send_event(self, event: t.Any) -> None:
        """Send a part of an answer; raises `ClientGone`."""
        self.write(self._reader.parser.send(event))

    def begin_unsized(self) -> None:
        """Prepare for an answer of unknown length.

        A caller of HTTP/1.0 takes it for whole if its connection is closed in order, which the
        kernel does as well when this process ends.
        """
        version = self._reader.parser.their_http_version
        if version is None or version >= b"1.1":
            return
        if self.transport is not None and not self._gone:
            self._is_end_marked_by_close = True
            reset_on_close(self.transport, True)

    @property
    def _is_answer_sent(self) -> bool:
        """Whether the current answer is whole and no part of it was dropped."""
        return self._incoming is not None and self._incoming.ended and not self._has_dropped

    async def wait_sent(self) -> None:
        """Wait until the client has read enough."""
        if self.paused_since is None or self._gone:
            return
        self._drained = asyncio.get_running_loop().create_future()
        await self._drained

    def finished(self) -> None:
        """Go on with the connection's next request after a whole answer."""
        self.task = None
        self._answered += 1
        if self._gone:
            return
        parser = self._reader.parser
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            if self.server.draining:
                self.linger(EndCause.ANSWERED)
            else:
                self.close(EndCause.ANSWERED)
            return
        self._reader.start_next()
        self._incoming = None
        self._held_back_s = 0.0
        self._held_up_s = 0.0
        self._rested_at = self.server.clock()
        self._idle_s = max(self.server.limits().idle_s, self._stated_idle_s)
        self._began_at = None
        if self.paused_since is not None:
            self._is_waiting_for_reader = True
            self.recount()
            return
        self._begin_next()

    def _begin_next(self) -> None:
        """Read on with what was sent ahead."""
        self._is_waiting_for_reader = False
        if not self._reader.buffer:
            self._began_at = None
            self.recount()
            self.pace_reading()
            return
        self._began_at = self.server.clock()
        self.read_on()

    def _note_first_byte(self) -> None:
        self._began_at = self.server.clock()
        self._limits = self.server.limits()
        self._reader.header_bytes = self._limits.header_bytes

    def read_on(self) -> None:
        """Read what arrived, up to one step of a body."""
        while not self._is_serving and self._refused_at is None:
            before = len(self._reader.body)
            try:
                step = self._reader.step()
            except MalformedRequest as exc:
                self._refuse(exc.status)
                break
            if step is Step.HEAD:
                self._check_head()
                continue
            self._check_body(before)
            if step is Step.END:
                self._start()
            elif step is Step.MORE:
                self.server.turns.add(self)
                break
            else:
                self._continue_body()
                break
        self.recount()
        self.pace_reading()

    def pace_reading(self) -> None:
        """Stop reading while there is no use for further bytes, and go on afterwards."""
        is_small = len(self._reader.buffer) <= MAX_AHEAD_BYTES and not self._discarded
        if is_small and not self._is_reading_paused and not self.server.memory.is_short:
            return
        self._note_held_back()
        is_far = self in self.server.turns and len(self._reader.buffer) > MAX_BACKLOG_BYTES
        # A client that sends a whole body before it reads sees its refusal.
        is_discarded = self._discarded > self._limits.body_bytes
        is_ahead = self._is_serving and len(self._reader.buffer) > MAX_AHEAD_BYTES
        must_pause = is_far or is_ahead or is_discarded or self.is_held_back
        if must_pause == self._is_reading_paused or self.transport is None:
            return
        self._is_reading_paused = must_pause
        if must_pause:
            self.transport.pause_reading()
        else:
            self._read_at = self.server.clock()
            self.transport.resume_reading()
        self.recount()

    def _note_held_back(self) -> None:
        """Note whether the request that arrives has to wait for memory."""
        is_arriving = not self._is_serving and self._refused_at is None
        must_wait = is_arriving and self.server.memory.is_short and self._reader.size > SMALL_BYTES
        if must_wait and self._held_back_at is None:
            self._held_back_at = self.server.clock()
        elif not must_wait and self._held_back_at is not None:
            self._held_back_s += self.server.clock() - self._held_back_at
            self._held_back_at = None

    def _check_head(self) -> None:
        req = self._reader.req
        assert req is not None
        if self._reader.is_chunked and find(req.headers, b"content-length") is not None:
            # Whoever stands before us may frame such a request in another way.
            self._refuse(400)
        elif _head_bytes(req) > self._limits.header_bytes:
            # The reader bounds only what it has to keep waiting.
            self._refuse(431)
        elif self._reader.announced_bytes > self._limits.body_bytes:
            self._refuse(413)

    def _check_body(self, before: int) -> None:
        """Refuse a body that is too long, or begins while there is no memory for it.

        Parameters
        ----------
        before : int
            Bytes of it that had been read before.
        """
        size = len(self._reader.body)
        if size > self._limits.body_bytes:
            self._refuse(413)
        elif (
            self.server.memory.is_full
            and not before
            and size > SMALL_BYTES
            and self.server.memory.has_no_room
        ):
            self._refuse(503)

    def _continue_body(self) -> None:
        """Ask for the body if the client waits to be asked."""
        parser = self._reader.parser
        if self._refused_at is None and parser.they_are_waiting_for_100_continue:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self.write(parser.send(go_on))

    def _start(self) -> None:
        if self._refused_at is not None:
            return
        reader = self._reader
        assert reader.req is not None
        inc = self._incoming = Incoming(
            self, reader.req, reader.take_body(), self._request_arrived_at()
        )
        self._began_at = None
        if reader.buffer:
            # The next request's first byte came with this request's last one.
            self._note_first_byte()
        self.task = asyncio.get_running_loop().create_task(self._run(inc))

    def _request_arrived_at(self) -> float:
        """Return when the first byte of the request came, by the runtime's clock."""
        return self._began_at if self._began_at is not None else self.server.clock()

    async def _run(self, inc: Incoming) -> None:
        # The end of a client that left before its request was read is read after the request.
        await asyncio.sleep(0)
        if self._gone or self.transport is None or self.transport.is_closing():
            self.task = None
            self.abort(EndCause.CLIENT)
            return
        try:
            await self.server.serve(inc)
        except ClientGone:
            self.abort(EndCause.CLIENT)
        except asyncio.CancelledError:
            if not (self._gone or self.server.is_closing):
                log.error("serving a request was cancelled", started=inc.started)
                self._end_failed(inc)
                return
            self.abort()
            raise
        except Exception:
            log.exception("serving a request failed", started=inc.started, ended=inc.ended)
            self._end_failed(inc)
            return
        if inc.ended:
            self.finished()
        else:
            self.task = None
            self.abort(EndCause.INCOMPLETE)

    def _end_failed(self, inc: Incoming) -> None:
        """End the connection of a request whose serving failed, with an answer if none began."""
        if inc.ended:
            # The answer is whole, and a part of it may not be sent yet.
            self.finished()
            return
        self.task = None
        if inc.started or self._gone or self.transport is None or self.transport.is_closing():
            # Whatever was sent so far must not look complete.
            self.abort(EndCause.ERROR)
            return
        # The parser may have rejected the answer and accept no other.
        self.transport.write(ERROR_RESPONSE)
        inc.started = inc.ended = True
        self.close(EndCause.ERROR)

    def _refuse(self, status: int) -> None:
        self._refused_at = self.server.clock()
        if self._gone or self.transport is None or self.transport.is_closing():
            # The client has left: nobody reads the refusal.
            self.abort(EndCause.CLIENT)
            return
        self.server.turns.discard(self)
        self._reader.clear()
        self.recount()
        self.pace_reading()
        parser = self._reader.parser
        if parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self.write(parser.send(h11.Response(status_code=status, headers=headers)))
            self.write(parser.send(h11.EndOfMessage()))


def _head_bytes(req: h11.Request) -> int:
    line = len(req.method) + len(req.target) + len(b"  HTTP/1.1\r\n\r\n")
    return line + sum(len(name) + len(value) + 4 for name, value in req.headers)
