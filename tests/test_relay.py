"""Orders that the owners of engines give for a planner."""

import asyncio

from gradelug_gateway.engines import Engine
from gradelug_gateway.executing import Executor
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.followers import Followers
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.model import (
    AdapterKey,
    EngineSpec,
    FleetState,
    Order,
    OrderOutcome,
    Replica,
    Term,
)
from gradelug_gateway.placement import GATEWAY_TIMEOUT_S, Duty, PlacementService
from gradelug_gateway.planner import Planner
from gradelug_gateway.relay import OrderRelay
from gradelug_policy.residency import LoadRateLimiter
from gradelug_wire import placement_pb2 as pb
from world import new_loop

SPEC = EngineSpec((), 1000.0, 3, 96, 1000, 2.0)
REPLICA = Replica("e0", "llm", "e0:1", "hall")
ORDER = Order(True, AdapterKey("m", "a1"), 0, 0, "planner", 5)


def run(scenario):
    loop = new_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


class Transport:
    """Notes the orders that reach engines."""

    def __init__(self):
        self.given = []
        self.wait_s = 0.0

    async def order(self, replica, order):
        self.given.append(order)
        await asyncio.sleep(self.wait_s)
        return OrderOutcome.TAKEN

    def may_order(self, replica):
        return True


class Tokens:
    """Ownership whose tokens a test sets."""

    def __init__(self, **tokens):
        self.tokens = tokens

    def token(self, resource):
        return self.tokens.get(resource)

    is_cut_off = False
    has_joined = True

    def held(self):
        return frozenset(self.tokens)


class Pair:
    """A planner's relay and the link of an instance that owns engines, without a network."""

    def __init__(self, **tokens):
        clock = asyncio.get_running_loop().time
        state = FleetState(replicas={"e0": REPLICA})
        self.transport, self.tokens = Transport(), Tokens(**tokens)
        executor = Executor("me", self.tokens, state, self.transport)
        self.link = PlannerLink("llm", "me", "", Fleet(state, "hall", clock), clock, executor)
        self.relay = OrderRelay(self.transport)
        self.follower = Followers({}, clock).join("me", "")
        self.task = asyncio.create_task(self._carry())

    async def _carry(self):
        while True:
            await asyncio.sleep(0.005)
            for message in self.follower.take_messages():
                self.link._take(message)
            self.relay.take(self.follower, self.link._message(False))

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class TestOrderRelay:
    def test_an_order_is_given_by_the_owner_under_its_own_token(self):
        async def scenario():
            pair = Pair(e0=41)
            await asyncio.sleep(0.05)
            assert pair.relay.may_order(REPLICA)
            assert await pair.relay.order(REPLICA, ORDER) is OrderOutcome.TAKEN
            (given,) = pair.transport.given
            assert (given.owner, given.fence, given.expected) == ("me", 41, 0)
            await pair.stop()

        run(scenario)

    def test_without_an_owner_nothing_is_given(self):
        async def scenario():
            pair = Pair()
            await asyncio.sleep(0.05)
            assert not pair.relay.may_order(REPLICA)
            assert await pair.relay.order(REPLICA, ORDER) is OrderOutcome.NOT_GIVEN
            assert not pair.transport.given
            await pair.stop()

        run(scenario)

    def test_an_owner_whose_token_is_over_gives_nothing(self):
        async def scenario():
            pair = Pair(e0=41)
            await asyncio.sleep(0.05)
            pair.tokens.tokens["e0"] = None
            assert await pair.relay.order(REPLICA, ORDER) is OrderOutcome.NOT_GIVEN
            assert not pair.transport.given
            await pair.stop()

        run(scenario)

    def test_an_owner_that_leaves_midway_leaves_a_doubt(self):
        async def scenario():
            pair = Pair(e0=41)
            await asyncio.sleep(0.05)
            pair.transport.wait_s = 10.0
            ordering = asyncio.create_task(pair.relay.order(REPLICA, ORDER))
            await asyncio.sleep(0.05)
            pair.relay.forget(pair.follower)
            assert await ordering is OrderOutcome.LOST
            await pair.stop()

        run(scenario)

    def test_a_result_for_an_earlier_planner_is_not_told_to_its_successor(self):
        """Both number their orders from 1."""

        async def scenario():
            pair = Pair(e0=41)
            pair.transport.wait_s = 0.1
            pair.link._carry_out(pb.EngineOrder(ticket=1, replica="e0", model="m", adapter="a1"))
            pair.link._stream_number += 1
            await asyncio.sleep(0.2)
            assert pair.transport.given
            assert not pair.link._message(False).results
            await pair.stop()

        run(scenario)


