"""Settings of the scheduler."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from gradelug_policy import SlotSettings
from gradelug_runtime import (
    Checks,
    PlatformSettings,
    ProcessSettings,
    load_settings,
)


@dataclass(slots=True, frozen=True)
class Timing:
    """Periods and limits, in seconds.

    Parameters
    ----------
    lease_s : float
        Time to live of the instance's lease; after a kill its engines are free that long after.
    exchange_s : float
        Between two rounds of gossip.
    report_s : float
        Between two reports asked of an engine.
    instances_s : float
        Between two looks at the instance list.
    once_s : float
        How long reservations of keys are gathered before they are written; sixteen shards
        write at most once in this time each.
    outage_s : float
        How long an owner whose lease cannot be renewed lets requests through to what is loaded
        on an engine that checks no fencing tokens; after an owner has lapsed, its successor
        drops nothing there for as long. The same for all instances.
    isolated_s : float
        An instance that has heard neither the platform nor a peer for this long grants nothing.
    """

    lease_s: float = 3.0
    exchange_s: float = 0.5
    report_s: float = 0.25
    instances_s: float = 1.0
    once_s: float = 0.02
    outage_s: float = 120.0
    isolated_s: float = 3.0


@dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on what a scheduler keeps.

    Parameters
    ----------
    waiting : int
        Questions waiting per engine.
    loads : int
        Loads at once per engine.
    """

    waiting: int = 2000
    loads: int = 2


@dataclass(slots=True, frozen=True)
class SchedulerSettings(ProcessSettings):
    """Settings of `gradelug-scheduler`.

    Parameters
    ----------
    seeds : list of str
        ``IP:port`` of some other schedulers, asked for members and configuration when the
        platform's service is down at the start.
    """

    platform: PlatformSettings = field(default_factory=PlatformSettings)
    seeds: list[str] = field(default_factory=list)
    timing: Timing = field(default_factory=Timing)
    limits: Limits = field(default_factory=Limits)
    slots: SlotSettings = field(default_factory=SlotSettings)


def load_scheduler_settings(path: Path) -> SchedulerSettings:
    """Read and check the settings; raises `InvalidConfig`."""
    return load_settings(path, SchedulerSettings, _check)


def _check(cfg: SchedulerSettings, checks: Checks) -> None:
    checks.nonempty("name", cfg.name)
    checks.nonempty("hall", cfg.hall)
    checks.address("listen", cfg.listen)
    checks.address("statsd.address", cfg.statsd.address, required=False)
    checks.log(cfg.log)
    checks.nonempty("platform.kv", cfg.platform.kv)
    for index, seed in enumerate(cfg.seeds):
        checks.address(f"seeds[{index}]", seed)
    checks.positive("statsd.period_s", cfg.statsd.period_s)
    for name in (
        "lease_s",
        "exchange_s",
        "report_s",
        "instances_s",
        "once_s",
        "outage_s",
        "isolated_s",
    ):
        checks.positive(f"timing.{name}", getattr(cfg.timing, name))
    for name in ("waiting", "loads"):
        checks.positive(f"limits.{name}", getattr(cfg.limits, name))
    checks.positive("slots.half_life_s", cfg.slots.half_life_s)
