"""Health of replicas aggregated over all instances.

Gateways report to a planner how their requests ended at replicas that are suspected of failures,
within messages that they send anyway; for replicas of services without engines they always report,
since the response times are needed there. The planner pools the reports
(`gradelug_policy.verdicts`) and sends its verdicts to all its gateways. Services without engines
have no planner of their own: the planner that keeps the quotas judges their replicas.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.doubts import ReportAction, SuspectTracker
from gradelug_policy.outcomes import OutcomeCounts, Source
from gradelug_policy.verdicts import EjectionChange, OutlierDetector, ReplicaHealth
from gradelug_wire import placement_pb2 as pb

from .engines import Engine
from .fleet import Fleet
from .follower import Follower
from .health import Health, SharedVerdict
from .model import FleetState

log = logbook.Logger("sharedhealth")
VERDICT_TTL_S = 3.0
"""How long a gateway applies a verdict after it was received last, in seconds: a failed planner is
replaced within 2 to 4 s, and the new one makes verdicts of its own from then on."""
RESEND_INTERVAL_S = 0.5
"""Interval at which unchanged verdicts are sent again, in seconds, for gateways that connected
meanwhile and after lost messages. With 370 gateways messages are sent every 0.9 s, three times
within the lifetime of a verdict."""
FAILING_RATE_STEP = 0.05
RESPONSE_TIME_STEP_RATIO = 1.1
"""Verdicts that differ by less than these steps are not sent: the results calculated from them
would not differ by more. The second one is a ratio of response times."""
SUSPECT_COST_S = 1.0
"""Cost of an engine that fails the requesting gateway's requests, as seconds of additional prefill
work."""
EJECTED_COST_S = 3.0
"""Cost of an ejected engine, as seconds of additional prefill work: longer than most requests wait
until another engine has loaded their weights."""


class OutcomeReporter:
    """Reports request outcomes to one planner and applies its verdicts.

    Implements `parts.GatewayExtension`.

    Parameters
    ----------
    service : str
        Service of the planner.
    instance : str
        Name of this instance.
    fleet : Fleet
        Holds the outcomes and the verdicts of each replica.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    covers_engineless : callable
        Returns whether the planner also judges replicas of services without engines.
    """

    __slots__ = ("_clock", "_doubts", "_fleet", "_instance", "_covers_engineless", "_service")

    def __init__(
        self,
        service: str,
        instance: str,
        fleet: Fleet,
        clock: t.Callable[[], float],
        covers_engineless: t.Callable[[], bool],
    ) -> None:
        self._service = service
        self._instance = instance
        self._fleet = fleet
        self._clock = clock
        self._covers_engineless = covers_engineless
        self._doubts = SuspectTracker()

    def begin_stream(self) -> None:
        """Drop outcomes that were not sent: the planner would take them for recent ones."""
        self._doubts.reset()
        for health in self._replicas().values():
            health.take_tally()

    def fill(self, message: pb.FromGateway) -> None:
        """Add the outcomes since the last message, for replicas whose outcomes are needed."""
        now = self._clock()
        self._doubts.forget_gone(self._fleet.state.replicas)
        for name, health in self._replicas().items():
            decision = self._decide(name, health, now)
            if decision is ReportAction.KEEP:
                continue
            tally = health.take_tally()
            if decision is ReportAction.DROP:
                continue
            message.ends.add(
                replica=name,
                served=tally.served,
                failed=tally.failed,
                broken=tally.broken,
                full=tally.full,
                took_ms=round(tally.took_s * 1000),
            )

    def take(self, message: pb.FromPlanner) -> None:
        """Apply the verdicts in a planner's message."""
        until = self._clock() + VERDICT_TTL_S
        for verdict in message.verdicts:
            if verdict.hall not in ("", self._fleet.hall):
                continue
            self._fleet.health(verdict.replica).shared_verdicts[verdict.hall] = SharedVerdict(
                verdict.failing,
                verdict.held_back,
                verdict.took_ms / 1000,
                bool(verdict.prober) and verdict.prober == self._instance,
                until,
            )
            if verdict.failing or verdict.held_back:
                self._doubts.suspect(verdict.replica, self._clock())

    def _decide(self, name: str, health: Health, now: float) -> ReportAction:
        known = self._fleet.state.replicas.get(name)
        if known is not None and not self._fleet.state.has_engines(known.service):
            return ReportAction.TELL
        if health.tally.failed or health.tally.broken:
            self._doubts.suspect(name, now)
        return self._doubts.decide(name, now)

    def _replicas(self) -> dict[str, Health]:
        """Return the records of replicas that this planner judges and that have unsent outcomes."""
        covers_engineless = self._covers_engineless()
        return {
            name: health
            for name, health in self._fleet.healths()
            if health.has_tally and self._covers(name, covers_engineless)
        }

    def _covers(self, replica: str, covers_engineless: bool) -> bool:
        known = self._fleet.state.replicas.get(replica)
        if known is None or known.service == self._service:
            return known is not None
        return covers_engineless and not self._fleet.state.has_engines(known.service)


@dataclass(slots=True, frozen=True)
class _SentVerdict:
    """A verdict as last sent, with its values rounded to steps."""

    failing: int
    held_back: float
    prober: str
    took: int
    at: float

    def matches(self, other: _SentVerdict) -> bool:
        return (self.failing, self.held_back, self.prober, self.took) == (
            other.failing,
            other.held_back,
            other.prober,
            other.took,
        )

    @property
    def is_default(self) -> bool:
        return not (self.failing or self.held_back or self.took)


