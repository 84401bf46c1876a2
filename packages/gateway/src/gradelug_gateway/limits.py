"""Rate limits that replicas report in responses, and admission of requests to such replicas.

A limit covers the requests of all instances together. Before each attempt at a limited replica an
instance asks the planner of its service for capacity (`limit_desk`); for services without engines
that is the planner of the coordinating service, which also holds the quotas.
"""

from __future__ import annotations

import asyncio
import random
import typing as t
from collections import Counter, deque

import logbook
from gradelug_policy.replica_limits import (
    LimitFact,
    ReplicaLimit,
    ReportedLimit,
    request_interval_s,
)
from gradelug_policy.replica_room import LOCAL_LIMIT_FRACTION, MIN_RATE, LocalSendSlots

from .budgets import DEFAULT_GATEWAY_COUNT
from .invalid_values import InvalidValueLog
from .model import Replica

log = logbook.Logger("limits")
SEND_COUNT_WINDOW_S = 4.0
"""Window over which requests to a replica with a limit are counted, in seconds."""
PERMIT_TTL_S = 0.5
"""Lifetime of an unused permit, in seconds. A later use would add to the capacity that the planner
grants by then, and exceed the limit."""
POLL_INTERVAL_S = 0.05
"""How often a waiting request checks whether a planner is available, in seconds."""
MAX_DELAY_S = 2.0
"""Upper bound of the expected wait at a replica with a very low limit, in seconds."""
MAX_RETRY_S = 5.0
"""Upper bound of the retry delay without a planner, in seconds; a lost planner is replaced within
this time."""


class Demand(t.NamedTuple):
    """Urgency of a request for capacity, as sent to a planner.

    Parameters
    ----------
    until : float
        Deadline for waiting for capacity, by the runtime's clock; in the past or now if the request
        does not wait because another replica can take it.
    rank : int
        Urgency, 0 first.
    value : float
        Value of a response in time, 1 for an ordinary urgent request.
    begun : bool
        Whether the caller has received a part of the response.
    """

    until: float = 0.0
    rank: int = 0
    value: float = 1.0
    has_started: bool = False


class Denial(t.NamedTuple):
    """Rejection of a request for capacity at a replica.

    Parameters
    ----------
    retry_s : float
        Expected time until capacity is available, in seconds.
    elsewhere : bool
        Whether another replica of the service has capacity.
    """

    retry_s: float
    elsewhere: bool = False


class CapacityClient(t.Protocol):
    """Asks the responsible planner for capacity at a replica."""

    async def ask(self, replica: str, demand: Demand) -> Denial | None:
        """Return None if a request may be sent; raises `NoGrants` or `TimeoutError`."""
        ...


class GrantsUnavailable(Exception):
    """The planner that was asked grants no capacity at present."""


