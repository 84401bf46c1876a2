"""Replicas that report a limit in requests a second for all instances together."""

import asyncio

import pytest
from gradelug_gateway.settings import Feature
from limit_world import PROPAGATION_S, LimitWorld, max_allowed
from run_world import run

MIN_USED_FRACTION = 0.5
"""Minimum used fraction of a limit while the demand exceeds it."""


def set_limit(world, rate, *names):
    """Set the limit that replicas report from now on; return the time."""
    for name in names:
        world.replica(name).limit = rate
    return world.clock()


async def check_limit_during(inject_fault):
    """Check that the limits of engines hold while a fault is injected."""
    async with LimitWorld() as world:
        limited_at = set_limit(world, 1.4, *world.engines)
        sending = asyncio.create_task(world.load(20.0, world.clock() + 16.0))
        await asyncio.sleep(4.0)
        await inject_fault(world)
        await sending
        for name in world.engines:
            assert world.most(name, limited_at + PROPAGATION_S) <= max_allowed(1.4)


class TestLimitAcrossInstances:
    @pytest.mark.parametrize("rate", [0.2, 1.4, 3.0])
    def test_an_engine_receives_at_most_its_limit(self, rate):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(3.0)
                limited_at = set_limit(world, rate, "e1")
                await sending
                await asyncio.sleep(4.5)
                assert world.most("e1", limited_at + PROPAGATION_S) <= max_allowed(rate)
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()

        run(scenario)

    @pytest.mark.parametrize("rate", [0.2, 1.4, 3.0])
    def test_a_plain_replica_receives_at_most_its_limit(self, rate):
        async def scenario():
            async with LimitWorld(engines=1, plain=3) as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(30.0, until, b"/i/x"))
                await asyncio.sleep(3.0)
                limited_at = set_limit(world, rate, "p1")
                await sending
                await asyncio.sleep(2.0)
                assert world.most("p1", limited_at + PROPAGATION_S) <= max_allowed(rate)
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()

        run(scenario)

    def test_a_limited_replica_does_not_starve(self):
        async def scenario():
            async with LimitWorld(plain=3) as world:
                until = world.clock() + 24.0
                sending = [
                    asyncio.create_task(world.load(20.0, until)),
                    asyncio.create_task(world.load(30.0, until, b"/i/x", first=5000)),
                ]
                await asyncio.sleep(3.0)
                limited_at = set_limit(world, 1.4, "e1", "p1")
                await asyncio.gather(*sending)
                expected = MIN_USED_FRACTION * 1.4 * (until - limited_at)
                assert world.received_since("e1", limited_at) >= expected
                assert world.received_since("p1", limited_at) >= expected

        run(scenario)


class TestExcessRequests:
    def test_requests_above_all_limits_are_rejected_at_once_with_a_retry_delay(self):
        async def scenario():
            async with LimitWorld() as world:
                names = list(world.engines)
                limited_at = set_limit(world, 1.4, *names)
                until = world.clock() + 14.0
                await world.load(20.0, until)
                await asyncio.sleep(4.5)
                span_s = until - limited_at
                for name in names:
                    assert world.most(name, limited_at + PROPAGATION_S) <= max_allowed(1.4)
                    assert (
                        world.received_since(name, limited_at) >= MIN_USED_FRACTION * 1.4 * span_s
                    )
                served = world.harmless()
                assert served[200] + served[503] >= 0.99 * served.total()
                rejected = [one for one in world.results if one.status == 503]
                assert rejected
                assert all(one.retry_s > 0 for one in rejected)
                # The latency target of the route is 1 s; the callers' deadline is 4 s.
                assert max(one.took_s for one in rejected) <= 1.0

        run(scenario)

    def test_the_only_copy_of_an_adapter_is_used_and_replicated(self):
        async def scenario():
            async with LimitWorld(engines=2) as world:
                assert await world.ask(world.gateways[0], b"harmless 0", adapter="a1") == 200
                (held,) = {name for _, _, name in world.arrived}
                limited_at = set_limit(world, 0.2, held)
                await world.load(8.0, world.clock() + 8.0, adapters=1)
                await asyncio.sleep(4.5)
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()
                assert world.most(held, limited_at + PROPAGATION_S) <= max_allowed(0.2)

        run(scenario)


