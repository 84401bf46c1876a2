"""Assigns adapters and requests to the engines of one service, for all gateway instances.

One instance per service runs the planner. It receives the requests and loads that gateways
report, decides which engine runs each request, and orders engines to load and unload weights.
"""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy import Popularity
from gradelug_policy.engine_capacity import COPY_DEMAND_HORIZON_S, EngineEstimator
from gradelug_policy.prefill import RequestWork
from gradelug_policy.quotas import QuotaCoordinator
from gradelug_policy.residency import LoadCandidate, LoadRateLimiter, choose_load_engine
from gradelug_wire import placement_pb2 as pb

from .adapter_replication import AdapterReplication
from .engine_choice import EngineChoice, EngineChooser
from .engine_costs import EngineCosts, EnginePerformance
from .engine_index import EngineIndex
from .engine_registry import EngineRegistry
from .engine_speeds import SpeedAggregator
from .engines import Engine, Phase, WeightSlot
from .fair_queue import FairQueue
from .fleet import engine_capacity_of
from .follower import Follower
from .followers import Followers, encode_load
from .limit_desk import LimitAllocator
from .load_targets import LoadTargets
from .loader import DEFAULT_VERSION, Loader, PlannedLoad
from .maintenance import MAX_PREFILL_FRACTION_PER_COPY, Maintenance
from .model import AdapterKey, EngineSpec, FleetState, PlannerTerm, ReportedLoad
from .parts import PlannerExtension
from .planner_components import PlannerComponents, PriorState
from .planning_errors import ErrorScope, PlanningErrors
from .ports import OrderTransport
from .prefix_cache import PrefixCache
from .quota_desk import QuotaServer
from .refill import Refill
from .relay import OrderRelay
from .settings import Feature
from .shared_health import HealthAggregator
from .state_sync import StateSync
from .weight_queue import Waiter, WeightQueue

log = logbook.Logger("planner")
DEMAND_HALF_LIFE_S = 4.0
"""Half-life of request rates by adapter: demand changes within seconds."""
TICK_S = 0.1
"""Interval of periodic planning."""
DECISION_DELAY_S = 0.008
"""Messages that arrive within this time share one decision."""
MAX_FAILED_LOADS_PER_DECISION = 16
"""After this many weights that cannot be loaded now, the rest of the queue, which gains less, is
not tried in the same decision: each try takes 0.7 ms with 45 engines."""
IDLE_TO_DECISION_RATIO = 4.0
"""Idle time after a decision, as a multiple of its duration: engine owners and gateways need the
event loop in between to have their messages processed."""
MAX_REDIRECT_WAIT_S = 0.5
"""A request that an engine could run waits no longer than this for a better engine: a load takes
0.25 s from the weight store."""
MIN_REDIRECT_GAIN_S = 0.1
"""Another engine must be faster by at least this: its slot is then missing for other adapters."""
REDIRECT_RETRY_S = 0.05
"""Minimum interval between searches for another engine for the same weights: a search takes 0.7 ms
with 45 engines, and held requests are checked after each message."""


