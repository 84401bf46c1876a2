"""Counts how callers' connections ended, and logs those that ended on an unanswered request."""

from __future__ import annotations

import logbook
from gradelug_http import ConnectionEnd

from .metrics import GatewayMetrics
from .model import FleetState

log = logbook.Logger("connections")


class ConnectionLog:
    """Records the ends of callers' connections.

    Parameters
    ----------
    meters : GatewayMetrics
        Metrics in which they are counted.
    state : FleetState
        Tells the configuration in force.
    """

    __slots__ = ("_meters", "_state")

    def __init__(self, meters: GatewayMetrics, state: FleetState) -> None:
        self._meters = meters
        self._state = state

    def note_end(self, end: ConnectionEnd) -> None:
        """Record the end of a connection."""
        self._meters.count_connection_end(end.cause.value, end.request.value)
        if not end.is_unanswered:
            return
        snapshot = self._state.snapshot
        log.info(
            "connection ended on a request without a whole answer",
            cause=end.cause.value,
            request=end.request.value,
            body_bytes=end.body_bytes,
            ahead_bytes=end.ahead_bytes,
            open_s=round(end.open_s, 3),
            quiet_s=round(end.quiet_s, 3),
            answered=end.answered,
            config=snapshot.version if snapshot is not None else None,
        )
