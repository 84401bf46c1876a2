"""Distributes a replica's limited request rate among the requests of all instances.

Load pattern: more requests arrive for such a replica than it accepts, at hundreds of instances that
each receive a few of them. The sent requests must stay within the limit in every interval and use
all of it, the most valuable go first, and requests that cannot be served are refused at once.
"""

from __future__ import annotations

import itertools
import math
import typing as t
from dataclasses import dataclass

BURST_S = 0.5
"""Time whose requests, and one more, may be sent at once, in seconds. Requests arrive in bursts,
and capacity unused for a moment is not lost."""
MIN_RATE = 0.1
"""Minimum rate in requests per second. It permits one request every 10 s as a probe, because a
raised limit is only reported in answers."""
MAX_RETRY_S = 30.0
"""Maximum retry time given to a caller, in seconds, since limits change."""
LOCAL_LIMIT_FRACTION = 0.8
"""Fraction of a limit that instances divide among themselves while no planner grants capacity."""
LOCAL_SLOT_TTL_S = 1.0
"""Time until an unused send slot expires, in seconds; accumulated slots would allow a burst."""


@dataclass(slots=True, frozen=True)
class CapacityRequest:
    """A request for capacity at a replica.

    Parameters
    ----------
    ticket : hashable
        Identifies the request.
    until : float
        End of its waiting time, by the runtime's clock.
    rank : int
        Urgency, 0 for the most urgent.
    value : float
        Value of an answer in time, 1 for an ordinary urgent request.
    begun : bool
        Whether its caller has received a part of the answer.
    """

    ticket: t.Hashable
    until: float
    rank: int = 0
    value: float = 1.0
    has_started: bool = False


@dataclass(slots=True, frozen=True)
class CapacityDecision:
    """Decision on a request for capacity.

    Parameters
    ----------
    applicant : CapacityRequest
        The request.
    granted : bool
        Whether it may be sent now.
    retry_s : float
        Time until capacity is available for a refused request, in seconds.
    """

    applicant: CapacityRequest
    granted: bool
    retry_s: float = 0.0


