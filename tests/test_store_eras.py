"""Tests restores of the store from a copy some seconds old, after which it reuses revisions."""

import asyncio
import copy
import json
import random

import pytest
from gradelug_coordination import (
    ABSENT,
    KvEntry,
    KvUnavailable,
    Mirror,
    WatchCompacted,
    era_of,
    position,
)
from gradelug_coordination.kv import swap_and_confirm
from gradelug_gateway.feed import EXPIRED_ENTRY_GRACE_S, STALE_RESTORE_GRACE_S, Feed
from gradelug_gateway.model import FleetState
from gradelug_http import HttpPool, ServerLimits
from gradelug_platform.entries import PlatformEntries
from gradelug_platform.store import WATCH_WAIT_S, PlatformStore
from limit_world import LimitWorld
from platform_stand_in import FakeStore
from run_world import run
from test_platform_store import ConnectedFakeStore

ADDRESS = "10.9.0.2:80"
APPLY_TIMEOUT_S = 2.0
"""All instances have applied a change this long after it was acknowledged, in seconds."""
POLL_INTERVAL_S = 1.3
"""Interval between the instances' polls of the store, in seconds."""


class EraWorld(LimitWorld):
    """Instances that use the store's protocol, and an operator who writes to it."""

    def __init__(self, **options):
        super().__init__(**options)
        self.config = copy.deepcopy(self.config)
        stand_in = FakeStore()
        stand_in.kv = self.kv
        self.net.serve(ADDRESS, stand_in.serve, ServerLimits, self.clock)

    def store(self):
        return PlatformStore(ADDRESS, HttpPool(self.clock, self.net.dial))

    async def write(self, key, data):
        """Write an entry as the operator and replicas do, whatever its current value."""
        found = self.kv.entries().get(key)
        expected = found.revision if found is not None else ABSENT
        await self.kv.swap(key, json.dumps(data).encode(), expected)

    async def configure(self, version):
        self.config["Version"] = version
        await self.write("op/config", self.config)

    async def write_replica(self, name, state="ready"):
        data = {
            "Backend": "plain",
            "Address": self.plain[name].address,
            "Zone": "z",
            "Slots": 6,
            "State": state,
        }
        await self.write(f"servers/{name}", data)

    async def go_back(self, copied, away_s=0.5):
        """Make the store unavailable for a moment and restore it from a copy."""
        self.kv.set_down(True)
        await asyncio.sleep(away_s)
        self.kv.go_back(copied)
        self.kv.set_down(False)

    def versions(self):
        return [one.daemon._state.snapshot.version for one in self.gateways]

    def planner(self):
        (found,) = [one for one in self.gateways if one.is_planner]
        return found

    async def advance_revision(self, writes=30):
        """Advance the store's revision beyond a copy, and wait until all instances have polled
        it."""
        for number in range(writes):
            await self.write("other/key", number)
        await asyncio.sleep(POLL_INTERVAL_S)


class TestChangeAfterRestore:
    # Guards against rejecting listings of a lower revision until the store has counted up to it.
    def test_is_applied_in_time(self):
        async def scenario():
            async with EraWorld() as world:
                copied = world.kv.copy()
                await world.advance_revision()
                await world.go_back(copied)
                await asyncio.sleep(POLL_INTERVAL_S)
                await world.configure(2)
                await asyncio.sleep(APPLY_TIMEOUT_S)
                assert world.versions() == [2] * len(world.gateways)

        run(scenario)

    def test_a_draining_replica_receives_no_requests(self):
        async def scenario():
            async with EraWorld(plain=3) as world:
                copied = world.kv.copy()
                await world.advance_revision()
                await world.go_back(copied)
                sending = asyncio.create_task(world.load(30.0, world.clock() + 6.0, b"/i/x"))
                await asyncio.sleep(1.0)
                await world.write_replica("p1", "draining")
                draining_at = world.clock()
                await sending
                assert not [
                    at
                    for at, _, name in world.arrived
                    if name == "p1" and at > draining_at + APPLY_TIMEOUT_S
                ]

        run(scenario)

    @pytest.mark.parametrize("restores", [2, 3])
    def test_is_applied_after_consecutive_restores(self, restores):
        async def scenario():
            async with EraWorld() as world:
                for _ in range(restores):
                    copied = world.kv.copy()
                    await world.advance_revision()
                    await world.go_back(copied, 0.2)
                    await asyncio.sleep(0.3)
                await asyncio.sleep(POLL_INTERVAL_S)
                await world.configure(2)
                await asyncio.sleep(APPLY_TIMEOUT_S)
                assert world.versions() == [2] * len(world.gateways)

        run(scenario)


