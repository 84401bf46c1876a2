"""Tracks the backoff times that replicas request when they reject a request.

Load pattern: replicas with long queues reject requests and ask each instance to back off for some
seconds, several of a service at once, while callers retry and other replicas have capacity.
"""

from __future__ import annotations

import math
import random
import typing as t

RETURN_JITTER_S = 0.5
"""Seconds over which instances return to a replica after its backoff time, to avoid a burst."""


class ReportedBackoff(t.NamedTuple):
    """Backoff time reported by an answer.

    Parameters
    ----------
    rest_s : float
        Time for which no request may be sent to the replica, in seconds; 0 if none is
        requested.
    unreadable : str
        Reported value that is not a number; empty if there is none.
    """

    rest_s: float = 0.0
    unreadable: str = ""


class ReplicaBackoffs:
    """End of the backoff time of each replica, for this instance.

    Parameters
    ----------
    rng : random.Random
        Draws the jitter of this instance's return after a backoff.
    """

    __slots__ = ("_rng", "_ends_at")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ends_at: dict[t.Hashable, float] = {}

    def note(self, life: t.Hashable, rest_s: float, now: float) -> bool:
        """Record a backoff requested by an incarnation; return whether it had none before.

        The latest end applies, because each requested backoff has to be respected.
        """
        was_resting = self.left_s(life, now) > 0
        jitter_s = self._rng.uniform(0.0, min(RETURN_JITTER_S, rest_s))
        ends_at = now + rest_s + jitter_s
        self._ends_at[life] = max(ends_at, self._ends_at.get(life, -math.inf))
        return not was_resting

    def left_s(self, life: t.Hashable, now: float) -> float:
        """Return the remaining backoff time of an incarnation of a replica, in seconds."""
        return max(0.0, self._ends_at.get(life, now) - now)

    def __len__(self) -> int:
        return len(self._ends_at)

    def prune(self, now: float) -> None:
        """Remove expired backoffs."""
        self._ends_at = {life: ends_at for life, ends_at in self._ends_at.items() if ends_at > now}

    def count(self, now: float) -> int:
        """Return the number of replicas with a backoff."""
        return sum(ends_at > now for ends_at in self._ends_at.values())
