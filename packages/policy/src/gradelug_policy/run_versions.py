"""Versions of the weights under which a run's memory was made.

Load pattern: new versions of base models and adapters are named while streams fall silent or break,
so runs have to go on between two versions. A run's memory is of use only under the weights that
made it; an engine that meanwhile loaded others would go on from it all the same.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, replace

NOT_TOLD = 0
"""Stands for a version that nobody told."""


MAX_ANNOUNCEMENTS = 8
"""Versions of the same weights whose naming is remembered."""
START_MARGIN_S = 2.0
"""A version is heard of up to 1.3 s after it was named, where instances look at the platform's
store each 1.2 s, and a busy engine takes half a second to begin what it was sent."""


class VersionWord(t.NamedTuple):
    """What an engine says of the version of its base model.

    Parameters
    ----------
    version : int
        The version; `NOT_TOLD` if it says none.
    unreadable : str
        What stands in its place and is no version; empty if it can be read.
    """

    version: int = NOT_TOLD
    unreadable: str = ""


@dataclass(slots=True, frozen=True)
class WeightVersions:
    """Versions of a base model and one of its adapters, each `NOT_TOLD` if it is not known.

    Parameters
    ----------
    model : int
        Of the base model.
    adapter : int
        Of the adapter; `NOT_TOLD` too where none is used.
    """

    model: int = NOT_TOLD
    adapter: int = NOT_TOLD

    @property
    def text(self) -> str:
        """Its form in logs: base model and adapter."""
        return f"{self.model or '?'}/{self.adapter or '?'}"

    def told(self, word: VersionWord) -> WeightVersions:
        """Return the versions after an engine named that of its base model."""
        return replace(self, model=word.version) if word.version else self


def is_loadable(memory: WeightVersions, newest: WeightVersions) -> bool:
    """Tell whether loading weights now can bring those of a memory: engines load the newest.

    Parameters
    ----------
    memory : WeightVersions
        Of the weights that made it.
    newest : WeightVersions
        The newest that were named, `NOT_TOLD` where none was.
    """
    return _is_newest(memory.model, newest.model) and _is_newest(memory.adapter, newest.adapter)


def _is_newest(version: int, newest: int) -> bool:
    # A version that is not known is the newest only as long as none was named.
    return newest == NOT_TOLD if version == NOT_TOLD else newest <= version


def is_same(version: int, held: int, newest: int) -> bool:
    """Tell whether weights in an engine are those of a memory.

    Parameters
    ----------
    version : int
        Of the weights that made the memory.
    held : int
        What the engine says that it holds, `NOT_TOLD` if it names no version.
    newest : int
        The newest that was named, `NOT_TOLD` if none was.
    """
    if version == NOT_TOLD or held == NOT_TOLD:
        return newest == NOT_TOLD
    return version == held


class Namings:
    """When versions of weights were named, as far as was heard here."""

    __slots__ = ("_announced",)

    def __init__(self) -> None:
        self._announced: dict[t.Hashable, list[tuple[int, float]]] = {}

    def note(self, key: t.Hashable, version: int, now: float) -> None:
        """Note that a version of some weights was heard of."""
        heard = self._announced.setdefault(key, [])
        heard.append((version, now))
        del heard[:-MAX_ANNOUNCEMENTS]

    def replaced_s(self, key: t.Hashable, version: int, now: float) -> float:
        """Return since when a newer version is known, in seconds; 0 if none is."""
        newer = [at for named, at in self._announced.get(key, ()) if named > version]
        return now - min(newer, default=now)


def may_begin(replaced_s: float, bound_s: float) -> bool:
    """Tell whether a request may still begin under an older version.

    Parameters
    ----------
    replaced_s : float
        Since when a newer one is known, in seconds; 0 if none is.
    bound_s : float
        So long after it was named a version must be in use, in seconds.
    """
    return replaced_s <= max(0.0, bound_s - START_MARGIN_S)


def compare(memory: WeightVersions, word: VersionWord) -> str:
    """Return whether an engine that goes on from a memory has its weights, as a metric's label."""
    if not memory.model or not word.version:
        return "unknown"
    return "same" if word.version == memory.model else "other"
