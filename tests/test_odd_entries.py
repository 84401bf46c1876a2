"""Entries of the store that another writer left malformed, out of range or far too large."""

import asyncio
import contextlib
import json
import math
import random
from pipes import Network, RawServer

import logbook
import pytest
from gradelug_coordination import (
    CoordinationError,
    Election,
    KvEntry,
    LeaseKeeper,
    Member,
    Membership,
    Mirror,
    OnceShard,
    Ownership,
    PersistentOwnership,
    Publisher,
    position,
)
from gradelug_coordination.once import digest
from gradelug_gateway.config_freshness import ConfigFreshness
from gradelug_gateway.feed import Feed, MalformedEntry
from gradelug_gateway.model import FleetState
from gradelug_gateway.origin_record import PREFIX as STREAMS
from gradelug_gateway.origin_record import OriginRecord
from gradelug_gateway.poison_record import KEY as POISON
from gradelug_gateway.poison_record import PoisonRecord, _encode
from gradelug_gateway.search import query_planner_address
from gradelug_gateway.store_updates import StorePublisher
from gradelug_gateway.tunnel_key import KEY as TUNNELS
from gradelug_gateway.tunnel_key import TunnelKey
from gradelug_http import HttpPool, ServerLimits
from gradelug_platform.entries import PlatformEntries
from gradelug_platform.orders import PlatformOrders
from gradelug_platform.store import PlatformStore
from gradelug_policy.poison import EndLedger
from gradelug_standins.kv import MemoryKv
from gradelug_wire.facts import EngineFact, MemberFact
from hypothesis import given, settings
from hypothesis import strategies as st
from odd_values import await_failures, failures
from platform_stand_in import FakeStore, encode_entry
from test_platform_wire import CONFIG, SERVER
from world import new_loop

ROOT = "e/"
OWNER = {"owner": "n0@10.0.0.1", "era": 0, "operation": "o"}
HOLDER = {"owner": "n0", "address": "10.0.0.1:7000", "operation": "o"}
MEMBER = {"name": "m-1", "address": "10.0.0.1:7000", "hall": "h", "leaving": False}
PART = "ab" * 16
FINDINGS = {
    "blocked": {PART: 2.0},
    "suspects": {"cd" * 16: {"i-1": 1.0}},
    "blocked_parts": ["ef" * 16],
    "suspected_parts": [["i-1", PART, "cd" * 16, 0, 1.0]],
}
HEAD = {"revision": 1, "buckets": ["b"], "operation": "o", "author": "a", "retired": [[1, "c"]]}
ROW = ["k", "b", "r", 1.0, "t"]
SHARD = {"segments": [["s", 1.0]], "recent": [ROW], "operation": "o"}
ENGINE_FACT = {"owner": "m-1", "address": "10.0.0.1:7000", "resident": ["a"], "evictable": 1}
MEMBER_FACT = {"address": "10.0.0.1:7000", "hall": "h", "routers": ["10.0.0.1:7001"]}
VERSION = {"Model": "m", "Adapter": "a", "Version": 2}


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0.1))
        loop.close()


def run_failures(make_use, sound):
    """Return the failures of a reader that `make_use` makes on a running loop."""

    async def scenario():
        return failures(sound, make_use())

    return run(scenario)


class Parts:
    """What the readers of records are made of."""

    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.kv = MemoryKv()
        self.mirror = Mirror(self.kv, "", random.Random(0))
        self.lease = LeaseKeeper(self.kv, 1.0, self.clock, random.Random(0))
        self._revision = 1

    def put(self, key, value):
        """Show an entry in the mirror."""
        self._revision += 1
        self.mirror.entries[key] = KvEntry(key, value, self._revision)
        self.mirror.revision = self._revision

    def ownership(self):
        return PersistentOwnership(
            self.kv, ROOT, self.mirror, self.lease, "n1", self.clock, 3.0, lambda: ("r",)
        )

    def election(self):
        args = (self.lease, self.clock, random.Random(0), 0.0, True, True)
        return Election(self.kv, self.mirror, "duty/one", "n1", "n1:1", *args)


def read_if_sound(key, value):
    try:
        return PlatformEntries().read(KvEntry(key, value, 2))
    except MalformedEntry:
        return None


