"""Origins of streams: the ledger, its reports between instances, and its record in the store."""

import asyncio
from types import SimpleNamespace
from unittest import mock

import pytest
from gradelug_coordination import KvUnavailable
from gradelug_gateway.exceptions import Refused
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import FleetState, Repeat, Replica, Route, Service, Share, Snapshot
from gradelug_gateway.origin_desk import GATHER_S, OriginCollector
from gradelug_gateway.origin_record import PREFIX, WRITE_INTERVAL_S, OriginRecord
from gradelug_gateway.pending import merge_updates
from gradelug_gateway.stream_origins import StreamOrigins
from gradelug_http import ServerLimits
from gradelug_policy import stream_origins as policy
from gradelug_policy.stream_origins import (
    GENERATION_S,
    MARK_BYTES,
    MAX_LIFETIME_S,
    OriginLedger,
    SoftwareHistory,
    StreamOrigin,
    stream_mark,
)
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from hypothesis import given, settings
from hypothesis import strategies as st
from run_world import run

OLD, NEW = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")


class TestLedger:
    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([b"a", b"b", b"c"]),
                st.sampled_from([OLD, NEW]),
                st.floats(0, 2 * MAX_LIFETIME_S),
                st.floats(0, 20),
            ),
            max_size=30,
        )
    )
    def test_it_knows_the_newest_origin_for_the_lifetime_of_a_stream(self, notes):
        ledger, now, expected = OriginLedger(), 0.0, {}
        for mark, origin, lifetime_s, pause_s in notes:
            now += pause_s
            ledger.note(mark, origin, lifetime_s, now)
            expected[mark] = (origin, now + min(lifetime_s, MAX_LIFETIME_S))
            ledger.forget_expired(now)
            for known, (last, until) in expected.items():
                if now <= until:
                    assert ledger.find(known) == last
                if now > until + GENERATION_S:
                    assert ledger.find(known) is None

    def test_its_size_is_bounded_and_streams_that_end_first_are_dropped(self):
        ledger = OriginLedger()
        with mock.patch.object(policy, "MAX_ENTRIES", 10):
            for number in range(10):
                ledger.note(b"%d" % number, OLD, 5.0 if number < 4 else 50.0, 0.0)
            ledger.note(b"new", NEW, 50.0, 0.0)
        assert len(ledger) == 7
        assert ledger.find(b"0") is None
        assert ledger.find(b"new") == NEW

    def test_marks_differ_by_organisation(self):
        marks = {stream_mark(owner, name) for owner, name in [("", "ab"), ("a", "b"), ("b", "b")]}
        assert len(marks) == 3
        assert {len(mark) for mark in marks} == {MARK_BYTES}


class TestHistory:
    def test_a_version_counts_as_long_as_its_streams_may_go_on(self):
        history = SoftwareHistory(0.0)
        history.note("llm", "v1", 0.0)
        history.note("llm", "v2", 1.0)
        assert history.is_mixed("llm", MAX_LIFETIME_S)
        assert history.sole_version("llm", MAX_LIFETIME_S) is None
        assert history.sole_version("llm", MAX_LIFETIME_S + 0.5) == "v2"
        history.forget_expired(2 * MAX_LIFETIME_S)
        assert history.sole_version("llm", 2 * MAX_LIFETIME_S) is None

    def test_engines_without_a_version_are_a_version_of_their_own(self):
        history = SoftwareHistory(0.0)
        history.note("llm", "", 0.0)
        assert history.sole_version("llm", 0.0) == ""
        history.note("llm", "v1", 0.0)
        assert history.sole_version("llm", 0.0) is None


class StubMirror:
    """Shows the entries of a store at once."""

    def __init__(self, kv):
        self._kv = kv

    @property
    def entries(self):
        return self._kv.entries()


def new_record(kv):
    return OriginRecord(kv, StubMirror(kv), asyncio.get_running_loop().time)


