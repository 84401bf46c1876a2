"""Decides which adapter an engine loads next into its slots and which one it evicts for it."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .queue import priority


@dataclass(slots=True, frozen=True)
class SlotSettings:
    """Settings of slot assignment.

    Parameters
    ----------
    half_life_s : float
        Half-life of an adapter's request rate, in seconds: a longer one is steadier, a shorter one
        adapts faster.
    drain_after_s : float
        Time, in seconds, that a demand has to wait before an adapter in use is drained for it. An
        idle adapter is evicted at once, since waiting before that costs more than it saves.
    """

    half_life_s: float = 300.0
    drain_after_s: float = 0.5


@dataclass(slots=True, frozen=True)
class Resident:
    """An adapter in a slot.

    Parameters
    ----------
    key : str
        Adapter and version.
    busy : int
        Number of requests that run or are about to.
    rate : float
        Weighted requests per second for the adapter.
    used_at : float
        Time of its last use, by the runtime's clock.
    """

    key: str
    busy: int
    rate: float
    used_at: float


@dataclass(slots=True, frozen=True)
class Demand:
    """Requests waiting for an adapter that is not resident.

    Parameters
    ----------
    key : str
        Adapter and version.
    waiters : int
        Number of waiting requests.
    weight : float
        Total weight of the waiting requests.
    since : float
        Arrival time of the first of them.
    rate : float
        Weighted requests per second for the adapter.
    """

    key: str
    waiters: int
    weight: float
    since: float
    rate: float


def choose_demand(demands: t.Iterable[Demand], now: float) -> Demand | None:
    """Return the demand to serve first, by total weight and time waited; None if there is none."""
    return max(
        demands,
        key=lambda demand: (priority(demand.weight, now - demand.since), demand.key),
        default=None,
    )


def choose_victim(
    residents: t.Iterable[Resident], demand: Demand, now: float, settings: SlotSettings
) -> Resident | None:
    """Return the adapter to evict for a demand, or None to wait.

    Idle adapters are evicted before busy ones, which must drain first, and rarely requested
    adapters before popular ones.
    """
    candidates = list(residents)
    idle = [resident for resident in candidates if not resident.busy]
    may_drain = now - demand.since >= settings.drain_after_s
    pool = idle or (candidates if may_drain else [])
    return min(pool, key=lambda item: (item.rate, item.used_at, item.key), default=None)
