"""Rejects requests whose replicas all rest."""

from __future__ import annotations

from .exceptions import Refused
from .fleet import Fleet
from .job import Job


def check_backoff(fleet: Fleet, job: Job) -> None:
    """Raise `Refused` if all replicas that may run a request rest.

    Parameters
    ----------
    fleet : Fleet
        Replicas.
    job : Job
        The request; it may already be restricted to some replicas.

    Raises
    ------
    Refused
        With the time until the first of these replicas may be sent to.
    """
    rest_s = fleet.rest_s(job.service.name, job.candidates())
    if rest_s:
        raise Refused("its replicas rest", rest_s)
