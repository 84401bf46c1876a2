"""Computes the priority of waiting requests: by weight, without starving light ones."""

from __future__ import annotations

import math

AGING_S = 2.0
"""Waiting time that raises the priority as much as a doubled weight, in seconds."""


def priority(weight: float, waited_s: float, aging_s: float = AGING_S) -> float:
    """Return a request's priority; greater goes first.

    A request of twice the weight is served as if it had arrived `aging_s` seconds earlier. So
    heavy requests go first, while the wait of a light one behind a stream of heavy ones exceeds
    first come, first served by at most ``aging_s * log2(ratio of weights)``.

    Parameters
    ----------
    weight : float
        Weight of the request, above 0.
    waited_s : float
        Time since it arrived, in seconds.
    aging_s : float
        Waiting time that counts like a doubled weight, in seconds.
    """
    return math.log2(weight) + waited_s / aging_s
