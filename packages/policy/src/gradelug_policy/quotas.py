"""Enforces organisations' quotas across all instances by a coordinator, and by shares without it.

Load pattern: an organisation sends several times its usual load through many instances that each
receive a few of its requests, while instances and the coordinator itself fail. Grants must stay
within the quota in every window, and an organisation within its quota must not be refused.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass, replace

from .contention import QuotaArbiter, RetryState
from .popularity import Popularity
from .refusals import UNKNOWN_CALLER, Caller, Refusals

MIN_BURST_S = 0.5
"""Minimum capacity of a bucket as the time in which its rate refills it, in seconds. Requests
arrive in bursts, and a quota without a burst would refuse one of two simultaneous requests."""
SHARE_HALF_LIFE_S = 4.0
"""Half-life of an instance's use by which its share is computed, in seconds; clients stay with an
instance for seconds."""
EVEN_SHARE_FRACTION = 0.1
"""Fraction of the rate that is divided evenly, so that an instance with little recent use has
some."""
SHARE_TTL_S = 6.0
"""Validity of an instance's share, in seconds. A planner is replaced within 2 to 4 s, or later if
the platform's service was unavailable as well."""
MAX_ANSWER_DELAY_S = 0.5
"""Maximum delay of an answer, in seconds. An instance counts the validity of its share from the
answer's arrival, less this delay."""


@dataclass(slots=True, frozen=True)
class QuotaLimit:
    """Quota of an organisation: rate in tokens per second and burst in tokens."""

    rate: float
    burst: float


class GrantedShare(t.NamedTuple):
    """Tokens per second that an instance may use without the coordinator, and the share's expiry
    time.
    """

    rate: float
    until: float


class QuotaBucket:
    """A token bucket that may go into debt for a request larger than its capacity.

    Otherwise the largest requests of an organisation with a small burst would never run.

    Parameters
    ----------
    terms : QuotaLimit
        Rate in tokens per second, and burst in tokens.
    now : float
        Current time by the runtime's clock. The bucket starts empty, since earlier grants are
        unknown.
    """

    __slots__ = ("_at", "_level", "_deducted", "_reserved", "scale", "terms")

    def __init__(self, terms: QuotaLimit, now: float) -> None:
        self.terms = terms
        self.scale = 1.0
        """Fraction of the rate that this coordinator grants."""
        self._at = now
        self._level = 0.0
        self._reserved = 0.0
        """Tokens of refused requests whose retry time has not come yet."""
        self._deducted: dict[str, GrantedShare] = {}
        """Shares of unreachable instances, which use them without asking, by instance."""

    @property
    def capacity(self) -> float:
        """Maximum number of tokens in the bucket."""
        return max(self.terms.burst, self.terms.rate * MIN_BURST_S)

    @property
    def level(self) -> float:
        """Number of available tokens, negative when in debt."""
        return self._level

    @property
    def refill_rate(self) -> float:
        """Tokens per second, after deduction of the shares of unreachable instances."""
        deducted = sum(share.rate for share in self._deducted.values())
        return max(0.0, self.terms.rate * self.scale - deducted)

    def refill(self, now: float) -> None:
        """Refill the bucket for the time since the last call, and remove expired deductions."""
        passed_s = now - self._at
        self._at = now
        earned = self.refill_rate * passed_s
        self._deducted = {
            name: share for name, share in self._deducted.items() if share.until > now
        }
        self._level = min(self.capacity, self._level + earned)
        self._reserved = max(0.0, self._reserved - earned)

    def try_take(self, amount: float, now: float, needed: float | None = None) -> bool:
        """Take tokens if they are available, or if the level is at least `needed` where that is
        given.
        """
        self.refill(now)
        if self._level < (min(amount, self.capacity) if needed is None else needed):
            return False
        self._level -= amount
        return True

    def refund(self, amount: float, now: float) -> None:
        """Return unused tokens to the bucket."""
        self.refill(now)
        self._level = min(self.capacity, self._level + amount)

    def reserve_retry_s(self, amount: float, now: float) -> float:
        """Return the time until a refused request should be retried, in seconds, after earlier
        ones.
        """
        self.refill(now)
        self._reserved += amount
        return max(0.0, self._reserved - self._level) / self.terms.rate

    def deduct_share(self, instance: str, share: GrantedShare, now: float) -> None:
        """Reduce the refill rate while an unreachable instance may use its share."""
        self.refill(now)
        self._deducted[instance] = share

    def restore_share(self, instance: str, now: float) -> None:
        """Stop the deduction for an instance that sends requests to the coordinator again."""
        self.refill(now)
        self._deducted.pop(instance, None)


