"""Replicas that fall over if they reject too many requests in a second.

Such a replica is treated as if it named a rate limit, so that planners grant its capacity to the
requests of all instances; and an instance whose request it rejects pauses.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.brittleness import pause_s, safe_burst, safe_rate
from gradelug_policy.replica_limits import ReportedLimit
from gradelug_policy.rests import ReportedBackoff

from .invalid_values import InvalidValueLog
from .limits import ReplicaLimits
from .model import FleetState, Replica
from .rests import BackoffTracker

log = logbook.Logger("brittleness")
SERVICE_VALIDITY_S = 5.0
"""Time for which a report is taken to apply to all replicas of the service, in seconds: one that
fell over is back within that time."""
DEFAULT_RESPONSE_S = 0.1
RESPONSE_WEIGHT = 0.2
"""Weight of the newest response in the average. Times that all instances share include rejections,
and fall more slowly than the load."""


@dataclass(slots=True, frozen=True)
class ReportedTolerance:
    """Rejections per second that a replica bears, as reported in a response.

    Parameters
    ----------
    rejections : float or None
        Number of rejections; None if the replica does not report to be brittle.
    invalid_text : str
        Reported value that is not a number; empty if there is none.
    """

    rejections: float | None = None
    invalid_text: str = ""


class BrittlenessTracker:
    """Derives limits and pauses from what brittle replicas report.

    Parameters
    ----------
    state : FleetState
        Services and replicas.
    limits : ReplicaLimits
        Limits of replicas, to which derived ones are added.
    rests : BackoffTracker
        Replicas to which this instance sends nothing for a while.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    is_on : bool
        Whether reports are respected; otherwise they are only logged.
    """

    __slots__ = (
        "_clock",
        "_invalid_values",
        "_is_on",
        "_limits",
        "_responses_s",
        "_rests",
        "_services",
        "_state",
    )

    def __init__(
        self,
        state: FleetState,
        limits: ReplicaLimits,
        rests: BackoffTracker,
        clock: t.Callable[[], float],
        is_on: bool = True,
    ) -> None:
        self._state = state
        self._limits = limits
        self._rests = rests
        self._clock = clock
        self._is_on = is_on
        self._services: dict[str, float] = {}
        """Time of the last report, by service."""
        self._responses_s: dict[str, float] = {}
        """Moving average of response times, in seconds, by name of the replica."""
        self._invalid_values = InvalidValueLog(log, "invalid tolerance in a response")

    def limit(
        self, replica: Replica, tolerance: ReportedTolerance, reported: ReportedLimit
    ) -> ReportedLimit:
        """Return the limit of a replica: the reported one, or a lower one if it is brittle."""
        if tolerance.invalid_text:
            self._invalid_values.note(replica.name, tolerance.invalid_text)
        if tolerance.rejections is None:
            return reported
        self._note_report(replica.service, tolerance.rejections)
        if not self._is_on or self._state.has_engines(replica.service) or reported.invalid_text:
            # Planners reckon with the slots of engines in any case.
            return reported
        derived = self._derive(replica)
        if reported.rate is not None and derived.rate is not None:
            return derived._replace(rate=min(reported.rate, derived.rate))
        return derived

    def note_response(self, replica: Replica, took_s: float) -> None:
        """Record the duration of a complete response, in seconds."""
        before_s = self._responses_s.get(replica.name, took_s)
        self._responses_s[replica.name] = before_s + RESPONSE_WEIGHT * (took_s - before_s)

    def forget_removed(self, known: t.Container[str]) -> None:
        """Drop the state of replicas that are not in `known`."""
        self._invalid_values.forget_removed(known)
        self._responses_s = {
            name: took_s for name, took_s in self._responses_s.items() if name in known
        }

    def note_rejection(self, replica: Replica, tolerance: ReportedTolerance) -> None:
        """Pause after a brittle replica rejected a request for lack of capacity."""
        if tolerance.rejections is None or not self._is_on:
            return
        rest_s = pause_s(tolerance.rejections, self._limits.instance_count)
        self._rests.update_from_answer(replica, ReportedBackoff(rest_s))

    def assume_limit(self, replica: Replica) -> None:
        """Apply a limit to a replica of a brittle service that has not responded yet."""
        reported_at = self._services.get(replica.service, -math.inf)
        now = self._clock()
        if now - reported_at >= SERVICE_VALIDITY_S or not self._is_on:
            return
        self._responses_s.setdefault(replica.name, self._usual_response_s(replica.service))
        if self._limits.fact(replica.name) is None and not self._state.has_engines(replica.service):
            self._limits.update_from_answer(replica.name, self._derive(replica), now)

    def _usual_response_s(self, service: str) -> float:
        """Return the mean response time of a service's replicas, in seconds."""
        known = self._state.replicas
        times = [
            took_s
            for name, took_s in self._responses_s.items()
            if name in known and known[name].service == service
        ]
        return sum(times) / len(times) if times else DEFAULT_RESPONSE_S

    def _note_report(self, service: str, rejections: float) -> None:
        now = self._clock()
        if now - self._services.get(service, -math.inf) >= SERVICE_VALIDITY_S:
            log.warning("replicas are brittle", service=service, rejections=rejections)
        self._services[service] = now

    def _derive(self, replica: Replica) -> ReportedLimit:
        response_s = self._responses_s.get(replica.name, DEFAULT_RESPONSE_S)
        rate = safe_rate(replica.slots, response_s, self._limits.rate(replica.name))
        return ReportedLimit(rate, burst=safe_burst(replica.slots))
