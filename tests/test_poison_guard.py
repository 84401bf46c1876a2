"""The parts of a gateway that keep requests from replicas which they would end."""

import asyncio
import json
from pipes import Network, RawServer

import pytest
from gradelug_coordination import KvEntry, Mirror
from gradelug_gateway.end_detection import REMOVAL_REPORT_S, EndDetector
from gradelug_gateway.exceptions import Blocked, Refused
from gradelug_gateway.fingerprints import fingerprint
from gradelug_gateway.model import AdapterKey, FleetState, Replica, Request, Service, Snapshot
from gradelug_gateway.pending import merge_news
from gradelug_gateway.poison import (
    BLOCKED_RETRY_S,
    MAX_OBSERVATIONS,
    MAX_SERVED,
    SUSPECT_RETRY_S,
    BlockAuthority,
    PoisonFindings,
    PoisonGuard,
)
from gradelug_gateway.poison_desk import REPEAT_INTERVAL_S, PoisonDesk, PoisonReporter
from gradelug_gateway.poison_record import KEY, PoisonRecord
from gradelug_http import HttpPool, ServerLimits
from gradelug_policy.poison import BEGUN, GATHER_S, WAITING, EndLedger
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from run_world import run
from test_shared_health import SPEC

A, B = b"a" * 16, b"b" * 16


