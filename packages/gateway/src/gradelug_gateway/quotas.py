"""Enforcement of organisations' quotas at an instance, by a coordinator or from a local share.

One instance, the planner of the coordinating service, decides on all quotas: it sees every request
that counts, so that a window holds no more than the quota whichever instances receive the requests.
Each check takes one round trip between instances.
"""

from __future__ import annotations

import asyncio
import math
import random
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.quotas import LocalShares
from gradelug_wire import placement_pb2 as pb

from .exceptions import Limited, QuotaInputs, Refused
from .organisations import Organisation

log = logbook.Logger("quotas")
ANSWER_TIMEOUT_S = 0.25
"""Response timeout of the coordinator, in seconds. A response takes a round trip of milliseconds,
or some tens if the coordinator pauses after a decision; beyond the timeout it may be lost."""
UNAVAILABLE_RETRY_S = 0.05
"""Retry delay without a coordinator, in seconds; another instance may reach it."""
POLL_INTERVAL_S = 0.03
"""How often a waiting request checks whether there is a coordinator, in seconds."""
MAX_WAIT_S = 3_600.0
"""Upper bound of retry delays and of callers' waits, in seconds; a longer wait is sent as this."""
RETRY_JITTER_FRACTION = 0.5
"""Maximum random extension of a retry delay, as a fraction of it; spreads the retries of callers
that were rejected together."""


@dataclass(slots=True, frozen=True)
class QuotaApplicant:
    """Priority of a request for quota, as sent to the coordinator.

    Parameters
    ----------
    rank : int
        Urgency within the organisation, 0 first.
    value : float
        Value of a response in time, 1 for an ordinary urgent request.
    until : float
        Deadline of its caller, by the runtime's clock.
    service : str
        The service that it is sent to: urgencies compare within a service.
    mark : int
        Fingerprint that all attempts of one request share, 32 bits; 0 if there is none.
    """

    rank: int = 0
    value: float = 1.0
    until: float = math.inf
    service: str = ""
    fingerprint: int = 0


DEFAULT_APPLICANT = QuotaApplicant()


