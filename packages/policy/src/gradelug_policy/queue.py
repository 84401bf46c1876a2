"""The order in which waiting requests are served: weight first, without starving the light."""

from __future__ import annotations

import math

AGING_S = 2.0
"""A wait of this many seconds lifts a request as much as doubling its weight does."""


def priority(weight: float, waited_s: float, ageing_s: float = AGING_S) -> float:
    """Return a request's priority; greater goes first.

    A request twice as weighty is served as if it had come `ageing_s` seconds earlier, so the
    weighty ones go first, and the wait of a light one behind a stream of weighty ones is
    bounded by ``ageing_s * log2(ratio of weights)`` beyond first come, first served.

    Parameters
    ----------
    weight : float
        Above 0.
    waited_s : float
        Seconds since it came.
    ageing_s : float
        Seconds of waiting that count like a doubled weight.
    """
    return math.log2(weight) + waited_s / ageing_s
