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
MAX_KINDS = 16
"""Kinds of an organisation that are told apart; further ones count as the last of these."""
OFFERED_LOAD_HALF_LIFE_S = 1.0
"""What is asked is learned within about this, in seconds: an organisation's load jumps at once, and
what was kept for the urgent is free again as soon after they fall silent."""
GRANT_HALF_LIFE_S = 5.0
"""Time over which is looked whether a kind gets its least part, in seconds: several requests of a
kind that comes once a second."""
CONTENTION_THRESHOLD_FRACTION = 0.9
"""A quota is contended once more than this part of its rate is asked for: below, nobody needs to
leave anything to others."""
RESERVE_WINDOW_S = 0.1
"""The others leave what the urgent ask for in this time, in seconds: messages are gathered for half
of it, so that several come at once."""
RESERVE_LARGEST_REQUESTS = 5.0
"""And so many large requests, or the part of them that the urgent ask for of the rate: of an urgent
kind that takes six tenths of a quota of ten requests a second 0.98 are served, with none 0.74, with
three 0.93, with eight 0.99 and 1% of the quota unused."""
MAX_RESERVE_FRACTION = 0.75
"""Part of what a bucket holds that may be kept from the least urgent: as it never needs to be
full, nothing that comes in is lost."""
MAX_COMMON_NEED_FRACTION = 0.5
"""Part of what a bucket holds up to which all requests need the same level: one that counts more
needs as much as it counts, since otherwise small buckets would be in debt for long."""
LARGEST_REQUEST_HALF_LIFE_S = 10.0
"""The largest request of late counts half after this time, in seconds."""
MIN_RELATIVE_GRANT_RATIO = 0.23
"""Requests of a kind are granted at least this part as often as all, besides those that come back:
a quarter as often in all, below which callers are as good as shut out. Where the urgent alone ask
for nearly all of a quota each hundredth more costs them two, and beyond four times the quota worth
is less than with 0.1 by a sixth (`tests/quota_load.py`)."""
MIN_RETRY_RATE_FRACTION = 0.1
"""Part of the rate that is promised to those who come back while more is asked than there is: what
they get is late, and what new requests get is in time. At 0.25 a load of half as much again earned
4% less, at 0.5 12% less (`tests/quota_load.py`, worth of what was served)."""
MIN_RATE_FRACTION = 0.02
"""Part of the rate by which is reckoned when the least urgent may come back."""
KIND_ORDER_INTERVAL_S = 0.2
"""What a token of a kind is worth is learned over seconds: kinds are ordered anew so often."""
IDLE_TOKENS_PER_S = 0.001
"""A kind that asks more rarely than this a second may be forgotten for another one."""
MAX_RETRY_WAIT_FRACTION = 1 / 3
"""Callers wait as told for a third of the time that they have left: who is told a longer time comes
back before it, and is promised nothing."""
MIN_EARLY_RETRY_S = 0.05
"""Shortest time to tell a caller that comes back too early, in seconds."""


class RetryState(Enum):
    """How a caller comes, those first that go first among equally urgent ones."""

    BACK = "back as told"
    FIRST = "first try"
    EARLY = "back too early"


@dataclass(slots=True, frozen=True)
class QuotaClaim:
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
    standing: RetryState
    amount: float
    needed: float
    contended: bool


class _Rates:
    """Decayed rates by kind."""

    __slots__ = ("_updated_at", "_decay", "rates")

    def __init__(self, half_life_s: float) -> None:
        self._decay = math.log(2) / half_life_s
        self._updated_at = -math.inf
        self.rates = [0.0] * MAX_KINDS

    def settle(self, now: float) -> None:
        if now > self._updated_at:
            remaining = math.exp(-self._decay * (now - self._updated_at))
            self.rates = [rate * remaining for rate in self.rates]
            self._updated_at = now

    def note(self, kind: int, amount: float, now: float) -> None:
        self.settle(now)
        self.rates[kind] += amount * self._decay


