"""Distribution of store changes by a planner to gateways that pause their own polling."""

import asyncio
import json
import math
import random
import zlib

import pytest
from gradelug_coordination import KvEntry, Mirror
from gradelug_coordination.mirror import MAX_POLL_DEFERRAL_S
from gradelug_gateway.config_freshness import ConfigFreshness
from gradelug_gateway.feed import Feed, MalformedEntry, NewestVersion
from gradelug_gateway.followers import Followers
from gradelug_gateway.model import AdapterKey, FleetState, Replica, Snapshot
from gradelug_gateway.store_updates import (
    MAX_REPLICAS_PER_MESSAGE,
    MIN_FOLLOWERS,
    PUBLISHER_POLL_INTERVAL_S,
    StorePublisher,
    StoreSubscriber,
)
from gradelug_http import ServerLimits
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from world import new_loop

SPACING_S = 3.0
NEWS_S = 0.5


def run(scenario):
    loop = new_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


class Reader:
    def read(self, entry):
        data = json.loads(entry.value)
        if entry.key.startswith("v/"):
            return NewestVersion(AdapterKey("m", entry.key[2:]), data)
        if entry.key == "config" and data == "unreadable":
            raise MalformedEntry("it cannot be read", is_config=True)
        if entry.key == "config":
            return Snapshot(data, (), {}, ServerLimits())
        return Replica(entry.key[2:], "llm", data["address"], "hall", data.get("leaving", False))


class CountingKv:
    """One instance's connection to the store; counts its polls."""

    def __init__(self, kv):
        self.kv = kv
        self.polls = 0

    async def list(self, prefix):
        self.polls += 1
        return await self.kv.list(prefix)

    async def watch(self, prefix, after, wait_s=None):
        # As on a platform where a watch is a call that returns at the first change.
        while True:
            self.polls += 1
            async for events in self.kv.watch(prefix, after):
                after = max(event.revision for event in events)
                yield events
                break


class Instance:
    """One instance's local copy of the store."""

    def __init__(self, kv, spacing_s, bound_s=math.inf):
        self.clock = asyncio.get_running_loop().time
        self.kv = CountingKv(kv)
        self.state = FleetState()
        self.mirror = Mirror(self.kv, "", random.Random(1), 0.5, spacing_s, is_polled=True)
        self.feed = Feed(self.mirror, Reader(), self.state, self.clock)
        self.freshness = ConfigFreshness(self.mirror, self.feed, self.clock, bound_s)
        self.task = asyncio.create_task(self.mirror.run())


class Connection:
    """A planner and a gateway with a connection that delivers the planner's messages."""

    def __init__(self, gateways=MIN_FOLLOWERS):
        self.kv = MemoryKv()
        self.revisions = {}
        self.planner = Instance(self.kv, PUBLISHER_POLL_INTERVAL_S)
        self.gateway = Instance(self.kv, SPACING_S)
        instance = self.gateway
        self.subscriber = StoreSubscriber(
            instance.feed,
            instance.mirror,
            instance.clock,
            SPACING_S,
            lambda: self.can_pause,
            instance.freshness,
        )
        self.can_pause = True
        planner = self.planner
        publisher = StorePublisher(planner.feed, planner.mirror, instance.clock, planner.freshness)
        self.publisher = publisher
        self.followers = Followers({}, instance.clock, publisher)
        self.follower = self.followers.join("g", "g:1")
        for number in range(gateways - 1):
            self.followers.join(f"g{number}", "h:1")
        self.is_sending = True
        self.task = asyncio.create_task(self._send_updates())

    async def _send_updates(self):
        while True:
            await asyncio.sleep(NEWS_S)
            self.followers.broadcast_updates(True)
            for message in self.follower.take_messages():
                if self.is_sending and message.HasField("store"):
                    self.subscriber.apply_update(message.store)

    async def put(self, key, value):
        expected = self.revisions.get(key, 0)
        swap = await self.kv.swap(key, json.dumps(value).encode(), expected)
        self.revisions[key] = swap.revision

    async def remove(self, key):
        assert await self.kv.delete(key, self.revisions.pop(key))

    async def write_for(self, seconds):
        """Let time pass while another replica writes to the store, as running replicas do."""
        for number in range(round(seconds / 0.25)):
            await self.put("s/other", {"address": "o:1", "n": number})
            await asyncio.sleep(0.25)

    async def stop(self):
        for task in (self.task, self.planner.task, self.gateway.task):
            task.cancel()


