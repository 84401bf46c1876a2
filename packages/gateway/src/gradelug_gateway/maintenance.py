"""Periodic maintenance of a planner's engines: base models, new versions and further copies."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter
from dataclasses import dataclass

import logbook
from gradelug_policy.residency import LoadRateLimiter

from .engines import Engine, Phase, WeightSlot
from .load_targets import count_copies
from .model import AdapterKey, BaseModel, EngineSpec, OrderOutcome, PlannerTerm
from .renewal import Renewal

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("upkeep")
MODEL_REPORT_DELAY_S = 1.5
"""Maximum time from the end of a base model's load until the engine's report shows it."""
MAX_PREFILL_FRACTION_PER_COPY = 0.7
"""Fraction of an engine's time that prefill for one adapter may take before it gets another copy:
above it, next to the engine's other adapters, its requests queue behind each other."""


@dataclass(slots=True, frozen=True)
class _ModelLoad:
    """A base model that is being loaded because requests wait for it.

    Parameters
    ----------
    engine : Engine
        Engine that loads it.
    until : float
        Time until which the load is expected to take, by the runtime's clock.
    """

    engine: Engine
    until: float


class Maintenance:
    """Loads base models and further copies and renews versions, as demand requires.

    Parameters
    ----------
    planner : Planner
        Planner of the engines.
    spec : EngineSpec
        Capacity of the engines and the base models of the service.
    window : LoadRateLimiter
        Rate limit of the weight store for loads of base models.
    clock : callable
        The runtime's clock.
    """

    __slots__ = (
        "_clock",
        "_model_loads",
        "_planner",
        "_renewal",
        "_spec",
        "_window",
    )

    def __init__(
        self,
        planner: Planner,
        spec: EngineSpec,
        window: LoadRateLimiter,
        clock: t.Callable[[], float],
    ) -> None:
        self._planner = planner
        self._spec = spec
        self._window = window
        self._clock = clock
        self._model_loads: dict[str, _ModelLoad] = {}
        """Loads in progress by the name of the base model."""
        self._renewal = Renewal(planner, clock)

    def run_due(self, term: PlannerTerm) -> None:
        """Run the maintenance that is due, in the planner's term."""
        self._renewal.run_due(term)
        self._ensure_models(term)
        self._place_requested_models(term)
        self._add_copies()

    def _ensure_models(self, term: PlannerTerm) -> None:
        for engine in self._planner.engines.values():
            if engine.synced and not engine.weight_slots.base_model_count and self._spec.models:
                model = self._least_replicated_model()
                key = AdapterKey(model.name)
                slot = engine.weight_slots[key] = WeightSlot(0, Phase.LOADING, self._clock())
                self._planner.start(self._load_model(term, engine, key, slot, model.load_s), engine)

    def _least_replicated_model(self) -> BaseModel:
        index = self._planner.index
        return min(
            self._spec.models, key=lambda model: len(index.engines_holding(AdapterKey(model.name)))
        )

    def _place_requested_models(self, term: PlannerTerm) -> None:
        """Load models that requests wait for and no engine holds."""
        now, index = self._clock(), self._planner.index
        self._model_loads = {
            name: load
            for name, load in self._model_loads.items()
            if load.until > now and not load.engine.is_retired
        }
        missing = {
            name
            for name in self._planner.requested_models() - self._model_loads.keys()
            if not index.engines_holding(AdapterKey(name))
        }
        copies_by_model = self._count_models() if missing else Counter()
        for name in missing:
            model = next((model for model in self._spec.models if model.name == name), None)
            engine = self._choose_engine(model, copies_by_model) if model is not None else None
            if model is None or engine is None:
                continue
            victim = None if self._fits(engine, model) else self._victim(engine)
            if victim is not None:
                engine.drain_model(victim)
                self._planner.followers.mark_changed(engine.replica.name)
            until = now + model.load_s + MODEL_REPORT_DELAY_S
            self._model_loads[name] = _ModelLoad(engine, until)
            key = AdapterKey(name)
            slot = engine.weight_slots[key] = WeightSlot(0, Phase.LOADING, self._clock())
            self._planner.start(
                self._load_model(term, engine, key, slot, model.load_s, victim), engine
            )

    def _count_models(self) -> Counter[str]:
        """Return on how many engines each base model is held or loading."""
        index = self._planner.index
        return Counter(
            {key.model: len(index.engines_holding(key)) for key in index.keys if not key.adapter}
        )

    def _choose_engine(self, model: BaseModel, copies_by_model: Counter[str]) -> Engine | None:
        """Return an idle engine with memory for a model, else the one with the commonest models."""
        idle_engines = [
            engine
            for engine in self._planner.engines.values()
            if engine.synced and not engine.loading_count() and not engine.is_in_use()
        ]
        return max(
            idle_engines,
            key=lambda engine: (
                self._fits(engine, model),
                min(
                    (copies_by_model[key.model] for key in engine.weight_slots if not key.adapter),
                    default=0,
                ),
            ),
            default=None,
        )

    def _fits(self, engine: Engine, model: BaseModel) -> bool:
        sizes = {other.name: other.size_mb for other in self._spec.models}
        used_mb = sum(sizes.get(key.model, 0.0) for key in engine.weight_slots if not key.adapter)
        adapters_mb = self._spec.adapter_slots * model.adapter_mb
        return used_mb + model.size_mb + adapters_mb <= self._spec.memory_mb

    def _victim(self, engine: Engine) -> AdapterKey | None:
        return next((key for key in engine.weight_slots if not key.adapter), None)

    async def _load_model(
        self,
        term: PlannerTerm,
        engine: Engine,
        key: AdapterKey,
        slot: WeightSlot,
        load_s: float,
        victim: AdapterKey | None = None,
    ) -> None:
        async with engine.lock:
            if not engine.has_slot(key, slot):
                return
            in_use = victim is not None and engine.uses_model(victim.model)
            if in_use or not self._window.allows(self._clock()):
                self._abandon_load(engine, key, slot, victim)
                return
            if victim is not None:
                outcome = await self._planner.loader.order(term, engine, False, victim, 0)
                if outcome is not OrderOutcome.HOLDS:
                    self._abandon_load(engine, key, slot, victim)
                    return
                if not engine.has_slot(key, slot):
                    return
                engine.drop_model(victim)
                self._planner.followers.mark_changed(engine.replica.name)
            self._window.note(self._clock())
            outcome = await self._planner.loader.order(term, engine, True, key, 0)
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS):
                # The engine takes its next order only after the load.
                await asyncio.sleep(load_s)
            # The engine's report shows when the model is ready.
            engine.discard(key, slot)
            engine.synced = False

    def _abandon_load(
        self, engine: Engine, key: AdapterKey, slot: WeightSlot, victim: AdapterKey | None
    ) -> None:
        """Abandon the load of a base model; the engine keeps the one that it has."""
        engine.discard(key, slot)
        load = self._model_loads.get(key.model)
        if load is not None and load.engine is engine:
            del self._model_loads[key.model]
        if victim is not None:
            # The victim was closed to new requests; the report shows what can be used.
            engine.synced = False

    def _add_copies(self) -> None:
        planner, now = self._planner, self._clock()
        if planner.copies is not None:
            planner.copies.load_copies(now)
        threshold = MAX_PREFILL_FRACTION_PER_COPY * planner.performance.speed
        planner.hot = {key for key in planner.hot if planner.tokens.rate(key.text, now) > threshold}
        overloaded = [
            key
            for key in planner.hot
            if (count := count_copies(planner.index, key)) > 0
            and planner.tokens.rate(key.text, now) > threshold * count
        ]
        if not overloaded:
            return
        targets = planner.load_targets()
        for key in overloaded:
            planner.load(key, now, targets, lambda name: True)
