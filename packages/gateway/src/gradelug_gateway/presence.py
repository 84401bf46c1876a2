"""What a check of a replica shows of its process."""

from __future__ import annotations

from enum import Enum


class Presence(Enum):
    """Whether a replica's process is there."""

    PRESENT = "present"
    ENDED = "ended"
    """Its address refuses connections, or belongs to another replica."""
    UNKNOWN = "unknown"
    """It gave no sign in time."""
