"""What a planner does without being asked: base models, renewed versions, further copies."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter

import logbook
from gradelug_policy.residency import LoadWindow

from .engines import Engine, Phase, Place
from .model import AdapterKey, BaseModel, EngineSpec, OrderOutcome

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("upkeep")
RATE_PER_COPY = 3.0
"""Requests a second for an adapter above which it gets another engine: an engine reads about ten
prompts a second."""


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

    __slots__ = ("_clock", "_planner", "_spec", "_window")

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

    def do(self) -> None:
        """Do what is due; the planner must hold its token."""
        self._renew_versions()
        self._ensure_models()
        self._add_copies()

    def _renew_versions(self) -> None:
        planner = self._planner
        for key, version in planner.state.versions.items():
            for name, engine in planner.engines.items():
                place = engine.places.get(key)
                if place is None or place.version >= version or place.phase is Phase.LOADING:
                    continue
                if place.phase is Phase.READY:
                    place.phase = Phase.LEAVING
                    planner.followers.mark(name)
                if engine.synced and not engine.users(key):
                    planner.start(self._drop(engine, key, place))

    async def _drop(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        async with engine.lock:
            held = engine.places.get(key) is place
            if not self._planner.fence or not engine.synced or not held:
                return
            outcome = await self._planner.order(engine, False, key, 0)
            if outcome is OrderOutcome.HOLDS:
                del engine.places[key]
            else:
                engine.synced = False

    def _ensure_models(self) -> None:
        for engine in self._planner.engines.values():
            held = [key for key in engine.places if not key.adapter]
            if engine.synced and not held and self._spec.models:
                model = self._least_held_model()
                key = AdapterKey(model.name)
                place = engine.places[key] = Place(0, Phase.LOADING, self._clock())
                self._planner.start(self._load_model(engine, key, place, model.load_s))

    def _least_held_model(self) -> BaseModel:
        holders: Counter[str] = Counter()
        for engine in self._planner.engines.values():
            holders.update(key.model for key in engine.places if not key.adapter)
        return min(self._spec.models, key=lambda model: holders[model.name])

    async def _load_model(
        self, engine: Engine, key: AdapterKey, place: Place, load_s: float
    ) -> None:
        async with engine.lock:
            if engine.places.get(key) is not place:
                return
            if not self._window.allows(self._clock()):
                engine.undo(key, place)
                return
            self._window.note(self._clock())
            outcome = await self._planner.order(engine, True, key, 0)
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS):
                # Another order for this engine may only come when it is through.
                await asyncio.sleep(load_s)
            # The report tells when it is there.
            engine.undo(key, place)
            engine.synced = False

    def _add_copies(self) -> None:
        planner, now = self._planner, self._clock()
        copies: Counter[AdapterKey] = Counter()
        for engine in planner.engines.values():
            copies.update(
                key for key, place in engine.adapters() if place.phase is not Phase.LEAVING
            )
        wanted = [
            key
            for key, count in copies.items()
            if planner.popularity.rate(key.text, now) > RATE_PER_COPY * count
        ]
        openings = planner.openings() if wanted else {}
        for key in wanted:
            planner.load(key, now, openings, lambda name: True)
