"""What a planner does without being asked: base models, renewed versions, further copies."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter

import logbook
from gradelug_policy.residency import LoadWindow

from .engines import Engine, Phase, Place
from .model import AdapterKey, BaseModel, EngineSpec, OrderOutcome, Term
from .openings import count_copies

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("upkeep")
MODEL_SLACK_S = 1.5
"""A base model shows in an engine's report this long after its load at the latest."""
PART_PER_COPY = 0.7
"""Part of an engine's time that reading the prompts for one adapter may take before it gets another
engine: beside the other adapters there it waits for itself then."""


class Upkeep:
    """Keeps engines fit for what is asked of them.

    Parameters
    ----------
    planner : Planner
        Whose engines.
    spec : EngineSpec
        What the engines are like.
    window : LoadWindow
        The weight store's limit on loads of base models.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_coming", "_planner", "_spec", "_window")

    def __init__(
        self,
        planner: Planner,
        spec: EngineSpec,
        window: LoadWindow,
        clock: t.Callable[[], float],
    ) -> None:
        self._planner = planner
        self._spec = spec
        self._window = window
        self._clock = clock
        self._coming: dict[str, float] = {}
        """Until when a base model is on its way, by its name."""

    def do(self, term: Term) -> None:
        """Do what is due in the planner's term."""
        self._renew_versions(term)
        self._ensure_models(term)
        self._place_wanted_models(term)
        self._add_copies()

    def _renew_versions(self, term: Term) -> None:
        planner = self._planner
        for key, version in planner.state.versions.items():
            for name, engine in planner.engines.items():
                place = engine.places.get(key)
                if place is None or place.version >= version:
                    continue
                if place.phase in (Phase.LOADING, Phase.UNLOADING):
                    continue
                if place.phase is Phase.READY:
                    place.phase = Phase.LEAVING
                    planner.followers.mark(name)
                if engine.synced and not engine.users(key):
                    planner.start(self._drop(term, engine, key, place))

    async def _drop(self, term: Term, engine: Engine, key: AdapterKey, place: Place) -> None:
        async with engine.lock:
            held = engine.places.get(key) is place
            if term.is_over or not engine.synced or not held:
                return
            outcome = await self._planner.loading.order(term, engine, False, key, 0)
            engine.undo(key, place)
            if outcome is not OrderOutcome.HOLDS:
                self._planner.loading.keep_unloading(engine, key, outcome)

    def _ensure_models(self, term: Term) -> None:
        for engine in self._planner.engines.values():
            held = [key for key in engine.places if not key.adapter]
            if engine.synced and not held and self._spec.models:
                model = self._least_held_model()
                key = AdapterKey(model.name)
                place = engine.places[key] = Place(0, Phase.LOADING, self._clock())
                self._planner.start(self._load_model(term, engine, key, place, model.load_s))

    def _least_held_model(self) -> BaseModel:
        holders: Counter[str] = Counter()
        for engine in self._planner.engines.values():
            holders.update(key.model for key in engine.places if not key.adapter)
        return min(self._spec.models, key=lambda model: holders[model.name])

    def _place_wanted_models(self, term: Term) -> None:
        """Bring in models that requests wait for and no engine holds."""
        held = Counter(
            key.model
            for engine in self._planner.engines.values()
            for key in engine.places
            if not key.adapter
        )
        now = self._clock()
        self._coming = {name: until for name, until in self._coming.items() if until > now}
        for name in self._planner.wanted_models() - held.keys() - self._coming.keys():
            model = next((model for model in self._spec.models if model.name == name), None)
            engine = self._engine_for(model, held) if model is not None else None
            if model is None or engine is None:
                continue
            victim = None if self._fits(engine, model) else self._victim(engine)
            self._coming[name] = now + model.load_s + MODEL_SLACK_S
            key = AdapterKey(name)
            place = engine.places[key] = Place(0, Phase.LOADING, self._clock())
            self._planner.start(self._load_model(term, engine, key, place, model.load_s, victim))

    def _engine_for(self, model: BaseModel, held: Counter[str]) -> Engine | None:
        """Return an engine with room, else the unused one whose models are held most elsewhere."""
        found = [
            engine
            for engine in self._planner.engines.values()
            if engine.synced and not engine.loading() and not engine.is_in_use()
        ]
        return max(
            found,
            key=lambda engine: (
                self._fits(engine, model),
                min((held[key.model] for key in engine.places if not key.adapter), default=0),
            ),
            default=None,
        )

    def _fits(self, engine: Engine, model: BaseModel) -> bool:
        sizes = {other.name: other.size_mb for other in self._spec.models}
        used_mb = sum(sizes.get(key.model, 0.0) for key in engine.places if not key.adapter)
        adapters_mb = self._spec.adapter_slots * model.adapter_mb
        return used_mb + model.size_mb + adapters_mb <= self._spec.memory_mb

    def _victim(self, engine: Engine) -> AdapterKey | None:
        return next((key for key in engine.places if not key.adapter), None)

    async def _load_model(
        self,
        term: Term,
        engine: Engine,
        key: AdapterKey,
        place: Place,
        load_s: float,
        victim: AdapterKey | None = None,
    ) -> None:
        async with engine.lock:
            if engine.places.get(key) is not place:
                return
            if not self._window.allows(self._clock()):
                engine.undo(key, place)
                return
            if victim is not None:
                outcome = await self._planner.loading.order(term, engine, False, victim, 0)
                if outcome is not OrderOutcome.HOLDS:
                    engine.undo(key, place)
                    engine.synced = False
                    return
            self._window.note(self._clock())
            outcome = await self._planner.loading.order(term, engine, True, key, 0)
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS):
                # Another order for this engine may only come when it is through.
                await asyncio.sleep(load_s)
            # The report tells when it is there.
            engine.undo(key, place)
            engine.synced = False

    def _add_copies(self) -> None:
        planner, now = self._planner, self._clock()
        planner.bring_copies(now)
        wanted = [
            key
            for key, count in count_copies(planner.engines.values()).items()
            if planner.tokens.rate(key.text, now) > PART_PER_COPY * planner.speed * count
        ]
        if not wanted:
            return
        openings = planner.openings()
        for key in wanted:
            planner.load(key, now, openings, lambda name: True)
