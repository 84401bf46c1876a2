"""The components of a gateway that block requests which crash replicas."""

import asyncio
import json
from pipes import Network, RawServer

import pytest
from gradelug_coordination import KvEntry, Mirror
from gradelug_gateway.end_detection import REMOVAL_REPORT_S, EndDetector
from gradelug_gateway.exceptions import Blocked, Refused
from gradelug_gateway.fingerprints import fingerprint
from gradelug_gateway.model import AdapterKey, FleetState, Replica, Request, Service, Snapshot
from gradelug_gateway.pending import merge_updates
from gradelug_gateway.poison import (
    BLOCKED_RETRY_S,
    MAX_OBSERVATIONS,
    MAX_SERVED,
    SUSPECT_RETRY_S,
    BlockAuthority,
    PoisonFindings,
    PoisonGuard,
)
from gradelug_gateway.poison_desk import REPEAT_INTERVAL_S, PoisonAggregator, PoisonReporter
from gradelug_gateway.poison_record import KEY, PoisonRecord
from gradelug_http import HttpPool, ServerLimits
from gradelug_policy.poison import END_GATHER_S, QUEUED_WEIGHT, STARTED_WEIGHT, EndLedger
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from run_world import run
from test_shared_health import SPEC

A, B = b"a" * 16, b"b" * 16


def request(**changes):
    fields = {
        "id": "q1",
        "host": "h",
        "path": "/p",
        "method": b"POST",
        "target": b"/p",
        "headers": (),
        "body": b"body",
        "arrived_at": 0.0,
        "key": AdapterKey("m", "a1"),
    }
    return Request(**{**fields, **changes})


class TestFingerprint:
    @pytest.mark.parametrize(
        "changes", [{"id": "q2"}, {"arrived_at": 9.0}, {"wait_s": 1.0}, {"last_event": 3}]
    )
    def test_attempts_of_a_request_share_a_fingerprint(self, changes):
        assert fingerprint(request(**changes)) == fingerprint(request())

    def test_the_fingerprint_is_independent_of_the_key_of_an_organisation(self):
        keys = [request(credentials=(key,)) for key in (b"Bearer k1", b"Bearer k2")]
        assert len({fingerprint(req, "org") for req in keys}) == 1
        assert fingerprint(keys[0], "org") != fingerprint(keys[0], "other")
        assert fingerprint(keys[0], "org") != fingerprint(keys[0])

    @pytest.mark.parametrize(
        "changes",
        [
            {"body": b"bodies"},
            {"target": b"/p?x=1"},
            {"host": "other"},
            {"method": b"PUT"},
            {"key": AdapterKey("m", "a2")},
            {"credentials": (b"Bearer k",)},
            {"host": "", "target": b"h/p"},
        ],
    )
    def test_different_requests_have_different_fingerprints(self, changes):
        assert fingerprint(request(**changes)) != fingerprint(request())


