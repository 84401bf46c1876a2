"""Moves of runs between engines as they stand on the platform's wire."""

import asyncio
import json
from dataclasses import replace
from pipes import Network, RawServer

import pytest
from gradelug_coordination import KvEntry
from gradelug_gateway.model import Attempt, KvCopy, KvCopyKind, Replica, Request
from gradelug_gateway.run_moves import MoveOutcome
from gradelug_http import HttpPool, ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_platform.entries import PlatformEntries
from gradelug_platform.names import RESERVED_HEADERS
from gradelug_platform.runs import PlatformRuns
from gradelug_policy.abandoned_runs import EngineRunsReport
from gradelug_policy.run_versions import ReportedVersion
from hypothesis import given, settings
from hypothesis import strategies as st
from run_world import close
from world import new_loop

SOURCE = Replica("s0", "llm", "10.0.0.1:80", "hall")
TARGET = Replica("s1", "llm", "10.0.0.2:80", "hall")
REQUEST = Request("q1", "h", "/p", b"POST", b"/p", ((b"X-Own", b"1"),), b"body", 0.0)


def answer(status, body):
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


def call(script, work):
    """Return what a call gives, and what was sent."""
    loop = new_loop()

    async def scenario():
        net = Network()
        server = RawServer(script)
        net.servers[SOURCE.address] = lambda: server
        runs = PlatformRuns(HttpPool(asyncio.get_running_loop().time, net.dial))
        return await work(runs), bytes(server.received)

    try:
        return loop.run_until_complete(scenario())
    finally:
        close(loop)


def move(script, last=True):
    return call(script, lambda runs: runs.move(SOURCE, "q1", TARGET, last))


class TestMove:
    def test_it_names_the_run_the_target_and_whether_it_stops(self):
        body = b'{"handle":"h1","CreateRevision":12}'
        reply, sent = move([[answer(200, body)]])
        assert (reply.outcome, reply.handle, reply.events) == (MoveOutcome.COPIED, "h1", 12)
        assert sent.startswith(b"POST /gradelug/kv-move HTTP/1.1\r\n")
        assert b"X-Gradelug-Expect-Instance: s0\r\n" in sent
        told = json.loads(sent.partition(b"\r\n\r\n")[2])
        assert told == {"Id": "q1", "TargetVersion": "10.0.0.2:80", "Last": True}

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (404, MoveOutcome.NO_RUN),
            (409, MoveOutcome.BUSY),
            (421, MoveOutcome.NO_RUN),
            (503, MoveOutcome.NO_CAPACITY),
            (500, MoveOutcome.LOST),
        ],
    )
    def test_every_status_says_what_became_of_it(self, status, outcome):
        reply, _ = move([[answer(status, b"")]])
        assert reply.outcome is outcome
        assert not reply.handle

    def test_a_run_that_was_stopped_without_room_elsewhere_has_its_handle(self):
        reply, _ = move([[answer(503, b'{"handle":"h2","CreateRevision":3}')]])
        assert (reply.outcome, reply.handle) == (MoveOutcome.NO_CAPACITY, "h2")

    @pytest.mark.parametrize("script", [[["reset"]], [[]]])
    def test_silence_leaves_it_in_doubt(self, script):
        assert move(script)[0].outcome is MoveOutcome.LOST

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=60))
    def test_whatever_is_answered_gives_no_handle_that_is_none(self, raw):
        reply, _ = move([[answer(200, raw)]])
        assert reply.outcome is MoveOutcome.LOST or reply.handle.isascii()

    @pytest.mark.parametrize("handle", ["a\\r\\nX: 1", "a/b", "a b", ""])
    def test_a_handle_that_cannot_stand_in_a_header_is_none(self, handle):
        reply, _ = move([[answer(200, b'{"handle":"%b"}' % handle.encode())]])
        assert not reply.handle


