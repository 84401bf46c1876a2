"""What is done with each request, from the door to the last byte of its answer."""

from __future__ import annotations

import asyncio
import itertools
import math
import re
import typing as t
import uuid
from dataclasses import dataclass

import logbook
from gradelug_config import Forbidden, Plan, UnknownModel
from gradelug_config.model import Caller
from gradelug_objectives import Served
from gradelug_policy import RetryBudget
from gradelug_runtime import Metrics
from returns.result import Success

from . import openai
from .acquire import Acquirer, Wanted
from .door import Exchange
from .exceptions import (
    ApiError,
    CallerGone,
    DeadlinePassed,
    NotSent,
    Outcome,
    UpstreamBroken,
    UpstreamRefused,
)
from .levels import Levels
from .once import OnceKeeper, Reservation
from .relay import Progress, Relay
from .settings import RouterSettings
from .upstream import NOT_RUN_STATUSES, Outgoing, UpstreamClient
from .view import View
from .wallet import Credit, Wallet

log = logbook.Logger("serving")
MAX_ATTEMPTS = 4
SERVICES = "/services/"
WINDOWS = "/-/windows"
PRIORITY_SCALE = 10
_request_id_re = re.compile(r"^[A-Za-z0-9._-]{1,64}$")
_JSON = "application/json"
_REPEATABLE = "Gradelug-Repeatable"
_DEADLINE = "Gradelug-Deadline-Ms"
_OUTCOME = "Gradelug-Outcome"


@dataclass(slots=True, frozen=True)
class Parts:
    """What serving works with."""

    cfg: RouterSettings
    view: View
    wallet: Wallet
    acquirer: Acquirer
    client: UpstreamClient
    once: OnceKeeper
    relay: Relay
    metrics: Metrics
    levels: Levels
    clock: t.Callable[[], float]


@dataclass(slots=True)
class Job:
    """One request on its way.

    Parameters
    ----------
    request_id : str
        The caller's, or one made for it.
    caller : Caller
        Who asked.
    arrived_at, deadline : float
        By the runtime's clock.
    single : bool
        Whether it may be run at most once.
    key : str
        The caller's idempotency key, empty if none.
    """

    request_id: str
    caller: Caller
    arrived_at: float
    deadline: float
    single: bool
    key: str
    progress: Progress
    first_token_s: float | None = None
    between_tokens_s: float | None = None
    stall_s: float = 0.0


