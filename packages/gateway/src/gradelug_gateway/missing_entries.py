"""Replicas that are used although an outage of the platform store removed their entries.

Replicas cannot renew their entries during an outage. Those that run write them again soon after its
end; the others have left.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import logbook
from gradelug_coordination import Mirror

from .replicas import FleetState

log = logbook.Logger("feed")


@dataclass(slots=True, frozen=True)
class MissingEntry:
    """An entry that was absent from the store's listing after an outage.

    Parameters
    ----------
    replica : str
        Name of the replica that it described.
    since, until : float
        When it was first missed, and until when its replica is used without it, in seconds of the
        runtime's clock.
    """

    replica: str
    since: float
    until: float


class MissingEntries:
    """Decides for how long replicas are used without their entries.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store; knows which keys an outage may have removed.
    state : FleetState
        View of the fleet; its `missing` is kept up to date.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = ("_by_key", "_clock", "_mirror", "_state")

    def __init__(self, mirror: Mirror, state: FleetState, clock: t.Callable[[], float]) -> None:
        self._mirror = mirror
        self._state = state
        self._clock = clock
        self._by_key: dict[str, MissingEntry] = {}

    def keeps(self, key: str, replica: str) -> bool:
        """Return whether a replica whose entry is absent may still be used."""
        if key not in self._mirror.missing:
            return False
        now = self._clock()
        entry = self._by_key.get(key)
        if entry is None and now < self._mirror.settled_at:
            entry = self._note(key, replica, now)
        if entry is not None and now < entry.until:
            return True
        self._mirror.missing.discard(key)
        return False

    def remove(self, key: str) -> float:
        """Forget an entry, and return for how long it was missing, in seconds."""
        entry = self._by_key.pop(key, None)
        if entry is None:
            return 0.0
        self._state.missing.discard(entry.replica)
        return self._clock() - entry.since

    def remove_restored(self) -> None:
        """Forget the entries that were written again."""
        for key in [key for key in self._by_key if key in self._mirror.entries]:
            self.remove(key)

    def _note(self, key: str, replica: str, now: float) -> MissingEntry:
        entry = self._by_key[key] = MissingEntry(replica, now, self._mirror.settled_at)
        if replica in self._state.replicas:
            self._state.missing.add(replica)
            log.info("replica kept while its entry is missing", replica=replica)
        return entry
