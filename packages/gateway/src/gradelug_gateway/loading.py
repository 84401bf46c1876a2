"""Carries out a planner's decisions: orders to engines, and what their answers mean."""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_policy.pace import StorePace
from gradelug_policy.residency import STORE_COST_S, LoadCosts

from .engines import REPORT_LAG_S, Engine, Phase, Place
from .model import AdapterKey, Holding, OrderOutcome, Term
from .ports import OrderTransport

if t.TYPE_CHECKING:
    from .planner import Planner

log = logbook.Logger("planner")
SPARE_STORE_FRACTION = 0.5
"""What nobody waits for leaves this part of the weight store's loads at once to what is waited for
next: a load that finds them all taken waits for a whole one."""
MIN_LOAD_EXTENSION_S = 0.06
"""A load that was not through when expected is awaited so much longer at least."""
REPORT_RETRY_DELAY_S = 0.3
"""Pause before an engine that gives no report is asked again."""
LOAD_GRACE_S = 1.5
"""An engine that lacks an adapter this soon after its load has not finished it."""
DEFAULT_VERSION = 1
"""Version of adapters for which none was named."""


@dataclass(slots=True, frozen=True)
class PlannedLoad:
    """A load that was decided, and what makes way for it.

    Parameters
    ----------
    term : Term
        Under which it was decided.
    engine : Engine
        Where.
    key : AdapterKey
        What is loaded.
    place : Place
        Booked for it.
    victim : AdapterKey or None
        What is unloaded before; None where there is a free place.
    cached : bool
        Whether the engine's host memory has it.
    """

    term: Term
    engine: Engine
    key: AdapterKey
    place: Place
    victim: AdapterKey | None
    cached: bool