class Planner:
    """Decides which engine holds which weights, issues orders and answers the gateways' requests.

    Parameters
    ----------
    service : str
        Name of the service whose engines are planned.
    owner : str
        Name of this instance.
    spec : EngineSpec
        Capacity of the service's engines.
    state : FleetState
        Replicas, versions and configuration, as last read from the platform.
    transport : OrderTransport
        Delivers orders to engines; an `OrderRelay` where instances own engines.
    window : LoadRateLimiter
        Rate limit of the weight store for loads of base models.
    clock : callable
        The runtime's clock.
    features : frozenset of Feature
        Enabled features.
    room : EngineEstimator or None
        Estimates engine capacity and speed; None to ignore batch slots, memory and the speed of
        single engines.
    prior : PriorState or None
        What is known of the service before the planner starts.
    components : PlannerComponents or None
        Components that exchange further messages with the gateways.
    errors : PlanningErrors or None
        Logs and counts errors of background tasks.
    """

    def __init__(
        self,
        service: str,
        owner: str,
        spec: EngineSpec,
        state: FleetState,
        transport: OrderTransport,
        window: LoadRateLimiter,
        clock: t.Callable[[], float],
        features: frozenset[Feature] = frozenset(Feature),
        room: EngineEstimator | None = None,
        prior: PriorState | None = None,
        components: PlannerComponents | None = None,
        errors: PlanningErrors | None = None,
    ) -> None:
        prior, components = prior or PriorState(), components or PlannerComponents()
        self.service = service
        self.state = state
        self._clock = clock
        self._errors = errors or PlanningErrors()
        self.failure: Exception | None = None
        """Error that ends this planner, raised by `run`."""
        self.term: PlannerTerm | None = None
        """Current term, under which orders are issued; None while no orders may be issued."""
        self.is_outranked = False
        """Whether an engine has seen a greater fencing token than this planner's."""
        self._prefix_cache = PrefixCache(clock)
        self.index = EngineIndex(self._prefix_cache.parts)
        """Looks up engines by the weights that they hold."""
        self.registry = EngineRegistry(
            service,
            spec,
            state,
            self.index,
            clock,
            self._on_engine_lost,
            lambda name: self.followers.mark_changed(name),
        )
        self.engines = self.registry.engines
        health = HealthAggregator(
            service, state, self.engines, lambda: self.followers.pacing.flush_s
        )
        shared_health = health if Feature.SHARED_HEALTH in features else None
        self.limits = LimitAllocator(service, state, clock, lambda: self.term is not None)
        """Grants capacity of replicas with a limit on requests per second."""
        capacity = engine_capacity_of(spec)
        self.performance = EnginePerformance(service, capacity, prior.speeds, room)
        """What the engines can hold, and how fast they are."""
        is_fair = Feature.FAIR_SHARES in features and room is not None
        self.fair_queue = FairQueue(state, lambda: self.followers.pacing.flush_s, is_fair)
        """Orders requests by fair share while engines are full."""
        self.costs = EngineCosts(
            self.performance, self.limits, shared_health, self.fair_queue, clock
        )
        """Estimates what a request or a load costs on an engine."""
        self.parts = self._new_parts(features, prior, components, shared_health)
        """Components that exchange further messages with the gateways."""
        self.followers = Followers(
            self.engines,
            clock,
            components.store,
            self.parts,
            self.index,
            Feature.SCOPED_NEWS in features,
            self.registry.cells,
        )
        self._chooser = EngineChooser(
            self.registry, state, self.costs, self.performance, self._prefix_cache, self.followers
        )
        self.popularity = Popularity(DEMAND_HALF_LIFE_S)
        self.tokens = Popularity(DEMAND_HALF_LIFE_S)
        """Rate of prompt tokens by adapter, in tokens per second."""
        self.hot: set[AdapterKey] = set()
        """Adapters for which a single copy may not suffice."""
        self._transport = transport
        self._relay = transport if isinstance(transport, OrderRelay) else None
        self.loader = Loader(self, owner, transport, clock, spec.max_concurrent_loads)
        """Carries out the loads that are decided here."""
        self._queue = WeightQueue(self.popularity, clock(), self.loader.pace.rate)
        self._maintenance = Maintenance(self, spec, window, clock)
        self._sync = StateSync(self, clock)
        self._redirect_tried_at: dict[AdapterKey, float] = {}
        """Time of the last search for another engine, by weights whose requests have a holder."""
        self.next_placement_at = -math.inf
        """Time before which no such search begins, by the runtime's clock."""
        self.copies = AdapterReplication(self, capacity, room) if room is not None else None
        """Adds copies of adapters in demand; None without an `EngineEstimator`."""
        self.refill = Refill(self, Feature.REFILL in features)
        self._tasks: set[asyncio.Task[None]] = set()
        self._decision_timer: asyncio.TimerHandle | None = None
        self.has_pending_loads = False
        """Whether requests wait for loads that cannot start yet."""
        self._last_decision_s = 0.0
        """Duration of the last decision, in seconds."""

    def _new_parts(
        self,
        features: frozenset[Feature],
        prior: PriorState,
        components: PlannerComponents,
        shared_health: HealthAggregator | None,
    ) -> tuple[PlannerExtension, ...]:
        quotas = QuotaCoordinator(
            self._clock(), prior.gateways, urgent_first=Feature.URGENT_QUOTAS in features
        )
        estimator = self.performance.estimator
        parts: tuple[PlannerExtension | None, ...] = (
            QuotaServer(quotas, self.state, lambda: self.term is not None),
            self.fair_queue,
            shared_health,
            components.poison,
            self.limits if Feature.REPLICA_LIMITS in features else None,
            components.departures,
            components.origins,
            (
                SpeedAggregator(self.service, estimator.paces, prior.speeds, self._is_prefilling)
                if estimator is not None
                else None
            ),
        )
        return tuple(part for part in parts if part is not None)

    # Lifecycle.

    async def run(self) -> None:
        """Plan until cancelled; raises the error of any decision, also of one made elsewhere."""
        publishing = asyncio.create_task(self._publish_updates())
        try:
            while True:
                self.refresh()
                self.decide()
                self.refill.start_loads(self._clock())
                if publishing.done():
                    # Raise the publisher's error: gateways would otherwise keep reconnecting to
                    # a planner that sends no updates, and not look for another one.
                    publishing.result()
                if self.failure is not None:
                    raise self.failure
                await asyncio.sleep(TICK_S)
        finally:
            self.end_term()
            publishing.cancel()
            if self._decision_timer is not None:
                self._decision_timer.cancel()
            for task in list(self._tasks):
                task.cancel()

    def begin_term(self, fence: int) -> None:
        """Issue orders from now on, under a fencing token."""
        self.end_term()
        self.term = PlannerTerm(fence)

    def end_term(self) -> None:
        """Issue no further orders, including those that are decided but not yet sent."""
        if self.term is not None:
            self.term.has_ended = True
        self.term = None

    def fail(self, exc: Exception) -> None:
        """End the term at once and the planner at its next step, because of an error."""
        self.end_term()
        self.failure = self.failure or exc

    def refresh(self) -> None:
        """Apply the platform's current list of replicas, then run periodic work.

        An error ends this planner, not its caller, which may serve requests.
        """
        try:
            self._refresh()
        except Exception as exc:
            self.fail(exc)

    def _refresh(self) -> None:
        self.registry.update()
        now = self._clock()
        self._redirect_tried_at = {
            key: at for key, at in self._redirect_tried_at.items() if at + REDIRECT_RETRY_S > now
        }
        if self.term is not None:
            self._sync.start_queries(self._awaited_keys)
            self._maintenance.run_due(self.term)

    def _awaited_keys(self) -> set[AdapterKey]:
        return {waiter.key for waiter in self._queue.waiters}

    def _on_engine_lost(self, engine: Engine, is_announced: bool) -> None:
        """Drop what is known of a retired engine by its name."""
        name = engine.replica.name
        self.refill.note_lost(engine, is_announced, self._clock())
        self.followers.forget(name)
        for part in self.parts:
            part.forget(name)

    @property
    def unsynced_engine_count(self) -> int:
        """Number of engines whose state is not known yet."""
        return sum(not engine.synced for engine in self.engines.values())

    def outranked(self) -> None:
        """End the term: another planner has a greater fencing token."""
        log.info("outranked", service=self.service, fence=self.term.fence if self.term else 0)
        self.end_term()
        self.is_outranked = True

    # Gateways.

    def join(self, instance: str, address: str) -> Follower:
        """Register a gateway's stream; an earlier stream of the same gateway is dropped."""
        earlier = self.followers.find(instance, address)
        if earlier is not None:
            log.info(
                "gateway reconnected; dropping its earlier stream",
                instance=instance,
                address=address,
            )
            self.leave(earlier)
        return self.followers.join(instance, address)

    def leave(self, follower: Follower) -> None:
        """Drop a gateway and its requests, which end with its connections."""
        if not self.followers.leave(follower):
            return
        if self._relay is not None:
            self._relay.remove_gateway(follower)
        for part in self.parts:
            part.leave(follower, self._clock())
        self._queue.forget(follower)
        for engine in self.engines.values():
            engine.forget_gateway(follower.number)

    def take(self, follower: Follower, message: pb.FromGateway) -> None:
        """Process a message from a gateway."""
        now = self._clock()
        follower.last_received_at = now
        follower.echo = pb.Echo(sent_ms=message.sent_ms, received_ms=math.ceil(now * 1000))
        follower.knows_store = message.knows_store
        follower.store_away = message.store_away
        follower.hall = message.hall or follower.hall
        follower.store_revision = message.store_revision or follower.store_revision
        follower.strength = message.strength or follower.strength
        follower.tunnel = message.tunnel or follower.tunnel
        follower.is_cut_off = message.cut_off
        self.followers.pacing.count_message(sum(use.started for use in message.uses))
        if self._relay is not None:
            self._relay.handle_message(follower, message)
        for use in message.uses:
            self._handle_use(follower, use, now)
        for load in message.loads:
            engine = self.engines.get(load.replica)
            if engine is not None:
                queued = tuple(load.queued)
                reported = ReportedLoad(load.starting, load.running, queued, load.memory_tokens)
                engine.update_load(follower.number, reported)
        for part in self.parts:
            part.take(follower, message, now)
        if message.cancelled:
            self._queue.cancel(follower, set(message.cancelled))
        for ask in message.asks:
            self._handle_ask(Waiter(follower, ask, now, self._software_of), now)
        self.schedule_decision()

    def _handle_ask(self, waiter: Waiter, now: float) -> None:
        self.loader.handle_missing(waiter.ask.absent, waiter.key)
        self.followers.note_use(waiter.follower, waiter.key)
        is_deferred = self.fair_queue.defers(waiter, bool(self.index.engines_holding(waiter.key)))
        if is_deferred or not self._try_answer(waiter, now):
            if not waiter.waits_for_capacity:
                self.popularity.note(waiter.key.text, now)
            self._queue.waiters.append(waiter)

    def _handle_use(self, follower: Follower, use: pb.Use, now: float) -> None:
        key = AdapterKey(use.model, use.adapter)
        if use.started:
            self.popularity.note(key.text, now, use.started)
            if key.adapter and self.copies is not None:
                self.copies.note(key)
        self.followers.note_use(follower, key, use.replica, use.active)
        engine = self.engines.get(use.replica)
        if engine is None:
            return
        self.tokens.note(key.text, now, use.started_tokens)
        self._prefix_cache.parts.note_sent(
            use.replica, use.started_tokens, self.performance.capacity.memory_tokens
        )
        if self.tokens.rate(key.text, now) > MAX_PREFILL_FRACTION_PER_COPY * self.performance.speed:
            self.hot.add(key)
        engine.update_use(follower.number, key, use.active)
        slot = engine.weight_slots.get(key)
        if slot is not None:
            slot.used_at = now

    async def _publish_updates(self) -> None:
        while True:
            await asyncio.sleep(self.followers.pacing.update_interval_s)
            self.followers.broadcast_updates(self.term is not None)

    # Deciding.

    def schedule_decision(self) -> None:
        """Schedule a decision that also covers messages that arrive until then."""
        if self._decision_timer is None:
            loop = asyncio.get_running_loop()
            idle_s = IDLE_TO_DECISION_RATIO * self._last_decision_s
            self._decision_timer = loop.call_later(max(DECISION_DELAY_S, idle_s), self.decide)

    def decide(self) -> None:
        """Answer waiting requests, start the most valuable loads, refuse requests out of time.

        An error ends this planner, not its caller.
        """
        try:
            self._decide()
        except Exception as exc:
            self.fail(exc)

    def _decide(self) -> None:
        if self._decision_timer is not None:
            self._decision_timer.cancel()
            self._decision_timer = None
        now = self._clock()
        self._queue.waiters = [
            waiter
            for waiter in self.limits.sort_by_urgency(
                self.fair_queue.arrange(self._queue.waiters, now)
            )
            if now < waiter.until
            and (self.fair_queue.can_skip(waiter, now) or not self._try_answer(waiter, now))
        ]
        self._queue.waiters = self.fair_queue.refuse_late(self._queue.waiters, now)
        if self.term is None:
            return
        ordered = self.fair_queue.put_over_share_last(
            self._queue.by_urgency(now, self.loader.pace.load_s), now
        )
        queued = self._start_loads(ordered, now) if ordered else []
        self.has_pending_loads = bool(queued)
        self._queue.throughput.note_queue(self.has_pending_loads, now)
        self._queue.refuse_late(queued, now, self.loader.pace.load_s)
        self._last_decision_s = self._clock() - now

    def _start_loads(self, ordered: t.Iterable[Waiter], now: float) -> list[AdapterKey]:
        """Start loads for waiting requests; return the weights that cannot be loaded yet."""
        targets = self.load_targets()
        queued: list[AdapterKey] = []
        for waiter in ordered:
            if self._chooser.is_loading(waiter):
                continue
            tried = len(queued) < MAX_FAILED_LOADS_PER_DECISION
            if not tried or not self.load(
                waiter.key, now, targets, waiter.may_use, work=waiter.work
            ):
                queued.append(waiter.key)
            else:
                self.fair_queue.note_load(waiter, now)
        return queued

    def _try_answer(self, waiter: Waiter, now: float) -> bool:
        """Answer a request if an engine that holds its weights is to run it now."""
        waiter.waits_for_capacity = False
        choice = self._chooser.choose(waiter)
        if choice is None or self._should_wait(waiter, choice, now):
            return False
        self._answer(waiter, choice, now)
        return True

    def _answer(self, waiter: Waiter, choice: EngineChoice, now: float) -> None:
        engine, work = choice.engine, choice.work
        name, slot = engine.replica.name, engine.weight_slots[waiter.key]
        # Keep the slot in use until the gateway reports the request.
        slot.used_at = now + self.followers.pacing.flush_s
        engine.reserve(waiter.follower.number, work)
        cached_prefixes = self._prefix_cache.parts
        cached_prefixes.note_credit(work.chain, work.kept_tokens, choice.max_cached_tokens)
        cached_prefixes.note(name, work.chain, now)
        load, standing = encode_load(name, engine), self.fair_queue.standing(waiter, now)
        has_room = self.limits.try_take(name, waiter.follower.instance, now)
        waiter.answer(name, slot.version, load, work.kept_tokens, standing, has_room)

    def _software_of(self, name: str) -> str:
        engine = self.engines.get(name)
        return engine.replica.software if engine is not None else ""

    def _should_wait(self, waiter: Waiter, choice: EngineChoice, now: float) -> bool:
        """Tell whether a request waits for another engine, or for capacity of the best holder.

        It does if it would miss its target there, wait for a batch slot or displace another.
        """
        # A resumed stream has a client that waits for the next event.
        is_full = not waiter.ask.begun and not self.costs.has_capacity(choice.engine, waiter, now)
        if now > waiter.asked_at + (
            self.fair_queue.max_hold_s(waiter) if is_full else MAX_REDIRECT_WAIT_S
        ):
            return False
        if now + choice.cost_s <= waiter.target_at and not is_full:
            return False
        waiter.waits_for_capacity = is_full
        if self._chooser.is_loading(waiter):
            return True
        if self.performance.estimator is not None and not self._may_try_redirect(waiter.key, now):
            return is_full
        max_cost_s = choice.cost_s - MIN_REDIRECT_GAIN_S
        # Where all holders are full, another copy also serves requests that come later.
        is_shared = is_full and not self.has_pending_loads
        uses = self.expected_uses(waiter.key, now) if is_shared else 1.0
        is_started = self.load(
            waiter.key, now, self.load_targets(), waiter.may_use, max_cost_s, waiter.work, uses
        )
        self.defer_placement(now)
        return is_started or is_full

    def defer_placement(self, started_at: float) -> None:
        """Postpone the next engine search in proportion to one that began at `started_at`."""
        self.next_placement_at = started_at + IDLE_TO_DECISION_RATIO * (self._clock() - started_at)

    def _may_try_redirect(self, key: AdapterKey, now: float) -> bool:
        """Tell whether another engine may be searched now for weights that have a holder."""
        if (
            now < self.next_placement_at
            or now < self._redirect_tried_at.get(key, -math.inf) + REDIRECT_RETRY_S
        ):
            return False
        self._redirect_tried_at[key] = now
        return True

    def _is_prefilling(self, replica: str) -> bool:
        """Tell whether an engine has prompts to prefill; true for unknown engines."""
        engine = self.engines.get(replica)
        return engine is None or engine.starting > 0

    def expected_uses(self, key: AdapterKey, now: float) -> float:
        """Return the expected number of requests for a further copy of an adapter, at least 1."""
        return max(1.0, COPY_DEMAND_HORIZON_S * self.popularity.rate(key.text, now))

    def requested_models(self) -> set[str]:
        """Return the base models of all waiting requests."""
        return {waiter.key.model for waiter in self._queue.waiters}

    def held_count(self) -> int:
        """Return how many requests are held until an engine has capacity."""
        return sum(waiter.waits_for_capacity for waiter in self._queue.waiters)

    def load_targets(self) -> LoadTargets:
        """Return the engines that can load an adapter now."""
        return LoadTargets(
            self.engines,
            self.index,
            self.registry.cells,
            self.popularity,
            self._transport.may_order,
            self._clock(),
        )

    def load(
        self,
        key: AdapterKey,
        now: float,
        targets: LoadTargets,
        may_use: t.Callable[[str], bool],
        max_cost_s: float = math.inf,
        work: RequestWork = RequestWork(),  # noqa: B008
        uses: float = 1.0,
    ) -> bool:
        """Start to load an adapter on the engine that can use it soonest; False if there is none.

        Parameters
        ----------
        key : AdapterKey
            Adapter to load.
        now : float
            Current time by the runtime's clock.
        targets : LoadTargets
            Engines that can load an adapter; the chosen engine's entry is invalidated.
        may_use : callable
            Takes an engine's name, returns whether it may be chosen.
        max_cost_s : float
            Maximum cost of the load, in seconds (see `choose_load_engine`).
        work : RequestWork
            Tokens and urgency of the request that waits for it.
        uses : float
            Expected requests over which the cost of the weight store is spread.
        """
        if not key.adapter or self.term is None:
            return False
        version = self.state.versions.get(key, 0) or DEFAULT_VERSION
        candidates = [
            LoadCandidate(
                name,
                target.free_slots,
                target.victims,
                target.engine.is_cached(key, version),
                self.costs.load_cost_s(target.engine, work),
            )
            for name, target in targets.candidates(key, version, may_use)
        ]
        choice = choose_load_engine(
            candidates,
            key.text,
            self.loader.costs(uses),
            self.loader.may_use_store(),
            max_cost_s,
        )
        if choice is None:
            return False
        engine = self.engines[choice.engine]
        victim = engine.evict(choice.victim) if choice.victim is not None else None
        slot = engine.weight_slots[key] = WeightSlot(version, Phase.LOADING, now)
        self._queue.throughput.note_load()
        self.followers.mark_changed(choice.engine)
        targets.invalidate(engine)
        self.loader.begin(PlannedLoad(self.term, engine, key, slot, victim, choice.cached))
        return True

    # Tasks.

    def start(self, coro: t.Coroutine[t.Any, t.Any, None], engine: Engine) -> None:
        """Run work on an engine in the background; it is cancelled when the planner ends.

        An error leaves the engine's record in doubt, so that its state is queried again.
        """
        task = asyncio.get_running_loop().create_task(coro)
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._on_task_done(task, engine))

    def _on_task_done(self, task: asyncio.Task[None], engine: Engine) -> None:
        self._tasks.discard(task)
        exc = None if task.cancelled() else task.exception()
        if exc is not None:
            engine.synced = False
            self._errors.record(
                ErrorScope.ENGINE, exc, service=self.service, replica=engine.replica.name
            )
