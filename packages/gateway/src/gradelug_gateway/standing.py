"""How long an instance was without each part of what it must know, after its start."""

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
"""A part is seen to be there this late at most."""
MAX_WATCH_S = 60.0
"""What has not come by then is told by other figures."""


class Part(Enum):
    """What an instance must know to serve."""

    CONFIGURATION = "configuration"
    REPLICAS = "replicas"
    """All that the platform's store lists."""
    LEADER = "leader"
    """Where the planner of each service is."""
    HOLDINGS = "holdings"
    """Where weights are, as a planner or replicas tell."""
    LOADS = "loads"
    """What runs where, as a planner tells."""


class Standing:
    """Notes when each part came.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    checks : mapping of Part to callable
        Tells of each part whether it is there.
    """

    __slots__ = ("_clock", "_checks", "_started_at", "_missing_s")

    def __init__(
        self, clock: t.Callable[[], float], checks: t.Mapping[Part, t.Callable[[], bool]]
    ) -> None:
        self._clock = clock
        self._checks = checks
        self._started_at = clock()
        self._missing_s: dict[Part, float] = {}

    @property
    def is_complete(self) -> bool:
        """Whether every part has come."""
        return len(self._missing_s) == len(self._checks)

    def without_s(self, part: Part) -> float:
        """Return how long a part was missing after the start, so far if it is, in seconds."""
        known_s = self._missing_s.get(part)
        return known_s if known_s is not None else self._clock() - self._started_at

    def look(self) -> None:
        """Note the parts that have come."""
        for part, is_known in self._checks.items():
            if part in self._missing_s or not is_known():
                continue
            after_s = self._missing_s[part] = self._clock() - self._started_at
            log.info("part known", part=part.value, after_s=round(after_s, 3))

    async def run(self) -> None:
        """Look until all is there, or has long been missed."""
        until = self._started_at + MAX_WATCH_S
        while not self.is_complete and self._clock() < until:
            self.look()
            await asyncio.sleep(POLL_INTERVAL_S)


def part_looks(
    state: FleetState, mirror: Mirror, directory: Directory, services: t.Collection[str]
) -> dict[Part, t.Callable[[], bool]]:
    """Return how it is seen of each part whether it is there.

    Parameters
    ----------
    state : FleetState
        What the platform has told.
    mirror : Mirror
        Own reading of the store.
    directory : Directory
        The ways to planners.
    services : collection of str
        Those that have planners; filled with the configuration.
    """

    def has_config() -> bool:
        return state.snapshot is not None

    def has_planners() -> bool:
        return has_config() and all(directory.known(name) is not None for name in services)

    def is_followed() -> bool:
        return has_config() and all(directory.is_followed(name) for name in services)

    def has_holdings() -> bool:
        return is_followed() or any(rep.holdings for rep in state.replicas.values())

    return {
        Part.CONFIGURATION: has_config,
        Part.REPLICAS: lambda: mirror.revision > 0,
        Part.LEADER: has_planners,
        Part.HOLDINGS: has_holdings,
        Part.LOADS: is_followed,
    }
