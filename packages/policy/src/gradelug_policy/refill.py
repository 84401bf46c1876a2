"""Whether an adapter that was lost with its engine is brought elsewhere before it is asked for.

The load that it answers: an engine is taken away, crashes or starts again empty while it alone
holds adapters in use. On demand each of them keeps its next requests waiting for a whole load, and
all come to the weight store in the same moment. Two ways were weighed: on demand alone, and ahead
of it for those whose load saves more than it wastes.
"""

from __future__ import annotations

import math

from .residency import STORE_COST_S


def refill_gain_s(
    rate: float, load_s: float, horizon_s: float, price_s: float = STORE_COST_S
) -> float:
    """Return what bringing an adapter ahead of demand saves, in seconds of waiting of all requests.

    The first of its requests and those that come during a load would wait for it, half of it each
    but for the first. If none comes while the adapter would stay, the price of the load is lost;
    otherwise it is paid in either case.

    Parameters
    ----------
    rate : float
        Requests a second for it.
    load_s : float
        Expected time of a load, in seconds.
    use_s : float
        How far ahead demand is foreseen, in seconds.
    price_s : float
        What a load from the weight store costs others, in seconds.
    """
    asked_for = 1.0 - math.exp(-rate * horizon_s)
    waits_s = load_s * (1.0 + rate * load_s / 2.0)
    return asked_for * waits_s - (1.0 - asked_for) * price_s
