"""Lines that instances write to their logs."""

from __future__ import annotations

import json
import typing as t
from dataclasses import dataclass

COMMON = frozenset({"time", "level", "process", "logger", "message"})


@dataclass(slots=True, frozen=True)
class LogLine:
    """A line that a process wrote.

    Parameters
    ----------
    time, process, message : str
        When, who, what; times sort as text.
    fields : dict
        What decided it and the outcome.
    """

    time: str
    process: str
    message: str
    fields: dict[str, t.Any]

    def __str__(self) -> str:
        rest = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time}  {self.process}  {self.message}  {rest}".rstrip()


def read_line(row: str) -> LogLine | None:
    """Return what a line says, None if it is none of ours; what stands before it is passed over."""
    start = row.find("{")
    if start < 0:
        return None
    try:
        data = json.loads(row[start:])
    except ValueError:
        return None
    if not isinstance(data, dict) or not {"time", "process", "message"} <= data.keys():
        return None
    fields = {name: value for name, value in data.items() if name not in COMMON}
    return LogLine(str(data["time"]), str(data["process"]), str(data["message"]), fields)
