"""Which engines hold, load or keep an adapter, without a look at all of them."""

from __future__ import annotations

import typing as t

from gradelug_policy.kept_parts import KeptParts

from .model import AdapterKey, Holding, Replica

if t.TYPE_CHECKING:
    from .engines import Engine, Place

V = t.TypeVar("V")


class EngineIndex:
    """Finds the engines of one planner by what is in their places and host memories.

    What engines tell it of themselves is exact: their places and host memories change by way of
    `Places` and `note_cached` alone. An engine whose life is over tells nothing any more: another
    one may have its name.

    Parameters
    ----------
    kept : KeptParts or None
        Is told when what engines keep of prompts is gone.
    """

    __slots__ = ("_by_key", "_cached", "changed_keys", "changed_loads", "added_keys", "kept")

    def __init__(self, kept: KeptParts | None = None) -> None:
        self._by_key: dict[AdapterKey, dict[str, Engine]] = {}
        self._cached: dict[Holding, dict[str, Engine]] = {}
        self.changed_loads: set[str] = set()
        """Engines whose requests have changed since this was emptied."""
        self.changed_keys: set[AdapterKey] = set()
        """Weights that came into places or left them since this was emptied."""
        self.added_keys: set[AdapterKey] = set()
        """Weights that came into places since this was emptied, for what keeps versions new."""
        self.kept = kept or KeptParts()
        """Parts of prompts that engines keep go with the weights, and with a life."""

    def with_key(self, key: AdapterKey) -> t.Mapping[str, Engine]:
        """Return the engines that have weights in a place, in whatever phase."""
        return self._by_key.get(key, {})

    def engines_caching(self, holding: Holding) -> t.Mapping[str, Engine]:
        """Return the engines whose host memory keeps an adapter at a version."""
        return self._cached.get(holding, {})

    @property
    def keys(self) -> t.KeysView[AdapterKey]:
        """All weights that are in a place of any engine."""
        return self._by_key.keys()

    def note_added(self, engine: Engine, key: AdapterKey) -> None:
        """Note that weights came into a place."""
        if engine.is_replaced:
            return
        self._by_key.setdefault(key, {})[engine.replica.name] = engine
        self.changed_keys.add(key)
        self.added_keys.add(key)

    def note_removed(self, engine: Engine, key: AdapterKey) -> None:
        """Note that weights left their place."""
        if engine.is_replaced:
            return
        _drop(self._by_key, key, engine.replica.name)
        self.kept.forget_weights(engine.replica.name, key.text)
        self.changed_keys.add(key)

    def note_cached(self, engine: Engine, holding: Holding, kept: bool) -> None:
        """Note that host memory keeps an adapter, or no more."""
        if engine.is_replaced:
            return
        if kept:
            self._cached.setdefault(holding, {})[engine.replica.name] = engine
        else:
            _drop(self._cached, holding, engine.replica.name)

    def drop(self, engine: Engine) -> None:
        """Forget an engine that is gone."""
        for key in engine.places:
            self.note_removed(engine, key)
        for holding in engine.cached:
            self.note_cached(engine, holding, False)
        self.changed_loads.discard(engine.replica.name)
        self.kept.forget(engine.replica.name)


class WeightSlots(dict[AdapterKey, "Place"]):
    """The places of an engine; the index is told of each change.

    Parameters
    ----------
    engine : Engine
        Whose.
    index : EngineIndex
        Told.
    """

    __slots__ = ("_engine", "_index", "bases")

    def __init__(self, engine: Engine, index: EngineIndex) -> None:
        super().__init__()
        self._engine = engine
        self._index = index
        self.bases = 0
        """How many of the weights are base models."""

    def __setitem__(self, key: AdapterKey, place: Place) -> None:
        previous = self.get(key)
        if previous is None:
            self.bases += not key.adapter
        elif previous.version != place.version:
            self._index.kept.forget_weights(self._engine.replica.name, key.text)
        super().__setitem__(key, place)
        self._index.note_added(self._engine, key)

    def __delitem__(self, key: AdapterKey) -> None:
        super().__delitem__(key)
        self.bases -= not key.adapter
        self._index.note_removed(self._engine, key)

    def replace(self, places: t.Mapping[AdapterKey, Place]) -> None:
        """Take over all that an engine reports."""
        for key in [key for key in self if key not in places]:
            del self[key]
        for key, place in places.items():
            self[key] = place


def reports_any(replica: Replica, keys: t.Collection[AdapterKey]) -> bool:
    """Tell whether a replica says of itself that it holds any of some weights."""
    return any(holding.key in keys for holding in replica.holdings)


def _drop(index: dict[V, dict[str, Engine]], key: V, name: str) -> None:
    engines = index.get(key)
    if engines is None:
        return
    engines.pop(name, None)
    if not engines:
        del index[key]