class QuotaLink(t.Protocol):
    """The link to the coordinator of the quotas."""

    @property
    def is_update_overdue(self) -> bool:
        """Whether the coordinator may be lost."""
        ...

    async def ask_quota(
        self, organisation: str, tokens: int, until: float, applicant: QuotaApplicant
    ) -> pb.QuotaAnswer:
        """Return the coordinator's answer; raises `TimeoutError`."""
        ...

    def refund_quota(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Refund tokens granted at `granted_at` to a request that has not run."""
        ...


@dataclass(slots=True, frozen=True)
class Charge:
    """Tokens granted to a request.

    Parameters
    ----------
    organisation : str
        The organisation whose quota was charged.
    tokens : int
        Number of tokens, or 1 if the quota counts requests.
    link : QuotaLink or None
        Link to the coordinator that granted them; None for this instance's local share.
    granted_at : float
        Time of the grant, by the runtime's clock.
    """

    organisation: str
    tokens: int
    link: QuotaLink | None
    granted_at: float

    def refund(self) -> None:
        """Refund the charge of a request that has not run and will not."""
        if self.link is not None:
            self.link.refund_quota(self.organisation, self.tokens, self.granted_at)


class Quotas:
    """Admits requests within the quotas of their organisations.

    Parameters
    ----------
    locate : callable
        Returns the link to the coordinator, None if there is none.
    clock, rng
        The runtime's clock and random number generator.
    shares : LocalShares
        What this instance may use while there is no coordinator.
    """

    __slots__ = ("_clock", "_find_link", "_rng", "_shares")

    def __init__(
        self,
        locate: t.Callable[[], QuotaLink | None],
        clock: t.Callable[[], float],
        rng: random.Random,
        shares: LocalShares,
    ) -> None:
        self._find_link = locate
        self._clock = clock
        self._rng = rng
        self._shares = shares

    async def take(
        self,
        organisation: Organisation,
        prompt_tokens: int,
        max_answer_tokens: int,
        until: float,
        applicant: QuotaApplicant = DEFAULT_APPLICANT,
    ) -> Charge | None:
        """Charge a request to its organisation's quota, or raise.

        While the coordinator is being replaced, a request that the local share does not cover waits
        for the new one: after all instances were lost at once none has a share, and a coordinator
        is elected within a second.

        Parameters
        ----------
        organisation : Organisation
            The organisation that sent the request.
        prompt_tokens, max_answer_tokens : int
            Prompt tokens and maximum answer tokens that the request states; 0 for none.
        until : float
            Deadline for waiting for a coordinator, by the runtime's clock.
        applicant : QuotaApplicant
            The request's priority.

        Returns
        -------
        Charge or None
            The charge, None if the organisation has no quota.

        Raises
        ------
        Limited
            If the quota is used up.
        Refused
            If there is no coordinator and the local share is used up.
        """
        if organisation.quota is None:
            return None
        name = organisation.name
        tokens = round(organisation.quota.charge(prompt_tokens, max_answer_tokens))
        while True:
            charge = await self._ask(name, tokens, applicant) or self._charge_local_share(
                name, tokens
            )
            if charge is not None:
                return charge
            if self._clock() >= until:
                raise Refused(f"the quota of {name} cannot be asked for", UNAVAILABLE_RETRY_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask(self, name: str, tokens: int, applicant: QuotaApplicant) -> Charge | None:
        """Ask the coordinator; return None if it is unavailable or grants nothing at present."""
        link = self._find_link()
        if link is None or link.is_update_overdue:
            return None
        try:
            answer = await link.ask_quota(name, tokens, self._clock() + ANSWER_TIMEOUT_S, applicant)
        except TimeoutError:
            log.info("quota coordinator did not answer", organisation=name)
            return None
        if not answer.granted and not answer.retry_after_ms:
            return None
        return self._apply_answer(link, name, tokens, answer)

    def _apply_answer(
        self, link: QuotaLink, name: str, tokens: int, answer: pb.QuotaAnswer
    ) -> Charge:
        now = self._clock()
        self._shares.set_share(name, answer.share, now)
        if answer.granted:
            return Charge(name, tokens, link, now)
        retry_s = answer.retry_after_ms / 1000
        inputs = QuotaInputs(tokens, answer.level, answer.needed, answer.standing)
        raise Limited(name, retry_s * (1 + RETRY_JITTER_FRACTION * self._rng.random()), inputs)

    def _charge_local_share(self, name: str, tokens: int) -> Charge | None:
        """Charge this instance's local share while the coordinator is being replaced."""
        now = self._clock()
        self._shares.mark_coordinator_lost(now)
        if self._shares.try_take(name, tokens, now):
            return Charge(name, tokens, None, now)
        return None


class QuotaClient:
    """Sends quota requests to the coordinator and awaits the answers; a `parts.GatewayExtension`.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    wake : callable
        Called when there is a message to send.
    """

    __slots__ = (
        "_stream_started_at",
        "_clock",
        "_futures",
        "_returns",
        "_ticket",
        "_unsent",
        "_wake",
    )

    def __init__(self, clock: t.Callable[[], float], wake: t.Callable[[], None]) -> None:
        self._clock = clock
        self._wake = wake
        self._stream_started_at = clock()
        self._futures: dict[int, asyncio.Future[pb.QuotaAnswer]] = {}
        self._unsent: list[pb.QuotaAsk] = []
        self._returns: list[pb.QuotaReturn] = []
        self._ticket = 0

    async def ask(
        self,
        organisation: str,
        tokens: int,
        until: float,
        applicant: QuotaApplicant = DEFAULT_APPLICANT,
    ) -> pb.QuotaAnswer:
        """Return the coordinator's answer; raises `TimeoutError`."""
        self._ticket += 1
        ask = pb.QuotaAsk(
            ticket=self._ticket,
            organisation=organisation,
            tokens=tokens,
            rank=applicant.rank,
            value=applicant.value,
            wait_ms=self._wait_ms(applicant.until),
            service=applicant.service,
            mark=applicant.fingerprint,
        )
        fut = self._futures[ask.ticket] = asyncio.get_running_loop().create_future()
        self._unsent.append(ask)
        self._wake()
        try:
            async with asyncio.timeout_at(until):
                return await fut
        finally:
            if not fut.done() or fut.cancelled():
                self._abandon(ask)

    def refund(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Refund tokens of a request that has not run; a grant of an earlier coordinator lapses."""
        if granted_at < self._stream_started_at:
            return
        self._returns.append(pb.QuotaReturn(organisation=organisation, tokens=tokens))
        self._wake()

    def begin_stream(self) -> None:
        """Fail the pending requests, because a new coordinator will not answer them."""
        self._stream_started_at = self._clock()
        for fut in self._futures.values():
            if not fut.done():
                fut.set_exception(TimeoutError("stream to the coordinator was replaced"))
        self._futures.clear()
        self._unsent.clear()
        self._returns.clear()

    def fill(self, message: pb.FromGateway) -> None:
        """Add pending requests and refunds to a message."""
        message.quota_asks.extend(self._unsent)
        message.quota_returns.extend(self._returns)
        self._unsent.clear()
        self._returns.clear()

    def take(self, message: pb.FromPlanner) -> None:
        """Pass each answer to the request that waits for it."""
        for answer in message.quota_answers:
            self._resolve(answer)

    def _wait_ms(self, until: float) -> int:
        return round(1000 * min(MAX_WAIT_S, max(0.0, until - self._clock())))

    def _resolve(self, answer: pb.QuotaAnswer) -> None:
        fut = self._futures.pop(answer.ticket, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def _abandon(self, ask: pb.QuotaAsk) -> None:
        """Stop waiting for an answer; refund a grant that arrives later."""
        if ask in self._unsent:
            self._unsent.remove(ask)
            self._futures.pop(ask.ticket, None)
            return
        fut: asyncio.Future[pb.QuotaAnswer] = asyncio.get_running_loop().create_future()
        fut.add_done_callback(lambda done: self._return_late(ask, done))
        self._futures[ask.ticket] = fut

    def _return_late(self, ask: pb.QuotaAsk, done: asyncio.Future[pb.QuotaAnswer]) -> None:
        if done.cancelled() or done.exception() is not None or not done.result().granted:
            return
        self.refund(ask.organisation, ask.tokens, self._clock())
