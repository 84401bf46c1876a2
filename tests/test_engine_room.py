"""Room on engines: what is expected of them, and loads of few slots and uneven adapters."""

import functools

import pytest
from engine_fleet_model import OLD, Rules, Run, Shape
from gradelug_policy.engine_room import (
    FIRST_HOLD_S,
    EngineRates,
    EngineRoom,
    Terms,
    capacity_wait_s,
    copy_gain_s,
    expected_s,
    has_room,
)
from gradelug_policy.reading import Busyness, ReadingSpeeds, Work, first_event_s

PACE = EngineRates(20_000.0, 1.2)
SLOTS = Terms(12)
MEMORY = Terms(12, 30_000)
ASKED = Work(1_000, 0, 200)
BURST = {"length_s": 12.0, "bursts": ((3.0, 4.5),)}
FEW_SLOTS = Shape(**BURST)
"""70 engines of 12 slots; adapters by Zipf 1.2, a wave of 0.55, a burst of 2.6 times the mean."""
MANY_SLOTS = Shape(engines=30, slots=48, queue=8, speed=25_800, rate=194, places=16, **BURST)
READING = Shape(
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
def played(shape, rules):
    run = Run(FLEETS[shape], rules).go()
    return run, run.figures()


FLEETS = {"few slots": FEW_SLOTS, "many slots": MANY_SLOTS, "reading": READING}


class TestExpected:
    def test_a_request_waits_for_a_slot_where_all_are_taken(self):
        free, full = Busyness(running=11), Busyness(running=10, starting=2)
        assert capacity_wait_s(free, ASKED, SLOTS, PACE) == 0
        assert capacity_wait_s(full, ASKED, SLOTS, PACE) == pytest.approx(0.1)
        queued = Busyness(running=12, starting=3)
        assert capacity_wait_s(queued, ASKED, SLOTS, PACE) == pytest.approx(0.4)
        assert expected_s(full, ASKED, SLOTS, PACE) == pytest.approx(
            first_event_s(full, ASKED, PACE.tokens_per_s) + 0.1
        )

    def test_it_waits_for_memory_although_slots_are_free(self):
        busy = Busyness(running=4, memory_tokens=29_000)
        assert not has_room(busy, ASKED, MEMORY, PACE)
        assert capacity_wait_s(busy, ASKED, MEMORY, PACE) == pytest.approx(1.2 / 4)
        assert has_room(busy, Work(700, 0, 300), MEMORY, PACE)

    def test_runs_that_have_ended_since_the_news_count_as_room(self):
        full = Busyness(running=12)
        assert not has_room(full, ASKED, SLOTS, PACE)
        assert has_room(full, ASKED, SLOTS, PACE, state_age_s=0.15)

    def test_without_slots_known_nothing_but_reading_counts(self):
        busy = Busyness((0, 5_000), 100, 20, 10**6)
        expected = first_event_s(busy, ASKED, PACE.tokens_per_s)
        assert expected_s(busy, ASKED, Terms(), PACE) == expected
        assert has_room(busy, ASKED, Terms(), PACE)


class TestCopies:
    def test_a_copy_is_worth_nothing_while_free_slots_last_for_its_load(self):
        holders = [Busyness(running=2)]
        assert copy_gain_s(holders, 4.0, 0.3, SLOTS, 1.2) == 0

    def test_it_is_before_the_slots_are_used_up_and_the_more_the_more_it_is_asked_for(self):
        holders = [Busyness(running=9)]
        few, many = (copy_gain_s(holders, rate, 0.3, SLOTS, 1.2) for rate in (8.0, 38.0))
        assert 0 < few < many

    def test_those_who_come_are_reckoned_with_their_spread(self):
        # Two are free and one comes during a load at the mean; three may well.
        assert copy_gain_s([Busyness(running=10)], 2.0, 0.3, SLOTS, 1.2) > 0

    def test_a_rare_adapter_on_a_full_engine_gains_less_than_a_load_costs(self):
        assert copy_gain_s([Busyness(running=12)], 0.2, 0.3, SLOTS, 1.2) < 0.8


class TestEngineRoom:
    def test_how_long_a_run_holds_its_slot_is_learned(self):
        room = EngineRoom(ReadingSpeeds())
        assert room.hold_s("llm") == FIRST_HOLD_S
        for _ in range(200):
            room.note_run("llm", 0.6)
        assert room.hold_s("llm") == pytest.approx(0.6, rel=0.01)
        assert room.hold_s("other") == FIRST_HOLD_S

    @pytest.mark.parametrize(("slots", "prompt", "bound"), [(12, 1_250, True), (64, 4_300, False)])
    def test_slots_or_reading_may_be_what_is_short(self, slots, prompt, bound):
        speeds = ReadingSpeeds()
        room = EngineRoom(speeds)
        for _ in range(300):
            speeds.note("llm", Busyness(), Work(prompt), prompt / 25_000)
            room.note_run("llm", 1.7)
        assert room.is_slot_bound("llm", Terms(slots)) is bound

    def test_what_is_short_does_not_change_to_and_fro(self):
        speeds = ReadingSpeeds()
        room = EngineRoom(speeds)
        speeds.note("llm", Busyness((9_000,)), Work(1_000), 1.0)
        read = speeds.speed("llm") * room.hold_s("llm") / 1_000
        told = [room.is_slot_bound("llm", Terms(round(part * read))) for part in (1.7, 2.1, 1.7, 1)]
        assert told == [True, False, False, True]

    def test_a_slow_engine_reads_and_runs_that_much_slower(self):
        room = EngineRoom(ReadingSpeeds())
        usual = room.pace("llm", "e0", 5.0)
        room.paces.take("e0", 4.0, 5.0)
        slow = room.pace("llm", "e0", 5.0)
        assert slow.tokens_per_s == usual.tokens_per_s / 4
        assert slow.hold_s == usual.hold_s * 4


class TestLoad:
    def test_few_slots_no_run_is_displaced_and_more_are_in_time(self):
        _, before = played("few slots", OLD)
        _, now = played("few slots", Rules())
        assert before["preempted"] > 0.1 * before["requests"]
        assert now["preempted"] <= 0.02 * now["requests"]
        assert now["in_time"] > before["in_time"] + 0.15
        assert now["rejected"] < 0.5 * before["rejected"]

    def test_few_slots_requests_spread_over_the_engines(self):
        def busiest(run):
            return max(run.sent.values()) * FEW_SLOTS.engines / sum(run.sent.values())

        before, _ = played("few slots", OLD)
        now, _ = played("few slots", Rules())
        assert busiest(now) < 1.6 < 2 < busiest(before)

    def test_copies_brought_ahead_are_most_of_it(self):
        _, without = played("few slots", Rules(copies=False))
        _, now = played("few slots", Rules())
        assert now["in_time"] > without["in_time"] + 0.05

    def test_many_slots_fewer_are_rejected_and_displaced(self):
        _, before = played("many slots", OLD)
        _, now = played("many slots", Rules())
        assert now["preempted"] <= 0.02 * now["requests"]
        assert now["rejected"] < 0.1 * before["rejected"]
        assert now["in_time"] > before["in_time"] + 0.08

    def test_where_reading_is_short_nothing_is_lost(self):
        _, before = played("reading", OLD)
        _, now = played("reading", Rules())
        assert now["preempted"] == 0
        assert now["in_time"] > before["in_time"] - 0.03

    def test_equal_urgency_displaces_nobody_and_by_rank_some_pause(self):
        _, by_rank = played("few slots", Rules(urgency="rank", copies=False, slots=False))
        _, equal = played("few slots", Rules(urgency="equal"))
        assert equal["preempted"] == equal["paused"] == 0
        assert by_rank["paused"] > 0.02 * by_rank["requests"]
