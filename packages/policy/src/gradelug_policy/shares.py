"""Orders waiting requests by fair shares of their owners and kinds when engines are full.

Load pattern: one organisation or adapter sends 6.6 times its usual load, or a kind of requests 2.5
times, and a third of its callers retry three times. First come, first served, its requests hold
nearly all slots and fill the engines' queues, and all others wait as long as they do.

Owners (organisations; without them, adapters) share by weight; their use is counted in tokens and
decays. While others wait, the requests of an owner that used more than its max-min fair share are
served after theirs, and so are those of kinds above their usual load, within one urgency. No
capacity is kept idle: the last in order receive all that is left, and are refused at once if they
cannot be served in time.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .uses import DecayedUsage, KindUsage, Party

DEMAND_HEADROOM_FACTOR = 1.5
"""Demand of an owner as a multiple of its recent use, which varies by as much in normal operation.
With no headroom, an owner that sends too much would be within its share as soon as it had
displaced the others."""
OVERUSE_TOLERANCE_FACTOR = 1.5
"""An owner is above its share beyond this multiple of it. Owners of equal weight differ by as much
under normal load, and none is deprioritised then."""
DOMINANT_USE_FRACTION = 0.5
"""An owner that uses more than this fraction of all is deprioritised, however little the others
use, unless its weight is as great."""
FINAL_WAIT_FRACTION = 0.1
"""In this last fraction of its waiting time, a deprioritised request may queue behind another one
at an engine. In a replay (30 engines, one seed) engines then complete 2.6% less than without
shares, and 3.3% less if it may never queue."""


class Weights(t.Protocol):
    """Entitlements of owners, relative to each other."""

    def weight(self, owner: str) -> float:
        """Return an owner's weight, above 0."""
        ...


class EqualWeights:
    """Equal weights for all owners."""

    __slots__ = ()

    def weight(self, owner: str) -> float:
        """Return 1."""
        return 1.0


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for capacity on an engine.

    Parameters
    ----------
    party : Party
        Owner and kind of the request.
    cost : float
        Prompt tokens, plus generated tokens multiplied by their weight.
    urgency : int
        0 for the most urgent.
    since : float
        Arrival time, by the runtime's clock.
    number : int
        Identifies it among the waiting requests.
    """

    party: Party
    cost: float
    urgency: int = 0
    since: float = 0.0
    number: int = 0


@dataclass(slots=True, frozen=True)
class FairShare:
    """Use and entitlement of an owner.

    Parameters
    ----------
    part, fair : float
        Used fraction of the total use, and fair fraction of it, 0 to 1.
    """

    part: float = 0.0
    fair: float = 1.0


class ShareAllocation:
    """Fair shares of all owners at one moment.

    Parameters
    ----------
    used, wanted : mapping of str to float
        Recent use of each owner, and cost of its waiting requests, in tokens.
    weights : Weights
        Entitlements of the owners.
    """

    __slots__ = ("_total", "_used", "_total_weight", "_weights", "level")

    def __init__(
        self,
        used: t.Mapping[str, float],
        wanted: t.Mapping[str, float],
        weights: Weights,
    ) -> None:
        self._used, self._weights = used, weights
        self._total = math.fsum(used.values())
        names = used.keys() | wanted.keys()
        demands = [
            (
                weights.weight(name),
                DEMAND_HEADROOM_FACTOR * used.get(name, 0.0) + wanted.get(name, 0.0),
            )
            for name in names
        ]
        self._total_weight = (
            math.fsum(weight for weight, _ in demands) if len(names) > 1 else math.inf
        )
        """Total weight of all owners; infinite with a single owner, which need not share."""
        self.level = _water_level(demands, self._total)
        """Fair share of an owner of weight 1, in tokens; infinite if all demands are met."""

    def virtual_usage(self, name: str) -> float:
        """Return the use of an owner divided by its weight: its virtual counter."""
        return self._used.get(name, 0.0) / self._weights.weight(name)

    def weight(self, name: str) -> float:
        """Return the weight of an owner."""
        return self._weights.weight(name)

    def is_over(self, name: str) -> bool:
        """Return whether an owner used more than its share, or more than all others together."""
        used = self._used.get(name, 0.0)
        if math.isinf(self._total_weight) or not used:
            return False
        entitled = (
            OVERUSE_TOLERANCE_FACTOR * self._total * self._weights.weight(name) / self._total_weight
        )
        is_dominant = used > max(DOMINANT_USE_FRACTION * self._total, entitled)
        return is_dominant or self.virtual_usage(name) > OVERUSE_TOLERANCE_FACTOR * self.level

    def fair_share(self, name: str) -> FairShare:
        """Return the use and the entitlement of an owner."""
        if not self._total:
            return FairShare()
        fair = self.level * self._weights.weight(name) / self._total
        return FairShare(self._used.get(name, 0.0) / self._total, min(1.0, fair))


def _water_level(demands: t.Iterable[tuple[float, float]], total: float) -> float:
    """Return the level at which a total meets demands of a weight and an amount (max-min
    fairness).
    """
    ordered = sorted(demands, key=lambda demand: demand[1] / demand[0])
    weights = math.fsum(weight for weight, _ in ordered)
    for weight, amount in ordered:
        if amount * weights > total * weight:
            return total / weights
        total -= amount
        weights -= weight
    return math.inf


class UsageShares:
    """Recent use of a service's engines by owners and kinds."""

    __slots__ = ("_kinds", "owners")

    def __init__(self) -> None:
        self.owners = DecayedUsage()
        self._kinds = KindUsage()

    def note(self, party: Party, cost: float, now: float, is_full: bool = False) -> None:
        """Add the use of a request, in tokens; a negative cost takes it back.

        Parameters
        ----------
        party : Party
            Owner and kind of the request.
        cost : float
            Tokens that it uses.
        now : float
            Current time, by the runtime's clock.
        is_full : bool
            Whether requests wait for capacity; use at such times does not count towards the
            usual load.
        """
        self.owners.note(party.owner, cost, now)
        self._kinds.note(party.kind, cost, now, is_full)

    def fairness(
        self, claims: t.Sequence[WaitingRequest], weights: Weights, now: float
    ) -> FairnessState:
        """Return the fairness state of owners and kinds for a set of waiting requests."""
        owners: dict[str, float] = {}
        kinds: dict[str, float] = {}
        for claim in claims:
            owner, kind = claim.party.owner, claim.party.kind
            owners[owner] = owners.get(owner, 0.0) + claim.cost
            kinds[kind] = kinds.get(kind, 0.0) + claim.cost
        parts = ShareAllocation(self.owners.all(now), owners, weights)
        return FairnessState(parts, self._kinds.overused(kinds, now), claims)


