"""Positions: revisions of a service that may come back from an older copy.

Such a service gives revisions out again, and counts an era up each time. Era and revision together
only grow, so they take the place of the revision wherever facts are put in order.
"""

from __future__ import annotations

ERA_STEP = 2**32
"""Revisions of one era; with eras below 2**20 a position fits into a JSON number."""


def position(era: int, revision: int) -> int:
    """Return a revision of an era as a position; revisions of era 0 are positions themselves."""
    return era * ERA_STEP + revision


def era_of(at: int) -> int:
    """Return the era of a position."""
    return at // ERA_STEP


def revision_of(at: int) -> int:
    """Return the revision of a position, as the service counts it."""
    return at % ERA_STEP


class EraWatch:
    """Detects that the service came back from an older copy."""

    __slots__ = ("era",)

    def __init__(self) -> None:
        self.era: int | None = None
        """The latest that was observed, None before the first."""

    def has_risen(self, at: int) -> bool:
        """Observe a position; tell whether it is of a later era than those before."""
        before, self.era = self.era, era_of(at)
        return before is not None and self.era > before
