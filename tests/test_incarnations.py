"""Tests of replicas that restart under their name, and of invalid replica entries in the store."""

import asyncio
import json
from dataclasses import replace

import pytest
from engine_model import SLOTS, ModelEngine
from gradelug_coordination import KvEntry, Mirror
from gradelug_gateway.engine_index import EngineIndex
from gradelug_gateway.engines import Engine, Phase, WeightSlot
from gradelug_gateway.feed import Feed
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.model import (
    AdapterKey,
    EngineReport,
    FleetState,
    Holding,
    Replica,
    ReportedLoad,
)
from gradelug_gateway.store_updates import _decode, _published_fields
from gradelug_gateway.unacknowledged_loads import (
    UNACKNOWLEDGED_LOAD_TTL_S,
    UnacknowledgedLoads,
)
from gradelug_platform.entries import PlatformEntries
from gradelug_wire import placement_pb2 as pb
from hypothesis import given, settings
from hypothesis import strategies as st
from test_planner import SPEC, Bench, release_all, run, step

A1 = AdapterKey("m", "a1")
ENTRY = {
    "Backend": "llm",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdLeftMs": 0,
    "Seq": 4,
    "Models": [{"Name": "m", "Version": 1, "Adapters": ["a3@2"]}],
    "born": 1_764_720_000_000,
}


class StubMirror(Mirror):
    def __init__(self):
        super().__init__(None, "", None)

    def publish(self, entries):
        self.entries = entries
        self._notify()


class StoreWriters:
    """Writes valid and invalid entries under the keys of replicas."""

    def __init__(self):
        self.mirror = StubMirror()
        self.state = FleetState()
        self.feed = Feed(self.mirror, PlatformEntries(), self.state, lambda: 0.0)
        self.revision = 0

    def write(self, name, value):
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        entry = KvEntry(f"servers/{name}", raw, self.revision)
        self.mirror.publish({**self.mirror.entries, entry.key: entry})


def without(field):
    return {name: value for name, value in ENTRY.items() if name != field}


INVALID_ENTRIES = [
    b"",
    b"\xff\xfe",
    b"{",
    b"null",
    b"[]",
    b"[" * 100_000,
    {**ENTRY, "State": "resting"},
    {**ENTRY, "State": 1},
    {**ENTRY, "Address": "10.0.0.1"},
    {**ENTRY, "Address": "replica:80"},
    {**ENTRY, "Address": "10.0.0.1:99999"},
    {**ENTRY, "Address": ["10.0.0.1:80"]},
    {**ENTRY, "Slots": "8"},
    {**ENTRY, "Models": {"Name": "m"}},
    {**ENTRY, "Models": [{"Name": "m", "Adapters": [7]}]},
    {**ENTRY, "born": "yesterday"},
    {**ENTRY, "born": 1.5},
    {**ENTRY, "born": True},
    {**ENTRY, "born": -1},
    *(without(field) for field in ("Backend", "Address", "Zone", "Slots", "State")),
]


class TestInvalidEntries:
    @pytest.mark.parametrize(
        "value", [*INVALID_ENTRIES, without("born")], ids=range(len(INVALID_ENTRIES) + 1)
    )
    def test_invalid_entry_removes_the_replica(self, value):
        writers = StoreWriters()
        writers.write("i-1", ENTRY)
        writers.write("i-2", {**ENTRY, "Address": "10.0.0.2:80"})
        writers.write("i-1", value)
        assert list(writers.state.replicas) == ["i-2"]
        writers.write("i-1", ENTRY)
        assert set(writers.state.replicas) == {"i-1", "i-2"}

    def test_unknown_service_does_not_affect_others(self):
        writers = StoreWriters()
        writers.write("i-1", ENTRY)
        writers.write("i-2", {**ENTRY, "Backend": "nobody's"})
        fleet = Fleet(writers.state, "z", lambda: 0.0)
        assert [rep.name for rep in fleet.usable("llm")] == ["i-1"]

    def test_older_peer_update_does_not_restore_the_replica(self):
        writers = StoreWriters()
        writers.revision = 7
        writers.write("i-1", b"{")
        writers.feed.apply_remote_replica("i-1", 7, Replica("i-1", "llm", "10.0.0.1:80", "z"))
        assert not writers.state.replicas

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-2", "i-3"]),
                st.one_of(
                    st.just(ENTRY),
                    st.sampled_from(INVALID_ENTRIES),
                    st.binary(max_size=30),
                    st.fixed_dictionaries(
                        {},
                        optional={
                            name: st.one_of(
                                st.just(value),
                                st.none(),
                                st.integers(),
                                st.text(max_size=3),
                                st.lists(st.text(max_size=2), max_size=2),
                            )
                            for name, value in ENTRY.items()
                        },
                    ),
                ),
            ),
            max_size=12,
        )
    )
    def test_valid_entries_survive_any_other_writes(self, writes):
        writers = StoreWriters()
        readable = set()
        for name, value in writes:
            writers.write(name, value)
            if value == ENTRY:
                readable.add(name)
            elif value in INVALID_ENTRIES:
                readable.discard(name)
            else:
                # Some of the generated entries are valid.
                readable = (readable - {name}) | ({name} & writers.state.replicas.keys())
            assert writers.state.replicas.keys() == readable
            for rep in writers.state.replicas.values():
                assert isinstance(rep.born, int)
                assert rep.address.count(":") == 1

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nX: y", "\u00e9", "x" * 201])
    def test_name_that_is_invalid_in_a_header_is_rejected(self, name):
        writers = StoreWriters()
        writers.write(name, ENTRY)
        assert not writers.state.replicas


