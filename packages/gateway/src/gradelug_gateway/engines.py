"""A planner's record of one engine: its weights, requests, order sequence and sync state.

The planner creates an `Engine` for each replica and replaces it when the process restarts.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from collections import Counter
from enum import Enum

import logbook
from gradelug_policy.prefill import EngineLoad, RequestWork, add_queues, subtract_queue

from .engine_index import EngineIndex, WeightSlots
from .model import (
    AdapterKey,
    EngineReport,
    EngineSpec,
    Holding,
    Order,
    OrderOutcome,
    PlannerTerm,
    Replica,
    ReportedLoad,
)
from .ports import OrderTransport
from .unacknowledged_loads import UnacknowledgedLoads

log = logbook.Logger("engine")
CACHED_ADAPTERS_PER_SLOT = 6
"""Adapters assumed to stay in an engine's host memory, for each adapter slot: engines keep 36 with
6 slots and 54 with 9. A load that was wrongly expected to come from there is awaited longer."""
REPORT_LAG_S = 0.35
"""Maximum age of the state in an engine's report, which is some hundred ms old."""
MAX_CONCURRENT_LOADS = 4
"""Adapters that may be loading on one engine."""
MAX_ORDER_ATTEMPTS = 3
"""Maximum number of sends of an order that gets no answer."""
EMPTY_LOAD = ReportedLoad()
MIN_IDLE_BEFORE_EVICTION_S = 0.06
"""Time without use before an adapter may be evicted: uses are reported with a delay."""


class Phase(Enum):
    """Lifecycle state of weights on an engine."""

    LOADING = "loading"
    READY = "ready"
    DRAINING = "leaving"
    """No new requests; unloaded when its requests have ended."""
    UNLOADING = "unloading"
    """Unload ordered; the engine still runs requests that use the weights."""


class WeightSlot:
    """Weights that an engine holds, loads or unloads, with their phase."""

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
        """Time at which the engine accepted the load order."""
        self.ready_at = now
        self.used_at = now
        self.was_store_saturated = False
        """Whether the weight store was at its limit of concurrent loads when this load started."""
        self.store_loads_at_start = 0
        """Concurrent loads from the weight store at its start, itself included; 0 if cached."""