class Serving:
    """Answers requests.

    Parameters
    ----------
    parts : Parts
        What it works with.
    """

    __slots__ = ("_budget", "_parts", "_work_until", "is_ending")

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self._budget = RetryBudget()
        self._work_until: float | None = None
        """When all requests have to end, by the runtime's clock; None if the router goes on."""
        self.is_ending = False
        """Whether requests are cancelled because the router ends."""

    def stop(self, work_until: float) -> None:
        """Tell that the router is not ready, and end later requests by a time of its clock."""
        self._work_until = work_until

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request, whatever becomes of it."""
        given = exchange.header("X-Request-Id")
        request_id = given if _request_id_re.match(given) else uuid.uuid4().hex
        try:
            await self._route(exchange, request_id)
        except ApiError as exc:
            self._answer_error(exchange, exc, request_id)
        except CallerGone:
            self._parts.metrics.count("callers_gone")
            raise
        except asyncio.CancelledError:
            if not self.is_ending:
                raise
            error = ApiError(504, "stopping", "the router stops before it ends", Outcome.UNKNOWN)
            self._answer_error(exchange, error, request_id)
        except Exception:
            log.exception("request {} failed", request_id)
            error = ApiError(500, "internal", "an internal error", Outcome.UNKNOWN)
            self._answer_error(exchange, error, request_id)

    async def _route(self, exchange: Exchange, request_id: str) -> None:
        path = exchange.path
        if path == "/healthz":
            exchange.respond(200, b"ok\n", {"Content-Type": "text/plain"})
            return
        if path == "/readyz":
            self._answer_ready(exchange)
            return
        known = (openai.CHAT, openai.COMPLETIONS, openai.MODELS, WINDOWS)
        if path not in known and not path.startswith(SERVICES):
            raise ApiError(404, "not_found", f"there is nothing at {path!r}")
        await self._ensure_fresh()
        caller = self._authenticate(exchange)
        job = self._job(exchange, request_id, caller)
        self._parts.metrics.count("requests")
        if path == openai.MODELS:
            self._require(exchange, "GET")
            models = (str(key) for key in self._parts.view.catalog.reachable(caller))
            exchange.respond(200, openai.model_list(models), self._headers(job, Outcome.RAN))
        elif path == WINDOWS:
            self._answer_windows(exchange, job)
        elif path.startswith(SERVICES):
            await self._serve_service(exchange, job)
        else:
            self._require(exchange, "POST")
            await self._serve_completion(exchange, job)

    async def _serve_completion(self, exchange: Exchange, job: Job) -> None:
        completion = openai.parse_completion(exchange.path, exchange.body)
        plan = self._plan(job.caller, completion.model)
        async with _Reserved(self._parts.once, job, exchange):
            if plan.legacy:
                headers = {"Gradelug-Request-Id": job.request_id, "Gradelug-Route": plan.route}
                await self._parts.relay.legacy(exchange, headers, job.progress)
                return
            self._budget.note_attempt()
            answered = False
            try:
                for attempt in itertools.count(1):
                    if await self._attempt(exchange, job, completion, plan, attempt):
                        break
                answered = True
            except ApiError as exc:
                # What the engine finds wrong with a request is no failure of ours.
                answered = exc.status < 500
                raise
            finally:
                self._note_level(job, plan, answered)

    def _note_level(self, job: Job, plan: Plan, answered: bool) -> None:
        served = Served(
            adapter=str(plan.adapter),
            answered=answered,
            first_token_s=job.first_token_s,
            between_tokens_s=job.between_tokens_s,
            stall_s=job.stall_s,
        )
        catalog = self._parts.view.catalog
        self._parts.levels.note(catalog, job.caller, plan.adapter, served)

    async def _attempt(
        self,
        exchange: Exchange,
        job: Job,
        completion: openai.Completion,
        plan: Plan,
        attempt: int,
    ) -> bool:
        """Try one engine; tell whether the request has its final answer."""
        parts = self._parts
        credit = await self._acquire(job, plan)
        circuit = parts.acquirer.circuit(credit.engine)
        circuit.note_start(parts.clock())
        try:
            await self._run(exchange, job, completion, plan, credit)
        except NotSent as exc:
            circuit.note_failure(parts.clock())
            parts.acquirer.distrust(credit.engine, credit.key, str(exc))
            self._check_attempts(job, attempt, "unavailable", str(exc))
            return False
        except UpstreamRefused as exc:
            circuit.note_success()
            self._take_refusal(job, credit, exc, attempt)
            return False
        except DeadlinePassed:
            # An engine that hangs is left alone like one that breaks.
            circuit.note_failure(parts.clock())
            raise
        except UpstreamBroken as exc:
            circuit.note_failure(parts.clock())
            parts.metrics.count("upstream_broken")
            log.warning("{}: {} on {}: {}", job.request_id, credit.key, credit.engine, exc)
            return self._take_broken(exchange, job, credit, exc, attempt)
        finally:
            parts.wallet.end(credit)
        circuit.note_success()
        return True

    async def _acquire(self, job: Job, plan: Plan) -> Credit:
        wanted = Wanted(str(plan.adapter), plan.pools, plan.weight, job.deadline, job.request_id)
        started = self._parts.clock()
        acquired = await self._parts.acquirer.acquire(wanted)
        self._parts.metrics.time("credit_wait", self._parts.clock() - started)
        if isinstance(acquired, Success):
            job.stall_s += acquired.unwrap().stall_s
            return acquired.unwrap()
        refused = acquired.failure()
        self._parts.metrics.count(f"refused.{refused.code}")
        raise ApiError(
            503, refused.code, refused.reason, job.progress.outcome, refused.retry_after_s
        )

    async def _run(
        self,
        exchange: Exchange,
        job: Job,
        completion: openai.Completion,
        plan: Plan,
        credit: Credit,
    ) -> None:
        known = self._parts.view.catalog.engines.get(credit.engine)
        if known is None:
            raise NotSent("the configuration no longer has the engine")
        engine, _ = known
        priority = -round(plan.weight * PRIORITY_SCALE)
        out = Outgoing(
            url=engine.address + completion.path,
            body=completion.for_engine(credit.key, priority),
            # Ours alone, whatever identifier the caller gave, yet found by it in any log.
            attempt=f"{job.request_id}-{uuid.uuid4().hex[:16]}",
            adapter=credit.key,
            single_use=job.single,
        )
        before = job.progress.outcome
        job.progress.outcome = Outcome.UNKNOWN
        headers = self._headers(job, Outcome.RAN)
        headers["Gradelug-Adapter"] = credit.key
        headers["Gradelug-Load-Stall-Ms"] = str(round(credit.stall_s * 1000))
        try:
            if completion.stream:
                await self._stream(exchange, job, out, credit, headers)
            else:
                async with asyncio.timeout_at(job.deadline):
                    body = await self._parts.client.whole(out, credit.valid_until)
                exchange.respond(200, body, headers)
        except (NotSent, UpstreamRefused):
            job.progress.outcome = before
            raise
        except TimeoutError:
            raise DeadlinePassed() from None
        job.progress.outcome = Outcome.RAN

    async def _stream(
        self,
        exchange: Exchange,
        job: Job,
        out: Outgoing,
        credit: Credit,
        headers: dict[str, str],
    ) -> None:
        metrics, clock = self._parts.metrics, self._parts.clock
        events = self._parts.client.stream(out, credit.valid_until)
        try:
            async with asyncio.timeout_at(job.deadline):
                first = await anext(events)
            began = clock()
            job.first_token_s = began - job.arrived_at
            metrics.time("first_token", job.first_token_s)
            headers["Content-Type"] = "text/event-stream"
            headers["Cache-Control"] = "no-cache"
            exchange.begin(200, headers)
            await exchange.send(first)
            count = 0
            async for chunk in events:
                count += 1
                await exchange.send(chunk)
            metrics.count("token_events", count)
            job.between_tokens_s = (clock() - began) / count if count else None
        finally:
            await events.aclose()  # type: ignore[attr-defined]
        exchange.finish()

    def _take_refusal(self, job: Job, credit: Credit, exc: UpstreamRefused, attempt: int) -> None:
        if exc.status not in NOT_RUN_STATUSES:
            raise ApiError(exc.status, exc.code or "refused", str(exc), job.progress.outcome)
        self._parts.metrics.count(f"upstream_refused.{exc.status}")
        self._parts.acquirer.distrust(credit.engine, credit.key, str(exc))
        self._check_attempts(job, attempt, "unavailable", str(exc))

    def _take_broken(
        self, exchange: Exchange, job: Job, credit: Credit, exc: UpstreamBroken, attempt: int
    ) -> bool:
        self._parts.acquirer.distrust(credit.engine, credit.key, str(exc))
        error = ApiError(502, "upstream_broken", str(exc), Outcome.UNKNOWN, None)
        if exchange.started:
            self._parts.metrics.count("streams_cut")
            raise _Cut(error)
        if job.single or not self._budget.try_retry():
            raise error
        self._check_attempts(job, attempt, "upstream_broken", str(exc))
        return False

    def _check_attempts(self, job: Job, attempt: int, code: str, message: str) -> None:
        if attempt >= MAX_ATTEMPTS:
            raise ApiError(503, code, message, job.progress.outcome, 1.0)

    async def _serve_service(self, exchange: Exchange, job: Job) -> None:
        name, _, rest = exchange.path.removeprefix(SERVICES).partition("/")
        catalog = self._parts.view.catalog
        service = catalog.services.get(name)
        if service is None or not catalog.serves(service, job.caller):
            raise ApiError(404, "not_found", f"there is no service {name!r} for this caller")
        if any(f"/{rest}".startswith(prefix) for prefix in service.once):
            job.single = True
        query = f"?{exchange.query}" if exchange.query else ""
        headers = {"Gradelug-Request-Id": job.request_id}
        async with _Reserved(self._parts.once, job, exchange):
            try:
                async with asyncio.timeout_at(job.deadline):
                    await self._parts.relay.service(
                        exchange, service, rest + query, job.single, headers, job.progress
                    )
            except TimeoutError:
                if not exchange.started:
                    raise DeadlinePassed() from None
                exchange.cut()

    async def _ensure_fresh(self) -> None:
        view, limit_s = self._parts.view, self._parts.cfg.timing.stale_s
        if view.is_fresh(limit_s):
            return
        # Also the first thing after a pause: what is in force may have changed meanwhile.
        await view.sync()
        if not view.is_fresh(limit_s):
            message = "no scheduler answers; the configuration in force is not known"
            raise ApiError(503, "not_ready", message, retry_after_s=1.0)

    def _authenticate(self, exchange: Exchange) -> Caller:
        kind, _, token = exchange.header("Authorization").partition(" ")
        caller = None
        if kind.lower() == "bearer" and token:
            caller = self._parts.view.catalog.authenticate(token.strip())
        if caller is None:
            raise ApiError(401, "unauthorized", "a valid bearer token is required")
        return caller

    def _plan(self, caller: Caller, model: str) -> Plan:
        try:
            return self._parts.view.catalog.plan(caller, model)
        except UnknownModel as exc:
            raise ApiError(404, "model_not_found", str(exc)) from exc
        except Forbidden as exc:
            raise ApiError(403, "forbidden", str(exc)) from exc

    def _job(self, exchange: Exchange, request_id: str, caller: Caller) -> Job:
        key = exchange.header("Idempotency-Key")
        repeatable = exchange.header(_REPEATABLE).lower()
        if repeatable not in ("", "yes", "no"):
            raise ApiError(400, "bad_header", f"{_REPEATABLE} must be yes or no")
        limit_s = self._parts.cfg.limits.deadline_s
        given = exchange.header(_DEADLINE)
        if given:
            if not given.isascii() or not given.isdigit() or len(given) > 9:
                raise ApiError(400, "bad_header", f"{_DEADLINE} must be a whole number")
            limit_s = min(limit_s, int(given) / 1000)
        now = self._parts.clock()
        single = bool(key) or repeatable == "no"
        deadline = self._limit_deadline(now + limit_s, single)
        return Job(request_id, caller, now, deadline, single, key, Progress())

    def _limit_deadline(self, deadline: float, single: bool) -> float:
        """Return when a request has to end, at the latest when the router does.

        One that may be run at most once is refused if its deadline is later.
        """
        if self._work_until is None or deadline <= self._work_until:
            return deadline
        if single:
            raise ApiError(
                503, "stopping", "it might not end before the router stops", retry_after_s=1
            )
        return self._work_until

    def _require(self, exchange: Exchange, method: str) -> None:
        if exchange.method != method:
            raise ApiError(405, "method", f"use {method}")

    def _headers(self, job: Job, outcome: Outcome) -> dict[str, str]:
        return {
            "Content-Type": _JSON,
            "Gradelug-Request-Id": job.request_id,
            _OUTCOME: outcome.value,
        }

    def _answer_windows(self, exchange: Exchange, job: Job) -> None:
        view = self._parts.view
        if not view.catalog.is_operator(job.caller):
            raise ApiError(403, "forbidden", "the configuration's operators do not match")
        windows = self._parts.levels.encode(view.name)
        exchange.respond(200, windows, self._headers(job, Outcome.RAN))

    def _answer_ready(self, exchange: Exchange) -> None:
        fresh = self._parts.view.is_fresh(self._parts.cfg.timing.stale_s)
        ready = fresh and self._work_until is None
        status, text = (200, b"ready\n") if ready else (503, b"not ready\n")
        revision = str(self._parts.view.head.revision)
        headers = {"Content-Type": "text/plain", "Gradelug-Revision": revision}
        exchange.respond(status, text, headers)

    def _answer_error(self, exchange: Exchange, exc: ApiError, request_id: str) -> None:
        self._parts.metrics.count(f"errors.{exc.status}")
        if exchange.started:
            if isinstance(exc, _Cut):
                exchange.send_now(openai.error_event(exc, request_id))
            exchange.cut()
            return
        headers = {
            "Content-Type": _JSON,
            "Gradelug-Request-Id": request_id,
            _OUTCOME: exc.outcome.value,
        }
        if exc.retry_after_s is not None:
            headers["Retry-After"] = str(max(1, math.ceil(exc.retry_after_s)))
        if exc.status == 401:
            headers["WWW-Authenticate"] = "Bearer"
        exchange.respond(exc.status, openai.error_body(exc, request_id), headers)


class _Cut(ApiError):
    """A stream that broke after its answer had begun."""

    def __init__(self, error: ApiError) -> None:
        super().__init__(error.status, error.code, str(error), error.outcome)


class _Reserved:
    """The key of a request, reserved while it runs and settled afterwards."""

    __slots__ = ("_exchange", "_job", "_once", "_reservation")

    def __init__(self, once: OnceKeeper, job: Job, exchange: Exchange) -> None:
        self._once = once
        self._job = job
        self._exchange = exchange
        self._reservation: Reservation | None = None

    async def __aenter__(self) -> None:
        if not self._job.key:
            return
        request = f"{self._exchange.path}\0".encode() + self._exchange.body
        self._reservation = await self._once.reserve(self._job.caller.name, self._job.key, request)

    async def __aexit__(self, *exc_info: t.Any) -> None:
        if self._reservation is not None:
            await self._once.settle(self._reservation, self._job.progress.outcome)
