"""Which engine is asked to run a request."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import xxhash

SMALL_FLEET_ENGINES = 16
"""Up to this many engines, all are considered for every request."""
NON_HOLDER_CANDIDATES = 6
"""In a larger fleet, engines that do not hold the adapter but are considered all the same."""
CANDIDATE_STRIDE = 7919
"""Prime, so that the strangers are spread over any fleet."""


@dataclass(slots=True, frozen=True)
class EngineView:
    """What is known of an engine, late as it may be.

    Parameters
    ----------
    name, hall : str
        Which, and where.
    resident, loading : frozenset of str
        Adapters in its slots, and on their way there.
    slots : int
        Adapter slots.
    evictable : int
        Resident adapters that nobody uses.
    coldest : float
        Weighted requests per second for the least wanted of them.
    load : int
        Requests running or about to, corrected by what was asked for since.
    batch : int
        Requests it runs at once.
    waiting : int
        Requests waiting at its owner.
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
    """Costs, in seconds, that the choice weighs against each other.

    Parameters
    ----------
    load_s : float
        Expected time to load an adapter.
    service_s : float
        Expected time a request occupies a place in the batch.
    evict_s : float
        Added when a slot must be cleared of an idle adapter first.
    drain_s : float
        Added when a slot must be cleared of a busy adapter first.
    hall_s : float
        Added for another hall.
    keep_s2 : float
        Added for every request per second that the adapter to be evicted is wanted.
    pack_s : float
        Added for an empty batch, and less for a fuller one: greater values fill batches.
    """

    load_s: float = 1.0
    service_s: float = 4.0
    evict_s: float = 0.2
    drain_s: float = 4.0
    hall_s: float = 0.003
    keep_s2: float = 10.0
    pack_s: float = 0.05


class Fleet:
    """The engines of some pools, indexed so that a choice does not look at all of them.

    Parameters
    ----------
    views : sequence of EngineView
        The engines, in an order that all routers share.
    """

    __slots__ = ("_holders", "views")

    def __init__(self, views: t.Sequence[EngineView]) -> None:
        self.views = views
        self._holders: dict[str, list[EngineView]] = {}
        for view in views:
            for key in view.resident | view.loading:
                self._holders.setdefault(key, []).append(view)

    def candidates(self, key: str) -> t.Sequence[EngineView]:
        """Return the engines among which to choose for an adapter.

        In a small fleet that is every engine; in a large one those that hold the adapter and a
        few others, the same for every router, among which a cold adapter finds its place.
        """
        if len(self.views) <= SMALL_FLEET_ENGINES:
            return self.views
        start = xxhash.xxh3_64_intdigest(key.encode())
        found = {view.name: view for view in self._holders.get(key, ())}
        for step in range(NON_HOLDER_CANDIDATES):
            view = self.views[(start + step * CANDIDATE_STRIDE) % len(self.views)]
            found[view.name] = view
        return list(found.values())


def choose_engine(
    views: t.Iterable[EngineView], key: str, hall: str, settings: PlacementSettings
) -> EngineView | None:
    """Return the engine with the least expected wait for the adapter.

    Ties go by rendezvous hashing of the adapter, so that routers which do not talk to each
    other send requests for a cold adapter to the same engine and one load serves them all.
    """
    best: list[EngineView] = []
    least = float("inf")
    for view in views:
        wait = round(expected_wait_s(view, key, hall, settings), 2)
        if wait < least:
            best, least = [view], wait
        elif wait == least:
            best.append(view)
    if len(best) <= 1:
        return best[0] if best else None
    return max(best, key=lambda view: affinity(view.name, key))


def expected_wait_s(view: EngineView, key: str, hall: str, settings: PlacementSettings) -> float:
    """Return the seconds a request for the adapter is expected to wait at the engine."""
    # A place in a full batch comes free every service_s / batch seconds.
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
    # What is evicted will be missed as often as it is wanted.
    return settings.evict_s + settings.keep_s2 * view.coldest


def affinity(engine: str, key: str) -> int:
    """Return the engine's rendezvous score for an adapter."""
    return xxhash.xxh3_64_intdigest(f"{engine}\0{key}".encode())
