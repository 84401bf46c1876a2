"""Positions: revisions that stay ordered when the service is restored from an older copy.

After such a restore the service assigns revisions again that it had assigned before, and increments
its era. A position combines era and revision and only grows, so it replaces the revision wherever
changes are ordered.
"""

from __future__ import annotations

ERA_STEP = 2**32
"""Number of revisions per era; with eras below 2**20 a position fits into a JSON number."""


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era; in era 0 the two are equal."""
    return era * ERA_STEP + revision


def era_of(at: int) -> int:
    """Return the era of a position."""
    return at // ERA_STEP


def revision_of(at: int) -> int:
    """Return the revision of a position, as the service counts it."""
    return at % ERA_STEP


class EraTracker:
    """Detects restores of the service from an older copy by its era."""

    __slots__ = ("era",)

    def __init__(self) -> None:
        self.era: int | None = None
        """The latest observed era, None before the first observation."""

    def has_advanced(self, at: int) -> bool:
        """Record a position; return whether its era is later than the one recorded before."""
        before, self.era = self.era, era_of(at)
        return before is not None and self.era > before
