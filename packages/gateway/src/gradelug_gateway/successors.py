"""The next attempt of a request, prepared while its current attempt waits for data.

An attempt at a silent replica is abandoned only once another replica has begun to answer. A request
that may not be repeated goes on there from a copy of its memory. Looking whether a retry or a
replica is available is not enough: when a service falls silent, hundreds of requests look at the
same moment, and what is known of a replica may be out of date. Those that come too late, or are
rejected, would have given up a replica that goes on.
"""

from __future__ import annotations

import typing as t

import logbook

from .authentication import reauthenticate
from .budgets import RetryBudgets, RetryReservation
from .exceptions import Refused, Unauthenticated
from .fleet import Fleet
from .job import REFUSALS, Job, Outcome
from .liveness_check import LivenessCheck
from .model import KvCopy, Replica
from .offers import Attempt, Offer
from .request_placer import RequestPlacer
from .run_weights import RunWeights

log = logbook.Logger("successors")
MAX_CANDIDATES = 2
"""Replicas that are asked for a sign of life in one search; each may take a call's timeout."""
DECLINED_S = 1.0
"""Time until a replica that did not take a request is asked again."""
MAX_OFFERS = 2
"""Replicas to which a request is offered in a row; after that its attempt gets time to go on."""


class Successors:
    """Finds replicas that take the requests of silent ones.

    Parameters
    ----------
    placer : RequestPlacer
        Chooses replicas.
    budgets : RetryBudgets
        Retry budget of each service.
    liveness : LivenessCheck
        Tells which replicas respond.
    fleet : Fleet
        State and load of all replicas.
    weights : RunWeights or None
        Finds the weights of saved KV caches; None if runs are not continued.
    clock : callable
        Returns the event loop's time, in seconds.
    attempt : Attempt
        Sends a request to a replica by an offer.
    may_begin : callable
        Returns whether a request may be sent now, which it may not if this instance shuts down.
    """

    __slots__ = (
        "_attempt",
        "_budgets",
        "_clock",
        "_fleet",
        "_liveness",
        "_may_begin",
        "_placer",
        "_weights",
    )

    def __init__(
        self,
        placer: RequestPlacer,
        budgets: RetryBudgets,
        liveness: LivenessCheck,
        fleet: Fleet,
        weights: RunWeights | None,
        clock: t.Callable[[], float],
        attempt: Attempt,
        may_begin: t.Callable[[Job], bool] = lambda job: True,
    ) -> None:
        self._attempt = attempt
        self._may_begin = may_begin
        self._placer = placer
        self._budgets = budgets
        self._liveness = liveness
        self._fleet = fleet
        self._weights = weights
        self._clock = clock

    def reserve_for_stop(self, job: Job) -> bool:
        """Reserve a retry, and another one in case of a refusal if there is one; return whether the
        request may be sent once more."""
        if not self._may_be_sent(job) or not job.reserve_retry(self._budgets):
            return False
        job.reserve_spare_retry(self._budgets)
        return True

    def may_reserve(self, job: Job) -> bool:
        """Return whether a retry could be reserved now."""
        if not self._may_be_sent(job):
            return False
        return job.retry is not None or self._budgets.has_retry(job.service.name, job.inc.started)

    def _may_be_sent(self, job: Job) -> bool:
        """Return whether a further attempt is allowed: its caller's key may have been revoked."""
        if not job.has_sends_left or not self._may_begin(job):
            return False
        snapshot = self._fleet.state.snapshot
        if job.principal is None or snapshot is None:
            return True
        try:
            reauthenticate(job.principal, snapshot.organisations)
        except Unauthenticated:
            return False
        return True

    async def hold(self, job: Job, silent: Replica, keeps_retry: bool = False) -> bool:
        """Let another replica begin to answer a request.

        Retries are reserved last: while most of a service is silent, searches find nothing, and
        must not keep retries from requests whose replica has ended.

        Parameters
        ----------
        job : Job
            The request.
        silent : Replica
            The replica of its current attempt.
        keeps_retry : bool
            Whether the retry that is reserved for the request stays so, as its run may end by an
            order to stop it.

        Returns
        -------
        bool
            Whether the current attempt may be abandoned; otherwise it had better be kept.
        """
        if not self.may_reserve(job):
            return False
        if not job.may_repeat():
            backup = job.backup
            if backup is None or not await self._can_use_backup(job, silent):
                return False
            retry = self._take_retry(job, keeps_retry)
            if retry is None:
                return False
            return await self._offer(job, silent, Offer(backup.holder, retry), backup)
        for _ in range(MAX_OFFERS):
            successor = await self._find(job, silent)
            retry = self._take_retry(job, keeps_retry) if successor is not None else None
            if successor is None or retry is None:
                return False
            if await self._offer(job, silent, Offer(successor, retry)):
                return True
        return False

    def _take_retry(self, job: Job, keeps_retry: bool) -> RetryReservation | None:
        """Return a retry for an offer, the one that is reserved for the request if it may be."""
        if not self._may_be_sent(job):
            return None
        reserved = None if keeps_retry else job.take_retry()
        return reserved or self._budgets.reserve(job.service.name, begun=job.inc.started)

    async def _offer(
        self, job: Job, silent: Replica, offer: Offer, backup: KvCopy | None = None
    ) -> bool:
        """Send a request to a successor; return whether that has begun to answer.

        Parameters
        ----------
        job : Job
            The request.
        silent : Replica
            The replica of its current attempt.
        offer : Offer
            Names the successor.
        backup : KvCopy or None
            The copy of its memory from which it goes on there; None if it begins anew.
        """
        if backup is not None:
            job.copy, job.backup = backup, None
        elif job.copy is job.resumed_copy:
            # The current attempt has used the copy up.
            job.copy = None
        job.offer = offer
        if await offer.make(self._attempt, job):
            return True
        outcome = offer.refusal()
        job.withdraw_offer()
        job.declined[offer.replica.name] = self._clock()
        if outcome in (Outcome.NOT_SENT, Outcome.LIMITED):
            job.sends += 1
        if outcome in REFUSALS:
            job.refused_sends += 1
        self._placer.note_refused(job, offer.replica, outcome)
        log.info(
            "successor did not take the request",
            id=job.req.id,
            replica=silent.name,
            successor=offer.replica.name,
            why=outcome.value,
            sends=job.sends,
        )
        return False

    def readmit(self, job: Job) -> None:
        """Let a request return to the replicas that have responded since it left them as silent."""
        for name, since in list(job.silent_since.items()):
            if self._liveness.active_at(name) > since:
                del job.silent_since[name]
                job.excluded.discard(name)

    async def answers(self, replica: Replica) -> bool:
        """Return whether an engine answers a call now."""
        return await self._liveness.answers(replica)

    async def _can_use_backup(self, job: Job, silent: Replica) -> bool:
        backup = job.backup
        if backup is None or self._weights is None or not self._is_usable(job, backup.holder):
            return False
        if backup.holder.name == silent.name:
            return False
        return await self._liveness.responds(backup.holder) and await self._weights.is_usable(
            job, backup
        )

    def _is_usable(self, job: Job, replica: Replica) -> bool:
        return job.accepts(replica) and not self._fleet.is_unavailable(replica)

    async def _find(self, job: Job, silent: Replica) -> Replica | None:
        """Return a responsive replica other than the silent one, if the request may go there."""
        self.readmit(job)
        only = job.candidates()
        since = self._clock() - DECLINED_S
        excluded = {silent.name, *(name for name, at in job.declined.items() if at > since)}
        if only is None:
            excluded |= job.excluded
        elif only <= excluded:
            # All replicas of a route that allows no further one may be used again.
            return None
        try:
            for _ in range(MAX_CANDIDATES):
                replica = await self._placer.place_new_run(job, excluded)
                if replica.name == silent.name:
                    return None
                if await self._liveness.responds(replica) and self._is_in_time(job, replica):
                    return replica
                excluded.add(replica.name)
        except Refused as exc:
            log.debug("no successor", id=job.req.id, replica=silent.name, why=str(exc))
        return None

    def _is_in_time(self, job: Job, replica: Replica) -> bool:
        """Return whether a request's next event can arrive before its caller leaves.

        While few replicas respond, this bounds the requests that go to each of them.
        """
        if job.service.engine is None:
            return True
        busyness = self._fleet.load(replica.name).busyness()
        expected_s = self._fleet.expected_s(replica, busyness, job.work)
        waits_until = min(job.deadline_at, job.last_event_at + job.route.patience_s)
        return self._clock() + expected_s < waits_until