class TestStoreNews:
    def test_a_gateway_receives_changes_without_polling(self):
        async def scenario():
            conn = Connection()
            await conn.put("s/e0", {"address": "e0:1"})
            await conn.write_for(4.0)
            polls = conn.gateway.kv.polls
            replicas = conn.gateway.state.replicas
            await conn.put("s/e1", {"address": "e1:1"})
            await conn.put("s/e0", {"address": "e0:1", "leaving": True})
            await conn.put("v/a1", 7)
            await conn.write_for(1.0)
            assert replicas["e1"].address == "e1:1"
            assert replicas["e0"].leaving
            assert conn.gateway.state.versions == {AdapterKey("m", "a1"): 7}
            await conn.remove("s/e0")
            await conn.write_for(1.0)
            assert "e0" not in replicas
            assert conn.gateway.kv.polls == polls
            await conn.write_for(MAX_POLL_DEFERRAL_S * 2)
            assert set(replicas) == {"e1", "other"}
            assert conn.gateway.kv.polls <= polls + 3
            await conn.stop()

        run(scenario)

    @pytest.mark.parametrize("forwards", [True, False])
    def test_a_configuration_is_forwarded_or_polled_for_immediately(self, forwards):
        async def scenario():
            conn = Connection()
            conn.publisher._forwards_config = forwards
            await conn.write_for(4.0)
            polls = conn.gateway.kv.polls
            await conn.put("config", 5)
            await conn.write_for(1.0)
            assert conn.gateway.state.snapshot.version == 5
            assert (conn.gateway.kv.polls == polls) == forwards
            # A later poll of the gateway itself must not change anything.
            await conn.write_for(MAX_POLL_DEFERRAL_S * 1.5)
            assert conn.gateway.state.snapshot.version == 5
            await conn.stop()

        run(scenario)

    @pytest.mark.parametrize("deflated", [b"", b"garbage", zlib.compress(b"7" * 100)[:-9]])
    def test_a_gateway_polls_after_a_corrupt_configuration(self, deflated):
        async def scenario():
            conn = Connection()
            await conn.write_for(4.0)
            polls = conn.gateway.kv.polls
            broken = pb.ConfigEntry(key="config", revision=99, deflated=deflated)
            conn.subscriber.apply_update(pb.StoreNews(age_ms=1, config=9, config_entry=broken))
            await conn.write_for(1.0)
            assert conn.gateway.state.snapshot is None
            assert conn.gateway.kv.polls > polls
            await conn.stop()

        run(scenario)

    @pytest.mark.parametrize("why", ["no updates", "planner lost the store", "owns engines", "few"])
    def test_without_updates_a_gateway_polls_at_its_own_interval(self, why):
        async def scenario():
            conn = Connection(MIN_FOLLOWERS - 1 if why == "few" else MIN_FOLLOWERS)
            await conn.write_for(4.0)
            if why == "no updates":
                conn.is_sending = False
            elif why == "planner lost the store":
                conn.planner.task.cancel()
                conn.planner.mirror.synced = False
            elif why == "owns engines":
                conn.can_pause = False
            await conn.put("config", 5)
            await conn.write_for(SPACING_S + 0.6)
            assert conn.gateway.state.snapshot.version == 5
            polls = conn.gateway.kv.polls
            await conn.write_for(4 * SPACING_S)
            assert 3 <= conn.gateway.kv.polls - polls <= 5
            await conn.stop()

        run(scenario)

    def test_a_replica_that_was_removed_between_polls_is_dropped(self):
        """The planner reported the replica and failed before it reported the removal."""

        async def scenario():
            conn = Connection()
            await conn.write_for(4.0)
            await conn.put("s/e1", {"address": "e1:1"})
            await conn.write_for(1.0)
            assert "e1" in conn.gateway.state.replicas
            conn.is_sending = False
            await conn.remove("s/e1")
            await conn.write_for(SPACING_S + 1.0)
            assert "e1" not in conn.gateway.state.replicas
            await conn.stop()

        run(scenario)

    def test_an_older_polled_state_does_not_replace_a_newer_update(self):
        async def scenario():
            instance = Instance(MemoryKv(), SPACING_S)
            instance.feed.apply_remote_replica("e1", 9, Replica("e1", "llm", "e1:9", "hall"))
            instance.mirror.entries = {}
            for revision, address in ((8, "e1:9"), (10, "e1:10")):
                value = json.dumps({"address": f"e1:{revision}"}).encode()
                instance.mirror.entries["s/e1"] = KvEntry("s/e1", value, revision)
                instance.feed.refresh()
                assert instance.state.replicas["e1"].address == address
            instance.feed.apply_remote_replica("e1", 9, None)
            assert "e1" in instance.state.replicas
            instance.feed.apply_remote_replica("e1", 11, None)
            assert "e1" not in instance.state.replicas
            instance.task.cancel()

        run(scenario)


class TestListing:
    def test_a_gateway_receives_the_missing_replicas_in_pages(self):
        """Guards against sending 3,000 replicas in one message to each of 300 new gateways."""

        async def scenario():
            conn = Connection()
            for number in range(2 * MAX_REPLICAS_PER_MESSAGE + 10):
                await conn.put(f"s/r{number}", {"address": "r:1"})
            await asyncio.sleep(2.0)
            received, since, pages = set(), 0, []
            while not pages or since:
                page, since = conn.publisher.next_listing_page(since, not pages)
                pages.append(page)
                received.update(fact.replica for fact in page.replicas)
            assert len(pages) == 3
            assert all(len(page.replicas) <= MAX_REPLICAS_PER_MESSAGE for page in pages)
            assert received == conn.planner.state.replicas.keys()
            assert [page.look for page in pages] == [True, False, False]
            known = conn.planner.mirror.revision
            await conn.put("s/late", {"address": "l:1"})
            await asyncio.sleep(2.0)
            page, since = conn.publisher.next_listing_page(known, True)
            assert [fact.replica for fact in page.replicas] == ["late"]
            assert not since
            await conn.stop()

        run(scenario)

    def test_changes_are_sent_along_with_the_pages(self):
        async def scenario():
            conn = Connection()
            conn.task.cancel()
            for number in range(2 * MAX_REPLICAS_PER_MESSAGE + 10):
                await conn.put(f"s/r{number}", {"address": "r:1"})
            await asyncio.sleep(2.0)
            conn.followers.broadcast_updates(True)
            updates = [message.store for message in conn.follower.take_messages()]
            await conn.remove("s/r0")
            await conn.put("v/a1", 2)
            await asyncio.sleep(2.0)
            for _ in range(3):
                conn.followers.broadcast_updates(True)
                updates += [message.store for message in conn.follower.take_messages()]
            facts = [(fact.replica, fact.gone) for update in updates for fact in update.replicas]
            assert ("r0", True) in facts
            assert len({name for name, _ in facts}) == 2 * MAX_REPLICAS_PER_MESSAGE + 10
            assert [fact.version for update in updates for fact in update.versions] == [2]
            assert conn.follower.has_full_store
            await conn.stop()

        run(scenario)
