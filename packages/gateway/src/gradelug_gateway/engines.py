"""One engine as its planner keeps it: places, orders in their sequence, doubts."""

from __future__ import annotations

import asyncio
import math
import typing as t
from collections import Counter
from dataclasses import dataclass
from enum import Enum

import logbook
from gradelug_policy.reading import Busyness, Work, add_queues, less_queue

from .holders import EngineIndex, WeightSlots
from .model import (
    AdapterKey,
    EngineReport,
    EngineSpec,
    Holding,
    Order,
    OrderOutcome,
    Replica,
    Term,
    ToldLoad,
)
from .ports import OrderTransport

log = logbook.Logger("engine")
CACHED_ADAPTERS_PER_SLOT = 6
"""Adapters that an engine's host memory is taken to keep for each place: 36 with 6 places and 54
with 9 on the users' engines. A load that was wrongly expected from there is awaited longer."""
REPORT_LAG_S = 0.35
"""A report shows the state of some hundred ms ago."""
UNACKNOWLEDGED_LOAD_TTL_S = 15.0
"""An order without an answer may be carried out seconds later, 12 s at the most, and then reach a
process that has started again under the engine's name."""
MAX_CONCURRENT_LOADS = 4
"""Adapters that may be on their way to an engine."""
MAX_ORDER_ATTEMPTS = 3
EMPTY_LOAD = ToldLoad()
MIN_IDLE_BEFORE_EVICTION_S = 0.06
"""An adapter makes way when it was unused this long: uses are told with a delay."""


class Phase(Enum):
    """What may be done with weights in a place."""

    LOADING = "loading"
    READY = "ready"
    LEAVING = "leaving"
    """No new requests; it is to be unloaded when its requests have ended."""
    UNLOADING = "unloading"
    """Ordered to go; the engine still runs requests that use it."""


@dataclass(slots=True, frozen=True)
class UnacknowledgedLoad:
    """A load that was ordered in an earlier life of an engine and may still be carried out.

    Parameters
    ----------
    expected : int
        How many orders the engine must have taken then.
    until : float
        Until when it may be carried out, by the runtime's clock.
    """

    expected: int
    until: float


class Place:
    """A place of an engine with weights in it."""

    __slots__ = (
        "was_store_saturated",
        "began_at",
        "acknowledged_at",
        "phase",
        "ready_at",
        "store_loads_at_start",
        "used_at",
        "version",
    )

    def __init__(self, version: int, phase: Phase, now: float) -> None:
        self.version = version
        self.phase = phase
        self.began_at = now
        self.acknowledged_at = now
        """When the engine answered the order to load it."""
        self.ready_at = now
        self.used_at = now
        self.was_store_saturated = False
        """Whether as many loads as allowed were under way when its own began."""
        self.store_loads_at_start = 0
        """Loads from the weight store under way when its own began; 0 for other loads."""


