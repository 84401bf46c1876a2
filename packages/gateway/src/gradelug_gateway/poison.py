"""Keeps requests from replicas that end those which run them (`gradelug_policy.poison`)."""

from __future__ import annotations

import typing as t
from collections import deque
from enum import Enum

import logbook
from gradelug_policy.poison import REMEMBERED_S, SUSPECT, EndLedger

from .exceptions import Blocked, Refused
from .fingerprints import shown

log = logbook.Logger("poison")
MOST_SERVED = 2048
"""Fingerprints kept of requests that were answered whole: those of 75 s at 27 requests a second."""
MOST_SIGHTINGS = 1024
"""Requests kept that were at replicas when they ended: of ten crowded engines."""
MOST_CLEARED = 256
BLOCKED_RETRY_S = 60.0
"""No instance sends it within this time: it had better not come back."""
HELD_RETRY_S = 1.0
"""A planner that is lost is replaced within seconds."""


class Judge(Enum):
    """Who decides now which requests are blocked."""

    PLANNER = "planner"
    """The planner that keeps the ledger of all gateways is followed."""
    NOBODY = "nobody"
    """It was lost a moment ago: its successor will know more than this gateway."""
    SELF = "self"
    """There is none, or has been none for long."""


class Sighting(t.NamedTuple):
    """A request that was at a replica when it ended.

    Parameters
    ----------
    number : int
        Grows from sighting to sighting.
    end : str
        The replica and its start.
    mark : bytes
        The request's fingerprint.
    weight : float
        How much that says.
    at : float
        When, by the runtime's clock.
    """

    number: int
    end: str
    mark: bytes
    weight: float
    at: float


class PoisonFindings(t.NamedTuple):
    """What somebody found: requests that are blocked, and those that one more end may block."""

    blocked: frozenset[bytes]
    suspects: frozenset[bytes]


NOTHING = PoisonFindings(frozenset(), frozenset())


class PoisonGuard:
    """Decides at one gateway whether a request may be sent, by what all gateways found.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    judge : callable
        Returns who decides now.
    hurry : callable
        Has what is to be told go out at once.
    """

    __slots__ = (
        "_clock",
        "_hurry",
        "_judge",
        "_ledger",
        "_number",
        "_served",
        "cleared",
        "refused",
        "sightings",
        "stored",
        "told",
    )

    def __init__(
        self,
        clock: t.Callable[[], float],
        judge: t.Callable[[], Judge] = lambda: Judge.SELF,
        hurry: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._judge = judge
        self._hurry = hurry
        self._ledger = EndLedger()
        """Of what this gateway saw alone."""
        self._number = 0
        self._served: dict[bytes, None] = {}
        self.sightings: deque[Sighting] = deque(maxlen=MOST_SIGHTINGS)
        """What this gateway saw, for planners; a new one is told all of it."""
        self.cleared: deque[tuple[int, bytes]] = deque(maxlen=MOST_CLEARED)
        """Suspects that were answered whole, with their numbers among the sightings."""
        self.told = NOTHING
        """What the planner found."""
        self.stored = NOTHING
        """What stands in the platform's store."""
        self.refused = 0
        """Requests that were not sent."""

    @property
    def blocked(self) -> int:
        """Number of requests that are blocked here."""
        return len(self.told.blocked | self.stored.blocked)

    @property
    def suspects(self) -> int:
        """Number of requests that one more end may block."""
        return len(self.told.suspects | self.stored.suspects)

    def check(self, mark: bytes) -> None:
        """Raise `Refused` if a request must not be sent to any replica now."""
        if mark in self.told.blocked or mark in self.stored.blocked:
            self.refused += 1
            raise Blocked("it ends the replicas that run it", BLOCKED_RETRY_S)
        judge = self._judge()
        if judge is Judge.PLANNER:
            return
        if mark in self._ledger.blocked:
            self.refused += 1
            raise Blocked("it ended the replicas that ran it here", BLOCKED_RETRY_S)
        if judge is Judge.NOBODY and self._is_suspect(mark):
            # One more end of another gateway may have been its third.
            raise Refused("replicas ended that ran it, and no planner tells of more", HELD_RETRY_S)

    def note_end(self, end: str, weights: t.Mapping[bytes, float]) -> None:
        """Note which requests were at a replica when it ended."""
        now = self._clock()
        for mark, weight in weights.items():
            if mark in self._served:
                # What ends each replica that begins it cannot have been answered.
                continue
            self._number += 1
            self.sightings.append(Sighting(self._number, end, mark, weight, now))
            self._ledger.note_end(end, mark, weight, now)
        for found in self._ledger.judge(now):
            log.info("would be blocked here", fingerprint=shown(found.mark), ends=found.ends)
        while self.sightings and now - self.sightings[0].at > REMEMBERED_S:
            self.sightings.popleft()
        self._hurry()

    def note_served(self, mark: bytes) -> None:
        """Note that a request was answered whole."""
        self._served.pop(mark, None)
        self._served[mark] = None
        if len(self._served) > MOST_SERVED:
            del self._served[next(iter(self._served))]
        was_seen = self._ledger.note_served(mark)
        if was_seen:
            kept = [sighting for sighting in self.sightings if sighting.mark != mark]
            self.sightings = deque(kept, MOST_SIGHTINGS)
        if was_seen or mark in self.told.suspects or mark in self.stored.suspects:
            self._number += 1
            self.cleared.append((self._number, mark))
            log.info("cleared", fingerprint=shown(mark))
            self._hurry()

    def _is_suspect(self, mark: bytes) -> bool:
        if mark in self.told.suspects or mark in self.stored.suspects:
            return True
        return self._ledger.score(mark) >= SUSPECT
