"""How many requests a brittle replica gets, so that it hardly has to reject any.

Load pattern: callers send twice what the replicas of a service can serve. For a time, each replica
lets only a few requests wait, and falls over if it rejects more than a stated number in a second,
whoever sent them. There may be more instances than that number.
"""

from __future__ import annotations

LOAD_FRACTION = 0.85
"""Fraction of a replica's capacity that is used: response times vary, and what instances measure is
older than the load."""
MIN_CHANGE_FACTOR = 1.15
"""A rate is kept while the one that instances derive differs by less, since each change is sent to
all of them."""
MIN_RATE = 0.1
MIN_TOLERANCE = 0.1
"""Stands for a tolerance of no rejection at all."""
MAX_PAUSE_S = 30.0


def safe_rate(slots: int, response_s: float, current: float | None = None) -> float:
    """Return the requests per second of all instances that keep a replica below its capacity.

    Parameters
    ----------
    slots : int
        Requests that the replica runs concurrently.
    response_s : float
        Mean response time, in seconds.
    current : float or None
        Rate in force, None if there is none.
    """
    rate = max(MIN_RATE, LOAD_FRACTION * slots / response_s)
    if current and current / MIN_CHANGE_FACTOR <= rate <= current * MIN_CHANGE_FACTOR:
        return current
    return rate


def safe_burst(slots: int) -> float:
    """Return how many requests may reach a replica at once."""
    return max(1.0, (1 - LOAD_FRACTION) * slots)


def pause_s(tolerance: float, instances: int) -> float:
    """Return how long an instance sends nothing to a replica that rejected its request.

    If each instance causes one rejection at a time and then pauses, all of them together stay
    below the tolerated number per second.

    Parameters
    ----------
    tolerance : float
        Rejections per second that the replica bears.
    instances : int
        Number of instances that send to it.
    """
    return min(MAX_PAUSE_S, instances / max(MIN_TOLERANCE, tolerance))
