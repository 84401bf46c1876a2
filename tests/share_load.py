"""Simulates engines that are full because one party exceeds its usual load, without a network."""

import math
from dataclasses import dataclass

from engine_fleet_model import (
    CALLER_TIMEOUT_S,
    FleetParameters,
    FleetSimulation,
    PlacementOptions,
    Req,
)
from gradelug_policy.engine_capacity import MAX_REQUEST_HOLD_S, expected_first_event_s, has_capacity
from gradelug_policy.prefill import RequestWork
from gradelug_policy.shares import (
    EqualWeights,
    UsageShares,
    WaitingRequest,
    early_send_s,
    requests_too_late,
)
from gradelug_policy.uses import Party, SendRates

SIZES = (0.2, 0.2, 0.15, 0.15, 0.1, 0.1, 0.1)
"""Usual fractions of organisations; the flooding one is that of `FLOODER`."""
FLOODER = 2
FLOOD = (4.0, 11.0)
MEASURED = (5.0, 11.0)
MOST_TRIES = 4
"""A third of the callers of refused requests retry three times, at once."""
RATE = 56.0
SHAPE = FleetParameters(engines=12, rate=RATE, adapters=240, wave=0.0, bursts=(), length_s=11.5)


@dataclass(slots=True)
class OwnedReq(Req):
    """A request of an organisation."""

    owner: int = 0
    tries: int = 1

    @property
    def party(self):
        return Party(f"o{self.owner}", f"k{self.rank}")

    @property
    def late_s(self):
        return self.first_at - self.at


@dataclass(slots=True, frozen=True)
class Flood:
    """Additional load of one party, and failures of the holders of the waiting requests."""

    times: float = 6.6
    owner: int = FLOODER
    kind: int = -1
    """Kind that floods, over all organisations; an organisation floods if it is not set."""
    lost_at: float = math.inf
    """Time at which the planner is replaced by one without usage data."""
    cut: tuple = (math.inf, math.inf)
    """Start and end of a period in which a quarter of the gateways report no usage."""
    token_weight: float = 10.0

    def is_of(self, req):
        return req.rank == self.kind if self.kind >= 0 else req.owner == self.owner


