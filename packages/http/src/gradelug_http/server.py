"""An HTTP/1.1 server that hands over whole requests and answers them part by part."""

from __future__ import annotations

import asyncio
import socket
import typing as t
from dataclasses import dataclass

import h11
import logbook

from .budget import SlowReader, read_ahead, to_shed
from .connection_ends import ConnectionEnd, EndCause, RequestState
from .draining import close_listener, drain, open_listener
from .exceptions import ClientGone
from .headers import Header, Headers, find

log = logbook.Logger("server")
IDLE_SLACK = 1.25
"""Idle connections are closed this much later than stated, for clients that are slow to know."""
SWEEP_S = 0.25
MAX_SWEEP_DELAY_S = 0.25
"""A sweep that is later than this is logged: the process was suspended or busy meanwhile."""
BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted."""
LINGER_S = 0.5
"""After a refusal, what still arrives is read this long so that the client sees its answer."""
ERROR_RESPONSE = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)
"""The answer to a request whose serving raised an unexpected error."""
READ_AHEAD_BYTES = 262_144
"""What a client may send ahead while a request of its is being served."""


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Bounds on what clients send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Longest head and body.
    header_s : float
        How long a request may take to arrive, in seconds.
    idle_s : float
        How long a connection may rest, in seconds. A change does not shorten a rest that has
        begun.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_s: float = 3.0
    idle_s: float = 15.0


class Upstreams(t.Protocol):
    """Answers on their way to callers, as a pool of connections keeps them."""

    @property
    def connections(self) -> int:
        """Connections that are open."""
        ...

    def held(self) -> int:
        """Return the bytes that came and were not read yet."""
        ...

    def bound_read_ahead(self, size: int) -> None:
        """Let each answer be so many bytes ahead of its reader."""
        ...


Serve = t.Callable[["Incoming"], t.Awaitable[None]]


def call_after_poll(callback: t.Callable[[], None]) -> None:
    """Call back once the loop has looked at its sockets and handled what they had received.

    The loop polls between two turns; what it finds is handled in the second one, and the callback
    runs in the third.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, callback)


