"""A lease on the key-value service, judged by its holder's own clock."""

from __future__ import annotations

import asyncio
import random
import typing as t

from .backoff import Backoff
from .exceptions import CoordinationError
from .kv import KeyValue

RENEWALS_PER_TTL = 3
MARGIN_FRACTION = 0.1
PENDING_S = 0.2
"""A service that has not answered a renewal for so long is out of reach for the moment: it answers
in some ms."""


class LeaseKeeper:
    """Keeps a lease alive and says whether it still holds.

    Validity counts from before a renewal was *sent*, less a margin for the drift of clocks.
    A holder that was paused therefore finds its lease over as soon as it looks, however late
    the service's own answer was.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    ttl_s : float
        Time to live, in seconds.
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Source of jitter.
    on_change : callable
        Called without arguments when a lease is gained or lost.
    """

    __slots__ = (
        "_asked_at",
        "_backoff",
        "_clock",
        "_granted_ttl_s",
        "_kv",
        "_on_change",
        "_rng",
        "answered",
        "lease",
        "ttl_s",
        "valid_until",
    )

    def __init__(
        self,
        kv: KeyValue,
        ttl_s: float,
        clock: t.Callable[[], float],
        rng: random.Random,
        on_change: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._rng = rng
        self._backoff = Backoff(ttl_s / 12, ttl_s / 2, rng)
        self._on_change = on_change
        self._asked_at = float("inf")
        self.ttl_s = ttl_s
        """Time to live of the next lease; the present one keeps its own."""
        self._granted_ttl_s = ttl_s
        self.answered = True
        """Whether the service answered the last renewal."""
        self.lease = 0
        self.valid_until = float("-inf")

    def is_valid(self) -> bool:
        """Tell whether the lease holds at this moment."""
        return self._clock() < self.valid_until

    def is_cut_off(self) -> bool:
        """Tell whether the service did not answer the last renewal, or lets one wait."""
        return not self.answered or self._clock() - self._asked_at > PENDING_S

    def remaining_s(self) -> float:
        """Return the seconds left, 0 if it is over."""
        return max(0.0, self.valid_until - self._clock())

    async def run(self) -> None:
        """Keep the lease until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Renew once, or gain a new lease; return the seconds until the next step."""
        self._asked_at = self._clock()
        try:
            await self._renew()
        except CoordinationError:
            self.answered = False
            return self._backoff.next_delay()
        finally:
            self._asked_at = float("inf")
        self.answered = True
        self._backoff.reset()
        # Jitter keeps the fleet's renewals from falling into step.
        return self._granted_ttl_s / RENEWALS_PER_TTL * self._rng.uniform(0.8, 1.0)

    async def release(self) -> None:
        """End the lease at once; entries tied to it vanish."""
        lease, self.lease = self.lease, 0
        self.valid_until = float("-inf")
        if lease:
            await self._kv.revoke_lease(lease)

    async def _renew(self) -> None:
        sent_at = self._clock()
        if self.lease and not await self._kv.renew_lease(self.lease):
            self._lose()
            sent_at = self._clock()
        if not self.lease:
            ttl_s = self.ttl_s
            self.lease = await self._kv.grant_lease(ttl_s)
            self._granted_ttl_s = ttl_s
            self.valid_until = self._until(sent_at)
            self._on_change()
            return
        self.valid_until = self._until(sent_at)

    def _until(self, sent_at: float) -> float:
        return sent_at + self._granted_ttl_s * (1 - MARGIN_FRACTION)

    def _lose(self) -> None:
        self.lease = 0
        self.valid_until = float("-inf")
        self._on_change()
