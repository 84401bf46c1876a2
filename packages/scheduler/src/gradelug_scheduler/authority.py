"""What an owner may do at a moment: grant, order, drop.

Two things give authority: a lease that is valid by this process's own clock, and, for engines
that check fencing tokens, the engine's own word that it has seen no later token.
"""

from __future__ import annotations

import typing as t

from gradelug_coordination.ownership import Held
from gradelug_policy import VALID_S

TRUST_S = 2.0
"""How long an engine's word that nobody later owns it is relied on."""
UNCLEAN_PIN_S = 30.0
"""On an engine that checks no tokens, nothing is dropped for this long after its owner lapsed:
the lapsed owner may still believe in its lease and be granting what is loaded."""
SEQUENCE_BITS = 24
UNLOAD_LIMIT_S = 2.0


class LeaseView(t.Protocol):
    """The lease, as far as authority depends on it."""

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
    """

    __slots__ = ("_checks", "_clock", "_lease", "_sequence", "_trusted_at", "deposed", "held")

    def __init__(
        self, held: Held, lease: LeaseView, checks_fences: bool, clock: t.Callable[[], float]
    ) -> None:
        self.held = held
        self._lease = lease
        self._checks = checks_fences
        self._clock = clock
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
        return not self.deposed and (self._leased() or self._trusted())

    def may_load(self) -> bool:
        """Tell whether the engine may be ordered to load."""
        return self.may_grant()

    def unload_limit_s(self) -> float:
        """Return how long an order to unload may take, 0 if none may be given.

        An engine that checks no tokens would carry it out however late it arrives, so there
        it must end before the lease does.
        """
        if not self.may_grant():
            return 0.0
        if self._checks:
            return UNLOAD_LIMIT_S
        if not self.held.clean and self._clock() < self.held.taken_at + UNCLEAN_PIN_S:
            return 0.0
        return max(0.0, min(UNLOAD_LIMIT_S, self._lease.remaining_s() - 0.2))

    def grant_valid_s(self) -> float:
        """Return how long a grant issued now may be valid."""
        if self._trusted():
            return VALID_S
        return min(VALID_S, self._lease.remaining_s())

    def predecessors_over_at(self, claimed_at: float) -> float:
        """Return when every grant of a former owner is over.

        Parameters
        ----------
        claimed_at : float
            When the engine confirmed this owner's token; for an engine that checks none, when
            the engine was taken.
        """
        return claimed_at + (TRUST_S if self._checks else 0.0) + VALID_S

    def _leased(self) -> bool:
        return self._lease.remaining_s() > 0

    def _trusted(self) -> bool:
        return self._checks and self._clock() - self._trusted_at < TRUST_S