class TestGuard:
    def guard(self, judge=BlockAuthority.PLANNER):
        self.now, self.flush_count = 0.0, 0
        return PoisonGuard(lambda: self.now, lambda: judge, self.hurry)

    def hurry(self):
        self.flush_count += 1

    def test_only_findings_of_the_planner_and_the_store_are_blocked(self):
        guard = self.guard()
        guard.check(A)
        guard.planner_findings = PoisonFindings(frozenset({A}), frozenset())
        with pytest.raises(Blocked) as caught:
            guard.check(A)
        assert caught.value.retry_after_s == BLOCKED_RETRY_S
        guard.check(B)
        guard.stored_findings = PoisonFindings(frozenset({B}), frozenset())
        with pytest.raises(Blocked):
            guard.check(B)
        assert (guard.blocked, guard.refused_count) == (2, 2)

    def test_a_connected_planner_alone_decides(self):
        guard = self.guard()
        for number in range(5):
            guard.note_end(f"e{number}", {A: STARTED_WEIGHT})
        guard.check(A)
        assert self.flush_count == 5

    def test_a_suspect_is_refused_while_the_planner_is_lost(self):
        guard = self.guard(BlockAuthority.UNKNOWN)
        guard.note_end("e1", {A: STARTED_WEIGHT})
        guard.check(A)
        guard.note_end("e2", {A: STARTED_WEIGHT})
        with pytest.raises(Refused) as caught:
            guard.check(A)
        assert caught.value.retry_after_s == SUSPECT_RETRY_S
        guard.planner_findings = PoisonFindings(frozenset(), frozenset({B}))
        with pytest.raises(Refused):
            guard.check(B)

    def test_without_a_planner_a_gateway_decides_by_its_own_observations(self):
        guard = self.guard(BlockAuthority.SELF)
        for number in range(3):
            guard.check(A)
            guard.note_end(f"e{number}", {A: STARTED_WEIGHT, B: QUEUED_WEIGHT})
        with pytest.raises(Blocked):
            guard.check(A)
        guard.check(B)

    def test_a_suspect_that_completes_is_cleared_and_reported(self):
        guard = self.guard(BlockAuthority.UNKNOWN)
        guard.note_end("e1", {A: STARTED_WEIGHT})
        guard.note_end("e2", {A: STARTED_WEIGHT})
        guard.note_served(A)
        guard.check(A)
        assert not guard.observations
        assert [mark for _, mark in guard.cleared] == [A]
        guard.planner_findings = PoisonFindings(frozenset(), frozenset({B}))
        guard.note_served(B)
        assert [mark for _, mark in guard.cleared] == [A, B]

    def test_a_request_that_completed_here_is_never_suspected(self):
        guard = self.guard()
        guard.note_served(A)
        guard.note_end("e1", {A: STARTED_WEIGHT, B: STARTED_WEIGHT})
        assert [observation.fingerprint for observation in guard.observations] == [B]

    def test_memory_is_bounded(self):
        guard = self.guard()
        for number in range(2 * MAX_SERVED):
            guard.note_served(b"%d" % number)
            guard.note_end("e", {b"x%d" % number: QUEUED_WEIGHT})
        assert len(guard._served) == MAX_SERVED
        assert len(guard.observations) == MAX_OBSERVATIONS


class Ends:
    """A detector with one replica, and the ends that it reported."""

    def __init__(self, replies=None, leaving=False):
        self.found = []
        self.net = Network()
        self.state = FleetState()
        self.replica = Replica("e1", "llm", "10.0.1.1:80", "h", leaving, born=7)
        self.state.replicas["e1"] = self.replica
        clock = asyncio.get_running_loop().time
        pool = HttpPool(clock, self.net.dial)
        self.detector = EndDetector(pool, self.state, clock, lambda *end: self.found.append(end))
        if replies is not None:
            self.net.servers[self.replica.address] = lambda: RawServer(replies)

    async def never(self, address):
        await asyncio.sleep(100.0)


