"""Burn rates: how fast the error budget of an objective is being spent."""

from __future__ import annotations

import typing as t
from dataclasses import asdict, dataclass, field

from gradelug_config.model import Objective
from gradelug_objectives import INDICATORS, Joined

from .gathering import Gathered

WINDOWS = {"5m": 5, "1h": 60, "6h": 360}
FAST, SLOW = ("5m", "1h"), ("1h", "6h")
FAST_BURN, SLOW_BURN = 14.4, 6.0
"""Burn rates that spend 2% of a 30-day budget in an hour, and 5% in six."""
WORST = 5


@dataclass(slots=True)
class IndicatorBurn:
    """One indicator of an objective.

    Parameters
    ----------
    burn : dict of str to float or None
        Burn rate by window: 1 spends the budget exactly; None without requests.
    left : float or None
        Share of the budget of the longest window that is left.
    alarm : str
        ``fast``, ``slow`` or empty: two windows burn too fast together.
    p95_ms : int or None
        95th percentile of its times.
    """

    burn: dict[str, float | None]
    left: float | None
    alarm: str = ""
    p95_ms: int | None = None


@dataclass(slots=True)
class ObjectiveBurn:
    """An objective with all of its indicators."""

    name: str
    target: float
    requests: int
    indicators: dict[str, IndicatorBurn] = field(default_factory=dict)
    worst: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class Report:
    """The whole report; times are wall-clock seconds."""

    now: float
    answered: dict[str, float]
    silent: dict[str, str]
    objectives: list[ObjectiveBurn] = field(default_factory=list)

    def to_plain(self) -> dict[str, t.Any]:
        """Return nested dicts and lists."""
        return asdict(self)


def make_report(objectives: t.Iterable[Objective], gathered: Gathered) -> Report:
    """Return the report on the configured objectives."""
    report = Report(gathered.now, dict(gathered.since), dict(gathered.silent))
    last = int(gathered.now // 60)
    for objective in objectives:
        joined = gathered.objectives.get(objective.name, Joined())
        requests = sum(minute.total for minute in joined.minutes.values())
        burn = ObjectiveBurn(objective.name, objective.target, requests)
        for indicator in INDICATORS:
            burn.indicators[indicator] = _burn(joined, indicator, objective.target, last)
        burn.worst = dict(joined.worst.most_common(WORST))
        report.objectives.append(burn)
    return report


def _burn(joined: Joined, indicator: str, target: float, last: int) -> IndicatorBurn:
    rates: dict[str, float | None] = {}
    for name, minutes in WINDOWS.items():
        share = joined.share_bad(indicator, last, minutes)
        rates[name] = None if share is None else share / (1 - target)
    longest = rates[list(WINDOWS)[-1]]
    left = None if longest is None else 1 - longest
    histogram = joined.histograms.get(indicator)
    p95 = histogram.get_value_at_percentile(95) if histogram and histogram.total_count else None
    return IndicatorBurn(rates, left, _alarm(rates), p95)


def _alarm(rates: t.Mapping[str, float | None]) -> str:
    if all((rates[name] or 0.0) >= FAST_BURN for name in FAST):
        return "fast"
    if all((rates[name] or 0.0) >= SLOW_BURN for name in SLOW):
        return "slow"
    return ""
