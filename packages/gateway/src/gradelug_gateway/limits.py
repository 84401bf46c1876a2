"""Limits that replicas name in their answers, and leave to send to such a replica.

What a replica takes is for all instances together: the planner of its service grants room for each
sending (`limit_desk`), or the planner that is the home of the quotas for services without engines.
"""

from __future__ import annotations

import asyncio
import random
import typing as t
from collections import Counter, deque

import logbook
from gradelug_policy.replica_limits import LimitFact, LimitRecord, LimitWord
from gradelug_policy.replica_room import LEAST_RATE, OWN_PART, OwnTurns

from .budgets import DEFAULT_GATEWAY_COUNT
from .model import Replica

log = logbook.Logger("limits")
SEND_COUNT_WINDOW_S = 4.0
"""Span over which sendings to a replica with a limit are counted, in seconds."""
MAX_LOGGED_CHARS = 40
"""So much of a limit that is no number is logged, in characters."""
PERMIT_TTL_S = 0.5
"""Room that was granted with an answer is used within milliseconds; later it is another second's,
and would come beside what is granted then."""
POLL_INTERVAL_S = 0.05
"""How often a request that waits for a planner looks whether there is one."""
MAX_DELAY_S = 2.0
"""A replica that takes next to nothing is taken for one with so long a wait."""
MAX_RETRY_S = 5.0
"""A planner that is lost is replaced within this."""


class Demand(t.NamedTuple):
    """How much a request needs room, as a planner is told.

    Parameters
    ----------
    until : float
        How long it waits for room, by the runtime's clock; not at all if it can go elsewhere.
    rank : int
        Urgency, 0 first.
    value : float
        What an answer in time is worth, 1 for an ordinary urgent one.
    begun : bool
        Whether its caller has had a part of the answer.
    """

    until: float = 0.0
    rank: int = 0
    value: float = 1.0
    begun: bool = False


class Denial(t.NamedTuple):
    """A request may not be sent to a replica.

    Parameters
    ----------
    retry_s : float
        When there will be room for it, in seconds.
    elsewhere : bool
        Whether another replica of the service has room.
    """

    retry_s: float
    elsewhere: bool = False


class CapacityClient(t.Protocol):
    """The way to the planner that grants room at a replica."""

    async def ask(self, replica: str, demand: Demand) -> Denial | None:
        """Return None if a request may be sent; raises `NoGrants` or `TimeoutError`."""
        ...


class GrantsUnavailable(Exception):
    """The planner that was asked grants nothing now."""