class TestEndDetector:
    def test_a_replica_that_refuses_connections_ended_with_its_requests(self):
        async def scenario():
            ends = Ends()
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            ends.detector.note_broken(ends.replica, B, QUEUED_WEIGHT)
            await asyncio.sleep(0.1)
            assert ends.found == [("e1@7", {A: STARTED_WEIGHT, B: QUEUED_WEIGHT})]
            ends.detector.note_broken(ends.replica, b"late", QUEUED_WEIGHT)
            assert ends.found[1] == ("e1@7", {b"late": QUEUED_WEIGHT})
            assert ends.detector.ended == 1

        run(scenario)

    def test_reset_connections_of_a_live_replica_are_ignored(self):
        async def scenario():
            ends = Ends(replies=[])
            for _ in range(3):
                ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
                await asyncio.sleep(0.1)
            ends.detector.poll()
            assert ends.found == []
            assert ends.net.dialled == ["10.0.1.1:80"] * 3

        run(scenario)

    @pytest.mark.parametrize("is_announced", [True, False])
    def test_a_planned_end_is_not_attributed_to_requests(self, is_announced):
        async def scenario():
            ends = Ends(leaving=is_announced)
            if not is_announced:
                del ends.state.replicas["e1"]
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            await asyncio.sleep(0.1)
            assert ends.found == []

        run(scenario)

    @pytest.mark.parametrize("is_restarted", [False, True])
    def test_the_end_of_an_unreachable_replica_is_read_from_the_store(self, is_restarted):
        async def scenario():
            ends = Ends()
            ends.detector._pool.dial = ends.never
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            await asyncio.sleep(3.0)
            ends.detector.poll()
            assert ends.found == []
            del ends.state.replicas["e1"]
            if is_restarted:
                ends.state.replicas["e1"] = Replica("e1", "llm", "10.0.1.1:80", "h", born=8)
            ends.detector.poll()
            assert ends.found == [("e1@7", {A: STARTED_WEIGHT})]

        run(scenario)

    def test_a_check_without_a_removal_report_expires(self):
        async def scenario():
            ends = Ends()
            ends.detector._pool.dial = ends.never
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            await asyncio.sleep(REMOVAL_REPORT_S + 0.1)
            ends.detector.poll()
            assert not ends.detector._checks
            assert ends.found == []

        run(scenario)

    # All replicas refuse connections of an instance that lost its links to them.
    @pytest.mark.parametrize("has_links", [True, False])
    def test_a_refusal_reports_an_end_without_a_link_to_any_replica(self, has_links):
        async def scenario():
            ends = Ends()

            async def find_links(address):
                return has_links

            ends.detector._has_links = find_links
            ends.detector._pool.dial = ends.never
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            ends.detector.note_refused(ends.replica)
            await asyncio.sleep(0.1)
            assert ends.found == ([("e1@7", {A: STARTED_WEIGHT})] if has_links else [])

        run(scenario)

    def test_a_refused_connection_reports_an_end(self):
        async def scenario():
            ends = Ends()
            ends.detector._pool.dial = ends.never
            ends.detector.note_broken(ends.replica, A, STARTED_WEIGHT)
            ends.detector.note_refused(ends.replica)
            assert ends.found == [("e1@7", {A: STARTED_WEIGHT})]

        run(scenario)


def new_state():
    state = FleetState()
    services = {name: Service(name, 10, SPEC) for name in ("llm", "other")}
    state.snapshot = Snapshot(1, (), services, ServerLimits())
    return state


class Follower:
    instance = "g"


