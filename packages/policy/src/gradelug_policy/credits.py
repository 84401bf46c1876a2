"""Decides how many credits the owner of an engine grants to a gateway, and for how long."""

from __future__ import annotations

from dataclasses import dataclass

CREDIT_TTL_S = 2.0
"""Maximum validity of a grant, in seconds. A shorter one costs more messages, a longer one delays
the eviction of an adapter whose holder has died."""
SPARE_CREDIT_FRACTION = 0.25
"""Fraction of the engine's free batch capacity that may be granted as spare credits."""


@dataclass(slots=True, frozen=True)
class CreditOffer:
    """Credits to grant.

    Parameters
    ----------
    credits : int
        Number of requests that may start; 0 for none.
    """

    credits: int


def offer_credits(
    waiting: int, free: int, rate: float, holders: int, contended: bool
) -> CreditOffer:
    """Return the credits to grant to a holder.

    In addition to its waiting requests, the holder of a frequently requested adapter receives spare
    credits for the requests expected while the grant is valid, which then start without a round
    trip. None are granted while other requests wait for the same capacity.

    Parameters
    ----------
    want : int
        Number of requests that wait at the holder.
    free : int
        Number of free places in the engine's batch.
    rate : float
        Requests per second for the adapter on this engine.
    holders : int
        Number of holders that share that rate.
    contended : bool
        Whether other requests wait for this engine.
    """
    if free <= 0 or waiting <= 0:
        return CreditOffer(0)
    needed = min(waiting, free)
    if contended:
        return CreditOffer(needed)
    expected = int(rate * CREDIT_TTL_S / max(1, holders))
    spare = min(expected, int((free - needed) * SPARE_CREDIT_FRACTION))
    return CreditOffer(needed + spare)