class TestRecord:
    def test_streams_are_stored_until_their_callers_have_given_up(self):
        async def scenario():
            kv = MemoryKv()
            record, other = new_record(kv), new_record(kv)
            writing = asyncio.create_task(record.run())
            record.add(b"m" * 8, OLD)
            await asyncio.sleep(2 * WRITE_INTERVAL_S)
            assert other.find(b"m" * 8) == OLD
            assert other.origins() == {OLD}
            await asyncio.sleep(2 * MAX_LIFETIME_S)
            assert other.find(b"m" * 8) is None
            assert not kv.entries()
            writing.cancel()

        run(scenario)

    def test_the_newest_entry_of_a_stream_counts(self):
        async def scenario():
            kv = MemoryKv()
            record = new_record(kv)
            writing = asyncio.create_task(record.run())
            for origin in (OLD, NEW, OLD, NEW):
                record.add(b"m" * 8, origin)
                await asyncio.sleep(2 * WRITE_INTERVAL_S)
            assert new_record(kv).find(b"m" * 8) == NEW
            writing.cancel()

        run(scenario)

    def test_streams_are_written_after_an_outage_of_the_store(self):
        async def scenario():
            kv = MemoryKv()
            record = new_record(kv)
            writing = asyncio.create_task(record.run())
            kv.set_down(True)
            record.add(b"m" * 8, OLD)
            await asyncio.sleep(3.0)
            with pytest.raises(KvUnavailable):
                await kv.get(PREFIX)
            kv.set_down(False)
            await asyncio.sleep(2.0)
            assert record.find(b"m" * 8) == OLD
            writing.cancel()

        run(scenario)

    def test_two_planners_do_not_overwrite_each_other(self):
        async def scenario():
            kv = MemoryKv()
            records = [new_record(kv), new_record(kv)]
            writing = [asyncio.create_task(record.run()) for record in records]
            for number in range(5):
                for record, mark in zip(records, (b"a", b"b"), strict=True):
                    record.add(mark * 7 + b"%d" % number, OLD)
                await asyncio.sleep(2 * WRITE_INTERVAL_S)
            await asyncio.sleep(2.0)
            for mark in (b"a", b"b"):
                assert all(records[0].find(mark * 7 + b"%d" % number) == OLD for number in range(5))
            for task in writing:
                task.cancel()

        run(scenario)

    def test_a_malformed_entry_is_ignored(self):
        async def scenario():
            kv = MemoryKv()
            await kv.swap(f"{PREFIX}3", b"\xff\xff", 0)
            record = new_record(kv)
            assert record.find(b"m" * 8) is None
            assert record.origins() == set()

        run(scenario)


class StubLink:
    """A link whose messages reach a collector at once."""

    is_update_overdue = False
    flush_s = 0.04

    def __init__(self, collector=None):
        self.collector = collector
        self.origins = None
        self.answers = []
        self.instance = "g1"
        self.messages = []

    def queue_flush(self):
        self.flush_soon()

    def flush_soon(self):
        message = pb.FromGateway()
        self.origins.fill(message)
        self.messages.append(message)
        if self.collector is not None:
            now = asyncio.get_running_loop().time()
            self.collector.take(self, message, now)

    def queue_origin_answer(self, answer):
        message = pb.FromPlanner(origin_answers=[answer])
        asyncio.get_running_loop().call_soon(self.origins.take, message)


LLM_ONLY = (Share("llm", 1.0),)


def new_state(software=("v1", "v2"), shares=LLM_ONLY):
    state = FleetState()
    route = Route("r", "h", "/", shares, True, Repeat.RESUME, 20.0, 0.5, 0.3, 2, 0)
    services = {name: Service(name, 100) for name in ("llm", "other")}
    state.snapshot = Snapshot(1, (route,), services, ServerLimits())
    for number, version in enumerate(software):
        state.replicas[f"e{number}"] = Replica(
            f"e{number}", "llm", f"10.0.0.{number}:1", "z", software=version
        )
    return state


