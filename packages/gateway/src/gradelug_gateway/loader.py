"""Carries out the loads that a planner decides: sends orders and handles their outcomes.

It also reads the reports of engines and follows loads and unloads until they are complete.
"""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.pace import StoreConcurrencyLimit
from gradelug_policy.residency import STORE_COST_S, LoadCosts

from .engines import REPORT_LAG_S, Engine, Phase, WeightSlot
from .model import AdapterKey, Holding, OrderOutcome, PlannerTerm
from .ports import OrderTransport

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
SPARE_STORE_FRACTION = 0.5
"""Loads that no request waits for start only below this fraction of the weight store's concurrent
loads, so that a requested load need not wait for another to complete."""
MIN_LOAD_EXTENSION_S = 0.06
"""Minimum extra wait for a load that was not complete at the expected time."""
REPORT_RETRY_DELAY_S = 0.3
"""Delay before an engine that gave no report is queried again."""
LOAD_GRACE_S = 1.5
"""An adapter that an engine lacks within this time after its load is taken as still loading."""
DEFAULT_VERSION = 1
"""Version of adapters for which none is set."""


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """A load that was decided, and the adapter that is evicted for it.

    Parameters
    ----------
    term : PlannerTerm
        Term under which it was decided.
    engine : Engine
        Engine that loads the adapter.
    key : AdapterKey
        Adapter to load.
    slot : WeightSlot
        Slot of the adapter, already set on the engine.
    victim : AdapterKey or None
        Adapter to unload first; None if a slot is free.
    cached : bool
        Whether the engine's host memory holds the adapter.
    """

    term: PlannerTerm
    engine: Engine
    key: AdapterKey
    slot: WeightSlot
    victim: AdapterKey | None
    cached: bool


