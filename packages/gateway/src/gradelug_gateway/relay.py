"""Forwarding of a planner's orders to the instances that own the engines.

Engines that check no fencing tokens tolerate only one sender of orders at a time. So that the loss
of an instance delays orders for its own engines alone, each engine has an owner among the
instances. The planner decides for all engines, needs to own none, and may be replaced at any
moment: the owners execute the decisions of the newest planner.
"""

from __future__ import annotations

import asyncio
import itertools

import logbook
from gradelug_wire import placement_pb2 as pb

from .follower import Follower
from .model import EngineReport, Order, OrderOutcome, Replica
from .ports import OrderTransport

log = logbook.Logger("relay")
ORDER_TIMEOUT_S = 0.25
"""Timeout for an owner to report an order's result, in seconds: includes the owner's own timeout
for the engine (0.12 s), a round trip between instances, and batching of messages at both ends."""


class OrderRelay:
    """Implements `gradelug_gateway.ports.OrderTransport` for a planner.

    Parameters
    ----------
    transport : OrderTransport
        Reads the state of engines, which needs no ownership.
    """

    __slots__ = ("_owners", "_pending", "_tickets", "_transport")

    def __init__(self, transport: OrderTransport) -> None:
        self._transport = transport
        self._owners: dict[str, Follower] = {}
        """Connected gateway that reports ownership of an engine, by the engine's name."""
        self._pending: dict[int, tuple[Follower, asyncio.Future[OrderOutcome]]] = {}
        self._tickets = itertools.count(1)

    def may_order(self, replica: Replica) -> bool:
        """Return whether an engine's owner is known and connected to the planner."""
        return replica.name in self._owners

    async def order(self, replica: Replica, order: Order) -> OrderOutcome:
        """Send an order through the engine's owner, and return its outcome."""
        owner = self._owners.get(replica.name)
        if owner is None:
            return OrderOutcome.NOT_GIVEN
        ticket = next(self._tickets)
        fut: asyncio.Future[OrderOutcome] = asyncio.get_running_loop().create_future()
        self._pending[ticket] = (owner, fut)
        owner.queue_message(pb.FromPlanner(active=True, orders=[_encode(ticket, replica, order)]))
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await fut
        except TimeoutError:
            log.info(
                "order timed out: no result from the engine's owner",
                replica=replica.name,
                owner=owner.instance,
            )
            return OrderOutcome.LOST
        finally:
            del self._pending[ticket]

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the engine's state, None if it is not available."""
        return await self._transport.report(replica)

    def handle_message(self, follower: Follower, message: pb.FromGateway) -> None:
        """Process a gateway's report of its owned engines and of results of orders."""
        if message.HasField("owned"):
            self._remove_ownership(follower)
            for name in message.owned.replicas:
                self._owners[name] = follower
        for result in message.results:
            outcome = OrderOutcome[pb.Outcome.Name(result.outcome)]
            self._resolve(result.ticket, outcome)

    def remove_gateway(self, follower: Follower) -> None:
        """Remove a disconnected gateway; the outcome of its outstanding orders is unknown."""
        self._remove_ownership(follower)
        for ticket, (owner, _) in list(self._pending.items()):
            if owner is follower:
                self._resolve(ticket, OrderOutcome.LOST)

    def _remove_ownership(self, follower: Follower) -> None:
        self._owners = {
            name: owner for name, owner in self._owners.items() if owner is not follower
        }

    def _resolve(self, ticket: int, outcome: OrderOutcome) -> None:
        _, fut = self._pending.get(ticket, (None, None))
        if fut is not None and not fut.done():
            fut.set_result(outcome)


def _encode(ticket: int, replica: Replica, order: Order) -> pb.EngineOrder:
    return pb.EngineOrder(
        ticket=ticket,
        replica=replica.name,
        load=order.load,
        model=order.key.model,
        adapter=order.key.adapter,
        version=order.version,
        expected=order.expected,
    )
