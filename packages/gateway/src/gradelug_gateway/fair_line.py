"""Whose question a planner answers first where engines are full."""

from __future__ import annotations

import math
import typing as t

import logbook
from gradelug_policy.engine_room import HOLD_S
from gradelug_policy.shares import (
    Board,
    ByBound,
    Claim,
    EqualWeights,
    Order,
    Parts,
    Shares,
    Weights,
    ahead_s,
    out_of_turn,
)
from gradelug_policy.uses import Party, Turns, Uses
from gradelug_wire import placement_pb2 as pb

from .engines import Engine
from .followers import Follower
from .model import AdapterKey, FleetState
from .organisations import Organisations
from .share_tally import cost
from .waiting import Waiter

log = logbook.Logger("shares")
TELL_S = 1.0
"""Who is held back is logged this often at most."""
EQUAL_WEIGHTS = EqualWeights()


class QuotaWeights:
    """Weights of organisations by the rates of their quotas; who has none has the mean of them.

    Parameters
    ----------
    organisations : Organisations
        Those of a configuration.
    """

    __slots__ = ("_mean", "_rates")

    def __init__(self, organisations: Organisations) -> None:
        self._rates = organisations.token_rates()
        self._mean = math.fsum(self._rates.values()) / len(self._rates) if self._rates else 1.0

    def weight(self, owner: str) -> float:
        """Return an organisation's weight."""
        return self._rates.get(owner, self._mean)


