"""Which replica of a plain service gets a request: shares by the time that answers take.

Load pattern: three replicas of six slots before 85 gateways of which each has a request or two a
second, so that what a gateway has sent itself says nothing of how full a replica is, and counts
told over all gateways are older than the requests they are of: who follows them goes, with all
others, where it was empty a moment ago. One replica may be four times as slow, or say that it is
full while it is not. What lasts is how long answers take; that is pooled over all gateways.
"""

from __future__ import annotations

import random
import typing as t
from dataclasses import dataclass

SPEED_POWER = 1.5
"""A replica that takes twice as long gets a third of the requests, not half: it is also the one
whose answers come late."""
SAME_HALL_FACTOR = 1.1
"""A replica in the gateway's hall gets a tenth more, since bytes between halls have a price. More
would show in the shares of the replicas, as gateways are not spread evenly."""
SUCCESS_POWER = 4.0
MIN_HEALTH_FACTOR = 0.05
"""A replica that fails 45% of its requests gets a tenth of its share, and no less than this part:
where it is the last that works it is not given up."""
MAX_DUE_REQUESTS = 2.0
"""Requests that a replica which was passed over may have due."""


@dataclass(slots=True, frozen=True)
class PlainView:
    """A replica as a gateway sees it.

    Parameters
    ----------
    name : str
        Its name.
    took_s : float
        Mean time of its answers over all gateways, in seconds; 0 if unknown.
    failing : float
        Part of its requests that fail, 0 to 1.
    own : int
        Requests of this gateway that it has.
    is_near : bool
        Whether it stands in the gateway's hall.
    """

    name: str
    took_s: float
    failing: float
    own: int
    is_same_hall: bool


class PlainShares:
    """Gives each replica its share of a gateway's requests, in turn.

    Taking turns keeps closer to the shares than drawing lots does. Gateways begin at different
    points, so that they do not go the same way together.

    Parameters
    ----------
    rng : random.Random
        Where turns begin.
    """

    __slots__ = ("_due", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due: dict[str, float] = {}
        """Requests that each replica is still to get."""

    def choose(self, views: t.Sequence[PlainView]) -> str:
        """Return the replica that gets the next request; `views` must not be empty."""
        weights = weigh(views)
        for view, weight in zip(views, weights, strict=True):
            due = self._due.get(view.name)
            if due is None:
                # The first one goes to the own hall, as bytes between halls have a price.
                due = 1.0 if view.is_same_hall else self._rng.random()
            self._due[view.name] = min(MAX_DUE_REQUESTS, due + weight)
        chosen = max(views, key=lambda view: self._due[view.name] - view.own).name
        self._due[chosen] = max(-MAX_DUE_REQUESTS, self._due[chosen] - 1)
        return chosen

    def keep(self, names: t.Container[str]) -> None:
        """Forget all other replicas."""
        self._due = {name: due for name, due in self._due.items() if name in names}


def weigh(views: t.Sequence[PlainView]) -> list[float]:
    """Return each replica's share of the requests; they add up to 1."""
    known = [view.took_s for view in views if view.took_s]
    usual_s = sum(known) / len(known) if known else 1.0
    weights = [_weight(view, view.took_s or usual_s, usual_s) for view in views]
    total = sum(weights)
    return [weight / total for weight in weights]


def _weight(view: PlainView, took_s: float, usual_s: float) -> float:
    weight = (usual_s / took_s) ** SPEED_POWER
    weight *= max(MIN_HEALTH_FACTOR, (1 - view.failing) ** SUCCESS_POWER)
    return weight * SAME_HALL_FACTOR if view.is_same_hall else weight
