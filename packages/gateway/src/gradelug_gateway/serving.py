"""The request pipeline: admission, quota, placement, sending, retries and the answer.

The HTTP server calls `serve` for each request; other modules implement the individual steps.
"""

from __future__ import annotations

import asyncio
import math
import random
import typing as t
from dataclasses import replace

import logbook
from gradelug_http import ClientGone, Incoming

from .admission import OTHER_INSTANCE_RETRY_AFTER_S, AdmissionControl
from .authentication import reauthenticate
from .backoff_check import check_backoff
from .budgets import RetryBudgets
from .directory import Directory
from .error_responses import DEFAULT_RETRY_AFTER_S, ErrorResponder
from .exceptions import Failed, Limited, Refused, Unauthenticated
from .fleet import Fleet
from .job import REFUSALS, Job, Outcome
from .metrics import GatewayMetrics
from .model import KvCopy, KvCopyKind, Repeat, Replica, Request, Service
from .offers import Offer
from .plain_placement import PlainPlacer
from .ports import BadRequest, Dialect
from .quotas import QuotaApplicant, Quotas
from .request_placer import RequestPlacer
from .routing import RouteTable, choose_service
from .runs import RunRecovery
from .sending import Sender
from .share_tally import UsageTally
from .shutdown import ShutdownGate, ShutdownSchedule
from .stream_origins import StreamOrigins
from .successors import Successors
from .values import RequestValuation, attempt_digest
from .wait_policy import WaitPolicy
from .withdrawal import WaitingRequests

log = logbook.Logger("serving")
ABSENT_RETRY_DELAY_S = 0.03
"""Delay before a retry after a replica reported that it lacks the weights; their load is about to
finish then."""
FIRST_CONFIG_WAIT_S = 2.0
"""Longest wait of a request for the first configuration after startup, while the store responds.
The store sends 1.2 MB for 1,700 routes and 145 replicas, which takes 0.9 s on a 10 Mbit/s link;
instances that start at the same time share the store's link too."""
POLL_S = 0.05
PLACEMENT_RETRY_S = 0.25
"""Interval between searches for a replica for a stream that has begun."""
MAX_LOGGED_ID = 200
"""Maximum number of characters of an identifier in logs that a caller chose."""


