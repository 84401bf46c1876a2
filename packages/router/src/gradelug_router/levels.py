"""What the router notes of each request for the service-level report."""

from __future__ import annotations

import json
import typing as t

from gradelug_config import AdapterKey, Catalog
from gradelug_config.model import Caller
from gradelug_objectives import Limits, Served, Window


class Levels:
    """Windows per objective of the configuration.

    Parameters
    ----------
    wall : callable
        Wall-clock time in seconds: windows of several routers are joined by the minute.
    """

    __slots__ = ("_started_at", "_wall", "_windows")

    def __init__(self, wall: t.Callable[[], float]) -> None:
        self._wall = wall
        self._started_at = wall()
        self._windows: dict[str, Window] = {}

    def note(self, catalog: Catalog, caller: Caller, key: AdapterKey, served: Served) -> None:
        """Count a request towards every objective that it matches."""
        now = self._wall()
        for objective in catalog.objectives_of(caller, key):
            limits = Limits(
                objective.first_token_s, objective.between_tokens_s, objective.load_stall_s
            )
            window = self._windows.get(objective.name)
            if window is None or window.limits != limits:
                window = self._windows[objective.name] = Window(limits)
            window.note(served, now)

    def encode(self, router: str) -> bytes:
        """Return everything as JSON."""
        data = {
            "router": router,
            "since": self._started_at,
            "now": self._wall(),
            "objectives": {name: window.to_plain() for name, window in self._windows.items()},
        }
        return json.dumps(data).encode()
