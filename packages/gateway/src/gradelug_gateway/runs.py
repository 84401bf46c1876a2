"""Recovery of streaming runs whose connection or engine is lost.

`Sender` creates a `Run` for each recoverable request that it sends and reports its progress to
`RunRecovery`, which keeps track of active runs, decides which of them are copied to another engine,
and finds the copy of a run's memory from which a broken stream is resumed.
"""

from __future__ import annotations

import asyncio
import math
import random
import typing as t
from dataclasses import replace

import logbook
from gradelug_http import ResponseBroken
from gradelug_policy.abandoned_runs import (
    URGENT_POLL_INTERVAL_S,
    is_gone,
    loses_events,
    may_be_queued,
    may_run_elsewhere,
)
from gradelug_policy.run_recovery import (
    MAX_COPY_MEMORY_FRACTION,
    MAX_MOVE_MEMORY_FRACTION,
    BreakRecord,
    BrokenRun,
    RecoveryAction,
    RunStatistics,
    choose_recovery,
    should_copy,
)
from gradelug_policy.run_versions import (
    UNKNOWN_VERSION,
    ReportedVersion,
    WeightVersions,
    compare_versions,
)

from .abandoned_runs import AbandonedRun, AbandonedRuns
from .budgets import RetryBudgets
from .copy_targets import CopyTargets
from .fleet import Fleet
from .job import Job
from .metrics import GatewayMetrics
from .model import KvCopy, KvCopyKind, Repeat, Replica
from .ports import RunTransport
from .run_moves import MoveOutcome, MoveReply
from .run_stops import RunStopper
from .run_weights import RunWeights
from .stop_orders import StopState

log = logbook.Logger("runs")
COPY_READY_AFTER_S = 0.5
"""Time after a run's first event until a copy can be expected: engines send copies a few times a
second. Of 25 runs that broke within 0.6 s of being sent 8 had none, of 76 later ones 3."""
STOP_PATIENCE_FRACTION = 0.6
"""Fraction of its caller's patience after which a stalled run is stopped: the rest is enough to go
on from its memory."""


class SuccessorFinder(t.Protocol):
    """Prepares the next attempt of a request before its current one is abandoned."""

    def reserve_for_stop(self, job: Job) -> bool:
        """Reserve a retry, and another one in case of a refusal if there is one; return whether the
        request may be sent once more."""
        ...

    def may_reserve(self, job: Job) -> bool:
        """Return whether a retry could be reserved now."""
        ...

    async def hold(self, job: Job, silent: Replica, keeps_retry: bool = False) -> bool:
        """Let a replica other than a silent one begin to answer; return whether it did, so that the
        current attempt may be abandoned."""
        ...

    async def answers(self, replica: Replica) -> bool:
        """Return whether an engine answers a call now."""
        ...


