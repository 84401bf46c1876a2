"""The shortest recent time in which replicas have responded to the requests of a route."""

from __future__ import annotations

import typing as t

WINDOW_S = 60.0
"""Times are remembered for one to two such windows."""
MIN_SAMPLES = 20
"""Responses of which the shortest counts as known."""


class _Window:
    """The number of responses and the shortest time of one route in one window."""

    __slots__ = ("count", "shortest_s")

    def __init__(self) -> None:
        self.count = 0
        self.shortest_s = 0.0

    def note(self, took_s: float) -> None:
        self.shortest_s = min(took_s, self.shortest_s) if self.count else took_s
        self.count += 1


class ResponseTimes:
    """Times from sending requests to their first events or whole answers, by service and route.

    They contain the way to the replica and back. Routes are kept apart: one with long work must not
    make the requests of another one, which would show that they take less, seem too late.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_earlier", "_recent", "_turned_at")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._recent: dict[tuple[str, str], _Window] = {}
        self._earlier: dict[tuple[str, str], _Window] = {}
        self._turned_at = clock()

    def note(self, service: str, route: str, took_s: float) -> None:
        """Record how long a replica of a service took for a request of a route, in seconds."""
        now = self._clock()
        if now - self._turned_at > WINDOW_S:
            self._earlier, self._recent, self._turned_at = self._recent, {}, now
        self._recent.setdefault((service, route), _Window()).note(took_s)

    def shortest_s(self, service: str, route: str) -> float:
        """Return the shortest recent time of a route, in seconds; 0 if too few are known."""
        key = service, route
        windows = [tally[key] for tally in (self._recent, self._earlier) if key in tally]
        if sum(window.count for window in windows) < MIN_SAMPLES:
            return 0.0
        return min(window.shortest_s for window in windows)
