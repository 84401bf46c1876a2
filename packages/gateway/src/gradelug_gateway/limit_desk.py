"""The planner's side of replica limits: grants capacity and distributes limits to gateways."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter
from dataclasses import dataclass, field

import logbook
from gradelug_policy.replica_limits import ReplicaLimit, request_interval_s
from gradelug_policy.replica_room import CapacityDecision, CapacityRequest, ReplicaRateLimiter
from gradelug_wire import placement_pb2 as pb

from .follower import Follower
from .limit_facts import MS, decode_limit, encode_limit, is_responsible_for
from .model import FleetState
from .weight_queue import Waiter

log = logbook.Logger("limits")
REPEAT_INTERVAL_S = 4.0
"""Interval at which unchanged limits are repeated, in seconds, in case a message was lost. With a
shorter one, repetitions for a large fleet would dominate the updates to gateways."""
MIN_CHANGE_FRACTION = 0.05
"""Relative change of a limit below which it is sent with the next repetition only: the estimates
that gateways derive from it change no more than that."""
MIN_REPORT_INTERVAL_S = 2.0
"""Minimum interval between updates of a limit that changes often, in seconds. The planner grants
capacity by the newest value in any case."""
ENDED_LIMIT_TTL_S = 60.0
"""How long a removed limit is remembered, in seconds, so that delayed reports do not restore it."""
LOG_INTERVAL_S = 5.0
"""Interval at which the use of a limit is logged, in seconds."""
MAX_LOGGED_GATEWAYS = 8
"""Maximum number of gateways in such a log line; those with the highest use are listed."""
CAPACITY_CACHE_TTL_S = 0.02
"""How long the result of a search for other replicas with capacity is cached, in seconds; there may
be hundreds of replicas."""
MIN_TIMER_DELAY_S = 0.001
"""Lower bound of the timer, in seconds; shorter delays round to zero."""
MAX_LOAD_PENALTY_S = 3.0
"""Upper bound of the penalty for loading adapters on an engine with a very low limit, in seconds.
Such an engine is chosen only if others cost more."""


@dataclass(slots=True)
class _LimitedReplica:
    """State of one replica that has or had a limit."""

    service: str
    born: int
    record: ReplicaLimit = field(default_factory=ReplicaLimit)
    limiter: ReplicaRateLimiter | None = None
    """None while the replica has no limit."""
    timer: asyncio.TimerHandle | None = None
    granted: Counter[str] = field(default_factory=Counter)
    """Grants since the last log line, by gateway."""
    refused: int = 0
    logged_at: float = 0.0
    published_rate: float | None = None
    published_at: float = float("-inf")


class LimitAllocator:
    """Grants gateways capacity at replicas with a limit; implements `parts.PlannerExtension`.

    Parameters
    ----------
    service : str
        The planner's service.
    state : FleetState
        Replicas and configuration from the store.
    clock : callable
        The runtime's clock.
    may_grant : callable
        Returns whether this planner's term holds; two planners that grant at the same time would
        grant twice the limit.
    """

    __slots__ = (
        "_limited",
        "_clock",
        "_due",
        "_followers",
        "_may_grant",
        "_capacity_cache",
        "_service",
        "_state",
    )

    def __init__(
        self,
        service: str,
        state: FleetState,
        clock: t.Callable[[], float],
        may_grant: t.Callable[[], bool],
    ) -> None:
        self._service = service
        self._state = state
        self._clock = clock
        self._may_grant = may_grant
        self._limited: dict[str, _LimitedReplica] = {}
        self._followers: dict[int, Follower] = {}
        """Gateways that all limits have been sent or scheduled for, by their numbers."""
        self._due: set[str] = set()
        self._capacity_cache: dict[str, tuple[bool, float]] = {}
        """Whether a service had a replica with capacity, and when that was checked, by service."""

    # Messages of gateways.

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Apply the limits that a gateway reports, and handle its capacity requests."""
        if follower.number not in self._followers:
            self._followers[follower.number] = follower
            self._due.update(self._limited)
        for report in message.limits:
            self._apply_report(report, now)
        if message.room_cancelled:
            self._withdraw({(follower.number, ticket) for ticket in message.room_cancelled})
        for ask in message.room_asks:
            self._handle_ask(follower, ask, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Withdraw the requests of a gateway that has disconnected."""
        self._followers.pop(follower.number, None)
        for limited in self._limited.values():
            if limited.limiter is not None:
                limited.limiter.cancel(_GatewayTickets(follower.number))

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add changed limits, and those due for repetition, to an update for all gateways."""
        self._forget_gone(now)
        for name, limited in self._limited.items():
            if self._is_due(name, limited, now):
                limited.published_rate, limited.published_at = limited.record.rate, now
                news.limits.append(encode_limit(name, limited.born, limited.record.fact, now))
            if limited.limiter is not None and now - limited.logged_at >= LOG_INTERVAL_S:
                self._log_usage(name, limited, now)
        self._due.clear()

    def forget(self, replica: str) -> None:
        """Remove a replica that is gone or has a new incarnation; release its waiting requests."""
        limited = self._limited.pop(replica, None)
        if limited is not None and limited.limiter is not None:
            self._send_decisions(limited, limited.limiter.release())

    # Queries of the planner.

    @property
    def waiting(self) -> int:
        """Number of requests that wait for capacity at replicas with a limit."""
        limiters = (limited.limiter for limited in self._limited.values())
        return sum(limiter.waiting for limiter in limiters if limiter is not None)

    def delay_s(self, replica: str, now: float) -> float:
        """Return the time until a replica has capacity for one more request, in seconds."""
        limited = self._limited.get(replica)
        if limited is None or limited.limiter is None:
            return 0.0
        return limited.limiter.ready_s(now)

    def load_penalty_s(self, replica: str) -> float:
        """Return the penalty for loading an adapter on an engine with a limit, in seconds."""
        limited = self._limited.get(replica)
        rate = limited.record.rate if limited is not None else None
        return 0.0 if rate is None else request_interval_s(rate, MAX_LOAD_PENALTY_S)

    def sort_by_urgency(self, waiters: list[Waiter]) -> list[Waiter]:
        """Return waiters for a weight slot in the order in which capacity is granted."""
        if all(limited.limiter is None for limited in self._limited.values()):
            return waiters
        return sorted(waiters, key=lambda waiter: (not waiter.ask.begun, waiter.ask.rank))

    def is_limited(self, replica: str) -> bool:
        """Return whether a replica has a limit."""
        limited = self._limited.get(replica)
        return limited is not None and limited.limiter is not None

    def try_take(self, replica: str, gateway: str, now: float) -> bool:
        """Take capacity for a request about to be placed; False if none is needed or available."""
        limited = self._limited.get(replica)
        if limited is None or limited.limiter is None or not self._may_grant():
            return False
        if not limited.limiter.try_take(now):
            return False
        limited.granted[gateway] += 1
        return True

    # State of one replica.

    def _apply_report(self, report: pb.LimitFact, now: float) -> None:
        name, rep = report.replica, self._state.replicas.get(report.replica)
        if rep is None or rep.born != report.born:
            return
        if not is_responsible_for(self._service, name, self._state):
            return
        limited = self._limited.get(name)
        if limited is None or limited.born != report.born:
            if not report.named:
                return
            limited = self._limited[name] = _LimitedReplica(rep.service, report.born, logged_at=now)
        fact = decode_limit(report, now)
        if limited.record.note(fact):
            self._apply_limit(name, limited, now)
        elif limited.record.rate != fact.rate:
            # The gateway has missed a newer report.
            self._due.add(name)

    def _apply_limit(self, name: str, limited: _LimitedReplica, now: float) -> None:
        rate = limited.record.rate
        if rate is None:
            log.info("limit over", replica=name, age_s=round(now - limited.record.since, 2))
            limiter, limited.limiter = limited.limiter, None
            if limiter is not None:
                self._send_decisions(limited, limiter.release())
        elif limited.limiter is None:
            log.info("limit", replica=name, rate=rate)
            limited.limiter = ReplicaRateLimiter(rate, now, limited.record.burst)
        else:
            limited.limiter.set_rate(rate, now, limited.record.burst)
            self._grant_available(name)

    def _handle_ask(self, follower: Follower, ask: pb.RoomAsk, now: float) -> None:
        limited = self._limited.get(ask.replica)
        if not self._may_grant():
            follower.queue_capacity_answer(pb.RoomAnswer(ticket=ask.ticket))
            return
        if limited is None or limited.limiter is None:
            follower.queue_capacity_answer(pb.RoomAnswer(ticket=ask.ticket, granted=True))
            return
        request = CapacityRequest(
            (follower.number, ask.ticket), now + ask.wait_ms / MS, ask.rank, ask.value, ask.begun
        )
        self._send_decisions(limited, limited.limiter.enqueue(request, now))
        self._schedule_grants(ask.replica, limited, now)

    def _grant_available(self, name: str) -> None:
        """Grant the capacity that is available by now."""
        limited, now = self._limited.get(name), self._clock()
        if limited is None or limited.limiter is None:
            return
        limited.timer = None
        if not self._may_grant():
            self._send_decisions(limited, limited.limiter.release(), is_granted=False)
            return
        self._send_decisions(limited, limited.limiter.decide(now))
        self._schedule_grants(name, limited, now)

    def _schedule_grants(self, name: str, limited: _LimitedReplica, now: float) -> None:
        next_s = limited.limiter.next_s(now) if limited.limiter is not None else None
        if next_s is None or limited.timer is not None:
            return
        loop = asyncio.get_running_loop()
        limited.timer = loop.call_later(max(MIN_TIMER_DELAY_S, next_s), self._grant_available, name)

    def _send_decisions(
        self,
        limited: _LimitedReplica,
        decisions: t.Iterable[CapacityDecision],
        is_granted: bool = True,
    ) -> None:
        for decision in decisions:
            number, ticket = t.cast(tuple[int, int], decision.applicant.ticket)
            follower = self._followers.get(number)
            if follower is None:
                continue
            granted = decision.granted and is_granted
            limited.granted[follower.instance] += granted
            limited.refused += not granted
            # Without a delay the gateway reads the answer as grants being unavailable.
            retry_ms = 0 if decision.granted else max(1, round(decision.retry_s * MS))
            follower.queue_capacity_answer(
                pb.RoomAnswer(
                    ticket=ticket,
                    granted=granted,
                    retry_after_ms=retry_ms,
                    elsewhere=not granted and self._has_capacity(limited.service),
                )
            )

    def _has_capacity(self, service: str) -> bool:
        """Return whether some replica of a service has capacity, from a short-lived cache."""
        now = self._clock()
        known, checked_at = self._capacity_cache.get(service, (False, float("-inf")))
        if now - checked_at >= CAPACITY_CACHE_TTL_S:
            known = self._find_capacity(service, now)
            self._capacity_cache[service] = (known, now)
        return known

    def _find_capacity(self, service: str, now: float) -> bool:
        for rep in self._state.replicas.values():
            if rep.service == service and not rep.leaving and not self.delay_s(rep.name, now):
                return True
        return False

    def _withdraw(self, tickets: set[tuple[int, int]]) -> None:
        for limited in self._limited.values():
            if limited.limiter is not None:
                limited.limiter.cancel(tickets)

    def _is_due(self, name: str, limited: _LimitedReplica, now: float) -> bool:
        rate, published = limited.record.rate, limited.published_rate
        if name in self._due:
            return True
        if rate is None or published is None:
            return rate is not published
        elapsed_s = now - limited.published_at
        has_changed = (
            abs(rate - published) > MIN_CHANGE_FRACTION * published
            and elapsed_s >= MIN_REPORT_INTERVAL_S
        )
        return has_changed or elapsed_s >= REPEAT_INTERVAL_S

    def _forget_gone(self, now: float) -> None:
        for name, limited in list(self._limited.items()):
            rep = self._state.replicas.get(name)
            is_over = (
                limited.limiter is None
                and now - limited.record.fact.received_at > ENDED_LIMIT_TTL_S
            )
            if rep is None or rep.born != limited.born or is_over:
                self.forget(name)

    def _log_usage(self, name: str, limited: _LimitedReplica, now: float) -> None:
        limiter = limited.limiter
        log.info(
            "limit used",
            replica=name,
            rate=limited.record.rate,
            age_s=round(now - limited.record.since, 2),
            span_s=round(now - limited.logged_at, 2),
            granted=limited.granted.total(),
            refused=limited.refused,
            waiting=limiter.waiting if limiter is not None else 0,
            by=dict(limited.granted.most_common(MAX_LOGGED_GATEWAYS)),
        )
        limited.logged_at = now
        limited.granted.clear()
        limited.refused = 0


class _GatewayTickets(t.Container[t.Hashable]):
    """The set of all tickets of one gateway."""

    def __init__(self, number: int) -> None:
        self._number = number

    def __contains__(self, ticket: object) -> bool:
        return isinstance(ticket, tuple) and ticket[0] == self._number
