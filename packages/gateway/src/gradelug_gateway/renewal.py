"""Rolling update of weights: replaces older versions by newer ones on a planner's engines."""

from __future__ import annotations

import typing as t

from gradelug_policy.renewal import renewals_allowed

from .engines import Engine, Phase, WeightSlot
from .model import AdapterKey, OrderOutcome, PlannerTerm

if t.TYPE_CHECKING:
    from .planner import Planner


class Renewal:
    """Unloads older versions that no run uses; requests then load the newest version.

    An engine that is ordered to unload waits for its runs, rejects all other requests until then,
    and drops the weights as soon as a run is stopped, which makes the run's memory useless. So the
    weights first take no new requests, and the order is sent when no run is left.

    Parameters
    ----------
    planner : Planner
        Planner of the engines.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_outdated", "_planner", "_renewals", "_seen_versions")

    def __init__(self, planner: Planner, clock: t.Callable[[], float]) -> None:
        self._planner = planner
        self._clock = clock
        self._seen_versions: dict[AdapterKey, int] = {}
        self._outdated: set[AdapterKey] = set()
        """Weights of which some engine may hold an older version."""
        self._renewals: dict[tuple[str, AdapterKey], float] = {}
        """Start time of each renewal in progress, by engine name and base model."""

    def run_due(self, term: PlannerTerm) -> None:
        """Start and continue renewals, in the planner's term."""
        self._find_outdated()
        self._forget_finished()
        versions, index = self._planner.state.versions, self._planner.index
        for key in list(self._outdated):
            held = {
                name: engine
                for name, engine in index.engines_holding(key).items()
                if engine.weight_slots[key].version < versions[key]
            }
            if not held:
                self._outdated.discard(key)
            elif key.adapter:
                for name, engine in held.items():
                    self._renew_adapter(term, name, engine, key)
            else:
                self._renew_model(term, held, key)

    def _find_outdated(self) -> None:
        """Find weights with a new version, or that were added to an engine, since the last call."""
        versions, index = self._planner.state.versions, self._planner.index
        added, index.added_keys = index.added_keys, set()
        self._outdated.update(key for key in added if key in versions)
        if versions != self._seen_versions:
            self._outdated.update(
                key for key, version in versions.items() if self._seen_versions.get(key) != version
            )
            self._seen_versions = dict(versions)

    def _renew_adapter(self, term: PlannerTerm, name: str, engine: Engine, key: AdapterKey) -> None:
        slot = engine.weight_slots[key]
        if slot.phase in (Phase.LOADING, Phase.UNLOADING):
            return
        if slot.phase is Phase.READY:
            slot.phase = Phase.DRAINING
            self._planner.followers.mark_changed(name)
        if engine.synced and not engine.request_count(key):
            self._planner.start(self._unload(term, engine, key, slot), engine)

    def _renew_model(
        self, term: PlannerTerm, held: t.Mapping[str, Engine], key: AdapterKey
    ) -> None:
        """Renew a base model engine by engine, those with the fewest runs first."""
        draining = [
            engine for engine in held.values() if engine.weight_slots[key].phase is Phase.DRAINING
        ]
        self._drain_some(held, key)
        for engine in draining:
            # Adapters may have been loaded since the model was closed.
            engine.drain_model(key)
            if engine.synced and not engine.uses_model(key.model):
                self._planner.start(
                    self._unload(term, engine, key, engine.weight_slots[key]), engine
                )

    def _drain_some(self, held: t.Mapping[str, Engine], key: AdapterKey) -> None:
        """Close engines for the renewal of their base model; gateways learn of it later."""
        now = self._clock()
        allowed = renewals_allowed(self._renewals.values(), len(self._planner.engines), now)
        if not allowed:
            return
        ready = [
            (engine.model_request_count(key.model), name)
            for name, engine in held.items()
            if engine.weight_slots[key].phase is Phase.READY
        ]
        for _, name in sorted(ready)[:allowed]:
            self._renewals[name, key] = now
            held[name].drain_model(key)
            self._planner.followers.mark_changed(name)

    def _forget_finished(self) -> None:
        """Drop renewals whose engine holds a base model again or is gone."""
        for name, key in list(self._renewals):
            engine = self._planner.engines.get(name)
            if engine is None or engine.holds(key):
                del self._renewals[name, key]
            elif key not in engine.weight_slots and engine.has_any_model():
                # The engine holds another base model instead.
                del self._renewals[name, key]

    async def _unload(
        self, term: PlannerTerm, engine: Engine, key: AdapterKey, slot: WeightSlot
    ) -> None:
        async with engine.lock:
            if term.has_ended or not engine.synced or not engine.has_slot(key, slot):
                return
            outcome = await self._planner.loader.order(term, engine, False, key, 0)
            engine.discard(key, slot)
            if outcome is not OrderOutcome.HOLDS:
                self._planner.loader.track_unload(engine, key, outcome)
            elif not key.adapter:
                engine.drop_model(key)
                self._planner.followers.mark_changed(engine.replica.name)