class TestIncarnations:
    def test_gateway_resets_state_of_a_restarted_replica(self):
        state = FleetState()
        fleet = Fleet(state, "z", lambda: 0.0)
        state.replicas["i-1"] = Replica("i-1", "llm", "10.0.0.1:80", "z", born=1)
        assert fleet.detect_restarts() == []
        fleet.set_holdings("i-1", {A1: 1})
        fleet.health("i-1").note(True, 0.0)
        fleet.load("i-1").others = ReportedLoad(3, 2, (900,))
        state.replicas["i-1"] = Replica("i-1", "llm", "10.0.0.1:80", "z", born=2)
        assert [rep.born for rep in fleet.detect_restarts()] == [2]
        assert fleet.holders("llm", A1) == []
        assert fleet.health("i-1").rate(0.0) == 0.0
        assert fleet.load("i-1").others == ReportedLoad()
        assert fleet.detect_restarts() == []

    def test_update_of_a_new_incarnation_carries_no_holdings(self):
        state = FleetState()
        old = Replica("i-1", "llm", "10.0.0.1:80", "z", orders=9, born=1)
        state.replicas["i-1"] = old
        fact = pb.ReplicaFact(replica="i-1", service="llm", address="10.0.0.1:80", hall="z", born=2)
        update = _decode(fact, state)
        assert (update.born, update.orders) == (2, 0)
        assert _published_fields(update) != _published_fields(old)

    def test_earlier_start_time_is_a_new_incarnation(self):
        engine = Engine(Replica("i-1", "llm", "10.0.0.1:80", "z", born=5), SPEC)
        assert not engine.update_replica(Replica("i-1", "llm", "10.0.0.1:80", "z", born=5))
        assert engine.update_replica(Replica("i-1", "llm", "10.0.0.1:80", "z", born=4))

    def test_report_may_precede_the_entry(self):
        old = Replica("i-1", "llm", "10.0.0.1:80", "z", born=5)
        engine = Engine(old, SPEC)
        assert engine.update_incarnation(6)
        replacement = Engine(Replica("i-1", "llm", "10.0.0.1:80", "z", born=6), SPEC)
        assert not replacement.update_incarnation(6)

    def test_orders_for_the_earlier_incarnation_are_not_sent(self):
        async def scenario():
            bench = Bench(1)
            bench.state.replicas["e0"] = entry_with_start("e0", 1)
            await asyncio.sleep(1.0)
            bench.ask("a2")
            await asyncio.sleep(1.0)
            engine = bench.planner.engines["e0"]
            assert engine.orders == 1
            async with engine.lock:
                bench.ask("a1")
                await asyncio.sleep(0.05)
                given_before = len(bench.transport.given)
                restart(bench, "e0", 2)
                bench.planner.refresh()
            await asyncio.sleep(4.0)
            assert bench.planner.engines["e0"] is not engine
            assert bench.transport.given[given_before][1].expected == 0
            assert bench.transport.engines["e0"].can_run(A1)
            await bench.stop()

        run(scenario)

    def test_planner_trusts_the_report_over_the_entry(self):
        async def scenario():
            bench = Bench(1)
            bench.state.replicas["e0"] = entry_with_start("e0", 1)
            await asyncio.sleep(1.0)
            engine = bench.planner.engines["e0"]
            engine.add_cached(Holding(A1, 1))
            report = bench.transport.report

            async def report_of_another_incarnation(replica):
                return replace(await report(replica), born=2)

            bench.transport.report = report_of_another_incarnation
            engine.synced = False
            await asyncio.sleep(1.0)
            replacement = bench.planner.engines["e0"]
            assert replacement is not engine
            assert not replacement.cached
            bench.state.replicas["e0"] = entry_with_start("e0", 2)
            await asyncio.sleep(0.3)
            assert bench.planner.engines["e0"] is replacement
            await bench.stop()

        run(scenario)

    def test_slot_is_reserved_for_an_unacknowledged_load(self):
        loads = UnacknowledgedLoads()
        rep = Replica("e0", "llm", "10.0.0.1:80", "z", born=1)
        engine = Engine(rep, SPEC, unacknowledged_loads=loads)
        loads.note(engine, 2, 10.0)
        assert engine.free_adapter_slots() == SLOTS
        loads.drop_expired(11.0)
        replacement = Engine(rep, SPEC, unacknowledged_loads=loads)
        assert replacement.free_adapter_slots() == SLOTS - 1
        replacement.apply_report(EngineReport(3, (), (), frozenset(), False), 12.0)
        # The engine has accepted more orders than the unacknowledged load expects.
        assert replacement.free_adapter_slots() == SLOTS
        loads.drop_expired(10.0 + UNACKNOWLEDGED_LOAD_TTL_S)
        late = Engine(rep, SPEC, unacknowledged_loads=loads)
        assert late.free_adapter_slots() == SLOTS
        late.weight_slots[A1] = WeightSlot(1, Phase.READY, 0.0)
        assert late.free_adapter_slots() == SLOTS - 1

    def test_late_cleanup_of_the_earlier_incarnation_keeps_the_new_one_indexed(self):
        index = EngineIndex()
        rep = Replica("e0", "llm", "10.0.0.1:80", "z", born=1)
        old = Engine(rep, SPEC, index)
        old.weight_slots[A1] = WeightSlot(1, Phase.READY, 0.0)
        old.retire()
        replacement = Engine(rep, SPEC, index, born=2)
        replacement.weight_slots[A1] = WeightSlot(1, Phase.READY, 0.0)
        old.discard(A1, old.weight_slots[A1])
        assert index.engines_holding(A1) == {"e0": replacement}


