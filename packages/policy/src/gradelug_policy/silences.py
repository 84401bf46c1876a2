"""Decides for how long a silent replica is waited for before another one is asked.

A replica may be silent for a second and go on, or may have ended. Asking another one too early
costs a retry and the work of one of the two; asking too late costs the answer. Silences that ended
by themselves show how long the next one may last.

Load pattern: replicas fall silent in turn for 0.9 to 1.6 s, each for longer than the timeout for a
replica of which nothing is known, and a stream that leaves each of them never gets on.
"""

from __future__ import annotations

from collections import deque

MEMORY_S = 30.0
"""Time for which a silence that has ended counts."""
LENGTH_MARGIN = 1.1
"""Silences up to this many times the longest recent one are waited for."""


class EndedSilences:
    """Silences of the replicas of one service that ended by themselves."""

    __slots__ = ("_ended",)

    def __init__(self) -> None:
        self._ended: deque[tuple[float, float]] = deque()
        """When each ended and how long it lasted, in seconds; no later one is longer."""

    def note(self, lasted_s: float, now: float) -> None:
        """Record that a replica has gone on after a silence.

        Parameters
        ----------
        lasted_s : float
            Length of the silence, in seconds.
        now : float
            Current time by the runtime's clock.
        """
        while self._ended and self._ended[-1][1] <= lasted_s:
            self._ended.pop()
        self._ended.append((now, lasted_s))

    def longest_s(self, now: float) -> float:
        """Return the length of the longest recent silence, in seconds; 0 if there was none."""
        while self._ended and now - self._ended[0][0] > MEMORY_S:
            self._ended.popleft()
        return self._ended[0][1] if self._ended else 0.0


def silence_timeout_s(default_s: float, latest_s: float, longest_s: float) -> float:
    """Return for how long a silent replica is waited for, in seconds.

    Parameters
    ----------
    default_s : float
        Timeout while nothing is known of silences, in seconds.
    latest_s : float
        Time after which a successor would begin too late for the caller, in seconds.
    longest_s : float
        Length of the longest recent silence that ended by itself, in seconds; 0 for none.
    """
    return max(default_s, min(LENGTH_MARGIN * longest_s, latest_s))
