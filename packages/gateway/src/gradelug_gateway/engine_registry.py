"""The engines of one planner: created, retired and replaced as the platform's list changes."""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.cells import Cells

from .engine_index import EngineIndex
from .engines import Engine
from .model import EngineSpec, FleetState, Replica
from .unacknowledged_loads import UnacknowledgedLoads

log = logbook.Logger("planner")
MAX_QUERIED_ENGINES = 64
"""Up to this many engines are all queried for their state at once. Of more, the entries in the
platform's store are trusted until they report."""


class EngineRegistry:
    """Holds the current record of each engine, and whatever is looked up by an engine's name.

    A record that is no longer in the registry is retired (`Engine.retire`): whatever still holds it
    can neither change the index nor put it back.

    Parameters
    ----------
    service : str
        Service whose engines are registered.
    spec : EngineSpec
        Capacity of the engines.
    state : FleetState
        Replicas, as last read from the platform.
    index : EngineIndex
        Looks up engines by the weights that they hold.
    clock : callable
        The runtime's clock.
    on_lost : callable
        Takes a retired engine and whether it announced that it leaves or restarts; called after it
        was removed.
    on_changed : callable
        Takes the name of an engine whose weights have changed.
    """

    __slots__ = (
        "_clock",
        "_on_changed",
        "_on_lost",
        "_service",
        "_spec",
        "_state",
        "cells",
        "engines",
        "index",
        "unacknowledged_loads",
    )

    def __init__(
        self,
        service: str,
        spec: EngineSpec,
        state: FleetState,
        index: EngineIndex,
        clock: t.Callable[[], float],
        on_lost: t.Callable[[Engine, bool], None],
        on_changed: t.Callable[[str], None],
    ) -> None:
        self._service = service
        self._spec = spec
        self._state = state
        self._clock = clock
        self._on_lost = on_lost
        self._on_changed = on_changed
        self.engines: dict[str, Engine] = {}
        """Current records by name."""
        self.index = index
        self.cells = Cells()
        self.unacknowledged_loads = UnacknowledgedLoads()
        """Load orders without an answer."""

    def update(self) -> None:
        """Apply the platform's current list of replicas."""
        reported = {
            rep.name: rep
            for rep in self._state.replicas.values()
            if rep.service == self._service and not rep.leaving
        }
        for name in [name for name in self.engines if name not in reported]:
            self._remove(name)
        for name, rep in reported.items():
            engine = self.engines.get(name)
            if engine is None:
                self._add(rep, len(reported))
            elif engine.replica is not rep or len(reported) <= MAX_QUERIED_ENGINES:
                # With few engines the reported host cache is applied each time, so that entries
                # that were dropped here come back.
                if engine.update_replica(rep):
                    engine = self.replace(engine, rep.born)
                _add_reported_cache(engine)
        self.unacknowledged_loads.drop_expired(self._clock())

    def replace(self, engine: Engine, born: int) -> Engine:
        """Replace the record of an engine whose process restarted; `born` names the new one.

        A retired record is returned as it is: its engine has left, or has a newer record.
        """
        if engine.is_retired:
            return engine
        name = engine.replica.name
        engine.retire()
        replacement = self.engines[name] = self._new_engine(engine.replica, born)
        strays = self.unacknowledged_loads.count_inherited(replacement)
        log.info("engine restarted", replica=name, born=born, strays=strays)
        self._on_lost(engine, True)
        return replacement

    def _add(self, rep: Replica, count: int) -> None:
        engine = self.engines[rep.name] = self._new_engine(rep)
        self.cells.add(rep.name)
        _add_reported_cache(engine)
        if count > MAX_QUERIED_ENGINES:
            engine.assume_registered_holdings(self._clock())
            self._on_changed(rep.name)

    def _remove(self, name: str) -> None:
        engine = self.engines.pop(name)
        is_announced = name in self._state.replicas
        log.info(
            "engine left",
            replica=name,
            born=engine.born,
            announced=is_announced,
            reporting=engine.syncing,
            ordered=engine.lock.locked(),
        )
        engine.retire()
        self.cells.remove(name)
        self._on_lost(engine, is_announced)

    def _new_engine(self, rep: Replica, born: int = 0) -> Engine:
        return Engine(rep, self._spec, self.index, self.unacknowledged_loads, born)


def _add_reported_cache(engine: Engine) -> None:
    for holding in engine.replica.cached:
        if holding.key.adapter and holding not in engine.cached:
            engine.add_cached(holding)
