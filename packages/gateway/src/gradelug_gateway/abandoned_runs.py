"""Stops abandoned runs, so that no request runs on two engines at once.

An engine may keep or requeue a run whose stream broke. `RunRecovery` passes such a run on when its
request is to be resumed. Its engine is then polled, most often right after the request was sent to
another engine, until it has stopped the run or certainly has none.
"""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.abandoned_runs import (
    MAX_REPORT_AGE_S,
    EngineRunsReport,
    is_gone,
    next_poll_s,
)

from .job import Job
from .metrics import GatewayMetrics
from .model import Replica
from .ports import RunTransport
from .run_moves import MoveOutcome
from .run_stops import RunStopper

log = logbook.Logger("left runs")
MAX_KNOWN_HANDLES = 1_000
"""Number of handles of stopped runs that are remembered."""


class AbandonedRun:
    """A run that was abandoned on an engine, which may still execute it.

    Parameters
    ----------
    job : Job
        The request that was being executed.
    replica : Replica
        The engine on which the run was abandoned.
    target : Replica
        The engine named as target of the memory, which a stop request requires.
    abandoned_at : float
        Time at which it was abandoned, by the runtime's clock.
    """

    __slots__ = (
        "abandoned_at",
        "has_restarted",
        "is_paused",
        "is_repeated",
        "job",
        "replica",
        "resumed",
        "resumed_at",
        "target",
    )

    def __init__(self, job: Job, replica: Replica, target: Replica, abandoned_at: float) -> None:
        self.job = job
        self.replica = replica
        self.target = target
        self.abandoned_at = abandoned_at
        self.is_paused = False
        """Whether the request is being sent to that engine again and has no response yet."""
        self.is_repeated = job.sends > 1
        """Whether its request had run before it: it may well return to that engine."""
        self.has_restarted = False
        """Whether that engine runs the request again."""
        self.resumed_at = -math.inf
        """Time at which the request was last sent to another engine."""
        self.resumed = asyncio.Event()


