"""Tests of work that outlives an engine's entry in the planner: late reports, orders and loads."""

import asyncio
from dataclasses import replace
from unittest import mock

import pytest
from engine_model import MODEL, SLOTS
from gradelug_gateway.model import AdapterKey, OrderOutcome
from index_checks import assert_index_matches
from run_world import run
from test_incarnations import entry_with_start
from test_planner import TWO_MODELS, Bench

A1 = AdapterKey("m", "a1")


class HeldCalls:
    """Holds up the answers of one engine until they are released.

    Parameters
    ----------
    transport : ModelTransport
        Transport whose calls are held up.
    method : str
        ``"report"`` or ``"order"``.
    name : str
        Name of the engine.
    """

    def __init__(self, transport, method, name):
        self.released = asyncio.Event()
        self.waiting = 0
        self.change = lambda answer: answer
        """Applied to the answers that were held up."""
        self._name = name
        self._call = getattr(transport, method)
        setattr(transport, method, self._held_call)

    async def _held_call(self, replica, *args):
        answer = await self._call(replica, *args)
        if replica.name == self._name and not self.released.is_set():
            self.waiting += 1
            await self.released.wait()
            return self.change(answer)
        return answer


async def hold_report(bench, name, born=0):
    """Query an engine whose report is held up; the report names a start time, if one is given."""
    reports = HeldCalls(bench.transport, "report", name)
    if born:
        reports.change = lambda report: replace(report, born=born)
    bench.planner.engines[name].synced = False
    await asyncio.sleep(0.5)
    assert reports.waiting == 1
    return reports


class TestDepartures:
    @pytest.mark.parametrize("key", [MODEL, A1], ids=["base-model", "adapter"])
    def test_report_of_a_departed_engine_is_not_indexed(self, key):
        """Guards against a planner that ends when weights are renewed which only the late report
        of a departed engine shows."""

        async def scenario():
            bench = Bench(engines=4)
            await asyncio.sleep(1.0)
            ticket = bench.ask("a1")
            await asyncio.sleep(0.6)
            name = bench.collect()[ticket].replica
            reports = await hold_report(bench, name)
            del bench.state.replicas[name]
            await asyncio.sleep(0.2)
            reports.released.set()
            await asyncio.sleep(0.2)
            assert_index_matches(bench.planner)
            bench.state.versions[key] = 2
            await asyncio.sleep(5.0)
            assert not bench.task.done()
            assert_index_matches(bench.planner)
            await bench.stop()

        run(scenario)

    def test_load_that_ends_after_a_departure_is_not_indexed(self):
        """Guards against choosing a departed engine because a late load order recorded the adapter
        in its host cache."""

        async def scenario():
            bench = Bench(engines=1)
            await asyncio.sleep(1.0)
            orders = HeldCalls(bench.transport, "order", "e0")
            bench.ask("a1")
            await asyncio.sleep(0.2)
            assert orders.waiting
            del bench.state.replicas["e0"]
            await asyncio.sleep(0.2)
            orders.released.set()
            await asyncio.sleep(2.0)
            assert_index_matches(bench.planner)
            await bench.stop()

        run(scenario)


class TestInterruptedLoads:
    def test_load_on_a_departed_engine_is_not_counted_as_a_success(self):
        """Guards against raising the limit of concurrent loads for loads that never completed."""

        async def scenario():
            bench = Bench(engines=1)
            await asyncio.sleep(1.0)
            pace = bench.planner.loader.pace
            bench.planner.loader.pace = mock.Mock(wraps=pace, load_s=pace.load_s)
            bench.planner.loader.pace.max_concurrent_loads = pace.max_concurrent_loads
            bench.ask("a1")
            await asyncio.sleep(0.1)
            assert bench.transport.given
            del bench.state.replicas["e0"]
            await asyncio.sleep(2.0)
            bench.planner.loader.pace.record_success.assert_not_called()
            await bench.stop()

        run(scenario)

    def test_base_model_of_a_departed_engine_uses_no_load_of_the_window(self):
        """Guards against delaying the base models of other engines for a load that was not sent."""

        async def scenario():
            bench = Bench(engines=1)
            await asyncio.sleep(1.0)
            maintenance = bench.planner._maintenance
            window = maintenance._window = mock.Mock(wraps=maintenance._window)
            engine = bench.planner.engines["e0"]
            async with engine.lock:
                engine.drop_model(MODEL)
                await asyncio.sleep(0.3)
                assert MODEL in engine.weight_slots
                del bench.state.replicas["e0"]
                await asyncio.sleep(0.3)
            await asyncio.sleep(1.0)
            window.note.assert_not_called()
            await bench.stop()

        run(scenario)

    def test_model_is_loaded_elsewhere_when_its_engine_leaves_during_the_load(self):
        """Guards against requests that wait out the expected time of a load on an engine that has
        left."""

        async def scenario():
            bench = Bench(engines=2, spec=TWO_MODELS)
            await asyncio.sleep(1.0)
            key = AdapterKey("n")
            bench.ask("a1", model="n", returning=True, wait_s=8.0)
            await asyncio.sleep(0.3)
            (name,) = bench.planner.index.engines_holding(key)
            del bench.state.replicas[name]
            await asyncio.sleep(0.5)
            (other,) = bench.planner.index.engines_holding(key)
            assert other != name
            await bench.stop()

        run(scenario)


