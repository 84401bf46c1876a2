"""Which replicas an instance can connect to by itself, from its connection attempts.

Load pattern: some instances, or all of a hall, are cut off from all replicas for seconds, while
callers, the platform store and other instances still reach them. Their connection attempts hang or
are refused. Meanwhile single replicas crash, and all instances fail to connect to these.
"""

from __future__ import annotations

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


@dataclass(slots=True)
class _Path:
    """Outcomes of the attempts to connect to one address."""

    lost_since: float = math.inf
    """When the first of the latest failed attempts ended; infinite if the last one succeeded."""
    tried_at: float = -math.inf

    @property
    def is_lost(self) -> bool:
        return self.lost_since < math.inf


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
    """

    known: int
    tried: int
    lost: int

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

    def is_lost(self, address: str) -> bool:
        """Return whether the last attempt to connect directly failed."""
        path = self._paths.get(address)
        return path is not None and path.is_lost

    def summary(self, addresses: t.Collection[str], now: float) -> PathSummary:
        """Return the state of the paths to the replicas of a service."""
        tried = lost = 0
        for address in addresses:
            path = self._paths.get(address)
            if path is None:
                continue
            lost += path.is_lost
            tried += path.is_lost or now - path.tried_at < ATTEMPT_VALIDITY_S
        return PathSummary(len(addresses), tried, lost)

    def forget_gone(self, known: t.Container[str]) -> None:
        """Drop the paths to addresses that no replica has any more."""
        for address in [address for address in self._paths if address not in known]:
            del self._paths[address]
