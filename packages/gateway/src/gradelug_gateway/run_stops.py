"""Orders to stop runs whose answers may be late.

An engine that has fallen silent carries out an order when it goes on, and only its answer names the
memory of the stopped run. An order is therefore not given up while its answer can still be used,
and no second one is sent meanwhile: it would stop the run once more after it was resumed there.
"""

from __future__ import annotations

from .model import Replica
from .ports import MOVE_TIMEOUT_S, RunTransport
from .run_moves import MoveOutcome, MoveReply


class RunStopper:
    """Stops runs on their engines.

    Parameters
    ----------
    transport : RunTransport
        Delivers the orders.
    """

    __slots__ = ("_transport",)

    def __init__(self, transport: RunTransport) -> None:
        self._transport = transport

    async def stop(
        self, source: Replica, request_id: str, target: Replica, answer_s: float = 0.0
    ) -> MoveReply:
        """Order an engine to stop a run, and return its answer.

        Parameters
        ----------
        source : Replica
            The engine that has the run.
        request_id : str
            The request of the run.
        target : Replica
            The engine to which its memory is copied.
        answer_s : float
            How long a late answer is of use, in seconds from now. If that is no longer than a
            prompt answer takes, the order is sent once more after that time.
        """
        timeout_s = max(answer_s, MOVE_TIMEOUT_S)
        reply = await self._transport.move(source, request_id, target, True, timeout_s)
        if reply.outcome is MoveOutcome.LOST and answer_s <= MOVE_TIMEOUT_S:
            return await self._transport.move(source, request_id, target, True, timeout_s)
        return reply