class TestAppliedState:
    def test_an_older_configuration_in_the_copy_is_not_applied(self):
        async def scenario():
            async with EraWorld() as world:
                copied = world.kv.copy()
                await world.configure(2)
                await asyncio.sleep(APPLY_TIMEOUT_S)
                await world.go_back(copied)
                for _ in range(40):
                    await asyncio.sleep(0.1)
                    assert world.versions() == [2] * len(world.gateways)
                await world.configure(2)
                await asyncio.sleep(APPLY_TIMEOUT_S)
                assert world.versions() == [2] * len(world.gateways)

        run(scenario)

    def test_a_drained_replica_does_not_become_ready(self):
        async def scenario():
            async with EraWorld(plain=3) as world:
                copied = world.kv.copy()
                await world.write_replica("p1", "draining")
                await asyncio.sleep(APPLY_TIMEOUT_S)
                await world.go_back(copied)
                since = world.clock()
                await world.load(30.0, since + 4.0, b"/i/x")
                assert world.received_since("p1", since) == 0

        run(scenario)

    def test_a_replica_that_the_copy_lacks_stays_in_use(self):
        async def scenario():
            async with EraWorld(plain=2) as world:
                entry = world.kv.entries()["servers/p1"]
                await world.kv.delete(entry.key, entry.revision)
                copied = world.kv.copy()
                await world.write_replica("p1")
                await asyncio.sleep(POLL_INTERVAL_S)
                await world.go_back(copied)
                await asyncio.sleep(1.0)
                await world.write_replica("p1")
                for _ in range(30):
                    await asyncio.sleep(0.1)
                    assert all("p1" in one.daemon._state.replicas for one in world.gateways)

        run(scenario)

    def test_the_planner_keeps_its_role_with_a_greater_token(self):
        async def scenario():
            async with EraWorld() as world:
                planner = world.planner()
                (duty,) = planner.daemon._planner_roles.values()
                before, made = duty.election.fence, duty.planner
                copied = world.kv.copy()
                await world.advance_revision()
                sending = asyncio.create_task(world.load(20.0, world.clock() + 6.0))
                await asyncio.sleep(1.0)
                await world.go_back(copied)
                await asyncio.sleep(3.0)
                assert world.planner() is planner
                assert duty.planner is made
                assert duty.election.fence > before
                assert duty.planner.term.fence == duty.election.fence
                await sending
                served = world.harmless()
                assert served[200] >= 0.95 * served.total()

        run(scenario)

    def test_a_planner_that_fails_during_a_restore_is_replaced(self):
        async def scenario():
            async with EraWorld() as world:
                copied = world.kv.copy()
                await world.advance_revision()
                lost = world.planner()
                lost.kill()
                await world.go_back(copied)
                await asyncio.sleep(4.0)
                assert world.planner() is not lost

        run(scenario)


