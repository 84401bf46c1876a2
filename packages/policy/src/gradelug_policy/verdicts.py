"""Detects failing replicas by the outcomes that all gateways report, and ejects them.

Load pattern: a replica fails 40% of its requests, or hangs, while its health check succeeds. It has
no queue, so all 85 gateways prefer it, and each would have to detect the fault by failures of its
own. Other replicas fail and recover several times a minute. At times all replicas of a service fail
alike.
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
    FailureEvidence,
    OutcomeBatch,
    OutcomeCounts,
    ReplicaOutcomes,
    Source,
    failure_rate,
)
from .standings import EjectionPhase, ReplicaEjection

MIN_FAILURE_SPAN_S = 0.3
"""Minimum time span of failures, in seconds, in addition to the reporting interval of gateways.
Simultaneous failures, as when connections are reset, are over when they are reported."""
JUDGEMENT_DELAY_INTERVALS = 1.0
"""Delay of a judgement in reporting intervals. Outcomes of an unsuspected replica are not reported:
failures arrive first, and successes after all gateways have learned that it is suspected."""
MIN_PEER_OUTCOMES = 5
"""Minimum number of outcomes of another replica for its failure rate to be compared."""
MAX_JUDGED_PER_STEP = 32
"""Maximum number of suspects per service and step, those of the highest failure rate first, since
one evaluation takes 0.1 ms."""
MAX_COMPARED_PEERS = 16
"""Maximum number of replicas compared with; their median is within a few percent of that of all."""
MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a service that may be ejected, both for one hall and for all."""
SOURCE_ACTIVE_S = 5.0
"""Time since its last report for which a source may be the prober and its hall is evaluated
separately, in seconds."""


@dataclass(slots=True, frozen=True)
class ReplicaHealth:
    """Health of a replica as found from reported outcomes.

    Parameters
    ----------
    replica : str
        Name of the replica.
    hall : str
        Hall whose gateways it applies to; empty for all.
    failing : float
        Recent failure rate, 0 to 1.
    held_back : float
        Fraction of the requests to divert: 1 while ejected, 0 for a healthy replica.
    sources : int
        Number of gateways that reported the outcomes.
    prober : str
        Gateway that may probe the replica now, empty for none.
    took_s : float
        Mean response time, in seconds; 0 if unknown.
    """

    replica: str
    hall: str = ALL_HALLS
    failing: float = 0.0
    diverted_fraction: float = 0.0
    sources: int = 0
    prober: str = ""
    mean_time_s: float = 0.0


