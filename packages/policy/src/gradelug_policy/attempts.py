"""Whether a request is its caller's first try, from how long the caller still waits.

Load pattern: a part of the callers repeats what was refused at once and often; a repetition has
the same time limit as the first try, less the time that has passed since. Where callers of a route
give different times at their first tries, nothing can be told, and nothing is.
"""

from __future__ import annotations

SAME_S = 0.003
"""Waiting times that differ by less, in seconds, are the same: a limit is told in milliseconds, and
a refusal takes some milliseconds to reach its caller."""
MOST_VOTES = 20
"""A route whose callers wait otherwise from now on is known anew after so many requests."""
SURE_VOTES = 3
"""A usual waiting time is known once so many more requests had it than had not."""
LONGER_VOTES = 2
"""A longer time counts for so many: no repetition is left longer than its first try was."""


class FirstTries:
    """Learns how long callers of each route usually wait, by a majority vote."""

    __slots__ = ("_usual",)

    def __init__(self) -> None:
        self._usual: dict[str, tuple[float, int]] = {}
        """The usual waiting time of a route, and votes for it."""

    def since_s(self, route: str, wait_s: float) -> float:
        """Return the time since a caller's first try, in seconds; 0 if this seems to be it.

        Parameters
        ----------
        route : str
            The route of the request.
        wait_s : float
            How long its caller still waits, in seconds.
        """
        usual_s, votes = self._usual.get(route, (wait_s, 0))
        less_s = usual_s - wait_s if wait_s != usual_s else 0.0
        if abs(less_s) <= SAME_S:
            self._usual[route] = usual_s, min(MOST_VOTES, votes + 1)
            return 0.0
        left = votes - (LONGER_VOTES if less_s < 0 else 1)
        self._usual[route] = (usual_s, left) if left > 0 else (wait_s, 1)
        return less_s if less_s > 0 and votes >= SURE_VOTES else 0.0