class AbandonedRuns:
    """Polls engines for abandoned runs and stops them.

    Parameters
    ----------
    transport : RunTransport
        Queries engines for the runs that they have, and releases their memory.
    stopper : RunStopper
        Stops runs.
    meters : GatewayMetrics
        Metrics of abandoned runs.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_by_request", "_clock", "_handles", "_meters", "_stopper", "_transport")

    def __init__(
        self,
        transport: RunTransport,
        stopper: RunStopper,
        meters: GatewayMetrics,
        clock: t.Callable[[], float],
    ) -> None:
        self._transport = transport
        self._stopper = stopper
        self._meters = meters
        self._clock = clock
        self._by_request: dict[str, dict[str, tuple[AbandonedRun, asyncio.Task[None]]]] = {}
        """Abandoned runs and their polling tasks, by request identifier and replica name."""
        self._handles: dict[str, None] = {}
        """Handles of the runs that were stopped last, oldest first."""

    async def is_gone(self, job: Job, replica: Replica) -> bool:
        """Return whether a run that its engine does not report has ended, and is not queued."""
        report = await self._read_runs(replica, job.req.id, self._clock() - job.last_event_at)
        has_ended = is_gone(report, job.req.id, self._clock() - job.last_event_at)
        log.info(
            "engine reports no such run",
            id=job.req.id,
            replica=replica.name,
            gone=has_ended,
            queued=report.queued if report is not None else None,
            active=report.active if report is not None else None,
            runs=len(report.runs) if report is not None else None,
        )
        return has_ended

    def watch(self, run: AbandonedRun) -> None:
        """Poll for an abandoned run in the background and stop it if its engine still has it."""
        by_replica = self._by_request.setdefault(run.job.req.id, {})
        known = by_replica.get(run.replica.name)
        if known is not None and not known[0].has_restarted:
            return
        task = asyncio.create_task(self._watch_run(run))
        by_replica[run.replica.name] = (run, task)
        task.add_done_callback(lambda _: self._forget(run))

    def note_attempt(self, job: Job, replica: Replica) -> None:
        """Record where a request is sent: pause polling there, and poll other engines urgently."""
        for name, (run, _) in self._by_request.get(job.req.id, {}).items():
            if name == replica.name:
                # A stop request could hit the new run of the same request.
                run.is_paused = True
            elif job.events.last_event:
                run.resumed_at = self._clock()
                run.resumed.set()

    def note_started(self, job: Job, replica: Replica) -> None:
        """Record that an engine runs a request again, and stop polling that engine for it.

        An order on its way is not given up: it may stop the new run.
        """
        found = self._by_request.get(job.req.id, {}).get(replica.name)
        if found is not None:
            found[0].has_restarted = True
            found[0].resumed.set()

    def note_attempt_ended(self, job: Job, replica: Replica) -> None:
        """Record that an attempt on an engine ended, usually by rejection, and resume polling."""
        found = self._by_request.get(job.req.id, {}).get(replica.name)
        if found is not None:
            found[0].is_paused = False

    def _forget(self, run: AbandonedRun) -> None:
        by_replica = self._by_request.get(run.job.req.id, {})
        known = by_replica.get(run.replica.name)
        if known is None or known[0] is not run:
            return
        del by_replica[run.replica.name]
        if not by_replica:
            del self._by_request[run.job.req.id]

    async def _watch_run(self, run: AbandonedRun) -> None:
        while self._clock() < run.job.deadline_at:
            await self._wait_for_next_check(run)
            if run.has_restarted:
                return
            if not run.is_paused and await self._stop_or_confirm_ended(run):
                return
        self._meters.count_abandoned_run("unknown")

    async def _wait_for_next_check(self, run: AbandonedRun) -> None:
        now = self._clock()
        run.resumed.clear()
        pause_s = next_poll_s(now - run.abandoned_at, now - run.resumed_at)
        try:
            await asyncio.wait_for(run.resumed.wait(), pause_s)
        except TimeoutError:
            return

    async def _stop_or_confirm_ended(self, run: AbandonedRun) -> bool:
        """Try to stop an abandoned run; return whether it has certainly ended."""
        ident, replica = run.job.req.id, run.replica
        reply = await self._stopper.poll(run.job, replica, run.target, run.is_repeated)
        if reply.handle in self._handles:
            # Handles are used once: this is a copy of the response to an earlier poll.
            return False
        if reply.handle:
            self._note_handle(reply.handle)
            if run.is_paused or run.has_restarted:
                log.info("run stopped again", id=ident, replica=replica.name)
                return True
            after_s = round(self._clock() - run.abandoned_at, 3)
            log.info("abandoned run stopped", id=ident, replica=replica.name, after_s=after_s)
            self._meters.count_abandoned_run("stopped")
            await self._transport.release(replica, reply.handle)
            return True
        has_ended = await self._has_ended(run, reply.outcome)
        if has_ended:
            self._meters.count_abandoned_run("gone")
        return has_ended

    def _note_handle(self, handle: str) -> None:
        self._handles[handle] = None
        if len(self._handles) > MAX_KNOWN_HANDLES:
            del self._handles[next(iter(self._handles))]

    async def _has_ended(self, run: AbandonedRun, outcome: MoveOutcome) -> bool:
        """Return whether an engine that stopped nothing certainly does not have the run."""
        if outcome is MoveOutcome.UNREACHED:
            return True
        if outcome is not MoveOutcome.NO_RUN:
            return False
        age_s = self._clock() - run.abandoned_at
        if age_s < MAX_REPORT_AGE_S:
            return False
        report = await self._read_runs(run.replica, run.job.req.id, age_s)
        return is_gone(report, run.job.req.id, age_s)

    async def _read_runs(
        self, replica: Replica, ident: str, age_s: float
    ) -> EngineRunsReport | None:
        """Return the runs that an engine reports, read again if they lack one.

        The response to a poll may be a copy of an earlier one, from before the run began.
        """
        report = await self._transport.read_runs(replica, is_poll=True)
        if not is_gone(report, ident, age_s):
            return report
        return await self._transport.read_runs(replica)
