"""Reports of requests that crash replicas, from gateways to a planner, and its findings.

All gateways report to one planner, that of the coordinating service, for replicas of any service.
"""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.poison import END_GATHER_S, EndLedger
from gradelug_wire import placement_pb2 as pb

from .fingerprints import format_fingerprint
from .follower import Follower
from .model import FleetState
from .poison import PoisonFindings, PoisonGuard
from .poison_record import PoisonRecord

log = logbook.Logger("poison")
REPEAT_INTERVAL_S = 1.0
"""Interval at which unchanged findings are repeated, in seconds, for gateways that have connected
since: 16 bytes for each blocked request or suspect, 3 KB at most."""


class PoisonReporter:
    """Reports this gateway's observations to a planner; implements `parts.GatewayExtension`.

    Parameters
    ----------
    guard : PoisonGuard
        The guard of this gateway.
    is_coordinator : callable
        Returns whether the planner is that of the coordinating service.
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
        """Sequence number of the newest observation reported on this stream."""

    def begin_stream(self) -> None:
        """Report all observations again, because a new planner has none of them."""
        self._last_reported = 0

    def fill(self, message: pb.FromGateway) -> None:
        """Add the observations since the last message."""
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
            end.suspects.add(
                mark=observation.fingerprint, weight=observation.weight, parts=observation.parts
            )
            newest = max(newest, observation.number)
        for number, fingerprint in self._guard.cleared:
            if number > self._last_reported:
                message.cleared.append(fingerprint)
                newest = max(newest, number)
        message.ended.extend(ends.values())
        self._last_reported = newest

    def take(self, message: pb.FromPlanner) -> None:
        """Apply the planner's findings."""
        if not message.HasField("poison") or not self._is_coordinator():
            return
        news = message.poison
        self._guard.planner_findings = PoisonFindings(
            frozenset(news.blocked), frozenset(news.suspects)
        )


class PoisonAggregator:
    """Aggregates observations of all gateways; implements `parts.PlannerExtension` at a planner.

    Parameters
    ----------
    service : str
        The planner's service.
    state : FleetState
        Replicas and configuration from the store.
    record : PoisonRecord
        The record in the store, which outlives the planner.
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
        """Add the observations of a gateway to the ledger."""
        if not (message.ended or message.cleared):
            return
        ledger = self._open_ledger(now)
        for end in message.ended:
            at = now - end.age_ms / 1000
            for suspect in end.suspects:
                ledger.note_end(end.life, suspect.mark, suspect.weight, at, suspect.parts)
        for fingerprint in message.cleared:
            if ledger.note_served(fingerprint) | ledger.parts.note_sound(fingerprint, now):
                log.info(
                    "cleared",
                    fingerprint=format_fingerprint(fingerprint),
                    gateway=follower.instance,
                )
        self._has_changed = True

    def leave(self, follower: Follower, now: float) -> None:
        """Do nothing: observations stay valid after their gateway disconnects."""

    def forget(self, replica: str) -> None:
        """Do nothing: observations stay valid after their replica is gone."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Evaluate the ledger, add the findings to an update for all gateways, and store them."""
        if self._state.coordinating_service != self._service:
            return
        if not self._has_changed and now - self._published_at < REPEAT_INTERVAL_S:
            return
        self._published_at = now
        if self._removal_count != self._record.removal_count:
            self._removal_count = self._record.removal_count
            self._ledger = EndLedger()
        ledger = self._open_ledger(now)
        for blocked in ledger.parts.judge(now, END_GATHER_S):
            log.warning(
                "blocked part of prompts",
                part=format_fingerprint(blocked.part),
                ends=blocked.ends,
                requests=blocked.requests,
                score=round(blocked.score, 2),
            )
        for found in ledger.judge(now, END_GATHER_S):
            log.warning(
                "blocked",
                fingerprint=format_fingerprint(found.fingerprint),
                ends=found.ends,
                score=round(found.score, 2),
            )
        # Ends that are still being gathered may change the findings.
        self._has_changed = ledger.is_gathering(now, END_GATHER_S)
        self._record.save(ledger)
        news.poison.SetInParent()
        news.poison.blocked.extend((*ledger.blocked, *ledger.parts.blocked))
        news.poison.suspects.extend((*ledger.suspects(), *ledger.parts.suspects()))

    def _open_ledger(self, now: float) -> EndLedger:
        """Return the ledger, restored from the record on first use."""
        if self._ledger is None:
            self._ledger = EndLedger()
            self._record.restore(self._ledger, now)
        return self._ledger
