"""Time from the start of an instance until it has each part of the state that it needs to serve.

The daemon runs it once after its start; metrics and log lines show the times.
"""

from __future__ import annotations

import asyncio
import typing as t
from enum import Enum

import logbook
from gradelug_coordination import Mirror

from .directory import Directory
from .model import FleetState

log = logbook.Logger("standing")
POLL_INTERVAL_S = 0.02
"""Interval at which parts are checked, in seconds."""
MAX_WATCH_S = 60.0
"""Time after the start when checking ends, in seconds; other metrics show what is missing later."""


class StartupPart(Enum):
    """A part of the state that an instance needs to serve."""

    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    """All entries of the platform store."""
    LEADER = "leader"
    """Address of each service's planner."""
    HOLDINGS = "holdings"
    """Locations of weights, reported by a planner or by replicas."""
    LOADS = "loads"
    """Load of the engines, reported by a planner."""


class StartupProgress:
    """Records when each part of the state became available.

    Parameters
    ----------
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    checks : mapping of StartupPart to callable
        Returns for each part whether it is available.
    """

    __slots__ = ("_clock", "_checks", "_started_at", "_missing_s")

    def __init__(
        self, clock: t.Callable[[], float], checks: t.Mapping[StartupPart, t.Callable[[], bool]]
    ) -> None:
        self._clock = clock
        self._checks = checks
        self._started_at = clock()
        self._missing_s: dict[StartupPart, float] = {}

    @property
    def is_complete(self) -> bool:
        """Whether every part has been available."""
        return len(self._missing_s) == len(self._checks)

    def missing_s(self, part: StartupPart) -> float:
        """Return how long after the start a part was missing, in seconds.

        For a part that is still missing, the time since the start.
        """
        known_s = self._missing_s.get(part)
        return known_s if known_s is not None else self._clock() - self._started_at

    def poll(self) -> None:
        """Record and log the parts that became available since the last call."""
        for part, is_known in self._checks.items():
            if part in self._missing_s or not is_known():
                continue
            after_s = self._missing_s[part] = self._clock() - self._started_at
            log.info("part known", part=part.value, after_s=round(after_s, 3))

    async def run(self) -> None:
        """Check until all parts are available or the time limit has passed."""
        until = self._started_at + MAX_WATCH_S
        while not self.is_complete and self._clock() < until:
            self.poll()
            await asyncio.sleep(POLL_INTERVAL_S)


def startup_checks(
    state: FleetState, mirror: Mirror, directory: Directory, services: t.Collection[str]
) -> dict[StartupPart, t.Callable[[], bool]]:
    """Return a check for each part of the state that returns whether it is available.

    Parameters
    ----------
    state : FleetState
        View of replicas and configuration, kept up to date by a feed.
    mirror : Mirror
        Local copy of the store.
    directory : Directory
        Addresses of planners and the links to them.
    services : collection of str
        Services that have planners; filled in once the configuration is known.
    """

    def has_config() -> bool:
        return state.snapshot is not None

    def has_planners() -> bool:
        return has_config() and all(directory.newest_planner(name) is not None for name in services)

    def is_followed() -> bool:
        return has_config() and all(directory.is_connected(name) for name in services)

    def has_holdings() -> bool:
        return is_followed() or any(rep.holdings for rep in state.replicas.values())

    return {
        StartupPart.CONFIGURATION: has_config,
        StartupPart.REPLICAS: lambda: mirror.revision > 0,
        StartupPart.LEADER: has_planners,
        StartupPart.HOLDINGS: has_holdings,
        StartupPart.LOADS: is_followed,
    }
