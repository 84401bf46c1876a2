"""Replicas that named how many requests a second they take, and what was used of it, from logs."""

from __future__ import annotations

import typing as t
from collections import Counter
from dataclasses import dataclass, field

from .loglines import LogLine, read_line

BEGAN, ENDED, USED, TURNED_AWAY = "limit", "limit over", "limit used", "no room"


@dataclass(slots=True)
class NamedLimit:
    """What the logs tell of a replica's limit.

    Parameters
    ----------
    replica : str
        Which.
    rate : float
        Requests a second that it named last.
    since, until : str
        When its planner heard of it, and of its end; empty while it holds or if no line tells.
    granted, refused : int
        Sendings that its planner let through and refused.
    turned_away : int
        Sendings that gateways did not make, the planner's refusals included.
    by : Counter of str
        What was granted, by gateway.
    """

    replica: str
    rate: float = 0.0
    since: str = ""
    until: str = ""
    granted: int = 0
    refused: int = 0
    turned_away: int = 0
    by: Counter[str] = field(default_factory=Counter)

    def __str__(self) -> str:
        shares = "  ".join(f"{name} {count}" for name, count in self.by.most_common())
        span = f"{self.since or '-'} to {self.until or 'now'}"
        counts = f"{self.granted} granted, {self.refused} refused, {self.turned_away} turned away"
        return f"{self.replica}: {self.rate} a second, {span}: {counts}; {shares}".rstrip("; ")


def find_limits(rows: t.Iterable[str]) -> list[NamedLimit]:
    """Return the replicas that named a limit, in the order of their first line."""
    lines = [line for row in rows if (line := read_line(row)) is not None]
    found: dict[str, NamedLimit] = {}
    for line in sorted(lines, key=lambda line: line.time):
        if line.message in (BEGAN, ENDED, USED, TURNED_AWAY):
            name = str(line.fields.get("replica", ""))
            _take(found.setdefault(name, NamedLimit(name)), line)
    return list(found.values())


def _take(limit: NamedLimit, line: LogLine) -> None:
    fields = line.fields
    if line.message == TURNED_AWAY:
        limit.turned_away += 1
        return
    if line.message == ENDED:
        limit.until = line.time
        return
    limit.rate = float(fields.get("rate") or 0.0)
    if line.message == BEGAN:
        limit.since, limit.until = limit.since or line.time, ""
        return
    limit.granted += int(fields.get("granted", 0))
    limit.refused += int(fields.get("refused", 0))
    by = fields.get("by")
    if isinstance(by, dict):
        limit.by.update({str(name): int(count) for name, count in by.items()})
