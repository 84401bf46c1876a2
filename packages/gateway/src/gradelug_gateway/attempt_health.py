"""What attempts at replicas show of the replicas' health."""

from __future__ import annotations

import typing as t

from gradelug_http import ResponseBroken

from .brittleness import BrittlenessTracker
from .exceptions import GATEWAY_TIMEOUT
from .exchange import Exchange
from .fleet import Fleet
from .job import Outcome
from .response_wait import ReplicaSilent
from .time_check import TimeCheck

OVERDUE_TARGETS = 1.2
OVERDUE_FACTOR = 3.0
"""A request without a response is overdue after this many of its target times and this many times
the duration expected at sending; queue lengths are known with a delay of half a second."""


class AttemptHealth:
    """Records the outcomes of attempts in the health of their replicas.

    Parameters
    ----------
    fleet : Fleet
        Health of all replicas.
    brittleness : BrittlenessTracker
        Learns how many requests replicas bear.
    time_check : TimeCheck
        Learns how long whole responses take.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_brittleness", "_clock", "_fleet", "_time_check")

    def __init__(
        self,
        fleet: Fleet,
        brittleness: BrittlenessTracker,
        time_check: TimeCheck,
        clock: t.Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._brittleness = brittleness
        self._time_check = time_check
        self._clock = clock

    def is_overdue(self, exchange: Exchange) -> bool:
        """Return whether a request without a response must have reached the head of the queue."""
        if exchange.is_running:
            return False
        job, replica = exchange.job, exchange.replica
        if job.service.engine is not None:
            usual_s = exchange.expected_s
        else:
            usual_s = self._fleet.health(replica.name).took_s(self._clock())
        overdue_after_s = max(OVERDUE_TARGETS * job.route.target_s, OVERDUE_FACTOR * usual_s)
        return self._clock() - exchange.sent_at >= overdue_after_s

    def is_excused(self, exchange: Exchange) -> bool:
        """Return whether a break says nothing about the replica nor about the request.

        The stream ended because this instance asked for it, or it was abandoned in a silence that
        is no evidence against its replica.
        """
        was_stopped = exchange.run is not None and exchange.run.was_stop_requested
        return was_stopped or exchange.is_excused

    def note_broken(self, exchange: Exchange, exc: ResponseBroken) -> None:
        """Record an attempt whose response broke off."""
        health, now = self._fleet.health(exchange.replica.name), self._clock()
        is_early = isinstance(exc, ReplicaSilent) and not self.is_overdue(exchange)
        if is_early or exchange.conn.via:
            # A tunnel also ends with the peer that it passes through.
            health.note_late(now)
        else:
            health.note_broken(now)

    def note_outcome(self, exchange: Exchange, outcome: Outcome) -> None:
        """Record an attempt that was answered."""
        health, now = self._fleet.health(exchange.replica.name), self._clock()
        if outcome is Outcome.FULL:
            health.note_full(now)
            return
        if outcome is Outcome.RAN and exchange.status == GATEWAY_TIMEOUT:
            health.note_late(now)
            return
        is_whole = outcome is Outcome.DONE and not exchange.job.route.streaming
        if is_whole:
            self._time_check.times.note(
                exchange.replica.service, exchange.job.route.name, now - exchange.sent_at
            )
            self._brittleness.note_response(exchange.replica, now - exchange.sent_at)
        health.note(outcome is Outcome.RAN, now, now - exchange.sent_at if is_whole else 0.0)
