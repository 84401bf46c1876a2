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
ANSWERS_PART = 0.5
"""Part of the bound for answers that are ahead; the rest is for bodies and what is being sent."""


@dataclass(slots=True, frozen=True)
class SlowReader:
    """A caller that does not read.

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


def read_ahead(limit: int, answers: int) -> int:
    """Return how many bytes each of some answers may be ahead of its reader."""
    share = ANSWERS_PART * limit / max(1, answers)
    return round(min(MOST_READ_AHEAD, max(LEAST_READ_AHEAD, share)))


def to_shed(limit: int, held: int, readers: t.Iterable[SlowReader]) -> list[SlowReader]:
    """Return the callers to give up so that what is kept fits, the longest unread first.

    Parameters
    ----------
    limit : int
        Most bytes that may be kept.
    held : int
        Bytes that are kept for all callers.
    readers : iterable of SlowReader
        Those that do not read now. Who reads is never given up.
    """
    shed = []
    for reader in sorted(readers, key=lambda reader: reader.since):
        if held <= limit:
            break
        shed.append(reader)
        held -= reader.size
    return shed
