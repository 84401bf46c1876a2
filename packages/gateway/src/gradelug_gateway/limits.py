"""Limits that replicas name in their answers, as this instance knows them."""

from __future__ import annotations

import typing as t
from collections import Counter, deque

import logbook
from gradelug_policy.replica_limits import LimitFact, LimitRecord, LimitWord

log = logbook.Logger("limits")
COUNTED_S = 4.0
"""Span over which sendings to a replica with a limit are counted, in seconds."""
UNREADABLE = 40
"""So much of a limit that is no number is logged, in characters."""


class ReplicaLimits:
    """What replicas said of their limits, and what was sent to them since.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_records", "_sent", "_unreadable")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._records: dict[str, LimitRecord] = {}
        self._sent: deque[tuple[float, str]] = deque()
        """Sendings of this instance to replicas with a limit."""
        self._unreadable: set[str] = set()
        """Replicas of which it was logged that their limit cannot be read."""

    def hear(self, replica: str, word: LimitWord, sent_at: float) -> None:
        """Take over what an answer to a request sent at a moment says."""
        if word.unreadable:
            if replica not in self._unreadable:
                self._unreadable.add(replica)
                log.warning(
                    "limit cannot be read", replica=replica, value=word.unreadable[:UNREADABLE]
                )
            return
        record = self._records.get(replica)
        if record is None:
            if word.rate is None:
                return
            record = self._records[replica] = LimitRecord()
        before, since = record.rate, record.since
        if not record.note(LimitFact(word.rate, sent_at, self._clock())):
            return
        if record.rate is None:
            log.info("limit ended", replica=replica, after_s=round(self._clock() - since, 2))
        else:
            log.info("limit named", replica=replica, rate=record.rate, before=before)

    def rate(self, replica: str) -> float | None:
        """Return how many requests a second a replica takes, None if it names no limit."""
        record = self._records.get(replica)
        return record.rate if record is not None else None

    def note_sent(self, replica: str) -> None:
        """Count a sending to a replica, if it has a limit."""
        if self.rate(replica) is not None:
            self._sent.append((self._clock(), replica))

    def sent(self) -> Counter[str]:
        """Return how many requests were sent to each replica with a limit lately."""
        while self._sent and self._sent[0][0] <= self._clock() - COUNTED_S:
            self._sent.popleft()
        return Counter(name for _, name in self._sent)

    @property
    def limited(self) -> int:
        """Number of replicas that name a limit."""
        return sum(record.rate is not None for record in self._records.values())

    def forget_gone(self, known: t.Container[str]) -> None:
        """Drop the limits of replicas that are gone."""
        self._records = {name: one for name, one in self._records.items() if name in known}
        self._unreadable = {name for name in self._unreadable if name in known}

    def forget(self, replica: str) -> None:
        """Drop the limit of a replica that has begun another life."""
        self._records.pop(replica, None)
