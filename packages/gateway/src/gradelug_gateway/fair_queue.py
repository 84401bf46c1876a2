"""Orders waiting requests by fair share of capacity while engines are full.

The planner uses one `FairQueue` for its service. Organisations and kinds of requests that used
more than their share go after the others, and their requests are refused when they cannot be
served in time.
"""

from __future__ import annotations

import math
import typing as t

import logbook
from gradelug_policy.engine_capacity import MAX_REQUEST_HOLD_S
from gradelug_policy.shares import (
    EqualWeights,
    FairnessState,
    OveruseOrder,
    SchedulingOrder,
    ShareAllocation,
    UsageShares,
    WaitingRequest,
    Weights,
    early_send_s,
    requests_too_late,
)
from gradelug_policy.uses import DecayedUsage, Party, SendRates
from gradelug_wire import placement_pb2 as pb

from .engines import Engine
from .follower import Follower
from .model import AdapterKey, FleetState
from .organisations import Organisations
from .share_tally import token_cost
from .weight_queue import Waiter

log = logbook.Logger("shares")
LOG_INTERVAL_S = 1.0
"""Minimum interval between log lines about refused requests."""
EQUAL_WEIGHTS = EqualWeights()


class QuotaWeights:
    """Weights of organisations by their quota rates; those without a quota get the mean rate.

    Parameters
    ----------
    organisations : Organisations
        Organisations of the configuration in force.
    """

    __slots__ = ("_mean", "_rates")

    def __init__(self, organisations: Organisations) -> None:
        self._rates = organisations.token_rates()
        self._mean = math.fsum(self._rates.values()) / len(self._rates) if self._rates else 1.0

    def weight(self, owner: str) -> float:
        """Return an organisation's weight."""
        return self._rates.get(owner, self._mean)


