"""A part of a prompt that crashes each engine which begins an answer on it."""

import asyncio

import pytest
from poison_world import POISON
from prompt_world import BAD, BAD_PARTS, FIRST_PART, PromptWorld
from run_world import run

PROPAGATION_S = 3.0
"""Time after the fifth crash from which requests with the part must not reach engines."""
RECOVERY_S = 6.0
"""Time after the fifth crash from which sound requests must be served again."""
MAX_LATE_REQUESTS = 3
MIN_SOUND_RATIO = 0.5
"""Minimum share of sound first attempts that are served, relative to that before the crashes."""
CALM_S, CRASH_S = 5.0, 17.0
SOUND_RATE, BAD_RATE = 18.0, 3.0


async def play(world, place=1, disturb=None):
    """Send sound requests, and after a while bad ones beside them; return the start."""
    began = world.clock()
    until = began + CALM_S + CRASH_S
    sending = [asyncio.create_task(world.send_sound(SOUND_RATE, until))]
    await asyncio.sleep(CALM_S)
    sending.append(asyncio.create_task(world.send_bad(BAD_RATE, until, place)))
    if disturb is not None:
        world.spawn(disturb(world))
    await asyncio.gather(*sending)
    await asyncio.sleep(4.5)
    return began


def check(world, began):
    """Check that bad requests stop reaching engines, and that sound ones are served."""
    crashed = world.crashes()
    assert len(crashed) >= 3
    last = crashed[min(4, len(crashed) - 1)]
    assert len(world.late_arrivals_of_parts(PROPAGATION_S)) <= MAX_LATE_REQUESTS
    calm = world.sound_share(began, began + CALM_S)
    after = world.sound_share(last + RECOVERY_S, began + CALM_S + CRASH_S)
    assert after >= MIN_SOUND_RATIO * calm


class TestBadParts:
    # Requests were blamed as a whole, and no two with the part are alike.
    def test_requests_with_a_part_that_crashed_five_engines_are_still_sent(self):
        async def scenario():
            async with PromptWorld() as world:
                check(world, await play(world))

        run(scenario)


async def crash_engines(world):
    for _ in range(8):
        await asyncio.sleep(2.0)
        world.crash()


async def lose_store(world):
    await asyncio.sleep(0.5)
    world.kv.set_down(True)
    await asyncio.sleep(8.0)
    world.kv.set_down(False)


async def kill_planner_after_three_crashes(world):
    while len(world.crashes()) < 3:
        await asyncio.sleep(0.02)
    world.gateways[[gateway.is_planner for gateway in world.gateways].index(True)].kill()


async def lose_power_after_three_crashes(world):
    while len(world.crashes()) < 3:
        await asyncio.sleep(0.02)
    await world.lose_power()


class TestFaultsBeside:
    @pytest.mark.parametrize(
        "disturb",
        [lose_store, kill_planner_after_three_crashes, lose_power_after_three_crashes],
    )
    def test_the_part_is_blocked_while_instances_or_the_store_are_lost(self, disturb):
        async def scenario():
            async with PromptWorld() as world:
                check(world, await play(world, disturb=disturb))

        run(scenario)

    @pytest.mark.parametrize("engines", [3, 30])
    def test_the_part_is_blocked_in_services_of_any_size(self, engines):
        async def scenario():
            async with PromptWorld(engines=engines) as world:
                check(world, await play(world))
                assert len(world.crashes()) <= 8

        run(scenario)

    def test_two_bad_parts_are_blocked(self):
        async def scenario():
            async with PromptWorld(bad_parts=BAD_PARTS) as world:
                check(world, await play(world))

        run(scenario)

    def test_a_bad_first_part_is_blocked(self):
        async def scenario():
            async with PromptWorld() as world:
                check(world, await play(world, place=0))

        run(scenario)

    def test_engines_that_crash_by_themselves_block_no_part(self):
        async def scenario():
            async with PromptWorld() as world:
                until = world.clock() + 17.0
                world.spawn(crash_engines(world))
                await world.send_sound(SOUND_RATE, until)
                await asyncio.sleep(4.5)
                guards = [gateway.daemon._poison.guard for gateway in world.gateways]
                assert not any(guard.planner_findings.blocked for guard in guards)

        run(scenario)

    def test_requests_with_a_blocked_part_are_rejected_at_once(self):
        async def scenario():
            async with PromptWorld() as world:
                await play(world)
                began, arrived = world.clock(), len(world.arrived)
                await world.send(BAD, (FIRST_PART, BAD_PARTS[0]))
                assert world.attempts[-1].status == 503
                assert world.clock() - began < 0.1
                assert len(world.arrived) == arrived

        run(scenario)


class TestSimultaneousCrashes:
    # Refusals were compared with replicas of the same service alone, which were down as well.
    def test_crashes_of_many_engines_at_once_are_not_counted(self):
        async def scenario():
            async with PromptWorld(engines=5) as world:
                until = world.clock() + 14.0
                harmless = asyncio.create_task(world.send_harmless(0.1, until))
                bodies = [POISON + b" %d" % number for number in range(3)]
                await asyncio.gather(
                    *(world.repeat(body, 0.4, until, at) for at, body in enumerate(bodies))
                )
                await harmless
                await asyncio.sleep(4.5)
                late = [len(world.late_arrivals(body, PROPAGATION_S)) for body in bodies]
                assert max(late) <= MAX_LATE_REQUESTS

        run(scenario)
