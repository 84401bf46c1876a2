"""The planner's side of quotas: answers the requests of gateways as their coordinator."""

from __future__ import annotations

import math
import typing as t

from gradelug_policy.quotas import QuotaCoordinator, QuotaLimit
from gradelug_policy.refusals import Caller
from gradelug_wire import placement_pb2 as pb

from .follower import Follower
from .model import FleetState
from .quotas import MAX_WAIT_S


class QuotaServer:
    """Answers quota requests of gateways; implements `parts.PlannerExtension`.

    Parameters
    ----------
    coordinator : QuotaCoordinator
        Decides on requests and holds the balances of all organisations.
    state : FleetState
        Replicas and configuration from the store.
    may_grant : callable
        Returns whether this planner's term holds; otherwise another planner may grant.
    """

    __slots__ = ("_coordinator", "_may_grant", "_state")

    def __init__(
        self, coordinator: QuotaCoordinator, state: FleetState, may_grant: t.Callable[[], bool]
    ) -> None:
        self._coordinator = coordinator
        self._state = state
        self._may_grant = may_grant

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Answer the requests of a gateway and apply its refunds."""
        if message.instance:
            # The first message on the stream.
            self._coordinator.join(follower.process, dict(message.shares), now)
        for ask in message.quota_asks:
            follower.queue_quota_answer(self._answer(follower, ask, now))
        for returned in message.quota_returns:
            self._coordinator.refund(returned.organisation, returned.tokens, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Reserve the share that a disconnected gateway may still use."""
        self._coordinator.leave(follower.process, now)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add nothing: shares are sent with the answers."""

    def forget(self, replica: str) -> None:
        """Do nothing: quotas keep no state of replicas."""

    def _answer(self, follower: Follower, ask: pb.QuotaAsk, now: float) -> pb.QuotaAnswer:
        snapshot = self._state.snapshot
        organisation = snapshot.organisations.by_name(ask.organisation) if snapshot else None
        if not self._may_grant() or organisation is None:
            # Another planner may grant, or the organisation is not in the configuration here yet.
            return pb.QuotaAnswer(ticket=ask.ticket)
        if organisation.quota is None:
            return pb.QuotaAnswer(ticket=ask.ticket, granted=True)
        terms = QuotaLimit(organisation.quota.rate, organisation.quota.burst)
        caller = Caller(ask.rank, ask.wait_ms / 1000, ask.service, ask.value, ask.mark)
        verdict = self._coordinator.ask(
            follower.process, organisation.name, terms, ask.tokens, now, caller
        )
        answer = pb.QuotaAnswer(ticket=ask.ticket, granted=verdict.granted, share=verdict.share)
        if not verdict.granted:
            answer.retry_after_ms = math.ceil(min(verdict.retry_s, MAX_WAIT_S) * 1000)
            answer.level = math.floor(verdict.level)
            answer.needed = math.ceil(verdict.needed)
            answer.standing = verdict.retry_state.value
        return answer