class TestOtherCalls:
    def test_memory_is_given_up(self):
        _, sent = call([[answer(200, b"")]], lambda runs: runs.free(SOURCE, "h1"))
        assert sent.startswith(b"DELETE /gradelug/kv-handle/h1 HTTP/1.1\r\n")

    def test_memory_that_cannot_be_given_up_is_no_harm(self):
        call([["reset"]], lambda runs: runs.free(SOURCE, "h1"))

    @pytest.mark.parametrize(
        ("body", "left_s"),
        [
            (b'{"State":"draining","RemainingMs":1320}', 1.32),
            (b'{"State":"ready"}', None),
            (b'{"RemainingMs":"soon"}', None),
            (b"[]", None),
            (b"{", None),
        ],
    )
    def test_an_engine_tells_how_long_it_has(self, body, left_s):
        found, sent = call([[answer(200, body)]], lambda runs: runs.ends_in_s(SOURCE))
        assert found == left_s
        assert sent.startswith(b"GET /gradelug/report HTTP/1.1\r\n")

    @pytest.mark.parametrize(
        ("status", "body", "word"),
        [
            (
                200,
                b'{"Queued":1,"Active":2,"Runs":[["q1",80,3,5],["q2",9,0,5]]}',
                EngineRunsReport(1, 2, frozenset({"q1", "q2"})),
            ),
            (200, b'{"Queued":0,"Active":0,"Runs":[]}', EngineRunsReport(0, 0, frozenset())),
            (200, b'{"Queued":0,"Active":0}', None),
            (200, b'{"Active":0,"Runs":[]}', None),
            (200, b'{"Queued":-1,"Active":0,"Runs":[]}', None),
            (200, b'{"Queued":0,"Active":0,"Runs":[[7,1]]}', None),
            (200, b'{"Queued":0,"Active":0,"Runs":["q1"]}', None),
            (200, b"[]", None),
            (421, b'{"Queued":0,"Active":0,"Runs":[]}', None),
        ],
    )
    def test_an_engine_tells_of_what_it_has(self, status, body, word):
        """Whatever is not whole says nothing: a run is given up only on a whole answer."""
        found, _ = call([[answer(status, body)]], lambda runs: runs.word(SOURCE))
        assert found == word

    @pytest.mark.parametrize("script", [[["reset"]], [[]]])
    def test_an_engine_that_does_not_answer_tells_nothing(self, script):
        found, _ = call(script, lambda runs: runs.word(SOURCE))
        assert found is None


class TestRequests:
    ATTEMPT = Attempt(SOURCE, 1.0, 0, 0, 0)

    def headers(self, **more):
        return dict(PlatformDialect().outgoing(REQUEST, replace(self.ATTEMPT, **more)).headers)

    def test_a_copy_is_asked_for(self):
        assert self.headers(backup="10.0.0.2:80")[b"X-Gradelug-Kv-Backup"] == b"10.0.0.2:80"
        assert b"X-Gradelug-Kv-Backup" not in self.headers()

    @pytest.mark.parametrize("after", [0, 7])
    def test_a_run_goes_on_from_its_memory_after_its_last_event(self, after):
        copy = KvCopy(KvCopyKind.MOVED, SOURCE.address, "h1", TARGET)
        sent = self.headers(copy=copy, after_event=after)
        assert sent[b"Kv-From"] == b"10.0.0.1:80/h1"
        assert sent[b"Last-Event-Id"] == b"%d" % after

    def test_callers_cannot_ask_for_either(self):
        assert {b"kv-from", b"x-gradelug-kv-backup"} <= RESERVED_HEADERS


class TestConfiguration:
    def read(self, **engine):
        services = [{"Name": "llm", "Engine": {"Slots": 8, **engine}}]
        config = {"Version": 1, "Routes": [], "Services": services}
        entry = KvEntry("op/config", json.dumps(config).encode(), 1)
        return PlatformEntries().read(entry).services["llm"].engine

    def test_it_tells_whether_runs_can_be_moved_and_copied(self):
        spec = self.read(
            Moves=True, Backups=True, KvTokenBytes=131072, LinkMbps=5e5, Stride=2, handle_s=5.0
        )
        assert spec.moves
        assert spec.backups
        terms = spec.copy_terms
        assert (terms.token_bytes, terms.link_mbps, terms.event_tokens) == (131072, 5e5, 2)
        assert terms.kept_s == 5.0

    def test_where_it_does_not_say_so_they_cannot(self):
        spec = self.read()
        assert not spec.moves
        assert not spec.backups


def head(*values):
    headers = [(b"X-Gradelug-Weight-Versions", value) for value in values]
    return ResponseHead(200, tuple(headers))


class TestWeights:
    @pytest.mark.parametrize(
        ("values", "version"),
        [
            ((b"3",), 3),
            ((b" 3 ", b"3"), 3),
            ((), 0),
            ((b"3", b"4"), 0),
            ((b"new",), 0),
            ((b"0",), 0),
        ],
    )
    def test_an_answer_tells_the_version_of_the_base_model(self, values, version):
        assert PlatformDialect().weights(head(*values)).version == version

    def test_what_cannot_be_read_is_told(self):
        assert PlatformDialect().weights(head(b"new")).unreadable == "'new'"
        assert "3" in PlatformDialect().weights(head(b"3", b"4")).unreadable

    def test_the_first_line_of_an_event_tells_a_change(self):
        told = b"x-gradelug-weight-versions: 4\nid: 7\ndata: a\n\n"
        tell = PlatformDialect().event_weights
        assert tell(told).version == 4
        assert tell(b"id: 6\ndata: a\n\n" + told).version == 4
        assert tell(told + told.replace(b" 4", b" 2")).version == 2
        assert tell(told.replace(b" 4", b" x")).unreadable

    def test_an_event_that_only_contains_the_name_tells_nothing(self):
        tell = PlatformDialect().event_weights
        assert tell(b"id: 6\ndata: x-gradelug-weight-versions: 4\n\n") == ReportedVersion()
        assert tell(b"id: 6\ndata: a\nx-gradelug-weight-versions: 4\n\n") == ReportedVersion()
