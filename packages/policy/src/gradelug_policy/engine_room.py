"""Room on model engines: which one runs a request, who waits, when an adapter gets another copy.

The load that it answers: engines of few slots, much-used adapters on some of them. An engine whose
slots are all taken lets an urgent request displace a run in the middle of its stream, makes the
others queue and rejects those beyond; meanwhile engines without the adapter have slots to spare.
So a request for which there is no slot is held where it was to be placed, until a run has ended or
another copy is there; and the copy is brought before the slots of the holders are used up.

Slots and memory are told by each service's configuration; how long a run holds a slot is learned.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass

from .engine_pace import EnginePaces
from .reading import URGENCIES, Busyness, ReadingSpeeds, Work, first_event_s

FIRST_HOLD_S = 1.5
"""How long a run holds its slot as long as nothing was seen: some 100 tokens at 15 ms."""
HOLD_WEIGHT = 0.05
"""Share of the newest run in the mean time that a slot is held. The first count no more: those
that end first are the short ones."""
LEAST_HOLD_S = 0.05
"""A shorter mean would say that a full engine is as good as a free one."""
COPY_USE_S = 4.0
"""Requests of the coming seconds that a copy is brought for; demand moves within seconds."""
COPY_SLACK_S = 0.2
"""From the need of a copy until requests go there, beyond its load: the next look for needs, and
the news of what runs."""
SPREAD = 2.0
"""Requests that arrive within a time are taken for their mean and so many times its root."""
HOLD_S = 0.3
"""A request is held this long at most for room, from its question on; then it queues at an engine.
Longer, and more of them are late than are spared: an engine takes the next one at once when a run
ends, the holder only when it has heard of it."""
MOVE_MARGIN_S = 0.1
"""An engine that is to load the adapter first must be better by this: the place costs others."""
EQUAL = URGENCIES // 2
"""Urgency of all requests at engines whose slots are what is short. By rank, an urgent request at a
full batch stops another in the middle of its stream, which then pauses beyond its bound and is read
anew; and those of less rank see queues that others do not, so that engines fill unevenly."""
READS_LEAST = 1.5
READS_MOST = 2.0
"""Slots are what is short if reading for a full batch takes at most so many times as long as a run
holds its slot, and reading is if it takes more than the second; a full batch steps slower than the
mean from which the time of a run was learned, so that it is more than 1."""
ONE_HELD = 1.0
"""Of runs that hold nothing that is known each is taken for one token: no division by zero."""


@dataclass(slots=True, frozen=True)
class Terms:
    """What an engine can run at once.

    Parameters
    ----------
    slots : int
        Requests; 0 if it is not known, and then they are not reckoned with.
    memory_tokens : int
        Tokens of prompts and answers; 0 likewise.
    """

    slots: int = 0
    memory_tokens: int = 0


@dataclass(slots=True, frozen=True)
class Pace:
    """How fast an engine works.

    Parameters
    ----------
    tokens_per_s : float
        Prompts that it reads, in tokens a second.
    hold_s : float
        How long a run holds its slot, in seconds.
    """

    tokens_per_s: float
    hold_s: float = FIRST_HOLD_S


class HoldTime:
    """Learns how long a run of a service holds its slot: while it is read and makes its answer."""

    __slots__ = ("seconds",)

    def __init__(self) -> None:
        self.seconds = FIRST_HOLD_S
        """The mean, in seconds."""

    def note(self, held_s: float) -> None:
        """Learn from a run that ended well."""
        self.seconds = max(LEAST_HOLD_S, self.seconds + HOLD_WEIGHT * (held_s - self.seconds))


def room_wait_s(busy: Busyness, work: Work, terms: Terms, pace: Pace) -> float:
    """Return the time until there are a slot and memory for a request, in seconds.

    Runs end evenly, one of `n` each `hold_s / n`, and each gives back its part of the memory.
    """
    ends = 0.0
    if terms.slots:
        ends = float(max(0, busy.held - terms.slots + 1))
    if terms.memory_tokens:
        excess = busy.memory_tokens + work.memory_tokens - terms.memory_tokens
        each = max(ONE_HELD, busy.memory_tokens / max(1, busy.held))
        ends = max(ends, math.ceil(max(0, excess) / each))
    if not ends:
        return 0.0
    running = min(busy.held, terms.slots) if terms.slots else busy.held
    return ends * pace.hold_s / max(1, running)


def expected_s(busy: Busyness, work: Work, terms: Terms, pace: Pace) -> float:
    """Return the time until a request's first event, in seconds, its wait for room included."""
    reading_s = first_event_s(busy, work, pace.tokens_per_s)
    return reading_s + room_wait_s(busy, work, terms, pace)


