"""How a run outlives its connection and its engine: copies, moves, and the way on after a break.

Load patterns: answers that are lost and connections that are reset while engines live, engines that
crash or flap, engines that are taken away at short notice with runs on them. The callers' streams
may not be run again, so each of these ends them unless the same run goes on.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

HALF_LIFE_S = 6.0
"""Breaks count half after this: a run lasts some seconds, so what broke others just now is what may
break it."""
SERVICE_PRIOR_S = 20.0
ENGINE_PRIOR_S = 5.0
"""Time of unbroken streams that is assumed before any was seen, in seconds of streams: a first
break on an engine says much of that engine, and less of all others."""
LEAST_RISK = 0.02
"""A copy moves the memory of a whole run. Below this risk of a break, fifty runs are moved or more
so that one goes on."""
MIN_REMAINING_S = 0.4
"""A run that ends sooner is over before its copy is of use, which is sent some times a second."""
ROOM_PART = 0.6
"""A copy must not take room from requests: it goes where no more than this part of the memory is
in use with it. The rest is for what callers send there before news of it arrive."""
ANY_ROOM = 1.0
"""A run that its engine stops may take what room there is: its memory is used at once."""
DEFAULT_TOKEN_S = 0.012
"""Time for a token until a run was observed: the users' engines make one in 8 to 20 ms."""
MEAN_WEIGHT = 0.05
MOVE_MARGIN_S = 0.35
"""Moves begin so long before the last moment: a call's answer, a packet lost, news of the notice
that is some hundred ms old."""
MOVE_SETUP_S = 0.005
"""Time of a move besides the sending of the memory."""
MEGABITS_PER_BYTE = 8e-6
"""Megabits in a byte."""


@dataclass(slots=True, frozen=True)
class CopyTerms:
    """What a copy of a run's memory takes.

    Parameters
    ----------
    token_bytes : int
        Memory of a token, in bytes.
    link_mbps : float
        Speed of the engines' links, in megabits a second.
    kept_s : float
        How long an unused copy is kept, in seconds.
    event_tokens : int
        Tokens in an event of a stream.
    """

    token_bytes: int = 0
    link_mbps: float = 1_000.0
    kept_s: float = 0.0
    event_tokens: int = 1

    def copy_s(self, tokens: int) -> float:
        """Return how long sending the memory of so many tokens takes a link, in seconds."""
        return MOVE_SETUP_S + tokens * self.token_bytes * MEGABITS_PER_BYTE / self.link_mbps


class _DecayedBreakRate:
    """Breaks and time of streams, of which older ones count less."""

    __slots__ = ("_at", "_breaks", "_prior_s", "_time_s")

    def __init__(self, prior_s: float) -> None:
        self._prior_s = prior_s
        self._breaks = 0.0
        self._time_s = 0.0
        self._at = -math.inf

    def note(self, breaks: int, time_s: float, now: float) -> None:
        self._decay_to(now)
        self._breaks += breaks
        self._time_s += time_s

    def per_s(self, now: float) -> float:
        self._decay_to(now)
        return self._breaks / (self._prior_s + self._time_s)

    def _decay_to(self, now: float) -> None:
        if now > self._at:
            factor = math.exp2((self._at - now) / HALF_LIFE_S)
            self._breaks *= factor
            self._time_s *= factor
            self._at = now


class BreakRecord:
    """How often streams break: breaks for each second that a stream lasts, lately.

    One is kept for a service and one for each of its engines; the greater of the two counts. Resets
    of connections show in the first, an engine that loses answers in the second.
    """

    __slots__ = ("_engines", "_service")

    def __init__(self) -> None:
        self._service = _DecayedBreakRate(SERVICE_PRIOR_S)
        self._engines: dict[str, _DecayedBreakRate] = {}

    def note(self, engine: str, broken: bool, lasted_s: float, now: float) -> None:
        """Take a stream into account that ended, or broke, after it had lasted for some seconds."""
        self._service.note(broken, lasted_s, now)
        if engine not in self._engines:
            self._engines[engine] = _DecayedBreakRate(ENGINE_PRIOR_S)
        self._engines[engine].note(broken, lasted_s, now)

    def risk(self, engine: str, left_s: float, now: float) -> float:
        """Return the probability that a stream on an engine breaks before it ends, 0 to 1."""
        known = self._engines.get(engine)
        per_s = max(self._service.per_s(now), known.per_s(now) if known is not None else 0.0)
        return -math.expm1(-per_s * left_s)

    def keep_only(self, engines: t.Container[str]) -> None:
        """Forget the engines that are not among these."""
        for name in [name for name in self._engines if name not in engines]:
            del self._engines[name]


