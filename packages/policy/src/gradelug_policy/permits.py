"""The weight store's shared limit: a rate and a number of loads at once, most urgent first."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

PERMIT_TTL_S = 30.0
"""A permit whose holder has died lapses after this long."""


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """A load that waits for the store.

    Parameters
    ----------
    holder, engine, key : str
        Who asks, for which engine and adapter.
    urgency : float
        Priority; greater goes first.
    """

    holder: str
    engine: str
    key: str
    urgency: float


class StorePermits:
    """Divides the store's limit among all schedulers; kept by the member that owns the store.

    Parameters
    ----------
    rate : float
        Loads that may begin per second.
    parallel : int
        Loads at once.
    now : float
        The present moment.
    """

    __slots__ = (
        "_burst",
        "_expiry_by_permit",
        "_next_number",
        "_parallel",
        "_rate",
        "_tokens",
        "_updated_at",
    )

    def __init__(self, rate: float, parallel: int, now: float) -> None:
        self._rate = rate
        self._parallel = parallel
        self._burst = max(1.0, rate)
        self._tokens = 1.0
        self._updated_at = now
        self._expiry_by_permit: dict[int, float] = {}
        self._next_number = 1

    def limit(self, rate: float, parallel: int) -> None:
        """Change the limits."""
        self._rate, self._parallel = rate, parallel
        self._burst = max(1.0, rate)

    def try_take(self, now: float) -> int:
        """Return the number of a new permit, or 0 if the store is at its limit."""
        self._refill(now)
        if self._tokens < 1 or len(self._expiry_by_permit) >= self._parallel:
            return 0
        self._tokens -= 1
        number = self._next_number
        self._next_number += 1
        self._expiry_by_permit[number] = now + PERMIT_TTL_S
        return number

    def end(self, number: int) -> None:
        """Give a permit back."""
        self._expiry_by_permit.pop(number, None)

    def next_at(self, now: float) -> float:
        """Return the seconds until a token is there; 0 if only a place is missing."""
        self._refill(now)
        return max(0.0, (1 - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        for number in [number for number, until in self._expiry_by_permit.items() if until <= now]:
            del self._expiry_by_permit[number]


def most_urgent(requests: t.Iterable[PermitRequest]) -> PermitRequest | None:
    """Return the request that gets the next permit."""
    return max(requests, key=lambda request: (request.urgency, request.key), default=None)
