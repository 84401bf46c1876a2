"""Questions for credits and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from gradelug_wire import control_pb2 as pb
from returns.result import Result


@dataclass(slots=True, frozen=True)
class Offer:
    """Credits granted.

    Parameters
    ----------
    number : int
        The grant's number.
    credits : int
        Requests that may start.
    valid_s : float
        For how long, counted from when the asker sent its question.
    stall_s : float
        How long the question waited for the adapter to be loaded.
    """

    number: int
    credits: int
    valid_s: float
    stall_s: float


@dataclass(slots=True, frozen=True)
class Decline:
    """No credits, and why."""

    verdict: pb.Verdict
    reason: str = ""
    retry_after_s: float = 0.0


Answer = Result[Offer, Decline]


@dataclass(slots=True, frozen=True)
class Question:
    """A holder's question for credits.

    Parameters
    ----------
    holder, key : str
        Who asks, for which adapter and version.
    want, fresh : int
        Requests waiting, and requests that came since the last question.
    weight : float
        Greatest weight among those waiting.
    wait_s : float
        How long the answer may be held back.
    waited_s : float
        How long the first of the requests has waited before this question.
    request_id : str
        Of the first of them, for the log.
    """

    holder: str
    key: str
    want: int
    fresh: int
    weight: float
    wait_s: float
    waited_s: float = 0.0
    request_id: str = ""
