"""Estimates the capacity of model engines and the gain of replicating an adapter.

Engines have few slots, and popular adapters are resident on few engines. An engine whose slots are
all taken lets an urgent request preempt a run in the middle of its stream, queues further requests
and rejects those beyond its queue, while engines without the adapter have free slots. The gateway
and the planner therefore use these estimates to hold a request that finds no free slot until a run
ends or another copy of its adapter is loaded, and to load that copy before the slots of the engines
that hold the adapter are used up.

Slots and memory come from the configuration of each service; the time that a run occupies a slot is
learned.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .engine_slowness import SlowEngineDetector
from .prefill import URGENCY_LEVELS, EngineLoad, PrefillSpeeds, RequestWork, first_event_s

DEFAULT_HOLD_TIME_S = 1.5
"""Time that a run occupies its slot, assumed until a run has ended: about 100 tokens at 15 ms."""
HOLD_TIME_WEIGHT = 0.05
"""Weight of the newest run in the mean time that a slot is occupied. The first runs get no greater
weight, since those that end first are the short ones."""
MIN_HOLD_TIME_S = 0.05
"""With a shorter mean a full engine would be rated as good as a free one."""
COPY_DEMAND_HORIZON_S = 4.0
"""Period whose requests justify loading a copy; demand shifts within seconds."""
COPY_START_DELAY_S = 0.2
"""Delay besides the load itself until a copy that is needed receives requests: the next periodic
check, and the propagation of engine state."""
DEMAND_DEVIATIONS = 2.0
"""Expected arrivals in a period are the mean plus this many standard deviations (square roots of
the mean)."""
MAX_REQUEST_HOLD_S = 0.3
"""Longest time that a request is held for a free slot, from its placement request on; then it
queues at an engine. Holding longer makes more requests late than it helps: an engine starts its
next queued request as soon as a run ends, a held request starts only after that end was
reported."""
LOAD_ELSEWHERE_MARGIN_S = 0.1
"""An engine that first has to load the adapter must be faster by this, since the adapter slot that
it takes costs other requests."""
EQUAL_URGENCY = URGENCY_LEVELS // 2
"""Urgency of all requests at engines that are bound by their slots. With urgencies by rank, an
urgent request at a full batch preempts another in the middle of its stream, which then exceeds its
longest allowed pause and has its prompt processed again; and requests of lower rank are placed by
longer queues than others, so that engines fill unevenly."""
SLOT_BOUND_ENTER_RATIO = 1.5
SLOT_BOUND_EXIT_RATIO = 2.0
"""Bounds, with hysteresis, of the ratio between the prefill time of a full batch and the time that
a run occupies its slot: an engine becomes slot bound below the first and prefill bound from the
second on. They exceed 1 because a full batch steps slower than the mean from which the run time was
learned."""
MIN_RUN_TOKENS = 1.0
"""Tokens assumed of a run of unknown memory; avoids a division by zero."""


@dataclass(slots=True, frozen=True)
class EngineCapacity:
    """Concurrent requests and memory that an engine offers.

    Parameters
    ----------
    slots : int
        Concurrent requests; 0 if unknown, then slots are ignored.
    memory_tokens : int
        Tokens of prompts and answers that fit in memory; 0 if unknown, then memory is ignored.
    """

    slots: int = 0
    memory_tokens: int = 0


@dataclass(slots=True, frozen=True)
class EngineRates:
    """Rates at which an engine processes prompts and completes runs.

    Parameters
    ----------
    tokens_per_s : float
        Prefill speed, in tokens per second.
    hold_s : float
        Mean time that a run occupies a slot, in seconds.
    """

    tokens_per_s: float
    hold_s: float = DEFAULT_HOLD_TIME_S


class MeanHoldTime:
    """Learns how long runs of a service occupy a slot, for both prefill and decoding."""

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = DEFAULT_HOLD_TIME_S
        """Exponentially weighted mean, in seconds."""

    def note(self, held_s: float) -> None:
        """Add a run that succeeded and occupied its slot for `held_s` seconds."""
        self.seconds = max(
            MIN_HOLD_TIME_S, self.seconds + HOLD_TIME_WEIGHT * (held_s - self.seconds)
        )


def capacity_wait_s(
    load: EngineLoad, work: RequestWork, capacity: EngineCapacity, rates: EngineRates
) -> float:
    """Return the time until a slot and enough memory are free for a request, in seconds.

    Assumes that `n` runs end at even intervals of `hold_s / n`, each of which frees an equal part
    of the memory.
    """
    ends = 0.0
    if capacity.slots:
        ends = float(max(0, load.held - capacity.slots + 1))
    if capacity.memory_tokens:
        excess = load.memory_tokens + work.memory_tokens - capacity.memory_tokens
        run_tokens = max(MIN_RUN_TOKENS, load.memory_tokens / max(1, load.held))
        ends = max(ends, math.ceil(max(0, excess) / run_tokens))
    if not ends:
        return 0.0
    running = min(load.held, capacity.slots) if capacity.slots else load.held
    return ends * rates.hold_s / max(1, running)


def expected_first_event_s(
    load: EngineLoad, work: RequestWork, capacity: EngineCapacity, rates: EngineRates
) -> float:
    """Return the time until a request's first event, in seconds, with its wait for capacity."""
    prefill_s = first_event_s(load, work, rates.tokens_per_s)
    return prefill_s + capacity_wait_s(load, work, capacity, rates)


