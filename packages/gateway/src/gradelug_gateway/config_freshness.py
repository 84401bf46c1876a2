"""Age of the proof that the configuration in force on this instance is the newest.

Admission uses it to reject keys once a revocation may have gone unnoticed for too long.
"""

from __future__ import annotations

import math
import typing as t

import logbook
from gradelug_coordination import Mirror

from .feed import Feed

log = logbook.Logger("freshness")
RENEW_FRACTION = 0.5
"""Fraction of the bound after which this instance polls the store itself: the rest is enough for
two failed attempts."""
MIN_POLL_INTERVAL_S = 0.2
"""Minimum interval between polls that requests without a proof trigger, in seconds: polls that
yield no proof, as with a malformed configuration, would otherwise follow without a pause."""
CLOCK_MARGIN_S = 0.1
"""Allowed difference between timers and the platform's clock within the bound, in seconds."""


class ConfigFreshness:
    """Proof that the keys accepted here were not revoked up to a known time.

    No instance may accept a revoked key for a request that was sent later than a bound after the
    revocation, not even while it is partitioned from the store. So each instance keeps the latest
    time, by its own clock, at which its configuration was certainly the newest: the start of its
    own last poll of the platform store, or of a poll that another instance reports. A proof that
    is older than the bound does not count.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store, with the time of this instance's own polls.
    feed : Feed
        Provides the configuration in force, and whether the newest one could be decoded.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    bound_s : float
        Maximum age of a valid proof, in seconds; infinite if no proof is needed.
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
        """Latest time when the configuration in force was the newest, by the runtime's clock."""
        own = self._mirror.proven_at if self._feed.is_config_readable else -math.inf
        return max(own, self._remote_proven_at)

    @property
    def renew_at(self) -> float:
        """When this instance polls the store itself unless it receives a newer proof before."""
        if math.isinf(self._bound_s):
            return math.inf
        return self.proven_at + self._bound_s * RENEW_FRACTION

    @property
    def age_s(self) -> float:
        """Age of the proof in seconds."""
        return self._clock() - self.proven_at

    def note_remote_proof(self, config: int, at: float) -> None:
        """Record another instance's proof that a configuration was the newest at some time.

        Parameters
        ----------
        config : int
            Version of the configuration.
        at : float
            That time or an earlier one, by this instance's clock, in seconds.
        """
        if config <= self.config:
            self._remote_proven_at = max(self._remote_proven_at, at)

    def is_proven(self) -> bool:
        """Return whether a request that arrives now may be admitted by its key."""
        age_s = self.age_s
        proven = age_s <= self._bound_s
        if proven != self._was_proven:
            self._was_proven = proven
            log.warning(
                "proof of the newest configuration expired or renewed",
                good=proven,
                config=self.config,
                age_s=round(age_s, 2),
            )
        if not proven and self._clock() - self._mirror.polled_at >= MIN_POLL_INTERVAL_S:
            self._mirror.request_poll()
        return proven
