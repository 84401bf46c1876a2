"""Whose waiting request goes first where engines are full.

The load that it answers: one organisation or adapter sends 6.6 times its usual, or a kind of
requests 2.5 times, and a third of its callers repeat thrice. First come, first served, its requests
then hold nearly all slots and fill the engines' queues, and all others wait as long as it does.

Owners (organisations; without them, adapters) share by weight, what they used counted in tokens and
aged. An owner that used more than its part (max-min) goes after the others as long as they wait;
kinds that send more than their usual likewise, but under urgency. Nothing is kept free for anybody:
who is last gets all that the others leave, and is refused at once what it will not get in time.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .uses import KindUsage, Party, Uses

DEMAND_HEADROOM_FACTOR = 1.5
"""Who used something is reckoned to want so many times as much: usual use varies so. With none, an
owner that floods would be within its part as soon as it had pushed the others back."""
OVERUSE_TOLERANCE_FACTOR = 1.5
"""An owner is over its part beyond so many times that: owners of the same right differ by as much
without a flood, and none is held back then."""
DOMINANT_USE_FRACTION = 0.5
"""Who uses more than so much of all makes the others wait and not they it, however little they use,
unless its weight is as great."""
FINAL_WAIT_FRACTION = 0.1
"""In this part of its time a request that goes after others may queue behind one at an engine: in
a replay (30 engines, one seed) engines then make 2.6% less than without shares, and 3.3% less if it
never may."""


class Weights(t.Protocol):
    """How much owners are entitled to, next to each other."""

    def weight(self, owner: str) -> float:
        """Return an owner's weight, above 0."""
        ...


class EqualWeights:
    """All owners are entitled to the same."""

    __slots__ = ()

    def weight(self, owner: str) -> float:
        """Return 1."""
        return 1.0


@dataclass(slots=True)
class Claim:
    """A request that waits for room on an engine.

    Parameters
    ----------
    party : Party
        Whose.
    cost : float
        Tokens read, and tokens made by their weight.
    urgency : int
        0 first.
    since : float
        When it came, by the runtime's clock.
    number : int
        Names it among those that wait.
    """

    party: Party
    cost: float
    urgency: int = 0
    since: float = 0.0
    number: int = 0


@dataclass(slots=True, frozen=True)
class Standing:
    """What somebody used, and is entitled to while others wait.

    Parameters
    ----------
    part, fair : float
        Of all that was used, 0 to 1.
    """

    part: float = 0.0
    fair: float = 1.0


