"""How much is sent to a replica that was left alone: nothing, probes, more and more."""

from __future__ import annotations

import math
import typing as t
from enum import Enum

from .outcomes import Ended, FailureEvidence, Source

MIN_OPEN_S = 1.0
"""How long nothing is sent after the first ejection, in seconds: connections and processes that
come back do so within seconds."""
MAX_OPEN_S = 8.0
"""The same after many, each of which doubles it."""
STRIKE_HALF_LIFE_S = 30.0
"""An earlier ejection counts half after this, in seconds: a replica that comes and goes does so
several times a minute."""
PROBER_PERIOD_S = 0.5
"""How long one gateway is the prober, in seconds; then another one is, which may have requests."""
REQUIRED_PROBES = 4
"""Answers without a failure that a replica must give to its probers: one that fails 40% of its
requests gives them once in eight times, and is ejected for longer after that."""
MAX_PROBING_S = 15.0
"""Nobody had a probe to send in this time, in seconds: so few requests may go there as well."""
RAMP_UP_S = 2.0
"""From a replica's return until it gets all of its requests again, in seconds: it is judged anew
by some requests before many depend on it."""
RAMP_UP_STEPS = 4
"""The part that is held back falls in so many steps, so that news are few."""


class EjectionPhase(Enum):
    """How much is sent to a replica."""

    CLOSED = "closed"
    """As usual."""
    OPEN = "open"
    """Nothing."""
    PROBING = "probing"
    """One gateway's probes."""
    RAMP = "ramp"
    """More and more."""


class ReplicaEjection:
    """A replica's standing in the view of one hall, or of all."""

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
        """What it was ejected for last."""
        self._open_s = 0.0
        self._since = -math.inf
        self._strikes = 0.0
        self._strikes_at = 0.0
        self._prober = ""
        self._prober_since = -math.inf
        self._probers: set[str] = set()

    def strikes(self, now: float) -> float:
        """Return how often it was ejected, earlier times counting less."""
        return self._strikes * math.exp2(-(now - self._strikes_at) / STRIKE_HALF_LIFE_S)

    def eject(self, evidence: FailureEvidence, now: float) -> None:
        """Leave the replica alone, longer if that happened before."""
        strikes = self.strikes(now)
        self._open_s = min(MAX_OPEN_S, MIN_OPEN_S * math.exp2(strikes))
        self._strikes, self._strikes_at = strikes + 1, now
        self.evidence = evidence
        self._enter(EjectionPhase.OPEN, now)

    def take(self, source: Source, ended: Ended, now: float) -> None:
        """Take outcomes into account, if they are a prober's."""
        if self.phase is not EjectionPhase.PROBING or source.name not in self._probers:
            return
        if ended.bad:
            self._enter(EjectionPhase.OPEN, now)
            return
        self.probed += ended.good
        if self.probed >= REQUIRED_PROBES:
            self._enter(EjectionPhase.RAMP, now)

    def step(self, now: float) -> bool:
        """Take the time that has passed into account; tell whether the replica has returned."""
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
        """Whether nothing but probes goes there."""
        return self.phase in (EjectionPhase.OPEN, EjectionPhase.PROBING)

    def held_back(self, now: float) -> float:
        """Return the part of the requests that are to go elsewhere."""
        if self.is_ejected:
            return 1.0
        if self.phase is EjectionPhase.CLOSED:
            return 0.0
        steps = math.floor((now - self._since) / RAMP_UP_S * RAMP_UP_STEPS)
        return max(0.0, 1 - (steps + 1) / (RAMP_UP_STEPS + 1))

    def prober(self, choose: t.Callable[[str], str], now: float) -> str:
        """Return who may probe now.

        Parameters
        ----------
        choose : callable
            Returns the next prober after the one whose turn is over, empty if there is none.
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
