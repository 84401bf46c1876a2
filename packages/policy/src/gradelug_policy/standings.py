"""How much is sent to a replica that was left alone: nothing, probes, more and more."""

from __future__ import annotations

import math
import typing as t
from enum import Enum

from .outcomes import Ended, Evidence, Source

OPEN_S = 1.0
"""How long nothing is sent after the first ejection, in seconds: connections and processes that
come back do so within seconds."""
MOST_OPEN_S = 8.0
"""The same after many, each of which doubles it."""
STRIKE_HALF_LIFE_S = 30.0
"""An earlier ejection counts half after this, in seconds: a replica that comes and goes does so
several times a minute."""
PROBE_S = 0.5
"""How long one gateway is the prober, in seconds; then another one is, which may have requests."""
PROBES = 4
"""Answers without a failure that a replica must give to its probers: one that fails 40% of its
requests gives them once in eight times, and is ejected for longer after that."""
UNPROBED_S = 15.0
"""Nobody had a probe to send in this time, in seconds: so few requests may go there as well."""
RAMP_S = 2.0
"""From a replica's return until it gets all of its requests again, in seconds: it is judged anew
by some requests before many depend on it."""
RAMP_STEPS = 4
"""The part that is held back falls in so many steps, so that news are few."""


class Phase(Enum):
    """How much is sent to a replica."""

    CLOSED = "closed"
    """As usual."""
    OPEN = "open"
    """Nothing."""
    PROBING = "probing"
    """One gateway's probes."""
    RAMP = "ramp"
    """More and more."""


class Standing:
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
        self.phase = Phase.CLOSED
        self.probed = 0
        self.evidence = Evidence(0, 0.0, 0, 0)
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

    def eject(self, evidence: Evidence, now: float) -> None:
        """Leave the replica alone, longer if that happened before."""
        strikes = self.strikes(now)
        self._open_s = min(MOST_OPEN_S, OPEN_S * math.exp2(strikes))
        self._strikes, self._strikes_at = strikes + 1, now
        self.evidence = evidence
        self._enter(Phase.OPEN, now)

    def take(self, source: Source, ended: Ended, now: float) -> None:
        """Take outcomes into account, if they are a prober's."""
        if self.phase is not Phase.PROBING or source.name not in self._probers:
            return
        if ended.bad:
            self._enter(Phase.OPEN, now)
            return
        self.probed += ended.good
        if self.probed >= PROBES:
            self._enter(Phase.RAMP, now)

    def step(self, now: float) -> bool:
        """Take the time that has passed into account; tell whether the replica has returned."""
        rested_s = now - self._since
        if self.phase is Phase.OPEN and rested_s >= self._open_s:
            self._enter(Phase.PROBING, now)
        elif self.phase is Phase.PROBING and rested_s >= UNPROBED_S:
            self._enter(Phase.RAMP, now)
        elif self.phase is Phase.RAMP and rested_s >= RAMP_S:
            self._enter(Phase.CLOSED, now)
            return True
        return False

    @property
    def is_ejected(self) -> bool:
        """Whether nothing but probes goes there."""
        return self.phase in (Phase.OPEN, Phase.PROBING)

    def held_back(self, now: float) -> float:
        """Return the part of the requests that are to go elsewhere."""
        if self.is_ejected:
            return 1.0
        if self.phase is Phase.CLOSED:
            return 0.0
        steps = math.floor((now - self._since) / RAMP_S * RAMP_STEPS)
        return max(0.0, 1 - (steps + 1) / (RAMP_STEPS + 1))

    def prober(self, choose: t.Callable[[str], str], now: float) -> str:
        """Return who may probe now.

        Parameters
        ----------
        choose : callable
            Returns the next prober after the one whose turn is over, empty if there is none.
        """
        if self.phase is not Phase.PROBING:
            return ""
        if not self._prober or now - self._prober_since >= PROBE_S:
            self._prober, self._prober_since = choose(self._prober), now
            self._probers.add(self._prober)
        return self._prober

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._since = now
        self.probed = 0
        self._prober = ""
        self._probers.clear()
