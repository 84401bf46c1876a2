"""Compares the weight versions of a run's memory with those that engines hold.

New versions of base models and adapters are announced while streams stall or break, so a run may
have to be resumed across a version change. The memory of a run is valid only under the weights that
produced it, but an engine that has loaded other weights meanwhile does not reject it.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, replace

UNKNOWN_VERSION = 0
"""Version number that means unknown."""
MAX_ANNOUNCEMENTS = 8
"""Version announcements stored per weights."""
START_MARGIN_S = 2.0
"""Subtracted from the deadline for a new version: instances poll the platform's store every 1.2 s
and so receive an announcement up to 1.3 s late, and a busy engine takes 0.5 s to start a
request."""


class ReportedVersion(t.NamedTuple):
    """Version of its base model that an engine reports.

    Parameters
    ----------
    version : int
        The version; 0 if the engine reports none.
    unreadable : str
        Reported text that is not a valid version; empty if there is none.
    """

    version: int = UNKNOWN_VERSION
    unreadable: str = ""


@dataclass(slots=True, frozen=True)
class WeightVersions:
    """Versions of a base model and one of its adapters, each 0 if unknown.

    Parameters
    ----------
    model : int
        Version of the base model.
    adapter : int
        Version of the adapter; 0 also where none is used.
    """

    model: int = UNKNOWN_VERSION
    adapter: int = UNKNOWN_VERSION

    @property
    def text(self) -> str:
        """Text for logs: versions of base model and adapter, `?` if unknown."""
        return f"{self.model or '?'}/{self.adapter or '?'}"

    def with_reported(self, reported: ReportedVersion) -> WeightVersions:
        """Return these versions with the reported version of the base model, if there is one."""
        return replace(self, model=reported.version) if reported.version else self


def is_loadable(memory: WeightVersions, newest: WeightVersions) -> bool:
    """Return whether a load can provide the weights that a run's memory needs.

    Engines always load the newest version.

    Parameters
    ----------
    memory : WeightVersions
        Versions of the weights that produced the memory.
    newest : WeightVersions
        Newest announced versions, 0 where none was announced.
    """
    return _is_newest(memory.model, newest.model) and _is_newest(memory.adapter, newest.adapter)


def _is_newest(version: int, newest: int) -> bool:
    # An unknown version counts as the newest only while none was announced.
    return newest == UNKNOWN_VERSION if version == UNKNOWN_VERSION else newest <= version


def is_same_version(version: int, held: int, newest: int) -> bool:
    """Return whether the weights in an engine are those that produced a run's memory.

    Parameters
    ----------
    version : int
        Version of the weights that produced the memory, 0 if unknown.
    held : int
        Version that the engine reports, 0 if it reports none.
    newest : int
        Newest announced version, 0 if none was announced.
    """
    if version == UNKNOWN_VERSION or held == UNKNOWN_VERSION:
        return newest == UNKNOWN_VERSION
    return version == held


class VersionAnnouncements:
    """Times at which announcements of weight versions were received."""

    __slots__ = ("_announced",)

    def __init__(self) -> None:
        self._announced: dict[t.Hashable, list[tuple[int, float]]] = {}

    def note(self, key: t.Hashable, version: int, now: float) -> None:
        """Record that the announcement of a version was received."""
        announced = self._announced.setdefault(key, [])
        announced.append((version, now))
        del announced[:-MAX_ANNOUNCEMENTS]

    def superseded_for_s(self, key: t.Hashable, version: int, now: float) -> float:
        """Return the time since a newer version was announced, in seconds; 0 if none was."""
        newer = [at for announced, at in self._announced.get(key, ()) if announced > version]
        return now - min(newer, default=now)


def may_start(replaced_s: float, bound_s: float) -> bool:
    """Return whether a request may still start under an older version.

    Parameters
    ----------
    replaced_s : float
        Time since a newer version was announced, in seconds; 0 if none was.
    bound_s : float
        Time after its announcement by which a version must be in use, in seconds.
    """
    return replaced_s <= max(0.0, bound_s - START_MARGIN_S)


def compare_versions(memory: WeightVersions, reported: ReportedVersion) -> str:
    """Return the metric label for an engine that resumes a memory: do its weights match?"""
    if not memory.model or not reported.version:
        return "unknown"
    return "same" if reported.version == memory.model else "other"
