"""Detects requests that end the replicas that run them, from the requests present at each end.

Load pattern: one or several requests end each replica that starts them, and arrive repeatedly
through any gateway. Up to 96 other requests are at a replica when it ends. They are retried, many
of them at the replica that receives the same faulty request next, so that some are present at three
or four ends. Replicas also end for other reasons, several at once and repeatedly.

A request is blocked after it was present at three ends, unless another request explains them as
well: the one present at more ends is blocked first, and an end that it explains does not count
against others. If several are equal, the next end decides. A request that was answered completely
is never blocked, since it cannot be one that ends every replica that starts it.
"""

from __future__ import annotations

import math
import typing as t
from collections import defaultdict
from dataclasses import dataclass, field

from .poison_parts import PartLedger, PartSighting

STARTED_WEIGHT = 1.0
"""Weight of a request that had started and sent no event yet; also of one with an unstreamed
response, whose progress is unknown."""
STREAMING_WEIGHT = 0.6
"""Weight of a request that had sent events; one that ends a replica by starting sends few or none.
Five ends suffice to block it. At 0.75, where four suffice, twice as many harmless requests were
blocked with engines that end by themselves every 0.6 s (10 of 21,366 instead of 3, nine engines,
random requests)."""
QUEUED_WEIGHT = 0.5
"""Weight of a request without a response head where streams send it on start, as most such requests
are still queued. Six ends suffice to block it."""
BLOCK_SCORE = 3.0
"""Minimum score of a blocked request: three ends that nothing else explains. Two occur to requests
of a full batch whose engines end for other reasons."""
MIN_SCORE_LEAD = 0.5
"""Minimum lead over the score of all other requests at the same ends: the difference between a
queued and a started request at one end."""
CERTAIN_BLOCK_SCORE = 5.0
"""Score at which a request is blocked regardless of the other requests at its ends."""
SUSPECT_SCORE = 2.0
"""Score from which a request is reported to all gateways, since one more end may suffice."""
END_GATHER_S = 0.2
"""Time within which all gateways report the requests of one end, in seconds. They detect it within
milliseconds and confirm it with a round trip."""
END_TTL_S = 600.0
"""Time after which an end is forgotten, in seconds. Repeated requests arrive within the time of a
few retries, or of a job that runs every minute or two."""
BLOCK_TTL_S = 3600.0
"""Time for which a request stays blocked, in seconds. By then its caller has changed it or the
engines have been repaired; otherwise it costs three engines per hour."""
MAX_ENDS = 128
MAX_REQUESTS_PER_END = 96
"""Maximum number of requests stored per end, those of the greatest weight: an engine's slots."""
MAX_BLOCKED = 128
"""Maximum number of blocked requests. Each costs three engines, together 384 per hour, so that a
service with more of them has no engines left."""
MAX_SUSPECTS = 64


@dataclass(slots=True)
class _End:
    at: float
    weights: dict[bytes, float] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class BlockedRequest:
    """A request that is blocked from now on.

    Parameters
    ----------
    mark : bytes
        Fingerprint of the request.
    ends : int
        Number of ends at which it was present.
    score : float
        Sum of its weights at ends that no other request explains.
    """

    fingerprint: bytes
    ends: int
    score: float


@dataclass(slots=True, frozen=True)
class _Blocked:
    since: float
    weight: float
    """Greatest weight at an end: the progress that it makes before it ends a replica."""


