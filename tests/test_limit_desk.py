"""Exchange of replica limits and capacity requests between gateways and a planner."""

import asyncio

import pytest
from gradelug_gateway.follower import Follower
from gradelug_gateway.limit_desk import MIN_REPORT_INTERVAL_S, REPEAT_INTERVAL_S, LimitAllocator
from gradelug_gateway.limit_facts import decode_limit, encode_limit
from gradelug_gateway.limit_teller import MAX_URGENT_ASKS_PER_S, LimitClient
from gradelug_gateway.limits import Demand, Denial, GrantsUnavailable, ReplicaLimits
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.pending import merge_updates
from gradelug_policy.replica_limits import LimitFact, ReportedLimit
from gradelug_wire import placement_pb2 as pb
from run_world import run

FLUSH_S = 0.4
SERVICE = ""
"""Name of the coordinating service where no service has engines."""


class RecordingLink:
    """Counts immediate flushes and those with the next message."""

    def __init__(self):
        self.flush_s = FLUSH_S
        self.flushed = self.queued = 0

    def flush_soon(self):
        self.flushed += 1

    def queue_flush(self):
        self.queued += 1


class GatewayClient:
    """One gateway's limits, link and client."""

    def __init__(self, world, number):
        self.link = RecordingLink()
        self.follower = Follower(number, f"g{number}", "")
        self.limits = ReplicaLimits(world.clock)
        self.limits.set_instance_count(world.instance_count)
        self.client = LimitClient(SERVICE, self.limits, world.state, world.clock, lambda: self.link)
        self.limits.find_client = lambda service: self.client


class LimitFleet:
    """Gateways and one planner; messages are exchanged on demand."""

    def __init__(self, gateways=2, replicas=2, instance_count=2):
        self.clock = asyncio.get_running_loop().time
        self.instance_count = instance_count
        names = [f"e{number}" for number in range(replicas)]
        self.state = FleetState(replicas={name: Replica(name, "plain", "", "h") for name in names})
        self.holds_term = True
        self.gateways = [GatewayClient(self, number) for number in range(gateways)]
        self.news = []
        self.replace_planner()

    def replace_planner(self):
        """Replace the planner by a new one."""
        self.allocator = LimitAllocator(SERVICE, self.state, self.clock, lambda: self.holds_term)
        for one in self.gateways:
            one.client.begin_stream()

    def exchange_messages(self):
        """Deliver all messages in both directions; return the planner's update."""
        for one in self.gateways:
            message = pb.FromGateway()
            one.client.fill(message)
            self.allocator.take(one.follower, message, self.clock())
        news = pb.FromPlanner()
        self.allocator.fill(news, self.clock())
        for one in self.gateways:
            answers = pb.FromPlanner(room_answers=one.follower.room_answers)
            one.follower.room_answers.clear()
            one.client.take(answers)
            one.client.take(news)
        return news

    async def run_for(self, seconds):
        """Exchange messages for some seconds."""
        until = self.clock() + seconds
        while self.clock() < until:
            self.exchange_messages()
            await asyncio.sleep(0.01)

    def set_limit(self, at, rate, replica="e0"):
        self.gateways[at].limits.update_from_answer(replica, ReportedLimit(rate), self.clock())

    def request(self, at, replica="e0", wait_s=0.0, **demand):
        found = Demand(self.clock() + wait_s, **demand)
        rep = self.state.replicas[replica]
        return asyncio.create_task(self.gateways[at].limits.admit(rep, found))


