"""Replicas that leave while some instances cannot reach the platform store."""

import asyncio

import pytest
from run_world import run
from store_partition import PartitionWorld

CONTACT_S = 3.0
"""Time after the end of a partition from which an instance must not use departed replicas."""
DRAIN_S = 2.0
"""Time within which instances that reach the store must stop using a departed replica."""
OUTAGE_S = 9.0
REWRITE_S = 1.1
"""Time after an outage at which replicas write their entries again, in seconds."""
CUT_OFF = (1, 2)
"""Numbers of the instances that are cut off."""


class TestPartition:
    # The removal was delayed relative to the reconnection, not to the end of the partition.
    @pytest.mark.parametrize("phase_s", [0.0, 0.9, 1.2])
    def test_no_requests_reach_a_replica_that_left_during_a_partition(self, phase_s):
        async def scenario():
            async with PartitionWorld() as world:
                sending = asyncio.create_task(world.load(60.0, world.clock() + 18.0, b"/i/x"))
                for number in CUT_OFF:
                    world.connections[number].cut()
                await asyncio.sleep(OUTAGE_S / 2)
                left_at = await world.remove_entry("p1")
                await asyncio.sleep(OUTAGE_S / 2 + phase_s)
                healed_at = world.clock()
                for number in CUT_OFF:
                    world.connections[number].heal()
                await sending
                assert not world.arrivals("p1", left_at + DRAIN_S, {0})
                assert not world.arrivals("p1", healed_at + CONTACT_S, CUT_OFF)
                assert all(one.status == 200 for one in world.results)

        run(scenario)

    # Deletions shortly after a reconnection were taken for expired entries for too long.
    def test_no_requests_reach_a_replica_that_leaves_right_after_a_partition(self):
        async def scenario():
            async with PartitionWorld() as world:
                sending = asyncio.create_task(world.load(60.0, world.clock() + 16.0, b"/i/x"))
                for connection in world.connections:
                    connection.cut()
                await asyncio.sleep(OUTAGE_S)
                for connection in world.connections:
                    connection.heal()
                await asyncio.sleep(1.6)
                left_at = await world.remove_entry("p1")
                await sending
                assert not world.arrivals("p1", left_at + DRAIN_S, {0, 1, 2})
                assert all(one.status == 200 for one in world.results)

        run(scenario)

    def test_replicas_serve_until_their_expired_entries_are_written_again(self):
        async def scenario():
            async with PartitionWorld() as world:
                sending = asyncio.create_task(world.load(60.0, world.clock() + 16.0, b"/i/x"))
                for connection in world.connections:
                    connection.cut()
                await asyncio.sleep(OUTAGE_S)
                for name in world.plain:
                    await world.remove_entry(name)
                for connection in world.connections:
                    connection.heal()
                await asyncio.sleep(REWRITE_S)
                for name in world.plain:
                    await world.write_entry(name)
                await sending
                assert all(one.status == 200 for one in world.results)
                used = {name for at, _, name in world.arrived if at > world.clock() - 2.0}
                assert used == set(world.plain)

        run(scenario)


class TestWaitingRequests:
    # The check before sending looked up the replica, which was unknown by then.
    def test_requests_that_wait_are_not_sent_to_a_replica_removed_meanwhile(self):
        async def scenario():
            async with PartitionWorld() as world:
                removed_at = {}

                def watch(number, daemon):
                    def note():
                        if "p1" not in daemon._state.replicas:
                            removed_at.setdefault(number, world.clock())

                    daemon._feed.subscribe(note)

                for number, gateway in enumerate(world.gateways):
                    watch(number, gateway.daemon)
                for replica in world.plain.values():
                    replica.limit = 6
                sending = asyncio.create_task(world.load(40.0, world.clock() + 10.0, b"/i/x"))
                await asyncio.sleep(4.0)
                left_at = await world.remove_entry("p1")
                await sending
                assert set(removed_at) == {0, 1, 2}
                for number, at in removed_at.items():
                    assert world.arrivals("p1", left_at - 4.0, {number})
                    assert not world.arrivals("p1", at, {number})

        run(scenario)


class TestSilentConnections:
    # A watch without changes could not be told from one whose connection dropped its packets.
    @pytest.mark.parametrize("phase_s", [0.0, 0.75, 1.5, 2.25])
    @pytest.mark.parametrize("silent", [(1,), (0, 1, 2)])
    def test_no_requests_reach_a_replica_that_left_while_connections_are_silent(
        self, silent, phase_s
    ):
        async def scenario():
            async with PartitionWorld() as world:
                sending = asyncio.create_task(world.load(60.0, world.clock() + 8.0, b"/i/x"))
                await asyncio.sleep(2.0 + phase_s)
                for number in silent:
                    world.connections[number].silence()
                left_at = await world.drain_entry("p1")
                await sending
                assert not world.arrivals("p1", left_at + DRAIN_S, {0, 1, 2})
                assert all(one.status == 200 for one in world.results)

        run(scenario)
