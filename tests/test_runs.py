"""Recovery of runs after broken or stalled streams, engine crashes, notices and failed moves."""

import asyncio
from unittest import mock

import pytest
from gradelug_gateway import runs as runs_module
from gradelug_gateway.daemon import Daemon
from gradelug_gateway.model import Repeat
from gradelug_gateway.run_moves import MoveOutcome, MoveReply
from gradelug_gateway.settings import Addresses, Bounds, Feature, GatewaySettings
from gradelug_http import HttpPool
from gradelug_platform.dialect import PlatformDialect
from gradelug_platform.runs import PlatformRuns
from gradelug_policy.engine_capacity import DEFAULT_HOLD_TIME_S, EngineEstimator
from gradelug_policy.run_recovery import MIN_BREAK_RISK
from run_engines import EVENTS
from run_world import RunWorld, events, is_whole, run, runner, status

ALL = list(range(1, EVENTS + 1))


@pytest.fixture
def copied():
    """Copy every stream, whatever the risk of a break."""
    with mock.patch.object(runs_module, "should_copy", return_value=True):
        yield


async def begin(world, ident="q1", **more):
    """Send a request and return its client after some events were received."""
    client = world.ask(ident, **more)
    await asyncio.sleep(0.67)
    assert len(events(client)[0]) > 3
    return client


def assert_resumed(client, ident="q1"):
    numbers, lines = events(client)
    assert numbers == ALL
    assert set(lines) == {f"{ident}.1"}
    assert is_whole(client)
    assert bytes(client.received).count(b"HTTP/1.1 ") == 1


