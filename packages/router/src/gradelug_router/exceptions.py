"""What can become of a request, as errors with their answer to the caller."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Whether a request was run, as far as is known for certain."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class ApiError(Exception):
    """An answer other than the one asked for.

    Attributes
    ----------
    status : int
        HTTP status.
    code : str
        Short reason, for programs.
    outcome : Outcome
        Whether the request was run.
    retry_after_s : float or None
        When to come back, where that makes sense.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        self.status = status
        self.code = code
        self.outcome = outcome
        self.retry_after_s = retry_after_s
        super().__init__(message)


class DeadlinePassed(ApiError):
    """The request's deadline passed while an upstream had it."""

    def __init__(self) -> None:
        message = "its deadline passed before its answer came"
        super().__init__(504, "deadline", message, Outcome.UNKNOWN)


class NotSent(Exception):
    """Nothing that could be run was handed to the upstream."""


class UpstreamRefused(Exception):
    """The upstream said that it did not run the request.

    Attributes
    ----------
    status : int
        Its HTTP status.
    code : str
        Its own word for the reason.
    retry_after_s : float or None
        When it said to come back.
    """

    def __init__(
        self, status: int, code: str, message: str, retry_after_s: float | None = None
    ) -> None:
        self.status = status
        self.code = code
        self.retry_after_s = retry_after_s
        super().__init__(message)


class UpstreamBroken(Exception):
    """The request was sent and what came back is no whole answer to it."""


class AnswerTooLarge(UpstreamBroken):
    """An answer exceeds the limit for those that are not streamed."""


class CallerGone(Exception):
    """The caller closed its connection, or read too slowly."""
