"""What is refused at once: deadlines that cannot be met, and queues that are full."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Refusal:
    """A request that is not taken, and when to come back.

    Parameters
    ----------
    reason : str
        For the caller.
    retry_after_s : float
        Seconds.
    """

    reason: str
    retry_after_s: float


def judge(
    expected_wait_s: float, remaining_s: float, queued: int, queue_limit: int
) -> Refusal | None:
    """Return a refusal if taking the request would be in vain, None to take it.

    Parameters
    ----------
    expected_wait_s : float
        Until it could start.
    remaining_s : float
        Until its deadline.
    queued, queue_limit : int
        Requests waiting, and how many may.
    """
    if remaining_s <= 0:
        return Refusal("its deadline has passed", 0.0)
    if queued >= queue_limit:
        return Refusal("too many requests are waiting", max(1.0, expected_wait_s))
    if expected_wait_s > remaining_s:
        return Refusal("its deadline cannot be met", expected_wait_s - remaining_s)
    return None
