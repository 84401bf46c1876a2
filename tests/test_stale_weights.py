"""Runs go on under the weights that made their memory, or not from it."""

import asyncio
import itertools
from dataclasses import replace
from unittest import mock

import pytest
import run_engines
from gradelug_gateway import run_weights
from gradelug_gateway import runs as runs_module
from gradelug_gateway.model import Holding, Repeat
from gradelug_policy.run_versions import Namings, WeightVersions
from run_engines import EVENTS, KEY, MODEL, MODEL_S
from run_world import RunWorld, changes, events, is_whole, run, runner
from test_kept_gateway import KEY as FLEET_KEY
from test_kept_gateway import new_fleet

ALL = list(range(1, EVENTS + 1))
REPORT_LAG_S = 0.35
PUBLISHED = [
    pytest.param("m/a1", KEY, id="adapter"),
    pytest.param("m/a1", MODEL, id="base-of-adapter"),
    pytest.param("m", MODEL, id="base"),
]


@pytest.fixture
def copied():
    """Every stream is copied, whatever the risk."""
    with mock.patch.object(runs_module, "wants_copy", return_value=True):
        yield


async def begin(world, model="m/a1"):
    client = world.ask("q1", model=model)
    await asyncio.sleep(0.67)
    assert len(events(client)[0]) > 3
    return client, runner(world, "q1")


