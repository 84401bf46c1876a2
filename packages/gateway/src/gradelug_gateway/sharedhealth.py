"""Health of replicas known over all instances: what gateways tell, what a planner finds.

A gateway tells how its requests ended at replicas that anybody doubts, with the messages that it
sends anyway; of replicas of services without engines always, for the times of their answers. The
planner pools them (`gradelug_policy.verdicts`) and puts what it finds into its news. Replicas of
services without engines have no planner: the one that is the home of the quotas speaks for them.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.doubts import Doubts, Telling
from gradelug_policy.outcomes import Ended, Source
from gradelug_policy.verdicts import Change, Finding, VerdictPool
from gradelug_wire import placement_pb2 as pb

from .engines import Engine
from .fleet import Fleet
from .followers import Follower
from .health import Health, ToldFinding
from .model import FleetState

log = logbook.Logger("sharedhealth")
FINDING_TTL_S = 3.0
"""What a planner found holds for so long after it was told last, in seconds: a lost planner is
replaced within 2 to 4 s, and its successor finds for itself what gateways would meet until then."""
RESEND_INTERVAL_S = 0.5
"""It is told this often at least, in seconds, for gateways that have come and news that were lost;
with 370 gateways news go out once in 0.9 s, three times within the time that a finding holds."""
FAILING_RATE_STEP = 0.05
ANSWER_TIME_STEP_RATIO = 1.1
"""Changes smaller than this are not told: what is reckoned from them does not change by more."""
DOUBTED_S = 1.0
"""An engine that fails an asker's requests is taken for one with so much more to read."""
EJECTED_COST_S = 3.0
"""One that is left alone by all is taken for one with so much more: longer than most requests wait
for another engine to take their weights in."""


