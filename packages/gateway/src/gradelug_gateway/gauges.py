"""Figures of an instance's planners and of its start."""

from __future__ import annotations

import typing as t

from .metrics import Meters
from .planner import Planner
from .standing import Part, Standing


def add_planner_gauges(meters: Meters, planners: t.Callable[[], t.Iterable[Planner]]) -> None:
    """Add what planners on this instance know and owe."""
    meters.gauge(
        "requests_held",
        "Requests held until an engine has room",
        lambda: sum(planner.held() for planner in planners()),
    )
    meters.gauge(
        "engines_unknown",
        "Engines planned for that have not given their state",
        lambda: sum(planner.unknown_engines for planner in planners()),
    )
    meters.gauge(
        "gateways_behind",
        "Gateways that have not read the news that the planner here has for them",
        lambda: sum(planner.followers.behind for planner in planners()),
    )


def add_standing_gauges(meters: Meters, standing: Standing) -> None:
    """Add how long each part of the state was missing after the start."""
    for part in Part:
        meters.gauge(
            f"without_{part.value}_seconds",
            f"From the start until the {part.value} came, or until now",
            lambda part=part: standing.without_s(part),  # type: ignore[misc]
        )