class HttpServer:
    """Accepts connections and runs `serve` in a task for each request.

    Parameters
    ----------
    serve : callable
        Coroutine function that answers an `Incoming`; cancelled when the client leaves.
    limits : callable
        Returns the limits in force.
    clock : callable
        The runtime's clock.
    most_bytes : int
        Bytes that may be kept for all callers together; 0 for no bound.
    upstreams : Upstreams or None
        Where answers come from, if what they are ahead counts.
    on_end : callable
        Called with the end of each connection.
    """

    def __init__(
        self,
        serve: Serve,
        limits: t.Callable[[], ServerLimits],
        clock: t.Callable[[], float],
        most_bytes: int = 0,
        upstreams: Upstreams | None = None,
        on_end: t.Callable[[ConnectionEnd], None] = lambda end: None,
    ) -> None:
        self.on_end = on_end
        self._most_bytes = most_bytes
        self._upstreams = upstreams
        self.held = 0
        """Bytes kept for all callers, as last counted."""
        self.shed = 0
        """Callers given up since the start because they did not read."""
        self.serve = serve
        self.limits = limits
        self.clock = clock
        self.draining = False
        """Whether each connection is closed after its next answer, unless a further request has
        begun to arrive by then."""
        self.is_closing = False
        """Whether requests in progress are cancelled because the server ends."""
        self.connections: set[ServerConnection] = set()
        self._server: asyncio.Server | None = None
        self._listener: socket.socket | None = None
        self._sweeper: asyncio.TimerHandle | None = None
        self._sweep_due_at: float | None = None
        self.longest_delay_s = 0.0
        """Longest time by which a sweep was late, in seconds."""

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port."""
        return await self._listen(open_listener(host, port))

    @property
    def in_progress(self) -> int:
        """Requests being served."""
        return sum(conn.task is not None for conn in self.connections)

    def new_connection(self) -> ServerConnection:
        """Return the protocol of a connection that is about to come up."""
        return ServerConnection(self)

    async def _listen(self, listener: socket.socket) -> int:
        """Accept connections from a bound socket, and return its port."""
        self._listener = listener
        self._server = await asyncio.get_running_loop().create_server(
            self.new_connection, sock=listener, backlog=BACKLOG
        )
        self.start_sweeping()
        return int(listener.getsockname()[1])

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served, or an answer is not sent yet."""
        return any(conn.is_busy for conn in self.connections)

    @property
    def unfinished(self) -> int:
        """Requests being served, and answers of which a part is not sent yet."""
        return sum(conn.task is not None or conn.unsent > 0 for conn in self.connections)

    @property
    def is_connected(self) -> bool:
        """Whether any connection is open."""
        return bool(self.connections)

    def close_rested(self, rest_s: float) -> None:
        """Close the connections that rest for some time since their last answer, in seconds."""
        rested = [conn for conn in self.connections if conn.has_rested(rest_s)]
        if rested:
            call_after_poll(lambda: self._close_rested(rested, rest_s))

    def _close_rested(self, conns: t.Iterable[ServerConnection], rest_s: float) -> None:
        for conn in conns:
            if conn.has_rested(rest_s):
                conn.close()

    async def stop_listening(self) -> None:
        """Take the connections that wait to be accepted, and accept no more."""
        if self._server is not None and self._listener is not None:
            listener, self._listener = self._listener, None
            await close_listener(self._server, listener, self.new_connection)

    def end_connections(self) -> None:
        """Close the connections on which no request is being served."""
        for conn in list(self.connections):
            conn.end()

    async def finish(self, until: float) -> int:
        """Stop listening, answer what is on its way, and close all connections.

        Parameters
        ----------
        until : float
            Time by which this ends, by the runtime's clock.

        Returns
        -------
        int
            Requests and answers that were cut off.
        """
        cut = await drain(self, until)
        await self.close()
        return cut

    async def close(self) -> None:
        """Stop listening and end everything at once."""
        self.is_closing = True
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        tasks = [conn.task for conn in self.connections if conn.task is not None]
        for conn in list(self.connections):
            conn.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def start_sweeping(self) -> None:
        """Check the time limits of all connections from now on."""
        self._sweep()

    def _sweep(self) -> None:
        now = self.clock()
        self._note_delay(now)
        idle_s = self.limits().idle_s
        overdue = [conn for conn in self.connections if conn.is_overdue(now, idle_s)]
        if overdue:
            # A suspended or busy process has not read yet what arrived in time.
            call_after_poll(lambda: self._end_overdue(overdue, now, idle_s))
        if self._most_bytes:
            self._keep_within(self._most_bytes)
        self._sweep_due_at = now + SWEEP_S
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)

    def _end_overdue(self, conns: t.Iterable[ServerConnection], now: float, idle_s: float) -> None:
        for conn in conns:
            if conn.is_overdue(now, idle_s):
                conn.end_overdue()

    def _note_delay(self, now: float) -> None:
        """Log a sweep that is late."""
        if self._sweep_due_at is None:
            return
        delay_s = now - self._sweep_due_at
        self.longest_delay_s = max(self.longest_delay_s, delay_s)
        if delay_s > MAX_SWEEP_DELAY_S:
            log.info(
                "event loop was held up",
                delay_s=round(delay_s, 3),
                connections=len(self.connections),
                in_progress=self.in_progress,
            )

    @property
    def is_full(self) -> bool:
        """Whether no further body can be kept."""
        return 0 < self._most_bytes < self.held

    def _keep_within(self, most_bytes: int) -> None:
        """Count what is kept for callers and give up those that do not read if it is too much."""
        conns = list(self.connections)
        self.held = sum(conn.held for conn in conns)
        if self._upstreams is not None:
            self.held += self._upstreams.held()
            self._upstreams.bound_read_ahead(read_ahead(most_bytes, self._upstreams.connections))
        readers = [
            SlowReader(number, conn.paused_since, conn.held)
            for number, conn in enumerate(conns)
            if conn.paused_since is not None
        ]
        for reader in to_shed(most_bytes, self.held, readers):
            self.shed += 1
            log.warning(
                "caller given up, it does not read",
                unread_s=round(self.clock() - reader.since, 3),
                size=reader.size,
                held=self.held,
            )
            conns[reader.number].abort(EndCause.UNREAD)


class ServerConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.task: asyncio.Task[None] | None = None
        self._limits = server.limits()
        """Limits of the request that is being received, in force when its first byte came."""
        self._h11 = self._new_parser()
        self._max_head_bytes = self._limits.header_bytes
        """Longest incomplete head for which the parser waits."""
        self._req: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._began_at: float | None = None
        self._rested_at = server.clock()
        self._idle_s = self._limits.idle_s
        """Idle timeout that was in force when the connection began to rest."""
        self._refused_at: float | None = None
        self._drained: asyncio.Future[None] | None = None
        self.paused_since: float | None = None
        """Since when the client does not read, None if it does."""
        self._held_up_s = 0.0
        self._gone = False
        self._incoming: Incoming | None = None
        self.opened_at = self._read_at = server.clock()
        self._answered = 0
        self._end: ConnectionEnd | None = None
        """How the server ended it, None if it did not."""

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        self.transport = t.cast(asyncio.Transport, transport)
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request that is being served."""
        self._gone = True
        self.server.connections.discard(self)
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

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if self._refused_at is not None:
            return
        self._read_at = self.server.clock()
        if self._began_at is None:
            self._note_first_byte()
        self._h11.receive_data(data)
        if self.task is None:
            self._parse()
        elif len(self._h11.trailing_data[0]) > READ_AHEAD_BYTES:
            # Far more than a next request, sent before this one's answer.
            self.abort(EndCause.AHEAD)

    # Used by the server and by requests.

    @property
    def held(self) -> int:
        """Bytes of the request's body, and of the answer that was not sent yet."""
        return self._size + self.unsent

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
        return self.task is None and self._began_at is None

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
        return self.server.draining and not self._h11.trailing_data[0]

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
        if self.transport is not None:
            self.transport.abort()

    def _note_end(self, cause: EndCause) -> None:
        if self._end is None and self.transport is not None and not self.transport.is_closing():
            self._end = self._describe_end(cause)

    def _describe_end(self, cause: EndCause) -> ConnectionEnd:
        now = self.server.clock()
        is_read_whole = self._h11.their_state in (h11.DONE, h11.MUST_CLOSE)
        return ConnectionEnd(
            cause,
            self._request_state(),
            self._size,
            len(self._h11.trailing_data[0]) if is_read_whole else 0,
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
        if self._refused_at is not None:
            return now - self._refused_at > LINGER_S
        if self.task is not None:
            return False
        if self._began_at is not None:
            return now - self._began_at > self._limits.header_s
        return now - self._rested_at > max(self._idle_s, idle_s) * IDLE_SLACK

    def end_overdue(self) -> None:
        """Refuse a request that arrives too slowly, close a connection that rests too long."""
        if self._refused_at is not None:
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

    def send_event(self, event: t.Any) -> None:
        """Send a part of an answer; raises `ClientGone`."""
        self.write(self._h11.send(event))

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
        if self._h11.our_state is not h11.DONE or self._h11.their_state is not h11.DONE:
            if self.server.draining:
                self.linger(EndCause.ANSWERED)
            else:
                self.close(EndCause.ANSWERED)
            return
        self._h11.start_next_cycle()
        self._bound_next_head()
        self._req = None
        self._body = []
        self._size = 0
        self._held_up_s = 0.0
        self._rested_at = self.server.clock()
        self._idle_s = self.server.limits().idle_s
        waiting = bool(self._h11.trailing_data[0])
        self._began_at = self._rested_at if waiting else None
        self._parse()

    def _note_first_byte(self) -> None:
        self._began_at = self.server.clock()
        self._limits = self.server.limits()
        self._bound_next_head()

    def _bound_next_head(self) -> None:
        """Replace the parser if it waits for heads of another length than the limits state."""
        if self._max_head_bytes == self._limits.header_bytes:
            return
        if self._h11.their_state is not h11.IDLE:
            # The parser is still needed for the request before; `finished` replaces it.
            return
        received, _ = self._h11.trailing_data
        self._h11 = self._new_parser()
        self._max_head_bytes = self._limits.header_bytes
        if received:
            self._h11.receive_data(received)

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._limits.header_bytes)

    def _parse(self) -> None:
        while self._refused_at is None:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as exc:
                self._refuse(exc.error_status_hint)
                return
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    go_on = h11.InformationalResponse(status_code=100, headers=[])
                    self.write(self._h11.send(go_on))
                return
            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return
            self._take(event)

    def _take(self, event: t.Any) -> None:
        if isinstance(event, h11.Request):
            self._req = event
            headers = list(event.headers)
            if find(headers, b"transfer-encoding") and find(headers, b"content-length"):
                # Whoever stands before us may frame such a request in another way.
                self._refuse(400)
            elif _head_bytes(event) > self._limits.header_bytes:
                # The parser bounds only what it has to keep waiting.
                self._refuse(431)
        elif isinstance(event, h11.Data):
            self._body.append(bytes(event.data))
            self._size += len(event.data)
            if self.server.is_full:
                self._refuse(503)
            elif self._size > self._limits.body_bytes:
                self._refuse(413)
        elif isinstance(event, h11.EndOfMessage):
            self._start()

    def _start(self) -> None:
        assert self._req is not None
        inc = self._incoming = Incoming(
            self, self._req, b"".join(self._body), self._request_arrived_at()
        )
        self._began_at = None
        if self._h11.trailing_data[0]:
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
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0"), (b"Connection", b"close")]
            self.write(self._h11.send(h11.Response(status_code=status, headers=headers)))
            self.write(self._h11.send(h11.EndOfMessage()))


