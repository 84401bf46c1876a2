"""Accounting of the engine capacity that requests use, reported to the planner for fair sharing.

Used by a gateway: requests are counted when they are sent, and the totals go out with its next
message to the planner.
"""

from __future__ import annotations

import typing as t

from gradelug_policy.uses import Party
from gradelug_wire import placement_pb2 as pb

from .job import Job, Outcome
from .metrics import GatewayMetrics
from .values import OUTPUT_WEIGHT

UNKNOWN_OWNER = ""
"""Owner of requests that no API key identifies, where the configuration names organisations."""
MAX_UNREPORTED_PARTIES = 512
"""Maximum number of parties counted until the next message; usage of others is not reported."""
NOT_RUN = frozenset(
    {Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.FULL, Outcome.ABSENT, Outcome.LIMITED}
)


class PartyUsage:
    """Usage of a party since it was last reported.

    Parameters
    ----------
    since : float
        Time of the first counted request, by the runtime's clock, in seconds.
    """

    __slots__ = ("requests", "since", "tokens")

    def __init__(self, since: float) -> None:
        self.since = since
        self.tokens = 0
        self.requests = 0


def party_of(job: Job, has_organisations: bool) -> Party:
    """Return the party that a request counts for: its owner and the kind of request."""
    if job.principal is not None:
        return Party(job.principal.organisation.name, job.route.name)
    key = job.req.key
    if has_organisations or key is None:
        return Party(UNKNOWN_OWNER, job.route.name)
    return Party(key.text, job.route.name)


def token_cost(prompt_tokens: int, answer_tokens: int) -> int:
    """Return the cost of a request in prompt tokens, for the longest possible answer."""
    return prompt_tokens + OUTPUT_WEIGHT * answer_tokens


class UsageTally:
    """Counts the engine usage of parties by service, until it is reported.

    Parameters
    ----------
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    meters : GatewayMetrics
        Metrics of tokens and waiting times by organisation.
    has_organisations : callable
        Returns whether the configuration in force names any organisations.
    """

    __slots__ = ("_clock", "_has_organisations", "_meters", "_unreported")

    def __init__(
        self,
        clock: t.Callable[[], float],
        meters: GatewayMetrics,
        has_organisations: t.Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._meters = meters
        self._has_organisations = has_organisations
        self._unreported: dict[str, dict[Party, PartyUsage]] = {}

    def party(self, job: Job) -> Party:
        """Return the party that a request counts for."""
        return party_of(job, self._has_organisations())

    def begin(self, job: Job) -> None:
        """Count a request that is about to be sent."""
        if job.service.engine is None:
            return
        tokens = self._note(job, 1)
        name = job.principal.organisation.name if job.principal is not None else UNKNOWN_OWNER
        self._meters.record_engine_use(name, tokens, job.placed_s)

    def end(self, job: Job, outcome: Outcome) -> None:
        """Subtract the cost of a request that ended without running on an engine."""
        if job.service.engine is not None and outcome in NOT_RUN:
            self._note(job, -1)

    def take(self, service: str) -> dict[Party, PartyUsage]:
        """Return and clear the usage of a service since the last call."""
        return self._unreported.pop(service, {})

    def _note(self, job: Job, sign: int) -> int:
        tokens = token_cost(job.work.prompt_tokens, job.work.answer_tokens)
        unreported = self._unreported.setdefault(job.service.name, {})
        party = self.party(job)
        amount = unreported.get(party)
        if amount is None:
            if len(unreported) >= MAX_UNREPORTED_PARTIES:
                return tokens
            amount = unreported[party] = PartyUsage(self._clock())
        amount.tokens += sign * tokens
        amount.requests += sign
        return tokens


class UsageReporter:
    """Implements `parts.GatewayExtension`: reports the usage of parties to a planner.

    Parameters
    ----------
    service : str
        Name of the service whose engines are counted.
    tally : UsageTally
        Usage of the parties.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = ("_clock", "_service", "_tally")

    def __init__(self, service: str, tally: UsageTally, clock: t.Callable[[], float]) -> None:
        self._service = service
        self._tally = tally
        self._clock = clock

    def begin_stream(self) -> None:
        """Drop unreported usage: the next planner starts with equal shares for all parties."""
        self._tally.take(self._service)

    def fill(self, message: pb.FromGateway) -> None:
        """Add the usage since the last message."""
        now = self._clock()
        for party, amount in self._tally.take(self._service).items():
            message.party_uses.add(
                owner=party.owner,
                kind=party.kind,
                tokens=amount.tokens,
                requests=amount.requests,
                age_ms=max(0, round(1000 * (now - amount.since))),
            )

    def take(self, message: pb.FromPlanner) -> None:
        """Do nothing: fair shares are sent with the answers to placement requests."""