class TestLateIncarnations:
    def test_late_report_does_not_bring_a_departed_engine_back(self):
        """Guards against requests placed on a departed engine whose last report named a restart."""

        async def scenario():
            bench = Bench(engines=2)
            bench.state.replicas["e0"] = entry_with_start("e0", 1)
            await asyncio.sleep(1.0)
            reports = await hold_report(bench, "e0", born=2)
            del bench.state.replicas["e0"]
            bench.planner.refresh()
            reports.released.set()
            await asyncio.sleep(0.01)
            assert list(bench.planner.engines) == ["e1"]
            await bench.stop()

        run(scenario)

    def test_late_report_does_not_displace_the_returned_engine(self):
        """Guards against replacing the record of a returned engine because of a report that was
        requested before it left."""

        async def scenario():
            bench = Bench(engines=2)
            bench.state.replicas["e0"] = entry_with_start("e0", 1)
            await asyncio.sleep(1.0)
            reports = await hold_report(bench, "e0", born=2)
            del bench.state.replicas["e0"]
            bench.planner.refresh()
            bench.state.replicas["e0"] = entry_with_start("e0", 3)
            bench.planner.refresh()
            returned = bench.planner.engines["e0"]
            reports.released.set()
            await asyncio.sleep(0.01)
            assert bench.planner.engines["e0"] is returned
            assert_index_matches(bench.planner)
            await bench.stop()

        run(scenario)

    def test_returned_engine_is_queried_while_its_earlier_query_is_unanswered(self):
        """Guards against an engine that gets no requests after its return until a query from before
        its departure has timed out."""

        async def scenario():
            bench = Bench(engines=2)
            await asyncio.sleep(1.0)
            reports = await hold_report(bench, "e0")
            del bench.state.replicas["e0"]
            bench.planner.refresh()
            bench.add("e0")
            bench.planner.refresh()
            await asyncio.sleep(0.1)
            assert reports.waiting == 2
            await bench.stop()

        run(scenario)


class LateOrders:
    """Leaves the load orders of one engine unanswered; they can be executed later.

    Parameters
    ----------
    bench : Bench
        The planner and its engines.
    name : str
        Name of the engine.
    """

    def __init__(self, bench, name):
        self.taken = []
        self._bench = bench
        self._name = name
        self._order = bench.transport.order
        bench.transport.order = self._leave_unanswered

    async def _leave_unanswered(self, replica, order):
        if replica.name != self._name or not order.load:
            return await self._order(replica, order)
        self.taken.append(order)
        await asyncio.sleep(0.12)
        return OrderOutcome.LOST

    def answer_again(self):
        self._bench.transport.order = self._order

    def execute_first(self):
        """Execute the first order at the process that has the engine's name now."""
        self._bench.transport.engines[self._name].carry_out(self.taken[0])


class TestLateLoads:
    @pytest.mark.parametrize("leaves_after_s", [0.2, 1.0], ids=["in-flight", "unanswered"])
    @pytest.mark.parametrize("how", ["return", "restart"])
    def test_slot_stays_free_for_a_load_ordered_from_an_earlier_process(self, how, leaves_after_s):
        """Guards against a crash of a returned engine: a load order from before its departure took
        effect when all its adapter slots were in use."""

        async def scenario():
            bench = Bench(engines=1)
            bench.state.replicas["e0"] = entry_with_start("e0", 1)
            engine = bench.transport.engines["e0"]
            engine.orders = SLOTS
            engine._record_state()
            await asyncio.sleep(1.0)
            late = LateOrders(bench, "e0")
            bench.ask("a1", wait_s=0.3)
            await asyncio.sleep(leaves_after_s)
            assert late.taken[0].expected == SLOTS
            if how == "return":
                del bench.state.replicas["e0"]
                bench.planner.refresh()
            bench.add("e0")
            bench.state.replicas["e0"] = entry_with_start("e0", 2)
            bench.planner.refresh()
            await asyncio.sleep(0.4)
            late.answer_again()
            for adapter in ("b1", "b2", "b3"):
                bench.ask(adapter, returning=True)
            await asyncio.sleep(3.0)
            late.execute_first()
            assert not bench.transport.engines["e0"].is_overfilled
            await bench.stop()

        run(scenario)
