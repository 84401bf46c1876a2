"""Places adapters on the engines of one service, on behalf of every instance."""

from __future__ import annotations

import asyncio
import math
import typing as t
from collections import Counter

import logbook
from gradelug_policy import Popularity
from gradelug_policy.pace import StorePace
from gradelug_policy.residency import (
    EnginePlaces,
    LoadCosts,
    LoadWindow,
    Victim,
    choose_home,
)
from gradelug_wire import placement_pb2 as pb

from .engines import LOADS_AT_ONCE, REPORT_LAG_S, Engine, Phase, Place
from .model import AdapterKey, EngineSpec, FleetState, Holding, OrderOutcome
from .ports import OrderTransport

log = logbook.Logger("planner")
CACHED_LOAD_S = 0.03
"""Time to load an adapter from an engine's host memory, measured on the users' bench."""
HALF_LIFE_S = 4.0
"""Demand moves within seconds."""
USUAL_LOADS_PER_S = 12.0
LEAST_LOADS_PER_S = 0.5
THROUGHPUT_S = 1.0
"""Span over which the rate of loads is taken."""
PEERS_TOLD = 6
PEERS_S = 2.0
"""So many peers are told so often to each gateway."""
TICK_S = 0.1
RESYNC_S = 0.3
JUST_LOADED_S = 1.5
"""An engine that lacks an adapter this soon after its load has not finished it."""
NOT_READY_S = 0.06
FUTURE_S = 2.0
"""Requests of the coming seconds that loaded weights will serve count like those that wait."""
FIRST_EVENT_S = 0.2
"""From loaded weights to the first event."""
LATE_GAIN = 0.4
"""An answer that is late anyway is worth about a third, whenever it comes."""
RETURNING_GAIN = 1.5
"""A caller that was refused once is not to be refused again."""
HOLD_PART = 0.15
"""A refusal comes within a quarter of the target, or not at all."""
COME_BACK_PART = 0.33
"""Callers come back after at most a third of their time."""
COME_BACK_S = 0.3
RATE_PER_COPY = 3.0
"""Requests a second for an adapter above which it gets another engine."""
FIRST_VERSION = 1


class Throughput:
    """How many loads a second begin while requests wait for some."""

    __slots__ = ("_at", "_begun", "_busy_s", "_waiting")

    def __init__(self, now: float) -> None:
        self._at = now
        self._waiting = False
        self._begun = USUAL_LOADS_PER_S * THROUGHPUT_S
        self._busy_s = THROUGHPUT_S

    def note_load(self) -> None:
        """Count a load that begins."""
        self._begun += 1

    def note_queue(self, waiting: bool, now: float) -> None:
        """Note whether requests wait for loads that cannot begin yet."""
        passed_s = now - self._at
        self._at = now
        kept = math.exp(-passed_s / THROUGHPUT_S)
        if self._waiting:
            self._begun *= kept
            self._busy_s = self._busy_s * kept + passed_s
        self._waiting = waiting

    def rate(self, now: float) -> float:
        """Return the loads a second to reckon with."""
        return max(LEAST_LOADS_PER_S, self._begun / max(self._busy_s, TICK_S))


class Gateway:
    """An instance that follows this planner."""

    __slots__ = ("address", "answers", "dirty", "instance", "number", "peers_told_at", "wake")

    def __init__(self, number: int) -> None:
        self.number = number
        self.instance = ""
        self.address = ""
        self.peers_told_at = -math.inf
        self.answers: list[pb.Answer] = []
        self.dirty: set[str] = set()
        """Replicas whose holdings it has not been told."""
        self.wake = asyncio.Event()


class Waiter:
    """A question that is not answered yet."""

    __slots__ = ("ask", "asked_at", "gateway", "key", "target_at", "until")

    def __init__(self, gateway: Gateway, ask: pb.Ask, now: float) -> None:
        self.gateway = gateway
        self.ask = ask
        self.key = AdapterKey(ask.model, ask.adapter)
        self.asked_at = now
        self.until = now + ask.wait_ms / 1000
        self.target_at = now + ask.target_ms / 1000

    def may_use(self, replica: str) -> bool:
        """Tell whether the request may run on a replica."""
        if self.ask.only:
            return replica == self.ask.only
        return replica not in self.ask.excluded