def new_origins(state, collector=None, link=True):
    """Return the origins of an instance whose planner is `collector`."""
    found = StubLink(collector) if link else None
    clock = asyncio.get_running_loop().time
    record = collector._record if collector is not None else new_record(MemoryKv())
    origins = StreamOrigins(state, record, lambda: found, GatewayMetrics(), clock)
    if found is not None:
        found.origins = origins
    origins.observe()
    return origins


def new_collector(now=None):
    clock = asyncio.get_running_loop().time
    history = SoftwareHistory(clock())
    for software in ("v1", "v2"):
        history.note("llm", software, clock())
    return OriginCollector(new_record(MemoryKv()), history, "g0", clock() if now is None else now)


def new_job(state, ident, last_event=0, resumes="", owner=""):
    now = asyncio.get_running_loop().time()
    principal = SimpleNamespace(organisation=SimpleNamespace(name=owner)) if owner else None
    return SimpleNamespace(
        owner=owner,
        principal=principal,
        req=SimpleNamespace(
            id=ident, wait_s=10.0, last_event=last_event, resumes=resumes, arrived_at=now
        ),
        route=state.snapshot.routes[0],
        service=state.snapshot.services["llm"],
        software=None,
        deadline_at=now + 10.0,
    )


class TestReports:
    def test_an_instance_learns_the_origin_of_another_ones_stream(self):
        async def scenario():
            state, collector = new_state(), new_collector()
            first, second = new_origins(state, collector), new_origins(state, collector)
            first.note_begun(new_job(state, "q1"), state.replicas["e1"])
            job = new_job(state, "q2", 3, "q1")
            await second.bind(job)
            assert job.software == "v2"

        run(scenario)

    def test_the_newest_stream_with_an_identifier_counts(self):
        async def scenario():
            state, collector = new_state(), new_collector()
            first, second = new_origins(state, collector), new_origins(state, collector)
            for name in ("e1", "e0"):
                first.note_begun(new_job(state, "q1"), state.replicas[name])
            job = new_job(state, "q2", 3, "q1")
            await second.bind(job)
            assert job.software == "v1"

        run(scenario)

    def test_a_new_planner_is_told_all_streams_again(self):
        async def scenario():
            state = new_state()
            first = new_origins(state, new_collector())
            first.note_begun(new_job(state, "q1"), state.replicas["e1"])
            successor = new_collector()
            first.restart()
            first._link().collector = successor
            first._link().flush_soon()
            second = new_origins(state, successor)
            job = new_job(state, "q2", 3, "q1")
            await second.bind(job)
            assert job.software == "v2"

        run(scenario)

    def test_streams_of_the_planners_instance_are_forwarded(self):
        async def scenario():
            state, collector = new_state(), new_collector()
            first, second = new_origins(state, collector), new_origins(state, link=False)
            first._link().instance = "g0"
            first.note_begun(new_job(state, "q1"), state.replicas["e1"])
            news = pb.FromPlanner()
            collector.fill(news, 0.0)
            second.take(merge_updates(news, pb.FromPlanner()))
            job = new_job(state, "q2", 3, "q1")
            await second.bind(job)
            assert job.software == "v2"

        run(scenario)

    def test_nothing_is_reported_while_one_version_serves(self):
        async def scenario():
            state, collector = new_state(("v1", "v1")), new_collector()
            origins = new_origins(state, collector)
            origins.note_begun(new_job(state, "q1"), state.replicas["e1"])
            origins._link().flush_soon()
            assert not any(message.streams for message in origins._link().messages)
            # A second version appears: streams that are under way are reported, too.
            state.replicas["e1"] = Replica("e1", "llm", "a", "z", software="v2")
            origins.observe()
            origins._link().flush_soon()
            assert any(message.streams for message in origins._link().messages)

        run(scenario)

    def test_streams_of_another_organisation_are_not_found(self):
        async def scenario():
            state, collector = new_state(), new_collector(-2 * GATHER_S)
            first, second = new_origins(state, collector), new_origins(state, collector)
            first.note_begun(new_job(state, "q1", owner="a"), state.replicas["e1"])
            with pytest.raises(Refused):
                await second.bind(new_job(state, "q2", 3, "q1", owner="b"))
            job = new_job(state, "q2", 3, "q1", owner="a")
            await second.bind(job)
            assert job.software == "v2"

        run(scenario)

    def test_an_unknown_stream_is_rejected_at_once_by_a_planner_that_knows_all(self):
        async def scenario():
            state, collector = new_state(), new_collector(-2 * GATHER_S)
            origins = new_origins(state, collector)
            clock = asyncio.get_running_loop().time
            began = clock()
            with pytest.raises(Refused) as raised:
                await origins.bind(new_job(state, "q2", 3, "q1"))
            assert raised.value.retry_after_s > 0
            assert clock() - began < 0.5

        run(scenario)

    def test_a_stream_stays_with_its_service_on_a_split_route(self):
        async def scenario():
            shares = (Share("other", 0.5), Share("llm", 0.5))
            state, collector = new_state(("v1",), shares), new_collector()
            first, second = new_origins(state, collector), new_origins(state, collector)
            first.note_begun(new_job(state, "q1"), state.replicas["e0"])
            job = new_job(state, "q2", 3, "q1")
            job.service = state.snapshot.services["other"]
            await second.bind(job)
            assert job.service.name == "llm"

        run(scenario)

    @pytest.mark.parametrize("removed", ["llm", "other"])
    def test_a_stream_moves_to_another_service_when_one_is_removed_during_the_search(self, removed):
        async def scenario():
            shares = (Share("other", 0.5), Share("llm", 0.5))
            state = new_state(("v1", "v2"), shares)
            origins = new_origins(state, link=False)
            job = new_job(state, "q2", 3, "q1")
            job.service = state.snapshot.services["other"]
            services = dict(state.snapshot.services)
            begun = new_job(state, "q1")
            search = asyncio.create_task(origins.bind(job))
            await asyncio.sleep(0.05)
            assert not search.done()
            kept = {name: service for name, service in services.items() if name != removed}
            state.snapshot = Snapshot(2, (), kept, ServerLimits())
            origins.note_begun(begun, state.replicas["e0"])
            await search
            assert job.service is services["llm"]

        run(scenario)

    def test_a_stream_moves_to_another_service_when_its_own_was_removed_before(self):
        async def scenario():
            shares = (Share("other", 0.5), Share("llm", 0.5))
            state, collector = new_state(("v1",), shares), new_collector()
            origins = new_origins(state, collector)
            origins.note_begun(new_job(state, "q1"), state.replicas["e0"])
            job = new_job(state, "q2", 3, "q1")
            job.service = state.snapshot.services["other"]
            del state.snapshot.services["llm"]
            with pytest.raises(Refused, match="'llm', which began the stream, was removed"):
                await origins.bind(job)
            assert job.service.name == "other"

        run(scenario)

    @pytest.mark.parametrize(
        "shares", [(Share("other", 1.0),), (Share("llm", 0.0), Share("other", 1.0))]
    )
    def test_a_stream_is_rejected_if_its_route_has_left_its_service(self, shares):
        async def scenario():
            state, collector = new_state(), new_collector()
            origins = new_origins(state, collector)
            origins.note_begun(new_job(state, "q1"), state.replicas["e1"])
            moved = new_state(shares=shares)
            job = new_job(moved, "q2", 3, "q1")
            with pytest.raises(Refused, match="llm"):
                await origins.bind(job)

        run(scenario)

    def test_without_any_planner_one_version_is_no_guess_and_two_are(self):
        async def scenario():
            state = new_state(("v1",))
            job = new_job(state, "q2", 3, "q1")
            await new_origins(state, link=False).bind(job)
            assert job.software == "v1"
            state = new_state()
            with pytest.raises(Refused):
                await new_origins(state, link=False).bind(new_job(state, "q2", 3, "q1"))

        run(scenario)
