"""State cached between attempts or requests is used only while it is valid."""

import asyncio

import pytest
from gradelug_gateway.directory import Directory, PlacementPriority
from gradelug_gateway.model import AdapterKey, Holding, Repeat
from gradelug_gateway.search import PlannerAddress
from gradelug_policy.pace import INITIAL_LOAD_TIME_S
from gradelug_wire import placement_pb2 as pb
from run_engines import EVENTS
from run_engines import KEY as RUN_KEY
from run_world import RunWorld, events, is_whole, run
from test_planner import SPEC, TWO_MODELS
from test_planner import Bench as PlannerBench
from test_prefix_cache_gateway import new_fleet
from test_serving import ABSENT, ADAPTER, END, STREAM, event, route
from test_serving import KEY as SERVED_KEY
from test_serving import Bench as ServingBench

MODEL = AdapterKey("m")
KEY = AdapterKey("m", "a")
POLL_INTERVAL_S = 0.01


class TestReplicaThatLackedWeights:
    @pytest.mark.parametrize("lacks_at_first", [False, True])
    def test_is_not_excluded_after_running_the_request(self, lacks_at_first):
        """The run was stopped there; naming a newer version must not exclude the replica."""

        async def scenario():
            world = RunWorld(engines=2)
            first, other = world.engines.values()
            world.leave(other)
            if lacks_at_first:
                # Its entry in the platform store still lists the adapter.
                first.holds.clear()
            client = world.ask("q1")
            await asyncio.sleep(0.67)
            assert len(events(client)[0]) > 3
            refused = ("s0", "run", 421) in world.ledger.asked
            assert refused is lacks_at_first
            world.enter(other)
            world.state.versions[RUN_KEY] = 2
            first.silence()
            await asyncio.sleep(5.0)
            assert not world.ledger.wrong
            assert events(client)[0] == list(range(1, EVENTS + 1))
            assert is_whole(client)

        run(scenario)

    def test_is_asked_for_the_version_named_by_the_planner(self):
        """The replica rejected version 2 as it held version 3 by then; the update with version 3
        arrives later."""

        async def scenario():
            held = (Holding(SERVED_KEY, 2),)
            bench = ServingBench(route(Repeat.RESUME, True, 2, "llm"), [[]], held, engine=True)
            bench.script_sends("s0", [ABSENT], [STREAM + event(1) + END])
            bench.state.versions[SERVED_KEY] = 2

            async def place(service, key, **asked):
                # Applies an answer as `Directory.place` does.
                bench.fleet.add_holding("s0", key, 3)
                return bench.state.replicas["s0"]

            bench.directory.place = place
            bench.client(4000, ADAPTER)
            await asyncio.sleep(0.5)
            asked = [
                int(part.split(b"\r\n")[0])
                for part in bench.received("s0").split(b"X-Gradelug-Expect-Version: ")[1:]
            ]
            assert asked == [2, 3]

        run(scenario)


class TestPlannerSlots:
    @pytest.mark.parametrize("is_renewed", [True, False])
    def test_adapters_are_removed_with_their_base_model(self, is_renewed):
        """The base model is replaced by a newer version, or evicted for another base model."""

        async def scenario():
            bench = PlannerBench(engines=1, spec=SPEC if is_renewed else TWO_MODELS)
            engine = bench.transport.engines["e0"]
            await asyncio.sleep(0.5)
            first = bench.ask("a")
            await asyncio.sleep(INITIAL_LOAD_TIME_S + 0.2)
            assert bench.collect()[first].replica == "e0"
            # The request on it has ended.
            bench.load("e0", 0)
            if is_renewed:
                bench.state.versions[MODEL] = 2
            else:
                bench.ask("b", model="n")
            await asyncio.sleep(0.3)
            assert not engine.can_run(KEY)
            again = bench.ask("a")
            until = bench.clock() + 3.5
            while again not in bench.collect() and bench.clock() < until:
                await asyncio.sleep(POLL_INTERVAL_S)
            answer = bench.answers.get(again)
            if is_renewed:
                assert answer.replica == "e0"
            assert answer is None or not answer.replica or engine.can_run(KEY)
            await bench.stop()

        run(scenario)

    @pytest.mark.parametrize("is_window_full", [False, True])
    def test_base_model_without_started_load_is_not_considered_loading(self, is_window_full):
        """The rate limit of the weight store blocks loads for half a second."""

        async def scenario():
            bench = PlannerBench(engines=2, spec=TWO_MODELS)
            await asyncio.sleep(0.5)
            window = bench.planner._maintenance._window
            while is_window_full and window.allows(bench.clock()):
                window.note(bench.clock())
            ticket = bench.ask("a", model="n")
            await asyncio.sleep(1.2)
            loads = [order.key for _, order in bench.transport.given if order.load]
            assert AdapterKey("n") in loads
            await asyncio.sleep(1.8)
            assert bench.collect()[ticket].replica
            await bench.stop()

        run(scenario)


class TestPlannerAnswer:
    def test_does_not_undo_a_later_update(self):
        """The adapter was evicted after the request was answered; both messages arrive together."""

        async def scenario():
            fleet = new_fleet()
            clock = asyncio.get_running_loop().time
            fleet._clock = clock
            where = PlannerAddress("p", "10.0.0.8:1", 1)
            directory = Directory("me", "10.0.0.9:1", fleet, clock, lambda service: where)
            wish = PlacementPriority(0, 1.0, False, clock() + 1.0, clock() + 1.0)
            placing = asyncio.create_task(
                directory.place("llm", KEY, wish=wish, excluded=(), only=None, absent="")
            )
            await asyncio.sleep(0.01)
            link = directory.link_to("llm")
            link._note_followed(where)
            link._handle_message(
                pb.FromPlanner(answers=[pb.Answer(ticket=1, replica="e0", version=1)], gateways=1)
            )
            link._handle_message(pb.FromPlanner(holdings=[pb.Holdings(replica="e0")], gateways=1))
            assert (await placing).name == "e0"
            assert "e0" not in {rep.name for rep in fleet.holders("llm", KEY)}
            await directory.close()

        run(scenario)
