"""Replicas that asked this instance for rest: nothing is sent there until it is over.

Rest is asked of one instance and kept by it alone; it is told to nobody.
"""

from __future__ import annotations

import math
import random
import typing as t

import logbook
from gradelug_policy.rests import Rests, RestWord

from .model import Replica

log = logbook.Logger("rests")
MAX_LOGGED_CHARS = 40
"""Longest part of an unreadable value in the log, in characters."""
MAX_LOGGED_REPLICAS = 1024
"""Upper bound of replicas whose unreadable value is logged once."""


class ReplicaRests:
    """What replicas asked of this instance, by life: another life begins without a rest.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    rng : Random or None
        Draws when this instance comes back after a rest.
    is_on : bool
        Whether rests are kept to; otherwise they are only logged.
    """

    __slots__ = ("_clock", "_is_on", "_rests", "_logged_unreadable", "denied")

    def __init__(
        self,
        clock: t.Callable[[], float],
        rng: random.Random | None = None,
        is_on: bool = True,
    ) -> None:
        self._clock = clock
        self._is_on = is_on
        self._rests = Rests(rng or random.Random(0))
        self._logged_unreadable: set[tuple[str, int]] = set()
        self.denied = 0
        """Sendings since the start that were not made because their replica rested."""

    def hear(self, replica: Replica, word: RestWord) -> None:
        """Take over what an answer of a replica says."""
        if word.unreadable:
            self._log_unreadable_value(replica, word)
        elif word.rest_s and self._rests.note(_incarnation(replica), word.rest_s, self._clock()):
            log.info("replica rests", replica=replica.name, rest_s=word.rest_s, kept=self._is_on)

    def left_s(self, replica: Replica) -> float:
        """Return for how long nothing may be sent to a replica, in seconds."""
        if not (self._is_on and self._rests):
            return 0.0
        return self._rests.left_s(_incarnation(replica), self._clock())

    def least_left_s(self, replicas: t.Iterable[Replica]) -> float:
        """Return the shortest rest left among some replicas, 0 if one of them does not rest."""
        if not self._rests:
            return 0.0
        min_s = math.inf
        for rep in replicas:
            min_s = min(min_s, self.left_s(rep))
            if not min_s:
                break
        return 0.0 if math.isinf(min_s) else min_s

    def drop_over(self) -> None:
        """Drop the rests that are over."""
        self._rests.keep(self._clock())

    @property
    def resting(self) -> int:
        """How many replicas rest."""
        return self._rests.count(self._clock())

    @property
    def most_resting(self) -> int:
        """How many replicas rest at most: rests that have just ended count as well."""
        return len(self._rests) if self._is_on else 0

    def _log_unreadable_value(self, replica: Replica, word: RestWord) -> None:
        if (
            _incarnation(replica) in self._logged_unreadable
            or len(self._logged_unreadable) >= MAX_LOGGED_REPLICAS
        ):
            return
        self._logged_unreadable.add(_incarnation(replica))
        log.warning(
            "rest cannot be read", replica=replica.name, value=word.unreadable[:MAX_LOGGED_CHARS]
        )


def _incarnation(replica: Replica) -> tuple[str, int]:
    return replica.name, replica.born
