"""Chooses the engine that loads an adapter and the adapter that it evicts: pure decisions.

Engines have few adapter slots. Their host memory caches recently evicted adapters and loads them
much faster than the weight store, which sustains few loads at once.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .placement import affinity

EVICTION_COST_S2 = 0.15
"""Cost of evicting an adapter, in seconds per request per second for it."""
STORE_COST_S = 0.8
"""Cost of a load from the weight store, about half the value of a request, since such loads are
charged and slow each other down. At 0.3 more adapters are loaded from there (docs/DECISIONS.md)."""
MAX_PLANNERS_PER_WINDOW = 2
"""Planners that may be active in one window: one can be replaced by another."""
COST_TIE_S = 0.004
"""Costs that differ by at most this count as equal; ties are broken by hashing."""


@dataclass(slots=True, frozen=True)
class Victim:
    """An adapter that can be evicted.

    Parameters
    ----------
    key : str
        Identifier of the adapter.
    rate : float
        Requests per second for the adapter.
    """

    key: str
    rate: float


@dataclass(slots=True, frozen=True)
class LoadCandidate:
    """State of an engine that determines the cost of loading an adapter there.

    Parameters
    ----------
    name : str
        Name of the engine.
    free : int
        Free adapter slots.
    victims : tuple of Victim
        Loaded adapters that no request uses.
    cached : bool
        Whether its host memory caches the adapter.
    wait_s : float
        Expected time to a first event once the adapter is loaded, in seconds.
    """

    name: str
    free: int
    victims: tuple[Victim, ...]
    cached: bool
    wait_s: float


@dataclass(slots=True, frozen=True)
class LoadCosts:
    """Expected durations of a load from either source and the extra store cost, all in seconds."""

    cached_s: float
    store_s: float
    price_s: float = STORE_COST_S


@dataclass(slots=True, frozen=True)
class LoadChoice:
    """Engine that loads an adapter, and the adapter that it evicts (None: a free slot is used)."""

    engine: str
    victim: str | None
    cached: bool


def choose_load_engine(
    engines: t.Iterable[LoadCandidate],
    key: str,
    costs: LoadCosts,
    may_use_store: bool,
    max_cost_s: float = math.inf,
) -> LoadChoice | None:
    """Return the engine on which loading an adapter costs least, None if no engine can load it.

    Parameters
    ----------
    engines : iterable of LoadCandidate
        Engines that may load the adapter.
    key : str
        Identifier of the adapter.
    costs : LoadCosts
        Expected costs of a load.
    may_use_store : bool
        Whether a load from the weight store may start.
    max_cost_s : float
        Greatest acceptable cost, eviction included, in seconds.
    """
    best: list[tuple[LoadCandidate, Victim | None]] = []
    min_cost = max_cost_s
    for engine in engines:
        if not engine.cached and not may_use_store:
            continue
        victim = None
        if engine.free <= 0:
            victim = min(engine.victims, key=lambda victim: victim.rate, default=None)
            if victim is None:
                continue
        cost = expected_cost_s(engine, costs) + (EVICTION_COST_S2 * victim.rate if victim else 0.0)
        if cost < min_cost - COST_TIE_S:
            best, min_cost = [(engine, victim)], cost
        elif cost <= min_cost + COST_TIE_S:
            best.append((engine, victim))
    if not best:
        return None
    engine, victim = max(best, key=lambda item: affinity(item[0].name, key))
    return LoadChoice(engine.name, victim.key if victim else None, engine.cached)


def expected_cost_s(engine: LoadCandidate, costs: LoadCosts) -> float:
    """Return the time to a first event on an engine plus the cost of the load, in seconds."""
    load_s = costs.cached_s if engine.cached else costs.store_s + costs.price_s
    return load_s + engine.wait_s


class LoadRateLimiter:
    """Token bucket that keeps loads from the weight store within its limit in every window.

    Loads start at an even rate apart from a small burst. A window in which a planner is replaced
    stays within the limit although the new planner does not know of earlier loads, since the limit
    allows for the burst of each. The small burst costs no throughput: concurrent loads slow each
    other down.

    Parameters
    ----------
    rate : float
        Loads per second that the store allows.
    window_s : float
        Length of the windows in which they are counted, in seconds.
    overage : float
        Factor by which the count in a window may exceed the rate.
    extra : int
        Further loads allowed in a window.
    slack_s : float
        Safety margin added to the window, in seconds.
    """

    __slots__ = ("_at", "_burst", "_tokens", "rate")

    def __init__(
        self, rate: float, window_s: float, overage: float, extra: int, slack_s: float = 0.0
    ) -> None:
        padded_window_s = window_s + slack_s
        max_loads = max(1, math.floor(rate * window_s * overage + extra))
        self._burst = max(
            1, math.floor((max_loads - rate * padded_window_s) / MAX_PLANNERS_PER_WINDOW)
        )
        self.rate = max(0.0, max_loads - MAX_PLANNERS_PER_WINDOW * self._burst) / padded_window_s
        """Sustained loads per second."""
        self._tokens = float(self._burst)
        self._at = -math.inf

    def allows(self, now: float) -> bool:
        """Return whether a load may start now."""
        return self._available(now) >= 1

    def note(self, now: float) -> None:
        """Record the start of a load."""
        self._tokens = self._available(now) - 1
        self._at = now

    def _available(self, now: float) -> float:
        if self._at == -math.inf:
            return self._tokens
        return min(float(self._burst), self._tokens + self.rate * (now - self._at))
