"""One engine as its planner keeps it: places, orders in their sequence, doubts."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter, OrderedDict
from enum import Enum

import logbook
from gradelug_policy.reading import Busyness, Work, add_queues, less_queue

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
HOST_PER_PLACE = 6
"""Adapters that an engine's host memory is taken to keep for each place: 36 with 6 places and 54
with 9 on the users' engines. A load that was wrongly expected from there is awaited longer."""
REPORT_LAG_S = 0.35
"""A report shows the state of some hundred ms ago."""
LOADS_AT_ONCE = 4
"""Adapters that may be on their way to an engine."""
MAX_TRIES = 3
IDLE_S = 0.06
"""An adapter makes way when it was unused this long: uses are told with a delay."""


class Phase(Enum):
    """What may be done with weights in a place."""

    LOADING = "loading"
    READY = "ready"
    LEAVING = "leaving"
    """No new requests; it is to be unloaded when its requests have ended."""
    UNLOADING = "unloading"
    """Ordered to go; the engine still runs requests that use it."""


class Place:
    """A place of an engine with weights in it."""

    __slots__ = (
        "at_limit",
        "began_at",
        "ordered_at",
        "phase",
        "ready_at",
        "under_way",
        "used_at",
        "version",
    )

    def __init__(self, version: int, phase: Phase, now: float) -> None:
        self.version = version
        self.phase = phase
        self.began_at = now
        self.ordered_at = now
        """When the engine answered the order to load it."""
        self.ready_at = now
        self.used_at = now
        self.at_limit = False
        """Whether as many loads as allowed were under way when its own began."""
        self.under_way = 0
        """Loads from the weight store under way when its own began; 0 for other loads."""


class Engine:
    """State of an engine.

    Parameters
    ----------
    replica : Replica
        As it says of itself.
    spec : EngineSpec
        What replicas of its service are like.
    """

    __slots__ = (
        "active",
        "cached",
        "_loads",
        "_total",
        "lock",
        "orders",
        "places",
        "replica",
        "spec",
        "synced",
        "syncing",
    )

    def __init__(self, replica: Replica, spec: EngineSpec) -> None:
        self.replica = replica
        self.spec = spec
        self.orders = 0
        self.places: dict[AdapterKey, Place] = {}
        self.cached: OrderedDict[Holding, None] = OrderedDict()
        self.active: dict[AdapterKey, Counter[int]] = {}
        """Requests by weights and gateway."""
        self._loads: dict[int, ToldLoad] = {}
        """What runs there, by gateway."""
        self._total = ToldLoad()
        self.lock = asyncio.Lock()
        """Held while an order is on its way: each names how many came before it."""
        self.synced = False
        """Whether places and number of orders are known."""
        self.syncing = False

    @property
    def starting(self) -> int:
        """Requests before their first event."""
        return self._total.starting

    @property
    def running(self) -> int:
        """Requests after their first event."""
        return self._total.running

    def load(self) -> ToldLoad:
        """Return what runs there, of all gateways."""
        return self._total

    def take_load(self, gateway: int, load: ToldLoad) -> None:
        """Take over what a gateway has there.

        The sum is kept and not made anew: it is asked for with each decision about each engine.
        """
        before = self._loads.get(gateway, ToldLoad())
        self._loads[gateway] = load
        total = self._total
        self._total = ToldLoad(
            total.starting + load.starting - before.starting,
            total.running + load.running - before.running,
            less_queue(add_queues((total.queued, load.queued)), before.queued),
            total.memory + load.memory - before.memory,
        )

    def book(self, gateway: int, work: Work) -> None:
        """Count a request that a gateway was told to send here, until it tells what it has here."""
        load = self._loads.get(gateway, ToldLoad())
        prompt = (0,) * work.urgency + (work.prompt_tokens,)
        queued = add_queues((load.queued, prompt))
        memory = load.memory + work.memory_tokens
        self.take_load(gateway, ToldLoad(load.starting + 1, load.running, queued, memory))

    def busyness(self) -> Busyness:
        """Return what the engine does."""
        total = self._total
        return Busyness(total.queued, total.running, total.starting, total.memory)

    def users(self, key: AdapterKey) -> int:
        """Return how many requests use weights."""
        counts = self.active.get(key)
        return sum(counts.values()) if counts else 0

    def is_in_use(self) -> bool:
        """Tell whether any request runs there."""
        return bool(self.starting or self.running) or any(map(self.users, self.active))

    def holds(self, key: AdapterKey) -> bool:
        """Tell whether weights can be used now."""
        place = self.places.get(key)
        return place is not None and place.phase is Phase.READY

    def has_base(self, model: str) -> bool:
        """Tell whether a base model can be used now."""
        return self.holds(AdapterKey(model))

    def adapters(self) -> t.Iterator[tuple[AdapterKey, Place]]:
        """Yield the adapters in places."""
        return ((key, place) for key, place in self.places.items() if key.adapter)

    def free(self) -> int:
        """Return the number of empty places for adapters."""
        return self.spec.adapter_slots - sum(1 for _ in self.adapters())

    def loading(self) -> int:
        """Return how many adapters are on their way."""
        return sum(place.phase is Phase.LOADING for _, place in self.adapters())

    def idle(self, now: float) -> list[AdapterKey]:
        """Return the adapters that can make way."""
        return [
            key
            for key, place in self.adapters()
            if place.phase in (Phase.READY, Phase.LEAVING)
            and not self.users(key)
            and now - place.used_at >= IDLE_S
        ]

    def is_cached(self, key: AdapterKey, version: int) -> bool:
        """Tell whether host memory keeps an adapter at a version."""
        return Holding(key, version) in self.cached

    def remember(self, holding: Holding) -> None:
        """Note that host memory has a copy now."""
        self.cached[holding] = None
        self.cached.move_to_end(holding)
        while len(self.cached) > HOST_PER_PLACE * self.spec.adapter_slots:
            self.cached.popitem(last=False)

    def can_load(self) -> bool:
        """Tell whether an order to load an adapter may be given now."""
        return self.synced and self.loading() < LOADS_AT_ONCE

    def lacks(self, key: AdapterKey) -> bool:
        """Tell whether an adapter is not there although its base model is."""
        return key not in self.places and self.has_base(key.model)

    def take_out(self, text: str) -> AdapterKey:
        """Take an adapter out of its place, which another shares until the first is gone."""
        key = next(found for found in self.places if found.text == text)
        del self.places[key]
        return key

    def undo(self, key: AdapterKey, place: Place) -> None:
        """Take weights out of a place that did not get there."""
        if self.places.get(key) is place:
            del self.places[key]

    def forget(self, gateway: int) -> None:
        """Forget what a gateway ran."""
        self.take_load(gateway, ToldLoad())
        del self._loads[gateway]
        for counts in self.active.values():
            counts.pop(gateway, None)

    def take_report(self, report: EngineReport, now: float) -> None:
        """Take over what the engine reports."""
        self.orders = report.orders
        known = self.places
        self.places = {}
        for holding in report.holdings:
            old = known.get(holding.key)
            if old is not None and old.phase is Phase.UNLOADING:
                self.places[holding.key] = old
                continue
            place = Place(holding.version, Phase.READY, now)
            if old is not None:
                place.used_at = old.used_at
            self.places[holding.key] = place
        for holding in report.loading:
            self.places[holding.key] = Place(holding.version, Phase.LOADING, now)
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
        for _ in range(MAX_TRIES):
            if term.is_over:
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
