"""Which requests end the replicas that run them, found from what was there when replicas ended.

Load pattern: one request, or several, end each replica that begins them and come again and again,
through any gateway. Up to 96 others are at a replica when it ends; they are sent again, many of
them to where the same request goes next, so that some are at three ends or four as well. Replicas
also end for reasons of their own, several at once and again and again.

A request is blocked that was at three ends, unless another one explains them as well: who was
there at more of them is blocked first, and an end that it explains speaks against nobody else. Of
those that are alike the next end tells. A request that was answered whole is never blocked: what
ends each replica that begins it cannot be.
"""

from __future__ import annotations

import math
import typing as t
from collections import defaultdict
from dataclasses import dataclass, field

BEGUN = 1.0
"""Weight of a request that had begun and had sent nothing yet; of one whose answer comes whole,
too, of which nothing tells how far it had got."""
RUNNING = 0.6
"""Of one whose events came: where beginning it ends a replica, there are few or none. Five ends are
enough; at 0.75, four, twice as many harmless requests were blocked where engines end by themselves
every 0.6 s (10 of 21,366 instead of 3, nine engines, drawn at random)."""
WAITING = 0.5
"""Of one of which nothing had come where a stream's head is sent as it begins: most such wait. Six
ends are enough."""
BLOCK_SCORE = 3.0
"""A request with this score is blocked: three ends that nothing else explains. Two happen to a
request of a crowded batch whose engines end for reasons of their own."""
MIN_SCORE_LEAD = 0.5
"""No other request at the same ends may come as near to its score as this: the difference between
waiting and having begun, once."""
CERTAIN_BLOCK_SCORE = 5.0
"""With this score it is blocked whoever was there beside it."""
SUSPECT = 2.0
"""From this score on all gateways know of it: one further end may be enough."""
GATHER_S = 0.2
"""What gateways tell of one end comes within this time: they see it within milliseconds, and find
out by a round trip that it is one."""
REMEMBERED_S = 600.0
"""An end that blocked nobody is forgotten after this: a request that comes again comes within the
time of a few retries, or of a job that runs each minute or two."""
BLOCK_TTL_S = 3600.0
"""A request stays blocked this long: its caller has had to change it by then, or the engines have
been repaired, and one that still ends them costs three of them an hour."""
MAX_ENDS = 128
MAX_REQUESTS_PER_END = 96
"""Requests remembered of one end, those of the most weight: the slots of an engine."""
MAX_BLOCKED = 128
"""Each cost three engines, 384 in an hour: whoever has more to block has no engines left."""
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
        Its fingerprint.
    ends : int
        Ends at which it was.
    score : float
        What speaks against it.
    """

    mark: bytes
    ends: int
    score: float


@dataclass(slots=True, frozen=True)
class _Blocked:
    since: float
    weight: float
    """The most that it weighed at an end: how far it gets before it ends one."""


class EndLedger:
    """Keeps what was at replicas when they ended, and finds who ended them."""

    __slots__ = ("_blocked", "_ends")

    def __init__(self) -> None:
        self._ends: dict[str, _End] = {}
        self._blocked: dict[bytes, _Blocked] = {}

    @property
    def blocked(self) -> t.KeysView[bytes]:
        """The requests that are not to be sent any more."""
        return self._blocked.keys()

    def note_end(self, end: str, mark: bytes, weight: float, now: float) -> None:
        """Note that a request was at a replica when it ended.

        Parameters
        ----------
        end : str
            Names the life of the replica that ended; told again it counts once.
        mark : bytes
            The request.
        weight : float
            How much that says: `BEGUN`, `RUNNING` or `WAITING`.
        now : float
            When it ended, by the runtime's clock.
        """
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
        """Note that a request was answered whole; tell whether anything spoke against it."""
        was_known = self._blocked.pop(mark, None) is not None
        for end in self._ends.values():
            was_known |= end.weights.pop(mark, None) is not None
        return was_known

    def block(self, mark: bytes, weight: float, now: float) -> None:
        """Block a request that was found before, by another judge."""
        self._blocked.setdefault(mark, _Blocked(now, weight))
        while len(self._blocked) > MAX_BLOCKED:
            del self._blocked[next(iter(self._blocked))]

    def judge(self, now: float, gather_s: float = 0.0) -> list[BlockedRequest]:
        """Block those that are found now, and return them.

        Parameters
        ----------
        gather_s : float
            Ends of the last so many seconds do not count yet, in seconds.
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
        """Return whether there are ends that do not count yet."""
        return any(end.at > now - gather_s for end in self._ends.values())

    def score(self, mark: bytes) -> float:
        """Return what speaks against a request, 0 for one that is blocked."""
        return self._scores(math.inf).get(mark, 0.0)

    def suspects(self) -> dict[bytes, float]:
        """Return the requests that one further end may block, the most suspect first."""
        scores = self._scores(math.inf)
        marks = sorted(scores, key=lambda mark: -scores[mark])[:MAX_SUSPECTS]
        return {mark: scores[mark] for mark in marks if scores[mark] >= SUSPECT}

    def ends_of(self, mark: bytes) -> dict[str, float]:
        """Return the ends at which a request was, and what it weighed there."""
        return {name: end.weights[mark] for name, end in self._ends.items() if mark in end.weights}

    def weight_of(self, mark: bytes) -> float:
        """Return the most that a blocked request weighed at an end."""
        return self._blocked[mark].weight

    def _forget(self, now: float) -> None:
        """Forget what is too old, but no end of a blocked request: it explains others' scores."""
        for name, end in list(self._ends.items()):
            if now - end.at > REMEMBERED_S:
                del self._ends[name]
        for mark, blocked in list(self._blocked.items()):
            if now - blocked.since > BLOCK_TTL_S:
                del self._blocked[mark]

    def _find_culprit(self, scores: t.Mapping[bytes, float], until: float) -> bytes | None:
        """Return one with enough against it, if no other explains its ends as well."""
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
        """Return what speaks against each request that is not blocked."""
        scores: defaultdict[bytes, float] = defaultdict(float)
        for end in self._ends.values():
            if end.at > until or self._is_explained(end):
                continue
            for mark, weight in end.weights.items():
                scores[mark] += weight
        for mark in self._blocked:
            scores.pop(mark, None)
        return scores

    def _is_explained(self, end: _End) -> bool:
        """Return whether a blocked request was there, as far as it gets before it ends a replica."""
        return any(
            end.weights.get(mark, 0.0) >= blocked.weight for mark, blocked in self._blocked.items()
        )

    def _ends_of(self, mark: bytes) -> list[_End]:
        return [end for end in self._ends.values() if mark in end.weights]
