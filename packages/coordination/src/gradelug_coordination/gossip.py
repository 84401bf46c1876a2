"""Spreading facts among members by telling a few random peers what is new.

A fact has one writer and a version that only grows. Whoever learns a fact tells it a bounded
number of times, to peers chosen at random, and then no more; a peer not met before is told
everything. The traffic thus follows the rate of changes, not the number of facts there are.
"""

from __future__ import annotations

import math
import random
import typing as t
from dataclasses import dataclass, field

FANOUT = 2
TELLINGS_PER_DOUBLING = 1
"""A fact is told this often, by everybody who knows it, for every doubling of the members; never
to those known to have it. Where it was told to them too, in 5 to 10 of 100 trials among 4 to 9
members one of them missed it until its writer's refresh."""


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


@dataclass(slots=True)
class _Known:
    fact: Fact
    at: float
    number: int
    tellings: int
    holders: set[str] = field(default_factory=set)
    """Who told it or was told it while there were tellings left."""


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

    __slots__ = (
        "_clock",
        "_expire_s",
        "_facts",
        "_met",
        "_newly_met",
        "_number",
        "_rng",
        "_tellings",
    )

    def __init__(
        self, clock: t.Callable[[], float], rng: random.Random, expire_s: float = 30.0
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._expire_s = expire_s
        self._facts: dict[str, _Known] = {}
        self._met: set[str] = set()
        self._newly_met: set[str] = set()
        self._number = 0
        self._tellings = TELLINGS_PER_DOUBLING

    @property
    def cursor(self) -> int:
        """Number of the latest fact taken in; `since` continues from it."""
        return self._number

    def put(self, fact: Fact, teller: str = "") -> bool:
        """Take in a fact, from a peer or our own; tell whether it was news."""
        known = self._facts.get(fact.key)
        if not fact.newer_than(known.fact if known else None):
            if known is not None and known.fact == fact and teller and known.tellings > 0:
                known.holders.add(teller)
            return False
        self._number += 1
        fresh = _Known(fact, self._clock(), self._number, self._tellings)
        if teller:
            fresh.holders.add(teller)
        self._facts[fact.key] = fresh
        return True

    def get(self, key: str) -> Fact | None:
        """Return the fact under a key."""
        known = self._facts.get(key)
        return known.fact if known else None

    def facts(self) -> list[Fact]:
        """Return every fact that has not expired."""
        return [known.fact for known in self._live()]

    def choose_peers(self, peers: t.Sequence[str]) -> list[str]:
        """Return the peers of this round."""
        self._met &= set(peers)
        self._newly_met &= self._met
        self._tellings = TELLINGS_PER_DOUBLING * math.ceil(math.log2(len(peers) + 2))
        return self._rng.sample(list(peers), min(FANOUT, len(peers)))

    def news_for(self, peer: str) -> list[Fact]:
        """Return what to tell a peer: everything at first, later what is new."""
        first = peer not in self._met
        self._met.add(peer)
        if first:
            self._newly_met.add(peer)
        else:
            self._newly_met.discard(peer)
        told = []
        for known in self._live():
            if first or (known.tellings > 0 and peer not in known.holders):
                known.tellings -= 1
                known.holders.add(peer)
                told.append(known.fact)
        return told

    def take_back(self, peer: str, told: t.Iterable[Fact]) -> None:
        """Note that the last news for a peer did not arrive: it is told them again."""
        if peer in self._newly_met:
            self._newly_met.discard(peer)
            self._met.discard(peer)
        for fact in told:
            known = self._facts.get(fact.key)
            if known is not None and known.fact == fact:
                known.tellings += 1
                known.holders.discard(peer)

    def since(self, cursor: int) -> list[Fact]:
        """Return what was taken in after a cursor, for a reader that comes again and again.

        A cursor from another life of this member, or from another member, gets everything.
        """
        if cursor > self._number:
            cursor = 0
        return [known.fact for known in self._live() if known.number > cursor]

    def _live(self) -> list[_Known]:
        oldest = self._clock() - self._expire_s
        for key in [key for key, known in self._facts.items() if known.at < oldest]:
            del self._facts[key]
        return list(self._facts.values())