@dataclass(slots=True, frozen=True)
class QuotaDecision:
    """Decision on a request, as sent to its instance.

    Parameters
    ----------
    granted : bool
        Whether the request may run.
    retry_s : float
        Time until a refused request should be retried, in seconds.
    share : float
        Tokens per second that the instance may use without the coordinator.
    level, needed : float
        Tokens that were available, and that were required.
    standing : RetryState
        Whether the request was a first try or a retry, and whether that was early.
    """

    granted: bool
    retry_s: float
    share: float
    level: float = 0.0
    needed: float = 0.0
    retry_state: RetryState = RetryState.FIRST_TRY


class _Account:
    """Bucket and shares of one organisation."""

    __slots__ = ("_arbiter", "_reported_rates", "_shares", "_usage", "bucket")

    def __init__(self, terms: QuotaLimit, now: float, arbiter: QuotaArbiter | None) -> None:
        self.bucket = QuotaBucket(terms, now)
        self._arbiter = arbiter
        self._usage = Popularity(SHARE_HALF_LIFE_S)
        self._shares: dict[str, GrantedShare] = {}
        self._reported_rates: dict[str, float] = {}

    def ask(self, instance: str, amount: float, caller: Caller, now: float) -> QuotaDecision:
        """Return a decision without a share."""
        if self._arbiter is None:
            return self._ask_first_come(instance, amount, now)
        bucket = self.bucket
        bucket.refill(now)
        claim = self._arbiter.register(amount, caller, bucket.refill_rate, bucket.capacity, now)
        level = bucket.level
        if bucket.try_take(amount, now, claim.needed):
            self._usage.note(instance, now, amount)
            self._arbiter.record_grant(claim, caller, now)
            return QuotaDecision(True, 0.0, 0.0, level, claim.needed, claim.retry_state)
        rate = max(bucket.refill_rate, EVEN_SHARE_FRACTION * bucket.terms.rate)
        retry_s = self._arbiter.schedule_retry(claim, caller, rate, level, now)
        return QuotaDecision(False, retry_s, 0.0, level, claim.needed, claim.retry_state)

    def _ask_first_come(self, instance: str, amount: float, now: float) -> QuotaDecision:
        if self.bucket.try_take(amount, now):
            self._usage.note(instance, now, amount)
            return QuotaDecision(True, 0.0, 0.0)
        return QuotaDecision(False, self.bucket.reserve_retry_s(amount, now), 0.0)

    def report(self, instance: str, share: GrantedShare) -> None:
        self._reported_rates[instance] = share.rate
        self._shares[instance] = share

    def leave(self, instance: str, now: float) -> None:
        share = self._shares.get(instance)
        if share is not None:
            self.bucket.deduct_share(instance, share, now)

    def share(self, instance: str, instances: int, now: float) -> float:
        """Return an instance's share; all valid shares together never exceed the rate.

        While instances are missing that another coordinator may have granted shares, they do not
        exceed the fraction of the rate that is granted here.
        """
        self._shares = {
            name: other_share
            for name, other_share in self._shares.items()
            if other_share.until > now
        }
        names = {instance, *self._shares}
        total = sum(self._usage.rate(name, now) for name in names)
        used = self._usage.rate(instance, now) / total if total else 0.0
        wanted_fraction = EVEN_SHARE_FRACTION / max(1, instances) + (1 - EVEN_SHARE_FRACTION) * used
        others = sum(
            other_share.rate for name, other_share in self._shares.items() if name != instance
        )
        rate = self.bucket.terms.rate
        share = max(0.0, min(wanted_fraction * rate, self.bucket.scale * rate - others))
        self._shares[instance] = GrantedShare(share, now + SHARE_TTL_S)
        return share

    def known_fraction(self, joined_count: float) -> float:
        """Return the fraction of the rate that is certainly not used elsewhere.

        Parameters
        ----------
        joined : float
            Fraction of all instances that have joined this coordinator.
        """
        if not self._reported_rates:
            return joined_count
        return min(1.0, sum(self._reported_rates.values()) / self.bucket.terms.rate)