class FairnessState:
    """Fairness state at one moment, which determines the deprioritised requests.

    Parameters
    ----------
    owners : ShareAllocation
        Fair shares of the owners.
    kinds : frozenset of str
        Kinds above their usual load.
    claims : sequence of WaitingRequest
        All waiting requests.
    """

    __slots__ = ("_min_urgency", "_over", "_compliant_waits", "kinds", "owners")

    def __init__(
        self, owners: ShareAllocation, kinds: frozenset[str], claims: t.Sequence[WaitingRequest]
    ) -> None:
        self.owners = owners
        self.kinds = kinds
        waiting = {claim.party.owner for claim in claims}
        self._over = frozenset(owner for owner in waiting if owners.is_over(owner))
        self._compliant_waits = len(self._over) < len(waiting)
        """Whether a request waits whose owner is within its share."""
        self._min_urgency = min(
            (
                claim.urgency
                for claim in claims
                if claim.party.owner not in self._over and claim.party.kind not in kinds
            ),
            default=math.inf,
        )
        """Urgency of the most urgent waiting request whose owner and kind are within their
        shares."""

    def is_over(self, owner: str) -> bool:
        """Return whether an owner is above its share, whether or not it has waiting requests."""
        return owner in self._over or self.owners.is_over(owner)

    def must_yield(self, party: Party, urgency: int) -> bool:
        """Return whether a request is deprioritised: its owner or kind exceeds its share while
        others wait.
        """
        if self.is_over(party.owner):
            return self._compliant_waits
        return self._min_urgency <= urgency and party.kind in self.kinds


class SchedulingOrder(t.Protocol):
    """Order in which waiting requests receive capacity."""

    def arrange(
        self, claims: t.Iterable[WaitingRequest], board: FairnessState
    ) -> list[WaitingRequest]:
        """Return all requests, the first to be served first."""
        ...


class OveruseOrder:
    """Owners above their share last; then by urgency, kinds above their usual load, and arrival."""

    __slots__ = ()

    def arrange(
        self, claims: t.Iterable[WaitingRequest], board: FairnessState
    ) -> list[WaitingRequest]:
        """Return all requests, the first to be served first."""
        waiting = list(claims)
        over = {name for name in {claim.party.owner for claim in waiting} if board.is_over(name)}
        return sorted(
            waiting,
            key=lambda claim: (
                claim.party.owner in over,
                claim.urgency,
                claim.party.kind in board.kinds,
                claim.since,
                claim.number,
            ),
        )


class VirtualCounterOrder:
    """Virtual token counters within each urgency: the owner of the lowest counter is served
    next.
    """

    __slots__ = ()

    def arrange(
        self, claims: t.Iterable[WaitingRequest], board: FairnessState
    ) -> list[WaitingRequest]:
        """Return all requests, the first to be served first."""
        counters: dict[str, float] = {}
        starts: dict[int, float] = {}
        ordered = sorted(claims, key=lambda claim: (claim.urgency, claim.since, claim.number))
        for claim in ordered:
            # A request starts at the counter that its owner's previous requests reach.
            owner = claim.party.owner
            starts[claim.number] = counters.setdefault(owner, board.owners.virtual_usage(owner))
            counters[owner] += claim.cost / board.owners.weight(owner)
        return sorted(ordered, key=lambda claim: (claim.urgency, starts[claim.number]))


def early_send_s(
    left_part: float, news_s: float, run_end_interval_s: float, is_claimed: bool
) -> float:
    """Return how long before capacity is expected a request may be sent, in seconds.

    It applies to deprioritised requests, which are held back for as long as other requests are.
    Sent earlier, they would fill the engines' queues, which do not enforce shares. Sent only after
    capacity is reported, slots would be empty from the end of each run until then.

    Parameters
    ----------
    left_part : float
        Remaining fraction of the request's waiting time.
    news_s : float
        Age of the known engine state, in seconds.
    run_end_interval_s : float
        Time between two ends of runs on an engine, in seconds.
    is_claimed : bool
        Whether a request with precedence waits for the same engine.
    """
    return news_s + (
        run_end_interval_s if left_part <= FINAL_WAIT_FRACTION or not is_claimed else 0.0
    )


def requests_too_late(left_s: t.Sequence[float], sends_per_s: float) -> list[int]:
    """Return the indices of a party's requests that cannot be sent in time; never the first one.

    Parameters
    ----------
    left_s : sequence of float
        Remaining time of each request in sending order, in seconds.
    sends_per_s : float
        Rate at which the party's requests are sent, per second.
    """
    kept, late = 0, []
    for at, left in enumerate(left_s):
        if kept and kept + 1 > left * sends_per_s:
            late.append(at)
        else:
            kept += 1
    return late
