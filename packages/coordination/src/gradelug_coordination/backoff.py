"""Jittered exponential back-off."""

from __future__ import annotations

import random


class Backoff:
    """Delays that grow with every failure and are spread at random.

    Full jitter: a delay is drawn from zero to the present ceiling, so that a fleet coming
    back after an outage does not come back at once.

    Parameters
    ----------
    first_s, most_s : float
        Ceiling after the first failure, and the greatest ceiling, in seconds.
    rng : random.Random
        Source of the jitter.
    """

    __slots__ = ("_ceiling_s", "_first_s", "_most_s", "_rng")

    def __init__(self, first_s: float, most_s: float, rng: random.Random) -> None:
        self._first_s = first_s
        self._most_s = most_s
        self._ceiling_s = first_s
        self._rng = rng

    def reset(self) -> None:
        """Forget past failures."""
        self._ceiling_s = self._first_s

    def next_delay(self) -> float:
        """Return the next delay in seconds."""
        ceiling = self._ceiling_s
        self._ceiling_s = min(self._most_s, ceiling * 2)
        return self._rng.uniform(ceiling / 4, ceiling)
