"""How long the streams of a service may pause, from the routes that lead to it."""

from __future__ import annotations

from .model import FleetState, Snapshot


class ServiceGaps:
    """Finds the bound on pauses of each service.

    Parameters
    ----------
    state : FleetState
        What the platform has told.
    """

    __slots__ = ("_gaps", "_seen", "_state")

    def __init__(self, state: FleetState) -> None:
        self._state = state
        self._seen: Snapshot | None = None
        self._gaps: dict[str, float] = {}

    def of(self, service: str) -> float:
        """Return the shortest bound of all routes to a service, in seconds; 0 without any."""
        if self._seen is not self._state.snapshot:
            self._seen = self._state.snapshot
            self._gaps = _gaps(self._seen) if self._seen is not None else {}
        return self._gaps.get(service, 0.0)


def _gaps(snapshot: Snapshot) -> dict[str, float]:
    found: dict[str, float] = {}
    for route in snapshot.routes:
        if not route.streaming:
            continue
        for share in route.shares:
            known = found.get(share.service, route.gap_s)
            found[share.service] = min(known, route.gap_s)
    return found
