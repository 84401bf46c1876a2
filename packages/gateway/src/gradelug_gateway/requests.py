"""Requests, their sendings to replicas, and the memory of their runs."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

from gradelug_http import Header
from gradelug_policy.kept_parts import PromptPart
from gradelug_policy.run_versions import WeightVersions

from .organisations import Principal
from .replicas import AdapterKey, Replica


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
    versions : WeightVersions
        Of the weights that made it.
    kept_at : float
        A moment at which its holder had these weights, by the runtime's clock.
    elsewhere : Replica or None
        Another engine that has the same memory.
    was_loaded : bool
        Whether weights were loaded at its holder for it.
    """

    kind: CopyKind
    source: str
    ident: str
    holder: Replica
    versions: WeightVersions = WeightVersions()
    kept_at: float = -math.inf
    elsewhere: Replica | None = None
    was_loaded: bool = False


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
