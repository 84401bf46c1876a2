"""Tests of the rolling update of a base model: runs end first, and other engines stay available."""

import asyncio

import pytest
from engine_model import MODEL
from gradelug_gateway.model import AdapterKey
from run_world import run
from test_planner import Bench

KEY = AdapterKey("m", "a1")


def unloads(bench):
    return [name for name, order in bench.transport.given if not order.load and order.key == MODEL]


async def load_adapter(bench, adapter="a1"):
    """Load an adapter; return the name of the engine that holds it."""
    ticket = bench.ask(adapter)
    await asyncio.sleep(0.6)
    return bench.collect()[ticket].replica


class TestRenewal:
    def test_unload_waits_for_runs_of_its_adapters(self):
        """An engine that is ordered to unload rejects all requests until its runs end."""

        async def scenario():
            bench = Bench(engines=1)
            await asyncio.sleep(0.5)
            name = await load_adapter(bench)
            bench.use(name, "a1", 1)
            bench.state.versions[MODEL] = 2
            await asyncio.sleep(1.0)
            assert not unloads(bench)
            bench.use(name, "a1", 0)
            await asyncio.sleep(2.0)
            assert unloads(bench) == [name]
            assert bench.transport.engines[name].held[MODEL] == 2
            await bench.stop()

        run(scenario)

    def test_engine_waiting_for_renewal_gets_no_new_requests(self):
        async def scenario():
            bench = Bench(engines=2)
            await asyncio.sleep(0.5)
            name = await load_adapter(bench)
            bench.use(name, "a1", 1)
            bench.state.versions[MODEL] = 2
            # The other engine is renewed first.
            await asyncio.sleep(3.0)
            ticket = bench.ask("a1", returning=True)
            await asyncio.sleep(1.5)
            assert bench.collect()[ticket].replica != name
            assert not unloads(bench).count(name)
            await bench.stop()

        run(scenario)

    @pytest.mark.parametrize("engines", [2, 5])
    def test_half_of_the_engines_stay_available(self, engines):
        async def scenario():
            bench = Bench(engines=engines)
            await asyncio.sleep(0.5)
            bench.state.versions[MODEL] = 2
            for _ in range(200):
                await asyncio.sleep(0.05)
                ready = [
                    engine for engine in bench.transport.engines.values() if engine.can_run(MODEL)
                ]
                assert len(ready) >= engines / 2
            assert all(engine.held[MODEL] == 2 for engine in bench.transport.engines.values())
            await bench.stop()

        run(scenario)

    def test_long_runs_do_not_delay_renewal_elsewhere(self):
        """A new version has to be in use within some seconds."""

        async def scenario():
            bench = Bench(engines=2)
            await asyncio.sleep(0.5)
            name = await load_adapter(bench)
            bench.use(name, "a1", 1)
            bench.state.versions[MODEL] = 2
            await asyncio.sleep(4.5)
            (other,) = [
                engine
                for engine_name, engine in bench.transport.engines.items()
                if engine_name != name
            ]
            assert other.held[MODEL] == 2
            assert not bench.planner.engines[name].holds(KEY)
            await bench.stop()

        run(scenario)
