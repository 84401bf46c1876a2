"""The gateway's side of replica limits: reports them to a planner and asks it for capacity."""

from __future__ import annotations

import asyncio
import itertools
import typing as t

from gradelug_policy.replica_room import LocalSendSlots
from gradelug_wire import placement_pb2 as pb

from .limit_facts import MAX_AGE_MS, MS, decode_limit, encode_limit, is_responsible_for
from .limits import Demand, Denial, GrantsUnavailable, ReplicaLimits
from .model import FleetState

ANSWER_TIMEOUT_S = 0.25
"""Response timeout of a planner, in seconds. A response takes a round trip of milliseconds, or some
tens if the planner pauses after a decision; beyond the timeout the planner may be lost."""
MAX_URGENT_ASKS_PER_S = 800.0
"""Maximum rate of capacity requests that all gateways together flush at once, since each is a
message for the planner. Those beyond it wait for the next message of their gateway, for example
where all replicas of a large fleet have a limit."""
MAX_ABANDONED_ASKS = 256
"""Maximum number of cancelled requests that are remembered, because a planner's answer may cross
the cancellation; it arrives within a round trip."""


class ReportLink(t.Protocol):
    """The stream to a planner, as its extensions use it."""

    @property
    def flush_s(self) -> float:
        """Longest time that reports are batched, in seconds."""
        ...

    def flush_soon(self) -> None:
        """Send pending reports at once."""
        ...

    def queue_flush(self) -> None:
        """Send pending reports with the next message."""
        ...


class LimitClient:
    """Reports limits to one planner and asks it for capacity.

    Implements `parts.GatewayExtension` and `CapacityClient`.

    Parameters
    ----------
    service : str
        The service of the planner.
    limits : ReplicaLimits
        The limits known to this gateway.
    state : FleetState
        Replicas and configuration from the store.
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
        self._urgent_turns: tuple[int, LocalSendSlots] | None = None
        """Number of instances, and the times at which this one may flush requests at once."""
        self._tickets = itertools.count(1)
        self._futures: dict[int, asyncio.Future[pb.RoomAnswer]] = {}
        self._abandoned: dict[int, str] = {}
        """Replicas of cancelled requests, by ticket; the planner may have granted these."""
        self._unsent: list[pb.RoomAsk] = []
        self._cancelled: list[int] = []
        self._unreported: set[str] = set()
        limits.subscribe(self._report_limit)

    async def ask(self, replica: str, demand: Demand) -> Denial | None:
        """Return None if a request may be sent to a replica.

        Raises
        ------
        GrantsUnavailable
            If the planner grants no capacity at present.
        TimeoutError
            If the planner does not answer or is lost.
        """
        now = self._clock()
        ticket = next(self._tickets)
        wait_s = max(0.0, demand.until - now)
        ask = pb.RoomAsk(
            ticket=ticket,
            replica=replica,
            rank=demand.rank,
            value=demand.value,
            begun=demand.has_started,
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
        """Fail pending requests and report all limits, because a new planner knows none."""
        for fut in self._futures.values():
            if not fut.done():
                fut.set_exception(TimeoutError("stream to the planner was replaced"))
        self._futures.clear()
        self._abandoned.clear()
        self._unsent.clear()
        self._cancelled.clear()
        self._unreported.update(self._limits.limited_replicas())

    def fill(self, message: pb.FromGateway) -> None:
        """Add changed limits, capacity requests and cancellations to a message."""
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
        """Apply limits from other gateways, and pass answers to waiting requests."""
        for report in message.limits:
            rep = self._state.replicas.get(report.replica)
            if rep is not None and rep.born == report.born:
                self._limits.apply_fact(
                    report.replica, decode_limit(report, self._clock()), "planner"
                )
        for answer in message.room_answers:
            replica = self._abandoned.pop(answer.ticket, "")
            fut = self._futures.pop(answer.ticket, None)
            if fut is not None and not fut.done():
                fut.set_result(answer)
            elif answer.granted and replica:
                # The request was cancelled; another one may use the capacity.
                self._limits.add_permit(replica)

    def _report_limit(self, replica: str) -> None:
        if is_responsible_for(self._service, replica, self._state):
            self._unreported.add(replica)
            link = self._link()
            if link is not None:
                link.flush_soon()

    def _schedule_send(self, now: float) -> float:
        """Schedule pending requests; return how long they may be batched, in seconds."""
        link, instance_count = self._link(), self._limits.instance_count
        if link is None:
            return 0.0
        if self._urgent_turns is None or self._urgent_turns[0] != instance_count:
            self._urgent_turns = (
                instance_count,
                LocalSendSlots(MAX_URGENT_ASKS_PER_S / instance_count, 0.0, now, keeps=True),
            )
        if self._urgent_turns[1].take(now):
            link.flush_soon()
            return 0.0
        link.queue_flush()
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
