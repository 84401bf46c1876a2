"""Which replicas are left alone, judged from what all gateways found of their requests there.

Load pattern: a replica fails 40% of its requests, or hangs, while its health check is good; it has
no queue and looks best to 85 gateways, each of which would have to learn it by failures of its
own. Others come and go several times a minute. In a bad hour all replicas of a service fail alike.
"""

from __future__ import annotations

import math
import statistics
import typing as t
from collections import Counter
from dataclasses import dataclass

from .outcomes import (
    ALL_HALLS,
    MIN_FAILURES,
    Ended,
    FailureEvidence,
    OutcomeBatch,
    ReplicaOutcomes,
    Source,
    failure_rate,
)
from .standings import EjectionPhase, ReplicaEjection

MIN_FAILURE_SPAN_S = 0.3
"""Failures must be spread over this much more than gateways gather what they tell, in seconds:
what broke at one moment, as when connections are reset, is over when it is heard of."""
JUDGEMENT_DELAY_INTERVALS = 1.0
"""Of a replica that nobody doubted nothing is told: failures come first, and answers once all have
heard of these and told in their turn. It is judged then, so many times the gathering later."""
MIN_PEER_OUTCOMES = 5
"""Outcomes of another replica of the service that say what is usual there."""
MAX_JUDGED_PER_STEP = 32
"""Of more suspects in a service those that fail most are judged now, the others a moment later: a
judgement takes a tenth of a millisecond."""
MAX_COMPARED_PEERS = 16
"""Others that a replica is compared with: their median is within a few in 100 of that of all."""
MAX_EJECTED_FRACTION = 0.5
"""Part of a service that may be ejected, in one hall's view as well as in that of all."""
SOURCE_ACTIVE_S = 5.0
"""A source that told something this lately may be the prober, and its hall is one of those that
are told apart."""


@dataclass(slots=True, frozen=True)
class Finding:
    """What is found of a replica.

    Parameters
    ----------
    replica : str
        Which.
    hall : str
        For gateways of this hall alone; empty for all.
    failing : float
        Part of the requests that failed lately, 0 to 1.
    held_back : float
        Part of the requests that are to go elsewhere: 1 while it is ejected, 0 if all is well.
    sources : int
        Gateways that the finding rests on.
    prober : str
        The gateway that may probe it now, empty for none.
    took_s : float
        Mean time of its answers, in seconds; 0 if unknown.
    """

    replica: str
    hall: str = ALL_HALLS
    failing: float = 0.0
    held_back: float = 0.0
    sources: int = 0
    prober: str = ""
    took_s: float = 0.0


@dataclass(slots=True, frozen=True)
class Change:
    """A replica was ejected, or has returned; for the log.

    Parameters
    ----------
    replica, hall : str
        Which, and for gateways of which hall; empty for all.
    ejected : bool
        Which of the two.
    sources, good, bad : int
        What the ejection rests on.
    strikes : float
        How often it was ejected, earlier times counting less.
    """

    replica: str
    hall: str
    ejected: bool
    sources: int
    good: int
    bad: int
    strikes: float


@dataclass(slots=True, frozen=True)
class _View:
    """In whose view replicas are judged, and how: see `ReplicaOutcomes.evidence`.

    Parameters
    ----------
    hall : str
        Of which hall; of all if empty.
    span_s : float
        Failures must be spread over this, in seconds.
    untold_s : float
        From the first doubt until answers are told as well as failures, in seconds.
    has_halls : bool
        Whether gateways of several halls tell something.
    """

    hall: str
    span_s: float
    untold_s: float
    has_halls: bool


class _Record:
    """All that is known of one replica."""

    __slots__ = ("doubted_since", "outcomes", "standings")

    def __init__(self) -> None:
        self.outcomes = ReplicaOutcomes()
        self.doubted_since = math.inf
        """Since when several sources have seen failures."""
        self.standings: dict[str, ReplicaEjection] = {}
        """By hall; that in the view of all under `ALL_HALLS`."""

    def note(self, source: Source, ended: Ended, now: float) -> None:
        """Take outcomes into account."""
        if ended.took_s or ended.full:
            self.outcomes.times.note(ended, now)
        if self.standings:
            for hall in (ALL_HALLS, source.hall):
                if hall in self.standings:
                    self.standings[hall].take(source, ended, now)
            if self.is_ejected(source.hall):
                return
        if ended.good or ended.bad:
            self.outcomes.note(OutcomeBatch(now, source, ended.good, ended.bad))

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known of it that counts."""
        return not self.standings and self.outcomes.is_empty and not self.outcomes.times.number

    def step(self, now: float) -> None:
        """Take the time that has passed into account."""
        self.outcomes.trim(now)
        if not self.outcomes.is_suspected:
            self.doubted_since = math.inf
        elif self.doubted_since == math.inf:
            self.doubted_since = now

    def is_ejected(self, hall: str) -> bool:
        """Return whether it is ejected in a hall's view."""
        return any(
            name in self.standings and self.standings[name].is_ejected for name in (ALL_HALLS, hall)
        )


