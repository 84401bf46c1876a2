"""Reloads adapters whose only holder was lost, before requests for them arrive.

The planner records them when an engine leaves, disappears or restarts, and starts the loads
periodically while no request waits for a load.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.engine_capacity import COPY_DEMAND_HORIZON_S
from gradelug_policy.refill import refill_gain_s

from .engines import Engine, Phase
from .load_targets import LoadTargets, count_copies
from .model import AdapterKey

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
MAX_LOST_ADAPTERS = 256
"""Maximum number of recorded adapters, those of most gain: each pass over them takes 2 ms."""
MAX_LOADS_PER_PASS = 8
"""Loads started in each pass, those of most gain; passes are 0.1 s apart."""
MAX_ATTEMPTS_PER_PASS = 16
"""Adapters tried in each pass: where these fit nowhere, the ones of less gain hardly would."""
LOSS_CONFIRMATION_S = 0.5
"""Delay for engines whose entry disappears unannounced: the next update from the platform's store
may contain it again."""


@dataclass(slots=True, frozen=True)
class _LostAdapter:
    """An adapter whose only holder was lost.

    Parameters
    ----------
    due_at : float
        Time from which it may be reloaded, by the runtime's clock.
    gain_s : float
        Time that a reload was expected to save when it was lost, in seconds.
    """

    due_at: float
    gain_s: float


class Refill:
    """Records adapters whose only holder was lost, and loads them on other engines.

    A new planner starts without these records: it has no request rates by which to choose.

    Parameters
    ----------
    planner : Planner
        Planner of the engines.
    is_on : bool
        Whether adapters are reloaded ahead of demand.
    """

    __slots__ = ("_is_on", "_lost", "_planner")

    def __init__(self, planner: Planner, is_on: bool) -> None:
        self._planner = planner
        self._is_on = is_on
        self._lost: dict[AdapterKey, _LostAdapter] = {}

    def note_lost(self, engine: Engine, is_announced: bool, now: float) -> None:
        """Record the adapters of a lost engine, after its removal from the index.

        Parameters
        ----------
        engine : Engine
            The lost engine.
        is_announced : bool
            Whether it announced this; otherwise it may be back soon.
        now : float
            Current time by the runtime's clock.
        """
        if not self._is_on:
            return
        due_at = now if is_announced else now + LOSS_CONFIRMATION_S
        for key, slot in engine.weight_slots.items():
            if not key.adapter or slot.phase is Phase.UNLOADING:
                continue
            gain_s = self._gain_s(key, now)
            if gain_s > 0 and not count_copies(self._planner.index, key):
                self._lost[key] = _LostAdapter(due_at, gain_s)
        if len(self._lost) > MAX_LOST_ADAPTERS:
            by_gain = sorted(self._lost.items(), key=lambda item: -item[1].gain_s)
            self._lost = dict(by_gain[:MAX_LOST_ADAPTERS])

    def start_loads(self, now: float) -> None:
        """Start the loads that save most, unless requests wait for the weight store."""
        planner = self._planner
        if not self._lost or planner.term is None:
            return
        self._expire(now)
        if planner.has_pending_loads:
            return
        gains = self._gains(now)
        targets = planner.load_targets()
        started = 0
        for key in sorted(gains, key=lambda key: -gains[key])[:MAX_ATTEMPTS_PER_PASS]:
            if started == MAX_LOADS_PER_PASS or not planner.loader.has_spare_store_capacity():
                break
            if self._load(key, targets, now):
                started += 1
                log.info(
                    "reloading lost adapter ahead of demand",
                    weights=key.text,
                    gain_s=round(gains[key], 2),
                )

    def _load(self, key: AdapterKey, targets: LoadTargets, now: float) -> bool:
        rate = self._planner.popularity.rate(key.text, now)
        uses = self._planner.expected_uses(key, now)
        return self._planner.load(
            key, now, targets, lambda name: targets.has_slot_for(name, rate), uses=uses
        )

    def _expire(self, now: float) -> None:
        """Drop adapters that were not reloaded within the horizon of the demand forecast."""
        self._lost = {
            key: lost
            for key, lost in self._lost.items()
            if now <= lost.due_at + COPY_DEMAND_HORIZON_S
        }

    def _gains(self, now: float) -> dict[AdapterKey, float]:
        """Return the time saved by each adapter that is due and on no engine, in seconds."""
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
        return refill_gain_s(rate, self._planner.loader.pace.load_s, COPY_DEMAND_HORIZON_S)
