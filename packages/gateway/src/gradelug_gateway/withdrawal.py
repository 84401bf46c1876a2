"""Ends requests that are waiting when they, or a part of their prompts, become blocked.

A request waits for weights, capacity, a connection or a retry, or in the queue of an engine: it is
answered at once instead of after that wait, and an engine drops it with its connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

import logbook

from .exceptions import Blocked
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

    __slots__ = ("_deadlines", "_guard", "_withdrawn")

    def __init__(self, guard: PoisonGuard) -> None:
        self._guard = guard
        self._deadlines: dict[Job, asyncio.Timeout] = {}
        self._withdrawn: set[Job] = set()
        guard.subscribe(self._withdraw_blocked)

    @contextlib.asynccontextmanager
    async def until_deadline(self, job: Job) -> t.AsyncIterator[None]:
        """Limit a block to a request's deadline.

        Raises
        ------
        Blocked
            If the request is withdrawn.
        TimeoutError
            If its deadline passes.
        """
        try:
            async with asyncio.timeout_at(job.deadline_at) as deadline:
                self._deadlines[job] = deadline
                yield
        except TimeoutError:
            if job in self._withdrawn:
                raise Blocked("it was blocked while it waited", BLOCKED_RETRY_S) from None
            raise
        finally:
            self._deadlines.pop(job, None)
            self._withdrawn.discard(job)

    def _withdraw_blocked(self) -> None:
        now = asyncio.get_running_loop().time()
        blocked = [
            job
            for job, deadline in self._deadlines.items()
            if not (job.inc.started or deadline.expired())
            and self._guard.is_listed(job.fingerprint, job.part_fingerprints)
        ]
        for job in blocked:
            self._withdrawn.add(job)
            self._deadlines[job].reschedule(now)
        if blocked:
            log.info("withdrawn", requests=len(blocked))
