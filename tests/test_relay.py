"""Orders that a planner sends to engines through their owners."""

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
    PlannerTerm,
    Replica,
)
from gradelug_gateway.placement import GATEWAY_TIMEOUT_S, PlacementService, PlannerRole
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
    """Records the orders that reach engines."""

    def __init__(self):
        self.sent_orders = []
        self.wait_s = 0.0

    async def order(self, replica, order):
        self.sent_orders.append(order)
        await asyncio.sleep(self.wait_s)
        return OrderOutcome.TAKEN

    def may_order(self, replica):
        return True


class StubOwnership:
    """Ownership with fencing tokens set by a test."""

    def __init__(self, **tokens):
        self.tokens = tokens

    def token(self, resource):
        return self.tokens.get(resource)

    is_cut_off = False
    has_joined = True

    def held(self):
        return frozenset(self.tokens)


class RelayFixture:
    """A planner's relay, and the link of an instance that owns engines, without a network."""

    def __init__(self, **tokens):
        clock = asyncio.get_running_loop().time
        state = FleetState(replicas={"e0": REPLICA})
        self.transport, self.tokens = Transport(), StubOwnership(**tokens)
        executor = Executor("me", self.tokens, state, self.transport)
        self.link = PlannerLink("llm", "me", "", Fleet(state, "hall", clock), clock, executor)
        self.relay = OrderRelay(self.transport)
        self.follower = Followers({}, clock).join("me", "")
        self.task = asyncio.create_task(self._carry())

    async def _carry(self):
        while True:
            await asyncio.sleep(0.005)
            for message in self.follower.take_messages():
                self.link._handle_message(message)
            self.relay.handle_message(self.follower, self.link._message(False))

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class TestOrderRelay:
    def test_owner_sends_order_under_its_own_token(self):
        async def scenario():
            fixture = RelayFixture(e0=41)
            await asyncio.sleep(0.05)
            assert fixture.relay.may_order(REPLICA)
            assert await fixture.relay.order(REPLICA, ORDER) is OrderOutcome.TAKEN
            (sent,) = fixture.transport.sent_orders
            assert (sent.owner, sent.fence, sent.expected) == ("me", 41, 0)
            await fixture.stop()

        run(scenario)

    def test_no_order_is_sent_without_an_owner(self):
        async def scenario():
            fixture = RelayFixture()
            await asyncio.sleep(0.05)
            assert not fixture.relay.may_order(REPLICA)
            assert await fixture.relay.order(REPLICA, ORDER) is OrderOutcome.NOT_GIVEN
            assert not fixture.transport.sent_orders
            await fixture.stop()

        run(scenario)

    def test_owner_without_token_sends_no_order(self):
        async def scenario():
            fixture = RelayFixture(e0=41)
            await asyncio.sleep(0.05)
            fixture.tokens.tokens["e0"] = None
            assert await fixture.relay.order(REPLICA, ORDER) is OrderOutcome.NOT_GIVEN
            assert not fixture.transport.sent_orders
            await fixture.stop()

        run(scenario)

    def test_outcome_is_lost_if_owner_disconnects_during_order(self):
        async def scenario():
            fixture = RelayFixture(e0=41)
            await asyncio.sleep(0.05)
            fixture.transport.wait_s = 10.0
            ordering = asyncio.create_task(fixture.relay.order(REPLICA, ORDER))
            await asyncio.sleep(0.05)
            fixture.relay.remove_gateway(fixture.follower)
            assert await ordering is OrderOutcome.LOST
            await fixture.stop()

        run(scenario)

    def test_result_for_previous_planner_is_not_sent_to_its_successor(self):
        """Planners number their orders from 1, so tickets of two planners coincide."""

        async def scenario():
            fixture = RelayFixture(e0=41)
            fixture.transport.wait_s = 0.1
            fixture.link._carry_out(pb.EngineOrder(ticket=1, replica="e0", model="m", adapter="a1"))
            fixture.link._stream_number += 1
            await asyncio.sleep(0.2)
            assert fixture.transport.sent_orders
            assert not fixture.link._message(False).results
            await fixture.stop()

        run(scenario)


class TestPlacementService:
    def test_gateway_is_removed_when_its_stream_times_out(self):
        """Guards against a stream that is not reset: requests of the lost gateway would occupy
        slots, and orders sent to it would be lost."""

        async def scenario():
            stream = ScriptedStream([pb.FromGateway(instance="me", service="llm", address="a:1")])
            planner = RecordingPlanner()
            service = PlacementService({"llm": StubRole(planner)}, lambda service: None)
            await asyncio.wait_for(service.Follow(stream), GATEWAY_TIMEOUT_S + 0.1)
            assert planner.left == [planner.joined[0]]

        run(scenario)

    def test_gateway_that_sends_messages_stays_connected(self):
        async def scenario():
            first = pb.FromGateway(instance="me", service="llm", address="a:1")
            stream = ScriptedStream([first, *[pb.FromGateway()] * 5], GATEWAY_TIMEOUT_S * 0.8)
            planner = RecordingPlanner()
            service = PlacementService({"llm": StubRole(planner)}, lambda service: None)
            following = asyncio.create_task(service.Follow(stream))
            await asyncio.sleep(GATEWAY_TIMEOUT_S * 0.8 * 5)
            assert not planner.left
            following.cancel()

        run(scenario)


class StubElection:
    """Holds the role until a successor is elected."""

    def __init__(self):
        self.fence = 5
        self.aside = 0

    async def run(self):
        await asyncio.sleep(3600.0)

    def may_act(self):
        return True

    async def step_down(self):
        self.aside += 1


class TestDuty:
    def test_weak_instance_steps_aside_once_for_fully_capable_one(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            election = StubElection()
            window = LoadRateLimiter(2.0, 5.0, 1.1, 3)
            duty = PlannerRole(
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


class StubRole:
    def __init__(self, planner):
        self.planner = planner


class RecordingPlanner:
    """Records which gateways connect and disconnect."""

    def __init__(self):
        self.joined, self.left = [], []

    def join(self, instance, address):
        self.joined.append(Followers({}, asyncio.get_running_loop().time).join(instance, address))
        return self.joined[-1]

    def take(self, follower, message):
        pass

    def leave(self, follower):
        self.left.append(follower)


class ScriptedStream:
    """Returns the given messages one by one, then none."""

    def __init__(self, messages, spacing_s=0.0):
        self.messages = messages
        self.spacing_s = spacing_s

    async def recv_message(self):
        await asyncio.sleep(self.spacing_s if self.messages else 3600.0)
        return self.messages.pop(0)

    async def send_message(self, message):
        pass


class TestTerm:
    def test_order_is_not_sent_after_its_term_has_ended(self):
        """A planner sent an order with token 130, and 2 ms later one with token 0, in a large
        deployment."""

        async def scenario():
            transport, engine, term = Transport(), Engine(REPLICA, SPEC), PlannerTerm(130)
            term.has_ended = True
            outcome = await engine.send_order(transport, True, AdapterKey("m", "a1"), 0, "me", term)
            assert outcome is OrderOutcome.NOT_GIVEN
            assert not transport.sent_orders
            assert not engine.synced

        run(scenario)
