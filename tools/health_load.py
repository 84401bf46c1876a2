"""What the health of replicas takes at a planner and at its gateways, without a network.

``python tools/health_load.py GATEWAYS ENGINES REQUESTS_PER_S FAILING`` prints one JSON object:
parts of a core that taking, judging and telling take at the planner, and filling at a gateway;
entries and bytes that pass. A part FAILING of all requests fails, wherever it is sent.
"""

import json
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "tests"))

import logbook
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.followers import Followers
from gradelug_gateway.pacing import Pacing
from gradelug_gateway.shared_health import HealthAggregator, OutcomeReporter
from gradelug_wire import placement_pb2 as pb
from test_shared_health import HALLS, new_state

WARM_UP_S = 5.0
MEASURED_S = 20.0


class Busy:
    """An engine with requests."""

    def is_in_use(self):
        return True


class Clock:
    """Set by hand."""

    now = 0.0

    def __call__(self):
        return self.now


def play(gateways, engines, per_s, failing):
    """Return what it takes, each second of the played time."""
    clock, rng = Clock(), random.Random(0)
    pacing = Pacing(0.0)
    pacing.set_gateway_count(gateways)
    state = new_state(engines, 0)
    names = [name for name, rep in state.replicas.items() if rep.service == "llm"]
    desk = HealthAggregator("llm", state, dict.fromkeys(names, Busy()), lambda: pacing.flush_s)
    followers = Followers({}, clock)
    fleets = [Fleet(state, HALLS[number % 3], clock) for number in range(gateways)]
    tellers = [
        OutcomeReporter("llm", f"g{number}", fleet, clock, lambda: True)
        for number, fleet in enumerate(fleets)
    ]
    joined = [followers.join(f"g{number}", "") for number in range(gateways)]
    for follower, fleet in zip(joined, fleets, strict=True):
        follower.hall = fleet.hall
    used = dict.fromkeys(("taking", "judging", "filling"), 0.0)
    entries = told_bytes = found_bytes = 0
    while clock.now < WARM_UP_S + MEASURED_S:
        clock.now += pacing.update_interval_s
        pacing.update_rates(clock.now)
        measures = clock.now > WARM_UP_S
        for _ in range(round(per_s * pacing.update_interval_s)):
            health = rng.choice(fleets).health(rng.choice(names))
            health.note(rng.random() < failing, clock.now)
        messages = []
        began = time.process_time()
        for teller in tellers:
            messages.append(pb.FromGateway())
            teller.fill(messages[-1])
        used["filling"] += measures * (time.process_time() - began) / gateways
        raw = [message.SerializeToString() for message in messages]
        began = time.process_time()
        for follower, text in zip(joined, raw, strict=True):
            desk.take(follower, pb.FromGateway.FromString(text), clock.now)
        used["taking"] += measures * (time.process_time() - began)
        news = pb.FromPlanner()
        began = time.process_time()
        desk.fill(news, clock.now)
        text = news.SerializeToString()
        used["judging"] += measures * (time.process_time() - began)
        if measures:
            entries += sum(len(message.ends) for message in messages)
            told_bytes += sum(len(text) for text in raw)
            found_bytes += len(text)
        for teller in tellers:
            teller.take(news)
    return {
        "gateways": gateways,
        "engines": engines,
        "requests_per_s": per_s,
        "failing": failing,
        "news_s": pacing.update_interval_s,
        **{f"{name}_cores": round(part / MEASURED_S, 5) for name, part in used.items()},
        "entries_s": round(entries / MEASURED_S),
        "told_kb_s_each": round(told_bytes / 1e3 / MEASURED_S / gateways, 3),
        "found_kb_s_each": round(found_bytes / 1e3 / MEASURED_S, 3),
    }


def main():
    gateways, engines, per_s = map(int, sys.argv[1:4])
    with logbook.NullHandler().applicationbound():
        print(json.dumps(play(gateways, engines, per_s, float(sys.argv[4]))))


if __name__ == "__main__":
    main()