def _head_bytes(req: h11.Request) -> int:
    line = len(req.method) + len(req.target) + len(b"  HTTP/1.1\r\n\r\n")
    return line + sum(len(name) + len(value) + 4 for name, value in req.headers)


class Incoming:
    """A request that arrived whole, and the way to answer it.

    Parameters
    ----------
    conn : ServerConnection
        Where it came in.
    req : h11.Request
        Its head.
    body : bytes
        Its body, without framing.
    arrived_at : float
        When its first byte came, by the runtime's clock.
    """

    __slots__ = (
        "_conn",
        "arrived_at",
        "body",
        "ended",
        "headers",
        "method",
        "started",
        "target",
    )

    def __init__(
        self, conn: ServerConnection, req: h11.Request, body: bytes, arrived_at: float
    ) -> None:
        self._conn = conn
        self.method = req.method
        self.target = req.target
        self.headers: tuple[Header, ...] = tuple(req.headers.raw_items())
        self.body = body
        self.arrived_at = arrived_at
        self.started = False
        """Whether an answer has begun."""
        self.ended = False
        """Whether the answer is whole."""

    def header(self, name: bytes) -> bytes | None:
        """Return a header's first value, `name` in lower case."""
        return find(self.headers, name)

    @property
    def held_up_s(self) -> float:
        """How long the client has let the answer lie unread, in seconds."""
        return self._conn.held_up_s

    @property
    def connected_at(self) -> float:
        """When its connection was opened, by the runtime's clock."""
        return self._conn.opened_at

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer whole; raises `ClientGone`."""
        self._head(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body and self.method != b"HEAD":
            self._conn.send_event(h11.Data(data=body))
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length; raises `ClientGone`."""
        self._head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part, waiting for a client that reads slowly; raises `ClientGone`."""
        self._conn.send_event(h11.Data(data=data))
        await self._conn.wait_sent()

    def finish(self) -> None:
        """End the answer as whole; raises `ClientGone`."""
        self._conn.send_event(h11.EndOfMessage())
        self.ended = True

    def _head(self, status: int, headers: Headers) -> None:
        sent = [*headers]
        if self._conn.is_last:
            sent.append((b"Connection", b"close"))
        self._conn.send_event(h11.Response(status_code=status, headers=sent))
        self.started = True
