"""Settings of the router."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from gradelug_policy import PlacementSettings
from gradelug_runtime import Checks, ProcessSettings, load_settings


@dataclass(slots=True, frozen=True)
class Limits:
    """Bounds on what callers may send and what the router keeps for them.

    Parameters
    ----------
    body_bytes, header_bytes : int
        A larger body gets 413, larger headers get 431.
    read_s : float
        A request that has not arrived whole after this long gets 408.
    connections : int
        Further connections are closed at once.
    unsent_bytes : int
        Answer bytes kept for a caller that reads slowly.
    slow_reader_s : float
        A caller that leaves them unread for this long is cut off.
    answer_bytes : int
        Largest answer of an upstream that is not streamed.
    waiting : int
        Requests waiting for a credit; further ones are refused at once.
    deadline_s : float
        Deadline of a request that states none.
    """

    body_bytes: int = 1_000_000
    header_bytes: int = 16_384
    read_s: float = 10.0
    connections: int = 4_000
    unsent_bytes: int = 262_144
    slow_reader_s: float = 10.0
    answer_bytes: int = 16_000_000
    waiting: int = 2_000
    deadline_s: float = 60.0


@dataclass(slots=True, frozen=True)
class Timing:
    """Periods, in seconds.

    Parameters
    ----------
    sync_s : float
        Between two exchanges with a scheduler.
    report_s : float
        Between two accounts to the engines' owners.
    stale_s : float
        A router that has heard from no scheduler for this long admits nothing: it cannot know
        whether a newer configuration is in force.
    stop_s : float
        How long a planned stop waits for requests in progress at the most.
    """

    sync_s: float = 0.5
    report_s: float = 0.25
    stale_s: float = 3.0
    stop_s: float = 600.0


@dataclass(slots=True, frozen=True)
class RouterSettings(ProcessSettings):
    """Settings of `gradelug-router`.

    Parameters
    ----------
    schedulers : list of str
        ``IP:port`` of the instance's own scheduler, then of some others.
    """

    schedulers: list[str] = field(default_factory=list)
    limits: Limits = field(default_factory=Limits)
    timing: Timing = field(default_factory=Timing)
    placement: PlacementSettings = field(default_factory=PlacementSettings)


def load_router_settings(path: Path) -> RouterSettings:
    """Read and check the settings; raises `InvalidConfig`."""
    return load_settings(path, RouterSettings, _check)


def _check(cfg: RouterSettings, checks: Checks) -> None:
    checks.nonempty("name", cfg.name)
    checks.nonempty("hall", cfg.hall)
    checks.address("listen", cfg.listen)
    checks.address("statsd.address", cfg.statsd.address, required=False)
    checks.log(cfg.log)
    checks.positive("schedulers", len(cfg.schedulers))
    for index, address in enumerate(cfg.schedulers):
        checks.address(f"schedulers[{index}]", address)
    for name in Limits.__slots__:
        checks.positive(f"limits.{name}", getattr(cfg.limits, name))
    for name in Timing.__slots__:
        checks.positive(f"timing.{name}", getattr(cfg.timing, name))