class FairLine:
    """Implements `parts.PlannerPart`: orders the questions that wait by shares of what was used.

    Parameters
    ----------
    state : FleetState
        What the platform has told.
    flush_s : callable
        Returns how old news of what runs may be, in seconds.
    is_on : bool
        Without it nothing is decided here.
    order : Order
        Whose turn it is.
    """

    __slots__ = (
        "_board",
        "_claimed",
        "_flush_s",
        "_full",
        "_heard_at",
        "_is_on",
        "_loads",
        "_order",
        "_owners",
        "_shares",
        "_state",
        "_told_at",
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
        order: Order = ByBound(),  # noqa: B008
    ) -> None:
        self._state = state
        self._flush_s = flush_s
        self._is_on = is_on
        self._order = order
        self._shares = Shares()
        self._turns = Turns()
        self._loads = Uses()
        """Loads that began, by owner."""
        self._board: Board | None = None
        """Who stands how; None while no request waits for room."""
        self._claimed: frozenset[AdapterKey] = frozenset()
        """Weights of those that wait for room and yield to nobody."""
        self._full: set[AdapterKey] = set()
        """Weights whose holders had no room in this decision."""
        self._waiting = self._owners = 0
        self._heard_at: dict[int, float] = {}
        """When each gateway was last heard, by its number."""
        self._version = -1
        self._weights: Weights = EQUAL_WEIGHTS
        self._told_at = -math.inf

    # What gateways tell.

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Count what requests of a gateway used."""
        self._heard_at[follower.number] = now
        for use in message.party_uses:
            party = Party(use.owner, use.kind)
            self._shares.note(party, use.tokens, now, self._board is not None)
            self._turns.note(party, use.requests, now)

    def leave(self, follower: Follower, now: float) -> None:
        """What a gateway's requests used ages by itself."""
        self._heard_at.pop(follower.number, None)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Tell nothing: how parties stand goes with the answers."""

    def forget(self, replica: str) -> None:
        """Shares know no replicas."""

    # Requests that wait for room.

    def arrange(self, waiters: list[Waiter], now: float) -> list[Waiter]:
        """Return those that wait, in the order in which they are to be answered."""
        self._full.clear()
        self._waiting = sum(waiter.is_held for waiter in waiters)
        if not self._waiting or not self._is_on:
            was_arranged, self._board = self._board is not None, None
            return sorted(waiters, key=_arrival) if was_arranged else waiters
        claims = [_claim(waiter, at) for at, waiter in enumerate(waiters)]
        held = [claim for claim in claims if waiters[claim.number].is_held]
        self._owners = len({claim.party.owner for claim in held})
        board = self._board = self._shares.board(held, self._weigh(), now)
        self._claimed = frozenset(
            waiters[claim.number].key
            for claim in held
            if not board.yields(claim.party, claim.urgency)
        )
        return [waiters[claim.number] for claim in self._order.arrange(claims, board)]

    def yields(self, waiter: Waiter) -> bool:
        """Tell whether a request goes after others that wait for room."""
        if self._board is None or waiter.ask.begun:
            return False
        return self._board.yields(_party(waiter), waiter.ask.urgency)

    def awaits_turn(self, waiter: Waiter, is_placed: bool) -> bool:
        """Tell whether a new question waits for the next decision, with those that came before.

        Parameters
        ----------
        is_placed : bool
            Whether its weights are on some engine.
        """
        if not is_placed or not self.yields(waiter):
            return False
        waiter.is_held = True
        return True

    def skips(self, waiter: Waiter, now: float) -> bool:
        """Tell whether one that goes after others need not be tried: none before it found room."""
        if waiter.key not in self._full or now >= waiter.target_at or not self.yields(waiter):
            return False
        # It is no request for a load.
        waiter.is_held = True
        return True

    def hold_s(self, waiter: Waiter) -> float:
        """Return how long a request is held for room at most, in seconds.

        One that goes after others is held as long as it is in time: sent earlier, it would fill
        the engines' queues, which know no shares.
        """
        if not self._lingers(waiter):
            return HOLD_S
        self._full.add(waiter.key)
        return max(HOLD_S, waiter.target_at - waiter.asked_at)

    def ahead_s(self, waiter: Waiter, engine: Engine, end_s: float, now: float) -> float:
        """Return how long before room is expected a request may be sent to it, in seconds.

        With 0 slots stay empty from the end of a run until it is told here.

        Parameters
        ----------
        engine : Engine
            Where.
        end_s : float
            Time between two ends of runs on an engine, in seconds.
        """
        if now <= waiter.asked_at + HOLD_S or not self._lingers(waiter):
            return 0.0
        left_part = (waiter.target_at - now) / max(HOLD_S, waiter.target_at - waiter.asked_at)
        is_claimed = any(key in engine.places for key in self._claimed)
        return ahead_s(left_part, self._flush_s(), end_s, is_claimed)

    def _lingers(self, waiter: Waiter) -> bool:
        """Tell whether a request must not fill an engine's queue, whoever waits at the moment."""
        if self._board is None or waiter.ask.begun:
            return False
        return self.yields(waiter) or self._board.is_over(waiter.ask.organisation)

    def standing(self, waiter: Waiter, now: float) -> pb.Standing | None:
        """Return by what a request was answered when it was, None if nobody waited."""
        board = self._board
        if board is None or now <= waiter.asked_at:
            return None
        party = _party(waiter)
        stands = board.owners.standing(party.owner)
        oldest = min(self._heard_at.values(), default=now)
        return pb.Standing(
            part=stands.part,
            fair=stands.fair,
            yields=self.yields(waiter),
            waiting=self._waiting,
            owners=self._owners,
            age_ms=max(0, round(1000 * (now - oldest))),
            held_ms=max(0, round(1000 * (now - waiter.asked_at))),
            kind_over=party.kind in board.kinds,
        )

    def refuse_late(self, waiters: list[Waiter], now: float) -> list[Waiter]:
        """Refuse requests that will not have their turn in time; return the others."""
        lines: dict[Party, list[Waiter]] = {}
        for waiter in waiters:
            if waiter.is_held and self.yields(waiter):
                lines.setdefault(_party(waiter), []).append(waiter)
        late: set[int] = set()
        for party, line in lines.items():
            rate = self._turns.rate(party, now)
            left_s = [waiter.target_at - now for waiter in line]
            late.update(id(line[at]) for at in out_of_turn(left_s, rate))
        if not late:
            return waiters
        for waiter in waiters:
            if id(waiter) in late:
                back_s = max(0.0, waiter.target_at - now)
                waiter.refuse(back_s, now, BEYOND_SHARE, self.standing(waiter, now))
        self._tell(len(late), lines, now)
        return [waiter for waiter in waiters if id(waiter) not in late]

    def _tell(self, refused: int, lines: t.Mapping[Party, list[Waiter]], now: float) -> None:
        if now < self._told_at + TELL_S or self._board is None:
            return
        self._told_at = now
        most = max(lines, key=lambda party: len(lines[party]))
        stands = self._board.owners.standing(most.owner)
        log.info(
            "beyond their share",
            refused=refused,
            owner=most.owner,
            kind=most.kind,
            part=round(stands.part, 3),
            fair=round(stands.fair, 3),
            turns=round(self._turns.rate(most, now), 1),
            held=self._waiting,
            owners=self._owners,
        )

    # Requests that wait for loads.

    def note_load(self, waiter: Waiter, now: float) -> None:
        """Count a load that begins."""
        self._loads.note(waiter.ask.organisation, 1.0, now)

    def put_last(self, ordered: list[Waiter], now: float) -> list[Waiter]:
        """Return one waiter for each of some weights, those of who loaded beyond its share last."""
        wanted: dict[str, float] = {}
        for waiter in ordered:
            owner = waiter.ask.organisation
            wanted[owner] = wanted.get(owner, 0.0) + 1.0
        if len(wanted) < 2 or not self._is_on:
            return ordered
        parts = Parts(self._loads.all(now), wanted, self._weigh())
        over = {owner for owner in wanted if parts.is_over(owner)}
        return sorted(ordered, key=lambda waiter: waiter.ask.organisation in over)

    def _weigh(self) -> Weights:
        snapshot = self._state.snapshot
        if snapshot is not None and snapshot.version != self._version:
            self._version = snapshot.version
            organisations = snapshot.organisations
            self._weights = QuotaWeights(organisations) if organisations else EQUAL_WEIGHTS
        return self._weights


BEYOND_SHARE = "others wait, and it would not have its turn in time"


def _party(waiter: Waiter) -> Party:
    return Party(waiter.ask.organisation, waiter.ask.kind)


def _claim(waiter: Waiter, number: int) -> Claim:
    work = waiter.work
    tokens = cost(work.prompt_tokens, work.answer_tokens)
    return Claim(_party(waiter), tokens, waiter.ask.urgency, waiter.asked_at, number)


def _arrival(waiter: Waiter) -> float:
    return waiter.asked_at