class Run:
    """The execution of a request on one engine, as far as its events have been received.

    Parameters
    ----------
    job : Job
        The request being executed.
    replica : Replica
        The engine that executes it.
    sent_at : float
        Time at which the request was sent, by the runtime's clock.
    """

    __slots__ = (
        "sent_at",
        "copy_failed",
        "events_before",
        "first_event_at",
        "handover",
        "has_weight_mismatch",
        "is_abandoned",
        "is_gone",
        "job",
        "replica",
        "reported",
        "resumed_copy",
        "resumed_from",
        "stop_call",
        "stop_mark",
        "stop_outcome",
        "stopped",
        "versions",
    )

    def __init__(self, job: Job, replica: Replica, sent_at: float) -> None:
        self.job = job
        self.replica = replica
        self.sent_at = sent_at
        self.first_event_at: float | None = None
        """Time at which the first event was received."""
        self.events_before = job.events.last_event
        self.handover: asyncio.Future[KvCopy | None] | None = None
        """Resolves to the copy at another engine once its own engine has stopped it."""
        self.stopped: KvCopy | None = None
        """The memory kept when the run was stopped because its stream had stalled."""
        self.stop_call: asyncio.Task[KvCopy | None] | None = None
        """The last stop request to its engine; it is not cancelled, as the engine may carry it out
        whoever waits for it."""
        self.stop_outcome: MoveOutcome | None = None
        """Outcome of the last stop request to its engine."""
        self.stop_mark = job.stop_orders.mark()
        """The moment at which it began, among the orders to stop runs of its request."""
        self.is_abandoned = False
        """Whether its attempt was abandoned, so that its request goes on at another engine."""
        self.is_gone = False
        """Whether its engine is known to have dropped it."""
        self.copy_failed = False
        """Whether its engine failed to copy its memory to another engine."""
        self.has_weight_mismatch = False
        """Whether it was resumed under weights other than those that produced its memory."""
        self.resumed_copy = job.copy
        """The copy of memory with which its request was sent; None if it began anew."""
        self.resumed_from: KvCopy | None = None
        """The copy of its memory from which it is resumed."""
        self.versions = job.copy.versions if job.copy is not None else WeightVersions()
        """Versions of the weights that produced its memory."""
        self.reported = ReportedVersion()
        """Base model version that its engine reported at the start of the run."""

    @property
    def events(self) -> int:
        """Number of events received from this run."""
        return self.job.events.last_event - self.events_before

    @property
    def was_stop_requested(self) -> bool:
        """Whether an order to stop it was sent and may be carried out, or was: its stream may break
        for that reason."""
        return self.job.stop_orders.state(self.replica, self.stop_mark) is not StopState.NONE

    @property
    def needs_confirmed_stop(self) -> bool:
        """Whether abandoning it could end its request or leave two engines working on it."""
        return self.first_event_at is not None or not self.job.may_repeat()

    @property
    def has_copy(self) -> bool:
        """Whether a backup copy of it can be expected, if one was requested.

        It grows with the events: a silence before a break does not count.
        """
        first_event_at = self.first_event_at
        if first_event_at is None or self.job.backup is None:
            return False
        return self.job.last_event_at - first_event_at >= COPY_READY_AFTER_S

    def useful_answer_s(self, now: float) -> float:
        """Return how long a late answer to a stop request is of use, in seconds.

        A request that can go on without it does not wait for it. Another one may need it until its
        end: the run may go on before its engine carries the order out.
        """
        job = self.job
        if job.may_repeat() or job.backup is not None:
            return 0.0
        return job.deadline_at - now

    @property
    def request_has_events(self) -> bool:
        """Whether the request has produced events, in this run or in an earlier one."""
        return self.job.events.last_event > 0


