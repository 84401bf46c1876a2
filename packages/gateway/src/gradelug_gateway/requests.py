"""Data classes of requests, their attempts at replicas, and the saved KV caches of their runs."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from gradelug_http import Header
from gradelug_policy.prefix_cache import PromptPart
from gradelug_policy.run_versions import WeightVersions

from .organisations import Principal
from .replicas import AdapterKey, Replica


@dataclass(slots=True, frozen=True)
class Request:
    """A caller's request, independent of the protocol in which it arrived.

    Parameters
    ----------
    id : str
        Request identifier chosen by the caller.
    host, path : str
        Host and decoded path, by which the route is chosen.
    method, target : bytes
        HTTP method and raw request target, as forwarded to replicas.
    headers : tuple of Header
        Headers to forward, without those that the gateway sets and without credentials.
    body : bytes
        Request body.
    arrived_at : float
        Arrival time, by the event loop's clock.
    key : AdapterKey or None
        Model and adapter that the request needs; None if it needs no weights.
    wait_s : float
        Time from arrival to the caller's deadline, in seconds.
    prompt_tokens, most_tokens : int
        Size of the prompt and maximum size of the answer, in tokens; 0 if unknown.
    parts : tuple of PromptPart
        The prompt's parts in order, as declared by the caller; the last one is not shared with
        other requests.
    last_event : int
        Number of the last stream event that the caller has received; 0 for none.
    resumes : str
        Identifier of the attempt in which the caller received the first event of the stream that
        this request resumes; empty if it names none.
    credentials : tuple of bytes
        The caller's keys; never logged.
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
    max_answer_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    last_event: int = 0
    resumes: str = ""
    credentials: tuple[bytes, ...] = field(default=(), repr=False)


@dataclass(slots=True, frozen=True)
class Attempt:
    """One attempt of a request at a replica.

    Parameters
    ----------
    replica : Replica
        The target; any other replica that has taken over its address must not run the request.
    left_s : float
        Time left for the request, in seconds.
    version : int
        Required version of the weights; 0 for any.
    rank : int
        Urgency; 0 is the most urgent.
    after_event : int
        Number of the event after which the stream resumes; 0 for its start.
    principal : Principal or None
        The authenticated sender; None if the request has no known key.
    shows_credentials : bool
        Whether the caller's credentials are forwarded: without configured organisations, the
        replicas check them.
    backup : str
        ``IP:port`` of the replica to which the run's KV cache is replicated; empty for none.
    copy : KvCopy or None
        The saved KV cache from which the run continues; None to run from the start.
    """

    replica: Replica
    left_s: float
    version: int
    rank: int
    after_event: int
    principal: Principal | None = None
    forwards_credentials: bool = False
    backup: str = ""
    copy: KvCopy | None = None


class KvCopyKind(Enum):
    """How the KV cache of a run was saved."""

    STOPPED = "stopped"
    """The engine stopped the run and retains its KV cache."""
    MOVED = "moved"
    """The engine stopped the run and sent its KV cache to another engine."""
    BACKUP = "backup"
    """The KV cache was replicated to another engine during the run."""


@dataclass(slots=True, frozen=True)
class KvCopy:
    """The saved KV cache of a run, from which the same request can continue once.

    Parameters
    ----------
    kind : KvCopyKind
        How it was saved.
    source : str
        ``IP:port`` of the engine that ran it.
    ident : str
        Identifier under which the holder keeps it: a handle, or the request's identifier.
    holder : Replica
        The replica that stores it.
    versions : WeightVersions
        Versions of the weights that computed it.
    weights_confirmed_at : float
        A time at which the holder had these weights loaded, by the event loop's clock.
    elsewhere : Replica or None
        Another engine that stores the same KV cache; None if there is none.
    were_weights_loaded : bool
        Whether weights were loaded at the holder in order to continue this run.
    """

    kind: KvCopyKind
    source: str
    ident: str
    holder: Replica
    versions: WeightVersions = WeightVersions()
    weights_confirmed_at: float = -math.inf
    other_holder: Replica | None = None
    were_weights_loaded: bool = False


class NotRunProof(Enum):
    """What in a response says that its replica did not run the request."""

    NONE = "none"
    HEADER = "header"
    STATUS = "status"
    """421 without the header: another replica, or one without the weights."""


class Verdict(Enum):
    """What the status and headers of a response indicate about a request."""

    ANSWERED = "answered"
    FAILED = "failed"
    """The request ran and failed."""
    FULL = "full"
    """Not run: the replica has no capacity."""
    ABSENT = "absent"
    """Not run: the weights are not loaded, or not in the required version."""
    MISDIRECTED = "misdirected"
    """Not run: another replica has taken over the address."""
    SPOILED = "spoiled"
    """The request may have run; the response was not produced by the replica."""
    REJECTED = "rejected"
    """Not run: the request is invalid."""
