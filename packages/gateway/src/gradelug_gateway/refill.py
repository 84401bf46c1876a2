"""Adapters that were lost with their engine, brought elsewhere before they are asked for."""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.engine_room import COPY_USE_S
from gradelug_policy.reading import Work
from gradelug_policy.refill import refill_gain_s
from gradelug_policy.residency import MISSED_COST_S

from .engines import Engine, Phase
from .model import AdapterKey
from .openings import count_copies

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
MOST_LOST = 1_024
"""Lost adapters that are remembered, the latest: those of several tens of engines."""
MOST_LOADS = 8
"""Begun each time, those of most gain: a tenth of a second's work of the weight store."""


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
        self._lost: dict[AdapterKey, float] = {}
        """When each was lost, by the runtime's clock; the latest last."""

    def note_lost(self, engine: Engine, now: float) -> None:
        """Note that an engine is gone, about to go or empty; it is not in the index any more."""
        if not self._is_on:
            return
        for key, place in engine.places.items():
            held = place.phase in (Phase.LOADING, Phase.READY)
            if held and key.adapter and not count_copies(self._planner.index, key):
                self._lost.pop(key, None)
                self._lost[key] = now
        while len(self._lost) > MOST_LOST:
            del self._lost[next(iter(self._lost))]

    def bring(self, now: float) -> None:
        """Bring those that save most, as long as nothing waits for the weight store."""
        gains = self._gains(now)
        planner = self._planner
        if not gains or planner.term is None or now < planner.look_from or planner.has_queue:
            return
        openings = planner.openings()
        for key in sorted(gains, key=lambda key: -gains[key])[:MOST_LOADS]:
            if not planner.loading.may_use_store():
                break
            uses, most_s = planner.uses(key, now), self._most_s(key, now)
            if planner.load(key, now, openings, lambda name: True, most_s, uses=uses):
                del self._lost[key]
                log.info("brought ahead", weights=key.text, gain_s=round(gains[key], 2))
        planner.rest_from(now)

    def _gains(self, now: float) -> dict[AdapterKey, float]:
        """Return what each that is still lost would save, in seconds; forget the others."""
        planner = self._planner
        gains: dict[AdapterKey, float] = {}
        for key, lost_at in list(self._lost.items()):
            rate = planner.popularity.rate(key.text, now)
            gain_s = refill_gain_s(rate, planner.loading.pace.load_s, COPY_USE_S)
            if now > lost_at + COPY_USE_S or gain_s <= 0 or count_copies(planner.index, key):
                del self._lost[key]
                continue
            gains[key] = gain_s
        return gains

    def _most_s(self, key: AdapterKey, now: float) -> float:
        """Return what a load may cost: nothing makes way that is asked for more often."""
        planner = self._planner
        costs = planner.loading.costs(planner.uses(key, now))
        least_s = min(planner.wait_s(engine, Work()) for engine in planner.engines.values())
        missed_s = MISSED_COST_S * planner.popularity.rate(key.text, now)
        return costs.store_s + costs.price_s + least_s + missed_s
