"""How requests ended at a replica: what this instance saw, and what all found together."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from gradelug_policy import Circuit

FAILURE_WEIGHT = 0.25
"""Share of the newest outcome in a replica's failure rate."""
FAILURE_HALF_LIFE_S = 4.0
"""A replica that is avoided gets no new outcomes; its failures count half after this."""
CIRCUIT_FAILURES = 3
CIRCUIT_OPEN_S = 1.5
PROBE_SPACING_S = 0.1
"""Requests that are to find out how a replica is are so far apart: the first one's outcome may save
the next."""


@dataclass(slots=True)
class OutcomeTally:
    """How requests of this instance ended at a replica, until it is told.

    Parameters
    ----------
    served, failed, broken, full : int
        Answered; failed by the replica; lost on the way or not answered; not run for want of room.
    took_s : float
        Time that whole answers took together, in seconds.
    """

    served: int = 0
    failed: int = 0
    broken: int = 0
    full: int = 0
    took_s: float = 0.0

    @property
    def count(self) -> int:
        """All requests that ended."""
        return self.served + self.failed + self.broken + self.full


@dataclass(slots=True, frozen=True)
class ToldFinding:
    """What all instances together found of a replica.

    Parameters
    ----------
    failing : float
        Part of the requests that fail, 0 to 1.
    held_back : float
        Part of the requests that are to go elsewhere, 0 to 1.
    took_s : float
        Mean time of an answer, in seconds; 0 if unknown.
    may_probe : bool
        Whether this instance is the one that may probe it.
    until : float
        How long it holds, by the runtime's clock.
    """

    failing: float
    held_back: float
    took_s: float
    may_probe: bool
    until: float


class Health:
    """Outcomes of the requests that were sent to a replica."""

    __slots__ = ("_rate_at", "_probed_at", "_rate", "circuit", "heard_at", "tally", "told")

    def __init__(self) -> None:
        self.circuit = Circuit(CIRCUIT_FAILURES, CIRCUIT_OPEN_S)
        self._rate = 0.0
        self._rate_at = 0.0
        self._probed_at = float("-inf")
        self.heard_at = float("-inf")
        """When something came from it last."""
        self.tally = OutcomeTally()
        self.told: dict[str, ToldFinding] = {}
        """Of all halls under an empty name, and of this instance's hall."""

    def shared_rate(self, now: float) -> float:
        """Return the part of requests that failed lately, here or over all instances, 0 to 1."""
        told = (found.failing for found in self._findings(now))
        return max(self.rate(now), *told, 0.0)

    def rate(self, now: float) -> float:
        """Return the part of this instance's requests that failed lately, 0 to 1."""
        return self._rate * math.exp2(-(now - self._rate_at) / FAILURE_HALF_LIFE_S)

    def held_back(self, now: float) -> float:
        """Return the part of the requests that are to go elsewhere, 0 to 1."""
        return max((found.held_back for found in self._findings(now)), default=0.0)

    def took_s(self, now: float) -> float:
        """Return the mean time of an answer over all instances, 0 if unknown."""
        return max((found.took_s for found in self._findings(now)), default=0.0)

    def allows(self, now: float, chance: float) -> bool:
        """Tell whether a request may be sent; `chance` is drawn evenly from 0 to 1."""
        return self.circuit.allows(now) and chance >= self.held_back(now)

    def may_probe(self, now: float) -> bool:
        """Tell whether the next request is to find out how the replica is."""
        if now - self._probed_at < PROBE_SPACING_S:
            return False
        return any(found.may_probe for found in self._findings(now))

    def note_probe(self, now: float) -> None:
        """Note that a request is to find out how the replica is."""
        self._probed_at = now

    def note(self, failed: bool, now: float, took_s: float = 0.0) -> None:
        """Take into account that the replica failed a request or answered it.

        Parameters
        ----------
        took_s : float
            How long a whole answer took, in seconds; 0 to take no account of it.
        """
        self.tally.failed += failed
        self.tally.served += not failed
        self.tally.took_s += took_s
        self._record(failed, now)

    def note_broken(self, now: float) -> None:
        """Take into account that a request was lost on the way, or not answered."""
        self.tally.broken += 1
        self._record(True, now)

    def note_late(self, now: float) -> None:
        """Take into account that an answer did not come in time, as from a replica with a queue.

        It is told to nobody: where much is asked for, all replicas are late now and then, and one
        that is left alone makes the others later.
        """
        self._record(True, now)

    def note_full(self, now: float) -> None:
        """Take into account that a request was not run for want of room."""
        self.tally.full += 1
        self._record(False, now)

    @property
    def has_tally(self) -> bool:
        """Whether a request ended that has not been told of."""
        return self.tally.count > 0

    def take_tally(self) -> OutcomeTally:
        """Return what has not been told yet, and begin anew."""
        tally, self.tally = self.tally, OutcomeTally()
        return tally

    def _record(self, failed: bool, now: float) -> None:
        rate = self.rate(now) * (1 - FAILURE_WEIGHT) + FAILURE_WEIGHT * failed
        self._rate, self._rate_at = rate, now
        if failed:
            self.circuit.note_failure(now)
        else:
            self.circuit.note_success()

    def _findings(self, now: float) -> t.Iterator[ToldFinding]:
        return (found for found in self.told.values() if now < found.until)
