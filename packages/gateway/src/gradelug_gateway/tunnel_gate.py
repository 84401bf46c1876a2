"""Decides which tunnels this instance opens for its peers."""

from __future__ import annotations

from gradelug_http import TunnelStatus

from .link_monitor import LinkMonitor
from .model import FleetState
from .tunnel_key import TunnelKey


class TunnelGate:
    """Admits peers to the replicas that this instance reaches; implements `TunnelPolicy`.

    Connections of a tunnel are always direct, so that a request passes through one peer at most.

    Parameters
    ----------
    state : FleetState
        Known replicas; tunnels to other addresses are refused.
    monitor : LinkMonitor
        Replicas that this instance can connect to.
    key : TunnelKey
        Authenticates peers.
    """

    __slots__ = ("_key", "_monitor", "_state")

    def __init__(self, state: FleetState, monitor: LinkMonitor, key: TunnelKey) -> None:
        self._state = state
        self._monitor = monitor
        self._key = key

    def check(self, target: str, key: bytes) -> TunnelStatus:
        """Return `TunnelStatus.OPEN` if a peer with this key may reach a replica through here."""
        if not self._key.matches(key):
            return TunnelStatus.UNAUTHENTICATED
        if not any(rep.address == target for rep in self._state.replicas.values()):
            return TunnelStatus.FORBIDDEN
        if self._monitor.paths.is_bypassed(target):
            return TunnelStatus.UNAVAILABLE
        return TunnelStatus.OPEN

    def note(self, target: str, exc: Exception | None) -> None:
        """Record the outcome of a connection attempt to a replica."""
        self._monitor.note(target, exc)
