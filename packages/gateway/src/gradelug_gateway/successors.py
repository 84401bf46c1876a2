"""What the next attempt of a request needs, held while its current attempt waits for data.

An attempt at a silent replica is abandoned only once a retry is reserved and a replica is chosen
that responds. Looking whether a retry or a replica is available is not enough: when a service falls
silent, hundreds of requests look at the same moment, and those that come too late would have given
up a replica that goes on.
"""

from __future__ import annotations

import logbook

from .budgets import RetryBudgets
from .exceptions import Refused
from .job import MAX_SENDS, Job
from .liveness_check import LivenessCheck
from .model import Replica
from .request_placer import RequestPlacer
from .run_weights import RunWeights

log = logbook.Logger("successors")
MAX_CANDIDATES = 2
"""Replicas that are asked for a sign of life in one search; each may take a call's timeout."""


class Successors:
    """Finds replicas for requests whose current replica is silent.

    Parameters
    ----------
    placer : RequestPlacer
        Chooses replicas.
    budgets : RetryBudgets
        Retry budget of each service.
    liveness : LivenessCheck
        Tells which replicas respond.
    weights : RunWeights or None
        Finds the weights of saved KV caches; None if runs are not continued.
    """

    __slots__ = ("_budgets", "_liveness", "_placer", "_weights")

    def __init__(
        self,
        placer: RequestPlacer,
        budgets: RetryBudgets,
        liveness: LivenessCheck,
        weights: RunWeights | None,
    ) -> None:
        self._placer = placer
        self._budgets = budgets
        self._liveness = liveness
        self._weights = weights

    def reserve(self, job: Job) -> bool:
        """Reserve a retry for a request; return whether it may be sent once more."""
        return job.sends < MAX_SENDS and job.reserve_retry(self._budgets)

    async def hold(self, job: Job, silent: Replica) -> bool:
        """Hold a retry and a replica for a request's next attempt.

        Parameters
        ----------
        job : Job
            The request.
        silent : Replica
            The replica of its current attempt.

        Returns
        -------
        bool
            Whether both are held; otherwise the request had better keep its attempt.
        """
        if not self.reserve(job):
            return False
        if not job.may_repeat():
            return await self._can_use_backup(job, silent)
        job.successor = await self._find(job, silent)
        return job.successor is not None

    async def answers(self, replica: Replica) -> bool:
        """Return whether an engine answers a call now."""
        return await self._liveness.answers(replica)

    async def _can_use_backup(self, job: Job, silent: Replica) -> bool:
        backup = job.backup
        if backup is None or backup.holder.name == silent.name or self._weights is None:
            return False
        key = job.req.key
        has_weights = key is None or (
            self._weights.holds(backup.holder, backup.versions, key)
            or self._weights.can_load_versions(backup, key)
        )
        return has_weights and await self._liveness.responds(backup.holder)

    async def _find(self, job: Job, silent: Replica) -> Replica | None:
        """Return a responsive replica other than the silent one, if the request may go there."""
        only = job.candidates()
        if only is not None and not only - {silent.name}:
            return None
        # All replicas of a route that allows no further one may be used again.
        earlier = job.excluded
        job.excluded = {silent.name} if only is not None else {*earlier, silent.name}
        try:
            for _ in range(MAX_CANDIDATES):
                replica = await self._placer.place(job)
                if replica.name == silent.name:
                    return None
                if await self._liveness.responds(replica):
                    return replica
                job.excluded.add(replica.name)
        except Refused as exc:
            log.info("no successor", id=job.req.id, replica=silent.name, why=str(exc))
        finally:
            job.excluded = earlier
        return None