class TestAStoppedRun:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_does_not_go_on_under_newer_weights(self, model, renewed):
        """Its engine replaced its weights as soon as it was stopped."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            first.hush()
            await asyncio.sleep(0.9)
            world.publish_version(renewed, 2)
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)

    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_goes_on_where_older_weights_are_still_in_use(self, model, renewed):
        """A newer version that was named takes nothing from a run whose engine has the older."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            world.state.versions[renewed] = 2
            first.hush()
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_goes_on_at_the_engine_that_received_its_memory(self):
        """Its own engine replaced the weights; another one still has them, and the memory."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(0.9)
            world.state.versions[MODEL] = 2
            first.start(first.unload(MODEL))
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_does_not_go_on_at_an_engine_that_received_its_memory_and_has_newer_weights(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(0.9)
            world.state.versions[MODEL] = 2
            for engine in world.engines.values():
                if engine is not first:
                    # Its entry in the platform's store is older.
                    engine.base = 2
            first.start(first.unload(MODEL))
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert client.ended

        run(scenario)

    def test_keeps_its_weights_in_use_until_it_goes_on(self):
        """An engine whose weights nobody uses may be ordered to replace them."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(5.0)
            assert is_whole(client)
            assert world.directory.uses[first.name, KEY] == [0, 1, 2, 1, 0]

        run(scenario)

    def test_keeps_no_weights_in_use_when_its_caller_leaves(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(0.9)
            world.publish_version(KEY, 2)
            await asyncio.sleep(0.5)
            client.transport.close()
            await asyncio.sleep(1.0)
            assert all(counts[-1] == 0 for counts in world.directory.uses.values())

        run(scenario)

    def test_frees_its_memory_if_nothing_goes_on_from_it(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(0.9)
            world.publish_version(MODEL, 2)
            await asyncio.sleep(3.0)
            assert client.ended
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_is_resumed_without_memory_where_its_caller_allows_that(self):
        async def scenario():
            world = RunWorld(repeat=Repeat.RESUME)
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(0.9)
            world.publish_version(MODEL, 2)
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_goes_on_at_another_engine_although_its_own_has_unheard_newer_weights(self):
        """Its engine was asked again and again to load what it could not have any more."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            # Named elsewhere; here its engine's entry alone tells.
            world.newest = lambda key: 2 if key == KEY else 1

            async def renew():
                await first.unload(KEY)
                first.holds[KEY] = 2
                world.enter(first)

            first.start(renew())
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert is_whole(client)

        run(scenario)

    def test_goes_on_from_the_copy_received_as_it_grew(self, copied):
        """Its engine renewed its weights, and no engine had room for memory when it was stopped."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            for engine in world.engines.values():
                engine.room = False
            first.hush()
            await asyncio.sleep(0.9)
            world.state.versions[KEY] = 2
            first.start(first.unload(KEY))
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert is_whole(client)

        run(scenario)

    def test_pays_for_the_sendings_that_are_made(self):
        """Its engine reports newer weights, so nothing is sent there; one repetition is left."""

        async def scenario():
            with mock.patch.object(run_weights, "RECENT_STOP_S", 0.0):
                world = RunWorld()
                client, first = await begin(world)
                first.reported_base = 2
                first.hush()
                budgets = type(world.serving._budgets)
                answers = itertools.chain([True], itertools.repeat(False))
                with mock.patch.object(budgets, "try_retry", side_effect=answers):
                    await asyncio.sleep(5.0)
                assert is_whole(client)

        run(scenario)

    def test_frees_its_memory_if_no_repetition_is_left(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            budgets = type(world.serving._budgets)
            with mock.patch.object(budgets, "try_retry", return_value=False):
                await asyncio.sleep(4.0)
            assert client.ended
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_keeps_its_versions_when_it_goes_on(self):
        """Stopped once more it must be checked again."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.hush()
            await asyncio.sleep(1.6)
            (again,) = world.lasting.runs[runner(world, "q1").name]
            assert (again.versions.model, again.versions.adapter) == (1, 1)

        run(scenario)

    def test_is_checked_although_its_engine_lacked_the_adapter_at_first(self):
        """After a first rejection its version was not asked for, so nothing could be checked."""

        async def scenario():
            world = RunWorld()
            for engine in world.engines.values():
                # Their entries still list it.
                engine.holds.clear()
            client = world.ask("q1")
            await asyncio.sleep(0.8)
            first = runner(world, "q1")
            first.hush()
            world.newest = lambda key: 2 if key == KEY else 1

            async def renew():
                await first.unload(KEY)
                first.holds[KEY] = 2

            first.start(renew())
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)

    @pytest.mark.parametrize("copy_s", [0.02, 0.2])
    def test_is_checked_although_its_engine_loads_fast(self, copy_s):
        """The answer to the stop comes after its memory was copied."""

        async def scenario():
            with (
                mock.patch.object(run_engines, "MODEL_S", 0.15),
                mock.patch.object(run_engines, "LOAD_S", 0.03),
            ):
                world = RunWorld()
                client, first = await begin(world)
                first.copy_s = copy_s
                first.hush()
                world.newest = lambda key: 2 if key == MODEL else 1

                async def renew():
                    await first.unload(MODEL)
                    await first.load(KEY)

                first.start(renew())
                await asyncio.sleep(5.0)
                assert not world.ledger.wrong

        run(scenario)


class TestARunUnderAnOlderAdapter:
    """A version that was named must be in use by requests that begin within a bound."""

    @pytest.mark.parametrize(("replaced_s", "goes_on"), [(2.9, True), (3.1, False)])
    def test_does_not_begin_again_too_late(self, copied, replaced_s, goes_on):
        async def scenario():
            world = RunWorld(version_s=5.0)
            client, first = await begin(world)
            world.state.versions[KEY] = 2
            world.state.namings.note(KEY, 2, world.clock() - replaced_s)
            first.crash()
            await asyncio.sleep(4.0)
            assert is_whole(client) is goes_on
            assert (("from", 200) in {row[1:] for row in world.ledger.asked}) is goes_on

        run(scenario)

    def test_is_not_stopped_when_it_could_not_go_on(self):
        """It falls silent for some time and goes on by itself."""

        async def scenario():
            world = RunWorld(version_s=5.0)
            client, first = await begin(world)
            world.state.versions[KEY] = 2
            world.state.namings.note(KEY, 2, world.clock() - 4.0)
            first.runs["q1"].stall_for_s = 1.7
            await asyncio.sleep(6.0)
            assert is_whole(client)
            assert not [row for row in world.ledger.asked if row[1] == "move"]

        run(scenario)

    def test_counts_from_the_first_newer_version(self):
        namings = Namings()
        for version, at in ((2, 1.0), (3, 4.0), (4, 9.0)):
            namings.note(KEY, version, at)
        assert namings.replaced_s(KEY, 1, 10.0) == 9.0
        assert namings.replaced_s(KEY, 3, 10.0) == 1.0
        assert namings.replaced_s(KEY, 4, 10.0) == 0.0
        assert namings.replaced_s(MODEL, 1, 10.0) == 0.0


class TestACopy:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    @pytest.mark.parametrize("at", [0.2, 0.7])
    def test_is_not_used_under_newer_weights(self, copied, model, renewed, at):
        """The engine that received it replaced its weights before or after the break."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            world.state.versions[renewed] = 2
            for engine in world.engines.values():
                if engine is not first:
                    engine.start(engine.load(KEY if model != "m" else MODEL))
            await asyncio.sleep(at)
            first.crash()
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)

    def test_is_used_where_its_weights_are(self, copied):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            world.state.versions[MODEL] = 2
            first.crash()
            await asyncio.sleep(4.0)
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_checked_after_a_connection_is_there(self, copied):
        """A report of weights is 0.35 s old; opening a connection may take as long again."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            pool = world.serving._sender._pool
            acquire = type(pool).acquire

            async def acquire_slowly(self, *asked):
                await asyncio.sleep(0.34 if self is pool else 0.0)
                return await acquire(self, *asked)

            async def renew(engine):
                engine.reported_base, engine.base = 1, 0
                await asyncio.sleep(REPORT_LAG_S)
                engine.reported_base = None
                await asyncio.sleep(MODEL_S - REPORT_LAG_S)
                engine.base = 2

            (holder,) = [one for one in world.engines.values() if one.kept]
            holder.start(renew(holder))
            await asyncio.sleep(0.33)
            with mock.patch.object(type(pool), "acquire", acquire_slowly):
                first.crash()
                await asyncio.sleep(4.0)
            assert not world.ledger.wrong

        run(scenario)

    def test_is_not_used_if_its_engine_does_not_tell_its_weights(self, copied):
        """Only the engine knows the base model's version, which no request can name."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            for engine in world.engines.values():
                engine.calls_to_ignore = 2
            first.crash()
            await asyncio.sleep(4.0)
            assert client.ended
            assert ("from", 200) not in {row[1:] for row in world.ledger.asked}

        run(scenario)

    def test_is_used_if_its_engine_tells_its_weights_at_the_second_call(self, copied):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            for engine in world.engines.values():
                engine.calls_to_ignore = 1
            first.crash()
            await asyncio.sleep(4.0)
            assert is_whole(client)

        run(scenario)


class TestEnginesWithTheWeights:
    def test_those_of_the_newest_version_are_told_by_planners(self):
        """An engine's own entry is older than what its planner tells."""
        fleet = new_fleet()
        for name, rep in list(fleet.state.replicas.items()):
            fleet.state.replicas[name] = replace(rep, holdings=(Holding(FLEET_KEY, 1),))
        fleet.state.change += 1
        weights = run_weights.RunWeights(fleet, None, lambda: 0.0)
        versions = WeightVersions(1, 1)
        fleet.set_homes("llm", FLEET_KEY, {"e0": 1, "e1": 2})
        holders = weights.holders("llm", versions, FLEET_KEY)
        assert [rep.name for rep in holders] == ["e0"]
        fleet.state.versions[FLEET_KEY] = 2
        holders = weights.holders("llm", versions, FLEET_KEY)
        assert [rep.name for rep in holders] == ["e0", "e2"]


class TestAMove:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_goes_to_engines_with_the_weights_of_the_run(self, model, renewed):
        """One engine of two that could take the run has newer weights already."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            newer, older = [one for one in world.engines.values() if one is not first]
            world.state.versions[renewed] = 2
            if renewed == MODEL:
                newer.base = 2
            else:
                newer.holds[KEY] = 2
            for engine in (newer, older):
                world.enter(engine)
            first.notice(1.0)
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_not_made_where_only_newer_weights_are(self):
        """Stopped for it, the run could go on nowhere; left alone it may end before its engine."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            world.state.versions[MODEL] = 2
            for engine in world.engines.values():
                if engine is not first:
                    # Its entry in the platform's store is older.
                    engine.base = 2
            # Long enough for the run, and short enough for a move to be due.
            first.notice(1.6)
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_not_made_to_newer_weights_that_were_loaded_for_it(self):
        """The newer version was not heard of here."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            for engine in world.engines.values():
                if engine is not first:
                    engine.holds.clear()
                    world.enter(engine)
            world.newest = lambda key: 2 if key == KEY else 1
            first.notice(1.6)
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert is_whole(client)

        run(scenario)


class TestARunUnderOtherWeights:
    def test_is_not_passed_on(self, copied):
        """Its engine's report was older than its weights: the answer's head still tells."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            others = [one for one in world.engines.values() if one is not first]
            for engine in others:
                engine.reported_base, engine.base = 1, 2
            first.crash()
            await asyncio.sleep(4.0)
            assert client.ended
            assert len(events(client)[0]) < EVENTS
            assert len(set(events(client)[1])) == 1
            text = world.meters.text()
            assert b'gradelug_runs_went_on_total{weights="other"} 1.0' in text

        run(scenario)


class TestAVersionChangeDuringARun:
    """A run that waits for memory is read anew under a base model that came meanwhile."""

    async def begin_and_change(self, world, replaced):
        """Return the client and engine of a run whose base model is of version 2 from now on."""
        client, first = await begin(world)
        first.replaces_model_while_waiting = True
        first.runs["q1"].pause_s = 1.0
        await asyncio.sleep(0.06)
        assert not first.runs
        world.state.versions[MODEL] = 2

        async def replace(engine):
            await engine.unload(MODEL)
            await engine.load(KEY)

        for engine in world.engines.values() if replaced == "all" else [first]:
            engine.start(replace(engine))
        while not changes(client):
            await asyncio.sleep(0.01)
        assert list(changes(client).values()) == [2]
        return client, first

    def test_reaches_the_caller(self):
        async def scenario():
            world = RunWorld()
            client, _ = await self.begin_and_change(world, "one")
            await asyncio.sleep(3.0)
            assert list(changes(client).values()) == [2]
            assert events(client)[0] == ALL
            assert is_whole(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_a_stop_after_it_goes_on_under_the_new_weights(self):
        async def scenario():
            world = RunWorld()
            client, first = await self.begin_and_change(world, "one")
            first.hush()
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert (first.name, "from", 200) in world.ledger.asked
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_a_stop_after_it_does_not_go_on_under_the_old_weights(self):
        """Its engine has no weights any more; the others have the memory, and the old weights."""

        async def scenario():
            world = RunWorld()
            client, first = await self.begin_and_change(world, "one")
            first.hush()
            await asyncio.sleep(0.9)
            world.state.versions[MODEL] = 3
            first.start(first.unload(MODEL))
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert (first.name, "move", 200) in world.ledger.asked
            assert not any(what == "from" and code == 200 for _, what, code in world.ledger.asked)
            assert client.ended
            assert len(events(client)[0]) < EVENTS

        run(scenario)

    def test_a_copy_is_not_used_after_it(self, copied):
        """Whether what was sent before is sent anew is not told."""

        async def scenario():
            world = RunWorld()
            client, first = await self.begin_and_change(world, "all")
            await asyncio.sleep(0.3)
            first.crash()
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert not any(what == "from" and code == 200 for _, what, code in world.ledger.asked)
            assert client.ended

        run(scenario)

    def test_a_copy_before_it_is_not_used_under_the_new_weights(self, copied):
        """Nothing was sent to the engine with the copy since; it has the new weights, too."""

        async def scenario():
            world = RunWorld()
            for engine in world.engines.values():
                asyncio.get_running_loop().call_later(0.7, setattr, engine, "room", False)
            client, first = await self.begin_and_change(world, "all")
            assert any(engine.kept for engine in world.engines.values())
            first.crash()
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)


class TestAnAbandonedRun:
    def test_is_stopped_after_its_engine_turned_its_request_away(self):
        """An order there waits for the run, which waits for memory; its request gets 503."""

        async def scenario():
            world = RunWorld(engines=2, repeat=Repeat.RESUME)
            client, first = await begin(world, "m")
            second = next(one for one in world.engines.values() if one is not first)
            first.keeps_disconnected_runs = first.keeps_disconnected_waiting = (
                first.resumes_when_memory_frees
            ) = True
            first.runs["q1"].pause_s = 0.9
            await asyncio.sleep(0.06)
            first.reset()
            first.start(first.unload(MODEL))
            while not second.runs:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.6)
            second.reset()
            await asyncio.sleep(5.0)
            assert (first.name, "run", 503) in world.ledger.asked
            assert world.ledger.asked.count((second.name, "run", 200)) == 2
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)
