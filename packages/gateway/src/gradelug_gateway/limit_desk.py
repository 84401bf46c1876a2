"""A planner's end of what is told and asked of replicas with a limit: it grants room there."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter
from dataclasses import dataclass, field

import logbook
from gradelug_policy.replica_limits import LimitRecord
from gradelug_policy.replica_room import Applicant, ReplicaRoom, Ruling
from gradelug_wire import placement_pb2 as pb

from .followers import Follower
from .limit_facts import MS, decode_limit, encode_limit, is_responsible_for
from .model import FleetState
from .weight_queue import Waiter

log = logbook.Logger("limits")
REPEAT_INTERVAL_S = 4.0
"""Limits are told this often at least, in seconds, should one have been lost on the way; more often
all of a large fleet would be most of what gateways are told."""
MIN_CHANGE_FRACTION = 0.05
"""A limit that changes by less than this part is told with the next repetition: what gateways
reckon from it does not change by more."""
MIN_REPORT_INTERVAL_S = 2.0
"""One that changes again and again is told this often at most, in seconds: room is granted by the
planner, who knows the newest."""
ENDED_LIMIT_TTL_S = 60.0
"""Seconds to remember a removed limit, so that delayed reports do not restore it."""
LOG_INTERVAL_S = 5.0
"""What is used of a limit is logged this often."""
MAX_LOGGED_GATEWAYS = 8
"""So many gateways are named in such a line, those that use most."""
CAPACITY_CACHE_TTL_S = 0.02
"""How often it is looked at most whether other replicas have room: there may be hundreds."""
MIN_TIMER_DELAY_S = 0.001
"""Lower bound of the timer, in seconds; shorter delays round to zero."""
MAX_LOAD_PENALTY_S = 3.0
"""An engine that takes next to nothing is a home for adapters only if others cost more than this,
in seconds."""


@dataclass(slots=True)
class _LimitedReplica:
    """What a planner knows of one replica."""

    service: str
    born: int
    record: LimitRecord = field(default_factory=LimitRecord)
    room: ReplicaRoom | None = None
    """While it names a limit."""
    timer: asyncio.TimerHandle | None = None
    granted: Counter[str] = field(default_factory=Counter)
    """Since it was logged last, by gateway."""
    refused: int = 0
    logged_at: float = 0.0
    published_rate: float | None = None
    published_at: float = float("-inf")


class LimitDesk:
    """Grants room at replicas with a limit to all gateways; implements `parts.PlannerPart`.

    Parameters
    ----------
    service : str
        The planner's.
    state : FleetState
        What the platform has told.
    clock : callable
        The runtime's clock.
    may_grant : callable
        Tells whether this planner decides now: two that do would grant twice the limit.
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
        """Gateways that have been told of all limits, by their numbers."""
        self._due: set[str] = set()
        self._capacity_cache: dict[str, tuple[bool, float]] = {}
        """Whether a service had a replica with room, and when that was looked up."""

    # What gateways tell and ask.

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Take over what a gateway heard, and answer what it asks."""
        if follower.number not in self._followers:
            self._followers[follower.number] = follower
            self._due.update(self._limited)
        for told in message.limits:
            self._apply_report(told, now)
        if message.room_cancelled:
            self._withdraw({(follower.number, ticket) for ticket in message.room_cancelled})
        for ask in message.room_asks:
            self._handle_ask(follower, ask, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Forget what a gateway asked."""
        self._followers.pop(follower.number, None)
        for limited in self._limited.values():
            if limited.room is not None:
                limited.room.withdraw(_GatewayTickets(follower.number))

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Tell limits that have changed, and all of them now and then."""
        self._forget_gone(now)
        for name, limited in self._limited.items():
            if self._is_due(name, limited, now):
                limited.published_rate, limited.published_at = limited.record.rate, now
                news.limits.append(encode_limit(name, limited.born, limited.record.fact, now))
            if limited.room is not None and now - limited.logged_at >= LOG_INTERVAL_S:
                self._log_usage(name, limited, now)
        self._due.clear()

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone or has begun another life."""
        limited = self._limited.pop(replica, None)
        if limited is not None and limited.room is not None:
            self._send_rulings(limited, limited.room.release())

    # For the planner itself.

    @property
    def waiting(self) -> int:
        """How many requests wait for room at replicas with a limit."""
        rooms = (limited.room for limited in self._limited.values())
        return sum(room.waiting for room in rooms if room is not None)

    def delay_s(self, replica: str, now: float) -> float:
        """Return when there is room at a replica for one request more, in seconds."""
        limited = self._limited.get(replica)
        if limited is None or limited.room is None:
            return 0.0
        return limited.room.ready_s(now)

    def home_s(self, replica: str) -> float:
        """Return what an adapter costs more on an engine with a limit, in seconds."""
        limited = self._limited.get(replica)
        rate = limited.record.rate if limited is not None else None
        return (
            0.0 if rate is None else min(MAX_LOAD_PENALTY_S, 1 / max(rate, 1 / MAX_LOAD_PENALTY_S))
        )

    def put_urgent_first(self, waiters: list[Waiter]) -> list[Waiter]:
        """Return those that wait for a place in the order in which they get room."""
        if all(limited.room is None for limited in self._limited.values()):
            return waiters
        return sorted(waiters, key=lambda waiter: (not waiter.ask.begun, waiter.ask.rank))

    def is_limited(self, replica: str) -> bool:
        """Tell whether a replica names a limit."""
        limited = self._limited.get(replica)
        return limited is not None and limited.room is not None

    def try_take(self, replica: str, gateway: str, now: float) -> bool:
        """Take room for a request that is about to be placed; False if none is needed or left."""
        limited = self._limited.get(replica)
        if limited is None or limited.room is None or not self._may_grant():
            return False
        if not limited.room.try_take(now):
            return False
        limited.granted[gateway] += 1
        return True

    # One replica.

    def _apply_report(self, told: pb.LimitFact, now: float) -> None:
        name, rep = told.replica, self._state.replicas.get(told.replica)
        if rep is None or rep.born != told.born:
            return
        if not is_responsible_for(self._service, name, self._state):
            return
        limited = self._limited.get(name)
        if limited is None or limited.born != told.born:
            if not told.named:
                return
            limited = self._limited[name] = _LimitedReplica(rep.service, told.born, logged_at=now)
        fact = decode_limit(told, now)
        if limited.record.note(fact):
            self._apply_limit(name, limited, now)
        elif limited.record.rate != fact.rate:
            # The gateway has missed what is known here.
            self._due.add(name)

    def _apply_limit(self, name: str, limited: _LimitedReplica, now: float) -> None:
        rate = limited.record.rate
        if rate is None:
            log.info("limit over", replica=name, age_s=round(now - limited.record.since, 2))
            room, limited.room = limited.room, None
            if room is not None:
                self._send_rulings(limited, room.release())
        elif limited.room is None:
            log.info("limit", replica=name, rate=rate)
            limited.room = ReplicaRoom(rate, now)
        else:
            limited.room.rename(rate, now)
            self._grant_available(name)

    def _handle_ask(self, follower: Follower, ask: pb.RoomAsk, now: float) -> None:
        limited = self._limited.get(ask.replica)
        if not self._may_grant():
            follower.answer_room(pb.RoomAnswer(ticket=ask.ticket))
            return
        if limited is None or limited.room is None:
            follower.answer_room(pb.RoomAnswer(ticket=ask.ticket, granted=True))
            return
        applicant = Applicant(
            (follower.number, ask.ticket), now + ask.wait_ms / MS, ask.rank, ask.value, ask.begun
        )
        self._send_rulings(limited, limited.room.apply(applicant, now))
        self._schedule_grants(ask.replica, limited, now)

    def _grant_available(self, name: str) -> None:
        """Grant what room there is by now."""
        limited, now = self._limited.get(name), self._clock()
        if limited is None or limited.room is None:
            return
        limited.timer = None
        if not self._may_grant():
            self._send_rulings(limited, limited.room.release(), is_granted=False)
            return
        self._send_rulings(limited, limited.room.rule(now))
        self._schedule_grants(name, limited, now)

    def _schedule_grants(self, name: str, limited: _LimitedReplica, now: float) -> None:
        next_s = limited.room.next_s(now) if limited.room is not None else None
        if next_s is None or limited.timer is not None:
            return
        loop = asyncio.get_running_loop()
        limited.timer = loop.call_later(max(MIN_TIMER_DELAY_S, next_s), self._grant_available, name)

    def _send_rulings(
        self, limited: _LimitedReplica, rulings: t.Iterable[Ruling], is_granted: bool = True
    ) -> None:
        for ruling in rulings:
            number, ticket = t.cast(tuple[int, int], ruling.applicant.ticket)
            follower = self._followers.get(number)
            if follower is None:
                continue
            granted = ruling.granted and is_granted
            limited.granted[follower.instance] += granted
            limited.refused += not granted
            # None at all where this planner grants nothing any more.
            retry_ms = 0 if ruling.granted else max(1, round(ruling.retry_s * MS))
            follower.answer_room(
                pb.RoomAnswer(
                    ticket=ticket,
                    granted=granted,
                    retry_after_ms=retry_ms,
                    elsewhere=not granted and self._has_capacity(limited.service),
                )
            )

    def _has_capacity(self, service: str) -> bool:
        """Tell whether some replica of a service has room, as of a moment ago."""
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
            if limited.room is not None:
                limited.room.withdraw(tickets)

    def _is_due(self, name: str, limited: _LimitedReplica, now: float) -> bool:
        rate, told = limited.record.rate, limited.published_rate
        if name in self._due:
            return True
        if rate is None or told is None:
            return rate is not told
        elapsed_s = now - limited.published_at
        has_changed = (
            abs(rate - told) > MIN_CHANGE_FRACTION * told and elapsed_s >= MIN_REPORT_INTERVAL_S
        )
        return has_changed or elapsed_s >= REPEAT_INTERVAL_S

    def _forget_gone(self, now: float) -> None:
        for name, limited in list(self._limited.items()):
            rep = self._state.replicas.get(name)
            is_over = (
                limited.room is None and now - limited.record.fact.heard_at > ENDED_LIMIT_TTL_S
            )
            if rep is None or rep.born != limited.born or is_over:
                self.forget(name)

    def _log_usage(self, name: str, limited: _LimitedReplica, now: float) -> None:
        room = limited.room
        log.info(
            "limit used",
            replica=name,
            rate=limited.record.rate,
            age_s=round(now - limited.record.since, 2),
            span_s=round(now - limited.logged_at, 2),
            granted=limited.granted.total(),
            refused=limited.refused,
            waiting=room.waiting if room is not None else 0,
            by=dict(limited.granted.most_common(MAX_LOGGED_GATEWAYS)),
        )
        limited.logged_at = now
        limited.granted.clear()
        limited.refused = 0


class _GatewayTickets(t.Container[t.Hashable]):
    """The tickets of all questions of one gateway."""

    def __init__(self, number: int) -> None:
        self._number = number

    def __contains__(self, ticket: object) -> bool:
        return isinstance(ticket, tuple) and ticket[0] == self._number
