"""What many gateways saw of one replica's requests, and whether that says that it fails.

Load pattern: a replica fails 40% of its requests while its health check is good; beside it stand a
gateway, a link and a hall that are at fault themselves, and resets of many connections at one
moment, which say nothing of a replica.
"""

from __future__ import annotations

import math
import typing as t
from collections import Counter, deque
from dataclasses import dataclass

BASE_FAILURE_RATE = 0.1
"""Part of the requests that may fail at a replica of which nothing is to be said: services under
load and networks that lose packets come to that."""
PEER_FAILURE_FACTOR = 1.3
PEER_FAILURE_MARGIN = 0.05
"""Where the others of the service fail, so many times as many and this part more may: where all
fail alike, some of many estimates are that much above the others."""
MIN_EXCESS_FAILURE_RATE = 0.3
"""A failing replica fails this part of its requests more than that."""
MAX_FAILURE_RATE = 0.95
"""Nor more than this part: otherwise one answer would outweigh any number of failures."""
EJECT_SCORE = 5.0
"""Logarithm of how much likelier the evidence must be from a failing replica (150 times): four
failures with no answer between them, which 3 failures in 100 bring once in a million requests."""
MIN_FAILURES = 5
"""Without the worst source's, fewer failures than this cannot come to that score: each adds 1.4 at
most."""
MIN_SCORE_WITHOUT_HALL = 2.0
"""The same of what remains without the hall that says most, where there are several (seven times):
two failures with no answer between them."""
MIN_SOURCES = 3
"""Sources that must have seen failures: of two, one may be at fault and the other unlucky."""
WINDOW_OUTCOMES = 96
"""Outcomes by which a replica is judged: at 40% an estimate is right within 5 in 100."""
WINDOW_S = 10.0
"""How old they may be, in seconds: a replica with one request a second is judged as well."""
PRIOR_SUCCESSES = 4.0
"""Answers that are taken as seen before the first one, for a rate from little evidence."""
RESPONSE_TIME_HALF_LIFE_S = 2.0
"""Answers' times count half after this, in seconds."""
PRIOR_RESPONSE_TIMES = 4.0
"""Answers of the usual time that are taken as seen at each replica."""
NO_CAPACITY_TIME_FACTOR = 4.0
"""A request that was not run for want of room counts like an answer that took so many times as long
as usual: the caller's next try costs about that."""
ALL_HALLS = ""
"""Stands for a hall's name where all halls are meant."""


class Source(t.NamedTuple):
    """A gateway that tells how its requests ended, and where it stands."""

    name: str
    hall: str


class Ended(t.NamedTuple):
    """How requests ended: answered, or failed by the replica or on the way.

    Parameters
    ----------
    good, bad : int
        How many were answered and how many failed.
    took_s : float
        Time that the answered ones took together, in seconds; 0 if it is not told.
    full : int
        How many were not run for want of room.
    """

    good: int
    bad: int
    took_s: float = 0.0
    full: int = 0


class OutcomeBatch(t.NamedTuple):
    """What a source told at a moment."""

    at: float
    source: Source
    good: int
    bad: int


@dataclass(slots=True, frozen=True)
class FailureEvidence:
    """That a replica fails: seen by how many sources, since when, and in how many requests."""

    sources: int
    since: float
    good: int
    bad: int


def failure_rate(good: int, bad: int) -> float:
    """Return the part of requests that fail, cautiously from few of them."""
    return bad / (good + bad + PRIOR_SUCCESSES)


class ResponseTimes:
    """How long answers of a replica took lately, and how many requests it had no room for."""

    __slots__ = ("_at", "full", "number", "total_s")

    def __init__(self) -> None:
        self.total_s = 0.0
        self.number = 0.0
        self.full = 0.0
        self._at = 0.0

    def note(self, ended: Ended, now: float) -> None:
        """Take answers into account whose time is known."""
        self.settle(now)
        self.full += ended.full
        if ended.took_s:
            self.total_s += ended.took_s
            self.number += ended.good

    def settle(self, now: float) -> None:
        """Let what is older count less."""
        part = math.exp2(-(now - self._at) / RESPONSE_TIME_HALF_LIFE_S)
        self.total_s *= part
        self.number *= part
        self.full *= part
        self._at = now

    def mean_s(self, usual_s: float) -> float:
        """Return the mean time of an answer beside what is usual in its service, in seconds.

        That there was no room counts like an answer that took very long.
        """
        total_s = (
            self.total_s + (PRIOR_RESPONSE_TIMES + NO_CAPACITY_TIME_FACTOR * self.full) * usual_s
        )
        return total_s / (self.number + PRIOR_RESPONSE_TIMES + self.full)