def entry_with_start(name, number):
    return Replica(name, "llm", f"{name}:1", "hall", born=number)


def restart(bench, name, number):
    """Start an engine again: it is empty, and orders on their way to it reach the new process."""
    old = bench.transport.engines[name]
    new = bench.transport.engines[name] = ModelEngine(bench.clock, bench.state.versions)
    new.held.clear()
    new.history.clear()
    new._record_state()
    old.carry_out = new.carry_out
    bench.state.replicas[name] = entry_with_start(name, number)


@pytest.mark.parametrize(("lost", "late"), [(0.0, 0.0), (0.0, 0.4), (0.2, 0.2)])
class TestRestartsUnderFaults:
    @settings(derandomize=True, max_examples=10, deadline=None)
    @given(
        seed=st.integers(0, 1000),
        steps=st.lists(
            st.tuples(st.integers(1, 12), st.floats(0.0, 0.4), st.sampled_from("aaauvs")),
            min_size=20,
            max_size=50,
        ),
    )
    def test_no_incarnation_is_overfilled_and_requests_are_served(self, lost, late, seed, steps):
        async def scenario():
            bench = Bench(3, seed, lost, late)
            for name in bench.state.replicas:
                bench.state.replicas[name] = entry_with_start(name, 1)
            incarnations = list(bench.transport.engines.values())
            await asyncio.sleep(0.5)
            for i, (number, pause_s, action) in enumerate(steps):
                await asyncio.sleep(pause_s)
                if action == "s":
                    restart(bench, f"e{number % 3}", 2 + i)
                    incarnations.append(bench.transport.engines[f"e{number % 3}"])
                else:
                    step(bench, number, action)
                assert not any(engine.is_overfilled for engine in incarnations)
            await asyncio.sleep(5.0)
            assert not any(engine.is_overfilled for engine in incarnations)
            bench.transport.lost = bench.transport.late = 0.0
            release_all(bench)
            await asyncio.sleep(6.0)
            last = bench.ask("z1", returning=True)
            await asyncio.sleep(3.5)
            name = bench.collect()[last].replica
            assert bench.transport.engines[name].can_run(AdapterKey("m", "z1"))
            await bench.stop()

        run(scenario)
