"""How many engines renew their base model at a time.

Load pattern: a new version of a base model is named while all engines run requests of its adapters.
An engine that renews it takes no requests until its last run has ended and the weights are loaded.
"""

from __future__ import annotations

import typing as t

MAX_RENEWING_FRACTION = 0.5
"""Part of the engines that may be without their base model at a time while it is renewed."""
MAX_RENEWAL_S = 2.0
"""An engine whose runs last longer than this keeps no other one waiting: new versions have to be in
use within some seconds."""


def renewals_left(began: t.Iterable[float], engines: int, now: float) -> int:
    """Return how many more engines may be closed now for a new version of their base model.

    Parameters
    ----------
    began : iterable of float
        When those were closed that are not back yet.
    engines : int
        All engines of the service.
    now : float
        By the same clock.
    """
    recent = sum(now - at < MAX_RENEWAL_S for at in began)
    return max(0, max(1, int(MAX_RENEWING_FRACTION * engines)) - recent)