class QuotaArbiter:
    """Those who compete for one organisation's quota.

    Parameters
    ----------
    organisation : str
        Whose quota.
    refusals : Refusals
        Who was refused lately, of all organisations.
    """

    __slots__ = (
        "_all_rates",
        "_recent_first_tries",
        "_updated_at",
        "_due_retries",
        "_first_tries",
        "_grant_rates",
        "_kind_numbers",
        "_largest",
        "_preceding",
        "_kinds_ordered_at",
        "_organisation",
        "_reserved",
        "_refusals",
        "_request_rates",
        "_value_rates",
    )

    def __init__(self, organisation: str = "", refusals: Refusals | None = None) -> None:
        self._organisation = organisation
        self._refusals = refusals or Refusals()
        self._kind_numbers: dict[tuple[str, int], int] = {}
        self._first_tries = _Rates(OFFERED_LOAD_HALF_LIFE_S)
        """Tokens that first tries ask for."""
        self._due_retries = _Rates(OFFERED_LOAD_HALF_LIFE_S)
        """Tokens that those ask for who come back as told."""
        self._recent_first_tries = _Rates(GRANT_HALF_LIFE_S)
        """The same over a longer time."""
        self._request_rates = _Rates(GRANT_HALF_LIFE_S)
        """Requests, first tries alone."""
        self._grant_rates = _Rates(GRANT_HALF_LIFE_S)
        self._value_rates = _Rates(GRANT_HALF_LIFE_S)
        """Value of first tries: with their tokens, what a token is worth."""
        self._all_rates = (
            self._first_tries,
            self._due_retries,
            self._recent_first_tries,
            self._grant_rates,
            self._request_rates,
            self._value_rates,
        )
        self._largest = 0.0
        self._updated_at = -math.inf
        self._preceding: dict[int, list[int]] = {}
        """The kinds that go before each."""
        self._kinds_ordered_at = -math.inf
        self._reserved = [0.0] * MAX_KINDS
        """Tokens of refused requests that were told when to come back and are not due yet."""

    def enter(
        self, amount: float, caller: Caller, rate: float, capacity: float, now: float
    ) -> QuotaClaim:
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
        kind = self._kind_number(caller)
        standing = self._retry_state(caller, now)
        self._advance(rate, now)
        self._record_request(kind, standing, amount, caller.value, now)
        contended = (
            sum(self._first_tries.rates) + sum(self._due_retries.rates)
            > CONTENTION_THRESHOLD_FRACTION * rate
        )
        own_need = min(amount, capacity)
        if not contended:
            return QuotaClaim(kind, standing, amount, own_need, False)
        base = max(own_need, min(self._largest, MAX_COMMON_NEED_FRACTION * capacity))
        max_reserve = max(0.0, MAX_RESERVE_FRACTION * capacity - base)
        needed = base + min(max_reserve, self._tokens_to_leave(kind, standing, rate))
        return QuotaClaim(kind, standing, amount, needed, True)

    def record_grant(self, claim: QuotaClaim, caller: Caller, now: float) -> None:
        """Note that a request may run."""
        self._grant_rates.note(claim.kind, 1.0, now)
        self._refusals.forget(self._organisation, caller)

    def refuse(
        self, claim: QuotaClaim, caller: Caller, rate: float, level: float, now: float
    ) -> float:
        """Return when a refused request may come back, in seconds.

        It is promised its part only if its caller waits that long.
        """
        previous = self._refusals.find(self._organisation, caller, now)
        if previous is not None and claim.standing is RetryState.EARLY:
            return max(MIN_EARLY_RETRY_S, previous.retry_at - now)
        ahead = self._reserved[claim.kind]
        missing = ahead + max(claim.amount, claim.needed - level)
        if not claim.contended:
            missing = ahead + claim.amount - level
        retry_s = max(0.0, missing) / self._retry_rate(claim.kind, rate)
        if retry_s <= MAX_RETRY_WAIT_FRACTION * caller.waits_s:
            self._reserved[claim.kind] += claim.amount
        self._refusals.note(self._organisation, caller, now + retry_s, now)
        return retry_s

    def _kind_number(self, caller: Caller) -> int:
        name = caller.service, min(caller.rank, URGENCIES - 1)
        previous = self._kind_numbers.get(name)
        if previous is not None:
            return previous
        number = len(self._kind_numbers)
        if number >= MAX_KINDS:
            idle = [
                other
                for other, kind in self._kind_numbers.items()
                if self._recent_first_tries.rates[kind] < IDLE_TOKENS_PER_S
            ]
            if not idle:
                return MAX_KINDS - 1
            number = self._kind_numbers.pop(idle[0])
        self._kind_numbers[name] = number
        return number

    def _retry_state(self, caller: Caller, now: float) -> RetryState:
        previous = self._refusals.find(self._organisation, caller, now)
        if previous is None:
            return RetryState.FIRST
        return RetryState.BACK if now >= previous.retry_at else RetryState.EARLY

    def _record_request(
        self, kind: int, standing: RetryState, amount: float, value: float, now: float
    ) -> None:
        self._largest = max(self._largest, amount)
        if standing is RetryState.BACK:
            self._due_retries.note(kind, amount, now)
        if standing is RetryState.FIRST:
            self._first_tries.note(kind, amount, now)
            self._value_rates.note(kind, value, now)
            self._recent_first_tries.note(kind, amount, now)
            self._request_rates.note(kind, 1.0, now)

    def _advance(self, rate: float, now: float) -> None:
        passed_s = max(0.0, now - self._updated_at)
        for rates in self._all_rates:
            rates.settle(now)
        self._updated_at = now
        if not self._largest:
            return
        self._largest *= 0.5 ** (passed_s / LARGEST_REQUEST_HALF_LIFE_S)
        for kind, promised in enumerate(self._reserved):
            if promised:
                due = self._retry_rate(kind, rate) * passed_s
                self._reserved[kind] = max(0.0, promised - due)

    def _preceding_kinds(self, kind: int) -> list[int]:
        """Return the kinds that go before one: the more urgent of its service, the worthier."""
        if (
            kind not in self._preceding
            or self._updated_at >= self._kinds_ordered_at + KIND_ORDER_INTERVAL_S
        ):
            sort_keys = self._sort_keys()
            self._preceding = {
                kind: [other for other in sort_keys if sort_keys[other] < sort_key]
                for kind, sort_key in sort_keys.items()
            }
            self._kinds_ordered_at = self._updated_at
        return self._preceding.get(kind, [])

    def _sort_keys(self) -> dict[int, tuple[float, int]]:
        """Return what kinds are ordered by; no kind goes before a more urgent of its service."""
        least: dict[str, float] = {}
        sort_keys: dict[int, tuple[float, int]] = {}
        for (service, rank), kind in sorted(
            self._kind_numbers.items(), key=lambda item: item[0][1]
        ):
            tokens = self._recent_first_tries.rates[kind]
            token_value = self._value_rates.rates[kind] / tokens if tokens else 0.0
            if tokens:
                least[service] = min(token_value, least.get(service, math.inf))
            sort_keys[kind] = (-least.get(service, 0.0), rank)
        return sort_keys

    def _tokens_to_leave(self, kind: int, standing: RetryState, rate: float) -> float:
        """Return what a request leaves to those that go before it."""
        if standing is RetryState.EARLY:
            return math.inf
        if self._is_underserved(kind):
            return 0.0
        preceding = self._preceding_kinds(kind)
        ahead = sum(
            self._first_tries.rates[other] + self._due_retries.rates[other] for other in preceding
        )
        if standing is RetryState.FIRST:
            ahead += self._due_retries.rates[kind]
        part = min(1.0, ahead / rate) if rate else 1.0
        return RESERVE_WINDOW_S * ahead + RESERVE_LARGEST_REQUESTS * part * self._largest

    def _min_grant_ratio(self) -> float:
        """Return which part of the requests of each kind is granted at least."""
        tries = sum(self._request_rates.rates)
        return MIN_RELATIVE_GRANT_RATIO * sum(self._grant_rates.rates) / tries if tries else 0.0

    def _is_underserved(self, kind: int) -> bool:
        """Tell whether a kind has had less than its least part."""
        return (
            self._grant_rates.rates[kind]
            < self._min_grant_ratio() * self._request_rates.rates[kind]
        )

    def _retry_rate(self, kind: int, rate: float) -> float:
        """Return how much of the rate those get who come back, in tokens a second."""
        preceding = self._preceding_kinds(kind)
        least = self._min_grant_ratio()
        others = sum(
            (
                self._first_tries.rates[other]
                if other in preceding
                else least * self._first_tries.rates[other]
            )
            for other in self._kind_numbers.values()
            if other != kind
        )
        left = max(MIN_RATE_FRACTION * rate, least * self._first_tries.rates[kind], rate - others)
        return max(MIN_RETRY_RATE_FRACTION * left, left - self._first_tries.rates[kind])
