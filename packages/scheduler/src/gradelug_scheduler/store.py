"""The weight store's limit, shared by all schedulers without a further coordinator.

The store is a resource like an engine: one scheduler owns it and hands out permits, the most
urgent load in the whole system first. While nobody owns it, or its owner does not answer, each
scheduler keeps to its share of the limit.
"""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass

from gradelug_policy.permits import PermitRequest, StorePermits, most_urgent

RESOURCE = "store"
RETRY_S = 0.05


@dataclass(slots=True)
class _Waiting:
    request: PermitRequest
    fut: asyncio.Future[int]


class StoreDesk:
    """Hands out permits, most urgent first.

    Parameters
    ----------
    rate : float
        Loads that may begin per second.
    parallel : int
        Loads at once.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_permits", "_timer", "_waiting")

    def __init__(self, rate: float, parallel: int, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._permits = StorePermits(rate, parallel, clock())
        self._waiting: list[_Waiting] = []
        self._timer: asyncio.TimerHandle | None = None

    def limit(self, rate: float, parallel: int) -> None:
        """Change the limits."""
        self._permits.limit(rate, parallel)

    async def acquire(self, request: PermitRequest, wait_s: float) -> int:
        """Return a permit's number, or 0 if there is none within `wait_s`."""
        waiting = _Waiting(request, asyncio.get_running_loop().create_future())
        self._waiting.append(waiting)
        self._serve()
        try:
            async with asyncio.timeout(wait_s):
                return await waiting.fut
        except TimeoutError:
            return 0
        finally:
            if waiting in self._waiting:
                self._waiting.remove(waiting)

    def end(self, number: int) -> None:
        """Take a permit back."""
        self._permits.release(number)
        self._serve()

    def _serve(self) -> None:
        while self._waiting:
            chosen = most_urgent(waiting.request for waiting in self._waiting)
            number = self._permits.try_take(self._clock())
            if not number:
                self._serve_later()
                return
            waiting = next(item for item in self._waiting if item.request is chosen)
            self._waiting.remove(waiting)
            if waiting.fut.done():
                self._permits.release(number)
                continue
            waiting.fut.set_result(number)

    def _serve_later(self) -> None:
        if self._timer is not None and not self._timer.cancelled():
            return
        delay_s = max(RETRY_S, self._permits.next_token_s(self._clock()))
        self._timer = asyncio.get_running_loop().call_later(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self._serve()
