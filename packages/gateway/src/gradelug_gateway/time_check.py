"""Refuses requests that no replica can serve in the time that is left of their deadlines."""

from __future__ import annotations

import typing as t

import logbook

from .exceptions import OutOfTime
from .fleet import Fleet
from .job import Job
from .model import Replica
from .response_times import ResponseTimes

log = logbook.Logger("sending")


class TimeCheck:
    """Compares the time left of a request with what its replicas need for a first event.

    A request is refused only if less is left than any recent response on its route took, and less
    than the estimate for each engine that might run it: a short prompt, or one that an engine has
    cached, may take less than all others.

    Parameters
    ----------
    fleet : Fleet
        Load and speed of all replicas.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_fleet", "times")

    def __init__(self, fleet: Fleet, clock: t.Callable[[], float]) -> None:
        self._fleet = fleet
        self._clock = clock
        self.times = ResponseTimes(clock)

    def check(self, job: Job, replica: Replica | None = None) -> None:
        """Raise `OutOfTime` if a request that is sent now could get nothing in time.

        Parameters
        ----------
        job : Job
            The request.
        replica : Replica or None
            The replica to which it is sent; None if that is not chosen yet.
        """
        left_s = min(job.deadline_at, job.run_deadline_at) - self._clock()
        shortest_s = self.times.shortest_s(job.service.name, job.route.name)
        if left_s >= shortest_s or self._is_expected(job, replica, left_s):
            return
        log.info(
            "not sent",
            id=job.req.id,
            replica=replica.name if replica is not None else "",
            why="no replica can respond in the time left",
            left_s=round(left_s, 4),
            shortest_s=round(shortest_s, 4),
        )
        raise OutOfTime(f"service {job.service.name} cannot respond in {left_s:.3f} s")

    def _is_expected(self, job: Job, replica: Replica | None, left_s: float) -> bool:
        """Return whether an engine is estimated to respond in time."""
        if job.copy is not None:
            # Nothing of the prompt is processed again.
            return left_s > 0
        if job.service.engine is None:
            return False
        found = [replica] if replica is not None else self._fleet.usable(job.service.name)
        return any(self._expected_s(job, rep) <= left_s for rep in found)

    def _expected_s(self, job: Job, replica: Replica) -> float:
        work = self._fleet.prefix_cache.work_at(replica.name, job.work)
        return self._fleet.expected_s(replica, self._fleet.load(replica.name).busyness(), work)
