"""Which requests were lost or late, and why, from the logs of several instances.

Counts requests and not their worth, which no log line tells: a stream that was cut midway stands
beside a refused one. A request that was late has an answer all the same.
"""

from __future__ import annotations

import typing as t
from collections import Counter
from dataclasses import dataclass
from datetime import datetime

from .loglines import LogLine, read_line

LATE = "late first event"
LEFT = "caller left"
WEIGHTS_PART = 0.5
"""A first event is late for its weights if more than this part of its time went before sending."""
ENDS = frozenset({"refused", "limited", "failed", LATE, LEFT})


@dataclass(slots=True, frozen=True)
class Loss:
    """A request that was lost or late.

    Parameters
    ----------
    cause : str
        How it ended, and why as far as its line tells.
    kind : str
        Its route; empty if it was never placed.
    hall : str
        Where the instance stands that answered it; the instance's name if no line tells.
    second : int
        Since the first line of all logs.
    """

    cause: str
    kind: str
    hall: str
    second: int


@dataclass(slots=True, frozen=True)
class Losses:
    """What the logs tell of lost and late requests.

    Parameters
    ----------
    losses : tuple of Loss
        Each of them; a late request that was cut later counts twice.
    answered : int
        Requests that were answered whole, late ones included.
    unreadable : int
        Lines of the logs that are no log lines.
    """

    losses: tuple[Loss, ...]
    answered: int
    unreadable: int

    def table(self, by: str) -> list[tuple[str, Counter[str]]]:
        """Return the causes, the most frequent first, each counted by a field of `Loss`."""
        rows: dict[str, Counter[str]] = {}
        for loss in self.losses:
            rows.setdefault(loss.cause, Counter())[str(getattr(loss, by))] += 1
        return sorted(rows.items(), key=lambda row: -row[1].total())


def find_losses(rows: t.Iterable[str]) -> Losses:
    """Return what was lost, from the lines of any logs."""
    lines, unreadable = [], 0
    for row in rows:
        line = read_line(row)
        if line is None:
            unreadable += bool(row.strip())
        else:
            lines.append(line)
    kinds = {line.fields.get("id"): line.fields.get("route") for line in lines if _places(line)}
    halls = {line.process: line.fields.get("hall") for line in lines if line.message == "started"}
    began = min((line.time for line in lines), default="")
    losses = tuple(
        Loss(
            _cause(line),
            str(kinds.get(line.fields.get("id")) or ""),
            str(halls.get(line.process) or line.process),
            _seconds(began, line.time),
        )
        for line in lines
        if line.message in ENDS
    )
    answered = sum(line.message == "answered" for line in lines)
    return Losses(losses, answered, unreadable)


def _places(line: LogLine) -> bool:
    return line.message == "placed"


def _cause(line: LogLine) -> str:
    fields = line.fields
    if line.message == LATE:
        whole_s, placed_s = _number(fields.get("first_s")), _number(fields.get("placed_s"))
        waits = "for its weights" if placed_s > WEIGHTS_PART * whole_s else "at the engine"
        return f"late, it waited {waits}"
    if line.message == LEFT:
        return "caller left before it was sent" if not fields.get("sends") else LEFT
    if line.message == "limited":
        return "limited"
    return f"{line.message}: {fields.get('why', '')}"


def _number(value: t.Any) -> float:
    return float(value) if isinstance(value, (int, float)) else 0.0


def _seconds(began: str, time: str) -> int:
    try:
        passed = datetime.fromisoformat(time) - datetime.fromisoformat(began)
    except ValueError:
        return 0
    return int(passed.total_seconds())
