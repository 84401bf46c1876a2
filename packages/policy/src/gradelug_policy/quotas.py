"""How much organisations may still use, over all instances: one home grants, shares bridge a loss.

Load pattern: an organisation sends several times its usual, over many instances that each see a
few of its requests, while instances and the home itself are lost. What is granted must stay within
the quota in every window, and an organisation within its quota must not be refused.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass, replace

from .contention import QuotaArbiter, RetryState
from .popularity import Popularity
from .refusals import UNKNOWN_CALLER, Caller, Refusals

MIN_BURST_S = 0.5
"""A bucket holds at least what its rate brings in this time, in seconds: requests come in clumps,
and a quota without a burst would refuse one of two that come together."""
SHARE_HALF_LIFE_S = 4.0
"""Shares follow what an instance has used lately; clients stay with an instance for seconds."""
EVEN_SHARE_FRACTION = 0.1
"""Part of the rate that is shared out evenly: an instance that has used little may use some."""
SHARE_TTL_S = 6.0
"""How long a share holds that an instance was told, in seconds: a planner is replaced within 2 to
4 s, and where the platform's service was away as well."""
MAX_ANSWER_DELAY_S = 0.5
"""An instance counts its share from its answer's arrival, which was this much earlier at most."""


@dataclass(slots=True, frozen=True)
class QuotaTerms:
    """The limit of an organisation: so much a second, and so much at once."""

    rate: float
    burst: float


class GrantedShare(t.NamedTuple):
    """What an instance may use while nobody answers it: tokens a second, and until when."""

    rate: float
    until: float


class QuotaBucket:
    """A token bucket that may go into debt for a request larger than all that it holds.

    Without that the largest requests of an organisation with a small burst would never run.

    Parameters
    ----------
    terms : QuotaTerms
        Rate in tokens a second, and the most that is saved up.
    now : float
        By the runtime's clock. The bucket starts empty: what was granted before is not known.
    """

    __slots__ = ("_at", "_level", "_deducted", "_reserved", "scale", "terms")

    def __init__(self, terms: QuotaTerms, now: float) -> None:
        self.terms = terms
        self.scale = 1.0
        """Part of the rate that is granted here."""
        self._at = now
        self._level = 0.0
        self._reserved = 0.0
        """Tokens of refused requests that were told to come back and have not had time to."""
        self._deducted: dict[str, GrantedShare] = {}
        """What instances use without asking."""

    @property
    def capacity(self) -> float:
        """The most tokens that are saved up."""
        return max(self.terms.burst, self.terms.rate * MIN_BURST_S)

    @property
    def level(self) -> float:
        """Tokens that are there, less than none in debt."""
        return self._level

    @property
    def refill_rate(self) -> float:
        """Tokens that come in a second, without what instances use that do not ask."""
        deducted = sum(share.rate for share in self._deducted.values())
        return max(0.0, self.terms.rate * self.scale - deducted)

    def settle(self, now: float) -> None:
        """Take the time that has passed into account."""
        passed_s = now - self._at
        self._at = now
        earned = self.refill_rate * passed_s
        self._deducted = {
            name: share for name, share in self._deducted.items() if share.until > now
        }
        self._level = min(self.capacity, self._level + earned)
        self._reserved = max(0.0, self._reserved - earned)

    def try_take(self, amount: float, now: float, needed: float | None = None) -> bool:
        """Take tokens if they are there, or as many as are `needed` for it."""
        self.settle(now)
        if self._level < (min(amount, self.capacity) if needed is None else needed):
            return False
        self._level -= amount
        return True

    def give_back(self, amount: float, now: float) -> None:
        """Return tokens that were taken and not used."""
        self.settle(now)
        self._level = min(self.capacity, self._level + amount)

    def reserve_retry_s(self, amount: float, now: float) -> float:
        """Return when a refused request may come back, in seconds, behind those refused before."""
        self.settle(now)
        self._reserved += amount
        return max(0.0, self._reserved - self._level) / self.terms.rate

    def deduct_share(self, instance: str, share: GrantedShare, now: float) -> None:
        """Grant so much less while an instance that is not heard of may use its share."""
        self.settle(now)
        self._deducted[instance] = share

    def restore_share(self, instance: str, now: float) -> None:
        """Note that an instance asks again."""
        self.settle(now)
        self._deducted.pop(instance, None)


@dataclass(slots=True, frozen=True)
class QuotaDecision:
    """What an instance is told of a request.

    Parameters
    ----------
    granted : bool
        Whether the request may run.
    retry_s : float
        When it may come back if not, in seconds.
    share : float
        What the instance may use while nobody answers it, in tokens a second.
    level, needed : float
        Tokens that were there, and that would have had to be.
    standing : Standing
        How the caller came.
    """

    granted: bool
    retry_s: float
    share: float
    level: float = 0.0
    needed: float = 0.0
    standing: RetryState = RetryState.FIRST


