"""Limits how many engines renew their base model at the same time.

A new version of a base model is announced while all engines run requests of its adapters. An engine
that renews it accepts no requests until its last run has ended and the new weights are loaded.
"""

from __future__ import annotations

import typing as t

MAX_RENEWING_FRACTION = 0.5
"""Greatest fraction of the engines that may renew their base model at the same time."""
MAX_RENEWAL_S = 2.0
"""Time after which a renewal does not count, so that an engine with long runs does not delay
others: new versions must be in use within some seconds."""


def renewals_allowed(started_at: t.Iterable[float], engines: int, now: float) -> int:
    """Return how many more engines may start to renew their base model now.

    Parameters
    ----------
    started_at : iterable of float
        Times at which the renewals in progress started.
    engines : int
        Total number of engines of the service.
    now : float
        Current time, by the same clock.
    """
    recent = sum(now - at < MAX_RENEWAL_S for at in started_at)
    return max(0, max(1, int(MAX_RENEWING_FRACTION * engines)) - recent)
