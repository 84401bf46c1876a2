"""Tests of the platform adapter: entries, HTTP messages, orders and the settings file."""

import asyncio
import json
import math
from pipes import Network, RawServer

import pytest
from gradelug_config.exceptions import InvalidConfig
from gradelug_coordination import KvEntry, Mirror
from gradelug_gateway.feed import EXPIRED_ENTRY_GRACE_S, Feed, MalformedEntry, NewestVersion
from gradelug_gateway.model import (
    AdapterKey,
    EngineReport,
    FleetState,
    Holding,
    Order,
    OrderOutcome,
    Repeat,
    Replica,
    Snapshot,
    Verdict,
)
from gradelug_http import HttpPool, ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_platform.entries import PlatformEntries
from gradelug_platform.orders import PlatformOrders
from gradelug_platform.settings import load
from hypothesis import given, settings
from hypothesis import strategies as st
from world import new_loop

CONFIG = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r1",
            "Hostname": "One.example",
            "PathPrefix": "/a/",
            "Kind": "streaming",
            "TimeoutMs": 6000,
            "TargetLatencyMs": 1000,
            "Priority": 1,
            "MaxAttempts": 2,
            "Resumable": True,
            "GapAimMs": 400,
            "Backend": "llm",
        },
        {
            "Name": "r2",
            "Hostname": "one.example",
            "PathPrefix": "/b/",
            "Kind": "non_idempotent",
            "TrafficSplit": [{"Backend": "x", "Weight": 90}, {"Backend": "y", "Weight": 10}],
        },
    ],
    "Services": [
        {
            "Name": "llm",
            "MaxConns": 500,
            "Engine": {
                "Slots": 96,
                "KvCapacity": 1000,
                "WeightsMb": 16500.0,
                "AdapterSlots": 6,
                "LoadsPerS": 2.1,
                "Models": [{"Name": "m", "WeightsMb": 16100.0, "LoadS": 0.6}],
            },
        }
    ],
    "Limits": {"MaxHeaderBytes": 16384, "IdleTimeoutMs": 15000},
}
SERVER = {
    "Backend": "llm",
    "Address": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 96,
    "State": "ready",
    "Seq": 4,
    "Models": [{"Name": "m", "Version": 1, "Adapters": ["a3@2"]}],
    "AtHand": {"InMemory": ["m/a9@1"], "OnDisk": []},
}


def entry(key, data, revision=1):
    raw = data if isinstance(data, bytes) else json.dumps(data).encode()
    return KvEntry(key, raw, revision)


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


EXTREMES = [
    b'{"Version": 1' + b"0" * 400 + b', "Slots": 1' + b"0" * 400 + b"}",
    b'{"Version": 1' + b"0" * 9000 + b"}",
    b"[" * 100_000,
    b'{"Models": ' + b"[" * 100_000,
]
"""Integers too large for a float or for the parser, and nesting too deep for it."""


def decode_or_error(item):
    try:
        return PlatformEntries().read(item)
    except MalformedEntry as exc:
        return exc


