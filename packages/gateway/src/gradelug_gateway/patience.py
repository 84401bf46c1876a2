"""How long a request waits for a place, and for room at a replica with a limit."""

from __future__ import annotations

import typing as t

from .fleet import Fleet
from .job import Job
from .limits import Demand
from .model import Replica
from .values import RequestValues
from .wishes import PATIENCE_MARGIN_S

RETURNING_WAIT_FRACTION = 0.97
"""A caller that has less than this part of the usual time was refused before."""
MAX_CAPACITY_WAIT_FRACTION = 0.6
"""A request waits for room no longer than this part of its target; the rest is for its answer."""
NO_DEMAND = Demand()


class WaitPolicy:
    """Tells how long requests wait.

    Parameters
    ----------
    fleet : Fleet
        Replicas, and the limits that they name.
    values : RequestValues
        What requests are worth, and how long their callers usually wait.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_fleet", "_values")

    def __init__(self, fleet: Fleet, values: RequestValues, clock: t.Callable[[], float]) -> None:
        self._fleet = fleet
        self._values = values
        self._clock = clock

    def is_returning(self, job: Job) -> bool:
        """Tell whether a request is another try of its caller: it has less than all of the time."""
        req, name = job.req, job.route.name
        return req.wait_s < RETURNING_WAIT_FRACTION * self._values.longest_wait(name, req.wait_s)

    def placement_deadline(self, job: Job) -> float:
        """Return until when a request waits before it is sent."""
        latest_at = min(job.deadline_at, job.req.arrived_at + job.route.patience_s)
        return latest_at - PATIENCE_MARGIN_S

    def demand(self, job: Job, replica: Replica) -> Demand:
        """Return how much a request needs room at its replica, and how long it waits for it."""
        if self._fleet.limits.rate(replica.name) is None:
            return NO_DEMAND
        value = self._values.value(job.route, job.rank, job.req)
        begun = job.inc.started or job.copy is not None
        return Demand(self._capacity_wait_deadline(job, replica, begun), job.rank, value, begun)

    def has_unlimited_alternative(self, job: Job, replica: Replica) -> bool:
        """Tell whether a request may go to another replica, one without a limit or a rest."""
        only = job.candidates()
        return any(
            rep.name != replica.name
            and rep.name not in job.excluded
            and (only is None or rep.name in only)
            and self._fleet.limits.rate(rep.name) is None
            and not self._fleet.rests.left_s(rep)
            for rep in self._fleet.usable(job.service.name)
        )

    def _capacity_wait_deadline(self, job: Job, replica: Replica, begun: bool) -> float:
        if begun:
            return job.deadline_at
        if job.is_chosen_locally and self.has_unlimited_alternative(job, replica):
            return self._clock()
        if self.is_returning(job):
            return self.placement_deadline(job)
        # What would be late takes the room of one that would not: it had better come back.
        return min(
            self.placement_deadline(job),
            job.req.arrived_at + MAX_CAPACITY_WAIT_FRACTION * job.route.target_s,
        )
