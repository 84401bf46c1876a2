"""Spreading facts among members by exchanging recent changes with a few random peers.

A fact has one writer and a version that only grows. Each round a member sends what has changed
lately to a few peers and receives the same; a peer not met before is sent everything. The cost
of a round depends on the rate of changes and the fan-out, not on the number of members.
"""

from __future__ import annotations

import random
import typing as t
from dataclasses import dataclass

FANOUT = 3
RECENT_S = 5.0


@dataclass(slots=True, frozen=True)
class Fact:
    """A value under a key.

    Parameters
    ----------
    key : str
        What it is about.
    epoch : int
        Grows when the writer changes (an owner's fencing token); outranks `version`.
    version : int
        Grows with each change by one writer.
    payload : bytes
        The value.
    """

    key: str
    epoch: int
    version: int
    payload: bytes

    def newer_than(self, other: Fact | None) -> bool:
        """Tell whether this fact replaces the other."""
        if other is None:
            return True
        return (self.epoch, self.version) > (other.epoch, other.version)


class Gossip:
    """The facts known to one member.

    Parameters
    ----------
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Chooses peers.
    expire_s : float
        A fact not refreshed for this long is dropped.
    """

    __slots__ = ("_clock", "_expire_s", "_facts", "_met", "_rng")

    def __init__(
        self, clock: t.Callable[[], float], rng: random.Random, expire_s: float = 30.0
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._expire_s = expire_s
        self._facts: dict[str, tuple[Fact, float]] = {}
        self._met: set[str] = set()

    def put(self, fact: Fact) -> bool:
        """Take in a fact; tell whether it was news."""
        known = self._facts.get(fact.key)
        if not fact.newer_than(known[0] if known else None):
            return False
        self._facts[fact.key] = (fact, self._clock())
        return True

    def get(self, key: str) -> Fact | None:
        """Return the fact under a key."""
        known = self._facts.get(key)
        return known[0] if known else None

    def age_s(self, key: str) -> float:
        """Return how long ago the fact was last news here; infinite if unknown."""
        known = self._facts.get(key)
        return self._clock() - known[1] if known else float("inf")

    def facts(self) -> list[Fact]:
        """Return every fact that has not expired."""
        oldest = self._clock() - self._expire_s
        for key in [key for key, (_, at) in self._facts.items() if at < oldest]:
            del self._facts[key]
        return [fact for fact, _ in self._facts.values()]

    def choose_peers(self, peers: t.Sequence[str]) -> list[str]:
        """Return the peers of this round."""
        self._met &= set(peers)
        return self._rng.sample(list(peers), min(FANOUT, len(peers)))

    def news_for(self, peer: str) -> list[Fact]:
        """Return what to send to a peer: everything at first, later what changed lately."""
        everything = self.facts()
        if peer not in self._met:
            self._met.add(peer)
            return everything
        since = self._clock() - RECENT_S
        return [fact for fact in everything if self._facts[fact.key][1] >= since]
