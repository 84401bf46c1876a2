"""Limits loads from the weight store across all schedulers: a rate and a number of concurrent
loads.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

PERMIT_TTL_S = 30.0
"""Time after which a permit expires, in seconds, in case its holder has died."""


@dataclass(slots=True, frozen=True)
class PermitRequest:
    """A request for a permit to load from the store.

    Parameters
    ----------
    holder, engine, key : str
        Requesting scheduler, and the engine and adapter to load.
    urgency : float
        Priority; requests with a greater one are served first.
    """

    holder: str
    engine: str
    key: str
    urgency: float


class StorePermits:
    """Issues permits for loads from the store; runs on the member that owns the store.

    Parameters
    ----------
    rate : float
        Maximum loads started per second.
    parallel : int
        Maximum number of concurrent loads.
    now : float
        Current time, in seconds.
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
        """Set the rate and the number of concurrent loads."""
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

    def release(self, number: int) -> None:
        """Release a permit."""
        self._expiry_by_permit.pop(number, None)

    def next_token_s(self, now: float) -> float:
        """Return the time until a token is available, in seconds; 0 if only concurrency is
        exhausted.
        """
        self._refill(now)
        return max(0.0, (1 - self._tokens) / self._rate)

    def _refill(self, now: float) -> None:
        self._tokens = min(self._burst, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        for number in [number for number, until in self._expiry_by_permit.items() if until <= now]:
            del self._expiry_by_permit[number]


def most_urgent(requests: t.Iterable[PermitRequest]) -> PermitRequest | None:
    """Return the request that receives the next permit."""
    return max(requests, key=lambda request: (request.urgency, request.key), default=None)
