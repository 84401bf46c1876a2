"""Chooses the replica of a request's next attempt: the engine with a saved KV cache, one that the
planner or this instance selects by weights, or a replica without engines.
"""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import replace

from .backoff_check import check_backoff
from .directory import Directory, PlacementPriority
from .error_responses import DEFAULT_RETRY_AFTER_S
from .exceptions import Refused
from .fleet import Fleet
from .job import Job, Outcome
from .model import AdapterKey, KvCopy, KvCopyKind, Replica
from .plain_placement import PlainPlacer
from .runs import RunRecovery
from .share_tally import UsageTally
from .software_check import accepted_candidates, check_software
from .stream_requests import started_stream_request
from .values import RequestValuation
from .wait_policy import WaitPolicy

MAX_BACKOFF_WAIT_S = 0.5
"""Longest backoff of its engine that a run waits out; callers wait 2 s for the next event."""
OVERSIZED_RETRY_AFTER_S = 60.0
"""Retry-After of a request that exceeds every engine's memory: only other engines could run it."""


class RequestPlacer:
    """Places attempts of requests.

    Parameters
    ----------
    fleet : Fleet
        State and load of all replicas.
    directory : Directory
        Requests placements from the planner.
    plain_placer : PlainPlacer
        Places requests at replicas without engines.
    values : RequestValuation
        Values of requests.
    wait_policy : WaitPolicy
        Determines how long requests wait to be placed.
    tally : UsageTally
        Names the party of each request.
    clock : callable
        Returns the event loop's time, in seconds.
    lasting : RunRecovery or None
        Continues interrupted runs from their saved KV cache; None disables that.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_fleet",
        "_lasting",
        "_plain_placer",
        "_tally",
        "_values",
        "_wait_policy",
    )

    def __init__(
        self,
        fleet: Fleet,
        directory: Directory,
        plain_placer: PlainPlacer,
        values: RequestValuation,
        wait_policy: WaitPolicy,
        tally: UsageTally,
        clock: t.Callable[[], float],
        lasting: RunRecovery | None,
    ) -> None:
        self._fleet = fleet
        self._directory = directory
        self._plain_placer = plain_placer
        self._values = values
        self._wait_policy = wait_policy
        self._tally = tally
        self._clock = clock
        self._lasting = lasting

    async def place(self, job: Job) -> Replica:
        """Return the replica for a request's next attempt.

        Raises
        ------
        Refused
            If no replica can run the request in time.
        """
        key = job.req.key
        if job.copy is not None and key is not None:
            job.is_chosen_locally = False
            return await self._place_at_kv_copy(job, job.copy, key)
        return await self.place_new_run(job, job.excluded)

    def note_refused(self, job: Job, replica: Replica, outcome: Outcome) -> None:
        """Record that a replica did not take a request that was offered to it."""
        if outcome is Outcome.FULL:
            self._plain_placer.note_full(replica)
        elif outcome is not Outcome.LIMITED:
            self._plain_placer.note_finished(job.service.name)

    async def place_new_run(self, job: Job, excluded: t.Collection[str]) -> Replica:
        """Return a replica for an attempt that uses no saved KV cache.

        Parameters
        ----------
        job : Job
            The request.
        excluded : collection of str
            Names of replicas that must not be chosen.

        Raises
        ------
        Refused
            If no replica can run the request in time.
        """
        key = job.req.key
        job.is_chosen_locally = False
        check_software(self._fleet, job)
        check_backoff(self._fleet, job)
        if job.service.engine is not None and key is not None:
            return await self._place_weights(job, key, excluded)
        job.is_chosen_locally = True
        return await self._plain_placer.place(job, excluded)

    async def _place_weights(
        self, job: Job, key: AdapterKey, excluded: t.Collection[str]
    ) -> Replica:
        if not self._fleet.fits_memory(job.service.name, job.work):
            raise Refused("the prompt exceeds the memory of every engine", OVERSIZED_RETRY_AFTER_S)
        known = None
        if not job.absent:
            holders = filter(job.accepts, self._fleet.holders(job.service.name, key))
            known = self._fleet.choose(
                holders, excluded, job.candidates(), job.work, job.may_repeat()
            )
            if known is not None and not self._should_ask_planner(job, known):
                job.is_chosen_locally = True
                return known
        excluded = {*excluded, *self._fleet.resting(job.service.name, key)}
        only = accepted_candidates(self._fleet, job)
        return await self._ask_planner(job, key, excluded, only, known)

    async def _ask_planner(
        self,
        job: Job,
        key: AdapterKey,
        excluded: t.Collection[str],
        only: t.Container[str] | None,
        known: Replica | None = None,
    ) -> Replica:
        """Return the replica that the planner chooses, and report one that lacks the weights.

        Parameters
        ----------
        job : Job
            The request.
        key : AdapterKey
            Model and adapter that it needs.
        excluded : collection of str
            Replicas that the planner must not choose.
        only : container of str or None
            Replicas among which it must choose; None for any.
        known : Replica or None
            The best replica that this instance knows of.
        """
        replica = await self._directory.place(
            job.service.name,
            key,
            wish=self._build_wish(job),
            excluded=excluded,
            only=only,
            absent=job.absent,
            known=known,
            software=job.software,
        )
        job.absent = ""
        return replica

    async def _place_at_kv_copy(self, job: Job, copy: KvCopy, key: AdapterKey) -> Replica:
        """Return the engine that holds a run's saved KV cache, once it has the weights loaded."""
        holder = copy.holder
        if not job.accepts(holder):
            raise Refused(
                "the engine with the saved KV cache runs other software", DEFAULT_RETRY_AFTER_S
            )
        rest_s = self._fleet.rests.remaining_s(holder)
        if rest_s > MAX_BACKOFF_WAIT_S:
            raise Refused("the engine with the saved KV cache is in backoff", rest_s)
        if rest_s:
            await asyncio.sleep(rest_s)
        weights = self._lasting.weights if self._lasting is not None else None
        holds = copy.kind is KvCopyKind.STOPPED or (
            weights is not None and weights.holds(holder, copy.versions, key)
        )
        if holds and job.absent != holder.name:
            return holder
        if weights is None or not weights.can_load_versions(copy, key):
            raise Refused(
                "the weights of the saved KV cache cannot be loaded", DEFAULT_RETRY_AFTER_S
            )
        replica = await self._ask_planner(job, key, (), (holder.name,))
        job.copy = replace(copy, were_weights_loaded=True)
        return replica

    def _should_ask_planner(self, job: Job, replica: Replica) -> bool:
        """Return whether the planner may offer a better replica than the one chosen locally."""
        if (
            job.was_planner_asked
            or job.inc.started
            or not self._directory.is_connected(job.service.name)
        ):
            return False
        job.was_planner_asked = True
        if self._directory.should_ask_planner(job.service.name) or self._fleet.is_ejected(
            replica.name
        ):
            return True
        if self._fleet.limits.rate(replica.name) is not None:
            return True
        return self._fleet.is_late(replica, job.work, job.req.arrived_at + job.route.target_s)

    def _build_wish(self, job: Job) -> PlacementPriority:
        route, req = job.route, job.req
        if job.inc.started:
            return started_stream_request(job, self._clock(), self._tally.party(job))
        return PlacementPriority(
            rank=job.rank,
            value=self._values.value(route, job.rank, req),
            returning=self._wait_policy.is_returning(job),
            target_at=req.arrived_at + route.target_s,
            until=self._wait_policy.placement_deadline(job),
            work=job.work,
            party=self._tally.party(job),
            request=req.id,
        )
