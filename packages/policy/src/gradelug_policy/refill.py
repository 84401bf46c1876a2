"""Rates whether an adapter that was lost with its engine is reloaded elsewhere ahead of demand.

When an engine is removed, crashes or restarts empty, adapters in use may be loaded nowhere else.
Loaded only on demand, each would delay its next requests by a whole load, and all these loads would
reach the weight store at once. So an adapter is prefetched if that saves more than it wastes.
"""

from __future__ import annotations

import math

from .residency import STORE_COST_S


def refill_gain_s(
    rate: float, load_s: float, horizon_s: float, price_s: float = STORE_COST_S
) -> float:
    """Return the total waiting time that loading an adapter ahead of demand saves, in seconds.

    Without it, the first request would wait for a whole load, and those that arrive during the load
    for half of it each. If no request arrives within the horizon, the cost of the load is wasted;
    otherwise it is incurred in either case.

    Parameters
    ----------
    rate : float
        Requests per second for the adapter.
    load_s : float
        Expected duration of a load, in seconds.
    horizon_s : float
        Period for which demand is predicted, in seconds.
    price_s : float
        Cost of a load from the weight store, in seconds.
    """
    use_probability = 1.0 - math.exp(-rate * horizon_s)
    saved_wait_s = load_s * (1.0 + rate * load_s / 2.0)
    return use_probability * saved_wait_s - (1.0 - use_probability) * price_s