class RequestPipeline:
    """Runs callers' requests from admission to the answer.

    Parameters
    ----------
    dialect : Dialect
        Reads and writes the HTTP headers of callers and replicas.
    fleet : Fleet
        State and load of all replicas.
    directory : Directory
        Requests placements from the planner.
    sender : Sender
        Sends requests to replicas.
    budgets : RetryBudgets
        Retry budget of this instance for each service.
    meters : GatewayMetrics
        Request metrics.
    clock : callable
        Returns the event loop's time, in seconds.
    rng : Random
        Source of randomness for service shares and jitter.
    admitter : AdmissionControl
        Authenticates requests and checks that the configuration is current.
    quotas : Quotas
        Charges requests to the quotas of their organisations.
    expects_config : callable
        Returns whether a first configuration is being fetched.
    uses_shared_health : bool
        Whether plain requests are balanced by the health data that all instances share.
    lasting : RunRecovery or None
        Continues interrupted runs from their saved KV cache; None disables that.
    tally : UsageTally or None
        Counts the engine use of each party.
    origins : StreamOrigins or None
        Finds the software that began a resumed stream; None to resume streams at any.
    """

    __slots__ = (
        "_admitter",
        "_error_responder",
        "_budgets",
        "_clock",
        "_dialect",
        "_expects_config",
        "_fleet",
        "_gate",
        "_lasting",
        "_meters",
        "_origins",
        "_wait_policy",
        "_placer",
        "_plain_placer",
        "_quotas",
        "_successors",
        "_rng",
        "_sender",
        "_table",
        "_table_version",
        "_tally",
        "_values",
        "_waiting",
    )

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        directory: Directory,
        sender: Sender,
        budgets: RetryBudgets,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
        rng: random.Random,
        admitter: AdmissionControl,
        quotas: Quotas,
        expects_config: t.Callable[[], bool] = lambda: False,
        uses_shared_health: bool = True,
        lasting: RunRecovery | None = None,
        tally: UsageTally | None = None,
        origins: StreamOrigins | None = None,
    ) -> None:
        self._origins = origins
        self._waiting = WaitingRequests(sender.guard)
        self._tally = tally or UsageTally(clock, meters, lambda: False)
        self._lasting = lasting
        self._dialect = dialect
        self._fleet = fleet
        self._sender = sender
        self._budgets = budgets
        self._meters = meters
        self._clock = clock
        self._rng = rng
        self._admitter = admitter
        self._quotas = quotas
        self._expects_config = expects_config
        self._plain_placer = PlainPlacer(fleet, clock, rng, meters, uses_shared_health)
        self._error_responder = ErrorResponder(dialect, sender, admitter, meters, clock)
        self._table = RouteTable(())
        self._table_version = -1
        self._gate = ShutdownGate(clock)
        self._values = RequestValuation()
        self._wait_policy = WaitPolicy(fleet, self._values, clock)
        self._placer = RequestPlacer(
            fleet,
            directory,
            self._plain_placer,
            self._values,
            self._wait_policy,
            self._tally,
            clock,
            lasting,
        )
        self._successors = Successors(
            self._placer,
            budgets,
            sender.liveness,
            fleet,
            lasting.weights if lasting is not None else None,
            clock,
            self._send,
            self._gate.may_begin,
        )

    def forget_gone(self) -> None:
        """Drop the state of removed replicas."""
        self._plain_placer.forget_gone()
        self._sender.forget_gone()

    def shut_down(self, schedule: ShutdownSchedule) -> None:
        """Let the requests in progress end by the schedule of a stop, and refuse the others."""
        self._gate.begin(schedule)
        self._waiting.end_by(schedule.work_until)

    def withdraw_late(self) -> None:
        """Refuse the requests that were not sent in time to end before the process does."""
        now = self._clock()
        for job in self._waiting.jobs():
            self._gate.durations.note(job.route.name, now - job.req.arrived_at)
        self._waiting.withdraw(self._gate.check)

    async def serve(self, inc: Incoming) -> None:
        """Serve one request and answer it."""
        try:
            req = self._dialect.read_request(inc)
        except BadRequest as exc:
            log.info("rejected", why=str(exc))
            self._error_responder.answer_without_body(inc, "", 400, None)
            return
        if self._fleet.state.snapshot is None and not self._gate.refuses(inc.connected_at):
            await self._await_config(req)
        job = self._admit(inc, req)
        if job is None:
            return
        try:
            await self._serve_job(job)
        finally:
            job.drop_failure()

    async def _serve_job(self, job: Job) -> None:
        req = job.req
        started = self._clock()
        try:
            async with self._waiting.until_deadline(job):
                self._gate.check(job)
                self._sender.time_check.check(job)
                if job.route.streaming and req.last_event and self._origins is not None:
                    await self._origins.bind(job)
                await self._charge(job)
                try:
                    await self._run(job)
                finally:
                    job.withdraw_offer()
                    job.release_retry()
                    self._sender.release_weights(job)
                    self._release_kv_copy(job)
        except TimeoutError:
            self._error_responder.expire(job)
        except Refused as exc:
            self._error_responder.refuse(job, exc)
        except Failed as exc:
            self._error_responder.fail(job, exc)
        except Limited as exc:
            self._error_responder.limit(job, exc)
        except Unauthenticated as exc:
            job.give_back()
            self._error_responder.deny(job.inc, job.req, job.route, str(exc))
        except (asyncio.CancelledError, ClientGone):
            job.give_back()
            self._meters.count_outcome(job.route.name, "left")
            log.info("caller left", id=req.id, sends=job.sends)
            raise
        else:
            duration_s = self._clock() - started
            self._meters.observe_latency(job.route.streaming, duration_s)
            self._gate.durations.note(job.route.name, duration_s)

    def _release_kv_copy(self, job: Job) -> None:
        """Release the saved KV cache of a request that ended without using it."""
        if self._lasting is not None and job.copy is not None and job.copy is not job.resumed_copy:
            self._lasting.weights.release(job.copy)

    async def _await_config(self, req: Request) -> None:
        """Wait for the first configuration while it is being fetched."""
        until = self._clock() + min(FIRST_CONFIG_WAIT_S, req.wait_s / 2)
        while self._fleet.state.snapshot is None and self._expects_config():
            if self._clock() >= until:
                return
            await asyncio.sleep(POLL_S)

    def _admit(self, inc: Incoming, req: Request) -> Job | None:
        snapshot = self._fleet.state.snapshot
        if self._gate.refuses(inc.connected_at):
            log.info("refused", id=req.id, why="this instance is shutting down")
            self._error_responder.answer_without_body(
                inc, req.id, 503, OTHER_INSTANCE_RETRY_AFTER_S
            )
            return None
        if snapshot is None:
            log.info("refused", id=req.id, why="no configuration is known yet")
            self._error_responder.answer_without_body(inc, req.id, 503, DEFAULT_RETRY_AFTER_S)
            return None
        if snapshot.version != self._table_version:
            self._table = RouteTable(snapshot.routes)
            self._table_version = snapshot.version
        route = self._table.find(req.host, req.path)
        if route is None:
            log.info("no route", id=req.id, host=req.host, path=req.path, config=snapshot.version)
            self._error_responder.answer_without_body(inc, req.id, 404, None)
            return None
        try:
            admission = self._admitter.admit(req, route, snapshot)
        except Unauthenticated as exc:
            self._error_responder.deny(inc, req, route, str(exc))
            return None
        except Refused as exc:
            log.info("refused", id=req.id, why=str(exc), config=snapshot.version)
            self._meters.count_outcome(route.name, "refused")
            self._error_responder.answer_without_body(inc, req.id, 503, exc.retry_after_s)
            return None
        if req.last_event:
            log.info(
                "resuming stream",
                id=req.id,
                resumes=req.resumes[:MAX_LOGGED_ID],
                after_event=req.last_event,
            )
        name = choose_service(route, self._rng)
        service = snapshot.services.get(name) or Service(name, 1)
        self._budgets.note_request(name)
        chain = self._fleet.prefix_cache.chain(req, admission.owner)
        work = self._fleet.with_equal_urgency(
            name, self._values.work(admission.rank(route), req, chain)
        )
        return Job(inc, req, route, service, work, admission)

    async def _charge(self, job: Job) -> None:
        """Charge a request to its organisation's quota."""
        if job.principal is None:
            return
        req, route = job.req, job.route
        # Requests of one organisation are ordered by their routes' ranks, not by its own rank.
        applicant = QuotaApplicant(
            route.rank,
            self._values.value(route, route.rank, req),
            req.arrived_at + req.wait_s,
            job.service.name,
            attempt_digest(req),
        )
        job.charge = await self._quotas.take(
            job.principal.organisation,
            req.prompt_tokens,
            req.max_answer_tokens,
            min(job.deadline_at, req.arrived_at + route.target_s),
            applicant,
        )
        if job.charge is not None:
            self._meters.count_granted_tokens(
                job.charge.organisation, route.rank, job.charge.tokens
            )

    async def _run(self, job: Job) -> None:
        while True:
            replica, outcome = await self._attempt(job)
            if outcome is Outcome.DONE:
                return
            if self._has_successor(job):
                self._note_succeeded(job, replica)
            elif outcome is Outcome.LIMITED:
                self._handle_limited(job, replica)
            else:
                await self._prepare_retry(job, replica, outcome)

    async def _attempt(self, job: Job) -> tuple[Replica, Outcome]:
        """Make the next attempt, or complete the one that was offered to a successor."""
        offer, job.offer = job.offer, None
        job.declined.clear()
        if offer is not None:
            try:
                outcome = await self._count(job, offer.complete())
            finally:
                # It is still open if nothing was sent.
                if offer.retry.is_open:
                    job.release_retry()
                    job.retry = offer.retry
            return offer.replica, outcome
        self._sender.check(job)
        started_at = self._clock()
        replica = await self._place_with_fallback(job)
        job.placed_s += self._clock() - started_at
        self._revalidate_key(job)
        return replica, await self._count(job, self._send(job, replica))

    async def _count(self, job: Job, attempt: t.Coroutine[t.Any, t.Any, Outcome]) -> Outcome:
        """Make an attempt, counted for its party; return the outcome."""
        outcome = Outcome.UNKNOWN
        self._tally.begin(job)
        try:
            outcome = await attempt
        finally:
            # A refused attempt frees no capacity: releasing a waiter after it would start a
            # chain in which all waiting requests are sent at once.
            if outcome not in (Outcome.FULL, Outcome.LIMITED):
                self._plain_placer.note_finished(job.service.name)
            self._tally.end(job, outcome)
        return outcome

    async def _send(self, job: Job, replica: Replica, offer: Offer | None = None) -> Outcome:
        # It may have waited, and a retry may begin late.
        self._gate.check(job)
        demand = self._wait_policy.demand(job, replica)
        return await self._sender.send(job, replica, demand, self._successors, offer)

    def _has_successor(self, job: Job) -> bool:
        """Return whether an attempt that has ended was offered to a successor meanwhile.

        An offer that was not accepted yet is withdrawn if the memory of the run is at hand.
        """
        if job.offer is None:
            return False
        has_memory = job.copy is not None and job.copy is not job.resumed_copy
        if has_memory and not job.offer.is_accepted:
            job.withdraw_offer()
        return job.offer is not None

    def _note_succeeded(self, job: Job, replica: Replica) -> None:
        """Let a successor go on alone with a request whose attempt at a replica has ended."""
        job.excluded.add(replica.name)
        job.release_retry()
        self._release_kv_copy(job)
        self._sender.release_weights(job)
        job.copy = None
        job.events.restart()
        log.info(
            "successor goes on",
            id=job.req.id,
            replica=replica.name,
            successor=job.offer.replica.name if job.offer is not None else "",
            last_event=job.events.last_event,
        )

    def _revalidate_key(self, job: Job) -> None:
        """Check that the caller's key is still valid if the configuration has changed."""
        snapshot = self._fleet.state.snapshot
        if job.principal is None or snapshot is None or snapshot.version == job.config:
            return
        job.config = snapshot.version
        try:
            job.principal = reauthenticate(job.principal, snapshot.organisations)
        except Unauthenticated as exc:
            if not job.is_unrun:
                raise Failed(str(exc)) from exc
            raise

    # Placement.

    async def _place_with_fallback(self, job: Job) -> Replica:
        """Return the next replica, preferring one that holds the run's saved KV cache."""
        while True:
            self._successors.readmit(job)
            try:
                return await self._placer.place(job)
            except Refused as exc:
                if job.copy is None:
                    if not await self._may_place_later(job):
                        raise
                    log.info("no replica for a begun stream", id=job.req.id, why=str(exc))
                    continue
                log.info(
                    "cannot continue the run from its saved KV cache", id=job.req.id, why=str(exc)
                )
                self._drop_kv_copy(job, job.copy)
                if job.copy is None and not job.may_repeat():
                    raise

    async def _may_place_later(self, job: Job) -> bool:
        """Wait before another search for a replica; return whether there is time for one.

        Only a stream that has begun is searched for again: without a replica it is cut, while other
        requests are answered at once.
        """
        until = min(job.deadline_at, job.last_event_at + job.route.patience_s)
        if not (job.inc.started and job.may_repeat()):
            return False
        if self._clock() + PLACEMENT_RETRY_S >= until:
            return False
        await asyncio.sleep(PLACEMENT_RETRY_S)
        job.excluded.clear()
        return True

    # Replicas with a rate limit or in backoff.

    def _handle_limited(self, job: Job, replica: Replica) -> None:
        """Exclude a replica without capacity; raise if the request has no alternative."""
        job.excluded.add(replica.name)
        job.sends += 1
        if job.copy is not None:
            self._drop_kv_copy(job, job.copy)
            if job.copy is None and not job.may_repeat():
                raise Failed("the engine with the saved KV cache accepts no more requests")
            return
        has_alternative = job.has_capacity_elsewhere or self._wait_policy.has_unlimited_alternative(
            job, replica
        )
        if not job.has_sends_left or not has_alternative:
            raise Refused("all replicas are at their rate limit", job.capacity_retry_s)

    # Retries.

    async def _reserve_retry(self, job: Job) -> None:
        """Reserve a retry for the next attempt; raises `Refused` if none is available in time."""
        if not await self._await_retry(job, job.is_unrun):
            # The caller's own retry is a new request and takes nothing from the budget.
            raise Refused("the retry budget is exhausted", DEFAULT_RETRY_AFTER_S)

    async def _await_retry(self, job: Job, unrun: bool) -> bool:
        """Wait for a retry while it is of use to the caller; return whether one is reserved."""
        service, until = job.service.name, self._wait_policy.retry_deadline(job, unrun)
        with self._budgets.awaiting(service, job.inc.started):
            while not job.reserve_retry(self._budgets, unrun):
                if self._clock() + self._budgets.seconds_to_retry(service) >= until:
                    return False
                await asyncio.sleep(POLL_S)
        return True

    def _may_wait(self, job: Job, replica: Replica) -> bool:
        """Return whether a request may wait for capacity at a replica that was full."""
        if not self._plain_placer.is_queueing_enabled or job.service.engine is not None:
            return False
        if self._fleet.rests.remaining_s(replica):
            return False
        return not self._plain_placer.has_alternative(job) and self._budgets.has_retry(
            job.service.name
        )

    async def _try_continue_run(self, job: Job, outcome: Outcome) -> bool:
        """Select the saved KV cache from which a run continues, and take a retry for it.

        Returns
        -------
        bool
            Whether the run continues; False if no KV cache or no retry is available.
        """
        if self._lasting is None or not self._lasting.is_recoverable(job) or outcome is Outcome.RAN:
            return False
        was_used_last = job.copy is not None and job.copy is job.resumed_copy
        if was_used_last and job.copy is not None and outcome is Outcome.UNKNOWN:
            # A saved KV cache can be used only once, and this one may have been.
            job.copy = None
        elif was_used_last and job.copy is not None and not self._can_load_weights(job, outcome):
            self._drop_kv_copy(job, job.copy)
        if job.copy is None and (outcome is Outcome.UNKNOWN or was_used_last):
            job.copy, job.backup = job.backup, None
        if job.copy is None or not job.has_sends_left:
            return False
        if not await self._await_retry(job, unrun=False):
            return False
        job.events.restart()
        log.info(
            "run goes on",
            id=job.req.id,
            how=job.copy.kind.value,
            replica=job.copy.holder.name,
            memory=job.copy.versions.text,
            after=outcome.value,
            last_event=job.events.last_event,
            pause_s=round(self._clock() - job.last_event_at, 3),
        )
        return True

    def _can_load_weights(self, job: Job, outcome: Outcome) -> bool:
        """Return whether loading weights at the engine with the KV cache lets the run continue."""
        if outcome is not Outcome.ABSENT or job.copy is None or self._lasting is None:
            return False
        return self._lasting.weights.can_load_versions(job.copy, job.req.key)

    def _drop_kv_copy(self, job: Job, copy: KvCopy) -> None:
        """Discard a saved KV cache and fall back to another one of the run, if there is one."""
        if copy.other_holder is not None:
            job.copy = replace(
                copy,
                kind=KvCopyKind.MOVED,
                holder=copy.other_holder,
                weights_confirmed_at=-math.inf,
                other_holder=None,
                were_weights_loaded=False,
            )
            return
        if self._lasting is not None:
            self._lasting.weights.release(copy)
        job.copy, job.backup = job.backup, None

    async def _prepare_retry(self, job: Job, replica: Replica, outcome: Outcome) -> None:
        if outcome is Outcome.NOT_SENT:
            job.excluded.add(replica.name)
            job.sends += 1
        elif outcome is Outcome.ABSENT:
            await asyncio.sleep(ABSENT_RETRY_DELAY_S)
        elif outcome is not Outcome.STALE:
            job.excluded.add(replica.name)
        if job.inc.started and outcome in REFUSALS:
            job.refused_sends += 1
        if outcome is Outcome.FULL:
            self._plain_placer.note_full(replica)
            if job.copy is None:
                check_backoff(self._fleet, job)
        if await self._try_continue_run(job, outcome):
            return
        if job.resumed_copy is not None and outcome is not Outcome.RAN:
            # The continued run had already started, and its result is unknown.
            outcome = Outcome.UNKNOWN
        may_have_run = outcome in (Outcome.UNKNOWN, Outcome.RAN)
        if outcome is Outcome.UNKNOWN:
            job.events.restart()
        if may_have_run and not job.may_repeat():
            raise Failed(f"the request may have run: {outcome.value}")
        if outcome is Outcome.RAN and job.route.repeat is not Repeat.FREELY:
            raise Failed("the replica returned an error")
        if not job.has_sends_left:
            raise Refused("sent too often", DEFAULT_RETRY_AFTER_S)
        if outcome is Outcome.FULL and self._may_wait(job, replica):
            await self._plain_placer.wait(job, replica)
            self._plain_placer.allow_again(job, replica)
        if job.candidates() is not None:
            await self._allow_tried_replicas(job, may_have_run)
        if outcome is not Outcome.NOT_SENT:
            await self._reserve_retry(job)
        log.info(
            "retrying request",
            id=job.req.id,
            after=outcome.value,
            replica=replica.name,
            software=replica.software,
            sends=job.sends,
            last_event=job.events.last_event,
        )

    async def _allow_tried_replicas(self, job: Job, may_have_run: bool) -> None:
        """Let a request return to the replicas that its route allows; raise if it may not.

        Parameters
        ----------
        job : Job
            A request that was sent to as many replicas as its route allows.
        may_have_run : bool
            Whether its last attempt may have run it.

        Raises
        ------
        Refused, Failed
            If no replica is left for it.
        """
        is_exhausted = job.excluded >= job.tried
        is_kept = job.route.repeat is Repeat.RESUME and not job.is_unrun
        if is_kept or (job.inc.started and job.may_repeat()):
            if not is_exhausted:
                return
            if job.sends > len(job.tried):
                # The replicas that have just refused or lost it would do so again.
                await asyncio.sleep(PLACEMENT_RETRY_S)
            job.excluded.clear()
        elif may_have_run:
            raise Failed("the route allows no further replica")
        elif is_exhausted:
            raise Refused("the route allows no further replica", DEFAULT_RETRY_AFTER_S)
