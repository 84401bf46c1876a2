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
class MemoryVersions:
    """Versions of the weights that made a run's memory, each `NOT_TOLD` if it is not known.

    Parameters
    ----------
    model : int
        Of the base model.
    adapter : int
        Of the adapter; `NOT_TOLD` too for a run without one.
    """

    model: int = NOT_TOLD
    adapter: int = NOT_TOLD

    @property
    def text(self) -> str:
        """Its form in logs: base model and adapter."""
        return f"{self.model or '?'}/{self.adapter or '?'}"

    def told(self, word: VersionWord) -> MemoryVersions:
        """Return the versions after an engine named that of its base model."""
        return replace(self, model=word.version) if word.version else self


def compare(memory: MemoryVersions, word: VersionWord) -> str:
    """Return whether an engine that goes on from a memory has its weights, as a metric's label."""
    if not memory.model or not word.version:
        return "unknown"
    return "same" if word.version == memory.model else "other"