def is_address(text):
    host, _, port = text.rpartition(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < float(port) < 65_536


def reject_constant(name):
    raise ValueError(f"{name} is not JSON")


class TestReaders:
    """Each reader takes any value: it reads it, skips it or raises its typed error."""

    @pytest.mark.parametrize(
        ("key", "sound"),
        [("servers/x", SERVER), ("op/config", CONFIG), ("op/version/v", VERSION)],
        ids=["replica", "config", "version"],
    )
    def test_an_odd_entry_of_the_platform_escapes_as_malformed_only(self, key, sound):
        assert failures(sound, lambda value: read_if_sound(key, value)) == {}

    @pytest.mark.parametrize(
        ("key", "sound"),
        [("servers/x", SERVER), ("op/config", CONFIG), ("op/version/v", VERSION)],
        ids=["replica", "config", "version"],
    )
    def test_an_odd_entry_of_the_platform_ends_no_planner(self, key, sound):
        def make_use():
            parts = Parts()
            feed = Feed(parts.mirror, PlatformEntries(), FleetState(), parts.clock)
            parts.mirror.synced, parts.mirror.polled_at = True, parts.clock()
            freshness = ConfigFreshness(parts.mirror, feed, parts.clock)
            publisher = StorePublisher(feed, parts.mirror, parts.clock, freshness)
            publisher.next_update()

            def use(value):
                parts.put(key, value)
                feed.refresh()
                publisher.next_update().SerializeToString()
                publisher.next_listing_page(0, True)[0].SerializeToString()

            return use

        assert run_failures(make_use, sound) == {}

    def test_an_odd_record_of_an_owner_is_skipped(self):
        def make_use():
            parts = Parts()
            ownership = parts.ownership()

            def use(value):
                parts.put(f"{ROOT}owners/r", value)
                for record in ownership.records().values():
                    assert record.owner.encode() is not None
                    assert 0 <= record.era < 2**21

            return use

        assert run_failures(make_use, OWNER) == {}

    def test_an_odd_record_is_logged_once_for_each_revision(self):
        async def scenario():
            parts = Parts()
            ownership = parts.ownership()
            with logbook.TestHandler().applicationbound() as handler:
                for _ in range(2):
                    parts.put(f"{ROOT}owners/r", b"[" * 100_000)
                    for _ in range(5):
                        ownership.records()
            lines = [line for line in handler.records if line.channel == "records"]
            assert [line.kwargs["key"] for line in lines] == [f"{ROOT}owners/r"] * 2
            assert lines[0].kwargs["revision"] < lines[1].kwargs["revision"]

        run(scenario)

    def test_an_odd_election_record_names_no_holder(self):
        def make_use():
            parts = Parts()
            election = parts.election()

            def use(value):
                parts.put("duty/one", value)
                record = election.record()
                assert record is None or (record.owner.encode() and is_address(record.address))

            return use

        assert run_failures(make_use, HOLDER) == {}

    def test_an_odd_record_of_blocked_requests_is_skipped(self):
        def make_use():
            parts = Parts()
            record = PoisonRecord(parts.kv, parts.mirror, parts.clock)

            def use(value):
                parts.put(POISON, value)
                record.poll()
                ledger = EndLedger()
                record.restore(ledger, parts.clock())
                record._merge(parts.mirror.entries[POISON])
                ledger.judge(parts.clock())
                json.loads(_encode(ledger), parse_constant=reject_constant)
                assert all(
                    0 <= sighting.position < 2**32
                    for part in ledger.parts.suspects()
                    for _, sighting in ledger.parts.sightings(part)
                )

            return use

        assert run_failures(make_use, FINDINGS) == {}

    def test_requests_stay_blocked_while_their_record_cannot_be_read(self):
        async def scenario():
            parts = Parts()
            record = PoisonRecord(parts.kv, parts.mirror, parts.clock)
            parts.put(POISON, json.dumps(FINDINGS).encode())
            record.poll()
            before = record.findings
            assert bytes.fromhex(PART) in before.blocked
            for value in (b"[" * 100_000, b"{}"):
                parts.put(POISON, value)
                record.poll()
                assert record.findings == before
            parts.put(POISON, json.dumps({"blocked": {}, "suspects": {}}).encode())
            record.poll()
            assert not record.findings.blocked

        run(scenario)

    def test_odd_origins_of_streams_are_skipped(self):
        def make_use():
            parts = Parts()
            record = OriginRecord(parts.kv, parts.mirror, parts.clock)

            def use(value):
                parts.put(f"{STREAMS}3", value)
                record.find(b"m" * 8)
                record.origins()

            return use

        assert run_failures(make_use, {}) == {}

    def test_an_odd_key_of_tunnels_reaches_no_header(self):
        def make_use():
            parts = Parts()
            key = TunnelKey(parts.kv, parts.mirror, lambda: True)

            def use(value):
                parts.put(TUNNELS, value)
                assert key.value == b"" or (key.value.isascii() and key.value.isalnum())
                assert len(key.value) < 1000

            return use

        assert run_failures(make_use, {}) == {}

    def test_a_key_of_tunnels_that_cannot_be_read_is_replaced(self):
        async def scenario():
            parts = Parts()
            await parts.kv.swap(TUNNELS, b"a\r\nb: c", 0)
            tasks = [asyncio.create_task(parts.mirror.run())]
            keys = [TunnelKey(parts.kv, parts.mirror, lambda: True) for _ in range(2)]
            tasks += [asyncio.create_task(key.run()) for key in keys]
            await asyncio.sleep(3.0)
            assert keys[0].value == keys[1].value != b""
            assert keys[0].matches(keys[1].value)
            assert keys[0].value.isalnum()

        run(scenario)

    def test_an_odd_record_of_a_member_is_skipped(self):
        def make_use():
            parts = Parts()
            local = Member("m-0", "10.0.0.2:1")
            membership = Membership(parts.kv, ROOT, parts.mirror, parts.lease, local)
            parts.put(f"{ROOT}members/m-2", Member("m-2", "10.0.0.3:1").encode())

            def use(value):
                parts.put(f"{ROOT}members/m-1", value)
                assert "m-2" in membership.active()
                assert all(is_address(member.address) for member in membership.all().values())
                assert all(member.hall.encode() is not None for member in membership.all().values())

            return use

        assert run_failures(make_use, MEMBER) == {}

    def test_an_odd_record_of_an_owned_resource_is_skipped(self):
        def make_use():
            parts = Parts()
            membership = Membership(
                parts.kv, ROOT, parts.mirror, parts.lease, Member("m-0", "10.0.0.2:1")
            )
            ownership = Ownership(
                parts.kv, ROOT, parts.mirror, parts.lease, membership, parts.clock
            )

            def use(value):
                parts.put(f"{ROOT}owners/r", value)
                for record in ownership.records().values():
                    assert record.owner.encode() is not None
                    assert 0 <= record.predecessors_remaining_s < math.inf

            return use

        sound = {"owner": "m-1", "doubt_s": 0.5, "operation": "o"}
        assert run_failures(make_use, sound) == {}

    @pytest.mark.parametrize(
        ("fact", "sound"),
        [(EngineFact, ENGINE_FACT), (MemberFact, MEMBER_FACT)],
        ids=["engine", "member"],
    )
    def test_an_odd_fact_of_a_peer_escapes_as_invalid_only(self, fact, sound):
        def use(value):
            try:
                read = fact.decode(value)
            except CoordinationError:
                return
            assert is_address(read.address)

        assert failures(sound, use) == {}

    def test_an_odd_address_of_a_peer_is_not_dialled(self):
        async def scenario():
            found = {}
            for address in (
                "",
                "x",
                ":1",
                "h:0",
                "127.0.0.1:65536",
                "127.0.0.1:-1",
                "h:" + "9" * 5000,
            ):
                try:
                    assert await query_planner_address(address, "llm") is None
                except Exception as exc:
                    found[address[:20]] = repr(exc)[:100]
            return found

        assert run(scenario) == {}

    def test_an_odd_head_escapes_as_invalid_only(self):
        async def scenario():
            kv = OneEntryKv()
            publisher = Publisher(kv, ROOT, "s/")

            async def use(value):
                kv.value = value
                try:
                    head, _ = await publisher.head()
                except CoordinationError:
                    return
                assert all(isinstance(name, str) for name in head.buckets)
                assert 0 <= head.revision <= 2**53

            return await await_failures(HEAD, use)

        assert run(scenario) == {}

    def test_an_odd_record_of_once_keys_fails_the_reservation(self):
        async def scenario():
            async def use(value):
                kv = MemoryKv()
                kv._entries["once/1"] = KvEntry("once/1", value, 1)
                shard = OnceShard(kv, "once/1", lambda: 1.0, 0.001)
                with contextlib.suppress(CoordinationError):
                    async with asyncio.timeout(1.0):
                        await shard.reserve(digest("k"), digest("b"), "t")

            return await await_failures(SHARD, use)

        assert run(scenario) == {}

    @settings(derandomize=True, deadline=None, max_examples=200)
    @given(
        st.sampled_from(["owner", "holder", "findings", "member", "platform"]),
        st.one_of(
            st.binary(max_size=60),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.floats()
                | st.text(st.characters(), max_size=4)
                | st.sampled_from([PART, "1.2.3.4:0", "1.2.3.4:70000", "\ud800"]),
                lambda inner: st.lists(inner, max_size=5)
                | st.dictionaries(
                    st.sampled_from(sorted({*OWNER, *HOLDER, *FINDINGS, *MEMBER, *SERVER, PART})),
                    inner,
                ),
                max_leaves=12,
            ).map(lambda data: json.dumps(data).encode()),
        ),
    )
    def test_arbitrary_records_are_read_or_skipped(self, reader, value):
        async def scenario():
            parts = Parts()
            keys = {
                "owner": f"{ROOT}owners/r",
                "holder": "duty/one",
                "findings": POISON,
                "member": f"{ROOT}members/m-1",
                "platform": "servers/x",
            }
            parts.put(keys[reader], value)
            parts.ownership().records()
            parts.election().record()
            PoisonRecord(parts.kv, parts.mirror, parts.clock).poll()
            local = Member("m-0", "10.0.0.2:1")
            Membership(parts.kv, ROOT, parts.mirror, parts.lease, local).active()
            read_if_sound(keys["platform"], value)

        run(scenario)


