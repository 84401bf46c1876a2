"""Replication of adapters to further engines before the slots of their holders are used up.

The planner records each request that starts and checks at regular intervals.
"""

from __future__ import annotations

import itertools
import typing as t

import logbook
from gradelug_policy.engine_capacity import EngineCapacity, EngineEstimator, copy_gain_s
from gradelug_policy.prefill import RequestWork
from gradelug_policy.residency import STORE_COST_S

from .engines import Engine, Phase
from .model import AdapterKey

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
MAX_ADAPTERS_CHECKED = 200
"""Maximum adapters checked per run; the others are checked in the next one."""
MAX_COPIES = 8
"""Maximum copies started per run, those with the highest gain first."""
MIN_COPY_RATE_PER_S = 0.5
"""Minimum request rate for another copy; below it a load costs more than it saves."""


class AdapterReplication:
    """Loads adapters of one planner on further engines where that saves waiting time.

    Parameters
    ----------
    planner : Planner
        The planner that places the adapters.
    terms : EngineCapacity
        Number of concurrent requests and tokens that its engines can hold.
    room : EngineEstimator
        Estimates of engine speeds and of how long requests hold a slot.
    """

    __slots__ = ("_planner", "_requested", "_room", "_terms")

    def __init__(self, planner: Planner, terms: EngineCapacity, room: EngineEstimator) -> None:
        self._planner = planner
        self._terms = terms
        self._room = room
        self._requested: dict[AdapterKey, None] = {}
        """Adapters with requests that started since they were last checked, in order."""

    def note(self, key: AdapterKey) -> None:
        """Record that a request for an adapter has started."""
        self._requested[key] = None

    def load_copies(self, now: float) -> None:
        """Start the loads of the copies that save most waiting time."""
        planner = self._planner
        if planner.term is None or now < planner.next_placement_at:
            return
        if planner.has_pending_loads or not planner.loader.may_use_store():
            # Weights that no engine holds yet take precedence.
            return
        gains = self._gains(now)
        wanted = [key for key, gain_s in gains.items() if gain_s > STORE_COST_S]
        if not wanted:
            return
        openings = planner.load_targets()
        for key in sorted(wanted, key=lambda key: -gains[key])[:MAX_COPIES]:
            uses = planner.expected_uses(key, now)
            min_wait_s = min(
                planner.costs.wait_s(engine, RequestWork()) for engine in self._holders(key)
            )
            max_wait_s = min_wait_s + gains[key] / uses
            if planner.load(key, now, openings, lambda name: True, max_wait_s, uses=uses):
                log.info(
                    "loading further copy of adapter", weights=key.text, gain_s=round(gains[key], 2)
                )
        planner.defer_placement(now)

    def _gains(self, now: float) -> dict[AdapterKey, float]:
        """Return the waiting time that a copy of each frequently used adapter saves, in seconds."""
        candidates = list(itertools.islice(self._requested, MAX_ADAPTERS_CHECKED))
        for key in candidates:
            del self._requested[key]
        popularity = self._planner.popularity
        frequent = [
            key for key in candidates if popularity.rate(key.text, now) >= MIN_COPY_RATE_PER_S
        ]
        return {key: self._gain_s(key, now) for key in frequent}

    def _gain_s(self, key: AdapterKey, now: float) -> float:
        planner, holders = self._planner, self._holders(key)
        if len(holders) == len(planner.engines):
            return 0.0
        busy = [engine.busyness() for engine in holders]
        rate, load_s = planner.popularity.rate(key.text, now), planner.loader.pace.load_s
        return copy_gain_s(busy, rate, load_s, self._terms, self._room.hold_s(planner.service))

    def _holders(self, key: AdapterKey) -> list[Engine]:
        """Return the engines that hold an adapter or are loading it."""
        found = [
            engine
            for engine in self._planner.index.engines_holding(key).values()
            if engine.weight_slots[key].phase in (Phase.LOADING, Phase.READY)
        ]
        # A rate-limited engine has too little capacity to count beside other holders.
        limits = self._planner.limits
        return [one for one in found if not limits.is_limited(one.replica.name)] or found
