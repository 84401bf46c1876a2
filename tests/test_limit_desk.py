"""What gateways and a planner tell each other of replicas with a limit, message by message."""

import asyncio

import pytest
from gradelug_gateway.followers import Follower
from gradelug_gateway.limit_desk import MIN_REPORT_INTERVAL_S, REPEAT_INTERVAL_S, LimitDesk
from gradelug_gateway.limit_facts import decode_limit, encode_limit
from gradelug_gateway.limit_teller import MAX_URGENT_ASKS_PER_S, LimitTeller
from gradelug_gateway.limits import Demand, Denial, GrantsUnavailable, ReplicaLimits
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.pending import merge_news
from gradelug_policy.replica_limits import LimitFact, LimitWord
from gradelug_wire import placement_pb2 as pb
from run_world import run

FLUSH_S = 0.4
SERVICE = ""
"""Without engines the home of all is the service without a name."""


class Link:
    """Counts what goes out at once and what with the next message."""

    def __init__(self):
        self.flush_s = FLUSH_S
        self.hurried = self.told_soon = 0

    def hurry(self):
        self.hurried += 1

    def tell_soon(self):
        self.told_soon += 1


class Gateway:
    """One gateway's end."""

    def __init__(self, world, number):
        self.link = Link()
        self.follower = Follower(number, f"g{number}", "")
        self.limits = ReplicaLimits(world.clock)
        self.limits.share_among(world.instance_count)
        self.teller = LimitTeller(SERVICE, self.limits, world.state, world.clock, lambda: self.link)
        self.limits.find_desk = lambda service: self.teller


class World:
    """Gateways and the desk of one planner; messages pass when they are let."""

    def __init__(self, gateways=2, replicas=2, instance_count=2):
        self.clock = asyncio.get_running_loop().time
        self.instance_count = instance_count
        names = [f"e{number}" for number in range(replicas)]
        self.state = FleetState(replicas={name: Replica(name, "plain", "", "h") for name in names})
        self.term = True
        self.gateways = [Gateway(self, number) for number in range(gateways)]
        self.news = []
        self.renew()

    def renew(self):
        """Let another planner take over."""
        self.desk = LimitDesk(SERVICE, self.state, self.clock, lambda: self.term)
        for one in self.gateways:
            one.teller.begin_stream()

    def pass_on(self):
        """Let all messages pass both ways, the news as well; return the news."""
        for one in self.gateways:
            message = pb.FromGateway()
            one.teller.fill(message)
            self.desk.take(one.follower, message, self.clock())
        news = pb.FromPlanner()
        self.desk.fill(news, self.clock())
        for one in self.gateways:
            answers = pb.FromPlanner(room_answers=one.follower.room_answers)
            one.follower.room_answers.clear()
            one.teller.take(answers)
            one.teller.take(news)
        return news

    async def let(self, seconds):
        """Let time and messages pass."""
        until = self.clock() + seconds
        while self.clock() < until:
            self.pass_on()
            await asyncio.sleep(0.01)

    def name(self, at, rate, replica="e0"):
        self.gateways[at].limits.hear(replica, LimitWord(rate), self.clock())

    def ask(self, at, replica="e0", wait_s=0.0, **demand):
        found = Demand(self.clock() + wait_s, **demand)
        rep = self.state.replicas[replica]
        return asyncio.create_task(self.gateways[at].limits.admit(rep, found))