class TestAggregator:
    def aggregator(self, service="llm"):
        self.kv = MemoryKv()
        self.mirror = Mirror(self.kv, "", None)
        return PoisonAggregator(
            service, new_state(), PoisonRecord(self.kv, self.mirror, lambda: 0.0)
        )

    def ended(self, number, *marks):
        end = pb.ReplicaEnd(life=f"e{number}")
        for mark in marks:
            end.suspects.add(mark=mark, weight=STARTED_WEIGHT)
        return pb.FromGateway(ended=[end])

    def test_observations_of_gateways_are_aggregated(self):
        aggregator = self.aggregator()
        for number in range(3):
            aggregator.take(Follower, self.ended(number, A), 1.0)
            aggregator.take(Follower, self.ended(number, b"x%d" % number), 1.0)
        news = pb.FromPlanner()
        aggregator.fill(news, 1.0 + 2 * END_GATHER_S)
        assert list(news.poison.blocked) == [A]

    def test_findings_are_repeated_for_joining_gateways(self):
        aggregator = self.aggregator()
        for number in range(3):
            aggregator.take(Follower, self.ended(number, A), 1.0)
        aggregator.fill(pb.FromPlanner(), 2.0)
        for at, is_published in ((2.5, False), (2.1 + REPEAT_INTERVAL_S, True)):
            news = pb.FromPlanner()
            aggregator.fill(news, at)
            assert news.HasField("poison") is is_published

    def test_a_successor_restores_earlier_findings(self):
        aggregator = self.aggregator()
        suspects = {A.hex(): {"e1@0": STARTED_WEIGHT, "e2@0": STARTED_WEIGHT}}
        value = json.dumps({"blocked": {B.hex(): STARTED_WEIGHT}, "suspects": suspects}).encode()
        self.mirror.entries[KEY] = KvEntry(KEY, value, 5)
        aggregator.take(Follower, self.ended(3, A), 1.0)
        news = pb.FromPlanner()
        aggregator.fill(news, 1.0 + 2 * END_GATHER_S)
        assert set(news.poison.blocked) == {A, B}

    def test_suspects_are_published_and_cleared(self):
        aggregator = self.aggregator()
        for number in range(2):
            aggregator.take(Follower, self.ended(number, A), 1.0)
        news = pb.FromPlanner()
        aggregator.fill(news, 2.0)
        assert list(news.poison.suspects) == [A]
        aggregator.take(Follower, pb.FromGateway(cleared=[A]), 2.1)
        news = pb.FromPlanner()
        aggregator.fill(news, 2.2)
        assert news.HasField("poison")
        assert not news.poison.suspects

    def test_only_the_coordinating_planner_publishes(self):
        news = pb.FromPlanner()
        self.aggregator("other").fill(news, 1.0)
        assert not news.HasField("poison")

    def test_merged_updates_keep_the_newest_findings(self):
        old, new = pb.FromPlanner(), pb.FromPlanner()
        old.poison.blocked.append(A)
        assert list(merge_updates(old, new).poison.blocked) == [A]
        new.poison.blocked.append(B)
        assert list(merge_updates(old, new).poison.blocked) == [B]

    def test_observations_are_reported_once_to_each_planner(self):
        now = [10.0]
        guard = PoisonGuard(lambda: now[0], lambda: BlockAuthority.PLANNER)
        reporter = PoisonReporter(guard, lambda: True, lambda: now[0])
        guard.note_end("e1", {A: STARTED_WEIGHT, B: QUEUED_WEIGHT})
        now[0] = 12.0
        for _ in range(2):
            reporter.begin_stream()
            message = pb.FromGateway()
            reporter.fill(message)
            (end,) = message.ended
            assert (end.life, end.age_ms) == ("e1", 2000)
            assert {suspect.mark: suspect.weight for suspect in end.suspects} == {
                A: STARTED_WEIGHT,
                B: QUEUED_WEIGHT,
            }
            message = pb.FromGateway()
            reporter.fill(message)
            assert not message.ended
        guard.note_served(A)
        reporter.fill(message)
        assert list(message.cleared) == [A]


