"""What sits in an engine's few adapter slots: what to load next, and what to drop for it."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .queue import priority


@dataclass(slots=True, frozen=True)
class SlotSettings:
    """How slots are given away.

    Parameters
    ----------
    half_life_s : float
        Half-life of an adapter's popularity: longer remembers more, shorter follows faster.
    drain_after_s : float
        A demand has to wait this long before an adapter in use is drained for it. An idle one
        is dropped at once: waiting before that was measured to cost more than it saves.
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
        Requests running or about to.
    rate : float
        Weighted requests per second.
    used_at : float
        When it was last used, by the runtime's clock.
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
        How many wait.
    weight : float
        Sum of their weights.
    since : float
        When the first of them came.
    rate : float
        Weighted requests per second.
    """

    key: str
    waiters: int
    weight: float
    since: float
    rate: float


def choose_demand(demands: t.Iterable[Demand], now: float) -> Demand | None:
    """Return the demand to load for first: most weight waiting, ageing with its wait."""
    return max(
        demands,
        key=lambda demand: (priority(demand.weight, now - demand.since), demand.key),
        default=None,
    )


def choose_victim(
    residents: t.Iterable[Resident], demand: Demand, now: float, settings: SlotSettings
) -> Resident | None:
    """Return the adapter to drop for a demand, or None to wait.

    An idle adapter goes before a busy one (which must drain first), and a rarely wanted one
    before a popular one.
    """
    candidates = list(residents)
    idle = [resident for resident in candidates if not resident.busy]
    may_drain = now - demand.since >= settings.drain_after_s
    pool = idle or (candidates if may_drain else [])
    return min(pool, key=lambda item: (item.rate, item.used_at, item.key), default=None)
