"""Settings of the gateway daemon, as the platform's adapter passes them at startup."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

BASE_MEMORY_MB = 64.0
"""Memory of a process with its libraries and fleet state: 26 to 50 MB at 9 to 195 instances."""
UNREAD_MEMORY_SHARE = 0.3
"""Share of the remaining memory for responses that slow callers have not read. Data in socket
receive buffers also counts as memory of this process and cannot be limited here."""
MIN_UNREAD_MB = 4.0
PLANNER_CORES = 1.0
PLANNER_LINK_MBPS = 50.0
"""A planner that sends all holdings to 75 gateways needs about 26 Mbit/s."""


class Feature(Enum):
    """Optional features; the daemon works without the decisions of a disabled one."""

    URGENT_QUOTAS = "urgent-quotas"
    """The remainder of a quota is granted to more urgent requests first."""
    ENGINE_ROOM = "engine-room"
    """Engines are selected by free slots, memory and individual speed."""
    FAIR_SHARES = "fair-shares"
    """When engines are full, organisations above their fair share are queued behind the others."""
    SHARED_HEALTH = "shared-health"
    """Gateways share their health observations of replicas."""
    LASTING_RUNS = "lasting-runs"
    """Runs are resumed when their connection or their engine is lost."""
    SCOPED_NEWS = "scoped-news"
    """Gateways receive updates only for the weights that they use."""
    REFILL = "refill"
    """Weights that only a lost engine held are loaded on other engines."""
    EARLY_DOOR = "early-door"
    """The socket for callers listens before the rest of the program is imported."""
    POISON_GUARD = "poison-guard"
    """Requests that crash the replicas which run them are not sent to other replicas."""
    REPLICA_LIMITS = "replica-limits"
    """All gateways together respect the request rate limits that replicas announce."""
    SAID_DEPARTURES = "said-departures"
    """A replica that announces its removal in a response gets no new requests."""
    REPLICA_RESTS = "replica-rests"
    """A replica that requests a backoff gets no requests until it ends."""
    PEER_TUNNELS = "peer-tunnels"
    """Instances that lose their links to replicas connect to them through other instances."""
    BRITTLE_REPLICAS = "brittle-replicas"
    """Replicas that fall over when they reject many requests get fewer than they can serve."""
    STREAM_ORIGINS = "stream-origins"
    """Resumed streams go on at the software version that began them, at any instance."""
    KEPT_PARTS = "kept-parts"
    """Engines are selected by the prompt prefixes in their caches."""


@dataclass(slots=True, frozen=True)
class Addresses:
    """Listen addresses of the daemon, as ``IP:port``.

    Parameters
    ----------
    callers : str
        Address for requests of callers.
    status : str
        Address for readiness checks and metrics.
    peers : str
        Address for RPCs of other instances.
    tunnels : str
        Address for tunnels of other instances; empty to open none for them.
    """

    callers: str
    status: str
    peers: str
    tunnels: str = ""


@dataclass(slots=True, frozen=True)
class Bounds:
    """Limits and guarantees that the operators of the fleet require.

    Parameters
    ----------
    grace_s : float
        Time from a stop signal until the process is killed, in seconds.
    holder_s : float
        Minimum time between actions of two successive holders of a duty, in seconds.
    fenced : bool
        Whether engines check fencing tokens.
    retry_ratio : float
        Retries per request that all instances together may make.
    retry_extra : float
        Additional retries per window.
    retry_window_s : float
        Length of the retry window, in seconds.
    load_window_s, load_overage : float
        Window in which loads of base models are counted, in seconds, and the factor by which
        they may exceed the rate of the weight store.
    forgets_idle : bool
        Whether replicas drop idle connections without closing them.
    notice_s : float
        Maximum time from a change on the platform until it takes effect, in seconds.
    revoke_s : float
        Maximum time from the revocation of a key until its requests are rejected everywhere, in
        seconds; infinite if only `notice_s` applies.
    quota_window_s : float
        Length of the windows in which quotas of organisations are counted, in seconds.
    drain_s : float
        Time for which a replica runs on after its removal was announced, in seconds.
    contact_s : float
        Time after the end of an outage or partition for which an instance may act on what it knew
        before, in seconds.
    version_s : float
        Maximum time after the announcement of a newer adapter version in which requests may still
        start under an older one, in seconds.
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
    contact_s: float = 3.0
    version_s: float = math.inf


@dataclass(slots=True, frozen=True)
class GatewaySettings:
    """Settings of one instance.

    Parameters
    ----------
    name, hall : str
        Name of the instance, and the hall that it is in.
    addresses : Addresses
        Listen addresses.
    bounds : Bounds
        Limits and guarantees that the operators require.
    first_start : bool
        Whether the whole system is being started for the first time.
    cores : float
        CPU capacity of the instance, in cores.
    link_mbps : float
        Bandwidth of its network link, in megabits per second.
    memory_mb : float
        Memory limit of the process, in megabytes.
    max_fds : int
        Maximum number of open descriptors; 0 if only the limit of the process counts.
    features : frozenset of Feature
        Enabled features.
    """

    name: str
    hall: str
    addresses: Addresses
    bounds: Bounds
    first_start: bool = False
    cores: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 1_000.0
    max_fds: int = 0
    features: frozenset[Feature] = frozenset(Feature)

    @property
    def unread_bytes(self) -> int:
        """Maximum size of responses buffered for slow callers, in bytes."""
        return round(
            max(MIN_UNREAD_MB, UNREAD_MEMORY_SHARE * (self.memory_mb - BASE_MEMORY_MB)) * 1_000_000
        )

    @property
    def strength(self) -> float:
        """Capacity of the instance for planning; 1 or more is sufficient."""
        return min(self.cores / PLANNER_CORES, self.link_mbps / PLANNER_LINK_MBPS)