class Pace:
    """Learns how long the runs of a service take for a token, and how large they are."""

    __slots__ = ("mean_tokens", "token_s")

    def __init__(self) -> None:
        self.token_s = DEFAULT_TOKEN_S
        """Seconds for a token."""
        self.mean_tokens = 0.0
        """Tokens that a run has in its engine's memory at its end."""

    def note(self, tokens: int, made: int, took_s: float) -> None:
        """Learn from a run that ended with some tokens in memory, `made` of them its own."""
        if not self.mean_tokens:
            self.mean_tokens = tokens
        self.mean_tokens += MEAN_WEIGHT * (tokens - self.mean_tokens)
        if made > 1 and took_s > 0:
            self.token_s += MEAN_WEIGHT * (took_s / made - self.token_s)


@dataclass(slots=True, frozen=True)
class CopyTarget:
    """An engine that may receive a copy.

    Parameters
    ----------
    name : str
        Which.
    used : float
        Part of its memory in use with the copy in it, 0 to 1 or more.
    holds : bool
        Whether it holds the weights: the run goes on at once.
    near : bool
        Whether it stands in the hall of the engine that runs.
    """

    name: str
    used: float
    holds: bool
    near: bool


def wants_copy(risk: float, left_s: float) -> bool:
    """Tell whether a run is to be copied as it grows.

    Parameters
    ----------
    risk : float
        That it breaks before its end.
    left_s : float
        How long it is expected to last, in seconds.
    """
    return risk >= LEAST_RISK and left_s >= MIN_REMAINING_S


def choose_target(targets: t.Iterable[CopyTarget], most_used: float = ROOM_PART) -> str | None:
    """Return the engine that a copy is sent to; None if none has room.

    One that holds the weights goes first: elsewhere they are loaded while the caller waits.
    """
    fit = [target for target in targets if target.used <= most_used]
    best = min(fit, key=lambda one: (not one.holds, not one.near, one.used), default=None)
    return best.name if best is not None else None


class Way(Enum):
    """How a run whose stream broke goes on."""

    STOP = "stop"
    """Its engine may still run it: it is stopped there, and goes on from what is kept."""
    BACKUP = "backup"
    """From the copy that another engine received as it grew."""
    NEW_RUN = "afresh"
    """A new run goes on after the last event; only where callers allow it."""
    END = "end"
    """Not at all: it may have run."""


@dataclass(slots=True, frozen=True)
class Broken:
    """A run whose stream broke.

    Parameters
    ----------
    can_stop : bool
        Whether its engine may still run it, can be asked, and was not asked yet.
    has_backup : bool
        Whether a copy at another engine was not tried yet.
    repeatable : bool
        Whether the caller allows another run after the last event.
    has_budget : bool
        Whether a request may be sent again now.
    """

    can_stop: bool
    has_backup: bool
    repeatable: bool
    has_retry_budget: bool


def choose_way(broken: Broken) -> Way:
    """Return how a run goes on.

    An engine that may still run it is asked first: two must not be at work, and what it keeps is
    whole, while a copy lacks what came last.
    """
    if not broken.has_retry_budget:
        return Way.END
    if broken.can_stop:
        return Way.STOP
    if broken.has_backup:
        return Way.BACKUP
    return Way.NEW_RUN if broken.repeatable else Way.END


@dataclass(slots=True, frozen=True)
class EndingRun:
    """A run on an engine that is about to end.

    Parameters
    ----------
    request_id : str
        Which.
    tokens : int
        In the engine's memory.
    left_s : float
        How long it is expected to last, in seconds.
    value : float
        What the caller loses if it is cut.
    prepare_s : float
        Time until another engine has its weights, in seconds.
    """

    request_id: str
    tokens: int
    left_s: float
    value: float
    prepare_s: float = 0.0


def moves_due(
    runs: t.Sequence[EndingRun], ends_in_s: float, others: int, terms: CopyTerms
) -> list[EndingRun]:
    """Return the runs of an ending engine that are to be moved now, the first one first.

    Moves stand one behind the other on the engine's link, so they begin as late as all of them
    still fit: every run that ends before that costs nothing. Those that lose most go first, and
    those whose weights have to be loaded elsewhere begin with that.

    Parameters
    ----------
    runs : sequence of EndingRun
        This instance's.
    ends_in_s : float
        Until the engine is gone, in seconds.
    others : int
        Runs there of other instances, which move theirs over the same link.
    terms : CopyTerms
        What a copy takes.
    """
    late = [run for run in runs if run.left_s > ends_in_s - MOVE_MARGIN_S]
    if not late:
        return []
    mean_s = sum(terms.copy_s(run.tokens) for run in late) / len(late)
    # Each run is copied while it goes on, and then what is new.
    needed_s = mean_s * (len(late) + others)
    due = [run for run in late if ends_in_s <= needed_s + MOVE_MARGIN_S + run.prepare_s]
    return sorted(due, key=lambda run: (-run.value, run.left_s))
