"""What changed between two documents, object by object."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .buckets import to_plain
from .model import Document


@dataclass(slots=True, frozen=True)
class Change:
    """One object added, removed or changed.

    Parameters
    ----------
    sign : str
        ``+`` added, ``-`` removed, ``~`` changed.
    kind, name : str
        The list of the document and the object's name in it.
    detail : str
        The fields that differ, with both values.
    """

    sign: str
    kind: str
    name: str
    detail: str = ""

    def __str__(self) -> str:
        text = f"{self.sign} {self.kind}/{self.name}"
        return f"{text}: {self.detail}" if self.detail else text


def diff(old: Document, new: Document) -> list[Change]:
    """Return the changes that lead from `old` to `new`, sorted by kind and name."""
    before, after = _index(to_plain(old)), _index(to_plain(new))
    changes = []
    for key in sorted(before.keys() | after.keys()):
        kind, name = key
        if key not in before:
            changes.append(Change("+", kind, name))
        elif key not in after:
            changes.append(Change("-", kind, name))
        elif before[key] != after[key]:
            changes.append(Change("~", kind, name, _detail(before[key], after[key])))
    return changes


def _index(plain: dict[str, t.Any]) -> dict[tuple[str, str], t.Any]:
    index: dict[tuple[str, str], t.Any] = {}
    for kind, value in plain.items():
        if not isinstance(value, list):
            index[("settings", kind)] = {"value": value}
            continue
        for position, item in enumerate(value):
            if isinstance(item, str):
                index[(kind, item)] = {"value": item}
            elif kind in ("routes", "weights"):
                # The first rule that matches decides, so a move is a change.
                index[(kind, item["name"])] = {**item, "position": position}
            else:
                index[(kind, item["name"])] = item
    return index


def _detail(old: dict[str, t.Any], new: dict[str, t.Any]) -> str:
    keys = sorted(key for key in old.keys() | new.keys() if old.get(key) != new.get(key))
    return "; ".join(f"{key}: {old.get(key)!r} -> {new.get(key)!r}" for key in keys)
