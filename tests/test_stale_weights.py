"""Runs are resumed only under the weight versions that produced their memory."""

import asyncio
from dataclasses import replace
from unittest import mock

import logbook
import pytest
import run_engines
from gradelug_gateway import run_weights
from gradelug_gateway import runs as runs_module
from gradelug_gateway.model import Holding, Repeat
from gradelug_gateway.sending import Sender
from gradelug_policy.run_versions import VersionAnnouncements, WeightVersions
from run_engines import EVENTS, KEY, MODEL, MODEL_S
from run_world import RunWorld, changes, events, is_whole, run, runner
from test_prefix_cache_gateway import KEY as FLEET_KEY
from test_prefix_cache_gateway import new_fleet

ALL = list(range(1, EVENTS + 1))
REPORT_LAG_S = 0.35
PUBLISHED = [
    pytest.param("m/a1", KEY, id="adapter"),
    pytest.param("m/a1", MODEL, id="base-of-adapter"),
    pytest.param("m", MODEL, id="base"),
]


@pytest.fixture
def copied():
    """Copy every stream, whatever the risk of a break."""
    with mock.patch.object(runs_module, "should_copy", return_value=True):
        yield


async def begin(world, model="m/a1"):
    client = world.ask("q1", model=model)
    await asyncio.sleep(0.67)
    assert len(events(client)[0]) > 3
    return client, runner(world, "q1")


