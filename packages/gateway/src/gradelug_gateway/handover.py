"""Runs are moved off engines that are about to end."""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.lasting_runs import ANY_ROOM, EndingRun, moves_due

from .directory import Directory
from .exceptions import Refused
from .fleet import Fleet
from .model import Copy, CopyKind, Replica
from .moves import MoveOutcome, MoveReply
from .ports import RunTransport
from .runs import LastingRuns, Run
from .wishes import begun_wish

log = logbook.Logger("handover")
TICK_S = 0.1
"""How often the runs on ending engines are looked at; notices are some hundred ms old anyway."""
HURRY_S = 0.15
"""With less time left a run is stopped at once: two calls may not fit."""
AGAIN_S = 0.05
"""Pause before a move is asked for again while another of the same run is under way."""
TRIES = 3
PREPARE_S = 0.7
"""Time until an engine has an adapter that none but the ending one holds: 0.3 s of loading, as long
again for its planner to be asked and to make room."""
REPORT_LAG_S = 0.2
"""An engine's report shows the state of some hundred ms ago."""


class Handover:
    """Has the runs of this instance moved off engines that are about to end.

    Parameters
    ----------
    fleet : Fleet
        Engines.
    directory : Directory
        Finds engines with the weights of a run.
    lasting : LastingRuns
        Knows the runs.
    transport : RunTransport
        Moves them.
    try_retry : callable
        Takes a repeated sending to a service from the budget if there is one.
    clock : callable
        The runtime's clock.
    drain_s : float
        How long an engine goes on after its notice if it does not say, in seconds.
    """

    __slots__ = (
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
        "_try_retry",
    )

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        lasting: LastingRuns,
        transport: RunTransport,
        try_retry: t.Callable[[str], bool],
        clock: t.Callable[[], float],
        drain_s: float,
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._lasting = lasting
        self._transport = transport
        self._try_retry = try_retry
        self._clock = clock
        self._drain_s = drain_s
        self._ends_at: dict[str, float] = {}
        """When leaving engines will be gone, by the runtime's clock."""
        self._seen_change = -1
        self._moving: set[Run] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Look after the runs on ending engines until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_S)
                self.look()
        finally:
            for task in self._tasks:
                task.cancel()

    def look(self) -> None:
        """Begin the moves that are due."""
        now, state = self._clock(), self._fleet.state
        if state.change != self._seen_change:
            self._seen_change = state.change
            self._note_ends(now)
        for name, runs in self._lasting.runs.items():
            known = state.replicas.get(name)
            if known is None and name not in self._ends_at:
                # Some engines give no notice: their entry goes, and they go on for as long.
                self._ends_at[name] = now + self._drain_s
                self._start(self._ask_end(next(iter(runs)).replica))
            if name in self._ends_at:
                self._begin_moves(name, runs, self._ends_at[name] - now)

    def _note_ends(self, now: float) -> None:
        replicas = self._fleet.state.replicas
        kept = replicas.keys() | self._lasting.runs.keys()
        self._ends_at = {name: at for name, at in self._ends_at.items() if name in kept}
        for rep in replicas.values():
            if not rep.leaving:
                self._ends_at.pop(rep.name, None)
            elif rep.name not in self._ends_at:
                self._ends_at[rep.name] = now + min(rep.ends_in_s, self._drain_s)
                if rep.name in self._lasting.runs:
                    self._start(self._ask_end(rep))

    async def _ask_end(self, rep: Replica) -> None:
        """Ask an engine how long it has: its notice was written some time ago."""
        left_s = await self._transport.ends_in_s(rep)
        if left_s is None or rep.name not in self._ends_at:
            return
        ends_at = self._clock() + left_s - REPORT_LAG_S
        log.info("engine ends", replica=rep.name, in_s=round(left_s, 2), told_s=rep.ends_in_s)
        self._ends_at[rep.name] = min(self._ends_at[rep.name], ends_at)
        self.look()

    def _start(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _begin_moves(self, name: str, runs: t.Iterable[Run], ends_in_s: float) -> None:
        by_id = {run.job.req.id: run for run in runs if run not in self._moving and _can_move(run)}
        if not by_id or ends_in_s <= 0:
            return
        spec = next(iter(by_id.values())).job.service.engine
        if spec is None:
            return
        others = self._fleet.load(name).others
        ending = [self._ending(run) for run in by_id.values()]
        for one in moves_due(ending, ends_in_s, others.starting + others.running, spec.copy_terms):
            run = by_id[one.request_id]
            self._moving.add(run)
            self._start(self._move(run))

    def _ending(self, run: Run) -> EndingRun:
        job, spec = run.job, run.job.service.engine
        made = run.events * spec.copy_terms.event_tokens if spec is not None else 0
        left_s = self._lasting.left_s(run)
        # One that may be repeated goes on after its last event anyway; its prompt is read again.
        value = (job.work.prompt_tokens + made) * (1 if job.may_repeat() else 2)
        tokens = job.work.prompt_tokens + made
        prepare_s = 0.0 if self._has_other_holder(run) else PREPARE_S
        return EndingRun(job.req.id, tokens, left_s, value, prepare_s)

    def _has_other_holder(self, run: Run) -> bool:
        key = run.job.req.key
        if key is None:
            return True
        holders = self._fleet.holders(run.job.service.name, key)
        return any(rep.name != run.replica.name for rep in holders)

    async def _move(self, run: Run) -> None:
        try:
            target = await self._find(run)
            if target is None:
                return
            if not await self._lasting.weights.is_usable(run.job, _copy(run, target)):
                return
            copied = ""
            left_s = self._ends_at.get(run.replica.name, math.inf) - self._clock()
            if left_s > HURRY_S or run.was_refused:
                reply = await self._ask(run, target, last=False)
                copied = reply.handle
                if reply.outcome is not MoveOutcome.COPIED:
                    # A run for which there is no room goes on as long as its engine does.
                    run.was_refused = True
                    return
            if self._is_on(run) and self._try_retry(run.job.service.name):
                run.job.is_paid = True
                await self._stop(run, target, copied)
            elif copied:
                await self._transport.free(target, copied)
        finally:
            self._moving.discard(run)

    async def _stop(self, run: Run, target: Replica, copied: str) -> None:
        """Stop a run of which a copy is at another engine, and let it go on there."""
        run.handover = asyncio.get_running_loop().create_future()
        found: Copy | None = None
        try:
            reply = await self._ask(run, target, last=True)
            if reply.outcome is MoveOutcome.COPIED and reply.handle:
                found = _copy(run, target, reply.handle)
        finally:
            run.handover.set_result(found)
        if found is not None and not self._is_on(run) and run.taken is not found:
            await self._transport.free(run.replica, found.ident)
        if reply.outcome is MoveOutcome.NO_RUN and copied:
            # It ended by itself meanwhile.
            await self._transport.free(target, copied)

    async def _ask(self, run: Run, target: Replica, last: bool) -> MoveReply:
        """Ask an engine to copy a run's memory, again while that is under way or not answered."""
        reply = MoveReply(MoveOutcome.LOST)
        for _ in range(TRIES):
            began = self._clock()
            reply = await self._transport.move(run.replica, run.job.req.id, target, last)
            log.info(
                "run moved" if last else "run copied",
                id=run.job.req.id,
                replica=run.replica.name,
                target=target.name,
                outcome=reply.outcome.value,
                events=reply.events,
                last_event=run.job.events.last_event,
                took_s=round(self._clock() - began, 3),
            )
            if reply.outcome not in (MoveOutcome.BUSY, MoveOutcome.LOST):
                break
            await asyncio.sleep(AGAIN_S)
        return reply

    async def _find(self, run: Run) -> Replica | None:
        """Return an engine on which a run can go on at once."""
        job = run.job
        key = job.req.key
        weights, versions = self._lasting.weights, run.versions
        target = self._lasting.targets.choose(job, run.replica, versions, ANY_ROOM)
        if key is None or target is None:
            return target
        service = job.service.name
        if weights.holds(target, versions, key):
            return target
        try:
            found = await self._directory.place(
                service,
                key,
                wish=begun_wish(job, self._clock()),
                excluded=(run.replica.name,),
                only=None,
                absent="",
            )
        except Refused as exc:
            log.info("no engine for a run", id=job.req.id, why=str(exc))
            return None
        # What was loaded is the newest, of which the name may not have come here.
        return found if weights.holds(found, versions, key) else None

    def _is_on(self, run: Run) -> bool:
        return run in self._lasting.runs.get(run.replica.name, ())


def _copy(run: Run, target: Replica, handle: str = "") -> Copy:
    return Copy(CopyKind.MOVED, run.replica.address, handle, target, run.versions)


def _can_move(run: Run) -> bool:
    spec = run.job.service.engine
    return spec is not None and spec.moves and run.handover is None