def has_room(busy: Busyness, work: Work, terms: Terms, pace: Pace, news_s: float = 0.0) -> bool:
    """Tell whether a request can go to an engine without displacing another or queueing.

    Parameters
    ----------
    news_s : float
        Age of what is known of the engine, in seconds: runs that have ended meanwhile count as
        room, or slots would stay empty as long as the news take.
    """
    return room_wait_s(busy, work, terms, pace) <= news_s


def free_slots(busy: Busyness, terms: Terms) -> int:
    """Return how many more requests an engine could run now."""
    return max(0, terms.slots - busy.held)


def copy_gain_s(
    holders: t.Collection[Busyness], rate: float, load_s: float, terms: Terms, hold_s: float
) -> float:
    """Return what another copy of an adapter would save, in seconds of waiting of all requests.

    It is 0 as long as the slots that are free at its holders last for those who come until the copy
    would be there.

    Parameters
    ----------
    holders : collection of Busyness
        What the engines do that have the adapter or are loading it.
    rate : float
        Requests a second for it.
    load_s : float
        Expected time of a load, in seconds.
    terms : Terms
        What each of them can run.
    hold_s : float
        How long a run holds its slot, in seconds.
    """
    if not terms.slots or not holders:
        return 0.0
    coming = rate * (load_s + COPY_SLACK_S)
    short = coming + SPREAD * math.sqrt(coming) - sum(free_slots(busy, terms) for busy in holders)
    if short <= 0:
        return 0.0
    wait_s = hold_s * max(1.0, short) / (terms.slots * len(holders))
    return wait_s * rate * COPY_USE_S


class EngineRoom:
    """What was learned of engines at work, and what they can be expected to do.

    Parameters
    ----------
    speeds : ReadingSpeeds
        How fast engines read, by service.
    paces : EnginePaces
        Which engines are slower than the others of their service.
    """

    __slots__ = ("_holds", "_read_bound", "_speeds", "paces")

    def __init__(self, speeds: ReadingSpeeds, paces: EnginePaces | None = None) -> None:
        self._speeds = speeds
        self._holds: dict[str, HoldTime] = {}
        self._read_bound: set[str] = set()
        """Services whose engines run out of time to read first."""
        self.paces = paces or EnginePaces()

    def with_own_paces(self) -> EngineRoom:
        """Return a room with the same times, which learns for itself which engines are slow."""
        room = EngineRoom(self._speeds)
        room._holds = self._holds
        return room

    def note_run(self, service: str, held_s: float) -> None:
        """Learn how long a run that ended well held its slot, in seconds."""
        self._holds.setdefault(service, HoldTime()).note(held_s)

    def is_slot_bound(self, service: str, terms: Terms) -> bool:
        """Tell whether engines run out of slots before they run out of time to read.

        With all slots taken, an engine reads so many mean prompts in the time that a run holds its
        slot. If it could read about as many, slots are what is short, and who is urgent must not
        take the slot of a run; if not, prompts queue while slots are free, and the urgent are read
        first. Where it is near, it stays as it was: urgent and equal requests beside each other
        would displace the equal ones.
        """
        if not terms.slots:
            return False
        asked = terms.slots * self._speeds.mean_prompt(service)
        read = self._speeds.speed(service) * self.hold_s(service)
        is_bound = asked < (READS_LEAST if service in self._read_bound else READS_MOST) * read
        (self._read_bound.discard if is_bound else self._read_bound.add)(service)
        return is_bound

    def hold_s(self, service: str) -> float:
        """Return how long a run of a service holds its slot, in seconds."""
        known = self._holds.get(service)
        return known.seconds if known is not None else FIRST_HOLD_S

    def pace(self, service: str, replica: str, now: float) -> Pace:
        """Return how fast an engine works."""
        slowness = self.paces.slowness(service, replica, now)
        return Pace(self._speeds.speed(service) / slowness, self.hold_s(service) * slowness)
