"""Finds engines that can load an adapter, and the adapters that they could evict for it.

The planner creates a new set of targets for each decision and inspects each engine on first access.
"""

from __future__ import annotations

import itertools
import typing as t
from dataclasses import dataclass

from gradelug_policy import Popularity
from gradelug_policy.cells import Cells
from gradelug_policy.residency import Victim

from .engine_index import EngineIndex
from .engines import Engine, Phase
from .model import AdapterKey, Holding, Replica

MAX_UNSAMPLED_ENGINES = 64
"""Up to this many engines are all considered for each load, which takes 0.5 ms."""
MAX_CANDIDATES = 32
"""Of more engines, this many are considered: their best is nearly the best of all."""
MAX_CACHED_CANDIDATES = 16
"""Additional candidates that hold the adapter in host memory."""


@dataclass(slots=True, frozen=True)
class LoadTarget:
    """An engine that can load one more adapter.

    Parameters
    ----------
    engine : Engine
        The engine.
    free_slots : int
        Number of free adapter slots.
    victims : tuple of Victim
        Adapters that can be evicted, if no slot is free.
    """

    engine: Engine
    free_slots: int
    victims: tuple[Victim, ...]


def count_copies(index: EngineIndex, key: AdapterKey) -> int:
    """Return on how many engines an adapter is ready or loading."""
    return sum(
        engine.weight_slots[key].phase in (Phase.LOADING, Phase.READY)
        for engine in index.engines_holding(key).values()
    )


class LoadTargets:
    """The engines that can load an adapter at one moment, inspected on first access.

    Parameters
    ----------
    engines : mapping of str to Engine
        Engines by name.
    index : EngineIndex
        Looks up engines by the weights that they hold or cache.
    cells : Cells
        Order in which engines are considered for an adapter.
    popularity : Popularity
        Request rates by adapter.
    may_order : callable
        Takes a replica, returns whether orders can be sent to it.
    now : float
        Current time by the runtime's clock.
    """

    __slots__ = ("_cells", "_engines", "_targets", "_index", "_may_order", "_now", "_popularity")

    def __init__(
        self,
        engines: t.Mapping[str, Engine],
        index: EngineIndex,
        cells: Cells,
        popularity: Popularity,
        may_order: t.Callable[[Replica], bool],
        now: float,
    ) -> None:
        self._engines = engines
        self._index = index
        self._cells = cells
        self._popularity = popularity
        self._may_order = may_order
        self._now = now
        self._targets: dict[str, LoadTarget | None] = {}

    def candidates(
        self, key: AdapterKey, version: int, may_use: t.Callable[[str], bool]
    ) -> list[tuple[str, LoadTarget]]:
        """Return engines that lack an adapter and can load it, with their names.

        Parameters
        ----------
        key : AdapterKey
            Adapter to load.
        version : int
            Its version, by which engines that cache it in host memory are found.
        may_use : callable
            Takes an engine's name, returns whether it may be chosen.
        """
        if len(self._engines) <= MAX_UNSAMPLED_ENGINES:
            return list(self._available(self._engines, key, may_use))
        caching = self._index.engines_caching(Holding(key, version))
        found = dict(
            itertools.islice(self._available(caching, key, may_use), MAX_CACHED_CANDIDATES)
        )
        others = self._available(self._cells.ranked_engines(key.text), key, may_use)
        found.update(itertools.islice(others, MAX_CANDIDATES))
        return list(found.items())

    def has_slot_for(self, name: str, rate: float) -> bool:
        """Tell whether an engine has a free slot, or one with an adapter in less demand.

        Parameters
        ----------
        name : str
            Name of the engine.
        rate : float
            Request rate of the adapter to load, in requests per second.
        """
        target = self._target(name)
        if target is None:
            return False
        return target.free_slots > 0 or any(victim.rate < rate for victim in target.victims)

    def invalidate(self, engine: Engine) -> None:
        """Drop what is known of an engine whose weights have changed."""
        self._targets.pop(engine.replica.name, None)

    def _available(
        self, names: t.Iterable[str], key: AdapterKey, may_use: t.Callable[[str], bool]
    ) -> t.Iterator[tuple[str, LoadTarget]]:
        for name in names:
            target = self._target(name)
            if target is not None and may_use(name) and target.engine.is_missing(key):
                yield name, target

    def _target(self, name: str) -> LoadTarget | None:
        if name not in self._targets:
            self._targets[name] = self._find(self._engines[name])
        return self._targets[name]

    def _find(self, engine: Engine) -> LoadTarget | None:
        if not engine.can_load() or not self._may_order(engine.replica):
            return None
        free_slots = engine.free_adapter_slots()
        if free_slots > 0:
            return LoadTarget(engine, free_slots, ())
        # An evicted copy costs its share of the adapter's requests.
        victims = tuple(
            Victim(
                key.text,
                self._popularity.rate(key.text, self._now) / max(1, count_copies(self._index, key)),
            )
            for key in engine.evictable(self._now)
        )
        return LoadTarget(engine, 0, victims) if victims else None
