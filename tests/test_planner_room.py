"""The planner where the slots, the memory and the own speed of engines are reckoned with."""

import asyncio

import pytest
from engine_model import SLOTS
from gradelug_gateway.engine_speeds import SpeedDesk
from gradelug_gateway.engines import Phase
from gradelug_gateway.model import AdapterKey, BaseModel, EngineSpec
from gradelug_policy.engine_room import HOLD_S, EngineRoom
from gradelug_policy.reading import ReadingSpeeds
from gradelug_wire import placement_pb2 as pb
from test_planner import Bench, run

BATCH = 4
MEMORY = 20_000
SPEC = EngineSpec((BaseModel("m", 500.0, 0.6, 14.0),), 1000.0, SLOTS, BATCH, MEMORY, 2.0)
ASK = {"prompt_tokens": 1_000, "answer_tokens": 100}


class RoomBench(Bench):
    """A planner that reckons with room, unless it is switched off."""

    def __init__(self, engines=2, is_on=True):
        super().__init__(engines, spec=SPEC, room=EngineRoom(ReadingSpeeds()) if is_on else None)

    async def place(self, adapter):
        """Have an adapter brought; return where it is."""
        await asyncio.sleep(0.5)
        ticket = self.ask(adapter, **ASK)
        await asyncio.sleep(0.6)
        return self.collect()[ticket].replica

    def tell(self, replica, running, memory=0):
        load = pb.Load(replica=replica, running=running, memory_tokens=memory)
        self.planner.take(self.gateway, pb.FromGateway(loads=[load]))

    def tell_all(self, running):
        for name in self.planner.engines:
            self.tell(name, running)

    def start(self, adapter, replica, count):
        """Tell that some requests have begun."""
        use = pb.Use(replica=replica, model="m", adapter=adapter, active=1, started=count)
        self.planner.take(self.gateway, pb.FromGateway(uses=[use]))

    def holders(self, adapter):
        key = AdapterKey("m", adapter)
        return [name for name, engine in self.planner.engines.items() if engine.holds(key)]

    async def replica(self, ticket, after_s):
        await asyncio.sleep(after_s)
        answer = self.collect().get(ticket)
        return answer.replica if answer is not None else None


