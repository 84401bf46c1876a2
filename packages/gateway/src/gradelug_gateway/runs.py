"""Runs that go on when their connection or their engine is lost: what is known of them, and how."""

from __future__ import annotations

import asyncio
import math
import random
import typing as t
from dataclasses import replace

import logbook
from gradelug_http import ResponseBroken
from gradelug_policy.lasting_runs import (
    ANY_ROOM,
    ROOM_PART,
    BreakRecord,
    Broken,
    Pace,
    Way,
    choose_way,
    wants_copy,
)
from gradelug_policy.left_runs import ASK_S, may_wait
from gradelug_policy.run_versions import NOT_TOLD, VersionWord, WeightVersions, compare

from .copy_targets import CopyTargets
from .fleet import Fleet
from .job import Job
from .left_runs import LeftRun, LeftRuns
from .metrics import Meters
from .model import Copy, CopyKind, Repeat, Replica
from .moves import MoveOutcome
from .ports import RunTransport
from .run_weights import RunWeights

log = logbook.Logger("runs")
COPY_AGE_S = 0.5
"""So long after its first event a run's copy is there: its memory is sent some times a second. Of
25 runs that broke within 0.6 s of their sending 8 had none in trials, of 76 others 3."""


class Run:
    """A request's run on an engine, as far as its events have come.

    Parameters
    ----------
    job : Job
        The request.
    replica : Replica
        Where it runs.
    began_at : float
        When it was sent, by the runtime's clock.
    """

    __slots__ = (
        "answer",
        "began_at",
        "first_at",
        "handover",
        "is_gone",
        "is_left",
        "job",
        "replica",
        "reported",
        "since_event",
        "stopped",
        "taken",
        "versions",
        "was_mixed",
        "was_refused",
    )

    def __init__(self, job: Job, replica: Replica, began_at: float) -> None:
        self.job = job
        self.replica = replica
        self.began_at = began_at
        self.first_at: float | None = None
        """When its first event came."""
        self.since_event = job.events.last_event
        self.handover: asyncio.Future[Copy | None] | None = None
        """Its memory at another engine, while its engine is asked to stop it."""
        self.stopped: Copy | None = None
        """Its memory where it was stopped because nothing came from it any more."""
        self.answer: MoveOutcome | None = None
        """What its engine said when it was last asked to stop it."""
        self.is_left = False
        """Whether its engine was asked, and it can go on elsewhere."""
        self.is_gone = False
        """Whether its engine has it no more, for certain."""
        self.was_refused = False
        """Whether its engine could not send its memory elsewhere."""
        self.was_mixed = False
        """Whether it went on under other weights than those of its memory."""
        self.taken: Copy | None = None
        """The memory from which it goes on."""
        self.versions = job.copy.versions if job.copy is not None else WeightVersions()
        """Of the weights that made its memory."""
        self.reported = VersionWord()
        """What its engine said of its base model as the run began."""

    @property
    def events(self) -> int:
        """Return how many events of this run have come."""
        return self.job.events.last_event - self.since_event

    @property
    def must_be_found(self) -> bool:
        """Tell whether leaving it could end its request, or have two engines work on it."""
        return self.first_at is not None or not self.job.may_repeat()

    @property
    def has_begun(self) -> bool:
        """Tell whether events of its request have come, from it or from what it goes on from."""
        return self.job.events.last_event > 0


