"""Controls the return of an ejected replica: no requests, then probes, then a gradual ramp-up."""

from __future__ import annotations

import math
import typing as t
from enum import Enum

from .outcomes import FailureEvidence, OutcomeCounts, Source

MIN_OPEN_S = 1.0
"""Time without requests after the first ejection, in seconds; connections and processes recover
within seconds."""
MAX_OPEN_S = 8.0
"""Maximum time without requests, in seconds; each ejection doubles it."""
STRIKE_HALF_LIFE_S = 30.0
"""Half-life of the weight of earlier ejections, in seconds: an unstable replica fails several times
a minute."""
PROBER_PERIOD_S = 0.5
"""Time for which one gateway is the prober, in seconds; then another is, which may have
requests."""
REQUIRED_PROBES = 4
"""Consecutive successes required of a probed replica. One that fails 40% of its requests reaches
them once in eight times, and is ejected for longer after that."""
MAX_PROBING_S = 15.0
"""Maximum time in probing, in seconds. If no gateway had a probe to send in it, so few requests may
be sent as usual."""
RAMP_UP_S = 2.0
"""Time from a replica's return until it receives all of its requests again, in seconds. It is
evaluated again by some requests before many depend on it."""
RAMP_UP_STEPS = 4
"""Number of steps in which the diverted fraction falls, which limits the number of updates."""


class EjectionPhase(Enum):
    """Phase of an ejection, by the requests that are sent to the replica."""

    CLOSED = "closed"
    """All requests."""
    OPEN = "open"
    """No requests."""
    PROBING = "probing"
    """Probes of one gateway."""
    RAMP = "ramp"
    """An increasing fraction of the requests."""


class ReplicaEjection:
    """Ejection state of a replica, for the gateways of one hall or of all."""

    __slots__ = (
        "_open_s",
        "_prober",
        "_prober_since",
        "_probers",
        "_since",
        "_strikes",
        "_strikes_at",
        "evidence",
        "phase",
        "probed",
    )

    def __init__(self) -> None:
        self.phase = EjectionPhase.CLOSED
        self.probed = 0
        self.evidence = FailureEvidence(0, 0.0, 0, 0)
        """Evidence of the most recent ejection."""
        self._open_s = 0.0
        self._since = -math.inf
        self._strikes = 0.0
        self._strikes_at = 0.0
        self._prober = ""
        self._prober_since = -math.inf
        self._probers: set[str] = set()

    def strikes(self, now: float) -> float:
        """Return the number of ejections, weighted by age."""
        return self._strikes * math.exp2(-(now - self._strikes_at) / STRIKE_HALF_LIFE_S)

    def eject(self, evidence: FailureEvidence, now: float) -> None:
        """Eject the replica, for longer if that happened before."""
        strikes = self.strikes(now)
        self._open_s = min(MAX_OPEN_S, MIN_OPEN_S * math.exp2(strikes))
        self._strikes, self._strikes_at = strikes + 1, now
        self.evidence = evidence
        self._enter(EjectionPhase.OPEN, now)

    def take(self, source: Source, ended: OutcomeCounts, now: float) -> None:
        """Apply outcomes if a prober reported them."""
        if self.phase is not EjectionPhase.PROBING or source.name not in self._probers:
            return
        if ended.bad:
            self._enter(EjectionPhase.OPEN, now)
            return
        self.probed += ended.good
        if self.probed >= REQUIRED_PROBES:
            self._enter(EjectionPhase.RAMP, now)

    def step(self, now: float) -> bool:
        """Advance to the current time; return whether the replica has fully returned."""
        elapsed_s = now - self._since
        if self.phase is EjectionPhase.OPEN and elapsed_s >= self._open_s:
            self._enter(EjectionPhase.PROBING, now)
        elif self.phase is EjectionPhase.PROBING and elapsed_s >= MAX_PROBING_S:
            self._enter(EjectionPhase.RAMP, now)
        elif self.phase is EjectionPhase.RAMP and elapsed_s >= RAMP_UP_S:
            self._enter(EjectionPhase.CLOSED, now)
            return True
        return False

    @property
    def is_ejected(self) -> bool:
        """Whether nothing but probes is sent to the replica."""
        return self.phase in (EjectionPhase.OPEN, EjectionPhase.PROBING)

    def diverted_fraction(self, now: float) -> float:
        """Return the fraction of the requests to divert to other replicas."""
        if self.is_ejected:
            return 1.0
        if self.phase is EjectionPhase.CLOSED:
            return 0.0
        steps = math.floor((now - self._since) / RAMP_UP_S * RAMP_UP_STEPS)
        return max(0.0, 1 - (steps + 1) / (RAMP_UP_STEPS + 1))

    def prober(self, choose: t.Callable[[str], str], now: float) -> str:
        """Return the gateway that may probe now, empty for none.

        Parameters
        ----------
        choose : callable
            Returns the next prober for the previous one, empty if there is none.
        now : float
            Current time, in seconds.
        """
        if self.phase is not EjectionPhase.PROBING:
            return ""
        if not self._prober or now - self._prober_since >= PROBER_PERIOD_S:
            self._prober, self._prober_since = choose(self._prober), now
            self._probers.add(self._prober)
        return self._prober

    def _enter(self, phase: EjectionPhase, now: float) -> None:
        self.phase = phase
        self._since = now
        self.probed = 0
        self._prober = ""
        self._probers.clear()
