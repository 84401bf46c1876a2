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
from .limit_facts import MS, decode_limit, encode_limit, speaks_for
from .model import FleetState
from .weight_queue import Waiter

log = logbook.Logger("limits")
REPEAT_S = 4.0
"""Limits are told this often at least, in seconds, should one have been lost on the way; more often
all of a large fleet would be most of what gateways are told."""
TOLD_STEP = 0.05
"""A limit that changes by less than this part is told with the next repetition: what gateways
reckon from it does not change by more."""
CHANGED_S = 2.0
"""One that changes again and again is told this often at most, in seconds: room is granted by the
planner, who knows the newest."""
ENDED_S = 60.0
"""Seconds to remember a removed limit, so that delayed reports do not restore it."""
LOG_S = 5.0
"""What is used of a limit is logged this often."""
MOST_NAMED = 8
"""So many gateways are named in such a line, those that use most."""
LOOK_S = 0.02
"""How often it is looked at most whether other replicas have room: there may be hundreds."""
LEAST_PAUSE_S = 0.001
"""Lower bound of the timer, in seconds; shorter delays round to zero."""
HOME_S = 3.0
"""An engine that takes next to nothing is a home for adapters only if others cost more than this,
in seconds."""


@dataclass(slots=True)
class _Limited:
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
    told: float | None = None
    told_at: float = float("-inf")


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
        "_by_name",
        "_clock",
        "_due",
        "_known",
        "_may_grant",
        "_roomy",
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
        self._by_name: dict[str, _Limited] = {}
        self._known: dict[int, Follower] = {}
        """Gateways that have been told of all limits, by their numbers."""
        self._due: set[str] = set()
        self._roomy: dict[str, tuple[bool, float]] = {}
        """Whether a service had a replica with room, and when that was looked up."""

    # What gateways tell and ask.

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Take over what a gateway heard, and answer what it asks."""
        if follower.number not in self._known:
            self._known[follower.number] = follower
            self._due.update(self._by_name)
        for told in message.limits:
            self._take_fact(told, now)
        if message.room_cancelled:
            self._withdraw({(follower.number, ticket) for ticket in message.room_cancelled})
        for ask in message.room_asks:
            self._take_ask(follower, ask, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Forget what a gateway asked."""
        self._known.pop(follower.number, None)
        for limited in self._by_name.values():
            if limited.room is not None:
                limited.room.withdraw(_Tickets(follower.number))

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Tell limits that have changed, and all of them now and then."""
        self._forget_gone(now)
        for name, limited in self._by_name.items():
            if self._is_due(name, limited, now):
                limited.told, limited.told_at = limited.record.rate, now
                news.limits.append(encode_limit(name, limited.born, limited.record.fact, now))
            if limited.room is not None and now - limited.logged_at >= LOG_S:
                self._log(name, limited, now)
        self._due.clear()

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone or has begun another life."""
        limited = self._by_name.pop(replica, None)
        if limited is not None and limited.room is not None:
            self._settle(limited, limited.room.release())

    # For the planner itself.

    @property
    def waiting(self) -> int:
        """How many requests wait for room at replicas with a limit."""
        rooms = (limited.room for limited in self._by_name.values())
        return sum(room.waiting for room in rooms if room is not None)

    def delay_s(self, replica: str, now: float) -> float:
        """Return when there is room at a replica for one request more, in seconds."""
        limited = self._by_name.get(replica)
        if limited is None or limited.room is None:
            return 0.0
        return limited.room.ready_s(now)

    def home_s(self, replica: str) -> float:
        """Return what an adapter costs more on an engine with a limit, in seconds."""
        limited = self._by_name.get(replica)
        rate = limited.record.rate if limited is not None else None
        return 0.0 if rate is None else min(HOME_S, 1 / max(rate, 1 / HOME_S))

    def put_urgent_first(self, waiters: list[Waiter]) -> list[Waiter]:
        """Return those that wait for a place in the order in which they get room."""
        if all(limited.room is None for limited in self._by_name.values()):
            return waiters
        return sorted(waiters, key=lambda waiter: (not waiter.ask.begun, waiter.ask.rank))

    def is_limited(self, replica: str) -> bool:
        """Tell whether a replica names a limit."""
        limited = self._by_name.get(replica)
        return limited is not None and limited.room is not None

    def try_take(self, replica: str, gateway: str, now: float) -> bool:
        """Take room for a request that is about to be placed; False if none is needed or left."""
        limited = self._by_name.get(replica)
        if limited is None or limited.room is None or not self._may_grant():
            return False
        if not limited.room.try_take(now):
            return False
        limited.granted[gateway] += 1
        return True

    # One replica.

    def _take_fact(self, told: pb.LimitFact, now: float) -> None:
        name, rep = told.replica, self._state.replicas.get(told.replica)
        if rep is None or rep.born != told.born:
            return
        if not speaks_for(self._service, name, self._state):
            return
        limited = self._by_name.get(name)
        if limited is None or limited.born != told.born:
            if not told.named:
                return
            limited = self._by_name[name] = _Limited(rep.service, told.born, logged_at=now)
        fact = decode_limit(told, now)
        if limited.record.note(fact):
            self._follow(name, limited, now)
        elif limited.record.rate != fact.rate:
            # The gateway has missed what is known here.
            self._due.add(name)

    def _follow(self, name: str, limited: _Limited, now: float) -> None:
        rate = limited.record.rate
        if rate is None:
            log.info("limit over", replica=name, age_s=round(now - limited.record.since, 2))
            room, limited.room = limited.room, None
            if room is not None:
                self._settle(limited, room.release())
        elif limited.room is None:
            log.info("limit", replica=name, rate=rate)
            limited.room = ReplicaRoom(rate, now)
        else:
            limited.room.rename(rate, now)
            self._rule(name)

    def _take_ask(self, follower: Follower, ask: pb.RoomAsk, now: float) -> None:
        limited = self._by_name.get(ask.replica)
        if not self._may_grant():
            follower.answer_room(pb.RoomAnswer(ticket=ask.ticket))
            return
        if limited is None or limited.room is None:
            follower.answer_room(pb.RoomAnswer(ticket=ask.ticket, granted=True))
            return
        applicant = Applicant(
            (follower.number, ask.ticket), now + ask.wait_ms / MS, ask.rank, ask.value, ask.begun
        )
        self._settle(limited, limited.room.apply(applicant, now))
        self._wake_later(ask.replica, limited, now)

    def _rule(self, name: str) -> None:
        """Grant what room there is by now."""
        limited, now = self._by_name.get(name), self._clock()
        if limited is None or limited.room is None:
            return
        limited.timer = None
        if not self._may_grant():
            self._settle(limited, limited.room.release(), is_granted=False)
            return
        self._settle(limited, limited.room.rule(now))
        self._wake_later(name, limited, now)

    def _wake_later(self, name: str, limited: _Limited, now: float) -> None:
        next_s = limited.room.next_s(now) if limited.room is not None else None
        if next_s is None or limited.timer is not None:
            return
        loop = asyncio.get_running_loop()
        limited.timer = loop.call_later(max(LEAST_PAUSE_S, next_s), self._rule, name)

    def _settle(
        self, limited: _Limited, rulings: t.Iterable[Ruling], is_granted: bool = True
    ) -> None:
        for ruling in rulings:
            number, ticket = t.cast(tuple[int, int], ruling.applicant.ticket)
            follower = self._known.get(number)
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
                    elsewhere=not granted and self._has_room(limited.service),
                )
            )

    def _has_room(self, service: str) -> bool:
        """Tell whether some replica of a service has room, as of a moment ago."""
        now = self._clock()
        known, looked_at = self._roomy.get(service, (False, float("-inf")))
        if now - looked_at >= LOOK_S:
            known = self._look_for_room(service, now)
            self._roomy[service] = (known, now)
        return known

    def _look_for_room(self, service: str, now: float) -> bool:
        for rep in self._state.replicas.values():
            if rep.service == service and not rep.leaving and not self.delay_s(rep.name, now):
                return True
        return False

    def _withdraw(self, tickets: set[tuple[int, int]]) -> None:
        for limited in self._by_name.values():
            if limited.room is not None:
                limited.room.withdraw(tickets)

    def _is_due(self, name: str, limited: _Limited, now: float) -> bool:
        rate, told = limited.record.rate, limited.told
        if name in self._due:
            return True
        if rate is None or told is None:
            return rate is not told
        told_s = now - limited.told_at
        has_changed = abs(rate - told) > TOLD_STEP * told and told_s >= CHANGED_S
        return has_changed or told_s >= REPEAT_S

    def _forget_gone(self, now: float) -> None:
        for name, limited in list(self._by_name.items()):
            rep = self._state.replicas.get(name)
            is_over = limited.room is None and now - limited.record.fact.heard_at > ENDED_S
            if rep is None or rep.born != limited.born or is_over:
                self.forget(name)

    def _log(self, name: str, limited: _Limited, now: float) -> None:
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
            by=dict(limited.granted.most_common(MOST_NAMED)),
        )
        limited.logged_at = now
        limited.granted.clear()
        limited.refused = 0


class _Tickets(t.Container[t.Hashable]):
    """The tickets of all questions of one gateway."""

    def __init__(self, number: int) -> None:
        self._number = number

    def __contains__(self, ticket: object) -> bool:
        return isinstance(ticket, tuple) and ticket[0] == self._number
