"""Writing the many adapters of an example from a short specification."""

from __future__ import annotations

import tomllib
import typing as t
from dataclasses import dataclass, field
from pathlib import Path

import tomli_w
from gradelug_config.structure import make_converter, structure

SPEC = "adapters-spec.toml"
CANARY_EVERY = 10
"""Every tenth adapter of a family has a second version, not yet stable."""


@dataclass(slots=True, frozen=True)
class Named:
    """An adapter written by name; all versions but the last are stable, or all if one."""

    name: str
    base: str
    versions: int
    labels: dict[str, str]


@dataclass(slots=True, frozen=True)
class Family:
    """Adapters that are numbered and take a label's values in turn."""

    prefix: str
    base: str
    app: str
    label: str
    values: list[str]


@dataclass(slots=True, frozen=True)
class Spec:
    """What to write."""

    count: int
    named: list[Named] = field(default_factory=list)
    families: list[Family] = field(default_factory=list)


def generate(folder: Path, count: int = 0) -> dict[str, t.Any]:
    """Return the adapters of the example in `folder` as plain data.

    Parameters
    ----------
    folder : Path
        Holds the specification.
    count : int
        Instead of the specification's, if above 0.
    """
    data = tomllib.loads((folder / SPEC).read_text(encoding="utf-8"))
    spec = structure(make_converter(), data, Spec, str(folder / SPEC))
    adapters = [_named(named) for named in spec.named]
    number = 0
    while len(adapters) < (count or spec.count):
        family = spec.families[number % len(spec.families)]
        adapters.append(_member(family, number // len(spec.families)))
        number += 1
    return {"adapters": adapters}


def write(folder: Path, out: Path, count: int = 0) -> int:
    """Write the adapters of an example to a TOML file and return how many there are."""
    data = generate(folder, count)
    out.write_text(tomli_w.dumps(data), encoding="utf-8")
    return len(data["adapters"])


def _named(named: Named) -> dict[str, t.Any]:
    versions = [
        {"version": number, "labels": {"channel": "stable"}}
        for number in range(1, named.versions + 1)
    ]
    return {
        "name": named.name,
        "base": named.base,
        "labels": dict(named.labels),
        "versions": versions,
    }


def _member(family: Family, number: int) -> dict[str, t.Any]:
    versions: list[dict[str, t.Any]] = [{"version": 1, "labels": {"channel": "stable"}}]
    if number % CANARY_EVERY == 0:
        versions.append({"version": 2, "labels": {"channel": "canary"}})
    value = family.values[number % len(family.values)]
    return {
        "name": f"{family.prefix}-{number:04d}",
        "base": family.base,
        "labels": {"app": family.app, family.label: value},
        "versions": versions,
    }
