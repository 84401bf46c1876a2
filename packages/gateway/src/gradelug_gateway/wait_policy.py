"""How long a request waits for its placement, for capacity at a replica, and for a retry.

The request pipeline uses it before each attempt.
"""

from __future__ import annotations

import math
import typing as t

from .fleet import Fleet
from .job import Job
from .limits import Demand
from .model import Replica
from .stream_requests import START_MARGIN_S
from .values import RequestValuation

RETURNING_WAIT_FRACTION = 0.97
"""A request with less than this fraction of its route's usual wait time is a caller's retry."""
MAX_CAPACITY_WAIT_FRACTION = 0.6
"""Longest wait for capacity as a fraction of the target time; the answer needs the remainder."""
NO_DEMAND = Demand()


class WaitPolicy:
    """Determines how long requests wait.

    Parameters
    ----------
    fleet : Fleet
        State of all replicas, with their rate limits and backoffs.
    values : RequestValuation
        Values of requests, and the usual wait times of their callers.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_fleet", "_values")

    def __init__(
        self, fleet: Fleet, values: RequestValuation, clock: t.Callable[[], float]
    ) -> None:
        self._fleet = fleet
        self._values = values
        self._clock = clock

    def is_returning(self, job: Job) -> bool:
        """Return whether a request is a caller's retry, as its remaining wait time indicates."""
        req, name = job.req, job.route.name
        return req.wait_s < RETURNING_WAIT_FRACTION * self._values.longest_wait(name, req.wait_s)

    def placement_deadline(self, job: Job) -> float:
        """Return until when a request waits to be placed, by the event loop's clock."""
        latest_at = min(job.deadline_at, job.req.arrived_at + job.route.patience_s)
        return latest_at - START_MARGIN_S

    def retry_deadline(self, job: Job, unrun: bool) -> float:
        """Return until when a retry is of use to a request, by the event loop's clock.

        A request that has not run waits until its target time: it can be refused, and its caller
        can send it again. A stream that has begun is cut without a retry, and waits as long as its
        caller. All others fail without one. They wait while an answer that is late can still reach
        their caller, unless it is known that none can, or a replica's error is in hand: then their
        caller can retry at once.
        """
        if unrun:
            return job.req.arrived_at + job.route.target_s
        if job.failure is not None:
            return -math.inf
        latest_at = min(job.deadline_at, job.last_event_at + job.route.patience_s)
        return latest_at if job.inc.started else latest_at - self._shortest_response_s(job)

    def _shortest_response_s(self, job: Job) -> float:
        """Return the time to a request's first event, or to its response, at the best replica."""
        replicas = self._fleet.usable(job.service.name)
        if job.service.engine is None:
            now = self._clock()
            times_s = (self._fleet.health(rep.name).took_s(now) for rep in replicas)
        else:
            times_s = (
                self._fleet.expected_s(rep, self._fleet.load(rep.name).busyness(), job.work)
                for rep in replicas
            )
        return min(times_s, default=0.0)

    def demand(self, job: Job, replica: Replica) -> Demand:
        """Return the urgency and the longest wait of a request for capacity at a replica."""
        if self._fleet.limits.rate(replica.name) is None:
            return NO_DEMAND
        value = self._values.value(job.route, job.rank, job.req)
        begun = job.inc.started or job.copy is not None
        return Demand(self._capacity_wait_deadline(job, replica, begun), job.rank, value, begun)

    def has_unlimited_alternative(self, job: Job, replica: Replica) -> bool:
        """Return whether another allowed replica has neither a rate limit nor a backoff."""
        only = job.candidates()
        return any(
            rep.name != replica.name
            and rep.name not in job.excluded
            and (only is None or rep.name in only)
            and job.accepts(rep)
            and self._fleet.limits.rate(rep.name) is None
            and not self._fleet.rests.remaining_s(rep)
            for rep in self._fleet.usable(job.service.name)
        )

    def _capacity_wait_deadline(self, job: Job, replica: Replica, begun: bool) -> float:
        if begun:
            return job.deadline_at
        if job.is_chosen_locally and self.has_unlimited_alternative(job, replica):
            return self._clock()
        if self.is_returning(job):
            return self.placement_deadline(job)
        # Capacity given to a late request is lost to one that could meet its target.
        return min(
            self.placement_deadline(job),
            job.req.arrived_at + MAX_CAPACITY_WAIT_FRACTION * job.route.target_s,
        )