class HealthAggregator:
    """Aggregates the outcomes that gateways report to a planner and sends verdicts to them.

    Implements `parts.PlannerExtension`.

    Parameters
    ----------
    service : str
        Service of the planner.
    state : FleetState
        View of replicas and configuration, kept up to date by a feed.
    engines : mapping of str to Engine
        The planner's engines by name. One in use without reported outcomes counts as healthy.
    gather_s : callable
        Returns the interval at which gateways send their messages, in seconds.
    """

    __slots__ = (
        "_engines",
        "_findings",
        "_gather_s",
        "_members",
        "_members_version",
        "_pool",
        "_service",
        "_sources",
        "_state",
        "_sent",
    )

    def __init__(
        self,
        service: str,
        state: FleetState,
        engines: t.Mapping[str, Engine],
        gather_s: t.Callable[[], float],
    ) -> None:
        self._service = service
        self._state = state
        self._engines = engines
        self._gather_s = gather_s
        self._pool = OutlierDetector(self._is_used)
        self._sources: dict[int, Source] = {}
        self._members: dict[str, list[str]] = {}
        self._members_version = (-1, -1)
        """Change counter and configuration version for which `_members` was built."""
        self._findings: dict[tuple[str, str], ReplicaHealth] = {}
        self._sent: dict[tuple[str, str], _SentVerdict] = {}

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Add the outcomes that a gateway reports, and that it has requests at all."""
        if not message.ends and not message.uses:
            return
        source = self._sources.get(follower.number)
        if source is None:
            source = self._sources[follower.number] = Source(follower.instance, follower.hall)
        if message.uses:
            self._pool.record_activity(source, len(message.uses), now)
        for ends in message.ends:
            ended = OutcomeCounts(
                ends.served, ends.failed + ends.broken, ends.took_ms / 1000, ends.full
            )
            self._pool.note(ends.replica, source, ended, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Remove a disconnected gateway as a source of outcomes."""
        self._sources.pop(follower.number, None)
        self._pool.remove_source(follower.instance)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Update the verdicts of all replicas and add those that are due to a message."""
        members = self._refresh_members()
        for change in self._pool.step(members, self._gather_s(), now):
            self._log(change)
        self._findings = {
            (finding.replica, finding.hall): finding
            for finding in self._pool.health_of_replicas(members, now)
        }
        for key in [key for key in self._sent if key not in self._findings]:
            del self._sent[key]
            news.verdicts.add(replica=key[0], hall=key[1])
        for key, finding in self._findings.items():
            if self._is_due(key, finding, now):
                news.verdicts.append(_encode(finding))

    def forget(self, replica: str) -> None:
        """Drop the outcomes of a replica."""
        self._pool.forget(replica)

    def failure_penalty_s(
        self, replica: str, follower: Follower, doubted: t.Container[str]
    ) -> float:
        """Return the additional cost of a request on an engine that fails requests, in seconds.

        Parameters
        ----------
        replica : str
            Name of the engine.
        follower : Follower
            Gateway that sends the request.
        doubted : container of str
            Names of replicas that fail this gateway's requests.
        """
        cost_s = SUSPECT_COST_S if replica in doubted else 0.0
        for hall in {"", follower.hall}:
            finding = self._findings.get((replica, hall))
            if finding is not None and finding.prober != follower.instance:
                # Only ejection counts: shifting load after a few failures delays other engines.
                cost_s = max(cost_s, EJECTED_COST_S * finding.diverted_fraction)
        return cost_s

    def ejection_penalty_s(self, replica: str) -> float:
        """Return the additional cost of placing weights on an ejected engine, in seconds."""
        finding = self._findings.get((replica, ""))
        return EJECTED_COST_S * finding.diverted_fraction if finding is not None else 0.0

    def _is_used(self, replica: str) -> bool:
        engine = self._engines.get(replica)
        return engine is not None and engine.is_in_use()

    def _is_due(self, key: tuple[str, str], finding: ReplicaHealth, now: float) -> bool:
        current = _SentVerdict(
            round(finding.failing / FAILING_RATE_STEP),
            finding.diverted_fraction,
            finding.prober,
            (
                round(math.log(finding.mean_time_s * 1000, RESPONSE_TIME_STEP_RATIO))
                if finding.mean_time_s
                else 0
            ),
            now,
        )
        earlier = self._sent.get(key)
        if earlier is None and current.is_default:
            return False
        if (
            earlier is not None
            and earlier.matches(current)
            and now - earlier.at < RESEND_INTERVAL_S
        ):
            return False
        if current.is_default:
            # Sent once more to revoke the earlier one; no verdict is the default.
            del self._sent[key]
        else:
            self._sent[key] = current
        return True

    def _refresh_members(self) -> dict[str, list[str]]:
        snapshot = self._state.snapshot
        version = (self._state.change, snapshot.version if snapshot is not None else -1)
        if version == self._members_version:
            return self._members
        self._members_version = version
        self._members = {}
        covers_engineless = self._state.coordinating_service == self._service
        for rep in self._state.replicas.values():
            is_engineless = covers_engineless and not self._state.has_engines(rep.service)
            if not rep.leaving and (rep.service == self._service or is_engineless):
                self._members.setdefault(rep.service, []).append(rep.name)
        return self._members

    def _log(self, change: EjectionChange) -> None:
        log.info(
            "ejected" if change.ejected else "returned",
            replica=change.replica,
            hall=change.hall,
            sources=change.sources,
            failed=change.bad,
            served=change.good,
            strikes=round(change.strikes, 2),
        )


def _encode(finding: ReplicaHealth) -> pb.Verdict:
    return pb.Verdict(
        replica=finding.replica,
        hall=finding.hall,
        failing=finding.failing,
        ejected=finding.diverted_fraction >= 1,
        held_back=finding.diverted_fraction,
        sources=finding.sources,
        prober=finding.prober,
        took_ms=finding.mean_time_s * 1000,
    )
