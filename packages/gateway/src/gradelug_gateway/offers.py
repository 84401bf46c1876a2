"""An attempt at a successor that is made while the attempt before it is kept.

A successor may lack the weights, be full, at its limit or gone, and nothing that is known of it
tells whether it takes a request. So the request is sent to it while its attempt at the silent
replica stays open, and that one ends only once the successor has begun to answer. A refusal costs a
retry but no answer, and the events that the caller gets come from one of them at a time.
"""

from __future__ import annotations

import asyncio
import typing as t

import logbook

from .budgets import RetryReservation
from .exceptions import OutOfTime, Refused
from .job import Job, Outcome
from .model import Replica

log = logbook.Logger("offers")


class Attempt(t.Protocol):
    """Makes one attempt of a request."""

    def __call__(
        self, job: Job, replica: Replica, offer: Offer, /
    ) -> t.Coroutine[t.Any, t.Any, Outcome]:
        """Send a request to a replica and return the outcome."""
        ...


class Offer:
    """A request that is sent to a successor while its attempt at another replica is kept.

    Parameters
    ----------
    replica : Replica
        The successor.
    retry : RetryReservation
        The retry that the attempt uses once it is sent.
    """

    __slots__ = ("_accepted", "_continued", "_task", "is_withdrawn", "replica", "retry")

    def __init__(self, replica: Replica, retry: RetryReservation) -> None:
        self.replica = replica
        self.retry = retry
        self.is_withdrawn = False
        """Whether the attempt was ended in favour of the one before it."""
        loop = asyncio.get_running_loop()
        self._accepted: asyncio.Future[None] = loop.create_future()
        self._continued: asyncio.Future[None] = loop.create_future()
        self._task: asyncio.Task[Outcome] | None = None

    @property
    def is_accepted(self) -> bool:
        """Whether the successor has begun to answer."""
        return self._accepted.done()

    @property
    def is_secondary(self) -> bool:
        """Whether another attempt of the request is kept while the successor does not answer."""
        return not (self._accepted.done() or self._continued.done())

    async def make(self, attempt: Attempt, job: Job) -> bool:
        """Make the attempt until the successor has begun to answer or the attempt has ended.

        The attempt goes on if this call is cancelled.

        Returns
        -------
        bool
            Whether the successor has begun to answer.
        """
        self._task = asyncio.create_task(attempt(job, self.replica, self))
        self._task.add_done_callback(self._log_error)
        ends: tuple[asyncio.Future[t.Any], ...] = (self._task, self._accepted)
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        return self.is_accepted

    async def accept(self) -> None:
        """Report that the successor has begun to answer, and wait until it may be forwarded."""
        if not self._accepted.done():
            self._accepted.set_result(None)
        await self._continued

    async def complete(self) -> Outcome:
        """Let the attempt go on as the only one of its request, and return its outcome."""
        assert self._task is not None
        if not self._continued.done():
            self._continued.set_result(None)
        return await self._task

    def refusal(self) -> Outcome:
        """Return the outcome of an attempt that ended before the successor began to answer."""
        assert self._task is not None
        try:
            return self._task.result()
        except (Refused, OutOfTime):
            return Outcome.NOT_SENT

    def withdraw(self) -> None:
        """End the attempt. Its connection is closed, and most replicas drop the request then."""
        self.is_withdrawn = True
        if self._task is not None:
            self._task.cancel()
        self.retry.release()

    def _log_error(self, task: asyncio.Task[Outcome]) -> None:
        if self._continued.done() or task.cancelled() or task.exception() is None:
            return
        log.info("offered attempt failed", replica=self.replica.name, why=repr(task.exception()))
