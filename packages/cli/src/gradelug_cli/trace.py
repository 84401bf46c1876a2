"""The story of one request, from the logs of several instances."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass
from datetime import datetime, timedelta

from .loglines import LogLine, read_line

WAITED = ("waited_s", "held_s")
PLANNING = frozenset({"order", "planner", "duty taken", "duty lost", "engine in step", "outranked"})
"""Lines without a request's identifier that tell why its weights came when they did."""


@dataclass(slots=True, frozen=True)
class Story:
    """What the logs tell of a request.

    Parameters
    ----------
    lines : tuple of LogLine
        In order of time.
    unreadable : int
        Lines of the logs that are no log lines.
    """

    lines: tuple[LogLine, ...]
    unreadable: int


def trace(request_id: str, rows: t.Iterable[str]) -> Story:
    """Return a request's story.

    Parameters
    ----------
    request_id : str
        The caller's identifier of the attempt, or the fingerprint that all its attempts share.
    rows : iterable of str
        Lines of any logs; what stands before a line's JSON object is passed over.
    """
    found: list[LogLine] = []
    planning: list[LogLine] = []
    unreadable = 0
    for row in rows:
        line = read_line(row)
        if line is None:
            unreadable += bool(row.strip())
        elif request_id in (line.fields.get("id"), line.fields.get("fingerprint")):
            found.append(line)
        elif line.message in PLANNING:
            planning.append(line)
    found.sort(key=lambda line: line.time)
    related = _related(found, planning)
    return Story(tuple(sorted(found + related, key=lambda line: line.time)), unreadable)


def _related(found: list[LogLine], planning: list[LogLine]) -> list[LogLine]:
    """Return orders for a request's weights and changes of the planner while it was served."""
    if not found:
        return []
    weights = {line.fields["weights"] for line in found if line.fields.get("weights")}
    first = min(_began(line) for line in found)
    last = found[-1].time
    return [
        line
        for line in planning
        if first <= line.time <= last
        and (line.message != "order" or line.fields.get("weights") in weights)
    ]


def _began(line: LogLine) -> str:
    """Return since when the request was there, as far as a line tells."""
    waited_s = max(float(line.fields.get(name) or 0.0) for name in WAITED)
    try:
        return (datetime.fromisoformat(line.time) - timedelta(seconds=waited_s)).isoformat()
    except ValueError:
        return line.time
