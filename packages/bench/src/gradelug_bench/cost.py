"""Processor time of a decision, by the number of adapters and of engines."""

from __future__ import annotations

import json
import random
import time

from gradelug_policy import (
    Demand,
    EngineView,
    Fleet,
    PlacementSettings,
    Popularity,
    Resident,
    SlotSettings,
    choose_demand,
    choose_engine,
    choose_victim,
)

ROUNDS = 2000
SLOTS = 8


def measure_cost() -> None:
    """Print one JSON object a line: microseconds for routing and for placing one request."""
    for adapters in (1_000, 5_000, 10_000, 20_000):
        _emit(adapters, engines=9)
    for engines in (25, 50, 100, 200):
        _emit(20_000, engines)


def _emit(adapters: int, engines: int) -> None:
    rng = random.Random(1)
    popularity = Popularity(300.0)
    for number in range(adapters):
        popularity.note(f"a{number}@1", 0.0, 1.0)
    fleet = Fleet([_view(index, adapters, rng) for index in range(engines)])
    keys = [f"a{rng.randrange(adapters)}@1" for _ in range(ROUNDS)]
    started = time.process_time()
    for key in keys:
        choose_engine(fleet.candidates(key), key, "h0", PlacementSettings())
    route_us = (time.process_time() - started) / ROUNDS * 1e6
    started = time.process_time()
    for key in keys:
        _place(popularity, key, fleet.views[0])
    place_us = (time.process_time() - started) / ROUNDS * 1e6
    line = {
        "measure": "decision",
        "adapters": adapters,
        "engines": engines,
        "route_us": round(route_us, 1),
        "place_us": round(place_us, 1),
    }
    print(json.dumps(line), flush=True)


def _view(index: int, adapters: int, rng: random.Random) -> EngineView:
    resident = frozenset(f"a{rng.randrange(adapters)}@1" for _ in range(SLOTS))
    return EngineView(
        name=f"e{index}",
        hall=f"h{index % 6}",
        resident=resident,
        loading=frozenset(),
        slots=SLOTS,
        evictable=4,
        coldest=0.1,
        load=rng.randrange(32),
        batch=32,
        waiting=0,
    )


def _place(popularity: Popularity, key: str, view: EngineView) -> None:
    popularity.note(key, 1.0, 1.0)
    demand = Demand(key, 1, 1.0, 0.5, popularity.rate(key, 1.0))
    choose_demand([demand], 1.0)
    residents = [Resident(name, 0, popularity.rate(name, 1.0), 0.5) for name in view.resident]
    choose_victim(residents, demand, 1.0, SlotSettings())
