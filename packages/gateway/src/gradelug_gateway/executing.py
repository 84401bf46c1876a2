"""Execution of planners' orders on the engines that this instance owns.

Used by a gateway where engines have owners: the planner sends orders to the owner, which adds its
own fencing token and passes them on to the engine.
"""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_coordination import PersistentOwnership
from gradelug_wire import placement_pb2 as pb

from .model import AdapterKey, FleetState, Order, OrderOutcome
from .ports import OrderTransport

log = logbook.Logger("executing")


class Executor:
    """Sends orders to engines under this instance's own fencing tokens.

    Parameters
    ----------
    name : str
        Name of this instance.
    ownership : PersistentOwnership
        The engines that this instance owns, with their fencing tokens.
    state : FleetState
        Replicas of the fleet, with their addresses.
    transport : OrderTransport
        Sends orders to engines.
    """

    __slots__ = ("_name", "_ownership", "_state", "_tasks", "_transport")

    def __init__(
        self,
        name: str,
        ownership: PersistentOwnership,
        state: FleetState,
        transport: OrderTransport,
    ) -> None:
        self._name = name
        self._ownership = ownership
        self._state = state
        self._transport = transport
        self._tasks: set[asyncio.Task[None]] = set()

    def owned_engines(self, service: str) -> frozenset[str]:
        """Return the names of a service's engines that this instance may send orders to now."""
        replicas = self._state.replicas
        return frozenset(
            name
            for name in self._ownership.held()
            if name in replicas and replicas[name].service == service
        )

    @property
    def knows_store(self) -> bool:
        """Whether this instance calls the platform store continuously."""
        return self._ownership.has_joined

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance's last call to the platform store got no response."""
        return self._ownership.is_cut_off

    def note_outage(self, cut_off: int) -> None:
        """Record how many instances cannot reach the platform store; no other is known to."""
        self._ownership.note_outage(cut_off)

    def execute(self, message: pb.EngineOrder, report: t.Callable[[pb.OrderResult], None]) -> None:
        """Start executing an order in the background, and report its result to a callback."""
        task = asyncio.get_running_loop().create_task(self._carry_out(message, report))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(
        self, message: pb.EngineOrder, report: t.Callable[[pb.OrderResult], None]
    ) -> None:
        outcome = await self._give(message)
        report(pb.OrderResult(ticket=message.ticket, outcome=pb.Outcome.Value(outcome.name)))

    async def _give(self, message: pb.EngineOrder) -> OrderOutcome:
        replica = self._state.replicas.get(message.replica)
        fence = self._ownership.token(message.replica)
        if replica is None or fence is None:
            log.info(
                "order not sent: engine unknown or not owned",
                replica=message.replica,
                known=replica is not None,
            )
            return OrderOutcome.NOT_GIVEN
        key = AdapterKey(message.model, message.adapter)
        order = Order(message.load, key, message.version, message.expected, self._name, fence)
        outcome = await self._transport.order(replica, order)
        log.info("order sent", replica=replica.name, fence=fence, outcome=outcome.value)
        return outcome
