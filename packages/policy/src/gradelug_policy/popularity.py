"""Tracks the request rate of each adapter with exponential decay."""

from __future__ import annotations

import math

MIN_RATE_PER_S = 1e-6


class Popularity:
    """Exponentially decayed request rates.

    Parameters
    ----------
    half_life_s : float
        Time after which the weight of a request has halved, in seconds.
    """

    __slots__ = ("_decay", "_rates")

    def __init__(self, half_life_s: float) -> None:
        self._decay = math.log(2) / half_life_s
        self._rates: dict[str, tuple[float, float]] = {}

    def note(self, key: str, now: float, amount: float = 1.0) -> None:
        """Add a request of weight `amount`."""
        rate, at = self._rates.get(key, (0.0, now))
        self._rates[key] = (rate * math.exp(-self._decay * (now - at)) + amount * self._decay, now)

    def rate(self, key: str, now: float) -> float:
        """Return the weighted requests per second for an adapter."""
        entry = self._rates.get(key)
        if entry is None:
            return 0.0
        rate, at = entry
        return rate * math.exp(-self._decay * (now - at))

    def prune(self, now: float) -> None:
        """Drop adapters whose rate has decayed below the minimum."""
        self._rates = {
            key: entry for key, entry in self._rates.items() if self.rate(key, now) > MIN_RATE_PER_S
        }
