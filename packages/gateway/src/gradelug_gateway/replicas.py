"""Types for replicas, the weights that they hold and the state of the whole fleet."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass, field

from gradelug_policy.departures import DrainingReplicas
from gradelug_policy.run_versions import VersionAnnouncements

from .services import EngineSpec, Snapshot


@dataclass(slots=True, frozen=True, order=True)
class AdapterKey:
    """Identifies the weights of a base model or of one of its adapters."""

    model: str
    adapter: str = ""

    @property
    def text(self) -> str:
        """Name of the weights in logs and in messages between processes."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(slots=True, frozen=True)
class Holding:
    """Weights that a replica holds, and their version; 0 if unknown."""

    key: AdapterKey
    version: int


@dataclass(slots=True, frozen=True)
class Replica:
    """State of a replica, as its own entry in the platform store describes it.

    Parameters
    ----------
    name : str
        Name of the replica.
    service, address, hall : str
        Service that it belongs to, its address as ``IP:port``, and its hall.
    leaving : bool
        Whether it accepts no new requests, as it is shutting down.
    slots : int
        Maximum number of requests it runs concurrently.
    orders : int
        Number of orders that it has accepted.
    holdings : tuple of Holding
        Weights that are loaded.
    cached : frozenset of Holding
        Weights cached in its host memory, which load fast.
    born : int
        Start time of its process, in Unix milliseconds by its own clock; 0 if unknown. It
        identifies an incarnation: a replica that restarts under the same name has lost all earlier
        state. Clocks may step, so incarnations are compared for equality only, not ordered.
    ends_in_s : float
        Time from its shutdown announcement until it is terminated with all that it runs, in
        seconds; infinite if unknown.
    software : str
        Version of its software, empty if unknown. Versions are compared for equality only.
    """

    name: str
    service: str
    address: str
    hall: str
    leaving: bool = False
    slots: int = 1
    orders: int = 0
    holdings: tuple[Holding, ...] = ()
    cached: frozenset[Holding] = frozenset()
    born: int = 0
    ends_in_s: float = math.inf
    software: str = ""


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State that an engine reports on request.

    Parameters
    ----------
    orders : int
        Number of orders that it has accepted.
    holdings, loading : tuple of Holding
        Weights that are loaded, and those being loaded.
    cached : frozenset of Holding
        Weights cached in its host memory.
    busy : bool
        Whether it executes an order.
    born : int
        Identifies its incarnation; 0 if unknown.
    """

    orders: int
    holdings: tuple[Holding, ...]
    loading: tuple[Holding, ...]
    cached: frozenset[Holding]
    busy: bool
    born: int = 0


class ReportedLoad(t.NamedTuple):
    """Reported load of a replica by requests of one instance, or of all instances.

    Parameters
    ----------
    starting, running : int
        Number of requests before and after their first event.
    queued : tuple of int
        Prompt tokens of the requests before their first event, by urgency.
    memory : int
        Memory that all requests occupy when they have ended, in tokens.
    """

    starting: int = 0
    running: int = 0
    queued: tuple[int, ...] = ()
    memory: int = 0


@dataclass(slots=True)
class FleetState:
    """View of configuration, replicas and versions, kept up to date by a feed.

    Parameters
    ----------
    snapshot : Snapshot or None
        Configuration in force; None before the first.
    replicas : dict
        Replicas by name.
    versions : dict
        Newest version of weights that were replaced at least once, by key.
    change : int
        Counter that grows with every change of the replicas.
    departures : DrainingReplicas
        Incarnations of replicas that are shutting down or have ended.
    namings : VersionAnnouncements
        When newest versions were published.
    missing : set of str
        Names of replicas that are in use although an outage of the store removed their entries:
        they have left, or their entries have only expired.
    engine_specs : dict
        Specification of the engines of each service, as of the newest configuration that has the
        service: requests under way are served after it was removed.
    store_read_at : float
        Start of the newest poll of the store that this view includes, in seconds of the runtime's
        clock.
    """

    snapshot: Snapshot | None = None
    replicas: dict[str, Replica] = field(default_factory=dict)
    versions: dict[AdapterKey, int] = field(default_factory=dict)
    change: int = 0
    departures: DrainingReplicas = field(default_factory=DrainingReplicas)
    namings: VersionAnnouncements = field(default_factory=VersionAnnouncements)
    missing: set[str] = field(default_factory=set)
    engine_specs: dict[str, EngineSpec] = field(default_factory=dict)
    store_read_at: float = -math.inf

    def note_engines(self, snapshot: Snapshot) -> None:
        """Record the specifications of engines; drop those of removed services without replicas."""
        serving = {rep.service for rep in self.replicas.values()}
        kept = {name: spec for name, spec in self.engine_specs.items() if name in serving}
        self.engine_specs = kept | {
            name: service.engine
            for name, service in snapshot.services.items()
            if service.engine is not None
        }

    def is_leaving(self, rep: Replica) -> bool:
        """Return whether a replica accepts no new requests or has left, by the newest state."""
        known = self.replicas.get(rep.name)
        if known is None:
            return True
        return known.leaving or self.departures.has(rep.name, rep.born)

    def has_engines(self, service: str) -> bool:
        """Return whether a service's replicas are model engines."""
        found = self.snapshot.services.get(service) if self.snapshot is not None else None
        return found is not None and found.engine is not None

    @property
    def coordinating_service(self) -> str:
        """Service whose planner also keeps the state shared by all services; empty if none."""
        services = self.snapshot.services if self.snapshot is not None else {}
        return min((name for name in services if self.has_engines(name)), default="")
