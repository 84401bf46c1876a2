"""Who may be sent to a replica that takes only so many requests a second from all instances.

Load pattern: more requests come for such a replica than it takes, at any of hundreds of instances,
each of which sees a few of them. What reaches it must keep to its limit in every span, all of the
limit is to be used, those with most to lose go first, and who cannot be served is told at once.
"""

from __future__ import annotations

import itertools
import typing as t
from dataclasses import dataclass

BURST_S = 0.5
"""What a replica takes in this time, in seconds, and one request more, may come at once: requests
come in clumps, and room that nobody wanted for a moment is not lost."""
LEAST_RATE = 0.1
"""Keeps one probe every 10 s, because a raised limit is only reported in answers."""
LONGEST_RETRY_S = 30.0
"""Nobody is told to come back later than this: limits change."""
OWN_PART = 0.8
"""Part of a limit that instances share while no planner grants room."""
LOCAL_SLOT_TTL_S = 1.0
"""Seconds until an unused grant expires; saved grants would allow a burst."""


@dataclass(slots=True, frozen=True)
class Applicant:
    """A request that asks for room at a replica.

    Parameters
    ----------
    ticket : hashable
        Names it.
    until : float
        How long it waits for room, by the runtime's clock.
    rank : int
        Urgency, 0 first.
    value : float
        What an answer in time is worth, 1 for an ordinary urgent one.
    begun : bool
        Whether its caller has had a part of the answer.
    """

    ticket: t.Hashable
    until: float
    rank: int = 0
    value: float = 1.0
    begun: bool = False


@dataclass(slots=True, frozen=True)
class Ruling:
    """What becomes of an applicant.

    Parameters
    ----------
    applicant : Applicant
        Whose request.
    granted : bool
        Whether it may be sent now.
    retry_s : float
        When there will be room for such a request if not, in seconds.
    """

    applicant: Applicant
    granted: bool
    retry_s: float = 0.0


class ReplicaRoom:
    """What a replica with a limit may still be sent, and who waits for it.

    Parameters
    ----------
    rate : float
        Requests a second that the replica takes.
    now : float
        By the runtime's clock. There is no room at first: what was sent before is not known.
    """

    __slots__ = ("_at", "_level", "_queue", "_arrivals", "_reserved", "_rate")

    def __init__(self, rate: float, now: float) -> None:
        self._rate = max(LEAST_RATE, rate)
        self._at = now
        self._level = 0.0
        self._reserved = 0.0
        """Refused requests that were told to come back and have not had time to."""
        self._arrivals = itertools.count()
        self._queue: list[tuple[tuple[bool, int, float, int], Applicant]] = []

    @property
    def waiting(self) -> int:
        """How many requests wait for room."""
        return len(self._queue)

    def rename(self, rate: float, now: float) -> None:
        """Go on under another limit."""
        self._settle(now)
        self._rate = max(LEAST_RATE, rate)
        self._level = min(self._level, self._capacity)

    def try_take(self, now: float) -> bool:
        """Take room for one request if there is any and nobody waits for it."""
        self._settle(now)
        if self._queue or self._level < 1:
            return False
        self._level -= 1
        return True

    def ready_s(self, now: float) -> float:
        """Return when there is room for one request more, in seconds."""
        self._settle(now)
        return max(0.0, len(self._queue) + 1 - self._level) / self._rate

    def apply(self, applicant: Applicant, now: float) -> list[Ruling]:
        """Let a request wait for room; return what is settled by that."""
        sort_key = (not applicant.begun, applicant.rank, -applicant.value, next(self._arrivals))
        self._queue.append((sort_key, applicant))
        self._queue.sort(key=lambda entry: entry[0])
        return self.rule(now)

    def withdraw(self, tickets: t.Container[t.Hashable]) -> None:
        """Forget requests that do not wait any more."""
        self._queue = [entry for entry in self._queue if entry[1].ticket not in tickets]

    def rule(self, now: float) -> list[Ruling]:
        """Grant what room there is, and refuse whoever there will be none for in time."""
        self._settle(now)
        rulings = []
        while self._queue and self._level >= 1:
            self._level -= 1
            rulings.append(Ruling(self._queue.pop(0)[1], True))
        kept: list[tuple[tuple[bool, int, float, int], Applicant]] = []
        for entry in self._queue:
            ready_at = now + (len(kept) + 1 - self._level) / self._rate
            if ready_at <= entry[1].until:
                kept.append(entry)
            else:
                rulings.append(Ruling(entry[1], False, self._retry_s(entry[1], len(kept), now)))
        self._queue = kept
        return rulings

    def release(self) -> list[Ruling]:
        """Let all that wait go: the replica names no limit any more."""
        rulings = [Ruling(applicant, True) for _, applicant in self._queue]
        self._queue = []
        return rulings

    def next_s(self, now: float) -> float | None:
        """Return when the first of those that wait has room, in seconds; None if nobody waits."""
        if not self._queue:
            return None
        self._settle(now)
        return max(0.0, 1 - self._level) / self._rate

    @property
    def _capacity(self) -> float:
        return 1 + BURST_S * self._rate

    def _settle(self, now: float) -> None:
        refilled = max(0.0, now - self._at) * self._rate
        self._at = max(self._at, now)
        self._level = min(self._capacity, self._level + refilled)
        self._reserved = max(0.0, self._reserved - refilled)

    def _retry_s(self, applicant: Applicant, queued_before: int, now: float) -> float:
        """Return when a refused request may come back, behind those refused before.

        One that did not wait goes elsewhere and does not come back.
        """
        needed = queued_before + self._reserved + 1 - self._level
        if applicant.until > now:
            self._reserved += 1
        return min(LONGEST_RETRY_S, max(0.0, needed) / self._rate)


class OwnTurns:
    """The turns of one instance at a replica: as many as its even share of the limit.

    Instances take them at moments of their own, and a turn that is not used soon is lost: so all
    of them together keep to the limit in every span, however many they are.

    Parameters
    ----------
    share : float
        Requests a second.
    phase : float
        At what part of the time between two turns the first one comes, drawn evenly from 0 to 1.
    now : float
        By the runtime's clock.
    keeps : bool
        Whether a turn is kept until it is used; the replica's limit must be kept by others then.
    """

    __slots__ = ("_keeps_unused", "_next_slot_at", "period_s")

    def __init__(self, share: float, phase: float, now: float, keeps: bool = False) -> None:
        self._keeps_unused = keeps
        self.period_s = 1 / share
        """Time between two turns, in seconds."""
        self._next_slot_at = now + phase * self.period_s

    def is_due(self, now: float) -> bool:
        """Return whether there is a turn now."""
        if not self._keeps_unused and now >= self._next_slot_at + LOCAL_SLOT_TTL_S:
            passed = int((now - self._next_slot_at) / self.period_s)
            self._next_slot_at += passed * self.period_s
            if now >= self._next_slot_at + LOCAL_SLOT_TTL_S:
                self._next_slot_at += self.period_s
        return now >= self._next_slot_at

    def take(self, now: float) -> bool:
        """Use a turn if there is one."""
        if not self.is_due(now):
            return False
        self._next_slot_at = max(self._next_slot_at, now - self.period_s) + self.period_s
        return True

    def give_back(self, at: float) -> None:
        """Have a turn that came to nothing again at a moment, if none comes before."""
        self._next_slot_at = min(self._next_slot_at, at)
