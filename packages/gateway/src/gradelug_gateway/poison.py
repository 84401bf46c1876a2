"""Blocks requests that crash the replicas running them (`gradelug_policy.poison`)."""

from __future__ import annotations

import typing as t
from collections import deque
from enum import Enum

import logbook
from gradelug_policy.poison import END_TTL_S, SUSPECT_SCORE, EndLedger
from gradelug_policy.poison_parts import SOUND_S

from .exceptions import Blocked, Refused
from .fingerprints import format_fingerprint

log = logbook.Logger("poison")
MAX_SERVED = 2048
"""Maximum number of fingerprints of completed requests: those of 75 s at 27 requests a second."""
MAX_OBSERVATIONS = 1024
"""Maximum number of end observations: those of ten fully loaded engines."""
MAX_CLEARED = 256
MAX_SOUND_PARTS = 4096
"""Maximum number of parts whose answers are remembered: 0.5 MB."""
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
    parts : tuple of bytes
        Digests of the shared parts of its prompt, in order, without those answered lately.
    """

    number: int
    end: str
    fingerprint: bytes
    weight: float
    at: float
    parts: tuple[bytes, ...] = ()


class PoisonFindings(t.NamedTuple):
    """Fingerprints of blocked requests and parts, and of suspects that more ends may block."""

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
        "_parts",
        "_served",
        "_sound_at",
        "_listeners",
        "_planner_findings",
        "_stored_findings",
        "cleared",
        "refused_count",
        "observations",
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
        self._parts: dict[bytes, tuple[bytes, ...]] = {}
        """Parts of the requests whose responses were interrupted, by fingerprint."""
        self._sound_at: dict[bytes, float] = {}
        """When a request with a part of a prompt was last answered here."""
        self.observations: deque[EndObservation] = deque(maxlen=MAX_OBSERVATIONS)
        """This gateway's observations, to be reported to each planner."""
        self.cleared: deque[tuple[int, bytes]] = deque(maxlen=MAX_CLEARED)
        """Suspects that completed, with their sequence numbers among the observations."""
        self._planner_findings = NO_FINDINGS
        self._stored_findings = NO_FINDINGS
        self._listeners: list[t.Callable[[], None]] = []
        self.refused_count = 0
        """Number of requests that were blocked before being sent."""

    @property
    def planner_findings(self) -> PoisonFindings:
        """Findings received from the planner."""
        return self._planner_findings

    @planner_findings.setter
    def planner_findings(self, findings: PoisonFindings) -> None:
        has_more = bool(findings.blocked - self._planner_findings.blocked)
        self._planner_findings = findings
        self._notify(has_more)

    @property
    def stored_findings(self) -> PoisonFindings:
        """Findings read from the platform's store."""
        return self._stored_findings

    @stored_findings.setter
    def stored_findings(self, findings: PoisonFindings) -> None:
        has_more = bool(findings.blocked - self._stored_findings.blocked)
        self._stored_findings = findings
        self._notify(has_more)

    def subscribe(self, listener: t.Callable[[], None]) -> None:
        """Call `listener` whenever more requests or parts are blocked."""
        self._listeners.append(listener)

    def _notify(self, has_more: bool) -> None:
        if has_more:
            for listener in self._listeners:
                listener()

    @property
    def blocked(self) -> int:
        """Number of fingerprints that are blocked here."""
        return len(self.planner_findings.blocked | self.stored_findings.blocked)

    @property
    def suspects(self) -> int:
        """Number of fingerprints that one more end may block."""
        return len(self.planner_findings.suspects | self.stored_findings.suspects)

    def is_listed(self, fingerprint: bytes, parts: t.Sequence[bytes]) -> bool:
        """Return whether a request, or a part of its prompt, is blocked for all instances."""
        return self._is_blocked(fingerprint) or any(map(self._is_blocked, parts))

    def check(self, fingerprint: bytes, parts: t.Sequence[bytes] = ()) -> None:
        """Raise `Refused` if a request must not be sent to any replica now.

        Parameters
        ----------
        fingerprint : bytes
            Fingerprint of the request.
        parts : sequence of bytes
            Digests of the parts that its prompt shares with others.
        """
        if self._is_blocked(fingerprint):
            self.refused_count += 1
            raise Blocked("it crashes the replicas that run it", BLOCKED_RETRY_S)
        if any(map(self._is_blocked, parts)):
            self.refused_count += 1
            raise Blocked("a part of its prompt crashes replicas", BLOCKED_RETRY_S)
        authority = self._authority()
        if authority is BlockAuthority.PLANNER:
            return
        if fingerprint in self._ledger.blocked or any(
            part in self._ledger.parts.blocked for part in parts
        ):
            self.refused_count += 1
            raise Blocked("it crashed the replicas that ran it for this gateway", BLOCKED_RETRY_S)
        if authority is BlockAuthority.UNKNOWN and (
            self._is_suspect(fingerprint) or any(map(self._is_suspect_part, parts))
        ):
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
            parts = tuple(
                part for part in self._parts.get(fingerprint, ()) if not self._is_sound(part, now)
            )
            self.observations.append(
                EndObservation(self._number, end, fingerprint, weight, now, parts)
            )
            self._ledger.note_end(end, fingerprint, weight, now, parts)
        for blocked in self._ledger.parts.judge(now):
            log.info(
                "local ledger would block part of prompts",
                part=format_fingerprint(blocked.part),
                ends=blocked.ends,
            )
        for found in self._ledger.judge(now):
            log.info(
                "local ledger would block request",
                fingerprint=format_fingerprint(found.fingerprint),
                ends=found.ends,
            )
        while self.observations and now - self.observations[0].at > END_TTL_S:
            self.observations.popleft()
        self._hurry()

    @property
    def ledger(self) -> EndLedger:
        """Ledger of this gateway's own observations."""
        return self._ledger

    def note_parts(self, fingerprint: bytes, parts: tuple[bytes, ...]) -> None:
        """Record the parts of a request whose response was interrupted."""
        self._parts.pop(fingerprint, None)
        self._parts[fingerprint] = parts
        if len(self._parts) > MAX_OBSERVATIONS:
            del self._parts[next(iter(self._parts))]

    def note_sound(self, parts: t.Iterable[bytes]) -> None:
        """Record that a request with these parts was answered; acquits those under suspicion."""
        now = self._clock()
        for part in parts:
            self._sound_at.pop(part, None)
            self._sound_at[part] = now
            was_suspected = self._ledger.parts.note_sound(part, now)
            if was_suspected or self._is_listed(part):
                self._clear(part)
        while len(self._sound_at) > MAX_SOUND_PARTS:
            del self._sound_at[next(iter(self._sound_at))]

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
        if was_suspected or self._is_listed_suspect(fingerprint):
            self._clear(fingerprint)

    def _clear(self, fingerprint: bytes) -> None:
        """Report that a request, or a request with a part, was answered."""
        self._number += 1
        self.cleared.append((self._number, fingerprint))
        log.info("cleared", fingerprint=format_fingerprint(fingerprint))
        self._hurry()

    def _is_sound(self, part: bytes, now: float) -> bool:
        return now - self._sound_at.get(part, float("-inf")) < SOUND_S

    def _is_blocked(self, fingerprint: bytes) -> bool:
        return (
            fingerprint in self.planner_findings.blocked
            or fingerprint in self.stored_findings.blocked
        )

    def _is_listed_suspect(self, fingerprint: bytes) -> bool:
        return (
            fingerprint in self.planner_findings.suspects
            or fingerprint in self.stored_findings.suspects
        )

    def _is_listed(self, part: bytes) -> bool:
        return self._is_listed_suspect(part) or self._is_blocked(part)

    def _is_suspect(self, fingerprint: bytes) -> bool:
        if self._is_listed_suspect(fingerprint):
            return True
        return self._ledger.score(fingerprint) >= SUSPECT_SCORE

    def _is_suspect_part(self, part: bytes) -> bool:
        if self._is_sound(part, self._clock()):
            return False
        return self._is_listed_suspect(part) or part in self._ledger.parts.suspects()
