"""Tests of engine capacity estimates, alone and in simulations of unevenly used adapters."""

import functools

import pytest
from engine_fleet_model import BASELINE, FleetParameters, FleetSimulation, PlacementOptions
from gradelug_policy.engine_capacity import (
    DEFAULT_HOLD_TIME_S,
    EngineCapacity,
    EngineEstimator,
    EngineRates,
    capacity_wait_s,
    copy_gain_s,
    expected_first_event_s,
    has_capacity,
)
from gradelug_policy.prefill import EngineLoad, PrefillSpeeds, RequestWork, first_event_s

RATES = EngineRates(20_000.0, 1.2)
SLOTS_ONLY = EngineCapacity(12)
SLOTS_AND_MEMORY = EngineCapacity(12, 30_000)
REQUEST = RequestWork(1_000, 0, 200)
BURST = {"length_s": 12.0, "bursts": ((3.0, 4.5),)}
FEW_SLOTS = FleetParameters(**BURST)
"""70 engines of 12 slots; Zipf distributed adapters with exponent 1.2, a sinusoidal load of
relative amplitude 0.55, and a burst of 2.6 times the mean rate."""
MANY_SLOTS = FleetParameters(
    engines=30, slots=48, queue=8, speed=25_800, rate=194, places=16, **BURST
)
PREFILL_BOUND = FleetParameters(
    engines=5,
    slots=96,
    queue=16,
    speed=38_000,
    rate=40,
    places=9,
    adapters=300,
    loads_at_once=2,
    kinds=((0, 0.5, 800, 100), (1, 0.8, 4_000, 200)),
    mix=(2, 1),
    **BURST,
)


@functools.cache
def simulated(shape, rules):
    run = FleetSimulation(FLEETS[shape], rules).go()
    return run, run.figures()


FLEETS = {"few slots": FEW_SLOTS, "many slots": MANY_SLOTS, "reading": PREFILL_BOUND}


class TestExpected:
    def test_request_waits_for_a_slot_when_all_are_taken(self):
        free, full = EngineLoad(running=11), EngineLoad(running=10, starting=2)
        assert capacity_wait_s(free, REQUEST, SLOTS_ONLY, RATES) == 0
        assert capacity_wait_s(full, REQUEST, SLOTS_ONLY, RATES) == pytest.approx(0.1)
        queued = EngineLoad(running=12, starting=3)
        assert capacity_wait_s(queued, REQUEST, SLOTS_ONLY, RATES) == pytest.approx(0.4)
        assert expected_first_event_s(full, REQUEST, SLOTS_ONLY, RATES) == pytest.approx(
            first_event_s(full, REQUEST, RATES.tokens_per_s) + 0.1
        )

    def test_request_waits_for_memory_although_slots_are_free(self):
        busy = EngineLoad(running=4, memory_tokens=29_000)
        assert not has_capacity(busy, REQUEST, SLOTS_AND_MEMORY, RATES)
        assert capacity_wait_s(busy, REQUEST, SLOTS_AND_MEMORY, RATES) == pytest.approx(1.2 / 4)
        assert has_capacity(busy, RequestWork(700, 0, 300), SLOTS_AND_MEMORY, RATES)

    def test_runs_expected_to_end_within_the_state_age_count_as_free(self):
        full = EngineLoad(running=12)
        assert not has_capacity(full, REQUEST, SLOTS_ONLY, RATES)
        assert has_capacity(full, REQUEST, SLOTS_ONLY, RATES, state_age_s=0.15)

    def test_with_unknown_slots_only_prefill_counts(self):
        busy = EngineLoad((0, 5_000), 100, 20, 10**6)
        expected = first_event_s(busy, REQUEST, RATES.tokens_per_s)
        assert expected_first_event_s(busy, REQUEST, EngineCapacity(), RATES) == expected
        assert has_capacity(busy, REQUEST, EngineCapacity(), RATES)


class TestCopies:
    def test_copy_gains_nothing_while_free_slots_suffice(self):
        holders = [EngineLoad(running=2)]
        assert copy_gain_s(holders, 4.0, 0.3, SLOTS_ONLY, 1.2) == 0

    def test_gain_is_positive_before_slots_run_out_and_grows_with_the_rate(self):
        holders = [EngineLoad(running=9)]
        few, many = (copy_gain_s(holders, rate, 0.3, SLOTS_ONLY, 1.2) for rate in (8.0, 38.0))
        assert 0 < few < many

    def test_expected_arrivals_include_their_deviation(self):
        # Two slots are free; one request arrives during a load on average, but three may arrive.
        assert copy_gain_s([EngineLoad(running=10)], 2.0, 0.3, SLOTS_ONLY, 1.2) > 0

    def test_copy_of_a_rare_adapter_on_a_full_engine_gains_less_than_a_load_costs(self):
        assert copy_gain_s([EngineLoad(running=12)], 0.2, 0.3, SLOTS_ONLY, 1.2) < 0.8


