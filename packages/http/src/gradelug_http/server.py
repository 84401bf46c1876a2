"""An HTTP/1.1 server that hands over whole requests and answers them part by part."""

from __future__ import annotations

import asyncio
import socket
import typing as t
from dataclasses import dataclass

import logbook

from .after_poll import call_after_poll
from .caller_memory import CallerMemory, Upstreams
from .connection_ends import ConnectionEnd, EndCause
from .connection_limit import RestingConnections
from .draining import close_listener, drain, open_listener
from .incoming import Incoming
from .server_connection import ServerConnection
from .turns import Turns

log = logbook.Logger("server")
SWEEP_S = 0.25
MAX_SWEEP_DELAY_S = 0.25
"""A sweep that is later than this is logged: the process was suspended or busy meanwhile."""
BACKLOG = 1024
"""Connections that the kernel keeps until they are accepted."""
ACCEPTS_PER_TURN = 64


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


Serve = t.Callable[["Incoming"], t.Awaitable[None]]


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
    max_connections : int
        Connections that may be open at the same time; 0 for any number.
    """

    def __init__(
        self,
        serve: Serve,
        limits: t.Callable[[], ServerLimits],
        clock: t.Callable[[], float],
        most_bytes: int = 0,
        upstreams: Upstreams | None = None,
        on_end: t.Callable[[ConnectionEnd], None] = lambda end: None,
        max_connections: int = 0,
    ) -> None:
        self._max_connections = max_connections
        self._resting: RestingConnections[ServerConnection] = RestingConnections()
        self.on_end = on_end
        self.serve = serve
        self.limits = limits
        self.clock = clock
        self.draining = False
        """Whether each connection is closed after its next answer, unless a further request has
        begun to arrive by then."""
        self.is_closing = False
        """Whether requests in progress are cancelled because the server ends."""
        self.connections: set[ServerConnection] = set()
        self.memory = CallerMemory(most_bytes, clock, self.connections, upstreams)
        """What is kept for all callers."""
        self.turns = Turns()
        """Connections with more to decode."""
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

    def make_room(self, newcomer: ServerConnection) -> None:
        """Close a resting connection for a new one, or the new one, if there are too many."""
        if not 0 < self._max_connections < len(self.connections):
            return
        resting = self._resting.take(self.connections, self.clock())
        if resting is None:
            newcomer.abort(EndCause.CROWDED)
        else:
            call_after_poll(lambda: resting.close_if_idle(EndCause.CROWDED))

    async def _listen(self, listener: socket.socket) -> int:
        """Accept connections from a bound socket, and return its port."""
        self._listener = listener
        # The backlog is the number of attempts to accept in one turn as well, each of which is
        # logged while the process has no descriptors left.
        self._server = await asyncio.get_running_loop().create_server(
            self.new_connection, sock=listener, backlog=ACCEPTS_PER_TURN
        )
        listener.listen(BACKLOG)
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
        self._sweep_due_at = now + SWEEP_S
        # An error below must not end the sweeps.
        self._sweeper = asyncio.get_running_loop().call_later(SWEEP_S, self._sweep)
        idle_s = self.limits().idle_s
        overdue = [conn for conn in self.connections if conn.is_overdue(now, idle_s)]
        if overdue:
            # A suspended or busy process has not read yet what arrived in time.
            call_after_poll(lambda: self._end_overdue(overdue, now, idle_s))
        self.memory.check()

    def _end_overdue(self, conns: t.Iterable[ServerConnection], now: float, idle_s: float) -> None:
        for conn in conns:
            if conn.is_overdue(now, idle_s):
                self._end_one_overdue(conn)

    def _end_one_overdue(self, conn: ServerConnection) -> None:
        try:
            conn.end_overdue()
        except Exception:
            log.exception("could not close or refuse a connection that is overdue")
            conn.drop()

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
    def held(self) -> int:
        """Bytes kept for all callers."""
        return self.memory.held

    @property
    def shed(self) -> int:
        """Callers given up since the start because they did not read or send."""
        return self.memory.shed
