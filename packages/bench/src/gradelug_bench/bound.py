"""A bound from below: one cache of all slots that knows the future and shares no store."""

from __future__ import annotations

import heapq
from collections import defaultdict, deque

from .measure import Figures, percentile
from .scenario import Scenario


def bound(scenario: Scenario) -> Figures:
    """Return figures that no policy can better on stalls, nor on fullness.

    Of every adapter the next use is known, and the one used last is dropped (no policy has
    fewer misses); a load never waits for the store nor for a slot. A batch is as full as if
    all requests running at a moment were packed into as few engines as they fit in.
    """
    deployment = scenario.deployment
    uses: dict[int, deque[float]] = defaultdict(deque)
    for arrival in scenario.arrivals:
        uses[arrival.adapter].append(arrival.at)
    size = deployment.engines * deployment.slots
    resident: dict[int, float] = {}
    stalls, weighted, loads = [], 0.0, 0
    for arrival in scenario.arrivals:
        uses[arrival.adapter].popleft()
        if arrival.adapter not in resident:
            loads += 1
            if len(resident) >= size:
                del resident[max(resident, key=lambda name: _next_use(uses[name]))]
            resident[arrival.adapter] = arrival.at + deployment.load_s
        stall_s = max(0.0, resident[arrival.adapter] - arrival.at)
        stalls.append(stall_s)
        weighted += stall_s * arrival.weight
    return Figures(
        scenario=scenario.name,
        policy="bound",
        stall_s_per_1k=weighted / len(scenario.arrivals) * 1000,
        stall_p99_s=percentile(stalls, 0.99),
        batch_fill=_packed_fill(scenario),
        refused=0,
        late=0,
        loads=loads,
        weighty_p99_s=percentile(
            [s for s, a in zip(stalls, scenario.arrivals, strict=True) if a.weight > 1], 0.99
        ),
        light_p99_s=percentile(
            [s for s, a in zip(stalls, scenario.arrivals, strict=True) if a.weight <= 1], 0.99
        ),
    )


def _next_use(uses: deque[float]) -> float:
    return uses[0] if uses else float("inf")


def _packed_fill(scenario: Scenario) -> float:
    batch = scenario.deployment.batch
    ends: list[float] = []
    filled = stepped = last = 0.0
    moments = sorted([(arrival.at, arrival.service_s) for arrival in scenario.arrivals])
    for at, service_s in moments:
        while ends and ends[0] <= at:
            end = heapq.heappop(ends)
            filled += (end - last) * (len(ends) + 1) / batch
            stepped += (end - last) * -(-(len(ends) + 1) // batch)
            last = end
        filled += (at - last) * len(ends) / batch
        stepped += (at - last) * -(-len(ends) // batch)
        last = at
        heapq.heappush(ends, at + service_s)
    return filled / stepped
