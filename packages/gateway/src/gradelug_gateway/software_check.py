"""Restricts the placement of a begun stream to replicas of the software version that began it."""

from __future__ import annotations

from .exceptions import Refused
from .fleet import Fleet
from .job import Job

SOFTWARE_RETRY_S = 2.0
"""Retry delay if no replica of the version is left; a crashed one restarts within seconds."""


def check_software(fleet: Fleet, job: Job) -> None:
    """Raise `Refused` if no usable replica has the software version that began a stream.

    Parameters
    ----------
    fleet : Fleet
        State of all replicas.
    job : Job
        The request.

    Raises
    ------
    Refused
        If the stream cannot go on at present.
    """
    if job.software is None or any(map(job.accepts, fleet.usable(job.service.name))):
        return
    raise Refused(
        f"no replica of software {job.software!r}, which began the stream, is left",
        SOFTWARE_RETRY_S,
    )


def accepted_candidates(fleet: Fleet, job: Job) -> set[str] | None:
    """Return the names of the replicas to which a request may be limited; None for any.

    Raises
    ------
    Refused
        If the route allows no further replica and none of the earlier ones may go on.
    """
    candidates = job.candidates()
    if candidates is None or job.software is None:
        return candidates
    usable = fleet.usable(job.service.name)
    accepted = {rep.name for rep in usable if rep.name in candidates and job.accepts(rep)}
    if not accepted:
        raise Refused(
            f"the route allows no further replica of software {job.software!r}", SOFTWARE_RETRY_S
        )
    return accepted
