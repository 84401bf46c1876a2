"""Whether a run that an engine does not tell of may still go on there.

Load pattern: engines whose memory runs out under a burst put runs back to wait, in the middle of
their streams. Such a run is told of to no call until it has been read anew, some seconds later, so
its stream is silent and its engine answers that there is no such run. An engine that keeps requests
whose connection closed then works beside the engine at which the request was resumed.
"""

from __future__ import annotations

from dataclasses import dataclass

REPORT_AGE_S = 0.5
"""What an engine reports is some hundred ms old: of a run whose last event is younger than this, a
report may show what was before it had to wait."""
ASK_S = 0.05
"""How often a left run is asked for after its request went on elsewhere: within 0.4 s one of both
must have stopped, and a call takes some ms."""
URGENT_POLL_WINDOW_S = 0.45
"""For so long a left run is asked for often."""
MIN_RELAXED_POLL_INTERVAL_S = 0.2
"""The shortest pause between calls when nothing goes on elsewhere yet, or some time ago: then only
the work done in vain counts. Later pauses are as long as the time since the run was left."""


@dataclass(slots=True, frozen=True)
class EngineWord:
    """What an engine says of the requests that it has.

    Parameters
    ----------
    queued : int
        Requests that wait there.
    active : int
        Requests in its batch; those whose prompt is being read are among them.
    runs : frozenset of str
        The requests of which it tells that they run.
    """

    queued: int
    active: int
    runs: frozenset[str]


def is_gone(word: EngineWord | None, request_id: str, silent_s: float) -> bool:
    """Tell whether a run of which its engine knew nothing has left the engine for certain.

    Parameters
    ----------
    word : EngineWord or None
        What the engine says; None if it does not say.
    request_id : str
        Which run.
    silent_s : float
        Time since its last event, in seconds.
    """
    if word is None or silent_s < REPORT_AGE_S or request_id in word.runs:
        return False
    return not word.queued and word.active <= len(word.runs)


def may_wait(silent_s: float, gap_s: float) -> bool:
    """Tell whether a run whose stream broke may have been waiting for memory by then.

    One whose last event came within the usual pause was most likely at work, and engines drop those
    with their connection (282 of 282 in trials), so it goes on at once and is asked for meanwhile.

    Parameters
    ----------
    silent_s : float
        Time from its last event to the break, in seconds.
    gap_s : float
        Longest pause between events that is in time, in seconds.
    """
    return silent_s > gap_s


def next_ask_s(left_s: float, since_resumed_s: float) -> float:
    """Return the pause until a left run is asked for again, in seconds.

    Parameters
    ----------
    left_s : float
        Time since it was left, in seconds.
    went_on_s : float
        Time since its request was last sent to go on elsewhere, in seconds.
    """
    if since_resumed_s < URGENT_POLL_WINDOW_S:
        return ASK_S
    return max(MIN_RELAXED_POLL_INTERVAL_S, left_s)
