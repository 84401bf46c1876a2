"""Which instances keep a lease for a duty that a few of them can carry.

A lease is renewed several times in its life, and each renewal is a call to the service. Where any
instance can take over from any other, a few that are present are enough; the others join when one
of these has gone.
"""

from __future__ import annotations

import random
import typing as t

MEMBERS = 9
"""So many instances are present while there are as many: the smaller deployments have 6 to 9, and
bear the loss of several at once."""
SPREAD_S = 3.0
"""Weaker instances join at a moment drawn from this span: with 70 of them one each 0.04 s, so that
each sees the others' presence before its turn."""
LOOK_S = 0.1
"""An entry that was made shows after a look at the service within this."""


class Candidacy:
    """Tells when this instance joins.

    Parameters
    ----------
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Source of jitter.
    handicap_s : float
        How much later than others this instance joins, in seconds; 0 for those that join at once.
    most : int
        It does not join while so many are present.
    """

    __slots__ = ("_clock", "_due_at", "_handicap_s", "_most", "_rng", "has_joined")

    def __init__(
        self,
        clock: t.Callable[[], float],
        rng: random.Random,
        handicap_s: float = 0.0,
        most: int = MEMBERS,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._handicap_s = handicap_s
        self._most = most
        self._due_at: float | None = None
        self.has_joined = False

    def consider(self, present: int, is_awaited: bool, look: t.Callable[[], None]) -> bool:
        """Tell whether this instance takes part; once it does, it goes on.

        Parameters
        ----------
        present : int
            Instances that take part.
        is_awaited : bool
            Whether it did so before a restart: others leave what was its to it.
        look : callable
            Has the service looked at, so that `present` is true a little later.
        """
        if self.has_joined or is_awaited:
            self.has_joined = True
            return True
        if present >= self._most:
            self._due_at = None
            return False
        if not self._handicap_s:
            self.has_joined = True
            return True
        now = self._clock()
        if self._due_at is None:
            self._due_at = now + self._handicap_s + self._rng.uniform(0.0, SPREAD_S)
        if now < self._due_at - LOOK_S:
            return False
        if now < self._due_at:
            look()
            return False
        self.has_joined = True
        return True
