"""Outcomes of a request to an engine to move a run to another engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MoveOutcome(Enum):
    """Result of a request to move a run."""

    COPIED = "copied"
    """The memory was copied to the target engine."""
    NO_CAPACITY = "no room"
    """The target has no capacity; if the run was stopped, its engine keeps the memory."""
    NO_RUN = "no run"
    """The engine is not running the request."""
    BUSY = "busy"
    """Another move of the run is in progress."""
    UNREACHED = "unreached"
    """The request was not sent because the engine cannot be reached."""
    LOST = "lost"
    """No response: the move may have happened, or may still happen."""


@dataclass(slots=True, frozen=True)
class MoveReply:
    """An engine's response to a move request.

    Parameters
    ----------
    outcome : MoveOutcome
        Result of the move.
    handle : str
        Identifier of the kept memory; empty if none is kept.
    events : int
        Number of events that the run had produced.
    """

    outcome: MoveOutcome
    handle: str = ""
    events: int = 0
