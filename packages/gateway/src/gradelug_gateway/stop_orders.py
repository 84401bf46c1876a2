"""Orders to stop the runs of one request, and what their answers say about each run.

A stopped run's stream is closed like one that has ended. Whether an engine may have stopped a run
is therefore recorded in one place, which all that send such orders write to: an order counts from
the moment at which it is sent, and only its own answer takes it back.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from .model import Replica
from .run_moves import MoveOutcome, MoveReply

NOT_STOPPED_OUTCOMES = frozenset({MoveOutcome.NO_RUN, MoveOutcome.BUSY, MoveOutcome.UNREACHED})
"""Outcomes of orders that have stopped nothing."""


class StopState(Enum):
    """Whether a run may have been stopped by an order."""

    NONE = "none"
    """No order was sent, or each was answered by an engine that stopped nothing."""
    PENDING = "pending"
    """An order has no answer yet."""
    STOPPED = "stopped"
    LOST = "lost"
    """The answer to an order was lost: the order may have been carried out, or may still be."""


class StopOrder:
    """One order to stop a run.

    Parameters
    ----------
    replica, target : Replica
        The engine to which it is sent, and the one to which the memory is copied.
    is_poll : bool
        Whether its answer may be a copy of the answer to an earlier order.
    """

    __slots__ = ("_answered", "answer_number", "is_poll", "replica", "reply", "target")

    def __init__(self, replica: Replica, target: Replica, is_poll: bool) -> None:
        self.replica = replica
        self.target = target
        self.is_poll = is_poll
        self.reply: MoveReply | None = None
        """The engine's answer; None until it has come or is given up."""
        self.answer_number = 0
        """Its place among the answers to all orders for its request."""
        self._answered = asyncio.Event()

    @property
    def state(self) -> StopState:
        """Whether it may have stopped a run."""
        if self.reply is None:
            return StopState.PENDING
        is_certain = not self.is_poll or self.reply.outcome is MoveOutcome.UNREACHED
        if self.reply.outcome in NOT_STOPPED_OUTCOMES and is_certain:
            return StopState.NONE
        return StopState.STOPPED if self.reply.handle else StopState.LOST

    def answer(self, reply: MoveReply, number: int) -> None:
        """Record the answer, or that it is given up, by its place among the answers."""
        self.reply = reply
        self.answer_number = number
        self._answered.set()

    async def wait(self) -> None:
        """Wait until it is answered or given up."""
        await self._answered.wait()

    def may_concern(self, mark: int) -> bool:
        """Return whether it may have reached a run; `mark` as of `StopOrders.mark`."""
        return self.state in (StopState.PENDING, StopState.LOST) or self.answer_number > mark


class StopOrders:
    """All orders of this instance to stop runs of one request."""

    __slots__ = ("_answers", "_orders")

    def __init__(self) -> None:
        self._orders: list[StopOrder] = []
        self._answers = 0

    def mark(self) -> int:
        """Return a mark of the present moment, at which a run begins.

        An order that was answered before it has not reached the run.
        """
        return self._answers

    def begin(self, replica: Replica, target: Replica, is_poll: bool = False) -> StopOrder:
        """Record an order that is about to be sent to an engine."""
        order = StopOrder(replica, target, is_poll)
        self._orders.append(order)
        return order

    def end(self, order: StopOrder, reply: MoveReply) -> None:
        """Record the answer to an order, or that it is given up."""
        self._answers += 1
        order.answer(reply, self._answers)

    def concerning(self, replica: Replica, mark: int) -> list[StopOrder]:
        """Return the orders that may have reached a run, oldest first.

        Parameters
        ----------
        replica : Replica
            The engine of the run.
        mark : int
            The moment at which its request was sent there.
        """
        return [
            order
            for order in self._orders
            if order.replica.name == replica.name and order.may_concern(mark)
        ]

    def state(self, replica: Replica, mark: int) -> StopState:
        """Return whether a run may have been stopped; parameters as of `concerning`."""
        found = {order.state for order in self.concerning(replica, mark)}
        for state in (StopState.STOPPED, StopState.PENDING, StopState.LOST):
            if state in found:
                return state
        return StopState.NONE

    async def settle(self, replica: Replica, mark: int) -> None:
        """Wait for the answers to the orders sent so far that may have reached a run.

        Parameters as of `concerning`.
        """
        for order in self.concerning(replica, mark):
            await order.wait()