class TestSlots:
    def test_a_request_is_held_until_a_run_has_ended(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell_all(BATCH)
            ticket = bench.ask("a", **ASK)
            assert await bench.replica(ticket, 0.15) is None
            assert bench.planner.held() == 1
            bench.tell(home, BATCH - 1)
            assert await bench.replica(ticket, 0.02) == home
            assert bench.planner.held() == 0
            await bench.stop()

        run(scenario)

    def test_it_is_not_held_for_long_nor_refused_nor_loaded_at_any_price(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell_all(BATCH)
            ticket = bench.ask("a", **ASK)
            assert await bench.replica(ticket, HOLD_S + 0.15) == home
            assert bench.holders("a") == [home]
            await bench.stop()

        run(scenario)

    def test_a_stream_that_was_begun_is_not_held(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell_all(BATCH)
            ticket = bench.ask("a", begun=True, **ASK)
            assert await bench.replica(ticket, 0.02) == home
            await bench.stop()

        run(scenario)

    def test_a_much_used_adapter_gets_a_copy_where_slots_are_free(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell(home, BATCH + 1)
            bench.planner.popularity.note("m/a", bench.clock(), 40.0)
            ticket = bench.ask("a", **ASK)
            other = await bench.replica(ticket, 0.45)
            assert other not in (None, home)
            await bench.stop()

        run(scenario)

    def test_switched_off_it_goes_to_its_holder_at_once(self):
        async def scenario():
            bench = RoomBench(is_on=False)
            home = await bench.place("a")
            bench.tell(home, BATCH + 3)
            bench.planner.popularity.note("m/a", bench.clock(), 40.0)
            ticket = bench.ask("a", **ASK)
            assert await bench.replica(ticket, 0.02) == home
            await asyncio.sleep(1.0)
            assert bench.holders("a") == [home]
            assert not any(isinstance(part, SpeedDesk) for part in bench.planner.parts)
            await bench.stop()

        run(scenario)

    def test_of_two_holders_the_one_with_a_free_slot_is_taken(self):
        async def scenario():
            bench = RoomBench()
            first = await bench.place("a")
            second = await asyncio.wait_for(bench_copy(bench, first), 2.0)
            bench.tell(first, BATCH)
            bench.tell(second, BATCH - 1)
            assert await bench.replica(bench.ask("a", **ASK), 0.02) == second
            # The planner counts what it has just sent there.
            assert await bench.replica(bench.ask("a", **ASK), 0.02) is None
            await bench.stop()

        run(scenario)


async def bench_copy(bench, home):
    """Have another copy of an adapter brought."""
    ticket = bench.ask("a", excluded=[home], **ASK)
    while not (found := await bench.replica(ticket, 0.05)):
        pass
    return found


class TestCopiesAhead:
    @pytest.mark.parametrize("is_on", [True, False])
    def test_a_copy_is_brought_before_the_slots_are_used_up(self, is_on):
        async def scenario():
            bench = RoomBench(is_on=is_on)
            home = await bench.place("a")
            bench.tell(home, 2)
            for _ in range(10):
                bench.start("a", home, 5)
                await asyncio.sleep(0.1)
            assert len(bench.holders("a")) == (2 if is_on else 1)
            await bench.stop()

        run(scenario)

    def test_what_is_nowhere_yet_is_loaded_first(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell(home, 2)
            bench.start("a", home, 40)
            planner, key = bench.planner, AdapterKey("m", "a")
            for waits, copies in ((True, 1), (False, 2)):
                planner.has_queue = waits
                planner.copies.bring(bench.clock())
                assert sum(key in engine.places for engine in planner.engines.values()) == copies
            await bench.stop()

        run(scenario)

    def test_requests_that_wait_for_loads_are_noted(self):
        async def scenario():
            bench = RoomBench()
            await asyncio.sleep(0.5)
            assert not bench.planner.has_queue
            for number in range(40):
                bench.ask(f"cold{number}", wait_s=9.0, **ASK)
            await asyncio.sleep(0.05)
            assert bench.planner.has_queue
            await bench.stop()

        run(scenario)

    def test_a_rare_adapter_gets_none(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell(home, 2)
            bench.start("a", home, 1)
            await asyncio.sleep(1.0)
            assert bench.holders("a") == [home]
            assert all(
                place.phase is not Phase.LOADING
                for engine in bench.planner.engines.values()
                for place in engine.places.values()
            )
            await bench.stop()

        run(scenario)


class TestMemory:
    def test_what_would_not_fit_waits_although_slots_are_free(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            for name in bench.planner.engines:
                bench.tell(name, 2, MEMORY - 500)
            ticket = bench.ask("a", **ASK)
            assert await bench.replica(ticket, 0.15) is None
            bench.tell(home, 1, MEMORY - 2_000)
            assert await bench.replica(ticket, 0.02) == home
            await bench.stop()

        run(scenario)

    def test_memory_is_told_with_the_load_and_counts_the_booked_request(self):
        async def scenario():
            bench = RoomBench()
            home = await bench.place("a")
            bench.tell(home, 1, 3_000)
            ticket = bench.ask("a", **ASK)
            await asyncio.sleep(0.02)
            assert bench.collect()[ticket].load.memory_tokens == 3_000 + 1_100
            await bench.stop()

        run(scenario)


class TestSpeeds:
    def test_a_slow_engine_is_left_for_another_holder(self):
        async def scenario():
            bench = RoomBench(engines=4)
            first = await bench.place("a")
            second = await asyncio.wait_for(bench_copy(bench, first), 2.0)
            bench.tell(first, 0)
            bench.tell(second, 1)
            assert await bench.replica(bench.ask("a", **ASK), 0.02) == first
            bench.tell(first, 0)
            for _ in range(5):
                seen = [
                    pb.EngineSpeed(replica=name, step_ms=200 if name == first else 45, samples=10)
                    for name in bench.planner.engines
                ]
                bench.planner.take(bench.gateway, pb.FromGateway(speeds=seen))
                await asyncio.sleep(0.15)
            assert await bench.replica(bench.ask("a", **ASK), 0.02) == second
            await bench.stop()

        run(scenario)
