"""Measures what planning and serving cost as engines, gateways and waiting requests grow.

``python tools/gateway_capacity.py`` prints a JSON object a line: processor time of this machine.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
import tracemalloc
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "platform")]

from gradelug_gateway.engines import Phase, WeightSlot  # noqa: E402
from gradelug_gateway.fleet import Fleet  # noqa: E402
from gradelug_gateway.model import (  # noqa: E402
    AdapterKey,
    BaseModel,
    EngineSpec,
    FleetState,
    Holding,
    OrderOutcome,
    Replica,
)
from gradelug_gateway.planner import Planner  # noqa: E402
from gradelug_policy.residency import LoadRateLimiter  # noqa: E402
from gradelug_wire import placement_pb2 as pb  # noqa: E402

SPEC = EngineSpec((BaseModel("m", 500.0, 0.6, 14.0),), 1000.0, 6, 96, 100_000, 18.0)
ROUNDS = 50


class NoOrders:
    """Takes every order and does nothing."""

    async def order(self, replica, order):
        return OrderOutcome.LOST

    async def report(self, replica):
        return None


def make(engines: int) -> Planner:
    state = FleetState()
    clock = asyncio.get_running_loop().time
    for at in range(engines):
        holdings = (Holding(AdapterKey("m"), 1),)
        state.replicas[f"e{at}"] = Replica(f"e{at}", "s", f"e{at}:1", "h", holdings=holdings)
    planner = Planner("s", "me", SPEC, state, NoOrders(), LoadRateLimiter(18, 5, 1.1, 3), clock)
    planner.refresh()
    for at, engine in enumerate(planner.engines.values()):
        engine.synced = True
        for key in [AdapterKey("m"), *(AdapterKey("m", f"a{at * 6 + n}") for n in range(6))]:
            place = engine.weight_slots[key] = WeightSlot(1, Phase.READY, clock())
            place.used_at = -1.0
        for n in range(36):
            engine.add_cached(Holding(AdapterKey("m", f"a{at * 36 + n}"), 1))
    return planner


def busy(planner: Planner) -> None:
    """Let requests use every place, so that nothing can be loaded."""
    for engine in planner.engines.values():
        for key in engine.weight_slots:
            engine.active.setdefault(key, {})[1] = 1


def timed(work, *args) -> float:
    """Return microseconds of processor time a round."""
    began = time.process_time()
    for _ in range(ROUNDS):
        work(*args)
    return round((time.process_time() - began) / ROUNDS * 1e6, 1)


def ask(number: int) -> pb.FromGateway:
    message = pb.FromGateway()
    message.asks.add(
        ticket=number, model="m", adapter=f"z{number}", wait_ms=4000, target_ms=1000, value=1.0
    )
    return message


def tell(planner: Planner) -> None:
    """Tell every gateway that five engines have changed."""
    for name in list(planner.engines)[:5]:
        planner.followers.mark_changed(name)
    planner.followers.broadcast_updates(True)
    for other in planner.followers._by_number.values():
        for message in other.take_messages():
            message.SerializeToString()


def fleet_told(fleet: Fleet, planner: Planner) -> None:
    """Let a gateway know what all engines hold."""
    for name, engine in planner.engines.items():
        fleet.set_holdings(name, {key: place.version for key, place in engine.weight_slots.items()})


def choose(fleet: Fleet) -> None:
    """Choose for the base model, which all hold."""
    fleet.choose(fleet.holders("s", AdapterKey("m")))


def held_ask() -> pb.Ask:
    """Return a question for the base model, which all hold."""
    return pb.Ask(ticket=1, model="m", wait_ms=60_000, target_ms=60_000, prompt_tokens=1)


async def measure() -> None:
    """Print all lines."""
    for engines in (5, 30, 100, 600):
        tracemalloc.start()
        planner = make(engines)
        memory_kb = round(tracemalloc.get_traced_memory()[0] / 1024)
        tracemalloc.stop()
        planner.fence = 1
        busy(planner)
        follower = planner.followers.join("g", "")
        for waiting in (0, 10, 40):
            planner._queue.waiters.clear()
            for number in range(waiting):
                planner.take(follower, ask(number))
            show(what="decision", engines=engines, waiting=waiting, us=timed(planner.decide))
        planner._queue.waiters.clear()
        show(
            what="a question that is answered at once",
            engines=engines,
            us=timed(planner.take, follower, pb.FromGateway(asks=[held_ask()])),
        )
        show(what="memory", engines=engines, kb=memory_kb)
    for gateways in (9, 86, 370):
        planner = make(30)
        for number in range(gateways):
            planner.followers.join(f"g{number}", f"10.0.0.{number}:1")
        follower = next(iter(planner.followers._by_number.values()))
        use = pb.FromGateway()
        use.uses.add(replica="e1", model="m", adapter="a7", active=1, started=1)
        show(
            what="a gateway's message",
            gateways=gateways,
            us=timed(planner.take, follower, use),
        )

        show(
            what="news to all",
            gateways=gateways,
            us=timed(tell, planner),
            every_s=planner.followers.pacing.update_interval_s,
        )
    for replicas in (5, 30, 600):
        planner = make(replicas)
        fleet = Fleet(planner.state, "h", planner._clock)
        fleet_told(fleet, planner)
        show(
            what="choice of a replica",
            replicas=replicas,
            us=timed(choose, fleet),
        )


def show(**line: object) -> None:
    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    asyncio.run(measure())
