"""A part of a prompt that crashes each engine which begins an answer on it."""

import asyncio

from poison_world import POISON
from prompt_world import PromptWorld
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
