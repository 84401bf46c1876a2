"""Instances that lose their own links to replicas while callers and peers still reach them."""

import asyncio

import pytest
from link_world import Cut, LinkWorld
from poison_world import EVENT_S, EVENTS, START_DELAY_S
from run_world import run

CONTACT_S = 3.0
"""Time from the start of a cut after which callers of the cut-off instances must be served."""
CUT_S = 11.0
MIN_SERVED_RATIO = 2 / 3
"""Minimum served fraction at the cut-off instances, relative to that at the others."""
MIN_SERVED = 0.9
"""Minimum served fraction at instances that keep their links."""
RATE = 40.0
NOTICE_S = 1.0
"""Time within which silent connections to replicas are noticed while requests are sent."""
HOLDER_S = 3.0
"""Minimum time between the orders of two owners of an engine."""
TAKEOVER_S = 8.0
"""Time within which others own the engines of an instance that is cut off."""
GRACE_S = 8.0
PASS_S = 0.12
"""Maximum delay of the events of a stream, in seconds."""
RETURN_S = 2.0
"""Time after the end of a cut by which an instance uses its own links again."""


async def play_cut(world, cut_off, how, replicas=None, cut_s=CUT_S):
    """Cut instances off while callers send; return the counted start and end of the cut."""
    calling = asyncio.create_task(world.call(RATE, world.clock() + 2.0 + cut_s + 5.0))
    await asyncio.sleep(2.0)
    cut_at = world.cut(cut_off, how, replicas)
    await asyncio.sleep(cut_s)
    healed_at = world.heal()
    await calling
    return cut_at + CONTACT_S, healed_at


def check_served(world, cut_off, since, until, path=b""):
    """Check that first tries are served on both sides of a cut."""
    others = set(range(len(world.gateways))) - set(cut_off)
    at_others = world.served(others, since, until, path)
    assert at_others >= MIN_SERVED
    assert world.served(set(cut_off), since, until, path) >= MIN_SERVED_RATIO * at_others


class TestRequests:
    # A request had no path to a replica except the instance's own connection.
    @pytest.mark.parametrize("how", Cut)
    @pytest.mark.parametrize("cut_off", [(1,), (1, 2)])
    def test_requests_fail_at_instances_that_lost_their_links_to_replicas(self, cut_off, how):
        async def scenario():
            async with LinkWorld() as world:
                since, until = await play_cut(world, cut_off, how)
                for path in (b"/s/", b"/u/", b"/i/"):
                    check_served(world, cut_off, since, until, path)
                unrepeatable = [body for _, body, _ in world.arrived if world.is_unrepeatable(body)]
                assert len(unrepeatable) == len(set(unrepeatable))

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    @pytest.mark.parametrize("replicas", [("e1", "e2", "e3"), ("p0", "p1"), ("e1", "e2", "p0")])
    def test_requests_fail_at_an_instance_that_lost_its_links_to_some_replicas(self, replicas, how):
        async def scenario():
            async with LinkWorld() as world:
                since, until = await play_cut(world, (1,), how, replicas)
                for path in (b"/s/", b"/u/", b"/i/"):
                    check_served(world, (1,), since, until, path)

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_requests_fail_while_links_come_and_go_every_second(self, how):
        async def scenario():
            async with LinkWorld() as world:
                calling = asyncio.create_task(world.call(RATE, world.clock() + 14.0))
                await asyncio.sleep(2.0)
                since = world.clock() + CONTACT_S
                for _ in range(5):
                    world.cut([1], how)
                    await asyncio.sleep(1.0)
                    world.heal()
                    await asyncio.sleep(1.0)
                until = world.clock()
                await calling
                check_served(world, (1,), since, until)

        run(scenario)

    def test_requests_fail_after_the_links_are_back(self):
        async def scenario():
            async with LinkWorld() as world:
                _, healed_at = await play_cut(world, (1, 2), Cut.HANG)
                assert world.served({1, 2}, healed_at, healed_at + 5.0) >= MIN_SERVED
                tunnels = {gateway.tunnels for gateway in world.gateways}
                late = [
                    at
                    for number in (1, 2)
                    for at, address in world.links[number].opened
                    if address in tunnels and at > healed_at + RETURN_S
                ]
                assert not late
                assert not world.gateways[0].daemon._access.server.connections

        run(scenario)

    def test_calm_instances_open_tunnels(self):
        async def scenario():
            async with LinkWorld() as world:
                await world.call(RATE, world.clock() + 10.0)
                opened = [gateway.daemon._access.server.opened for gateway in world.gateways]
                assert opened == [0, 0, 0]
                probes = [
                    address
                    for links in world.links
                    for _, address in links.opened
                    if address.startswith("10.0.1.")
                ]
                assert len(probes) <= 10 * 3 * 3

        run(scenario)

        run(scenario)