class TestLimitPropagation:
    def test_limit_holds_while_the_planner_is_lost(self):
        async def kill_planner(world):
            next(one for one in world.gateways if one.is_planner).kill()

        run(lambda: check_limit_during(kill_planner))

    def test_limit_holds_while_the_store_is_unavailable(self):
        async def stop_store(world):
            world.kv.set_down(True)
            await asyncio.sleep(5.0)
            world.kv.set_down(False)

        run(lambda: check_limit_during(stop_store))

    def test_limit_holds_while_planner_and_store_are_unavailable(self):
        async def stop_both(world):
            world.kv.set_down(True)
            next(one for one in world.gateways if one.is_planner).kill()
            await asyncio.sleep(6.0)
            world.kv.set_down(False)

        run(lambda: check_limit_during(stop_both))

    def test_limit_holds_at_a_restarted_instance(self):
        async def restart_instance(world):
            other = next(one for one in world.gateways if not one.is_planner)
            other.kill()
            await asyncio.sleep(0.5)
            other.start()

        run(lambda: check_limit_during(restart_instance))

    def test_limit_holds_after_a_power_loss_of_all_instances(self):
        async def scenario():
            async with LimitWorld() as world:
                limited_at = set_limit(world, 1.4, *world.engines)
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(4.0)
                lost_at = world.clock()
                await world.lose_power()
                back_at = world.clock()
                await sending
                for name in world.engines:
                    times = [at for at, _, where in world.arrived if where == name]
                    before = [at for at in times if limited_at + PROPAGATION_S <= at <= lost_at]
                    assert world.max_in_window(before) <= max_allowed(1.4)
                    assert world.most(name, back_at + PROPAGATION_S) <= max_allowed(1.4)

        run(scenario)

    def test_an_instance_without_a_response_receives_the_limit_from_the_planner(self):
        async def scenario():
            async with LimitWorld(gateways=4) as world:
                set_limit(world, 1.4, "e1")
                await world.load(20.0, world.clock() + 1.0)
                await asyncio.sleep(0.2)
                assert [one.limits.rate("e1") for one in world.gateways] == [1.4] * 4

        run(scenario)


class TestLimitChanges:
    def test_a_replica_is_used_fully_within_a_second_of_removing_its_limit(self):
        async def scenario():
            async with LimitWorld(plain=2, engines=1) as world:
                sending = asyncio.create_task(world.load(40.0, world.clock() + 12.0, b"/i/x"))
                await asyncio.sleep(1.0)
                set_limit(world, 1.4, "p0")
                await asyncio.sleep(6.0)
                set_limit(world, None, "p0")
                ended_at = world.clock()
                await sending
                # Its next response, which reports no limit, arrives after one or two send slots.
                assert world.received_since("p0", ended_at + 2.0) >= 0.3 * 40.0 * 3.0

        run(scenario)

    @pytest.mark.parametrize("rate", [0.0, 0.01])
    def test_the_end_of_a_limit_near_zero_is_detected(self, rate):
        async def scenario():
            async with LimitWorld(plain=2, engines=1) as world:
                sending = asyncio.create_task(world.load(40.0, world.clock() + 40.0, b"/i/x"))
                await asyncio.sleep(1.0)
                limited_at = set_limit(world, rate, "p0")
                await asyncio.sleep(12.0)
                assert world.most("p0", limited_at + PROPAGATION_S) <= max_allowed(rate)
                set_limit(world, None, "p0")
                await sending
                ended_at = world.clock()
                assert world.received_since("p0", ended_at - 5.0) >= 0.3 * 40.0 * 5.0

        run(scenario)

    def test_a_limit_that_changes_in_each_response_holds(self):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(1.0)
                limited_at = world.clock()
                while world.clock() < until:
                    set_limit(world, 1.4 + 0.01 * (len(world.arrived) % 7), "e1")
                    await asyncio.sleep(0.02)
                await sending
                assert world.most("e1", limited_at + PROPAGATION_S) <= max_allowed(1.4)

        run(scenario)

    def test_a_new_incarnation_of_an_engine_has_no_limit(self):
        async def scenario():
            async with LimitWorld() as world:
                set_limit(world, 0.2, "e1")
                await world.load(20.0, world.clock() + 2.0)
                world.engines["e1"].end()
                await asyncio.sleep(5.0)
                assert all(not one.limits.limited_replicas() for one in world.gateways)

        run(scenario)


class TestFeatureSwitch:
    def test_a_disabled_feature_logs_limits_without_enforcing_them(self):
        async def scenario():
            async with LimitWorld(without=(Feature.REPLICA_LIMITS,)) as world:
                limited_at = set_limit(world, 0.2, "e1")
                await world.load(20.0, world.clock() + 6.0)
                assert world.most("e1", limited_at + PROPAGATION_S) > max_allowed(0.2)
                assert any(one.limits.rate("e1") == 0.2 for one in world.gateways)

        run(scenario)
