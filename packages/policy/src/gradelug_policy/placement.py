"""Chooses the engine that is asked to run a request."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import xxhash

SMALL_FLEET_ENGINES = 16
"""Fleets of up to this many engines are considered whole for every request."""
NON_HOLDER_CANDIDATES = 6
"""Additional candidates in a larger fleet, whether or not they hold the adapter."""
CANDIDATE_STRIDE = 7919
"""Prime, so that the additional candidates are spread over a fleet of any size."""


@dataclass(slots=True, frozen=True)
class EngineView:
    """Last known state of an engine; may be out of date.

    Parameters
    ----------
    name, hall : str
        Name of the engine, and its hall.
    resident, loading : frozenset of str
        Adapters in its slots, and adapters being loaded into them.
    slots : int
        Number of adapter slots.
    evictable : int
        Number of resident adapters that no request uses.
    coldest : float
        Weighted requests per second for the least requested of these.
    load : int
        Requests that run or are about to, with those sent since the last report.
    batch : int
        Greatest number of concurrent requests.
    waiting : int
        Requests queued at the owner of the engine.
    """

    name: str
    hall: str
    resident: frozenset[str]
    loading: frozenset[str]
    slots: int
    evictable: int
    coldest: float
    load: int
    batch: int
    waiting: int


@dataclass(slots=True, frozen=True)
class PlacementSettings:
    """Costs that determine the choice of an engine, in seconds.

    Parameters
    ----------
    load_s : float
        Expected time to load an adapter.
    service_s : float
        Expected time that a request occupies a place in the batch.
    evict_s : float
        Added if an idle adapter must be evicted first.
    drain_s : float
        Added if an adapter in use must be drained and evicted first.
    hall_s : float
        Added if the engine is in another hall.
    keep_s2 : float
        Added for each request per second for the adapter to be evicted, in square seconds.
    pack_s : float
        Added for an empty batch, proportionally less for a fuller one: greater values concentrate
        requests in fuller batches.
    """

    load_s: float = 1.0
    service_s: float = 4.0
    evict_s: float = 0.2
    drain_s: float = 4.0
    hall_s: float = 0.003
    keep_s2: float = 10.0
    pack_s: float = 0.05


class Fleet:
    """The engines of some pools, indexed by adapter so that a choice need not examine all of them.

    Parameters
    ----------
    views : sequence of EngineView
        State of the engines, in an order that all routers share.
    """

    __slots__ = ("_holders", "views")

    def __init__(self, views: t.Sequence[EngineView]) -> None:
        self.views = views
        self._holders: dict[str, list[EngineView]] = {}
        for view in views:
            for key in view.resident | view.loading:
                self._holders.setdefault(key, []).append(view)

    def candidates(self, key: str) -> t.Sequence[EngineView]:
        """Return the candidate engines for an adapter.

        In a small fleet these are all engines; in a large one those that hold the adapter and a
        few others, the same on every router, on which an adapter that none holds can be loaded.
        """
        if len(self.views) <= SMALL_FLEET_ENGINES:
            return self.views
        start = xxhash.xxh3_64_intdigest(key.encode())
        selected = {view.name: view for view in self._holders.get(key, ())}
        for step in range(NON_HOLDER_CANDIDATES):
            view = self.views[(start + step * CANDIDATE_STRIDE) % len(self.views)]
            selected[view.name] = view
        return list(selected.values())


def choose_engine(
    views: t.Iterable[EngineView], key: str, hall: str, settings: PlacementSettings
) -> EngineView | None:
    """Return the engine with the least expected wait for the adapter.

    Ties are broken by rendezvous hashing of the adapter, so that independent routers send requests
    for an adapter that no engine holds to the same one and a single load serves them all.
    """
    best: list[EngineView] = []
    min_wait = float("inf")
    for view in views:
        wait = round(expected_wait_s(view, key, hall, settings), 2)
        if wait < min_wait:
            best, min_wait = [view], wait
        elif wait == min_wait:
            best.append(view)
    if len(best) <= 1:
        return best[0] if best else None
    return max(best, key=lambda view: affinity(view.name, key))


def expected_wait_s(view: EngineView, key: str, hall: str, settings: PlacementSettings) -> float:
    """Return the expected wait of a request for the adapter at an engine, in seconds."""
    # In a full batch a place becomes free every service_s / batch seconds.
    excess = view.load + view.waiting + 1 - view.batch
    wait = max(0, excess) * settings.service_s / view.batch
    if key not in view.resident:
        wait += settings.load_s * (0.5 if key in view.loading else 1.0)
        if key not in view.loading and len(view.resident) + len(view.loading) >= view.slots:
            wait += _eviction_s(view, settings)
    wait += settings.pack_s * max(0.0, 1 - view.load / view.batch)
    if view.hall != hall:
        wait += settings.hall_s
    return wait


def _eviction_s(view: EngineView, settings: PlacementSettings) -> float:
    if not view.evictable:
        return settings.drain_s
    # An evicted adapter will be requested at the rate at which it is requested now.
    return settings.evict_s + settings.keep_s2 * view.coldest


def affinity(engine: str, key: str) -> int:
    """Return the rendezvous score of an engine for an adapter."""
    return xxhash.xxh3_64_intdigest(f"{engine}\0{key}".encode())
