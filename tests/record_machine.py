"""State machine over a planner's records of engines that leave, return and restart.

Reports and orders are held up, and answered in any order, without an answer, or late. After each
step the index lists what the planner's engines hold, by identity, and nothing has raised.
"""

import asyncio
from dataclasses import replace

from engine_model import MODEL
from gradelug_gateway.model import AdapterKey, OrderOutcome
from gradelug_gateway.planning_errors import PlanningErrors
from gradelug_wire import placement_pb2 as pb
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from index_checks import ADAPTERS, MAX_VERSION, assert_index_matches
from test_incarnations import entry_with_start, restart
from test_planner import Bench
from world import new_loop

NAMES = tuple(f"e{number}" for number in range(4))
MAX_HELD = 24
"""Calls that are held at a time; of more, the oldest is answered."""
ANSWER_S = 0.002


class HoldingTransport:
    """Holds up the calls of some engines until they are answered.

    Parameters
    ----------
    transport : ModelTransport
        Transport that carries the calls out.
    """

    def __init__(self, transport):
        self._transport = transport
        self.holds = set()
        """Names of the engines whose calls are held up."""
        self.births = {}
        """Start times of the engines' processes, which their reports name."""
        self.held = []
        """Futures of the calls that are held up, oldest first."""

    def may_order(self, replica):
        return True

    async def order(self, replica, order):
        answered = await self._wait(replica)
        outcome = await self._transport.order(replica, order)
        return outcome if answered else OrderOutcome.LOST

    async def report(self, replica):
        report = await self._transport.report(replica)
        if report is not None:
            report = replace(report, born=self.births[replica.name])
        return report if await self._wait(replica) else None

    async def _wait(self, replica):
        if replica.name not in self.holds:
            return True
        fut = asyncio.get_running_loop().create_future()
        self.held.append(fut)
        if len(self.held) > MAX_HELD:
            self.answer(0, True)
        return await fut

    def answer(self, at, is_answered):
        """Let one held call go on; False to lose its answer."""
        fut = self.held.pop(at % len(self.held))
        if not fut.done():
            fut.set_result(is_answered)


