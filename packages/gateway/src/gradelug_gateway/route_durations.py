"""How long recent requests on each route took, from which the duration of others is expected."""

from __future__ import annotations

import typing as t

from .model import Route

WINDOW_S = 30.0
"""Durations are remembered for one to two such times."""


class DurationTally:
    """Durations of the requests on one route, in seconds."""

    __slots__ = ("count", "longest_s", "total_s")

    def __init__(self) -> None:
        self.count = 0
        self.total_s = 0.0
        self.longest_s = 0.0


class RouteDurations:
    """Recent durations of the requests on all routes.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_earlier", "_recent", "_turned_at")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._recent: dict[str, DurationTally] = {}
        self._earlier: dict[str, DurationTally] = {}
        self._turned_at = clock()

    def note_end(self, route: str, duration_s: float) -> None:
        """Record how long a request on a route took, in seconds."""
        tally = self._tally(route)
        tally.count += 1
        tally.total_s += duration_s
        tally.longest_s = max(tally.longest_s, duration_s)

    def note_running(self, route: str, age_s: float) -> None:
        """Record for how long a request on a route has been in progress, in seconds."""
        tally = self._tally(route)
        tally.longest_s = max(tally.longest_s, age_s)

    def longest_s(self, route: Route) -> float:
        """Return the longest recent duration on a route, its target time if there was none."""
        return max((tally.longest_s for tally in self._known(route)), default=route.target_s)

    def mean_s(self, route: Route) -> float:
        """Return the mean recent duration on a route, its target time if no request has ended."""
        known = self._known(route)
        count = sum(tally.count for tally in known)
        return sum(tally.total_s for tally in known) / count if count else route.target_s

    def _tally(self, route: str) -> DurationTally:
        now = self._clock()
        if now - self._turned_at > WINDOW_S:
            self._earlier, self._recent, self._turned_at = self._recent, {}, now
        return self._recent.setdefault(route, DurationTally())

    def _known(self, route: Route) -> list[DurationTally]:
        tallies = (self._recent.get(route.name), self._earlier.get(route.name))
        return [tally for tally in tallies if tally is not None]
