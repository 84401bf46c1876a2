"""Choosing among engines by old news without all gateways choosing the same.

The load that it answers: many gateways see the same news of the same few holders of an adapter and
choose by themselves, since no planner answers or they are too many to ask. The engine that was best
when the news was made is chosen by all of them until the next.
"""

from __future__ import annotations

import math
import random
import typing as t

T = t.TypeVar("T")
SPREAD_PART = 0.5
"""Costs count as equal within this part of the age of the news. At 0 all take the least, at several
times more the news are not used."""
LEAST_SPREAD_S = 1e-3


def choose_spread(
    costs_s: t.Sequence[tuple[T, float]], news_s: float, rng: random.Random
) -> T | None:
    """Return one of some engines, the more likely the less a request costs there.

    Parameters
    ----------
    costs_s : sequence of (engine, float)
        Engines, and what a request costs there, in seconds.
    news_s : float
        Age that news of them may have, in seconds.
    rng : random.Random
        Source of chance.
    """
    if not costs_s:
        return None
    least = min(cost for _, cost in costs_s)
    spread_s = max(LEAST_SPREAD_S, SPREAD_PART * news_s)
    weights = [math.exp(-(cost - least) / spread_s) for _, cost in costs_s]
    return rng.choices([engine for engine, _ in costs_s], weights)[0]
