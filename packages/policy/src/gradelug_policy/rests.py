"""Rest that replicas ask for when they turn a request away.

Load pattern: replicas with long queues turn requests away and ask each instance for some seconds of
rest, several of a service at once, while callers come back and other replicas have room.
"""

from __future__ import annotations

import math
import random
import typing as t

RETURN_S = 0.5
"""Seconds over which instances return to a replica after its rest, to avoid a burst."""


class RestWord(t.NamedTuple):
    """What an answer says of the rest that its replica wants.

    Parameters
    ----------
    rest_s : float
        For how long nothing is to be sent there, in seconds; 0 if it asks for no rest.
    unreadable : str
        What stands in its place and is no number; empty if it can be read.
    """

    rest_s: float = 0.0
    unreadable: str = ""


class Rests:
    """Until when replicas want nothing from this instance.

    Parameters
    ----------
    rng : random.Random
        Draws when this instance comes back after a rest.
    """

    __slots__ = ("_rng", "_ends_at")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._ends_at: dict[t.Hashable, float] = {}

    def note(self, life: t.Hashable, rest_s: float, now: float) -> bool:
        """Note that a life of a replica asks for rest; tell whether it was not resting before.

        The latest end applies, because each request for rest has to be respected.
        """
        was_resting = self.left_s(life, now) > 0
        jitter_s = self._rng.uniform(0.0, min(RETURN_S, rest_s))
        ends_at = now + rest_s + jitter_s
        self._ends_at[life] = max(ends_at, self._ends_at.get(life, -math.inf))
        return not was_resting

    def left_s(self, life: t.Hashable, now: float) -> float:
        """Return for how long nothing may be sent to a life of a replica, in seconds."""
        return max(0.0, self._ends_at.get(life, now) - now)

    def __len__(self) -> int:
        return len(self._ends_at)

    def keep(self, now: float) -> None:
        """Drop the rests that are over."""
        self._ends_at = {life: ends_at for life, ends_at in self._ends_at.items() if ends_at > now}

    def count(self, now: float) -> int:
        """Return how many replicas rest."""
        return sum(ends_at > now for ends_at in self._ends_at.values())