class TestDetection:
    # Requests used one idle connection after the other that had fallen silent.
    def test_requests_are_lost_on_silent_connections_until_the_kernel_ends_them(self):
        async def scenario():
            async with LinkWorld() as world:
                world.spawn(world.call(4 * RATE, world.clock() + 1.0))
                await asyncio.sleep(1.2)
                calling = asyncio.create_task(world.call(RATE / 2, world.clock() + 6.0))
                muted_at = world.clock()
                for links in world.links:
                    links.mute()
                await calling
                for path in (b"/s/", b"/u/", b"/i/"):
                    assert world.served({0, 1, 2}, muted_at + NOTICE_S, muted_at + 4.0, path) == 1.0

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_a_loss_of_all_links_is_noticed_late(self, how):
        async def scenario():
            async with LinkWorld() as world:
                calling = asyncio.create_task(world.call(6.0, world.clock() + 8.0))
                await asyncio.sleep(4.0)
                world.cut([1], how)
                await asyncio.sleep(2 * NOTICE_S)
                assert world.gateways[1].daemon._access.monitor.cut_off
                await calling

        run(scenario)


class TestPeers:
    async def _play(self, world, act):
        """Cut one of three instances off, act on one of its peers meanwhile; return the start."""
        calling = asyncio.create_task(world.call(RATE, world.clock() + 14.0))
        await asyncio.sleep(2.0)
        cut_at = world.cut([1], Cut.HANG)
        await asyncio.sleep(4.0)
        peer = max((0, 2), key=lambda at: len(world.gateways[at].daemon._access.server.connections))
        await act(world.gateways[peer])
        await calling
        unrepeatable = [body for _, body, _ in world.arrived if world.is_unrepeatable(body)]
        assert len(unrepeatable) == len(set(unrepeatable))
        return cut_at

    # Responses that break off with a peer counted as failures of their replicas.
    def test_requests_fail_when_a_peer_with_tunnels_is_lost(self):
        async def scenario():
            async with LinkWorld() as world:
                lost_at = []

                async def kill(peer):
                    lost_at.append(world.clock())
                    peer.kill()

                await self._play(world, kill)
                assert world.served({1}, lost_at[0] + 1.0, lost_at[0] + 7.0) >= MIN_SERVED
                assert world.served({1}, lost_at[0] - 1.0, lost_at[0] + 7.0) >= MIN_SERVED_RATIO
                health = world.gateways[1].daemon._fleet
                assert health.count_ejected() == 0
                assert world.gateways[1].daemon._poison.ends.ended == 0

        run(scenario)

    def test_requests_fail_when_a_peer_with_tunnels_shuts_down(self):
        async def scenario():
            async with LinkWorld() as world:
                drained = []

                async def stop(peer):
                    began_at = world.clock()
                    await peer.daemon._drain()
                    drained.append(world.clock() - began_at)
                    assert not peer.daemon._access.server.connections
                    peer.kill()

                cut_at = await self._play(world, stop)
                assert drained[0] < GRACE_S
                assert world.served({1}, cut_at + CONTACT_S, cut_at + 12.0) == 1.0

        run(scenario)

    def test_a_replica_works_on_for_a_caller_that_left(self):
        async def scenario():
            async with LinkWorld() as world:
                calling = asyncio.create_task(world.call(RATE, world.clock() + 4.0))
                await asyncio.sleep(2.0)
                world.cut([1], Cut.REFUSE)
                await asyncio.sleep(1.0)
                asking = asyncio.create_task(world.ask(world.gateways[1], b"left", path=b"/s/x"))
                await asyncio.sleep(0.25)
                assert any(b"left" in one.running.values() for one in world.engines.values())
                conn = next(
                    conn
                    for conn in world.gateways[1].daemon._caller_server.connections
                    if conn.task is not None and conn._incoming.body == b"left"
                )
                conn.transport.peer.abort()
                await asyncio.sleep(0.05)
                assert not any(b"left" in one.running.values() for one in world.engines.values())
                asking.cancel()
                await calling

        run(scenario)

    def test_events_pass_a_peer_late_or_are_lost(self):
        async def scenario():
            async with LinkWorld() as world:
                calling = asyncio.create_task(world.call(RATE, world.clock() + 4.0))
                await asyncio.sleep(2.0)
                world.cut([1], Cut.REFUSE)
                await asyncio.sleep(1.0)
                began_at = world.clock()
                assert await world.ask(world.gateways[1], b"timed", path=b"/s/x") == 200
                usual_s = START_DELAY_S + EVENTS * EVENT_S
                assert world.clock() - began_at <= usual_s + PASS_S
                await calling

        run(scenario)


