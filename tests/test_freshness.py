"""Proof that a configuration was the newest: keys that were taken away are not accepted."""

import asyncio
import json
import math

from gradelug_coordination import KvUnavailable
from gradelug_coordination.mirror import MOST_REST_S
from gradelug_gateway.followers import Followers
from gradelug_gateway.freshness import CLOCK_MARGIN_S, MIN_POLL_INTERVAL_S, RENEW_FRACTION
from gradelug_gateway.storenews import LEAST_FOLLOWERS, TELL_SPACING_S, StoreListener, StoreTeller
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from hypothesis import given, settings
from hypothesis import strategies as st
from test_storenews import CountedKv, Site, run

BOUND_S = 5.0
SPACING_S = 2.2
NEWS_S = 0.25
SEND_INTERVAL_S = 0.5
"""A gateway sends something so often."""


class WayToStore(CountedKv):
    """An instance's way to the service: it may be cut, and answers may come late."""

    def __init__(self, kv):
        super().__init__(kv)
        self.cut = False
        self.delay_s = 0.0

    async def list(self, prefix):
        return await self._late(await super().list(prefix))

    async def watch(self, prefix, after):
        async for events in super().watch(prefix, after):
            yield await self._late(events)

    async def _late(self, answer):
        if self.cut:
            raise KvUnavailable("cut")
        await asyncio.sleep(self.delay_s)
        return answer


class Gateway(Site):
    def __init__(self, kv, spacing_s):
        super().__init__(WayToStore(kv), spacing_s, BOUND_S)
        self.way = self.kv.kv


