"""Estimates of how long requests take on the engines of one planner."""

from __future__ import annotations

import typing as t

from gradelug_policy.engine_capacity import (
    EngineCapacity,
    EngineEstimator,
    expected_first_event_s,
    has_capacity,
)
from gradelug_policy.prefill import PrefillSpeeds, RequestWork, first_event_s

from .engines import Engine
from .fair_queue import FairQueue
from .limit_desk import LimitAllocator
from .shared_health import SUSPECT_COST_S, HealthAggregator
from .weight_queue import Waiter

CROSS_HALL_COST_S = 0.03
"""Cost of using an engine in another hall: traffic between halls is charged, so that the engine in
the caller's hall is preferred when both are about equally fast."""


class EnginePerformance:
    """What the engines of a service can hold, and how fast they are.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : EngineCapacity
        Batch slots and memory of an engine.
    speeds : PrefillSpeeds
        Prefill speeds by service.
    estimator : EngineEstimator or None
        Estimates engine capacity and speed; None to ignore batch slots, memory and the speed of
        single engines.
    """

    __slots__ = ("capacity", "estimator", "service", "speeds")

    def __init__(
        self,
        service: str,
        capacity: EngineCapacity,
        speeds: PrefillSpeeds,
        estimator: EngineEstimator | None,
    ) -> None:
        self.service = service
        self.capacity = capacity
        self.speeds = speeds
        self.estimator = estimator

    @property
    def speed(self) -> float:
        """Prefill speed of an engine, in prompt tokens per second."""
        return self.speeds.speed(self.service)


class EngineCosts:
    """Estimates what a request or a load costs on each engine, in seconds.

    Parameters
    ----------
    performance : EnginePerformance
        Capacity and speed of the engines.
    limits : LimitAllocator
        Grants capacity of engines with a limit on requests per second.
    health : HealthAggregator or None
        Health of the engines as all gateways observe it, if they share it.
    fair_queue : FairQueue
        Orders requests by fair share while engines are full.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_fair_queue", "_health", "_limits", "_performance")

    def __init__(
        self,
        performance: EnginePerformance,
        limits: LimitAllocator,
        health: HealthAggregator | None,
        fair_queue: FairQueue,
        clock: t.Callable[[], float],
    ) -> None:
        self._performance = performance
        self._limits = limits
        self._health = health
        self._fair_queue = fair_queue
        self._clock = clock

    def wait_s(self, engine: Engine, work: RequestWork) -> float:
        """Return the expected time to the first event on an engine with the weights, in seconds."""
        performance = self._performance
        if performance.estimator is None:
            return first_event_s(engine.busyness(), work, performance.speed)
        pace = performance.estimator.pace(performance.service, engine.replica.name, self._clock())
        return expected_first_event_s(engine.busyness(), work, performance.capacity, pace)

    def request_cost_s(self, engine: Engine, waiter: Waiter, work: RequestWork) -> float:
        """Return the cost of a request on an engine that holds its weights, in seconds."""
        name = engine.replica.name
        cost = self.wait_s(engine, work) + self._failure_penalty_s(name, waiter)
        cost += self._limits.delay_s(name, self._clock())
        if engine.replica.hall != waiter.follower.hall:
            cost += CROSS_HALL_COST_S
        return cost

    def load_cost_s(self, engine: Engine, work: RequestWork) -> float:
        """Return the cost of a request on an engine that would load its weights, in seconds.

        The load itself is not included.
        """
        name = engine.replica.name
        return (
            self.wait_s(engine, work)
            + self._ejection_penalty_s(name)
            + self._limits.load_penalty_s(name)
        )

    def has_capacity(self, engine: Engine, waiter: Waiter, now: float) -> bool:
        """Tell whether a request fits without waiting for a batch slot or memory or displacing."""
        performance, name = self._performance, engine.replica.name
        if self._limits.delay_s(name, now) > 0:
            return False
        if performance.estimator is None:
            return True
        pace = performance.estimator.pace(performance.service, name, now)
        completion_interval_s = pace.hold_s / max(1, performance.capacity.slots)
        lead_s = self._fair_queue.dispatch_lead_s(waiter, engine, completion_interval_s, now)
        return has_capacity(engine.busyness(), waiter.work, performance.capacity, pace, lead_s)

    def _failure_penalty_s(self, replica: str, waiter: Waiter) -> float:
        if self._health is not None:
            return self._health.failure_penalty_s(replica, waiter.follower, waiter.ask.doubted)
        return SUSPECT_COST_S if replica in waiter.ask.doubted else 0.0

    def _ejection_penalty_s(self, replica: str) -> float:
        return self._health.ejection_penalty_s(replica) if self._health is not None else 0.0
