"""Connections to upstreams that are kept and used again."""

from __future__ import annotations

import asyncio
import typing as t
import weakref
from collections import defaultdict

from .budget import MAX_BODY_BYTES, MOST_READ_AHEAD, BodyBudget
from .client import Connection, OutgoingRequest, ResponseHead, Wire
from .exceptions import ConnectFailed, ConnectRefused
from .idle_resets import IdleResets

MOST_IDLE = 512
"""Idle connections that are kept, 6.4 KB each: of one to each of 3,000 engines hardly any is used
again."""
NEW_CONN_IDLE_S = -1.0
"""Idle limit that no pooled connection meets, so that a new one is opened."""
P = t.TypeVar("P", bound=asyncio.BaseProtocol)
Dial = t.Callable[[str], t.Awaitable[Wire]]


async def connect_tcp(address: str, make: t.Callable[[], P]) -> P:
    """Connect to ``IP:port`` with a protocol from a factory; raises `OSError`."""
    host, _, port = address.rpartition(":")
    _, protocol = await asyncio.get_running_loop().create_connection(make, host, int(port))
    return protocol


async def dial_tcp(address: str) -> Wire:
    """Connect to ``IP:port``; raises `OSError`."""
    return await connect_tcp(address, Wire)


class HttpPool:
    """Opens connections and keeps idle ones by address.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    dial : callable
        Coroutine function that connects to an address.
    """

    __slots__ = (
        "_bodies",
        "_clock",
        "_idle",
        "_read_ahead",
        "_resting",
        "_wires",
        "dial",
        "doubted",
        "keeps",
        "opened",
        "resets",
    )

    def __init__(self, clock: t.Callable[[], float], dial: Dial | None = None) -> None:
        self._bodies = BodyBudget()
        self._clock = clock
        self.dial = dial or dial_tcp
        """Coroutine function that connects to an address."""
        self._idle: dict[str, list[Connection]] = defaultdict(list)
        self._wires: weakref.WeakSet[Wire] = weakref.WeakSet()
        self._read_ahead = MOST_READ_AHEAD
        self._resting: dict[Connection, None] = {}
        """All idle connections, the one that was used the longest ago first."""
        self.keeps: t.Callable[[str], int] = lambda address: MOST_IDLE
        """Returns how many idle connections to an address are kept."""
        self.opened = 0
        """Connections opened since the start."""
        self.doubted = 0
        """Idle connections closed since the start because another one had fallen silent."""
        self.resets = IdleResets(clock)
        """Decides how long a connection may have rested when it is used again."""

    async def acquire(
        self,
        address: str,
        limit_s: float,
        rested_s: float = float("inf"),
        may_use: t.Callable[[Connection], bool] = lambda conn: True,
        may_repeat: bool = True,
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
        may_use : callable
            Whether an idle connection may be used; those that may not are left idle.
        may_repeat : bool
            Whether the request may be sent again after a reset. One that may not gets a new
            connection where kept ones were reset lately.

        Raises
        ------
        ConnectFailed
            If none comes up in time.
        """
        if not may_repeat and self.resets.is_forgetful(address):
            return await self.open(address, limit_s)
        rested_s = min(rested_s, self.resets.max_rest_s(address))
        conn = self._take_idle(address, rested_s, may_use)
        return conn if conn is not None else await self.open(address, limit_s)

    def _take_idle(
        self, address: str, rested_s: float, may_use: t.Callable[[Connection], bool]
    ) -> Connection | None:
        """Return the idle connection that was used last, closing those that are unfit."""
        now = self._clock()
        idle = self._idle[address]
        skipped: list[Connection] = []
        found = None
        while idle and found is None:
            conn = idle.pop()
            if not (conn.is_fit(now) and now - conn.used_at <= rested_s):
                self._resting.pop(conn, None)
                conn.close()
            elif may_use(conn):
                self._resting.pop(conn, None)
                found = conn
            else:
                skipped.append(conn)
        idle.extend(reversed(skipped))
        return found

    @property
    def connections(self) -> int:
        """Connections that are open, idle ones included."""
        return sum(not wire.is_dropped for wire in self._wires)

    def held(self) -> int:
        """Return the bytes of answers that were not read yet, and of requests not sent yet."""
        return sum(wire.held for wire in self._wires)

    def bound_read_ahead(self, size: int) -> None:
        """Let each answer be so many bytes ahead of its reader."""
        self._read_ahead = size
        for wire in self._wires:
            wire.read_ahead = size

    @property
    def body_limit(self) -> int:
        """Bytes that the bodies that are being collected may have together."""
        return self._bodies.limit

    def bound_bodies(self, size: int, unsent: t.Callable[[], int] = lambda: 0) -> None:
        """Let the bodies that are being collected have so many bytes together, if that is less.

        `unsent` returns the bytes of answers that wait for their callers, which count as well.
        """
        self._bodies.limit = min(size, MAX_BODY_BYTES)
        self._bodies.unsent = unsent

    def release(self, conn: Connection, head: ResponseHead) -> None:
        """Take a connection back after a whole answer."""
        if conn.uses > 1 and not conn.via:
            self.resets.note_answer(conn.address, conn.rested_s, conn.sent_at)
        if conn.settle(head) and len(self._idle[conn.address]) < self.keeps(conn.address):
            self._idle[conn.address].append(conn)
            self._resting[conn] = None
            self._close_least_used()
        else:
            conn.close()

    def keep(self, conn: Connection) -> None:
        """Keep a connection that was opened and not used for the next request."""
        if conn.rest() and len(self._idle[conn.address]) < self.keeps(conn.address):
            self._idle[conn.address].append(conn)
            self._resting[conn] = None
            self._close_least_used()
        else:
            conn.close()

    async def exchange(
        self,
        address: str,
        req: OutgoingRequest,
        limit_s: float,
        most_bytes: int,
        whole_s: float = 0.0,
        rested_s: float = float("inf"),
        answer_s: float = 0.0,
        is_single: bool = False,
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
            How long it may take until the answer begins, and after that until its next part, in
            seconds: an answer of a megabyte takes a second of a link of 10 Mbit/s, and longer
            beside others.
        most_bytes : int
            Largest body that is taken.
        whole_s : float
            How long all of it may take, in seconds, where that is longer.
        rested_s : float
            Longest time that a connection used again may have been idle, in seconds.
        answer_s : float
            How long the whole exchange may take once the request is sent, in seconds, where that is
            longer than `limit_s`, which then bounds only the opening of the connection.
        is_single : bool
            Whether the connection carries this request alone: it is opened for it and closed after
            it, so that no answer to another one can be taken for its own.

        Raises
        ------
        ConnectFailed
            If no connection comes up.
        ResponseBroken
            If the answer is no whole answer.
        TimeoutError
            If time runs out after the request was sent.
        """
        began_at = asyncio.get_running_loop().time()
        until = began_at + max(limit_s, whole_s)
        async with asyncio.timeout_at(began_at + limit_s) as limit:
            conn = await self.acquire(address, limit_s, NEW_CONN_IDLE_S if is_single else rested_s)
            sent_at = self._clock()
            is_whole = False
            try:
                conn.send(req)
                if answer_s > limit_s:
                    limit.reschedule(began_at + answer_s)
                head = await conn.head(lambda head: True)
                if whole_s:
                    body = await self._read(conn, most_bytes, limit, limit_s, until)
                else:
                    body = await conn.body(most_bytes)
                if is_single:
                    conn.close()
                else:
                    self.release(conn, head)
                is_whole = True
                return head, body
            finally:
                if not is_whole:
                    self.note_broken(conn)
                    conn.abort()
                    self.doubt(address, sent_at)

    async def _read(
        self,
        conn: Connection,
        most_bytes: int,
        limit: asyncio.Timeout,
        limit_s: float,
        until: float,
    ) -> bytes:
        """Return a whole body, each part of which extends the time for the next one."""
        loop = asyncio.get_running_loop()

        def extend() -> None:
            limit.reschedule(min(until, loop.time() + limit_s))

        extend()
        return await conn.body(most_bytes, extend)

    def note_broken(self, conn: Connection) -> None:
        """Learn from a connection that broke, and close the idle ones that it shows to be dead."""
        if not conn.was_reset_unanswered or conn.via:
            # A tunnel is also reset by the peer that it passes through.
            return
        took_s = self._clock() - conn.sent_at
        if self.resets.note_reset(conn.address, conn.rested_s, took_s):
            self._close_rested(conn.address, conn.rested_s)

    def _close_rested(self, address: str, rested_s: float) -> None:
        """Close the idle connections to an address that rested at least so many seconds."""
        now = self._clock()
        for conn in [one for one in self._idle.get(address, ()) if now - one.used_at >= rested_s]:
            self._idle[address].remove(conn)
            self._resting.pop(conn, None)
            conn.close()

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
                self._resting.pop(conn, None)
                conn.close()
                self.doubted += 1
        if proven:
            self._idle[address] = proven

    def prune(self, addresses: t.Container[str]) -> None:
        """Close what is unfit, and every idle connection to other addresses than these."""
        now = self._clock()
        self.resets.forget_removed(addresses)
        for address in list(self._idle):
            kept = []
            for conn in self._idle[address]:
                if address in addresses and conn.is_fit(now):
                    kept.append(conn)
                else:
                    self._resting.pop(conn, None)
                    conn.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def _close_least_used(self) -> None:
        """Close the connections that were idle for longest, if there are too many."""
        while len(self._resting) > MOST_IDLE:
            conn = next(iter(self._resting))
            del self._resting[conn]
            self._idle[conn.address].remove(conn)
            conn.close()

    def close(self) -> None:
        """Close every idle connection."""
        self.prune(())

    async def open(self, address: str, limit_s: float) -> Connection:
        """Open a connection whether or not others are idle; parameters and errors of `acquire`."""
        self.opened += 1
        number = self.opened
        try:
            async with asyncio.timeout(limit_s):
                wire = await self.dial(address)
                wire.read_ahead = self._read_ahead
                self._wires.add(wire)
        except ConnectionRefusedError as exc:
            raise ConnectRefused(f"{address} cannot be reached: {exc!r}") from exc
        except (OSError, TimeoutError, ValueError) as exc:
            raise ConnectFailed(f"{address} cannot be reached: {exc!r}") from exc
        return Connection(wire, address, self._clock, number, self._bodies)
