"""Replicas that name how many requests a second they take from all instances together."""

import asyncio

import pytest
from gradelug_gateway.settings import Feature
from limit_world import TOLD_S, LimitWorld, allowed
from run_world import run

ENOUGH = 0.5
"""Part of its limit that a replica gets at least while more is asked for."""


def name_limit(world, rate, *names):
    """Let replicas name a limit from now on; return when that is."""
    for name in names:
        world.replica(name).limit = rate
    return world.clock()


async def keeps_to_it_while(befall):
    """Let something befall instances before engines that name a limit; it holds meanwhile."""
    async with LimitWorld() as world:
        named_at = name_limit(world, 1.4, *world.engines)
        sending = asyncio.create_task(world.load(20.0, world.clock() + 16.0))
        await asyncio.sleep(4.0)
        await befall(world)
        await sending
        for name in world.engines:
            assert world.most(name, named_at + TOLD_S) <= allowed(1.4)


class TestAllInstancesTogether:
    @pytest.mark.parametrize("rate", [0.2, 1.4, 3.0])
    def test_an_engine_gets_no_more_than_it_named(self, rate):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(3.0)
                named_at = name_limit(world, rate, "e1")
                await sending
                await asyncio.sleep(4.5)
                assert world.most("e1", named_at + TOLD_S) <= allowed(rate)
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()

        run(scenario)

    @pytest.mark.parametrize("rate", [0.2, 1.4, 3.0])
    def test_a_plain_replica_gets_no_more_than_it_named(self, rate):
        async def scenario():
            async with LimitWorld(engines=1, plain=3) as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(30.0, until, b"/i/x"))
                await asyncio.sleep(3.0)
                named_at = name_limit(world, rate, "p1")
                await sending
                await asyncio.sleep(2.0)
                assert world.most("p1", named_at + TOLD_S) <= allowed(rate)
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
                named_at = name_limit(world, 1.4, "e1", "p1")
                await asyncio.gather(*sending)
                wanted = ENOUGH * 1.4 * (until - named_at)
                assert world.got("e1", named_at) >= wanted
                assert world.got("p1", named_at) >= wanted

        run(scenario)


class TestWhereTheRestGoes:
    def test_what_is_above_the_limits_of_all_is_rejected_at_once_with_a_time(self):
        async def scenario():
            async with LimitWorld() as world:
                names = list(world.engines)
                named_at = name_limit(world, 1.4, *names)
                until = world.clock() + 14.0
                await world.load(20.0, until)
                await asyncio.sleep(4.5)
                span_s = until - named_at
                for name in names:
                    assert world.most(name, named_at + TOLD_S) <= allowed(1.4)
                    assert world.got(name, named_at) >= ENOUGH * 1.4 * span_s
                served = world.harmless()
                assert served[200] + served[503] >= 0.99 * served.total()
                turned_away = [one for one in world.told if one.status == 503]
                assert turned_away
                assert all(one.retry_s > 0 for one in turned_away)
                # The target of the route is a second; their callers would wait four.
                assert max(one.took_s for one in turned_away) <= 1.0

        run(scenario)

    def test_the_only_copy_of_an_adapter_is_used_and_brought_elsewhere(self):
        async def scenario():
            async with LimitWorld(engines=2) as world:
                assert await world.ask(world.gateways[0], b"harmless 0", adapter="a1") == 200
                (held,) = {name for _, _, name in world.arrived}
                named_at = name_limit(world, 0.2, held)
                await world.load(8.0, world.clock() + 8.0, adapters=1)
                await asyncio.sleep(4.5)
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()
                assert world.most(held, named_at + TOLD_S) <= allowed(0.2)

        run(scenario)


