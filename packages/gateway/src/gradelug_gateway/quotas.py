"""Quotas of organisations at an instance: asked of their home, or drawn from a share of its own.

One instance, the planner of a service, is the home of all quotas: it sees every request that
counts, so that a window holds no more than the quota wherever the requests come in. A question
takes one round trip between instances.
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
ANSWER_S = 0.25
"""An answer takes a round trip of milliseconds; a home that rests after a decision takes some
tens. Later than this it may be lost."""
UNAVAILABLE_RETRY_S = 0.05
"""Another instance may reach the home."""
POLL_INTERVAL_S = 0.03
"""How often a request that waits for a home looks whether there is one."""
MAX_WAIT_S = 3_600.0
"""Nobody is told to come back later than this: a caller that waits for ever is told the same."""
RETRY_JITTER_FRACTION = 0.5
"""Callers that were refused together come back spread over so much more of the time."""


@dataclass(slots=True, frozen=True)
class Applicant:
    """Who asks for a part of a quota, as the home is told.

    Parameters
    ----------
    rank : int
        Urgency within the organisation, 0 first.
    value : float
        What an answer in time is worth, 1 for an ordinary urgent request.
    until : float
        Until when its caller waits, by the runtime's clock.
    service : str
        Where it goes: urgencies compare within a service.
    mark : int
        The same for all tries of one request, 32 bits; 0 if nothing tells.
    """

    rank: int = 0
    value: float = 1.0
    until: float = math.inf
    service: str = ""
    mark: int = 0


ANYBODY = Applicant()


class QuotaLink(t.Protocol):
    """The way to the home of the quotas."""

    @property
    def is_quiet(self) -> bool:
        """Whether the home may be lost."""
        ...

    async def ask_quota(
        self, organisation: str, tokens: int, until: float, applicant: Applicant
    ) -> pb.QuotaAnswer:
        """Return the home's answer; raises `TimeoutError`."""
        ...

    def return_quota(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Give back what was granted at a moment to a request that has not run."""
        ...


@dataclass(slots=True, frozen=True)
class Charge:
    """What a request was granted.

    Parameters
    ----------
    organisation : str
        From whose quota.
    tokens : int
        How much.
    link : QuotaLink or None
        Who granted it; None for this instance's own share.
    granted_at : float
        When, by the runtime's clock.
    """

    organisation: str
    tokens: int
    link: QuotaLink | None
    granted_at: float

    def give_back(self) -> None:
        """Return it: the request has not run and will not."""
        if self.link is not None:
            self.link.return_quota(self.organisation, self.tokens, self.granted_at)


class Quotas:
    """Lets requests run within the quotas of their organisations.

    Parameters
    ----------
    locate : callable
        Returns the way to the home, None if there is none.
    clock, rng
        The runtime's clock and source of chance.
    shares : LocalShares
        What this instance may use without asking.
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
        prompt: int,
        most: int,
        until: float,
        applicant: Applicant = ANYBODY,
    ) -> Charge | None:
        """Let a request run, or raise.

        While the home is being replaced, a request that no share covers waits for it: after all
        instances were lost at once nobody has a share, and a home is there within a second.

        Parameters
        ----------
        organisation : Organisation
            Whose request it is.
        prompt, most : int
            Tokens that the request states; 0 for none.
        until : float
            How long it may wait for a home, by the runtime's clock.
        applicant : Applicant
            Who asks.

        Returns
        -------
        Charge or None
            What it counts, None without a limit.

        Raises
        ------
        Limited
            If the quota is used up.
        Refused
            If the home cannot be asked and this instance has no share left.
        """
        if organisation.quota is None:
            return None
        name = organisation.name
        tokens = round(organisation.quota.charge(prompt, most))
        while True:
            charge = await self._ask(name, tokens, applicant) or self._charge_local_share(
                name, tokens
            )
            if charge is not None:
                return charge
            if self._clock() >= until:
                raise Refused(f"the quota of {name} cannot be asked for", UNAVAILABLE_RETRY_S)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ask(self, name: str, tokens: int, applicant: Applicant) -> Charge | None:
        """Ask the home; None if it cannot be asked or grants nothing now."""
        link = self._find_link()
        if link is None or link.is_quiet:
            return None
        try:
            answer = await link.ask_quota(name, tokens, self._clock() + ANSWER_S, applicant)
        except TimeoutError:
            log.info("no answer on a quota", organisation=name)
            return None
        if not answer.granted and not answer.retry_after_ms:
            return None
        return self._apply_answer(link, name, tokens, answer)

    def _apply_answer(
        self, link: QuotaLink, name: str, tokens: int, answer: pb.QuotaAnswer
    ) -> Charge:
        now = self._clock()
        self._shares.note_told(name, answer.share, now)
        if answer.granted:
            return Charge(name, tokens, link, now)
        retry_s = answer.retry_after_ms / 1000
        inputs = QuotaInputs(tokens, answer.level, answer.needed, answer.standing)
        raise Limited(name, retry_s * (1 + RETRY_JITTER_FRACTION * self._rng.random()), inputs)

    def _charge_local_share(self, name: str, tokens: int) -> Charge | None:
        """Draw on this instance's share while the home is being replaced."""
        now = self._clock()
        self._shares.note_lost(now)
        if self._shares.try_take(name, tokens, now):
            return Charge(name, tokens, None, now)
        return None


class QuotaQuestions:
    """Questions for quotas that wait for the home's answer; implements `parts.GatewayPart`.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    wake : callable
        Called when there is something to send.
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
        self, organisation: str, tokens: int, until: float, applicant: Applicant = ANYBODY
    ) -> pb.QuotaAnswer:
        """Return the home's answer; raises `TimeoutError`."""
        self._ticket += 1
        ask = pb.QuotaAsk(
            ticket=self._ticket,
            organisation=organisation,
            tokens=tokens,
            rank=applicant.rank,
            value=applicant.value,
            wait_ms=self._wait_ms(applicant.until),
            service=applicant.service,
            mark=applicant.mark,
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

    def give_back(self, organisation: str, tokens: int, granted_at: float) -> None:
        """Return what was granted to a request that has not run, unless by an earlier home."""
        if granted_at < self._stream_started_at:
            return
        self._returns.append(pb.QuotaReturn(organisation=organisation, tokens=tokens))
        self._wake()

    def begin_stream(self) -> None:
        """Ask another home: what the last one was asked is not answered any more."""
        self._stream_started_at = self._clock()
        for fut in self._futures.values():
            if not fut.done():
                fut.set_exception(TimeoutError("the home is lost"))
        self._futures.clear()
        self._unsent.clear()
        self._returns.clear()

    def fill(self, message: pb.FromGateway) -> None:
        """Put what is to be sent into a message."""
        message.quota_asks.extend(self._unsent)
        message.quota_returns.extend(self._returns)
        self._unsent.clear()
        self._returns.clear()

    def take(self, message: pb.FromPlanner) -> None:
        """Hand each answer to whoever waits for it."""
        for answer in message.quota_answers:
            self._resolve(answer)

    def _wait_ms(self, until: float) -> int:
        return round(1000 * min(MAX_WAIT_S, max(0.0, until - self._clock())))

    def _resolve(self, answer: pb.QuotaAnswer) -> None:
        fut = self._futures.pop(answer.ticket, None)
        if fut is not None and not fut.done():
            fut.set_result(answer)

    def _abandon(self, ask: pb.QuotaAsk) -> None:
        """Stop waiting; what is granted all the same is returned."""
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
        self.give_back(ask.organisation, ask.tokens, self._clock())
