"""Collects the outcomes of requests at one replica from many gateways and detects that it fails.

Load pattern: a replica fails 40% of its requests while its health check succeeds. At the same time
a gateway, a network link or a hall is faulty itself, or many connections are reset at one moment,
neither of which is evidence against a replica.
"""

from __future__ import annotations

import math
import typing as t
from collections import Counter, deque
from dataclasses import dataclass

BASE_FAILURE_RATE = 0.1
"""Failure rate up to which a replica counts as healthy: services under load and networks with
packet loss reach it."""
PEER_FAILURE_FACTOR = 1.3
PEER_FAILURE_MARGIN = 0.05
"""A replica's accepted failure rate is `PEER_FAILURE_FACTOR` times that of its peers plus this
margin. Where all replicas fail alike, some of many estimates lie that far above the others."""
MIN_EXCESS_FAILURE_RATE = 0.3
"""A failing replica's failure rate is assumed to exceed the accepted one by this much."""
MAX_FAILURE_RATE = 0.95
"""Upper bound of the failure rate assumed for a failing replica. Without it, one success would
outweigh any number of failures."""
EJECT_SCORE = 5.0
"""Minimum log-likelihood ratio, failing to healthy, at which a replica is ejected (a ratio of 150):
four failures without a success between them, which a failure rate of 3% produces once in a
million requests."""
MIN_FAILURES = 5
"""Fewer failures than this cannot reach `EJECT_SCORE` without the source with the highest score,
since each adds 1.4 at most."""
MIN_SCORE_WITHOUT_HALL = 2.0
"""Minimum log-likelihood ratio without the hall with the highest score, if there are several halls
(a ratio of seven): two failures without a success between them."""
MIN_SOURCES = 3
"""Minimum number of sources with failures: of two, one may be faulty and the other unlucky."""
WINDOW_OUTCOMES = 96
"""Number of most recent outcomes that are evaluated: at a failure rate of 40% the estimate is
within 5 percentage points."""
WINDOW_S = 10.0
"""Maximum age of evaluated outcomes, in seconds; long enough for a replica with one request per
second."""
PRIOR_SUCCESSES = 4.0
"""Successes added to each estimate, so that few outcomes do not yield a high failure rate."""
RESPONSE_TIME_HALF_LIFE_S = 2.0
"""Half-life of the weight of response times, in seconds."""
PRIOR_RESPONSE_TIMES = 4.0
"""Number of responses of the service's mean time that are added to each replica's estimate."""
NO_CAPACITY_TIME_FACTOR = 4.0
"""A request rejected for lack of capacity counts as a response that took this many times the usual
time, which is about the cost of the caller's retry."""
ALL_HALLS = ""
"""Used in place of a hall's name for all halls together."""


class Source(t.NamedTuple):
    """A gateway that reports outcomes of its requests, and its hall."""

    name: str
    hall: str


class OutcomeCounts(t.NamedTuple):
    """Numbers of requests that ended, by outcome: success, or failure at the replica or on the way.

    Parameters
    ----------
    good, bad : int
        Number of successes and of failures.
    took_s : float
        Total response time of the successes, in seconds; 0 if not reported.
    full : int
        Number of requests rejected for lack of capacity.
    """

    good: int
    bad: int
    took_s: float = 0.0
    full: int = 0


class OutcomeBatch(t.NamedTuple):
    """Outcomes that a source reported at one time."""

    at: float
    source: Source
    good: int
    bad: int


@dataclass(slots=True, frozen=True)
class FailureEvidence:
    """Evidence that a replica fails: number of sources with failures, start time and outcomes."""

    sources: int
    since: float
    good: int
    bad: int


def failure_rate(good: int, bad: int) -> float:
    """Return the estimated failure rate, biased towards 0 while there are few outcomes."""
    return bad / (good + bad + PRIOR_SUCCESSES)


