"""What an owner may do at a moment: grant, order, drop.

Two things give authority: a lease that is valid by this process's own clock, and, for engines
that check fencing tokens, the engine's own word that it has seen no later token. On an engine
that checks none, an owner whose lease cannot be renewed still lets requests through to what is
loaded, for a bounded time in which no successor drops anything there.
"""

from __future__ import annotations

import typing as t

from gradelug_coordination.ownership import Held
from gradelug_policy import CREDIT_TTL_S

TRUST_S = 2.0
"""How long an engine's word that nobody later owns it is relied on."""
SEQUENCE_BITS = 24
UNLOAD_LIMIT_S = 2.0


class LeaseView(t.Protocol):
    """The lease, as far as authority depends on it."""

    valid_until: float
    """Its end by the runtime's clock; minus infinity once the service says that it has lapsed."""

    def remaining_s(self) -> float:
        """Return the seconds left."""
        ...


class Authority:
    """Authority over one engine.

    Parameters
    ----------
    held : Held
        The ownership record.
    lease : LeaseView
        The lease behind it.
    checks_fences : bool
        Whether the engine checks tokens.
    clock : callable
        The runtime's clock.
    outage_s : float
        How long, without a lease, requests are let through to an engine that checks no
        tokens. The same for all members.
    """

    __slots__ = (
        "_checks",
        "_clock",
        "_lease",
        "_outage_s",
        "_sequence",
        "_trusted_at",
        "deposed",
        "held",
    )

    def __init__(
        self,
        held: Held,
        lease: LeaseView,
        checks_fences: bool,
        clock: t.Callable[[], float],
        outage_s: float,
    ) -> None:
        self.held = held
        self._lease = lease
        self._checks = checks_fences
        self._clock = clock
        self._outage_s = outage_s
        self._sequence = 0
        self._trusted_at = float("-inf")
        self.deposed = False
        """Whether a later owner is known."""

    def next_token(self) -> int:
        """Return a fencing token for one order.

        Every order has a greater one than the last, so that an order delayed on its way is
        refused once a later one has arrived, even between orders of the same owner.
        """
        self._sequence += 1
        return (self.held.fence << SEQUENCE_BITS) + self._sequence

    def note_report(self, taken_at: float, fence: int) -> None:
        """Take in the highest token that the engine has seen."""
        if not self._checks:
            return
        seen = fence >> SEQUENCE_BITS
        if seen > self.held.fence:
            self.deposed = True
        elif seen == self.held.fence:
            self._trusted_at = max(self._trusted_at, taken_at)

    def may_grant(self) -> bool:
        """Tell whether requests may be let through."""
        return not self.deposed and (self._leased() or self._trusted() or self._tides_over())

    def may_load(self) -> bool:
        """Tell whether the engine may be given orders."""
        return not self.deposed and (self._leased() or self._trusted())

    def unload_limit_s(self) -> float:
        """Return how long an order to unload may take, 0 if none may be given.

        An engine that checks no tokens would carry it out however late it arrives, so there
        it must end before the lease does.
        """
        if not self.may_load():
            return 0.0
        if self._checks:
            return UNLOAD_LIMIT_S
        return max(0.0, min(UNLOAD_LIMIT_S, self._lease.remaining_s() - 0.2))

    def grant_valid_s(self) -> float:
        """Return how long a grant issued now may be valid."""
        if self._trusted():
            return CREDIT_TTL_S
        left_s = self._lease.remaining_s()
        if not self._checks:
            left_s = max(left_s, self._lease.valid_until + self._outage_s - self._clock())
        return min(CREDIT_TTL_S, left_s)

    def predecessors_over_at(self, claimed_at: float) -> float:
        """Return when every grant of a former owner is over.

        Parameters
        ----------
        claimed_at : float
            When the engine confirmed this owner's token; for an engine that checks none, when
            the engine was taken.
        """
        if self._checks:
            return claimed_at + TRUST_S + CREDIT_TTL_S
        lapsed_s = 0.0 if self.held.was_released else self._outage_s
        return claimed_at + max(lapsed_s, self.held.predecessors_remaining_s) + CREDIT_TTL_S

    def _leased(self) -> bool:
        return self._lease.remaining_s() > 0

    def _tides_over(self) -> bool:
        return not self._checks and self._clock() < self._lease.valid_until + self._outage_s

    def _trusted(self) -> bool:
        return self._checks and self._clock() - self._trusted_at < TRUST_S
