"""A document indexed for answering requests: who may reach what, where it goes, how it weighs.

The labels and selectors of 20,000 adapters repeat, so equal label sets are shared and the
outcome of a selector is kept per label set rather than per adapter.
"""

from __future__ import annotations

import hashlib
import hmac
import typing as t
from dataclasses import dataclass

from .exceptions import ConfigError
from .model import (
    DEFAULT_WEIGHT,
    Adapter,
    Caller,
    Document,
    Engine,
    Objective,
    Pool,
    Route,
    Service,
)
from .selector import Labels, Selector

LabelSet = tuple[tuple[str, str], ...]


class UnknownModel(ConfigError):
    """No adapter or version of that name may be reached by the caller."""


class Forbidden(ConfigError):
    """No access rule lets the caller reach the adapter."""


@dataclass(slots=True, frozen=True)
class AdapterKey:
    """An adapter at a version, written ``name@version``."""

    name: str
    version: int

    def __str__(self) -> str:
        return f"{self.name}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> AdapterKey:
        """Read ``name@version``; raises `ValueError` if the version is no number."""
        name, _, version = text.rpartition("@")
        return cls(name, int(version))


@dataclass(slots=True, frozen=True)
class Plan:
    """Where a request goes.

    Parameters
    ----------
    caller : Caller
        Who asked.
    adapter : AdapterKey
        What will run, its version decided.
    route : str
        Name of the route that matched; empty if none did.
    pools : tuple of str
        Pools that may serve it; empty when it goes to the old scripts.
    weight : float
        How much it counts.
    weight_rule : str
        Name of the rule that set the weight.
    legacy : bool
        Whether the old scripts serve it.
    """

    caller: Caller
    adapter: AdapterKey
    route: str
    pools: tuple[str, ...]
    weight: float
    weight_rule: str
    legacy: bool = False


class _AdapterEntry:
    """An adapter as the catalog keeps it: its base and, per version, labels and path."""

    __slots__ = ("base", "labels", "versions")

    def __init__(self, base: str, labels: LabelSet, versions: dict[int, LabelSet]) -> None:
        self.base = base
        self.labels = labels
        self.versions = versions


class SelectorCache:
    """Parsed selectors and their outcome per label set."""

    __slots__ = ("_outcomes", "_parsed")

    _MAX_OUTCOMES = 100_000

    def __init__(self) -> None:
        self._parsed: dict[str, Selector] = {}
        self._outcomes: dict[tuple[str, LabelSet], bool] = {}

    def parse(self, text: str) -> Selector:
        """Return the parsed selector."""
        selector = self._parsed.get(text)
        if selector is None:
            selector = self._parsed[text] = Selector.parse(text)
        return selector

    def matches(self, text: str, labels: LabelSet) -> bool:
        """Tell whether the selector matches the label set."""
        key = (text, labels)
        outcome = self._outcomes.get(key)
        if outcome is None:
            if len(self._outcomes) >= self._MAX_OUTCOMES:
                self._outcomes.clear()
            outcome = self._outcomes[key] = self.parse(text).matches(dict(labels))
        return outcome


