"""What owners and kinds of requests used of engines lately, aged and bounded.

The load that it answers is that of `shares`, which decides by it: one sends many times its usual.
"""

from __future__ import annotations

import heapq
import math
import typing as t
from dataclasses import dataclass

HALF_LIFE_S = 4.0
"""After this a token counts half. Callers wait 1 to 5 s: with a shorter time the use of an owner is
that of a few requests, with a longer one a party is last for longer than its callers wait."""
BASELINE_HALF_LIFE_S = 60.0
"""What a kind usually uses is learned over about this time: longer than demand takes to move, and
than callers come back."""
KIND_HALF_LIFE_S = 1.0
"""What it uses lately, over about this time: kinds are few and each has many requests."""
KIND_OVERUSE_FACTOR = 1.5
"""A kind is over its part beyond so many times its usual, next to the other kinds."""
MAX_ENTRIES = 2_048
"""So many are known, 0.4 MB; of more, those that used least are forgotten, and count as idle."""
ENTRIES_AFTER_PRUNING = 1_536
"""So many are left then: what looks for the least takes its time."""
MIN_USAGE_TOKENS = 1e-3
"""Use below a thousandth of a token is none."""
SEND_RATE_HALF_LIFE_S = 1.0
"""How often a party gets its turn is taken over about this time: refusals follow in a second."""
FIRST_TURNS_S = 0.5
"""Time that a new planner sees turns before it refuses anybody for want of them."""
MIN_SENDS_PER_S = 0.5
"""Who had no turn yet is reckoned with so many: its first requests wait for what they get."""


@dataclass(slots=True, frozen=True)
class Party:
    """Whose request it is, and of which kind.

    Parameters
    ----------
    owner : str
        An organisation; where there are none, an adapter.
    kind : str
        Kind of the request.
    """

    owner: str
    kind: str = ""


class Uses:
    """What was used lately, in tokens, aged, by owner or kind; bounded, and empty after a start.

    Parameters
    ----------
    half_life_s : float
        After this, in seconds, a token counts half.
    """

    __slots__ = ("_decay", "_entries")

    def __init__(self, half_life_s: float = HALF_LIFE_S) -> None:
        self._decay = math.log(2) / half_life_s
        self._entries: dict[str, tuple[float, float]] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def note(self, name: str, cost: float, now: float) -> None:
        """Count a use, in tokens; one below 0 takes back what was not used after all."""
        self._entries[name] = (max(0.0, self.used(name, now) + cost), now)
        if len(self._entries) > MAX_ENTRIES:
            self._prune(now)

    def used(self, name: str, now: float) -> float:
        """Return what somebody used, in tokens of now."""
        amount, at = self._entries.get(name, (0.0, now))
        return amount * math.exp(-self._decay * max(0.0, now - at))

    def rate(self, name: str, now: float) -> float:
        """Return what somebody uses, in tokens a second."""
        return self.used(name, now) * self._decay

    def all(self, now: float) -> dict[str, float]:
        """Return what each used; those that used next to nothing are forgotten."""
        usage = {name: self.used(name, now) for name in self._entries}
        for name in [name for name, amount in usage.items() if amount < MIN_USAGE_TOKENS]:
            del self._entries[name], usage[name]
        return usage

    def _prune(self, now: float) -> None:
        usage = self.all(now)
        largest = heapq.nlargest(ENTRIES_AFTER_PRUNING, usage, key=usage.__getitem__)
        self._entries = {name: (usage[name], now) for name in largest}


class Turns:
    """How often requests of each party got their turn lately."""

    __slots__ = ("_started_at", "_uses")

    def __init__(self) -> None:
        self._uses = Uses(SEND_RATE_HALF_LIFE_S)
        self._started_at = math.inf

    def note(self, party: Party, requests: int, now: float) -> None:
        """Count requests that were sent to engines; below 0 if they did not run after all."""
        self._started_at = min(self._started_at, now)
        self._uses.note(_name(party), requests, now)

    def rate(self, party: Party, now: float) -> float:
        """Return turns a second; infinite as long as too little was seen to tell."""
        seen_s = now - self._started_at
        if seen_s < FIRST_TURNS_S:
            return math.inf
        observed_fraction = 1 - math.exp(-math.log(2) * seen_s / SEND_RATE_HALF_LIFE_S)
        return max(MIN_SENDS_PER_S, self._uses.rate(_name(party), now) / observed_fraction)


def _name(party: Party) -> str:
    return f"{party.owner}\n{party.kind}"


class KindUsage:
    """What kinds used lately, next to what they usually use: while nobody waits for room."""

    __slots__ = ("_recent", "_baseline")

    def __init__(self) -> None:
        self._recent = Uses(KIND_HALF_LIFE_S)
        self._baseline = Uses(BASELINE_HALF_LIFE_S)

    def note(self, kind: str, cost: float, now: float, is_full: bool) -> None:
        """Count a use, in tokens; below 0 to take it back."""
        self._recent.note(kind, cost, now)
        if not is_full:
            self._baseline.note(kind, cost, now)

    def over(self, wanted: t.Mapping[str, float], now: float) -> frozenset[str]:
        """Return the kinds that send more than their usual, next to the other kinds.

        Parts of all are compared by their odds: those of a kind that sends so many times its usual
        grow by as much, whatever its part was. What is usual for a kind that was not seen before
        is not known.

        Parameters
        ----------
        wanted : mapping of str to float
            What requests that wait would use, in tokens.
        now : float
            By the runtime's clock.
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
