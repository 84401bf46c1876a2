"""What an instance learns from resets of kept connections, replayed without input and output."""

import math
import random

import pytest
from gradelug_http.idle_resets import (
    FIRST_LESSON_S,
    MAX_LESSON_S,
    MAX_RESET_DELAY_S,
    MIN_REST_S,
    PROOF_S,
    REUSE_FRACTION,
    IdleResets,
)

A, B = "10.0.0.1:80", "10.0.0.2:80"
RESET_S = 0.006
"""Time from sending on a forgotten connection until its reset."""
UPSTREAMS, INSTANCES, RATE_PER_S = 30, 82, 4.0
KEPT_S = 10.0
"""Time for which the upstreams say that they keep idle connections."""


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


def learner(clock, group="service"):
    resets = IdleResets(clock)
    resets.group_of = lambda address: group
    return resets


class NoMemory(IdleResets):
    """Learns nothing, as before."""

    def note_reset(self, address, rested_s, took_s):
        return False


class Load:
    """Requests of one instance to upstreams, over one kept connection to each.

    Parameters
    ----------
    resets : IdleResets
        What the instance learns.
    seed : int
        Seed of the choice of upstreams.
    """

    def __init__(self, clock, resets, seed):
        self.clock, self.memory = clock, resets
        self.rng = random.Random(seed)
        self.used_at = {}
        self.forgets_after = {}
        """Time after which an upstream forgets connections, by its number; unset for never."""
        self.resets = self.reused = self.opened = 0

    def crash(self, upstream):
        """Let an upstream forget all its connections."""
        self.used_at[upstream] = min(self.used_at.get(upstream, math.inf), -math.inf)

    def run(self, until):
        while self.clock.now < until:
            self.clock.now += 1 / RATE_PER_S
            self._send(self.rng.randrange(UPSTREAMS))

    def _send(self, upstream):
        now, address = self.clock.now, f"10.0.0.{upstream}:80"
        used_at = self.used_at.get(upstream)
        self.used_at[upstream] = now
        if used_at is None or KEPT_S <= now - used_at < math.inf:
            self.opened += 1
            return
        has_crashed = used_at == -math.inf
        rested_s = 5.0 if has_crashed else now - used_at
        if rested_s >= self.memory.max_rest_s(address):
            self.opened += 1
        elif has_crashed or rested_s >= self.forgets_after.get(upstream, math.inf):
            self.resets += 1
            self.memory.note_reset(address, rested_s, RESET_S)
        else:
            self.reused += 1
            self.memory.note_answer(address, rested_s, now)


def play(act, kind):
    """Return resets, reused and opened connections of all instances."""
    total = [0, 0, 0]
    for seed in range(INSTANCES):
        clock = Clock()
        resets = kind(clock)
        resets.group_of = lambda address: "service"
        load = Load(clock, resets, seed)
        act(load)
        for at, count in enumerate((load.resets, load.reused, load.opened)):
            total[at] += count
    return total


def race(load):
    """Six of ten upstreams forget connections after 0.3 s, for 6 s."""
    load.run(12.0)
    load.forgets_after = dict.fromkeys(range(18), 0.3)
    load.run(18.0)
    load.forgets_after = {}
    load.run(30.0)


def one_crash(load):
    load.run(12.0)
    load.crash(3)
    load.run(30.0)


def restarts(load):
    """All upstreams restart one after the other."""
    for upstream in range(UPSTREAMS):
        load.run(12.0 + upstream)
        load.crash(upstream)
    load.run(12.0 + UPSTREAMS + 5.0)


class TestLoads:
    def test_upstreams_that_forget_reset_one_request_after_the_other(self):
        before, after = play(race, NoMemory), play(race, IdleResets)
        assert after[0] <= 0.45 * before[0]
        # The price of a reset that is avoided, in new connections.
        assert after[2] - before[2] < 4 * (before[0] - after[0])

    def test_a_crash_costs_new_connections_for_a_limited_time(self):
        before, after = play(one_crash, NoMemory), play(one_crash, IdleResets)
        assert after[0] <= before[0]
        assert after[2] - before[2] <= FIRST_LESSON_S * RATE_PER_S * before[0]

    def test_restarts_in_turn_cost_no_more_resets(self):
        before, after = play(restarts, NoMemory), play(restarts, IdleResets)
        assert after[0] <= before[0]
        assert after[1] >= 0.3 * before[1]


