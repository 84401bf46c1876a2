"""Replicates facts among members by sending changes to a few random peers in each round.

A fact has one writer and a version that only grows. A member that receives a new fact sends it a
limited number of times, to peers chosen at random; a peer that it has not met before is sent all
facts. The traffic thus depends on the rate of changes rather than on the number of facts.
"""

from __future__ import annotations

import math
import random
import typing as t
from dataclasses import dataclass, field

PEERS_PER_ROUND = 2
SENDS_PER_MEMBER_DOUBLING = 1
"""Each member that has a fact sends it this often for every doubling of the number of members, and
never to peers known to have it. Where sends to such peers counted too, one of 4 to 9 members missed
a fact until its writer's refresh in 5 to 10 of 100 trials."""


@dataclass(slots=True, frozen=True)
class Fact:
    """A versioned value under a key.

    Parameters
    ----------
    key : str
        Identifies the subject of the fact.
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

    def is_newer_than(self, other: Fact | None) -> bool:
        """Return whether this fact replaces the other."""
        if other is None:
            return True
        return (self.epoch, self.version) > (other.epoch, other.version)


@dataclass(slots=True)
class _FactState:
    fact: Fact
    received_at: float
    sequence: int
    sends_left: int
    known_by: set[str] = field(default_factory=set)
    """Peers that sent the fact or were sent it while sends were left."""


class Gossip:
    """Stores the facts known to one member and selects those to send.

    Parameters
    ----------
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Source of randomness for the choice of peers.
    expire_s : float
        A fact that is not refreshed for this long is dropped, in seconds.
    """

    __slots__ = (
        "_clock",
        "_expire_s",
        "_facts",
        "_known_peers",
        "_new_peers",
        "_sequence",
        "_rng",
        "_sends_per_fact",
    )

    def __init__(
        self, clock: t.Callable[[], float], rng: random.Random, expire_s: float = 30.0
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._expire_s = expire_s
        self._facts: dict[str, _FactState] = {}
        self._known_peers: set[str] = set()
        self._new_peers: set[str] = set()
        self._sequence = 0
        self._sends_per_fact = SENDS_PER_MEMBER_DOUBLING

    @property
    def cursor(self) -> int:
        """Sequence number of the latest stored fact, to be passed to `since`."""
        return self._sequence

    def put(self, fact: Fact, sender: str = "") -> bool:
        """Store a fact from a peer or of this member; return whether it was new."""
        known = self._facts.get(fact.key)
        if not fact.is_newer_than(known.fact if known else None):
            if known is not None and known.fact == fact and sender and known.sends_left > 0:
                known.known_by.add(sender)
            return False
        self._sequence += 1
        fresh = _FactState(fact, self._clock(), self._sequence, self._sends_per_fact)
        if sender:
            fresh.known_by.add(sender)
        self._facts[fact.key] = fresh
        return True

    def get(self, key: str) -> Fact | None:
        """Return the fact under a key, or None."""
        known = self._facts.get(key)
        return known.fact if known else None

    def facts(self) -> list[Fact]:
        """Return all facts that have not expired."""
        return [known.fact for known in self._unexpired()]

    def choose_peers(self, peers: t.Sequence[str]) -> list[str]:
        """Return the random peers of this round."""
        self._known_peers &= set(peers)
        self._new_peers &= self._known_peers
        self._sends_per_fact = SENDS_PER_MEMBER_DOUBLING * math.ceil(math.log2(len(peers) + 2))
        return self._rng.sample(list(peers), min(PEERS_PER_ROUND, len(peers)))

    def updates_for(self, peer: str) -> list[Fact]:
        """Return the facts to send to a peer: all in the first exchange, later the changed ones."""
        is_first = peer not in self._known_peers
        self._known_peers.add(peer)
        if is_first:
            self._new_peers.add(peer)
        else:
            self._new_peers.discard(peer)
        sent = []
        for known in self._unexpired():
            if is_first or (known.sends_left > 0 and peer not in known.known_by):
                known.sends_left -= 1
                known.known_by.add(peer)
                sent.append(known.fact)
        return sent

    def mark_undelivered(self, peer: str, sent: t.Iterable[Fact]) -> None:
        """Mark facts as not delivered to a peer, so that they are sent to it again."""
        if peer in self._new_peers:
            self._new_peers.discard(peer)
            self._known_peers.discard(peer)
        for fact in sent:
            known = self._facts.get(fact.key)
            if known is not None and known.fact == fact:
                known.sends_left += 1
                known.known_by.discard(peer)

    def since(self, cursor: int) -> list[Fact]:
        """Return the facts stored after a cursor, for a reader that polls repeatedly.

        A cursor beyond the current sequence number stems from an earlier process of this member or
        from another member; all facts are returned for it.
        """
        if cursor > self._sequence:
            cursor = 0
        return [known.fact for known in self._unexpired() if known.sequence > cursor]

    def _unexpired(self) -> list[_FactState]:
        oldest = self._clock() - self._expire_s
        for key in [key for key, known in self._facts.items() if known.received_at < oldest]:
            del self._facts[key]
        return list(self._facts.values())
