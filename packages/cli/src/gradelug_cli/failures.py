"""Errors that ended a process, a planner or a task, from the logs of several instances.

Every logged traceback counts, and so does what Python itself prints of an error that nobody
handled. Errors of callers, replicas and the platform are logged without a traceback.
"""

from __future__ import annotations

import typing as t
from collections import Counter
from dataclasses import dataclass

from .loglines import LogLine, read_line

TRACEBACK = "Traceback (most recent call last)"
UNHANDLED = (TRACEBACK, "exception was never retrieved", "Exception in callback")
"""What Python prints, outside any log line, of errors that nobody handled."""
MAX_MESSAGE_LENGTH = 200


@dataclass(slots=True, frozen=True)
class Failure:
    """A kind of error in the logs.

    Parameters
    ----------
    process : str
        Process that logged it; empty if the line does not name one.
    message : str
        Its message, and the error as far as the line names it.
    """

    process: str
    message: str


def find_failures(rows: t.Iterable[str]) -> Counter[Failure]:
    """Return the errors in the lines of any logs, with the number of lines of each."""
    failures: Counter[Failure] = Counter()
    for row in rows:
        line = read_line(row)
        if line is None:
            if any(text in row for text in UNHANDLED):
                failures[Failure("", row.strip()[:MAX_MESSAGE_LENGTH])] += 1
        elif _is_failure(line):
            failures[Failure(line.process, _describe(line))] += 1
    return failures


def _is_failure(line: LogLine) -> bool:
    is_failed_task = line.message.startswith("task ") and " failed: " in line.message
    return is_failed_task or "exception" in line.fields or TRACEBACK in line.message


def _describe(line: LogLine) -> str:
    if TRACEBACK in line.message:
        return line.message.strip().splitlines()[-1][:MAX_MESSAGE_LENGTH]
    why = line.fields.get("why", "")
    return f"{line.message}: {why}" if why else line.message
