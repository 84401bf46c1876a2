"""Which replicas an instance can connect to by itself, from its connection attempts.

Load pattern: some instances, or all of a hall, are cut off from all replicas for seconds, while
callers, the platform store and other instances still reach them. Their connection attempts hang or
are refused. Meanwhile single replicas crash, and all instances fail to connect to these.
"""

from __future__ import annotations

import enum
import math
import typing as t
from dataclasses import dataclass

CUT_OFF_FRACTION = 0.5
"""An instance counts as cut off from a service if it has lost more than this fraction of the
replicas that it tried to connect to."""
MIN_LOST_REPLICAS = 2
"""A service with more replicas counts as cut off only if this many are lost: single replicas
crash."""
ATTEMPT_VALIDITY_S = 4.0
"""Time for which the outcome of a connection attempt is evidence, in seconds."""
PEER_VALIDITY_S = 0.5
"""Time for which a peer's failure to connect is evidence, in seconds: the peer may have lost its
own links and not know it yet."""
PROBE_INTERVAL_S = 0.5
"""Interval of direct connection attempts to a replica whose last one failed, in seconds."""


class PeerOutcome(enum.Enum):
    """Outcome of a connection attempt of a peer to a replica."""

    CONNECTED = "connected"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"


@dataclass(slots=True)
class _Path:
    """Outcomes of the attempts to connect to one address."""

    lost_since: float = math.inf
    """When the first of the latest failed attempts ended; infinite if the last one succeeded."""
    tried_at: float = -math.inf
    probed_at: float = -math.inf
    peer_outcome: PeerOutcome | None = None
    peer_tried_at: float = -math.inf

    @property
    def is_lost(self) -> bool:
        return self.lost_since < math.inf

    @property
    def is_bypassed(self) -> bool:
        """Whether peers connect to the replica although this instance cannot."""
        return self.is_lost and self.peer_outcome is PeerOutcome.CONNECTED

    def recent_peer_outcome(self, now: float) -> PeerOutcome | None:
        is_recent = now - self.peer_tried_at < PEER_VALIDITY_S
        return self.peer_outcome if is_recent else None


class PathSummary(t.NamedTuple):
    """State of the direct paths to the replicas of one service.

    Parameters
    ----------
    known : int
        Number of replicas.
    tried : int
        Number of replicas with a recent connection attempt, or whose last one failed.
    lost : int
        Number of replicas whose last connection attempt failed.
    bypassed : int
        Number of these to which a peer could connect.
    """

    known: int
    tried: int
    lost: int
    bypassed: int = 0

    @property
    def is_cut_off(self) -> bool:
        """Whether this instance lost its own links, and not the replicas their processes."""
        return self.is_mostly_lost and 2 * self.bypassed >= self.lost

    @property
    def is_mostly_lost(self) -> bool:
        """Whether this instance reaches hardly any of the replicas that it tried."""
        if self.lost < min(MIN_LOST_REPLICAS, self.known):
            return False
        return self.lost > CUT_OFF_FRACTION * self.tried


class ReplicaPaths:
    """Direct paths of this instance to replicas, by address."""

    __slots__ = ("_paths",)

    def __init__(self) -> None:
        self._paths: dict[str, _Path] = {}

    def note_direct(self, address: str, connected: bool, now: float) -> None:
        """Record the outcome of an attempt to connect directly.

        Parameters
        ----------
        address : str
            ``IP:port`` of the replica.
        connected : bool
            Whether the connection was established.
        now : float
            Time of the runtime's clock, in seconds.
        """
        path = self._paths.setdefault(address, _Path())
        path.tried_at = now
        path.lost_since = math.inf if connected else min(path.lost_since, now)
        if connected:
            path.peer_outcome = None

    def note_peer(self, address: str, outcome: PeerOutcome, now: float) -> None:
        """Record the outcome of a peer's attempt to connect to a replica."""
        path = self._paths.setdefault(address, _Path())
        path.peer_outcome, path.peer_tried_at = outcome, now

    def is_bypassed(self, address: str) -> bool:
        """Return whether peers connect to a replica although this instance cannot."""
        path = self._paths.get(address)
        return path is not None and path.is_bypassed

    def peer_outcome(self, address: str, now: float) -> PeerOutcome | None:
        """Return the outcome of a peer's recent attempt; None if there is none."""
        path = self._paths.get(address)
        return path.recent_peer_outcome(now) if path is not None else None

    def take_due_probes(
        self, addresses: t.Collection[str], now: float, max_count: int
    ) -> list[str]:
        """Return the addresses of a service to be probed now, and record the probes.

        These are the ones whose last direct attempt failed. If a peer connected to one of them, the
        others are probed as well: this instance may have lost all of its links.

        Parameters
        ----------
        addresses : collection of str
            Addresses of the service's replicas.
        now : float
            Time of the runtime's clock, in seconds.
        max_count : int
            Maximum number of addresses, the longest unprobed first.
        """
        known = [(address, self._paths.get(address) or _Path()) for address in addresses]
        is_suspected = any(path.is_bypassed for _, path in known)
        due = sorted(
            (path.probed_at, address)
            for address, path in known
            if now - path.probed_at >= PROBE_INTERVAL_S
            and (path.is_lost or is_suspected and now - path.tried_at >= ATTEMPT_VALIDITY_S)
        )
        chosen = [address for _, address in due[:max_count]]
        for address in chosen:
            self._paths.setdefault(address, _Path()).probed_at = now
        return chosen

    def is_lost(self, address: str) -> bool:
        """Return whether the last attempt to connect directly failed."""
        path = self._paths.get(address)
        return path is not None and path.is_lost

    @property
    def has_lost(self) -> bool:
        """Whether the last direct attempt to any address failed."""
        return any(path.is_lost for path in self._paths.values())

    def summary(self, addresses: t.Collection[str], now: float) -> PathSummary:
        """Return the state of the paths to the replicas of a service."""
        tried = lost = bypassed = 0
        for address in addresses:
            path = self._paths.get(address)
            if path is None:
                continue
            lost += path.is_lost
            bypassed += path.is_bypassed
            tried += path.is_lost or now - path.tried_at < ATTEMPT_VALIDITY_S
        return PathSummary(len(addresses), tried, lost, bypassed)

    def forget_gone(self, known: t.Container[str]) -> None:
        """Drop the paths to addresses that no replica has any more."""
        for address in [address for address in self._paths if address not in known]:
            del self._paths[address]
