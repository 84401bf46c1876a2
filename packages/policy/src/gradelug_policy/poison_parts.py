"""Detects parts of prompts that end the replicas which begin an answer on them.

Load pattern: requests that share one part of their prompts, and nothing else that sound requests
lack, end each replica that begins to answer them. They arrive several a second through any gateway,
no two alike, so that each of them is present at one or two ends only. Sound requests share the
first part with them, and run or wait at the same replicas.

A part is blocked after it was present at three ends in at least two requests, unless another part
explains these ends as well. Of two parts that do, the later one is blocked: prompts that share it
are fewer, and if it is the wrong one, the next ends occur without it. An answer to any request with
a part acquits the part.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, field

MIN_REQUESTS = 2
"""Minimum number of different requests with a part at its ends; a single one is blamed itself."""
MIN_SCORE = 3.0
"""Minimum score of a blocked part: three ends in requests that had begun."""
MIN_LEAD = 0.5
"""Minimum lead over the parts that are not more general."""
SUSPECT_SCORE = 1.0
"""Score from which a part is reported to all gateways: two further ends may follow in a moment, and
gateways that have seen it answered can acquit it until then."""
SOUND_S = 10.0
"""Time after an answer within which its parts are not suspected, in seconds. Parts of many requests
are answered several times a second."""
ACQUIT_AFTER_S = 0.5
"""Time from the first event of a stream until its parts are acquitted, in seconds; replicas end
about 0.1 s after they begin an answer."""
MAX_PARTS_PER_END = 64
"""Maximum number of parts stored per end, those of the greatest weight. Most parts of the requests
at an engine were answered lately and are not stored."""
MAX_ENDS = 128
MAX_BLOCKED = 64
MAX_SUSPECTS = 64
END_TTL_S = 600.0
BLOCK_TTL_S = 3600.0
"""Time for which a part stays blocked, in seconds; see `poison.BLOCK_TTL_S`."""
MAX_REQUESTS = 8
"""Maximum number of requests that are remembered with a part at an end."""


@dataclass(slots=True, frozen=True)
class PartSighting:
    """A part of a prompt that was present when a replica ended.

    Parameters
    ----------
    part : bytes
        Digest of the part.
    request : bytes
        Fingerprint of the request that held it.
    position : int
        Position in the request's prompt, 0 for the first part.
    weight : float
        Strength of the evidence, see `poison`.
    """

    part: bytes
    request: bytes
    position: int
    weight: float


@dataclass(slots=True)
class _Presence:
    """A part at one end."""

    weight: float = 0.0
    position: int = 0
    requests: set[bytes] = field(default_factory=set)


@dataclass(slots=True)
class _End:
    at: float
    parts: dict[bytes, _Presence] = field(default_factory=dict)


@dataclass(slots=True)
class _Evidence:
    """What counts against a part, over all ends."""

    score: float = 0.0
    position: int = 0
    requests: set[bytes] = field(default_factory=set)
    ends: list[_End] = field(default_factory=list)

    def add(self, end: _End, presence: _Presence) -> None:
        self.score += presence.weight
        self.position = max(self.position, presence.position)
        self.requests |= presence.requests
        self.ends.append(end)


@dataclass(slots=True, frozen=True)
class BlockedPart:
    """A part that is blocked from now on.

    Parameters
    ----------
    part : bytes
        Digest of the part.
    ends, requests : int
        Numbers of ends and of different requests in which it was present.
    score : float
        Sum of its weights at ends that no blocked part explains.
    """

    part: bytes
    ends: int
    requests: int
    score: float


class PartLedger:
    """Stores the parts of prompts that were present when replicas ended, and detects the causes."""

    __slots__ = ("_blocked_since", "_ends", "_sound_at")

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}
        self._blocked_since: dict[bytes, float] = {}
        self._sound_at: dict[bytes, float] = {}
        """When requests with a part that was suspected were answered."""

    @property
    def blocked(self) -> t.KeysView[bytes]:
        """Digests of the parts whose requests must not be sent."""
        return self._blocked_since.keys()

    def note_end(self, end: str, sighting: PartSighting, now: float) -> None:
        """Record that a part was present when a replica ended.

        Parameters
        ----------
        end : str
            Identifies the incarnation of the replica that ended.
        sighting : PartSighting
            The part and its request.
        now : float
            Time of the end, by the runtime's clock.
        """
        if now - self._sound_at.get(sighting.part, float("-inf")) < SOUND_S:
            return
        found = self._ends.setdefault(end, _End(now))
        while len(self._ends) > MAX_ENDS:
            del self._ends[next(iter(self._ends))]
        presence = found.parts.setdefault(sighting.part, _Presence())
        presence.weight = max(presence.weight, sighting.weight)
        presence.position = max(presence.position, sighting.position)
        if len(presence.requests) < MAX_REQUESTS:
            presence.requests.add(sighting.request)
        if len(found.parts) > MAX_PARTS_PER_END:
            del found.parts[min(found.parts, key=lambda part: found.parts[part].weight)]

    def note_sound(self, part: bytes, now: float) -> bool:
        """Record that a request with a part was answered; return whether the part was suspected."""
        was_known = self._blocked_since.pop(part, None) is not None
        for end in self._ends.values():
            was_known |= end.parts.pop(part, None) is not None
        if was_known:
            self._sound_at[part] = now
        return was_known

    def block(self, part: bytes, now: float) -> None:
        """Block a part that another planner detected."""
        self._blocked_since.setdefault(part, now)
        while len(self._blocked_since) > MAX_BLOCKED:
            del self._blocked_since[next(iter(self._blocked_since))]

    def judge(self, now: float, gather_s: float = 0.0) -> list[BlockedPart]:
        """Block the parts that are detected now, and return them.

        Parameters
        ----------
        now : float
            Current time, by the runtime's clock.
        gather_s : float
            Ends more recent than this are not counted yet, in seconds.
        """
        self._forget(now)
        findings: list[BlockedPart] = []
        while (part := self._find_cause(now - gather_s)) is not None:
            found = self._gather_evidence(now - gather_s)[part]
            findings.append(BlockedPart(part, len(found.ends), len(found.requests), found.score))
            self.block(part, now)
        return findings

    def explains(self, end: str) -> bool:
        """Return whether a blocked part was present at an end."""
        found = self._ends.get(end)
        return found is not None and self._is_explained(found)

    def suspects(self) -> dict[bytes, float]:
        """Return the scores of the parts that further ends may block, the highest first."""
        scores = {
            part: found.score
            for part, found in self._gather_evidence(float("inf")).items()
            if found.score >= SUSPECT_SCORE
        }
        parts = sorted(scores, key=lambda part: -scores[part])[:MAX_SUSPECTS]
        return {part: scores[part] for part in parts}

    def sightings(self, part: bytes) -> t.Iterator[tuple[str, PartSighting]]:
        """Yield the ends that count against a part, and its requests there."""
        for name, end in self._ends.items():
            presence = end.parts.get(part)
            if presence is None or self._is_explained(end):
                continue
            for request in presence.requests:
                yield name, PartSighting(part, request, presence.position, presence.weight)

    def _forget(self, now: float) -> None:
        for name in [name for name, end in self._ends.items() if now - end.at > END_TTL_S]:
            del self._ends[name]
        self._blocked_since = {
            part: since for part, since in self._blocked_since.items() if now - since <= BLOCK_TTL_S
        }
        self._sound_at = {part: at for part, at in self._sound_at.items() if now - at < SOUND_S}

    def _find_cause(self, until: float) -> bytes | None:
        """Return a part whose ends no other part explains as well, the most specific one first."""
        evidence = self._gather_evidence(until)
        causes = [
            (found.position, found.score, part)
            for part, found in evidence.items()
            if found.score >= MIN_SCORE
            and len(found.requests) >= MIN_REQUESTS
            and not self._has_rival(part, evidence)
        ]
        return max(causes)[2] if causes else None

    def _has_rival(self, part: bytes, evidence: t.Mapping[bytes, _Evidence]) -> bool:
        """Return whether a part that is not more general explains the same ends about as well."""
        own = evidence[part]
        # All parts at these ends are in the evidence: no blocked part explains the ends.
        return any(
            evidence[other].score > own.score - MIN_LEAD
            and evidence[other].position >= own.position
            and other != part
            for end in own.ends
            for other in end.parts
        )

    def _gather_evidence(self, until: float) -> dict[bytes, _Evidence]:
        """Return the evidence against each part, from the ends that no blocked part explains."""
        evidence: dict[bytes, _Evidence] = {}
        for end in self._ends.values():
            if end.at > until or self._is_explained(end):
                continue
            for part, presence in end.parts.items():
                evidence.setdefault(part, _Evidence()).add(end, presence)
        return evidence

    def _is_explained(self, end: _End) -> bool:
        return not end.parts.keys().isdisjoint(self._blocked_since)