class ReplicaRateLimiter:
    """Remaining capacity of a replica with a limit, and the queue of requests for it.

    Parameters
    ----------
    rate : float
        Requests per second that the replica accepts.
    now : float
        Current time by the runtime's clock. The initial capacity is 0, since earlier requests
        are unknown.
    burst : float
        Maximum number of requests at once.
    """

    __slots__ = ("_arrivals", "_at", "_burst", "_level", "_queue", "_rate", "_reserved")

    def __init__(self, rate: float, now: float, burst: float = math.inf) -> None:
        self._burst = max(1.0, burst)
        self._rate = max(MIN_RATE, rate)
        self._at = now
        self._level = 0.0
        self._reserved = 0.0
        """Number of refused requests whose retry time has not come yet."""
        self._arrivals = itertools.count()
        self._queue: list[tuple[tuple[bool, int, float, int], CapacityRequest]] = []

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._queue)

    def set_rate(self, rate: float, now: float, burst: float = math.inf) -> None:
        """Change the rate, and the maximum number of requests at once."""
        self._settle(now)
        self._burst = max(1.0, burst)
        self._rate = max(MIN_RATE, rate)
        self._level = min(self._level, self._capacity)

    def try_take(self, now: float) -> bool:
        """Take capacity for one request if it is available and the queue is empty."""
        self._settle(now)
        if self._queue or self._level < 1:
            return False
        self._level -= 1
        return True

    def ready_s(self, now: float) -> float:
        """Return the time until capacity for one more request is available, in seconds."""
        self._settle(now)
        return max(0.0, len(self._queue) + 1 - self._level) / self._rate

    def enqueue(self, applicant: CapacityRequest, now: float) -> list[CapacityDecision]:
        """Queue a request; return the decisions that are made now."""
        sort_key = (
            not applicant.has_started,
            applicant.rank,
            -applicant.value,
            next(self._arrivals),
        )
        self._queue.append((sort_key, applicant))
        self._queue.sort(key=lambda entry: entry[0])
        return self.decide(now)

    def cancel(self, tickets: t.Container[t.Hashable]) -> None:
        """Remove requests from the queue."""
        self._queue = [entry for entry in self._queue if entry[1].ticket not in tickets]

    def decide(self, now: float) -> list[CapacityDecision]:
        """Grant the available capacity, and refuse the requests that cannot be served in time."""
        self._settle(now)
        rulings = []
        while self._queue and self._level >= 1:
            self._level -= 1
            rulings.append(CapacityDecision(self._queue.pop(0)[1], True))
        kept: list[tuple[tuple[bool, int, float, int], CapacityRequest]] = []
        for entry in self._queue:
            ready_at = now + (len(kept) + 1 - self._level) / self._rate
            if ready_at <= entry[1].until:
                kept.append(entry)
            else:
                rulings.append(
                    CapacityDecision(entry[1], False, self._retry_s(entry[1], len(kept), now))
                )
        self._queue = kept
        return rulings

    def release(self) -> list[CapacityDecision]:
        """Grant all queued requests, because the replica does not report a limit any more."""
        rulings = [CapacityDecision(applicant, True) for _, applicant in self._queue]
        self._queue = []
        return rulings

    def next_s(self, now: float) -> float | None:
        """Return the time until the next queued request can be granted, in seconds; None if none is
        queued.
        """
        if not self._queue:
            return None
        self._settle(now)
        return max(0.0, 1 - self._level) / self._rate

    @property
    def _capacity(self) -> float:
        return min(self._burst, 1 + BURST_S * self._rate)

    def _settle(self, now: float) -> None:
        refilled = max(0.0, now - self._at) * self._rate
        self._at = max(self._at, now)
        self._level = min(self._capacity, self._level + refilled)
        self._reserved = max(0.0, self._reserved - refilled)

    def _retry_s(self, applicant: CapacityRequest, queued_before: int, now: float) -> float:
        """Return the retry time of a refused request, after those refused earlier.

        A request that did not wait is sent to another replica and not retried here.
        """
        needed = queued_before + self._reserved + 1 - self._level
        if applicant.until > now:
            self._reserved += 1
        return min(MAX_RETRY_S, max(0.0, needed) / self._rate)


class LocalSendSlots:
    """Send slots of one instance at a replica, at an equal share of the limit.

    Each instance has slots at other times, and an unused slot expires soon. So all instances
    together stay within the limit in every interval, regardless of their number.

    Parameters
    ----------
    share : float
        Requests per second of this instance.
    phase : float
        Offset of the first slot as a fraction of the period, uniform from 0 to 1.
    now : float
        Current time by the runtime's clock.
    keeps : bool
        Whether a slot is kept until it is used; the replica's limit must then be enforced
        elsewhere.
    """

    __slots__ = ("_keeps_unused", "_next_slot_at", "period_s")

    def __init__(self, share: float, phase: float, now: float, keeps: bool = False) -> None:
        self._keeps_unused = keeps
        self.period_s = 1 / share
        """Time between two slots, in seconds."""
        self._next_slot_at = now + phase * self.period_s

    def is_due(self, now: float) -> bool:
        """Return whether a slot is available now."""
        if not self._keeps_unused and now >= self._next_slot_at + LOCAL_SLOT_TTL_S:
            passed = int((now - self._next_slot_at) / self.period_s)
            self._next_slot_at += passed * self.period_s
            if now >= self._next_slot_at + LOCAL_SLOT_TTL_S:
                self._next_slot_at += self.period_s
        return now >= self._next_slot_at

    def take(self, now: float) -> bool:
        """Use a slot if one is available."""
        if not self.is_due(now):
            return False
        self._next_slot_at = max(self._next_slot_at, now - self.period_s) + self.period_s
        return True

    def restore(self, at: float) -> None:
        """Make an unused slot available again at a given time, unless one is available before."""
        self._next_slot_at = min(self._next_slot_at, at)