class OneEntryKv(MemoryKv):
    """Returns the same value for every key."""

    value = b""

    async def get(self, key):
        return KvEntry(key, self.value, 2)


ADDRESS = "10.9.0.1:80"
SOUND_ITEM = encode_entry(KvEntry("servers/z", b"{}", 3))
ITEMS = {
    "value not base64": {**SOUND_ITEM, "TlsKey": "servers/a", "Value": "*"},
    "value not ASCII": {**SOUND_ITEM, "TlsKey": "servers/a", "Value": "\u0661"},
    "value a list": {**SOUND_ITEM, "TlsKey": "servers/a", "Value": [1]},
    "value a number": {**SOUND_ITEM, "TlsKey": "servers/a", "Value": 1e999},
    "no revision": {"TlsKey": "servers/a", "Value": ""},
    "negative revision": {**SOUND_ITEM, "TlsKey": "servers/a", "Revision": -1},
    "revision of the next era": {**SOUND_ITEM, "TlsKey": "servers/a", "Revision": 2**32},
    "revision too large": {**SOUND_ITEM, "TlsKey": "servers/a", "Revision": 10**400},
    "boolean revision": {**SOUND_ITEM, "TlsKey": "servers/a", "Revision": True},
    "infinite revision": {**SOUND_ITEM, "TlsKey": "servers/a", "Revision": math.inf},
    "no key": {"Value": "", "Revision": 2},
    "key a number": {**SOUND_ITEM, "TlsKey": 1},
    "key a surrogate": {**SOUND_ITEM, "TlsKey": "servers/\ud800"},
    "empty key": {**SOUND_ITEM, "TlsKey": ""},
    "lease a list": {**SOUND_ITEM, "TlsKey": "servers/a", "Lease": [1]},
    "null": None,
    "list": [],
    "text": "servers/a",
    "deleted without a key": {"Deleted": True, "Revision": 2},
    "deleted without a revision": {"Deleted": True, "TlsKey": "servers/a"},
}
"""Items of a listing or events of a watch, by what is odd in them."""


