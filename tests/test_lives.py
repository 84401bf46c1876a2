"""Replicas that start again under their name, and entries that other writers left."""

import asyncio
import json
from dataclasses import replace

import pytest
from engine_model import SLOTS, ModelEngine
from gradelug_coordination import KvEntry, Mirror
from gradelug_gateway.engines import UNACKNOWLEDGED_LOAD_TTL_S, Engine, Phase, Place
from gradelug_gateway.feed import Feed
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.holders import EngineIndex
from gradelug_gateway.model import AdapterKey, EngineReport, FleetState, Holding, Replica, ToldLoad
from gradelug_gateway.storenews import _decode, _essence
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

    def show(self, entries):
        self.entries = entries
        self._notify()


class Writers:
    """Entries under the keys of replicas, by replicas and by others."""

    def __init__(self):
        self.mirror = StubMirror()
        self.state = FleetState()
        self.feed = Feed(self.mirror, PlatformEntries(), self.state, lambda: 0.0)
        self.revision = 0

    def write(self, name, value):
        self.revision += 1
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        entry = KvEntry(f"servers/{name}", raw, self.revision)
        self.mirror.show({**self.mirror.entries, entry.key: entry})


def without(field):
    return {name: value for name, value in ENTRY.items() if name != field}


OTHERS = [
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


class TestEntriesOfOtherWriters:
    @pytest.mark.parametrize("value", [*OTHERS, without("born")], ids=range(len(OTHERS) + 1))
    def test_such_an_entry_names_no_replica_whatever_was_there_before(self, value):
        writers = Writers()
        writers.write("i-1", ENTRY)
        writers.write("i-2", {**ENTRY, "Address": "10.0.0.2:80"})
        writers.write("i-1", value)
        assert list(writers.state.replicas) == ["i-2"]
        writers.write("i-1", ENTRY)
        assert set(writers.state.replicas) == {"i-1", "i-2"}

    def test_a_service_that_is_not_known_harms_no_other(self):
        writers = Writers()
        writers.write("i-1", ENTRY)
        writers.write("i-2", {**ENTRY, "Backend": "nobody's"})
        fleet = Fleet(writers.state, "z", lambda: 0.0)
        assert [rep.name for rep in fleet.usable("llm")] == ["i-1"]

    def test_what_a_peer_saw_before_does_not_bring_the_replica_back(self):
        writers = Writers()
        writers.revision = 7
        writers.write("i-1", b"{")
        writers.feed.take_told("i-1", 7, Replica("i-1", "llm", "10.0.0.1:80", "z"))
        assert not writers.state.replicas

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-2", "i-3"]),
                st.one_of(
                    st.just(ENTRY),
                    st.sampled_from(OTHERS),
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
    def test_the_others_hold_whatever_is_written(self, writes):
        writers = Writers()
        good = set()
        for name, value in writes:
            writers.write(name, value)
            if value == ENTRY:
                good.add(name)
            elif value in OTHERS:
                good.discard(name)
            else:
                # Some of these can be read.
                good = (good - {name}) | ({name} & writers.state.replicas.keys())
            assert writers.state.replicas.keys() == good
            for rep in writers.state.replicas.values():
                assert isinstance(rep.born, int)
                assert rep.address.count(":") == 1

    @pytest.mark.parametrize("name", ["", "a b", "a\r\nX: y", "\u00e9", "x" * 201])
    def test_a_name_that_no_header_can_carry_names_no_replica(self, name):
        writers = Writers()
        writers.write(name, ENTRY)
        assert not writers.state.replicas


class TestAnotherLife:
    def test_an_instance_forgets_what_it_knew_of_the_earlier_one(self):
        state = FleetState()
        fleet = Fleet(state, "z", lambda: 0.0)
        state.replicas["i-1"] = Replica("i-1", "llm", "10.0.0.1:80", "z", born=1)
        assert fleet.note_lives() == []
        fleet.set_holdings("i-1", {A1: 1})
        fleet.health("i-1").note(True, 0.0)
        fleet.load("i-1").others = ToldLoad(3, 2, (900,))
        state.replicas["i-1"] = Replica("i-1", "llm", "10.0.0.1:80", "z", born=2)
        assert [rep.born for rep in fleet.note_lives()] == [2]
        assert fleet.holders("llm", A1) == []
        assert fleet.health("i-1").rate(0.0) == 0.0
        assert fleet.load("i-1").others == ToldLoad()
        assert fleet.note_lives() == []

    def test_it_goes_round_with_the_news_and_takes_no_holdings_along(self):
        state = FleetState()
        old = Replica("i-1", "llm", "10.0.0.1:80", "z", orders=9, born=1)
        state.replicas["i-1"] = old
        fact = pb.ReplicaFact(replica="i-1", service="llm", address="10.0.0.1:80", hall="z", born=2)
        told = _decode(fact, state)
        assert (told.born, told.orders) == (2, 0)
        assert _essence(told) != _essence(old)

    def test_one_that_went_back_in_time_is_another_one_too(self):
        engine = Engine(Replica("i-1", "llm", "10.0.0.1:80", "z", born=5), SPEC)
        assert not engine.update_replica(Replica("i-1", "llm", "10.0.0.1:80", "z", born=5))
        assert engine.update_replica(Replica("i-1", "llm", "10.0.0.1:80", "z", born=4))

    def test_a_report_may_tell_of_it_before_the_entry_does(self):
        old = Replica("i-1", "llm", "10.0.0.1:80", "z", born=5)
        engine = Engine(old, SPEC)
        assert engine.update_incarnation(6)
        fresh = Engine(Replica("i-1", "llm", "10.0.0.1:80", "z", born=6), SPEC)
        assert not fresh.update_incarnation(6)

    def test_no_order_of_the_earlier_one_is_given(self):
        async def scenario():
            bench = Bench(1)
            bench.state.replicas["e0"] = born("e0", 1)
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

    def test_a_planner_believes_the_report_before_the_entry(self):
        async def scenario():
            bench = Bench(1)
            bench.state.replicas["e0"] = born("e0", 1)
            await asyncio.sleep(1.0)
            engine = bench.planner.engines["e0"]
            engine.remember(Holding(A1, 1))
            report = bench.transport.report

            async def report_of_another_life(replica):
                return replace(await report(replica), born=2)

            bench.transport.report = report_of_another_life
            engine.synced = False
            await asyncio.sleep(1.0)
            fresh = bench.planner.engines["e0"]
            assert fresh is not engine
            assert not fresh.cached
            bench.state.replicas["e0"] = born("e0", 2)
            await asyncio.sleep(0.3)
            assert bench.planner.engines["e0"] is fresh
            await bench.stop()

        run(scenario)

    def test_a_place_is_kept_for_a_load_that_may_still_reach_it(self):
        engine = Engine(Replica("e0", "llm", "10.0.0.1:80", "z", born=1), SPEC)
        engine.note_unacknowledged_load(2, 10.0)
        fresh = Engine(engine.replica, SPEC, inherited_loads=engine.unacknowledged_loads(11.0))
        assert fresh.free_adapter_slots() == SLOTS - 1
        fresh.take_report(EngineReport(3, (), (), frozenset(), False), 12.0)
        # It has taken more orders than that one expects.
        assert fresh.free_adapter_slots() == SLOTS
        late = Engine(
            engine.replica,
            SPEC,
            inherited_loads=engine.unacknowledged_loads(10.0 + UNACKNOWLEDGED_LOAD_TTL_S),
        )
        assert late.free_adapter_slots() == SLOTS
        late.places[A1] = Place(1, Phase.READY, 0.0)
        assert late.free_adapter_slots() == SLOTS - 1

    def test_what_ends_late_of_the_earlier_one_hides_nothing_of_the_later_one(self):
        index = EngineIndex()
        rep = Replica("e0", "llm", "10.0.0.1:80", "z", born=1)
        old = Engine(rep, SPEC, index)
        old.places[A1] = Place(1, Phase.READY, 0.0)
        index.drop(old)
        old.is_replaced = True
        fresh = Engine(rep, SPEC, index, (), 2)
        fresh.places[A1] = Place(1, Phase.READY, 0.0)
        old.discard(A1, old.places[A1])
        assert index.with_key(A1) == {"e0": fresh}


def born(name, number):
    return Replica(name, "llm", f"{name}:1", "hall", born=number)


def restart(bench, name, number):
    """Start an engine again: it is empty, and orders on their way to it reach the new process."""
    old = bench.transport.engines[name]
    new = bench.transport.engines[name] = ModelEngine(bench.clock, bench.state.versions)
    new.held.clear()
    new.past.clear()
    new._keep()
    old.carry_out = new.carry_out
    bench.state.replicas[name] = born(name, number)


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
    def test_no_life_is_overfilled_and_what_is_asked_for_is_served(self, lost, late, seed, steps):
        async def scenario():
            bench = Bench(3, seed, lost, late)
            for name in bench.state.replicas:
                bench.state.replicas[name] = born(name, 1)
            lives = list(bench.transport.engines.values())
            await asyncio.sleep(0.5)
            for at, (number, pause_s, what) in enumerate(steps):
                await asyncio.sleep(pause_s)
                if what == "s":
                    restart(bench, f"e{number % 3}", 2 + at)
                    lives.append(bench.transport.engines[f"e{number % 3}"])
                else:
                    step(bench, number, what)
                assert not any(engine.fell for engine in lives)
            await asyncio.sleep(5.0)
            assert not any(engine.fell for engine in lives)
            bench.transport.lost = bench.transport.late = 0.0
            release_all(bench)
            await asyncio.sleep(6.0)
            last = bench.ask("z1", returning=True)
            await asyncio.sleep(3.5)
            name = bench.collect()[last].replica
            assert bench.transport.engines[name].can_run(AdapterKey("m", "z1"))
            await bench.stop()

        run(scenario)