class TestEntries:
    def test_a_configuration_is_decoded(self):
        snapshot = PlatformEntries().read(entry("op/config", CONFIG))
        first, second = snapshot.routes
        assert (first.host, first.repeat, first.timeout_s) == ("one.example", Repeat.RESUME, 6.0)
        assert second.repeat is Repeat.NEVER
        assert [share.weight for share in second.shares] == [90.0, 10.0]
        assert snapshot.services["llm"].engine.adapter_slots == 6
        assert snapshot.limits.idle_s == 15.0

    def test_an_entry_of_a_replica_lists_held_and_cached_weights(self):
        replica = PlatformEntries().read(entry("servers/i-1", SERVER))
        assert (replica.name, replica.hall, replica.orders) == ("i-1", "z", 4)
        assert Holding(AdapterKey("m", "a3"), 2) in replica.holdings
        assert replica.cached == {Holding(AdapterKey("m", "a9"), 1)}

    @pytest.mark.parametrize(
        ("stated", "software"), [("v1.1", "v1.1"), (3, "3"), (None, ""), ("", "")]
    )
    def test_the_software_version_of_a_replica_is_decoded(self, stated, software):
        rep = PlatformEntries().read(entry("servers/e", {**SERVER, "Version": stated}))
        assert rep.software == software

    def test_a_newest_version_is_decoded(self):
        version = PlatformEntries().read(
            entry("op/version/m.a3", {"Model": "m", "Adapter": "a3", "Version": 5})
        )
        assert version == NewestVersion(AdapterKey("m", "a3"), 5)

    def test_every_error_is_reported_with_its_path(self):
        malformed = json.loads(json.dumps(CONFIG))
        malformed["Routes"][0]["TimeoutMs"] = "soon"
        del malformed["Routes"][1]["Hostname"]
        with pytest.raises(MalformedEntry) as raised:
            PlatformEntries().read(entry("op/config", malformed))
        assert "op/config.Routes[0].TimeoutMs" in str(raised.value)
        assert "op/config.Routes[1].Hostname" in str(raised.value)

    @pytest.mark.parametrize("weights", [[], [0], [0, 0.0]])
    def test_a_split_without_weights_is_accepted(self, weights):
        malformed = json.loads(json.dumps(CONFIG))
        split = [{"Backend": f"s{at}", "Weight": weight} for at, weight in enumerate(weights)]
        malformed["Routes"][1]["TrafficSplit"] = split
        with pytest.raises(MalformedEntry) as raised:
            PlatformEntries().read(entry("op/config", malformed))
        assert str(raised.value) == "op/config.Routes[1].TrafficSplit: no weight is greater than 0"

    @settings(derandomize=True, deadline=None)
    @given(
        st.sampled_from(["op/config", "servers/x", "op/version/a.b"]),
        st.one_of(
            st.binary(max_size=40),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(st.sampled_from(sorted({*CONFIG, *SERVER, "Name"})), inner),
                max_leaves=10,
            ).map(lambda data: json.dumps(data).encode()),
        ),
    )
    def test_arbitrary_values_are_decoded_or_malformed(self, key, raw):
        outcome = decode_or_error(entry(key, raw))
        assert isinstance(outcome, (Snapshot, Replica, NewestVersion, MalformedEntry))
        assert str(outcome)

    @pytest.mark.parametrize("raw", EXTREMES)
    @pytest.mark.parametrize("key", ["op/config", "servers/x", "op/version/a.b"])
    def test_extreme_values_are_malformed(self, key, raw):
        with pytest.raises(MalformedEntry):
            PlatformEntries().read(entry(key, raw))


class StubMirror(Mirror):
    def __init__(self):
        super().__init__(None, "", None)
        self.settled_at = EXPIRED_ENTRY_GRACE_S

    def set_entries(self, *entries, missing=()):
        self.entries = {item.key: item for item in entries}
        self.missing = set(missing)
        self._notify()


class TestFeed:
    def new_feed(self):
        self.now = 0.0
        mirror, state = StubMirror(), FleetState()
        feed = Feed(mirror, PlatformEntries(), state, lambda: self.now)
        return mirror, state, feed

    def test_a_malformed_configuration_keeps_the_previous_one(self):
        mirror, state, _ = self.new_feed()
        mirror.set_entries(entry("op/config", CONFIG, 1))
        mirror.set_entries(entry("op/config", b"{", 2))
        assert state.snapshot.version == 7

    def test_an_older_configuration_is_ignored(self):
        mirror, state, _ = self.new_feed()
        mirror.set_entries(entry("op/config", CONFIG, 1))
        mirror.set_entries(entry("op/config", {**CONFIG, "Version": 6}, 2))
        assert state.snapshot.version == 7

    def test_a_deleted_replica_is_removed_at_once(self):
        mirror, state, _ = self.new_feed()
        mirror.set_entries(entry("servers/i-1", SERVER))
        mirror.set_entries()
        assert not state.replicas

    def test_a_replica_missing_after_an_outage_is_kept_for_a_grace_period(self):
        mirror, state, feed = self.new_feed()
        mirror.set_entries(entry("servers/i-1", SERVER))
        mirror.set_entries(missing=["servers/i-1"])
        assert state.replicas
        self.now = EXPIRED_ENTRY_GRACE_S + 0.1
        feed.refresh()
        assert not state.replicas

    def test_repeated_outages_do_not_extend_the_grace_period(self):
        mirror, state, feed = self.new_feed()
        mirror.set_entries(entry("servers/i-1", SERVER))
        mirror.set_entries(missing=["servers/i-1"])
        mirror.settled_at = 100.0
        mirror.set_entries(missing=["servers/i-1"])
        self.now = EXPIRED_ENTRY_GRACE_S + 0.1
        feed.refresh()
        assert not state.replicas

    def test_a_draining_replica_is_leaving(self):
        mirror, state, _ = self.new_feed()
        mirror.set_entries(entry("servers/i-1", SERVER, 1))
        mirror.set_entries(entry("servers/i-1", {**SERVER, "State": "draining"}, 2))
        assert state.replicas["i-1"].leaving


