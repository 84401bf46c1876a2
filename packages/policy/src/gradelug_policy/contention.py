"""Decides who may use the rest of a quota when more tokens are requested than it provides.

Load pattern: one organisation sends 6 to 8 times its usual load over some 85 instances. Its kinds
of requests differ in urgency, the requests in size (500 to 6,000 tokens), and a third of its
callers retry at once. First come, first served gives each kind the same fraction of the quota and
the largest requests nothing, since small ones consume the refill before it suffices for a large
one.

The levels of a token bucket are reserved: the most urgent requests may use all of it, the others
leave as much as the more urgent ones request within a short time. That amount follows recent
demand, so that nothing is reserved for kinds without requests. All requests of a kind need the same
level, regardless of their size. Kinds of one service are ordered by urgency, those of different
services by the value of a token, since urgencies of different services are not comparable (a plain
request counts 200 tokens, a generation 1,600).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from .refusals import Caller, Refusals

URGENCY_LEVELS = 8
"""Number of distinguished urgencies; less urgent requests count as the last of these."""
MAX_KINDS = 16
"""Maximum number of distinguished kinds of an organisation; further ones share the last number."""
OFFERED_LOAD_HALF_LIFE_S = 1.0
"""Half-life of the requested token rates, in seconds. An organisation's load rises within moments,
and the reserve for urgent requests must be released as soon after they stop."""
GRANT_HALF_LIFE_S = 5.0
"""Half-life of the rates by which a kind's minimum of grants is checked, in seconds: several
requests of a kind that arrives once per second."""
CONTENTION_THRESHOLD_FRACTION = 0.9
"""A quota is contended when more than this fraction of its rate is requested; below it, nothing is
reserved."""
RESERVE_WINDOW_S = 0.1
"""Less urgent requests leave what more urgent ones request within this time, in seconds. Messages
are batched for half of it, so that several requests arrive together."""
RESERVE_LARGEST_REQUESTS = 5.0
"""Additional reserve, in requests of the largest size, scaled by the fraction of the rate that more
urgent kinds request. For an urgent kind that requests 60% of a quota of ten requests per second,
98% are served; with 0 it is 74%, with 3 it is 93%, with 8 it is 99% with 1% of the quota unused."""
MAX_RESERVE_FRACTION = 0.75
"""Maximum fraction of a bucket's capacity that is reserved against the least urgent requests. The
bucket never needs to be full, so no refill is lost."""
MAX_COMMON_NEED_FRACTION = 0.5
"""Fraction of a bucket's capacity up to which all requests need the same level. A larger request
needs its own size, since otherwise small buckets would stay in debt for long."""
LARGEST_REQUEST_HALF_LIFE_S = 10.0
"""Half-life of the size of the largest recent request, in seconds."""
MIN_RELATIVE_GRANT_RATIO = 0.23
"""First tries of a kind are granted at least this fraction as often as those of all kinds together;
with its retries, a kind is then granted a quarter as often, below which its callers are
practically locked out. Where urgent requests alone request nearly all of a quota, each
additional 0.01 costs them 2%. Beyond four times the quota the total value is a sixth lower than
with 0.1 (`tests/quota_load.py`)."""
MIN_RETRY_RATE_FRACTION = 0.1
"""Minimum fraction of the available rate that is reserved for retries under contention. Tokens for
retries are spent late, those for new requests in time: with a load of 1.5 times the quota, 0.25
yields 4% less value and 0.5 yields 12% less (`tests/quota_load.py`)."""
MIN_RATE_FRACTION = 0.02
"""Minimum fraction of the rate that is assumed for the retry time of the least urgent requests."""
KIND_ORDER_INTERVAL_S = 0.2
"""Interval at which kinds are reordered, in seconds. The value of their tokens changes over
seconds."""
IDLE_TOKENS_PER_S = 0.001
"""A kind with a lower rate than this, in tokens per second, may be replaced by a new kind."""
MAX_RETRY_WAIT_FRACTION = 1 / 3
"""Callers observe a retry time up to this fraction of their remaining time. With a longer one they
retry earlier, so no tokens are reserved for them."""
MIN_EARLY_RETRY_S = 0.05
"""Minimum retry time for a caller that retries too early, in seconds."""


class RetryState(Enum):
    """Whether a request is a retry, in order of precedence among equally urgent requests."""

    RETRY_DUE = "back as told"
    FIRST_TRY = "first try"
    RETRY_EARLY = "back too early"


@dataclass(slots=True, frozen=True)
class QuotaClaim:
    """Tokens that a request needs of a bucket.

    Parameters
    ----------
    kind : int
        Number of the request's kind.
    standing : RetryState
        Whether the request is a first try, a retry that is due or an early retry.
    amount : float
        Tokens that the request consumes.
    needed : float
        Tokens that the bucket must hold for the request to be granted.
    contended : bool
        Whether more tokens are requested than the quota provides.
    """

    kind: int
    retry_state: RetryState
    amount: float
    needed: float
    contended: bool


class _Rates:
    """Exponentially decayed rates by number of kind."""

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
    """Decides between the requests that compete for the quota of one organisation.

    Parameters
    ----------
    organisation : str
        Organisation that owns the quota.
    refusals : Refusals
        Recently refused requests of all organisations.
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
        """Requested tokens per second, first tries only."""
        self._due_retries = _Rates(OFFERED_LOAD_HALF_LIFE_S)
        """Requested tokens per second of retries at or after their retry time."""
        self._recent_first_tries = _Rates(GRANT_HALF_LIFE_S)
        """Requested tokens per second of first tries, with the longer half-life."""
        self._request_rates = _Rates(GRANT_HALF_LIFE_S)
        """Requests per second, first tries only."""
        self._grant_rates = _Rates(GRANT_HALF_LIFE_S)
        self._value_rates = _Rates(GRANT_HALF_LIFE_S)
        """Value per second of first tries; divided by their tokens, the value of a token."""
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
        """Numbers of the kinds that take precedence over each kind."""
        self._kinds_ordered_at = -math.inf
        self._reserved = [0.0] * MAX_KINDS
        """Tokens of refused requests whose retry time has not come yet, by number of kind."""

    def register(
        self, amount: float, caller: Caller, rate: float, capacity: float, now: float
    ) -> QuotaClaim:
        """Register a request and return what it needs.

        Parameters
        ----------
        amount : float
            Tokens that the request consumes.
        caller : Caller
            Origin of the request.
        rate, capacity : float
            Refill rate of the bucket in tokens per second, and its maximum level in tokens.
        now : float
            Current time by the runtime's clock.
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
        """Record that a request was granted."""
        self._grant_rates.note(claim.kind, 1.0, now)
        self._refusals.forget(self._organisation, caller)

    def schedule_retry(
        self, claim: QuotaClaim, caller: Caller, rate: float, level: float, now: float
    ) -> float:
        """Return the time until a refused request should be retried, in seconds.

        Tokens are reserved for the retry only if its caller can wait that long.
        """
        previous = self._refusals.find(self._organisation, caller, now)
        if previous is not None and claim.retry_state is RetryState.RETRY_EARLY:
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
        name = caller.service, min(caller.rank, URGENCY_LEVELS - 1)
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
            return RetryState.FIRST_TRY
        return RetryState.RETRY_DUE if now >= previous.retry_at else RetryState.RETRY_EARLY

    def _record_request(
        self, kind: int, standing: RetryState, amount: float, value: float, now: float
    ) -> None:
        self._largest = max(self._largest, amount)
        if standing is RetryState.RETRY_DUE:
            self._due_retries.note(kind, amount, now)
        if standing is RetryState.FIRST_TRY:
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
        """Return the kinds that precede one: more urgent ones of its service, and more valuable
        ones.
        """
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
        """Return the sort key of each kind; none precedes a more urgent kind of its service."""
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
        """Return the tokens that a request must leave for those that precede it."""
        if standing is RetryState.RETRY_EARLY:
            return math.inf
        if self._is_underserved(kind):
            return 0.0
        preceding = self._preceding_kinds(kind)
        ahead = sum(
            self._first_tries.rates[other] + self._due_retries.rates[other] for other in preceding
        )
        if standing is RetryState.FIRST_TRY:
            ahead += self._due_retries.rates[kind]
        part = min(1.0, ahead / rate) if rate else 1.0
        return RESERVE_WINDOW_S * ahead + RESERVE_LARGEST_REQUESTS * part * self._largest

    def _min_grant_ratio(self) -> float:
        """Return the minimum fraction of the requests of each kind that is granted."""
        tries = sum(self._request_rates.rates)
        return MIN_RELATIVE_GRANT_RATIO * sum(self._grant_rates.rates) / tries if tries else 0.0

    def _is_underserved(self, kind: int) -> bool:
        """Return whether a kind has received less than its minimum of grants."""
        return (
            self._grant_rates.rates[kind]
            < self._min_grant_ratio() * self._request_rates.rates[kind]
        )

    def _retry_rate(self, kind: int, rate: float) -> float:
        """Return the rate that is available to retries of a kind, in tokens per second."""
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
