"""Detection of replicas that ended while they had requests of this gateway.

Used by the poison guard, which counts replica ends against the requests that were running there.
"""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_http import NEW_CONN_IDLE_S, ConnectFailed, ConnectRefused, HttpPool

from .model import FleetState, Replica
from .presence_check import LISTENER_END_S

log = logbook.Logger("replica ends")
CHECK_CONNECT_TIMEOUT_S = 0.35
"""An ended process refuses connections within a round trip; a lost packet is not waited for."""
REMOVAL_REPORT_S = 8.0
"""Time within which the platform reports an unreachable replica as removed: its entry expires after
three missed heartbeats (3.6 s), and instances of large fleets poll every 2.2 s."""


class _EndCheck:
    """A check whether a replica incarnation ended, after responses from it were interrupted."""

    __slots__ = ("has_ended", "replica", "since", "task", "weights")

    def __init__(self, replica: Replica, since: float) -> None:
        self.replica = replica
        self.since = since
        self.weights: dict[bytes, float] = {}
        """Weight of each request whose response was interrupted, by request digest."""
        self.has_ended = False
        self.task: asyncio.Task[None] | None = None


class EndDetector:
    """Distinguishes the end of a replica from the end of a connection.

    Links reset connections, responses get lost, and replicas close connections that are read too
    slowly. A replica counts as ended only if it refuses a new connection or the platform reports it
    as removed or restarted.

    Parameters
    ----------
    pool : HttpPool
        Opens connections to replicas.
    state : FleetState
        The replicas as last reported by the platform.
    clock : callable
        The runtime's clock.
    note_end : callable
        Receives the incarnation of an ended replica, and the requests there with their weights.
    has_links : callable or None
        Coroutine function that returns, given the address of a replica, whether this instance can
        connect to any other; a refusal says nothing about the replica otherwise. None to trust
        every refusal.
    """

    __slots__ = ("_clock", "_checks", "_has_links", "_note_end", "_pool", "_state", "ended")

    def __init__(
        self,
        pool: HttpPool,
        state: FleetState,
        clock: t.Callable[[], float],
        note_end: t.Callable[[str, t.Mapping[bytes, float]], None],
        has_links: t.Callable[[str], t.Awaitable[bool]] | None = None,
    ) -> None:
        self._has_links = has_links
        self._pool = pool
        self._state = state
        self._clock = clock
        self._note_end = note_end
        self._checks: dict[str, _EndCheck] = {}
        self.ended = 0
        """Number of replicas that ended while they had requests of this gateway."""

    def note_broken(self, replica: Replica, mark: bytes, weight: float) -> None:
        """Record an interrupted response, with the weight of an end against its request."""
        known = self._state.replicas.get(replica.name)
        if known is None or known.leaving:
            # No request causes a planned end: it is announced, or the entry is removed first.
            return
        check = self._checks.get(_incarnation(replica))
        if check is None:
            check = self._checks[_incarnation(replica)] = _EndCheck(replica, self._clock())
            check.task = asyncio.create_task(self._check(check))
        check.weights[mark] = max(weight, check.weights.get(mark, 0.0))
        if check.has_ended:
            self._note_end(_incarnation(replica), {mark: weight})

    def note_refused(self, replica: Replica) -> None:
        """Record that a replica refuses connections."""
        check = self._checks.get(_incarnation(replica))
        if check is None or check.has_ended:
            return
        if self._has_links is None:
            self._confirm(check, "connection refused")
            return
        if check.task is not None:
            check.task.cancel()
        check.task = asyncio.create_task(self._confirm_refusal(check))

    def poll(self) -> None:
        """Confirm ends that the platform reports, and drop checks that have expired."""
        now = self._clock()
        for incarnation, check in list(self._checks.items()):
            known = self._state.replicas.get(check.replica.name)
            if known is None or known.born != check.replica.born:
                self._confirm(check, "removed or restarted according to the platform")
            if now - check.since > REMOVAL_REPORT_S:
                del self._checks[incarnation]

    async def _check(self, check: _EndCheck) -> None:
        """Open a connection to a replica: success clears it, a refusal confirms its end."""
        await asyncio.sleep(LISTENER_END_S)
        try:
            conn = await self._pool.acquire(
                check.replica.address, CHECK_CONNECT_TIMEOUT_S, NEW_CONN_IDLE_S
            )
        except ConnectRefused:
            await self._confirm_refusal(check)
        except ConnectFailed as exc:
            log.info("end of replica not confirmed", replica=check.replica.name, why=str(exc))
        else:
            conn.close()
            self._checks.pop(_incarnation(check.replica), None)

    async def _confirm_refusal(self, check: _EndCheck) -> None:
        """Confirm the end of a replica that refuses connections, unless all others do too."""
        if self._has_links is None or await self._has_links(check.replica.address):
            self._confirm(check, "connection refused")
        else:
            log.info(
                "end of replica not confirmed",
                replica=check.replica.name,
                why="no other replica can be connected",
            )

    def _confirm(self, check: _EndCheck, why: str) -> None:
        if check.has_ended:
            return
        check.has_ended = True
        self.ended += 1
        log.info("ended", replica=check.replica.name, requests=len(check.weights), why=why)
        self._note_end(_incarnation(check.replica), check.weights)


def _incarnation(replica: Replica) -> str:
    return f"{replica.name}@{replica.born}"
