"""A gateway's end of what is told and asked of replicas with a limit."""

from __future__ import annotations

import asyncio
import itertools
import typing as t

from gradelug_policy.replica_room import OwnTurns
from gradelug_wire import placement_pb2 as pb

from .limit_facts import MAX_AGE_MS, MS, decode_limit, encode_limit, is_responsible_for
from .limits import Demand, Denial, GrantsUnavailable, ReplicaLimits
from .model import FleetState

ANSWER_TIMEOUT_S = 0.25
"""An answer takes a round trip of milliseconds; a planner that rests after a decision takes some
tens. Later than this it may be lost."""
MAX_URGENT_ASKS_PER_S = 800.0
"""Questions of all gateways that go out at once, a second: each is a message for the planner. More
of them wait for the next message of their gateway, as where all replicas of a large fleet name a
limit."""
MAX_ABANDONED_ASKS = 256
"""An answer that crosses its question's end comes within a round trip."""


class ReportLink(t.Protocol):
    """The stream to a planner, as far as a part of it needs."""

    @property
    def flush_s(self) -> float:
        """How long what is told is gathered, in seconds."""
        ...

    def hurry(self) -> None:
        """Have what is to be told go out at once."""
        ...

    def tell_soon(self) -> None:
        """Have it go out with the next message."""
        ...


class LimitTeller:
    """A gateway's end on the link to one planner; implements `parts.GatewayPart`, `RoomDesk`.

    Parameters
    ----------
    service : str
        Whose planner.
    limits : ReplicaLimits
        What this gateway knows.
    state : FleetState
        What the platform has told.
    clock : callable
        The runtime's clock.
    link : callable
        Returns the link, None before there is one.
    """

    __slots__ = (
        "_cancelled",
        "_clock",
        "_futures",
        "_abandoned",
        "_urgent_turns",
        "_limits",
        "_link",
        "_service",
        "_state",
        "_tickets",
        "_unsent",
        "_unreported",
    )

    def __init__(
        self,
        service: str,
        limits: ReplicaLimits,
        state: FleetState,
        clock: t.Callable[[], float],
        link: t.Callable[[], ReportLink | None],
    ) -> None:
        self._service = service
        self._limits = limits
        self._state = state
        self._clock = clock
        self._link = link
        self._urgent_turns: tuple[int, OwnTurns] | None = None
        """When questions may go out at once, and for how many instances that was reckoned."""
        self._tickets = itertools.count(1)
        self._futures: dict[int, asyncio.Future[pb.RoomAnswer]] = {}
        self._abandoned: dict[int, str] = {}
        """Replicas of questions that nobody waits for; they may have been answered meanwhile."""
        self._unsent: list[pb.RoomAsk] = []
        self._cancelled: list[int] = []
        self._unreported: set[str] = set()
        limits.subscribe(self._report_limit)

    async def ask(self, replica: str, demand: Demand) -> Denial | None:
        """Return None if a request may be sent to a replica.

        Raises
        ------
        NoGrants
            If the planner grants nothing now.
        TimeoutError
            If it does not answer, or is lost.
        """
        now = self._clock()
        ticket = next(self._tickets)
        wait_s = max(0.0, demand.until - now)
        ask = pb.RoomAsk(
            ticket=ticket,
            replica=replica,
            rank=demand.rank,
            value=demand.value,
            begun=demand.begun,
            wait_ms=round(min(wait_s * MS, MAX_AGE_MS)),
        )
        fut = self._futures[ticket] = asyncio.get_running_loop().create_future()
        self._unsent.append(ask)
        batched_s = self._schedule_send(now)
        try:
            async with asyncio.timeout_at(now + wait_s + batched_s + ANSWER_TIMEOUT_S):
                answer = await fut
        except BaseException:
            self._abandon(ask)
            raise
        if answer.granted:
            return None
        if not answer.retry_after_ms:
            raise GrantsUnavailable
        return Denial(answer.retry_after_ms / MS, answer.elsewhere)

    def begin_stream(self) -> None:
        """Ask another planner, and tell it of all limits: it knows of none."""
        for fut in self._futures.values():
            if not fut.done():
                fut.set_exception(TimeoutError("the planner is lost"))
        self._futures.clear()
        self._abandoned.clear()
        self._unsent.clear()
        self._cancelled.clear()
        self._unreported.update(self._limits.named())

    def fill(self, message: pb.FromGateway) -> None:
        """Put what was heard and what is asked into a message."""
        now = self._clock()
        for name in self._unreported:
            fact, rep = self._limits.fact(name), self._state.replicas.get(name)
            if (
                fact is not None
                and rep is not None
                and is_responsible_for(self._service, name, self._state)
            ):
                message.limits.append(encode_limit(name, rep.born, fact, now))
        self._unreported.clear()
        message.room_asks.extend(self._unsent)
        message.room_cancelled.extend(self._cancelled)
        self._unsent.clear()
        self._cancelled.clear()

    def take(self, message: pb.FromPlanner) -> None:
        """Take over limits that others heard of, and hand answers to those who wait."""
        for told in message.limits:
            rep = self._state.replicas.get(told.replica)
            if rep is not None and rep.born == told.born:
                self._limits.take(told.replica, decode_limit(told, self._clock()), "planner")
        for answer in message.room_answers:
            replica = self._abandoned.pop(answer.ticket, "")
            fut = self._futures.pop(answer.ticket, None)
            if fut is not None and not fut.done():
                fut.set_result(answer)
            elif answer.granted and replica:
                # Its request has left; another one may use the room.
                self._limits.add_permit(replica)

    def _report_limit(self, replica: str) -> None:
        if is_responsible_for(self._service, replica, self._state):
            self._unreported.add(replica)
            link = self._link()
            if link is not None:
                link.hurry()

    def _schedule_send(self, now: float) -> float:
        """Have questions go out; return how long they are gathered at the most, in seconds."""
        link, instance_count = self._link(), self._limits.instance_count
        if link is None:
            return 0.0
        if self._urgent_turns is None or self._urgent_turns[0] != instance_count:
            self._urgent_turns = (
                instance_count,
                OwnTurns(MAX_URGENT_ASKS_PER_S / instance_count, 0.0, now, keeps=True),
            )
        if self._urgent_turns[1].take(now):
            link.hurry()
            return 0.0
        link.tell_soon()
        return link.flush_s

    def _abandon(self, ask: pb.RoomAsk) -> None:
        self._futures.pop(ask.ticket, None)
        if ask in self._unsent:
            self._unsent.remove(ask)
            return
        self._cancelled.append(ask.ticket)
        self._abandoned[ask.ticket] = ask.replica
        if len(self._abandoned) > MAX_ABANDONED_ASKS:
            del self._abandoned[next(iter(self._abandoned))]
