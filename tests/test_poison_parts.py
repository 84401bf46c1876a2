"""Detection of parts of prompts that end replicas: ledger, guard, reports and record."""

import asyncio
import math
import random
from types import SimpleNamespace

import pytest
from gradelug_coordination import Mirror
from gradelug_gateway.exceptions import Blocked, Refused
from gradelug_gateway.job import Job
from gradelug_gateway.poison import BlockAuthority, PoisonFindings, PoisonGuard
from gradelug_gateway.poison_desk import PoisonAggregator, PoisonReporter
from gradelug_gateway.poison_record import PoisonRecord
from gradelug_gateway.withdrawal import WaitingRequests
from gradelug_policy.poison import QUEUED_WEIGHT, STARTED_WEIGHT, STREAMING_WEIGHT, EndLedger
from gradelug_policy.poison_parts import MAX_BLOCKED, MIN_REQUESTS, SOUND_S, PartLedger
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from hypothesis import given, settings
from hypothesis import strategies as st
from run_world import run
from test_poison_guard import Follower, new_state

PROPAGATION_S = 3.0
"""Time after the fifth end from which no request with the part must be sent."""
FIRST, BAD, OTHER = b"f" * 16, b"b" * 16, b"o" * 16


def request(number):
    return b"request %8d" % number


def note_ends(ledger, count, parts, first=0, weight=STARTED_WEIGHT, now=0.0):
    """Record ends with one request each, no two alike."""
    for number in range(first, first + count):
        ledger.note_end(f"e{number}", request(number), weight, now, parts)


def blocked_by(ledger, now=1.0):
    return {found.part for found in ledger.parts.judge(now)}


class TestLedger:
    def test_a_part_is_blocked_after_three_ends_in_different_requests(self):
        ledger = EndLedger()
        note_ends(ledger, 2, (FIRST, BAD))
        assert not blocked_by(ledger)
        note_ends(ledger, 1, (FIRST, BAD), first=2)
        assert blocked_by(ledger) == {BAD}
        assert not ledger.judge(1.0)

    def test_parts_of_a_single_request_are_not_blocked(self):
        ledger = EndLedger()
        for number in range(4):
            ledger.note_end(f"e{number}", request(0), STARTED_WEIGHT, 0.0, (FIRST, BAD))
        assert not blocked_by(ledger)
        assert [found.fingerprint for found in ledger.judge(1.0)] == [request(0)]
        assert MIN_REQUESTS == 2

    def test_of_two_parts_at_the_same_ends_the_later_one_is_blocked(self):
        ledger = EndLedger()
        note_ends(ledger, 3, (FIRST, OTHER, BAD))
        assert blocked_by(ledger) == {BAD}

    def test_a_first_part_is_blocked_if_the_later_ones_differ(self):
        ledger = EndLedger()
        for number in range(3):
            ledger.note_end(
                f"e{number}", request(number), STARTED_WEIGHT, 0.0, (BAD, b"%16d" % number)
            )
        assert blocked_by(ledger) == {BAD}

    def test_ends_that_a_blocked_part_explains_count_against_nothing_else(self):
        ledger = EndLedger()
        note_ends(ledger, 6, (FIRST, BAD))
        for number in range(6):
            ledger.note_end(f"e{number}", b"waiting", QUEUED_WEIGHT, 0.0, (FIRST, OTHER))
        assert blocked_by(ledger) == {BAD}
        assert not ledger.judge(1.0)
        assert ledger.score(b"waiting") == 0.0

    def test_an_answer_acquits_a_part_for_some_time(self):
        ledger = EndLedger()
        note_ends(ledger, 3, (BAD,))
        assert ledger.parts.note_sound(BAD, 0.5)
        note_ends(ledger, 3, (BAD,), first=3, now=1.0)
        assert not blocked_by(ledger)
        note_ends(ledger, 3, (BAD,), first=6, now=1.0 + SOUND_S)
        assert blocked_by(ledger, 2.0 + SOUND_S) == {BAD}
        assert ledger.parts.note_sound(BAD, 3.0 + SOUND_S)
        assert not ledger.parts.blocked

    def test_blocked_parts_are_bounded(self):
        ledger = PartLedger()
        for number in range(2 * MAX_BLOCKED):
            ledger.block(b"%16d" % number, 0.0)
        assert len(ledger.blocked) == MAX_BLOCKED


class TestGuardUnderLoad:
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 10_000), st.booleans(), st.integers(0, 2))
    def test_the_bad_part_alone_is_blocked_among_sound_ones(self, seed, is_first, own_crashes):
        """Sound requests are answered now and then, and engines crash by themselves as well."""
        rng, now, bad_ends = random.Random(seed), 0.0, []
        guard = PoisonGuard(lambda: now)
        sound = [b"sound%11d" % number for number in range(12)]
        for number in range(40):
            now = 0.4 * number
            guard.note_sound((*rng.sample(sound, 6), *(() if is_first else (FIRST,))))
            weights = {}
            for waiting in range(rng.randrange(8)):
                other = request(1000 + 8 * number + waiting)
                parts = (rng.choice(sound),) if is_first else (FIRST, rng.choice(sound))
                guard.note_parts(other, parts)
                weights[other] = rng.choice((QUEUED_WEIGHT, STREAMING_WEIGHT, STARTED_WEIGHT))
            if number % 4 >= own_crashes and BAD not in guard.ledger.parts.blocked:
                bad_ends.append(now)
                guard.note_parts(
                    request(number), (BAD, rng.choice(sound)) if is_first else (FIRST, BAD)
                )
                weights[request(number)] = STARTED_WEIGHT
            guard.note_end(f"e{number}", weights)
        assert set(guard.ledger.parts.blocked) == {BAD}
        assert bad_ends[-1] <= bad_ends[min(4, len(bad_ends) - 1)] + PROPAGATION_S


