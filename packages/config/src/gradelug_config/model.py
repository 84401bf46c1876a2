"""The operators' objects: callers, adapters, pools, services and the rules over their labels.

One class a kind. `Document` holds them as written; `gradelug_config.catalog.Catalog` indexes
them for answering requests.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DEFAULT_WEIGHT = 1.0
DEFAULT_SLOTS = 8
DEFAULT_BATCH = 32


@dataclass(slots=True, frozen=True)
class Caller:
    """Somebody who sends requests.

    Parameters
    ----------
    name : str
        Unique among callers.
    token_sha256 : str
        Hexadecimal SHA-256 digest of the bearer token; the token itself is never stored.
    labels : dict of str to str
        What selectors see.
    """

    name: str
    token_sha256: str
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Version:
    """One version of an adapter; `path` is its name in the weight store."""

    version: int
    labels: dict[str, str] = field(default_factory=dict)
    path: str = ""


@dataclass(slots=True, frozen=True)
class Adapter:
    """A fine-tuned adapter on a base model, with its versions."""

    name: str
    base: str
    versions: list[Version]
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class Engine:
    """One replica of a pool.

    Parameters
    ----------
    name : str
        Unique among all upstreams.
    address : str
        ``http://IP:port`` of its OpenAI-compatible interface.
    hall : str
        Where it stands.
    checks_fences : bool
        Whether it refuses orders that carry an older fencing token.
    """

    name: str
    address: str
    hall: str = ""
    checks_fences: bool = True


@dataclass(slots=True, frozen=True)
class Pool:
    """Engines alike, and the selector of the versions they may carry.

    The selector sees the labels of the adapter overlaid with those of the version.
    """

    name: str
    base: str
    carries: str = ""
    slots: int = DEFAULT_SLOTS
    batch: int = DEFAULT_BATCH
    labels: dict[str, str] = field(default_factory=dict)
    engines: list[Engine] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Access:
    """Callers that may reach adapters; what no access rule allows is refused."""

    name: str
    callers: str
    adapters: str


@dataclass(slots=True, frozen=True)
class Weight:
    """How much a request counts; the first rule that matches decides."""

    name: str
    weight: float
    callers: str = ""
    adapters: str = ""


@dataclass(slots=True, frozen=True)
class Route:
    """Where requests go; the first rule that matches decides.

    Parameters
    ----------
    name : str
        Unique among routes.
    callers, adapters, versions, pools : str
        Selectors. `versions` is consulted when the request names no version; the highest
        version that matches is taken.
    legacy : bool
        Send the request to the address of the old scripts instead of a pool.
    """

    name: str
    callers: str = ""
    adapters: str = ""
    versions: str = ""
    pools: str = ""
    legacy: bool = False


@dataclass(slots=True, frozen=True)
class Replica:
    """One upstream of a plain service."""

    name: str
    address: str
    hall: str = ""


@dataclass(slots=True, frozen=True)
class Service:
    """A plain HTTP service beside the engines, served below ``/services/<name>/``.

    Parameters
    ----------
    name : str
        The path component.
    callers : str
        Selector of the callers that may reach it.
    once : list of str
        Path prefixes whose calls may not be repeated.
    replicas : list of Replica
        Its upstreams.
    """

    name: str
    callers: str
    once: list[str] = field(default_factory=list)
    labels: dict[str, str] = field(default_factory=dict)
    replicas: list[Replica] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Objective:
    """A service-level objective over the requests that its selectors match."""

    name: str
    target: float
    callers: str = ""
    adapters: str = ""
    first_token_s: float = 0.34
    between_tokens_s: float = 0.071
    load_stall_s: float = 1.0


@dataclass(slots=True, frozen=True)
class Document:
    """A whole configuration, as written.

    Parameters
    ----------
    legacy_address : str
        ``http://IP:port`` of the old scripts.
    operators : str
        Selector of the callers that may read the routers' service-level windows.
    store_loads_per_s, store_parallel : float, int
        The weight store's limit.
    draining : list of str
        Upstreams that get no new work.
    """

    legacy_address: str = ""
    operators: str = "gradelug-operator=yes"
    store_loads_per_s: float = 2.0
    store_parallel: int = 2
    callers: list[Caller] = field(default_factory=list)
    adapters: list[Adapter] = field(default_factory=list)
    pools: list[Pool] = field(default_factory=list)
    access: list[Access] = field(default_factory=list)
    weights: list[Weight] = field(default_factory=list)
    routes: list[Route] = field(default_factory=list)
    services: list[Service] = field(default_factory=list)
    objectives: list[Objective] = field(default_factory=list)
    draining: list[str] = field(default_factory=list)
