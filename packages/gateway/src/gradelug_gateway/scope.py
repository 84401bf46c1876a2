"""Weights that each gateway uses, which limit the state updates sent to it in a large fleet.

A gateway uses weights that it requested within the retention time, and weights of its active
requests.
"""

from __future__ import annotations

import typing as t

from .model import AdapterKey

SCOPE_RETENTION_S = 10.0
"""Retention of weights after the last request for them, in seconds. Locations of weights requested
every few seconds stay known, so that a request can be placed while no planner responds."""
MAX_SCOPE_KEYS = 1024
"""Maximum number of weights in one gateway's scope: 27 requests a second for distinct weights
amount to 270 within `SCOPE_RETENTION_S`."""


class _GatewayScope:
    __slots__ = ("runs", "used_at")

    def __init__(self) -> None:
        self.used_at: dict[AdapterKey, float] = {}
        """Time of the last use by weights, oldest first, in seconds of the runtime's clock."""
        self.runs: dict[AdapterKey, set[str]] = {}
        """Names of replicas with active requests, by weights."""


class Scopes:
    """Weights used by each gateway, and gateways by weights; gateways are identified by number."""

    __slots__ = ("_gateways", "_watchers")

    def __init__(self) -> None:
        self._gateways: dict[int, _GatewayScope] = {}
        self._watchers: dict[AdapterKey, dict[int, None]] = {}

    def note(self, number: int, key: AdapterKey, now: float) -> bool:
        """Record that a gateway uses weights; return whether they are new in its scope."""
        gateway = self._gateways.setdefault(number, _GatewayScope())
        is_new = gateway.used_at.pop(key, None) is None
        gateway.used_at[key] = now
        if is_new:
            self._watchers.setdefault(key, {})[number] = None
        return is_new

    def note_run(self, number: int, key: AdapterKey, replica: str, active: int, now: float) -> bool:
        """Record a replica's active requests for weights; return whether the weights are new."""
        is_new = self.note(number, key, now)
        runs = self._gateways[number].runs
        if active:
            runs.setdefault(key, set()).add(replica)
        elif key in runs:
            runs[key].discard(replica)
            if not runs[key]:
                del runs[key]
        return is_new

    def used_keys(self, number: int) -> t.KeysView[AdapterKey]:
        """Return the weights that a gateway uses."""
        gateway = self._gateways.get(number)
        return gateway.used_at.keys() if gateway is not None else {}.keys()

    def watchers(self, key: AdapterKey) -> t.Collection[int]:
        """Return the numbers of the gateways that use weights."""
        return self._watchers.get(key, ())

    def expire(self, number: int, now: float) -> list[AdapterKey]:
        """Remove and return the weights that have left a gateway's scope.

        The running time grows with the weights removed and with those whose requests run for longer
        than `SCOPE_RETENTION_S`.
        """
        gateway = self._gateways.get(number)
        if gateway is None:
            return []
        dropped: list[AdapterKey] = []
        used_at = gateway.used_at
        for _ in range(len(used_at)):
            key = next(iter(used_at))
            if now - used_at[key] < SCOPE_RETENTION_S and len(used_at) <= MAX_SCOPE_KEYS:
                break
            del used_at[key]
            if key in gateway.runs:
                used_at[key] = now
                continue
            self._unwatch(number, key)
            dropped.append(key)
        return dropped

    def leave(self, number: int) -> None:
        """Remove a gateway."""
        gateway = self._gateways.pop(number, None)
        for key in gateway.used_at if gateway is not None else ():
            self._unwatch(number, key)

    def _unwatch(self, number: int, key: AdapterKey) -> None:
        watchers = self._watchers[key]
        del watchers[number]
        if not watchers:
            del self._watchers[key]
