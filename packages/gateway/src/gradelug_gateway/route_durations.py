"""How long recent requests on each route took, from which the duration of others is expected."""

from __future__ import annotations

import typing as t

from .model import Route

WINDOW_S = 30.0
"""Durations are remembered for one to two such times."""


class RouteDurations:
    """The longest recent duration of requests on each route.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_earlier", "_recent", "_turned_at")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._recent: dict[str, float] = {}
        self._earlier: dict[str, float] = {}
        self._turned_at = clock()

    def note(self, route: str, duration_s: float) -> None:
        """Record how long a request on a route took, or has been in progress, in seconds."""
        now = self._clock()
        if now - self._turned_at > WINDOW_S:
            self._earlier, self._recent, self._turned_at = self._recent, {}, now
        self._recent[route] = max(duration_s, self._recent.get(route, 0.0))

    def longest_s(self, route: Route) -> float:
        """Return the longest recent duration on a route, its target time if there was none."""
        tallies = (self._recent, self._earlier)
        known = [tally[route.name] for tally in tallies if route.name in tally]
        return max(known, default=route.target_s)
