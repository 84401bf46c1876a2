"""Which engines can take an adapter in, and what would make way there."""

from __future__ import annotations

import typing as t
from collections import Counter
from dataclasses import dataclass

from gradelug_policy import Popularity
from gradelug_policy.residency import Victim

from .engines import Engine, Phase
from .model import AdapterKey, Replica


@dataclass(slots=True, frozen=True)
class Opening:
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
    free: int
    victims: tuple[Victim, ...]


def count_copies(engines: t.Iterable[Engine]) -> Counter[AdapterKey]:
    """Return on how many engines each adapter is or will be."""
    found: Counter[AdapterKey] = Counter()
    for engine in engines:
        found.update(
            key for key, place in engine.adapters() if place.phase in (Phase.LOADING, Phase.READY)
        )
    return found


class Openings:
    """The engines with room at one moment.

    Parameters
    ----------
    engines : mapping of str to Engine
        By name.
    popularity : Popularity
        How often adapters are asked for.
    may_order : callable
        Tells whether orders can be given to a replica.
    now : float
        By the runtime's clock.
    """

    __slots__ = ("_engines", "_may_order", "_now", "_popularity", "by_engine")

    def __init__(
        self,
        engines: t.Mapping[str, Engine],
        popularity: Popularity,
        may_order: t.Callable[[Replica], bool],
        now: float,
    ) -> None:
        self._engines = engines
        self._popularity = popularity
        self._may_order = may_order
        self._now = now
        self.by_engine: dict[str, Opening] = {}
        copies = count_copies(engines.values())
        for engine in engines.values():
            self._find(engine, copies)

    def renew(self, engine: Engine) -> None:
        """Look again at an engine whose places have changed."""
        self.by_engine.pop(engine.replica.name, None)
        self._find(engine, count_copies(self._engines.values()))

    def _find(self, engine: Engine, copies: Counter[AdapterKey]) -> None:
        if not engine.can_load() or not self._may_order(engine.replica):
            return
        name, free = engine.replica.name, engine.free()
        if free > 0:
            self.by_engine[name] = Opening(engine, free, ())
            return
        victims = tuple(
            # Each copy of an adapter is missed for its share of the requests.
            Victim(key.text, self._popularity.rate(key.text, self._now) / max(1, copies[key]))
            for key in engine.idle(self._now)
        )
        if victims:
            self.by_engine[name] = Opening(engine, 0, victims)
