"""Replicas that fall over when they have to reject too many requests in a second."""

import asyncio

import logbook
import pytest
from brittle_world import CONTACT_S, SLOTS, WORK_S, BrittleWorld
from gradelug_gateway.brittleness import BrittlenessTracker, ReportedTolerance
from gradelug_gateway.limits import ReplicaLimits
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.rests import BackoffTracker
from gradelug_http import ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_policy.brittleness import MAX_PAUSE_S, pause_s, safe_burst, safe_rate
from gradelug_policy.replica_limits import ReportedLimit
from run_world import run

BRITTLE_S = 12.0
MIN_USED_FRACTION = 0.5
"""Minimum used fraction of the replicas' capacity while the demand exceeds it."""


def max_falls(replicas):
    """Return how often the replicas of a service may fall over in one time."""
    return 2 + replicas / 10


async def play_demand(world, tolerance, factor, path=b"/i/x"):
    """Send a multiple of the capacity while the replicas are brittle; return the start."""
    replicas = len(world.plain)
    rate = factor * replicas * SLOTS / WORK_S
    sending = asyncio.create_task(world.demand(rate, world.clock() + 3.0 + BRITTLE_S, path))
    await asyncio.sleep(3.0)
    world.become_brittle(tolerance)
    since = world.clock()
    await sending
    return since


class TestOverload:
    # Requests were sent until the replicas rejected them.
    @pytest.mark.parametrize(
        ("gateways", "replicas", "tolerance", "path"),
        [
            (7, 2, 5, b"/i/x"),
            (7, 2, 5, b"/u/x"),
            (7, 4, 0, b"/i/x"),
            (3, 2, 5, b"/u/x"),
            (12, 4, 5, b"/i/x"),
        ],
    )
    def test_brittle_replicas_fall_over_under_twice_their_capacity(
        self, gateways, replicas, tolerance, path
    ):
        async def scenario():
            async with BrittleWorld(gateways, replicas) as world:
                since = await play_demand(world, tolerance, 2.0, path)
                counted = [at for at in world.falls if at >= since]
                assert len(counted) <= max_falls(replicas)
                served = sum(at >= since + CONTACT_S for at in world.served_at)
                possible = replicas * SLOTS / WORK_S * (BRITTLE_S - CONTACT_S)
                assert served >= MIN_USED_FRACTION * possible

        run(scenario)

    def test_brittle_replicas_fall_over_when_the_planner_is_lost(self):
        async def scenario():
            async with BrittleWorld(7, 4) as world:
                playing = asyncio.create_task(play_demand(world, 5, 2.0))
                await asyncio.sleep(8.0)
                planner = next(one for one in world.gateways if one.is_planner)
                planner.kill()
                since = await playing
                counted = [at for at in world.falls if at >= since]
                assert len(counted) <= max_falls(4)

        run(scenario)

    def test_requests_are_rejected_although_brittle_replicas_have_capacity(self):
        async def scenario():
            async with BrittleWorld(7, 4) as world:
                since = await play_demand(world, 5, 0.5)
                assert not world.falls
                served = sum(at >= since + CONTACT_S for at in world.served_at)
                demanded = 0.5 * 4 * SLOTS / WORK_S * (BRITTLE_S - CONTACT_S)
                assert served >= 0.9 * demanded

        run(scenario)

    def test_limits_stay_after_replicas_are_brittle_no_more(self):
        async def scenario():
            async with BrittleWorld(3, 2) as world:
                sending = asyncio.create_task(world.demand(60.0, world.clock() + 10.0))
                await asyncio.sleep(2.0)
                world.become_brittle(5)
                await asyncio.sleep(4.0)
                limits = world.gateways[0].daemon._fleet.limits
                assert set(limits.limited_replicas()) == set(world.plain)
                world.tolerance = None
                await asyncio.sleep(2.0)
                assert limits.limited_replicas() == []
                await sending

        run(scenario)


class TestRate:
    def test_the_rate_and_the_burst_stay_below_the_capacity(self):
        assert safe_rate(6, 0.1) + safe_burst(6) <= 6 / 0.1
        assert safe_burst(1) == 1.0

    def test_a_rate_in_force_is_kept_unless_the_estimate_differs_much(self):
        rate = safe_rate(6, 0.1)
        assert safe_rate(6, 0.11, rate) == rate
        assert safe_rate(6, 0.2, rate) == rate / 2

    @pytest.mark.parametrize(("instances", "tolerance"), [(7, 5), (86, 5), (3, 20)])
    def test_instances_that_pause_reject_no_more_than_is_tolerated(self, instances, tolerance):
        assert instances / pause_s(tolerance, instances) <= tolerance

    def test_a_pause_is_bounded(self):
        assert pause_s(0.0, 370) == MAX_PAUSE_S


class TestHeader:
    @pytest.mark.parametrize(
        ("values", "expected"),
        [
            ([], ReportedTolerance()),
            ([b"5"], ReportedTolerance(5.0)),
            ([b"0"], ReportedTolerance(0.0)),
            ([b"5", b"3"], ReportedTolerance(3.0)),
            ([b"x"], ReportedTolerance(invalid_text="'x'")),
            ([b"5", b"-1"], ReportedTolerance(invalid_text="'-1'")),
        ],
    )
    def test_the_lowest_valid_number_counts(self, values, expected):
        headers = tuple((b"Server-Brittle", value) for value in values)
        assert PlatformDialect().read_tolerance(ResponseHead(200, headers)) == expected

    def test_an_invalid_report_is_logged_with_every_response(self):
        state = FleetState()
        tracker = BrittlenessTracker(
            state, ReplicaLimits(lambda: 0.0), BackoffTracker(lambda: 0.0), lambda: 0.0
        )
        replica = Replica("p1", "plain", "10.0.2.1:80", "z")
        with logbook.TestHandler() as logs:
            for _ in range(3):
                tracker.limit(replica, ReportedTolerance(invalid_text="'x'"), ReportedLimit())
        assert [rec.message for rec in logs.records] == ["invalid tolerance in a response"]