def request(**changes):
    told = {
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
    return Request(**{**told, **changes})


class TestFingerprint:
    @pytest.mark.parametrize(
        "changes", [{"id": "q2"}, {"arrived_at": 9.0}, {"wait_s": 1.0}, {"last_event": 3}]
    )
    def test_another_try_of_a_request_has_the_same(self, changes):
        assert fingerprint(request(**changes)) == fingerprint(request())

    def test_an_organisation_that_changes_its_keys_sends_the_same(self):
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
    def test_another_request_has_another(self, changes):
        assert fingerprint(request(**changes)) != fingerprint(request())


class TestGuard:
    def guard(self, judge=BlockAuthority.PLANNER):
        self.now, self.hurried = 0.0, 0
        return PoisonGuard(lambda: self.now, lambda: judge, self.hurry)

    def hurry(self):
        self.hurried += 1

    def test_what_the_planner_or_the_store_tells_is_blocked_and_nothing_else(self):
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
        assert (guard.blocked, guard.refused) == (2, 2)

    def test_while_a_planner_is_followed_it_alone_decides(self):
        guard = self.guard()
        for number in range(5):
            guard.note_end(f"e{number}", {A: BEGUN})
        guard.check(A)
        assert self.hurried == 5

    def test_a_suspect_is_held_while_nobody_can_tell_of_its_other_ends(self):
        guard = self.guard(BlockAuthority.UNKNOWN)
        guard.note_end("e1", {A: BEGUN})
        guard.check(A)
        guard.note_end("e2", {A: BEGUN})
        with pytest.raises(Refused) as caught:
            guard.check(A)
        assert caught.value.retry_after_s == SUSPECT_RETRY_S
        guard.planner_findings = PoisonFindings(frozenset(), frozenset({B}))
        with pytest.raises(Refused):
            guard.check(B)

    def test_where_there_is_no_planner_a_gateway_decides_by_what_it_saw(self):
        guard = self.guard(BlockAuthority.SELF)
        for number in range(3):
            guard.check(A)
            guard.note_end(f"e{number}", {A: BEGUN, B: WAITING})
        with pytest.raises(Blocked):
            guard.check(A)
        guard.check(B)

    def test_a_suspect_that_is_answered_is_cleared_and_everybody_is_told(self):
        guard = self.guard(BlockAuthority.UNKNOWN)
        guard.note_end("e1", {A: BEGUN})
        guard.note_end("e2", {A: BEGUN})
        guard.note_served(A)
        guard.check(A)
        assert not guard.observations
        assert [mark for _, mark in guard.cleared] == [A]
        guard.planner_findings = PoisonFindings(frozenset(), frozenset({B}))
        guard.note_served(B)
        assert [mark for _, mark in guard.cleared] == [A, B]

    def test_a_request_that_was_answered_here_before_is_never_suspected(self):
        guard = self.guard()
        guard.note_served(A)
        guard.note_end("e1", {A: BEGUN, B: BEGUN})
        assert [observation.fingerprint for observation in guard.observations] == [B]

    def test_what_is_kept_is_bounded(self):
        guard = self.guard()
        for number in range(2 * MAX_SERVED):
            guard.note_served(b"%d" % number)
            guard.note_end("e", {b"x%d" % number: WAITING})
        assert len(guard._served) == MAX_SERVED
        assert len(guard.observations) == MAX_OBSERVATIONS


class Ends:
    """A watch over one replica, and what it found."""

    def __init__(self, replies=None, leaving=False):
        self.found = []
        self.net = Network()
        self.state = FleetState()
        self.replica = Replica("e1", "llm", "10.0.1.1:80", "h", leaving, born=7)
        self.state.replicas["e1"] = self.replica
        clock = asyncio.get_running_loop().time
        pool = HttpPool(clock, self.net.dial)
        self.watch = EndDetector(pool, self.state, clock, lambda *told: self.found.append(told))
        if replies is not None:
            self.net.servers[self.replica.address] = lambda: RawServer(replies)

    async def never(self, address):
        await asyncio.sleep(100.0)


class TestEndWatch:
    def test_a_replica_that_refuses_connections_ended_with_all_that_was_there(self):
        async def scenario():
            ends = Ends()
            ends.watch.note_broken(ends.replica, A, BEGUN)
            ends.watch.note_broken(ends.replica, B, WAITING)
            await asyncio.sleep(0.1)
            assert ends.found == [("e1@7", {A: BEGUN, B: WAITING})]
            ends.watch.note_broken(ends.replica, b"late", WAITING)
            assert ends.found[1] == ("e1@7", {b"late": WAITING})
            assert ends.watch.ended == 1

        run(scenario)

    def test_connections_that_were_reset_at_a_replica_that_lives_say_nothing(self):
        async def scenario():
            ends = Ends(replies=[])
            for _ in range(3):
                ends.watch.note_broken(ends.replica, A, BEGUN)
                await asyncio.sleep(0.1)
            ends.watch.poll()
            assert ends.found == []
            assert ends.net.dialled == ["10.0.1.1:80"] * 3

        run(scenario)

    @pytest.mark.parametrize("is_announced", [True, False])
    def test_a_planned_end_is_no_requests_doing(self, is_announced):
        async def scenario():
            ends = Ends(leaving=is_announced)
            if not is_announced:
                del ends.state.replicas["e1"]
            ends.watch.note_broken(ends.replica, A, BEGUN)
            await asyncio.sleep(0.1)
            assert ends.found == []

        run(scenario)

    @pytest.mark.parametrize("is_reborn", [False, True])
    def test_of_one_that_cannot_be_reached_the_platform_tells(self, is_reborn):
        async def scenario():
            ends = Ends()
            ends.watch._pool._dial = ends.never
            ends.watch.note_broken(ends.replica, A, BEGUN)
            await asyncio.sleep(3.0)
            ends.watch.poll()
            assert ends.found == []
            del ends.state.replicas["e1"]
            if is_reborn:
                ends.state.replicas["e1"] = Replica("e1", "llm", "10.0.1.1:80", "h", born=8)
            ends.watch.poll()
            assert ends.found == [("e1@7", {A: BEGUN})]

        run(scenario)

    def test_what_is_not_told_in_time_is_forgotten(self):
        async def scenario():
            ends = Ends()
            ends.watch._pool._dial = ends.never
            ends.watch.note_broken(ends.replica, A, BEGUN)
            await asyncio.sleep(REMOVAL_REPORT_S + 0.1)
            ends.watch.poll()
            assert not ends.watch._checks
            assert ends.found == []

        run(scenario)

    def test_a_sending_that_is_refused_tells_as_well(self):
        async def scenario():
            ends = Ends()
            ends.watch._pool._dial = ends.never
            ends.watch.note_broken(ends.replica, A, BEGUN)
            ends.watch.note_refused(ends.replica)
            assert ends.found == [("e1@7", {A: BEGUN})]

        run(scenario)


def new_state():
    state = FleetState()
    services = {name: Service(name, 10, SPEC) for name in ("llm", "other")}
    state.snapshot = Snapshot(1, (), services, ServerLimits())
    return state


class Follower:
    instance = "g"


class TestDesk:
    def desk(self, service="llm"):
        self.kv = MemoryKv()
        self.mirror = Mirror(self.kv, "", None)
        return PoisonDesk(service, new_state(), PoisonRecord(self.kv, self.mirror, lambda: 0.0))

    def ended(self, number, *marks):
        end = pb.ReplicaEnd(life=f"e{number}")
        for mark in marks:
            end.suspects.add(mark=mark, weight=BEGUN)
        return pb.FromGateway(ended=[end])

    def test_ends_of_several_gateways_are_put_together_and_told_to_all(self):
        desk = self.desk()
        for number in range(3):
            desk.take(Follower, self.ended(number, A), 1.0)
            desk.take(Follower, self.ended(number, b"x%d" % number), 1.0)
        news = pb.FromPlanner()
        desk.fill(news, 1.0 + 2 * GATHER_S)
        assert list(news.poison.blocked) == [A]

    def test_what_is_known_is_repeated_for_those_who_have_come(self):
        desk = self.desk()
        for number in range(3):
            desk.take(Follower, self.ended(number, A), 1.0)
        desk.fill(pb.FromPlanner(), 2.0)
        for at, told in ((2.5, False), (2.1 + REPEAT_INTERVAL_S, True)):
            news = pb.FromPlanner()
            desk.fill(news, at)
            assert news.HasField("poison") is told

    def test_a_successor_counts_what_its_predecessor_had_found(self):
        desk = self.desk()
        suspects = {A.hex(): {"e1@0": BEGUN, "e2@0": BEGUN}}
        value = json.dumps({"blocked": {B.hex(): BEGUN}, "suspects": suspects}).encode()
        self.mirror.entries[KEY] = KvEntry(KEY, value, 5)
        desk.take(Follower, self.ended(3, A), 1.0)
        news = pb.FromPlanner()
        desk.fill(news, 1.0 + 2 * GATHER_S)
        assert set(news.poison.blocked) == {A, B}

    def test_suspects_are_told_and_cleared(self):
        desk = self.desk()
        for number in range(2):
            desk.take(Follower, self.ended(number, A), 1.0)
        news = pb.FromPlanner()
        desk.fill(news, 2.0)
        assert list(news.poison.suspects) == [A]
        desk.take(Follower, pb.FromGateway(cleared=[A]), 2.1)
        news = pb.FromPlanner()
        desk.fill(news, 2.2)
        assert news.HasField("poison")
        assert not news.poison.suspects

    def test_only_the_home_of_all_services_tells(self):
        news = pb.FromPlanner()
        self.desk("other").fill(news, 1.0)
        assert not news.HasField("poison")

    def test_news_that_wait_for_a_slow_reader_keep_what_was_told(self):
        old, new = pb.FromPlanner(), pb.FromPlanner()
        old.poison.blocked.append(A)
        assert list(merge_news(old, new).poison.blocked) == [A]
        new.poison.blocked.append(B)
        assert list(merge_news(old, new).poison.blocked) == [B]

    def test_a_gateway_tells_each_planner_everything_once(self):
        now = [10.0]
        guard = PoisonGuard(lambda: now[0], lambda: BlockAuthority.PLANNER)
        teller = PoisonReporter(guard, lambda: True, lambda: now[0])
        guard.note_end("e1", {A: BEGUN, B: WAITING})
        now[0] = 12.0
        for _ in range(2):
            teller.begin_stream()
            message = pb.FromGateway()
            teller.fill(message)
            (end,) = message.ended
            assert (end.life, end.age_ms) == ("e1", 2000)
            assert {suspect.mark: suspect.weight for suspect in end.suspects} == {
                A: BEGUN,
                B: WAITING,
            }
            message = pb.FromGateway()
            teller.fill(message)
            assert not message.ended
        guard.note_served(A)
        teller.fill(message)
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

    def test_what_was_written_is_read_by_others_and_restored_by_a_successor(self):
        async def scenario():
            kv = MemoryKv()
            (writer, _), (reader, mirror) = self.records(kv)
            ledger = EndLedger()
            ledger.block(A, BEGUN, 0.0)
            for number in range(2):
                ledger.note_end(f"e{number}", B, BEGUN, 0.0)
            task = asyncio.create_task(writer.run())
            writer.save(ledger)
            await asyncio.sleep(0.1)
            news = await self.read(reader, mirror, kv)
            assert news == PoisonFindings(frozenset({A}), frozenset({B}))
            assert not reader.poll()
            successor = EndLedger()
            reader.restore(successor, 1.0)
            # The same ends told again by gateways count once, and one more is enough.
            for number in range(3):
                successor.note_end(f"e{number}", B, BEGUN, 1.0)
            assert [found.mark for found in successor.judge(2.0)] == [B]
            task.cancel()

        run(scenario)

    def test_what_a_store_lost_that_came_back_from_a_copy_stays_and_is_written_again(self):
        async def scenario():
            kv = MemoryKv()
            (writer, mirror), (reader, other) = self.records(kv)
            copied = kv.copy()
            ledger = EndLedger()
            ledger.block(A, BEGUN, 0.0)
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

    def test_nothing_is_written_where_nothing_ends(self):
        async def scenario():
            kv = MemoryKv()
            ((writer, _),) = self.records(kv, 1)
            task = asyncio.create_task(writer.run())
            writer.save(EndLedger())
            await asyncio.sleep(0.1)
            assert KEY not in kv.entries()
            task.cancel()

        run(scenario)

    def test_a_write_whose_answer_was_lost_and_an_outage_are_survived(self):
        async def scenario():
            kv = MemoryKv()
            ((writer, _),) = self.records(kv, 1)
            ledger = EndLedger()
            ledger.block(A, BEGUN, 0.0)
            task = asyncio.create_task(writer.run())
            kv.faults.lose_answers = 1
            writer.save(ledger)
            await asyncio.sleep(2.0)
            assert A.hex() in json.loads(kv.entries()[KEY].value)["blocked"]
            kv.set_down(True)
            ledger.block(B, BEGUN, 0.0)
            writer.save(ledger)
            await asyncio.sleep(2.0)
            kv.set_down(False)
            await asyncio.sleep(2.0)
            assert set(json.loads(kv.entries()[KEY].value)["blocked"]) == {A.hex(), B.hex()}
            task.cancel()

        run(scenario)

    def test_a_successor_that_reads_late_keeps_what_its_predecessor_wrote(self):
        """Its ledger was empty when it began, and replaced the entry as soon as that showed."""

        async def scenario():
            kv = MemoryKv()
            (first, _), (second, mirror) = self.records(kv)
            tasks = [asyncio.create_task(record.run()) for record in (first, second)]
            known = EndLedger()
            known.block(A, BEGUN, 0.0)
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

    def test_two_planners_that_write_at_once_lose_nothing(self):
        async def scenario():
            kv = MemoryKv()
            records = self.records(kv)
            tasks = []
            for (record, _), mark in zip(records, (A, B), strict=True):
                ledger = EndLedger()
                ledger.block(mark, BEGUN, 0.0)
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
    def test_an_entry_of_another_writer_blocks_nothing(self, value):
        async def scenario():
            ((record, mirror),) = self.records(MemoryKv(), 1)
            mirror.entries[KEY] = KvEntry(KEY, value, 5)
            assert record.poll()
            assert record.findings == PoisonFindings(frozenset(), frozenset())

        run(scenario)
