"""What the configuration says: routes, services, what their replicas are like."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

from gradelug_http import ServerLimits
from gradelug_policy.lasting_runs import CopyTerms

from .organisations import Organisations

MIN_PATIENCE_S = 2.0
PATIENCE_TARGET_FACTOR = 4.0
PATIENCE_GAP_FACTOR = 8.0
"""Callers give a stream up after the longest of these, as the platform's pages say."""


class Repeat(Enum):
    """What may be done to a request whose outcome is in doubt."""

    FREELY = "freely"
    """It may run again from its beginning."""
    NEVER = "never"
    RESUME = "resume"
    """A stream; another run may go on after the last event that was delivered."""


@dataclass(slots=True, frozen=True)
class Share:
    """A service's part of a route's traffic."""

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Which service answers requests, and how.

    Parameters
    ----------
    name, host, prefix : str
        Its name, and the host and the beginning of the path that it is for.
    shares : tuple of Share
        Services, with weights that need not add up to 1.
    streaming : bool
        Whether answers are streams of events.
    repeat : Repeat
        What may be done when an outcome is in doubt.
    timeout_s : float
        How long a request may be held, in seconds.
    target_s : float
        Within this time, in seconds, an answer is worth most; streams: the first event.
    gap_s : float
        Longest pause between events that is still in time, in seconds.
    max_replicas : int
        To how many replicas one request may be sent.
    rank : int
        Urgency, 0 first.
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
        """How long a caller waits for the next event of a stream, in seconds."""
        if not self.streaming:
            return math.inf
        return max(
            MIN_PATIENCE_S, PATIENCE_TARGET_FACTOR * self.target_s, PATIENCE_GAP_FACTOR * self.gap_s
        )


@dataclass(slots=True, frozen=True)
class BaseModel:
    """A base model that engines may hold.

    Parameters
    ----------
    name : str
        Its name.
    size_mb : float
        Size of its weights.
    load_s : float
        Time to load it from the weight store, in seconds.
    adapter_mb : float
        Size of one of its adapters.
    """

    name: str
    size_mb: float
    load_s: float
    adapter_mb: float


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """What the replicas of a service of model engines are like.

    Parameters
    ----------
    models : tuple of BaseModel
        Models they may hold.
    memory_mb : float
        Memory for weights and adapters.
    adapter_slots : int
        Places for adapters.
    batch : int
        Requests run at once.
    kv_tokens : int
        Tokens that the memory of prompts holds.
    loads_per_s : float
        Loads from the weight store that all replicas together may begin.
    moves : bool
        Whether runs can be moved from one engine to another.
    backups : bool
        Whether engines send the memory of a run to another one as it grows.
    copy_terms : CopyTerms
        What a copy of a run's memory takes.
    """

    models: tuple[BaseModel, ...]
    memory_mb: float
    adapter_slots: int
    batch: int
    kv_tokens: int
    loads_per_s: float
    moves: bool = False
    backups: bool = False
    copy_terms: CopyTerms = CopyTerms()  # noqa: RUF009

    @property
    def loads_at_once(self) -> float:
        """Loads of base models that the weight store is meant to bear at once.

        It bears at least about as many adapters, which are smaller.
        """
        return self.loads_per_s * min((model.load_s for model in self.models), default=0.0)


@dataclass(slots=True, frozen=True)
class Service:
    """A group of replicas that answer the same requests.

    Parameters
    ----------
    name : str
        Its name.
    max_conns : int
        Connections that a replica takes from all callers together.
    engine : EngineSpec or None
        Set for model engines.
    """

    name: str
    max_conns: int
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A configuration, whole.

    Parameters
    ----------
    version : int
        Grows with each.
    routes : tuple of Route
        All routes.
    services : mapping of str to Service
        Services by name.
    limits : ServerLimits
        What callers may send.
    organisations : Organisations
        Those whose keys are accepted; where there is none, no key is asked for.
    """

    version: int
    routes: tuple[Route, ...]
    services: t.Mapping[str, Service]
    limits: ServerLimits
    organisations: Organisations = Organisations()  # noqa: RUF009
