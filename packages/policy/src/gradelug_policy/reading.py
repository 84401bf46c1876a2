"""How long a request waits for its first event on an engine.

An engine reads one prompt after the other, the most urgent first, in pieces between the steps in
which its running streams make tokens. Prompts differ by a hundred times, so what is before a
request is counted in tokens.
"""

from __future__ import annotations

import itertools
import typing as t
from dataclasses import dataclass

from .kept_parts import Chain

URGENCIES = 10
"""Engines know so many; 0 goes first."""
LATE = URGENCIES - 1
"""Urgency of requests that would be late anyway: they wait for those that can be in time."""
DEFAULT_TOKENS_PER_S = 20_000.0
"""Speed of reading until something was observed: the users' engines read 19,000 and 38,000."""
SPEED_STEP = 0.03
INITIAL_SPEED_STEP = 0.3
"""A learned speed moves by this part towards each observation, the first ones by more."""
MEAN_WEIGHT = 0.02
"""Share of the newest prompt in the mean length: shorter prompts say little of the speed, since
most of the time to their first event is not reading."""
MAX_QUEUED_RATIO = 0.3
"""Requests with more than this part of their own prompt before them say little either."""
RUNNING_STREAM_DELAY_S = 0.006
"""Time that each running stream adds until a first event."""


@dataclass(slots=True, frozen=True)
class Work:
    """What a request asks of an engine.

    Parameters
    ----------
    prompt_tokens : int
        Length of the prompt.
    urgency : int
        Engines begin with the prompts of the least.
    answer_tokens : int
        Expected to be made.
    chain : Chain or None
        What of the prompt may be kept for others.
    kept_tokens : int
        What of the prompt need not be read on a certain engine.
    """

    prompt_tokens: int = 0
    urgency: int = 0
    answer_tokens: int = 0
    chain: Chain | None = None
    kept_tokens: int = 0

    @property
    def reading_tokens(self) -> int:
        """What of the prompt is to be read, in tokens."""
        return max(0, self.prompt_tokens - self.kept_tokens)

    @property
    def memory_tokens(self) -> int:
        """Memory that it holds in the end, in tokens."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(slots=True, frozen=True)
class Busyness:
    """What an engine does at the moment.

    Parameters
    ----------
    queued : tuple of int
        Tokens of prompts whose requests have no first event yet, by urgency.
    running : int
        Streams after their first event.
    starting : int
        Requests that have no first event yet.
    memory_tokens : int
        What all of them hold when they have ended, in tokens.
    """

    queued: tuple[int, ...] = ()
    running: int = 0
    starting: int = 0
    memory_tokens: int = 0

    @property
    def held(self) -> int:
        """Requests that hold a slot or wait for one."""
        return self.starting + self.running

    def ahead(self, urgency: int) -> int:
        """Return the tokens that are read before the prompt of a new request."""
        return sum(self.queued[: urgency + 1])


class _ServiceSpeed:
    """What is known of one service's engines."""

    __slots__ = ("mean_prompt", "seen", "tokens_per_s")

    def __init__(self) -> None:
        self.tokens_per_s = DEFAULT_TOKENS_PER_S
        self.mean_prompt = 0.0
        self.seen = 0


class ReadingSpeeds:
    """Learns how many tokens of prompts a second the engines of each service read.

    It is the median of what is seen of long prompts with little before them: some are found kept
    and take a tenth of the time, some wait for what was not known of.
    """

    __slots__ = ("_speeds",)

    def __init__(self) -> None:
        self._speeds: dict[str, _ServiceSpeed] = {}

    def speed(self, service: str) -> float:
        """Return the tokens a second to reckon with."""
        known = self._speeds.get(service)
        return known.tokens_per_s if known is not None else DEFAULT_TOKENS_PER_S

    def mean_prompt(self, service: str) -> float:
        """Return the mean length of a service's prompts, in tokens; 0 if none was seen."""
        known = self._speeds.get(service)
        return known.mean_prompt if known is not None else 0.0

    def note(self, service: str, busy: Busyness, work: Work, took_s: float) -> None:
        """Learn from a first event.

        Parameters
        ----------
        service : str
            Whose engine.
        busy : Busyness
            What the engine did when the request was sent.
        work : Work
            What was asked.
        took_s : float
            From sending to the first event, in seconds.
        """
        known = self._speeds.setdefault(service, _ServiceSpeed())
        prompt = work.reading_tokens
        if not known.mean_prompt:
            known.mean_prompt = prompt
        known.mean_prompt += MEAN_WEIGHT * (prompt - known.mean_prompt)
        if (
            prompt < known.mean_prompt
            or sum(busy.queued) > MAX_QUEUED_RATIO * prompt
            or took_s <= 0
        ):
            return
        known.seen += 1
        step = 1 + max(SPEED_STEP, INITIAL_SPEED_STEP / known.seen)
        known.tokens_per_s *= step if prompt / took_s > known.tokens_per_s else 1 / step


def first_event_s(busy: Busyness, work: Work, speed: float) -> float:
    """Return the time until a first event, in seconds."""
    return (
        busy.ahead(work.urgency) + work.reading_tokens
    ) / speed + RUNNING_STREAM_DELAY_S * busy.running


def add_queues(queues: t.Iterable[t.Sequence[int]]) -> tuple[int, ...]:
    """Return the sum of some queues, each given by urgency."""
    return tuple(map(sum, itertools.zip_longest(*queues, fillvalue=0)))


def less_queue(queue: t.Sequence[int], part: t.Sequence[int]) -> tuple[int, ...]:
    """Return a queue without a part of it, each given by urgency."""
    pairs = itertools.zip_longest(queue, part, fillvalue=0)
    return tuple(max(0, tokens - less) for tokens, less in pairs)