class TestPlacementService:
    def test_a_gateway_whose_stream_falls_silent_is_forgotten(self):
        """Its stream is not reset: what it ran would have kept places, and orders been lost."""

        async def scenario():
            stream = SilentStream([pb.FromGateway(instance="me", service="llm", address="a:1")])
            planner = FollowedPlanner()
            service = PlacementService({"llm": DutyOf(planner)}, lambda service: None)
            await asyncio.wait_for(service.Follow(stream), GATEWAY_TIMEOUT_S + 0.1)
            assert planner.left == [planner.joined[0]]

        run(scenario)

    def test_a_gateway_that_says_something_is_kept(self):
        async def scenario():
            first = pb.FromGateway(instance="me", service="llm", address="a:1")
            stream = SilentStream([first, *[pb.FromGateway()] * 5], GATEWAY_TIMEOUT_S * 0.8)
            planner = FollowedPlanner()
            service = PlacementService({"llm": DutyOf(planner)}, lambda service: None)
            following = asyncio.create_task(service.Follow(stream))
            await asyncio.sleep(GATEWAY_TIMEOUT_S * 0.8 * 5)
            assert not planner.left
            following.cancel()

        run(scenario)


class StubElection:
    """Holds a duty until a successor is entered."""

    def __init__(self):
        self.fence = 5
        self.aside = 0

    async def run(self):
        await asyncio.sleep(3600.0)

    def may_act(self):
        return True

    async def step_aside(self):
        self.aside += 1


class TestDuty:
    def test_a_weak_instance_steps_aside_once_for_a_strong_one(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            election = StubElection()
            window = LoadRateLimiter(2.0, 5.0, 1.1, 3)
            duty = Duty(
                election,
                lambda: Planner("llm", "me", SPEC, FleetState(), Transport(), window, clock),
                0.2,
            )
            task = asyncio.create_task(duty.run())
            await asyncio.sleep(0.3)
            gateway = duty.planner.join("g", "g:1")
            duty.planner.take(gateway, pb.FromGateway(strength=0.5))
            await asyncio.sleep(0.3)
            assert not election.aside
            duty.planner.take(gateway, pb.FromGateway(strength=1.0))
            await asyncio.sleep(0.5)
            assert election.aside == 1
            assert any(message.resigned for message in gateway.take_messages())
            assert duty.planner.term is not None
            task.cancel()
            await asyncio.sleep(0.1)

        run(scenario)


class DutyOf:
    def __init__(self, planner):
        self.planner = planner


class FollowedPlanner:
    """Notes who joins and leaves."""

    def __init__(self):
        self.joined, self.left = [], []

    def join(self, instance, address):
        self.joined.append(Followers({}, asyncio.get_running_loop().time).join(instance, address))
        return self.joined[-1]

    def take(self, follower, message):
        pass

    def leave(self, follower):
        self.left.append(follower)


class SilentStream:
    """Brings some messages, one after the other, and then nothing."""

    def __init__(self, messages, spacing_s=0.0):
        self.messages = messages
        self.spacing_s = spacing_s

    async def recv_message(self):
        await asyncio.sleep(self.spacing_s if self.messages else 3600.0)
        return self.messages.pop(0)

    async def send_message(self, message):
        pass


class TestTerm:
    def test_an_order_is_not_sent_once_its_term_is_over(self):
        """On the grown site a planner gave an order with token 130, and 2 ms later one with 0."""

        async def scenario():
            transport, engine, term = Transport(), Engine(REPLICA, SPEC), Term(130)
            term.is_over = True
            outcome = await engine.send_order(transport, True, AdapterKey("m", "a1"), 0, "me", term)
            assert outcome is OrderOutcome.NOT_GIVEN
            assert not transport.given
            assert not engine.synced

        run(scenario)
