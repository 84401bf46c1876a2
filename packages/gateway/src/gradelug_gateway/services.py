"""Types for the configuration: routes, services and the specifications of their engines."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

from gradelug_http import ServerLimits
from gradelug_policy.run_recovery import CopySettings

from .organisations import Organisations

MIN_PATIENCE_S = 2.0
PATIENCE_TARGET_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0
"""Callers abandon a stream after the longest of three waits, as the platform documents: a minimum
in seconds, a multiple of the route's target time and a multiple of its target pause between
events."""


class Repeat(Enum):
    """Whether a request with an unknown outcome may be retried."""

    FREELY = "freely"
    """It may be run again from the beginning."""
    NEVER = "never"
    RESUME = "resume"
    """A stream that another run may continue after the last event that was delivered."""


@dataclass(slots=True, frozen=True)
class Share:
    """A service's share of a route's traffic."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """A rule that assigns matching requests to services.

    Parameters
    ----------
    name, host, prefix : str
        Name of the route, and the host and the path prefix that it matches.
    shares : tuple of Share
        Services, with weights that need not add up to 1.
    streaming : bool
        Whether responses are event streams.
    repeat : Repeat
        Whether a request with an unknown outcome may be retried.
    timeout_s : float
        Maximum time until a request is answered, in seconds.
    target_s : float
        Target time for the response, or for the first event of a stream, in seconds.
    gap_s : float
        Target for the longest pause between two events, in seconds.
    max_replicas : int
        Maximum number of replicas that one request is sent to.
    rank : int
        Urgency; 0 is the most urgent.
    public : bool
        Whether its requests need no key.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[Share, ...]
    streaming: bool
    repeat: Repeat
    timeout_s: float
    target_s: float
    gap_s: float
    max_replicas: int
    rank: int
    public: bool = False

    @property
    def patience_s(self) -> float:
        """How long a caller waits for the next event of a stream, in seconds; infinite if none."""
        if not self.streaming:
            return math.inf
        return max(
            MIN_PATIENCE_S, PATIENCE_TARGET_FACTOR * self.target_s, PATIENCE_GAP_FACTOR * self.gap_s
        )


@dataclass(slots=True, frozen=True)
class BaseModel:
    """A base model that engines may load.

    Parameters
    ----------
    name : str
        Name of the model.
    size_mb : float
        Size of its weights, in MB.
    load_s : float
        Time to load it from the weight store, in seconds.
    adapter_mb : float
        Size of one of its adapters, in MB.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Specification of the engines of a service.

    Parameters
    ----------
    models : tuple of BaseModel
        Base models that they may load.
    memory_mb : float
        Memory for weights of models and adapters, in MB.
    adapter_slots : int
        Maximum number of loaded adapters.
    batch : int
        Maximum number of requests run concurrently.
    kv_tokens : int
        Capacity of the KV cache, in tokens.
    loads_per_s : float
        Maximum rate at which all replicas together start loads from the weight store, per second.
    moves : bool
        Whether runs can be moved from one engine to another.
    backups : bool
        Whether engines copy the KV cache of a run to another engine while it grows.
    copy_terms : CopySettings
        Size and bandwidth of copies of a run's KV cache.
    """

    models: tuple[BaseModel, ...]
    memory_mb: float
    adapter_slots: int
    batch: int
    kv_tokens: int
    loads_per_s: float
    moves: bool = False
    backups: bool = False
    copy_terms: CopySettings = CopySettings()  # noqa: RUF009

    @property
    def max_concurrent_loads(self) -> float:
        """Maximum number of base models loaded concurrently from the weight store.

        It can serve at least about as many loads of adapters, which are smaller.
        """
        return self.loads_per_s * min((model.load_s for model in self.models), default=0.0)


@dataclass(slots=True, frozen=True)
class Service:
    """A group of replicas that serve the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    max_conns : int
        Maximum number of connections that a replica accepts from all callers together.
    engine : EngineSpec or None
        Specification of its engines; None if its replicas are no model engines.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A complete version of the configuration.

    Parameters
    ----------
    version : int
        Version number, which grows with each configuration.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    limits : ServerLimits
        Limits for requests of callers.
    organisations : Organisations
        Organisations whose keys are accepted; if there is none, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: t.Mapping[str, Service]
    limits: ServerLimits
    organisations: Organisations = Organisations()  # noqa: RUF009
