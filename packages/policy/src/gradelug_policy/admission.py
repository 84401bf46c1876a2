"""Decides whether a request is refused on arrival: past or unreachable deadline, or full queue."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Refusal:
    """Refusal of a request, with the time after which to retry.

    Parameters
    ----------
    reason : str
        Reason, reported to the caller.
    retry_after_s : float
        Time until the caller should retry, in seconds.
    """

    reason: str
    retry_after_s: float


def judge(
    expected_wait_s: float, remaining_s: float, queued: int, queue_limit: int
) -> Refusal | None:
    """Return a refusal if the request could not be served in time, None to accept it.

    Parameters
    ----------
    expected_wait_s : float
        Expected time until the request starts, in seconds.
    remaining_s : float
        Time until the request's deadline, in seconds.
    queued, queue_limit : int
        Number of queued requests and its maximum.
    """
    if remaining_s <= 0:
        return Refusal("its deadline has passed", 0.0)
    if queued >= queue_limit:
        return Refusal("too many requests are waiting", max(1.0, expected_wait_s))
    if expected_wait_s > remaining_s:
        return Refusal("its deadline cannot be met", expected_wait_s - remaining_s)
    return None
