"""How far apart an instance looks at the platform's store."""

from __future__ import annotations

from .freshness import RENEW_FRACTION
from .settings import Bounds

NOTICE_MARGIN_S = 0.8
"""Changes on the platform are gathered for the time in which they must be acted on less this: for
the store's answer, a packet lost on its way, and a request's way to a replica."""
MIN_POLL_INTERVAL_S = 0.2
"""Looks are no closer together than this, in seconds."""


def store_spacing_s(bounds: Bounds) -> float:
    """Return how far apart looks at the platform's store may be, in seconds."""
    most_s = min(bounds.notice_s - NOTICE_MARGIN_S, bounds.revoke_s * RENEW_FRACTION)
    return max(MIN_POLL_INTERVAL_S, most_s)
