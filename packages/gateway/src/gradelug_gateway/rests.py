"""Backoff of replicas by their ``Retry-After`` headers: no requests are sent until it expires.

A replica's backoff applies to the instance that received the response; it is not shared.
"""

from __future__ import annotations

import math
import random
import typing as t

import logbook
from gradelug_policy.rests import ReplicaBackoffs, ReportedBackoff

from .invalid_values import InvalidValueLog
from .model import Replica

log = logbook.Logger("rests")
MAX_LOGGED_REPLICAS = 1024
"""Maximum number of replicas whose invalid value is logged, once each."""


class BackoffTracker:
    """Backoffs requested by replicas, by incarnation: a new incarnation starts without one.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    rng : Random or None
        Draws the jitter that is added to a backoff.
    is_on : bool
        Whether backoffs are enforced; otherwise they are only logged.
    """

    __slots__ = ("_clock", "_invalid_values", "_is_on", "_rests", "denied_count")

    def __init__(
        self,
        clock: t.Callable[[], float],
        rng: random.Random | None = None,
        is_on: bool = True,
    ) -> None:
        self._clock = clock
        self._is_on = is_on
        self._rests = ReplicaBackoffs(rng or random.Random(0))
        self._invalid_values = InvalidValueLog(
            log, "invalid backoff in a response", MAX_LOGGED_REPLICAS
        )
        self.denied_count = 0
        """Attempts since the start that were not made because of their replica's backoff."""

    def update_from_answer(self, replica: Replica, word: ReportedBackoff) -> None:
        """Apply the backoff in a response of a replica."""
        if word.unreadable:
            self._invalid_values.note(replica.name, word.unreadable, replica.born)
        elif word.rest_s and self._rests.note(_incarnation(replica), word.rest_s, self._clock()):
            log.info(
                "replica requested backoff",
                replica=replica.name,
                rest_s=word.rest_s,
                kept=self._is_on,
            )

    def remaining_s(self, replica: Replica) -> float:
        """Return the remaining backoff of a replica, in seconds."""
        if not (self._is_on and self._rests):
            return 0.0
        return self._rests.left_s(_incarnation(replica), self._clock())

    def min_remaining_s(self, replicas: t.Iterable[Replica]) -> float:
        """Return the shortest remaining backoff among replicas, in seconds; 0 if one has none."""
        if not self._rests:
            return 0.0
        min_s = math.inf
        for rep in replicas:
            min_s = min(min_s, self.remaining_s(rep))
            if not min_s:
                break
        return 0.0 if math.isinf(min_s) else min_s

    def drop_expired(self) -> None:
        """Remove expired backoffs."""
        self._rests.prune(self._clock())

    @property
    def active_count(self) -> int:
        """Number of replicas with an active backoff."""
        return self._rests.count(self._clock())

    @property
    def max_active_count(self) -> int:
        """Upper bound of the replicas with an active backoff, including expired, unremoved ones."""
        return len(self._rests) if self._is_on else 0


def _incarnation(replica: Replica) -> tuple[str, int]:
    return replica.name, replica.born
