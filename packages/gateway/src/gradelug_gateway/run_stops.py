"""Orders to stop runs whose answers may be late.

An engine that has fallen silent carries out an order when it goes on, and only its answer names the
memory of the stopped run. An order is therefore not given up while its answer can still be used,
and no second one is sent meanwhile: it would stop the run once more after it was resumed there.
"""

from __future__ import annotations

from .job import Job
from .model import Replica
from .ports import MOVE_TIMEOUT_S, RunTransport
from .run_moves import MoveOutcome, MoveReply


class RunStopper:
    """Stops runs on their engines; all orders to do so are sent, and recorded, here.

    Parameters
    ----------
    transport : RunTransport
        Delivers the orders.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: RunTransport) -> None:
        self._transport = transport

    async def stop(
        self, job: Job, source: Replica, target: Replica, answer_s: float = 0.0
    ) -> MoveReply:
        """Order an engine to stop a run, and return its answer.

        Parameters
        ----------
        job : Job
            The request of the run.
        source : Replica
            The engine that has the run.
        target : Replica
            The engine to which its memory is copied.
        answer_s : float
            How long a late answer is of use, in seconds from now. If that is no longer than a
            prompt answer takes, the order is sent once more after that time.
        """
        timeout_s = max(answer_s, MOVE_TIMEOUT_S)
        reply = await self._order(job, source, target, timeout_s)
        if reply.outcome is MoveOutcome.LOST and answer_s <= MOVE_TIMEOUT_S:
            return await self._order(job, source, target, timeout_s)
        return reply

    async def poll(
        self, job: Job, source: Replica, target: Replica, is_single: bool = False
    ) -> MoveReply:
        """Order an engine to stop a run that it may not have.

        Parameters
        ----------
        job, source, target : Job, Replica, Replica
            As of `stop`.
        is_single : bool
            Whether the order has a connection of its own. Its answer may otherwise be a copy of the
            answer to an earlier order, and then says nothing of later runs at that engine.
        """
        return await self._order(job, source, target, MOVE_TIMEOUT_S, not is_single)

    async def _order(
        self, job: Job, source: Replica, target: Replica, timeout_s: float, is_poll: bool = False
    ) -> MoveReply:
        order = job.stop_orders.begin(source, target, is_poll)
        reply = MoveReply(MoveOutcome.LOST)
        try:
            reply = await self._transport.move(source, job.req.id, target, True, timeout_s, is_poll)
        finally:
            job.stop_orders.end(order, reply)
        return reply
