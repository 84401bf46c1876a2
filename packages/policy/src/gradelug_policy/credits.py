"""How many credits an owner hands out, and for how long."""

from __future__ import annotations

from dataclasses import dataclass

VALID_S = 2.0
"""Longest validity of a grant: a shorter one means more messages, a longer one a longer wait
before an adapter may be dropped after its holder has died."""
SPARE_CREDIT_FRACTION = 0.25
"""Share of the engine's free room that goes to spare credits."""


@dataclass(slots=True, frozen=True)
class CreditOffer:
    """What to grant.

    Parameters
    ----------
    credits : int
        Requests that may start, 0 for none.
    """

    credits: int


def offer_credits(want: int, free: int, rate: float, holders: int, contended: bool) -> CreditOffer:
    """Decide how many credits to hand to a holder.

    Beyond what is waiting, the holder of a hot adapter gets spare credits for the requests
    expected while the grant is valid, so that they need not ask; unless others wait for the
    same room.

    Parameters
    ----------
    want : int
        Requests waiting at the holder.
    free : int
        Room in the engine's batch.
    rate : float
        Requests per second for the adapter on this engine.
    holders : int
        How many share that rate.
    contended : bool
        Whether other requests wait for this engine.
    """
    if free <= 0 or want <= 0:
        return CreditOffer(0)
    needed = min(want, free)
    if contended:
        return CreditOffer(needed)
    expected = int(rate * VALID_S / max(1, holders))
    spare = min(expected, int((free - needed) * SPARE_CREDIT_FRACTION))
    return CreditOffer(needed + spare)