class TestRecord:
    def records(self, kv, count=2):
        clock = asyncio.get_running_loop().time
        mirrors = [Mirror(kv, "", None) for _ in range(count)]
        return [(PoisonRecord(kv, mirror, clock), mirror) for mirror in mirrors]

    async def read(self, record, mirror, kv):
        mirror.entries = kv.entries()
        record.poll()
        return record.findings

    def test_a_written_record_is_read_and_restored(self):
        async def scenario():
            kv = MemoryKv()
            (writer, _), (reader, mirror) = self.records(kv)
            ledger = EndLedger()
            ledger.block(A, STARTED_WEIGHT, 0.0)
            for number in range(2):
                ledger.note_end(f"e{number}", B, STARTED_WEIGHT, 0.0)
            task = asyncio.create_task(writer.run())
            writer.save(ledger)
            await asyncio.sleep(0.1)
            news = await self.read(reader, mirror, kv)
            assert news == PoisonFindings(frozenset({A}), frozenset({B}))
            assert not reader.poll()
            successor = EndLedger()
            reader.restore(successor, 1.0)
            # Repeated reports of an end count once, and one more end is enough.
            for number in range(3):
                successor.note_end(f"e{number}", B, STARTED_WEIGHT, 1.0)
            assert [found.fingerprint for found in successor.judge(2.0)] == [B]
            task.cancel()

        run(scenario)

    def test_findings_lost_by_a_restored_store_are_rewritten(self):
        async def scenario():
            kv = MemoryKv()
            (writer, mirror), (reader, other) = self.records(kv)
            copied = kv.copy()
            ledger = EndLedger()
            ledger.block(A, STARTED_WEIGHT, 0.0)
            task = asyncio.create_task(writer.run())
            writer.save(ledger)
            await asyncio.sleep(0.1)
            other.revision = mirror.revision = kv.revision
            await self.read(writer, mirror, kv)
            assert (await self.read(reader, other, kv)).blocked == {A}
            kv.go_back(copied)
            other.revision = mirror.revision = kv.revision
            assert (await self.read(reader, other, kv)).blocked == {A}
            assert (await self.read(writer, mirror, kv)).blocked == {A}
            await asyncio.sleep(0.1)
            assert KEY in kv.entries()
            assert (await self.read(reader, other, kv)).blocked == {A}
            assert reader.removal_count == 0
            task.cancel()

        run(scenario)

    def test_an_empty_ledger_is_not_written(self):
        async def scenario():
            kv = MemoryKv()
            ((writer, _),) = self.records(kv, 1)
            task = asyncio.create_task(writer.run())
            writer.save(EndLedger())
            await asyncio.sleep(0.1)
            assert KEY not in kv.entries()
            task.cancel()

        run(scenario)

    def test_writes_survive_a_lost_response_and_an_outage(self):
        async def scenario():
            kv = MemoryKv()
            ((writer, _),) = self.records(kv, 1)
            ledger = EndLedger()
            ledger.block(A, STARTED_WEIGHT, 0.0)
            task = asyncio.create_task(writer.run())
            kv.faults.lose_answers = 1
            writer.save(ledger)
            await asyncio.sleep(2.0)
            assert A.hex() in json.loads(kv.entries()[KEY].value)["blocked"]
            kv.set_down(True)
            ledger.block(B, STARTED_WEIGHT, 0.0)
            writer.save(ledger)
            await asyncio.sleep(2.0)
            kv.set_down(False)
            await asyncio.sleep(2.0)
            assert set(json.loads(kv.entries()[KEY].value)["blocked"]) == {A.hex(), B.hex()}
            task.cancel()

        run(scenario)

    def test_a_successor_that_reads_late_keeps_earlier_findings(self):
        """The empty ledger of a new planner replaced the entry when its mirror received it late."""

        async def scenario():
            kv = MemoryKv()
            (first, _), (second, mirror) = self.records(kv)
            tasks = [asyncio.create_task(record.run()) for record in (first, second)]
            known = EndLedger()
            known.block(A, STARTED_WEIGHT, 0.0)
            first.save(known)
            await asyncio.sleep(0.1)
            ledger = EndLedger()
            second.restore(ledger, 0.0)
            second.save(ledger)
            await asyncio.sleep(0.1)
            mirror.entries = kv.entries()
            second.save(ledger)
            await asyncio.sleep(0.1)
            assert set(json.loads(kv.entries()[KEY].value)["blocked"]) == {A.hex()}
            assert set(ledger.blocked) == {A}
            for task in tasks:
                task.cancel()

        run(scenario)

    def test_concurrent_writes_of_two_planners_are_merged(self):
        async def scenario():
            kv = MemoryKv()
            records = self.records(kv)
            tasks = []
            for (record, _), mark in zip(records, (A, B), strict=True):
                ledger = EndLedger()
                ledger.block(mark, STARTED_WEIGHT, 0.0)
                record.save(ledger)
                tasks.append(asyncio.create_task(record.run()))
            await asyncio.sleep(1.0)
            assert set(json.loads(kv.entries()[KEY].value)["blocked"]) == {A.hex(), B.hex()}
            for task in tasks:
                task.cancel()

        run(scenario)

    @pytest.mark.parametrize(
        "value", [b"\xff", b"[]", b"{}", b'{"blocked":{"zz":1},"suspects":{}}']
    )
    def test_a_malformed_entry_blocks_nothing(self, value):
        async def scenario():
            ((record, mirror),) = self.records(MemoryKv(), 1)
            mirror.entries[KEY] = KvEntry(KEY, value, 5)
            assert record.poll()
            assert record.findings == PoisonFindings(frozenset(), frozenset())

        run(scenario)
