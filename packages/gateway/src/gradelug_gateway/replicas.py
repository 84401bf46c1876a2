"""Replicas, the weights that they hold, and what the platform has told of all of them."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass, field

from gradelug_policy.departures import Departures
from gradelug_policy.run_versions import Namings

from .services import Snapshot


@dataclass(slots=True, frozen=True, order=True)
class AdapterKey:
    """A base model, or one of its adapters."""

    model: str
    adapter: str = ""

    @property
    def text(self) -> str:
        """Its name in logs and between processes."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


@dataclass(slots=True, frozen=True)
class Holding:
    """Weights that a replica holds, at a version (0: not told)."""

    key: AdapterKey
    version: int


@dataclass(slots=True, frozen=True)
class Replica:
    """A replica, as it says of itself.

    Parameters
    ----------
    name : str
        Unique to one start of the process.
    service, address, hall : str
        What it serves, ``IP:port``, and where it stands.
    leaving : bool
        Whether it takes no new work.
    slots : int
        Requests run at once.
    orders : int
        How many orders it has taken.
    holdings : tuple of Holding
        Weights in its places.
    cached : frozenset of Holding
        Weights that its host memory keeps, which load fast.
    born : int
        When its process started, in Unix milliseconds by its own clock; 0 if not told. It names a
        life of the replica: one that started again under the name that it had knows nothing of
        before. Clocks may step, so lives are told apart by this and not put in order.
    ends_in_s : float
        Time from its notice until it is gone whatever it runs, in seconds; infinite if not told.
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


@dataclass(slots=True, frozen=True)
class EngineReport:
    """State of an engine, as it stood a moment ago; `born` names its life, 0 if not told."""

    orders: int
    holdings: tuple[Holding, ...]
    loading: tuple[Holding, ...]
    cached: frozenset[Holding]
    busy: bool
    born: int = 0


class ToldLoad(t.NamedTuple):
    """Requests of one instance, or of all, at a replica.

    Parameters
    ----------
    starting, running : int
        Requests before and after their first event.
    queued : tuple of int
        Tokens of the prompts of those before it, by urgency.
    memory : int
        What all of them hold of the replica's memory when they have ended, in tokens.
    """

    starting: int = 0
    running: int = 0
    queued: tuple[int, ...] = ()
    memory: int = 0


@dataclass(slots=True)
class FleetState:
    """What the platform has told so far, kept up to date by a feed.

    Parameters
    ----------
    snapshot : Snapshot or None
        The newest configuration, None before the first.
    replicas : dict
        Replicas by name.
    versions : dict
        Newest version of adapters that were renewed.
    change : int
        Grows with every change of the replicas.
    departures : Departures
        Lives of replicas that leave.
    namings : Namings
        When versions were named.
    """

    snapshot: Snapshot | None = None
    replicas: dict[str, Replica] = field(default_factory=dict)
    versions: dict[AdapterKey, int] = field(default_factory=dict)
    change: int = 0
    departures: Departures = field(default_factory=Departures)
    namings: Namings = field(default_factory=Namings)

    def is_leaving(self, rep: Replica) -> bool:
        """Tell whether a replica takes no new work, as far as is known now."""
        known = self.replicas.get(rep.name, rep)
        return known.leaving or self.departures.has(rep.name, rep.born)

    def has_engines(self, service: str) -> bool:
        """Tell whether a service's replicas are engines."""
        found = self.snapshot.services.get(service) if self.snapshot is not None else None
        return found is not None and found.engine is not None

    @property
    def home_service(self) -> str:
        """The service whose planner keeps what concerns all services, empty if there is none."""
        services = self.snapshot.services if self.snapshot is not None else {}
        return min((name for name in services if self.has_engines(name)), default="")
