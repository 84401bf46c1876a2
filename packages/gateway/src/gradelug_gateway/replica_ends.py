"""Finds out which replicas ended while they had requests of this gateway."""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_http import ConnectFailed, ConnectRefused, HttpPool

from .model import FleetState, Replica

log = logbook.Logger("replica ends")
CONNECT_S = 0.35
"""A process that ended refuses connections within a round trip; a lost packet is not waited for."""
WORD_S = 8.0
"""The platform tells within this time of a replica that cannot be reached: its entry goes after
three missed heartbeats, 3.6 s, and instances of large fleets look 2.2 s apart."""
NEVER_USED_S = -1.0
"""No connection was idle for less: a new one is opened."""


class _Doubt:
    """A replica of which answers broke off, in one of its lives."""

    __slots__ = ("has_ended", "replica", "since", "task", "weights")

    def __init__(self, replica: Replica, since: float) -> None:
        self.replica = replica
        self.since = since
        self.weights: dict[bytes, float] = {}
        """The requests whose answers broke off."""
        self.has_ended = False
        self.task: asyncio.Task[None] | None = None


class EndWatch:
    """Tells a replica that ended from a connection that did.

    Links reset connections, answers get lost, and replicas cut what is read too slowly. Only where
    a new connection is refused, or the platform says that the replica is gone, did it end.

    Parameters
    ----------
    pool : HttpPool
        Connections to replicas.
    state : FleetState
        What the platform has told.
    clock : callable
        The runtime's clock.
    note_end : callable
        Takes the replica's life and the requests that were there.
    """

    __slots__ = ("_clock", "_doubts", "_note_end", "_pool", "_state", "ended")

    def __init__(
        self,
        pool: HttpPool,
        state: FleetState,
        clock: t.Callable[[], float],
        note_end: t.Callable[[str, t.Mapping[bytes, float]], None],
    ) -> None:
        self._pool = pool
        self._state = state
        self._clock = clock
        self._note_end = note_end
        self._doubts: dict[str, _Doubt] = {}
        self.ended = 0
        """Replicas that ended under requests of this gateway."""

    def note_broken(self, replica: Replica, mark: bytes, weight: float) -> None:
        """Note that a request's answer broke off, and how much that would say against it."""
        known = self._state.replicas.get(replica.name)
        if known is None or known.leaving:
            # A planned end is no request's doing: it is announced, or the entry goes before.
            return
        doubt = self._doubts.get(_life(replica))
        if doubt is None:
            doubt = self._doubts[_life(replica)] = _Doubt(replica, self._clock())
            doubt.task = asyncio.create_task(self._check(doubt))
        doubt.weights[mark] = max(weight, doubt.weights.get(mark, 0.0))
        if doubt.has_ended:
            self._note_end(_life(replica), {mark: weight})

    def note_refused(self, replica: Replica) -> None:
        """Note that a replica refuses connections."""
        doubt = self._doubts.get(_life(replica))
        if doubt is not None:
            self._confirm(doubt, "it refuses connections")

    def look(self) -> None:
        """Follow what the platform tells of replicas that cannot be reached."""
        now = self._clock()
        for life, doubt in list(self._doubts.items()):
            known = self._state.replicas.get(doubt.replica.name)
            if known is None or known.born != doubt.replica.born:
                self._confirm(doubt, "the platform tells of its end")
            if now - doubt.since > WORD_S:
                del self._doubts[life]

    async def _check(self, doubt: _Doubt) -> None:
        """Connect to a replica: it runs, it has ended, or nothing is known."""
        try:
            conn = await self._pool.acquire(doubt.replica.address, CONNECT_S, NEVER_USED_S)
        except ConnectRefused:
            self._confirm(doubt, "it refuses connections")
        except ConnectFailed as exc:
            log.info("not known to have ended", replica=doubt.replica.name, why=str(exc))
        else:
            conn.close()
            self._doubts.pop(_life(doubt.replica), None)

    def _confirm(self, doubt: _Doubt, why: str) -> None:
        if doubt.has_ended:
            return
        doubt.has_ended = True
        self.ended += 1
        log.info("ended", replica=doubt.replica.name, requests=len(doubt.weights), why=why)
        self._note_end(_life(doubt.replica), doubt.weights)


def _life(replica: Replica) -> str:
    return f"{replica.name}@{replica.born}"
