"""Interval at which an instance polls the platform store, derived from the configured bounds."""

from __future__ import annotations

from .config_freshness import RENEW_FRACTION
from .settings import Bounds

NOTICE_MARGIN_S = 0.8
"""Part of the time limit for reacting to changes that is not spent waiting for the next poll, in
seconds: it covers the store's response, one lost packet and the way of a request to a replica."""
MIN_POLL_INTERVAL_S = 0.2
"""Lower bound of the poll interval, in seconds."""


def store_poll_interval_s(bounds: Bounds) -> float:
    """Return the longest poll interval that keeps the bounds, in seconds."""
    max_s = min(bounds.notice_s - NOTICE_MARGIN_S, bounds.revoke_s * RENEW_FRACTION)
    return max(MIN_POLL_INTERVAL_S, max_s)
