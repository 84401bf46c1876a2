"""Further copies of adapters, brought before the slots of their holders are used up."""

from __future__ import annotations

import itertools
import typing as t

import logbook
from gradelug_policy.engine_room import EngineRoom, Terms, copy_gain_s
from gradelug_policy.reading import Work
from gradelug_policy.residency import STORE_COST_S

from .engines import Engine, Phase
from .model import AdapterKey

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
MOST_LOOKED_AT = 200
"""Adapters that are looked at each time whether they need another copy; the others come next."""
MOST_COPIES = 8
"""Further copies that are begun each time, those of most gain."""
LEAST_COPY_RATE = 0.5
"""Requests a second below which no adapter needs one: its few would save less than a load costs."""


class Copies:
    """Looks whether the adapters of one planner need another engine.

    Parameters
    ----------
    planner : Planner
        Whose.
    terms : Terms
        What its engines can run at once.
    room : EngineRoom
        What is known of them at work.
    """

    __slots__ = ("_asked_for", "_planner", "_room", "_terms")

    def __init__(self, planner: Planner, terms: Terms, room: EngineRoom) -> None:
        self._planner = planner
        self._terms = terms
        self._room = room
        self._asked_for: dict[AdapterKey, None] = {}
        """Adapters whose requests began since it was looked whether they need another copy."""

    def note(self, key: AdapterKey) -> None:
        """Note that a request for an adapter has begun."""
        self._asked_for[key] = None

    def bring(self, now: float) -> None:
        """Bring the copies that save most."""
        planner = self._planner
        if planner.term is None or now < planner.look_from:
            return
        if planner.has_queue or not planner.loading.may_use_store():
            # What is nowhere yet goes first.
            return
        gains = self._gains(now)
        wanted = [key for key, gain_s in gains.items() if gain_s > STORE_COST_S]
        if not wanted:
            return
        openings = planner.openings()
        for key in sorted(wanted, key=lambda key: -gains[key])[:MOST_COPIES]:
            uses = planner.uses(key, now)
            least_s = min(planner.wait_s(engine, Work()) for engine in self._holders(key))
            most_s = least_s + gains[key] / uses
            if planner.load(key, now, openings, lambda name: True, most_s, uses=uses):
                log.info("further copy", weights=key.text, gain_s=round(gains[key], 2))
        planner.rest_from(now)

    def _gains(self, now: float) -> dict[AdapterKey, float]:
        """Return what a copy of each adapter that is much asked for would save, in seconds."""
        asked = list(itertools.islice(self._asked_for, MOST_LOOKED_AT))
        for key in asked:
            del self._asked_for[key]
        popularity = self._planner.popularity
        often = [key for key in asked if popularity.rate(key.text, now) >= LEAST_COPY_RATE]
        return {key: self._gain_s(key, now) for key in often}

    def _gain_s(self, key: AdapterKey, now: float) -> float:
        planner, holders = self._planner, self._holders(key)
        if len(holders) == len(planner.engines):
            return 0.0
        busy = [engine.busyness() for engine in holders]
        rate, load_s = planner.popularity.rate(key.text, now), planner.loading.pace.load_s
        return copy_gain_s(busy, rate, load_s, self._terms, self._room.hold_s(planner.service))

    def _holders(self, key: AdapterKey) -> list[Engine]:
        """Return the engines that have an adapter, or will have it soon."""
        found = [
            engine
            for engine in self._planner.index.with_key(key).values()
            if engine.places[key].phase in (Phase.LOADING, Phase.READY)
        ]
        # One with a limit takes too little to count as a holder beside others.
        limits = self._planner.limits
        return [one for one in found if not limits.is_limited(one.replica.name)] or found
