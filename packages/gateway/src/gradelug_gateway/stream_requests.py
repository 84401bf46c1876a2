"""Placement requests to planners for streams that have already started."""

from __future__ import annotations

from gradelug_policy.uses import Party

from .directory import UNKNOWN_PARTY, PlacementPriority
from .job import Job

STARTED_STREAM_VALUE = 3.0
"""Value of a started stream: an interruption costs its caller more than a refusal."""
START_MARGIN_S = 0.25
"""Minimum time between the arrival of the weights and the caller's timeout."""


def started_stream_request(job: Job, now: float, party: Party = UNKNOWN_PARTY) -> PlacementPriority:
    """Return the placement request of a started stream whose caller awaits the next event.

    Parameters
    ----------
    job : Job
        The request of the stream.
    now : float
        The current time, by the runtime's clock.
    party : Party
        The owner and the kind of the request.
    """
    route = job.route
    until = min(job.deadline_at, now + route.patience_s) - START_MARGIN_S
    target_at = now + route.target_s
    return PlacementPriority(
        job.rank, STARTED_STREAM_VALUE, True, target_at, until, job.work, True, party, job.req.id
    )