class TestBrokenConnections:
    @pytest.mark.parametrize("mid_event", [True, False])
    def test_a_broken_run_is_resumed_from_its_copy(self, copied, mid_event):
        """Connection resets interrupt many streams in bursts; each must be resumed, not cut."""

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.reset(mid_event)
            await asyncio.sleep(0.2)
            assert runner(world, "q1") is not first
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert world.ledger.runs_started == {"q1": 1}
            assert not world.ledger.wrong
            assert b"gradelug_run_pause_seconds_count" in world.meters.render()

        run(scenario)

    def test_a_run_is_resumed_after_an_engine_crash(self, copied):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").crash()
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert world.ledger.runs_started == {"q1": 1}

        run(scenario)

    def test_without_a_copy_it_ends_and_is_not_run_again(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").reset()
            await asyncio.sleep(3.0)
            assert not is_whole(client)
            assert client.ended
            assert world.ledger.runs_started == {"q1": 1}

        run(scenario)

    def test_without_recovery_nothing_is_copied_or_moved(self, copied):
        async def scenario():
            world = RunWorld(lasting=False)
            client = await begin(world)
            runner(world, "q1").reset()
            await asyncio.sleep(3.0)
            assert client.ended
            assert not is_whole(client)
            assert [what for _, what, _ in world.ledger.asked] == ["run"]

        run(scenario)

    def test_an_engine_that_still_runs_it_is_stopped_first(self, copied):
        """Most engines drop a request whose connection closes, but not all."""

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.keeps_disconnected_runs = True
            first.reset()
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert any(what == "move" and code == 200 for _, what, code in world.ledger.asked)
            assert not world.ledger.wrong

        run(scenario)

    def test_a_queued_run_is_not_resumed_while_it_may_continue(self):
        """A disconnected run may be queued for memory on its engine, which no call reports."""

        async def scenario():
            world = RunWorld(repeat=Repeat.RESUME, replicas=3)
            await begin(world)
            first = runner(world, "q1")
            first.keeps_disconnected_runs = first.keeps_disconnected_waiting = True
            # Longer than the silence after which a stream is resumed elsewhere.
            first.runs["q1"].pause_s = 1.8
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong

        run(scenario)

    def test_an_unanswered_stop_request_is_retried_once(self, copied):
        """Links drop idle pooled connections silently, so the first call over one is lost."""

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.keeps_disconnected_runs, first.calls_to_ignore = True, 1
            first.reset()
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_a_stalled_run_is_stopped_and_resumed_on_its_engine(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.silence()
            await asyncio.sleep(1.3)
            assert runner(world, "q1") is first
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_a_run_that_is_queued_for_memory_is_awaited(self):
        """Until the run is recomputed its engine reports none, and it must not be abandoned."""

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").runs["q1"].pause_s = 1.8
            await asyncio.sleep(6.0)
            assert_resumed(client)
            assert world.ledger.asked[1][1:] == ("move", 404)

        run(scenario)

    def test_without_capacity_elsewhere_it_is_resumed_where_it_was_stopped(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            for engine in world.engines.values():
                engine.has_capacity = engine is first
            first.silence()
            await asyncio.sleep(4.0)
            assert_resumed(client)

        run(scenario)

    def test_a_missing_copy_ends_the_request_without_another_run(self, copied):
        async def scenario():
            world = RunWorld(replicas=3)
            client = await begin(world)
            first = runner(world, "q1")
            for engine in world.engines.values():
                engine.kept.clear()
                engine.has_capacity = False
            first.crash()
            await asyncio.sleep(3.0)
            assert client.ended
            assert not is_whole(client)
            assert world.ledger.runs_started == {"q1": 1}
            assert [code for _, what, code in world.ledger.asked if what == "from"] == [503]

        run(scenario)

    def test_weights_are_loaded_first_on_the_engine_with_the_copy(self, copied):
        async def scenario():
            world = RunWorld(engines=2)
            other = world.engines["s1"]
            other.holds.clear()
            world.enter(other)
            client = await begin(world)
            assert runner(world, "q1").name == "s0"
            world.engines["s0"].crash()
            await asyncio.sleep(3.0)
            assert_resumed(client)

        run(scenario)

    def test_without_an_event_no_memory_is_requested(self, copied):
        """Engines have no copy yet, and those that lose responses would run the request from the
        start."""

        async def scenario():
            world = RunWorld()
            client = world.ask("q1")
            await asyncio.sleep(0.02)
            runner(world, "q1").reset()
            await asyncio.sleep(1.0)
            assert status(client) == 502
            assert [what for _, what, _ in world.ledger.asked] == ["run"]

        run(scenario)

    def test_shortly_after_its_first_event_no_copy_is_requested(self, copied):
        async def scenario():
            world = RunWorld()
            client = world.ask("q1")
            await asyncio.sleep(0.3)
            runner(world, "q1").reset()
            await asyncio.sleep(1.0)
            assert client.ended
            assert not any(what == "from" for _, what, _ in world.ledger.asked)

        run(scenario)

    def test_without_retry_budget_nothing_is_requested(self, copied):
        async def scenario():
            world = RunWorld(budget=0.0)
            client = await begin(world)
            runner(world, "q1").reset()
            await asyncio.sleep(2.0)
            assert client.ended
            assert [what for _, what, _ in world.ledger.asked] == ["run"]

        run(scenario)

    def test_a_run_is_not_resumed_after_its_caller_disconnects(self, copied):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").silence()
            await asyncio.sleep(0.3)
            client.transport.close()
            await asyncio.sleep(2.0)
            assert sum(what == "from" for _, what, _ in world.ledger.asked) == 0

        run(scenario)


class TestCopies:
    def test_a_repeatable_stream_is_not_copied(self, copied):
        async def scenario():
            world = RunWorld(repeat=Repeat.RESUME)
            await begin(world)
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_copies_start_and_end_with_the_risk_of_breaks(self):
        """Resets come in bursts; copies between them would be of no use."""

        async def scenario():
            world = RunWorld()
            await begin(world, "q1")
            assert not any(engine.kept for engine in world.engines.values())
            runner(world, "q1").reset()
            await asyncio.sleep(0.1)
            client = await begin(world, "q2")
            runner(world, "q2").reset()
            await asyncio.sleep(2.5)
            assert_resumed(client, "q2")
            await asyncio.sleep(60.0)
            await begin(world, "q3")
            assert not any(engine.kept for engine in world.engines.values())

        assert MIN_BREAK_RISK > 0
        run(scenario)

    def test_a_copy_is_sent_only_to_an_engine_with_capacity(self, copied):
        async def scenario():
            world = RunWorld()
            for name in ("s0", "s1"):
                world.fleet.load(name).running = 10_000
            world.lasting.run_statistics("llm").mean_tokens = 1_000.0
            client = world.ask("q1")
            await asyncio.sleep(0.32)
            assert runner(world, "q1").name == "s2"
            assert not any(engine.kept for engine in world.engines.values())
            assert events(client)[0]

        run(scenario)


class TestEndingEngines:
    @pytest.mark.parametrize("repeat", [Repeat.NEVER, Repeat.RESUME])
    @pytest.mark.parametrize("reports_end", [True, False])
    def test_a_run_that_would_be_interrupted_is_moved(self, repeat, reports_end):
        async def scenario():
            world = RunWorld(repeat=repeat)
            world.handover._drain_s = 0.5
            client = await begin(world)
            first = runner(world, "q1")
            first.notice(0.5, reports_end)
            await asyncio.sleep(0.45)
            assert runner(world, "q1") is not first
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_an_engine_removed_without_notice_is_queried_for_its_end(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.notice(0.6)
            world.leave(first)
            await asyncio.sleep(3.0)
            assert_resumed(client)

        run(scenario)

    def test_with_little_time_left_a_run_is_stopped_at_once(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.copy_s = 0.06
            world.handover._drain_s = 0.1
            first.notice(0.25, reports_end=False)
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert [what for _, what, _ in world.ledger.asked] == ["run", "move", "from"]

        run(scenario)

    def test_a_run_that_ends_in_time_is_not_moved(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").notice(3.0)
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert not any(what == "move" for _, what, _ in world.ledger.asked)

        run(scenario)

    def test_weights_are_loaded_before_a_run_moves(self):
        async def scenario():
            world = RunWorld(engines=2)
            world.engines["s1"].holds.clear()
            world.enter(world.engines["s1"])
            client = await begin(world)
            world.engines["s0"].notice(0.65)
            await asyncio.sleep(3.0)
            assert_resumed(client)
            assert not world.ledger.wrong

        run(scenario)

    def test_an_existing_copy_is_used_when_the_move_target_crashes(self, copied):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            held = next(one for one in world.engines.values() if one.kept)
            other = next(one for one in world.engines.values() if one not in (first, held))
            held.has_capacity = False
            other.crash()
            first.notice(0.4)
            await asyncio.sleep(3.0)
            assert_resumed(client)

        run(scenario)

    def test_without_capacity_elsewhere_a_run_stays_on_its_engine(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            for engine in world.engines.values():
                engine.has_capacity = False
            first.notice(0.9)
            await asyncio.sleep(3.0)
            assert client.ended
            assert not is_whole(client)
            numbers, _ = events(client)
            assert numbers == ALL[: len(numbers)]
            assert len(numbers) >= 22
            assert world.ledger.runs_started == {"q1": 1}

        run(scenario)

    def test_a_run_that_ends_while_it_is_copied_leaves_no_memory_behind(self):
        async def scenario():
            world = RunWorld()
            client = world.ask("q1")
            await asyncio.sleep(1.75)
            first = runner(world, "q1")
            first.copy_s = 0.2
            first.notice(0.5)
            await asyncio.sleep(2.0)
            assert_resumed(client)
            assert any(what == "move" and code == 200 for _, what, code in world.ledger.asked)
            assert not any(engine.kept for engine in world.engines.values())

        run(scenario)

    def test_a_run_that_ends_before_it_is_stopped_leaves_no_memory_behind(self):
        move = PlatformRuns.move

        async def late(self, source, request_id, target, last, *args):
            if last:
                return MoveReply(MoveOutcome.NO_RUN)
            return await move(self, source, request_id, target, last, *args)

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            runner(world, "q1").notice(2.5)
            world.handover._drain_s = 0.5
            world.enter(runner(world, "q1"))
            await asyncio.sleep(4.0)
            assert_resumed(client)
            assert any(what == "move" and code == 200 for _, what, code in world.ledger.asked)
            assert not any(engine.kept for engine in world.engines.values())

        with mock.patch.object(PlatformRuns, "move", late):
            run(scenario)

    def test_run_was_cut_because_its_ending_engine_read_the_order_to_stop_late(self):
        move, paused = PlatformRuns.move, []

        async def scenario():
            world = RunWorld()
            client = await begin(world)
            engine = runner(world, "q1")

            async def pausing(self, source, request_id, target, last, *args):
                if last and not paused:
                    paused.append(source.name)
                    engine.pause(1.0)
                return await move(self, source, request_id, target, last, *args)

            with mock.patch.object(PlatformRuns, "move", pausing):
                engine.notice(3.0)
                world.handover._drain_s = 0.5
                world.enter(engine)
                await asyncio.sleep(5.0)
            assert paused == [engine.name]
            assert_resumed(client)

        run(scenario)

    def test_an_unresponsive_engine_does_not_interrupt_its_run(self):
        async def scenario():
            world = RunWorld()
            client = await begin(world)
            first = runner(world, "q1")
            first.ignores_calls = True
            first.notice(3.0)
            await asyncio.sleep(3.0)
            assert_resumed(client)

        run(scenario)


def test_slot_hold_time_starts_at_the_first_event():
    async def scenario():
        world = RunWorld()
        room = world.fleet.engine_estimator = EngineEstimator(world.fleet.speeds)
        client = await begin(world)
        await asyncio.sleep(4.0)
        assert is_whole(client)
        # 40 events at 0.05 s take longer than the default hold time.
        assert room.hold_s("llm") > DEFAULT_HOLD_TIME_S

    run(scenario)


class TestSwitch:
    @pytest.mark.parametrize("is_on", [True, False])
    def test_the_feature_enables_run_recovery(self, is_on):
        async def scenario():
            features = frozenset({Feature.LASTING_RUNS} if is_on else ())
            addresses = Addresses("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
            settings_ = GatewaySettings("i", "hall", addresses, Bounds(), features=features)
            clock = asyncio.get_running_loop().time
            daemon = Daemon(
                settings_,
                mock.Mock(),
                mock.Mock(),
                PlatformDialect(),
                mock.Mock(),
                HttpPool(clock),
                PlatformRuns(HttpPool(clock)),
            )
            assert (daemon._handover is not None) is is_on
            assert (daemon._run_recovery is not None) is is_on

        run(scenario)