@dataclass(slots=True, frozen=True)
class EjectionChange:
    """Ejection or return of a replica, for the log.

    Parameters
    ----------
    replica, hall : str
        Name of the replica, and hall whose gateways it applies to; empty for all.
    ejected : bool
        True for an ejection, False for a return.
    sources, good, bad : int
        Gateways, successes and failures that the ejection is based on.
    strikes : float
        Number of ejections, weighted by age.
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
    """Sources by which replicas are judged, and parameters; see `ReplicaOutcomes.evidence`.

    Parameters
    ----------
    hall : str
        Hall whose sources are evaluated; empty for all.
    span_s : float
        Minimum time span of failures, in seconds.
    report_delay_s : float
        Time from the first suspicion until successes are reported like failures, in seconds.
    has_halls : bool
        Whether gateways of several halls report outcomes.
    """

    hall: str
    span_s: float
    report_delay_s: float
    has_halls: bool


class _Record:
    """Outcomes and ejections of one replica."""

    __slots__ = ("suspected_since", "outcomes", "ejections")

    def __init__(self) -> None:
        self.outcomes = ReplicaOutcomes()
        self.suspected_since = math.inf
        """Time since when several sources have reported failures."""
        self.ejections: dict[str, ReplicaEjection] = {}
        """Ejections by hall; under `ALL_HALLS` the one for all gateways."""

    def note(self, source: Source, ended: OutcomeCounts, now: float) -> None:
        """Add outcomes."""
        if ended.took_s or ended.full:
            self.outcomes.times.note(ended, now)
        if self.ejections:
            for hall in (ALL_HALLS, source.hall):
                if hall in self.ejections:
                    self.ejections[hall].take(source, ended, now)
            if self.is_ejected(source.hall):
                return
        if ended.good or ended.bad:
            self.outcomes.note(OutcomeBatch(now, source, ended.good, ended.bad))

    @property
    def is_empty(self) -> bool:
        """Whether there is no relevant state."""
        return not self.ejections and self.outcomes.is_empty and not self.outcomes.times.number

    def step(self, now: float) -> None:
        """Advance to the current time."""
        self.outcomes.trim(now)
        if not self.outcomes.is_suspected:
            self.suspected_since = math.inf
        elif self.suspected_since == math.inf:
            self.suspected_since = now

    def is_ejected(self, hall: str) -> bool:
        """Return whether the replica is ejected for the gateways of a hall."""
        return any(
            name in self.ejections and self.ejections[name].is_ejected for name in (ALL_HALLS, hall)
        )


class OutlierDetector:
    """Aggregates the outcomes that gateways report and ejects failing replicas.

    Parameters
    ----------
    is_used : callable
        Returns whether requests run at a replica. A used one without reports counts as healthy.
    """

    __slots__ = ("_activity", "_is_used", "_records", "_sources")

    def __init__(self, is_used: t.Callable[[str], bool] = lambda replica: False) -> None:
        self._is_used = is_used
        self._records: dict[str, _Record] = {}
        self._sources: dict[Source, float] = {}
        """Time of the last report, by source."""
        self._activity: Counter[str] = Counter()
        """Number of requests that each source reported since it was last the prober."""

    def record_activity(self, source: Source, requests: int, now: float) -> None:
        """Record that a source has requests, at any replica, so that it may be the prober."""
        self._sources[source] = now
        self._activity[source.name] += requests

    def note(self, replica: str, source: Source, ended: OutcomeCounts, now: float) -> None:
        """Add the outcomes that a source reports of its requests at a replica."""
        self.record_activity(source, ended.good + ended.bad, now)
        record = self._records.get(replica)
        if record is None:
            record = self._records[replica] = _Record()
        record.note(source, ended, now)

    def forget(self, replica: str) -> None:
        """Remove a replica that is gone or has a new incarnation."""
        self._records.pop(replica, None)

    def remove_source(self, name: str) -> None:
        """Remove a source that has disconnected."""
        for source in [source for source in self._sources if source.name == name]:
            del self._sources[source]
        self._activity.pop(name, None)

    def step(
        self, members: t.Mapping[str, t.Collection[str]], gather_s: float, now: float
    ) -> list[EjectionChange]:
        """Judge all replicas; return the ejected and the returned ones.

        Parameters
        ----------
        members : mapping of str to collection of str
            Replicas of each service; all others are removed.
        gather_s : float
            Reporting interval of gateways, in seconds.
        now : float
            Current time, by the runtime's clock.
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
        changes: list[EjectionChange] = []
        span_s, report_delay_s = gather_s + MIN_FAILURE_SPAN_S, JUDGEMENT_DELAY_INTERVALS * gather_s
        has_halls = len(halls) > 1
        for replicas in members.values():
            for name in replicas:
                changes.extend(self._advance_ejections(name, now))
            max_ejected = int(MAX_EJECTED_FRACTION * len(replicas))
            for hall in (ALL_HALLS, *halls) if has_halls else (ALL_HALLS,):
                view = _View(hall, span_s, report_delay_s, has_halls)
                changes.extend(self._judge(view, list(replicas), max_ejected, now))
        return changes

    def health_of_replicas(
        self, members: t.Mapping[str, t.Collection[str]], now: float
    ) -> t.Iterator[ReplicaHealth]:
        """Yield the health of each replica with relevant state."""
        for replicas in members.values():
            known_names = [name for name in replicas if name in self._records]
            mean_s = self._mean_time_s(known_names, now)
            for name in known_names:
                record = self._records[name]
                if mean_s or record.ejections or record.outcomes.counts()[1]:
                    yield self._health_overall(name, mean_s, now)
                    yield from self._health_by_hall(name, now)

    def _advance_ejections(self, name: str, now: float) -> t.Iterator[EjectionChange]:
        record = self._records.get(name)
        if record is None:
            return
        for hall, ejection in record.ejections.items():
            if ejection.step(now):
                yield _change(name, hall, ejection, False, now)

    def _judge(
        self, view: _View, members: t.Sequence[str], max_ejected: int, now: float
    ) -> t.Iterator[EjectionChange]:
        hall = view.hall
        known_names = [name for name in members if name in self._records]
        counts = {name: self._records[name].outcomes.counts(hall) for name in known_names}
        suspects = [name for name in known_names if counts[name][1] >= MIN_FAILURES]
        if not suspects:
            return
        ejected = sum(self._records[name].is_ejected(hall) for name in known_names)
        suspects.sort(key=lambda name: failure_rate(*counts[name]), reverse=True)
        for name in suspects[:MAX_JUDGED_PER_STEP]:
            if ejected >= max_ejected:
                return
            record = self._records[name]
            if record.is_ejected(hall) or now - record.suspected_since < view.report_delay_s:
                continue
            evidence = self._evidence(name, view, members)
            if evidence is None:
                continue
            ejected += 1
            ejection = record.ejections.setdefault(hall, ReplicaEjection())
            ejection.eject(evidence, now)
            # After its return only new outcomes count.
            record.outcomes.drop(hall)
            yield _change(name, hall, ejection, True, now)

    def _evidence(self, name: str, view: _View, members: t.Sequence[str]) -> FailureEvidence | None:
        """Return evidence that a replica fails, compared with its peers, also in the same period.

        Requests that fail at every replica arrive in waves, during which the peers' earlier failure
        rate is no valid reference.
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
        """Return the median failure rate of some replicas.

        It is the lower median, so that failures of half of them do not count as usual. A used
        replica that at most one source suspects counts as healthy, since only failures are reported
        of it.
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
        """Return the replicas that follow one in the order of its service, wrapping around."""
        at = members.index(name)
        return (*members[at + 1 :], *members[:at])[:MAX_COMPARED_PEERS]

    def _mean_time_s(self, known_names: t.Iterable[str], now: float) -> float:
        known_times = (self._records[name].outcomes.times for name in known_names)
        times = [item for item in known_times if item.number]
        for item in times:
            item.settle(now)
        number = sum(item.number for item in times)
        return sum(item.total_s for item in times) / number if number >= 1 else 0.0

    def _health_overall(self, name: str, mean_s: float, now: float) -> ReplicaHealth:
        record = self._records[name]
        outcomes = record.outcomes
        took_s = outcomes.times.mean_s(mean_s) if mean_s else 0.0
        # Failures that only one source reports may be its own fault.
        failing = failure_rate(*outcomes.counts()) if outcomes.is_suspected else 0.0
        ejection = record.ejections.get(ALL_HALLS)
        if ejection is None or ejection.phase is EjectionPhase.CLOSED:
            return ReplicaHealth(name, ALL_HALLS, failing, 0.0, outcomes.sources(), "", took_s)
        return ReplicaHealth(
            name,
            ALL_HALLS,
            failing,
            ejection.diverted_fraction(now),
            ejection.evidence.sources,
            ejection.prober(lambda last: self._next_prober(ALL_HALLS, last, now), now),
            took_s,
        )

    def _health_by_hall(self, name: str, now: float) -> t.Iterator[ReplicaHealth]:
        for hall, ejection in self._records[name].ejections.items():
            if hall == ALL_HALLS or ejection.phase is EjectionPhase.CLOSED:
                continue
            choose = lambda last, hall=hall: self._next_prober(hall, last, now)  # noqa: E731
            yield ReplicaHealth(
                name,
                hall,
                failure_rate(*self._records[name].outcomes.counts(hall)),
                ejection.diverted_fraction(now),
                ejection.evidence.sources,
                ejection.prober(choose, now),
            )

    def _next_prober(self, hall: str, last: str, now: float) -> str:
        """Return the source that reported the most requests since it was last the prober."""
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


def _change(
    name: str, hall: str, ejection: ReplicaEjection, ejected: bool, now: float
) -> EjectionChange:
    seen = ejection.evidence
    strikes = ejection.strikes(now)
    return EjectionChange(name, hall, ejected, seen.sources, seen.good, seen.bad, strikes)
