"""What is kept for callers that read slowly, within one bound for the instance.

Load pattern: hundreds of callers stop reading their answers, upstreams send on, bodies of requests
wait for upstreams that read slowly. Each connection's own bound is harmless alone and a hundred
megabytes together, and an instance that goes over its memory ends with all that it serves.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

LEAST_READ_AHEAD = 8_192
"""Bytes that an answer may be ahead of its reader however many there are: some events of a stream,
so that a caller that reads is never held up by the others."""
MOST_READ_AHEAD = 262_144
"""Bytes that an answer may be ahead of its reader while there is room for all."""
MAX_BODY_BYTES = 33_554_432
"""Bytes of all bodies that are being collected, where the instance has room for them."""
LEAST_BODY_BYTES = 262_144
"""Bytes that each body may have whatever the others hold, while few are collected: upstreams that
send without end do not stop those that send a usual answer."""
LEAST_PART = 0.5
"""What all bodies may have beyond the limit in this way, as a part of it."""
ANSWERS_PART = 0.5
"""Part of the bound for answers that are ahead; the rest is for bodies and what is being sent."""


@dataclass(slots=True, frozen=True)
class SlowReader:
    """A caller that does not read, or sends nothing of a request that it has begun.

    Parameters
    ----------
    number : int
        Names its connection.
    since : float
        Since when, by the runtime's clock.
    size : int
        Bytes that are kept for it.
    """

    number: int
    since: float
    size: int


class BodyBudget:
    """Bytes of answers' bodies that are collected whole before they are passed on.

    Parameters
    ----------
    limit : int
        Bytes that all bodies together may have.
    unsent : callable
        Returns the bytes of answers that were passed on and wait for their callers to read them.
    """

    __slots__ = ("bodies", "held", "limit", "unsent")

    def __init__(
        self, limit: int = MAX_BODY_BYTES, unsent: t.Callable[[], int] = lambda: 0
    ) -> None:
        self.limit = limit
        self.unsent = unsent
        self.bodies = 0
        """Bodies that are held now."""
        self.held = 0
        """Bytes that are held now."""

    def open(self) -> BodyLease:
        """Begin to count a body."""
        return BodyLease(self)

    def has_room(self, body_bytes: int) -> bool:
        """Return whether a body may have so many bytes."""
        if body_bytes <= LEAST_READ_AHEAD:
            return True
        reserve = LEAST_PART * self.limit
        share = min(LEAST_BODY_BYTES, reserve / max(1, self.bodies))
        if body_bytes <= share and self.held <= self.limit + reserve:
            return True
        return self.held + self.unsent() <= self.limit


class BodyLease:
    """What one body takes of a budget until it is released.

    Parameters
    ----------
    budget : BodyBudget
        The budget.
    """

    __slots__ = ("_budget", "size")

    def __init__(self, budget: BodyBudget) -> None:
        self._budget = budget
        self.size = 0
        """Bytes of the body so far."""

    def resize(self, size: int) -> bool:
        """Count a body as so many bytes; return whether it fits."""
        self._budget.bodies += (size > 0) - (self.size > 0)
        self._budget.held += size - self.size
        self.size = size
        return not size or self._budget.has_room(size)

    def add(self, size: int) -> bool:
        """Count a further part of the body; return whether it fits."""
        return self.resize(self.size + size)

    def release(self) -> None:
        """Stop counting a body that was passed on or given up; further calls do nothing."""
        self.resize(0)


@dataclass(slots=True, frozen=True)
class KeptBody:
    """A whole body that counts until it is released.

    Parameters
    ----------
    data : bytes
        The body.
    lease : BodyLease
        What it takes of the budget.
    """

    data: bytes
    lease: BodyLease

    def release(self) -> None:
        """Stop counting the body."""
        self.lease.release()


def read_ahead(limit: int, answers: int) -> int:
    """Return how many bytes each of some answers may be ahead of its reader."""
    share = ANSWERS_PART * limit / max(1, answers)
    return round(min(MOST_READ_AHEAD, max(LEAST_READ_AHEAD, share)))


@dataclass(slots=True, frozen=True)
class SlowSender:
    """A caller whose request arrives.

    Parameters
    ----------
    number : int
        Names its connection.
    rate : float
        Bytes per second at which the request has arrived so far.
    size : int
        Bytes that are kept for it.
    """

    number: int
    rate: float
    size: int


def to_refuse(limit: int, held: int, senders: t.Iterable[SlowSender]) -> list[SlowSender]:
    """Return the callers whose requests are refused so that what is kept fits, the slowest first.

    Parameters
    ----------
    limit : int
        Most bytes that may be kept.
    held : int
        Bytes that are kept for all callers.
    senders : iterable of SlowSender
        Those whose requests arrive.
    """
    refused = []
    for sender in sorted(senders, key=lambda sender: sender.rate):
        if held <= limit:
            break
        refused.append(sender)
        held -= sender.size
    return refused


def to_shed(limit: int, held: int, readers: t.Iterable[SlowReader]) -> list[SlowReader]:
    """Return the callers to give up so that what is kept fits, the longest unread first.

    Parameters
    ----------
    limit : int
        Most bytes that may be kept.
    held : int
        Bytes that are kept for all callers.
    readers : iterable of SlowReader
        Those that do not read or send now. Who does is never given up.
    """
    shed = []
    for reader in sorted(readers, key=lambda reader: reader.since):
        if held <= limit:
            break
        shed.append(reader)
        held -= reader.size
    return shed