class Loader:
    """Loads and unloads on the engines of one planner.

    Parameters
    ----------
    planner : Planner
        Whose decisions are carried out; it is told when places change.
    owner : str
        Name of this instance.
    transport : OrderTransport
        Gives orders.
    clock : callable
        The runtime's clock.
    first_at_once : float
        Loads at once that the weight store is known to bear; 0 if nothing is known.
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
        self.pace = StorePace(clock(), initial_concurrency)

    def costs(self, uses: float) -> LoadCosts:
        """Return what a load costs each of the requests that it is for."""
        return LoadCosts(self.pace.cached_s, self.pace.load_s, STORE_COST_S / uses)

    def may_use_store(self) -> bool:
        """Tell whether another load from the weight store may begin."""
        return self._store_loads < self.pace.at_once

    def has_spare_store_capacity(self) -> bool:
        """Tell whether a load from the weight store that nobody waits for may begin."""
        return self._store_loads < SPARE_STORE_FRACTION * self.pace.at_once

    def begin(self, planned: PlannedLoad) -> None:
        """Begin to load an adapter into a place that was booked, after unloading its victim."""
        place = planned.place
        if not planned.cached:
            self._store_loads += 1
            place.store_loads_at_start = self._store_loads
            place.was_store_saturated = self._store_loads >= self.pace.at_once
        self._planner.start(self._run_load(planned))

    def handle_missing(self, replica: str, key: AdapterKey) -> None:
        """Note that a replica said it lacks weights that it was thought to hold."""
        engine = self._planner.engines.get(replica)
        place = engine.places.get(key) if engine is not None else None
        if engine is None or place is None or place.phase is not Phase.READY:
            return
        if self._clock() - place.ready_at < LOAD_GRACE_S:
            self.extend_load(engine, key, place)
        else:
            log.info("holdings in doubt", replica=replica, weights=key.text)
            del engine.places[key]
            engine.synced = False
        self._planner.followers.mark(replica)

    def extend_load(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        """Await a load longer: the engine says that the adapter is not there yet."""
        now = self._clock()
        if place.store_loads_at_start:
            self.pace.note_late(place.store_loads_at_start, now - place.acknowledged_at, now)
        place.phase = Phase.LOADING
        place.ready_at = max(now + MIN_LOAD_EXTENSION_S, place.acknowledged_at + self.pace.load_s)
        self._planner.start(self._make_ready(engine, key, place))

    def track_unload(self, engine: Engine, key: AdapterKey, outcome: OrderOutcome) -> None:
        """Keep the place of an adapter that was not unloaded at once."""
        if outcome is not OrderOutcome.TAKEN or key in engine.places:
            # In doubt, or asked for again and booked meanwhile: the report tells what is there.
            engine.synced = False
            return
        # It is in use, as a gateway has yet to tell, and goes when its requests have ended.
        place = engine.places[key] = Place(0, Phase.UNLOADING, self._clock())
        self._planner.start(self._await_unload(engine, key, place))

    async def order(
        self, term: Term, engine: Engine, load: bool, key: AdapterKey, version: int
    ) -> OrderOutcome:
        """Give an order decided in a term; the engine's lock must be held."""
        planner = self._planner
        expected = engine.orders
        outcome = await engine.give(self._transport, load, key, version, self._owner, term)
        if outcome is OrderOutcome.LOST and load and key.adapter:
            engine.note_unacknowledged_load(expected, self._clock())
        if outcome is OrderOutcome.OUTRANKED and not planner.is_outranked:
            planner.outranked()
        return outcome

    async def sync(self, engine: Engine) -> None:
        """Take over what an engine reports, once nothing is on its way there."""
        if engine.syncing:
            return
        engine.syncing = True
        try:
            async with engine.lock:
                # What was ordered last must show in the report.
                await asyncio.sleep(REPORT_LAG_S if engine.orders else 0.0)
                report = await self._transport.report(engine.replica)
                if report is None:
                    await asyncio.sleep(REPORT_RETRY_DELAY_S)
                    return
                if engine.update_incarnation(report.born):
                    self._planner.begin_life(engine, report.born)
                    return
                engine.take_report(report, self._clock())
            log.info(
                "engine in step",
                replica=engine.replica.name,
                synced=engine.synced,
                orders=engine.orders,
                holds=[key.text for key in engine.places],
            )
            self._planner.followers.mark(engine.replica.name)
            self._planner.schedule_decision()
        finally:
            engine.syncing = False

    async def _run_load(self, planned: PlannedLoad) -> None:
        try:
            await self._execute(planned)
        finally:
            if not planned.cached:
                self._store_loads -= 1
            self._planner.followers.mark(planned.engine.replica.name)
            self._planner.schedule_decision()

    async def _execute(self, planned: PlannedLoad) -> None:
        term, engine, key, place = planned.term, planned.engine, planned.key, planned.place
        async with engine.lock:
            if term.is_over or engine.places.get(key) is not place:
                # Its victim is out of the account and still there.
                engine.discard(key, place)
                engine.synced = False
                return
            if planned.victim is not None:
                outcome = await self.order(term, engine, False, planned.victim, 0)
                if outcome is not OrderOutcome.HOLDS:
                    engine.discard(key, place)
                    self.track_unload(engine, planned.victim, outcome)
                    return
            newest = self._planner.state.versions.get(key, 0)
            place.version = newest or DEFAULT_VERSION
            outcome = await self.order(term, engine, True, key, newest)
        if outcome is OrderOutcome.HOLDS:
            self._set_ready(engine, key, place)
            return
        if outcome is not OrderOutcome.TAKEN:
            engine.discard(key, place)
            return
        # Counted from the answer: before it the order may have been given more than once.
        place.acknowledged_at = self._clock()
        load_s = self.pace.cached_s if planned.cached else self.pace.load_s
        place.ready_at = place.acknowledged_at + load_s
        await self._make_ready(engine, key, place)
        if place.store_loads_at_start:
            self.pace.note_in_time(
                place.store_loads_at_start, place.was_store_saturated, self._clock()
            )

    async def _await_unload(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        """Free a place when the engine reports that its adapter is gone."""
        engines, name = self._planner.engines, engine.replica.name
        while engines.get(name) is engine and engine.places.get(key) is place:
            await asyncio.sleep(REPORT_LAG_S)
            if engine.request_count(key):
                continue
            report = await self._transport.report(engine.replica)
            if report is not None and key not in {held.key for held in report.holdings}:
                engine.discard(key, place)
                self._planner.schedule_decision()

    async def _make_ready(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        await asyncio.sleep(max(0.0, place.ready_at - self._clock()))
        self._set_ready(engine, key, place)

    def _set_ready(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        if engine.places.get(key) is not place:
            return
        place.phase = Phase.READY
        place.ready_at = place.used_at = self._clock()
        engine.remember(Holding(key, place.version))
        self._planner.followers.mark(engine.replica.name)
        self._planner.decide()