class World:
    """A planner and a gateway that rests while it is told; messages may be late or lost."""

    def __init__(self, offset_s=50.0):
        self.kv = MemoryKv()
        self.revision = 0
        self.version = 0
        self.taken_at = {}
        """When each version was acknowledged."""
        self.planner = Gateway(self.kv, TELL_SPACING_S)
        self.gateway = Gateway(self.kv, SPACING_S)
        site, planner = self.gateway, self.planner
        self.offset_s = offset_s
        """The planner's clock is ahead by this."""
        self.listener = StoreListener(
            site.feed, site.mirror, site.clock, SPACING_S, lambda: True, site.freshness
        )
        teller = StoreTeller(planner.feed, planner.mirror, planner.clock, planner.freshness)
        self.teller = teller
        self.followers = Followers({}, planner.clock, teller)
        self.follower = self.followers.join("g", "g:1")
        for number in range(LEAST_FOLLOWERS):
            self.followers.join(f"g{number}", "h:1")
        self.up_s = self.down_s = 0.001
        self.ahead_s = math.inf
        self.wrong = []
        self.served = 0
        self.tasks = [asyncio.create_task(job()) for job in (self._tell, self._say, self._watch)]

    async def name_config(self):
        self.version += 1
        value = json.dumps(self.version).encode()
        swap = await self.kv.swap("config", value, self.revision)
        self.revision = swap.revision
        self.taken_at[self.version] = self.gateway.clock()

    def _by_planner(self, at):
        return at + self.offset_s

    async def _say(self):
        loop = asyncio.get_running_loop()
        while True:
            sent_ms = math.floor(self.gateway.clock() * 1000)
            loop.call_later(self.up_s, self._hear, sent_ms)
            await asyncio.sleep(SEND_INTERVAL_S)

    def _hear(self, sent_ms):
        received_ms = math.ceil(self._by_planner(self.planner.clock()) * 1000)
        self.follower.echo = pb.Echo(sent_ms=sent_ms, received_ms=received_ms)

    async def _tell(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(NEWS_S)
            self.followers.tell_news(True)
            for message in self.follower.take_messages():
                message.echo.CopyFrom(self.follower.echo)
                if message.HasField("store"):
                    message.store.proven_ms += round(self.offset_s * 1000)
                loop.call_later(self.down_s, self._take, message)

    def _take(self, message):
        if message.echo.sent_ms:
            ahead_s = (message.echo.received_ms - message.echo.sent_ms) / 1000
            self.ahead_s = min(self.ahead_s, ahead_s)
        if message.HasField("store"):
            self.listener.take(message.store, self.ahead_s)

    async def _watch(self):
        """Ask all the time whether a keyed request would be let in, and by which version."""
        while True:
            await asyncio.sleep(0.05)
            if not self.gateway.freshness.is_proven():
                continue
            self.served += 1
            now, has = self.gateway.clock(), self.gateway.freshness.config
            old = [
                version
                for version, at in self.taken_at.items()
                if version > has and now - at > BOUND_S
            ]
            if old:
                self.wrong.append((now, has, old))

    async def stop(self):
        for task in (*self.tasks, self.planner.task, self.gateway.task):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def beat(world, seconds, each_s=0.25):
    """Let time pass; replicas write something all the time."""
    for step in range(round(seconds / each_s)):
        key = f"s/other{step % 2}"
        known = await world.kv.get(key)
        value = json.dumps({"address": "o:1", "n": step}).encode()
        await world.kv.swap(key, value, known.revision if known else 0)
        await asyncio.sleep(each_s)


class TestFreshness:
    def test_a_gateway_that_rests_is_proven_by_what_it_is_told(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            looks = world.gateway.kv.looks
            oldest = 0.0
            for _ in range(40):
                await beat(world, 0.25)
                oldest = max(oldest, world.gateway.freshness.age_s)
            assert world.gateway.kv.looks - looks <= 1 + 10.0 / MOST_REST_S
            assert oldest < 1.0
            await world.stop()

        run(scenario)

    def test_a_told_proof_does_not_cover_a_configuration_that_is_not_known(self):
        async def scenario():
            world = World()
            world.teller._forwards_config = False
            await world.name_config()
            await beat(world, 4.0)
            world.gateway.way.cut = True
            await world.name_config()
            await beat(world, 2.0)
            assert world.gateway.freshness.is_proven()
            await beat(world, BOUND_S - 2.0 + 0.25)
            assert not world.gateway.freshness.is_proven()
            world.gateway.way.cut = False
            await beat(world, 1.0)
            assert world.gateway.freshness.is_proven()
            assert world.gateway.freshness.config == 2
            await world.stop()

        run(scenario)

    def test_a_gateway_without_the_store_is_proven_through_its_planner(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            world.gateway.way.cut = True
            await beat(world, 12.0)
            assert world.gateway.freshness.is_proven()
            assert not world.wrong
            await world.stop()

        run(scenario)

    def test_without_the_store_it_learns_of_configurations_from_its_planner(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            world.gateway.way.cut = True
            for version in range(2, 6):
                await world.name_config()
                await beat(world, 3.0)
                assert world.gateway.freshness.config == version
                assert world.gateway.freshness.is_proven()
            assert not world.wrong
            await world.stop()

        run(scenario)

    def test_cut_off_from_all_it_stops_within_the_bound(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            world.gateway.way.cut = world.planner.way.cut = True
            await beat(world, BOUND_S + CLOCK_MARGIN_S)
            assert not world.gateway.freshness.is_proven()
            await world.stop()

        run(scenario)

    def test_without_a_planner_it_looks_itself_often_enough(self):
        async def scenario():
            world = World()
            world.tasks[0].cancel()
            await world.name_config()
            await beat(world, 4.0)
            served = world.served
            await beat(world, 10.0)
            assert world.served - served >= 10.0 / 0.05 - 1
            assert world.gateway.kv.looks <= 14.0 / (BOUND_S * RENEW_FRACTION) * 2 + 2
            await world.stop()

        run(scenario)

    def test_a_configuration_that_cannot_be_read_proves_nothing(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            await world.kv.swap("config", b'"unreadable"', world.revision)
            await beat(world, BOUND_S + 1.0)
            assert not world.gateway.freshness.is_proven()
            assert not world.planner.freshness.is_proven()
            looks = world.gateway.kv.looks
            await beat(world, 4.0, 0.02)
            # Requests that ask for a proof all the time do not make it look without a pause.
            assert world.gateway.kv.looks - looks <= 2 * 4.0 / MIN_POLL_INTERVAL_S
            await world.stop()

        run(scenario)

    def test_a_late_answer_of_the_store_proves_the_moment_before_the_question(self):
        async def scenario():
            world = World()
            await world.name_config()
            await beat(world, 4.0)
            world.tasks[0].cancel()
            world.gateway.way.delay_s = 3.0
            await beat(world, 12.0)
            assert world.gateway.freshness.age_s >= 3.0
            await world.stop()

        run(scenario)


TROUBLES = st.lists(
    st.tuples(
        st.sampled_from(
            ["config", "cut gateway", "cut planner", "heal", "late up", "late down", "late store"]
        ),
        st.floats(0.0, 6.0),
    ),
    max_size=12,
)


class TestRule:
    """No instance accepts a key later than the bound after a configuration took it away."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(TROUBLES, st.sampled_from([-40.0, 0.0, 50.0]), st.booleans())
    def test_whatever_is_cut_or_late(self, troubles, offset_s, passes):
        async def scenario():
            world = World(offset_s + 100.0)
            world.teller._forwards_config = passes
            await world.name_config()
            await beat(world, 3.0)
            for kind, for_s in troubles:
                await apply(world, kind, for_s)
                await beat(world, for_s)
            assert not world.wrong
            assert world.served
            await world.stop()

        run(scenario)


async def apply(world, kind, for_s):
    if kind == "config":
        await world.name_config()
    elif kind == "cut gateway":
        world.gateway.way.cut = True
    elif kind == "cut planner":
        world.planner.way.cut = True
    elif kind == "late up":
        world.up_s = 0.001 + for_s
    elif kind == "late down":
        world.down_s = 0.001 + for_s
    elif kind == "late store":
        world.gateway.way.delay_s = world.planner.way.delay_s = for_s
    else:
        world.gateway.way.cut = world.planner.way.cut = False
        world.gateway.way.delay_s = world.planner.way.delay_s = 0.0
        world.up_s = world.down_s = 0.001


def test_without_a_bound_nothing_has_to_be_proven():
    async def scenario():
        site = Site(MemoryKv(), SPACING_S)
        assert site.freshness.is_proven()
        assert site.freshness.renew_at == math.inf
        site.task.cancel()

    run(scenario)
