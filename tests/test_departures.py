"""Replicas that announce in their responses that they are leaving."""

import asyncio

import pytest
from gradelug_coordination import KvEntry
from gradelug_gateway.feed import Feed
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.settings import Feature
from gradelug_http import ResponseHead
from gradelug_platform.dialect import PlatformDialect
from gradelug_platform.entries import PlatformEntries
from gradelug_policy.departures import MAX_INCARNATIONS, DrainingReplicas
from limit_world import LimitWorld
from run_world import run

DRAIN_S = 2.0
"""Time for instances to stop sending after a response announced the departure, in seconds."""


async def start_leaving(world, *names):
    """Make replicas announce their departure while the store is unavailable; return the time."""
    world.kv.set_down(True)
    await asyncio.sleep(0.5)
    for name in names:
        world.replica(name).leaves = True
    return world.clock()


def late_requests(world, name, since):
    """Return the times of requests to a replica later than `DRAIN_S` after `since`."""
    return [at for at, _, where in world.arrived if where == name and at > since + DRAIN_S]


class TestNoRequestsReachALeavingReplica:
    # An unavailable store cannot distribute a departure; only the responses announce it.
    @pytest.mark.parametrize(("name", "path"), [("e1", b"/s/x"), ("p1", b"/i/x")])
    def test_after_its_announcement_while_the_store_is_unavailable(self, name, path):
        async def scenario():
            async with LimitWorld(plain=3) as world:
                sending = asyncio.create_task(world.load(30.0, world.clock() + 9.0, path))
                await asyncio.sleep(2.0)
                began = await start_leaving(world, name)
                await sending
                assert not late_requests(world, name, began)
                served = world.harmless()
                assert served[200] >= 0.98 * served.total()

        run(scenario)

    def test_after_the_store_returns_with_an_older_entry(self):
        async def scenario():
            async with LimitWorld(plain=3) as world:
                sending = asyncio.create_task(world.load(30.0, world.clock() + 10.0, b"/i/x"))
                await asyncio.sleep(1.0)
                began = await start_leaving(world, "p1")
                await asyncio.sleep(2.0)
                world.kv.set_down(False)
                await sending
                assert not late_requests(world, "p1", began)

        run(scenario)

    def test_from_instances_with_a_new_planner_or_after_a_restart(self):
        async def scenario():
            async with LimitWorld() as world:
                sending = asyncio.create_task(world.load(20.0, world.clock() + 12.0))
                await asyncio.sleep(1.0)
                world.replica("e1").leaves = True
                began = world.clock()
                await asyncio.sleep(2.0)
                next(one for one in world.gateways if one.is_planner).kill()
                other = next(one for one in world.gateways if not one.process.dead)
                other.kill()
                await asyncio.sleep(0.5)
                other.start()
                await sending
                senders = {world.sender(body) for at, body, name in world.arrived if name == "e1"}
                assert len(senders) == len(world.gateways)
                restarted = world.gateways.index(other)
                assert not [
                    at
                    for at, body, name in world.arrived
                    if name == "e1" and at > began + DRAIN_S and world.sender(body) != restarted
                ]

        run(scenario)

    def test_not_if_the_feature_is_disabled(self):
        async def scenario():
            async with LimitWorld(plain=3, without=(Feature.SAID_DEPARTURES,)) as world:
                sending = asyncio.create_task(world.load(30.0, world.clock() + 6.0, b"/i/x"))
                await asyncio.sleep(1.0)
                began = await start_leaving(world, "p1")
                await sending
                assert late_requests(world, "p1", began)

        run(scenario)


