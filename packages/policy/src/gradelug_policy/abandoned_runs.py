"""Decides whether an abandoned run, which its engine does not list, may still execute there.

Engines that run out of memory in a burst preempt runs in the middle of their streams and queue them
again. An engine does not list such a run until its prompt has been processed again, some seconds
later; until then the stream is silent and a call for the run is answered with "no such run". If the
engine keeps requests whose connection was closed, it would then execute the run in parallel with
the engine on which the request was resumed.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, field

MAX_REPORT_AGE_S = 0.5
"""Reports of engines are some hundred ms old. If the last event of a run is younger than this, the
report may show the state before the run was preempted."""
URGENT_POLL_INTERVAL_S = 0.05
"""Interval of polls for an abandoned run after its request was resumed on another engine: within
0.4 s one of the two must have stopped, and a call takes some ms."""
URGENT_POLL_WINDOW_S = 0.45
"""Time after a resumption during which an abandoned run is polled at the short interval."""
MIN_RELAXED_POLL_INTERVAL_S = 0.2
"""Shortest interval of polls while the request is not resumed elsewhere or was so some time ago,
when only the wasted work of the engine matters. Intervals grow to the time since the run was
abandoned."""


@dataclass(slots=True, frozen=True)
class EngineRunsReport:
    """State of its requests that an engine reports.

    Parameters
    ----------
    queued : int
        Number of requests in its queue.
    active : int
        Number of requests in its batch, including those in prefill.
    runs : frozenset of str
        Identifiers of the requests that it lists as running.
    events : mapping of str to int
        Number of events that each of them has produced, where it is told.
    """

    queued: int
    active: int
    runs: frozenset[str]
    events: t.Mapping[str, int] = field(default_factory=dict, compare=False)


def is_gone(report: EngineRunsReport | None, request_id: str, silent_s: float) -> bool:
    """Return whether a run that its engine did not find has certainly left it.

    Parameters
    ----------
    report : EngineRunsReport or None
        Latest report of the engine; None if it sends none.
    request_id : str
        Request of the run.
    silent_s : float
        Time since the last event of the run, in seconds.
    """
    if report is None or silent_s < MAX_REPORT_AGE_S or request_id in report.runs:
        return False
    return not report.queued and report.active <= len(report.runs)


def may_run_elsewhere(report: EngineRunsReport | None, request_id: str, silent_s: float) -> bool:
    """Return whether a stalled run's request may begin elsewhere; parameters as of `is_gone`.

    The engine then drops the run as its connection closes, unless it has queued the run.
    """
    is_listed = report is not None and request_id in report.runs
    return is_listed or is_gone(report, request_id, silent_s)


def loses_events(report: EngineRunsReport | None, request_id: str, received: int) -> bool:
    """Return whether a stalled run produces events that do not arrive.

    Parameters
    ----------
    report : EngineRunsReport or None
        Latest report of the engine; None if it sends none.
    request_id : str
        Request of the run.
    received : int
        Number of events received.
    """
    return report is not None and report.events.get(request_id, 0) > received


def may_be_queued(silent_s: float, gap_s: float) -> bool:
    """Return whether a run whose stream broke may have been preempted and queued before the break.

    A run whose last event came within the allowed pause was most likely executing, and engines drop
    executing runs when their connection closes (282 of 282 in trials), so its request is resumed at
    once and the run is polled meanwhile.

    Parameters
    ----------
    silent_s : float
        Time from the last event to the break, in seconds.
    gap_s : float
        Longest allowed pause between events, in seconds.
    """
    return silent_s > gap_s


def next_poll_s(left_s: float, since_resumed_s: float) -> float:
    """Return the time until the next poll for an abandoned run, in seconds.

    Parameters
    ----------
    left_s : float
        Time since the run was abandoned, in seconds.
    since_resumed_s : float
        Time since its request was last resumed on another engine, in seconds.
    """
    if since_resumed_s < URGENT_POLL_WINDOW_S:
        return URGENT_POLL_INTERVAL_S
    return max(MIN_RELAXED_POLL_INTERVAL_S, left_s)
