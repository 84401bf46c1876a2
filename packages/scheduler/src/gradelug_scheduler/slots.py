"""An engine's adapter slots as its owner knows them, and the loads that failed there."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

FAILED_FIRST_S = 1.0
FAILED_MOST_S = 60.0


@dataclass(slots=True)
class Slot:
    """An adapter in a slot.

    Parameters
    ----------
    loaded_at, used_at : float
        By the runtime's clock.
    draining : bool
        Nothing more is granted for it; it goes when nobody holds anything.
    unloading : bool
        An order to unload it is under way.
    """

    loaded_at: float
    used_at: float
    draining: bool = False
    unloading: bool = False

    @property
    def serves(self) -> bool:
        """Whether credits may be granted for it."""
        return not (self.draining or self.unloading)


class SlotTable:
    """What is in an engine's slots: what its owner ordered, corrected by late reports."""

    __slots__ = ("_dropped", "loading", "residents")

    def __init__(self) -> None:
        self.residents: dict[str, Slot] = {}
        self.loading: dict[str, float] = {}
        """Adapters on their way, with since when."""
        self._dropped: dict[str, float] = {}

    @property
    def taken(self) -> int:
        """Slots that are not free."""
        return len(self.residents) + len(self.loading)

    @property
    def is_draining(self) -> bool:
        """Whether a slot is being cleared."""
        return any(slot.draining for slot in self.residents.values())

    def serving(self) -> list[str]:
        """Return the adapters that credits may be granted for."""
        return [key for key, slot in self.residents.items() if slot.serves]

    def note_loaded(self, key: str, now: float) -> None:
        """Note that a load has ended well."""
        self.residents[key] = Slot(now, now)

    def note_dropped(self, key: str, now: float) -> None:
        """Note that an unload has ended well."""
        self.residents.pop(key, None)
        self._dropped[key] = now

    def restart(self, found: t.Iterable[str], now: float) -> None:
        """Begin anew with what the engine says it holds."""
        self.residents = {key: Slot(now, now) for key in found}

    def reconcile(self, found: t.Collection[str], taken_at: float, now: float) -> None:
        """Correct the table by a report whose snapshot is no older than `taken_at`."""
        for key, slot in list(self.residents.items()):
            if key not in found and taken_at > slot.loaded_at:
                del self.residents[key]
        # A report from before an unload still shows the adapter.
        self._dropped = {key: at for key, at in self._dropped.items() if at >= taken_at}
        for key in found:
            known = key in self.residents or key in self.loading or key in self._dropped
            if not known:
                self.residents[key] = Slot(now, now)


@dataclass(slots=True, frozen=True)
class FailedLoad:
    """A load that failed.

    Parameters
    ----------
    until : float
        It is not tried again before, by the runtime's clock.
    delay_s : float
        How long that is.
    reason : str
        Why it failed.
    """

    until: float
    delay_s: float
    reason: str


class FailedLoads:
    """Loads that failed on an engine, each left alone for longer the more often it failed."""

    __slots__ = ("_failed",)

    def __init__(self) -> None:
        self._failed: dict[str, FailedLoad] = {}

    def blocking(self, key: str, now: float) -> FailedLoad | None:
        """Return what keeps an adapter from being loaded at the moment."""
        failed = self._failed.get(key)
        return failed if failed is not None and failed.until > now else None

    def note(self, key: str, reason: str, now: float) -> FailedLoad:
        """Note a failure."""
        known = self._failed.get(key)
        delay_s = min(FAILED_MOST_S, known.delay_s * 2) if known else FAILED_FIRST_S
        return self.block(key, reason, now, delay_s)

    def block(self, key: str, reason: str, now: float, delay_s: float) -> FailedLoad:
        """Keep an adapter from being loaded for a while."""
        failed = self._failed[key] = FailedLoad(now + delay_s, delay_s, reason)
        return failed

    def clear(self, key: str) -> None:
        """Forget the failures of an adapter that is there now."""
        self._failed.pop(key, None)
