"""Error answers that the gateway generates itself, with their log lines and metrics.

They cover requests that were not run, that failed, whose key is invalid, or that exceed a quota.
"""

from __future__ import annotations

import typing as t

import logbook
from gradelug_http import Incoming

from .admission import OTHER_INSTANCE_RETRY_AFTER_S, AdmissionControl
from .exceptions import GATEWAY_TIMEOUT, Blocked, Failed, Limited, Refused
from .fingerprints import format_fingerprint
from .job import Job
from .metrics import GatewayMetrics
from .model import Request, Route
from .ports import Dialect
from .sending import Sender

log = logbook.Logger("answering")
DEFAULT_RETRY_AFTER_S = 0.3
"""Retry-After of refusals for which no better estimate exists."""
EARLY_FAILURE_FRACTION = 0.3
"""A request that fails with more than this fraction of its time left counts as failed early."""


class ErrorResponder:
    """Answers requests for which no replica's response is forwarded.

    Parameters
    ----------
    dialect : Dialect
        Creates the headers of answers.
    sender : Sender
        Forwards a replica's error response.
    admitter : AdmissionControl
        Provides the version and age of the configuration, for the log.
    meters : GatewayMetrics
        Request metrics.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_admitter", "_clock", "_dialect", "_meters", "_sender")

    def __init__(
        self,
        dialect: Dialect,
        sender: Sender,
        admitter: AdmissionControl,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
    ) -> None:
        self._dialect = dialect
        self._sender = sender
        self._admitter = admitter
        self._meters = meters
        self._clock = clock

    def expire(self, job: Job) -> None:
        """Answer a request whose deadline has passed."""
        if job.is_cut_short:
            self._end_early(job)
        elif not job.is_unrun:
            self.fail(job, Failed("out of time", GATEWAY_TIMEOUT))
        else:
            self.refuse(job, Refused("out of time before it was sent", DEFAULT_RETRY_AFTER_S))

    def _end_early(self, job: Job) -> None:
        """Answer a request that did not end before this instance shuts down."""
        why = "this instance shuts down before the request has ended"
        if job.is_unrun:
            self.refuse(job, Refused(why, OTHER_INSTANCE_RETRY_AFTER_S))
        else:
            self.fail(job, Failed(why, GATEWAY_TIMEOUT))

    def refuse(self, job: Job, exc: Refused) -> None:
        """Answer 503 to a request that was not run; if it may have run, answer as a failure."""
        if not job.is_unrun:
            self.fail(job, Failed(str(exc)))
            return
        job.give_back()
        waited_s = self._clock() - job.req.arrived_at
        log.info(
            "refused",
            id=job.req.id,
            fingerprint=format_fingerprint(job.fingerprint),
            weights=job.req.key.text if job.req.key is not None else "",
            why=str(exc),
            waited_s=round(waited_s, 3),
            retry_s=round(exc.retry_after_s, 3),
            sends=job.sends,
        )
        self._meters.count_outcome(
            job.route.name, "blocked" if isinstance(exc, Blocked) else "refused"
        )
        self.answer_without_body(job.inc, job.req.id, 503, exc.retry_after_s)

    def limit(self, job: Job, exc: Limited) -> None:
        """Answer 429 to a request that exceeds its organisation's quota."""
        log.info(
            "limited",
            id=job.req.id,
            why=str(exc),
            route=job.route.name,
            rank=job.route.rank,
            standing=exc.inputs.standing,
            tokens=exc.inputs.tokens,
            there=exc.inputs.level,
            needed=exc.inputs.required,
            wait_s=round(job.deadline_at - self._clock(), 3),
            retry_s=round(exc.retry_after_s, 3),
            config=job.config,
        )
        self._meters.count_outcome(job.route.name, "limited")
        self._meters.count_limited(exc.organisation, job.route.rank, exc.inputs.standing)
        self.answer_without_body(job.inc, job.req.id, 429, exc.retry_after_s)

    def deny(self, inc: Incoming, req: Request, route: Route, why: str) -> None:
        """Answer 401 to a request without a valid key."""
        log.info(
            "denied",
            id=req.id,
            route=route.name,
            why=why,
            config=self._admitter.config,
            proof_age_s=round(self._admitter.proof_age_s, 2),
        )
        self._meters.count_outcome(route.name, "denied")
        inc.respond(401, self._dialect.error_headers(req.id, None, wants_key=True), b"")

    def fail(self, job: Job, exc: Failed) -> None:
        """End a request that may have run and has no complete response."""
        left_s = job.caller_deadline_at - self._clock()
        is_early = left_s > EARLY_FAILURE_FRACTION * (job.caller_deadline_at - job.req.arrived_at)
        log.info(
            "failed",
            id=job.req.id,
            fingerprint=format_fingerprint(job.fingerprint),
            why=str(exc),
            sends=job.sends,
            abandoned=job.abandoned,
            last_event=job.events.last_event,
            started=job.inc.started,
            left_s=round(left_s, 3),
        )
        self._meters.count_outcome(job.route.name, "failed")
        if is_early:
            self._meters.count_early_failure(job.inc.started, job.abandoned > 0)
        if job.inc.started:
            # Without its end marker the caller recognises the answer as incomplete.
            return
        if job.failure is not None:
            head, body = job.failure
            self._sender.forward_response(job, head, body.data)
            return
        self.answer_without_body(job.inc, job.req.id, exc.status, None)

    def answer_without_body(
        self, inc: Incoming, request_id: str, status: int, retry_after_s: float | None
    ) -> None:
        """Send an answer without a body.

        Parameters
        ----------
        inc : Incoming
            The caller's HTTP request.
        request_id : str
            The caller's identifier of the request, empty if unknown.
        status : int
            HTTP status.
        retry_after_s : float or None
            Value of the Retry-After header, in seconds; None for no header.
        """
        headers = self._dialect.error_headers(request_id, retry_after_s)
        inc.respond(status, headers, b"")
