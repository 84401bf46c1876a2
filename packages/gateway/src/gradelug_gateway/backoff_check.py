"""Refuses requests whose replicas are all in backoff, before they are placed.

A replica is in backoff after a response that asked for no requests for some time.
"""

from __future__ import annotations

from .exceptions import Refused
from .fleet import Fleet
from .job import Job
from .software_check import accepted_candidates


def check_backoff(fleet: Fleet, job: Job) -> None:
    """Raise `Refused` if all replicas that may run a request are in backoff.

    Parameters
    ----------
    fleet : Fleet
        State of all replicas, with their backoffs.
    job : Job
        The request; earlier attempts may have restricted it to some replicas.

    Raises
    ------
    Refused
        With the time until the first of these backoffs ends.
    """
    rest_s = fleet.rest_s(job.service.name, accepted_candidates(fleet, job))
    if rest_s:
        raise Refused("its replicas rest", rest_s)
