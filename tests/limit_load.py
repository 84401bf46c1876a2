"""Compares methods to keep a replica's limit over many instances, under excess load.

Only the arithmetic is simulated: requests arrive at random instances at random times.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from gradelug_policy.replica_room import (
    LOCAL_LIMIT_FRACTION,
    CapacityRequest,
    LocalSendSlots,
    ReplicaRateLimiter,
)

WINDOW_S = 4.0
ROUND_TRIP_S = 0.008
"""Round trip between two instances with the batching time of each, in seconds."""
LEASE_S = 1.0
ASK_BYTES, ANSWER_BYTES, GRANT_BYTES = 40, 8, 24


@dataclass(slots=True)
class Figures:
    """Results of a method."""

    sent: list = field(default_factory=list)
    """Times at which requests were sent."""
    waits_s: list = field(default_factory=list)
    """Time until each request was sent or refused, in seconds."""
    messages: int = 0
    moved: int = 0
    """Size of the messages, in bytes."""

    def used(self, rate, span_s):
        """Return the used fraction of the limit."""
        return len(self.sent) / (rate * span_s)

    def most(self):
        """Return the maximum number of requests sent in any window."""
        times, window, most = sorted(self.sent), deque(), 0
        for at in times:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most

    def mean_wait_ms(self):
        return 1000 * sum(self.waits_s) / max(1, len(self.waits_s))


def arrivals(instances, demand, span_s, seed):
    """Return arrival times and instances of requests."""
    rng = random.Random(seed)
    at, found = 0.0, []
    while True:
        at += rng.expovariate(demand)
        if at >= span_s:
            return found
        found.append((at, rng.randrange(instances)))


def parts(instances, rate, load):
    """Each instance has its own token bucket for its share of the limit."""
    figures, buckets = Figures(), [(0.0, 1.0)] * instances
    for at, instance in load:
        since, level = buckets[instance]
        level = min(1.0, level + (at - since) * rate / instances)
        if level >= 1:
            level -= 1
            figures.sent.append(at)
        figures.waits_s.append(0.0)
        buckets[instance] = (at, level)
    return figures


def turns(instances, rate, load):
    """Each instance has its own send slots, which expire unless they are used."""
    figures, rng = Figures(), random.Random(7)
    own = [
        LocalSendSlots(LOCAL_LIMIT_FRACTION * rate / instances, rng.random(), 0.0)
        for _ in range(instances)
    ]
    for at, instance in load:
        if own[instance].take(at):
            figures.sent.append(at)
        figures.waits_s.append(0.0)
    return figures


def grants(instances, rate, load):
    """A planner grants capacity to the instances in turn; it expires after a second."""
    figures, level, step_s, now, turn = Figures(), 0.0, 0.1, 0.0, 0
    held = [[] for _ in range(instances)]
    wants = deque(maxlen=200)
    for at, instance in load:
        while now + step_s <= at:
            now += step_s
            level = min(1 + rate * 0.5, level + rate * step_s)
            while level >= 1:
                level -= 1
                turn += 1
                # To instances with recent requests.
                to = wants[turn % len(wants)] if wants else turn % instances
                held[to].append(now + ROUND_TRIP_S / 2)
                figures.messages += 1
                figures.moved += GRANT_BYTES
        wants.append(instance)
        held[instance] = [since for since in held[instance] if since + LEASE_S > at]
        if held[instance] and held[instance][0] <= at:
            held[instance].pop(0)
            figures.sent.append(at)
        figures.waits_s.append(0.0)
    return figures


def asked(instances, rate, load, patience_s=0.0):
    """Each request is sent to a planner for a grant."""
    figures, room = Figures(), ReplicaRateLimiter(rate, 0.0)
    came = {}

    def settle(rulings, now):
        for ruling in rulings:
            at = came.pop(ruling.applicant.ticket)
            figures.waits_s.append(now + ROUND_TRIP_S / 2 - at)
            if ruling.granted:
                figures.sent.append(now + ROUND_TRIP_S / 2)

    for number, (at, _) in enumerate(load):
        now = at + ROUND_TRIP_S / 2
        figures.messages += 2
        figures.moved += ASK_BYTES + ANSWER_BYTES
        came[number] = at
        settle(room.enqueue(CapacityRequest(number, now + patience_s), now), now)
    return figures


WAYS = {"parts": parts, "turns": turns, "grants": grants, "asked": asked}


def table(instances=(9, 40, 370), rates=(0.2, 1.4, 50.0), span_s=120.0, times=4.0):
    """Yield a line of results for each method, fleet and limit."""
    for count in instances:
        for rate in rates:
            load = arrivals(count, times * rate, span_s, 1)
            for name, way in WAYS.items():
                found = way(count, rate, load)
                yield (
                    f"| {count} | {rate} | {name} | {found.used(rate, span_s):.2f} | {found.most()}"
                    f" | {6 * rate + 5:.0f} | {found.mean_wait_ms():.1f}"
                    f" | {found.messages / span_s:.1f} | {found.moved / span_s:.0f} |"
                )


if __name__ == "__main__":
    print("\n".join(table()))
