"""Index of engines by the weights that they hold, load or cache in host memory."""

from __future__ import annotations

import typing as t

from gradelug_policy.prefix_cache import PrefixCacheTracker

from .model import AdapterKey, Holding, Replica

if t.TYPE_CHECKING:
    from .engines import Engine, WeightSlot

V = t.TypeVar("V")


class EngineIndex:
    """Looks up the engines of one planner by their weights and host caches.

    The index is always consistent with the engines, which change their weights and host caches
    only through `WeightSlots` and `note_cached`. A retired engine has an index of its own, since
    its name may be in use again (see `Engine.retire`).

    Parameters
    ----------
    kept : PrefixCacheTracker or None
        Tracks the prompt prefixes that engines cache; entries are dropped with their weights.
    """

    __slots__ = (
        "_by_key",
        "_cached",
        "changed_keys",
        "changed_loads",
        "added_keys",
        "prefix_cache",
    )

    def __init__(self, kept: PrefixCacheTracker | None = None) -> None:
        self._by_key: dict[AdapterKey, dict[str, Engine]] = {}
        self._cached: dict[Holding, dict[str, Engine]] = {}
        self.changed_loads: set[str] = set()
        """Names of engines whose requests changed since the set was last cleared."""
        self.changed_keys: set[AdapterKey] = set()
        """Weights that were added or removed since the set was last cleared."""
        self.added_keys: set[AdapterKey] = set()
        """Weights that were added since the set was last replaced, for version renewal."""
        self.prefix_cache = kept or PrefixCacheTracker()
        """Cached prompt prefixes, lost when an engine drops the weights or restarts."""

    def engines_holding(self, key: AdapterKey) -> t.Mapping[str, Engine]:
        """Return the engines with some weights in any phase, by name."""
        return self._by_key.get(key, {})

    def engines_caching(self, holding: Holding) -> t.Mapping[str, Engine]:
        """Return the engines whose host memory holds an adapter at a version, by name."""
        return self._cached.get(holding, {})

    @property
    def keys(self) -> t.KeysView[AdapterKey]:
        """Return all weights that any engine has, in any phase."""
        return self._by_key.keys()

    def note_added(self, engine: Engine, key: AdapterKey) -> None:
        """Record that weights were added to an engine."""
        self._by_key.setdefault(key, {})[engine.replica.name] = engine
        self.changed_keys.add(key)
        self.added_keys.add(key)

    def note_removed(self, engine: Engine, key: AdapterKey) -> None:
        """Record that weights were removed from an engine."""
        _drop(self._by_key, key, engine.replica.name)
        self.prefix_cache.forget_weights(engine.replica.name, key.text)
        self.changed_keys.add(key)

    def note_cached(self, engine: Engine, holding: Holding, kept: bool) -> None:
        """Record whether an engine's host memory holds an adapter."""
        if kept:
            self._cached.setdefault(holding, {})[engine.replica.name] = engine
        else:
            _drop(self._cached, holding, engine.replica.name)

    def drop(self, engine: Engine) -> None:
        """Remove an engine from the index."""
        for key in engine.weight_slots:
            self.note_removed(engine, key)
        for holding in engine.cached:
            self.note_cached(engine, holding, False)
        self.changed_loads.discard(engine.replica.name)
        self.prefix_cache.forget(engine.replica.name)


class WeightSlots(dict[AdapterKey, "WeightSlot"]):
    """The weights of an engine by key; each change updates the index.

    Parameters
    ----------
    engine : Engine
        Engine that holds the weights.
    """

    __slots__ = ("_engine", "base_model_count")

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine
        self.base_model_count = 0
        """Number of base models among the weights."""

    def __setitem__(self, key: AdapterKey, slot: WeightSlot) -> None:
        previous = self.get(key)
        if previous is None:
            self.base_model_count += not key.adapter
        elif previous.version != slot.version:
            self._engine.index.prefix_cache.forget_weights(self._engine.replica.name, key.text)
        super().__setitem__(key, slot)
        self._engine.index.note_added(self._engine, key)

    def __delitem__(self, key: AdapterKey) -> None:
        super().__delitem__(key)
        self.base_model_count -= not key.adapter
        self._engine.index.note_removed(self._engine, key)

    def replace(self, slots: t.Mapping[AdapterKey, WeightSlot]) -> None:
        """Replace all weights by those that an engine reports."""
        for key in [key for key in self if key not in slots]:
            del self[key]
        for key, slot in slots.items():
            self[key] = slot


def reports_any(replica: Replica, keys: t.Collection[AdapterKey]) -> bool:
    """Tell whether a replica's entry in the store lists any of some weights."""
    return any(holding.key in keys for holding in replica.holdings)


def _drop(index: dict[V, dict[str, Engine]], key: V, name: str) -> None:
    engines = index.get(key)
    if engines is None:
        return
    engines.pop(name, None)
    if not engines:
        del index[key]