class TestEngineRoom:
    def test_slot_occupation_time_is_learned(self):
        estimator = EngineEstimator(PrefillSpeeds())
        assert estimator.hold_s("llm") == DEFAULT_HOLD_TIME_S
        for _ in range(200):
            estimator.note_run("llm", 0.6)
        assert estimator.hold_s("llm") == pytest.approx(0.6, rel=0.01)
        assert estimator.hold_s("other") == DEFAULT_HOLD_TIME_S

    @pytest.mark.parametrize(("slots", "prompt", "bound"), [(12, 1_250, True), (64, 4_300, False)])
    def test_engines_are_slot_bound_or_prefill_bound(self, slots, prompt, bound):
        speeds = PrefillSpeeds()
        estimator = EngineEstimator(speeds)
        for _ in range(300):
            speeds.note("llm", EngineLoad(), RequestWork(prompt), prompt / 25_000)
            estimator.note_run("llm", 1.7)
        assert estimator.is_slot_bound("llm", EngineCapacity(slots)) is bound

    def test_bottleneck_has_hysteresis(self):
        speeds = PrefillSpeeds()
        estimator = EngineEstimator(speeds)
        speeds.note("llm", EngineLoad((9_000,)), RequestWork(1_000), 1.0)
        prefill_capacity = speeds.speed("llm") * estimator.hold_s("llm") / 1_000
        slot_bound = [
            estimator.is_slot_bound("llm", EngineCapacity(round(ratio * prefill_capacity)))
            for ratio in (1.7, 2.1, 1.7, 1)
        ]
        assert slot_bound == [True, False, False, True]

    def test_rates_of_a_slow_engine_are_scaled(self):
        estimator = EngineEstimator(PrefillSpeeds())
        usual = estimator.pace("llm", "e0", 5.0)
        estimator.paces.set_slowness("e0", 4.0, 5.0)
        slow = estimator.pace("llm", "e0", 5.0)
        assert slow.tokens_per_s == usual.tokens_per_s / 4
        assert slow.hold_s == usual.hold_s * 4


class TestSimulatedLoad:
    def test_few_slots_runs_are_not_preempted_and_more_are_in_time(self):
        _, baseline = simulated("few slots", BASELINE)
        _, current = simulated("few slots", PlacementOptions())
        assert baseline["preempted"] > 0.1 * baseline["requests"]
        assert current["preempted"] <= 0.02 * current["requests"]
        assert current["in_time"] > baseline["in_time"] + 0.15
        assert current["rejected"] < 0.5 * baseline["rejected"]

    def test_few_slots_requests_spread_over_the_engines(self):
        def busiest(run):
            return max(run.sent.values()) * FEW_SLOTS.engines / sum(run.sent.values())

        baseline, _ = simulated("few slots", BASELINE)
        current, _ = simulated("few slots", PlacementOptions())
        assert busiest(current) < 1.6 < 2 < busiest(baseline)

    def test_few_slots_adapter_copies_raise_the_part_in_time(self):
        _, without = simulated("few slots", PlacementOptions(copies=False))
        _, current = simulated("few slots", PlacementOptions())
        assert current["in_time"] > without["in_time"] + 0.05

    def test_many_slots_fewer_are_rejected_and_preempted(self):
        _, baseline = simulated("many slots", BASELINE)
        _, current = simulated("many slots", PlacementOptions())
        assert current["preempted"] <= 0.02 * current["requests"]
        assert current["rejected"] < 0.1 * baseline["rejected"]
        assert current["in_time"] > baseline["in_time"] + 0.08

    def test_prefill_bound_load_does_not_get_worse(self):
        _, baseline = simulated("reading", BASELINE)
        _, current = simulated("reading", PlacementOptions())
        assert current["preempted"] == 0
        assert current["in_time"] > baseline["in_time"] - 0.03

    def test_equal_urgency_preempts_no_run_and_ranked_urgency_pauses_some(self):
        _, by_rank = simulated(
            "few slots", PlacementOptions(urgency="rank", copies=False, slots=False)
        )
        _, equal = simulated("few slots", PlacementOptions(urgency="equal"))
        assert equal["preempted"] == equal["paused"] == 0
        assert by_rank["paused"] > 0.02 * by_rank["requests"]
