"""A single attempt of a request at a replica: sending it and forwarding the response.

The request pipeline calls `send` for each attempt and decides by the returned `Outcome` whether to
retry.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from dataclasses import replace

import logbook
from gradelug_http import (
    BodyLease,
    ConnectFailed,
    ConnectRefused,
    HttpPool,
    KeptBody,
    NoRoomForAnswer,
    ResponseBroken,
    ResponseHead,
    end_to_end,
)
from gradelug_policy.engine_capacity import EQUAL_URGENCY
from gradelug_policy.poison_parts import ACQUIT_AFTER_S
from gradelug_policy.prefill import LATE_URGENCY, RequestWork

from .answer_ends import AnswerEnds
from .attempt_health import AttemptHealth
from .brittleness import BrittlenessTracker
from .directory import Directory
from .end_detection import EndDetector
from .exceptions import OutOfTime, Refused
from .exchange import Exchange
from .execution import NOT_RUN_STATUSES
from .fingerprints import format_fingerprint
from .fleet import Fleet
from .job import Job, Outcome
from .limits import Demand
from .liveness_check import LivenessCheck
from .metrics import GatewayMetrics
from .model import AdapterKey, Attempt, KvCopyKind, Replica, Verdict
from .offers import Offer
from .poison import PoisonGuard
from .ports import Dialect, RunTransport
from .presence_check import PresenceCheck
from .response_wait import ReplicaSilent, ResponseWaiter
from .run_weights import expected_version
from .runs import RunRecovery, SuccessorFinder
from .silences import SilenceTracker
from .stream_origins import StreamOrigins
from .stream_progress import StreamProgress
from .time_check import TimeCheck

log = logbook.Logger("sending")
CONNECT_TIMEOUT_S = 0.35
"""Opening takes a round trip of milliseconds; retransmissions of lost packets are not awaited."""
MAX_RESPONSE_BYTES = 8_388_608
"""Maximum size of a response that is not streamed."""
MIN_CALLER_STALL_S = 1.0
"""Replicas abort responses that stay unread for some seconds: once the caller has not read for this
long, an aborted response does not count as a failure of the replica."""
FORWARDED_VERDICTS = (Verdict.ANSWERED, Verdict.REJECTED)
"""What callers get as their answer; after any other response, another replica may be tried."""


class Sender:
    """Sends requests to replicas and forwards their responses to the callers.

    Parameters
    ----------
    dialect : Dialect
        Reads and writes the HTTP headers of callers and replicas.
    fleet : Fleet
        State, health and load of all replicas.
    directory : Directory
        Tracks which weights are in use.
    pool : HttpPool
        Connections to replicas.
    meters : GatewayMetrics
        Request metrics.
    clock : callable
        Returns the event loop's time, in seconds.
    max_idle_s : float
        Maximum idle time, in seconds, of a pooled connection that carries a request which must
        not run twice.
    lasting : RunRecovery or None
        Continues runs after their connection is lost; None disables that.
    guard : PoisonGuard or None
        Blocks requests that make replicas end; None for a guard of its own.
    ends : EndDetector or None
        Detects ended replicas; None disables that.
    note_leaving : callable
        Called with each replica whose response announces that it is shutting down.
    is_brittleness_on : bool
        Whether replicas that report to be brittle get fewer requests.
    origins : StreamOrigins or None
        Records which software begins each stream; None disables that.
    calls : RunTransport or None
        Calls engines to learn whether they respond; None where they cannot be called.
    """

    __slots__ = (
        "_answer_ends",
        "_attempt_health",
        "_brittleness",
        "_clock",
        "_dialect",
        "_directory",
        "_ends",
        "_fleet",
        "_guard",
        "_lasting",
        "_meters",
        "_note_leaving",
        "_origins",
        "_pool",
        "_progress",
        "_max_idle_s",
        "_silences",
        "_waiter",
        "liveness",
        "time_check",
    )

    def __init__(
        self,
        dialect: Dialect,
        fleet: Fleet,
        directory: Directory,
        pool: HttpPool,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
        max_idle_s: float = math.inf,
        lasting: RunRecovery | None = None,
        guard: PoisonGuard | None = None,
        ends: EndDetector | None = None,
        note_leaving: t.Callable[[Replica], None] = lambda replica: None,
        is_brittleness_on: bool = True,
        origins: StreamOrigins | None = None,
        calls: RunTransport | None = None,
    ) -> None:
        self._origins = origins
        self._brittleness = BrittlenessTracker(
            fleet.state,
            fleet.limits,
            fleet.rests,
            clock,
            is_brittleness_on,
        )
        self._note_leaving = note_leaving
        self._guard = guard or PoisonGuard(clock)
        self._ends = ends
        self._answer_ends = AnswerEnds(
            fleet, PresenceCheck(fleet, calls, pool, clock), meters, clock
        )
        self._progress = StreamProgress(fleet, meters, clock)
        self._silences = SilenceTracker(fleet, meters, clock)
        self.liveness = LivenessCheck(fleet, self._silences, calls, clock)
        """Tells whether replicas respond."""
        self.time_check = TimeCheck(fleet, clock)
        """Tells whether a request can be served in the time left."""
        self._attempt_health = AttemptHealth(fleet, self._brittleness, self.time_check, clock)
        self._waiter = ResponseWaiter(clock, lasting, self._silences)
        self._lasting = lasting
        self._dialect = dialect
        self._fleet = fleet
        self._directory = directory
        self._pool = pool
        self._meters = meters
        self._clock = clock
        self._max_idle_s = max_idle_s

    def forget_gone(self) -> None:
        """Drop the state of removed replicas."""
        self._brittleness.forget_removed(self._fleet.state.replicas)
        self._silences.forget_removed(self._fleet.state.replicas)
        self.liveness.forget_removed(self._fleet.state.replicas)

    @property
    def guard(self) -> PoisonGuard:
        """Decides whether a request may be sent."""
        return self._guard

    def check(self, job: Job) -> None:
        """Raise `Refused` if the poison guard blocks a request, `OutOfTime` if it is too late."""
        self._guard.check(job.fingerprint, job.part_fingerprints)
        self.time_check.check(job)

    async def send(
        self,
        job: Job,
        replica: Replica,
        demand: Demand = Demand(),  # noqa: B008
        successors: SuccessorFinder | None = None,
        offer: Offer | None = None,
    ) -> Outcome:
        """Send a request to a replica, forward its response, and return the outcome.

        All requests to replicas, including retries and continued runs, are sent by this method.

        Parameters
        ----------
        job : Job
            The request.
        replica : Replica
            The replica to which it is sent.
        demand : Demand
            Urgency and longest wait for capacity, used if the replica has a rate limit.
        successors : SuccessorFinder or None
            Holds what the next attempt needs before this one is abandoned to a silent replica; None
            to never abandon it.
        offer : Offer or None
            The offer by which the request is sent while another attempt of it is kept; None if
            there is no other.

        Raises
        ------
        Refused
            If the poison guard blocks it.
        OutOfTime
            If too little time is left for a response, or its replica stopped at its deadline.
        """
        unavailable_outcome = self._unavailable_outcome(job, replica)
        if unavailable_outcome is not None:
            return unavailable_outcome
        self._brittleness.assume_limit(replica)
        # All gateways share the replica's rate limit, so each attempt requests capacity.
        denial = await self._fleet.limits.admit(replica, demand)
        if denial is not None:
            job.capacity_retry_s, job.has_capacity_elsewhere = denial
            log.info(
                "no room",
                id=job.req.id,
                replica=replica.name,
                limit=self._fleet.limits.rate(replica.name),
                retry_s=round(denial.retry_s, 3),
            )
            return Outcome.LIMITED
        job.resumed_copy = job.copy
        now = self._clock()
        health = self._fleet.health(replica.name)
        health.circuit.note_start(now)
        try:
            max_idle_s = math.inf if job.may_repeat() else self._max_idle_s
            conn = await self._pool.acquire(
                replica.address,
                CONNECT_TIMEOUT_S,
                max_idle_s,
                job.execution.may_use,
                job.may_repeat(),
            )
        except ConnectFailed as exc:
            if isinstance(exc, ConnectRefused) and self._ends is not None:
                self._ends.note_refused(replica)
            health.note_broken(self._clock())
            log.info("not sent", id=job.req.id, replica=replica.name, why=str(exc))
            return Outcome.NOT_SENT
        if not await self._has_weights(job):
            conn.close()
            return Outcome.STALE
        # Nothing is awaited between this check and sending.
        unavailable_outcome = self._unavailable_outcome(job, replica)
        if unavailable_outcome is not None:
            conn.close()
            return unavailable_outcome
        try:
            # Checked just before sending: another gateway may have blocked the request since.
            self._guard.check(job.fingerprint, job.part_fingerprints)
            self.time_check.check(job, replica)
        except (Refused, OutOfTime):
            conn.close()
            raise
        load = self._fleet.load(replica.name)
        key = job.req.key
        work = self._fleet.prefix_cache.work_at(replica.name, self._with_urgency(job, replica))
        log.info(
            "placed",
            id=job.req.id,
            fingerprint=format_fingerprint(job.fingerprint),
            route=job.route.name,
            replica=replica.name,
            software=replica.software,
            after_event=job.events.last_event,
            weights=key.text if key is not None else "",
            asked=expected_version(self._fleet, job, replica),
            waited_s=round(job.placed_s, 3),
            cost=round(self._fleet.cost(replica, now), 2),
            ahead=load.busyness().tokens_ahead(job.work.urgency),
            prompt=work.prompt_tokens,
            kept=work.kept_tokens,
            store_age_s=round(now - self._fleet.state.store_read_at, 3),
            missing=replica.name in self._fleet.state.missing,
            conn=conn.number,
            conn_uses=conn.uses,
            sends=job.sends,
        )
        expected_s = self._fleet.expected_s(replica, load.busyness(), work)
        exchange = Exchange(job, replica, conn, work, load.busyness(), now, expected_s)
        exchange.successors = successors
        exchange.offer = offer
        if self._lasting is not None and self._lasting.is_recoverable(job):
            exchange.run = self._lasting.begin(job, replica)
        load.starting += 1
        load.queued[work.urgency] += work.prefill_tokens
        load.memory += work.memory_tokens
        self._silences.begin(replica)
        if key is not None:
            self._directory.note_begin(replica, key, work)
        self.release_weights(job)
        try:
            outcome = await self._exchange(exchange)
        except asyncio.CancelledError:
            if self._attempt_health.is_overdue(exchange) and not self._silences.is_shared(replica):
                health.note_broken(self._clock())
            is_withdrawn = offer is not None and offer.is_withdrawn
            if is_withdrawn and exchange.run is not None and self._lasting is not None:
                self._lasting.watch_withdrawn(exchange.run)
            raise
        except ResponseBroken as exc:
            self._pool.note_broken(conn)
            if job.is_over(self._clock()):
                raise OutOfTime(f"replica {replica.name} stopped at its deadline") from exc
            is_caller_stalled = job.inc.held_up_s >= MIN_CALLER_STALL_S
            self._meters.count_broken_response(exchange.stage.value)
            is_excused = self._attempt_health.is_excused(exchange) or isinstance(
                exc, NoRoomForAnswer
            )
            if not is_caller_stalled and not is_excused:
                self._attempt_health.note_broken(exchange, exc)
                if self._ends is not None:
                    self._guard.note_parts(job.fingerprint, job.part_fingerprints)
                    self._ends.note_broken(replica, job.fingerprint, exchange.failure_weight)
            log.info(
                "broken",
                id=job.req.id,
                fingerprint=format_fingerprint(job.fingerprint),
                parts=[format_fingerprint(part) for part in job.part_fingerprints],
                replica=replica.name,
                software=replica.software,
                why=str(exc),
                stage=exchange.stage.value,
                conn=conn.number,
                conn_uses=conn.uses,
                rested_s=round(conn.rested_s, 3),
                skipped=conn.skipped,
                sent_s=round(self._clock() - exchange.sent_at, 3),
                quiet_s=round(self._clock() - exchange.last_event_at, 3),
                held_up_s=round(job.inc.held_up_s, 3),
                stop_asked=exchange.run is not None and exchange.run.was_stop_requested,
                scope=self._silences.scope(replica).value,
            )
            was_silent = isinstance(exc, ReplicaSilent) and health.last_received_at < now
            if not is_caller_stalled and (conn.is_silenced or was_silent):
                self._pool.doubt(replica.address, now)
            if exchange.run is not None and self._lasting is not None:
                # Before the connection is closed: most engines cancel a request when its connection
                # closes, and a silent engine may still be running it.
                await self._lasting.recover(exchange.run)
            return Outcome.UNKNOWN
        finally:
            self._meters.count_skipped_responses(conn.skipped)
            # Also on cancellation: the replica stops the request when its connection closes.
            if not exchange.is_released:
                conn.abort()
            if exchange.run is not None and self._lasting is not None:
                self._lasting.leave(exchange.run)
            load.memory -= work.memory_tokens
            self._silences.end(replica)
            self._progress.log_pauses(exchange)
            if exchange.is_running:
                load.running -= 1
            else:
                load.starting -= 1
                load.queued[work.urgency] -= work.prefill_tokens
            if key is not None and exchange.is_secondary:
                self._directory.note_end(replica.name, key)
            elif key is not None:
                self._note_end(job, replica, key)
        self._attempt_health.note_outcome(exchange, outcome)
        if outcome is Outcome.DONE and exchange.status < 300:
            self._guard.note_served(job.fingerprint)
            self._guard.note_sound(job.part_fingerprints)
        return outcome

    def _note_end(self, job: Job, replica: Replica, key: AdapterKey) -> None:
        """End the use of the weights, unless the run is to continue there from its KV cache.

        The planner may replace weights that are not in use.
        """
        copy = job.copy
        if copy is not None and copy is not job.resumed_copy and copy.kind is KvCopyKind.STOPPED:
            job.weights_in_use_at = replica.name
        else:
            self._directory.note_end(replica.name, key)

    def release_weights(self, job: Job) -> None:
        """End the use of the weights that are reserved for continuing a run, if any."""
        if job.weights_in_use_at and job.req.key is not None:
            self._directory.note_end(job.weights_in_use_at, job.req.key)
        job.weights_in_use_at = ""

    async def _has_weights(self, job: Job) -> bool:
        """Return whether a saved KV cache, if any, matches the weights loaded at its engine.

        Called once the connection is open, since the engine's reply is valid only for a moment.
        """
        if job.copy is None or self._lasting is None:
            return True
        return await self._lasting.weights.is_usable(job, job.copy)

    def _unavailable_outcome(self, job: Job, replica: Replica) -> Outcome | None:
        """Return the outcome if a replica must not get the request now, otherwise None."""
        if not job.accepts(replica):
            log.info(
                "not sent",
                id=job.req.id,
                replica=replica.name,
                why=f"it runs software {replica.software!r}, not {job.software!r}",
            )
            return Outcome.NOT_SENT
        if self._fleet.state.is_leaving(replica):
            log.info(
                "not sent", id=job.req.id, replica=replica.name, why="the replica is shutting down"
            )
            return Outcome.NOT_SENT
        rest_s = self._fleet.rests.remaining_s(replica)
        if not rest_s:
            return None
        self._fleet.rests.denied_count += 1
        job.capacity_retry_s, job.has_capacity_elsewhere = rest_s, False
        log.info(
            "not sent", id=job.req.id, replica=replica.name, why="it rests", rest_s=round(rest_s, 3)
        )
        return Outcome.LIMITED

    def _with_urgency(self, job: Job, replica: Replica) -> RequestWork:
        """Return a request's work, with lower urgency if it would miss its target anyway.

        Such requests then wait for those that can meet their target, and take no slot of a
        run. Where slots are scarce, all requests have equal urgency.
        """
        if job.inc.started or not job.work.prompt_tokens or job.work.urgency == EQUAL_URGENCY:
            return job.work
        if self._fleet.is_late(replica, job.work, job.req.arrived_at + job.route.target_s):
            return replace(job.work, urgency=LATE_URGENCY)
        return job.work

    async def _exchange(self, exchange: Exchange) -> Outcome:
        job, replica = exchange.job, exchange.replica
        attempt = self._attempt(job, replica, exchange.work)
        if exchange.run is not None and self._lasting is not None:
            self._lasting.note_expected_version(exchange.run, attempt.version)
        try:
            exchange.conn.send(self._dialect.build_request(job.req, attempt))
        except ConnectFailed:
            return Outcome.NOT_SENT
        job.sends += 1
        if exchange.offer is not None:
            exchange.offer.retry.use()
        else:
            job.use_retry()
        job.tried.add(replica.name)
        self._fleet.limits.count_send(replica.name)
        sent_at = self._clock()
        job.execution.note_sent(exchange.conn)
        log.debug("sent", id=job.req.id, replica=replica.name, left_s=round(attempt.left_s, 3))
        head = await self._waiter.receive(
            exchange, exchange.conn.head(lambda head: self._dialect.is_response_to(head, job.req))
        )
        exchange.status = head.status
        verdict = self._dialect.classify_response(head, replica)
        if verdict is Verdict.SPOILED:
            raise ResponseBroken("the response was not produced by the replica")
        if verdict is not Verdict.MISDIRECTED:
            # Otherwise another replica has taken over the address; its headers do not apply.
            self._apply_response_signals(replica, head, sent_at, verdict)
        if verdict is Verdict.ANSWERED and job.route.streaming:
            if exchange.run is not None and self._lasting is not None:
                self._lasting.note_reported_version(exchange.run, self._dialect.read_version(head))
            if exchange.offer is not None:
                await exchange.offer.accept()
            return await self._stream(exchange, head)
        body = await exchange.conn.keep_body(MAX_RESPONSE_BYTES)
        try:
            if verdict in FORWARDED_VERDICTS or verdict is Verdict.FAILED:
                await self._answer_ends.confirm(exchange)
            if exchange.offer is not None and verdict in FORWARDED_VERDICTS:
                await exchange.offer.accept()
            exchange.release(self._pool, head)
            job.execution.note_response(self._dialect.read_not_run_proof(head))
            return self._conclude(exchange, verdict, head, body, attempt.version)
        finally:
            if job.failure is None or job.failure[1] is not body:
                body.release()

    def _apply_response_signals(
        self, replica: Replica, head: ResponseHead, sent_at: float, verdict: Verdict
    ) -> None:
        """Apply the rate limit, shutdown notice and backoff that a response announces.

        Parameters
        ----------
        replica : Replica
            The replica that responded.
        head : ResponseHead
            Status and headers of its response.
        sent_at : float
            When the request was sent, by the event loop's clock.
        verdict : Verdict
            What the response indicates about the request.
        """
        tolerance = self._dialect.read_tolerance(head)
        limit = self._brittleness.limit(replica, tolerance, self._dialect.read_limit(head))
        self._fleet.limits.update_from_answer(replica.name, limit, sent_at)
        if verdict is Verdict.FULL:
            self._brittleness.note_rejection(replica, tolerance)
        if self._dialect.is_leaving(head):
            self._note_leaving(replica)
        self._fleet.rests.update_from_answer(replica, self._dialect.read_backoff(head))

    def _attempt(self, job: Job, replica: Replica, work: RequestWork) -> Attempt:
        left_s = job.run_deadline_at - self._clock()
        return Attempt(
            replica,
            left_s,
            expected_version(self._fleet, job, replica),
            work.urgency,
            job.events.last_event,
            job.principal,
            job.forwards_credentials,
            job.backup.holder.address if job.backup is not None and job.copy is None else "",
            job.copy,
        )

    def _conclude(
        self,
        exchange: Exchange,
        verdict: Verdict,
        head: ResponseHead,
        body: KeptBody,
        requested_version: int,
    ) -> Outcome:
        job, replica = exchange.job, exchange.replica
        if verdict is Verdict.ANSWERED:
            if head.get(b"content-encoding") is not None:
                raise ResponseBroken("the response has a content encoding that was not requested")
            self.forward_response(job, head, body.data)
            return Outcome.DONE
        proof = self._dialect.read_not_run_proof(head)
        self._meters.count_rejection(verdict.value, proof.value)
        log.info(
            "replica did not answer the request",
            id=job.req.id,
            replica=replica.name,
            why=verdict.value,
            proof=proof.value,
            status=head.status,
            asked=requested_version,
            conn=exchange.conn.number,
            skipped=exchange.conn.skipped,
            sends=job.sends,
            abandoned=job.abandoned,
            took_s=round(self._clock() - exchange.sent_at, 4),
        )
        if verdict is Verdict.MISDIRECTED:
            # The replica has ended: it does not count for those that the route allows.
            job.tried.discard(replica.name)
        if verdict is Verdict.FAILED:
            if head.status not in NOT_RUN_STATUSES:
                job.keep_failure(head, body)
            return Outcome.RAN
        if verdict is Verdict.REJECTED:
            self.forward_response(job, head, body.data)
            return Outcome.DONE
        if verdict is Verdict.ABSENT:
            job.absent = replica.name
            job.absent_count += 1
            return Outcome.ABSENT
        return Outcome.FULL if verdict is Verdict.FULL else Outcome.NOT_RUN

    async def _stream(self, exchange: Exchange, head: ResponseHead) -> Outcome:
        lease = exchange.conn.open_lease()
        try:
            return await self._forward_events(exchange, head, lease)
        finally:
            lease.release()

    async def _forward_events(
        self, exchange: Exchange, head: ResponseHead, lease: BodyLease
    ) -> Outcome:
        job = exchange.job
        while True:
            data = await self._waiter.receive(exchange, exchange.conn.chunk())
            if data is None:
                break
            before = job.events.last_event
            events = job.events.feed(data)
            if not lease.resize(job.events.size):
                raise NoRoomForAnswer(f"there is no room for an event of {lease.size} bytes")
            if not events:
                continue
            if not exchange.is_acquitted and exchange.has_run_for(ACQUIT_AFTER_S, self._clock()):
                exchange.is_acquitted = True
                self._guard.note_sound(job.part_fingerprints)
            if exchange.is_running:
                self._progress.note_pause(exchange, max(1, job.events.last_event - before))
            else:
                self._progress.note_first_event(exchange)
                exchange.first_at = self._clock()
                self.time_check.times.note(
                    exchange.replica.service, job.route.name, exchange.first_at - exchange.sent_at
                )
            exchange.last_event_at = self._clock()
            if exchange.run is not None and self._lasting is not None:
                self._lasting.note_version_change(
                    exchange.run, self._dialect.read_event_version(events)
                )
                self._lasting.note_event(exchange.run)
            job.last_event_at = exchange.last_event_at
            if not job.inc.started:
                self._note_begun(exchange)
                job.begin(head.status, end_to_end(head.headers))
            await job.inc.send(events)
        if not job.events.is_between_events:
            raise ResponseBroken("the stream ended within an event")
        await self._answer_ends.confirm(exchange)
        exchange.release(self._pool, head)
        self._progress.note_end(exchange)
        if not job.inc.started:
            job.begin(head.status, end_to_end(head.headers))
        job.inc.finish()
        if exchange.run is not None and self._lasting is not None:
            self._lasting.end(exchange.run)
        self._note_served(job, head.status)
        return Outcome.DONE

    def _note_begun(self, exchange: Exchange) -> None:
        """Bind a stream to the software of its replica, just before the caller gets an event."""
        job = exchange.job
        if job.software is None:
            job.software = exchange.replica.software
        if self._origins is not None:
            self._origins.note_begun(job, exchange.replica)

    def forward_response(self, job: Job, head: ResponseHead, body: bytes) -> None:
        """Answer the caller with a replica's complete response."""
        job.inc.respond(head.status, end_to_end(head.headers), body)
        self._note_served(job, head.status)

    def _note_served(self, job: Job, status: int) -> None:
        self._meters.count_outcome(job.route.name, f"status {status}")
        log.info(
            "answered",
            id=job.req.id,
            status=status,
            held_s=round(self._clock() - job.req.arrived_at, 3),
            sends=job.sends,
            last_event=job.events.last_event,
        )