class ReplicaOutcomes:
    """What sources told of one replica lately."""

    __slots__ = ("_batches", "_counts", "_failing", "times")

    def __init__(self) -> None:
        self._batches: deque[OutcomeBatch] = deque()
        self._counts: dict[str, list[int]] = {ALL_HALLS: [0, 0]}
        """Answered and failed, by hall and in all."""
        self._failing: Counter[Source] = Counter()
        """Sources that told of failures, and how many."""
        self.times = ResponseTimes()

    def note(self, batch: OutcomeBatch) -> None:
        """Take outcomes into account."""
        self._batches.append(batch)
        self._count(batch, 1)

    def _count(self, batch: OutcomeBatch, sign: int) -> None:
        total_counts = self._counts[ALL_HALLS]
        total_counts[0] += sign * batch.good
        total_counts[1] += sign * batch.bad
        if batch.bad:
            self._failing[batch.source] += sign * batch.bad
            if not self._failing[batch.source]:
                del self._failing[batch.source]
        hall = batch.source.hall
        if hall == ALL_HALLS:
            return
        hall_counts = self._counts.get(hall)
        if hall_counts is None:
            hall_counts = self._counts[hall] = [0, 0]
        hall_counts[0] += sign * batch.good
        hall_counts[1] += sign * batch.bad

    def trim(self, now: float) -> None:
        """Forget outcomes that are too old or too many."""
        while self._batches:
            oldest = self._batches[0]
            others = sum(self._counts[ALL_HALLS]) - oldest.good - oldest.bad
            if now - oldest.at <= WINDOW_S and others < WINDOW_OUTCOMES:
                return
            self._count(self._batches.popleft(), -1)

    def drop(self, hall: str) -> None:
        """Forget what sources of a hall, or all, told."""
        previous, self._batches = self._batches, deque()
        self._counts = {ALL_HALLS: [0, 0]}
        self._failing.clear()
        for batch in previous:
            if hall not in (ALL_HALLS, batch.source.hall):
                self.note(batch)

    def counts(self, hall: str = ALL_HALLS) -> tuple[int, int]:
        """Return how many requests were answered and failed, in a hall's view or in all."""
        good, bad = self._counts.get(hall, (0, 0))
        return good, bad

    def counts_since(self, since: float, hall: str = ALL_HALLS) -> tuple[int, int]:
        """Return the same of those that were told of since a moment."""
        if since == -math.inf:
            return self.counts(hall)
        good = bad = 0
        for batch in reversed(self._batches):
            if batch.at < since:
                break
            if hall in (ALL_HALLS, batch.source.hall):
                good += batch.good
                bad += batch.bad
        return good, bad

    @property
    def is_empty(self) -> bool:
        """Whether nothing was told lately."""
        return not self._batches

    @property
    def is_suspected(self) -> bool:
        """Whether several sources saw failures: those of one say nothing to the others."""
        return len(self._failing) > 1

    def sources(self) -> int:
        """Return how many sources told something."""
        return len({batch.source for batch in self._batches})

    def failing_sources(self) -> int:
        """Return how many sources saw failures."""
        return len(self._failing)

    def evidence(
        self, hall: str, span_s: float, has_halls: bool, base_rate: float = 0.0
    ) -> FailureEvidence | None:
        """Return evidence that the replica fails, None if there is not enough.

        The newest outcomes are looked at, as many of them as say most. They must do without the
        worst source, and where gateways of several halls tell something those of the others must
        agree with the worst hall: one gateway, link or hall that is at fault itself convinces
        nobody.

        Parameters
        ----------
        hall : str
            In whose view.
        span_s : float
            Failures must be spread over this, in seconds.
        has_halls : bool
            Whether gateways of several halls tell something.
        usual : float
            Part of the requests that fail at the others of its service, 0 to 1.
        """
        score = _FailureScore(
            max(BASE_FAILURE_RATE, PEER_FAILURE_FACTOR * base_rate + PEER_FAILURE_MARGIN)
        )
        newest_bad = None
        for batch in reversed(self._batches):
            if hall not in (ALL_HALLS, batch.source.hall):
                continue
            score.add(batch)
            if not batch.bad:
                continue
            newest_bad = batch.at if newest_bad is None else newest_bad
            if score.total < EJECT_SCORE or newest_bad - batch.at < span_s:
                continue
            if score.holds(has_halls and hall == ALL_HALLS):
                return FailureEvidence(len(score.failing), batch.at, score.good, score.bad)
        return None


class _FailureScore:
    """Scores by source, beside a replica that fails a part of its requests as is usual."""

    __slots__ = ("_bad_score", "_good_score", "_scores", "bad", "failing", "good", "total")

    def __init__(self, base_rate: float) -> None:
        base_rate = min(base_rate, MAX_FAILURE_RATE - PEER_FAILURE_MARGIN)
        failing = min(base_rate + MIN_EXCESS_FAILURE_RATE, MAX_FAILURE_RATE)
        self._bad_score = math.log(failing / base_rate)
        self._good_score = math.log((1 - failing) / (1 - base_rate))
        self._scores: dict[Source, float] = {}
        self.failing: set[Source] = set()
        self.total = 0.0
        self.good = 0
        self.bad = 0

    def add(self, batch: OutcomeBatch) -> None:
        score = self._good_score * batch.good + self._bad_score * batch.bad
        self.total += score
        self._scores[batch.source] = self._scores.get(batch.source, 0.0) + score
        self.good += batch.good
        self.bad += batch.bad
        if batch.bad:
            self.failing.add(batch.source)

    def holds(self, has_halls: bool) -> bool:
        """Return whether the score holds without the worst source, and without the worst hall."""
        if len(self.failing) < MIN_SOURCES:
            return False
        if self.total - max(self._scores.values()) < EJECT_SCORE:
            return False
        return not has_halls or self._without_worst_hall() >= MIN_SCORE_WITHOUT_HALL

    def _without_worst_hall(self) -> float:
        halls: dict[str, float] = {}
        for source, score in self._scores.items():
            halls[source.hall] = halls.get(source.hall, 0.0) + score
        return self.total - max(halls.values())
