"""What instances that started together waited for, from their logs."""

from __future__ import annotations

import math
import statistics
import typing as t
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime

from .loglines import LogLine, read_line

TOGETHER_S = 3.0
"""Instances that started within this time of the one before started together: power comes back
to all within a second, and weak instances take another one to begin."""
FOLLOWED_S = 30.0
"""What comes later after a start is work, and not the start."""
STARTED = "started"
REFUSED, FAILED = "refused", "failed"
STEPS: dict[str, str] = {
    "configuration in force": "configuration read",
    "part known: replicas": "store's list read",
    "part known: leader": "leader known",
    "part known: holdings": "holdings known",
    "duty taken": "leads",
    "planner followed": "leader followed",
    "engine in step": "engine's report read",
    "order": "first order",
    "placed": "first request sent",
    "answered": "first request answered",
    REFUSED: "first refusal",
    FAILED: "first failure",
}
"""Steps in the order in which they are told, by the line that tells of them."""
HEADING = f"{'seconds after the first':22}  count    first   middle  9 in 10     last  own middle"


@dataclass(slots=True)
class Start:
    """An instance's start.

    Parameters
    ----------
    process : str
        The instance.
    at : float
        When it was up, in seconds since the first line of all logs.
    read_s : float
        How long its door had been open by then, in seconds; not a number if its line tells none.
    steps : dict of str to float
        Seconds from then to the first line of each step.
    reports : list of float
        Seconds to each report of an engine.
    causes : Counter of str
        Why requests were refused or failed.
    """

    process: str
    at: float
    read_s: float = math.nan
    steps: dict[str, float] = field(default_factory=dict)
    reports: list[float] = field(default_factory=list)
    causes: Counter[str] = field(default_factory=Counter)

    def take(self, line: LogLine, at: float) -> None:
        """Take a line that the instance wrote after its start."""
        passed_s = at - self.at
        part = line.fields.get("part")
        step = f"{line.message}: {part}" if part else line.message
        if step not in STEPS or passed_s > FOLLOWED_S:
            return
        self.steps.setdefault(step, passed_s)
        if line.message == "engine in step":
            self.reports.append(passed_s)
        if line.message in (REFUSED, FAILED):
            self.causes[str(line.fields.get("why", ""))] += 1


@dataclass(slots=True, frozen=True)
class Step:
    """When instances that started together reached a step.

    Parameters
    ----------
    name : str
        The step.
    count : int
        Instances that reached it.
    first_s, middle_s, most_s, last_s : float
        When the first, half, nine in ten and the last of these did, in seconds since the first
        instance was up.
    own_s : float
        Seconds from an instance's own start, in the middle.
    """

    name: str
    count: int
    first_s: float
    middle_s: float
    most_s: float
    last_s: float
    own_s: float


@dataclass(slots=True, frozen=True)
class Recovery:
    """Instances that started together.

    Parameters
    ----------
    at : float
        When the first of them was up, in seconds since the first line of all logs.
    starts : tuple of Start
        In order of time.
    """

    at: float
    starts: tuple[Start, ...]

    def steps(self) -> list[Step]:
        """Return the steps that any of them reached."""
        ups = [(start.at - self.at, start.at - self.at) for start in self.starts]
        found = [_step("up", ups)]
        for message, name in STEPS.items():
            times = [
                (start.at - self.at + start.steps[message], start.steps[message])
                for start in self.starts
                if message in start.steps
            ]
            if times:
                found.append(_step(name, times))
            if message == "engine in step" and times:
                found.append(_step("all reports read", self._reports()))
        return found

    def _reports(self) -> list[tuple[float, float]]:
        return [
            (start.at - self.at + after_s, after_s)
            for start in self.starts
            for after_s in start.reports
        ]

    @property
    def read_s(self) -> float:
        """Time from the open door to up, in the middle, in seconds; not a number if none tells."""
        told = [start.read_s for start in self.starts if not math.isnan(start.read_s)]
        return statistics.median(told) if told else math.nan

    def causes(self) -> Counter[str]:
        """Return why requests were refused or failed, all together."""
        return sum((start.causes for start in self.starts), Counter())

    def __str__(self) -> str:
        head = f"{len(self.starts)} instances up from {self.at:.2f} s"
        if not math.isnan(self.read_s):
            head += f", {self.read_s:.2f} s behind an open door"
        rows = [head, HEADING]
        rows += [
            f"{step.name:22}{step.count:7}{step.first_s:9.2f}{step.middle_s:9.2f}"
            f"{step.most_s:9.2f}{step.last_s:9.2f}{step.own_s:11.2f}"
            for step in self.steps()
        ]
        rows += [f"{count:6}  {why}" for why, count in self.causes().most_common()]
        return "\n".join(rows)


def find_recoveries(rows: t.Iterable[str]) -> list[Recovery]:
    """Return the starts that the lines of any logs tell of, those together that belong together."""
    lines = [line for row in rows if (line := read_line(row)) is not None]
    lines = sorted((line for line in lines if line.time), key=lambda line: line.time)
    if not lines:
        return []
    began = lines[0].time
    latest: dict[str, Start] = {}
    starts: list[Start] = []
    for line in lines:
        at = _seconds(began, line.time)
        if line.message == STARTED:
            read_s = line.fields.get("read_s")
            known_s = float(read_s) if isinstance(read_s, (int, float)) else math.nan
            latest[line.process] = Start(line.process, at, known_s)
            starts.append(latest[line.process])
        elif line.process in latest:
            latest[line.process].take(line, at)
    return [Recovery(group[0].at, tuple(group)) for group in _together(starts)]


def _together(starts: t.Sequence[Start]) -> t.Iterator[list[Start]]:
    group: list[Start] = []
    for start in starts:
        if group and start.at - group[-1].at > TOGETHER_S:
            yield group
            group = []
        group.append(start)
    if group:
        yield group


def _step(name: str, times: t.Sequence[tuple[float, float]]) -> Step:
    passed = sorted(since_first for since_first, _ in times)
    own_s = statistics.median(own for _, own in times)
    most_s = passed[math.ceil(0.9 * len(passed)) - 1]
    middle_s = statistics.median(passed)
    return Step(name, len(passed), passed[0], middle_s, most_s, passed[-1], own_s)


def _seconds(began: str, time: str) -> float:
    try:
        passed = datetime.fromisoformat(time) - datetime.fromisoformat(began)
    except ValueError:
        return 0.0
    return passed.total_seconds()
