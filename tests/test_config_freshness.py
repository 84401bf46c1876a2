"""Proof that a configuration is the newest, so that revoked keys are not accepted."""

import asyncio
import json
import math

from gradelug_coordination import KvUnavailable
from gradelug_coordination.mirror import MAX_POLL_DEFERRAL_S
from gradelug_gateway.config_freshness import CLOCK_MARGIN_S, MIN_POLL_INTERVAL_S, RENEW_FRACTION
from gradelug_gateway.followers import Followers
from gradelug_gateway.store_updates import (
    MIN_FOLLOWERS,
    PUBLISHER_POLL_INTERVAL_S,
    StorePublisher,
    StoreSubscriber,
)
from gradelug_standins.kv import MemoryKv
from gradelug_wire import placement_pb2 as pb
from hypothesis import given, settings
from hypothesis import strategies as st
from test_store_updates import CountingKv, Instance, run

BOUND_S = 5.0
SPACING_S = 2.2
NEWS_S = 0.25
SEND_INTERVAL_S = 0.5
"""Interval at which the gateway sends a message, in seconds."""


class StoreConnection(CountingKv):
    """An instance's connection to the store, which may be cut or delay responses."""

    def __init__(self, kv):
        super().__init__(kv)
        self.cut = False
        self.delay_s = 0.0

    async def list(self, prefix):
        return await self._delay(await super().list(prefix))

    async def watch(self, prefix, after, wait_s=None):
        async for events in super().watch(prefix, after, wait_s):
            yield await self._delay(events)

    async def _delay(self, answer):
        if self.cut:
            raise KvUnavailable("cut")
        await asyncio.sleep(self.delay_s)
        return answer


class Gateway(Instance):
    def __init__(self, kv, spacing_s):
        super().__init__(StoreConnection(kv), spacing_s, BOUND_S)
        self.connection = self.kv.kv


class Simulation:
    """A planner and a gateway that pauses polling while it receives updates.

    Messages may be delayed or lost.
    """

    def __init__(self, offset_s=50.0):
        self.kv = MemoryKv()
        self.revision = 0
        self.version = 0
        self.published_at = {}
        """When the store acknowledged each version."""
        self.planner = Gateway(self.kv, PUBLISHER_POLL_INTERVAL_S)
        self.gateway = Gateway(self.kv, SPACING_S)
        instance, planner = self.gateway, self.planner
        self.offset_s = offset_s
        """How far the planner's clock is ahead of the gateway's, in seconds."""
        self.subscriber = StoreSubscriber(
            instance.feed,
            instance.mirror,
            instance.clock,
            SPACING_S,
            lambda: True,
            instance.freshness,
        )
        publisher = StorePublisher(planner.feed, planner.mirror, planner.clock, planner.freshness)
        self.publisher = publisher
        self.followers = Followers({}, planner.clock, publisher)
        self.follower = self.followers.join("g", "g:1")
        for number in range(MIN_FOLLOWERS):
            self.followers.join(f"g{number}", "h:1")
        self.uplink_s = self.downlink_s = 0.001
        self.clock_offset_s = math.inf
        self.violations = []
        self.admitted = 0
        self.tasks = [
            asyncio.create_task(job())
            for job in (self._send_updates, self._send_heartbeats, self._watch)
        ]

    async def publish_config(self):
        self.version += 1
        value = json.dumps(self.version).encode()
        swap = await self.kv.swap("config", value, self.revision)
        self.revision = swap.revision
        self.published_at[self.version] = self.gateway.clock()

    def _planner_time(self, at):
        return at + self.offset_s

    async def _send_heartbeats(self):
        loop = asyncio.get_running_loop()
        while True:
            sent_ms = math.floor(self.gateway.clock() * 1000)
            loop.call_later(self.uplink_s, self._receive_heartbeat, sent_ms)
            await asyncio.sleep(SEND_INTERVAL_S)

    def _receive_heartbeat(self, sent_ms):
        received_ms = math.ceil(self._planner_time(self.planner.clock()) * 1000)
        self.follower.echo = pb.Echo(sent_ms=sent_ms, received_ms=received_ms)

    async def _send_updates(self):
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(NEWS_S)
            self.followers.broadcast_updates(True)
            for message in self.follower.take_messages():
                message.echo.CopyFrom(self.follower.echo)
                if message.HasField("store"):
                    message.store.proven_ms += round(self.offset_s * 1000)
                loop.call_later(self.downlink_s, self._receive_update, message)

    def _receive_update(self, message):
        if message.echo.sent_ms:
            clock_offset_s = (message.echo.received_ms - message.echo.sent_ms) / 1000
            self.clock_offset_s = min(self.clock_offset_s, clock_offset_s)
        if message.HasField("store"):
            self.subscriber.apply_update(message.store, self.clock_offset_s)

    async def _watch(self):
        """Check continuously whether a request would be admitted and under which version."""
        while True:
            await asyncio.sleep(0.05)
            if not self.gateway.freshness.is_proven():
                continue
            self.admitted += 1
            now, known = self.gateway.clock(), self.gateway.freshness.config
            old = [
                version
                for version, at in self.published_at.items()
                if version > known and now - at > BOUND_S
            ]
            if old:
                self.violations.append((now, known, old))

    async def stop(self):
        for task in (*self.tasks, self.planner.task, self.gateway.task):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


async def write_for(sim, seconds, each_s=0.25):
    """Let time pass while replicas write to the store."""
    for step in range(round(seconds / each_s)):
        key = f"s/other{step % 2}"
        known = await sim.kv.get(key)
        value = json.dumps({"address": "o:1", "n": step}).encode()
        await sim.kv.swap(key, value, known.revision if known else 0)
        await asyncio.sleep(each_s)


