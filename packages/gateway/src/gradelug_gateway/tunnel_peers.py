"""The instances through which this one connects to replicas that it cannot reach itself.

A planner sends each gateway a few of the others; every gateway reports to it whether it has lost
its own links. The list is kept while no planner is connected.
"""

from __future__ import annotations

import random
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_wire import placement_pb2 as pb

if t.TYPE_CHECKING:
    from .follower import Follower

log = logbook.Logger("tunnel peers")
MAX_SENT_PEERS = 6
MIN_SENT_ELSEWHERE = 3
"""Number of peers of other halls in a list, if there are as many: all instances of a hall may lose
their links together."""
PAUSE_S = 1.0
"""Time for which a peer that opened no tunnel is used only if all others failed too, in seconds."""


@dataclass(slots=True, frozen=True)
class TunnelPeer:
    """An instance that opens tunnels.

    Parameters
    ----------
    address : str
        ``IP:port`` of its tunnel server.
    hall : str
        Hall that it is in.
    """

    address: str
    hall: str


class TunnelPeers:
    """Chooses the peers for a connection.

    Parameters
    ----------
    address, hall : str
        Tunnel address and hall of this instance.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    rng : random.Random
        Distributes the tunnels of this instance over its peers.
    """

    __slots__ = ("_address", "_clock", "_hall", "_paused_until", "_peers", "_rng")

    def __init__(
        self, address: str, hall: str, clock: t.Callable[[], float], rng: random.Random
    ) -> None:
        self._address = address
        self._hall = hall
        self._clock = clock
        self._rng = rng
        self._peers: dict[str, tuple[TunnelPeer, ...]] = {}
        """Peers by the service of the planner that sent them."""
        self._paused_until: dict[str, float] = {}

    def replace(self, service: str, peers: t.Iterable[TunnelPeer]) -> None:
        """Replace the peers that the planner of a service sent."""
        self._peers[service] = tuple(peer for peer in peers if peer.address != self._address)
        known = {peer.address for peers in self._peers.values() for peer in peers}
        self._paused_until = {
            address: at for address, at in self._paused_until.items() if address in known
        }

    @property
    def is_empty(self) -> bool:
        """Whether no peers are known."""
        return not any(self._peers.values())

    def choose(self) -> list[str]:
        """Return the addresses of two peers, of which the second is in another hall if possible.

        Traffic between halls is charged, so the first one is in this instance's hall if possible.
        """
        known = {peer.address: peer for peers in self._peers.values() for peer in peers}
        ranked = sorted(known.values(), key=self._rank)
        first = ranked[:1]
        others = [peer for peer in ranked[1:] if peer.hall != first[0].hall] or ranked[1:]
        return [peer.address for peer in (*first, *others[:1])]

    def note_failed(self, address: str, why: str) -> None:
        """Use other peers for a while, because one opened no tunnel."""
        log.info("peer opened no tunnel", peer=address, why=why)
        self._paused_until[address] = self._clock() + PAUSE_S

    def _rank(self, peer: TunnelPeer) -> tuple[float, bool, float]:
        paused_s = max(0.0, self._paused_until.get(peer.address, 0.0) - self._clock())
        return paused_s, peer.hall != self._hall, self._rng.random()


class TunnelPeerReporter:
    """Reports this instance's tunnels to a planner; implements `parts.GatewayExtension`.

    Parameters
    ----------
    service : str
        Service of the planner.
    address : str
        Tunnel address of this instance, empty if it has no tunnel server.
    peers : TunnelPeers
        Receives the peers that the planner sends.
    is_cut_off : callable
        Returns whether this instance has lost its links to the replicas of a service.
    """

    __slots__ = ("_address", "_is_cut_off", "_is_first", "_peers", "_service")

    def __init__(
        self, service: str, address: str, peers: TunnelPeers, is_cut_off: t.Callable[[], bool]
    ) -> None:
        self._service = service
        self._address = address
        self._peers = peers
        self._is_cut_off = is_cut_off
        self._is_first = True

    def begin_stream(self) -> None:
        """Report the address again, because a new planner does not have it."""
        self._is_first = True

    def fill(self, message: pb.FromGateway) -> None:
        """Add whether this instance can open tunnels for others."""
        if self._is_first:
            message.tunnel = self._address
            self._is_first = False
        message.cut_off = self._is_cut_off()

    def take(self, message: pb.FromPlanner) -> None:
        """Replace the peers by those in a message."""
        if message.tunnels:
            found = [TunnelPeer(peer.address, peer.hall) for peer in message.tunnels]
            self._peers.replace(self._service, found)


def select_peers(follower: Follower, others: t.Sequence[Follower]) -> list[pb.TunnelPeer]:
    """Return the gateways that a gateway may use, those of its hall first.

    Parameters
    ----------
    follower : Follower
        The gateway that receives the list.
    others : sequence of Follower
        All other connected gateways.
    """
    able = [other for other in others if other.tunnel and not other.is_cut_off]
    start = follower.number % len(able) if able else 0
    able = able[start:] + able[:start]
    near = [other for other in able if other.hall == follower.hall]
    far = [other for other in able if other.hall != follower.hall]
    near = near[: MAX_SENT_PEERS - min(MIN_SENT_ELSEWHERE, len(far))]
    chosen = (near + far)[:MAX_SENT_PEERS]
    return [pb.TunnelPeer(address=other.tunnel, hall=other.hall) for other in chosen]
