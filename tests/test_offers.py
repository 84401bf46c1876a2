"""Requests that are offered to a successor while their attempt at a silent replica is kept."""

import asyncio

import pytest
from gradelug_gateway.model import Repeat
from run_engines import EVENTS, Refusal
from run_world import RunWorld, events, is_whole, run, runner, status
from test_budgets import take_retry

ALL = list(range(1, EVENTS + 1))
SILENT_AFTER_S = 0.6
OFFERED_AFTER_S = 1.75
"""Just before a stream that is silent since `SILENT_AFTER_S` is offered to a successor."""


def loads(world):
    """Return what the gateway still counts at its engines."""
    return [
        (name, load.starting, load.running, load.memory, any(load.queued))
        for name, load in world.fleet.loads()
        if load.starting or load.running or load.memory or any(load.queued)
    ]


def uses(world):
    """Return the weights that the gateway still counts as in use."""
    return {where: counts[-1] for where, counts in world.directory.uses.items() if counts[-1]}


async def begin(world, ident):
    """Begin a stream; return its client and its engine."""
    client = world.ask(ident)
    await asyncio.sleep(0.1)
    return client, runner(world, ident)


async def silence_during_offer(world, silent_s, successor_silent_s):
    """Let the engine of q0 fall silent, and its only successor when it is about to be asked.

    Returns
    -------
    tuple
        The client of q0, its engine and the successor.
    """
    client, engine = await begin(world, "q0")
    (successor,) = [one for one in world.engines.values() if one is not engine]
    await asyncio.sleep(SILENT_AFTER_S - 0.1)
    engine.pause(silent_s)
    await asyncio.sleep(OFFERED_AFTER_S - SILENT_AFTER_S)
    # Without data for a while it would be asked for a sign of life first.
    world.fleet.health(successor.name).last_received_at = world.clock()
    successor.pause(successor_silent_s)
    return client, engine, successor


class TestOffers:
    def test_stream_ran_at_two_engines_after_the_first_one_went_on_during_an_offer(self):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=1)
            client, engine, successor = await silence_during_offer(world, 1.6, 2.0)
            await asyncio.sleep(0.4)
            assert "q0" in world.ledger.arrivals
            assert successor.name in world.ledger.arrivals["q0"]
            await asyncio.sleep(2.0)
            assert world.engines_running("q0") in ([engine], [])
            await asyncio.sleep(4.0)
            assert events(client)[0] == ALL
            assert is_whole(client)
            assert not world.ledger.wrong
            assert not loads(world)
            assert not uses(world)

        run(scenario)

    def test_offer_in_progress_was_given_up_when_the_first_engine_ended(self):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=1)
            client, engine, successor = await silence_during_offer(world, 9.0, 0.8)
            await asyncio.sleep(0.4)
            engine.crash()
            await asyncio.sleep(5.0)
            assert events(client)[0] == ALL
            assert is_whole(client)
            # Its retry is the only one: the offer was completed, not made again.
            assert world.ledger.arrivals["q0"].count(successor.name) == 1
            assert not loads(world)
            assert not uses(world)

        run(scenario)

    def test_stream_waited_for_a_successor_that_fell_silent_in_its_turn(self):
        async def scenario():
            world = RunWorld(3, repeat=Repeat.RESUME, budget=2, replicas=3)
            client, engine = await begin(world, "q0")
            await asyncio.sleep(SILENT_AFTER_S - 0.1)
            engine.pause(9.0)
            await asyncio.sleep(OFFERED_AFTER_S - SILENT_AFTER_S)
            others = [one for one in world.engines.values() if one is not engine]
            for one in others:
                world.fleet.health(one.name).last_received_at = world.clock()
            await asyncio.sleep(0.0)
            others[0].pause(9.0)
            await asyncio.sleep(5.5)
            assert events(client)[0] == ALL
            assert is_whole(client)
            assert world.ledger.arrivals["q0"][-1] == others[1].name

        run(scenario)

    @pytest.mark.parametrize("ends", ["deadline", "caller"])
    def test_offer_stayed_open_after_its_request_had_ended(self, ends):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=2)
            client, engine, successor = await silence_during_offer(world, 9.0, 3.0)
            await asyncio.sleep(0.4)
            assert successor.name in world.ledger.arrivals["q0"]
            if ends == "caller":
                client.transport.close()
            else:
                (job,) = world.serving._waiting.jobs()
                world.serving._waiting.end_by(world.clock())
                assert job.deadline_at == world.clock()
            await asyncio.sleep(0.1)
            assert not loads(world)
            assert not uses(world)
            await asyncio.sleep(3.0)
            assert not successor.runs

        run(scenario)

    def test_reserved_retry_of_a_refused_offer_was_lost(self):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=1)
            client, engine = await begin(world, "q0")
            (successor,) = [one for one in world.engines.values() if one is not engine]
            await asyncio.sleep(SILENT_AFTER_S - 0.1)
            engine.pause(1.6)
            world.fleet.health(successor.name).last_received_at = world.clock() + 1.2
            successor.crash()
            await asyncio.sleep(1.4)
            # Nothing was sent: the connection was refused.
            assert world.ledger.arrivals["q0"] == [engine.name]
            await asyncio.sleep(4.0)
            assert events(client)[0] == ALL
            assert status(client) == 200
            assert take_retry(world.budgets, "llm")

        run(scenario)


class TestReturn:
    @pytest.mark.parametrize("replicas", [2, 3])
    def test_stream_was_out_of_time_although_the_engine_it_had_left_went_on(self, replicas):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=3, replicas=replicas)
            client, engine = await begin(world, "q0")
            other, _ = await begin(world, "q1")
            await asyncio.sleep(SILENT_AFTER_S - 0.2)
            engine.pause(1.8)
            await asyncio.sleep(1.5)
            (successor,) = [one for one in world.engines_running("q0") if one is not engine]
            successor.pause(9.0)
            await asyncio.sleep(4.5)
            assert events(client)[0] == ALL
            assert is_whole(client)
            assert world.ledger.arrivals["q0"][-1] == engine.name

        run(scenario)

    @pytest.mark.parametrize("refusal", [Refusal.FULL, Refusal.RESTING, Refusal.ABSENT])
    def test_begun_stream_was_cut_because_its_second_replica_refused_it(self, refusal):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=6)
            client, engine = await begin(world, "q0")
            (other,) = [one for one in world.engines.values() if one is not engine]
            await asyncio.sleep(0.2)
            other.refuse(refusal)
            engine.crash()
            await asyncio.sleep(0.4)
            other.refuse(None)
            await asyncio.sleep(5.0)
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_begun_stream_was_cut_because_no_replica_was_left_for_a_moment(self):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.RESUME, budget=3)
            client, engine = await begin(world, "q0")
            (other,) = [one for one in world.engines.values() if one is not engine]
            await asyncio.sleep(0.2)
            world.leave(engine)
            world.leave(other)
            engine.crash()
            await asyncio.sleep(1.0)
            world.enter(other)
            await asyncio.sleep(5.0)
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)