class EndsTeller:
    """Tells one planner how this instance's requests ended; implements `parts.GatewayPart`.

    Parameters
    ----------
    service : str
        Whose planner.
    instance : str
        This instance.
    fleet : Fleet
        Keeps the records of replicas, and takes what is found of them.
    clock : callable
        The runtime's clock.
    covers_engineless : callable
        Whether the planner speaks for services without engines as well.
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
        self._doubts = Doubts()

    def begin_stream(self) -> None:
        """Forget what could not be told: it is older than what it would be taken for."""
        self._doubts.begin()
        for health in self._replicas().values():
            health.take_tally()

    def fill(self, message: pb.FromGateway) -> None:
        """Put the ends since the last message into this one, where they are of use."""
        now = self._clock()
        for name, health in self._replicas().items():
            telling = self._decide(name, health, now)
            if telling is Telling.KEEP:
                continue
            tally = health.take_tally()
            if telling is Telling.DROP:
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
        """Take over what is found of replicas."""
        until = self._clock() + FINDING_TTL_S
        for told in message.verdicts:
            if told.hall not in ("", self._fleet.hall):
                continue
            self._fleet.health(told.replica).told[told.hall] = ToldFinding(
                told.failing,
                told.held_back,
                told.took_ms / 1000,
                bool(told.prober) and told.prober == self._instance,
                until,
            )
            if told.failing or told.held_back:
                self._doubts.doubt(told.replica, self._clock())

    def _decide(self, name: str, health: Health, now: float) -> Telling:
        known = self._fleet.state.replicas.get(name)
        if known is not None and not self._fleet.state.has_engines(known.service):
            return Telling.TELL
        if health.tally.failed or health.tally.broken:
            self._doubts.doubt(name, now)
        return self._doubts.decide(name, now)

    def _replicas(self) -> dict[str, Health]:
        """Return the records with something to tell."""
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


class HealthDesk:
    """Pools what gateways tell of replicas at a planner; implements `parts.PlannerPart`.

    Parameters
    ----------
    service : str
        The planner's.
    state : FleetState
        What the platform has told.
    engines : mapping of str to Engine
        The planner's; of one that is used and of which nothing is told nobody has a doubt.
    gather_s : callable
        Returns how long gateways gather what they tell, in seconds.
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
        self._pool = VerdictPool(self._is_used)
        self._sources: dict[int, Source] = {}
        self._members: dict[str, list[str]] = {}
        self._members_version = (-1, -1)
        """The state's change and configuration for which the members were looked up."""
        self._findings: dict[tuple[str, str], Finding] = {}
        self._sent: dict[tuple[str, str], _SentVerdict] = {}

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Take over how a gateway's requests ended, and that it has any."""
        if not message.ends and not message.uses:
            return
        source = self._sources.get(follower.number)
        if source is None:
            source = self._sources[follower.number] = Source(follower.instance, follower.hall)
        if message.uses:
            self._pool.hear(source, len(message.uses), now)
        for told in message.ends:
            ended = Ended(told.served, told.failed + told.broken, told.took_ms / 1000, told.full)
            self._pool.note(told.replica, source, ended, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Forget a gateway as a source."""
        self._sources.pop(follower.number, None)
        self._pool.leave(follower.instance)

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Judge the replicas anew and tell what has changed."""
        members = self._refresh_members()
        for change in self._pool.step(members, self._gather_s(), now):
            self._log(change)
        self._findings = {
            (finding.replica, finding.hall): finding
            for finding in self._pool.findings(members, now)
        }
        for key in [key for key in self._sent if key not in self._findings]:
            del self._sent[key]
            news.verdicts.add(replica=key[0], hall=key[1])
        for key, finding in self._findings.items():
            if self._is_due(key, finding, now):
                news.verdicts.append(_encode(finding))

    def forget(self, replica: str) -> None:
        """Forget a replica."""
        self._pool.forget(replica)

    def doubt_s(self, replica: str, follower: Follower, doubted: t.Container[str]) -> float:
        """Return what a request costs more on an engine that fails requests, in seconds.

        Parameters
        ----------
        follower : Follower
            Whose request it is.
        doubted : container of str
            Replicas that fail this gateway's requests.
        """
        cost_s = DOUBTED_S if replica in doubted else 0.0
        for hall in {"", follower.hall}:
            finding = self._findings.get((replica, hall))
            if finding is not None and finding.prober != follower.instance:
                # A few failures are no reason for all to go elsewhere: that makes others late.
                cost_s = max(cost_s, EJECTED_COST_S * finding.held_back)
        return cost_s

    def ejected_s(self, replica: str) -> float:
        """Return what weights cost more on an engine that is left alone by all, in seconds."""
        finding = self._findings.get((replica, ""))
        return EJECTED_COST_S * finding.held_back if finding is not None else 0.0

    def _is_used(self, replica: str) -> bool:
        engine = self._engines.get(replica)
        return engine is not None and engine.is_in_use()

    def _is_due(self, key: tuple[str, str], finding: Finding, now: float) -> bool:
        told = _SentVerdict(
            round(finding.failing / FAILING_RATE_STEP),
            finding.held_back,
            finding.prober,
            round(math.log(finding.took_s * 1000, ANSWER_TIME_STEP_RATIO)) if finding.took_s else 0,
            now,
        )
        earlier = self._sent.get(key)
        if earlier is None and told.is_default:
            return False
        if earlier is not None and earlier.matches(told) and now - earlier.at < RESEND_INTERVAL_S:
            return False
        if told.is_default:
            # Told once more; then it is as good as unknown.
            del self._sent[key]
        else:
            self._sent[key] = told
        return True

    def _refresh_members(self) -> dict[str, list[str]]:
        snapshot = self._state.snapshot
        seen = (self._state.change, snapshot.version if snapshot is not None else -1)
        if seen == self._members_version:
            return self._members
        self._members_version = seen
        self._members = {}
        covers_engineless = self._state.home_service == self._service
        for rep in self._state.replicas.values():
            is_included = covers_engineless and not self._state.has_engines(rep.service)
            if not rep.leaving and (rep.service == self._service or is_included):
                self._members.setdefault(rep.service, []).append(rep.name)
        return self._members

    def _log(self, change: Change) -> None:
        log.info(
            "ejected" if change.ejected else "returned",
            replica=change.replica,
            hall=change.hall,
            sources=change.sources,
            failed=change.bad,
            served=change.good,
            strikes=round(change.strikes, 2),
        )


def _encode(finding: Finding) -> pb.Verdict:
    return pb.Verdict(
        replica=finding.replica,
        hall=finding.hall,
        failing=finding.failing,
        ejected=finding.held_back >= 1,
        held_back=finding.held_back,
        sources=finding.sources,
        prober=finding.prober,
        took_ms=finding.took_s * 1000,
    )
