"""Distributes the requests for a plain service over its replicas by their response times.

Many gateways share few replicas, for instance 85 gateways three replicas of six slots, and each
gateway sends one or two requests per second. The requests that a gateway has sent itself therefore
say nothing about the load of a replica, and request counts shared among gateways are older than the
requests that they count: all gateways that followed them would choose the replica that was idle a
moment ago. A replica may also be four times as slow as others, or report that it is full when it is
not. Mean response times over all gateways are stable and are used instead.
"""

from __future__ import annotations

import random
import typing as t
from dataclasses import dataclass

SPEED_POWER = 1.5
"""A replica that takes twice as long gets about a third of the share instead of half of it, since
its responses are also the late ones."""
SAME_HALL_FACTOR = 1.1
"""Preference for replicas in the gateway's hall, since traffic between halls is charged. A greater
factor would make the load of the replicas uneven, as gateways are not spread evenly over halls."""
SUCCESS_POWER = 4.0
MIN_HEALTH_FACTOR = 0.05
"""A replica that fails 45% of its requests gets a tenth of its share, and no replica gets less than
the minimum factor, so that the last working one still receives requests."""
MAX_DUE_REQUESTS = 2.0
"""Greatest number of requests that a replica may have due, or may have received in advance."""


@dataclass(slots=True, frozen=True)
class PlainView:
    """State of a replica as known to a gateway.

    Parameters
    ----------
    name : str
        Name of the replica.
    took_s : float
        Mean response time over all gateways, in seconds; 0 if unknown.
    failing : float
        Fraction of its requests that fail, 0 to 1.
    own : int
        Number of active requests of this gateway at the replica.
    is_same_hall : bool
        Whether the replica is in the gateway's hall.
    """

    name: str
    took_s: float
    failing: float
    own: int
    is_same_hall: bool


class PlainShares:
    """Weighted round robin of a gateway's requests over replicas.

    Round robin keeps closer to the shares than a random choice does. Gateways start at random
    offsets, so that they do not choose the same replicas at the same time.

    Parameters
    ----------
    rng : random.Random
        Random number generator for the initial offsets.
    """

    __slots__ = ("_due", "_rng")

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due: dict[str, float] = {}
        """By replica: requests due to it; negative if it is ahead of its share."""

    def choose(self, views: t.Sequence[PlainView]) -> str:
        """Return the replica that gets the next request; `views` must not be empty."""
        weights = replica_weights(views)
        for view, weight in zip(views, weights, strict=True):
            due = self._due.get(view.name)
            if due is None:
                # Prefer the own hall for the first request: traffic between halls is charged.
                due = 1.0 if view.is_same_hall else self._rng.random()
            self._due[view.name] = min(MAX_DUE_REQUESTS, due + weight)
        chosen = max(views, key=lambda view: self._due[view.name] - view.own).name
        self._due[chosen] = max(-MAX_DUE_REQUESTS, self._due[chosen] - 1)
        return chosen

    def keep(self, names: t.Container[str]) -> None:
        """Drop the state of all replicas but the given ones."""
        self._due = {name: due for name, due in self._due.items() if name in names}


def replica_weights(views: t.Sequence[PlainView]) -> list[float]:
    """Return the share of each replica in the requests; the shares add up to 1."""
    durations_s = [view.took_s for view in views if view.took_s]
    mean_s = sum(durations_s) / len(durations_s) if durations_s else 1.0
    weights = [_weight(view, view.took_s or mean_s, mean_s) for view in views]
    total = sum(weights)
    return [weight / total for weight in weights]


def _weight(view: PlainView, took_s: float, mean_s: float) -> float:
    weight = (mean_s / took_s) ** SPEED_POWER
    weight *= max(MIN_HEALTH_FACTOR, (1 - view.failing) ** SUCCESS_POWER)
    return weight * SAME_HALL_FACTOR if view.is_same_hall else weight