class TestStore:
    def test_positions_grow_when_revisions_are_reused(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            copied = stand_in.kv.copy()
            first = await stand_in.store.swap("k", b"1", ABSENT)
            stand_in.kv.go_back(copied)
            second = await stand_in.store.swap("k", b"2", ABSENT)
            assert second.revision > first.revision
            assert era_of(second.revision) == era_of(first.revision) + 1

        run(scenario)

    def test_a_condition_does_not_match_a_reused_revision(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            copied = stand_in.kv.copy()
            first = await stand_in.store.swap("k", b"mine", ABSENT)
            stand_in.kv.go_back(copied)
            other = await stand_in.kv.swap("k", b"another's", ABSENT)
            # In the store's protocol both entries have the same revision.
            assert await stand_in.store.get("other") is None
            assert not (await stand_in.store.swap("k", b"again", first.revision)).swapped
            assert not await stand_in.store.delete("k", first.revision)
            assert (await stand_in.store.get("k")).revision == other.revision

        run(scenario)

    def test_a_write_whose_condition_may_match_a_reused_revision_has_an_unknown_outcome(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            copied = stand_in.kv.copy()
            first = await stand_in.store.swap("k", b"mine", ABSENT)
            stand_in.kv.go_back(copied)
            await stand_in.kv.swap("k", b"another's", ABSENT)
            with pytest.raises(KvUnavailable):
                await stand_in.store.swap("k", b"again", first.revision)

        run(scenario)

    def test_a_watch_of_an_earlier_era_requires_a_new_listing(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            await stand_in.store.swap("k", b"1", ABSENT)
            copied = stand_in.kv.copy()
            listing = await stand_in.store.list("")
            stand_in.kv.go_back(copied)
            await stand_in.kv.swap("l", b"2", ABSENT)
            await stand_in.kv.swap("m", b"3", ABSENT)
            with pytest.raises(WatchCompacted):
                async for _ in stand_in.store.watch("", listing.revision):
                    pass

        run(scenario)

    def test_a_lease_of_an_earlier_era_is_invalid_though_its_number_is_reused(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            copied = stand_in.kv.copy()
            lease = await stand_in.store.grant_lease(5.0)
            stand_in.kv.go_back(copied)
            stand_in.kv._next_lease = lease - 1
            assert await stand_in.kv.grant_lease(5.0) == lease
            assert not await stand_in.store.renew_lease(lease)
            assert not (await stand_in.store.swap("k", b"1", ABSENT, lease)).swapped
            await stand_in.store.revoke_lease(lease)
            assert stand_in.kv.has_lease(lease)

        run(scenario)

    def test_an_answer_of_an_earlier_era_is_rejected(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            stand_in.era = 2
            await stand_in.store.get("k")
            stand_in.era = 1
            with pytest.raises(KvUnavailable):
                await stand_in.store.get("k")

        run(scenario)

    @pytest.mark.parametrize("era", ["", "-1", "x", "1.5", str(2**20)])
    def test_an_answer_without_a_valid_era_counts_for_the_known_era(self, era):
        async def scenario():
            stand_in = ConnectedFakeStore()
            stand_in.era = 2
            await stand_in.store.get("k")
            stand_in.era = era
            swap = await swap_and_confirm(stand_in.store, "k", b"1", ABSENT)
            assert era_of(swap.revision) == 2

        run(scenario)


class FeedBench:
    """A feed whose mirror is filled by the test."""

    def __init__(self):
        self.now = 0.0
        self.mirror = Mirror(None, "", None)
        self.mirror.settled_at = EXPIRED_ENTRY_GRACE_S
        self.feed = Feed(self.mirror, PlatformEntries(), FleetState(), lambda: self.now)

    def show(self, era, **revisions):
        """Fill the mirror with exactly these replicas at these revisions."""
        self.mirror.revision = position(era, max(revisions.values(), default=1))
        self.mirror.entries = {
            f"servers/{name}": self.entry(f"servers/{name}", position(era, revision))
            for name, revision in revisions.items()
        }
        self.feed.refresh()
        return sorted(self.feed.state.replicas)

    def entry(self, key, at):
        value = (
            b'{"Backend":"s","Address":"10.0.0.1:80","Zone":"z","Slots":1,"State":"ready","born":7}'
        )
        return KvEntry(key, value, at)


class TestProof:
    def test_a_copy_proves_nothing_until_writers_had_time_to_rewrite_their_entries(self):
        async def scenario():
            stand_in = ConnectedFakeStore()
            mirror = Mirror(stand_in.store, "", random.Random(1), 1.0, 0.3, 2.2, True)
            task = asyncio.create_task(mirror.run())
            await asyncio.sleep(1.0)
            copied = stand_in.kv.copy()
            await stand_in.kv.swap("k", b"1", ABSENT)
            await asyncio.sleep(1.0)
            before = asyncio.get_running_loop().time()
            stand_in.kv.go_back(copied)
            await asyncio.sleep(2.0)
            assert "k" not in mirror.entries
            assert mirror.proven_at <= before + 0.1
            await asyncio.sleep(POLL_INTERVAL_S + WATCH_WAIT_S)
            assert mirror.proven_at > before + 1.0
            task.cancel()

        run(scenario)


class TestReplicas:
    def test_a_removed_replica_is_not_restored_by_the_copy(self):
        bench = FeedBench()
        bench.show(1, a=3, b=4)
        assert bench.show(1, a=3) == ["a"]
        assert bench.show(2, a=3, b=4) == ["a"]
        bench.now = STALE_RESTORE_GRACE_S - 0.1
        assert bench.show(2, a=3, b=4) == ["a"]

    def test_a_replica_that_rewrites_its_entry_is_used(self):
        bench = FeedBench()
        bench.show(1, a=3, b=4)
        bench.show(1, a=3)
        bench.show(2, a=3, b=4)
        assert bench.show(2, a=3, b=9) == ["a", "b"]

    def test_a_replica_whose_entry_remains_is_used(self):
        bench = FeedBench()
        bench.show(1, a=3, b=4)
        bench.show(1, a=3)
        bench.show(2, a=3, b=4)
        bench.now = STALE_RESTORE_GRACE_S
        assert bench.show(2, a=3, b=4) == ["a", "b"]

    def test_a_replica_missing_from_the_copy_is_kept_until_it_had_time_to_write(self):
        bench = FeedBench()
        bench.show(1, a=3, b=4)
        bench.mirror.missing = {"servers/b"}
        assert bench.show(2, a=3) == ["a", "b"]
        bench.now = EXPIRED_ENTRY_GRACE_S
        assert bench.show(2, a=3) == ["a"]