class TestGuard:
    def test_a_blocked_part_blocks_all_requests_with_it(self):
        guard = PoisonGuard(lambda: 0.0)
        guard.planner_findings = PoisonFindings(frozenset({BAD}), frozenset())
        with pytest.raises(Blocked):
            guard.check(request(1), (FIRST, BAD))
        guard.check(request(1), (FIRST, OTHER))

    def test_a_suspected_part_is_held_while_no_planner_is_known(self):
        guard = PoisonGuard(lambda: 0.0, lambda: BlockAuthority.UNKNOWN)
        guard.stored_findings = PoisonFindings(frozenset(), frozenset({BAD, FIRST}))
        guard.note_sound((FIRST,))
        with pytest.raises(Refused):
            guard.check(request(1), (FIRST, BAD))
        guard.check(request(1), (FIRST, OTHER))

    def test_without_a_planner_the_own_observations_block(self):
        guard = PoisonGuard(lambda: 1.0)
        for number in range(3):
            guard.note_parts(request(number), (FIRST, BAD))
            guard.note_end(f"e{number}", {request(number): STARTED_WEIGHT})
        with pytest.raises(Blocked):
            guard.check(request(9), (FIRST, BAD))

    def test_parts_that_were_answered_lately_are_not_reported(self):
        guard = PoisonGuard(lambda: 0.0)
        guard.note_sound((FIRST,))
        guard.note_parts(request(1), (FIRST, BAD))
        guard.note_end("e1", {request(1): STARTED_WEIGHT})
        assert guard.observations[0].parts == (BAD,)


class TestReports:
    def setup_method(self):
        self.kv = MemoryKv()
        self.mirror = Mirror(self.kv, "", None)
        self.record = PoisonRecord(self.kv, self.mirror, lambda: 0.0)
        self.aggregator = PoisonAggregator("llm", new_state(), self.record)

    def report(self, guard):
        message = pb.FromGateway()
        PoisonReporter(guard, lambda: True, lambda: 0.0).fill(message)
        self.aggregator.take(Follower, message, 0.0)

    def news(self, now=1.0):
        news = pb.FromPlanner()
        self.aggregator.fill(news, now)
        return news.poison

    def guard(self, number, parts):
        guard = PoisonGuard(lambda: 0.0)
        guard.note_parts(request(number), parts)
        guard.note_end(f"e{number}", {request(number): STARTED_WEIGHT})
        return guard

    def test_ends_that_several_instances_saw_block_a_part(self):
        for number in range(3):
            self.report(self.guard(number, (FIRST, BAD)))
        assert list(self.news().blocked) == [BAD]

    def test_an_instance_that_saw_a_sound_answer_acquits_a_part(self):
        for number in range(3):
            self.report(self.guard(number, (BAD,)))
        guard = PoisonGuard(lambda: 0.0)
        news = self.news()
        guard.planner_findings = PoisonFindings(frozenset(news.blocked), frozenset(news.suspects))
        guard.note_sound((BAD,))
        self.report(guard)
        assert BAD not in self.news(3.0).blocked

    def test_findings_outlive_the_planner(self):
        async def scenario():
            for number in range(3):
                self.report(self.guard(number, (FIRST, BAD)))
            for number in range(3, 5):
                self.report(self.guard(number, (FIRST, OTHER)))
            self.news()
            writing = asyncio.create_task(self.record.run())
            await asyncio.sleep(0.1)
            writing.cancel()
            self.mirror.entries = self.kv.entries()
            restored = EndLedger()
            self.record.restore(restored, 2.0)
            assert list(restored.parts.blocked) == [BAD]
            note_ends(restored, 1, (FIRST, OTHER), first=9, now=2.0)
            assert {found.part for found in restored.parts.judge(3.0)} == {OTHER}

        run(scenario)


class TestWithdrawal:
    def job(self, parts, started=False):
        loop = asyncio.get_running_loop()
        return SimpleNamespaceJob(
            deadline_at=loop.time() + 9.0,
            fingerprint=request(1),
            part_fingerprints=parts,
            inc=SimpleNamespace(started=started),
        )

    async def _wait(self, waiting, job):
        async with waiting.until_deadline(job):
            await asyncio.sleep(60.0)

    @pytest.mark.parametrize(
        ("parts", "started", "withdrawn"),
        [((FIRST, BAD), False, True), ((FIRST, OTHER), False, False), ((BAD,), True, False)],
    )
    def test_waiting_requests_end_when_their_part_is_blocked(self, parts, started, withdrawn):
        async def scenario():
            clock = asyncio.get_running_loop().time
            guard = PoisonGuard(clock)
            waiting, began = WaitingRequests(guard), clock()
            task = asyncio.create_task(self._wait(waiting, self.job(parts, started)))
            await asyncio.sleep(0.5)
            guard.planner_findings = PoisonFindings(frozenset({BAD}), frozenset())
            with pytest.raises(Blocked if withdrawn else TimeoutError):
                await task
            assert (clock() - began < 1.0) is withdrawn

        run(scenario)


class SimpleNamespaceJob(SimpleNamespace):
    """A job by its attributes, compared by identity."""

    __hash__ = object.__hash__
    ends_by = math.inf
    end_by = Job.end_by
