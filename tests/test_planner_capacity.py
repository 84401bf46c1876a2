"""Tests of a planner that considers batch slots, memory and speed of single engines."""

import asyncio

import pytest
from engine_model import SLOTS
from gradelug_gateway.engine_speeds import SpeedAggregator
from gradelug_gateway.engines import Phase
from gradelug_gateway.model import AdapterKey, BaseModel, EngineSpec
from gradelug_policy.engine_capacity import MAX_REQUEST_HOLD_S, EngineEstimator
from gradelug_policy.prefill import PrefillSpeeds
from gradelug_wire import placement_pb2 as pb
from test_planner import Bench, run

BATCH = 4
MEMORY = 20_000
SPEC = EngineSpec((BaseModel("m", 500.0, 0.6, 14.0),), 1000.0, SLOTS, BATCH, MEMORY, 2.0)
ASK = {"prompt_tokens": 1_000, "answer_tokens": 100}


class RoomBench(Bench):
    """A planner that considers engine capacity, unless the feature is off."""

    def __init__(self, engines=2, is_on=True):
        super().__init__(
            engines, spec=SPEC, room=EngineEstimator(PrefillSpeeds()) if is_on else None
        )

    async def place(self, adapter):
        """Load an adapter; return the name of its engine."""
        await asyncio.sleep(0.5)
        ticket = self.ask(adapter, **ASK)
        await asyncio.sleep(0.6)
        return self.collect()[ticket].replica

    def report_load(self, replica, running, memory=0):
        load = pb.Load(replica=replica, running=running, memory_tokens=memory)
        self.planner.take(self.gateway, pb.FromGateway(loads=[load]))

    def report_all_loads(self, running):
        for name in self.planner.engines:
            self.report_load(name, running)

    def start_requests(self, adapter, replica, count):
        """Report that some requests have started."""
        use = pb.Use(replica=replica, model="m", adapter=adapter, active=1, started=count)
        self.planner.take(self.gateway, pb.FromGateway(uses=[use]))

    def holders(self, adapter):
        key = AdapterKey("m", adapter)
        return [name for name, engine in self.planner.engines.items() if engine.holds(key)]

    async def answered_replica(self, ticket, after_s):
        await asyncio.sleep(after_s)
        answer = self.collect().get(ticket)
        return answer.replica if answer is not None else None


