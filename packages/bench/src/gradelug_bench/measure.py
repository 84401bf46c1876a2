"""What is measured of a run."""

from __future__ import annotations

import json
import math
import typing as t
from dataclasses import asdict, dataclass

from .model import Model

LATE_S = 2.0
"""A request that has not begun after this long counts as late."""


@dataclass(slots=True, frozen=True)
class Figures:
    """The figures of one run; times in seconds.

    Parameters
    ----------
    stall_s_per_1k : float
        Seconds of waiting for an adapter's load, weighted by the request's weight, per 1,000
        requests. Waiting for a place in the batch is not stall.
    batch_fill : float
        Mean fullness of the batches that were stepped.
    refused, late, loads : int
        Counts.
    weighty_p99_s, light_p99_s : float
        99th percentile of the wait before the first token.
    """

    scenario: str
    policy: str
    stall_s_per_1k: float
    stall_p99_s: float
    batch_fill: float
    refused: int
    late: int
    loads: int
    weighty_p99_s: float
    light_p99_s: float

    def to_line(self) -> str:
        """Return one JSON object."""
        data = {
            key: round(value, 4) if isinstance(value, float) else value
            for key, value in asdict(self).items()
        }
        return json.dumps(data)


def measure(model: Model, give_up_s: float) -> Figures:
    """Return the figures of a finished run."""
    stalls = [r.stall_s for r in model.requests]
    waits = [give_up_s if r.refused else r.started_at - r.arrival.at for r in model.requests]
    weights = [r.arrival.weight for r in model.requests]
    weighted = sum(stall_s * weight for stall_s, weight in zip(stalls, weights, strict=True))
    return Figures(
        scenario=model.scenario.name,
        policy=model.policy.name,
        stall_s_per_1k=weighted / len(model.requests) * 1000,
        stall_p99_s=percentile(stalls, 0.99),
        batch_fill=sum(e.filled_s for e in model.engines) / sum(e.stepped_s for e in model.engines),
        refused=sum(r.refused for r in model.requests),
        late=sum(wait_s > LATE_S for wait_s in waits),
        loads=model.loads,
        weighty_p99_s=percentile([w for w, g in zip(waits, weights, strict=True) if g > 1], 0.99),
        light_p99_s=percentile([w for w, g in zip(waits, weights, strict=True) if g <= 1], 0.99),
    )


def percentile(values: t.Sequence[float], share: float) -> float:
    """Return the smallest value that `share` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(len(ordered) * share) - 1)] if ordered else 0.0


def geometric_mean(values: t.Sequence[float]) -> float:
    """Return the geometric mean."""
    return math.exp(sum(map(math.log, values)) / len(values))
