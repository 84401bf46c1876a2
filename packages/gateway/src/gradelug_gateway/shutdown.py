"""A planned stop: which requests may still begin, and when those in progress have to end."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .admission import OTHER_INSTANCE_RETRY_AFTER_S
from .exceptions import Refused
from .job import Job
from .model import Repeat, Route
from .route_durations import RouteDurations

BALANCER_REMOVAL_S = 2.6
"""Time after which the load balancer has seen two failed readiness checks and sends no new
requests."""
CLOSE_S = 0.65
"""Time before the process would be killed at which it stops listening."""
ANSWER_S = 0.35
"""Time before the process would be killed at which requests have to end: their answers are sent
and the connections closed by then."""
EXIT_MARGIN_S = 0.1
"""The process exits this long before it would be killed."""
LONGEST_FACTOR = 1.5
"""A request that may run again is expected to take no longer than the longest recent one times
this."""


@dataclass(slots=True, frozen=True)
class ShutdownSchedule:
    """The times of a planned stop, by the event loop's clock.

    Parameters
    ----------
    refuse_at : float
        Requests that arrive on new connections from then on are refused.
    close_at : float
        The process stops listening then at the latest, and refuses all requests that arrive.
    work_until : float
        Requests in progress have to end by then.
    exit_at : float
        The process exits by then.
    """

    refuse_at: float
    close_at: float
    work_until: float
    exit_at: float

    @classmethod
    def plan(cls, now: float, grace_s: float, is_failing: bool = False) -> ShutdownSchedule:
        """Return the schedule of a stop that begins now.

        Parameters
        ----------
        now : float
            Event loop time, in seconds.
        grace_s : float
            Time until the process is killed, in seconds.
        is_failing : bool
            Whether new requests are refused at once, since this instance's view of the fleet may be
            outdated.
        """
        close_at, work_until, exit_at = (
            now + max(0.0, grace_s - margin_s) for margin_s in (CLOSE_S, ANSWER_S, EXIT_MARGIN_S)
        )
        refuse_at = now if is_failing else min(close_at, now + BALANCER_REMOVAL_S)
        return cls(refuse_at, close_at, work_until, exit_at)


class ShutdownGate:
    """Refuses the requests that would not end before the process does.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_schedule", "durations")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._schedule: ShutdownSchedule | None = None
        self.durations = RouteDurations(clock)

    def begin(self, schedule: ShutdownSchedule) -> None:
        """Follow the schedule of a stop from now on."""
        self._schedule = schedule

    def refuses(self, connected_at: float) -> bool:
        """Return whether all requests that arrive on a connection now are refused.

        Parameters
        ----------
        connected_at : float
            When the connection was opened, by the event loop's clock.
        """
        if self._schedule is None or self._clock() < self._schedule.refuse_at:
            return False
        # An open connection stays with this instance whatever the load balancer does.
        return connected_at >= self._schedule.refuse_at or self._clock() >= self._schedule.close_at

    def may_begin(self, job: Job) -> bool:
        """Return whether a request that is sent now ends in the time left.

        An answer that has begun goes on in any case. A request that arrives once the others are
        refused has to end in time for certain.
        """
        if self._schedule is None or job.inc.started:
            return True
        if job.caller_deadline_at <= self._schedule.work_until:
            return True
        if job.req.arrived_at >= self._schedule.refuse_at:
            return False
        return self._clock() + self._expected_s(job.route) <= self._schedule.work_until

    def _expected_s(self, route: Route) -> float:
        """Return how long a request on a route may take, in seconds.

        A request that must not run twice may need its whole time until the deadline. A stream that
        is broken off can be resumed, and needs no margin.
        """
        if route.repeat is Repeat.NEVER:
            return math.inf
        if route.repeat is Repeat.RESUME:
            return self.durations.longest_s(route)
        return LONGEST_FACTOR * self.durations.longest_s(route)

    def check(self, job: Job) -> None:
        """Raise `Refused` if a request is not to be sent any more."""
        if not self.may_begin(job):
            raise Refused(
                "it might not end before this instance shuts down", OTHER_INSTANCE_RETRY_AFTER_S
            )
