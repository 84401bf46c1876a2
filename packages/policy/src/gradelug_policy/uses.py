"""Tracks the recent engine use of owners and kinds of requests, decayed and bounded in size.

The module `shares` makes its decisions by it; see there for the load pattern.
"""

from __future__ import annotations

import heapq
import math
import typing as t
from dataclasses import dataclass

HALF_LIFE_S = 4.0
"""Half-life of used tokens, in seconds. Callers wait 1 to 5 s: with a shorter one an owner's use
reflects only a few requests, with a longer one a party is deprioritised for longer than its
callers wait."""
BASELINE_HALF_LIFE_S = 60.0
"""Half-life of a kind's usual use, in seconds: longer than shifts of demand, and than callers
retry."""
KIND_HALF_LIFE_S = 1.0
"""Half-life of a kind's recent use, in seconds; kinds are few and each has many requests."""
KIND_OVERUSE_FACTOR = 1.5
"""A kind is above its share beyond this multiple of its usual use, relative to the other kinds."""
MAX_ENTRIES = 2_048
"""Maximum number of entries, 0.4 MB. Those of the least use are removed and then count as idle."""
ENTRIES_AFTER_PRUNING = 1_536
"""Number of entries left after pruning, which is expensive and should be rare."""
MIN_USAGE_TOKENS = 1e-3
"""Use below this number of tokens counts as none."""
SEND_RATE_HALF_LIFE_S = 1.0
"""Half-life of send rates, in seconds; refusals follow changes within a second."""
MIN_OBSERVED_S = 0.5
"""Time for which a new planner observes send rates before it refuses requests by them, in
seconds."""
MIN_SENDS_PER_S = 0.5
"""Minimum assumed send rate, per second, so that the first requests of a party are not refused."""


@dataclass(slots=True, frozen=True)
class Party:
    """Owner and kind of a request.

    Parameters
    ----------
    owner : str
        An organisation; without organisations, an adapter.
    kind : str
        Kind of the request.
    """

    owner: str
    kind: str = ""


class DecayedUsage:
    """Decayed use in tokens by owner or kind; bounded in size, and empty after a start.

    Parameters
    ----------
    half_life_s : float
        Half-life of a used token, in seconds.
    """

    __slots__ = ("_decay", "_entries")

    def __init__(self, half_life_s: float = HALF_LIFE_S) -> None:
        self._decay = math.log(2) / half_life_s
        self._entries: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def note(self, name: str, cost: float, now: float) -> None:
        """Add a use, in tokens; a negative one takes back what was not used."""
        self._entries[name] = (max(0.0, self.used(name, now) + cost), now)
        if len(self._entries) > MAX_ENTRIES:
            self._prune(now)

    def used(self, name: str, now: float) -> float:
        """Return the decayed use of an owner or kind, in tokens."""
        amount, at = self._entries.get(name, (0.0, now))
        return amount * math.exp(-self._decay * max(0.0, now - at))

    def rate(self, name: str, now: float) -> float:
        """Return the use of an owner or kind, in tokens per second."""
        return self.used(name, now) * self._decay

    def all(self, now: float) -> dict[str, float]:
        """Return all decayed uses; removes negligible ones."""
        usage = {name: self.used(name, now) for name in self._entries}
        for name in [name for name, amount in usage.items() if amount < MIN_USAGE_TOKENS]:
            del self._entries[name], usage[name]
        return usage

    def _prune(self, now: float) -> None:
        usage = self.all(now)
        largest = heapq.nlargest(ENTRIES_AFTER_PRUNING, usage, key=usage.__getitem__)
        self._entries = {name: (usage[name], now) for name in largest}


class SendRates:
    """Recent rate at which requests of each party were sent to engines."""

    __slots__ = ("_started_at", "_uses")

    def __init__(self) -> None:
        self._uses = DecayedUsage(SEND_RATE_HALF_LIFE_S)
        self._started_at = math.inf

    def note(self, party: Party, requests: int, now: float) -> None:
        """Add requests that were sent to engines; a negative number takes back those that did not
        run.
        """
        self._started_at = min(self._started_at, now)
        self._uses.note(_name(party), requests, now)

    def rate(self, party: Party, now: float) -> float:
        """Return the sent requests per second; infinite while the observation time is too short."""
        seen_s = now - self._started_at
        if seen_s < MIN_OBSERVED_S:
            return math.inf
        observed_fraction = 1 - math.exp(-math.log(2) * seen_s / SEND_RATE_HALF_LIFE_S)
        return max(MIN_SENDS_PER_S, self._uses.rate(_name(party), now) / observed_fraction)


def _name(party: Party) -> str:
    return f"{party.owner}\n{party.kind}"


class KindUsage:
    """Recent use of kinds, and their usual use while no requests wait for capacity."""

    __slots__ = ("_recent", "_baseline")

    def __init__(self) -> None:
        self._recent = DecayedUsage(KIND_HALF_LIFE_S)
        self._baseline = DecayedUsage(BASELINE_HALF_LIFE_S)

    def note(self, kind: str, cost: float, now: float, is_full: bool) -> None:
        """Add a use, in tokens; a negative one takes it back."""
        self._recent.note(kind, cost, now)
        if not is_full:
            self._baseline.note(kind, cost, now)

    def overused(self, wanted: t.Mapping[str, float], now: float) -> frozenset[str]:
        """Return the kinds that use more than usual, relative to the other kinds.

        Fractions of the total are compared by their odds, since these grow in proportion to a
        kind's load whatever its fraction was. Kinds without a known usual use are never included.

        Parameters
        ----------
        wanted : mapping of str to float
            Cost of waiting requests by kind, in tokens.
        now : float
            Current time, by the runtime's clock.
        """
        recent, baseline = self._recent.all(now), self._baseline.all(now)
        for kind, amount in wanted.items():
            recent[kind] = recent.get(kind, 0.0) + amount
        all_recent, all_baseline = math.fsum(recent.values()), math.fsum(baseline.values())
        return frozenset(
            kind
            for kind, amount in recent.items()
            if kind in baseline
            and amount * (all_baseline - baseline[kind])
            > KIND_OVERUSE_FACTOR * baseline[kind] * (all_recent - amount)
        )