class Planner:
    """Decides what is loaded where, gives the orders, answers the instances.

    Parameters
    ----------
    service : str
        Whose engines.
    owner : str
        Name of this instance.
    spec : EngineSpec
        What the engines are like.
    state : FleetState
        What the platform has told.
    transport : OrderTransport
        Gives orders.
    window : LoadWindow
        The weight store's limit on loads of base models.
    clock : callable
        The runtime's clock.
    """

    def __init__(
        self,
        service: str,
        owner: str,
        spec: EngineSpec,
        state: FleetState,
        transport: OrderTransport,
        window: LoadWindow,
        clock: t.Callable[[], float],
    ) -> None:
        self.service = service
        self.fence = 0
        """Token for orders; 0 while none may be given."""
        self._owner = owner
        self._spec = spec
        self._state = state
        self._transport = transport
        self._window = window
        self._clock = clock
        self._popularity = Popularity(HALF_LIFE_S)
        self._waiters: list[Waiter] = []
        self._gateways: dict[int, Gateway] = {}
        self._next_gateway = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._store_loads = 0
        self._throughput = Throughput(clock())
        self._pace = StorePace()
        self.engines: dict[str, Engine] = {}
        self.is_outranked = False
        """Whether an engine has seen a greater token than this planner's."""
        self.counts: Counter[str] = Counter()

    # Life.

    async def run(self) -> None:
        """Plan until cancelled."""
        try:
            while True:
                self.refresh()
                self._pump()
                await asyncio.sleep(TICK_S)
        finally:
            self.fence = 0
            for task in list(self._tasks):
                task.cancel()

    def refresh(self) -> None:
        """Follow the replicas that the platform tells of."""
        told = {
            rep.name: rep
            for rep in self._state.replicas.values()
            if rep.service == self.service and not rep.leaving
        }
        for name in [name for name in self.engines if name not in told]:
            del self.engines[name]
            self._mark(name)
        for name, rep in told.items():
            engine = self.engines.get(name)
            if engine is None:
                engine = self.engines[name] = Engine(rep, self._spec)
            engine.replica = rep
            for holding in rep.cached:
                if holding.key.adapter and holding not in engine.cached:
                    engine.remember(holding)
            if not engine.synced and self.fence:
                self._start(self._sync(engine))
        self._renew_versions()
        self._ensure_models()
        self._add_copies()

    def outranked(self) -> None:
        """Give no further orders: another planner has a greater token."""
        log.info("outranked", service=self.service, fence=self.fence)
        self.fence = 0
        self.is_outranked = True

    # Gateways.

    def join(self) -> Gateway:
        """Take a gateway on."""
        self._next_gateway += 1
        gateway = Gateway(self._next_gateway)
        gateway.dirty.update(self.engines)
        self._gateways[gateway.number] = gateway
        return gateway

    def leave(self, gateway: Gateway) -> None:
        """Forget a gateway; what it ran ends with its connections."""
        del self._gateways[gateway.number]
        self._waiters = [waiter for waiter in self._waiters if waiter.gateway is not gateway]
        for engine in self.engines.values():
            engine.loads.pop(gateway.number, None)
            for counts in engine.active.values():
                counts.pop(gateway.number, None)

    def take(self, gateway: Gateway, message: pb.FromGateway) -> None:
        """Take a gateway's message."""
        now = self._clock()
        for use in message.uses:
            self._take_use(gateway, use, now)
        for load in message.loads:
            engine = self.engines.get(load.replica)
            if engine is not None:
                engine.loads[gateway.number] = (load.starting, load.running)
        cancelled = set(message.cancelled)
        if cancelled:
            self._waiters = [
                waiter
                for waiter in self._waiters
                if waiter.gateway is not gateway or waiter.ask.ticket not in cancelled
            ]
        for ask in message.asks:
            waiter = Waiter(gateway, ask, now)
            self._popularity.note(waiter.key.text, now)
            self._note_absent(waiter, now)
            self._waiters.append(waiter)
        self._pump()

    def compose(self, gateway: Gateway) -> pb.FromPlanner:
        """Return what a gateway is to be told."""
        message = pb.FromPlanner(gateways=len(self._gateways), active=bool(self.fence))
        message.answers.extend(gateway.answers)
        gateway.answers.clear()
        if self._clock() - gateway.peers_told_at >= PEERS_S:
            gateway.peers_told_at = self._clock()
            message.peers.extend(self._peers_of(gateway))
        for name in gateway.dirty:
            holdings = message.holdings.add(replica=name)
            engine = self.engines.get(name)
            if engine is None:
                continue
            for key, place in engine.places.items():
                if place.phase is Phase.READY:
                    holdings.held.add(model=key.model, adapter=key.adapter, version=place.version)
        gateway.dirty.clear()
        for name, engine in self.engines.items():
            message.loads.add(replica=name, starting=engine.starting, running=engine.running)
        return message

    def _peers_of(self, gateway: Gateway) -> list[str]:
        others = [
            other.address
            for other in self._gateways.values()
            if other is not gateway and other.address
        ]
        start = gateway.number % len(others) if others else 0
        return (others[start:] + others[:start])[:PEERS_TOLD]

    def _take_use(self, gateway: Gateway, use: pb.Use, now: float) -> None:
        key = AdapterKey(use.model, use.adapter)
        if use.started:
            self._popularity.note(key.text, now, use.started)
        engine = self.engines.get(use.replica)
        if engine is None:
            return
        counts = engine.active.setdefault(key, Counter())
        counts[gateway.number] = use.active
        place = engine.places.get(key)
        if place is not None:
            place.used_at = now

    def _note_absent(self, waiter: Waiter, now: float) -> None:
        engine = self.engines.get(waiter.ask.absent)
        place = engine.places.get(waiter.key) if engine is not None else None
        if engine is None or place is None or place.phase is not Phase.READY:
            return
        if now - place.ready_at < JUST_LOADED_S:
            if place.beside:
                self._pace.note_late(place.beside)
                place.beside = 0
            place.phase = Phase.LOADING
            place.ready_at = max(now + NOT_READY_S, place.began_at + self._pace.load_s)
            self._start(self._make_ready(engine, waiter.key, place))
        else:
            log.info("holdings in doubt", replica=engine.replica.name, weights=waiter.key.text)
            del engine.places[waiter.key]
            engine.synced = False
        self._mark(engine.replica.name)

    def _mark(self, replica: str) -> None:
        for gateway in self._gateways.values():
            gateway.dirty.add(replica)
            gateway.wake.set()

    def _answer(self, waiter: Waiter, replica: str, version: int) -> None:
        answer = pb.Answer(ticket=waiter.ask.ticket, replica=replica, version=version)
        waiter.gateway.answers.append(answer)
        waiter.gateway.wake.set()

    # Deciding.

    def _pump(self) -> None:
        now = self._clock()
        waiting = []
        for waiter in self._waiters:
            if now >= waiter.until or self._try_answer(waiter, now):
                continue
            waiting.append(waiter)
        self._waiters = waiting
        if not self.fence:
            return
        ordered = self._in_order(waiting, now)
        for waiter in ordered:
            self._consider_load(waiter, now)
        self._throughput.note_queue(bool(ordered), now)
        self._refuse_hopeless(ordered, now)

    def _try_answer(self, waiter: Waiter, now: float) -> bool:
        best, least = None, math.inf
        newest = self._state.versions.get(waiter.key, 0)
        for name, engine in self.engines.items():
            place = engine.places.get(waiter.key)
            if place is None or place.phase is not Phase.READY or not waiter.may_use(name):
                continue
            cost = engine.starting + 0.06 * engine.running
            if place.version >= newest and cost < least:
                best, least = name, cost
        if best is None:
            return False
        place = self.engines[best].places[waiter.key]
        place.used_at = now
        self._answer(waiter, best, place.version)
        return True

    def _in_order(self, waiting: t.Iterable[Waiter], now: float) -> list[Waiter]:
        """Return one waiter for each kind of weights, most urgent first.

        Weights that many wait for go first; age brings everybody's turn.
        """
        wanted: dict[AdapterKey, Waiter] = {}
        urgency: Counter[AdapterKey] = Counter()
        for waiter in waiting:
            wanted.setdefault(waiter.key, waiter)
            urgency[waiter.key] += self._gain(waiter, now)  # type: ignore[assignment]
        for key in wanted:
            urgency[key] += FUTURE_S * self._popularity.rate(key.text, now)  # type: ignore
        return [wanted[key] for key, _ in urgency.most_common()]

    def _gain(self, waiter: Waiter, now: float) -> float:
        """Return what is gained by loading what a request waits for now and not later."""
        gain = waiter.ask.value * (RETURNING_GAIN if waiter.ask.returning else 1.0)
        in_time = now + self._pace.load_s + FIRST_EVENT_S < waiter.target_at
        return gain if in_time else gain * LATE_GAIN

    def _refuse_hopeless(self, ordered: list[Waiter], now: float) -> None:
        """Refuse early what will not be loaded in time, so that its caller can come back."""
        ahead = 0
        rate = self._throughput.rate(now)
        late: dict[AdapterKey, float] = {}
        for waiter in ordered:
            if any(waiter.key in engine.places for engine in self.engines.values()):
                continue
            ahead += 1
            late[waiter.key] = now + ahead / rate + self._pace.load_s
        kept = []
        for waiter in self._waiters:
            ready_at = late.get(waiter.key)
            held_s = now - waiter.asked_at
            if (
                ready_at is None
                or held_s < self._hold_s(waiter)
                or waiter.ask.returning
                and ready_at < waiter.until
                or ready_at + FIRST_EVENT_S < waiter.target_at
                or held_s > 2 * self._hold_s(waiter)
            ):
                kept.append(waiter)
            else:
                self._refuse(waiter, ready_at - now)
        self._waiters = kept

    def _hold_s(self, waiter: Waiter) -> float:
        return HOLD_PART * (waiter.target_at - waiter.asked_at)

    def _refuse(self, waiter: Waiter, ready_s: float) -> None:
        most_s = COME_BACK_PART * (waiter.until - self._clock())
        retry_s = max(COME_BACK_S, min(ready_s, most_s))
        waiter.gateway.answers.append(
            pb.Answer(
                ticket=waiter.ask.ticket,
                reason="the weights would come too late",
                retry_after_ms=round(retry_s * 1000),
            )
        )
        waiter.gateway.wake.set()

    def _consider_load(self, waiter: Waiter, now: float) -> None:
        key = waiter.key
        if not key.adapter:
            return
        for engine in self.engines.values():
            place = engine.places.get(key)
            is_coming = place is not None and place.phase is Phase.LOADING
            if is_coming and waiter.may_use(engine.replica.name):
                return
        self._load(key, now, waiter.may_use)

    def _load(self, key: AdapterKey, now: float, may_use: t.Callable[[str], bool]) -> bool:
        version = self._state.versions.get(key, 0)
        store_free = self._store_loads < self._pace.at_once
        views = [
            self._view(engine, key, version, now)
            for name, engine in self.engines.items()
            if may_use(name) and self._can_take(engine, key)
        ]
        costs = LoadCosts(CACHED_LOAD_S, self._pace.load_s)
        choice = choose_home(views, key.text, costs, store_free)
        if choice is None:
            return False
        engine = self.engines[choice.engine]
        victim = None
        if choice.victim is not None:
            victim = next(found for found in engine.places if found.text == choice.victim)
            engine.places[victim].phase = Phase.LEAVING
        place = Place(version or FIRST_VERSION, Phase.LOADING, now)
        if victim is not None:
            # The two share one place until the victim is out.
            del engine.places[victim]
        engine.places[key] = place
        self._throughput.note_load()
        if not choice.cached:
            self._store_loads += 1
            place.beside = self._store_loads
        self._mark(choice.engine)
        self._start(self._swap(engine, victim, key, place, choice.cached))
        return True

    def _can_take(self, engine: Engine, key: AdapterKey) -> bool:
        return (
            engine.synced
            and engine.has_base(key.model)
            and key not in engine.places
            and engine.loading() < LOADS_AT_ONCE
        )

    def _view(self, engine: Engine, key: AdapterKey, version: int, now: float) -> EnginePlaces:
        free = engine.free()
        victims: tuple[Victim, ...] = ()
        if free <= 0:
            victims = tuple(
                Victim(found.text, self._popularity.rate(found.text, now))
                for found in engine.idle(now)
            )
        cached = engine.is_cached(key, version or FIRST_VERSION)
        name = engine.replica.name
        return EnginePlaces(name, free, victims, cached, engine.starting, engine.running)

    # Orders.

    async def _swap(
        self, engine: Engine, victim: AdapterKey | None, key: AdapterKey, place: Place, cached: bool
    ) -> None:
        try:
            await self._do_swap(engine, victim, key, place, cached)
        finally:
            if not cached:
                self._store_loads -= 1
                self._pace.note_in_time()
            self._mark(engine.replica.name)
            self._pump()

    async def _do_swap(
        self, engine: Engine, victim: AdapterKey | None, key: AdapterKey, place: Place, cached: bool
    ) -> None:
        async with engine.lock:
            if not self.fence or engine.places.get(key) is not place:
                return
            if victim is not None:
                outcome = await self._order(engine, False, victim, 0)
                if outcome is not OrderOutcome.HOLDS:
                    self._undo(engine, key, place)
                    engine.synced = False
                    return
            began = self._clock()
            outcome = await self._order(engine, True, key, self._state.versions.get(key, 0))
        if outcome is OrderOutcome.HOLDS:
            self._set_ready(engine, key, place)
            return
        if outcome is not OrderOutcome.TAKEN:
            self._undo(engine, key, place)
            return
        expected_s = CACHED_LOAD_S if cached else self._pace.load_s
        place.ready_at = began + expected_s
        await self._make_ready(engine, key, place)

    async def _make_ready(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        await asyncio.sleep(max(0.0, place.ready_at - self._clock()))
        self._set_ready(engine, key, place)
        self._mark(engine.replica.name)
        self._pump()

    def _set_ready(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        if engine.places.get(key) is not place:
            return
        place.phase = Phase.READY
        place.ready_at = place.used_at = self._clock()
        engine.remember(Holding(key, place.version))
        self._mark(engine.replica.name)

    def _undo(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        if engine.places.get(key) is place:
            del engine.places[key]

    async def _order(
        self, engine: Engine, load: bool, key: AdapterKey, version: int
    ) -> OrderOutcome:
        self.counts["orders"] += 1
        outcome = await engine.give(self._transport, load, key, version, self._owner, self.fence)
        if outcome is OrderOutcome.OUTRANKED:
            self.outranked()
        return outcome

    async def _sync(self, engine: Engine) -> None:
        if engine.syncing:
            return
        engine.syncing = True
        try:
            async with engine.lock:
                # What was ordered last must show in the report.
                await asyncio.sleep(REPORT_LAG_S if engine.orders else 0.0)
                report = await self._transport.report(engine.replica)
                if report is None:
                    await asyncio.sleep(RESYNC_S)
                    return
                engine.take_report(report, self._clock())
            log.info(
                "engine in step",
                replica=engine.replica.name,
                synced=engine.synced,
                orders=engine.orders,
                holds=[key.text for key in engine.places],
            )
            self._mark(engine.replica.name)
            self._pump()
        finally:
            engine.syncing = False

    # Upkeep.

    def _renew_versions(self) -> None:
        for key, version in self._state.versions.items():
            for engine in self.engines.values():
                place = engine.places.get(key)
                if place is None or place.version >= version or place.phase is Phase.LOADING:
                    continue
                if place.phase is Phase.READY:
                    place.phase = Phase.LEAVING
                    self._mark(engine.replica.name)
                if engine.synced and self.fence and not engine.users(key):
                    self._start(self._drop(engine, key, place))

    async def _drop(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        async with engine.lock:
            if not self.fence or not engine.synced or engine.places.get(key) is not place:
                return
            outcome = await self._order(engine, False, key, 0)
            if outcome is OrderOutcome.HOLDS:
                del engine.places[key]
            else:
                engine.synced = False

    def _ensure_models(self) -> None:
        if not self.fence:
            return
        for engine in self.engines.values():
            held = [key for key in engine.places if not key.adapter]
            if engine.synced and not held and self._spec.models:
                key = AdapterKey(self._most_wanted_model())
                place = engine.places[key] = Place(0, Phase.LOADING, self._clock())
                self._start(self._load_model(engine, key, place))

    def _most_wanted_model(self) -> str:
        holders: Counter[str] = Counter()
        for engine in self.engines.values():
            holders.update(key.model for key in engine.places if not key.adapter)
        return min(self._spec.models, key=lambda model: holders[model.name]).name

    async def _load_model(self, engine: Engine, key: AdapterKey, place: Place) -> None:
        async with engine.lock:
            if engine.places.get(key) is not place:
                return
            if not self._window.allows(self._clock()):
                self._undo(engine, key, place)
                return
            self._window.note(self._clock())
            outcome = await self._order(engine, True, key, 0)
            if outcome in (OrderOutcome.TAKEN, OrderOutcome.HOLDS):
                # Another order for this engine may only come when it is through.
                load_s = next(m.load_s for m in self._spec.models if m.name == key.model)
                await asyncio.sleep(load_s)
            # The report tells when it is there.
            self._undo(engine, key, place)
            engine.synced = False

    def _add_copies(self) -> None:
        if not self.fence:
            return
        now = self._clock()
        copies: Counter[AdapterKey] = Counter()
        for engine in self.engines.values():
            copies.update(
                key for key, place in engine.adapters() if place.phase is not Phase.LEAVING
            )
        for key, count in copies.items():
            rate = self._popularity.rate(key.text, now)
            if rate > RATE_PER_COPY * count:
                self._load(key, now, lambda name: True)

    def _start(self, coro: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a planner's task failed", why=repr(task.exception()))
