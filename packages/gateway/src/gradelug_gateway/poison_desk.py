"""What gateways tell a planner of requests that end replicas, and what it finds.

All gateways tell one planner, the one that keeps the quotas, whatever service a replica belongs to.
"""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.poison import GATHER_S, EndLedger
from gradelug_wire import placement_pb2 as pb

from .fingerprints import shown
from .followers import Follower
from .model import FleetState
from .poison import PoisonFindings, PoisonGuard
from .poison_record import PoisonRecord

log = logbook.Logger("poison")
REPEAT_INTERVAL_S = 1.0
"""It is told this often at least, in seconds, for gateways that have come: 16 bytes for each
request that is blocked or suspected, 3 KB at the most."""


class PoisonReporter:
    """Tells the planner what ended here; implements `parts.GatewayPart`.

    Parameters
    ----------
    guard : PoisonGuard
        Of this gateway.
    is_home : callable
        Whether the planner is the one that all are told to.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_guard", "_is_coordinator", "_last_reported")

    def __init__(
        self, guard: PoisonGuard, is_coordinator: t.Callable[[], bool], clock: t.Callable[[], float]
    ) -> None:
        self._guard = guard
        self._is_coordinator = is_coordinator
        self._clock = clock
        self._last_reported = 0
        """Number of the newest sighting that was told on this stream."""

    def begin_stream(self) -> None:
        """Tell everything again: another planner knows nothing of it."""
        self._last_reported = 0

    def fill(self, message: pb.FromGateway) -> None:
        """Put what was seen since the last message into this one."""
        if not self._is_coordinator():
            return
        now = self._clock()
        ends: dict[str, pb.ReplicaEnd] = {}
        newest = self._last_reported
        for observation in self._guard.observations:
            if observation.number <= self._last_reported:
                continue
            end = ends.get(observation.end)
            if end is None:
                age_ms = max(0, round((now - observation.at) * 1000))
                end = ends[observation.end] = pb.ReplicaEnd(life=observation.end, age_ms=age_ms)
            end.suspects.add(mark=observation.fingerprint, weight=observation.weight)
            newest = max(newest, observation.number)
        for number, fingerprint in self._guard.cleared:
            if number > self._last_reported:
                message.cleared.append(fingerprint)
                newest = max(newest, number)
        message.ended.extend(ends.values())
        self._last_reported = newest

    def take(self, message: pb.FromPlanner) -> None:
        """Take over what the planner found."""
        if not message.HasField("poison") or not self._is_coordinator():
            return
        told = message.poison
        self._guard.planner_findings = PoisonFindings(
            frozenset(told.blocked), frozenset(told.suspects)
        )


class PoisonDesk:
    """Keeps the ledger of all gateways at a planner; implements `parts.PlannerPart`.

    Parameters
    ----------
    service : str
        The planner's.
    state : FleetState
        What the platform has told.
    record : PoisonRecord
        What outlives the planner.
    """

    __slots__ = (
        "_has_changed",
        "_ledger",
        "_removal_count",
        "_record",
        "_service",
        "_state",
        "_published_at",
    )

    def __init__(self, service: str, state: FleetState, record: PoisonRecord) -> None:
        self._service = service
        self._state = state
        self._record = record
        self._ledger: EndLedger | None = None
        self._removal_count = record.removal_count
        self._has_changed = False
        self._published_at = float("-inf")

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Take over what ended at a gateway."""
        if not (message.ended or message.cleared):
            return
        ledger = self._open_ledger(now)
        for end in message.ended:
            at = now - end.age_ms / 1000
            for suspect in end.suspects:
                ledger.note_end(end.life, suspect.mark, suspect.weight, at)
        for fingerprint in message.cleared:
            if ledger.note_served(fingerprint):
                log.info("cleared", fingerprint=shown(fingerprint), gateway=follower.instance)
        self._has_changed = True

    def leave(self, follower: Follower, now: float) -> None:
        """What a gateway saw holds when it is gone."""

    def forget(self, replica: str) -> None:
        """What was at a replica counts when it is gone."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Judge anew, tell all gateways, and have the platform keep it."""
        if self._state.coordinating_service != self._service:
            return
        if not self._has_changed and now - self._published_at < REPEAT_INTERVAL_S:
            return
        self._published_at = now
        if self._removal_count != self._record.removal_count:
            self._removal_count = self._record.removal_count
            self._ledger = EndLedger()
        ledger = self._open_ledger(now)
        for found in ledger.judge(now, GATHER_S):
            log.warning(
                "blocked",
                fingerprint=shown(found.mark),
                ends=found.ends,
                score=round(found.score, 2),
            )
        # Ends that are still gathered may change it again.
        self._has_changed = ledger.is_gathering(now, GATHER_S)
        self._record.save(ledger)
        news.poison.SetInParent()
        news.poison.blocked.extend(ledger.blocked)
        news.poison.suspects.extend(ledger.suspects())

    def _open_ledger(self, now: float) -> EndLedger:
        """Return the ledger, as an earlier planner left it at first."""
        if self._ledger is None:
            self._ledger = EndLedger()
            self._record.restore(self._ledger, now)
        return self._ledger
