"""What the daemon knows: routes, services, replicas, adapters, requests."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass, field
from enum import Enum

from gradelug_http import Header, ServerLimits
from gradelug_policy.kept_parts import PromptPart
from gradelug_policy.lasting_runs import CopyTerms

from .organisations import Organisations, Principal

PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
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
        return max(PATIENCE_S, PATIENCE_TARGETS * self.target_s, PATIENCE_GAPS * self.gap_s)


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


@dataclass(slots=True, frozen=True)
class Request:
    """A caller's request, whatever interface it came by.

    Parameters
    ----------
    id : str
        The caller's identifier of this attempt.
    host, path : str
        What the route is chosen by.
    headers : tuple
        What is passed on, without headers that this system sets itself and without credentials.
    credentials : tuple of bytes
        What the caller proves itself with; never shown in logs.
    key : AdapterKey or None
        Weights that it needs.
    wait_s : float
        How long the caller waits, in seconds.
    prompt_tokens, most_tokens : int
        Size of the prompt and of the longest answer; 0 if not told.
    parts : tuple of PromptPart
        The prompt in order, as far as the caller tells; the last part is its own.
    last_event : int
        Last event that the caller has of the stream; 0 for none.
    arrived_at : float
        By the runtime's clock.
    """

    id: str
    host: str
    path: str
    method: bytes
    target: bytes
    headers: tuple[Header, ...]
    body: bytes
    arrived_at: float
    key: AdapterKey | None = None
    wait_s: float = math.inf
    prompt_tokens: int = 0
    most_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: int = 0
    credentials: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(slots=True, frozen=True)
class Attempt:
    """One sending of a request to a replica.

    Parameters
    ----------
    replica : Replica
        To whom; another one that has its address must not run it.
    left_s : float
        Time left for the request, in seconds.
    version : int
        Version that the weights must have; 0 for any.
    rank : int
        Urgency, 0 first.
    after_event : int
        The stream goes on after this event; 0 for its beginning.
    principal : Principal or None
        Who sent the request, if a key told.
    shows_credentials : bool
        Whether replicas are shown what the caller sent to prove itself: where there are no
        organisations, it is theirs to judge.
    backup : str
        ``IP:port`` of the replica that is to receive a copy of the run's memory; empty for none.
    copy : Copy or None
        The run's memory from which it goes on.
    """

    replica: Replica
    left_s: float
    version: int
    rank: int
    after_event: int
    principal: Principal | None = None
    shows_credentials: bool = False
    backup: str = ""
    copy: Copy | None = None


class CopyKind(Enum):
    """How the memory of a run came to be kept."""

    STOPPED = "stopped"
    """Its engine stopped it and keeps its memory."""
    MOVED = "moved"
    """Its engine stopped it; its memory was sent to another one."""
    BACKUP = "backup"
    """Its memory was sent to another engine as it grew."""


@dataclass(slots=True, frozen=True)
class Copy:
    """The memory of a run, from which the same request goes on; it serves once.

    Parameters
    ----------
    kind : CopyKind
        How it came to be.
    source : str
        ``IP:port`` of the engine that ran it.
    ident : str
        Under what it is kept: a handle, or the request's identifier.
    holder : Replica
        Where it is.
    """

    kind: CopyKind
    source: str
    ident: str
    holder: Replica


class Verdict(Enum):
    """What the head of an answer says of a request."""

    ANSWERED = "answered"
    FAILED = "failed"
    """It ran and failed."""
    FULL = "full"
    """Not run: no room now."""
    ABSENT = "absent"
    """Not run: the weights are not there, or not at that version."""
    MISDIRECTED = "misdirected"
    """Not run: another replica has the address."""
    SPOILED = "spoiled"
    """It may have run; what came is not the replica's answer."""
    REJECTED = "rejected"
    """Not run: the request itself is wrong."""


class OrderOutcome(Enum):
    """What an engine said to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    """It is so already."""
    CONFLICT = "conflict"
    """Another is under way, or the number of orders taken differs."""
    OUTRANKED = "outranked"
    """A greater fencing token has been seen."""
    REFUSED = "refused"
    """The engine cannot do it."""
    GONE = "gone"
    """Another replica has the address, or it cannot be reached: not done."""
    LOST = "lost"
    """No answer: done, not done, or done later."""
    NOT_GIVEN = "not given"
    """Nobody may order the engine now, so nothing was sent."""


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


class Term:
    """The time during which a planner may order, under one token.

    Parameters
    ----------
    fence : int
        Its fencing token; never 0.
    """

    __slots__ = ("fence", "is_over")

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.is_over = False


@dataclass(slots=True, frozen=True)
class Order:
    """An order to an engine.

    Parameters
    ----------
    load : bool
        Load if set, otherwise unload.
    key : AdapterKey
        What.
    version : int
        At which version; 0 for the newest.
    expected : int
        How many orders the engine must have taken before.
    owner : str
        Who orders.
    fence : int
        The owner's fencing token.
    """

    load: bool
    key: AdapterKey
    version: int
    expected: int
    owner: str
    fence: int


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
    """

    snapshot: Snapshot | None = None
    replicas: dict[str, Replica] = field(default_factory=dict)
    versions: dict[AdapterKey, int] = field(default_factory=dict)
    change: int = 0
