"""Chooses the engine for a request among those that hold its weights."""

from __future__ import annotations

import math
import random
import typing as t
from dataclasses import dataclass

from gradelug_policy.prefill import RequestWork
from gradelug_policy.prefix_cache import prefill_delay_saved_s

from .engine_costs import EngineCosts, EnginePerformance
from .engine_registry import EngineRegistry
from .engines import Engine, Phase
from .followers import Followers
from .model import FleetState
from .pacing import MAX_PLACEMENT_STATE_AGE_S
from .prefix_cache import PrefixCache, sample_holders
from .weight_queue import Waiter

MAX_UNSAMPLED_HOLDERS = 64
"""Up to this many engines are all compared for a request."""
HOLDER_SAMPLE_SIZE = 32
"""Where more engines hold the same weights, as for a base model, this many are sampled for a
request: the best of the sample is nearly the best of all."""


@dataclass(slots=True, frozen=True)
class EngineChoice:
    """The best engine for a request among those that hold its weights.

    Parameters
    ----------
    engine : Engine
        The engine.
    work : RequestWork
        Work of the request on that engine.
    cost_s : float
        Cost of the request on that engine, in seconds.
    max_cached_tokens : int
        Most prompt tokens that any of the engines compared has cached, but for the preferred engine
        of the prompt's prefix chain.
    """

    engine: Engine
    work: RequestWork
    cost_s: float
    max_cached_tokens: int


class EngineChooser:
    """Compares the engines of one planner that hold the weights of a request.

    Parameters
    ----------
    registry : EngineRegistry
        The engines.
    state : FleetState
        Versions of the weights, as last read from the platform.
    costs : EngineCosts
        Estimates what a request costs on an engine.
    performance : EnginePerformance
        Capacity and speed of the engines.
    prefix_cache : PrefixCache
        Estimates how much of a prompt an engine has cached.
    followers : Followers
        The gateways that are connected.
    """

    __slots__ = (
        "_costs",
        "_followers",
        "_performance",
        "_prefix_cache",
        "_registry",
        "_rng",
        "_state",
    )

    def __init__(
        self,
        registry: EngineRegistry,
        state: FleetState,
        costs: EngineCosts,
        performance: EnginePerformance,
        prefix_cache: PrefixCache,
        followers: Followers,
    ) -> None:
        self._registry = registry
        self._state = state
        self._costs = costs
        self._performance = performance
        self._prefix_cache = prefix_cache
        self._followers = followers
        self._rng = random.Random(0)

    def choose(self, waiter: Waiter) -> EngineChoice | None:
        """Return the engine that serves a request soonest, None if none holds its weights."""
        best: Engine | None = None
        min_cost, max_cached_tokens = math.inf, 0
        holders, newest = self._holders(waiter), self._state.versions.get(waiter.key, 0)
        preferred_name, speed = self._preferred_engine(waiter, holders), self._performance.speed
        for name, engine in holders:
            slot = engine.weight_slots.get(waiter.key)
            if slot is None or slot.phase is not Phase.READY or not waiter.may_use(name):
                continue
            work = self._prefix_cache.work_at_preferred(name, waiter.work, preferred_name, speed)
            cost = self._costs.request_cost_s(engine, waiter, work) - prefill_delay_saved_s(
                work.kept_tokens, speed
            )
            if name != preferred_name:
                max_cached_tokens = max(max_cached_tokens, work.kept_tokens)
            if slot.version >= newest and cost < min_cost:
                best, min_cost = engine, cost
        if best is None:
            return None
        work = self._prefix_cache.work_at(best.replica.name, waiter.work)
        cost_s = self._costs.request_cost_s(best, waiter, work)
        return EngineChoice(best, work, cost_s, max_cached_tokens)

    def is_loading(self, waiter: Waiter) -> bool:
        """Tell whether an engine that a request may use is loading its weights."""
        for name, engine in self._holders(waiter):
            slot = engine.weight_slots.get(waiter.key)
            if slot is not None and slot.phase is Phase.LOADING and waiter.may_use(name):
                return True
        return False

    def _preferred_engine(self, waiter: Waiter, holders: t.Collection[tuple[str, Engine]]) -> str:
        """Return the preferred engine of a request's prefix chain; empty if there is none."""
        # With recent updates, gateways send requests with a shared prefix to the preferred engine
        # of its prefix chain themselves.
        if self._followers.pacing.update_interval_s > MAX_PLACEMENT_STATE_AGE_S:
            return ""
        ready_names = (
            name for name, engine in holders if engine.holds(waiter.key) and waiter.may_use(name)
        )
        return self._prefix_cache.preferred_engine(waiter.work, ready_names)

    def _holders(self, waiter: Waiter) -> t.Collection[tuple[str, Engine]]:
        """Return engines that may hold a request's weights, a sample if there are many."""
        engines = self._registry.engines
        if len(engines) <= MAX_UNSAMPLED_HOLDERS:
            # In a fixed order: among equals the first is filled first, and others stay free.
            return engines.items()
        holders = self._registry.index.engines_holding(waiter.key)
        if waiter.software is not None:
            holders = {name: engine for name, engine in holders.items() if waiter.may_use(name)}
        if len(holders) <= MAX_UNSAMPLED_HOLDERS:
            return holders.items()
        if waiter.ask.only in holders:
            return [(waiter.ask.only, holders[waiter.ask.only])]
        return sample_holders(
            list(holders.items()), HOLDER_SAMPLE_SIZE, waiter.work.chain, self._rng
        )
