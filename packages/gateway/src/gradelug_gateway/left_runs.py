"""Runs that went on elsewhere do not go on where they were left, too."""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.left_runs import REPORT_AGE_S, is_gone, next_ask_s

from .job import Job
from .metrics import Meters
from .model import Replica
from .moves import MoveOutcome
from .ports import RunTransport

log = logbook.Logger("left runs")


class LeftRun:
    """A run that was left at its engine, which may still have it.

    Parameters
    ----------
    job : Job
        The request.
    replica : Replica
        Where it was left.
    target : Replica
        An engine that its memory is offered to, as stopping it asks for one.
    left_at : float
        When it was left, by the runtime's clock.
    """

    __slots__ = ("is_paused", "job", "left_at", "replica", "target", "went_on", "went_on_at")

    def __init__(self, job: Job, replica: Replica, target: Replica, left_at: float) -> None:
        self.job = job
        self.replica = replica
        self.target = target
        self.left_at = left_at
        self.is_paused = False
        """Whether its request was sent to its engine, which has not answered yet."""
        self.went_on_at = -math.inf
        """When its request was last sent to go on elsewhere."""
        self.went_on = asyncio.Event()


class LeftRuns:
    """Asks engines for runs that went on elsewhere, and has them stopped there.

    Parameters
    ----------
    transport : RunTransport
        Stops runs, and brings what engines say of theirs.
    meters : Meters
        Counts.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_left", "_meters", "_transport")

    def __init__(
        self, transport: RunTransport, meters: Meters, clock: t.Callable[[], float]
    ) -> None:
        self._transport = transport
        self._meters = meters
        self._clock = clock
        self._left: dict[str, dict[str, tuple[LeftRun, asyncio.Task[None]]]] = {}
        """By request and replica."""

    async def is_gone(self, job: Job, replica: Replica) -> bool:
        """Tell whether a run that its engine did not know has left the engine for certain."""
        word = await self._transport.word(replica)
        gone = is_gone(word, job.req.id, self._clock() - job.event_at)
        log.info(
            "run not known to its engine",
            id=job.req.id,
            replica=replica.name,
            gone=gone,
            queued=word.queued if word is not None else None,
            active=word.active if word is not None else None,
            runs=len(word.runs) if word is not None else None,
        )
        return gone

    def watch(self, left: LeftRun) -> None:
        """See to it that a run is stopped should it go on where it was left."""
        of_job = self._left.setdefault(left.job.req.id, {})
        if left.replica.name in of_job:
            return
        task = asyncio.create_task(self._watch(left))
        of_job[left.replica.name] = (left, task)
        task.add_done_callback(lambda _: self._forget(left))

    def note_sending(self, job: Job, replica: Replica) -> None:
        """Note where a request is sent: what was left there is left alone, the rest is urgent."""
        for name, (left, _) in self._left.get(job.req.id, {}).items():
            if name == replica.name:
                # Stopped there now, its request's new run could be meant.
                left.is_paused = True
            elif job.events.last_event:
                left.went_on_at = self._clock()
                left.went_on.set()

    def note_begun(self, job: Job, replica: Replica) -> None:
        """Note that an engine runs a request: what was left there is not looked for any more."""
        found = self._left.get(job.req.id, {}).get(replica.name)
        if found is not None:
            found[1].cancel()

    def note_ended(self, job: Job, replica: Replica) -> None:
        """Note that a sending to an engine has ended, most of them after it was turned away."""
        found = self._left.get(job.req.id, {}).get(replica.name)
        if found is not None:
            found[0].is_paused = False

    def _forget(self, left: LeftRun) -> None:
        of_job = self._left[left.job.req.id]
        del of_job[left.replica.name]
        if not of_job:
            del self._left[left.job.req.id]

    async def _watch(self, left: LeftRun) -> None:
        while self._clock() < left.job.deadline_at:
            await self._pause(left)
            if not left.is_paused and await self._is_over(left):
                return
        self._meters.left_run("unknown")

    async def _pause(self, left: LeftRun) -> None:
        now = self._clock()
        left.went_on.clear()
        pause_s = next_ask_s(now - left.left_at, now - left.went_on_at)
        try:
            await asyncio.wait_for(left.went_on.wait(), pause_s)
        except TimeoutError:
            return

    async def _is_over(self, left: LeftRun) -> bool:
        """Ask for a left run, and tell whether it is gone for certain."""
        ident, replica = left.job.req.id, left.replica
        reply = await self._transport.move(replica, ident, left.target, True)
        if reply.handle:
            after_s = round(self._clock() - left.left_at, 3)
            log.info("left run stopped", id=ident, replica=replica.name, after_s=after_s)
            self._meters.left_run("stopped")
            await self._transport.free(replica, reply.handle)
            return True
        is_over = reply.outcome is MoveOutcome.UNREACHED or (
            reply.outcome is MoveOutcome.NO_RUN and await self._is_gone_since(left)
        )
        if is_over:
            self._meters.left_run("gone")
        return is_over

    async def _is_gone_since(self, left: LeftRun) -> bool:
        if self._clock() - left.left_at < REPORT_AGE_S:
            return False
        word = await self._transport.word(left.replica)
        return is_gone(word, left.job.req.id, self._clock() - left.left_at)
