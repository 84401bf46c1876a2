"""Tests of a gateway that considers batch slots, memory and speed of single engines."""

import asyncio

import logbook
import pytest
from gradelug_gateway.engine_speeds import PauseTally
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.model import FleetState, Repeat, Replica, ReportedLoad, Service, Snapshot
from gradelug_http import ServerLimits
from gradelug_policy.engine_capacity import EQUAL_URGENCY, EngineEstimator
from gradelug_policy.prefill import LATE_URGENCY, PrefillSpeeds, RequestWork
from gradelug_wire import placement_pb2 as pb
from test_planner_capacity import BATCH, MEMORY
from test_planner_capacity import SPEC as FEW_SLOTS
from test_serving import ADAPTER, END, HELD, SPEC, STREAM, Bench, event, route, run, status

WORK = RequestWork(1_000, 1, 200)
PROMPT = b"X-Gradelug-Token-Usage: %d,50\r\n"


def new_fleet(has_room=True, clock=lambda: 5.0):
    state = FleetState()
    state.snapshot = Snapshot(1, (), {"llm": Service("llm", 10, FEW_SLOTS)}, ServerLimits())
    for name in ("e0", "e1"):
        state.replicas[name] = Replica(name, "llm", f"{name}:1", "hall")
    return Fleet(state, "hall", clock, has_room=has_room)


def new_bench(scripts, has_room=True):
    bench = Bench(route(Repeat.RESUME, True, 2, "llm", 10.0), scripts, HELD, engine=True)
    if has_room:
        bench.fleet.engine_estimator = EngineEstimator(bench.fleet.speeds)
        bench.fleet.pauses["llm"] = PauseTally()
    return bench


class TestFleet:
    @pytest.mark.parametrize(("has_room", "chosen"), [(True, "e1"), (False, "e0")])
    def test_engine_with_a_free_slot_is_chosen_despite_longer_prefill(self, has_room, chosen):
        fleet = new_fleet(has_room)
        fleet.load("e0").others = ReportedLoad(0, BATCH + 2, ())
        fleet.load("e1").others = ReportedLoad(2, 0, (0, 2_000))
        found = fleet.choose(fleet.usable("llm"), work=WORK)
        assert found.name == chosen

    @pytest.mark.parametrize(
        "load", [ReportedLoad(0, BATCH), ReportedLoad(0, 1, (), MEMORY - 1_000)]
    )
    def test_full_engine_counts_as_late(self, load):
        for has_room in (True, False):
            fleet = new_fleet(has_room)
            replica = fleet.state.replicas["e0"]
            fleet.load("e0").others = load
            assert fleet.is_late(replica, WORK, 100.0) is has_room
            assert fleet.is_full(replica, WORK) is has_room

    def test_slow_engine_is_avoided(self):
        fleet = new_fleet()
        replicas = fleet.usable("llm")
        fleet.load("e1").others = ReportedLoad(2, 0, (0, 3_000))
        assert fleet.choose(replicas, work=WORK).name == "e0"
        fleet.engine_estimator.paces.set_slowness("e0", 5.0, 5.0)
        assert fleet.choose(replicas, work=WORK).name == "e1"

    @pytest.mark.parametrize(("news_s", "chosen"), [(0.05, {"e0"}), (0.5, {"e0", "e1"})])
    def test_equal_engines_alternate_while_updates_are_old(self, news_s, chosen):
        fleet = new_fleet()
        fleet.state_age_s = news_s
        replicas = fleet.usable("llm")
        assert {fleet.choose(replicas, work=WORK).name for _ in range(20)} == chosen

    def test_maximum_update_age_is_reported(self):
        async def scenario():
            fleet = new_fleet()
            link = PlannerLink("llm", "me", "", fleet, asyncio.get_running_loop().time)
            link._handle_message(pb.FromPlanner(gateways=85, news_ms=255))
            assert fleet.state_age_s == 0.255

        run(scenario)

    def test_urgency_is_equal_where_slots_are_the_bottleneck(self):
        assert new_fleet().with_equal_urgency("llm", WORK).urgency == EQUAL_URGENCY
        assert new_fleet(False).with_equal_urgency("llm", WORK) == WORK
        assert new_fleet().with_equal_urgency("plain", WORK) == WORK

    def test_planner_and_its_gateway_share_run_times_but_not_slowness(self):
        room = EngineEstimator(PrefillSpeeds())
        own = room.with_separate_slowness()
        own.note_run("llm", 9.0)
        own.paces.set_slowness("e0", 5.0, 1.0)
        assert room.hold_s("llm") == own.hold_s("llm")
        assert room.pace("llm", "e0", 1.0).hold_s < own.pace("llm", "e0", 1.0).hold_s