class TestDeparturePropagation:
    def test_instances_without_an_announcement_receive_it_from_the_planner(self):
        async def scenario():
            async with LimitWorld() as world:
                await start_leaving(world, "e1")
                await world.load(20.0, world.clock() + 1.0)
                await asyncio.sleep(0.3)
                states = [one.daemon._state for one in world.gateways]
                assert all(state.replicas["e1"].leaving for state in states)
                planner = next(one for one in world.gateways if one.is_planner)
                (duty,) = planner.daemon._planner_roles.values()
                assert "e1" not in duty.planner.engines

        run(scenario)

    def test_callers_are_rejected_with_a_retry_delay_when_the_last_replica_leaves(self):
        async def scenario():
            async with LimitWorld(engines=1, plain=1) as world:
                await start_leaving(world, "p0")
                await world.load(10.0, world.clock() + 4.0, b"/i/x")
                await asyncio.sleep(1.0)
                rejected = [one for one in world.results if one.status == 503]
                assert rejected
                assert all(one.retry_s > 0 and one.took_s < 0.5 for one in rejected)

        run(scenario)


class FixedMirror:
    """A mirror with fixed entries and no store."""

    def __init__(self):
        self.entries, self.missing, self.revision = {}, set(), 0
        self.proven_at = 0.0

    def subscribe(self, listener):
        pass

    def show(self, revision, state="ready", born=7):
        value = (
            b'{"Backend":"s","Address":"10.0.0.1:80","Zone":"z","Slots":1,"State":"%b","born":%d}'
            % (state.encode(), born)
        )
        self.revision = revision
        self.entries["servers/r"] = KvEntry("servers/r", value, revision)


class TestIncarnations:
    def setup_method(self):
        self.mirror = FixedMirror()
        self.feed = Feed(self.mirror, PlatformEntries(), FleetState(), lambda: 0.0)
        self.mirror.show(1)
        self.feed.refresh()

    @property
    def replica(self):
        return self.feed.state.replicas["r"]

    def test_later_reports_do_not_revoke_a_departure(self):
        assert self.feed.mark_leaving("r", 7, "answer")
        assert not self.feed.mark_leaving("r", 7, "planner")
        self.mirror.show(2)
        self.feed.refresh()
        assert self.replica.leaving
        self.feed.apply_remote_replica("r", 9, Replica("r", "s", "10.0.0.1:80", "z", born=7))
        assert self.replica.leaving

    def test_an_older_entry_does_not_revoke_a_departure_from_the_store(self):
        self.mirror.show(2, "draining")
        self.feed.refresh()
        self.mirror.show(3)
        self.feed.refresh()
        assert self.replica.leaving

    def test_a_departure_outlives_the_expiry_of_the_entry(self):
        self.feed.mark_leaving("r", 7, "answer")
        del self.mirror.entries["servers/r"]
        self.feed.refresh()
        assert "r" not in self.feed.state.replicas
        self.mirror.show(5)
        self.feed.refresh()
        assert self.replica.leaving

    def test_a_new_incarnation_is_not_leaving(self):
        self.feed.mark_leaving("r", 7, "answer")
        self.mirror.show(2, born=8)
        self.feed.refresh()
        assert not self.replica.leaving

    def test_a_report_of_an_earlier_incarnation_is_ignored(self):
        self.feed.mark_leaving("r", 6, "answer")
        assert not self.replica.leaving

    def test_a_request_placed_before_the_departure_is_not_sent(self):
        chosen = self.replica
        self.feed.mark_leaving("r", 7, "answer")
        del self.mirror.entries["servers/r"]
        self.feed.refresh()
        assert self.feed.state.is_leaving(chosen)

    def test_the_number_of_departures_is_bounded(self):
        departures = DrainingReplicas()
        for number in range(MAX_INCARNATIONS + 1):
            departures.note("r", number)
        assert not departures.has("r", 0)
        assert departures.has("r", MAX_INCARNATIONS)


class TestHeader:
    @pytest.mark.parametrize(
        ("values", "leaves"),
        [((), False), ((b"1",), True), ((b" 1 ",), True), ((b"0",), False), ((b"",), False)]
        + [((b"0", b"1"), True), ((b"\xff",), False)],
    )
    def test_a_value_of_one_announces_the_departure(self, values, leaves):
        head = ResponseHead(200, tuple((b"Server-Leaving", value) for value in values))
        assert PlatformDialect().is_leaving(head) is leaves