class TestDialect:
    @pytest.mark.parametrize(
        ("status", "headers", "verdict"),
        [
            (200, [(b"X-Gradelug-Server-Signature", b"s")], Verdict.ANSWERED),
            (200, [], Verdict.SPOILED),
            (
                200,
                [(b"X-Gradelug-Server-Signature", b"s"), (b"X-Gradelug-Not-Executed", b"1")],
                Verdict.SPOILED,
            ),
            (503, [(b"X-Gradelug-Not-Executed", b"1")], Verdict.FULL),
            (503, [], Verdict.FAILED),
            (400, [(b"X-Gradelug-Not-Executed", b"1")], Verdict.REJECTED),
            (421, [(b"X-Gradelug-Instance-Id", b"other")], Verdict.MISDIRECTED),
            (421, [(b"X-Gradelug-Instance-Id", b"me")], Verdict.ABSENT),
            (500, [], Verdict.FAILED),
        ],
    )
    def test_only_the_header_of_a_replica_classifies_a_request_as_not_run(
        self, status, headers, verdict
    ):
        head = ResponseHead(status, tuple(headers))
        assert PlatformDialect().classify_response(head, Replica("me", "s", "a:1", "h")) is verdict


class TestOrders:
    def send_order(self, script):
        async def scenario():
            net, servers = Network(), []

            def new_server():
                servers.append(RawServer(script))
                return servers[-1]

            net.servers["e:1"] = new_server
            orders = PlatformOrders(HttpPool(asyncio.get_running_loop().time, net.dial))
            order = Order(True, AdapterKey("m", "a3"), 2, 5, "me", 41)
            replica = Replica("i-1", "llm", "e:1", "h")
            outcome = await orders.order(replica, order)
            return outcome, await orders.report(replica), bytes(servers[0].received)

        return run(scenario)

    @pytest.mark.parametrize(
        ("status", "outcome"),
        [
            (202, OrderOutcome.TAKEN),
            (200, OrderOutcome.HOLDS),
            (409, OrderOutcome.CONFLICT),
            (412, OrderOutcome.OUTRANKED),
            (421, OrderOutcome.GONE),
            (500, OrderOutcome.LOST),
        ],
    )
    def test_an_order_carries_owner_token_and_count_and_its_status_gives_the_outcome(
        self, status, outcome
    ):
        raw = b"HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n" % status
        actual, _, sent = self.send_order([[raw], []])
        assert actual is outcome
        body = json.loads(sent.split(b"\r\n\r\n")[1].partition(b"GET")[0])
        assert body == {
            "Operation": "model_load",
            "Model": "m",
            "Adapter": "a3",
            "Version": 2,
            "Expected": 5,
            "Owner": "me",
            "FencingToken": 41,
        }
        assert b"X-Gradelug-Expect-Instance: i-1\r\n" in sent

    def test_the_outcome_of_an_order_without_a_response_is_unknown(self):
        assert self.send_order([[], []])[0] is OrderOutcome.LOST

    def test_a_malformed_report_is_none(self):
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        malformed = b'HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{"Models": 12}'
        assert self.send_order([[ok], [malformed]])[1] is None

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(
        st.one_of(
            st.sampled_from(EXTREMES),
            st.binary(max_size=60),
            st.recursive(
                st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
                lambda inner: st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["Seq", "Models", "Name", "Adapters", "Pending", "AtHand"]),
                    inner,
                    max_size=4,
                ),
                max_leaves=8,
            ).map(lambda data: json.dumps(data).encode()),
        )
    )
    def test_an_arbitrary_report_is_decoded_or_none(self, raw):
        ok = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(raw), raw)
        report = self.send_order([[ok], [answer]])[1]
        assert report is None or isinstance(report, EngineReport)


class TestSettings:
    @pytest.mark.parametrize(
        ("text", "version_s"), [("", math.inf), ("[Bounds]\nversion_ms = 5000\n", 5.0)]
    )
    def test_the_version_bound_is_read(self, tmp_path, text, version_s):
        path = tmp_path / "settings.toml"
        path.write_text(
            'Node = "n"\nZone = "z"\nIp = "10.0.0.1"\nPortRange = [7380, 7395]\n'
            '[Listen]\nFront = "10.0.0.1:1"\nReady = "10.0.0.1:2"\n'
            '[Provider]\nAddress = "10.0.0.2:1"\n' + text
        )
        assert load(path).gateway.bounds.version_s == version_s

    def test_all_errors_are_reported_together(self, tmp_path):
        path = tmp_path / "settings.toml"
        path.write_text('Node = 3\nZone = "z"\nUnknown = 1\n[Bounds]\nGraceS = -1\n')
        with pytest.raises(InvalidConfig) as raised:
            load(path)
        messages = " ".join(str(finding) for finding in raised.value.findings)
        for name in (
            "Node",
            "Ip",
            "PortRange",
            "Listen.Front",
            "Bounds.GraceS",
            "Provider.Address",
        ):
            assert name in messages
        assert "Unknown" not in messages