class LastingRuns:
    """Knows the runs of this instance, and lets them go on.

    Parameters
    ----------
    fleet : Fleet
        Engines.
    transport : RunTransport
        Moves runs.
    meters : Meters
        Counts.
    clock : callable
        The runtime's clock.
    has_retry : callable
        Tells whether a request to a service may be sent again now.
    rng : random.Random
        Of many engines without the weights of a run, some are drawn to choose from.
    version_s : float
        No run begins or goes on under an older version of its adapter so long after a newer one was
        named, in seconds.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_has_retry",
        "_left",
        "_meters",
        "_paces",
        "_records",
        "_transport",
        "runs",
        "targets",
        "weights",
    )

    def __init__(
        self,
        fleet: Fleet,
        transport: RunTransport,
        meters: Meters,
        clock: t.Callable[[], float],
        has_retry: t.Callable[[str], bool],
        rng: random.Random,
        version_s: float = math.inf,
    ) -> None:
        self._fleet = fleet
        self._transport = transport
        self._meters = meters
        self._clock = clock
        self._has_retry = has_retry
        self._left = LeftRuns(transport, meters, clock)
        self._records: dict[str, BreakRecord] = {}
        self._paces: dict[str, Pace] = {}
        self.weights = RunWeights(fleet, transport, clock, version_s)
        """Tells which engines have the weights of a run's memory."""
        self.targets = CopyTargets(fleet, self.weights, self.pace, clock, rng)
        """Chooses engines for the memory of runs."""
        self.runs: dict[str, set[Run]] = {}
        """Those with events, by replica."""

    def is_lasting(self, job: Job) -> bool:
        """Tell whether a request's run can go on."""
        spec = job.service.engine
        return job.route.streaming and spec is not None and (spec.moves or spec.backups)

    def begin(self, job: Job, replica: Replica) -> Run:
        """Note that a request is being sent, and choose where a copy of its run is to be kept."""
        self._left.note_sending(job, replica)
        if job.copy is None:
            job.backup = self._choose_backup(job, replica)
        return Run(job, replica, self._clock())

    def note_asked(self, run: Run, version: int) -> None:
        """Note the version that a run was sent with, which its engine checks."""
        key = run.job.req.key
        if key is None or run.job.copy is not None or not version:
            return
        model, adapter = (NOT_TOLD, version) if key.adapter else (version, NOT_TOLD)
        self._set_versions(run, WeightVersions(model, adapter))

    def note_weights(self, run: Run, word: VersionWord) -> None:
        """Note what the engine of a run says of its base model as the run begins.

        Raises
        ------
        ResponseBroken
            If the run goes on under other weights than those of its memory.
        """
        self._left.note_begun(run.job, run.replica)
        run.reported = word
        if word.unreadable:
            log.info("version unreadable", replica=run.replica.name, why=word.unreadable)
        used = run.job.used
        if used is None:
            self._set_versions(run, run.versions.told(word))
        elif compare(used.versions, word) == "other":
            run.was_mixed = True
            self._meters.went_on(used.kind.value, self._clock() - run.job.event_at, "other")
            raise ResponseBroken(
                f"the engine has base model {word.version}, the memory is of {used.versions.text}"
            )

    def note_change(self, run: Run, word: VersionWord) -> None:
        """Note what an event of a run says of its engine's base model.

        A copy that was received as the run grew is of the former one, in part or whole.
        """
        if word == VersionWord():
            return
        run.versions = run.versions.told(word)
        run.job.backup = None
        log.info(
            "weights of a run changed",
            id=run.job.req.id,
            replica=run.replica.name,
            memory=run.versions.text,
            why=word.unreadable,
        )

    def _set_versions(self, run: Run, versions: WeightVersions) -> None:
        run.versions = versions
        if run.job.backup is not None:
            run.job.backup = replace(run.job.backup, versions=versions)

    def note_event(self, run: Run) -> None:
        """Note that events of a run have come."""
        now = self._clock()
        job = run.job
        if run.first_at is None:
            run.first_at = now
            self.runs.setdefault(run.replica.name, set()).add(run)
            if job.used is not None:
                self._note_gone_on(run, job.used, now)
        job.event_at = now
        run.is_left = False

    def end(self, run: Run) -> None:
        """Note that a run's stream ended whole."""
        self._record(run, broken=False)
        spec = run.job.service.engine
        if run.first_at is None or spec is None:
            return
        made = run.events * spec.copy_terms.event_tokens
        tokens = run.job.work.prompt_tokens + made
        self.pace(run.replica.service).note(tokens, made, self._clock() - run.first_at)

    def leave(self, run: Run) -> None:
        """Note that nothing is read of a run any more."""
        self._left.note_ended(run.job, run.replica)
        runs = self.runs.get(run.replica.name)
        if runs is None:
            return
        runs.discard(run)
        if not runs:
            del self.runs[run.replica.name]

    def pace(self, service: str) -> Pace:
        """Return what is known of the length of a service's runs."""
        return self._paces.setdefault(service, Pace())

    def left_s(self, run: Run) -> float:
        """Return how long a run is expected to last, in seconds."""
        spec = run.job.service.engine
        made = run.events * spec.copy_terms.event_tokens if spec is not None else 0
        left = max(0, run.job.req.most_tokens - made)
        return left * self.pace(run.replica.service).token_s

    async def recover(self, run: Run) -> None:
        """Find the memory from which a run whose stream broke can go on."""
        job = run.job
        if run.was_mixed:
            job.copy = job.backup = None
            self._watch(run)
            return
        if run.handover is not None:
            # Its engine was asked to stop it.
            job.copy = await asyncio.shield(run.handover)
            run.taken = job.copy
            self._watch(run)
            return
        self._record(run, broken=True)
        if run.stopped is not None:
            job.copy = run.stopped
            return
        if run.first_at is None or self._clock() - run.first_at < COPY_AGE_S:
            # Where no memory has arrived a request that asks for it is turned away (145 of 145
            # without an event in trials), or run anew by an engine that loses answers.
            job.backup = None
        if not run.is_left and self._choose_way(job, self._can_stop(run)) is Way.STOP:
            # One without an event here was read or waited; looking for it held up what callers had
            # resumed by 0.5 to 0.7 s at engines that had dropped it.
            was_begun = run.first_at is not None
            waits = was_begun and may_wait(self._clock() - job.event_at, job.route.gap_s)
            job.copy = await self._stop(run)
            if waits and self._may_go_on(job):
                await self._find(run)
        self._watch(run)

    async def stop_silent(self, run: Run) -> bool:
        """Stop a run from which nothing comes; tell whether it can go on elsewhere, and alone."""
        if run.handover is not None:
            return (await asyncio.shield(run.handover)) is not None
        job = run.job
        if not self._has_retry(job.service.name):
            return False
        if not job.may_repeat() and not self.weights.is_in_time(run.versions, job.req.key):
            # Its memory would be of no use; left alone it may go on by itself.
            return False
        run.answer = None
        if self._can_stop(run):
            run.stopped = await self._stop(run)
        if run.stopped is not None:
            return True
        if not self._may_go_on(job):
            return False
        run.is_left = run.answer is not MoveOutcome.NO_RUN or await self._is_gone(run)
        return run.is_left

    async def _find(self, run: Run) -> None:
        """Wait for a run that its engine may have put back to wait, as long as its caller does."""
        job = run.job
        until = min(job.deadline_at, job.event_at + job.route.patience_s)
        while run.answer is MoveOutcome.NO_RUN and self._clock() < until:
            if await self._is_gone(run):
                return
            await asyncio.sleep(ASK_S)
            job.copy = await self._stop(run)

    async def _is_gone(self, run: Run) -> bool:
        run.is_gone = await self._left.is_gone(run.job, run.replica)
        return run.is_gone

    def _may_go_on(self, job: Job) -> bool:
        """Tell whether there is a way on that does not take its engine."""
        return self._choose_way(job, can_stop=False) is not Way.END

    def _watch(self, run: Run) -> None:
        """See to it that a run that goes on elsewhere does not go on where it was left."""
        job, spec = run.job, run.job.service.engine
        is_certain = run.is_gone or run.answer is MoveOutcome.UNREACHED
        has_memory = job.copy is not None and job.copy is not job.used
        if has_memory or is_certain or not self._may_go_on(job):
            return
        if spec is None or not spec.moves:
            return
        target = self._stop_target(run)
        if target is not None:
            self._left.watch(LeftRun(job, run.replica, target, self._clock()))

    def forget_gone(self) -> None:
        """Forget the records of engines that are gone."""
        for record in self._records.values():
            record.keep_only(self._fleet.state.replicas)

    def _choose_way(self, job: Job, can_stop: bool) -> Way:
        has_retry = self._has_retry(job.service.name)
        return choose_way(Broken(can_stop, job.backup is not None, job.may_repeat(), has_retry))

    def _can_stop(self, run: Run) -> bool:
        spec = run.job.service.engine
        known = run.replica.name in self._fleet.state.replicas
        has_events = run.first_at is not None or (run.has_begun and run.job.may_repeat())
        return spec is not None and spec.moves and known and has_events

    async def _stop(self, run: Run) -> Copy | None:
        """Stop a run where its engine is still at work, and return the memory that it keeps."""
        job, source = run.job, run.replica
        target = self._stop_target(run)
        if target is None:
            return None
        began = self._clock()
        reply = await self._transport.move(source, job.req.id, target, True)
        if reply.outcome is MoveOutcome.LOST:
            # Links silence kept connections; the second call takes a new one.
            reply = await self._transport.move(source, job.req.id, target, True)
        run.answer = reply.outcome
        log.info(
            "run stopped",
            id=job.req.id,
            replica=source.name,
            outcome=reply.outcome.value,
            events=reply.events,
            last_event=job.events.last_event,
            memory=run.versions.text,
            took_s=round(self._clock() - began, 3),
        )
        if not reply.handle:
            return None
        known = self._fleet.state.replicas.get(source.name)
        if reply.outcome is MoveOutcome.COPIED and (known is None or known.leaving):
            return Copy(CopyKind.MOVED, source.address, reply.handle, target, run.versions)
        # The engine held the weights until it stopped the run; an order may replace them now.
        elsewhere = target if reply.outcome is MoveOutcome.COPIED else None
        return Copy(
            CopyKind.STOPPED, source.address, reply.handle, source, run.versions, began, elsewhere
        )

    def _stop_target(self, run: Run) -> Replica | None:
        """Return the engine to name where a run is stopped; without room there it stays."""
        job, source, choose = run.job, run.replica, self.targets.choose
        return (
            choose(job, source, run.versions, ANY_ROOM)
            or choose(job, source, run.versions, math.inf)
            or next((rep for rep in self._fleet.usable(source.service) if rep != source), None)
        )

    def _record(self, run: Run, broken: bool) -> None:
        now = self._clock()
        lasted_s = now - (run.began_at if run.first_at is None else run.first_at)
        # A break before the first event cannot be helped by a copy.
        counts = broken and run.first_at is not None
        self._record_of(run.replica.service).note(run.replica.name, counts, lasted_s, now)

    def _record_of(self, service: str) -> BreakRecord:
        return self._records.setdefault(service, BreakRecord())

    def _note_gone_on(self, run: Run, copy: Copy, now: float) -> None:
        job = run.job
        pause_s = now - job.event_at
        weights = compare(copy.versions, run.reported)
        self._meters.went_on(copy.kind.value, pause_s, weights)
        log.info(
            "run went on",
            id=job.req.id,
            how=copy.kind.value,
            replica=copy.holder.name,
            event=job.events.last_event,
            memory=copy.versions.text,
            told=run.reported.version,
            weights=weights,
            pause_s=round(pause_s, 3),
        )

    def _choose_backup(self, job: Job, replica: Replica) -> Copy | None:
        spec = job.service.engine
        if spec is None or not spec.backups or job.route.repeat is not Repeat.NEVER:
            return None
        now = self._clock()
        left_s = job.req.most_tokens * self.pace(replica.service).token_s
        if not wants_copy(self._record_of(replica.service).risk(replica.name, left_s, now), left_s):
            return None
        versions = self.weights.held(replica, job.req.key)
        target = self.targets.choose(job, replica, versions, ROOM_PART)
        if target is None:
            return None
        return Copy(CopyKind.BACKUP, replica.address, job.req.id, target, versions)