class TestTelling:
    def test_what_one_hears_all_know(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            world.pass_on()
            assert world.gateways[1].limits.rate("e0") == 1.4

        run(scenario)

    def test_what_one_hears_of_the_end_all_know(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            world.pass_on()
            await asyncio.sleep(1.0)
            world.name(1, None)
            world.pass_on()
            assert not world.gateways[0].limits.named()

        run(scenario)

    def test_a_planner_that_takes_over_is_told_of_all_limits(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            world.pass_on()
            world.renew()
            world.pass_on()
            assert world.desk.is_limited("e0")

        run(scenario)

    def test_a_gateway_that_missed_the_end_hears_of_it(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            world.pass_on()
            late = world.gateways.pop()
            await asyncio.sleep(1.0)
            world.name(0, None)
            world.pass_on()
            world.pass_on()
            world.gateways.append(late)
            late.teller.begin_stream()
            world.pass_on()
            assert not late.limits.named()

        run(scenario)

    def test_one_that_comes_is_told_of_all(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            world.pass_on()
            world.gateways.append(Gateway(world, 7))
            world.pass_on()
            assert world.gateways[-1].limits.rate("e0") == 1.4

        run(scenario)

    def test_word_of_another_life_says_nothing(self):
        async def scenario():
            world = World()
            world.name(0, 1.4)
            message = pb.FromGateway()
            world.gateways[0].teller.fill(message)
            world.state.replicas["e0"] = Replica("e0", "plain", "", "h", born=5)
            world.desk.take(world.gateways[0].follower, message, world.clock())
            assert not world.desk.is_limited("e0")

        run(scenario)

    def test_limits_are_repeated_and_those_that_change_again_and_again_told_seldom(self):
        async def scenario():
            world = World()
            told = 0
            for step in range(100):
                world.name(0, 1.0 + step % 7)
                told += len(world.pass_on().limits)
                await asyncio.sleep(0.1)
            assert 10.0 / REPEAT_INTERVAL_S - 1 <= told <= 10.0 / MIN_REPORT_INTERVAL_S + 1

        run(scenario)

    def test_news_that_wait_for_a_slow_reader_tell_the_newest_of_each(self):
        old = pb.FromPlanner(limits=[pb.LimitFact(replica="a", rate=1), pb.LimitFact(replica="b")])
        new = pb.FromPlanner(limits=[pb.LimitFact(replica="a", rate=2)])
        merged = merge_news(old, new)
        assert {fact.replica: fact.rate for fact in merged.limits} == {"a": 2, "b": 0}

    def test_a_replica_that_is_gone_is_forgotten_and_who_waits_for_it_is_let_go(self):
        async def scenario():
            world = World()
            world.name(0, 0.2)
            await world.let(0.1)
            asked = world.ask(0, wait_s=30.0)
            await world.let(0.1)
            del world.state.replicas["e0"]
            await world.let(0.1)
            assert await asked is None
            assert not world.desk.is_limited("e0")

        run(scenario)


class TestAsking:
    def test_room_is_granted_as_it_comes_whoever_asks(self):
        async def scenario():
            world = World()
            world.name(0, 1.0)
            await world.let(0.05)
            asked = [world.ask(at % 2, wait_s=9.0) for at in range(4)]
            await world.let(2.5)
            assert sum(task.done() for task in asked) == 2

        run(scenario)

    def test_who_need_not_wait_is_denied_at_once_and_told_when(self):
        async def scenario():
            world = World()
            world.name(0, 1.0)
            await world.let(0.05)
            asked = world.ask(1)
            await world.let(0.05)
            denial = asked.result()
            assert isinstance(denial, Denial)
            assert 0.5 <= denial.retry_s <= 1.0
            assert denial.elsewhere

        run(scenario)

    def test_it_is_told_if_no_replica_has_room(self):
        async def scenario():
            world = World()
            world.name(0, 1.0)
            world.name(0, 1.0, "e1")
            await world.let(0.05)
            asked = world.ask(1)
            await world.let(0.05)
            assert not asked.result().elsewhere

        run(scenario)

    def test_a_planner_out_of_office_grants_nothing(self):
        async def scenario():
            world = World(instance_count=10_000)
            world.name(0, 50.0)
            world.term = False
            await world.let(0.5)
            asked = asyncio.create_task(world.gateways[0].teller.ask("e0", Demand(world.clock())))
            await world.let(0.1)
            with pytest.raises(GrantsUnavailable):
                await asked

        run(scenario)

    def test_who_waits_at_a_planner_that_leaves_office_is_let_go_without_room(self):
        async def scenario():
            world = World(instance_count=10_000)
            world.name(0, 0.5)
            await world.let(0.05)
            asked = world.ask(0, wait_s=1.9)
            await world.let(0.5)
            world.term = False
            await world.let(4.0)
            assert isinstance(asked.result(), Denial)

        run(scenario)

    def test_room_granted_to_one_that_has_left_goes_to_the_next(self):
        async def scenario():
            world = World()
            world.name(0, 1.0)
            await world.let(1.2)
            left = world.ask(0)
            await asyncio.sleep(0)
            message = pb.FromGateway()
            world.gateways[0].teller.fill(message)
            left.cancel()
            await asyncio.sleep(0)
            world.desk.take(world.gateways[0].follower, message, world.clock())
            await world.let(0.05)
            other = world.ask(0)
            await asyncio.sleep(0)
            assert await other is None

        run(scenario)

    def test_one_that_has_left_waits_no_longer(self):
        async def scenario():
            world = World()
            world.name(0, 0.2)
            await world.let(0.05)
            left = world.ask(0, wait_s=30.0)
            await world.let(0.05)
            assert world.desk.waiting == 1
            left.cancel()
            await world.let(0.05)
            assert world.desk.waiting == 0

        run(scenario)

    def test_the_questions_of_a_gateway_that_is_lost_are_forgotten(self):
        async def scenario():
            world = World()
            world.name(0, 0.2)
            await world.let(0.05)
            asked = [world.ask(at, wait_s=30.0) for at in (0, 0, 1)]
            await world.let(0.05)
            world.desk.leave(world.gateways[0].follower, world.clock())
            assert world.desk.waiting == 1
            for task in asked:
                task.cancel()

        run(scenario)

    def test_questions_of_a_large_fleet_are_gathered(self):
        async def scenario():
            world = World(instance_count=370)
            world.name(0, 5.0)
            await world.let(0.05)
            link = world.gateways[0].link
            before = link.hurried
            for _ in range(27):
                world.ask(0).cancel()
                task = world.ask(0)
                await asyncio.sleep(1 / 27)
                task.cancel()
            hurried = link.hurried - before
            assert hurried <= MAX_URGENT_ASKS_PER_S / 370 + 2
            assert link.told_soon >= 20

        run(scenario)


class TestWithoutAPlanner:
    def test_instances_have_turns_of_their_own(self):
        async def scenario():
            limits = ReplicaLimits(asyncio.get_running_loop().time)
            limits.share_among(7)
            limits.hear("e0", LimitWord(1.4), 0.0)
            rep, sent = Replica("e0", "plain", "", "h"), 0
            loop = asyncio.get_running_loop()
            until = loop.time() + 60.0
            while loop.time() < until:
                sent += await limits.admit(rep, Demand(loop.time())) is None
                await asyncio.sleep(0.05)
            assert 1 <= sent <= 60.0 * 1.4 / 7

        run(scenario)

    def test_whoever_waits_asks_a_planner_that_comes(self):
        async def scenario():
            world = World(instance_count=10_000)
            world.name(0, 2.0)
            limits = world.gateways[0].limits
            desk, limits.find_desk = limits.find_desk, lambda service: None
            asked = world.ask(0, wait_s=5.0)
            await world.let(1.0)
            limits.find_desk = desk
            await world.let(1.0)
            assert asked.done()
            assert asked.result() is None

        run(scenario)


def test_the_wire_keeps_what_a_limit_of_none_is():
    told = encode_limit("e0", 3, LimitFact(0.0, 1.0, 2.0), 5.0)
    assert told.named
    assert decode_limit(told, 5.0) == LimitFact(0.0, 1.0, 2.0)
