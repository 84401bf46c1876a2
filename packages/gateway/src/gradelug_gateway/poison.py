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
MAX_SERVED = 2048
"""Fingerprints kept of requests that were answered whole: those of 75 s at 27 requests a second."""
MAX_OBSERVATIONS = 1024
"""Requests kept that were at replicas when they ended: of ten crowded engines."""
MAX_CLEARED = 256
BLOCKED_RETRY_S = 60.0
"""No instance sends it within this time: it had better not come back."""
SUSPECT_RETRY_S = 1.0
"""A planner that is lost is replaced within seconds."""


class BlockAuthority(Enum):
    """Who decides now which requests are blocked."""

    PLANNER = "planner"
    """The planner that keeps the ledger of all gateways is followed."""
    UNKNOWN = "nobody"
    """It was lost a moment ago: its successor will know more than this gateway."""
    SELF = "self"
    """There is none, or has been none for long."""


class EndObservation(t.NamedTuple):
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
    fingerprint: bytes
    weight: float
    at: float


class PoisonFindings(t.NamedTuple):
    """What somebody found: requests that are blocked, and those that one more end may block."""

    blocked: frozenset[bytes]
    suspects: frozenset[bytes]


NO_FINDINGS = PoisonFindings(frozenset(), frozenset())


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
        "_authority",
        "_ledger",
        "_number",
        "_served",
        "cleared",
        "refused",
        "observations",
        "stored_findings",
        "planner_findings",
    )

    def __init__(
        self,
        clock: t.Callable[[], float],
        authority: t.Callable[[], BlockAuthority] = lambda: BlockAuthority.SELF,
        hurry: t.Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._authority = authority
        self._hurry = hurry
        self._ledger = EndLedger()
        """Of what this gateway saw alone."""
        self._number = 0
        self._served: dict[bytes, None] = {}
        self.observations: deque[EndObservation] = deque(maxlen=MAX_OBSERVATIONS)
        """What this gateway saw, for planners; a new one is told all of it."""
        self.cleared: deque[tuple[int, bytes]] = deque(maxlen=MAX_CLEARED)
        """Suspects that were answered whole, with their numbers among the sightings."""
        self.planner_findings = NO_FINDINGS
        """What the planner found."""
        self.stored_findings = NO_FINDINGS
        """What stands in the platform's store."""
        self.refused = 0
        """Requests that were not sent."""

    @property
    def blocked(self) -> int:
        """Number of requests that are blocked here."""
        return len(self.planner_findings.blocked | self.stored_findings.blocked)

    @property
    def suspects(self) -> int:
        """Number of requests that one more end may block."""
        return len(self.planner_findings.suspects | self.stored_findings.suspects)

    def check(self, fingerprint: bytes) -> None:
        """Raise `Refused` if a request must not be sent to any replica now."""
        if (
            fingerprint in self.planner_findings.blocked
            or fingerprint in self.stored_findings.blocked
        ):
            self.refused += 1
            raise Blocked("it ends the replicas that run it", BLOCKED_RETRY_S)
        authority = self._authority()
        if authority is BlockAuthority.PLANNER:
            return
        if fingerprint in self._ledger.blocked:
            self.refused += 1
            raise Blocked("it ended the replicas that ran it here", BLOCKED_RETRY_S)
        if authority is BlockAuthority.UNKNOWN and self._is_suspect(fingerprint):
            # One more end of another gateway may have been its third.
            raise Refused(
                "replicas ended that ran it, and no planner tells of more", SUSPECT_RETRY_S
            )

    def note_end(self, end: str, weights: t.Mapping[bytes, float]) -> None:
        """Note which requests were at a replica when it ended."""
        now = self._clock()
        for fingerprint, weight in weights.items():
            if fingerprint in self._served:
                # What ends each replica that begins it cannot have been answered.
                continue
            self._number += 1
            self.observations.append(EndObservation(self._number, end, fingerprint, weight, now))
            self._ledger.note_end(end, fingerprint, weight, now)
        for found in self._ledger.judge(now):
            log.info("would be blocked here", fingerprint=shown(found.mark), ends=found.ends)
        while self.observations and now - self.observations[0].at > REMEMBERED_S:
            self.observations.popleft()
        self._hurry()

    def note_served(self, fingerprint: bytes) -> None:
        """Note that a request was answered whole."""
        self._served.pop(fingerprint, None)
        self._served[fingerprint] = None
        if len(self._served) > MAX_SERVED:
            del self._served[next(iter(self._served))]
        was_seen = self._ledger.note_served(fingerprint)
        if was_seen:
            kept = [
                observation
                for observation in self.observations
                if observation.fingerprint != fingerprint
            ]
            self.observations = deque(kept, MAX_OBSERVATIONS)
        if (
            was_seen
            or fingerprint in self.planner_findings.suspects
            or fingerprint in self.stored_findings.suspects
        ):
            self._number += 1
            self.cleared.append((self._number, fingerprint))
            log.info("cleared", fingerprint=shown(fingerprint))
            self._hurry()

    def _is_suspect(self, fingerprint: bytes) -> bool:
        if (
            fingerprint in self.planner_findings.suspects
            or fingerprint in self.stored_findings.suspects
        ):
            return True
        return self._ledger.score(fingerprint) >= SUSPECT
