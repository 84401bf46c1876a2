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
from enum import Enum

from .outcomes import (
    EVERYWHERE,
    FEWEST_FAILED,
    Batch,
    Ended,
    Evidence,
    Outcomes,
    Source,
    rate,
)

LEAST_SPAN_S = 0.3
"""Failures must be spread over this much more than gateways gather what they tell, in seconds:
what broke at one moment, as when connections are reset, is over when it is heard of."""
FEWEST_COMPARED = 5
"""Outcomes of another replica of the service that say what is usual there."""
MOST_JUDGED = 32
"""Of more suspects in a service those that fail most are judged now, the others a moment later: a
judgement takes a tenth of a millisecond."""
MOST_COMPARED = 16
"""Others that a replica is compared with: their median is within a few in 100 of that of all."""
MOST_EJECTED = 0.5
"""Part of a service that may be ejected, in one hall's view as well as in that of all."""
OPEN_S = 1.0
"""How long nothing is sent after the first ejection, in seconds: connections and processes that
come back do so within seconds."""
MOST_OPEN_S = 8.0
"""The same after many, each of which doubles it."""
STRIKE_HALF_LIFE_S = 30.0
"""An earlier ejection counts half after this, in seconds: a replica that comes and goes does so
several times a minute."""
PROBE_S = 0.5
"""How long one gateway is the prober, in seconds; then another one is, which may have requests."""
PROBES = 4
"""Answers without a failure that a replica must give to its probers: one that fails 40% of its
requests gives them once in eight times, and is ejected for longer after that."""
UNPROBED_S = 15.0
"""Nobody had a probe to send in this time, in seconds: so few requests may go there as well."""
RAMP_S = 2.0
"""From a replica's return until it gets all of its requests again, in seconds: it is judged anew
by some requests before many depend on it."""
RAMP_STEPS = 4
"""The part that is held back falls in so many steps, so that news are few."""
ACTIVE_S = 5.0
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
    hall: str = EVERYWHERE
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


class Phase(Enum):
    """How much is sent to a replica."""

    CLOSED = "closed"
    """As usual."""
    OPEN = "open"
    """Nothing."""
    PROBING = "probing"
    """One gateway's probes."""
    RAMP = "ramp"
    """More and more."""


class Standing:
    """A replica's standing in the view of one hall, or of all."""

    __slots__ = (
        "_open_s",
        "_prober",
        "_prober_since",
        "_probers",
        "_since",
        "_strikes",
        "_strikes_at",
        "evidence",
        "phase",
        "probed",
    )

    def __init__(self) -> None:
        self.phase = Phase.CLOSED
        self.probed = 0
        self.evidence = Evidence(0, 0.0, 0, 0)
        """What it was ejected for last."""
        self._open_s = 0.0
        self._since = -math.inf
        self._strikes = 0.0
        self._strikes_at = 0.0
        self._prober = ""
        self._prober_since = -math.inf
        self._probers: set[str] = set()

    def strikes(self, now: float) -> float:
        """Return how often it was ejected, earlier times counting less."""
        return self._strikes * math.exp2(-(now - self._strikes_at) / STRIKE_HALF_LIFE_S)

    def eject(self, evidence: Evidence, now: float) -> None:
        """Leave the replica alone, longer if that happened before."""
        strikes = self.strikes(now)
        self._open_s = min(MOST_OPEN_S, OPEN_S * math.exp2(strikes))
        self._strikes, self._strikes_at = strikes + 1, now
        self.evidence = evidence
        self._enter(Phase.OPEN, now)

    def take(self, source: Source, ended: Ended, now: float) -> None:
        """Take outcomes into account, if they are a prober's."""
        if self.phase is not Phase.PROBING or source.name not in self._probers:
            return
        if ended.bad:
            self._enter(Phase.OPEN, now)
            return
        self.probed += ended.good
        if self.probed >= PROBES:
            self._enter(Phase.RAMP, now)

    def step(self, now: float) -> bool:
        """Take the time that has passed into account; tell whether the replica has returned."""
        rested_s = now - self._since
        if self.phase is Phase.OPEN and rested_s >= self._open_s:
            self._enter(Phase.PROBING, now)
        elif self.phase is Phase.PROBING and rested_s >= UNPROBED_S:
            self._enter(Phase.RAMP, now)
        elif self.phase is Phase.RAMP and rested_s >= RAMP_S:
            self._enter(Phase.CLOSED, now)
            return True
        return False

    @property
    def is_ejected(self) -> bool:
        """Whether nothing but probes goes there."""
        return self.phase in (Phase.OPEN, Phase.PROBING)

    def held_back(self, now: float) -> float:
        """Return the part of the requests that are to go elsewhere."""
        if self.is_ejected:
            return 1.0
        if self.phase is Phase.CLOSED:
            return 0.0
        steps = math.floor((now - self._since) / RAMP_S * RAMP_STEPS)
        return max(0.0, 1 - (steps + 1) / (RAMP_STEPS + 1))

    def prober(self, choose: t.Callable[[str], str], now: float) -> str:
        """Return who may probe now.

        Parameters
        ----------
        choose : callable
            Returns the next prober after the one whose turn is over, empty if there is none.
        """
        if self.phase is not Phase.PROBING:
            return ""
        if not self._prober or now - self._prober_since >= PROBE_S:
            self._prober, self._prober_since = choose(self._prober), now
            self._probers.add(self._prober)
        return self._prober

    def _enter(self, phase: Phase, now: float) -> None:
        self.phase = phase
        self._since = now
        self.probed = 0
        self._prober = ""
        self._probers.clear()