class _Account:
    """Grants and shares of one organisation."""

    __slots__ = ("_arbiter", "_reported_rates", "_shares", "_usage", "bucket")

    def __init__(self, terms: QuotaTerms, now: float, arbiter: QuotaArbiter | None) -> None:
        self.bucket = QuotaBucket(terms, now)
        self._arbiter = arbiter
        self._usage = Popularity(SHARE_HALF_LIFE_S)
        self._shares: dict[str, GrantedShare] = {}
        self._reported_rates: dict[str, float] = {}

    def ask(self, instance: str, amount: float, caller: Caller, now: float) -> QuotaDecision:
        """Return a verdict without a share."""
        if self._arbiter is None:
            return self._ask_first_come(instance, amount, now)
        bucket = self.bucket
        bucket.settle(now)
        claim = self._arbiter.enter(amount, caller, bucket.refill_rate, bucket.capacity, now)
        level = bucket.level
        if bucket.try_take(amount, now, claim.needed):
            self._usage.note(instance, now, amount)
            self._arbiter.record_grant(claim, caller, now)
            return QuotaDecision(True, 0.0, 0.0, level, claim.needed, claim.standing)
        rate = max(bucket.refill_rate, EVEN_SHARE_FRACTION * bucket.terms.rate)
        retry_s = self._arbiter.refuse(claim, caller, rate, level, now)
        return QuotaDecision(False, retry_s, 0.0, level, claim.needed, claim.standing)

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
        """Return a share; those that hold at a moment never add up to more than the rate.

        Where instances are missing that another home may have told shares, not to more than the
        part of the rate that is granted here.
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
        """Return which part of the rate nobody else uses, as far as can be known.

        Parameters
        ----------
        joined : float
            Part of all instances that ask here.
        """
        if not self._reported_rates:
            return joined_count
        return min(1.0, sum(self._reported_rates.values()) / self.bucket.terms.rate)


class QuotaHome:
    """Grants what organisations use, all of it.

    Parameters
    ----------
    now : float
        By the runtime's clock.
    expected : int
        Instances that its predecessor knew, 0 if none is known. Until an instance asks here it
        may use its share, so that as much of the rate is kept back for a while: what is left of
        the rate when the shares of those that ask are counted.
    urgent_first : bool
        Whether the urgent go first where more is asked for than there is; else who comes first.
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
        """Note that an instance asks here from now on, and the shares that it has."""
        self._instances.add(instance)
        for account in self._accounts.values():
            account.bucket.restore_share(instance, now)
        for organisation, rate in shares.items():
            share = GrantedShare(rate, now + SHARE_TTL_S)
            self._reports.setdefault(organisation, {})[instance] = share
            if organisation in self._accounts:
                self._accounts[organisation].report(instance, share)

    def leave(self, instance: str, now: float) -> None:
        """Note that an instance is not heard of: it may use its shares for a while."""
        self._instances.discard(instance)
        for account in self._accounts.values():
            account.leave(instance, now)

    def ask(
        self,
        instance: str,
        organisation: str,
        terms: QuotaTerms,
        amount: float,
        now: float,
        caller: Caller = UNKNOWN_CALLER,
    ) -> QuotaDecision:
        """Return whether a request of an organisation may run.

        Parameters
        ----------
        instance : str
            Where the request waits.
        organisation : str
            Whose quota it counts to.
        terms : QuotaTerms
            The limit in force.
        amount : float
            What it counts.
        now : float
            By the runtime's clock.
        caller : Caller
            Who asks.
        """
        account = self._account(organisation, terms, now)
        account.bucket.scale = self._scale(account, now)
        verdict = account.ask(instance, amount, caller, now)
        instances = max(len(self._instances), self._expected)
        return replace(verdict, share=account.share(instance, instances, now))

    def give_back(self, organisation: str, amount: float, now: float) -> None:
        """Take back what was granted to a request that was not run."""
        account = self._accounts.get(organisation)
        if account is not None:
            account.bucket.give_back(amount, now)

    def _account(self, organisation: str, terms: QuotaTerms, now: float) -> _Account:
        account = self._accounts.get(organisation)
        if account is None:
            # An organisation that has sent nothing so far has saved up since the home began.
            arbiter = QuotaArbiter(organisation, self._refusals) if self._urgent_first else None
            account = self._accounts[organisation] = _Account(terms, self._started_at, arbiter)
            for instance, share in self._reports.get(organisation, {}).items():
                account.report(instance, share)
        if account.bucket.terms != terms:
            account.bucket.settle(now)
            account.bucket.terms = terms
            account.bucket.settle(now)
        return account

    def _scale(self, account: _Account, now: float) -> float:
        joined_count = len(self._instances)
        if now - self._started_at >= SHARE_TTL_S or joined_count >= self._expected:
            return 1.0
        return account.known_fraction(joined_count / self._expected)


class LocalShares:
    """What this instance may use while no home answers it.

    Each share fills a bucket from the moment on at which the home is missed: what the home grants
    before, here or elsewhere, is not used a second time.
    """

    __slots__ = ("_lost_at", "_shares")

    def __init__(self) -> None:
        self._lost_at = math.inf
        self._shares: dict[str, _LocalShare] = {}

    def note_lost(self, now: float) -> None:
        """Note that the home does not answer."""
        self._lost_at = min(self._lost_at, now)

    def note_told(self, organisation: str, rate: float, now: float) -> None:
        """Take over a share that the home tells."""
        self._lost_at = math.inf
        until = now + SHARE_TTL_S - MAX_ANSWER_DELAY_S
        self._shares[organisation] = _LocalShare(GrantedShare(rate, until), 0.0, now)

    def try_take(self, organisation: str, amount: float, now: float) -> bool:
        """Take tokens if they are there and the share still holds."""
        saved_tokens = self._saved_tokens(organisation, now)
        known = self._shares.get(organisation)
        if known is None or now > known.share.until or saved_tokens < amount:
            return False
        self._shares[organisation] = _LocalShare(known.share, saved_tokens - amount, now)
        return True

    def holding(self, now: float) -> dict[str, float]:
        """Return the shares that hold, by organisation."""
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
