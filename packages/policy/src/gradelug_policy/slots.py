"""What sits in an engine's few adapter slots: what to load next, and what to drop for it."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .queue import priority


@dataclass(slots=True, frozen=True)
class SlotSettings:
    """How an operator trades load stalls for batch efficiency.

    Parameters
    ----------
    half_life_s : float
        Half-life of an adapter's popularity.
    min_stay_s : float
        An adapter is not dropped for this long after its load unless nothing else can go.
    hysteresis : float
        How much more an adapter must be wanted than the one dropped for it.
    patience_s : float
        After waiting this long a request may drop even a more popular adapter.
    """

    half_life_s: float = 120.0
    min_stay_s: float = 5.0
    hysteresis: float = 1.2
    patience_s: float = 1.0


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
    loaded_at, used_at : float
        When it was loaded and last used, by the runtime's clock.
    """

    key: str
    busy: int
    rate: float
    loaded_at: float
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

    An idle adapter goes before a busy one (which must drain first), a rarely wanted before a
    popular one. A popular adapter gives way only to a demand that exceeds it by the
    hysteresis, or that has waited past its patience.
    """
    patient = now - demand.since < settings.patience_s
    candidates = [
        resident
        for resident in residents
        if not patient or now - resident.loaded_at >= settings.min_stay_s
    ]
    idle = [resident for resident in candidates if not resident.busy]
    pool = idle or ([] if patient else candidates)
    if not pool:
        return None
    victim = min(pool, key=lambda item: (item.rate, item.used_at, item.key))
    if patient and victim.rate > demand.rate * settings.hysteresis:
        return None
    return victim
