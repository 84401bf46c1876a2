"""Whether an answer that ended with its connection is whole.

A last chunk or a stated length proves the end of an answer. Without either it ends with its
connection, which is closed in the same way when its replica stops the run by order or at its
deadline, or ends. It is then whole if no order may have stopped its run, its replica still had time
for it, and its replica is there after the close.
"""

from __future__ import annotations

import asyncio
import typing as t
from enum import Enum

import logbook
from gradelug_http import BodyFraming, ResponseBroken

from .exchange import Exchange
from .fleet import Fleet
from .metrics import GatewayMetrics
from .presence import Presence
from .presence_check import PresenceCheck
from .stop_orders import StopState

log = logbook.Logger("answer ends")
STREAM_CHECK_DELAY_S = 0.1
"""A process that ends may close its streams some time before. The caller of a stream has all events
by then and waits for the end alone."""
LEAVING_CHECK_DELAY_S = 0.25
"""The same for a replica that is leaving."""
MAX_REPEATABLE_WAIT_S = 1.2
"""How long a sign of a silent replica is awaited before a request that may be repeated goes on at
another one."""


class EndProof(Enum):
    """What is known of the end of an answer."""

    FRAMING = "framing"
    """Its last chunk came, or its length was reached."""
    PRESENT = "replica present"
    """Its connection was closed, no order may have stopped its run, and its replica was there
    afterwards."""
    STOPPED = "run stopped"
    """An order may have stopped its run."""
    DEADLINE = "deadline"
    """Its replica had no time left for it."""
    ENDED = "replica ended"
    UNKNOWN = "replica unknown"
    """Its replica gave no sign after the close."""


WHOLE_ENDS = frozenset({EndProof.FRAMING, EndProof.PRESENT})
"""Ends of answers that are whole."""


class AnswerEnds:
    """Decides whether answers are whole.

    Parameters
    ----------
    fleet : Fleet
        Which replicas are leaving.
    presence : PresenceCheck
        Checks whether replicas are there.
    meters : GatewayMetrics
        Counts the ends of answers.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_fleet", "_meters", "_presence")

    def __init__(
        self,
        fleet: Fleet,
        presence: PresenceCheck,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._presence = presence
        self._meters = meters
        self._clock = clock

    async def confirm(self, exchange: Exchange) -> None:
        """Wait until it is known whether an answer whose body has ended is whole.

        Raises
        ------
        ResponseBroken
            If its end is not proved.
        """
        ended_at = self._clock()
        proof = EndProof.FRAMING
        if exchange.conn.framing is BodyFraming.CLOSE:
            proof = await self._examine(exchange, ended_at)
        self._note(exchange, proof, ended_at)
        if proof in WHOLE_ENDS:
            return
        if proof is EndProof.UNKNOWN:
            exchange.is_excused = True
        raise ResponseBroken(
            f"the answer has neither a length nor chunks, and its end is not proved: {proof.value}"
        )

    async def _examine(self, exchange: Exchange, ended_at: float) -> EndProof:
        job, replica, mark = exchange.job, exchange.replica, exchange.stop_mark
        if job.is_over(ended_at):
            return EndProof.DEADLINE
        # Orders that are sent from now on have not ended the answer.
        orders = job.stop_orders.concerning(replica, mark)
        for order in orders:
            await order.wait()
        if any(order.state is not StopState.NONE for order in orders):
            return EndProof.STOPPED
        await asyncio.sleep(self._check_delay_s(exchange))
        useful_s = self._useful_s(exchange)
        presence = await self._presence.wait(replica, ended_at, useful_s)
        if presence is Presence.PRESENT:
            return EndProof.PRESENT
        return EndProof.ENDED if presence is Presence.ENDED else EndProof.UNKNOWN

    def _check_delay_s(self, exchange: Exchange) -> float:
        state, replica = self._fleet.state, exchange.replica
        if state.is_leaving(replica) or replica.name not in state.replicas:
            return LEAVING_CHECK_DELAY_S
        return STREAM_CHECK_DELAY_S if exchange.job.route.streaming else 0.0

    def _useful_s(self, exchange: Exchange) -> float:
        job, now = exchange.job, self._clock()
        if job.may_repeat():
            return MAX_REPEATABLE_WAIT_S
        if not job.route.streaming:
            return job.deadline_at - now
        return min(job.deadline_at, job.last_event_at + job.route.patience_s) - now

    def _note(self, exchange: Exchange, proof: EndProof, ended_at: float) -> None:
        job, conn = exchange.job, exchange.conn
        self._meters.count_answer_end(conn.framing.value, proof.value)
        if proof is EndProof.FRAMING and not job.route.streaming:
            return
        log.info(
            "answer ended",
            id=job.req.id,
            replica=exchange.replica.name,
            framing=conn.framing.value,
            via=conn.via,
            proof=proof.value,
            stop=job.stop_orders.state(exchange.replica, exchange.stop_mark).value,
            quiet_s=round(ended_at - exchange.last_event_at, 3),
            checked_s=round(self._clock() - ended_at, 3),
            last_event=job.events.last_event,
        )
