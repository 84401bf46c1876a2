"""Timing of an instance's polls of the platform store, derived from the configured bounds."""

from __future__ import annotations

from .config_freshness import RENEW_FRACTION
from .feed import EXPIRED_ENTRY_GRACE_S
from .settings import Bounds

NOTICE_MARGIN_S = 0.8
"""Part of the time limit for reacting to changes that is not spent waiting for the next poll, in
seconds: it covers the store's response, one lost packet and the way of a request to a replica."""
MIN_POLL_INTERVAL_S = 0.2
"""Lower bound of the poll interval, in seconds."""
MAX_RETRY_CYCLE_S = 1.5
"""Longest time from the start of a failed call of the store to that of the next one, in seconds."""
REMOVAL_MARGIN_S = 0.3
"""Time for the last requests to a replica to arrive before it counts as removed, in seconds."""


def store_poll_interval_s(bounds: Bounds) -> float:
    """Return the longest poll interval that keeps the bounds, in seconds."""
    max_s = min(bounds.notice_s - NOTICE_MARGIN_S, bounds.revoke_s * RENEW_FRACTION)
    return max(MIN_POLL_INTERVAL_S, max_s)


def missing_entry_grace_s(bounds: Bounds) -> float:
    """Return how long a replica is used whose entry is missing after an outage, in seconds.

    The time counts from the start of the last call that the store did not answer. The store, or
    the way to it, returned up to `MAX_RETRY_CYCLE_S` later.
    """
    return min(
        EXPIRED_ENTRY_GRACE_S + MAX_RETRY_CYCLE_S, max(0.0, bounds.contact_s - REMOVAL_MARGIN_S)
    )
