"""Assembles the paths of one instance to replicas: its own links, and tunnels through peers."""

from __future__ import annotations

import random
import typing as t

from gradelug_coordination import KeyValue, Mirror
from gradelug_http import Connect, TunnelServer

from .link_monitor import LinkMonitor
from .model import FleetState
from .replica_dialer import ReplicaDialer
from .tunnel_gate import TunnelGate
from .tunnel_key import TunnelKey
from .tunnel_peers import TunnelPeerReporter, TunnelPeers

MAX_TUNNELS = 512
"""Maximum number of tunnels open for peers: they take up to 16 MB of buffers and 1,024 of some
4,000 descriptors."""


class ReplicaAccess:
    """Dialer for this instance's connections to replicas, and the tunnel server for its peers.

    Parameters
    ----------
    address, hall : str
        Tunnel address of this instance, empty for none, and its hall.
    kv : KeyValue
        The platform's key-value service.
    mirror : Mirror
        Local copy of its entries.
    state : FleetState
        Known replicas.
    connect : callable
        Opens TCP connections.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    may_write_key : callable
        Returns whether this instance is to write the key of tunnels if it is missing.
    """

    __slots__ = ("_address", "dialer", "key", "monitor", "peers", "server")

    def __init__(
        self,
        address: str,
        hall: str,
        kv: KeyValue,
        mirror: Mirror,
        state: FleetState,
        connect: Connect,
        clock: t.Callable[[], float],
        may_write_key: t.Callable[[], bool],
    ) -> None:
        self._address = address
        self.monitor = LinkMonitor(state, clock)
        self.key = TunnelKey(kv, mirror, may_write_key)
        rng = random.Random(address)
        self.peers = TunnelPeers(address, hall, clock, rng)
        self.dialer = ReplicaDialer(connect, self.monitor, self.peers, self.key, clock, rng)
        gate = TunnelGate(state, self.monitor, self.key)
        self.server = TunnelServer(gate, connect, MAX_TUNNELS)

    async def start(self) -> None:
        """Open tunnels for peers from now on."""
        if self._address:
            host, _, port = self._address.rpartition(":")
            await self.server.start(host, int(port))

    def reporter(self, service: str) -> TunnelPeerReporter:
        """Return the reporter for the planner of a service."""
        return TunnelPeerReporter(
            service, self._address, self.peers, lambda: bool(self.monitor.cut_off)
        )
