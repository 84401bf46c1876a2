"""Settings of the daemon."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

OWN_MB = 64.0
"""A process with its libraries and what it knows of a fleet: 26 to 50 MB at 9 to 195 instances."""
UNREAD_MEMORY_SHARE = 0.3
"""Part of the rest that is kept for callers that read slowly: what has arrived and waits for this
process to read it counts as its memory too, and cannot be bounded from here."""
MIN_UNREAD_MB = 4.0
PLANNER_CORES = 1.0
PLANNER_LINK_MBPS = 50.0
"""Reckoned, not measured: a planner that tells 75 gateways all holdings sends some 26 Mbit/s."""


class Feature(Enum):
    """Parts that can be switched off; without one the daemon does without its decisions."""

    URGENT_QUOTAS = "urgent-quotas"
    """What is left of a quota goes to the urgent first."""
    ENGINE_ROOM = "engine-room"
    """Engines are chosen by their slots, their memory and their own speed."""
    FAIR_SHARES = "fair-shares"
    """Where engines are full, who used more than its share goes after the others."""
    SHARED_HEALTH = "shared-health"
    """What gateways find of replicas is told to all of them."""
    LASTING_RUNS = "lasting-runs"
    """Runs go on when their connection or their engine is lost."""
    SCOPED_NEWS = "scoped-news"
    """Gateways are told of what they use alone."""
    REFILL = "refill"
    """What an engine held alone is brought elsewhere when the engine is lost."""
    EARLY_DOOR = "early-door"
    """Callers find an open door before the program behind it is read."""
    POISON_GUARD = "poison-guard"
    """Requests that end the replicas which run them are not sent to further ones."""
    REPLICA_LIMITS = "replica-limits"
    """Replicas that name a limit get no more from all gateways together."""
    SAID_DEPARTURES = "said-departures"
    """A replica whose answers say that it leaves gets no new requests."""
    REPLICA_RESTS = "replica-rests"
    """A replica that asks for rest gets nothing until it is over."""
    KEPT_PARTS = "kept-parts"
    """Engines are chosen by what they keep of prompts."""


@dataclass(slots=True, frozen=True)
class Addresses:
    """Where the daemon listens, as ``IP:port``.

    Parameters
    ----------
    callers : str
        For callers' requests.
    status : str
        For readiness and metrics.
    peers : str
        For other instances.
    """

    callers: str
    status: str
    peers: str


@dataclass(slots=True, frozen=True)
class Bounds:
    """What the operators of the fleet ask for.

    Parameters
    ----------
    grace_s : float
        From a request to stop until the process is killed, in seconds.
    holder_s : float
        Two holders of a duty must not act within this time of each other, in seconds.
    fenced : bool
        Whether engines check fencing tokens.
    retry_ratio : float
        Repeated sendings that all instances together may make per request.
    retry_extra : float
        Repeated sendings beyond that in a window.
    retry_window_s : float
        Length of the window, in seconds.
    load_window_s, load_overage : float
        Window in which loads of base models are counted, in seconds, and the factor by which
        they may exceed the weight store's rate.
    forgets_idle : bool
        Whether replicas forget idle connections without closing them.
    notice_s : float
        A change on the platform must be acted on within this time, in seconds.
    revoke_s : float
        No instance runs a request that was sent so long after its key was taken away, in seconds;
        infinite where the time for changes is all that binds.
    quota_window_s : float
        Length of the windows in which quotas of organisations are counted, in seconds.
    drain_s : float
        How long a replica goes on after it was said to be leaving, in seconds.
    version_s : float
        No request begins under an older version of its adapter so long after a newer one was named,
        in seconds.
    """

    grace_s: float = 8.0
    holder_s: float = 3.0
    fenced: bool = False
    retry_ratio: float = 0.2
    retry_extra: float = 10.0
    retry_window_s: float = 10.0
    load_window_s: float = 5.0
    load_overage: float = 1.0
    forgets_idle: bool = False
    notice_s: float = 2.0
    revoke_s: float = math.inf
    quota_window_s: float = 8.0
    drain_s: float = 2.0
    version_s: float = math.inf


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """What an instance must know of itself.

    Parameters
    ----------
    name, hall : str
        The instance, and where it stands.
    first_start : bool
        Whether the whole system starts for the first time.
    cores : float
        Processor time that it has, in cores.
    link_mbps : float
        Bandwidth of its link, in megabits a second.
    memory_mb : float
        Memory that the process may take, in megabytes.
    features : frozenset of Feature
        Those that are switched on.
    """

    name: str
    hall: str
    addresses: Addresses
    bounds: Bounds
    first_start: bool = False
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 1_000.0
    features: frozenset[Feature] = frozenset(Feature)

    @property
    def unread_bytes(self) -> int:
        """How much may be kept for callers that read slowly, in bytes."""
        return round(
            max(MIN_UNREAD_MB, UNREAD_MEMORY_SHARE * (self.memory_mb - OWN_MB)) * 1_000_000
        )

    @property
    def strength(self) -> float:
        """How well the instance can carry more than its own requests; from 1 on, well."""
        return min(self.cores / PLANNER_CORES, self.link_mbps / PLANNER_LINK_MBPS)
