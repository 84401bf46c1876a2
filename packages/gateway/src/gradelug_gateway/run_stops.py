"""Orders to stop runs whose answers may be late.

An engine that has fallen silent carries out an order when it goes on, and only its answer names the
memory of the stopped run. An order is therefore not given up while its answer can still be used.
"""

from __future__ import annotations

import asyncio
import typing as t

from .model import Replica
from .ports import RunTransport
from .run_moves import MoveOutcome, MoveReply

PROMPT_ANSWER_S = 0.25
"""Time for a prompt answer, in seconds: a copy of 0.5 GB takes 12 ms on a link of 370 Gbit/s, plus
the time for copies queued before it. After it the order is sent once more over a new connection:
links drop idle pooled connections silently."""
_RANKS = (
    MoveOutcome.NO_RUN,
    MoveOutcome.UNREACHED,
    MoveOutcome.NO_CAPACITY,
    MoveOutcome.COPIED,
    MoveOutcome.BUSY,
    MoveOutcome.LOST,
)
"""Outcomes without a handle, the most conclusive one first."""


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
            How long a late answer is of use, in seconds from now; each of the two orders is awaited
            for `PROMPT_ANSWER_S` at least.
        """
        until_s = max(answer_s, PROMPT_ANSWER_S)
        first = asyncio.create_task(self._transport.move(source, request_id, target, True, until_s))
        calls = {first}
        try:
            await asyncio.wait(calls, timeout=PROMPT_ANSWER_S)
            if not first.done() or first.result().outcome is MoveOutcome.LOST:
                left_s = max(answer_s - PROMPT_ANSWER_S, PROMPT_ANSWER_S)
                calls.add(
                    asyncio.create_task(
                        self._transport.move(source, request_id, target, True, left_s, True)
                    )
                )
            return await _first_conclusive(calls)
        finally:
            for call in calls:
                call.cancel()


async def _first_conclusive(calls: t.Collection[asyncio.Task[MoveReply]]) -> MoveReply:
    """Return the first reply that names kept memory, otherwise the most conclusive of all."""
    pending: set[asyncio.Task[MoveReply]] = set(calls)
    replies: list[MoveReply] = []
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        replies += [call.result() for call in done]
        named = next((reply for reply in replies if reply.handle), None)
        if named is not None:
            return named
    return min(replies, key=lambda reply: _RANKS.index(reply.outcome))
