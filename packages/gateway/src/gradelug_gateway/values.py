"""Relative value of a request, from the rank of its route, its size and the time it holds a slot.

Sent to the planner with each placement request.
"""

from __future__ import annotations

import math
import zlib

from gradelug_policy.prefill import LATE_URGENCY, RequestWork
from gradelug_policy.prefix_cache import PrefixChain

from .model import Request, Route

VALUE_FACTOR_PER_RANK = 0.72
"""Factor by which a request's value falls with each rank; the value sheets of both users fall at
about this rate."""
OUTPUT_WEIGHT = 10
"""Cost of a generated token, in prompt tokens."""
SLOT_HOLD_S = 0.35
SLOT_HOLD_S_PER_TOKEN = 0.012
"""Estimated time for which a request holds its adapter's slot, in seconds, plus the time per token
that it may generate: a batch generates a token in 10 to 20 ms."""
SLOT_HOLD_EXPONENT = 0.3
"""Exponent of the slot time in a request's value; at 0.5 the most urgent kind was served less often
than the others."""
SIZE_WEIGHT = 0.7
"""Part of a request's value that grows with its size."""
MAX_SIZE_FACTOR = 4.0
SIZE_SMOOTHING = 0.02
"""Weight of the newest size in a route's moving average."""


def attempt_digest(req: Request) -> int:
    """Return a non-zero hash that is equal for all attempts of a request, and rarely for others."""
    weights = req.key.text if req.key is not None else ""
    sizes = f"{weights} {req.prompt_tokens} {req.max_answer_tokens} {len(req.body)}"
    return zlib.crc32(sizes.encode(), zlib.crc32(req.target)) or 1


class RequestValuation:
    """Tracks the average size and longest waiting time of each route's requests."""

    __slots__ = ("_longest_wait", "_mean_size")

    def __init__(self) -> None:
        self._mean_size: dict[str, float] = {}
        self._longest_wait: dict[str, float] = {}

    def work(self, rank: int, req: Request, chain: PrefixChain | None = None) -> RequestWork:
        """Return the engine work of a request.

        Parameters
        ----------
        rank : int
            Urgency, 0 for the highest; it is capped below that of late requests.
        req : Request
            The request.
        chain : PrefixChain or None
            Cacheable prefixes of its prompt.
        """
        return RequestWork(
            req.prompt_tokens, min(rank, LATE_URGENCY - 1), req.max_answer_tokens, chain
        )

    def value(self, route: Route, rank: int, req: Request) -> float:
        """Return the value of an answer in time, about 1 for an ordinary request of rank 0."""
        size = req.prompt_tokens + OUTPUT_WEIGHT * req.max_answer_tokens
        mean = self._mean_size.get(route.name, size)
        self._mean_size[route.name] = mean + SIZE_SMOOTHING * (size - mean)
        size_factor = 1 - SIZE_WEIGHT + SIZE_WEIGHT * (size / mean if mean else 1.0)
        # Slots are the scarce resource, and a request with a long answer holds one for longer.
        slot_hold_s = SLOT_HOLD_S + SLOT_HOLD_S_PER_TOKEN * req.max_answer_tokens
        return (
            VALUE_FACTOR_PER_RANK**rank
            * min(MAX_SIZE_FACTOR, size_factor)
            / slot_hold_s**SLOT_HOLD_EXPONENT
        )

    def longest_wait(self, route: str, wait_s: float) -> float:
        """Return the longest wait that a route's callers allowed so far, including this one, in
        seconds."""
        if math.isinf(wait_s):
            return wait_s
        longest = max(self._longest_wait.get(route, 0.0), wait_s)
        self._longest_wait[route] = longest
        return longest
