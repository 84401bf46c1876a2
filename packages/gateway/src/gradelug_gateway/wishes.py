"""What a planner is asked for a stream that was begun."""

from __future__ import annotations

from gradelug_policy.uses import Party

from .directory import NOBODY, Wish
from .job import Job

BEGUN_VALUE = 3.0
"""A stream cut midway costs its caller more than one that was refused."""
PATIENCE_MARGIN_S = 0.25
"""A request that gets its weights later than this before its caller leaves is not worth a run."""


def begun_wish(job: Job, now: float, party: Party = NOBODY) -> Wish:
    """Return the wish of a stream that must not be refused: its caller waits for the next event."""
    route = job.route
    until = min(job.deadline_at, now + route.patience_s) - PATIENCE_MARGIN_S
    target_at = now + route.target_s
    return Wish(job.rank, BEGUN_VALUE, True, target_at, until, job.work, True, party, job.req.id)
