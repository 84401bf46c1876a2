"""How lately the configuration in force here was known to be the newest."""

from __future__ import annotations

import math
import typing as t

import logbook
from gradelug_coordination import Mirror

from .feed import Feed

log = logbook.Logger("freshness")
RENEW_FRACTION = 0.5
"""An own look is begun when so much of the bound has passed: what is left bears two that fail."""
MIN_POLL_INTERVAL_S = 0.2
"""Requests that need a proof have the store looked at this often at most: looks that bring none, as
where a configuration cannot be read, would follow each other without a pause."""
CLOCK_MARGIN_S = 0.1
"""Timers and the platform's clock may differ by so much within the bound."""


class Freshness:
    """Proof that keys which are accepted here had not been taken away by a moment.

    A key must not be accepted for a request that was sent later than a bound after the key was
    taken away, by no instance, also by one that is cut off. So each instance reckons with the
    moment at which its configuration was the newest for certain, by its own clock: before its
    own look at the platform's store was begun, or, as another instance tells, before that one's
    look was begun. What is older than the bound proves nothing any more.

    Parameters
    ----------
    mirror : Mirror
        Own looks at the store.
    feed : Feed
        Tells whether the newest configuration seen there could be read.
    clock : callable
        The runtime's clock.
    bound_s : float
        Age of a proof that is good enough, in seconds; infinite where none is needed.
    """

    __slots__ = ("_bound_s", "_clock", "_feed", "_mirror", "_remote_proven_at", "_was_proven")

    def __init__(
        self, mirror: Mirror, feed: Feed, clock: t.Callable[[], float], bound_s: float = math.inf
    ) -> None:
        self._mirror = mirror
        self._feed = feed
        self._clock = clock
        self._bound_s = bound_s - CLOCK_MARGIN_S
        self._remote_proven_at = -math.inf
        self._was_proven = True

    @property
    def config(self) -> int:
        """Version of the configuration in force, 0 before the first."""
        snapshot = self._feed.state.snapshot
        return snapshot.version if snapshot is not None else 0

    @property
    def proven_at(self) -> float:
        """When the configuration in force was the newest, by the runtime's clock."""
        own = self._mirror.proven_at if self._feed.is_readable else -math.inf
        return max(own, self._remote_proven_at)

    @property
    def renew_at(self) -> float:
        """When this instance is to look itself unless it was told something newer."""
        if math.isinf(self._bound_s):
            return math.inf
        return self.proven_at + self._bound_s * RENEW_FRACTION

    @property
    def age_s(self) -> float:
        """Age of the proof in seconds."""
        return self._clock() - self.proven_at

    def note_told(self, config: int, at: float) -> None:
        """Note that another instance knew a version to be the newest at a moment.

        Parameters
        ----------
        config : int
            The version.
        at : float
            The moment, or an earlier one, by this instance's clock.
        """
        if config <= self.config:
            self._remote_proven_at = max(self._remote_proven_at, at)

    def is_proven(self) -> bool:
        """Tell whether a request that arrives now may be let in by its key."""
        age_s = self.age_s
        proven = age_s <= self._bound_s
        if proven != self._was_proven:
            self._was_proven = proven
            log.warning(
                "proof of the configuration", good=proven, config=self.config, age_s=round(age_s, 2)
            )
        if not proven and self._clock() - self._mirror.looked_at >= MIN_POLL_INTERVAL_S:
            self._mirror.hurry()
        return proven
