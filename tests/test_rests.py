"""Replicas that reject a request and request backoff from the instance that sent it."""

import asyncio
import random
import statistics

import pytest
from gradelug_gateway.model import Replica
from gradelug_gateway.rests import BackoffTracker
from gradelug_gateway.settings import Feature
from gradelug_http import ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_policy.rests import RETURN_JITTER_S, ReplicaBackoffs, ReportedBackoff
from limit_world import LimitWorld
from run_world import run

IN_FLIGHT_S = 0.5
"""Time for which requests in flight at the time of a response may still arrive, in seconds."""
REPLICA = Replica("r", "s", "10.0.0.1:80", "z", born=7)


def set_backoff(world, rest, *names):
    """Make replicas reject requests with a ``Retry-After``, or accept requests again for None."""
    for name in names:
        world.replica(name).rest = rest


def max_requests_in_backoff(world, rest_s, restarted=()):
    """Return the maximum number of requests from one sender within the backoff of a replica."""
    most = 0
    for asked_at, asked, name in world.rejected:
        sender = world.sender(asked)
        if sender in restarted:
            continue
        since, until = asked_at + IN_FLIGHT_S, asked_at + rest_s
        came = [
            at
            for at, body, where in world.arrived
            if where == name and since < at < until and world.sender(body) == sender
        ]
        most = max(most, len(came))
    return most


async def check_backoff_during(inject_fault, restarted=()):
    """Check that the backoff of two engines holds while a fault is injected."""
    async with LimitWorld() as world:
        sending = asyncio.create_task(world.load(20.0, world.clock() + 9.0))
        await asyncio.sleep(2.0)
        set_backoff(world, "3", "e1", "e2")
        await asyncio.sleep(1.0)
        await inject_fault(world)
        await sending
        assert world.rejected
        assert max_requests_in_backoff(world, 3.0, restarted) == 0


class TestBackoffIsEnforced:
    @pytest.mark.parametrize("rest", ["3", "0.8"])
    def test_engines(self, rest):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 9.0
                # The other engines have slots for 5 adapters.
                sending = asyncio.create_task(world.load(20.0, until, adapters=5))
                await asyncio.sleep(2.0)
                set_backoff(world, rest, "e1", "e2")
                await sending
                await asyncio.sleep(4.5)
                assert world.rejected
                assert max_requests_in_backoff(world, float(rest)) == 0
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()

        run(scenario)

    def test_plain_replicas(self):
        async def scenario():
            async with LimitWorld(engines=1, plain=3) as world:
                sending = asyncio.create_task(world.load(30.0, world.clock() + 9.0, b"/i/x"))
                await asyncio.sleep(2.0)
                set_backoff(world, "3", "p1")
                await sending
                await asyncio.sleep(1.0)
                assert world.rejected
                assert max_requests_in_backoff(world, 3.0) == 0
                served = world.harmless()
                assert served[200] >= 0.98 * served.total()

        run(scenario)

    def test_while_the_store_is_unavailable(self):
        async def stop_store(world):
            world.kv.set_down(True)

        run(lambda: check_backoff_during(stop_store))

    def test_while_the_planner_is_lost(self):
        lost = []

        async def kill_planner(world):
            lost.append(next(one for one in world.gateways if one.is_planner).at)
            world.gateways[lost[0]].kill()

        run(lambda: check_backoff_during(kill_planner, lost))

    def test_not_if_the_feature_is_disabled(self):
        async def scenario():
            async with LimitWorld(engines=1, plain=2, without=(Feature.REPLICA_RESTS,)) as world:
                set_backoff(world, "3", "p0", "p1")
                await world.load(30.0, world.clock() + 6.0, b"/i/x")
                assert max_requests_in_backoff(world, 3.0) > 2

        run(scenario)


class TestCallers:
    @pytest.mark.parametrize(("names", "path"), [(["e1", "e2"], b"/s/x"), (["p0"], b"/i/x")])
    def test_are_rejected_with_the_remaining_backoff_when_all_replicas_back_off(self, names, path):
        async def scenario():
            async with LimitWorld(engines=2, plain=1) as world:
                set_backoff(world, "3", *names)
                await world.load(30.0, world.clock() + 6.0, path, adapters=3)
                await asyncio.sleep(1.0)
                rejected = [one for one in world.results if one.status == 503]
                assert len(rejected) > 0.95 * len(world.results)
                assert max(one.took_s for one in rejected) < 0.5
                assert max(one.retry_s for one in rejected) <= 3.0 + RETURN_JITTER_S
                assert min(one.retry_s for one in rejected) > 0
                assert statistics.median(one.retry_s for one in rejected) > 1.0

        run(scenario)

    def test_a_replica_is_used_fully_after_its_backoff(self):
        async def scenario():
            async with LimitWorld(engines=1, plain=2) as world:
                sending = asyncio.create_task(world.load(40.0, world.clock() + 10.0, b"/i/x"))
                await asyncio.sleep(1.0)
                set_backoff(world, "2", "p0")
                await asyncio.sleep(1.0)
                set_backoff(world, None, "p0")
                over_at = world.clock() + 2.0
                await sending
                assert world.received_since("p0", over_at + 2.0) >= 0.3 * 40.0 * 4.0

        run(scenario)

    def test_a_503_without_retry_after_causes_no_backoff(self):
        async def scenario():
            async with LimitWorld(engines=1, plain=2) as world:
                set_backoff(world, "", "p0")
                await world.load(30.0, world.clock() + 4.0, b"/i/x")
                assert world.received_since("p0", 0.0) > 10
                assert all(not one.daemon._fleet.rests.active_count for one in world.gateways)

        run(scenario)


