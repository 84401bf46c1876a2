"""Request outcomes of a replica, as this instance observed them and as all instances combined.

The selection of replicas reads the failure rate, the circuit breaker and the verdicts of planners
from here.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from gradelug_policy import Circuit

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in a replica's failure rate, a moving average."""
FAILURE_HALF_LIFE_S = 4.0
"""Half-life of the failure rate, in seconds: a replica that is avoided gets no new outcomes."""
CIRCUIT_FAILURES = 3
CIRCUIT_OPEN_S = 1.5
PROBE_INTERVAL_S = 0.1
"""Minimum interval between probes of a replica, in seconds: the outcome of the first one may make
the next unnecessary."""


@dataclass(slots=True)
class OutcomeTally:
    """Counts of this instance's request outcomes at a replica that are not reported yet.

    Parameters
    ----------
    served, failed, broken, full : int
        Requests that were answered; that the replica failed; that were lost in transit or got no
        answer; that were not run for lack of capacity.
    took_s : float
        Sum of the durations of complete answers, in seconds.
    """

    served: int = 0
    failed: int = 0
    broken: int = 0
    full: int = 0
    took_s: float = 0.0

    @property
    def count(self) -> int:
        """Number of requests that ended."""
        return self.served + self.failed + self.broken + self.full


@dataclass(slots=True, frozen=True)
class SharedVerdict:
    """A planner's verdict on a replica, from the outcomes that all gateways report.

    Parameters
    ----------
    failing : float
        Fraction of the requests that fail, 0 to 1.
    held_back : float
        Fraction of the requests to send to other replicas, 0 to 1; 1 if the replica is ejected.
    took_s : float
        Mean response time, in seconds; 0 if unknown.
    may_probe : bool
        Whether this instance is the one that may probe the replica.
    until : float
        When the verdict expires, by the runtime's clock, in seconds.
    """

    failing: float
    held_back: float
    took_s: float
    may_probe: bool
    until: float


class Health:
    """Failure rate, circuit breaker and verdicts of one replica."""

    __slots__ = (
        "_rate_at",
        "_probed_at",
        "_rate",
        "circuit",
        "last_received_at",
        "tally",
        "shared_verdicts",
    )

    def __init__(self) -> None:
        self.circuit = Circuit(CIRCUIT_FAILURES, CIRCUIT_OPEN_S)
        self._rate = 0.0
        self._rate_at = 0.0
        self._probed_at = float("-inf")
        self.last_received_at = float("-inf")
        """When data was received from the replica last, by the runtime's clock, in seconds."""
        self.tally = OutcomeTally()
        self.shared_verdicts: dict[str, SharedVerdict] = {}
        """Verdicts by hall: the one for all halls under an empty name, and that for this hall."""

    def shared_rate(self, now: float) -> float:
        """Return the highest recent failure rate, of this instance or of all combined, 0 to 1."""
        shared = (verdict.failing for verdict in self._valid_verdicts(now))
        return max(self.rate(now), *shared, 0.0)

    def rate(self, now: float) -> float:
        """Return the recent failure rate of this instance's requests, 0 to 1."""
        return self._rate * math.exp2(-(now - self._rate_at) / FAILURE_HALF_LIFE_S)

    def held_back(self, now: float) -> float:
        """Return the fraction of the requests to send to other replicas, 0 to 1."""
        return max((verdict.held_back for verdict in self._valid_verdicts(now)), default=0.0)

    def took_s(self, now: float) -> float:
        """Return the mean response time over all instances, in seconds; 0 if unknown."""
        return max((verdict.took_s for verdict in self._valid_verdicts(now)), default=0.0)

    def allows(self, now: float, chance: float) -> bool:
        """Return whether a request may be sent; `chance` is a uniform random number, 0 to 1."""
        return self.circuit.allows(now) and chance >= self.held_back(now)

    def may_probe(self, now: float) -> bool:
        """Return whether the next request may be sent as a probe."""
        if now - self._probed_at < PROBE_INTERVAL_S:
            return False
        return any(verdict.may_probe for verdict in self._valid_verdicts(now))

    def note_probe(self, now: float) -> None:
        """Record that a request is sent as a probe."""
        self._probed_at = now

    def note(self, failed: bool, now: float, took_s: float = 0.0) -> None:
        """Record that the replica answered or failed a request.

        Parameters
        ----------
        failed : bool
            Whether the replica failed the request.
        now : float
            Time of the runtime's clock, in seconds.
        took_s : float
            Duration of a complete answer, in seconds; 0 to leave it out.
        """
        self.tally.failed += failed
        self.tally.served += not failed
        self.tally.took_s += took_s
        self._record(failed, now)

    def note_broken(self, now: float) -> None:
        """Record that a request was lost in transit or got no answer."""
        self.tally.broken += 1
        self._record(True, now)

    def note_late(self, now: float) -> None:
        """Record that an answer was late, as from a replica with a queue.

        It is not reported to planners: under high load all replicas are late at times, and ejecting
        one would delay the others further.
        """
        self._record(True, now)

    def note_full(self, now: float) -> None:
        """Record that a request was not run for lack of capacity."""
        self.tally.full += 1
        self._record(False, now)

    @property
    def has_tally(self) -> bool:
        """Whether there are outcomes that are not reported yet."""
        return self.tally.count > 0

    def take_tally(self) -> OutcomeTally:
        """Return the outcomes that are not reported yet and reset the counts."""
        tally, self.tally = self.tally, OutcomeTally()
        return tally

    def _record(self, failed: bool, now: float) -> None:
        rate = self.rate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self._rate, self._rate_at = rate, now
        if failed:
            self.circuit.note_failure(now)
        else:
            self.circuit.note_success()

    def _valid_verdicts(self, now: float) -> t.Iterator[SharedVerdict]:
        return (verdict for verdict in self.shared_verdicts.values() if now < verdict.until)