class ReplicaLimits:
    """Limits reported by replicas, and whether this instance may send requests to them.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    rng : Random or None
        Draws the times at which this instance may send on its local share, and retry jitter.
    is_on : bool
        Whether limits are enforced; otherwise they are only logged.
    """

    __slots__ = (
        "_clock",
        "_invalid_values",
        "_is_on",
        "_listeners",
        "_fallback_turns",
        "_permits",
        "_records",
        "_rng",
        "_recent_sends",
        "_offer_turns",
        "denied_count",
        "find_client",
        "instance_count",
    )

    def __init__(
        self,
        clock: t.Callable[[], float],
        rng: random.Random | None = None,
        is_on: bool = True,
    ) -> None:
        self._clock = clock
        self._rng = rng or random.Random(0)
        self._is_on = is_on
        self.find_client: t.Callable[[str], CapacityClient | None] = lambda service: None
        """Returns the client of the planner that grants capacity at replicas of a service, None
        while there is no such planner."""
        self._listeners: list[t.Callable[[str], None]] = []
        self._records: dict[str, ReplicaLimit] = {}
        self._permits: dict[str, list[float]] = {}
        """Expiry times of unused permits, by replica."""
        self._offer_turns: dict[str, LocalSendSlots] = {}
        """Times at which this instance offers a replica requests that other replicas could take."""
        self._fallback_turns: dict[str, LocalSendSlots] = {}
        """Times at which it may send to a replica while no planner grants capacity."""
        self.instance_count = DEFAULT_GATEWAY_COUNT
        """Number of instances that send requests to replicas."""
        self._recent_sends: deque[tuple[float, str]] = deque()
        """Time and replica of each request that this instance sent to a replica with a limit."""
        self._invalid_values = InvalidValueLog(log, "invalid limit in a response")
        self.denied_count = 0
        """Attempts since the start that were rejected for lack of capacity."""

    # Known limits.

    def subscribe(self, listener: t.Callable[[str], None]) -> None:
        """Call `listener` with a replica's name when a response received here changes its limit."""
        self._listeners.append(listener)

    def update_from_answer(self, replica: str, word: ReportedLimit, sent_at: float) -> None:
        """Apply the limit in a response to a request that was sent at `sent_at`."""
        if word.invalid_text:
            self._invalid_values.note(replica, word.invalid_text)
            return
        if word.rate is None and replica not in self._records:
            return
        fact = LimitFact(word.rate, sent_at, self._clock(), word.burst)
        if self.apply_fact(replica, fact, "answer"):
            for listener in self._listeners:
                listener(replica)

    def apply_fact(self, replica: str, fact: LimitFact, source: str) -> bool:
        """Apply a report of a limit; return whether the limit has changed."""
        record = self._records.setdefault(replica, ReplicaLimit())
        before, since = record.rate, record.since
        if not record.note(fact):
            return False
        self._offer_turns.pop(replica, None)
        self._fallback_turns.pop(replica, None)
        if record.rate is None:
            self._permits.pop(replica, None)
            after_s = round(self._clock() - since, 2)
            log.info("limit removed", replica=replica, after_s=after_s, source=source)
        else:
            log.info(
                "limit changed", replica=replica, rate=record.rate, before=before, source=source
            )
        return True

    def fact(self, replica: str) -> LimitFact | None:
        """Return the newest report of a replica's limit, None if there is none."""
        record = self._records.get(replica)
        return record.fact if record is not None else None

    def rate(self, replica: str) -> float | None:
        """Return a replica's limit in requests a second, None if it reports none."""
        record = self._records.get(replica)
        return record.rate if record is not None else None

    def limited_replicas(self) -> list[str]:
        """Return the names of the replicas that have a limit."""
        return [name for name, record in self._records.items() if record.rate is not None]

    def set_instance_count(self, instances: int) -> None:
        """Set the number of instances that send requests to replicas."""
        if instances != self.instance_count:
            self.instance_count = max(1, instances)
            self._offer_turns.clear()
            self._fallback_turns.clear()

    def forget_removed(self, known: t.Container[str]) -> None:
        """Remove the limits of replicas that are not in `known`."""
        for name in [name for name in self._records if name not in known]:
            self.forget(name)
        self._invalid_values.forget_removed(known)

    def forget(self, replica: str) -> None:
        """Remove the limit of a replica, for example when a new incarnation starts."""
        for kept in (self._records, self._permits, self._offer_turns, self._fallback_turns):
            kept.pop(replica, None)

    # Choice of a replica.

    def may_offer(self, replica: str) -> bool:
        """Return whether to offer a replica a request that other replicas could take.

        A limited replica is offered only its share of the requests, because each request beyond
        its capacity costs a round trip to the planner.
        """
        turns = self._offer_turns_at(replica)
        return turns is None or turns.is_due(self._clock())

    def delay_s(self, replica: str) -> float:
        """Return the approximate wait for capacity at a replica, in seconds."""
        rate = self.rate(replica)
        if rate is None or not self._is_on or self.may_offer(replica):
            return 0.0
        return request_interval_s(rate, MAX_DELAY_S)

    # Admission.

    def add_permit(self, replica: str) -> None:
        """Add a permit that a planner granted to a request that was cancelled."""
        self._permits.setdefault(replica, []).append(self._clock() + PERMIT_TTL_S)

    async def admit(self, replica: Replica, demand: Demand) -> Denial | None:
        """Wait for capacity at a replica; return None once a request may be sent.

        Parameters
        ----------
        replica : Replica
            The replica that the request is to be sent to.
        demand : Demand
            The request's urgency, and how long it waits.
        """
        name = replica.name
        if self.rate(name) is None or not self._is_on:
            return None
        turns = self._offer_turns_at(name)
        has_turn = turns is not None and turns.take(self._clock())
        if self._use_permit(name):
            return None
        denial = await self._ask(replica, demand)
        if denial is None:
            return None
        self.denied_count += 1
        if turns is not None and has_turn:
            # Spreads the retries of requests that were rejected together.
            turns.restore(self._clock() + denial.retry_s * (1 + self._rng.random()))
        return denial

    def count_send(self, replica: str) -> None:
        """Count a request sent to a replica, if the replica has a limit."""
        if self.rate(replica) is not None:
            self._recent_sends.append((self._clock(), replica))

    def recent_sends(self) -> Counter[str]:
        """Return the requests sent to each replica with a limit within the counting window."""
        while (
            self._recent_sends and self._recent_sends[0][0] <= self._clock() - SEND_COUNT_WINDOW_S
        ):
            self._recent_sends.popleft()
        return Counter(name for _, name in self._recent_sends)

    async def _ask(self, replica: Replica, demand: Demand) -> Denial | None:
        while True:
            desk = self.find_client(replica.service)
            try:
                if desk is not None:
                    return await desk.ask(replica.name, demand)
            except (GrantsUnavailable, TimeoutError):
                log.info("planner granted no capacity", replica=replica.name)
            rate = self.rate(replica.name)
            if rate is None or self._fallback_turns_at(replica.name, rate).take(self._clock()):
                return None
            if self._clock() >= demand.until:
                return Denial(request_interval_s(rate, MAX_RETRY_S))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _use_permit(self, replica: str) -> bool:
        now = self._clock()
        kept = [until for until in self._permits.get(replica, ()) if until > now]
        if not kept:
            self._permits.pop(replica, None)
            return False
        self._permits[replica] = kept[1:]
        return True

    def _offer_turns_at(self, replica: str) -> LocalSendSlots | None:
        rate = self.rate(replica)
        if rate is None or not self._is_on:
            return None
        turns = self._offer_turns.get(replica)
        if turns is None:
            turns = self._offer_turns[replica] = self._new_turns(rate, 1.0, keeps=True)
        return turns

    def _fallback_turns_at(self, replica: str, rate: float) -> LocalSendSlots:
        turns = self._fallback_turns.get(replica)
        if turns is None:
            turns = self._fallback_turns[replica] = self._new_turns(rate, LOCAL_LIMIT_FRACTION)
        return turns

    def _new_turns(self, rate: float, part: float, keeps: bool = False) -> LocalSendSlots:
        share = part * max(rate, MIN_RATE) / self.instance_count
        return LocalSendSlots(share, self._rng.random(), self._clock(), keeps)