class SharedRun(FleetSimulation):
    """One simulation; without shares if `order` is None."""

    def __init__(self, flood, order=None, seed=1, shape=SHAPE, weights=None):
        self.flood, self.order = flood, order
        self.weights_of = weights or EqualWeights()
        self.shares, self.turns = UsageShares(), SendRates()
        self.untold = []
        self.refused = 0
        self._full = set()
        self.made_at = {}
        super().__init__(shape, PlacementOptions(), seed)

    def _request(self, number, now):
        req = super()._request(number, now)
        owner = self.rng.choices(range(len(SIZES)), SIZES)[0]
        fields = (req.adapter, req.rank, req.target_s, req.prompt, req.answer)
        return OwnedReq(number, now, *fields, owner=owner)

    def _arrive(self, req, now):
        super()._arrive(req, now)
        if not self.flood.is_of(req) or not FLOOD[0] <= now < FLOOD[1]:
            return
        extra = self.flood.times - 1
        for _ in range(int(extra) + (self.rng.random() < extra % 1)):
            more = self._request(self._number(), now)
            more.owner = req.owner
            more.rank, more.target_s = req.rank, req.target_s
            more.prompt, more.answer = req.prompt, req.answer
            super()._arrive(more, now)

    def _number(self):
        return 1_000_000 + len(self.requests)

    def cost(self, req):
        return req.prompt + self.flood.token_weight * req.answer

    def _in_order(self, due):
        # The planner evaluates all of them with each message.
        due, self.line = due + self.line, []
        self._full.clear()
        for moment in MEASURED:
            if moment <= self.now:
                self.made_at.setdefault(moment, sum(req.made for req in self.requests))
        if self.order is None:
            return super()._in_order(due)
        self._take_told()
        if self.now >= self.flood.lost_at:
            self.shares, self.turns = UsageShares(), SendRates()
            self.flood = Flood(self.flood.times, self.flood.owner, self.flood.kind)
        claims = [
            WaitingRequest(req.party, self.cost(req), req.rank, req.at, at)
            for at, req in enumerate(due)
        ]
        self.board = self.shares.fairness(claims, self.weights_of, self.now)
        self._claimed = {
            req.adapter for req in due if not self.board.must_yield(req.party, req.rank)
        }
        ordered = [due[claim.number] for claim in self.order.arrange(claims, self.board)]
        return self._without_late(ordered)

    def _without_late(self, ordered):
        by_party = {}
        for req in ordered:
            if self.board.must_yield(req.party, req.rank):
                by_party.setdefault(req.party, []).append(req)
        late = set()
        for party, reqs in by_party.items():
            left = [req.at + req.target_s - self.now for req in reqs]
            rate = self.turns.rate(party, self.now)
            late.update(reqs[at].number for at in requests_too_late(left, rate))
        for req in ordered:
            if req.number in late:
                self._refuse(req)
        return [req for req in ordered if req.number not in late]

    def _refuse(self, req):
        self.refused += 1
        if req.number % 3 == 0 and req.tries < MOST_TRIES:
            again = self._request(self._number(), self.now)
            again.owner, again.tries = req.owner, req.tries + 1
            again.rank, again.target_s = req.rank, req.target_s
            super()._arrive(again, self.now)

    def _take_told(self):
        """Apply the sent requests that gateways reported, one reporting interval later."""
        due = [item for item in self.untold if item[0] <= self.now]
        self.untold = [item for item in self.untold if item[0] > self.now]
        for _, req in due:
            is_cut = self.flood.cut[0] <= self.now < self.flood.cut[1] and req.number % 4 == 0
            if not is_cut:
                self.shares.note(req.party, self.cost(req), self.now, bool(self.line))

    def _place(self, req, now):
        if self.order is None or not self.board.must_yield(req.party, req.rank):
            super()._place(req, now)
            return
        if now > req.at + req.target_s:
            self._refuse(req)
            return
        work = RequestWork(req.prompt, self._urgency(req.rank))
        holders = [index for index in self.by_key[req.adapter] if index not in req.excluded]
        best = min(holders, key=lambda index: self._cost(index, work), default=None)
        if req.adapter in self._full:
            self.line.append(req)
            return
        if best is None or now <= req.at + MAX_REQUEST_HOLD_S:
            super()._place(req, now)
            return
        busy, pace = self._busy(best), self._pace(best)
        least = expected_first_event_s(busy, work, self.terms, pace)
        is_claimed = any(key in self.held[best] for key in self._claimed)
        left_part = (req.at + req.target_s - now) / req.target_s
        ahead = early_send_s(
            left_part, self.rules.news_s, pace.hold_s / self.terms.slots, is_claimed
        )
        if has_capacity(busy, work, self.terms, pace, ahead):
            self._send(req, best, work, now + least > req.at + req.target_s, now)
            return
        self._full.add(req.adapter)
        if not any(key == req.adapter for key, _ in self.coming):
            self._load(req.adapter, now, least - 0.1)
        self.line.append(req)

    def _send(self, req, index, work, last, now):
        super()._send(req, index, work, last, now)
        if self.order is not None:
            self.turns.note(req.party, 1, now)
            self.untold.append((now + self.rules.news_s, req))

    def waits(self, chosen, part=0.99):
        """Return a percentile of the wait for a first event of some requests, in seconds."""
        waits = sorted(min(req.late_s, CALLER_TIMEOUT_S) for req in self._during() if chosen(req))
        return waits[min(len(waits) - 1, int(part * len(waits)))]

    def others(self, part=0.99):
        return self.waits(lambda req: not self.flood.is_of(req), part)

    def in_time(self):
        """Return the fraction of the others' first events that were in time."""
        others = [req for req in self._during() if not self.flood.is_of(req)]
        return sum(req.late_s <= req.target_s for req in others) / len(others)

    def made(self):
        """Return the tokens that engines generated in the evaluated time."""
        begin, end = MEASURED
        return self.made_at[end] - self.made_at[begin]

    def _during(self):
        return [req for req in self.requests if MEASURED[0] <= req.at < MEASURED[1]]
