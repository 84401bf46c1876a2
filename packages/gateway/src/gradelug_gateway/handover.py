"""Moves runs off engines that are about to shut down.

`Handover.run` is a background task of the gateway. It polls the engines that have runs of this
instance, estimates when each leaving engine ends, and moves runs that would not complete in time.
"""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.run_recovery import MAX_MOVE_MEMORY_FRACTION, EvacuationCandidate, moves_due

from .budgets import RetryBudgets
from .directory import Directory
from .exceptions import Refused
from .fleet import Fleet
from .model import KvCopy, KvCopyKind, Replica
from .ports import RunTransport
from .run_moves import MoveOutcome, MoveReply
from .runs import Run, RunRecovery
from .stream_requests import started_stream_request

log = logbook.Logger("handover")
TICK_S = 0.1
"""Interval between polls; shutdown notices are delayed by a few hundred ms anyway."""
MIN_TWO_CALLS_S = 0.15
"""Minimum time left for a copy followed by a stop; with less, the run is stopped at once."""
MOVE_RETRY_S = 0.05
"""Pause before a move is retried while another move of the same run is in progress."""
MOVE_ATTEMPTS = 3
TARGET_PREPARE_S = 0.7
"""Time to get an adapter to an engine if only the ending one holds it: 0.3 s to load it, and about
as long for the planner to respond and free capacity."""
REPORT_LAG_S = 0.2
"""Age of the state in an engine's report."""