class RunRecovery:
    """Tracks the recoverable runs of this instance and resumes those whose stream breaks.

    Parameters
    ----------
    fleet : Fleet
        The engines and their state.
    transport : RunTransport
        Asks engines to move and stop runs.
    meters : GatewayMetrics
        Metrics of resumed and abandoned runs.
    clock : callable
        The runtime's clock.
    budgets : RetryBudgets
        Retry budget of each service.
    rng : random.Random
        Samples candidate engines where there are many.
    version_s : float
        Time after the announcement of a newer adapter version beyond which no run starts or resumes
        under an older one, in seconds.
    """

    __slots__ = (
        "_abandoned",
        "_budgets",
        "_clock",
        "_fleet",
        "_meters",
        "_records",
        "_run_statistics",
        "_transport",
        "runs",
        "stopper",
        "targets",
        "weights",
    )

    def __init__(
        self,
        fleet: Fleet,
        transport: RunTransport,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
        budgets: RetryBudgets,
        rng: random.Random,
        version_s: float = math.inf,
    ) -> None:
        self._fleet = fleet
        self._transport = transport
        self._meters = meters
        self._clock = clock
        self._budgets = budgets
        self.stopper = RunStopper(transport)
        """Sends the orders to stop runs."""
        self._abandoned = AbandonedRuns(transport, self.stopper, meters, clock)
        self._records: dict[str, BreakRecord] = {}
        self._run_statistics: dict[str, RunStatistics] = {}
        self.weights = RunWeights(fleet, transport, clock, version_s)
        """Finds engines that hold the weights of a run's memory."""
        self.targets = CopyTargets(fleet, self.weights, self.run_statistics, clock, rng)
        """Chooses engines that receive copies of runs' memory."""
        self.runs: dict[str, set[Run]] = {}
        """Runs that have produced events, by replica name."""

    def is_recoverable(self, job: Job) -> bool:
        """Return whether a request's run can be resumed after a break."""
        spec = job.service.engine
        return job.route.streaming and spec is not None and (spec.moves or spec.backups)

    def begin(self, job: Job, replica: Replica) -> Run:
        """Create the run of a request being sent, and choose an engine for its backup copy."""
        self._abandoned.note_attempt(job, replica)
        if job.copy is None:
            job.backup = self._choose_backup(job, replica)
        return Run(job, replica, self._clock())

    def note_expected_version(self, run: Run, version: int) -> None:
        """Record the weight version that a request named, which its engine verifies."""
        key = run.job.req.key
        if key is None or run.job.copy is not None or not version:
            return
        model, adapter = (UNKNOWN_VERSION, version) if key.adapter else (version, UNKNOWN_VERSION)
        self._set_versions(run, WeightVersions(model, adapter))

    def note_reported_version(self, run: Run, reported_version: ReportedVersion) -> None:
        """Record the base model version that the engine of a run reports at its start.

        Raises
        ------
        ResponseBroken
            If the run was resumed under weights other than those that produced its memory.
        """
        self._abandoned.note_started(run.job, run.replica)
        run.reported = reported_version
        if reported_version.unreadable:
            log.info(
                "invalid base model version reported",
                replica=run.replica.name,
                why=reported_version.unreadable,
            )
        used = run.resumed_copy
        if used is None:
            self._set_versions(run, run.versions.with_reported(reported_version))
        elif compare_versions(used.versions, reported_version) == "other":
            run.has_weight_mismatch = True
            self._meters.record_resumed_run(
                used.kind.value, self._clock() - run.job.last_event_at, "other"
            )
            raise ResponseBroken(
                f"engine has base model {reported_version.version}, memory has {used.versions.text}"
            )

    def note_version_change(self, run: Run, reported_version: ReportedVersion) -> None:
        """Record a base model version that an event of a run reports.

        The backup copy is discarded: all or part of it was made by the previous version.
        """
        if reported_version == ReportedVersion():
            return
        run.versions = run.versions.with_reported(reported_version)
        run.job.backup = None
        log.info(
            "weights changed during a run",
            id=run.job.req.id,
            replica=run.replica.name,
            memory=run.versions.text,
            why=reported_version.unreadable,
        )

    def _set_versions(self, run: Run, versions: WeightVersions) -> None:
        run.versions = versions
        if run.job.backup is not None:
            run.job.backup = replace(run.job.backup, versions=versions)

    def note_event(self, run: Run) -> None:
        """Record that events of a run were received."""
        now = self._clock()
        job = run.job
        if run.first_event_at is None:
            run.first_event_at = now
            self.runs.setdefault(run.replica.name, set()).add(run)
            if not run.was_stop_requested:
                job.release_spare_retry()
            if run.resumed_copy is not None:
                self._note_resumed(run, run.resumed_copy, now)
        job.last_event_at = now
        run.is_abandoned = False

    def end(self, run: Run) -> None:
        """Record that a run's stream completed."""
        self._record_stream(run, broken=False)
        spec = run.job.service.engine
        if run.first_event_at is None or spec is None:
            return
        generated_tokens = run.events * spec.copy_terms.event_tokens
        tokens = run.job.work.prompt_tokens + generated_tokens
        self.run_statistics(run.replica.service).note(
            tokens, generated_tokens, self._clock() - run.first_event_at
        )

    def leave(self, run: Run) -> None:
        """Stop tracking a run when reading of its stream has ended."""
        self._abandoned.note_attempt_ended(run.job, run.replica)
        if run.stop_call is not None:
            run.stop_call.add_done_callback(lambda _: self._release_unused(run))
        else:
            self._release_unused(run)
        runs = self.runs.get(run.replica.name)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self.runs[run.replica.name]

    def _release_unused(self, run: Run) -> None:
        """Free the memory of a stopped run from which its request does not go on."""
        stopped = run.stopped or self._find_stopped(run)
        if stopped is not None and stopped not in (run.job.copy, run.job.resumed_copy):
            self.weights.release(stopped)

    def run_statistics(self, service: str) -> RunStatistics:
        """Return the run length statistics of a service."""
        return self._run_statistics.setdefault(service, RunStatistics())

    def remaining_s(self, run: Run) -> float:
        """Return the expected remaining duration of a run, in seconds."""
        spec = run.job.service.engine
        generated_tokens = run.events * spec.copy_terms.event_tokens if spec is not None else 0
        remaining_tokens = max(0, run.job.req.max_answer_tokens - generated_tokens)
        return remaining_tokens * self.run_statistics(run.replica.service).token_s

    async def recover(self, run: Run) -> None:
        """Find the memory from which a run whose stream broke can be resumed."""
        job = run.job
        if run.has_weight_mismatch:
            job.copy = job.backup = None
            self._watch_abandoned(run)
            return
        if run.handover is not None:
            # A handover has already asked its engine to stop it.
            job.copy = await asyncio.shield(run.handover)
            run.resumed_from = job.copy
            self._watch_abandoned(run)
            return
        self._record_stream(run, broken=not run.was_stop_requested)
        if run.stop_call is not None:
            # The engine ended the stream because it was asked to.
            await asyncio.shield(run.stop_call)
        await job.stop_orders.settle(run.replica, run.stop_mark)
        run.stopped = run.stopped or self._find_stopped(run)
        if run.stopped is not None:
            job.copy = run.stopped
            return
        if not run.has_copy:
            # The copy has probably not arrived. An engine without it rejects the request (145 of
            # 145 runs without an event had none), or restarts it if it loses responses.
            job.backup = None
        if (
            not run.is_abandoned
            and job.offer is None
            and self._choose_recovery(job, self._can_request_stop(run)) is RecoveryAction.STOP
        ):
            # A run without events was still in prefill or queued. Waiting for it would delay
            # resumption by 0.5 to 0.7 s on engines that have dropped it.
            had_events = run.first_event_at is not None
            may_have_queued = had_events and may_be_queued(
                self._clock() - job.last_event_at, job.route.gap_s
            )
            job.copy = await self._request_stop(run)
            if may_have_queued and self._can_resume_elsewhere(job):
                await self._await_requeued(run)
        self._watch_abandoned(run)

    async def stop_stalled(self, run: Run, successors: SuccessorFinder) -> bool:
        """Prepare the next attempt of a request whose run has stalled.

        An order to stop a run cannot be taken back, and the engines that keep its memory may refuse
        the request. So the run is left to go on while its caller is patient, unless its events are
        lost, and its request is offered to a successor if it may begin anew or has a copy. An
        engine that answers nothing gets no order: it would carry the order out when it goes on, and
        end a stream that goes on as well.

        Returns
        -------
        bool
            Whether the request holds all that its next attempt needs.
        """
        if run.handover is not None and await asyncio.shield(run.handover) is not None:
            return True
        job = run.job
        if not successors.may_reserve(job):
            return False
        if not job.may_repeat() and not self.weights.meets_version_deadline(
            run.versions, job.req.key
        ):
            # Its memory could not be used any more, while the run itself may still continue.
            return False
        if run.stop_call is None or run.stop_call.done():
            run.stop_outcome, run.is_gone = None, False
        elif await self._request_stop(run) is not None:
            return True
        responds = await successors.answers(run.replica)
        if not (responds and self._can_request_stop(run)):
            return await self._offer(run, successors)
        report = await self._transport.read_runs(run.replica)
        silent_s = self._clock() - job.last_event_at
        run.is_gone = is_gone(report, job.req.id, silent_s)
        if may_run_elsewhere(report, job.req.id, silent_s) and await self._offer(run, successors):
            return True
        is_losing = loses_events(report, job.req.id, job.events.last_event)
        is_due = is_losing or silent_s >= STOP_PATIENCE_FRACTION * job.route.patience_s
        if is_due and successors.reserve_for_stop(job):
            await self._request_stop(run)
        return run.stopped is not None

    async def _offer(self, run: Run, successors: SuccessorFinder) -> bool:
        """Offer a request to a successor if it may begin anew or from a copy of its memory."""
        if not run.job.may_repeat() and not run.has_copy:
            return False
        return await successors.hold(run.job, run.replica, run.was_stop_requested)

    async def _request_stop(self, run: Run) -> KvCopy | None:
        """Stop a run and wait for the answer of its engine; a stop in progress is joined.

        Returns
        -------
        KvCopy or None
            The memory that is kept of it, if any.
        """
        if run.stop_call is None or run.stop_call.done():
            run.stop_call = asyncio.create_task(self._stop_run(run))
        return await asyncio.shield(run.stop_call)

    async def _await_requeued(self, run: Run) -> None:
        """Retry the stop of a run that its engine may have requeued, while the caller waits."""
        job = run.job
        until = min(job.deadline_at, job.last_event_at + job.route.patience_s)
        while run.stop_outcome is MoveOutcome.NO_RUN and self._clock() < until:
            if await self._confirm_ended(run):
                return
            await asyncio.sleep(URGENT_POLL_INTERVAL_S)
            job.copy = await self._request_stop(run)

    async def _confirm_ended(self, run: Run) -> bool:
        run.is_gone = await self._abandoned.is_gone(run.job, run.replica)
        return run.is_gone

    def _can_resume_elsewhere(self, job: Job) -> bool:
        """Return whether a request can be resumed without a reply from its engine.

        A retry is reserved for it if there is one.
        """
        return self._choose_recovery(job, can_stop=False) is not RecoveryAction.END

    def _watch_abandoned(self, run: Run) -> None:
        """Make sure that a run resumed elsewhere does not continue on its former engine."""
        job, spec = run.job, run.job.service.engine
        has_certainly_ended = run.is_gone or run.stop_outcome is MoveOutcome.UNREACHED
        has_new_copy = job.copy is not None and job.copy is not job.resumed_copy
        goes_on = job.offer is not None or self._can_resume_elsewhere(job)
        if has_new_copy or has_certainly_ended or not goes_on:
            return
        if spec is None or not spec.moves:
            return
        target = self._choose_stop_target(run)
        if target is None:
            return
        abandoned = AbandonedRun(job, run.replica, target, self._clock())
        if job.offer is not None:
            abandoned.resumed_at = self._clock()
        self._abandoned.watch(abandoned)

    def watch_withdrawn(self, run: Run) -> None:
        """Make sure that a run does not go on after its attempt was ended for another one."""
        spec = run.job.service.engine
        target = self._choose_stop_target(run) if spec is not None and spec.moves else None
        if target is not None:
            abandoned = AbandonedRun(run.job, run.replica, target, self._clock())
            abandoned.resumed_at = self._clock()
            self._abandoned.watch(abandoned)

    def forget_removed_engines(self) -> None:
        """Discard the break records of engines that were removed."""
        for record in self._records.values():
            record.keep_only(self._fleet.state.replicas)

    def _choose_recovery(self, job: Job, can_stop: bool) -> RecoveryAction:
        has_retry = job.offer is not None or job.reserve_retry(self._budgets)
        return choose_recovery(
            BrokenRun(can_stop, job.backup is not None, job.may_repeat(), has_retry)
        )

    def _can_request_stop(self, run: Run) -> bool:
        spec = run.job.service.engine
        known = run.replica.name in self._fleet.state.replicas
        has_events = run.first_event_at is not None or (
            run.request_has_events and run.job.may_repeat()
        )
        return spec is not None and spec.moves and known and has_events

    async def _stop_run(self, run: Run) -> KvCopy | None:
        """Stop a run on its engine and return the memory that is kept of it, if any."""
        job, source = run.job, run.replica
        target = self._choose_stop_target(run)
        if target is None:
            return None
        asked_at = self._clock()
        reply = await self.stopper.stop(job, source, target, run.useful_answer_s(asked_at))
        run.stop_outcome = reply.outcome
        log.info(
            "stop of run requested",
            id=job.req.id,
            replica=source.name,
            outcome=reply.outcome.value,
            events=reply.events,
            last_event=job.events.last_event,
            memory=run.versions.text,
            took_s=round(self._clock() - asked_at, 3),
        )
        if not reply.handle:
            return None
        run.stopped = self._stopped_copy(run, target, reply, asked_at)
        return run.stopped

    def _stopped_copy(self, run: Run, target: Replica, reply: MoveReply, asked_at: float) -> KvCopy:
        """Return the memory that an engine keeps of a run that it has stopped."""
        source = run.replica
        known = self._fleet.state.replicas.get(source.name)
        is_copied = reply.outcome is MoveOutcome.COPIED and target.software == source.software
        if is_copied and (known is None or known.leaving):
            return KvCopy(KvCopyKind.MOVED, source.address, reply.handle, target, run.versions)
        # The engine held the weights until it stopped the run; they may be replaced from now on.
        elsewhere = target if is_copied else None
        return KvCopy(
            KvCopyKind.STOPPED,
            source.address,
            reply.handle,
            source,
            run.versions,
            asked_at,
            elsewhere,
        )

    def _find_stopped(self, run: Run) -> KvCopy | None:
        """Return the memory of a run that was stopped by an order for an earlier run.

        Such an order was on its way while the request returned to the engine.
        """
        for order in run.job.stop_orders.concerning(run.replica, run.stop_mark):
            if order.is_poll and order.reply is not None and order.reply.handle:
                return self._stopped_copy(run, order.target, order.reply, -math.inf)
        return None

    def _choose_stop_target(self, run: Run) -> Replica | None:
        """Return the engine to name as target of a stop; if it is full, the memory stays."""
        job, source, choose = run.job, run.replica, self.targets.choose
        return (
            choose(job, source, run.versions, MAX_MOVE_MEMORY_FRACTION)
            or choose(job, source, run.versions, math.inf)
            or next((rep for rep in self._fleet.usable(source.service) if rep != source), None)
        )

    def _record_stream(self, run: Run, broken: bool) -> None:
        now = self._clock()
        lasted_s = now - (run.sent_at if run.first_event_at is None else run.first_event_at)
        # A copy cannot help with a break before the first event.
        counts = broken and run.first_event_at is not None
        self._break_record(run.replica.service).note(run.replica.name, counts, lasted_s, now)

    def _break_record(self, service: str) -> BreakRecord:
        return self._records.setdefault(service, BreakRecord())

    def _note_resumed(self, run: Run, copy: KvCopy, now: float) -> None:
        job = run.job
        pause_s = now - job.last_event_at
        weights = compare_versions(copy.versions, run.reported)
        self._meters.record_resumed_run(copy.kind.value, pause_s, weights)
        log.info(
            "run went on",
            id=job.req.id,
            how=copy.kind.value,
            replica=copy.holder.name,
            software=copy.holder.software,
            event=job.events.last_event,
            memory=copy.versions.text,
            told=run.reported.version,
            weights=weights,
            pause_s=round(pause_s, 3),
        )

    def _choose_backup(self, job: Job, replica: Replica) -> KvCopy | None:
        spec = job.service.engine
        if spec is None or not spec.backups or job.route.repeat is not Repeat.NEVER:
            return None
        now = self._clock()
        remaining_s = job.req.max_answer_tokens * self.run_statistics(replica.service).token_s
        if not should_copy(
            self._break_record(replica.service).risk(replica.name, remaining_s, now), remaining_s
        ):
            return None
        versions = self.weights.held(replica, job.req.key)
        target = self.targets.choose(job, replica, versions, MAX_COPY_MEMORY_FRACTION)
        if target is None:
            return None
        return KvCopy(KvCopyKind.BACKUP, replica.address, job.req.id, target, versions)