class EndLedger:
    """Stores the requests present when replicas ended, and detects those that caused the ends.

    Ends that a blocked part of prompts explains count against no request.
    """

    __slots__ = ("_blocked", "_ends", "parts")

    def __init__(self) -> None:
        self.parts = PartLedger()
        """The parts of the prompts of these requests."""
        self._ends: dict[str, _End] = {}
        self._blocked: dict[bytes, _Blocked] = {}

    @property
    def blocked(self) -> t.KeysView[bytes]:
        """Fingerprints of the requests that must not be sent."""
        return self._blocked.keys()

    def note_end(
        self, end: str, mark: bytes, weight: float, now: float, parts: t.Sequence[bytes] = ()
    ) -> None:
        """Record that a request was present when a replica ended.

        Parameters
        ----------
        end : str
            Identifies the incarnation of the replica that ended; repeated reports count once.
        mark : bytes
            Fingerprint of the request.
        weight : float
            Strength of the evidence: one of the weights above.
        now : float
            Time of the end, by the runtime's clock.
        parts : sequence of bytes
            Digests of the parts that its prompt shares with others, in order.
        """
        for position, part in enumerate(parts):
            self.parts.note_end(end, PartSighting(part, mark, position, weight), now)
        crashing = self._ends.get(end)
        if crashing is None:
            crashing = self._ends[end] = _End(now)
            while len(self._ends) > MAX_ENDS:
                del self._ends[next(iter(self._ends))]
        weights = crashing.weights
        weights[mark] = max(weight, weights.get(mark, 0.0))
        if len(weights) > MAX_REQUESTS_PER_END:
            del weights[min(weights, key=weights.__getitem__)]

    def note_served(self, mark: bytes) -> bool:
        """Record that a request was answered completely; return whether there was evidence against
        it.
        """
        was_known = self._blocked.pop(mark, None) is not None
        for end in self._ends.values():
            was_known |= end.weights.pop(mark, None) is not None
        return was_known

    def block(self, mark: bytes, weight: float, now: float) -> None:
        """Block a request that another planner detected."""
        self._blocked.setdefault(mark, _Blocked(now, weight))
        while len(self._blocked) > MAX_BLOCKED:
            del self._blocked[next(iter(self._blocked))]

    def judge(self, now: float, gather_s: float = 0.0) -> list[BlockedRequest]:
        """Block the requests that are detected now, and return them.

        Parameters
        ----------
        now : float
            Current time, by the runtime's clock.
        gather_s : float
            Ends more recent than this are not counted yet, in seconds.
        """
        self._forget(now)
        findings: list[BlockedRequest] = []
        while True:
            scores = self._scores(now - gather_s)
            crashing = [mark for mark, score in scores.items() if score >= CERTAIN_BLOCK_SCORE]
            if not crashing:
                best = self._find_culprit(scores, now - gather_s)
                if best is None:
                    return findings
                crashing = [best]
            for mark in crashing:
                weights = [end.weights[mark] for end in self._ends_of(mark)]
                findings.append(BlockedRequest(mark, len(weights), scores[mark]))
                self.block(mark, max(weights), now)

    def is_gathering(self, now: float, gather_s: float) -> bool:
        """Return whether there are ends that are not counted yet."""
        return any(end.at > now - gather_s for end in self._ends.values())

    def score(self, mark: bytes) -> float:
        """Return the score of a request, 0 for a blocked one."""
        return self._scores(math.inf).get(mark, 0.0)

    def suspects(self) -> dict[bytes, float]:
        """Return the scores of the requests that one more end may block, the highest first."""
        scores = self._scores(math.inf)
        marks = sorted(scores, key=lambda mark: -scores[mark])[:MAX_SUSPECTS]
        return {mark: scores[mark] for mark in marks if scores[mark] >= SUSPECT_SCORE}

    def ends_of(self, mark: bytes) -> dict[str, float]:
        """Return the ends at which a request was present, with its weight at each."""
        return {name: end.weights[mark] for name, end in self._ends.items() if mark in end.weights}

    def weight_of(self, mark: bytes) -> float:
        """Return the greatest weight of a blocked request at an end."""
        return self._blocked[mark].weight

    def _forget(self, now: float) -> None:
        """Remove expired ends and blocked requests; ends of blocked requests explain others'
        scores.
        """
        for name, end in list(self._ends.items()):
            if now - end.at > END_TTL_S:
                del self._ends[name]
        for mark, blocked in list(self._blocked.items()):
            if now - blocked.since > BLOCK_TTL_S:
                del self._blocked[mark]

    def _find_culprit(self, scores: t.Mapping[bytes, float], until: float) -> bytes | None:
        """Return a request with a sufficient score, if no other explains its ends as well."""
        candidates = [mark for mark, score in scores.items() if score >= BLOCK_SCORE]
        for mark in sorted(candidates, key=lambda mark: -scores[mark]):
            others = {
                other_mark
                for end in self._ends_of(mark)
                if end.at <= until
                for other_mark in end.weights
            }
            others -= {mark, *self._blocked}
            if all(
                scores.get(other_mark, 0.0) <= scores[mark] - MIN_SCORE_LEAD
                for other_mark in others
            ):
                return mark
        return None

    def _scores(self, until: float) -> dict[bytes, float]:
        """Return the scores of the requests that are not blocked."""
        scores: defaultdict[bytes, float] = defaultdict(float)
        for name, end in self._ends.items():
            if end.at > until or self._is_explained(end) or self.parts.explains(name):
                continue
            for mark, weight in end.weights.items():
                scores[mark] += weight
        for mark in self._blocked:
            scores.pop(mark, None)
        return scores

    def _is_explained(self, end: _End) -> bool:
        """Return whether a blocked request was there and had progressed far enough to end the
        replica.
        """
        return any(
            end.weights.get(mark, 0.0) >= blocked.weight for mark, blocked in self._blocked.items()
        )

    def _ends_of(self, mark: bytes) -> list[_End]:
        return [end for end in self._ends.values() if mark in end.weights]
