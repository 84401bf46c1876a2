"""Limits of idle connections per replica, as this instance's share of the replica's maximum.

It also tells the service of a replica by its address, since replicas of one service tend to keep
idle connections for the same time.
"""

from __future__ import annotations

import typing as t

from gradelug_coordination.rendezvous import score
from gradelug_http.pool import MOST_IDLE
from gradelug_policy.connections import max_idle_connections

from .budgets import DEFAULT_GATEWAY_COUNT
from .model import FleetState

SCORE_RANGE = 2.0**64


class IdleConnections:
    """Computes how many idle connections to an address this instance may keep open.

    Parameters
    ----------
    instance : str
        Name of this instance.
    state : FleetState
        Replicas and configuration from the store.
    instances : callable
        Returns the number of instances last reported by a planner, 0 before the first report.
    """

    __slots__ = ("_built_from", "_instance", "_instances", "_max_conns", "_services", "_state")

    def __init__(self, instance: str, state: FleetState, instances: t.Callable[[], int]) -> None:
        self._instance = instance
        self._state = state
        self._instances = instances
        self._max_conns: dict[str, int] = {}
        """Maximum connections of the replica at each address."""
        self._services: dict[str, str] = {}
        """Service of the replica at each address."""
        self._built_from = (-1, -1)
        """Change counter and configuration version that the tables above were built from."""

    def __call__(self, address: str) -> int:
        """Return the maximum number of idle connections to an address."""
        self._update()
        max_conns = self._max_conns.get(address)
        if max_conns is None:
            return MOST_IDLE
        draw = score(self._instance, address) / SCORE_RANGE
        return max_idle_connections(max_conns, self._instances() or DEFAULT_GATEWAY_COUNT, draw)

    def service(self, address: str) -> str:
        """Return the name of the service of the replica at an address; the address if unknown."""
        self._update()
        return self._services.get(address, address)

    def _update(self) -> None:
        """Read replicas and services again if they have changed."""
        snapshot = self._state.snapshot
        key = (self._state.change, snapshot.version if snapshot is not None else -1)
        if key == self._built_from:
            return
        self._built_from = key
        services = snapshot.services if snapshot is not None else {}
        self._services = {rep.address: rep.service for rep in self._state.replicas.values()}
        self._max_conns = {
            address: services[name].max_conns
            for address, name in self._services.items()
            if name in services
        }