class TestLink:
    def test_memory_is_reported_and_own_requests_are_not_counted_twice(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            fleet = new_fleet(clock=clock)
            link = PlannerLink("llm", "me", "", fleet, clock)
            load = fleet.load("e0")
            load.running, load.memory = 2, 2_400
            (told,) = link._message(False).loads
            assert told.memory_tokens == 2_400
            total_load = pb.Load(replica="e0", running=5, memory_tokens=6_400)
            link._handle_message(pb.FromPlanner(loads=[total_load]))
            assert load.others.memory == 4_000
            assert load.busyness().memory_tokens == 6_400

        run(scenario)


class TestStreams:
    def test_prompt_beyond_engine_memory_is_refused(self):
        async def scenario():
            for tokens, has_room, sent in (
                (SPEC.kv_tokens, True, True),
                (SPEC.kv_tokens + 1, True, False),
                (SPEC.kv_tokens + 1, False, True),
            ):
                bench = new_bench([[[STREAM + event(1) + END]]], has_room)
                client = bench.client(8000, ADAPTER + PROMPT % tokens)
                await asyncio.sleep(0.05)
                assert bool(bench.received("s0")) is sent
                assert status(client) == (200 if sent else 503)

        run(scenario)

    def test_request_that_would_displace_a_run_gets_low_urgency(self):
        async def scenario():
            for running, urgency in ((3, 0), (SPEC.batch, LATE_URGENCY)):
                bench = new_bench([[[STREAM + event(1) + END]]])
                # Prefill is the bottleneck: 96 prompts of this length take 3.8 s.
                room = bench.fleet.engine_estimator
                for _ in range(200):
                    bench.fleet.speeds.note("llm", bench.fleet.load("x").busyness(), WORK, 1.0)
                bench.fleet.speeds._speeds["llm"].tokens_per_s = 20_000.0
                for _ in range(100):
                    room.note_run("llm", 1.0)
                bench.fleet.load("s0").others = ReportedLoad(0, running, ())
                bench.client(8000, ADAPTER + PROMPT % 400)
                await asyncio.sleep(0.05)
                header = b"X-Gradelug-Request-Priority: %d\r\n" % urgency
                assert header in bench.received("s0")

        run(scenario)

    def test_long_pauses_are_logged_and_pauses_are_reported(self):
        async def scenario():
            bench = new_bench([[[STREAM + event(1)]]])
            bench.client(8000, ADAPTER + PROMPT % 400)
            await asyncio.sleep(0.05)
            server = bench.servers["s0"][0].transport
            server.write(event(2) + event(3))
            await asyncio.sleep(0.6)
            server.write(event(4))
            await asyncio.sleep(0.1)
            server.write(event(5) + END)
            await asyncio.sleep(0.05)
            pause_s, events = bench.fleet.pauses["llm"].take()["s0"]
            assert events == 4
            assert pause_s == pytest.approx(0.05, abs=0.01)

        with logbook.TestHandler() as logs:
            run(scenario)
        (line,) = [record for record in logs.records if record.message == "long pause"]
        assert line.kwargs["pauses"] == 1
        assert line.kwargs["longest_s"] == pytest.approx(0.6, abs=0.01)

    def test_memory_and_slots_are_released_at_the_end(self):
        async def scenario():
            bench = new_bench([[[STREAM + event(1)]]])
            bench.client(8000, ADAPTER + PROMPT % 400)
            await asyncio.sleep(0.05)
            load = bench.fleet.load("s0")
            assert (load.running, load.memory) == (1, 450)
            bench.servers["s0"][0].transport.write(END)
            await asyncio.sleep(0.05)
            assert (load.running, load.memory) == (0, 0)

        run(scenario)
