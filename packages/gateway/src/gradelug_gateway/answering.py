"""Answers of our own: what was not run, may have run, is not allowed, or is too much."""

from __future__ import annotations

import typing as t

import logbook
from gradelug_http import Incoming

from .admitting import Admitter
from .exceptions import GATEWAY_TIMEOUT, Blocked, Failed, Limited, Refused
from .fingerprints import shown
from .job import Job
from .metrics import Meters
from .model import Request, Route
from .ports import Dialect
from .sending import Sender

log = logbook.Logger("answering")
DEFAULT_RETRY_AFTER_S = 0.3
"""When to come back where nothing tells better."""


class Answerer:
    """Ends requests that replicas did not answer.

    Parameters
    ----------
    dialect : Dialect
        How callers speak.
    sender : Sender
        Passes a replica's own failure on.
    admitter : Admitter
        Tells by which configuration a request was judged.
    meters : Meters
        Counts answers.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_admitter", "_clock", "_dialect", "_meters", "_sender")

    def __init__(
        self,
        dialect: Dialect,
        sender: Sender,
        admitter: Admitter,
        meters: Meters,
        clock: t.Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._admitter = admitter
        self._meters = meters
        self._clock = clock

    def expire(self, job: Job) -> None:
        """Answer a request whose time has run out."""
        if job.may_have_run or job.inc.started:
            self.fail(job, Failed("out of time", GATEWAY_TIMEOUT))
        else:
            self.refuse(job, Refused("out of time before it was sent", DEFAULT_RETRY_AFTER_S))

    def refuse(self, job: Job, exc: Refused) -> None:
        """Answer that a request was not run, or that it may have been if that is so."""
        if not job.is_unrun:
            self.fail(job, Failed(str(exc)))
            return
        job.give_back()
        waited_s = self._clock() - job.req.arrived_at
        log.info(
            "refused",
            id=job.req.id,
            fingerprint=shown(job.fingerprint),
            weights=job.req.key.text if job.req.key is not None else "",
            why=str(exc),
            waited_s=round(waited_s, 3),
            retry_s=round(exc.retry_after_s, 3),
            sends=job.sends,
        )
        self._meters.outcome(job.route.name, "blocked" if isinstance(exc, Blocked) else "refused")
        self.answer_without_body(job.inc, job.req.id, 503, exc.retry_after_s)

    def limit(self, job: Job, exc: Limited) -> None:
        """Answer that an organisation's quota is used up."""
        log.info(
            "limited",
            id=job.req.id,
            why=str(exc),
            route=job.route.name,
            rank=job.route.rank,
            standing=exc.inputs.standing,
            tokens=exc.inputs.tokens,
            there=exc.inputs.level,
            needed=exc.inputs.needed,
            wait_s=round(job.deadline_at - self._clock(), 3),
            retry_s=round(exc.retry_after_s, 3),
            config=job.config,
        )
        self._meters.outcome(job.route.name, "limited")
        self._meters.limited(exc.organisation, job.route.rank, exc.inputs.standing)
        self.answer_without_body(job.inc, job.req.id, 429, exc.retry_after_s)

    def deny(self, inc: Incoming, req: Request, route: Route, why: str) -> None:
        """Answer that a request carries no good key."""
        log.info(
            "denied",
            id=req.id,
            route=route.name,
            why=why,
            config=self._admitter.config,
            proof_age_s=round(self._admitter.proof_age_s, 2),
        )
        self._meters.outcome(route.name, "denied")
        inc.respond(401, self._dialect.refusal(req.id, None, wants_key=True), b"")

    def fail(self, job: Job, exc: Failed) -> None:
        """End a request that may have run and has no whole answer."""
        log.info(
            "failed",
            id=job.req.id,
            fingerprint=shown(job.fingerprint),
            why=str(exc),
            sends=job.sends,
            last_event=job.events.last_event,
            started=job.inc.started,
        )
        self._meters.outcome(job.route.name, "failed")
        if job.inc.started:
            # Left without its end, the answer cannot be taken for whole.
            return
        if job.failure is not None:
            self._sender.forward_response(job, *job.failure)
            return
        self.answer_without_body(job.inc, job.req.id, exc.status, None)

    def answer_without_body(
        self, inc: Incoming, request_id: str, status: int, retry_after_s: float | None
    ) -> None:
        """Answer without a body."""
        headers = self._dialect.refusal(request_id, retry_after_s)
        inc.respond(status, headers, b"")
