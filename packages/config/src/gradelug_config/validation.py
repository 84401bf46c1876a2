"""Checks across objects: names, references, selectors, addresses and limits."""

from __future__ import annotations

import ipaddress
import re
import typing as t
from collections import Counter
from urllib.parse import urlsplit

from .exceptions import SelectorError
from .findings import Finding, suggest
from .model import Document, Engine, Replica
from .selector import Selector, check_name

MAX_ADAPTER_LABELS = 32
_digest_re = re.compile(r"^[0-9a-f]{64}$")
_selector_fields: t.Mapping[str, tuple[str, ...]] = {
    "pools": ("carries",),
    "access": ("callers", "adapters"),
    "weights": ("callers", "adapters"),
    "routes": ("callers", "adapters", "versions", "pools"),
    "services": ("callers",),
    "objectives": ("callers", "adapters"),
}
_named = (
    "callers",
    "adapters",
    "pools",
    "access",
    "weights",
    "routes",
    "services",
    "objectives",
)


def check(document: Document) -> list[Finding]:
    """Return everything that is wrong with a well-formed document."""
    findings: list[Finding] = []
    findings += _check_names(document)
    findings += _check_labels(document)
    findings += _check_selectors(document)
    findings += _check_callers(document)
    findings += _check_adapters(document)
    findings += _check_pools(document)
    findings += _check_upstreams(document)
    findings += _check_rules(document)
    return findings


def check_address(text: str) -> str:
    """Return what is wrong with an upstream's address, or an empty string."""
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https"):
        return f"{text!r} must begin with http:// or https://"
    try:
        ipaddress.ip_address(parts.hostname or "")
        port = parts.port
    except ValueError:
        return f"{text!r} must name an IP address and a port from 1 to 65535"
    if not port:
        return f"{text!r} must name a port"
    return ""


def _check_names(document: Document) -> t.Iterator[Finding]:
    for kind in _named:
        objects = getattr(document, kind)
        counts = Counter(item.name for item in objects)
        for index, item in enumerate(objects):
            if not check_name(item.name):
                yield Finding(f"{kind}[{index}].name", f"{item.name!r} is not a valid name")
        for name, count in counts.items():
            if count > 1:
                yield Finding(kind, f"the name {name!r} is used {count} times")


def _check_labels(document: Document) -> t.Iterator[Finding]:
    for kind in ("callers", "adapters", "pools", "services"):
        for item in getattr(document, kind):
            yield from _check_label_map(f"{kind}.{item.name}.labels", item.labels)
    for adapter in document.adapters:
        for version in adapter.versions:
            place = f"adapters.{adapter.name}.versions.{version.version}.labels"
            yield from _check_label_map(place, version.labels)


def _check_label_map(place: str, labels: dict[str, str]) -> t.Iterator[Finding]:
    if len(labels) > MAX_ADAPTER_LABELS:
        yield Finding(place, f"{len(labels)} labels; at most {MAX_ADAPTER_LABELS} are allowed")
    for key, value in labels.items():
        if not check_name(key) or not check_name(value):
            yield Finding(place, f"{key}={value!r} is not a valid label")


def _check_selectors(document: Document) -> t.Iterator[Finding]:
    try:
        Selector.parse(document.operators)
    except SelectorError as exc:
        yield Finding("operators", str(exc))
    for kind, names in _selector_fields.items():
        for item in getattr(document, kind):
            for name in names:
                try:
                    Selector.parse(getattr(item, name))
                except SelectorError as exc:
                    yield Finding(f"{kind}.{item.name}.{name}", str(exc))


def _check_callers(document: Document) -> t.Iterator[Finding]:
    digests = Counter(caller.token_sha256 for caller in document.callers)
    for caller in document.callers:
        place = f"callers.{caller.name}.token_sha256"
        if not _digest_re.match(caller.token_sha256):
            yield Finding(place, "must be 64 lower-case hexadecimal digits")
        elif digests[caller.token_sha256] > 1:
            yield Finding(place, "another caller has the same token")


def _check_adapters(document: Document) -> t.Iterator[Finding]:
    bases = sorted({pool.base for pool in document.pools})
    for adapter in document.adapters:
        place = f"adapters.{adapter.name}"
        if adapter.base not in bases:
            hint = suggest(adapter.base, bases)
            yield Finding(f"{place}.base", f"no pool serves the base {adapter.base!r}{hint}")
        if not adapter.versions:
            yield Finding(f"{place}.versions", "an adapter needs at least one version")
        counts = Counter(version.version for version in adapter.versions)
        for number, count in counts.items():
            if number < 1:
                yield Finding(f"{place}.versions", f"version {number} is below 1")
            if count > 1:
                yield Finding(f"{place}.versions", f"version {number} is given {count} times")


def _check_pools(document: Document) -> t.Iterator[Finding]:
    for pool in document.pools:
        if pool.slots < 1:
            yield Finding(f"pools.{pool.name}.slots", "must be at least 1")
        if pool.batch < 1:
            yield Finding(f"pools.{pool.name}.batch", "must be at least 1")


def _check_upstreams(document: Document) -> t.Iterator[Finding]:
    places: list[tuple[str, Engine | Replica]] = [
        (f"pools.{pool.name}.engines.{item.name}", item)
        for pool in document.pools
        for item in pool.engines
    ]
    replicas: list[tuple[str, Engine | Replica]] = [
        (f"services.{service.name}.replicas.{item.name}", item)
        for service in document.services
        for item in service.replicas
    ]
    names = Counter(item.name for _, item in places) + Counter(item.name for _, item in replicas)
    for place, item in [*places, *replicas]:
        wrong = check_address(item.address)
        if wrong:
            yield Finding(f"{place}.address", wrong)
        if names[item.name] > 1:
            yield Finding(place, f"the upstream's name is used {names[item.name]} times")
    if document.legacy_address:
        wrong = check_address(document.legacy_address)
        if wrong:
            yield Finding("legacy_address", wrong)
    for name in document.draining:
        if name not in names:
            yield Finding("draining", f"no upstream is called {name!r}{suggest(name, names)}")


def _check_rules(document: Document) -> t.Iterator[Finding]:
    for rule in document.weights:
        if not 0 < rule.weight <= 1000:
            yield Finding(f"weights.{rule.name}.weight", "must be above 0 and at most 1000")
    for route in document.routes:
        if route.legacy and not document.legacy_address:
            yield Finding(f"routes.{route.name}.legacy", "legacy_address is not set")
    for objective in document.objectives:
        if not 0 < objective.target < 1:
            yield Finding(f"objectives.{objective.name}.target", "must lie between 0 and 1")
    if document.store_loads_per_s <= 0:
        yield Finding("store_loads_per_s", "must be above 0")
    if document.store_parallel < 1:
        yield Finding("store_parallel", "must be at least 1")
