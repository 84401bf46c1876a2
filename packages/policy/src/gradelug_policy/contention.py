"""Who may use what is left of a quota that more is asked of than it holds.

Load pattern: one organisation sends 6 to 8 times its usual over some 85 instances; its kinds differ
in urgency, their requests in size (500 to 6,000 tokens), a third of its callers repeat at once.
First come, first served gives each kind the same part of the quota, and the largest requests
nothing, since small ones use whatever has come in before there is enough for a large one.

The levels of a bucket are reserved: the urgent may use all of it, the others leave as much as the
urgent ask for within a moment. How much that is, is learned from what was asked lately, so that
nothing is kept for who does not ask. All requests of a kind need the same level, whatever their
size.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

URGENCIES = 8
"""Urgencies that are told apart; those of still less urgency count as the last of these."""
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
LEAST_PART = 0.4
"""Requests of an urgency are granted at least this part as often as all: under a quarter as often
their callers are as good as shut out."""
PROMISED_PART = 0.1
"""Part of the rate that is promised to those who come back while more is asked than there is: what
they get is late, and what new requests get is in time. At 0.25 a load of half as much again earned
4% less, at 0.5 12% less (`tests/quota_load.py`, worth of what was served)."""
LEAST_RATE_PART = 0.02
"""Part of the rate by which is reckoned when the least urgent may come back."""
TOLD_S = 32.0
"""How long it is known what callers were told, in seconds; few wait longer."""
TOLD_STEP_S = 0.25
"""How exactly is known when callers were told, in seconds."""
EARLY_PART = 0.95
"""A caller has waited as told if it has waited this part of the time: clocks and links differ."""
EARLY_S = 0.05
"""Shortest time to tell a caller that comes back too early, in seconds."""


class Caller(t.NamedTuple):
    """Who asks for a part of a quota.

    Parameters
    ----------
    rank : int
        Urgency, 0 first.
    waits_s : float
        How long an answer is of use, in seconds.
    since_s : float
        Time since it was first refused, in seconds; 0 if this is the first try.
    """

    rank: int = 0
    waits_s: float = math.inf
    since_s: float = 0.0


ANYBODY = Caller()


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
    rank : int
        Urgency, 0 first.
    standing : Standing
        How its caller comes.
    amount : float
        Tokens that it counts.
    needed : float
        Tokens that the bucket must hold for it.
    contended : bool
        Whether more is asked for than there is.
    """

    rank: int
    standing: Standing
    amount: float
    needed: float
    contended: bool


class _Rates:
    """Decayed rates by urgency."""

    __slots__ = ("_at", "_decay", "rates")

    def __init__(self, half_life_s: float) -> None:
        self._decay = math.log(2) / half_life_s
        self._at = -math.inf
        self.rates = [0.0] * URGENCIES

    def settle(self, now: float) -> None:
        if now > self._at:
            kept = math.exp(-self._decay * (now - self._at))
            self.rates = [rate * kept for rate in self.rates]
            self._at = now

    def note(self, rank: int, amount: float, now: float) -> None:
        self.settle(now)
        self.rates[rank] += amount * self._decay


