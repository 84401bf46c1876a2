"""Keeps a lease on the key-value service alive and judges its validity by the holder's clock."""

from __future__ import annotations

import asyncio
import random
import typing as t

from .backoff import Backoff
from .exceptions import CoordinationError
from .kv import KeyValue

RENEWALS_PER_TTL = 3
MARGIN_FRACTION = 0.1
MAX_ANSWER_DELAY_S = 0.2
"""A renewal that is unanswered for longer counts as failed for the time being; the service usually
answers within some milliseconds."""


class LeaseKeeper:
    """Renews a lease and reports whether it is valid.

    Validity is counted from before a renewal was *sent*, less a margin for clock drift. A holder
    that was suspended therefore finds its lease expired at the next check, however late the service
    answered.

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
        Called without arguments when a lease is granted or lost.
    """

    __slots__ = (
        "_renewal_sent_at",
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
        self._renewal_sent_at = float("inf")
        self.ttl_s = ttl_s
        """Time to live of the next lease, in seconds; the current lease keeps its own."""
        self._granted_ttl_s = ttl_s
        self.answered = True
        """Whether the service answered the last renewal."""
        self.lease = 0
        self.valid_until = float("-inf")

    def is_valid(self) -> bool:
        """Return whether the lease is valid now."""
        return self._clock() < self.valid_until

    def is_cut_off(self) -> bool:
        """Return whether the last renewal was not answered or the current one is overdue."""
        return not self.answered or self._clock() - self._renewal_sent_at > MAX_ANSWER_DELAY_S

    def remaining_s(self) -> float:
        """Return the remaining validity in seconds, 0 if the lease has expired."""
        return max(0.0, self.valid_until - self._clock())

    async def run(self) -> None:
        """Renew the lease until cancelled."""
        while True:
            await asyncio.sleep(await self.step())

    async def step(self) -> float:
        """Renew the lease or acquire a new one; return the seconds until the next step."""
        self._renewal_sent_at = self._clock()
        try:
            await self._renew()
        except CoordinationError:
            self.answered = False
            return self._backoff.next_delay()
        finally:
            self._renewal_sent_at = float("inf")
        self.answered = True
        self._backoff.reset()
        # Jitter prevents synchronised renewals in the fleet.
        return self._granted_ttl_s / RENEWALS_PER_TTL * self._rng.uniform(0.8, 1.0)

    async def release(self) -> None:
        """Revoke the lease; the service deletes the entries tied to it."""
        lease, self.lease = self.lease, 0
        self.valid_until = float("-inf")
        if lease:
            await self._kv.revoke_lease(lease)

    async def _renew(self) -> None:
        sent_at = self._clock()
        if self.lease and not await self._kv.renew_lease(self.lease):
            self._mark_lost()
            sent_at = self._clock()
        if not self.lease:
            ttl_s = self.ttl_s
            self.lease = await self._kv.grant_lease(ttl_s)
            self._granted_ttl_s = ttl_s
            self.valid_until = self._expiry(sent_at)
            self._on_change()
            return
        self.valid_until = self._expiry(sent_at)

    def _expiry(self, sent_at: float) -> float:
        return sent_at + self._granted_ttl_s * (1 - MARGIN_FRACTION)

    def _mark_lost(self) -> None:
        self.lease = 0
        self.valid_until = float("-inf")
        self._on_change()