class TestLimits:
    def test_a_reset_limits_the_rest_at_its_address_and_at_its_group(self):
        resets = learner(clock := Clock())
        clock.now = 100.0
        assert resets.max_rest_s(A) == math.inf
        assert resets.note_reset(A, 2.0, RESET_S)
        assert resets.max_rest_s(A) == resets.max_rest_s(B) == REUSE_FRACTION * 2.0
        assert resets.limits() == {"service": REUSE_FRACTION * 2.0}
        assert resets.is_forgetful(B)

    @pytest.mark.parametrize(
        ("rested_s", "took_s"), [(MIN_REST_S / 2, RESET_S), (2.0, 2 * MAX_RESET_DELAY_S)]
    )
    def test_a_crash_was_taken_for_a_forgotten_connection(self, rested_s, took_s):
        resets = learner(Clock())
        assert not resets.note_reset(A, rested_s, took_s)
        assert resets.max_rest_s(A) == math.inf

    def test_a_reset_does_not_count_for_ever(self):
        resets = learner(clock := Clock())
        resets.note_reset(A, 2.0, RESET_S)
        clock.now = FIRST_LESSON_S
        assert resets.max_rest_s(A) == math.inf
        assert not resets.is_forgetful(A)

    def test_resets_that_recur_count_for_longer(self):
        resets = learner(clock := Clock())
        lasted = []
        for _ in range(8):
            resets.note_reset(A, 2.0, RESET_S)
            began_at = clock.now
            while resets.is_forgetful(A):
                clock.now += 0.5
            lasted.append(clock.now - began_at)
        assert lasted == [4.0, 8.0, 16.0, 32.0, 64.0, 64.0, 64.0, 64.0]
        assert max(lasted) == MAX_LESSON_S
        clock.now += MAX_LESSON_S
        resets.note_reset(A, 2.0, RESET_S)
        clock.now += FIRST_LESSON_S
        assert not resets.is_forgetful(A)

    def test_an_answer_after_a_longer_rest_refutes_a_reset(self):
        resets = learner(clock := Clock())
        resets.note_reset(A, 2.0, RESET_S)
        clock.now = 1.0
        resets.note_answer(B, 3.0, 0.9)
        assert resets.is_forgetful(A)
        resets.note_answer(A, 2.0, 0.9)
        assert resets.is_forgetful(A)
        resets.note_answer(A, 3.0, 0.9)
        assert not resets.is_forgetful(A)

    def test_an_answer_to_a_request_before_the_reset_refutes_nothing(self):
        resets = learner(clock := Clock())
        clock.now = 1.0
        resets.note_reset(A, 2.0, RESET_S)
        resets.note_answer(A, 3.0, 0.9)
        assert resets.is_forgetful(A)

    def test_an_upstream_that_answered_after_a_rest_is_used_after_such_a_rest(self):
        resets = learner(clock := Clock())
        resets.note_answer(B, 1.5, 0.0)
        resets.note_reset(A, 2.0, RESET_S)
        assert resets.max_rest_s(B) == 1.5
        assert resets.max_rest_s(A) == REUSE_FRACTION * 2.0
        resets.note_reset(B, 1.2, RESET_S)
        assert resets.max_rest_s(B) == REUSE_FRACTION * 1.2
        resets.note_answer(B, 1.0, 0.0)
        clock.now = PROOF_S + 0.1
        resets.note_reset(A, 2.0, RESET_S)
        assert resets.max_rest_s(B) < 1.0

    def test_records_of_removed_upstreams_are_dropped(self):
        resets = learner(Clock())
        resets.note_reset(A, 2.0, RESET_S)
        resets.note_answer(A, 1.0, 0.0)
        resets.forget_removed({B})
        assert resets.max_rest_s(A) == math.inf
        assert resets.limits() == {}
