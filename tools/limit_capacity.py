"""What limits of replicas take at a planner and at a gateway: memory, time and bytes.

``python tools/limit_capacity.py`` prints one JSON object, at 370 gateways and 600 replicas that all
name a limit. Nothing is sent: the wire's part of each message is counted in bytes alone.
"""

import json
import random
import time
import tracemalloc

from gradelug_gateway import limit_desk
from gradelug_gateway.follower import Follower
from gradelug_gateway.limits import ReplicaLimits
from gradelug_gateway.model import FleetState, Replica
from gradelug_policy.replica_limits import ReportedLimit
from gradelug_wire import placement_pb2 as pb

GATEWAYS, REPLICAS, ROUNDS = 370, 600, 20_000
PAUSE_S = 1e-4
"""Between two questions, at 10,000 requests a second."""
NAMES = [f"i-{number:010x}" for number in range(REPLICAS)]


class Clock:
    """A clock that is set."""

    def __init__(self):
        self.now = 1000.0

    def __call__(self):
        return self.now


def us(act, rounds=ROUNDS):
    """Return the mean time of something, in microseconds."""
    began = time.perf_counter()
    for number in range(rounds):
        act(number)
    return round(1e6 * (time.perf_counter() - began) / rounds, 2)


def main():
    """Measure and print."""
    clock, rng = Clock(), random.Random(1)
    state = FleetState(replicas={name: Replica(name, "plain", "", "h") for name in NAMES})
    tracemalloc.start()
    limits = ReplicaLimits(clock)
    for name in NAMES:
        limits.update_from_answer(name, ReportedLimit(20.0), clock.now)
        limits.may_offer(name)
    gateway_kb = tracemalloc.get_traced_memory()[0] / 1e3
    desk = limit_desk.LimitAllocator("", state, clock, lambda: True)
    followers = [Follower(number, str(number), "") for number in range(GATEWAYS)]
    facts = [pb.LimitFact(replica=name, named=True, rate=20.0) for name in NAMES]
    desk.take(followers[0], pb.FromGateway(limits=facts), clock.now)
    both_kb = tracemalloc.get_traced_memory()[0] / 1e3
    tracemalloc.stop()

    def tell(number):
        fact = pb.LimitFact(replica=rng.choice(NAMES), named=True, rate=rng.uniform(1, 30))
        desk.take(followers[number % GATEWAYS], pb.FromGateway(limits=[fact]), clock.now)

    def ask(number):
        clock.now += PAUSE_S
        question = pb.RoomAsk(ticket=number, replica=rng.choice(NAMES))
        follower = followers[number % GATEWAYS]
        desk.take(follower, pb.FromGateway(room_asks=[question]), clock.now)
        follower.room_answers.clear()

    news = pb.FromPlanner()
    began = time.perf_counter()
    clock.now += limit_desk.REPEAT_S
    desk.fill(news, clock.now)
    fill_ms = 1e3 * (time.perf_counter() - began)
    figures = {
        "gateway_kb": round(gateway_kb),
        "planner_kb": round(both_kb - gateway_kb),
        "fact_us": us(tell),
        "ask_us": us(ask),
        "whole_news_bytes": news.ByteSize(),
        "whole_news_ms": round(fill_ms, 2),
        "is_open_us": us(lambda number: limits.may_offer(NAMES[number % REPLICAS])),
        "ask_bytes": pb.RoomAsk(ticket=9999, replica=NAMES[0], rank=1, value=1.0).ByteSize(),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