class QuotaCoordinator:
    """Grants requests of organisations within their quotas, for all instances.

    Parameters
    ----------
    now : float
        Current time by the runtime's clock.
    expected : int
        Number of instances that its predecessor knew, 0 if unknown. Until an instance has
        joined, it may still use its share, so the rate is reduced for a while by what the
        shares of joined instances do not account for.
    urgent_first : bool
        Whether urgent requests take precedence under contention; otherwise first come, first
        served.
    """

    __slots__ = (
        "_accounts",
        "_started_at",
        "_expected",
        "_instances",
        "_refusals",
        "_reports",
        "_urgent_first",
    )

    def __init__(self, now: float, expected: int = 0, urgent_first: bool = True) -> None:
        self._urgent_first = urgent_first
        self._refusals = Refusals()
        self._started_at = now
        self._expected = expected
        self._instances: set[str] = set()
        self._reports: dict[str, dict[str, GrantedShare]] = {}
        self._accounts: dict[str, _Account] = {}

    def join(self, instance: str, shares: t.Mapping[str, float], now: float) -> None:
        """Record that an instance uses this coordinator from now on, with its current shares."""
        self._instances.add(instance)
        for account in self._accounts.values():
            account.bucket.restore_share(instance, now)
        for organisation, rate in shares.items():
            share = GrantedShare(rate, now + SHARE_TTL_S)
            self._reports.setdefault(organisation, {})[instance] = share
            if organisation in self._accounts:
                self._accounts[organisation].report(instance, share)

    def leave(self, instance: str, now: float) -> None:
        """Record that an instance is unreachable; it may use its shares until they expire."""
        self._instances.discard(instance)
        for account in self._accounts.values():
            account.leave(instance, now)

    def ask(
        self,
        instance: str,
        organisation: str,
        terms: QuotaLimit,
        amount: float,
        now: float,
        caller: Caller = UNKNOWN_CALLER,
    ) -> QuotaDecision:
        """Return whether a request of an organisation may run.

        Parameters
        ----------
        instance : str
            Instance at which the request waits.
        organisation : str
            Organisation whose quota it counts against.
        terms : QuotaLimit
            Quota in force.
        amount : float
            Tokens that the request consumes.
        now : float
            Current time by the runtime's clock.
        caller : Caller
            Origin of the request.
        """
        account = self._account(organisation, terms, now)
        account.bucket.scale = self._scale(account, now)
        verdict = account.ask(instance, amount, caller, now)
        instances = max(len(self._instances), self._expected)
        return replace(verdict, share=account.share(instance, instances, now))

    def refund(self, organisation: str, amount: float, now: float) -> None:
        """Return the tokens of a granted request that was not run."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.bucket.refund(amount, now)

    def _account(self, organisation: str, terms: QuotaLimit, now: float) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            # The bucket of an organisation without requests so far has filled since the start.
            arbiter = QuotaArbiter(organisation, self._refusals) if self._urgent_first else None
            account = self._accounts[organisation] = _Account(terms, self._started_at, arbiter)
            for instance, share in self._reports.get(organisation, {}).items():
                account.report(instance, share)
        if account.bucket.terms != terms:
            account.bucket.refill(now)
            account.bucket.terms = terms
            account.bucket.refill(now)
        return account

    def _scale(self, account: _Account, now: float) -> float:
        joined_count = len(self._instances)
        if now - self._started_at >= SHARE_TTL_S or joined_count >= self._expected:
            return 1.0
        return account.known_fraction(joined_count / self._expected)


class LocalShares:
    """Shares that this instance may use while no coordinator answers.

    Each share fills a bucket from the loss of the coordinator on, so that tokens that the
    coordinator granted before that, here or elsewhere, are not used twice.
    """

    __slots__ = ("_lost_at", "_shares")

    def __init__(self) -> None:
        self._lost_at = math.inf
        self._shares: dict[str, _LocalShare] = {}

    def mark_coordinator_lost(self, now: float) -> None:
        """Record that the coordinator does not answer."""
        self._lost_at = min(self._lost_at, now)

    def set_share(self, organisation: str, rate: float, now: float) -> None:
        """Store a share received from the coordinator."""
        self._lost_at = math.inf
        until = now + SHARE_TTL_S - MAX_ANSWER_DELAY_S
        self._shares[organisation] = _LocalShare(GrantedShare(rate, until), 0.0, now)

    def try_take(self, organisation: str, amount: float, now: float) -> bool:
        """Take tokens if they are available and the share is valid."""
        saved_tokens = self._saved_tokens(organisation, now)
        known = self._shares.get(organisation)
        if known is None or now > known.share.until or saved_tokens < amount:
            return False
        self._shares[organisation] = _LocalShare(known.share, saved_tokens - amount, now)
        return True

    def valid_shares(self, now: float) -> dict[str, float]:
        """Return the valid shares in tokens per second, by organisation."""
        return {
            name: known.share.rate
            for name, known in self._shares.items()
            if now <= known.share.until
        }

    def _saved_tokens(self, organisation: str, now: float) -> float:
        known = self._shares.get(organisation)
        if known is None:
            return 0.0
        start = max(known.at, self._lost_at)
        earned = known.share.rate * max(0.0, min(now, known.share.until) - start)
        return min(known.share.rate * SHARE_TTL_S, known.saved_tokens + earned)


class _LocalShare(t.NamedTuple):
    share: GrantedShare
    saved_tokens: float
    at: float
