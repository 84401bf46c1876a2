"""Searches for another replica while a stream waits for a silent one, and orders to stop runs."""

import asyncio
from dataclasses import replace

import pytest
from gradelug_gateway import health as health_module
from gradelug_gateway.model import Repeat
from gradelug_gateway.organisations import Organisation, Organisations
from gradelug_gateway.request_placer import RequestPlacer
from run_world import RunWorld, events, is_whole, run, runner

REPEATS = [Repeat.NEVER, Repeat.RESUME]


def delay_moves(engine, delay_s):
    """Let an engine read calls at once and carry out orders to move or stop runs late."""
    serve_move = engine._serve_move

    async def late(inc):
        await asyncio.sleep(delay_s)
        await serve_move(inc)

    engine._serve_move = lambda inc: asyncio.shield(engine.start(late(inc)))


def set_keys(world, keys):
    """Put a configuration in force in which one organisation has some keys."""
    snapshot = world.state.snapshot
    organisations = Organisations([(Organisation("acme"), keys)])
    world.state.snapshot = replace(
        snapshot, version=snapshot.version + 1, organisations=organisations
    )
    world.state.change += 1


class TestStops:
    @pytest.mark.parametrize("delay_s", [0.2, 0.4, 0.7, 1.0])
    @pytest.mark.parametrize("repeat", REPEATS)
    def test_resumed_run_was_stopped_by_a_second_order(self, repeat, delay_s):
        async def scenario():
            world = RunWorld(3, repeat=repeat)
            client = world.ask("q0")
            await asyncio.sleep(0.6)
            engine = runner(world, "q0")
            engine.stall(2.0 if repeat is Repeat.NEVER else 3.0)
            delay_moves(engine, delay_s)
            await asyncio.sleep(9.0)
            assert is_whole(client)

        run(scenario)

    def test_stream_stayed_at_an_engine_that_vanished_after_a_stop_found_no_run(self):
        async def scenario():
            world = RunWorld(3, repeat=Repeat.RESUME)
            client = world.ask("q0")
            await asyncio.sleep(0.5)
            engine = runner(world, "q0")
            for work in engine.runs.values():
                work.pause_s = 1.6
            await asyncio.sleep(1.9)
            assert runner(world, "q0") is engine
            engine.vanish()
            await asyncio.sleep(14.0)
            assert is_whole(client)

        run(scenario)

    def test_break_was_not_counted_after_a_stop_found_no_run(self, monkeypatch):
        counted = []
        note_broken = health_module.Health.note_broken

        def note(health, now):
            counted.append(now)
            note_broken(health, now)

        async def scenario():
            world = RunWorld(3, repeat=Repeat.RESUME)
            world.ask("q0")
            await asyncio.sleep(0.5)
            engine = runner(world, "q0")
            for work in engine.runs.values():
                work.pause_s = 1.6
            await asyncio.sleep(1.8)
            assert runner(world, "q0") is engine
            monkeypatch.setattr(health_module.Health, "note_broken", note)
            engine.crash()
            await asyncio.sleep(0.05)

        run(scenario)
        assert counted

    def test_memory_stayed_at_its_engine_when_the_caller_left_during_a_stop(self):
        async def scenario():
            world = RunWorld(2, repeat=Repeat.NEVER)
            client = world.ask("q0")
            await asyncio.sleep(0.6)
            engine = runner(world, "q0")
            engine.stall(3.0)
            delay_moves(engine, 0.5)
            await asyncio.sleep(1.4)
            client.transport.close()
            await asyncio.sleep(2.0)
            assert not any(one.kept for one in world.engines.values())

        run(scenario)


class TestKeys:
    @pytest.mark.parametrize("which", ["one", "all", "stalled"])
    @pytest.mark.parametrize("repeat", REPEATS)
    def test_stream_was_given_up_after_its_key_was_revoked(self, repeat, which):
        async def scenario():
            world = RunWorld(3, repeat=repeat)
            set_keys(world, ["k1"])
            client = world.ask("q0", headers=b"Authorization: Bearer k1\r\n")
            await asyncio.sleep(0.6)
            engine = runner(world, "q0")
            if which == "stalled":
                engine.stall(1.7)
            else:
                for one in world.engines.values() if which == "all" else [engine]:
                    one.pause(1.7)
            await asyncio.sleep(0.1)
            set_keys(world, ["k2"])
            await asyncio.sleep(8.0)
            assert is_whole(client)

        run(scenario)


class TestSearches:
    @pytest.mark.parametrize("replicas", [2, 3, 4])
    def test_stream_resumed_from_memory_was_never_abandoned_again(self, replicas):
        async def scenario():
            world = RunWorld(4, repeat=Repeat.RESUME, replicas=replicas)
            client = world.ask("q0")
            await asyncio.sleep(0.5)
            runner(world, "q0").stall(5.0)
            await asyncio.sleep(1.75)
            runner(world, "q0").vanish()
            await asyncio.sleep(14.0)
            assert is_whole(client)

        run(scenario)

    @pytest.mark.parametrize("crash_s", [1.5, 2.0, 2.6, 2.8])
    def test_searches_kept_the_retries_from_streams_of_a_crashed_engine(self, crash_s):
        async def scenario():
            world = RunWorld(3, repeat=Repeat.RESUME, budget=2, gap_s=0.25, replicas=3)
            clients = [world.ask(f"q{at}") for at in range(8)]
            await asyncio.sleep(0.6)
            for engine in world.engines.values():
                engine.pause(3.0)
            await asyncio.sleep(crash_s)
            engine = min(world.engines.values(), key=lambda one: len(one.runs))
            engine.crash()
            await asyncio.sleep(8.0)
            window = world.budgets._windows["llm"]
            assert len(window._retries) == 2
            assert all(map(is_whole, clients))

        run(scenario)

    def test_stream_was_cut_by_an_error_in_its_search(self, monkeypatch):
        async def fail(placer, job, excluded):
            raise KeyError("s9")

        async def scenario():
            world = RunWorld(3, repeat=Repeat.RESUME)
            client = world.ask("q0")
            await asyncio.sleep(0.5)
            runner(world, "q0").pause(2.0)
            with monkeypatch.context() as patch:
                patch.setattr(RequestPlacer, "place_new_run", fail)
                await asyncio.sleep(2.3)
            await asyncio.sleep(3.0)
            assert is_whole(client)

        run(scenario)

    def test_all_streams_went_to_the_first_engine_that_responded(self):
        async def scenario():
            world = RunWorld(9, repeat=Repeat.RESUME, replicas=3)
            clients = [world.ask(f"q{at}") for at in range(63)]
            await asyncio.sleep(0.6)
            first, *others = world.engines.values()
            first.pause(1.9)
            for engine in others:
                engine.pause(2.1)
            await asyncio.sleep(2.05)
            assert len(first.runs) < 32
            await asyncio.sleep(9.0)
            assert all(len(events(client)[0]) == 40 for client in clients)

        run(scenario)