class TestWhoKnows:
    def test_it_is_kept_to_while_the_planner_is_lost(self):
        async def lose_planner(world):
            next(one for one in world.gateways if one.plans).kill()

        run(lambda: keeps_to_it_while(lose_planner))

    def test_it_is_kept_to_while_the_store_is_away(self):
        async def lose_store(world):
            world.kv.set_down(True)
            await asyncio.sleep(5.0)
            world.kv.set_down(False)

        run(lambda: keeps_to_it_while(lose_store))

    def test_it_is_kept_to_while_the_planner_is_lost_and_the_store_is_away(self):
        async def lose_both(world):
            world.kv.set_down(True)
            next(one for one in world.gateways if one.plans).kill()
            await asyncio.sleep(6.0)
            world.kv.set_down(False)

        run(lambda: keeps_to_it_while(lose_both))

    def test_it_is_kept_to_by_an_instance_that_starts(self):
        async def start_again(world):
            other = next(one for one in world.gateways if not one.plans)
            other.kill()
            await asyncio.sleep(0.5)
            other.start()

        run(lambda: keeps_to_it_while(start_again))

    def test_it_is_kept_to_when_all_power_is_lost(self):
        async def scenario():
            async with LimitWorld() as world:
                named_at = name_limit(world, 1.4, *world.engines)
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(4.0)
                lost_at = world.clock()
                await world.lose_power()
                back_at = world.clock()
                await sending
                for name in world.engines:
                    times = [at for at, _, where in world.arrived if where == name]
                    before = [at for at in times if named_at + TOLD_S <= at <= lost_at]
                    assert world.most_of(before) <= allowed(1.4)
                    assert world.most(name, back_at + TOLD_S) <= allowed(1.4)

        run(scenario)

    def test_an_instance_that_never_heard_an_answer_knows_it_from_the_planner(self):
        async def scenario():
            async with LimitWorld(gateways=4) as world:
                name_limit(world, 1.4, "e1")
                await world.load(20.0, world.clock() + 1.0)
                await asyncio.sleep(0.2)
                assert [one.limits.rate("e1") for one in world.gateways] == [1.4] * 4

        run(scenario)


class TestForAsLongAsItSaysSo:
    def test_a_replica_is_used_fully_again_within_a_second_of_saying_so(self):
        async def scenario():
            async with LimitWorld(plain=2, engines=1) as world:
                sending = asyncio.create_task(world.load(40.0, world.clock() + 12.0, b"/i/x"))
                await asyncio.sleep(1.0)
                name_limit(world, 1.4, "p0")
                await asyncio.sleep(6.0)
                name_limit(world, None, "p0")
                ended_at = world.clock()
                await sending
                # Its first answer after that comes within a turn or two.
                assert world.got("p0", ended_at + 2.0) >= 0.3 * 40.0 * 3.0

        run(scenario)

    @pytest.mark.parametrize("rate", [0.0, 0.01])
    def test_one_that_takes_nothing_is_found_when_it_takes_more_again(self, rate):
        async def scenario():
            async with LimitWorld(plain=2, engines=1) as world:
                sending = asyncio.create_task(world.load(40.0, world.clock() + 40.0, b"/i/x"))
                await asyncio.sleep(1.0)
                named_at = name_limit(world, rate, "p0")
                await asyncio.sleep(12.0)
                assert world.most("p0", named_at + TOLD_S) <= allowed(rate)
                name_limit(world, None, "p0")
                await sending
                ended_at = world.clock()
                assert world.got("p0", ended_at - 5.0) >= 0.3 * 40.0 * 5.0

        run(scenario)

    def test_a_lower_one_holds_at_once_and_another_value_in_each_answer_does_no_harm(self):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(1.0)
                named_at = world.clock()
                while world.clock() < until:
                    name_limit(world, 1.4 + 0.01 * (len(world.arrived) % 7), "e1")
                    await asyncio.sleep(0.02)
                await sending
                assert world.most("e1", named_at + TOLD_S) <= allowed(1.4)

        run(scenario)

    def test_an_engine_that_begins_another_life_has_no_limit(self):
        async def scenario():
            async with LimitWorld() as world:
                name_limit(world, 0.2, "e1")
                await world.load(20.0, world.clock() + 2.0)
                world.engines["e1"].end()
                await asyncio.sleep(5.0)
                assert all(not one.limits.named() for one in world.gateways)

        run(scenario)


class TestSwitch:
    def test_without_it_limits_are_logged_and_not_kept_to(self):
        async def scenario():
            async with LimitWorld(without=(Feature.REPLICA_LIMITS,)) as world:
                named_at = name_limit(world, 0.2, "e1")
                await world.load(20.0, world.clock() + 6.0)
                assert world.most("e1", named_at + TOLD_S) > allowed(0.2)
                assert any(one.limits.rate("e1") == 0.2 for one in world.gateways)

        run(scenario)
