"""Tests that names of replicas that are gone are kept nowhere, as they never end."""

import asyncio

from gradelug_gateway.feed import MAX_REMOVED_KEYS
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.model import FleetState
from gradelug_gateway.unacknowledged_loads import UNACKNOWLEDGED_LOAD_TTL_S
from gradelug_policy.engine_capacity import EngineEstimator
from gradelug_policy.prefill import PrefillSpeeds
from gradelug_wire import placement_pb2 as pb
from object_graph import paths_to
from poison_world import PoisonWorld
from run_world import run
from test_incarnations import ENTRY, StoreWriters, entry_with_start
from test_planner import Bench


class TestPlanners:
    def test_no_name_of_a_departed_engine_is_kept(self):
        """Guards against memory that grows with each replica that was ever there."""

        async def scenario():
            bench = Bench(engines=4, room=EngineEstimator(PrefillSpeeds()))
            departed = set()
            for round_number in range(12):
                await asyncio.sleep(0.6)
                ticket = bench.ask(f"a{round_number}")
                await asyncio.sleep(0.6)
                name = bench.collect()[ticket].replica
                report_use(bench, name, f"a{round_number}")
                await asyncio.sleep(0.3)
                del bench.state.replicas[name]
                departed.add(name)
                bench.add(f"f{round_number}")
                await asyncio.sleep(0.2)
                # The gateway's last messages about the engine arrive after its departure.
                report_use(bench, name, f"a{round_number}")
                report_use(bench, name, f"a{round_number}", active=0)
            bench.state.change += 1
            await asyncio.sleep(UNACKNOWLEDGED_LOAD_TTL_S + 1.0)
            bench.gateway.take_messages()
            assert not departed & bench.state.replicas.keys()
            assert not paths_to(bench.planner, departed, (bench.transport,))
            await bench.stop()

        run(scenario)

    def test_load_of_a_returned_engine_is_sent_again(self):
        """Guards against gateways that know no load of an engine which returned as loaded as it
        left."""

        async def scenario():
            bench = Bench(engines=1)
            await asyncio.sleep(1.0)
            bench.load("e0", 3)
            await asyncio.sleep(1.0)
            assert [load.starting for load in sent_loads(bench)][-1] == 3
            del bench.state.replicas["e0"]
            bench.planner.refresh()
            bench.add("e0")
            bench.planner.refresh()
            bench.load("e0", 3)
            await asyncio.sleep(1.0)
            assert [load.starting for load in sent_loads(bench)] == [3]
            await bench.stop()

        run(scenario)

    def test_gateway_forgets_the_speed_of_a_departed_engine(self):
        """Guards against memory that grows with each slow engine that a planner ever reported."""
        state = FleetState()
        state.replicas["e1"] = entry_with_start("e1", 1)
        fleet = Fleet(state, "hall", lambda: 0.0, has_room=True)
        paces = fleet.engine_estimator.paces
        for name in ("e0", "e1"):
            paces.set_slowness(name, 4.0, 0.0)
            paces.note("llm", name, 0.1, 5.0, 0.0)
        fleet.forget_gone()
        assert not paths_to(paces, {"e0"})
        assert paces.slowness("llm", "e1", 0.0) == 4.0


class TestGateways:
    def test_no_name_of_a_departed_engine_is_kept(self):
        """Guards against memory that grows with each replica that failed a request."""

        async def scenario():
            async with PoisonWorld(gateways=2, engines=4) as world:
                until = world.clock() + 30.0
                requests = asyncio.create_task(world.send_harmless(0.1, until, streams=2))
                departed = set()
                for number in range(10):
                    await asyncio.sleep(2.0)
                    name = next(iter(world.engines))
                    world.engines.pop(name).end()
                    departed.add(name)
                    world.add_engine(f"10.0.2.{number}:80")
                await requests
                await asyncio.sleep(20.0)
                # Checks of ended replicas are dropped at the next change of the store.
                world.add_engine("10.0.3.1:80")
                await asyncio.sleep(2.0)
                for gateway in world.gateways:
                    daemon = gateway.daemon
                    skipped = (world, world.kv, world.net, daemon._feed)
                    assert not paths_to(daemon, departed, skipped)

        run(scenario)

    def test_revisions_of_removed_replicas_are_limited(self):
        """Guards against memory that grows with each replica that was ever removed."""
        writers = StoreWriters()
        for number in range(MAX_REMOVED_KEYS + 200):
            writers.write(f"i-{number}", ENTRY)
            if number >= 100:
                del writers.mirror.entries[f"servers/i-{number - 100}"]
        writers.mirror.publish(writers.mirror.entries)
        assert len(writers.state.replicas) == 100
        assert len(writers.feed._revisions) <= 100 + MAX_REMOVED_KEYS
        newest = f"i-{MAX_REMOVED_KEYS + 99}"
        assert newest not in writers.state.replicas
        assert writers.feed.revision(newest)
        assert all(writers.feed.revision(name) for name in writers.state.replicas)


def report_use(bench, name, adapter, active=1):
    """Report a request, its load, its pauses and its failure on an engine."""
    bench.planner.take(
        bench.gateway,
        pb.FromGateway(
            uses=[pb.Use(replica=name, model="m", adapter=adapter, active=active, started=1)],
            loads=[pb.Load(replica=name, starting=active, queued=[100 * active])],
            ends=[pb.Ends(replica=name, served=1, failed=3)],
            speeds=[pb.EngineSpeed(replica=name, step_ms=50.0, samples=8)],
        ),
    )


def sent_loads(bench):
    return [load for message in bench.gateway.take_messages() for load in message.loads]
