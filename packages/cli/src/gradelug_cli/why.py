"""Why a request was refused, or placed where it was, and its neighbour not: from logs.

Lines tell by what each was judged; here they are set side by side. Nothing is reckoned anew.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .loglines import LogLine, read_line

ENDS = ("answered", "refused", "limited", "denied", "failed", "caller left")
JUDGED = (
    "resuming stream",
    "not sent",
    "no room",
    "placed",
    "share",
    "limited",
    "late first event",
    "run goes on",
    "run went on",
    "refused",
)
"""Lines whose fields tell by what a request was judged, in this order."""
TOLD: dict[str, str] = {
    "owner": "whose",
    "kind": "kind",
    "route": "route",
    "urgency": "urgency, 0 first",
    "rank": "urgency within the quota, 0 first",
    "weights": "weights",
    "resumes": "attempt that began its stream",
    "after_event": "resumed after event, 0 for a new stream",
    "replica": "where",
    "software": "software version there",
    "asked": "version asked for, 0 for any",
    "memory": "its memory's versions, base model and adapter",
    "told": "base model of the engine where it went on",
    "waited_s": "waited for a place, s",
    "held_s": "waited at the planner, s",
    "cost": "requests before it there",
    "part": "its owner used, of all",
    "fair": "its owner may use while others wait, of all",
    "yields": "went after others",
    "kind_over": "its kind sent more than usual",
    "waiting": "waited for room then",
    "owners": "of so many owners",
    "age_s": "age of the oldest news of use, s",
    "standing": "how its caller came",
    "tokens": "tokens that it counts",
    "there": "tokens in the bucket",
    "needed": "tokens needed",
    "limit": "its replica takes a second",
    "rest_s": "its replica rests for, s",
    "retry_s": "there will be room in, s",
    "config": "configuration",
}
"""Fields that decide, and what they mean."""


@dataclass(slots=True, frozen=True)
class Fact:
    """One thing by which a request was judged.

    Parameters
    ----------
    name : str
        The field of the log line.
    value : str
        As it was logged.
    """

    name: str
    value: str


@dataclass(slots=True, frozen=True)
class Judgement:
    """How a request ended, and by what.

    Parameters
    ----------
    request : str
        Its identifier.
    end : str
        How it ended; empty if no line tells.
    facts : tuple of Fact
        By what it was judged, the last word on each.
    """

    request: str
    end: str
    facts: tuple[Fact, ...]

    @property
    def is_known(self) -> bool:
        """Whether any line tells of it."""
        return bool(self.end or self.facts)

    def value(self, name: str) -> str:
        """Return what was logged of something, `-` if nothing."""
        return next((fact.value for fact in self.facts if fact.name == name), "-")

    def __str__(self) -> str:
        lines = [f"{self.request}: {self.end or 'no line tells how it ended'}"]
        lines += [f"  {TOLD[fact.name]}: {fact.value}" for fact in self.facts]
        return "\n".join(lines)


def judge(request: str, rows: t.Iterable[str]) -> Judgement:
    """Return by what a request was judged, from the lines of any logs."""
    lines = [line for row in rows if (line := read_line(row)) is not None]
    own = sorted(
        (line for line in lines if line.fields.get("id") == request), key=lambda line: line.time
    )
    ends = [line for line in own if line.message in ENDS]
    found: dict[str, str] = {}
    for message in JUDGED:
        for line in own:
            if line.message == message:
                found |= {name: str(line.fields[name]) for name in TOLD if name in line.fields}
    facts = tuple(Fact(name, found[name]) for name in TOLD if name in found)
    return Judgement(request, _end(ends[-1]) if ends else "", facts)


def differences(first: Judgement, second: Judgement) -> list[str]:
    """Return in what two requests differ, a line each."""
    return [
        f"{meaning}: {first.value(name)} against {second.value(name)}"
        for name, meaning in TOLD.items()
        if first.value(name) != second.value(name)
    ]


def _end(line: LogLine) -> str:
    why = line.fields.get("why")
    return f"{line.message}: {why}" if why else line.message