class TestReports:
    # A refused connection counted as the end of its replica, and of the requests there as a cause.
    def test_replicas_count_as_ended_on_the_word_of_instances_without_links(self):
        async def scenario():
            async with LinkWorld(gateways=6) as world:
                await play_cut(world, (0, 1, 2, 3, 4), Cut.REFUSE)
                daemons = [gateway.daemon for gateway in world.gateways]
                assert [daemon._poison.ends.ended for daemon in daemons] == [0] * 6
                assert all(daemon._fleet.count_ejected() == 0 for daemon in daemons)

        run(scenario)


class TestPlanner:
    # A planner kept its role although it could not reach any engine to load weights on.
    # Its own attempts to give orders delayed the probes of its links.
    def test_a_planner_among_many_cut_off_instances_keeps_its_role(self):
        async def scenario():
            async with LinkWorld(gateways=6, engines=4, plain=3) as world:
                calling = asyncio.create_task(world.call(100.0, world.clock() + 8.0))
                await asyncio.sleep(3.0)
                world.cut([0, 1, 2, 3, 4], Cut.REFUSE)
                await asyncio.sleep(CONTACT_S)
                assert world.planner() == 5
                await calling

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_no_weights_are_loaded_while_the_planner_is_cut_off_from_its_engines(self, how):
        async def scenario():
            async with LinkWorld() as world:
                began_at = world.clock()

                def moving_demand(number, now):
                    """Name an adapter of a set that changes during a test."""
                    return f"a{number % 4 + 4 * int((now - began_at) / 5.0)}"

                calling = asyncio.create_task(
                    world.call(RATE, began_at + 15.0, (b"/s/x",), moving_demand)
                )
                await asyncio.sleep(2.0)
                planner = world.planner()
                cut_at = world.cut([planner], how)
                await asyncio.sleep(CUT_S)
                healed_at = world.heal()
                await calling
                check_served(world, [planner], cut_at + CONTACT_S, healed_at)

        run(scenario)


class TestOwners:
    # An owner that could not reach its engine kept it for as long as the store answered.
    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_an_engine_without_fencing_gets_no_orders_while_its_owner_is_cut_off(self, how):
        async def scenario():
            async with LinkWorld(fenced=False) as world:
                calling = asyncio.create_task(world.call(RATE, world.clock() + 22.0))
                await asyncio.sleep(6.0)
                owner = max(range(3), key=lambda at: len(world.held(at)))
                assert world.held(owner)
                last_held = {}

                async def watch():
                    while True:
                        for at in range(3):
                            for name in world.held(at):
                                before, when = last_held.get(name, (at, world.clock()))
                                assert before == at or world.clock() - when >= HOLDER_S
                                last_held[name] = at, world.clock()
                        await asyncio.sleep(0.05)

                watching = asyncio.create_task(watch())
                cut_at = world.cut([owner], how)
                while len({name for at in range(3) if at != owner for name in world.held(at)}) < 3:
                    await asyncio.sleep(0.1)
                    assert world.clock() < cut_at + TAKEOVER_S
                world.heal()
                await calling
                assert not watching.done()
                watching.cancel()
                assert {name for at in range(3) for name in world.held(at)} == set(world.engines)

        run(scenario)
