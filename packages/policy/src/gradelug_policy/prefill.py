"""Estimates the time to a request's first event on an engine.

An engine processes one prompt after the other, the most urgent first, in chunks between the
decoding steps of its running streams. Prompt lengths differ by a factor of a hundred, so the queue
before a request is counted in tokens.
"""

from __future__ import annotations

import itertools
import typing as t
from dataclasses import dataclass

from .prefix_cache import PrefixChain

URGENCY_LEVELS = 10
"""Number of urgency levels of engines; 0 is processed first."""
LATE_URGENCY = URGENCY_LEVELS - 1
"""Urgency of requests that would be late anyway, so that they do not delay those that can be in
time."""
DEFAULT_TOKENS_PER_S = 20_000.0
"""Prefill speed assumed until one was observed; engines reach 19,000 to 38,000."""
SPEED_STEP = 0.03
INITIAL_SPEED_STEP = 0.3
"""Relative change of a learned speed per observation; the first observations change it more."""
MEAN_WEIGHT = 0.02
"""Weight of the newest prompt in the mean length. Prompts shorter than the mean are not used to
learn the speed, since most of the time to their first event is not prefill."""
MAX_QUEUED_RATIO = 0.3
"""Requests with more queued tokens than this ratio to their own prompt are not used either."""
RUNNING_STREAM_DELAY_S = 0.006
"""Time that each running stream adds to the time to a first event."""


@dataclass(slots=True, frozen=True)
class RequestWork:
    """Work that a request causes on an engine.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt, in tokens.
    urgency : int
        Urgency level; engines process prompts of the lowest first.
    answer_tokens : int
        Expected length of the answer, in tokens.
    chain : PrefixChain or None
        Prefixes of the prompt that other prompts may reuse.
    kept_tokens : int
        Tokens of the prompt that need no prefill on the engine in question.
    """

    prompt_tokens: int = 0
    urgency: int = 0
    answer_tokens: int = 0
    chain: PrefixChain | None = None
    kept_tokens: int = 0

    @property
    def prefill_tokens(self) -> int:
        """Tokens of the prompt that need prefill."""
        return max(0, self.prompt_tokens - self.kept_tokens)

    @property
    def memory_tokens(self) -> int:
        """Memory that the request occupies at its end, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(slots=True, frozen=True)
class EngineLoad:
    """Current load of an engine.

    Parameters
    ----------
    queued : tuple of int
        Prompt tokens of requests without a first event, by urgency.
    running : int
        Number of streams past their first event.
    starting : int
        Number of requests without a first event.
    memory_tokens : int
        Memory that all of them occupy at their ends, in tokens.
    """

    queued: tuple[int, ...] = ()
    running: int = 0
    starting: int = 0
    memory_tokens: int = 0

    @property
    def held(self) -> int:
        """Number of requests that occupy a slot or are queued for one."""
        return self.starting + self.running

    def tokens_ahead(self, urgency: int) -> int:
        """Return the queued tokens that are processed before a new request of some urgency."""
        return sum(self.queued[: urgency + 1])


class _ServiceSpeed:
    """Learned prefill speed of the engines of a service."""

    __slots__ = ("mean_prompt", "samples", "tokens_per_s")

    def __init__(self) -> None:
        self.tokens_per_s = DEFAULT_TOKENS_PER_S
        self.mean_prompt = 0.0
        self.samples = 0


class PrefillSpeeds:
    """Learns the prefill speed of the engines of each service, in tokens per second.

    Tracks the median over long prompts with short queues before them, since some prompts turn out
    to be cached and take a tenth of the time, and some are delayed by unreported requests.
    """

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: dict[str, _ServiceSpeed] = {}

    def speed(self, service: str) -> float:
        """Return the prefill speed of a service, in tokens per second."""
        learned = self._speeds.get(service)
        return learned.tokens_per_s if learned is not None else DEFAULT_TOKENS_PER_S

    def mean_prompt(self, service: str) -> float:
        """Return the mean prompt length of a service, in tokens; 0 if none was observed."""
        learned = self._speeds.get(service)
        return learned.mean_prompt if learned is not None else 0.0

    def note(self, service: str, load: EngineLoad, work: RequestWork, took_s: float) -> None:
        """Add the observation of a first event.

        Parameters
        ----------
        service : str
            Service that the engine belongs to.
        load : EngineLoad
            Load of the engine when the request was sent.
        work : RequestWork
            Work of the request.
        took_s : float
            From sending to the first event, in seconds.
        """
        learned = self._speeds.setdefault(service, _ServiceSpeed())
        uncached_tokens = work.prefill_tokens
        if not learned.mean_prompt:
            learned.mean_prompt = uncached_tokens
        learned.mean_prompt += MEAN_WEIGHT * (uncached_tokens - learned.mean_prompt)
        if (
            uncached_tokens < learned.mean_prompt
            or sum(load.queued) > MAX_QUEUED_RATIO * uncached_tokens
            or took_s <= 0
        ):
            return
        learned.samples += 1
        step = 1 + max(SPEED_STEP, INITIAL_SPEED_STEP / learned.samples)
        learned.tokens_per_s *= (
            step if uncached_tokens / took_s > learned.tokens_per_s else 1 / step
        )


def first_event_s(load: EngineLoad, work: RequestWork, speed: float) -> float:
    """Return the expected time to the first event of a request, in seconds."""
    return (
        load.tokens_ahead(work.urgency) + work.prefill_tokens
    ) / speed + RUNNING_STREAM_DELAY_S * load.running


def add_queues(queues: t.Iterable[t.Sequence[int]]) -> tuple[int, ...]:
    """Return the sum of several queues, each a sequence of tokens by urgency."""
    return tuple(map(sum, itertools.zip_longest(*queues, fillvalue=0)))


def subtract_queue(queue: t.Sequence[int], removed: t.Sequence[int]) -> tuple[int, ...]:
    """Return a queue less the removed tokens, each a sequence of tokens by urgency."""
    pairs = itertools.zip_longest(queue, removed, fillvalue=0)
    return tuple(max(0, tokens - removed_tokens) for tokens, removed_tokens in pairs)
