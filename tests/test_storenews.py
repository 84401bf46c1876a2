"""What a planner sees in the store, told to gateways that rest meanwhile."""

import asyncio
import json
import math
import random
import zlib

import pytest
from gradelug_coordination import KvEntry, Mirror
from gradelug_coordination.mirror import MOST_REST_S
from gradelug_gateway.feed import Feed, MalformedEntry, NewestVersion
from gradelug_gateway.followers import Followers
from gradelug_gateway.freshness import Freshness
from gradelug_gateway.model import AdapterKey, FleetState, Replica, Snapshot
from gradelug_gateway.storenews import (
    LEAST_FOLLOWERS,
    MAX_REPLICAS_PER_MESSAGE,
    TELL_SPACING_S,
    StoreListener,
    StoreTeller,
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


class CountedKv:
    """One instance's way to the service; its looks are counted."""

    def __init__(self, kv):
        self.kv = kv
        self.looks = 0

    async def list(self, prefix):
        self.looks += 1
        return await self.kv.list(prefix)

    async def watch(self, prefix, after):
        # As on a platform where each look is a call that is answered at the first change.
        while True:
            self.looks += 1
            async for events in self.kv.watch(prefix, after):
                after = max(event.revision for event in events)
                yield events
                break


class Site:
    """An instance's copy of the store."""

    def __init__(self, kv, spacing_s, bound_s=math.inf):
        self.clock = asyncio.get_running_loop().time
        self.kv = CountedKv(kv)
        self.state = FleetState()
        self.mirror = Mirror(self.kv, "", random.Random(1), 0.5, spacing_s, is_polled=True)
        self.feed = Feed(self.mirror, Reader(), self.state, self.clock)
        self.freshness = Freshness(self.mirror, self.feed, self.clock, bound_s)
        self.task = asyncio.create_task(self.mirror.run())


class Pair:
    """A planner and a gateway, and messages between them."""

    def __init__(self, gateways=LEAST_FOLLOWERS):
        self.kv = MemoryKv()
        self.revisions = {}
        self.planner = Site(self.kv, TELL_SPACING_S)
        self.gateway = Site(self.kv, SPACING_S)
        site = self.gateway
        self.listener = StoreListener(
            site.feed,
            site.mirror,
            site.clock,
            SPACING_S,
            lambda: self.can_pause,
            site.freshness,
        )
        self.can_pause = True
        planner = self.planner
        teller = StoreTeller(planner.feed, planner.mirror, site.clock, planner.freshness)
        self.teller = teller
        self.followers = Followers({}, site.clock, teller)
        self.follower = self.followers.join("g", "g:1")
        for number in range(gateways - 1):
            self.followers.join(f"g{number}", "h:1")
        self.tells = True
        self.task = asyncio.create_task(self._tell())

    async def _tell(self):
        while True:
            await asyncio.sleep(NEWS_S)
            self.followers.tell_news(True)
            for message in self.follower.take_messages():
                if self.tells and message.HasField("store"):
                    self.listener.take(message.store)

    async def put(self, key, value):
        expected = self.revisions.get(key, 0)
        swap = await self.kv.swap(key, json.dumps(value).encode(), expected)
        self.revisions[key] = swap.revision

    async def remove(self, key):
        assert await self.kv.delete(key, self.revisions.pop(key))

    async def beat(self, seconds):
        """Let another replica write all the time, as replicas do."""
        for number in range(round(seconds / 0.25)):
            await self.put("s/other", {"address": "o:1", "n": number})
            await asyncio.sleep(0.25)

    async def stop(self):
        for task in (self.task, self.planner.task, self.gateway.task):
            task.cancel()


class TestStoreNews:
    def test_a_gateway_learns_of_changes_without_looking(self):
        async def scenario():
            pair = Pair()
            await pair.put("s/e0", {"address": "e0:1"})
            await pair.beat(4.0)
            looks = pair.gateway.kv.looks
            replicas = pair.gateway.state.replicas
            await pair.put("s/e1", {"address": "e1:1"})
            await pair.put("s/e0", {"address": "e0:1", "leaving": True})
            await pair.put("v/a1", 7)
            await pair.beat(1.0)
            assert replicas["e1"].address == "e1:1"
            assert replicas["e0"].leaving
            assert pair.gateway.state.versions == {AdapterKey("m", "a1"): 7}
            await pair.remove("s/e0")
            await pair.beat(1.0)
            assert "e0" not in replicas
            assert pair.gateway.kv.looks == looks
            await pair.beat(MOST_REST_S * 2)
            assert set(replicas) == {"e1", "other"}
            assert pair.gateway.kv.looks <= looks + 3
            await pair.stop()

        run(scenario)

    @pytest.mark.parametrize("passes", [True, False])
    def test_a_configuration_is_passed_on_or_looked_at_at_once(self, passes):
        async def scenario():
            pair = Pair()
            pair.teller._forwards_config = passes
            await pair.beat(4.0)
            looks = pair.gateway.kv.looks
            await pair.put("config", 5)
            await pair.beat(1.0)
            assert pair.gateway.state.snapshot.version == 5
            assert (pair.gateway.kv.looks == looks) == passes
            # What it sees itself later is no news.
            await pair.beat(MOST_REST_S * 1.5)
            assert pair.gateway.state.snapshot.version == 5
            await pair.stop()

        run(scenario)

    @pytest.mark.parametrize("deflated", [b"", b"garbage", zlib.compress(b"7" * 100)[:-9]])
    def test_a_configuration_that_comes_broken_is_looked_for(self, deflated):
        async def scenario():
            pair = Pair()
            await pair.beat(4.0)
            looks = pair.gateway.kv.looks
            broken = pb.ConfigEntry(key="config", revision=99, deflated=deflated)
            pair.listener.take(pb.StoreNews(age_ms=1, config=9, config_entry=broken))
            await pair.beat(1.0)
            assert pair.gateway.state.snapshot is None
            assert pair.gateway.kv.looks > looks
            await pair.stop()

        run(scenario)

    @pytest.mark.parametrize("why", ["not told", "planner lost the store", "owns engines", "few"])
    def test_without_news_a_gateway_looks_as_often_as_before(self, why):
        async def scenario():
            pair = Pair(LEAST_FOLLOWERS - 1 if why == "few" else LEAST_FOLLOWERS)
            await pair.beat(4.0)
            if why == "not told":
                pair.tells = False
            elif why == "planner lost the store":
                pair.planner.task.cancel()
                pair.planner.mirror.synced = False
            elif why == "owns engines":
                pair.can_pause = False
            await pair.put("config", 5)
            await pair.beat(SPACING_S + 0.6)
            assert pair.gateway.state.snapshot.version == 5
            looks = pair.gateway.kv.looks
            await pair.beat(4 * SPACING_S)
            assert 3 <= pair.gateway.kv.looks - looks <= 5
            await pair.stop()

        run(scenario)

    def test_a_replica_that_came_and_went_unseen_does_not_stay(self):
        """It was told of by a planner that was lost before it could tell that it had gone."""

        async def scenario():
            pair = Pair()
            await pair.beat(4.0)
            await pair.put("s/e1", {"address": "e1:1"})
            await pair.beat(1.0)
            assert "e1" in pair.gateway.state.replicas
            pair.tells = False
            await pair.remove("s/e1")
            await pair.beat(SPACING_S + 1.0)
            assert "e1" not in pair.gateway.state.replicas
            await pair.stop()

        run(scenario)

    def test_what_a_gateway_sees_itself_does_not_undo_newer_news(self):
        async def scenario():
            site = Site(MemoryKv(), SPACING_S)
            site.feed.take_told("e1", 9, Replica("e1", "llm", "e1:9", "hall"))
            site.mirror.entries = {}
            for revision, address in ((8, "e1:9"), (10, "e1:10")):
                value = json.dumps({"address": f"e1:{revision}"}).encode()
                site.mirror.entries["s/e1"] = KvEntry("s/e1", value, revision)
                site.feed.refresh()
                assert site.state.replicas["e1"].address == address
            site.feed.take_told("e1", 9, None)
            assert "e1" in site.state.replicas
            site.feed.take_told("e1", 11, None)
            assert "e1" not in site.state.replicas
            site.task.cancel()

        run(scenario)


class TestListing:
    def test_a_gateway_is_told_what_it_does_not_know_in_pieces(self):
        """300 gateways that joined at once were told of 3,000 replicas each in one message."""

        async def scenario():
            pair = Pair()
            for number in range(2 * MAX_REPLICAS_PER_MESSAGE + 10):
                await pair.put(f"s/r{number}", {"address": "r:1"})
            await asyncio.sleep(2.0)
            told, since, pieces = set(), 0, []
            while not pieces or since:
                piece, since = pair.teller.listing(since, not pieces)
                pieces.append(piece)
                told.update(fact.replica for fact in piece.replicas)
            assert len(pieces) == 3
            assert all(len(piece.replicas) <= MAX_REPLICAS_PER_MESSAGE for piece in pieces)
            assert told == pair.planner.state.replicas.keys()
            assert [piece.look for piece in pieces] == [True, False, False]
            known = pair.planner.mirror.revision
            await pair.put("s/late", {"address": "l:1"})
            await asyncio.sleep(2.0)
            piece, since = pair.teller.listing(known, True)
            assert [fact.replica for fact in piece.replicas] == ["late"]
            assert not since
            await pair.stop()

        run(scenario)

    def test_changes_are_told_beside_the_pieces(self):
        async def scenario():
            pair = Pair()
            pair.task.cancel()
            for number in range(2 * MAX_REPLICAS_PER_MESSAGE + 10):
                await pair.put(f"s/r{number}", {"address": "r:1"})
            await asyncio.sleep(2.0)
            pair.followers.tell_news(True)
            told = [message.store for message in pair.follower.take_messages()]
            await pair.remove("s/r0")
            await pair.put("v/a1", 2)
            await asyncio.sleep(2.0)
            for _ in range(3):
                pair.followers.tell_news(True)
                told += [message.store for message in pair.follower.take_messages()]
            facts = [(fact.replica, fact.gone) for news in told for fact in news.replicas]
            assert ("r0", True) in facts
            assert len({name for name, _ in facts}) == 2 * MAX_REPLICAS_PER_MESSAGE + 10
            assert [fact.version for news in told for fact in news.versions] == [2]
            assert pair.follower.has_store
            await pair.stop()

        run(scenario)