class OddStore(FakeStore):
    """A store that adds an odd item to each listing and an odd event to each watch."""

    def __init__(self, item):
        super().__init__()
        self.item = item
        net = Network()
        clock = asyncio.get_running_loop().time
        net.serve(ADDRESS, self.serve, ServerLimits, clock)
        self.store = PlatformStore(ADDRESS, HttpPool(clock, net.dial))

    async def call(self, method, call, query, body):
        status, reply = await super().call(method, call, query, body)
        for name in ("items", "events"):
            if name in reply:
                reply[name] = [self.item, *reply[name]]
        return status, reply


class TestStore:
    @pytest.mark.parametrize("name", ITEMS)
    def test_an_odd_item_does_not_stop_the_mirror(self, name):
        async def scenario():
            fake = OddStore(ITEMS[name])
            await fake.kv.swap("servers/z", b"before", 0)
            mirror = Mirror(fake.store, "", random.Random(0))
            task = asyncio.create_task(mirror.run())
            await asyncio.sleep(1.0)
            assert mirror.entries["servers/z"].value == b"before"
            await fake.kv.swap("servers/z", b"after", mirror.entries["servers/z"].revision)
            await fake.kv.swap("servers/y", b"new", 0)
            await asyncio.sleep(3.0)
            assert not task.done()
            assert mirror.synced
            assert mirror.entries["servers/z"].value == b"after"
            assert mirror.entries["servers/y"].value == b"new"
            assert mirror.revision == fake.kv.revision
            assert all(isinstance(key, str) for key in mirror.entries)
            task.cancel()

        run(scenario)

    def test_an_item_with_an_unreadable_value_keeps_its_revision(self):
        """Nobody may take a record that cannot be read for a record that does not exist."""

        async def scenario():
            fake = OddStore(ITEMS["value not base64"])
            (odd,) = [
                entry
                for entry in (await fake.store.list("servers/")).entries
                if entry.key == "servers/a"
            ]
            assert (odd.value, odd.revision) == (b"", 3)

        run(scenario)

    def test_pages_after_an_odd_last_item_are_requested(self):
        async def scenario():
            fake = OddStore(None)
            fake.page = 2

            async def call(method, call, query, body):
                status, reply = await FakeStore.call(fake, method, call, query, body)
                if call == "kv-range":
                    reply["items"].append({"TlsKey": reply["items"][-1]["TlsKey"] + "~"})
                return status, reply

            fake.call = call
            for number in range(5):
                await fake.kv.swap(f"a/{number}", b"x", 0)
            listing = await fake.store.list("a/")
            assert [entry.key for entry in listing.entries] == [f"a/{n}" for n in range(5)]

        run(scenario)

    @pytest.mark.parametrize(
        "era", ["9" * 5000, "-1", "1e999", "x"], ids=["digits", "negative", "1e999", "text"]
    )
    def test_an_odd_era_does_not_stop_the_mirror(self, era):
        async def scenario():
            fake = OddStore(SOUND_ITEM)
            fake.era = era
            await fake.kv.swap("servers/y", b"new", 0)
            mirror = Mirror(fake.store, "", random.Random(0))
            task = asyncio.create_task(mirror.run())
            await asyncio.sleep(1.0)
            assert not task.done()
            assert "servers/y" in mirror.entries
            task.cancel()

        run(scenario)

    @pytest.mark.parametrize(
        "revision",
        [-1, 2**32, 10**400, True, None, [], "9" * 5000, math.inf, math.nan],
        ids=["-1", "2^32", "10^400", "true", "null", "list", "digits", "inf", "nan"],
    )
    def test_an_odd_revision_of_the_store_is_an_error_of_the_store(self, revision):
        async def scenario():
            fake = OddStore(SOUND_ITEM)
            fake.raw = json.dumps(
                {"items": [], "events": [], "StoreRevision": revision, "Revision": revision}
            ).encode()
            with pytest.raises(CoordinationError):
                await fake.store.list("")
            with pytest.raises(CoordinationError):
                await anext(aiter(fake.store.watch("", position(0, 1))))
            with pytest.raises(CoordinationError):
                await fake.store.swap("k", b"v", 0)

        run(scenario)


class TestReports:
    def test_an_odd_report_of_an_engine_is_no_report(self):
        sound = {**SERVER, "Pending": ["m/a1@2"], "Busy": False, "born": 5}
        replica = PlatformEntries().read(KvEntry("servers/x", json.dumps(SERVER).encode(), 2))

        async def scenario():
            async def use(value):
                net, clock = Network(), asyncio.get_running_loop().time
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(value)
                net.servers[replica.address] = lambda: RawServer([[head + value]])
                pool = HttpPool(clock, net.dial)
                try:
                    await PlatformOrders(pool).report(replica)
                finally:
                    pool.close()

            return await await_failures(sound, use)

        assert run(scenario) == {}