class TestAStoppedRun:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_is_not_resumed_under_newer_weights(self, model, renewed):
        """Its engine replaces the weights as soon as the run is stopped."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            first.silence()
            await asyncio.sleep(0.9)
            world.publish_version(renewed, 2)
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)

    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_is_resumed_where_older_weights_are_still_in_use(self, model, renewed):
        """The announcement of a newer version must not affect a run whose engine has the older."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            world.state.versions[renewed] = 2
            first.silence()
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_resumed_on_the_engine_that_received_its_memory(self):
        """Its own engine replaced the weights; another one still has both weights and memory."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(0.9)
            world.state.versions[MODEL] = 2
            first.start(first.unload(MODEL))
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_not_resumed_on_a_receiving_engine_with_newer_weights(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(0.9)
            world.state.versions[MODEL] = 2
            for engine in world.engines.values():
                if engine is not first:
                    # Its entry in the platform's store is outdated.
                    engine.base = 2
            first.start(first.unload(MODEL))
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert client.ended

        run(scenario)

    def test_keeps_its_weights_in_use_until_it_is_resumed(self):
        """An engine may be ordered to replace weights that are not in use."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(5.0)
            assert is_whole(client)
            assert world.directory.uses[first.name, KEY] == [0, 1, 2, 1, 0]

        run(scenario)

    def test_releases_its_weights_when_its_caller_disconnects(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(0.9)
            world.publish_version(KEY, 2)
            await asyncio.sleep(0.5)
            client.transport.close()
            await asyncio.sleep(1.0)
            assert all(counts[-1] == 0 for counts in world.directory.uses.values())

        run(scenario)

    def test_frees_its_memory_if_it_cannot_be_resumed(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
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
            first.silence()
            await asyncio.sleep(0.9)
            world.publish_version(MODEL, 2)
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_resumed_elsewhere_if_its_engine_has_unannounced_newer_weights(self):
        """Guards against repeated load requests for a version that cannot be loaded any more."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            # Not announced to this gateway; only the entry of the engine shows it.
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

    def test_is_resumed_from_its_backup_copy(self, copied):
        """Its engine replaced the weights, and no engine had capacity when the run was stopped."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            for engine in world.engines.values():
                engine.has_capacity = False
            first.silence()
            await asyncio.sleep(0.9)
            world.state.versions[KEY] = 2
            first.start(first.unload(KEY))
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert is_whole(client)

        run(scenario)

    def test_uses_retry_budget_only_for_requests_that_are_sent(self):
        """Its engine reports newer weights, so nothing is sent there; one retry is left."""

        async def scenario():
            with mock.patch.object(run_weights, "RECENT_STOP_S", 0.0):
                world = RunWorld(budget=1.0)
                client, first = await begin(world)
                first.reported_base = 2
                first.silence()
                await asyncio.sleep(5.0)
                assert is_whole(client)

        run(scenario)

    def test_is_not_resumed_on_an_engine_that_leaves_while_its_weights_are_queried(self):
        handler = logbook.TestHandler()
        later_records = {}
        original = Sender._has_weights

        async def has_weights(sender, job):
            has = await original(sender, job)
            if job.copy is not None:
                replicas = sender._fleet.state.replicas
                name = job.copy.holder.name
                replicas[name] = replace(replicas[name], leaving=True)
                later_records.setdefault(name, len(handler.records))
            return has

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(3.0)

        with handler, mock.patch.object(Sender, "_has_weights", has_weights):
            run(scenario)
        assert later_records
        for name, start in later_records.items():
            placed = [rec for rec in handler.records[start:] if rec.message == "placed"]
            assert name not in [rec.kwargs["replica"] for rec in placed]

    def test_is_not_stopped_without_retry_budget(self):
        async def scenario():
            world = RunWorld(budget=0.0)
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(4.0)
            assert not client.ended
            assert not any(what == "move" for _, what, _ in world.ledger.asked)
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_frees_its_memory_if_it_is_not_used_after_the_stop(self):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            with mock.patch.object(Sender, "_has_weights", return_value=False):
                await asyncio.sleep(4.0)
            assert client.ended
            assert any(what == "move" for _, what, _ in world.ledger.asked)
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_keeps_its_versions_when_it_is_resumed(self):
        """They must be checked again if the run is stopped a second time."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            first.silence()
            await asyncio.sleep(1.6)
            (again,) = world.lasting.runs[runner(world, "q1").name]
            assert (again.versions.model, again.versions.adapter) == (1, 1)

        run(scenario)

    def test_is_checked_although_its_engine_first_lacked_the_adapter(self):
        """A request repeated after a rejection must still name the version that is checked."""

        async def scenario():
            world = RunWorld()
            for engine in world.engines.values():
                # Their entries still list the adapter.
                engine.holds.clear()
            client = world.ask("q1")
            await asyncio.sleep(0.8)
            first = runner(world, "q1")
            first.silence()
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
    def test_is_checked_on_an_engine_that_loads_fast(self, copy_s):
        """The response to the stop request arrives after the memory was copied."""

        async def scenario():
            with (
                mock.patch.object(run_engines, "MODEL_S", 0.15),
                mock.patch.object(run_engines, "LOAD_S", 0.03),
            ):
                world = RunWorld()
                client, first = await begin(world)
                first.copy_s = copy_s
                first.silence()
                world.newest = lambda key: 2 if key == MODEL else 1

                async def renew():
                    await first.unload(MODEL)
                    await first.load(KEY)

                first.start(renew())
                await asyncio.sleep(5.0)
                assert not world.ledger.wrong

        run(scenario)


class TestARunUnderAnOlderAdapter:
    """Requests that start a bounded time after an announcement must use the new version."""

    @pytest.mark.parametrize(("replaced_s", "is_resumed"), [(2.9, True), (3.1, False)])
    def test_is_resumed_only_within_the_version_deadline(self, copied, replaced_s, is_resumed):
        async def scenario():
            world = RunWorld(version_s=5.0)
            client, first = await begin(world)
            world.state.versions[KEY] = 2
            world.state.namings.note(KEY, 2, world.clock() - replaced_s)
            first.crash()
            await asyncio.sleep(4.0)
            assert is_whole(client) is is_resumed
            assert (("from", 200) in {row[1:] for row in world.ledger.asked}) is is_resumed

        run(scenario)

    def test_is_not_stopped_if_it_could_not_be_resumed(self):
        """Its stream stalls for some time and continues."""

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

    def test_deadline_counts_from_the_first_newer_version(self):
        namings = VersionAnnouncements()
        for version, at in ((2, 1.0), (3, 4.0), (4, 9.0)):
            namings.note(KEY, version, at)
        assert namings.superseded_for_s(KEY, 1, 10.0) == 9.0
        assert namings.superseded_for_s(KEY, 3, 10.0) == 1.0
        assert namings.superseded_for_s(KEY, 4, 10.0) == 0.0
        assert namings.superseded_for_s(MODEL, 1, 10.0) == 0.0


class TestACopy:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    @pytest.mark.parametrize("at", [0.2, 0.7])
    def test_is_not_used_under_newer_weights(self, copied, model, renewed, at):
        """The engine that received it replaces its weights before or after the break."""

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

    def test_is_used_on_an_engine_with_its_weights(self, copied):
        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            world.state.versions[MODEL] = 2
            first.crash()
            await asyncio.sleep(4.0)
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_checked_after_the_connection_is_open(self, copied):
        """A report of weights is 0.35 s old, and opening a connection may take as long again."""

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

    def test_is_not_used_if_its_engine_does_not_report_weights(self, copied):
        """Requests with an adapter cannot name the base model version; only the engine knows it."""

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

    def test_is_used_if_its_engine_reports_weights_at_the_second_call(self, copied):
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
    def test_those_of_the_newest_version_come_from_planners(self):
        """The entry of an engine is older than the state that its planner reports."""
        fleet = new_fleet()
        for name, rep in list(fleet.state.replicas.items()):
            fleet.state.replicas[name] = replace(rep, holdings=(Holding(FLEET_KEY, 1),))
        fleet.state.change += 1
        weights = run_weights.RunWeights(fleet, None, lambda: 0.0)
        versions = WeightVersions(1, 1)
        fleet.set_weight_locations("llm", FLEET_KEY, {"e0": 1, "e1": 2})
        holders = weights.holders("llm", versions, FLEET_KEY)
        assert [rep.name for rep in holders] == ["e0"]
        fleet.state.versions[FLEET_KEY] = 2
        holders = weights.holders("llm", versions, FLEET_KEY)
        assert [rep.name for rep in holders] == ["e0", "e2"]


class TestAMove:
    @pytest.mark.parametrize(("model", "renewed"), PUBLISHED)
    def test_targets_engines_with_the_weights_of_the_run(self, model, renewed):
        """One of the two candidate engines already has newer weights."""

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

    def test_is_not_made_if_only_newer_weights_are_available(self):
        """A stopped run could not be resumed; left alone it may complete before its engine ends."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world)
            world.state.versions[MODEL] = 2
            for engine in world.engines.values():
                if engine is not first:
                    # Its entry in the platform's store is outdated.
                    engine.base = 2
            # Long enough for the run to complete, and short enough for a move to be due.
            first.notice(1.6)
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_is_not_made_to_newer_weights_loaded_for_it(self):
        """The newer version was not announced to this gateway."""

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
    def test_sends_no_events_to_the_caller(self, copied):
        """The engine's report was outdated, but the response head shows the actual version."""

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
            text = world.meters.render()
            assert b'gradelug_runs_went_on_total{weights="other"} 1.0' in text

        run(scenario)


class TestAVersionChangeDuringARun:
    """A run queued for memory is recomputed under a base model loaded in the meantime."""

    async def begin_and_change(self, world, replaced):
        """Return the client and engine of a run whose base model has just become version 2."""
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

    def test_is_reported_to_the_caller(self):
        async def scenario():
            world = RunWorld()
            client, _ = await self.begin_and_change(world, "one")
            await asyncio.sleep(3.0)
            assert list(changes(client).values()) == [2]
            assert events(client)[0] == ALL
            assert is_whole(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_a_run_stopped_after_it_is_resumed_under_the_new_weights(self):
        async def scenario():
            world = RunWorld()
            client, first = await self.begin_and_change(world, "one")
            first.silence()
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert (first.name, "from", 200) in world.ledger.asked
            assert events(client)[0] == ALL
            assert is_whole(client)

        run(scenario)

    def test_a_run_stopped_after_it_is_not_resumed_under_the_old_weights(self):
        """Its engine has no weights left; the others have the memory and the old weights."""

        async def scenario():
            world = RunWorld()
            client, first = await self.begin_and_change(world, "one")
            first.silence()
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
        """Engines do not report whether memory copied before the change is copied again."""

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
        """The copy was not updated since the change, and its engine has the new weights too."""

        async def scenario():
            world = RunWorld()
            for engine in world.engines.values():
                asyncio.get_running_loop().call_later(0.7, setattr, engine, "has_capacity", False)
            client, first = await self.begin_and_change(world, "all")
            assert any(engine.kept for engine in world.engines.values())
            first.crash()
            await asyncio.sleep(4.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)


class TestAnAbandonedRun:
    def test_is_stopped_after_its_engine_rejected_its_request(self):
        """An unload order waits for the queued run meanwhile, so its request gets status 503."""

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
