"""How often each adapter is asked for, older requests counting less."""

from __future__ import annotations

import math

MIN_RATE = 1e-6


class Popularity:
    """Exponentially decayed request rates.

    Parameters
    ----------
    half_life_s : float
        After this long, in seconds, a request counts half.
    """

    __slots__ = ("_decay", "_rates")

    def __init__(self, half_life_s: float) -> None:
        self._decay = math.log(2) / half_life_s
        self._rates: dict[str, tuple[float, float]] = {}

    def note(self, key: str, now: float, amount: float = 1.0) -> None:
        """Count a request, `amount` being its weight."""
        rate, at = self._rates.get(key, (0.0, now))
        self._rates[key] = (rate * math.exp(-self._decay * (now - at)) + amount * self._decay, now)

    def rate(self, key: str, now: float) -> float:
        """Return the weighted rate of requests, per second."""
        known = self._rates.get(key)
        if known is None:
            return 0.0
        rate, at = known
        return rate * math.exp(-self._decay * (now - at))

    def prune(self, now: float) -> None:
        """Forget adapters whose rate has decayed to nothing."""
        self._rates = {
            key: known for key, known in self._rates.items() if self.rate(key, now) > MIN_RATE
        }
