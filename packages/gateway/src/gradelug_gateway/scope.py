"""What each gateway uses, so that it is told of that and of nothing else.

A gateway uses weights that it asked for or began to use in the last seconds, and those under which
it runs requests now.
"""

from __future__ import annotations

import typing as t

from .model import AdapterKey

SCOPE_RETENTION_S = 10.0
"""Weights are used for so long after the last request for them: what is asked for every few seconds
stays known, so that a request for it finds its engine also while no planner answers."""
MAX_SCOPE_KEYS = 1024
"""Weights that one gateway is told of at most: 27 requests a second for other weights each in
`SCOPE_RETENTION_S` are 270."""


class _GatewayScope:
    __slots__ = ("runs", "used_at")

    def __init__(self) -> None:
        self.used_at: dict[AdapterKey, float] = {}
        """When weights were used last, those of the longest ago first."""
        self.runs: dict[AdapterKey, set[str]] = {}
        """Replicas on which requests run, by weights."""


class Scopes:
    """What each gateway uses, and who uses what; gateways go by their numbers."""

    __slots__ = ("_gateways", "_watchers")

    def __init__(self) -> None:
        self._gateways: dict[int, _GatewayScope] = {}
        self._watchers: dict[AdapterKey, dict[int, None]] = {}

    def note(self, number: int, key: AdapterKey, now: float) -> bool:
        """Note that a gateway uses weights; tell whether it did not before."""
        gateway = self._gateways.setdefault(number, _GatewayScope())
        is_new = gateway.used_at.pop(key, None) is None
        gateway.used_at[key] = now
        if is_new:
            self._watchers.setdefault(key, {})[number] = None
        return is_new

    def note_run(self, number: int, key: AdapterKey, replica: str, active: int, now: float) -> bool:
        """Note how many requests run under weights; tell whether its gateway did not use them."""
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
        """Return what a gateway uses."""
        gateway = self._gateways.get(number)
        return gateway.used_at.keys() if gateway is not None else {}.keys()

    def watchers(self, key: AdapterKey) -> t.Collection[int]:
        """Return the gateways that use weights."""
        return self._watchers.get(key, ())

    def expire(self, number: int, now: float) -> list[AdapterKey]:
        """Drop and return what a gateway does not use any more.

        Its cost goes with what is dropped and with what runs for longer than `SCOPE_RETENTION_S`.
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
        """Forget a gateway."""
        gateway = self._gateways.pop(number, None)
        for key in gateway.used_at if gateway is not None else ():
            self._unwatch(number, key)

    def _unwatch(self, number: int, key: AdapterKey) -> None:
        watchers = self._watchers[key]
        del watchers[number]
        if not watchers:
            del self._watchers[key]
