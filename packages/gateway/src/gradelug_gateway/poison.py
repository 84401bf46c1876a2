"""Blocks requests that crash the replicas running them (`gradelug_policy.poison`)."""

from __future__ import annotations

import typing as t
from collections import deque
from enum import Enum

import logbook
from gradelug_policy.poison import END_TTL_S, SUSPECT_SCORE, EndLedger

from .exceptions import Blocked, Refused
from .fingerprints import format_fingerprint

log = logbook.Logger("poison")
MAX_SERVED = 2048
"""Maximum number of fingerprints of completed requests: those of 75 s at 27 requests a second."""
MAX_OBSERVATIONS = 1024
"""Maximum number of end observations: those of ten fully loaded engines."""
MAX_CLEARED = 256
BLOCKED_RETRY_S = 60.0
"""Retry delay for a blocked request, in seconds; no instance sends the request within it."""
SUSPECT_RETRY_S = 1.0
"""Retry delay for a suspect while the planner is lost, in seconds; a successor soon follows."""


class BlockAuthority(Enum):
    """Which party decides at present whether a request is blocked."""

    PLANNER = "planner"
    """The planner that keeps the ledger of all gateways; this gateway is connected to it."""
    UNKNOWN = "nobody"
    """Undecided: the planner was lost recently; its successor will know more than this gateway."""
    SELF = "self"
    """This gateway: there is no planner, or has been none for long."""


class EndObservation(t.NamedTuple):
    """A request that was at a replica when the replica ended.

    Parameters
    ----------
    number : int
        Sequence number, increasing.
    end : str
        The incarnation of the replica: its name and start.
    fingerprint : bytes
        The request's fingerprint.
    weight : float
        Weight of the evidence that the request caused the end.
    at : float
        Time of the observation, by the runtime's clock.
    """

    number: int
    end: str
    fingerprint: bytes
    weight: float
    at: float


class PoisonFindings(t.NamedTuple):
    """Fingerprints of blocked requests, and of suspects that one more end may block."""

    blocked: frozenset[bytes]
    suspects: frozenset[bytes]


NO_FINDINGS = PoisonFindings(frozenset(), frozenset())


class PoisonGuard:
    """Decides at one gateway whether to send a request, by the observations of all gateways.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    authority : callable
        Returns the `BlockAuthority` at present.
    hurry : callable
        Sends pending observations at once.
    """

    __slots__ = (
        "_clock",
        "_hurry",
        "_authority",
        "_ledger",
        "_number",
        "_served",
        "cleared",
        "refused_count",
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
        """Ledger of this gateway's own observations."""
        self._number = 0
        self._served: dict[bytes, None] = {}
        self.observations: deque[EndObservation] = deque(maxlen=MAX_OBSERVATIONS)
        """This gateway's observations, to be reported to each planner."""
        self.cleared: deque[tuple[int, bytes]] = deque(maxlen=MAX_CLEARED)
        """Suspects that completed, with their sequence numbers among the observations."""
        self.planner_findings = NO_FINDINGS
        """Findings received from the planner."""
        self.stored_findings = NO_FINDINGS
        """Findings read from the platform's store."""
        self.refused_count = 0
        """Number of requests that were blocked before being sent."""

    @property
    def blocked(self) -> int:
        """Number of fingerprints that are blocked here."""
        return len(self.planner_findings.blocked | self.stored_findings.blocked)

    @property
    def suspects(self) -> int:
        """Number of fingerprints that one more end may block."""
        return len(self.planner_findings.suspects | self.stored_findings.suspects)

    def check(self, fingerprint: bytes) -> None:
        """Raise `Refused` if a request must not be sent to any replica now."""
        if (
            fingerprint in self.planner_findings.blocked
            or fingerprint in self.stored_findings.blocked
        ):
            self.refused_count += 1
            raise Blocked("it crashes the replicas that run it", BLOCKED_RETRY_S)
        authority = self._authority()
        if authority is BlockAuthority.PLANNER:
            return
        if fingerprint in self._ledger.blocked:
            self.refused_count += 1
            raise Blocked("it crashed the replicas that ran it for this gateway", BLOCKED_RETRY_S)
        if authority is BlockAuthority.UNKNOWN and self._is_suspect(fingerprint):
            # Another gateway may have observed its third end.
            raise Refused(
                "suspected of crashing replicas while no planner is available", SUSPECT_RETRY_S
            )

    def note_end(self, end: str, weights: t.Mapping[bytes, float]) -> None:
        """Record the requests that were at a replica when it ended, with their weights."""
        now = self._clock()
        for fingerprint, weight in weights.items():
            if fingerprint in self._served:
                # A request that crashes every replica running it cannot have completed.
                continue
            self._number += 1
            self.observations.append(EndObservation(self._number, end, fingerprint, weight, now))
            self._ledger.note_end(end, fingerprint, weight, now)
        for found in self._ledger.judge(now):
            log.info(
                "local ledger would block request",
                fingerprint=format_fingerprint(found.fingerprint),
                ends=found.ends,
            )
        while self.observations and now - self.observations[0].at > END_TTL_S:
            self.observations.popleft()
        self._hurry()

    def note_served(self, fingerprint: bytes) -> None:
        """Record that a request completed; clears it if it was a suspect."""
        self._served.pop(fingerprint, None)
        self._served[fingerprint] = None
        if len(self._served) > MAX_SERVED:
            del self._served[next(iter(self._served))]
        was_suspected = self._ledger.note_served(fingerprint)
        if was_suspected:
            kept = [
                observation
                for observation in self.observations
                if observation.fingerprint != fingerprint
            ]
            self.observations = deque(kept, MAX_OBSERVATIONS)
        if (
            was_suspected
            or fingerprint in self.planner_findings.suspects
            or fingerprint in self.stored_findings.suspects
        ):
            self._number += 1
            self.cleared.append((self._number, fingerprint))
            log.info("cleared", fingerprint=format_fingerprint(fingerprint))
            self._hurry()

    def _is_suspect(self, fingerprint: bytes) -> bool:
        if (
            fingerprint in self.planner_findings.suspects
            or fingerprint in self.stored_findings.suspects
        ):
            return True
        return self._ledger.score(fingerprint) >= SUSPECT_SCORE
