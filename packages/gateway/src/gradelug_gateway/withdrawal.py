"""Ends requests that are waiting when they become blocked, or when this instance shuts down.

A request waits for weights, capacity, a connection or a retry, or in the queue of an engine: it is
answered at once instead of after that wait, and an engine drops it with its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import typing as t

import logbook

from .exceptions import Blocked, Refused
from .job import Job
from .poison import BLOCKED_RETRY_S, PoisonGuard

log = logbook.Logger("withdrawal")


class WaitingRequests:
    """The requests of this instance that have no event yet, which can be withdrawn.

    Parameters
    ----------
    guard : PoisonGuard
        Knows which requests are blocked.
    """

    __slots__ = ("_deadlines", "_guard", "_until", "_withdrawn")

    def __init__(self, guard: PoisonGuard) -> None:
        self._guard = guard
        self._deadlines: dict[Job, asyncio.Timeout] = {}
        self._withdrawn: dict[Job, Refused] = {}
        self._until = math.inf
        guard.subscribe(self._withdraw_blocked)

    @contextlib.asynccontextmanager
    async def until_deadline(self, job: Job) -> t.AsyncIterator[None]:
        """Limit a block to a request's deadline.

        Raises
        ------
        Refused
            If the request is withdrawn.
        TimeoutError
            If its deadline passes.
        """
        job.end_by(self._until)
        job.on_begun = self._reschedule
        try:
            async with asyncio.timeout_at(job.deadline_at) as deadline:
                self._deadlines[job] = deadline
                yield
        except TimeoutError:
            if job in self._withdrawn:
                raise self._withdrawn[job] from None
            raise
        finally:
            self._deadlines.pop(job, None)
            self._withdrawn.pop(job, None)

    def end_by(self, until: float) -> None:
        """End all requests, also later ones, by a time of the event loop's clock."""
        self._until = until
        for job in self._deadlines:
            job.end_by(until)
            self._reschedule(job)

    def _reschedule(self, job: Job) -> None:
        """Follow a deadline that has changed, unless the request is ending."""
        deadline = self._deadlines[job]
        if not deadline.expired() and job not in self._withdrawn:
            deadline.reschedule(job.deadline_at)

    def jobs(self) -> t.Collection[Job]:
        """Return all requests in progress."""
        return self._deadlines.keys()

    def withdraw(self, check: t.Callable[[Job], None]) -> int:
        """Withdraw the requests that were not sent and for which a check raises `Refused`.

        Returns
        -------
        int
            Number of requests withdrawn.
        """
        count = 0
        for job in [job for job in self._waiting() if job.is_unrun]:
            try:
                check(job)
            except Refused as exc:
                self._withdraw(job, exc)
                count += 1
        return count

    def _waiting(self) -> list[Job]:
        """Return the requests whose answers have not begun and which are not ending."""
        return [
            job
            for job, deadline in self._deadlines.items()
            if not (job.inc.started or deadline.expired() or job in self._withdrawn)
        ]

    def _withdraw(self, job: Job, exc: Refused) -> None:
        self._withdrawn[job] = exc
        self._deadlines[job].reschedule(asyncio.get_running_loop().time())

    def _withdraw_blocked(self) -> None:
        blocked = [
            job
            for job in self._waiting()
            if self._guard.is_listed(job.fingerprint, job.part_fingerprints)
        ]
        for job in blocked:
            self._withdraw(job, Blocked("it was blocked while it waited", BLOCKED_RETRY_S))
        if blocked:
            log.info("withdrawn", requests=len(blocked))