class Contest:
    """Those who compete for one organisation's quota."""

    __slots__ = (
        "_all",
        "_asked",
        "_at",
        "_back",
        "_first",
        "_granted",
        "_large",
        "_promised",
        "_told",
    )

    def __init__(self) -> None:
        self._first = _Rates(MIX_HALF_LIFE_S)
        """Tokens that first tries ask for."""
        self._back = _Rates(MIX_HALF_LIFE_S)
        """Tokens that those ask for who come back as told."""
        self._asked = _Rates(SERVED_HALF_LIFE_S)
        """Requests, first tries alone."""
        self._granted = _Rates(SERVED_HALF_LIFE_S)
        self._all = (self._first, self._back, self._asked, self._granted)
        self._large = 0.0
        self._at = -math.inf
        self._promised = [0.0] * URGENCIES
        """Tokens of refused requests that were told when to come back and are not due yet."""
        self._told: dict[tuple[int, int], float] = {}
        """The shortest time told in each `TOLD_STEP_S`, by urgency."""

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
        rank = min(caller.rank, URGENCIES - 1)
        standing = self._standing(rank, caller, now)
        self._settle(rate, now)
        self._note_asked(rank, standing, amount, now)
        contended = sum(self._first.rates) + sum(self._back.rates) > CONTENDED_PART * rate
        own = min(amount, capacity)
        if not contended:
            return Claim(rank, standing, amount, own, False)
        base = max(own, min(self._large, LARGE_PART * capacity))
        most = max(0.0, RESERVE_PART * capacity - base)
        needed = base + min(most, self._reserve(rank, standing, rate))
        return Claim(rank, standing, amount, needed, True)

    def note_granted(self, claim: Claim, now: float) -> None:
        """Note that a request may run."""
        self._granted.note(claim.rank, 1.0, now)

    def refuse(self, claim: Claim, caller: Caller, rate: float, level: float, now: float) -> float:
        """Return when a refused request may come back, in seconds.

        It is promised its part only if it waits that long.
        """
        if claim.standing is Standing.EARLY:
            told_s = self._told.get(_moment(claim.rank, now - caller.since_s), 0.0)
            return max(EARLY_S, told_s - caller.since_s)
        ahead = self._promised[claim.rank]
        lacking = ahead + max(claim.amount, claim.needed - level)
        if not claim.contended:
            lacking = ahead + claim.amount - level
        retry_s = max(0.0, lacking) / self._promise_rate(claim.rank, rate)
        if retry_s <= caller.waits_s:
            self._promised[claim.rank] += claim.amount
        self._note_told(claim.rank, retry_s, now)
        return retry_s

    def _standing(self, rank: int, caller: Caller, now: float) -> Standing:
        if not caller.since_s:
            return Standing.FIRST
        told_s = self._told.get(_moment(rank, now - caller.since_s))
        if told_s is None:
            # It was refused for another reason, or by an earlier home.
            return Standing.FIRST
        return Standing.BACK if caller.since_s >= EARLY_PART * told_s else Standing.EARLY

    def _note_asked(self, rank: int, standing: Standing, amount: float, now: float) -> None:
        self._large = max(self._large, amount)
        if standing is Standing.BACK:
            self._back.note(rank, amount, now)
        if standing is Standing.FIRST:
            self._first.note(rank, amount, now)
            self._asked.note(rank, 1.0, now)

    def _settle(self, rate: float, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        for rates in self._all:
            rates.settle(now)
        self._at = now
        if not self._large:
            return
        self._large *= 0.5 ** (passed_s / LARGE_HALF_LIFE_S)
        for rank, promised in enumerate(self._promised):
            if promised:
                due = self._promise_rate(rank, rate) * passed_s
                self._promised[rank] = max(0.0, promised - due)

    def _reserve(self, rank: int, standing: Standing, rate: float) -> float:
        """Return what a request leaves to those that go before it."""
        if standing is Standing.EARLY:
            return math.inf
        if self._is_short(rank):
            return 0.0
        ahead = sum(self._first.rates[:rank]) + sum(self._back.rates[:rank])
        if standing is Standing.FIRST:
            ahead += self._back.rates[rank]
        part = min(1.0, ahead / rate) if rate else 1.0
        return HOLD_S * ahead + CLUMP * part * self._large

    def _is_short(self, rank: int) -> bool:
        """Tell whether an urgency has had less than its least part."""
        asked, granted = sum(self._asked.rates), sum(self._granted.rates)
        usual = LEAST_PART * granted * self._asked.rates[rank]
        return self._granted.rates[rank] * asked < usual

    def _promise_rate(self, rank: int, rate: float) -> float:
        """Return how much of the rate those get who come back, in tokens a second."""
        left = max(LEAST_RATE_PART * rate, rate - sum(self._first.rates[:rank]))
        return max(PROMISED_PART * left, left - self._first.rates[rank])

    def _note_told(self, rank: int, retry_s: float, now: float) -> None:
        moment = _moment(rank, now)
        if moment not in self._told:
            _, oldest = _moment(rank, now - TOLD_S)
            self._told = {key: told for key, told in self._told.items() if key[1] > oldest}
        self._told[moment] = min(self._told.get(moment, math.inf), retry_s)


def _moment(rank: int, at: float) -> tuple[int, int]:
    return rank, int(at / TOLD_STEP_S)
