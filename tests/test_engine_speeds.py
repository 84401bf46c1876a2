"""Exchange of engine speeds between gateways and planners."""

from gradelug_gateway.engine_speeds import PauseTally, SpeedAggregator, SpeedReporter
from gradelug_gateway.follower import Follower
from gradelug_policy.engine_slowness import SlowEngineDetector
from gradelug_policy.prefill import PrefillSpeeds
from gradelug_wire import placement_pb2 as pb


class Clock:
    now = 0.0

    def __call__(self):
        return self.now


class Pair:
    """A planner and some gateways, each with runs on some of the engines."""

    def __init__(self, gateways=8, engines=6):
        self.clock = Clock()
        self.speeds = PrefillSpeeds()
        self.aggregator = SpeedAggregator("llm", SlowEngineDetector(), self.speeds)
        self.tallies = [PauseTally() for _ in range(gateways)]
        self.paces = [SlowEngineDetector() for _ in range(gateways)]
        self.reporters = [
            SpeedReporter("llm", tally, paces, self.speeds, self.clock)
            for tally, paces in zip(self.tallies, self.paces, strict=True)
        ]
        self.follower = Follower(1, "g", "")
        self.engines = [f"e{number}" for number in range(engines)]

    def step(self, slow=()):
        self.clock.now += 0.2
        for number, (tally, reporter) in enumerate(zip(self.tallies, self.reporters, strict=True)):
            # Each gateway has runs on half of the engines.
            for name in self.engines[number % 2 :: 2]:
                tally.note(name, 0.2, 1 if name in slow else 4)
            message = pb.FromGateway()
            reporter.fill(message)
            self.aggregator.take(self.follower, message, self.clock.now)
        news = pb.FromPlanner()
        self.aggregator.fill(news, self.clock.now)
        for reporter in self.reporters:
            reporter.take(news)
        return news


def test_a_slow_engine_is_reported_to_gateways_without_runs_there():
    pair = Pair()
    for _ in range(5):
        assert not pair.step().speeds
    for _ in range(5):
        news = pair.step({"e0"})
    assert [reported.replica for reported in news.speeds] == ["e0"]
    now = pair.clock.now
    assert all(paces.slowness("llm", "e0", now) > 2.5 for paces in pair.paces)
    assert all(paces.slowness("llm", "e1", now) == 1.0 for paces in pair.paces)
    for _ in range(20):
        pair.step()
    assert all(paces.slowness("llm", "e0", pair.clock.now) == 1.0 for paces in pair.paces)


def test_pauses_are_reported_once_and_discarded_on_reconnect():
    pair = Pair(gateways=1)
    for pause_s in (0.05, 0.5, 0.06, 0.05, 0.4, 0.3):
        pair.tallies[0].note("e0", pause_s, 1)
    first, second = pb.FromGateway(), pb.FromGateway()
    pair.reporters[0].fill(first)
    pair.reporters[0].fill(second)
    assert [
        (observed.replica, observed.step_ms, observed.samples) for observed in first.speeds
    ] == [("e0", 50, 6)]
    assert not second.speeds
    pair.tallies[0].note("e0", 0.1, 2)
    pair.reporters[0].begin_stream()
    pair.reporters[0].fill(second)
    assert not second.speeds


def test_pauses_during_prefill_do_not_make_an_engine_slow():
    pair = Pair()
    pair.aggregator = SpeedAggregator(
        "llm", SlowEngineDetector(), pair.speeds, lambda replica: replica == "e0"
    )
    for _ in range(10):
        assert not pair.step({"e0"}).speeds


def test_a_restarted_engine_is_not_slow():
    pair = Pair()
    for _ in range(8):
        pair.step({"e0"})
    assert all(paces.slowness("llm", "e0", pair.clock.now) > 2 for paces in pair.paces)
    pair.aggregator.forget("e0")
    news, later = pb.FromPlanner(), pb.FromPlanner()
    pair.aggregator.fill(news, pair.clock.now)
    for reporter in pair.reporters:
        reporter.take(news)
    assert all(paces.slowness("llm", "e0", pair.clock.now) == 1 for paces in pair.paces)
    pair.aggregator.fill(later, pair.clock.now)
    assert not later.speeds
