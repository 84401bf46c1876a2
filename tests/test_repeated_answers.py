"""Engines that send answers to calls again, where the answer to the next call is due."""

import asyncio

import pytest
from gradelug_gateway.model import Repeat
from run_engines import EVENTS, KEY
from run_world import RunWorld, events, is_whole, run

STREAMS = 12


async def play(fault, repeat, engines=2, **kwargs):
    """Inject a fault into streams of engines that repeat answers; return the broken streams."""
    world = RunWorld(engines, repeat=repeat, **kwargs)
    for engine in world.engines.values():
        engine.repeats_answers = True
    clients = [world.ask(f"q{at}") for at in range(STREAMS)]
    await asyncio.sleep(0.6)
    fault(world)
    await asyncio.sleep(8.0)
    broken = [at for at, one in enumerate(clients) if not is_whole(one)]
    numbers = [events(one)[0] for one in clients]
    assert all(found == list(range(1, len(found) + 1)) for found in numbers)
    assert all(len(numbers[at]) == EVENTS for at in range(STREAMS) if at not in broken)
    return world, broken


class TestRefusals:
    # An engine without the weights is asked again once they are loaded.
    @pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.RESUME])
    def test_stream_started_twice_after_a_copy_of_its_refusal(self, repeat):
        async def scenario():
            world = RunWorld(engines=1, repeat=repeat)
            engine = world.engines["s0"]
            engine.repeats_answers = True
            first = world.ask("q0")
            await asyncio.sleep(3.0)
            # The entry still lists the weights.
            del engine.holds[KEY]
            second = world.ask("q1")
            await asyncio.sleep(6.0)
            assert world.ledger.rejections["q1"] == 1
            assert world.ledger.runs_started == {"q0": 1, "q1": 1}
            assert is_whole(first)
            assert is_whole(second)

        run(scenario)


class TestMoves:
    def test_run_was_resumed_by_the_handle_in_a_copy_of_an_earlier_answer(self):
        async def scenario():
            for repeat in (Repeat.NEVER, Repeat.RESUME):
                world, broken = await play(lambda one: one.engines["s0"].notice(1.2), repeat)
                assert not world.ledger.wrong
                assert not broken

        run(scenario)


class TestStops:
    def test_abandoned_run_went_on_after_a_copy_of_an_earlier_answer(self):
        async def scenario():
            found = {}
            for pause_s in (0.5, 1.3, 1.8, 2.5):
                for keeps in (False, True):

                    def fault(world, pause_s=pause_s, keeps=keeps):
                        for engine in world.engines.values():
                            engine.keeps_disconnected_runs = keeps
                        world.engines["s0"].reset()
                        world.engines["s0"].pause(pause_s)

                    world, broken = await play(fault, Repeat.RESUME)
                    if world.ledger.wrong or broken:
                        found[pause_s, keeps] = (broken, world.ledger.wrong)
            assert not found

        run(scenario)
