"""This instance's share of the connections that each replica takes."""

from __future__ import annotations

import typing as t

from gradelug_coordination.rendezvous import score
from gradelug_http.pool import MOST_IDLE
from gradelug_policy.connections import idle_share

from .budgets import DEFAULT_GATEWAY_COUNT
from .model import FleetState

SCORES = 2.0**64


class IdleConnections:
    """Tells how many idle connections to an address are kept here.

    Parameters
    ----------
    instance : str
        This instance.
    state : FleetState
        What the platform has told.
    instances : callable
        Returns how many instances a planner told of last, 0 before the first.
    """

    __slots__ = ("_instance", "_instances", "_known", "_known_for", "_state")

    def __init__(self, instance: str, state: FleetState, instances: t.Callable[[], int]) -> None:
        self._instance = instance
        self._state = state
        self._instances = instances
        self._known: dict[str, int] = {}
        """Connections that the replica at each address takes."""
        self._known_for = (-1, -1)
        """The state's change and configuration for which that was looked up."""

    def __call__(self, address: str) -> int:
        """Return how many are kept to an address."""
        most = self._look_up().get(address)
        if most is None:
            return MOST_IDLE
        draw = score(self._instance, address) / SCORES
        return idle_share(most, self._instances() or DEFAULT_GATEWAY_COUNT, draw)

    def _look_up(self) -> dict[str, int]:
        snapshot = self._state.snapshot
        seen = (self._state.change, snapshot.version if snapshot is not None else -1)
        if seen != self._known_for:
            self._known_for = seen
            services = snapshot.services if snapshot is not None else {}
            self._known = {
                rep.address: services[rep.service].max_conns
                for rep in self._state.replicas.values()
                if rep.service in services
            }
        return self._known
