"""Simulation of a planner with many gateways and engines.

The planner's code runs on a simulated clock without sockets. Gateways send the messages that a real
gateway's link sends; the planner's messages to them are counted with their encoded size.
"""

import asyncio
import math
import random
import time
from collections import Counter

from gradelug_gateway.model import (
    AdapterKey,
    BaseModel,
    EngineReport,
    EngineSpec,
    FleetState,
    Holding,
    OrderOutcome,
    Replica,
)
from gradelug_gateway.planner import Planner
from gradelug_gateway.settings import Feature
from gradelug_policy.residency import LoadRateLimiter
from gradelug_wire import placement_pb2 as pb

PLACES = 9
SPEC = EngineSpec((BaseModel("base-model", 500.0, 0.6, 14.0),), 1000.0, PLACES, 96, 100_000, 8.0)
RUN_S = 2.0
STEP_S = 0.05
SEND_INTERVAL_S = 0.5
ADAPTERS_PER_ENGINE = 20
FEATURES = frozenset(Feature)


class Orders:
    """Engines that accept every order immediately."""

    def __init__(self):
        self.reports = 0
        self.max_concurrent_reports = 0
        self.in_progress = 0
        self.holdings = {}

    def may_order(self, replica):
        return True

    async def order(self, replica, order):
        return OrderOutcome.TAKEN if order.load else OrderOutcome.HOLDS

    async def report(self, replica):
        self.reports += 1
        self.in_progress += 1
        self.max_concurrent_reports = max(self.max_concurrent_reports, self.in_progress)
        await asyncio.sleep(0.005)
        self.in_progress -= 1
        held = (Holding(AdapterKey("base-model"), 1), *self.holdings[replica.name])
        return EngineReport(0, held, (), frozenset(), False)


