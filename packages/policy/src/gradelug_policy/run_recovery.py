"""Decides how runs survive broken connections and failing engines: copies, moves and recovery.

Answers get lost and connections are reset while engines keep running, engines crash or flap, and
engines with active runs are removed at short notice. A caller's stream may not be run a second
time, so each of these failures ends the stream unless the same run is continued elsewhere from a
copy of its memory.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

HALF_LIFE_S = 6.0
"""Half-life of the weight of past breaks. A run lasts some seconds, so the latest breaks of other
streams predict its risk best."""
SERVICE_PRIOR_S = 20.0
ENGINE_PRIOR_S = 5.0
"""Unbroken stream time that is assumed before any was observed. The prior of an engine is shorter,
so that a first break raises the estimate for that engine much and for all others less."""
MIN_BREAK_RISK = 0.02
"""Lowest break probability for which a run is copied. A copy transfers the memory of a whole run;
below this, more than fifty runs are transferred for each one that is recovered."""
MIN_REMAINING_S = 0.4
"""A run that ends sooner is not copied: copies are sent a few times per second, so it would end
before its copy is usable."""
MAX_COPY_MEMORY_FRACTION = 0.6
"""Greatest fraction of memory in use, copy included, at an engine that receives a copy, so that
copies do not displace requests. The rest is reserved for requests that are sent there before its
state is updated."""
MAX_MOVE_MEMORY_FRACTION = 1.0
"""The same for the move of a run that its engine stops: it may fill the memory, since it continues
there at once."""
DEFAULT_TOKEN_S = 0.012
"""Time per token, assumed until a run was observed: engines generate one in 8 to 20 ms."""
MEAN_WEIGHT = 0.05
MOVE_MARGIN_S = 0.35
"""Moves begin this long before the latest possible time: it covers the response to a call, a lost
packet, and a removal notice that arrives some hundred ms late."""
MOVE_SETUP_S = 0.005
"""Duration of a move besides the transfer of the memory."""
MEGABITS_PER_BYTE = 8e-6


@dataclass(slots=True, frozen=True)
class CopySettings:
    """Parameters that determine the cost of copying a run's memory.

    Parameters
    ----------
    token_bytes : int
        Memory per token, in bytes.
    link_mbps : float
        Bandwidth of an engine's network link, in megabits per second.
    kept_s : float
        Retention of an unused copy, in seconds.
    event_tokens : int
        Tokens per event of a stream.
    """

    token_bytes: int = 0
    link_mbps: float = 1_000.0
    kept_s: float = 0.0
    event_tokens: int = 1

    def copy_s(self, tokens: int) -> float:
        """Return the time to transfer the memory of some tokens over a link, in seconds."""
        return MOVE_SETUP_S + tokens * self.token_bytes * MEGABITS_PER_BYTE / self.link_mbps


class _DecayedBreakRate:
    """Exponentially decayed rate of breaks per second of stream time."""

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

    def breaks_per_s(self, now: float) -> float:
        self._decay_to(now)
        return self._breaks / (self._prior_s + self._time_s)

    def _decay_to(self, now: float) -> None:
        if now > self._at:
            factor = math.exp2((self._at - now) / HALF_LIFE_S)
            self._breaks *= factor
            self._time_s *= factor
            self._at = now


class BreakRecord:
    """Recent rate of broken streams, in breaks per second of stream time.

    One rate is kept for the service and one for each of its engines; the greater of the two
    applies. Connection resets raise the first, an engine that loses answers raises the second.
    """

    __slots__ = ("_engines", "_service")

    def __init__(self) -> None:
        self._service = _DecayedBreakRate(SERVICE_PRIOR_S)
        self._engines: dict[str, _DecayedBreakRate] = {}

    def note(self, engine: str, broken: bool, duration_s: float, now: float) -> None:
        """Add a stream that ended or broke after `duration_s` seconds."""
        self._service.note(broken, duration_s, now)
        if engine not in self._engines:
            self._engines[engine] = _DecayedBreakRate(ENGINE_PRIOR_S)
        self._engines[engine].note(broken, duration_s, now)

    def risk(self, engine: str, left_s: float, now: float) -> float:
        """Return the probability that a stream on an engine breaks within `left_s` seconds."""
        engine_rate = self._engines.get(engine)
        breaks_per_s = max(
            self._service.breaks_per_s(now),
            engine_rate.breaks_per_s(now) if engine_rate is not None else 0.0,
        )
        return -math.expm1(-breaks_per_s * left_s)

    def keep_only(self, engines: t.Container[str]) -> None:
        """Drop all engines but the given ones."""
        for name in [name for name in self._engines if name not in engines]:
            del self._engines[name]


class RunStatistics:
    """Learns the time per token and the size of the runs of a service."""

    __slots__ = ("mean_tokens", "token_s")

    def __init__(self) -> None:
        self.token_s = DEFAULT_TOKEN_S
        """Mean time per generated token, in seconds."""
        self.mean_tokens = 0.0
        """Mean tokens that a run holds in its engine's memory at its end."""

    def note(self, tokens: int, answer_tokens: int, duration_s: float) -> None:
        """Add an ended run with `tokens` in memory, of which it generated `answer_tokens`."""
        if not self.mean_tokens:
            self.mean_tokens = tokens
        self.mean_tokens += MEAN_WEIGHT * (tokens - self.mean_tokens)
        if answer_tokens > 1 and duration_s > 0:
            self.token_s += MEAN_WEIGHT * (duration_s / answer_tokens - self.token_s)