class ResponseTimes:
    """Recent response times of a replica, and its rejections for lack of capacity."""

    __slots__ = ("_at", "full", "number", "total_s")

    def __init__(self) -> None:
        self.total_s = 0.0
        self.number = 0.0
        self.full = 0.0
        self._at = 0.0

    def note(self, ended: OutcomeCounts, now: float) -> None:
        """Add successes with a known time, and rejections."""
        self.settle(now)
        self.full += ended.full
        if ended.took_s:
            self.total_s += ended.took_s
            self.number += ended.good

    def settle(self, now: float) -> None:
        """Decay the weight of earlier values."""
        part = math.exp2(-(now - self._at) / RESPONSE_TIME_HALF_LIFE_S)
        self.total_s *= part
        self.number *= part
        self.full *= part
        self._at = now

    def mean_s(self, usual_s: float) -> float:
        """Return the mean response time in seconds, weighted with the usual one of the service.

        A rejection for lack of capacity counts as a response that took very long.
        """
        total_s = (
            self.total_s + (PRIOR_RESPONSE_TIMES + NO_CAPACITY_TIME_FACTOR * self.full) * usual_s
        )
        return total_s / (self.number + PRIOR_RESPONSE_TIMES + self.full)


class ReplicaOutcomes:
    """Recently reported outcomes of requests at one replica."""

    __slots__ = ("_batches", "_counts", "_failing", "times")

    def __init__(self) -> None:
        self._batches: deque[OutcomeBatch] = deque()
        self._counts: dict[str, list[int]] = {ALL_HALLS: [0, 0]}
        """Number of successes and failures, by hall and under `ALL_HALLS`."""
        self._failing: Counter[Source] = Counter()
        """Number of failures by source, for sources that reported any."""
        self.times = ResponseTimes()

    def note(self, batch: OutcomeBatch) -> None:
        """Add a batch of outcomes."""
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
        """Remove outcomes that are too old or exceed the window."""
        while self._batches:
            oldest = self._batches[0]
            others = sum(self._counts[ALL_HALLS]) - oldest.good - oldest.bad
            if now - oldest.at <= WINDOW_S and others < WINDOW_OUTCOMES:
                return
            self._count(self._batches.popleft(), -1)

    def drop(self, hall: str) -> None:
        """Remove the outcomes reported by sources of a hall, or of all halls."""
        previous, self._batches = self._batches, deque()
        self._counts = {ALL_HALLS: [0, 0]}
        self._failing.clear()
        for batch in previous:
            if hall not in (ALL_HALLS, batch.source.hall):
                self.note(batch)

    def counts(self, hall: str = ALL_HALLS) -> tuple[int, int]:
        """Return the number of successes and failures, reported by one hall or by all."""
        good, bad = self._counts.get(hall, (0, 0))
        return good, bad

    def counts_since(self, since: float, hall: str = ALL_HALLS) -> tuple[int, int]:
        """Return the number of successes and failures reported at or after a time."""
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
        """Whether there are no recent outcomes."""
        return not self._batches

    @property
    def is_suspected(self) -> bool:
        """Whether several sources reported failures; those of one source may be its own fault."""
        return len(self._failing) > 1

    def sources(self) -> int:
        """Return the number of sources with recent outcomes."""
        return len({batch.source for batch in self._batches})

    def failing_sources(self) -> int:
        """Return the number of sources that reported failures."""
        return len(self._failing)

    def evidence(
        self, hall: str, span_s: float, has_halls: bool, base_rate: float = 0.0
    ) -> FailureEvidence | None:
        """Return evidence that the replica fails, None if there is not enough.

        The most recent outcomes are evaluated, as many of them as give the strongest evidence. The
        evidence must hold without the source with the highest score and, where gateways of several
        halls report outcomes, without the hall with the highest score. So a single faulty gateway,
        network link or hall does not suffice.

        Parameters
        ----------
        hall : str
            Hall whose sources are evaluated, or `ALL_HALLS`.
        span_s : float
            Minimum time between the first and the last failure, in seconds.
        has_halls : bool
            Whether gateways of several halls report outcomes.
        usual : float
            Failure rate of the other replicas of the service, 0 to 1.
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
    """Log-likelihood ratios of a failing to a healthy replica, by source."""

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
        """Return whether the score suffices without the highest source, and without the highest
        hall.
        """
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
