"""Connects to replicas, through a peer if this instance has lost its own link."""

from __future__ import annotations

import asyncio
import functools
import random
import typing as t

import logbook
from gradelug_http import Connect, HttpError, TunnelFailed, TunnelStatus, Wire, open_tunnel
from gradelug_policy.reachability import PeerOutcome

from .connection_race import connect_first
from .link_monitor import LinkMonitor
from .tunnel_key import TunnelKey
from .tunnel_peers import TunnelPeers

log = logbook.Logger("dialer")
PROBE_TICK_S = 0.25
MAX_PROBES_PER_TICK = 16
"""Bound on the direct connection attempts of one tick: they are charged by the replicas."""
PROBE_TIMEOUT_S = 0.35
MAX_COMPARED_REPLICAS = 3
"""Number of other replicas, of the same service and of others, that are tried to find out whether
this instance has its links."""
PEER_OUTCOMES = {
    TunnelStatus.REFUSED: PeerOutcome.REFUSED,
    TunnelStatus.TIMEOUT: PeerOutcome.UNREACHABLE,
}
"""Responses of tunnel servers that concern the replica and not the peer."""


class ReplicaDialer:
    """Opens connections to replicas.

    A direct connection is preferred. While it fails, or takes longer than usual, peers open a
    tunnel; a replica that peers reach and this instance does not is dialled through peers at once.

    Parameters
    ----------
    connect : callable
        Opens a TCP connection.
    monitor : LinkMonitor
        Records which replicas this instance reaches.
    peers : TunnelPeers
        Peers that may open tunnels.
    key : TunnelKey
        Authenticates this instance to them.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    rng : random.Random
        Chooses replicas that are compared.
    """

    __slots__ = (
        "_clock",
        "_connect",
        "_key",
        "_monitor",
        "_peers",
        "_probes",
        "_rng",
        "opened_tunnels",
    )

    def __init__(
        self,
        connect: Connect,
        monitor: LinkMonitor,
        peers: TunnelPeers,
        key: TunnelKey,
        clock: t.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._connect = connect
        self._monitor = monitor
        self._peers = peers
        self._key = key
        self._clock = clock
        self._probes: dict[str, asyncio.Task[None]] = {}
        self.opened_tunnels = 0
        """Connections to replicas opened through peers since the start."""

    async def dial(self, address: str) -> Wire:
        """Connect to a replica.

        Raises
        ------
        ConnectionRefusedError
            If the replica's process has ended: it refuses this instance's connection, and that of
            a peer if peers are known.
        OSError
            If it cannot be reached for another reason.
        """
        direct = functools.partial(self.dial_directly, address)
        tunnels = [
            functools.partial(self._dial_through, peer, address)
            for peer in self._usable_peers(address)
        ]
        is_bypassed = self._monitor.paths.is_bypassed(address)
        wire = await connect_first([*tunnels, direct] if is_bypassed else [direct, *tunnels])
        if wire is None:
            self._raise_unreachable(address)
        if wire.via and not self._monitor.paths.is_lost(address):
            # A single lost packet also makes the direct connection slower than the peer's.
            self.probe(address)
        return wire

    async def dial_directly(self, address: str) -> Wire:
        """Connect to a replica without a peer; raises `OSError`."""
        return await self._monitor.connect(lambda at: self._connect(at, Wire), address)

    async def has_links(self, address: str) -> bool:
        """Return whether this instance connects directly to any replica besides a given one.

        If it does not, it has probably lost its own links. Replicas of other services count as
        well: one request can crash most replicas of its service. True also if there are no others.
        """
        same_service, elsewhere = self._monitor.others(address)
        if not same_service and not elsewhere:
            return True
        compared = [
            *self._rng.sample(same_service, min(MAX_COMPARED_REPLICAS, len(same_service))),
            *self._rng.sample(elsewhere, min(MAX_COMPARED_REPLICAS, len(elsewhere))),
        ]
        attempts = [functools.partial(self.dial_directly, other) for other in compared]
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                wire = await connect_first(attempts)
        except TimeoutError:
            return False
        if wire is not None:
            _abort(wire)
        return wire is not None

    def probe(self, address: str) -> None:
        """Check the path to a replica in the background, unless a check is in progress."""
        if address not in self._probes:
            task = asyncio.get_running_loop().create_task(self._probe(address))
            self._probes[address] = task
            task.add_done_callback(lambda _: self._probes.pop(address, None))

    async def run(self) -> None:
        """Check the paths that were lost, until cancelled."""
        while True:
            await asyncio.sleep(PROBE_TICK_S)
            for address in self._monitor.take_due_probes(MAX_PROBES_PER_TICK):
                self.probe(address)

    def _usable_peers(self, address: str) -> list[str]:
        """Return the peers to try, none if they failed to reach the replica a moment ago."""
        if not self._key.value:
            return []
        outcome = self._monitor.paths.peer_outcome(address, self._clock())
        if outcome in (PeerOutcome.REFUSED, PeerOutcome.UNREACHABLE):
            return []
        return self._peers.choose()

    async def _dial_through(self, peer: str, address: str) -> Wire:
        try:
            wire = await open_tunnel(self._connect, peer, address, self._key.value)
        except TunnelFailed as exc:
            outcome = PEER_OUTCOMES.get(exc.status) if exc.status is not None else None
            if outcome is not None:
                self._monitor.note_peer(address, outcome)
            else:
                self._peers.note_failed(peer, str(exc))
            raise
        self._monitor.note_peer(address, PeerOutcome.CONNECTED)
        self.opened_tunnels += 1
        return wire

    def _raise_unreachable(self, address: str) -> t.NoReturn:
        """Raise the error for a replica that no path leads to."""
        outcome = self._monitor.paths.peer_outcome(address, self._clock())
        is_confirmed = outcome is PeerOutcome.REFUSED or self._peers.is_empty
        if is_confirmed and self._monitor.was_refused(address):
            raise ConnectionRefusedError(f"{address} refused the connection")
        raise OSError(f"no path to {address}")

    async def _probe(self, address: str) -> None:
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_S):
                _abort(await self.dial_directly(address))
            return
        except (OSError, TimeoutError):
            # The monitor has recorded and logged the outcome.
            pass
        for peer in self._usable_peers(address):
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    _abort(await self._dial_through(peer, address))
                return
            except (HttpError, TimeoutError) as exc:
                log.debug("no path through a peer", address=address, why=repr(exc))


def _abort(wire: Wire) -> None:
    if wire.transport is not None:
        wire.transport.abort()
