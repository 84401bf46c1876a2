"""What requests use of engines, counted where they are sent and told to the planner."""

from __future__ import annotations

import typing as t

from gradelug_policy.uses import Party
from gradelug_wire import placement_pb2 as pb

from .job import Job, Outcome
from .metrics import Meters
from .values import OUTPUT_WEIGHT

NOBODY = ""
"""Owner of requests that no key tells of, where there are organisations."""
MOST_UNTOLD = 512
"""So many parties are counted until the next message; what others use is not told."""
NOT_RUN = frozenset(
    {Outcome.NOT_SENT, Outcome.NOT_RUN, Outcome.FULL, Outcome.ABSENT, Outcome.LIMITED}
)


class PartyUsage:
    """What a party used since it was told last.

    Parameters
    ----------
    since : float
        When it was first counted, by the runtime's clock.
    """

    __slots__ = ("requests", "since", "tokens")

    def __init__(self, since: float) -> None:
        self.since = since
        self.tokens = 0
        self.requests = 0


def party_of(job: Job, has_organisations: bool) -> Party:
    """Return whose a request is, and of which kind."""
    if job.principal is not None:
        return Party(job.principal.organisation.name, job.route.name)
    key = job.req.key
    if has_organisations or key is None:
        return Party(NOBODY, job.route.name)
    return Party(key.text, job.route.name)


def cost(prompt_tokens: int, answer_tokens: int) -> int:
    """Return what a request uses, in tokens read; the longest answer counts."""
    return prompt_tokens + OUTPUT_WEIGHT * answer_tokens


class ShareTally:
    """Counts what parties use of the engines of each service, until it is told.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    meters : Meters
        Counts tokens and waits by organisation.
    has_organisations : callable
        Tells whether the configuration in force names any.
    """

    __slots__ = ("_clock", "_has_organisations", "_meters", "_unreported")

    def __init__(
        self,
        clock: t.Callable[[], float],
        meters: Meters,
        has_organisations: t.Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._meters = meters
        self._has_organisations = has_organisations
        self._unreported: dict[str, dict[Party, PartyUsage]] = {}

    def party(self, job: Job) -> Party:
        """Return whose a request is."""
        return party_of(job, self._has_organisations())

    def begin(self, job: Job) -> None:
        """Count a request that is about to be sent."""
        if job.service.engine is None:
            return
        tokens = self._note(job, 1)
        name = job.principal.organisation.name if job.principal is not None else NOBODY
        self._meters.engine_use(name, tokens, job.placed_s)

    def end(self, job: Job, outcome: Outcome) -> None:
        """Take back what a request did not use after all."""
        if job.service.engine is not None and outcome in NOT_RUN:
            self._note(job, -1)

    def take(self, service: str) -> dict[Party, PartyUsage]:
        """Return what was used since the last call, and begin anew."""
        return self._unreported.pop(service, {})

    def _note(self, job: Job, sign: int) -> int:
        tokens = cost(job.work.prompt_tokens, job.work.answer_tokens)
        untold = self._unreported.setdefault(job.service.name, {})
        party = self.party(job)
        amount = untold.get(party)
        if amount is None:
            if len(untold) >= MOST_UNTOLD:
                return tokens
            amount = untold[party] = PartyUsage(self._clock())
        amount.tokens += sign * tokens
        amount.requests += sign
        return tokens


class ShareTeller:
    """Implements `parts.GatewayPart` for what parties use.

    Parameters
    ----------
    service : str
        Of whose engines.
    tally : ShareTally
        What was used.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_service", "_tally")

    def __init__(self, service: str, tally: ShareTally, clock: t.Callable[[], float]) -> None:
        self._service = service
        self._tally = tally
        self._clock = clock

    def begin_stream(self) -> None:
        """Forget what was not told: the next planner begins with equal parties."""
        self._tally.take(self._service)

    def fill(self, message: pb.FromGateway) -> None:
        """Tell what was used since the last message."""
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
        """Take nothing: how parties stand is told with the answers."""
