"""Which engines can take an adapter in, and what would make way there."""

from __future__ import annotations

import itertools
import typing as t
from dataclasses import dataclass

from gradelug_policy import Popularity
from gradelug_policy.cells import Cells
from gradelug_policy.residency import Victim

from .engines import Engine, Phase
from .holders import EngineIndex
from .model import AdapterKey, Holding, Replica

MAX_UNSAMPLED_ENGINES = 64
"""Up to so many engines all are looked at for each load: it takes half a millisecond."""
CANDIDATES = 32
"""Of more engines so many with room are looked for: what is best among them is nearly the best."""
KEEPERS = 16
"""And so many of those that keep the adapter in host memory."""


@dataclass(slots=True, frozen=True)
class LoadTarget:
    """Room on an engine for one more adapter.

    Parameters
    ----------
    engine : Engine
        Where.
    free : int
        Empty places.
    victims : tuple of Victim
        What could make way where there is none.
    """

    engine: Engine
    free_slots: int
    victims: tuple[Victim, ...]


def count_copies(index: EngineIndex, key: AdapterKey) -> int:
    """Return on how many engines an adapter is or will be."""
    return sum(
        engine.places[key].phase in (Phase.LOADING, Phase.READY)
        for engine in index.with_key(key).values()
    )


class Openings:
    """The engines with room at one moment; each is looked at when it is asked for first.

    Parameters
    ----------
    engines : mapping of str to Engine
        By name.
    index : EngineIndex
        Finds them by what they hold and keep.
    cells : Cells
        In which order they are looked at for an adapter.
    popularity : Popularity
        How often adapters are asked for.
    may_order : callable
        Tells whether orders can be given to a replica.
    now : float
        By the runtime's clock.
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
        """Return engines that lack an adapter and have room for it.

        Parameters
        ----------
        key : AdapterKey
            What is to be loaded.
        version : int
            Which one of it host memory may keep.
        may_use : callable
            Tells whether an engine may be chosen, by its name.
        """
        if len(self._engines) <= MAX_UNSAMPLED_ENGINES:
            return list(self._available(self._engines, key, may_use))
        caching = self._index.engines_caching(Holding(key, version))
        found = dict(itertools.islice(self._available(caching, key, may_use), KEEPERS))
        others = self._available(self._cells.homes(key.text), key, may_use)
        found.update(itertools.islice(others, CANDIDATES))
        return list(found.items())

    def has_slot_for(self, name: str, rate: float) -> bool:
        """Tell whether nothing would make way on an engine that is asked for as often.

        Parameters
        ----------
        name : str
            Which engine.
        rate : float
            Requests a second for what is to be loaded.
        """
        target = self._target(name)
        if target is None:
            return False
        return target.free_slots > 0 or any(victim.rate < rate for victim in target.victims)

    def invalidate(self, engine: Engine) -> None:
        """Look again at an engine whose places have changed."""
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
            self._targets[name] = self._inspect(self._engines[name])
        return self._targets[name]

    def _inspect(self, engine: Engine) -> LoadTarget | None:
        if not engine.can_load() or not self._may_order(engine.replica):
            return None
        free_slots = engine.free_adapter_slots()
        if free_slots > 0:
            return LoadTarget(engine, free_slots, ())
        # Each copy of an adapter is missed for its share of the requests.
        victims = tuple(
            Victim(
                key.text,
                self._popularity.rate(key.text, self._now) / max(1, count_copies(self._index, key)),
            )
            for key in engine.evictable(self._now)
        )
        return LoadTarget(engine, 0, victims) if victims else None