class _Record:
    """All that is known of one replica."""

    __slots__ = ("outcomes", "standings")

    def __init__(self) -> None:
        self.outcomes = Outcomes()
        self.standings: dict[str, Standing] = {}
        """By hall; that in the view of all under `EVERYWHERE`."""

    def note(self, source: Source, ended: Ended, now: float) -> None:
        """Take outcomes into account."""
        if ended.took_s or ended.full:
            self.outcomes.times.note(ended, now)
        if self.standings:
            for hall in (EVERYWHERE, source.hall):
                if hall in self.standings:
                    self.standings[hall].take(source, ended, now)
            if self.is_ejected(source.hall):
                return
        if ended.good or ended.bad:
            self.outcomes.note(Batch(now, source, ended.good, ended.bad))

    def is_ejected(self, hall: str) -> bool:
        """Tell whether it is ejected in a hall's view."""
        return any(
            name in self.standings and self.standings[name].is_ejected
            for name in (EVERYWHERE, hall)
        )


class VerdictPool:
    """Pools what gateways tell of replicas, and finds which of these are to be left alone."""

    __slots__ = ("_activity", "_records", "_sources")

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}
        self._sources: dict[Source, float] = {}
        """When each told something last."""
        self._activity: Counter[str] = Counter()
        """Requests that each told of since it was the prober last."""

    def note(self, replica: str, source: Source, ended: Ended, now: float) -> None:
        """Take over what a source tells of its requests at a replica."""
        self._sources[source] = now
        self._activity[source.name] += ended.good + ended.bad
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
        self._records = {name: rec for name, rec in self._records.items() if name in names}
        heard = (source.hall for source, at in self._sources.items() if now - at <= ACTIVE_S)
        halls = sorted(set(heard))
        changes: list[Change] = []
        for replicas in members.values():
            known = [name for name in replicas if name in self._records]
            for name in known:
                self._records[name].outcomes.trim(now)
                changes.extend(self._advance(name, now))
            for hall in (EVERYWHERE, *halls) if len(halls) > 1 else (EVERYWHERE,):
                span_s = gather_s + LEAST_SPAN_S
                most = int(MOST_EJECTED * len(replicas))
                changes.extend(self._judge(hall, known, most, span_s, len(halls) > 1, now))
        return changes

    def findings(
        self, members: t.Mapping[str, t.Collection[str]], now: float
    ) -> t.Iterator[Finding]:
        """Yield what is found of each replica of which anything is known."""
        for replicas in members.values():
            known = [name for name in replicas if name in self._records]
            mean_s = self._mean_time(known, now)
            for name in known:
                record = self._records[name]
                if mean_s or record.standings or record.outcomes.counts()[1]:
                    yield self._overall(name, mean_s, now)
                    yield from self._by_hall(name, now)

    def _advance(self, name: str, now: float) -> t.Iterator[Change]:
        for hall, standing in self._records[name].standings.items():
            if standing.step(now):
                yield _change(name, hall, standing, False, now)

    def _judge(
        self,
        hall: str,
        known: t.Sequence[str],
        most: int,
        span_s: float,
        has_halls: bool,
        now: float,
    ) -> t.Iterator[Change]:
        counts = {name: self._records[name].outcomes.counts(hall) for name in known}
        suspects = [name for name in known if counts[name][1] >= FEWEST_FAILED]
        if not suspects:
            return
        ejected = sum(self._records[name].is_ejected(hall) for name in known)
        suspects.sort(key=lambda name: rate(*counts[name]), reverse=True)
        for name in suspects[:MOST_JUDGED]:
            if ejected >= most:
                return
            record = self._records[name]
            if record.is_ejected(hall):
                continue
            evidence = self._evidence(name, hall, known, span_s, has_halls)
            if evidence is None:
                continue
            ejected += 1
            standing = record.standings.setdefault(hall, Standing())
            standing.eject(evidence, now)
            # After its return it is judged by what comes then.
            record.outcomes.drop(hall)
            yield _change(name, hall, standing, True, now)

    def _evidence(
        self, name: str, hall: str, known: t.Sequence[str], span_s: float, has_halls: bool
    ) -> Evidence | None:
        """Return evidence that a replica fails, beside the others then and in the same moments.

        Callers whose requests fail wherever they are sent come in waves: what was usual some
        seconds ago is not by what a replica can be judged in one.
        """
        outcomes = self._records[name].outcomes
        others = [self._records[other].outcomes for other in self._compared(name, known)]
        views = (hall, EVERYWHERE)
        usual = max(_usual(each.counts(view) for each in others) for view in views)
        evidence = outcomes.evidence(hall, span_s, has_halls, usual)
        if evidence is None:
            return None
        since = evidence.since
        lately = max(_usual(each.counts_since(since, view) for each in others) for view in views)
        if lately <= usual:
            return evidence
        return outcomes.evidence(hall, span_s, has_halls, lately)

    @staticmethod
    def _compared(name: str, known: t.Sequence[str]) -> t.Sequence[str]:
        """Return the next others of a service, in its order and from its beginning again."""
        at = known.index(name)
        return (*known[at + 1 :], *known[:at])[:MOST_COMPARED]

    def _mean_time(self, known: t.Iterable[str], now: float) -> float:
        all_times = (self._records[name].outcomes.times for name in known)
        times = [each for each in all_times if each.number]
        for each in times:
            each.settle(now)
        number = sum(each.number for each in times)
        return sum(each.total_s for each in times) / number if number >= 1 else 0.0

    def _overall(self, name: str, mean_s: float, now: float) -> Finding:
        record = self._records[name]
        outcomes = record.outcomes
        took_s = outcomes.times.mean_s(mean_s) if mean_s else 0.0
        # One source's failures say nothing to the others.
        is_shared = outcomes.counts()[1] > 1 and outcomes.failing_sources() > 1
        failing = rate(*outcomes.counts()) if is_shared else 0.0
        standing = record.standings.get(EVERYWHERE)
        if standing is None or standing.phase is Phase.CLOSED:
            return Finding(name, EVERYWHERE, failing, 0.0, outcomes.sources(), "", took_s)
        return Finding(
            name,
            EVERYWHERE,
            failing,
            standing.held_back(now),
            standing.evidence.sources,
            standing.prober(lambda last: self._next_prober(EVERYWHERE, last, now), now),
            took_s,
        )

    def _by_hall(self, name: str, now: float) -> t.Iterator[Finding]:
        for hall, standing in self._records[name].standings.items():
            if hall == EVERYWHERE or standing.phase is Phase.CLOSED:
                continue
            choose = lambda last, hall=hall: self._next_prober(hall, last, now)  # noqa: E731
            yield Finding(
                name,
                hall,
                rate(*self._records[name].outcomes.counts(hall)),
                standing.held_back(now),
                standing.evidence.sources,
                standing.prober(choose, now),
            )

    def _next_prober(self, hall: str, last: str, now: float) -> str:
        """Return the source that told of most requests since it was the prober."""
        active = [
            source.name
            for source, at in self._sources.items()
            if now - at <= ACTIVE_S and hall in (EVERYWHERE, source.hall) and source.name != last
        ]
        if not active:
            return last
        chosen = max(sorted(active), key=lambda name: self._activity[name])
        self._activity[chosen] = 0
        return chosen


def _usual(counts: t.Iterable[tuple[int, int]]) -> float:
    """Return which part of the requests fails at some replicas.

    The lower median: where half of them fail that is not usual.
    """
    rates = [rate(good, bad) for good, bad in counts if good + bad >= FEWEST_COMPARED]
    return statistics.median_low(rates) if rates else 0.0


def _change(name: str, hall: str, standing: Standing, ejected: bool, now: float) -> Change:
    seen = standing.evidence
    strikes = standing.strikes(now)
    return Change(name, hall, ejected, seen.sources, seen.good, seen.bad, strikes)