@dataclass(slots=True, frozen=True)
class CopyTarget:
    """An engine that is eligible to receive a copy.

    Parameters
    ----------
    name : str
        Name of the engine.
    used : float
        Fraction of its memory in use, copy included; may exceed 1.
    has_weights : bool
        Whether the weights of the run are loaded, so that it can continue at once.
    is_same_hall : bool
        Whether it is in the same hall as the engine that executes the run.
    """

    name: str
    used: float
    has_weights: bool
    is_same_hall: bool


def should_copy(risk: float, left_s: float) -> bool:
    """Return whether a run should be copied while it is executing.

    Parameters
    ----------
    risk : float
        Probability that its stream breaks before its end, 0 to 1.
    left_s : float
        Expected remaining time, in seconds.
    """
    return risk >= MIN_BREAK_RISK and left_s >= MIN_REMAINING_S


def choose_target(
    targets: t.Iterable[CopyTarget], max_used: float = MAX_COPY_MEMORY_FRACTION
) -> str | None:
    """Return the name of the engine that receives a copy; None if all exceed the memory limit.

    Engines with the weights loaded are preferred: elsewhere the caller waits for the load.
    """
    eligible = [target for target in targets if target.used <= max_used]
    best = min(
        eligible,
        key=lambda target: (not target.has_weights, not target.is_same_hall, target.used),
        default=None,
    )
    return best.name if best is not None else None


class RecoveryAction(Enum):
    """Ways to recover a run whose stream broke."""

    STOP = "stop"
    """Its engine may still execute it: stop it there and resume it from its saved memory."""
    BACKUP = "backup"
    """Resume it from the copy that another engine received during the run."""
    NEW_RUN = "afresh"
    """Start a new run that continues after the last event; only where the caller allows it."""
    END = "end"
    """Fail the request, which may have been executed."""


@dataclass(slots=True, frozen=True)
class BrokenRun:
    """State of a run whose stream broke.

    Parameters
    ----------
    can_stop : bool
        Whether its engine may still execute it, is reachable, and got no stop request yet.
    has_backup : bool
        Whether another engine has a copy that was not tried yet.
    repeatable : bool
        Whether the caller allows a new run after the last event.
    has_retry_budget : bool
        Whether the retry budget allows sending the request again.
    """

    can_stop: bool
    has_backup: bool
    repeatable: bool
    has_retry_budget: bool


def choose_recovery(broken: BrokenRun) -> RecoveryAction:
    """Return how to recover a run.

    An engine that may still execute the run is stopped first: two engines must not execute it at
    once, and the engine's own memory is complete, while a copy lacks the latest tokens.
    """
    if not broken.has_retry_budget:
        return RecoveryAction.END
    if broken.can_stop:
        return RecoveryAction.STOP
    if broken.has_backup:
        return RecoveryAction.BACKUP
    return RecoveryAction.NEW_RUN if broken.repeatable else RecoveryAction.END


@dataclass(slots=True, frozen=True)
class EvacuationCandidate:
    """A run on an engine that is about to be removed.

    Parameters
    ----------
    request_id : str
        Identifier of the request.
    tokens : int
        Tokens in the engine's memory.
    left_s : float
        Expected remaining time, in seconds.
    value : float
        Loss to the caller if the run is cut off; orders the moves.
    prepare_s : float
        Time until another engine has loaded its weights, in seconds.
    """

    request_id: str
    tokens: int
    left_s: float
    value: float
    prepare_s: float = 0.0


def moves_due(
    runs: t.Sequence[EvacuationCandidate], ends_in_s: float, others: int, settings: CopySettings
) -> list[EvacuationCandidate]:
    """Return the runs to move now from an engine that will be removed, in order of the moves.

    Moves share the engine's network link, so they begin as late as all of them still fit: a run
    that ends before then needs no move. Runs of the greatest value go first, and runs whose weights
    must be loaded elsewhere become due earlier by the time of that load.

    Parameters
    ----------
    runs : sequence of EvacuationCandidate
        Runs of this instance on the engine.
    ends_in_s : float
        Time until the engine is removed, in seconds.
    others : int
        Runs of other instances on the engine, which are moved over the same link.
    settings : CopySettings
        Parameters of the transfer.
    """
    unfinished = [run for run in runs if run.left_s > ends_in_s - MOVE_MARGIN_S]
    if not unfinished:
        return []
    mean_s = sum(settings.copy_s(run.tokens) for run in unfinished) / len(unfinished)
    # Each run is copied while it continues, then the tokens added meanwhile are copied.
    needed_s = mean_s * (len(unfinished) + others)
    due = [run for run in unfinished if ends_in_s <= needed_s + MOVE_MARGIN_S + run.prepare_s]
    return sorted(due, key=lambda run: (-run.value, run.left_s))
