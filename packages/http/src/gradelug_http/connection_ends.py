"""Why connections of callers ended, and what became of the request that each of them carried."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndCause(Enum):
    """What ended a connection."""

    CLIENT = "client"
    """The client closed it."""
    LOST = "lost"
    """The client reset it, or could not be reached any more."""
    ANSWERED = "answered"
    """Its last answer announced the end."""
    IDLE = "idle"
    """It rested for longer than the idle timeout."""
    REFUSED = "refused"
    """A request on it was refused."""
    INCOMPLETE = "incomplete"
    """An answer could not be completed."""
    ERROR = "error"
    """Serving a request raised an unexpected error."""
    UNREAD = "unread"
    """The client did not read its answers."""
    CROWDED = "crowded"
    """There were too many connections."""
    STOP = "stop"
    """The server stops."""


class RequestState(Enum):
    """How far the request on a connection was when the connection ended."""

    NONE = "none"
    """No byte of a request had been read."""
    ARRIVING = "arriving"
    """A part of it had been read."""
    READ = "read"
    """All of it had been read, and no answer had begun."""
    ANSWERING = "answering"
    """Its answer had begun and was not whole."""


@dataclass(slots=True, frozen=True)
class ConnectionEnd:
    """The end of a connection.

    Parameters
    ----------
    cause : EndCause
        What ended it.
    request : RequestState
        How far its request was.
    body_bytes, ahead_bytes : int
        Bytes that had been read of the request's body, and of those that follow it.
    open_s : float
        How long the connection was open, in seconds.
    quiet_s : float
        Time since its last bytes were read, in seconds.
    answered : int
        Requests that were answered on it.
    """

    cause: EndCause
    request: RequestState
    body_bytes: int
    ahead_bytes: int
    open_s: float
    quiet_s: float
    answered: int

    @property
    def is_unanswered(self) -> bool:
        """Whether the server ended it on a request that got no whole answer."""
        by_server = self.cause not in (EndCause.CLIENT, EndCause.LOST, EndCause.REFUSED)
        return by_server and (self.request is not RequestState.NONE or self.ahead_bytes > 0)