class Gateway:
    """A gateway's end of the stream to the planner, reduced to the messages that it sends."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.rng = random.Random(number)
        self.name = f"gateway-hall-{number % 3}-{number}"
        self.follower = fleet.planner.join(self.name, f"10.0.{number // 250}.{number % 250}:1")
        fleet.planner.take(self.follower, pb.FromGateway(instance=self.name, strength=1.0))
        self.ticket = 0
        self.asked = {}
        self.running = Counter()
        self.ends = []
        self.sent_at = 0.0
        self.reads = True
        self.bytes = self.messages = self.answered = self.refused = 0

    def ask(self):
        self.ticket += 1
        adapter = f"adapter-{self.fleet.draw(self.rng):05}"
        self.asked[self.ticket] = adapter
        return pb.Ask(
            ticket=self.ticket,
            model="base-model",
            adapter=adapter,
            wait_ms=4000,
            target_ms=1000,
            value=1.0,
            prompt_tokens=800,
        )

    def step(self, now, starts):
        message = pb.FromGateway(sent_ms=round(now * 1000))
        changed = set()
        started = self.read(now) if self.reads else Counter()
        changed.update(started)
        while self.ends and self.ends[0][0] <= now:
            _, use = self.ends.pop(0)
            self.running[use] -= 1
            changed.add(use)
        message.asks.extend(self.ask() for _ in range(starts))
        for replica, adapter in changed:
            message.uses.add(
                replica=replica,
                model="base-model",
                adapter=adapter,
                active=self.running[(replica, adapter)],
                started=started[(replica, adapter)],
            )
            if not self.running[(replica, adapter)]:
                del self.running[(replica, adapter)]
        for replica in {replica for replica, _ in changed}:
            running = sum(count for use, count in self.running.items() if use[0] == replica)
            message.loads.add(replica=replica, running=running)
        if message.asks or message.uses or now - self.sent_at >= SEND_INTERVAL_S:
            self.sent_at = now
            self.fleet.planner.take(self.follower, message)

    def read(self, now):
        started = Counter()
        for message in self.follower.take_messages():
            self.messages += 1
            self.bytes += message.ByteSize()
            self.take(message)
            for answer in message.answers:
                adapter = self.asked.pop(answer.ticket)
                if not answer.replica:
                    self.refused += 1
                    continue
                self.answered += 1
                use = (answer.replica, adapter)
                self.running[use] += 1
                self.ends.append((now + RUN_S, use))
                started[use] += 1
        return started

    def take(self, message):
        """Handle a message; for tests to override."""


class SimulatedFleet:
    """Gateways and engines of one planner.

    Parameters
    ----------
    gateways, engines : int
        Number of gateways and of engines.
    starts_per_s : float
        Requests that start at each gateway per second.
    seed : int
        Seed of the random number generator.
    gateway : type
        Class of the simulated gateways.
    may_scope : bool
        Whether planners report to a gateway only the weights that it uses.
    tells : bool
        Whether the engines' entries in the store list their weights.
    """

    def __init__(
        self,
        gateways,
        engines,
        starts_per_s=2.0,
        seed=1,
        gateway=Gateway,
        may_scope=True,
        tells=False,
    ):
        self.clock = asyncio.get_running_loop().time
        self.rng = random.Random(seed)
        self.adapters = ADAPTERS_PER_ENGINE * engines
        self.starts_per_s = starts_per_s
        self.state = FleetState()
        self.orders = Orders()
        for at in range(engines):
            name = f"engine-hall-{at % 3}-life-{at:05}"
            held = range(at * (PLACES - 1), (at + 1) * (PLACES - 1))
            self.orders.holdings[name] = tuple(
                Holding(AdapterKey("base-model", f"adapter-{number:05}"), 1) for number in held
            )
            self.state.replicas[name] = Replica(
                name,
                "llm",
                f"10.1.0.1:{at}",
                f"hall-{at % 3}",
                holdings=self.orders.holdings[name] if tells else (),
            )
        window = LoadRateLimiter(8.0, 5.0, 1.1, 3)
        self.planner = Planner(
            "llm",
            "me",
            SPEC,
            self.state,
            self.orders,
            window,
            self.clock,
            features=FEATURES if may_scope else FEATURES - {Feature.SCOPED_NEWS},
        )
        self.planner.begin_term(7)
        self.task = asyncio.create_task(self.planner.run())
        self.gateways = [gateway(self, number) for number in range(gateways)]
        self.busy_s = 0.0

    def draw(self, rng):
        """Return a random adapter number, with low numbers most frequent."""
        return min(self.adapters - 1, int(self.adapters ** rng.random()) - 1)

    async def play(self, seconds, step_s=STEP_S):
        """Run the gateways for some time, in seconds of the simulated clock."""
        until = self.clock() + seconds
        while self.clock() < until:
            for gateway in self.gateways:
                due = self.starts_per_s * step_s
                starts = math.floor(due) + (self.rng.random() < due - math.floor(due))
                gateway.step(self.clock(), starts)
            await asyncio.sleep(step_s)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def count(self, what):
        return sum(getattr(gateway, what) for gateway in self.gateways)

    def reset(self):
        for gateway in self.gateways:
            gateway.bytes = gateway.messages = gateway.answered = gateway.refused = 0


async def measure(gateways, engines, starts_per_s=2.0, seconds=4.0):
    """Return memory, traffic and CPU time that a fleet costs its planner, by name."""
    import tracemalloc

    tracemalloc.start()
    fleet = SimulatedFleet(gateways, engines, starts_per_s)
    at_join = tracemalloc.get_traced_memory()[0]
    await fleet.play(2.0)
    joined = fleet.count("bytes")
    fleet.reset()
    tracemalloc.stop()
    began = time.process_time()
    await fleet.play(seconds)
    took = time.process_time() - began
    planner, now = fleet.planner, fleet.clock()
    timed = {}
    for name, call in {
        "openings": planner.load_targets,
        "refresh": planner.refresh,
        "decide": planner.decide,
        "news": lambda: planner.followers.broadcast_updates(True),
    }.items():
        start = time.perf_counter()
        call()
        timed[name] = round(1000 * (time.perf_counter() - start), 2)
    await fleet.stop()
    del now
    return {
        "join_memory_mb": round(at_join / 1e6, 1),
        "join_kb_each": round(joined / gateways / 1e3, 1),
        "kb_s_each": round(fleet.count("bytes") / gateways / seconds / 1e3, 2),
        "messages_s_each": round(fleet.count("messages") / gateways / seconds, 2),
        "answered": fleet.count("answered"),
        "refused": fleet.count("refused"),
        "cpu_s_per_s": round(took / seconds, 3),
        "most_reports": fleet.orders.max_concurrent_reports,
        **{f"{name}_ms": took for name, took in timed.items()},
    }


if __name__ == "__main__":
    import logging
    import sys

    import logbook
    from world import new_loop

    logging.disable(logging.CRITICAL)
    for pair in sys.argv[1:]:
        size = tuple(map(int, pair.split("x")))
        with logbook.NullHandler().applicationbound():
            loop = new_loop()
            print(pair, loop.run_until_complete(measure(*size)), flush=True)
            loop.close()