def has_capacity(
    load: EngineLoad,
    work: RequestWork,
    capacity: EngineCapacity,
    rates: EngineRates,
    state_age_s: float = 0.0,
) -> bool:
    """Return whether an engine can start a request without preempting another or queueing it.

    Parameters
    ----------
    state_age_s : float
        Age of the known engine state, in seconds. Runs expected to end within it count as free
        capacity; otherwise slots would stay empty for as long as reports take to arrive.
    """
    return capacity_wait_s(load, work, capacity, rates) <= state_age_s


def free_slots(load: EngineLoad, capacity: EngineCapacity) -> int:
    """Return how many slots of an engine are free."""
    return max(0, capacity.slots - load.held)


def copy_gain_s(
    holders: t.Collection[EngineLoad],
    rate: float,
    load_s: float,
    capacity: EngineCapacity,
    hold_s: float,
) -> float:
    """Return the total waiting time that another copy of an adapter would save, in seconds.

    It is 0 while the free slots of the engines that hold the adapter suffice for the requests
    expected until the copy would be loaded.

    Parameters
    ----------
    holders : collection of EngineLoad
        Load of each engine that holds or is loading the adapter.
    rate : float
        Requests per second for the adapter.
    load_s : float
        Expected duration of a load, in seconds.
    capacity : EngineCapacity
        Capacity of each of these engines.
    hold_s : float
        Mean time that a run occupies a slot, in seconds.
    """
    if not capacity.slots or not holders:
        return 0.0
    arrivals = rate * (load_s + COPY_START_DELAY_S)
    missing_slots = (
        arrivals
        + DEMAND_DEVIATIONS * math.sqrt(arrivals)
        - sum(free_slots(load, capacity) for load in holders)
    )
    if missing_slots <= 0:
        return 0.0
    wait_s = hold_s * max(1.0, missing_slots) / (capacity.slots * len(holders))
    return wait_s * rate * COPY_DEMAND_HORIZON_S


class EngineEstimator:
    """Learned speeds and run times of engines, and the estimates derived from them.

    Parameters
    ----------
    speeds : PrefillSpeeds
        Prefill speeds by service.
    paces : SlowEngineDetector, optional
        Detector of engines that are slower than the others of their service; a new one by default.
    """

    __slots__ = ("_hold_times", "_prefill_bound", "_speeds", "paces")

    def __init__(self, speeds: PrefillSpeeds, paces: SlowEngineDetector | None = None) -> None:
        self._speeds = speeds
        self._hold_times: dict[str, MeanHoldTime] = {}
        self._prefill_bound: set[str] = set()
        """Services whose engines are limited by prefill rather than by slots."""
        self.paces = paces or SlowEngineDetector()

    def with_separate_slowness(self) -> EngineEstimator:
        """Return an instance that shares the learned times but detects slow engines separately."""
        estimator = EngineEstimator(self._speeds)
        estimator._hold_times = self._hold_times
        return estimator

    def note_run(self, service: str, held_s: float) -> None:
        """Add the time, in seconds, that a successful run of a service occupied its slot."""
        self._hold_times.setdefault(service, MeanHoldTime()).note(held_s)

    def is_slot_bound(self, service: str, capacity: EngineCapacity) -> bool:
        """Return whether the engines of a service are limited by slots rather than by prefill.

        With all slots taken, an engine has to process one mean prompt per slot in the time that a
        run occupies its slot. If its prefill speed suffices for about that, slots are the
        bottleneck, and an urgent request must not preempt a run; otherwise prompts queue while
        slots are free, and urgent ones are processed first. Between the two ratios the previous
        result is kept: while requests of ranked and of equal urgency run on one engine, the former
        preempt the latter.
        """
        if not capacity.slots:
            return False
        needed_tokens = capacity.slots * self._speeds.mean_prompt(service)
        prefill_capacity_tokens = self._speeds.speed(service) * self.hold_s(service)
        is_bound = (
            needed_tokens
            < (SLOT_BOUND_ENTER_RATIO if service in self._prefill_bound else SLOT_BOUND_EXIT_RATIO)
            * prefill_capacity_tokens
        )
        (self._prefill_bound.discard if is_bound else self._prefill_bound.add)(service)
        return is_bound

    def hold_s(self, service: str) -> float:
        """Return the mean time that a run of a service occupies its slot, in seconds."""
        hold_time = self._hold_times.get(service)
        return hold_time.seconds if hold_time is not None else DEFAULT_HOLD_TIME_S

    def pace(self, service: str, replica: str, now: float) -> EngineRates:
        """Return the expected rates of an engine, with its slowness applied."""
        slowness = self.paces.slowness(service, replica, now)
        return EngineRates(self._speeds.speed(service) / slowness, self.hold_s(service) * slowness)
