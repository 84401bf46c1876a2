"""Sound replicas that fall silent for a moment and then go on."""

import asyncio

import pytest
from link_world import LinkWorld
from run_world import run

SILENCE_S = 1.2
RATE = 30.0
MIN_SERVED = 1.0


async def play_silences(world, silent_s, acks):
    """Silence all replicas four times while callers send; return the time of the first silence."""
    calling = asyncio.create_task(world.call(RATE, world.clock() + 16.0))
    await asyncio.sleep(2.0)
    began_at = world.clock()
    for _ in range(4):
        world.silence_replicas(silent_s, acks)
        await asyncio.sleep(3.5)
    await calling
    return began_at


class TestSilence:
    # The last attempt was abandoned, and connections without an acknowledgement timed out.
    @pytest.mark.parametrize("acks", [True, False])
    @pytest.mark.parametrize("path", [b"/s/", b"/u/", b"/i/"])
    def test_requests_fail_when_all_replicas_are_silent_for_a_second(self, path, acks):
        async def scenario():
            async with LinkWorld() as world:
                began_at = await play_silences(world, SILENCE_S, acks)
                assert world.served({0, 1, 2}, began_at, world.clock(), path) >= MIN_SERVED

        run(scenario)

    def test_replicas_that_were_silent_for_a_second_are_ejected(self):
        async def scenario():
            async with LinkWorld() as world:
                ejected = []

                async def watch():
                    while True:
                        counts = [one.daemon._fleet.count_ejected() for one in world.gateways]
                        ejected.append(max(counts))
                        await asyncio.sleep(0.1)

                watching = asyncio.create_task(watch())
                await play_silences(world, SILENCE_S, True)
                watching.cancel()
                assert max(ejected) == 0

        run(scenario)
