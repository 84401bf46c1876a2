"""Replicas in need that name how many requests a second they take from all instances together.

Two engines of nine named 1.3 and 1.1 requests a second in their answers. Ten seconds later they
still got what they had got before: 14 and 17 requests in four seconds, where 13 and 12 are borne.
Seven instances sent them, none more than eleven in twenty seconds.
"""

import asyncio

import pytest
from limit_world import TOLD_S, LimitWorld, allowed
from run_world import close
from world import new_loop


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        close(loop)


class TestAllInstancesTogether:
    @pytest.mark.parametrize("rate", [1.4])
    def test_an_engine_gets_no_more_than_it_named(self, rate):
        async def scenario():
            async with LimitWorld() as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(20.0, until))
                await asyncio.sleep(3.0)
                named_at = world.clock()
                world.engines["e1"].limit = rate
                await sending
                await asyncio.sleep(4.5)
                assert world.most("e1", named_at + TOLD_S) <= allowed(rate)

        run(scenario)

    @pytest.mark.parametrize("rate", [1.4])
    def test_a_plain_replica_gets_no_more_than_it_named(self, rate):
        async def scenario():
            async with LimitWorld(engines=1, plain=3) as world:
                until = world.clock() + 16.0
                sending = asyncio.create_task(world.load(30.0, until, b"/i/x"))
                await asyncio.sleep(3.0)
                named_at = world.clock()
                world.plain["p1"].limit = rate
                await sending
                await asyncio.sleep(2.0)
                assert world.most("p1", named_at + TOLD_S) <= allowed(rate)

        run(scenario)
