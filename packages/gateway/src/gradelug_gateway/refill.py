"""Adapters that were lost with their engine, brought elsewhere before they are asked for."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.engine_room import COPY_USE_S
from gradelug_policy.refill import refill_gain_s

from .engines import Engine, Phase
from .model import AdapterKey
from .openings import Openings, count_copies

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
MAX_LOST_ADAPTERS = 256
"""Lost adapters that are remembered, those of most gain: looking at them takes some 2 ms."""
MAX_LOADS_PER_PASS = 8
"""Begun each time, those of most gain; the others come a tenth of a second later."""
MAX_ATTEMPTS_PER_PASS = 16
"""Where there is no place for so many of most gain there is hardly one for the others."""
LOSS_CONFIRMATION_S = 0.5
"""An engine whose entry goes without a word may be back after the next news of the store."""


@dataclass(slots=True, frozen=True)
class _LostAdapter:
    """An adapter that its only holder took along.

    Parameters
    ----------
    due_at : float
        From when it is brought elsewhere, by the runtime's clock.
    gain_s : float
        What that was expected to save when it was lost, in seconds.
    """

    due_at: float
    gain_s: float


class Refill:
    """Remembers what engines held alone when they were lost, and brings it elsewhere.

    Nothing of it outlives the planner: its successor has seen no demand by which to choose.

    Parameters
    ----------
    planner : Planner
        Whose engines.
    is_on : bool
        Whether anything is brought ahead of demand.
    """

    __slots__ = ("_is_on", "_lost", "_planner")

    def __init__(self, planner: Planner, is_on: bool) -> None:
        self._planner = planner
        self._is_on = is_on
        self._lost: dict[AdapterKey, _LostAdapter] = {}

    def note_lost(self, engine: Engine, is_announced: bool, now: float) -> None:
        """Note that an engine is gone, about to go or empty; it is not in the index any more.

        Parameters
        ----------
        engine : Engine
            Which.
        is_told : bool
            Whether it said so; else it may be back soon.
        now : float
            By the runtime's clock.
        """
        if not self._is_on:
            return
        due_at = now if is_announced else now + LOSS_CONFIRMATION_S
        for key, place in engine.places.items():
            if not key.adapter or place.phase is Phase.UNLOADING:
                continue
            gain_s = self._gain_s(key, now)
            if gain_s > 0 and not count_copies(self._planner.index, key):
                self._lost[key] = _LostAdapter(due_at, gain_s)
        if len(self._lost) > MAX_LOST_ADAPTERS:
            by_gain = sorted(self._lost.items(), key=lambda item: -item[1].gain_s)
            self._lost = dict(by_gain[:MAX_LOST_ADAPTERS])

    def start_loads(self, now: float) -> None:
        """Bring those that save most, as long as nothing waits for the weight store."""
        planner = self._planner
        if not self._lost or planner.term is None:
            return
        self._expire(now)
        if planner.has_queue:
            return
        gains = self._gains(now)
        openings = planner.openings()
        started = 0
        for key in sorted(gains, key=lambda key: -gains[key])[:MAX_ATTEMPTS_PER_PASS]:
            if started == MAX_LOADS_PER_PASS or not planner.loading.has_spare_store_capacity():
                break
            if self._load(key, openings, now):
                started += 1
                log.info("brought ahead", weights=key.text, gain_s=round(gains[key], 2))

    def _load(self, key: AdapterKey, openings: Openings, now: float) -> bool:
        rate = self._planner.popularity.rate(key.text, now)
        uses = self._planner.uses(key, now)
        return self._planner.load(
            key, now, openings, lambda name: openings.has_slot_for(name, rate), uses=uses
        )

    def _expire(self, now: float) -> None:
        """Forget what nobody has asked for: demand is not foreseen for longer."""
        self._lost = {
            key: lost for key, lost in self._lost.items() if now <= lost.due_at + COPY_USE_S
        }

    def _gains(self, now: float) -> dict[AdapterKey, float]:
        """Return what each that is due and on no engine would save, in seconds."""
        index = self._planner.index
        due = [
            key
            for key, lost in self._lost.items()
            if lost.due_at <= now and not count_copies(index, key)
        ]
        gains = {key: self._gain_s(key, now) for key in due}
        return {key: gain_s for key, gain_s in gains.items() if gain_s > 0}

    def _gain_s(self, key: AdapterKey, now: float) -> float:
        rate = self._planner.popularity.rate(key.text, now)
        return refill_gain_s(rate, self._planner.loading.pace.load_s, COPY_USE_S)