class Catalog:
    """The configuration in force at one revision.

    Build it bucket by bucket with `add_adapters`, so that a daemon's loop is not held up by
    20,000 adapters at once.

    Parameters
    ----------
    revision : int
        Revision of the document, 0 before the first.
    rules : Document
        The document; its adapters, if any, are added too.
    """

    __slots__ = (
        "_adapters",
        "_callers",
        "_paths",
        "_shared",
        "engines",
        "pools",
        "revision",
        "rules",
        "selectors",
        "services",
    )

    def __init__(self, revision: int, rules: Document) -> None:
        self.revision = revision
        self.rules = rules
        self.selectors = SelectorCache()
        self.pools: dict[str, Pool] = {pool.name: pool for pool in rules.pools}
        self.engines: dict[str, tuple[Engine, Pool]] = {
            engine.name: (engine, pool) for pool in rules.pools for engine in pool.engines
        }
        self.services: dict[str, Service] = {item.name: item for item in rules.services}
        self._callers = {caller.token_sha256: caller for caller in rules.callers}
        self._shared: dict[LabelSet, LabelSet] = {}
        self._adapters: dict[str, _AdapterEntry] = {}
        self._paths: dict[AdapterKey, str] = {}
        self.add_adapters(rules.adapters)

    def __len__(self) -> int:
        return len(self._adapters)

    def add_adapters(self, adapters: t.Iterable[Adapter]) -> None:
        """Index more adapters of the same revision."""
        for adapter in adapters:
            labels = self._share(adapter.labels)
            versions = {
                version.version: self._share({**adapter.labels, **version.labels})
                for version in adapter.versions
            }
            self._adapters[adapter.name] = _AdapterEntry(adapter.base, labels, versions)
            for version in adapter.versions:
                if version.path:
                    self._paths[AdapterKey(adapter.name, version.version)] = version.path

    def authenticate(self, token: str) -> Caller | None:
        """Return the caller whose token this is.

        The digest is looked up, then compared in constant time, so that neither step tells
        how much of a wrong token was right.
        """
        digest = hashlib.sha256(token.encode()).hexdigest()
        caller = self._callers.get(digest)
        if caller is None or not hmac.compare_digest(caller.token_sha256, digest):
            return None
        return caller

    def labels_of(self, key: AdapterKey) -> Labels | None:
        """Return the labels of an adapter version, or None if there is none."""
        entry = self._adapters.get(key.name)
        if entry is None or key.version not in entry.versions:
            return None
        return dict(entry.versions[key.version])

    def knows(self, key: AdapterKey) -> bool:
        """Tell whether the adapter has that version."""
        entry = self._adapters.get(key.name)
        return entry is not None and key.version in entry.versions

    def path_of(self, key: AdapterKey) -> str:
        """Return an adapter version's path in the weight store; its own name if none is set."""
        return self._paths.get(key, str(key))

    def reachable(self, caller: Caller) -> t.Iterator[AdapterKey]:
        """Yield every adapter version that the caller may reach."""
        caller_labels = self._share(caller.labels)
        for name, entry in self._adapters.items():
            if self._allowed(caller_labels, entry.labels):
                for version in entry.versions:
                    yield AdapterKey(name, version)

    def plan(self, caller: Caller, model: str) -> Plan:
        """Decide where a request for `model` goes.

        Parameters
        ----------
        caller : Caller
            Who asks.
        model : str
            ``name`` or ``name@version``.

        Raises
        ------
        UnknownModel
            If there is no such adapter, version or pool.
        Forbidden
            If no access rule allows it.
        """
        name, _, wanted = model.partition("@")
        entry = self._adapters.get(name)
        if entry is None:
            raise UnknownModel(f"there is no adapter {name!r}")
        caller_labels = self._share(caller.labels)
        if not self._allowed(caller_labels, entry.labels):
            raise Forbidden(f"caller {caller.name!r} may not reach adapter {name!r}")
        route = self._route(caller_labels, entry.labels)
        version = self._version(name, entry, wanted, route)
        key = AdapterKey(name, version)
        weight, weight_rule = self._weight(caller_labels, entry.labels)
        if route is not None and route.legacy:
            return Plan(caller, key, route.name, (), weight, weight_rule, legacy=True)
        pools = self._pools(entry, version, route)
        if not pools:
            raise UnknownModel(f"no pool carries {key}")
        return Plan(caller, key, route.name if route else "", pools, weight, weight_rule)

    def carries(self, pool: Pool, key: AdapterKey) -> bool:
        """Tell whether the pool may carry the adapter version."""
        entry = self._adapters.get(key.name)
        if entry is None or key.version not in entry.versions or pool.base != entry.base:
            return False
        return self.selectors.matches(pool.carries, entry.versions[key.version])

    def serves(self, service: Service, caller: Caller) -> bool:
        """Tell whether the caller may reach the plain service."""
        return self.selectors.matches(service.callers, self._share(caller.labels))

    def is_operator(self, caller: Caller) -> bool:
        """Tell whether the caller may read the service-level windows."""
        return self.selectors.matches(self.rules.operators, self._share(caller.labels))

    def objectives_of(self, caller: Caller, key: AdapterKey) -> list[Objective]:
        """Return the objectives that a caller's request for an adapter counts towards."""
        entry = self._adapters.get(key.name)
        if entry is None:
            return []
        caller_labels, matches = self._share(caller.labels), self.selectors.matches
        return [
            objective
            for objective in self.rules.objectives
            if matches(objective.callers, caller_labels)
            and matches(objective.adapters, entry.labels)
        ]

    def _allowed(self, caller_labels: LabelSet, adapter_labels: LabelSet) -> bool:
        matches = self.selectors.matches
        return any(
            matches(rule.callers, caller_labels) and matches(rule.adapters, adapter_labels)
            for rule in self.rules.access
        )

    def _route(self, caller_labels: LabelSet, adapter_labels: LabelSet) -> Route | None:
        matches = self.selectors.matches
        for route in self.rules.routes:
            if matches(route.callers, caller_labels) and matches(route.adapters, adapter_labels):
                return route
        return None

    def _version(self, name: str, entry: _AdapterEntry, wanted: str, route: Route | None) -> int:
        if wanted:
            if not wanted.isascii() or not wanted.isdigit() or int(wanted) not in entry.versions:
                raise UnknownModel(f"adapter {name!r} has no version {wanted!r}")
            return int(wanted)
        selector = route.versions if route else ""
        fitting = [
            version
            for version, labels in entry.versions.items()
            if self.selectors.matches(selector, labels)
        ]
        if not fitting:
            raise UnknownModel(f"no version of {name!r} matches {selector!r}")
        return max(fitting)

    def _weight(self, caller_labels: LabelSet, adapter_labels: LabelSet) -> tuple[float, str]:
        matches = self.selectors.matches
        for rule in self.rules.weights:
            if matches(rule.callers, caller_labels) and matches(rule.adapters, adapter_labels):
                return rule.weight, rule.name
        return DEFAULT_WEIGHT, ""

    def _pools(self, entry: _AdapterEntry, version: int, route: Route | None) -> tuple[str, ...]:
        selector = route.pools if route else ""
        matches = self.selectors.matches
        return tuple(
            pool.name
            for pool in self.rules.pools
            if pool.base == entry.base
            and matches(pool.carries, entry.versions[version])
            and matches(selector, self._share(pool.labels))
        )

    def _share(self, labels: dict[str, str]) -> LabelSet:
        items = tuple(sorted(labels.items()))
        return self._shared.setdefault(items, items)
