"""What an engine answers when it is asked to move a run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class MoveOutcome(Enum):
    """What an engine said when it was asked to move a run."""

    COPIED = "copied"
    """The memory is at the other engine."""
    NO_ROOM = "no room"
    """It is not at the other engine; the engine that stopped the run keeps it."""
    NO_RUN = "no run"
    """The engine runs no such request."""
    BUSY = "busy"
    """Another move of the run is under way."""
    UNREACHED = "unreached"
    """Nothing was asked: the engine cannot be reached."""
    LOST = "lost"
    """No answer: done, not done, or done later."""


@dataclass(slots=True, frozen=True)
class MoveReply:
    """An engine's answer to a move.

    Parameters
    ----------
    outcome : MoveOutcome
        What it did.
    handle : str
        Under what the memory is kept; empty if it is not.
    events : int
        Events that the run had made.
    """

    outcome: MoveOutcome
    handle: str = ""
    events: int = 0