class TestFreshness:
    def test_updates_renew_the_proof_of_a_gateway_that_does_not_poll(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            polls = sim.gateway.kv.polls
            oldest = 0.0
            for _ in range(40):
                await write_for(sim, 0.25)
                oldest = max(oldest, sim.gateway.freshness.age_s)
            assert sim.gateway.kv.polls - polls <= 1 + 10.0 / MAX_POLL_DEFERRAL_S
            assert oldest < 1.0
            await sim.stop()

        run(scenario)

    def test_a_remote_proof_does_not_cover_an_unknown_configuration(self):
        async def scenario():
            sim = Simulation()
            sim.publisher._forwards_config = False
            await sim.publish_config()
            await write_for(sim, 4.0)
            sim.gateway.connection.cut = True
            await sim.publish_config()
            await write_for(sim, 2.0)
            assert sim.gateway.freshness.is_proven()
            await write_for(sim, BOUND_S - 2.0 + 0.25)
            assert not sim.gateway.freshness.is_proven()
            sim.gateway.connection.cut = False
            await write_for(sim, 1.0)
            assert sim.gateway.freshness.is_proven()
            assert sim.gateway.freshness.config == 2
            await sim.stop()

        run(scenario)

    def test_a_gateway_without_the_store_renews_its_proof_through_the_planner(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            sim.gateway.connection.cut = True
            await write_for(sim, 12.0)
            assert sim.gateway.freshness.is_proven()
            assert not sim.violations
            await sim.stop()

        run(scenario)

    def test_a_gateway_without_the_store_receives_configurations_from_the_planner(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            sim.gateway.connection.cut = True
            for version in range(2, 6):
                await sim.publish_config()
                await write_for(sim, 3.0)
                assert sim.gateway.freshness.config == version
                assert sim.gateway.freshness.is_proven()
            assert not sim.violations
            await sim.stop()

        run(scenario)

    def test_a_fully_partitioned_gateway_stops_within_the_bound(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            sim.gateway.connection.cut = sim.planner.connection.cut = True
            await write_for(sim, BOUND_S + CLOCK_MARGIN_S)
            assert not sim.gateway.freshness.is_proven()
            await sim.stop()

        run(scenario)

    def test_without_a_planner_a_gateway_polls_often_enough(self):
        async def scenario():
            sim = Simulation()
            sim.tasks[0].cancel()
            await sim.publish_config()
            await write_for(sim, 4.0)
            admitted = sim.admitted
            await write_for(sim, 10.0)
            assert sim.admitted - admitted >= 10.0 / 0.05 - 1
            assert sim.gateway.kv.polls <= 14.0 / (BOUND_S * RENEW_FRACTION) * 2 + 2
            await sim.stop()

        run(scenario)

    def test_a_malformed_configuration_yields_no_proof(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            await sim.kv.swap("config", b'"unreadable"', sim.revision)
            await write_for(sim, BOUND_S + 1.0)
            assert not sim.gateway.freshness.is_proven()
            assert not sim.planner.freshness.is_proven()
            polls = sim.gateway.kv.polls
            await write_for(sim, 4.0, 0.02)
            # Requests that need a proof must not trigger polls without a pause.
            assert sim.gateway.kv.polls - polls <= 2 * 4.0 / MIN_POLL_INTERVAL_S
            await sim.stop()

        run(scenario)

    def test_a_late_response_proves_the_time_before_the_poll(self):
        async def scenario():
            sim = Simulation()
            await sim.publish_config()
            await write_for(sim, 4.0)
            sim.tasks[0].cancel()
            sim.gateway.connection.delay_s = 3.0
            await write_for(sim, 12.0)
            assert sim.gateway.freshness.age_s >= 3.0
            await sim.stop()

        run(scenario)


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(
            ["config", "cut gateway", "cut planner", "heal", "late up", "late down", "late store"]
        ),
        st.floats(0.0, 6.0),
    ),
    max_size=12,
)


class TestRevocationBound:
    """No instance may accept a key later than the bound after its revocation."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=60)
    @given(FAULTS, st.sampled_from([-40.0, 0.0, 50.0]), st.booleans())
    def test_no_revoked_key_is_accepted_under_any_faults(self, faults, offset_s, forwards):
        async def scenario():
            sim = Simulation(offset_s + 100.0)
            sim.publisher._forwards_config = forwards
            await sim.publish_config()
            await write_for(sim, 3.0)
            for kind, for_s in faults:
                await apply_fault(sim, kind, for_s)
                await write_for(sim, for_s)
            assert not sim.violations
            assert sim.admitted
            await sim.stop()

        run(scenario)


async def apply_fault(sim, kind, for_s):
    if kind == "config":
        await sim.publish_config()
    elif kind == "cut gateway":
        sim.gateway.connection.cut = True
    elif kind == "cut planner":
        sim.planner.connection.cut = True
    elif kind == "late up":
        sim.uplink_s = 0.001 + for_s
    elif kind == "late down":
        sim.downlink_s = 0.001 + for_s
    elif kind == "late store":
        sim.gateway.connection.delay_s = sim.planner.connection.delay_s = for_s
    else:
        sim.gateway.connection.cut = sim.planner.connection.cut = False
        sim.gateway.connection.delay_s = sim.planner.connection.delay_s = 0.0
        sim.uplink_s = sim.downlink_s = 0.001


def test_without_a_bound_no_proof_is_needed():
    async def scenario():
        instance = Instance(MemoryKv(), SPACING_S)
        assert instance.freshness.is_proven()
        assert instance.freshness.renew_at == math.inf
        instance.task.cancel()

    run(scenario)