class Loader:
    """Loads and unloads adapters on the engines of one planner.

    Parameters
    ----------
    planner : Planner
        Planner whose decisions are carried out, and which decides again when weights change.
    owner : str
        Name of this instance.
    transport : OrderTransport
        Delivers orders to engines.
    clock : callable
        The runtime's clock.
    initial_concurrency : float
        Number of concurrent loads that the weight store sustains; 0 if unknown.
    """

    __slots__ = ("_clock", "_owner", "_planner", "_store_loads", "_transport", "pace")

    def __init__(
        self,
        planner: Planner,
        owner: str,
        transport: OrderTransport,
        clock: t.Callable[[], float],
        initial_concurrency: float = 0.0,
    ) -> None:
        self._planner = planner
        self._owner = owner
        self._transport = transport
        self._clock = clock
        self._store_loads = 0
        self.pace = StoreConcurrencyLimit(clock(), initial_concurrency)

    def costs(self, uses: float) -> LoadCosts:
        """Return the cost of a load to each of the requests that use it."""
        return LoadCosts(self.pace.expected_cached_load_s, self.pace.load_s, STORE_COST_S / uses)

    def may_use_store(self) -> bool:
        """Tell whether another load from the weight store may start."""
        return self._store_loads < self.pace.max_concurrent_loads

    def has_spare_store_capacity(self) -> bool:
        """Tell whether a load that no request waits for may start from the weight store."""
        return self._store_loads < SPARE_STORE_FRACTION * self.pace.max_concurrent_loads

    def begin(self, planned: PlannedLoad) -> None:
        """Start a planned load in the background, after unloading its victim."""
        slot = planned.slot
        if not planned.cached:
            self._store_loads += 1
            slot.store_loads_at_start = self._store_loads
            slot.was_store_saturated = self._store_loads >= self.pace.max_concurrent_loads
        self._planner.start(self._run_load(planned), planned.engine)

    def handle_missing(self, replica: str, key: AdapterKey) -> None:
        """Handle a replica's answer that it lacks weights which it was thought to hold."""
        engine = self._planner.engines.get(replica)
        slot = engine.weight_slots.get(key) if engine is not None else None
        if engine is None or slot is None or slot.phase is not Phase.READY:
            return
        if self._clock() - slot.ready_at < LOAD_GRACE_S:
            self.extend_load(engine, key, slot)
        else:
            log.info(
                "replica lacks expected weights; requesting a new report",
                replica=replica,
                weights=key.text,
            )
            del engine.weight_slots[key]
            engine.synced = False
        self._planner.followers.mark_changed(replica)

    def extend_load(self, engine: Engine, key: AdapterKey, slot: WeightSlot) -> None:
        """Wait longer for a load: the engine answered that the adapter is missing."""
        now = self._clock()
        if slot.store_loads_at_start:
            self.pace.record_late(slot.store_loads_at_start, now - slot.acknowledged_at, now)
        slot.phase = Phase.LOADING
        slot.ready_at = max(now + MIN_LOAD_EXTENSION_S, slot.acknowledged_at + self.pace.load_s)
        self._planner.start(self._make_ready(engine, key, slot), engine)

    def track_unload(self, engine: Engine, key: AdapterKey, outcome: OrderOutcome) -> None:
        """Keep the slot of an adapter that the engine did not unload at once."""
        if outcome is not OrderOutcome.TAKEN or key in engine.weight_slots:
            # Unknown outcome, or a new load was planned meanwhile: wait for the engine's report.
            engine.synced = False
            return
        # In use by a request not reported yet; the engine unloads it when its requests end.
        slot = engine.weight_slots[key] = WeightSlot(0, Phase.UNLOADING, self._clock())
        self._planner.start(self._await_unload(engine, key, slot), engine)

    async def order(
        self, term: PlannerTerm, engine: Engine, load: bool, key: AdapterKey, version: int
    ) -> OrderOutcome:
        """Send an order decided in a term; the engine's lock must be held."""
        planner = self._planner
        expected = engine.orders
        outcome = await engine.send_order(self._transport, load, key, version, self._owner, term)
        if outcome is OrderOutcome.LOST and load and key.adapter:
            planner.registry.unacknowledged_loads.note(engine, expected, self._clock())
        if outcome is OrderOutcome.OUTRANKED and not planner.is_outranked:
            planner.outranked()
        return outcome

    async def sync(self, engine: Engine) -> None:
        """Query an engine and apply its report, while no order is in flight to it."""
        if engine.syncing:
            return
        engine.syncing = True
        try:
            async with engine.lock:
                # Wait until the last order shows in the report.
                await asyncio.sleep(REPORT_LAG_S if engine.orders else 0.0)
                report = await self._transport.report(engine.replica)
                if report is None:
                    await asyncio.sleep(REPORT_RETRY_DELAY_S)
                    return
                if engine.update_incarnation(report.born):
                    self._planner.registry.replace(engine, report.born)
                    return
                engine.apply_report(report, self._clock())
            log.info(
                "engine in step",
                replica=engine.replica.name,
                is_current=not engine.is_retired,
                synced=engine.synced,
                orders=engine.orders,
                holds=[key.text for key in engine.weight_slots],
            )
            self._planner.followers.mark_changed(engine.replica.name)
            self._planner.schedule_decision()
        finally:
            engine.syncing = False

    async def _run_load(self, planned: PlannedLoad) -> None:
        try:
            await self._execute(planned)
        finally:
            if not planned.cached:
                self._store_loads -= 1
            self._planner.followers.mark_changed(planned.engine.replica.name)
            self._planner.schedule_decision()

    async def _execute(self, planned: PlannedLoad) -> None:
        term, engine, key, slot = planned.term, planned.engine, planned.key, planned.slot
        async with engine.lock:
            if term.has_ended or not engine.has_slot(key, slot):
                # The victim was removed from the record but is still on the engine.
                engine.discard(key, slot)
                engine.synced = False
                return
            if planned.victim is not None:
                outcome = await self.order(term, engine, False, planned.victim, 0)
                if outcome is not OrderOutcome.HOLDS:
                    engine.discard(key, slot)
                    self.track_unload(engine, planned.victim, outcome)
                    return
            newest = self._planner.state.versions.get(key, 0)
            slot.version = newest or DEFAULT_VERSION
            outcome = await self.order(term, engine, True, key, newest)
        if outcome is OrderOutcome.HOLDS:
            self._set_ready(engine, key, slot)
            return
        if outcome is not OrderOutcome.TAKEN:
            engine.discard(key, slot)
            return
        # Counted from the answer: the order may have been resent before it.
        slot.acknowledged_at = self._clock()
        load_s = self.pace.expected_cached_load_s if planned.cached else self.pace.load_s
        slot.ready_at = slot.acknowledged_at + load_s
        await self._make_ready(engine, key, slot)
        if slot.store_loads_at_start and not engine.is_retired:
            self.pace.record_success(
                slot.store_loads_at_start, slot.was_store_saturated, self._clock()
            )

    async def _await_unload(self, engine: Engine, key: AdapterKey, slot: WeightSlot) -> None:
        """Free the slot of an adapter once the engine reports that it is unloaded."""
        while engine.has_slot(key, slot):
            await asyncio.sleep(REPORT_LAG_S)
            if engine.request_count(key):
                continue
            report = await self._transport.report(engine.replica)
            if report is not None and key not in {held.key for held in report.holdings}:
                engine.discard(key, slot)
                self._planner.schedule_decision()

    async def _make_ready(self, engine: Engine, key: AdapterKey, slot: WeightSlot) -> None:
        await asyncio.sleep(max(0.0, slot.ready_at - self._clock()))
        self._set_ready(engine, key, slot)

    def _set_ready(self, engine: Engine, key: AdapterKey, slot: WeightSlot) -> None:
        if not engine.has_slot(key, slot):
            return
        slot.phase = Phase.READY
        slot.ready_at = slot.used_at = self._clock()
        engine.add_cached(Holding(key, slot.version))
        self._planner.followers.mark_changed(engine.replica.name)
        self._planner.decide()
