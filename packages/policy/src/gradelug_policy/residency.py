"""Which engine takes in which adapter, and what makes way: pure decisions.

Engines have few places for adapters. Their host memory keeps adapters that were there lately and
loads them much faster than the weight store, which bears few loads at once.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .placement import affinity

EVICTION_COST_S2 = 0.15
"""Cost of evicting an adapter per request a second that it will be missed for."""
STORE_COST_S = 0.8
"""Loads from the weight store have a price, about half of a request's worth, and slow each other
down; at 0.3 more adapters were brought in from there (docs/DECISIONS.md)."""
MAX_PLANNERS_PER_WINDOW = 2
"""One may follow another within a window in which loads are counted."""
COST_TIE_S = 0.004
"""Costs this near to each other are taken for equal and decided by hashing."""


@dataclass(slots=True, frozen=True)
class Victim:
    """An adapter that could make way.

    Parameters
    ----------
    key : str
        Which.
    rate : float
        Requests a second for it.
    """

    key: str
    rate: float


@dataclass(slots=True, frozen=True)
class EnginePlaces:
    """What decides whether an engine takes an adapter in.

    Parameters
    ----------
    name : str
        Which engine.
    free : int
        Empty places.
    victims : tuple of Victim
        Adapters that nobody uses.
    cached : bool
        Whether its host memory keeps the adapter.
    wait_s : float
        Time to a first event there once the adapter is there, in seconds (`reading.first_event_s`).
    """

    name: str
    free: int
    victims: tuple[Victim, ...]
    cached: bool
    wait_s: float


@dataclass(slots=True, frozen=True)
class LoadCosts:
    """Expected times of a load, in seconds, and what one from the weight store costs beside."""

    cached_s: float
    store_s: float
    price_s: float = STORE_COST_S


@dataclass(slots=True, frozen=True)
class LoadChoice:
    """Where to load, and what makes way (None: a free place)."""

    engine: str
    victim: str | None
    cached: bool


def choose_home(
    engines: t.Iterable[EnginePlaces],
    key: str,
    costs: LoadCosts,
    may_use_store: bool,
    most_s: float = math.inf,
) -> LoadChoice | None:
    """Return the engine on which an adapter can be used soonest, None if none can take it.

    Parameters
    ----------
    engines : iterable of EnginePlaces
        Those that may take it in.
    key : str
        The adapter.
    costs : LoadCosts
        Expected times of a load.
    may_use_store : bool
        Whether a load from the weight store may begin.
    most_s : float
        What the load may cost at most, in seconds as `expected_cost_s` counts them.
    """
    best: list[tuple[EnginePlaces, Victim | None]] = []
    least = most_s
    for engine in engines:
        if not engine.cached and not may_use_store:
            continue
        victim = None
        if engine.free <= 0:
            victim = min(engine.victims, key=lambda victim: victim.rate, default=None)
            if victim is None:
                continue
        cost = expected_cost_s(engine, costs) + (EVICTION_COST_S2 * victim.rate if victim else 0.0)
        if cost < least - COST_TIE_S:
            best, least = [(engine, victim)], cost
        elif cost <= least + COST_TIE_S:
            best.append((engine, victim))
    if not best:
        return None
    engine, victim = max(best, key=lambda item: affinity(item[0].name, key))
    return LoadChoice(engine.name, victim.key if victim else None, engine.cached)


def expected_cost_s(engine: EnginePlaces, costs: LoadCosts) -> float:
    """Return the time until a first event there and what a load costs, in seconds."""
    load_s = costs.cached_s if engine.cached else costs.store_s + costs.price_s
    return load_s + engine.wait_s


class LoadWindow:
    """Keeps loads from the weight store within its limit in every window.

    They begin at an even rate but for a few at once. A window in which a planner is replaced then
    holds no more than the limit although its successor knows nothing of what was begun before:
    each of the two may begin its few at once. Nothing is lost by that: loads that run beside each
    other slow each other down.

    Parameters
    ----------
    rate : float
        Loads a second that it allows.
    window_s : float
        Length of the windows in which they are counted, in seconds.
    overage : float
        Factor by which the count may exceed the rate.
    extra : int
        Loads that are allowed beyond that.
    slack_s : float
        Windows are taken longer by this, in seconds.
    """

    __slots__ = ("_at", "_burst", "_tokens", "rate")

    def __init__(
        self, rate: float, window_s: float, overage: float, extra: int, slack_s: float = 0.0
    ) -> None:
        whole_s = window_s + slack_s
        most = max(1, math.floor(rate * window_s * overage + extra))
        self._burst = max(1, math.floor((most - rate * whole_s) / MAX_PLANNERS_PER_WINDOW))
        self.rate = max(0.0, most - MAX_PLANNERS_PER_WINDOW * self._burst) / whole_s
        """Loads a second in the long run."""
        self._tokens = float(self._burst)
        self._at = -math.inf

    def allows(self, now: float) -> bool:
        """Tell whether a load may begin."""
        return self._available(now) >= 1

    def note(self, now: float) -> None:
        """Count a load that begins."""
        self._tokens = self._available(now) - 1
        self._at = now

    def _available(self, now: float) -> float:
        if self._at == -math.inf:
            return self._tokens
        return min(float(self._burst), self._tokens + self.rate * (now - self._at))