class Engine:
    """State of an engine.

    Parameters
    ----------
    replica : Replica
        As it says of itself.
    spec : EngineSpec
        What replicas of its service are like.
    index : EngineIndex or None
        Told of what is in its places and its host memory, and when what runs there has changed.
    strays : iterable of StrayLoad
        Loads ordered in its earlier lives: a place is kept free for each as long as the engine
        may take it, since one place too many ends the engine.
    born : int
        The life that it is in, if its report tells of another one than its entry; 0 if not.
    """

    __slots__ = (
        "active",
        "sync_started_at",
        "born",
        "cached",
        "_index",
        "_loads_by_gateway",
        "_unacknowledged_loads",
        "_inherited_loads",
        "_registered_born",
        "_total_load",
        "lock",
        "is_replaced",
        "orders",
        "places",
        "replica",
        "spec",
        "synced",
        "syncing",
    )

    def __init__(
        self,
        replica: Replica,
        spec: EngineSpec,
        index: EngineIndex | None = None,
        inherited_loads: t.Iterable[UnacknowledgedLoad] = (),
        born: int = 0,
    ) -> None:
        self.replica = replica
        self.born = born or replica.born
        """Names the life of which all the rest is known."""
        self._registered_born = replica.born
        """The life that the platform's entry told last: a report may be ahead of it."""
        self.is_replaced = False
        """Whether that life is over: no order that was decided for it is given."""
        self._inherited_loads = tuple(inherited_loads)
        self._unacknowledged_loads: list[UnacknowledgedLoad] = []
        self.spec = spec
        self._index = index if index is not None else EngineIndex()
        self.orders = 0
        self.places = WeightSlots(self, self._index)
        self.cached: dict[Holding, None] = {}
        """Adapters that host memory keeps, those of the longest ago first."""
        self.active: dict[AdapterKey, Counter[int]] = {}
        """Requests by weights and gateway, of those that have any."""
        self._loads_by_gateway: dict[int, ToldLoad] = {}
        """What runs there, by gateway, of those that have anything there."""
        self._total_load = ToldLoad()
        self.lock = asyncio.Lock()
        """Held while an order is on its way: each names how many came before it."""
        self.synced = False
        """Whether places and number of orders are known."""
        self.syncing = False
        self.sync_started_at = -math.inf
        """When it was asked for its state last."""

    @property
    def starting(self) -> int:
        """Requests before their first event."""
        return self._total_load.starting

    @property
    def running(self) -> int:
        """Requests after their first event."""
        return self._total_load.running

    def load(self) -> ToldLoad:
        """Return what runs there, of all gateways."""
        return self._total_load

    def take_load(self, gateway: int, load: ToldLoad) -> None:
        """Take over what a gateway has there.

        The sum is kept and not made anew: it is asked for with each decision about each engine.
        """
        previous = self._loads_by_gateway.get(gateway, EMPTY_LOAD)
        if load.starting or load.running or any(load.queued):
            self._loads_by_gateway[gateway] = load
        else:
            self._loads_by_gateway.pop(gateway, None)
        self._index.changed_loads.add(self.replica.name)
        current = self._total_load
        self._total_load = ToldLoad(
            current.starting + load.starting - previous.starting,
            current.running + load.running - previous.running,
            less_queue(add_queues((current.queued, load.queued)), previous.queued),
            current.memory + load.memory - previous.memory,
        )

    def reserve(self, gateway: int, work: Work) -> None:
        """Count a request that a gateway was told to send here, until it tells what it has here."""
        load = self._loads_by_gateway.get(gateway, ToldLoad())
        prompt = (0,) * work.urgency + (work.reading_tokens,)
        queued = add_queues((load.queued, prompt))
        memory = load.memory + work.memory_tokens
        self.take_load(gateway, ToldLoad(load.starting + 1, load.running, queued, memory))

    def busyness(self) -> Busyness:
        """Return what the engine does."""
        current = self._total_load
        return Busyness(current.queued, current.running, current.starting, current.memory)

    @property
    def gateways(self) -> t.KeysView[int]:
        """Gateways that have requests there."""
        return self._loads_by_gateway.keys()

    def take_use(self, gateway: int, key: AdapterKey, active: int) -> None:
        """Take over how many requests of a gateway use weights."""
        counts = self.active.setdefault(key, Counter())
        if active:
            counts[gateway] = active
            return
        counts.pop(gateway, None)
        if not counts:
            del self.active[key]

    def request_count(self, key: AdapterKey) -> int:
        """Return how many requests use weights."""
        counts = self.active.get(key)
        return sum(counts.values()) if counts else 0

    def model_request_count(self, model: str) -> int:
        """Return how many requests use a base model, with an adapter or without one."""
        return sum(
            sum(counts.values()) for key, counts in self.active.items() if key.model == model
        )

    def uses_model(self, model: str) -> bool:
        """Tell whether any request uses a base model, with an adapter or without one."""
        return any(key.model == model for key in self.active)

    def has_any_model(self) -> bool:
        """Tell whether any base model can be used now."""
        return any(
            place.phase is Phase.READY for key, place in self.places.items() if not key.adapter
        )

    def drain_model(self, base: AdapterKey) -> None:
        """Take no new requests for a base model and its adapters."""
        for key, place in self.places.items():
            if key.model == base.model and place.phase is Phase.READY:
                place.phase = Phase.LEAVING

    def drop_model(self, base: AdapterKey) -> None:
        """Forget a base model that was unloaded, and its adapters with it."""
        for key in [key for key in self.places if key.model == base.model]:
            del self.places[key]

    def is_in_use(self) -> bool:
        """Tell whether any request runs there."""
        return bool(self.starting or self.running or self.active)

    def holds(self, key: AdapterKey) -> bool:
        """Tell whether weights can be used now."""
        place = self.places.get(key)
        return place is not None and place.phase is Phase.READY

    def has_model(self, model: str) -> bool:
        """Tell whether a base model can be used now."""
        return self.holds(AdapterKey(model))

    def adapters(self) -> t.Iterator[tuple[AdapterKey, Place]]:
        """Yield the adapters in places."""
        return ((key, place) for key, place in self.places.items() if key.adapter)

    def free_adapter_slots(self) -> int:
        """Return the number of empty places for adapters."""
        inherited_loads = sum(stray.expected >= self.orders for stray in self._inherited_loads)
        return self.spec.adapter_slots - inherited_loads - (len(self.places) - self.places.bases)

    def update_replica(self, rep: Replica) -> bool:
        """Take over what the replica says of itself; tell whether it began another life."""
        self.replica = rep
        if not rep.born or rep.born == self._registered_born:
            return False
        self._registered_born = rep.born
        return self.update_incarnation(rep.born)

    def update_incarnation(self, born: int) -> bool:
        """Take over which life an engine is in; tell whether it is another one than was known."""
        if not born or born == self.born:
            return False
        if not self.born:
            self.born = born
            return False
        return True

    def note_unacknowledged_load(self, expected: int, now: float) -> None:
        """Note a load without an answer, ordered after so many others."""
        self._unacknowledged_loads.append(
            UnacknowledgedLoad(expected, now + UNACKNOWLEDGED_LOAD_TTL_S)
        )

    def unacknowledged_loads(self, now: float) -> tuple[UnacknowledgedLoad, ...]:
        """Return the loads of this life and of earlier ones that may reach the next one."""
        self.drop_expired_loads(now)
        return (
            *self._inherited_loads,
            *(lost for lost in self._unacknowledged_loads if lost.until > now),
        )

    def drop_expired_loads(self, now: float) -> None:
        """Forget what cannot be carried out any more."""
        if self._inherited_loads:
            self._inherited_loads = tuple(
                stray for stray in self._inherited_loads if stray.until > now
            )
        if self._unacknowledged_loads and self._unacknowledged_loads[0].until <= now:
            self._unacknowledged_loads = [
                lost for lost in self._unacknowledged_loads if lost.until > now
            ]

    def loading_count(self) -> int:
        """Return how many adapters are on their way."""
        return sum(place.phase is Phase.LOADING for _, place in self.adapters())

    def evictable(self, now: float) -> list[AdapterKey]:
        """Return the adapters that can make way."""
        return [
            key
            for key, place in self.adapters()
            if place.phase in (Phase.READY, Phase.LEAVING)
            and not self.request_count(key)
            and now - place.used_at >= MIN_IDLE_BEFORE_EVICTION_S
        ]

    def is_cached(self, key: AdapterKey, version: int) -> bool:
        """Tell whether host memory keeps an adapter at a version."""
        return Holding(key, version) in self.cached

    def remember(self, holding: Holding) -> None:
        """Note that host memory has a copy now."""
        self.cached.pop(holding, None)
        self.cached[holding] = None
        self._index.note_cached(self, holding, True)
        while len(self.cached) > CACHED_ADAPTERS_PER_SLOT * self.spec.adapter_slots:
            oldest = next(iter(self.cached))
            del self.cached[oldest]
            self._index.note_cached(self, oldest, False)

    def can_load(self) -> bool:
        """Tell whether an order to load an adapter may be given now."""
        return self.synced and self.loading_count() < MAX_CONCURRENT_LOADS

    def is_missing(self, key: AdapterKey) -> bool:
        """Tell whether an adapter is not there although its base model is."""
        return key not in self.places and self.has_model(key.model)

    def take_out(self, text: str) -> AdapterKey:
        """Take an adapter out of its place, which another shares until the first is gone."""
        key = next(candidate for candidate in self.places if candidate.text == text)
        del self.places[key]
        return key

    def discard(self, key: AdapterKey, place: Place) -> None:
        """Take weights out of a place that did not get there."""
        if self.places.get(key) is place:
            del self.places[key]

    def forget_gateway(self, gateway: int) -> None:
        """Forget what a gateway ran."""
        if gateway in self._loads_by_gateway:
            self.take_load(gateway, EMPTY_LOAD)
        for key in [key for key, counts in self.active.items() if gateway in counts]:
            self.take_use(gateway, key, 0)

    def assume_registered_holdings(self, now: float) -> None:
        """Take what it tells of itself in the platform's store for what it holds.

        That may be late: it counts until the engine's own report, and an engine that lacks what it
        told of is taken at its word.
        """
        for holding in self.replica.holdings:
            place = self.places[holding.key] = Place(holding.version, Phase.READY, now)
            place.ready_at = -math.inf

    def take_report(self, report: EngineReport, now: float) -> None:
        """Take over what the engine reports."""
        self.orders = report.orders
        places: dict[AdapterKey, Place] = {}
        for holding in report.holdings:
            old = self.places.get(holding.key)
            if old is not None and old.phase is Phase.UNLOADING:
                places[holding.key] = old
                continue
            place = Place(holding.version, Phase.READY, now)
            if old is not None:
                place.used_at = old.used_at
            places[holding.key] = place
        for holding in report.loading:
            places[holding.key] = Place(holding.version, Phase.LOADING, now)
        self.places.replace(places)
        for holding in report.cached:
            self.remember(holding)
        self.synced = not report.busy and not report.loading

    async def give(
        self,
        transport: OrderTransport,
        load: bool,
        key: AdapterKey,
        version: int,
        owner: str,
        term: Term,
    ) -> OrderOutcome:
        """Give an order; the lock must be held. Doubtful outcomes leave it unsynced.

        An order without an answer is given again at once: it names how many orders came before
        it, so that only one of the two can take effect, whichever comes first. Nothing is sent
        once the term under which it was decided is over.
        """
        order = Order(load, key, version, self.orders, owner, term.fence)
        outcome = OrderOutcome.NOT_GIVEN
        for _ in range(MAX_ORDER_ATTEMPTS):
            if term.is_over or self.is_replaced:
                break
            outcome = await transport.order(self.replica, order)
            if outcome is not OrderOutcome.LOST:
                break
        if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS):
            self.orders += 1
        else:
            self.synced = False
        log.info(
            "order",
            replica=self.replica.name,
            load=load,
            weights=key.text,
            version=version,
            expected=order.expected,
            fence=term.fence,
            outcome=outcome.value,
        )
        return outcome