class RecordMachine(RuleBasedStateMachine):
    """Engines come and go at random while work on them is held up."""

    def __init__(self):
        super().__init__()
        self.loop = new_loop()
        self.errors = []
        self.births = 1
        self.fence = 7
        self.run(self._start())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    def advance(self, seconds):
        self.run(asyncio.sleep(seconds))

    async def _start(self):
        self.bench = Bench(engines=0)
        self.planner = self.bench.planner
        self.transport = HoldingTransport(self.bench.transport)
        self.planner._transport = self.planner.loader._transport = self.transport
        self.planner._errors = PlanningErrors(self.errors.append)
        for name in NAMES[:3]:
            self._join(name)
        await asyncio.sleep(1.0)

    def _join(self, name):
        self.bench.add(name)
        self.bench.state.replicas[name] = entry_with_start(name, self._next_birth(name))

    def _next_birth(self, name):
        self.births += 1
        self.transport.births[name] = self.births
        return self.births

    def teardown(self):
        self.run(self.bench.stop())
        self.loop.close()

    # Engines.

    @rule(name=st.sampled_from(NAMES), is_empty=st.booleans())
    def engine_joins(self, name, is_empty):
        if name in self.bench.state.replicas:
            return
        self._join(name)
        if is_empty:
            engine = self.bench.transport.engines[name]
            engine.held.clear()
            engine._record_state()

    @rule(name=st.sampled_from(NAMES), is_announced=st.booleans())
    def engine_leaves(self, name, is_announced):
        replicas = self.bench.state.replicas
        if name not in replicas:
            return
        if is_announced and not replicas[name].leaving:
            replicas[name] = replace(replicas[name], leaving=True)
        else:
            del replicas[name]
            self.bench.transport.engines.pop(name, None)

    @rule(name=st.sampled_from(NAMES), is_shown=st.booleans())
    def engine_restarts(self, name, is_shown):
        before = self.bench.state.replicas.get(name)
        if before is None or before.leaving:
            return
        restart(self.bench, name, self._next_birth(name))
        if not is_shown:
            # Only its reports name the new process.
            self.bench.state.replicas[name] = before

    @rule(name=st.sampled_from(NAMES))
    def returns_at_once(self, name):
        """The planner sees the departure and the return one after the other."""
        if self.bench.state.replicas.pop(name, None) is None:
            return
        self.run(self._refresh())
        self._join(name)
        self.run(self._refresh())

    async def _refresh(self):
        self.planner.refresh()

    @rule(name=st.sampled_from(NAMES), is_requested=st.booleans(), is_renewed=st.booleans())
    def returns_while_its_calls_are_held(self, name, is_requested, is_renewed):
        """The new record is queried while calls of the earlier one have no answer yet."""
        self.transport.holds = {name}
        for adapter in ADAPTERS if is_requested else ():
            self.adapter_is_requested(adapter)
        self.advance(0.3)
        if is_renewed:
            self.version_is_named(ADAPTERS[0], True)
        self.advance(0.5)
        self.returns_at_once(name)
        self.transport.holds = set()
        self.advance(0.8)

    @rule()
    def held_calls_are_answered(self):
        while self.transport.held:
            self.call_is_answered(0, True)

    # Calls.

    @rule(names=st.sets(st.sampled_from(NAMES)))
    def calls_are_held(self, names):
        self.transport.holds = names

    @rule(at=st.integers(0, MAX_HELD), is_answered=st.booleans())
    def call_is_answered(self, at, is_answered):
        if self.transport.held:
            self.transport.answer(at, is_answered)
        self.advance(ANSWER_S)

    @rule(name=st.sampled_from(NAMES))
    def engine_is_queried(self, name):
        engine = self.planner.engines.get(name)
        if engine is not None:
            engine.synced = False
        self.advance(0.5)

    # Demand, versions and terms.

    @rule(adapter=st.sampled_from(ADAPTERS))
    def adapter_is_requested(self, adapter):
        async def ask():
            self.bench.ask(adapter, wait_s=2.0)

        self.run(ask())

    @rule(name=st.sampled_from(NAMES), adapter=st.sampled_from(ADAPTERS), active=st.integers(0, 1))
    def request_is_reported(self, name, adapter, active):
        use = pb.Use(replica=name, model="m", adapter=adapter, active=active, started=active)

        async def take():
            self.planner.take(self.bench.gateway, pb.FromGateway(uses=[use]))

        self.run(take())

    @rule(adapter=st.sampled_from(ADAPTERS), is_model=st.booleans())
    def version_is_named(self, adapter, is_model):
        versions = self.bench.state.versions
        key = MODEL if is_model else AdapterKey("m", adapter)
        versions[key] = min(MAX_VERSION, versions.get(key, 1) + 1)
        self.run(self._refresh())

    @rule(is_paused=st.booleans())
    def term_ends(self, is_paused):
        async def renew():
            self.planner.end_term()
            if is_paused:
                await asyncio.sleep(0.3)
            self.fence += 1
            self.planner.begin_term(self.fence)

        self.run(renew())

    @rule(seconds=st.floats(0.0, 1.5))
    def time_passes(self, seconds):
        self.advance(seconds)

    # What always holds.

    @invariant()
    def nothing_has_failed(self):
        assert not self.errors
        assert not self.bench.task.done(), self.bench.task
        assert getattr(self.planner, "failure", None) is None

    @invariant()
    def index_lists_what_the_engines_hold(self):
        assert_index_matches(self.planner)

    @invariant()
    def names_are_those_of_the_engines(self):
        assert len(self.planner.registry.cells) == len(self.planner.engines)
        assert all(name in self.planner.registry.cells for name in self.planner.engines)

    @invariant()
    def current_records_are_not_retired(self):
        assert not any(engine.is_retired for engine in self.planner.engines.values())
