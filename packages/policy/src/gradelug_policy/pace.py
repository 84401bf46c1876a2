"""How fast the weight store serves, learned from loads that were not through when expected."""

from __future__ import annotations

FIRST_LOAD_S = 0.255
"""Time to load an adapter at full speed, measured on the users' bench (250 ms there)."""
MOST_LOAD_S = 3.0
FIRST_AT_ONCE = 8.0
"""Loads under way at full speed there: from nine on most were late, up to five none was."""
LEAST_AT_ONCE = 2.0
MOST_AT_ONCE = 24.0
FEW = 2
"""With so few loads under way it is the load itself that takes longer."""
GAIN = 0.02
"""Each load that was through in time raises the number by this, each late one lowers it."""
LOSS = 0.92
SLOWER = 1.15


class StorePace:
    """Expected time of a load, and how many may be under way."""

    __slots__ = ("_at_once", "load_s")

    def __init__(self) -> None:
        self._at_once = FIRST_AT_ONCE
        self.load_s = FIRST_LOAD_S
        """Expected time of a load, in seconds."""

    @property
    def at_once(self) -> int:
        """How many loads may be under way."""
        return int(self._at_once)

    def note_in_time(self) -> None:
        """Note that a load was through when expected."""
        self._at_once = min(MOST_AT_ONCE, self._at_once + GAIN)

    def note_late(self, under_way: int) -> None:
        """Note that a load was not, and how many were under way when it began."""
        if under_way <= FEW:
            self.load_s = min(MOST_LOAD_S, self.load_s * SLOWER)
        else:
            self._at_once = max(LEAST_AT_ONCE, min(self._at_once, under_way) * LOSS)
