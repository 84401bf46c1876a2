"""Limits of idle connections per replica, as this instance's share of the replica's maximum."""

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

    __slots__ = ("_instance", "_instances", "_max_conns", "_max_conns_key", "_state")

    def __init__(self, instance: str, state: FleetState, instances: t.Callable[[], int]) -> None:
        self._instance = instance
        self._state = state
        self._instances = instances
        self._max_conns: dict[str, int] = {}
        """Maximum connections of the replica at each address."""
        self._max_conns_key = (-1, -1)
        """Change counter and configuration version that `_max_conns` was built from."""

    def __call__(self, address: str) -> int:
        """Return the maximum number of idle connections to an address."""
        max_conns = self._max_conns_by_address().get(address)
        if max_conns is None:
            return MOST_IDLE
        draw = score(self._instance, address) / SCORE_RANGE
        return max_idle_connections(max_conns, self._instances() or DEFAULT_GATEWAY_COUNT, draw)

    def _max_conns_by_address(self) -> dict[str, int]:
        snapshot = self._state.snapshot
        key = (self._state.change, snapshot.version if snapshot is not None else -1)
        if key != self._max_conns_key:
            self._max_conns_key = key
            services = snapshot.services if snapshot is not None else {}
            self._max_conns = {
                rep.address: services[rep.service].max_conns
                for rep in self._state.replicas.values()
                if rep.service in services
            }
        return self._max_conns