class FairQueue:
    """Implements `parts.PlannerExtension`: orders waiting requests by the shares that owners used.

    Parameters
    ----------
    state : FleetState
        Platform state with the configuration in force.
    flush_s : callable
        Returns the maximum age of reported engine loads, in seconds.
    is_on : bool
        Whether fair sharing is enabled; otherwise requests keep the order of their arrival.
    order : SchedulingOrder
        Policy that orders requests by the shares of their owners.
    """

    __slots__ = (
        "_board",
        "_claimed",
        "_flush_s",
        "_saturated",
        "_received_at",
        "_is_on",
        "_loads",
        "_order",
        "_owners",
        "_shares",
        "_state",
        "_logged_at",
        "_turns",
        "_version",
        "_waiting",
        "_weights",
    )

    def __init__(
        self,
        state: FleetState,
        flush_s: t.Callable[[], float],
        is_on: bool = True,
        order: SchedulingOrder = OveruseOrder(),  # noqa: B008
    ) -> None:
        self._state = state
        self._flush_s = flush_s
        self._is_on = is_on
        self._order = order
        self._shares = UsageShares()
        self._turns = SendRates()
        self._loads = DecayedUsage()
        """Number of loads started, by owner, with exponential decay."""
        self._board: FairnessState | None = None
        """Shares of owners and kinds; None while no request waits for capacity."""
        self._claimed: frozenset[AdapterKey] = frozenset()
        """Weights of the held requests that yield to no others."""
        self._saturated: set[AdapterKey] = set()
        """Weights whose holders are full in the current decision."""
        self._waiting = self._owners = 0
        self._received_at: dict[int, float] = {}
        """Time of the last message from each gateway, by its number."""
        self._version = -1
        self._weights: Weights = EQUAL_WEIGHTS
        self._logged_at = -math.inf

    # Messages from and to gateways.

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Add the usage that a gateway reports."""
        self._received_at[follower.number] = now
        for use in message.party_uses:
            party = Party(use.owner, use.kind)
            self._shares.note(party, use.tokens, now, self._board is not None)
            self._turns.note(party, use.requests, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Drop a gateway; the usage of its requests decays by itself."""
        self._received_at.pop(follower.number, None)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add nothing: shares are sent with each answer."""

    def forget(self, replica: str) -> None:
        """Do nothing: shares do not depend on replicas."""

    # Requests that wait for capacity.

    def arrange(self, waiters: list[Waiter], now: float) -> list[Waiter]:
        """Return the waiting requests in the order in which they are to be answered."""
        self._saturated.clear()
        self._waiting = sum(waiter.waits_for_capacity for waiter in waiters)
        if not self._waiting or not self._is_on:
            was_arranged, self._board = self._board is not None, None
            return sorted(waiters, key=_arrival) if was_arranged else waiters
        claims = [_claim(waiter, position) for position, waiter in enumerate(waiters)]
        held = [claim for claim in claims if waiters[claim.number].waits_for_capacity]
        self._owners = len({claim.party.owner for claim in held})
        board = self._board = self._shares.fairness(held, self._current_weights(), now)
        self._claimed = frozenset(
            waiters[claim.number].key
            for claim in held
            if not board.must_yield(claim.party, claim.urgency)
        )
        return [waiters[claim.number] for claim in self._order.arrange(claims, board)]

    def yields(self, waiter: Waiter) -> bool:
        """Tell whether a request goes after others that wait for capacity."""
        if self._board is None or waiter.ask.begun:
            return False
        return self._board.must_yield(_party(waiter), waiter.ask.urgency)

    def defers(self, waiter: Waiter, is_placed: bool) -> bool:
        """Tell whether a new request is left to the next decision, and mark it as held if so.

        Parameters
        ----------
        waiter : Waiter
            The request.
        is_placed : bool
            Whether any engine holds or loads its weights.
        """
        if not is_placed or not self.yields(waiter):
            return False
        waiter.waits_for_capacity = True
        return True

    def can_skip(self, waiter: Waiter, now: float) -> bool:
        """Tell whether a request may be skipped: it goes after others, and all holders are full."""
        if waiter.key not in self._saturated or now >= waiter.target_at or not self.yields(waiter):
            return False
        # Held requests are not counted as waiting for a load.
        waiter.waits_for_capacity = True
        return True

    def max_hold_s(self, waiter: Waiter) -> float:
        """Return the maximum time for which a request is held for capacity, in seconds.

        One that goes after others is held until its target time: sent earlier, it would fill the
        engines' queues, which ignore shares.
        """
        if not self._must_stay_queued(waiter):
            return MAX_REQUEST_HOLD_S
        self._saturated.add(waiter.key)
        return max(MAX_REQUEST_HOLD_S, waiter.target_at - waiter.asked_at)

    def dispatch_lead_s(
        self, waiter: Waiter, engine: Engine, completion_interval_s: float, now: float
    ) -> float:
        """Return how long before capacity is expected a request may be sent, in seconds.

        With 0, batch slots stay empty from the end of a run until it is reported here.

        Parameters
        ----------
        waiter : Waiter
            The request.
        engine : Engine
            Engine that would run it.
        completion_interval_s : float
            Mean time between two completed runs on an engine, in seconds.
        now : float
            Current time by the runtime's clock.
        """
        if now <= waiter.asked_at + MAX_REQUEST_HOLD_S or not self._must_stay_queued(waiter):
            return 0.0
        remaining_fraction = (waiter.target_at - now) / max(
            MAX_REQUEST_HOLD_S, waiter.target_at - waiter.asked_at
        )
        is_claimed = any(key in engine.weight_slots for key in self._claimed)
        return early_send_s(remaining_fraction, self._flush_s(), completion_interval_s, is_claimed)

    def _must_stay_queued(self, waiter: Waiter) -> bool:
        """Tell whether a request must not enter an engine's queue, even if no other waits now."""
        if self._board is None or waiter.ask.begun:
            return False
        return self.yields(waiter) or self._board.is_over(waiter.ask.organisation)

    def standing(self, waiter: Waiter, now: float) -> pb.Standing | None:
        """Return the shares that decided when a request was answered; None if it did not wait."""
        board = self._board
        if board is None or now <= waiter.asked_at:
            return None
        party = _party(waiter)
        owner_standing = board.owners.fair_share(party.owner)
        oldest = min(self._received_at.values(), default=now)
        return pb.Standing(
            part=owner_standing.part,
            fair=owner_standing.fair,
            yields=self.yields(waiter),
            waiting=self._waiting,
            owners=self._owners,
            age_ms=max(0, round(1000 * (now - oldest))),
            held_ms=max(0, round(1000 * (now - waiter.asked_at))),
            kind_over=party.kind in board.kinds,
        )

    def refuse_late(self, waiters: list[Waiter], now: float) -> list[Waiter]:
        """Refuse requests that cannot be served in time within their share; return the others."""
        queues: dict[Party, list[Waiter]] = {}
        for waiter in waiters:
            if waiter.waits_for_capacity and self.yields(waiter):
                queues.setdefault(_party(waiter), []).append(waiter)
        late: set[int] = set()
        for party, queue in queues.items():
            rate = self._turns.rate(party, now)
            times_left_s = [waiter.target_at - now for waiter in queue]
            late.update(id(queue[position]) for position in requests_too_late(times_left_s, rate))
        if not late:
            return waiters
        for waiter in waiters:
            if id(waiter) in late:
                remaining_s = max(0.0, waiter.target_at - now)
                waiter.refuse(remaining_s, now, BEYOND_SHARE, self.standing(waiter, now))
        self._log_refusals(len(late), queues, now)
        return [waiter for waiter in waiters if id(waiter) not in late]

    def _log_refusals(
        self, refused: int, queues: t.Mapping[Party, list[Waiter]], now: float
    ) -> None:
        if now < self._logged_at + LOG_INTERVAL_S or self._board is None:
            return
        self._logged_at = now
        largest = max(queues, key=lambda party: len(queues[party]))
        owner_standing = self._board.owners.fair_share(largest.owner)
        log.info(
            "refused requests beyond the fair share of their owner",
            refused=refused,
            owner=largest.owner,
            kind=largest.kind,
            part=round(owner_standing.part, 3),
            fair=round(owner_standing.fair, 3),
            turns=round(self._turns.rate(largest, now), 1),
            held=self._waiting,
            owners=self._owners,
        )

    # Requests that wait for loads of weights.

    def note_load(self, waiter: Waiter, now: float) -> None:
        """Count a started load for the owner of its request."""
        self._loads.note(waiter.ask.organisation, 1.0, now)

    def put_over_share_last(self, ordered: list[Waiter], now: float) -> list[Waiter]:
        """Return the requests with those of owners over their share of loads last."""
        waiting_count: dict[str, float] = {}
        for waiter in ordered:
            owner = waiter.ask.organisation
            waiting_count[owner] = waiting_count.get(owner, 0.0) + 1.0
        if len(waiting_count) < 2 or not self._is_on:
            return ordered
        parts = ShareAllocation(self._loads.all(now), waiting_count, self._current_weights())
        over = {owner for owner in waiting_count if parts.is_over(owner)}
        return sorted(ordered, key=lambda waiter: waiter.ask.organisation in over)

    def _current_weights(self) -> Weights:
        snapshot = self._state.snapshot
        if snapshot is not None and snapshot.version != self._version:
            self._version = snapshot.version
            organisations = snapshot.organisations
            self._weights = QuotaWeights(organisations) if organisations else EQUAL_WEIGHTS
        return self._weights


BEYOND_SHARE = "others wait, and it would not have its turn in time"


def _party(waiter: Waiter) -> Party:
    return Party(waiter.ask.organisation, waiter.ask.kind)


def _claim(waiter: Waiter, number: int) -> WaitingRequest:
    work = waiter.work
    tokens = token_cost(work.prompt_tokens, work.answer_tokens)
    return WaitingRequest(_party(waiter), tokens, waiter.ask.urgency, waiter.asked_at, number)


def _arrival(waiter: Waiter) -> float:
    return waiter.asked_at