class TestBackoffs:
    def test_the_backoff_that_expires_last_applies(self):
        rests = ReplicaBackoffs(random.Random(1))
        assert rests.note("r", 5.0, 0.0)
        assert not rests.note("r", 1.0, 1.0)
        assert rests.left_s("r", 4.9) > 0
        assert not rests.note("r", 3.0, 4.0)
        assert rests.left_s("r", 6.9) > 0
        assert rests.left_s("r", 7.0 + RETURN_JITTER_S) == 0

    def test_a_backoff_of_a_day_is_kept(self):
        rests = ReplicaBackoffs(random.Random(1))
        rests.note("r", 86_400.0, 0.0)
        rests.prune(86_000.0)
        assert rests.left_s("r", 86_399.0) > 0

    @pytest.mark.parametrize("instances", [9, 370])
    def test_jitter_spreads_the_return_of_instances(self, instances):
        ends = []
        for number in range(instances):
            rests = ReplicaBackoffs(random.Random(f"g{number}"))
            rests.note("r", 3.0, 0.0)
            ends.append(rests.left_s("r", 0.0))
        assert all(3.0 <= end <= 3.0 + RETURN_JITTER_S for end in ends)
        tenths = [sum(0.05 * at <= end - 3.0 < 0.05 * (at + 1) for end in ends) for at in range(10)]
        assert max(tenths) <= max(4, 0.2 * instances)

    def test_jitter_at_most_doubles_a_short_backoff(self):
        rests = ReplicaBackoffs(random.Random(1))
        rests.note("r", 0.1, 0.0)
        assert rests.left_s("r", 0.2) == 0

    def test_a_backoff_applies_to_one_incarnation(self):
        now = [0.0]
        rests = BackoffTracker(lambda: now[0])
        rests.update_from_answer(REPLICA, ReportedBackoff(3.0))
        assert rests.remaining_s(REPLICA) >= 3.0
        assert rests.remaining_s(Replica("r", "s", "10.0.0.1:80", "z", born=8)) == 0
        assert rests.active_count == 1
        now[0] = 4.0
        rests.drop_expired()
        assert rests.active_count == 0

    def test_the_minimum_remaining_backoff_of_replicas(self):
        rests = BackoffTracker(lambda: 0.0)
        other = Replica("o", "s", "10.0.0.2:80", "z")
        rests.update_from_answer(REPLICA, ReportedBackoff(3.0))
        assert rests.min_remaining_s([REPLICA, other]) == 0
        rests.update_from_answer(other, ReportedBackoff(60.0))
        assert 3.0 <= rests.min_remaining_s([REPLICA, other]) <= 3.0 + RETURN_JITTER_S
        assert rests.min_remaining_s([]) == 0


class TestHeader:
    @pytest.mark.parametrize(
        ("status", "values", "rest_s"),
        [
            (503, (b"3",), 3.0),
            (429, (b"0.25",), 0.25),
            (503, (b" 1e1 ",), 10.0),
            (503, (b"1", b"4"), 4.0),
            (503, (b"0",), 0.0),
            (503, (), 0.0),
            (500, (b"3",), 0.0),
            (200, (b"3",), 0.0),
        ],
    )
    def test_seconds_at_a_503_or_429(self, status, values, rest_s):
        assert PlatformDialect().read_backoff(answer(status, values)) == ReportedBackoff(rest_s)

    @pytest.mark.parametrize(
        "value",
        [b"", b"-1", b"nan", b"inf", b"1e999", b"0x10", b"\xff", b"Thu, 03 Dec 2026 10:00:00 GMT"],
    )
    def test_an_invalid_value_is_ignored(self, value):
        word = PlatformDialect().read_backoff(answer(503, (value,)))
        assert word.unreadable
        rests = BackoffTracker(lambda: 0.0)
        rests.update_from_answer(REPLICA, word)
        assert rests.remaining_s(REPLICA) == 0


def answer(status, values):
    return ResponseHead(status, tuple((b"Retry-After", value) for value in values))
