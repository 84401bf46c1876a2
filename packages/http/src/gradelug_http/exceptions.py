"""Errors of the HTTP package."""

from __future__ import annotations


class HttpError(Exception):
    """Base class of everything this package raises."""


class ConnectFailed(HttpError):
    """No connection came up, so nothing was sent."""


class ConnectRefused(ConnectFailed):
    """Nobody listens at the address: the process that did has ended."""


class ResponseBroken(HttpError):
    """The request was sent and its answer is missing, cut short or malformed."""


class NoRoomForAnswer(ResponseBroken):
    """An answer was given up because this process has no memory for it."""


class ClientGone(HttpError):
    """The client has closed its connection."""


class MalformedRequest(HttpError):
    """A client sent what is no request or exceeds a limit.

    Parameters
    ----------
    status : int
        Status of the refusal.
    reason : str
        What is wrong.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