class Engine:
    """State of one incarnation of an engine, that is, of one process under its name.

    Parameters
    ----------
    replica : Replica
        The engine's entry in the platform's store.
    spec : EngineSpec
        Capacity of the engines of its service.
    index : EngineIndex or None
        Updated when the weights, the host cache or the requests of the engine change.
    unacknowledged_loads : UnacknowledgedLoads or None
        The planner's load orders without an answer. An adapter slot stays free for each that was
        ordered from an earlier record and may still take effect, since one adapter too many crashes
        the engine.
    born : int
        Start time that identifies the incarnation, if the engine's report names another one than
        its entry; 0 to use the entry's.
    """

    __slots__ = (
        "active",
        "sync_started_at",
        "born",
        "cached",
        "index",
        "_loads_by_gateway",
        "_unacknowledged_loads",
        "_registered_born",
        "_total_load",
        "lock",
        "is_retired",
        "orders",
        "weight_slots",
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
        unacknowledged_loads: UnacknowledgedLoads | None = None,
        born: int = 0,
    ) -> None:
        self.replica = replica
        self.born = born or replica.born
        """Identifies the incarnation that this object describes; 0 if unknown."""
        self._registered_born = replica.born
        """Incarnation in the platform's last entry, which may be older than the report's."""
        self.is_retired = False
        """Whether the engine has left or restarted: orders decided for this record are not sent."""
        self._unacknowledged_loads = unacknowledged_loads or UnacknowledgedLoads()
        self.spec = spec
        self.index = index if index is not None else EngineIndex()
        self.orders = 0
        self.weight_slots = WeightSlots(self)
        self.cached: dict[Holding, None] = {}
        """Adapters in the host memory, least recently added first."""
        self.active: dict[AdapterKey, Counter[int]] = {}
        """Number of requests by weights and gateway; only entries above 0."""
        self._loads_by_gateway: dict[int, ReportedLoad] = {}
        """Reported load by gateway; only gateways with requests on the engine."""
        self._total_load = ReportedLoad()
        self.lock = asyncio.Lock()
        """Held while an order is in flight: each order carries the number of orders before it."""
        self.synced = False
        """Whether the weights and the number of orders are known."""
        self.syncing = False
        self.sync_started_at = -math.inf
        """Time of the last state query."""

    def retire(self) -> None:
        """Remove this record from the planner's index, when the engine has left or restarted.

        Reports, orders and loads that are still in progress then change nothing but this record.
        """
        self.index.drop(self)
        self.index = EngineIndex()
        self.is_retired = True

    @property
    def starting(self) -> int:
        """Requests before their first event."""
        return self._total_load.starting

    @property
    def running(self) -> int:
        """Requests after their first event."""
        return self._total_load.running

    def load(self) -> ReportedLoad:
        """Return the load from all gateways."""
        return self._total_load

    def update_load(self, gateway: int, load: ReportedLoad) -> None:
        """Set the load that one gateway reports.

        The total is updated by the difference, since each decision reads it for each engine.
        """
        previous = self._loads_by_gateway.get(gateway, EMPTY_LOAD)
        if load.starting or load.running or any(load.queued):
            self._loads_by_gateway[gateway] = load
        else:
            self._loads_by_gateway.pop(gateway, None)
        self.index.changed_loads.add(self.replica.name)
        current = self._total_load
        self._total_load = ReportedLoad(
            current.starting + load.starting - previous.starting,
            current.running + load.running - previous.running,
            subtract_queue(add_queues((current.queued, load.queued)), previous.queued),
            current.memory + load.memory - previous.memory,
        )

    def reserve(self, gateway: int, work: RequestWork) -> None:
        """Add a request assigned to this engine, until its gateway reports its load."""
        load = self._loads_by_gateway.get(gateway, ReportedLoad())
        prompt = (0,) * work.urgency + (work.prefill_tokens,)
        queued = add_queues((load.queued, prompt))
        memory = load.memory + work.memory_tokens
        self.update_load(gateway, ReportedLoad(load.starting + 1, load.running, queued, memory))

    def busyness(self) -> EngineLoad:
        """Return the engine's load in the form that the policies use."""
        current = self._total_load
        return EngineLoad(current.queued, current.running, current.starting, current.memory)

    @property
    def gateways(self) -> t.KeysView[int]:
        """Numbers of the gateways with requests on the engine."""
        return self._loads_by_gateway.keys()

    def update_use(self, gateway: int, key: AdapterKey, active: int) -> None:
        """Set how many requests of one gateway use some weights."""
        counts = self.active.setdefault(key, Counter())
        if active:
            counts[gateway] = active
            return
        counts.pop(gateway, None)
        if not counts:
            del self.active[key]

    def request_count(self, key: AdapterKey) -> int:
        """Return how many requests use some weights."""
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
        """Tell whether any base model is ready for requests."""
        return any(
            slot.phase is Phase.READY for key, slot in self.weight_slots.items() if not key.adapter
        )

    def drain_model(self, base: AdapterKey) -> None:
        """Accept no new requests for a base model and its adapters."""
        for key, slot in self.weight_slots.items():
            if key.model == base.model and slot.phase is Phase.READY:
                slot.phase = Phase.DRAINING

    def drop_model(self, base: AdapterKey) -> None:
        """Remove a base model that was unloaded, with its adapters."""
        for key in [key for key in self.weight_slots if key.model == base.model]:
            del self.weight_slots[key]

    def is_in_use(self) -> bool:
        """Tell whether the engine has any requests."""
        return bool(self.starting or self.running or self.active)

    def holds(self, key: AdapterKey) -> bool:
        """Tell whether some weights are ready for requests."""
        slot = self.weight_slots.get(key)
        return slot is not None and slot.phase is Phase.READY

    def has_model(self, model: str) -> bool:
        """Tell whether a base model is ready for requests."""
        return self.holds(AdapterKey(model))

    def adapters(self) -> t.Iterator[tuple[AdapterKey, WeightSlot]]:
        """Yield the adapters on the engine, in any phase."""
        return ((key, slot) for key, slot in self.weight_slots.items() if key.adapter)

    def free_adapter_slots(self) -> int:
        """Return the number of free adapter slots, less those reserved for inherited loads."""
        return (
            self.spec.adapter_slots
            - self._unacknowledged_loads.count_inherited(self)
            - (len(self.weight_slots) - self.weight_slots.base_model_count)
        )

    def update_replica(self, rep: Replica) -> bool:
        """Set the platform's entry; tell whether it names another incarnation."""
        self.replica = rep
        if not rep.born or rep.born == self._registered_born:
            return False
        self._registered_born = rep.born
        return self.update_incarnation(rep.born)

    def update_incarnation(self, born: int) -> bool:
        """Set the incarnation if unknown; tell whether it differs from the known one."""
        if not born or born == self.born:
            return False
        if not self.born:
            self.born = born
            return False
        return True

    def loading_count(self) -> int:
        """Return how many adapters are loading."""
        return sum(slot.phase is Phase.LOADING for _, slot in self.adapters())

    def evictable(self, now: float) -> list[AdapterKey]:
        """Return the adapters that can be evicted."""
        return [
            key
            for key, slot in self.adapters()
            if slot.phase in (Phase.READY, Phase.DRAINING)
            and not self.request_count(key)
            and now - slot.used_at >= MIN_IDLE_BEFORE_EVICTION_S
        ]

    def is_cached(self, key: AdapterKey, version: int) -> bool:
        """Tell whether the host memory holds an adapter at a version."""
        return Holding(key, version) in self.cached

    def add_cached(self, holding: Holding) -> None:
        """Add an adapter to the host cache, dropping the oldest ones beyond its size."""
        self.cached.pop(holding, None)
        self.cached[holding] = None
        self.index.note_cached(self, holding, True)
        while len(self.cached) > CACHED_ADAPTERS_PER_SLOT * self.spec.adapter_slots:
            oldest = next(iter(self.cached))
            del self.cached[oldest]
            self.index.note_cached(self, oldest, False)

    def can_load(self) -> bool:
        """Tell whether the engine can be ordered to load an adapter now."""
        return self.synced and self.loading_count() < MAX_CONCURRENT_LOADS

    def is_missing(self, key: AdapterKey) -> bool:
        """Tell whether an adapter is missing while its base model is ready."""
        return key not in self.weight_slots and self.has_model(key.model)

    def evict(self, text: str) -> AdapterKey:
        """Remove an adapter, given by its text, so that another can be loaded; return its key."""
        key = next(candidate for candidate in self.weight_slots if candidate.text == text)
        del self.weight_slots[key]
        return key

    def has_slot(self, key: AdapterKey, slot: WeightSlot) -> bool:
        """Tell whether a slot is still in use: not replaced, and the engine has not left."""
        return not self.is_retired and self.weight_slots.get(key) is slot

    def discard(self, key: AdapterKey, slot: WeightSlot) -> None:
        """Remove weights after a failed load, unless another slot has replaced the given one."""
        if self.has_slot(key, slot):
            del self.weight_slots[key]

    def forget_gateway(self, gateway: int) -> None:
        """Remove all requests of a gateway."""
        if gateway in self._loads_by_gateway:
            self.update_load(gateway, EMPTY_LOAD)
        for key in [key for key, counts in self.active.items() if gateway in counts]:
            self.update_use(gateway, key, 0)

    def assume_registered_holdings(self, now: float) -> None:
        """Assume that the engine holds the weights listed in the platform's store.

        The list may be outdated. It is used until the engine's own report, and weights that a
        replica rejects as missing are dropped.
        """
        for holding in self.replica.holdings:
            slot = self.weight_slots[holding.key] = WeightSlot(holding.version, Phase.READY, now)
            slot.ready_at = -math.inf

    def apply_report(self, report: EngineReport, now: float) -> None:
        """Apply an engine's report."""
        self.orders = report.orders
        slots: dict[AdapterKey, WeightSlot] = {}
        for holding in report.holdings:
            old = self.weight_slots.get(holding.key)
            if old is not None and old.phase is Phase.UNLOADING:
                slots[holding.key] = old
                continue
            slot = WeightSlot(holding.version, Phase.READY, now)
            if old is not None:
                slot.used_at = old.used_at
            slots[holding.key] = slot
        for holding in report.loading:
            slots[holding.key] = WeightSlot(holding.version, Phase.LOADING, now)
        self.weight_slots.replace(slots)
        for holding in report.cached:
            self.add_cached(holding)
        self.synced = not report.busy and not report.loading

    async def send_order(
        self,
        transport: OrderTransport,
        load: bool,
        key: AdapterKey,
        version: int,
        owner: str,
        term: PlannerTerm,
    ) -> OrderOutcome:
        """Send an order; the lock must be held. Uncertain outcomes leave the engine unsynced.

        An order without an answer is resent at once: it carries the number of orders before it, so
        that only one of the two can take effect, whichever arrives first. Nothing is sent once the
        term under which it was decided is over.
        """
        order = Order(load, key, version, self.orders, owner, term.fence)
        outcome = OrderOutcome.NOT_GIVEN
        for _ in range(MAX_ORDER_ATTEMPTS):
            if term.has_ended or self.is_retired:
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
