"""Gives planners' orders to the engines that this instance owns."""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_coordination import LastingOwnership
from gradelug_wire import placement_pb2 as pb

from .model import AdapterKey, FleetState, Order, OrderOutcome
from .ports import OrderTransport

log = logbook.Logger("executing")


class Executor:
    """Gives orders under this instance's own tokens.

    Parameters
    ----------
    name : str
        This instance.
    ownership : LastingOwnership
        Which engines it owns.
    state : FleetState
        Where engines are.
    transport : OrderTransport
        Gives orders to engines.
    """

    __slots__ = ("_name", "_ownership", "_state", "_tasks", "_transport")

    def __init__(
        self,
        name: str,
        ownership: LastingOwnership,
        state: FleetState,
        transport: OrderTransport,
    ) -> None:
        self._name = name
        self._ownership = ownership
        self._state = state
        self._transport = transport
        self._tasks: set[asyncio.Task[None]] = set()

    def owned(self, service: str) -> frozenset[str]:
        """Return the engines of a service that may be ordered now."""
        replicas = self._state.replicas
        return frozenset(
            name
            for name in self._ownership.held()
            if name in replicas and replicas[name].service == service
        )

    @property
    def knows_store(self) -> bool:
        """Whether this instance calls the platform's store all the time."""
        return self._ownership.has_joined

    @property
    def is_cut_off(self) -> bool:
        """Whether the platform's store did not answer this instance last."""
        return self._ownership.is_cut_off

    def note_outage(self, cut_off: int) -> None:
        """Take that so many instances cannot reach the platform's store, and none is known to."""
        self._ownership.note_outage(cut_off)

    def carry_out(self, message: pb.EngineOrder, tell: t.Callable[[pb.OrderResult], None]) -> None:
        """Give an order beside other work, and tell how it was taken."""
        task = asyncio.get_running_loop().create_task(self._carry_out(message, tell))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(
        self, message: pb.EngineOrder, tell: t.Callable[[pb.OrderResult], None]
    ) -> None:
        outcome = await self._give(message)
        tell(pb.OrderResult(ticket=message.ticket, outcome=pb.Outcome.Value(outcome.name)))

    async def _give(self, message: pb.EngineOrder) -> OrderOutcome:
        replica = self._state.replicas.get(message.replica)
        fence = self._ownership.token(message.replica)
        if replica is None or fence is None:
            log.info("order not given", replica=message.replica, known=replica is not None)
            return OrderOutcome.NOT_GIVEN
        key = AdapterKey(message.model, message.adapter)
        order = Order(message.load, key, message.version, message.expected, self._name, fence)
        outcome = await self._transport.order(replica, order)
        log.info("order given", replica=replica.name, fence=fence, outcome=outcome.value)
        return outcome