class ReplicaLimits:
    """What replicas said of their limits, and whether this instance may send to them.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    rng : Random or None
        Draws at which moments this instance has turns of its own.
    is_on : bool
        Whether limits are kept to; otherwise they are only logged.
    """

    __slots__ = (
        "_clock",
        "_is_on",
        "_listeners",
        "_fallback_turns",
        "_permits",
        "_records",
        "_rng",
        "_recent_sends",
        "_offer_turns",
        "_logged_unreadable",
        "denied",
        "find_desk",
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
        self.find_desk: t.Callable[[str], CapacityClient | None] = lambda service: None
        """Returns who grants room at replicas of a service, None while nobody does."""
        self._listeners: list[t.Callable[[str], None]] = []
        self._records: dict[str, LimitRecord] = {}
        self._permits: dict[str, list[float]] = {}
        """Until when room holds that was granted beforehand, by replica."""
        self._offer_turns: dict[str, OwnTurns] = {}
        """When this instance offers requests to a replica that could go elsewhere."""
        self._fallback_turns: dict[str, OwnTurns] = {}
        """When it may send to a replica without having asked."""
        self.instance_count = DEFAULT_GATEWAY_COUNT
        """How many instances send to replicas."""
        self._recent_sends: deque[tuple[float, str]] = deque()
        """Sendings of this instance to replicas with a limit."""
        self._logged_unreadable: set[str] = set()
        """Replicas of which it was logged that their limit cannot be read."""
        self.denied = 0
        """Sendings since the start that were not made for want of room."""

    # What is known.

    def subscribe(self, listener: t.Callable[[str], None]) -> None:
        """Call `listener` with a replica's name when an answer here tells another limit of it."""
        self._listeners.append(listener)

    def hear(self, replica: str, word: LimitWord, sent_at: float) -> None:
        """Take over what an answer to a request sent at a moment says."""
        if word.unreadable:
            self._log_unreadable_limit(replica, word)
            return
        if word.rate is None and replica not in self._records:
            return
        if self.take(replica, LimitFact(word.rate, sent_at, self._clock()), "answer"):
            for listener in self._listeners:
                listener(replica)

    def take(self, replica: str, fact: LimitFact, source: str) -> bool:
        """Take over what is known of a limit; tell whether it is another one now."""
        record = self._records.setdefault(replica, LimitRecord())
        before, since = record.rate, record.since
        if not record.note(fact):
            return False
        self._offer_turns.pop(replica, None)
        self._fallback_turns.pop(replica, None)
        if record.rate is None:
            self._permits.pop(replica, None)
            after_s = round(self._clock() - since, 2)
            log.info("limit ended", replica=replica, after_s=after_s, source=source)
        else:
            log.info("limit named", replica=replica, rate=record.rate, before=before, source=source)
        return True

    def fact(self, replica: str) -> LimitFact | None:
        """Return the newest that is known of a replica's limit, None if nothing is."""
        record = self._records.get(replica)
        return record.fact if record is not None else None

    def rate(self, replica: str) -> float | None:
        """Return how many requests a second a replica takes, None if it names no limit."""
        record = self._records.get(replica)
        return record.rate if record is not None else None

    def named(self) -> list[str]:
        """Return the replicas that name a limit."""
        return [name for name, record in self._records.items() if record.rate is not None]

    def share_among(self, instances: int) -> None:
        """Take it that so many instances send to replicas."""
        if instances != self.instance_count:
            self.instance_count = max(1, instances)
            self._offer_turns.clear()
            self._fallback_turns.clear()

    def forget_gone(self, known: t.Container[str]) -> None:
        """Drop the limits of replicas that are gone."""
        for name in [name for name in self._records if name not in known]:
            self.forget(name)
        self._logged_unreadable = {name for name in self._logged_unreadable if name in known}

    def forget(self, replica: str) -> None:
        """Drop the limit of a replica that has begun another life."""
        for kept in (self._records, self._permits, self._offer_turns, self._fallback_turns):
            kept.pop(replica, None)

    # Choosing.

    def is_open(self, replica: str) -> bool:
        """Tell whether a request that could go elsewhere may be offered to a replica now.

        A limited one is offered its part of the requests, and not all: each that it has no room for
        costs its caller a question.
        """
        turns = self._offer_turns_at(replica)
        return turns is None or turns.is_due(self._clock())

    def delay_s(self, replica: str) -> float:
        """Return about how long a request would wait for room at a replica, in seconds."""
        rate = self.rate(replica)
        if rate is None or not self._is_on or self.is_open(replica):
            return 0.0
        return min(MAX_DELAY_S, 1 / max(rate, 1 / MAX_DELAY_S))

    # Leave to send.

    def add_permit(self, replica: str) -> None:
        """Take over room that a planner has granted beforehand."""
        self._permits.setdefault(replica, []).append(self._clock() + PERMIT_TTL_S)

    async def admit(self, replica: Replica, demand: Demand) -> Denial | None:
        """Wait for leave to send a request to a replica; return None if it may be sent.

        Parameters
        ----------
        replica : Replica
            Where it is to go.
        demand : Demand
            How much it needs room, and how long it waits for it.
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
        self.denied += 1
        if turns is not None and has_turn:
            # Those that were denied together come back one after the other.
            turns.give_back(self._clock() + denial.retry_s * (1 + self._rng.random()))
        return denial

    def note_sent(self, replica: str) -> None:
        """Count a sending to a replica, if it has a limit."""
        if self.rate(replica) is not None:
            self._recent_sends.append((self._clock(), replica))

    def sent(self) -> Counter[str]:
        """Return how many requests were sent to each replica with a limit lately."""
        while (
            self._recent_sends and self._recent_sends[0][0] <= self._clock() - SEND_COUNT_WINDOW_S
        ):
            self._recent_sends.popleft()
        return Counter(name for _, name in self._recent_sends)

    async def _ask(self, replica: Replica, demand: Demand) -> Denial | None:
        while True:
            desk = self.find_desk(replica.service)
            try:
                if desk is not None:
                    return await desk.ask(replica.name, demand)
            except (GrantsUnavailable, TimeoutError):
                log.info("no room is granted", replica=replica.name)
            rate = self.rate(replica.name)
            if rate is None or self._fallback_turns_at(replica.name, rate).take(self._clock()):
                return None
            if self._clock() >= demand.until:
                return Denial(min(MAX_RETRY_S, 1 / max(rate, 1 / MAX_RETRY_S)))
            await asyncio.sleep(POLL_INTERVAL_S)

    def _use_permit(self, replica: str) -> bool:
        now = self._clock()
        kept = [until for until in self._permits.get(replica, ()) if until > now]
        if not kept:
            self._permits.pop(replica, None)
            return False
        self._permits[replica] = kept[1:]
        return True

    def _offer_turns_at(self, replica: str) -> OwnTurns | None:
        rate = self.rate(replica)
        if rate is None or not self._is_on:
            return None
        turns = self._offer_turns.get(replica)
        if turns is None:
            turns = self._offer_turns[replica] = self._new_turns(rate, 1.0, keeps=True)
        return turns

    def _fallback_turns_at(self, replica: str, rate: float) -> OwnTurns:
        turns = self._fallback_turns.get(replica)
        if turns is None:
            turns = self._fallback_turns[replica] = self._new_turns(rate, OWN_PART)
        return turns

    def _new_turns(self, rate: float, part: float, keeps: bool = False) -> OwnTurns:
        share = part * max(rate, LEAST_RATE) / self.instance_count
        return OwnTurns(share, self._rng.random(), self._clock(), keeps)

    def _log_unreadable_limit(self, replica: str, word: LimitWord) -> None:
        if replica not in self._logged_unreadable:
            self._logged_unreadable.add(replica)
            log.warning(
                "limit cannot be read", replica=replica, value=word.unreadable[:MAX_LOGGED_CHARS]
            )