class Parts:
    """What each may use at one moment, of what there is.

    Parameters
    ----------
    used, wanted : mapping of str to float
        What each used, and what its requests that wait would use, in tokens.
    weights : Weights
        What they are entitled to.
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
        """Weight of all; infinite where there is only one, who shares with nobody."""
        self.level = _water_level(demands, self._total)
        """Tokens that one of weight 1 may use; infinite where all get what they want."""

    def spent(self, name: str) -> float:
        """Return what somebody used by its weight: its virtual counter."""
        return self._used.get(name, 0.0) / self._weights.weight(name)

    def weight(self, name: str) -> float:
        """Return what somebody is entitled to, next to the others."""
        return self._weights.weight(name)

    def is_over(self, name: str) -> bool:
        """Return whether somebody used more than its part, or than all the others together."""
        used = self._used.get(name, 0.0)
        if math.isinf(self._total_weight) or not used:
            return False
        entitled = (
            OVERUSE_TOLERANCE_FACTOR * self._total * self._weights.weight(name) / self._total_weight
        )
        is_dominant = used > max(DOMINANT_USE_FRACTION * self._total, entitled)
        return is_dominant or self.spent(name) > OVERUSE_TOLERANCE_FACTOR * self.level

    def standing(self, name: str) -> Standing:
        """Return how somebody stands."""
        if not self._total:
            return Standing()
        fair = self.level * self._weights.weight(name) / self._total
        return Standing(self._used.get(name, 0.0) / self._total, min(1.0, fair))


def _water_level(demands: t.Iterable[tuple[float, float]], total: float) -> float:
    """Return up to which level a total serves all wishes, each of a weight and an amount."""
    ordered = sorted(demands, key=lambda demand: demand[1] / demand[0])
    weights = math.fsum(weight for weight, _ in ordered)
    for weight, amount in ordered:
        if amount * weights > total * weight:
            return total / weights
        total -= amount
        weights -= weight
    return math.inf


class Shares:
    """What owners and kinds used of the engines of a service lately."""

    __slots__ = ("_kinds", "owners")

    def __init__(self) -> None:
        self.owners = Uses()
        self._kinds = KindUsage()

    def note(self, party: Party, cost: float, now: float, is_full: bool = False) -> None:
        """Count what a request uses, in tokens; below 0 if it did not after all.

        Parameters
        ----------
        is_full : bool
            Whether requests wait for room: what is sent then is not usual.
        """
        self.owners.note(party.owner, cost, now)
        self._kinds.note(party.kind, cost, now, is_full)

    def board(self, claims: t.Sequence[Claim], weights: Weights, now: float) -> Board:
        """Return who stands how while some requests wait."""
        owners: dict[str, float] = {}
        kinds: dict[str, float] = {}
        for claim in claims:
            owner, kind = claim.party.owner, claim.party.kind
            owners[owner] = owners.get(owner, 0.0) + claim.cost
            kinds[kind] = kinds.get(kind, 0.0) + claim.cost
        parts = Parts(self.owners.all(now), owners, weights)
        return Board(parts, self._kinds.over(kinds, now), claims)


class Board:
    """Who stands how at one moment, and for whom requests are held back.

    Parameters
    ----------
    owners : Parts
        What each may use.
    kinds : frozenset of str
        Those over their part.
    claims : sequence of Claim
        All that wait.
    """

    __slots__ = ("_min_urgency", "_over", "_compliant_waits", "kinds", "owners")

    def __init__(self, owners: Parts, kinds: frozenset[str], claims: t.Sequence[Claim]) -> None:
        self.owners = owners
        self.kinds = kinds
        waiting = {claim.party.owner for claim in claims}
        self._over = frozenset(owner for owner in waiting if owners.is_over(owner))
        self._compliant_waits = len(self._over) < len(waiting)
        """Whether a request waits whose owner is within its part."""
        self._min_urgency = min(
            (
                claim.urgency
                for claim in claims
                if claim.party.owner not in self._over and claim.party.kind not in kinds
            ),
            default=math.inf,
        )
        """Urgency of the most urgent such one whose kind is within its part as well."""

    def is_over(self, owner: str) -> bool:
        """Return whether an owner is over its part; it wins nothing by not waiting."""
        return owner in self._over or self.owners.is_over(owner)

    def yields(self, party: Party, urgency: int) -> bool:
        """Return whether a request goes after some that wait: its owner or kind is over its part."""
        if self.is_over(party.owner):
            return self._compliant_waits
        return self._min_urgency <= urgency and party.kind in self.kinds


class Order(t.Protocol):
    """In which order requests that wait get what there is."""

    def arrange(self, claims: t.Iterable[Claim], board: Board) -> list[Claim]:
        """Return all of them, the first to be served first."""
        ...


class ByBound:
    """Owners over their part go last; by urgency, kinds over theirs last; then as they came."""

    __slots__ = ()

    def arrange(self, claims: t.Iterable[Claim], board: Board) -> list[Claim]:
        """Return all of them, the first to be served first."""
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
    """Virtual token counters under urgency: each time the owner of the least counter is next."""

    __slots__ = ()

    def arrange(self, claims: t.Iterable[Claim], board: Board) -> list[Claim]:
        """Return all of them, the first to be served first."""
        counters: dict[str, float] = {}
        starts: dict[int, float] = {}
        ordered = sorted(claims, key=lambda claim: (claim.urgency, claim.since, claim.number))
        for claim in ordered:
            # A request starts where those of its owner before it end.
            owner = claim.party.owner
            starts[claim.number] = counters.setdefault(owner, board.owners.spent(owner))
            counters[owner] += claim.cost / board.owners.weight(owner)
        return sorted(ordered, key=lambda claim: (claim.urgency, starts[claim.number]))


def ahead_s(left_part: float, news_s: float, end_s: float, is_claimed: bool) -> float:
    """Return how long before room is expected a request may be sent, in seconds.

    It is for requests of owners or kinds over their part that have been held for as long as others
    are. Sent earlier, they would fill the engines' queues, which know no shares; sent only when
    room is told, slots would stay empty from the end of each run until then.

    Parameters
    ----------
    left_part : float
        Part of the time until it would be late that is left.
    news_s : float
        Age of what is known of engines, in seconds.
    end_s : float
        Time between two ends of runs on an engine, in seconds.
    is_claimed : bool
        Whether somebody that goes before it waits for room on the same engine.
    """
    return news_s + (end_s if left_part <= FINAL_WAIT_FRACTION or not is_claimed else 0.0)


def out_of_turn(left_s: t.Sequence[float], turns_per_s: float) -> list[int]:
    """Return which of a party's requests will not have their turn in time; the first always may.

    Parameters
    ----------
    left_s : sequence of float
        Time that each has left, in seconds, in the order of their turns.
    turns_per_s : float
        How often the party gets its turn.
    """
    kept, late = 0, []
    for at, left in enumerate(left_s):
        if kept and kept + 1 > left * turns_per_s:
            late.append(at)
        else:
            kept += 1
    return late
