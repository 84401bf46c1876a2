"""Requests granted to a replica with a limit, and the use of the limit by each method."""

import itertools
import math
import random

import pytest
from gradelug_policy.replica_room import (
    LOCAL_LIMIT_FRACTION,
    MAX_RETRY_S,
    MIN_RATE,
    CapacityRequest,
    LocalSendSlots,
    ReplicaRateLimiter,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from limit_load import WINDOW_S, arrivals, asked, grants, parts, turns

OVERAGE, EXTRA = 1.5, 5


def most_allowed(rate):
    return OVERAGE * WINDOW_S * rate + EXTRA


class TestMethods:
    """Four times the load that a replica accepts arrives at 9, 40 and 370 instances."""

    @pytest.mark.parametrize("instances", [9, 40, 370])
    @pytest.mark.parametrize("rate", [0.2, 1.4, 50.0])
    def test_a_planner_per_request_uses_and_keeps_the_limit(self, instances, rate):
        found = asked(instances, rate, arrivals(instances, 4 * rate, 60.0, 1))
        assert found.most() <= most_allowed(rate)
        assert found.used(rate, 60.0) >= 0.75

    @pytest.mark.parametrize("instances", [9, 40, 370])
    @pytest.mark.parametrize("rate", [0.2, 1.4, 50.0])
    def test_local_send_slots_keep_the_limit_without_a_planner(self, instances, rate):
        for seed in range(3):
            found = turns(instances, rate, arrivals(instances, 20 * rate, 60.0, seed))
            assert found.most() <= most_allowed(rate)

    def test_local_buckets_exceed_the_limit_in_a_large_fleet(self):
        load = arrivals(370, 5.6, 120.0, 1)
        assert parts(370, 1.4, load).most() > most_allowed(1.4)

    def test_capacity_granted_in_advance_is_unused_in_a_large_fleet(self):
        load = arrivals(370, 5.6, 120.0, 1)
        assert grants(370, 1.4, load).used(1.4, 120.0) < 0.1


class TestQueue:
    def room(self, rate=1.0):
        return ReplicaRateLimiter(rate, 0.0)

    def test_initial_capacity_is_zero(self):
        room = self.room()
        assert not room.try_take(0.0)
        assert room.try_take(1.0)
        assert not room.try_take(1.0)

    def test_most_valuable_requests_go_first(self):
        room = self.room()
        assert not room.enqueue(CapacityRequest("late", 9.0, rank=2), 0.0)
        assert not room.enqueue(CapacityRequest("dear", 9.0, rank=1, value=3.0), 0.0)
        assert not room.enqueue(CapacityRequest("cheap", 9.0, rank=1), 0.0)
        assert not room.enqueue(CapacityRequest("begun", 9.0, rank=5, has_started=True), 0.0)
        order = [room.decide(float(at))[0].applicant.ticket for at in range(1, 5)]
        assert order == ["begun", "dear", "cheap", "late"]

    def test_requests_that_would_be_late_are_refused_at_once(self):
        room = self.room()
        room.enqueue(CapacityRequest(1, 1.2), 0.0)
        (refused,) = room.enqueue(CapacityRequest(2, 1.2), 0.0)
        assert (refused.applicant.ticket, refused.granted) == (2, False)
        assert refused.retry_s == pytest.approx(2.0)

    def test_requests_displaced_beyond_their_time_are_refused_at_once(self):
        room = self.room()
        room.enqueue(CapacityRequest("slow", 1.5, rank=2), 0.0)
        (refused,) = room.enqueue(CapacityRequest("urgent", 1.5, rank=0), 0.0)
        assert refused.applicant.ticket == "slow"

    def test_retry_times_of_refused_requests_are_consecutive(self):
        room = self.room()
        retries_s = [room.enqueue(CapacityRequest(at, 0.5), 0.0)[0].retry_s for at in range(3)]
        assert retries_s == sorted(retries_s)
        assert len(set(retries_s)) == 3

    def test_requests_that_did_not_wait_delay_no_retry(self):
        room = self.room()
        for at in range(5):
            room.enqueue(CapacityRequest(at, 0.0), 0.0)
        assert room.enqueue(CapacityRequest("last", 0.5), 0.0)[0].retry_s == pytest.approx(1.0)

    def test_retry_times_are_bounded(self):
        room = self.room(0.0)
        retries_s = [room.enqueue(CapacityRequest(at, 0.5), 0.0)[0].retry_s for at in range(9)]
        assert max(retries_s) == MAX_RETRY_S

    def test_a_limit_of_zero_permits_probes(self):
        room = self.room(0.0)
        assert not room.try_take(0.9 / MIN_RATE)
        assert room.try_take(1.1 / MIN_RATE)

    def test_all_are_granted_when_the_limit_ends(self):
        room = self.room()
        room.enqueue(CapacityRequest(1, 9.0), 0.0)
        assert [ruling.granted for ruling in room.release()] == [True]
        assert room.waiting == 0

    def test_a_cancelled_request_takes_no_capacity(self):
        room = self.room()
        room.enqueue(CapacityRequest(1, 9.0), 0.0)
        room.enqueue(CapacityRequest(2, 9.0), 0.0)
        room.cancel({1})
        assert [ruling.applicant.ticket for ruling in room.decide(1.0)] == [2]


class TestSendSlots:
    def test_an_unused_slot_expires(self):
        own = LocalSendSlots(0.1, 0.0, 0.0)
        assert own.is_due(0.5)
        assert not own.is_due(2.0)
        assert own.take(10.5)
        assert not own.take(10.6)

    def test_a_kept_slot_does_not_expire(self):
        own = LocalSendSlots(0.1, 0.0, 0.0, keeps=True)
        assert own.take(7.0)
        assert not own.take(8.0)
        assert own.take(17.0)

    def test_a_returned_slot_is_available_again(self):
        own = LocalSendSlots(0.01, 0.0, 0.0, keeps=True)
        assert own.take(1.0)
        own.restore(3.0)
        assert not own.is_due(2.0)
        assert own.is_due(3.0)

    @pytest.mark.parametrize("share", [0.001, 0.3, 5.0])
    def test_never_more_than_the_share(self, share):
        rng = random.Random(1)
        own = LocalSendSlots(share, rng.random(), 0.0)
        taken, now = 0, 0.0
        while now < 400.0:
            now += rng.expovariate(20.0)
            taken += own.take(now)
        assert taken <= share * 400.0 + 2

    def test_many_instances_keep_the_limit_in_any_interval_after_idling(self):
        rng, rate = random.Random(2), 1.4
        own = [
            LocalSendSlots(LOCAL_LIMIT_FRACTION * rate / 370, rng.random(), 0.0) for _ in range(370)
        ]
        # All of them have many requests after a long idle time.
        sent = [
            at for at in (600 + step / 20 for step in range(400)) for one in own if one.take(at)
        ]
        most = max(sum(at - WINDOW_S < one <= at for one in sent) for at in sent)
        assert most <= most_allowed(rate)


class Room(RuleBasedStateMachine):
    """For any requests, the granted capacity stays within the limits that were in force."""

    def __init__(self):
        super().__init__()
        self.now, self.rate = 0.0, 1.0
        self.room = ReplicaRateLimiter(self.rate, 0.0)
        self.numbers = itertools.count()
        self.waiting = {}
        self.granted = []
        self.budget = 0.0

    def settle(self, rulings):
        for ruling in rulings:
            applicant = self.waiting.pop(ruling.applicant.ticket)
            if ruling.granted:
                self.granted.append(self.now)
            else:
                assert 0 <= ruling.retry_s <= MAX_RETRY_S
                assert applicant.until < math.inf

    @rule(step=st.floats(0.0, 3.0))
    def pass_time(self, step):
        self.now += step
        self.budget += step * max(MIN_RATE, self.rate)
        self.settle(self.room.decide(self.now))

    @rule(wait=st.sampled_from([0.0, 0.5, 5.0, math.inf]), rank=st.integers(0, 3))
    def ask(self, wait, rank):
        applicant = CapacityRequest(next(self.numbers), self.now + wait, rank)
        self.waiting[applicant.ticket] = applicant
        self.settle(self.room.enqueue(applicant, self.now))

    @rule()
    def take(self):
        was_empty = not self.waiting
        if self.room.try_take(self.now):
            assert was_empty
            self.granted.append(self.now)

    @rule(rate=st.sampled_from([0.0, 0.2, 1.4, 50.0]))
    def rename(self, rate):
        self.rate = rate
        self.room.set_rate(rate, self.now)

    @rule()
    def leave(self):
        if self.waiting:
            ticket = next(iter(self.waiting))
            self.room.cancel({ticket})
            del self.waiting[ticket]

    @invariant()
    def no_more_was_granted_than_the_limits_allowed(self):
        assert len(self.granted) <= self.budget + 1e-6

    @invariant()
    def nobody_waits_that_is_not_known(self):
        assert self.room.waiting == len(self.waiting)

    @invariant()
    def nobody_waits_while_there_is_room(self):
        if self.waiting:
            assert self.room.ready_s(self.now) > 0


Room.TestCase.settings = settings(derandomize=True, deadline=None, max_examples=200)
TestRoom = Room.TestCase