class TestSlots:
    def test_request_is_held_until_a_run_ends(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_all_loads(BATCH)
            ticket = bench.ask("a", **ASK)
            assert await bench.answered_replica(ticket, 0.15) is None
            assert bench.planner.held_count() == 1
            bench.report_load(holder, BATCH - 1)
            assert await bench.answered_replica(ticket, 0.02) == holder
            assert bench.planner.held_count() == 0
            await bench.stop()

        run(scenario)

    def test_hold_is_bounded_and_causes_neither_refusal_nor_load(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_all_loads(BATCH)
            ticket = bench.ask("a", **ASK)
            assert await bench.answered_replica(ticket, MAX_REQUEST_HOLD_S + 0.15) == holder
            assert bench.holders("a") == [holder]
            await bench.stop()

        run(scenario)

    def test_resumed_stream_is_not_held(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_all_loads(BATCH)
            ticket = bench.ask("a", begun=True, **ASK)
            assert await bench.answered_replica(ticket, 0.02) == holder
            await bench.stop()

        run(scenario)

    def test_adapter_in_demand_is_copied_to_an_engine_with_free_slots(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_load(holder, BATCH + 1)
            bench.planner.popularity.note("m/a", bench.clock(), 40.0)
            ticket = bench.ask("a", **ASK)
            other = await bench.answered_replica(ticket, 0.45)
            assert other not in (None, holder)
            await bench.stop()

        run(scenario)

    def test_without_the_feature_requests_go_to_the_holder_at_once(self):
        async def scenario():
            bench = RoomBench(is_on=False)
            holder = await bench.place("a")
            bench.report_load(holder, BATCH + 3)
            bench.planner.popularity.note("m/a", bench.clock(), 40.0)
            ticket = bench.ask("a", **ASK)
            assert await bench.answered_replica(ticket, 0.02) == holder
            await asyncio.sleep(1.0)
            assert bench.holders("a") == [holder]
            assert not any(isinstance(part, SpeedAggregator) for part in bench.planner.parts)
            await bench.stop()

        run(scenario)

    def test_holder_with_a_free_slot_is_preferred(self):
        async def scenario():
            bench = RoomBench()
            first = await bench.place("a")
            second = await asyncio.wait_for(load_second_copy(bench, first), 2.0)
            bench.report_load(first, BATCH)
            bench.report_load(second, BATCH - 1)
            assert await bench.answered_replica(bench.ask("a", **ASK), 0.02) == second
            # The planner counts the request that it has just assigned.
            assert await bench.answered_replica(bench.ask("a", **ASK), 0.02) is None
            await bench.stop()

        run(scenario)


async def load_second_copy(bench, holder):
    """Load another copy of an adapter; return the name of its engine."""
    ticket = bench.ask("a", excluded=[holder], **ASK)
    while not (found := await bench.answered_replica(ticket, 0.05)):
        pass
    return found


class TestProactiveCopies:
    @pytest.mark.parametrize("is_on", [True, False])
    def test_copy_is_loaded_before_slots_run_out(self, is_on):
        async def scenario():
            bench = RoomBench(is_on=is_on)
            holder = await bench.place("a")
            bench.report_load(holder, 2)
            for _ in range(10):
                bench.start_requests("a", holder, 5)
                await asyncio.sleep(0.1)
            assert len(bench.holders("a")) == (2 if is_on else 1)
            await bench.stop()

        run(scenario)

    def test_requested_loads_precede_proactive_copies(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_load(holder, 2)
            bench.start_requests("a", holder, 40)
            planner, key = bench.planner, AdapterKey("m", "a")
            for is_waiting, copies in ((True, 1), (False, 2)):
                planner.has_pending_loads = is_waiting
                planner.copies.load_copies(bench.clock())
                assert (
                    sum(key in engine.weight_slots for engine in planner.engines.values()) == copies
                )
            await bench.stop()

        run(scenario)

    def test_requests_that_wait_for_loads_are_flagged(self):
        async def scenario():
            bench = RoomBench()
            await asyncio.sleep(0.5)
            assert not bench.planner.has_pending_loads
            for number in range(40):
                bench.ask(f"cold{number}", wait_s=9.0, **ASK)
            await asyncio.sleep(0.05)
            assert bench.planner.has_pending_loads
            await bench.stop()

        run(scenario)

    def test_adapter_with_little_demand_is_not_copied(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_load(holder, 2)
            bench.start_requests("a", holder, 1)
            await asyncio.sleep(1.0)
            assert bench.holders("a") == [holder]
            assert all(
                place.phase is not Phase.LOADING
                for engine in bench.planner.engines.values()
                for place in engine.weight_slots.values()
            )
            await bench.stop()

        run(scenario)


class TestMemory:
    def test_request_waits_for_memory_although_slots_are_free(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            for name in bench.planner.engines:
                bench.report_load(name, 2, MEMORY - 500)
            ticket = bench.ask("a", **ASK)
            assert await bench.answered_replica(ticket, 0.15) is None
            bench.report_load(holder, 1, MEMORY - 2_000)
            assert await bench.answered_replica(ticket, 0.02) == holder
            await bench.stop()

        run(scenario)

    def test_answered_load_includes_memory_of_the_assigned_request(self):
        async def scenario():
            bench = RoomBench()
            holder = await bench.place("a")
            bench.report_load(holder, 1, 3_000)
            ticket = bench.ask("a", **ASK)
            await asyncio.sleep(0.02)
            assert bench.collect()[ticket].load.memory_tokens == 3_000 + 1_100
            await bench.stop()

        run(scenario)


class TestSpeeds:
    def test_slow_engine_is_avoided_for_another_holder(self):
        async def scenario():
            bench = RoomBench(engines=4)
            first = await bench.place("a")
            second = await asyncio.wait_for(load_second_copy(bench, first), 2.0)
            bench.report_load(first, 0)
            bench.report_load(second, 1)
            assert await bench.answered_replica(bench.ask("a", **ASK), 0.02) == first
            bench.report_load(first, 0)
            for _ in range(5):
                speeds = [
                    pb.EngineSpeed(replica=name, step_ms=200 if name == first else 45, samples=10)
                    for name in bench.planner.engines
                ]
                bench.planner.take(bench.gateway, pb.FromGateway(speeds=speeds))
                await asyncio.sleep(0.15)
            assert await bench.answered_replica(bench.ask("a", **ASK), 0.02) == second
            await bench.stop()

        run(scenario)
