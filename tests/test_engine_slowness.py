"""Tests of the detection of slow engines by the pauses between their events."""

import random

import pytest
from gradelug_policy.engine_slowness import (
    MAX_SLOWNESS,
    MIN_ENGINES,
    SLOWNESS_HALF_LIFE_S,
    SlowEngineDetector,
)

EVENT_S = 0.045


class Service:
    """Simulated service of ten engines with some runs each; events are reported every 0.2 s."""

    def __init__(self, engines=10, runs=4, seed=1):
        self.detector = SlowEngineDetector()
        self.rng = random.Random(seed)
        self.engines = [f"e{number}" for number in range(engines)]
        self.runs = runs
        self.now = 0.0

    def step(self, slow=None, idle=()):
        self.now += 0.2
        for name in self.engines:
            if name in idle:
                continue
            factor = (slow or {}).get(name, 1.0) * self.rng.uniform(0.8, 1.25)
            pause_s = EVENT_S * factor
            events = max(1, round(self.runs * 0.2 / pause_s))
            self.detector.note("llm", name, pause_s, events, self.now)

    def slowness(self, name):
        return self.detector.slowness("llm", name, self.now)


@pytest.mark.parametrize("slowdown", [2.2, 4.0, 7.5])
def test_a_slow_engine_is_detected_within_a_second_and_recovers(slowdown):
    service = Service()
    for _ in range(10):
        service.step()
    assert service.detector.slow_engines(service.now) == {}
    for _ in range(5):
        service.step({"e3": slowdown})
    assert service.slowness("e3") > 0.6 * slowdown
    assert set(service.detector.slow_engines(service.now)) == {"e3"}
    for _ in range(15):
        service.step()
    assert service.slowness("e3") == 1.0


def test_an_engine_without_events_recovers():
    service = Service()
    for _ in range(10):
        service.step({"e3": 6.0})
    assert service.slowness("e3") > 4
    for _ in range(round(6 * SLOWNESS_HALF_LIFE_S / 0.2)):
        service.step(idle={"e3"})
    assert service.slowness("e3") == 1.0


def test_load_differences_do_not_count_as_slowness():
    service = Service()
    for _ in range(20):
        service.step({"e1": 1.25, "e2": 0.8})
        assert service.detector.slow_engines(service.now) == {}


def test_one_stopped_run_does_not_make_its_engine_slow():
    service = Service()
    for _ in range(10):
        service.step()
    service.detector.note("llm", "e4", 8.0, 1, service.now)
    assert service.slowness("e4") < 1.7
    service.step()
    assert service.slowness("e4") == 1.0


def test_a_short_pause_of_all_its_runs_does_not_make_an_engine_slow():
    service = Service()
    for _ in range(20):
        service.step({"e5": 4.0})
        assert service.slowness("e5") == 1.0
        service.step()
        service.step()


def test_with_too_few_engines_none_is_slow():
    service = Service(engines=MIN_ENGINES - 1)
    for _ in range(10):
        service.step({"e0": 7.5})
    assert service.detector.slow_engines(service.now) == {}


def test_slowness_set_from_elsewhere_is_bounded_and_decays():
    detector = SlowEngineDetector()
    detector.set_slowness("e0", 50.0, 1.0)
    assert detector.slowness("llm", "e0", 1.0) == MAX_SLOWNESS
    assert 1.0 < detector.slowness("llm", "e0", 1.0 + SLOWNESS_HALF_LIFE_S) < MAX_SLOWNESS
    detector.forget("e0")
    assert detector.slowness("llm", "e0", 1.0) == 1.0
