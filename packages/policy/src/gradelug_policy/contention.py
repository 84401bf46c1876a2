"""Who may use what is left of a quota that more is asked of than it holds.

Load pattern: one organisation sends 6 to 8 times its usual over some 85 instances; its kinds differ
in urgency, their requests in size (500 to 6,000 tokens), a third of its callers repeat at once.
First come, first served gives each kind the same part of the quota, and the largest requests
nothing, since small ones use whatever has come in before there is enough for a large one.

The levels of a bucket are reserved: the urgent may use all of it, the others leave as much as the
urgent ask for within a moment. How much that is, is learned from what was asked lately, so that
nothing is kept for who does not ask. All requests of a kind need the same level, whatever their
size. Kinds of one service go by their urgency; those of different services by what a token is
worth, since urgencies of different services say nothing of each other (a plain request counts 200
tokens where a generation counts 1,600).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from .refusals import Caller, Refusals

URGENCIES = 8
"""Urgencies that are told apart; those of still less urgency count as the last of these."""
MOST_KINDS = 16
"""Kinds of an organisation that are told apart; further ones count as the last of these."""
MIX_HALF_LIFE_S = 1.0
"""What is asked is learned within about this, in seconds: an organisation's load jumps at once, and
what was kept for the urgent is free again as soon after they fall silent."""
SERVED_HALF_LIFE_S = 5.0
"""Time over which is looked whether a kind gets its least part, in seconds: several requests of a
kind that comes once a second."""
CONTENDED_PART = 0.9
"""A quota is contended once more than this part of its rate is asked for: below, nobody needs to
leave anything to others."""
HOLD_S = 0.1
"""The others leave what the urgent ask for in this time, in seconds: messages are gathered for half
of it, so that several come at once."""
CLUMP = 5.0
"""And so many large requests, or the part of them that the urgent ask for of the rate: of an urgent
kind that takes six tenths of a quota of ten requests a second 0.98 are served, with none 0.74, with
three 0.93, with eight 0.99 and 1% of the quota unused."""
RESERVE_PART = 0.75
"""Part of what a bucket holds that may be kept from the least urgent: as it never needs to be
full, nothing that comes in is lost."""
LARGE_PART = 0.5
"""Part of what a bucket holds up to which all requests need the same level: one that counts more
needs as much as it counts, since otherwise small buckets would be in debt for long."""
LARGE_HALF_LIFE_S = 10.0
"""The largest request of late counts half after this time, in seconds."""
LEAST_PART = 0.23
"""Requests of a kind are granted at least this part as often as all, besides those that come back:
a quarter as often in all, below which callers are as good as shut out. Where the urgent alone ask
for nearly all of a quota each hundredth more costs them two, and beyond four times the quota worth
is less than with 0.1 by a sixth (`tests/quota_load.py`)."""
PROMISED_PART = 0.1
"""Part of the rate that is promised to those who come back while more is asked than there is: what
they get is late, and what new requests get is in time. At 0.25 a load of half as much again earned
4% less, at 0.5 12% less (`tests/quota_load.py`, worth of what was served)."""
LEAST_RATE_PART = 0.02
"""Part of the rate by which is reckoned when the least urgent may come back."""
ORDER_S = 0.2
"""What a token of a kind is worth is learned over seconds: kinds are ordered anew so often."""
IDLE = 0.001
"""A kind that asks more rarely than this a second may be forgotten for another one."""
PATIENCE_PART = 1 / 3
"""Callers wait as told for a third of the time that they have left: who is told a longer time comes
back before it, and is promised nothing."""
EARLY_S = 0.05
"""Shortest time to tell a caller that comes back too early, in seconds."""


class Standing(Enum):
    """How a caller comes, those first that go first among equally urgent ones."""

    BACK = "back as told"
    FIRST = "first try"
    EARLY = "back too early"


@dataclass(slots=True, frozen=True)
class Claim:
    """What a request needs of a bucket.

    Parameters
    ----------
    kind : int
        Number of its kind.
    standing : Standing
        How its caller comes.
    amount : float
        Tokens that it counts.
    needed : float
        Tokens that the bucket must hold for it.
    contended : bool
        Whether more is asked for than there is.
    """

    kind: int
    standing: Standing
    amount: float
    needed: float
    contended: bool


class _Rates:
    """Decayed rates by kind."""

    __slots__ = ("_at", "_decay", "rates")

    def __init__(self, half_life_s: float) -> None:
        self._decay = math.log(2) / half_life_s
        self._at = -math.inf
        self.rates = [0.0] * MOST_KINDS

    def settle(self, now: float) -> None:
        if now > self._at:
            kept = math.exp(-self._decay * (now - self._at))
            self.rates = [rate * kept for rate in self.rates]
            self._at = now

    def note(self, kind: int, amount: float, now: float) -> None:
        self.settle(now)
        self.rates[kind] += amount * self._decay


class Contest:
    """Those who compete for one organisation's quota.

    Parameters
    ----------
    organisation : str
        Whose quota.
    refusals : Refusals
        Who was refused lately, of all organisations.
    """

    __slots__ = (
        "_all",
        "_asked",
        "_at",
        "_back",
        "_first",
        "_granted",
        "_kinds",
        "_large",
        "_order",
        "_ordered_at",
        "_organisation",
        "_promised",
        "_refusals",
        "_tries",
        "_value",
    )

    def __init__(self, organisation: str = "", refusals: Refusals | None = None) -> None:
        self._organisation = organisation
        self._refusals = refusals or Refusals()
        self._kinds: dict[tuple[str, int], int] = {}
        self._first = _Rates(MIX_HALF_LIFE_S)
        """Tokens that first tries ask for."""
        self._back = _Rates(MIX_HALF_LIFE_S)
        """Tokens that those ask for who come back as told."""
        self._asked = _Rates(SERVED_HALF_LIFE_S)
        """The same over a longer time."""
        self._tries = _Rates(SERVED_HALF_LIFE_S)
        """Requests, first tries alone."""
        self._granted = _Rates(SERVED_HALF_LIFE_S)
        self._value = _Rates(SERVED_HALF_LIFE_S)
        """Value of first tries: with their tokens, what a token is worth."""
        self._all = (
            self._first,
            self._back,
            self._asked,
            self._granted,
            self._tries,
            self._value,
        )
        self._large = 0.0
        self._at = -math.inf
        self._order: dict[int, list[int]] = {}
        """The kinds that go before each."""
        self._ordered_at = -math.inf
        self._promised = [0.0] * MOST_KINDS
        """Tokens of refused requests that were told when to come back and are not due yet."""

    def enter(
        self, amount: float, caller: Caller, rate: float, capacity: float, now: float
    ) -> Claim:
        """Take a request into account and return what it needs.

        Parameters
        ----------
        amount : float
            Tokens that it counts.
        caller : Caller
            Who asks.
        rate, capacity : float
            Tokens that come in a second, and that are saved up at the most.
        now : float
            By the runtime's clock.
        """
        kind = self._kind(caller)
        standing = self._standing(caller, now)
        self._settle(rate, now)
        self._note_asked(kind, standing, amount, caller.value, now)
        contended = sum(self._first.rates) + sum(self._back.rates) > CONTENDED_PART * rate
        own = min(amount, capacity)
        if not contended:
            return Claim(kind, standing, amount, own, False)
        base = max(own, min(self._large, LARGE_PART * capacity))
        most = max(0.0, RESERVE_PART * capacity - base)
        needed = base + min(most, self._reserve(kind, standing, rate))
        return Claim(kind, standing, amount, needed, True)

    def note_granted(self, claim: Claim, caller: Caller, now: float) -> None:
        """Note that a request may run."""
        self._granted.note(claim.kind, 1.0, now)
        self._refusals.forget(self._organisation, caller)

    def refuse(self, claim: Claim, caller: Caller, rate: float, level: float, now: float) -> float:
        """Return when a refused request may come back, in seconds.

        It is promised its part only if its caller waits that long.
        """
        known = self._refusals.find(self._organisation, caller, now)
        if known is not None and claim.standing is Standing.EARLY:
            return max(EARLY_S, known.told_until - now)
        ahead = self._promised[claim.kind]
        lacking = ahead + max(claim.amount, claim.needed - level)
        if not claim.contended:
            lacking = ahead + claim.amount - level
        retry_s = max(0.0, lacking) / self._promise_rate(claim.kind, rate)
        if retry_s <= PATIENCE_PART * caller.waits_s:
            self._promised[claim.kind] += claim.amount
        self._refusals.note(self._organisation, caller, now + retry_s, now)
        return retry_s

    def _kind(self, caller: Caller) -> int:
        name = caller.service, min(caller.rank, URGENCIES - 1)
        known = self._kinds.get(name)
        if known is not None:
            return known
        number = len(self._kinds)
        if number >= MOST_KINDS:
            idle = [other for other, kind in self._kinds.items() if self._asked.rates[kind] < IDLE]
            if not idle:
                return MOST_KINDS - 1
            number = self._kinds.pop(idle[0])
        self._kinds[name] = number
        return number

    def _standing(self, caller: Caller, now: float) -> Standing:
        known = self._refusals.find(self._organisation, caller, now)
        if known is None:
            return Standing.FIRST
        return Standing.BACK if now >= known.told_until else Standing.EARLY

    def _note_asked(
        self, kind: int, standing: Standing, amount: float, value: float, now: float
    ) -> None:
        self._large = max(self._large, amount)
        if standing is Standing.BACK:
            self._back.note(kind, amount, now)
        if standing is Standing.FIRST:
            self._first.note(kind, amount, now)
            self._value.note(kind, value, now)
            self._asked.note(kind, amount, now)
            self._tries.note(kind, 1.0, now)

    def _settle(self, rate: float, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        for rates in self._all:
            rates.settle(now)
        self._at = now
        if not self._large:
            return
        self._large *= 0.5 ** (passed_s / LARGE_HALF_LIFE_S)
        for kind, promised in enumerate(self._promised):
            if promised:
                due = self._promise_rate(kind, rate) * passed_s
                self._promised[kind] = max(0.0, promised - due)

    def _before(self, kind: int) -> list[int]:
        """Return the kinds that go before one: the more urgent of its service, the worthier."""
        if kind not in self._order or self._at >= self._ordered_at + ORDER_S:
            places = self._places()
            self._order = {
                kind: [other for other in places if places[other] < place]
                for kind, place in places.items()
            }
            self._ordered_at = self._at
        return self._order.get(kind, [])

    def _places(self) -> dict[int, tuple[float, int]]:
        """Return what kinds are ordered by; no kind goes before a more urgent of its service."""
        least: dict[str, float] = {}
        places: dict[int, tuple[float, int]] = {}
        for (service, rank), kind in sorted(self._kinds.items(), key=lambda item: item[0][1]):
            tokens = self._asked.rates[kind]
            worth = self._value.rates[kind] / tokens if tokens else 0.0
            if tokens:
                least[service] = min(worth, least.get(service, math.inf))
            places[kind] = (-least.get(service, 0.0), rank)
        return places

    def _reserve(self, kind: int, standing: Standing, rate: float) -> float:
        """Return what a request leaves to those that go before it."""
        if standing is Standing.EARLY:
            return math.inf
        if self._is_short(kind):
            return 0.0
        before = self._before(kind)
        ahead = sum(self._first.rates[other] + self._back.rates[other] for other in before)
        if standing is Standing.FIRST:
            ahead += self._back.rates[kind]
        part = min(1.0, ahead / rate) if rate else 1.0
        return HOLD_S * ahead + CLUMP * part * self._large

    def _least_part(self) -> float:
        """Return which part of the requests of each kind is granted at least."""
        tries = sum(self._tries.rates)
        return LEAST_PART * sum(self._granted.rates) / tries if tries else 0.0

    def _is_short(self, kind: int) -> bool:
        """Tell whether a kind has had less than its least part."""
        return self._granted.rates[kind] < self._least_part() * self._tries.rates[kind]

    def _promise_rate(self, kind: int, rate: float) -> float:
        """Return how much of the rate those get who come back, in tokens a second."""
        before = self._before(kind)
        least = self._least_part()
        others = sum(
            self._first.rates[other] if other in before else least * self._first.rates[other]
            for other in self._kinds.values()
            if other != kind
        )
        left = max(LEAST_RATE_PART * rate, least * self._first.rates[kind], rate - others)
        return max(PROMISED_PART * left, left - self._first.rates[kind])
