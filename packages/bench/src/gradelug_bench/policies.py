"""The policy of the product, and the baselines that it is compared with."""

from __future__ import annotations

import typing as t

import xxhash
from gradelug_policy import (
    Demand,
    EngineView,
    PlacementSettings,
    Popularity,
    Resident,
    SlotSettings,
    choose_demand,
    choose_engine,
    choose_victim,
    priority,
)

from .model import EngineState, LoadWish, Model, Request


def _unmet(engine: EngineState, now: float) -> list[str]:
    """Return the adapters waited for that are neither resident nor on their way."""
    keys = dict.fromkeys(request.key for request in engine.waiting)
    return [
        key
        for key in keys
        if key not in engine.resident
        and key not in engine.loading
        and key not in engine.wanted
        and engine.failed.get(key, 0.0) <= now
    ]


class Lru:
    """Least-loaded among the engines that hold the adapter, else the least loaded; the least
    recently used idle adapter is dropped; first come, first served."""

    name = "lru"

    def route(self, request: Request, model: Model) -> int:
        """Return the engine."""
        holders = [
            engine
            for engine in model.engines
            if request.key in engine.resident
            or request.key in engine.loading
            or request.key in engine.wanted
        ]
        chosen = min(
            holders or model.engines,
            key=lambda engine: (engine.running + len(engine.waiting), engine.index),
        )
        return chosen.index

    def next_start(self, engine: EngineState, model: Model) -> Request | None:
        """Return the first that can start."""
        for request in engine.waiting:
            slot = engine.resident.get(request.key)
            if slot is not None and not slot.draining:
                return request
        return None

    def next_load(self, engine: EngineState, model: Model) -> str | None:
        """Return the adapter waited for longest."""
        unmet = _unmet(engine, model.now)
        return unmet[0] if unmet else None

    def victim(self, engine: EngineState, key: str, model: Model) -> str | None:
        """Return the least recently used idle adapter."""
        idle = [(slot.used_at, name) for name, slot in engine.resident.items() if not slot.busy]
        return min(idle)[1] if idle else None

    def next_permit(self, wishes: t.Sequence[LoadWish], model: Model) -> LoadWish:
        """Return the first."""
        return min(wishes, key=lambda wish: (wish.since, wish.engine, wish.key))

    def reroutes(self) -> bool:
        """Tell that requests stay where they are."""
        return False


class StaticHash(Lru):
    """Every adapter has one engine, by hash."""

    name = "hash"

    def route(self, request: Request, model: Model) -> int:
        """Return the adapter's engine."""
        return xxhash.xxh3_64_intdigest(request.key.encode()) % len(model.engines)


class Gradelug:
    """The decisions of the daemons.

    Parameters
    ----------
    placement : PlacementSettings
        The routers' settings.
    slots : SlotSettings
        The schedulers' settings.
    """

    name = "gradelug"

    def __init__(self, placement: PlacementSettings, slots: SlotSettings) -> None:
        self._placement = placement
        self._slots = slots
        self._popularity = Popularity(slots.half_life_s)
        self._noted: set[int] = set()

    def route(self, request: Request, model: Model) -> int:
        """Return the engine with the least expected wait."""
        if id(request) not in self._noted:
            self._noted.add(id(request))
            self._popularity.note(request.key, model.now, request.arrival.weight)
        views = [_view(engine, self._popularity, model.now) for engine in model.engines]
        chosen = choose_engine(views, request.key, "", self._placement)
        return int(chosen.name) if chosen else 0

    def next_start(self, engine: EngineState, model: Model) -> Request | None:
        """Return the request of the highest priority that can start."""
        ready = [
            request
            for request in engine.waiting
            if request.key in engine.resident and not engine.resident[request.key].draining
        ]
        now = model.now
        return max(
            ready,
            key=lambda request: priority(request.arrival.weight, now - request.arrival.at),
            default=None,
        )

    def next_load(self, engine: EngineState, model: Model) -> str | None:
        """Return the adapter of the most urgent demand."""
        demands = [self._demand(engine, key, model) for key in _unmet(engine, model.now)]
        chosen = choose_demand(demands, model.now)
        return chosen.key if chosen else None

    def victim(self, engine: EngineState, key: str, model: Model) -> str | None:
        """Return the adapter that is least wanted, if it is wanted less."""
        residents = [
            Resident(
                key=name,
                busy=slot.busy,
                rate=self._popularity.rate(name, model.now),
                used_at=slot.used_at,
            )
            for name, slot in engine.resident.items()
        ]
        demand = self._demand(engine, key, model)
        chosen = choose_victim(residents, demand, model.now, self._slots)
        return chosen.key if chosen else None

    def next_permit(self, wishes: t.Sequence[LoadWish], model: Model) -> LoadWish:
        """Return the most urgent load."""
        now = model.now
        return max(
            wishes,
            key=lambda wish: (priority(max(wish.weight, 0.1), now - wish.since), wish.key),
        )

    def reroutes(self) -> bool:
        """Tell that a router asks elsewhere when an engine is busy."""
        return True

    def _demand(self, engine: EngineState, key: str, model: Model) -> Demand:
        waiting = model.waiting_of(engine, key)
        return Demand(
            key=key,
            waiters=len(waiting),
            weight=sum(request.arrival.weight for request in waiting),
            since=min(request.arrival.at for request in waiting),
            rate=self._popularity.rate(key, model.now),
        )


def _coldest(engine: EngineState, popularity: Popularity, now: float) -> float:
    idle = [key for key, slot in engine.resident.items() if not slot.busy]
    return min((popularity.rate(key, now) for key in idle), default=0.0)


def _view(engine: EngineState, popularity: Popularity, now: float) -> EngineView:
    return EngineView(
        name=str(engine.index),
        hall="",
        resident=frozenset(key for key, slot in engine.resident.items() if not slot.draining),
        loading=frozenset(engine.loading | engine.wanted.keys()),
        slots=engine.slots,
        evictable=sum(not slot.busy for slot in engine.resident.values()),
        coldest=_coldest(engine, popularity, now),
        load=engine.running,
        batch=engine.batch,
        waiting=len(engine.waiting),
    )