class Handover:
    """Moves runs of this instance off engines that are about to shut down.

    Parameters
    ----------
    fleet : Fleet
        The engines and their state.
    directory : Directory
        Finds engines with the weights of a run.
    lasting : RunRecovery
        Tracks the active runs.
    transport : RunTransport
        Asks engines to move runs.
    budgets : RetryBudgets
        Retry budget of each service.
    clock : callable
        The runtime's clock.
    drain_s : float
        Assumed time from an engine's notice to its end if it reports none, in seconds.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_directory",
        "_drain_s",
        "_ends_at",
        "_fleet",
        "_lasting",
        "_moving",
        "_seen_change",
        "_tasks",
        "_transport",
    )

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        lasting: RunRecovery,
        transport: RunTransport,
        budgets: RetryBudgets,
        clock: t.Callable[[], float],
        drain_s: float,
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._lasting = lasting
        self._transport = transport
        self._budgets = budgets
        self._clock = clock
        self._drain_s = drain_s
        self._ends_at: dict[str, float] = {}
        """Time at which each leaving engine is expected to end, by the runtime's clock."""
        self._seen_change = -1
        self._moving: set[Run] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Poll until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self.look()
        finally:
            for task in self._tasks:
                task.cancel()

    def look(self) -> None:
        """Start the moves that are due."""
        now, state = self._clock(), self._fleet.state
        if state.change != self._seen_change:
            self._seen_change = state.change
            self._update_deadlines(now)
        for name, runs in self._lasting.runs.items():
            known = state.replicas.get(name)
            if known is None and name not in self._ends_at:
                # Some engines give no notice: their entry is removed and they drain for `drain_s`.
                self._ends_at[name] = now + self._drain_s
                self._start(self._query_remaining_time(next(iter(runs)).replica))
            if name in self._ends_at:
                self._start_due_moves(name, runs, self._ends_at[name] - now)

    def _update_deadlines(self, now: float) -> None:
        replicas = self._fleet.state.replicas
        kept = replicas.keys() | self._lasting.runs.keys()
        self._ends_at = {name: at for name, at in self._ends_at.items() if name in kept}
        for rep in replicas.values():
            if not rep.leaving:
                self._ends_at.pop(rep.name, None)
            elif rep.name not in self._ends_at:
                self._ends_at[rep.name] = now + min(rep.ends_in_s, self._drain_s)
                if rep.name in self._lasting.runs:
                    self._start(self._query_remaining_time(rep))

    async def _query_remaining_time(self, rep: Replica) -> None:
        """Query the remaining time of an engine, since its notice may be outdated."""
        remaining_s = await self._transport.remaining_s(rep)
        if remaining_s is None or rep.name not in self._ends_at:
            return
        ends_at = self._clock() + remaining_s - REPORT_LAG_S
        log.info(
            "engine is about to end",
            replica=rep.name,
            in_s=round(remaining_s, 2),
            told_s=rep.ends_in_s,
        )
        self._ends_at[rep.name] = min(self._ends_at[rep.name], ends_at)
        self.look()

    def _start(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_due_moves(self, name: str, runs: t.Iterable[Run], ends_in_s: float) -> None:
        by_id = {
            run.job.req.id: run for run in runs if run not in self._moving and _is_movable(run)
        }
        if not by_id or ends_in_s <= 0:
            return
        spec = next(iter(by_id.values())).job.service.engine
        if spec is None:
            return
        others = self._fleet.load(name).others
        ending = [self._ending_run(run) for run in by_id.values()]
        for one in moves_due(ending, ends_in_s, others.starting + others.running, spec.copy_terms):
            run = by_id[one.request_id]
            self._moving.add(run)
            self._start(self._move_run(run))

    def _ending_run(self, run: Run) -> EvacuationCandidate:
        job, spec = run.job, run.job.service.engine
        generated_tokens = run.events * spec.copy_terms.event_tokens if spec is not None else 0
        remaining_s = self._lasting.remaining_s(run)
        # A repeatable request can be resumed without a move, at the cost of another prefill.
        value = (job.work.prompt_tokens + generated_tokens) * (1 if job.may_repeat() else 2)
        tokens = job.work.prompt_tokens + generated_tokens
        prepare_s = 0.0 if self._has_other_holder(run) else TARGET_PREPARE_S
        return EvacuationCandidate(job.req.id, tokens, remaining_s, value, prepare_s)

    def _has_other_holder(self, run: Run) -> bool:
        key = run.job.req.key
        if key is None:
            return True
        holders = self._fleet.holders(run.job.service.name, key)
        return any(rep.name != run.replica.name for rep in holders)

    async def _move_run(self, run: Run) -> None:
        try:
            target = await self._find_target(run)
            if target is None:
                return
            if not await self._lasting.weights.is_usable(run.job, _copy(run, target)):
                return
            copy_handle = ""
            remaining_s = self._ends_at.get(run.replica.name, math.inf) - self._clock()
            if remaining_s > MIN_TWO_CALLS_S or run.copy_failed:
                reply = await self._request_move(run, target, last=False)
                copy_handle = reply.handle
                if reply.outcome is not MoveOutcome.COPIED:
                    # Without capacity elsewhere the run continues until its engine ends.
                    run.copy_failed = True
                    return
            if self._is_active(run) and run.job.reserve_retry(self._budgets):
                await self._stop_and_resume(run, target, copy_handle)
            elif copy_handle:
                await self._transport.release(target, copy_handle)
        finally:
            self._moving.discard(run)

    async def _stop_and_resume(self, run: Run, target: Replica, copy_handle: str) -> None:
        """Stop a run, which moves the rest of its memory, so that it can be resumed there."""
        run.handover = asyncio.get_running_loop().create_future()
        found: KvCopy | None = None
        try:
            reply = await self._request_move(run, target, last=True)
            if reply.outcome is MoveOutcome.COPIED and reply.handle:
                found = _copy(run, target, reply.handle)
        finally:
            run.handover.set_result(found)
        if found is not None and not self._is_active(run) and run.resumed_from is not found:
            await self._transport.release(run.replica, found.ident)
        if reply.outcome is MoveOutcome.NO_RUN and copy_handle:
            # The run completed in the meantime.
            await self._transport.release(target, copy_handle)

    async def _request_move(self, run: Run, target: Replica, last: bool) -> MoveReply:
        """Ask an engine to copy a run's memory; retry if it is busy or does not respond."""
        reply = MoveReply(MoveOutcome.LOST)
        for _ in range(MOVE_ATTEMPTS):
            asked_at = self._clock()
            reply = await self._order_move(run, target, last)
            log.info(
                "run moved" if last else "run copied",
                id=run.job.req.id,
                replica=run.replica.name,
                target=target.name,
                outcome=reply.outcome.value,
                events=reply.events,
                last_event=run.job.events.last_event,
                took_s=round(self._clock() - asked_at, 3),
            )
            is_retried = reply.outcome is MoveOutcome.BUSY or (
                reply.outcome is MoveOutcome.LOST and not last
            )
            if not is_retried:
                break
            await asyncio.sleep(MOVE_RETRY_S)
        return reply

    async def _order_move(self, run: Run, target: Replica, last: bool) -> MoveReply:
        if not last:
            return await self._transport.move(run.replica, run.job.req.id, target, last)
        return await self._lasting.stopper.stop(
            run.job, run.replica, target, run.useful_answer_s(self._clock())
        )

    async def _find_target(self, run: Run) -> Replica | None:
        """Return an engine on which a run can be resumed; load its weights there if needed."""
        job = run.job
        key = job.req.key
        weights, versions = self._lasting.weights, run.versions
        target = self._lasting.targets.choose(job, run.replica, versions, MAX_MOVE_MEMORY_FRACTION)
        if key is None or target is None:
            return target
        service = job.service.name
        if weights.holds(target, versions, key):
            return target
        try:
            found = await self._directory.place(
                service,
                key,
                wish=started_stream_request(job, self._clock()),
                excluded=(run.replica.name,),
                only=None,
                absent="",
            )
        except Refused as exc:
            log.info("no target engine for a run", id=job.req.id, why=str(exc))
            return None
        # Engines load the newest version, which may not have been announced here yet.
        return found if weights.holds(found, versions, key) else None

    def _is_active(self, run: Run) -> bool:
        return run in self._lasting.runs.get(run.replica.name, ())


def _copy(run: Run, target: Replica, handle: str = "") -> KvCopy:
    return KvCopy(KvCopyKind.MOVED, run.replica.address, handle, target, run.versions)


def _is_movable(run: Run) -> bool:
    spec = run.job.service.engine
    return spec is not None and spec.moves and run.handover is None and run.stop_call is None