class VerdictPool:
    """Pools what gateways tell of replicas, and finds which of these are to be left alone.

    Parameters
    ----------
    is_used : callable
        Whether requests run at a replica. If nothing is told of it then it does well.
    """

    __slots__ = ("_activity", "_is_used", "_records", "_sources")

    def __init__(self, is_used: t.Callable[[str], bool] = lambda replica: False) -> None:
        self._is_used = is_used
        self._records: dict[str, _Record] = {}
        self._sources: dict[Source, float] = {}
        """When each told something last."""
        self._activity: Counter[str] = Counter()
        """Requests that each told of since it was the prober last."""

    def hear(self, source: Source, requests: int, now: float) -> None:
        """Take over that a source has requests, wherever: it may be the prober."""
        self._sources[source] = now
        self._activity[source.name] += requests

    def note(self, replica: str, source: Source, ended: Ended, now: float) -> None:
        """Take over what a source tells of its requests at a replica."""
        self.hear(source, ended.good + ended.bad, now)
        record = self._records.get(replica)
        if record is None:
            record = self._records[replica] = _Record()
        record.note(source, ended, now)

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone or has begun another life."""
        self._records.pop(replica, None)

    def leave(self, name: str) -> None:
        """Forget a source that is not heard of any more."""
        for source in [source for source in self._sources if source.name == name]:
            del self._sources[source]
        self._activity.pop(name, None)

    def step(
        self, members: t.Mapping[str, t.Collection[str]], gather_s: float, now: float
    ) -> list[Change]:
        """Judge all replicas anew; return which were ejected and which have returned.

        Parameters
        ----------
        members : mapping of str to collection of str
            The replicas of each service; all others are forgotten.
        gather_s : float
            How long gateways gather what they tell, in seconds.
        now : float
            By the runtime's clock.
        """
        names = {name for replicas in members.values() for name in replicas}
        for record in self._records.values():
            record.step(now)
        self._records = {
            name: rec for name, rec in self._records.items() if name in names and not rec.is_empty
        }
        active_halls = (
            source.hall for source, at in self._sources.items() if now - at <= SOURCE_ACTIVE_S
        )
        halls = sorted(set(active_halls))
        changes: list[Change] = []
        span_s, untold_s = gather_s + MIN_FAILURE_SPAN_S, JUDGEMENT_DELAY_INTERVALS * gather_s
        has_halls = len(halls) > 1
        for replicas in members.values():
            for name in replicas:
                changes.extend(self._advance_ejections(name, now))
            max_ejected = int(MAX_EJECTED_FRACTION * len(replicas))
            for hall in (ALL_HALLS, *halls) if has_halls else (ALL_HALLS,):
                view = _View(hall, span_s, untold_s, has_halls)
                changes.extend(self._judge(view, list(replicas), max_ejected, now))
        return changes

    def findings(
        self, members: t.Mapping[str, t.Collection[str]], now: float
    ) -> t.Iterator[Finding]:
        """Yield what is found of each replica of which anything is known."""
        for replicas in members.values():
            known = [name for name in replicas if name in self._records]
            mean_s = self._mean_time_s(known, now)
            for name in known:
                record = self._records[name]
                if mean_s or record.standings or record.outcomes.counts()[1]:
                    yield self._health_overall(name, mean_s, now)
                    yield from self._health_by_hall(name, now)

    def _advance_ejections(self, name: str, now: float) -> t.Iterator[Change]:
        record = self._records.get(name)
        if record is None:
            return
        for hall, standing in record.standings.items():
            if standing.step(now):
                yield _change(name, hall, standing, False, now)

    def _judge(
        self, view: _View, members: t.Sequence[str], max_ejected: int, now: float
    ) -> t.Iterator[Change]:
        hall = view.hall
        known = [name for name in members if name in self._records]
        counts = {name: self._records[name].outcomes.counts(hall) for name in known}
        suspects = [name for name in known if counts[name][1] >= MIN_FAILURES]
        if not suspects:
            return
        ejected = sum(self._records[name].is_ejected(hall) for name in known)
        suspects.sort(key=lambda name: failure_rate(*counts[name]), reverse=True)
        for name in suspects[:MAX_JUDGED_PER_STEP]:
            if ejected >= max_ejected:
                return
            record = self._records[name]
            if record.is_ejected(hall) or now - record.doubted_since < view.untold_s:
                continue
            evidence = self._evidence(name, view, members)
            if evidence is None:
                continue
            ejected += 1
            standing = record.standings.setdefault(hall, ReplicaEjection())
            standing.eject(evidence, now)
            # After its return it is judged by what comes then.
            record.outcomes.drop(hall)
            yield _change(name, hall, standing, True, now)

    def _evidence(self, name: str, view: _View, members: t.Sequence[str]) -> FailureEvidence | None:
        """Return evidence that a replica fails, beside the others then and in the same moments.

        Callers whose requests fail wherever they are sent come in waves: what was usual some
        seconds ago is not by what a replica can be judged in one.
        """
        outcomes = self._records[name].outcomes
        others = self._peers(name, members)
        base_rate = max(
            self._peer_failure_rate(others, view.hall), self._peer_failure_rate(others, ALL_HALLS)
        )
        evidence = outcomes.evidence(view.hall, view.span_s, view.has_halls, base_rate)
        if evidence is None:
            return None
        since = evidence.since
        recent_rate = max(
            self._peer_failure_rate(others, view.hall, since),
            self._peer_failure_rate(others, ALL_HALLS, since),
        )
        if recent_rate <= base_rate:
            return evidence
        return outcomes.evidence(view.hall, view.span_s, view.has_halls, recent_rate)

    def _peer_failure_rate(
        self, others: t.Iterable[str], hall: str, since: float = -math.inf
    ) -> float:
        """Return which part of the requests fails at some replicas.

        The lower median: where half of them fail that is not usual. Of one that is used and that
        nobody but one source doubts, nothing but that source's failures is told: it does well.
        """
        rates = []
        for name in others:
            record = self._records.get(name)
            if self._is_used(name) and (record is None or not record.outcomes.is_suspected):
                rates.append(0.0)
                continue
            if record is None:
                continue
            good, bad = record.outcomes.counts_since(since, hall)
            if good + bad >= MIN_PEER_OUTCOMES:
                rates.append(failure_rate(good, bad))
        return statistics.median_low(rates) if rates else 0.0

    @staticmethod
    def _peers(name: str, members: t.Sequence[str]) -> t.Sequence[str]:
        """Return the next others of a service, in its order and from its beginning again."""
        at = members.index(name)
        return (*members[at + 1 :], *members[:at])[:MAX_COMPARED_PEERS]

    def _mean_time_s(self, known: t.Iterable[str], now: float) -> float:
        known_times = (self._records[name].outcomes.times for name in known)
        times = [item for item in known_times if item.number]
        for item in times:
            item.settle(now)
        number = sum(item.number for item in times)
        return sum(item.total_s for item in times) / number if number >= 1 else 0.0

    def _health_overall(self, name: str, mean_s: float, now: float) -> Finding:
        record = self._records[name]
        outcomes = record.outcomes
        took_s = outcomes.times.mean_s(mean_s) if mean_s else 0.0
        # One source's failures say nothing to the others.
        failing = failure_rate(*outcomes.counts()) if outcomes.is_suspected else 0.0
        standing = record.standings.get(ALL_HALLS)
        if standing is None or standing.phase is EjectionPhase.CLOSED:
            return Finding(name, ALL_HALLS, failing, 0.0, outcomes.sources(), "", took_s)
        return Finding(
            name,
            ALL_HALLS,
            failing,
            standing.held_back(now),
            standing.evidence.sources,
            standing.prober(lambda last: self._next_prober(ALL_HALLS, last, now), now),
            took_s,
        )

    def _health_by_hall(self, name: str, now: float) -> t.Iterator[Finding]:
        for hall, standing in self._records[name].standings.items():
            if hall == ALL_HALLS or standing.phase is EjectionPhase.CLOSED:
                continue
            choose = lambda last, hall=hall: self._next_prober(hall, last, now)  # noqa: E731
            yield Finding(
                name,
                hall,
                failure_rate(*self._records[name].outcomes.counts(hall)),
                standing.held_back(now),
                standing.evidence.sources,
                standing.prober(choose, now),
            )

    def _next_prober(self, hall: str, last: str, now: float) -> str:
        """Return the source that told of most requests since it was the prober."""
        active = [
            source.name
            for source, at in self._sources.items()
            if now - at <= SOURCE_ACTIVE_S
            and hall in (ALL_HALLS, source.hall)
            and source.name != last
        ]
        if not active:
            return last
        chosen = max(sorted(active), key=lambda name: self._activity[name])
        self._activity[chosen] = 0
        return chosen


def _change(name: str, hall: str, standing: ReplicaEjection, ejected: bool, now: float) -> Change:
    seen = standing.evidence
    strikes = standing.strikes(now)
    return Change(name, hall, ejected, seen.sources, seen.good, seen.bad, strikes)