class TestLimitPropagation:
    def test_a_limit_reaches_all_gateways(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            world.exchange_messages()
            assert world.gateways[1].limits.rate("e0") == 1.4

        run(scenario)

    def test_the_end_of_a_limit_reaches_all_gateways(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            world.exchange_messages()
            await asyncio.sleep(1.0)
            world.set_limit(1, None)
            world.exchange_messages()
            assert not world.gateways[0].limits.limited_replicas()

        run(scenario)

    def test_a_new_planner_receives_all_limits(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            world.exchange_messages()
            world.replace_planner()
            world.exchange_messages()
            assert world.allocator.is_limited("e0")

        run(scenario)

    def test_a_gateway_that_missed_the_end_receives_it(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            world.exchange_messages()
            late = world.gateways.pop()
            await asyncio.sleep(1.0)
            world.set_limit(0, None)
            world.exchange_messages()
            world.exchange_messages()
            world.gateways.append(late)
            late.client.begin_stream()
            world.exchange_messages()
            assert not late.limits.limited_replicas()

        run(scenario)

    def test_a_joining_gateway_receives_all_limits(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            world.exchange_messages()
            world.gateways.append(GatewayClient(world, 7))
            world.exchange_messages()
            assert world.gateways[-1].limits.rate("e0") == 1.4

        run(scenario)

    def test_a_report_of_another_incarnation_is_ignored(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.4)
            message = pb.FromGateway()
            world.gateways[0].client.fill(message)
            world.state.replicas["e0"] = Replica("e0", "plain", "", "h", born=5)
            world.allocator.take(world.gateways[0].follower, message, world.clock())
            assert not world.allocator.is_limited("e0")

        run(scenario)

    def test_limits_are_repeated_and_frequent_changes_are_throttled(self):
        async def scenario():
            world = LimitFleet()
            sent = 0
            for step in range(100):
                world.set_limit(0, 1.0 + step % 7)
                sent += len(world.exchange_messages().limits)
                await asyncio.sleep(0.1)
            assert 10.0 / REPEAT_INTERVAL_S - 1 <= sent <= 10.0 / MIN_REPORT_INTERVAL_S + 1

        run(scenario)

    def test_merged_updates_hold_the_newest_limit_of_each_replica(self):
        old = pb.FromPlanner(limits=[pb.LimitFact(replica="a", rate=1), pb.LimitFact(replica="b")])
        new = pb.FromPlanner(limits=[pb.LimitFact(replica="a", rate=2)])
        merged = merge_updates(old, new)
        assert {fact.replica: fact.rate for fact in merged.limits} == {"a": 2, "b": 0}

    def test_the_removal_of_a_replica_releases_waiting_requests(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 0.2)
            await world.run_for(0.1)
            asked = world.request(0, wait_s=30.0)
            await world.run_for(0.1)
            del world.state.replicas["e0"]
            await world.run_for(0.1)
            assert await asked is None
            assert not world.allocator.is_limited("e0")

        run(scenario)


class TestCapacityRequests:
    def test_capacity_is_granted_at_the_limit_across_gateways(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.0)
            await world.run_for(0.05)
            asked = [world.request(at % 2, wait_s=9.0) for at in range(4)]
            await world.run_for(2.5)
            assert sum(task.done() for task in asked) == 2

        run(scenario)

    def test_a_request_that_does_not_wait_is_denied_with_a_retry_delay(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.0)
            await world.run_for(0.05)
            asked = world.request(1)
            await world.run_for(0.05)
            denial = asked.result()
            assert isinstance(denial, Denial)
            assert 0.5 <= denial.retry_s <= 1.0
            assert denial.elsewhere

        run(scenario)

    def test_a_denial_reports_that_no_replica_has_capacity(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.0)
            world.set_limit(0, 1.0, "e1")
            await world.run_for(0.05)
            asked = world.request(1)
            await world.run_for(0.05)
            assert not asked.result().elsewhere

        run(scenario)

    def test_a_planner_without_a_term_grants_nothing(self):
        async def scenario():
            world = LimitFleet(instance_count=10_000)
            world.set_limit(0, 50.0)
            world.holds_term = False
            await world.run_for(0.5)
            asked = asyncio.create_task(world.gateways[0].client.ask("e0", Demand(world.clock())))
            await world.run_for(0.1)
            with pytest.raises(GrantsUnavailable):
                await asked

        run(scenario)

    def test_waiting_requests_are_denied_when_the_term_ends(self):
        async def scenario():
            world = LimitFleet(instance_count=10_000)
            world.set_limit(0, 0.5)
            await world.run_for(0.05)
            asked = world.request(0, wait_s=1.9)
            await world.run_for(0.5)
            world.holds_term = False
            await world.run_for(4.0)
            assert isinstance(asked.result(), Denial)

        run(scenario)

    def test_capacity_of_a_cancelled_request_goes_to_the_next(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 1.0)
            await world.run_for(1.2)
            left = world.request(0)
            await asyncio.sleep(0)
            message = pb.FromGateway()
            world.gateways[0].client.fill(message)
            left.cancel()
            await asyncio.sleep(0)
            world.allocator.take(world.gateways[0].follower, message, world.clock())
            await world.run_for(0.05)
            other = world.request(0)
            await asyncio.sleep(0)
            assert await other is None

        run(scenario)

    def test_a_cancelled_request_leaves_the_queue(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 0.2)
            await world.run_for(0.05)
            left = world.request(0, wait_s=30.0)
            await world.run_for(0.05)
            assert world.allocator.waiting == 1
            left.cancel()
            await world.run_for(0.05)
            assert world.allocator.waiting == 0

        run(scenario)

    def test_requests_of_a_lost_gateway_leave_the_queue(self):
        async def scenario():
            world = LimitFleet()
            world.set_limit(0, 0.2)
            await world.run_for(0.05)
            asked = [world.request(at, wait_s=30.0) for at in (0, 0, 1)]
            await world.run_for(0.05)
            world.allocator.leave(world.gateways[0].follower, world.clock())
            assert world.allocator.waiting == 1
            for task in asked:
                task.cancel()

        run(scenario)

    def test_requests_of_a_large_fleet_are_batched(self):
        async def scenario():
            world = LimitFleet(instance_count=370)
            world.set_limit(0, 5.0)
            await world.run_for(0.05)
            link = world.gateways[0].link
            before = link.flushed
            for _ in range(27):
                world.request(0).cancel()
                task = world.request(0)
                await asyncio.sleep(1 / 27)
                task.cancel()
            flushed = link.flushed - before
            assert flushed <= MAX_URGENT_ASKS_PER_S / 370 + 2
            assert link.queued >= 20

        run(scenario)


class TestWithoutPlanner:
    def test_instances_send_on_their_local_share(self):
        async def scenario():
            limits = ReplicaLimits(asyncio.get_running_loop().time)
            limits.set_instance_count(7)
            limits.update_from_answer("e0", ReportedLimit(1.4), 0.0)
            rep, sent = Replica("e0", "plain", "", "h"), 0
            loop = asyncio.get_running_loop()
            until = loop.time() + 60.0
            while loop.time() < until:
                sent += await limits.admit(rep, Demand(loop.time())) is None
                await asyncio.sleep(0.05)
            assert 1 <= sent <= 60.0 * 1.4 / 7

        run(scenario)

    def test_waiting_requests_ask_a_new_planner(self):
        async def scenario():
            world = LimitFleet(instance_count=10_000)
            world.set_limit(0, 2.0)
            limits = world.gateways[0].limits
            find_client, limits.find_client = limits.find_client, lambda service: None
            asked = world.request(0, wait_s=5.0)
            await world.run_for(1.0)
            limits.find_client = find_client
            await world.run_for(1.0)
            assert asked.done()
            assert asked.result() is None

        run(scenario)


def test_a_limit_of_zero_is_preserved_on_the_wire():
    encoded = encode_limit("e0", 3, LimitFact(0.0, 1.0, 2.0), 5.0)
    assert encoded.named
    assert decode_limit(encoded, 5.0) == LimitFact(0.0, 1.0, 2.0)
