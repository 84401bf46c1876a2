"""What a request is worth next to others: by its route's rank, its size, the place it holds."""

from __future__ import annotations

import math
import zlib

from gradelug_policy.prefill import LATE_URGENCY, RequestWork
from gradelug_policy.prefix_cache import PrefixChain

from .model import Request, Route

VALUE_FACTOR_PER_RANK = 0.72
"""Each rank is worth this part of the one before; sheets of both users fall about so."""
OUTPUT_WEIGHT = 10
"""A token generated costs about as much as ten that are read."""
SLOT_HOLD_S = 0.35
SLOT_HOLD_S_PER_TOKEN = 0.012
"""A request holds the place of its adapter this long, and so much longer for each token that it
may generate: a batch makes a token in 10 to 20 ms."""
SLOT_HOLD_EXPONENT = 0.3
"""How much that counts; at 0.5 the most urgent kind was served less often than the others."""
SIZE_WEIGHT = 0.7
"""Part of a request's value that grows with its size."""
MAX_SIZE_FACTOR = 4.0
SIZE_SMOOTHING = 0.02
"""Share of the newest size in a route's mean."""


def mark(req: Request) -> int:
    """Return a number that all tries of a request have in common, and few others."""
    weights = req.key.text if req.key is not None else ""
    sizes = f"{weights} {req.prompt_tokens} {req.max_answer_tokens} {len(req.body)}"
    return zlib.crc32(sizes.encode(), zlib.crc32(req.target)) or 1


class RequestValues:
    """Learns the usual size and waiting time of each route's requests."""

    __slots__ = ("_longest_wait", "_mean_size")

    def __init__(self) -> None:
        self._mean_size: dict[str, float] = {}
        self._longest_wait: dict[str, float] = {}

    def work(self, rank: int, req: Request, chain: PrefixChain | None = None) -> RequestWork:
        """Return what a request of some urgency asks of an engine."""
        return RequestWork(
            req.prompt_tokens, min(rank, LATE_URGENCY - 1), req.max_answer_tokens, chain
        )

    def value(self, route: Route, rank: int, req: Request) -> float:
        """Return what an answer in time is worth, 1 for an ordinary request of rank 0."""
        size = req.prompt_tokens + OUTPUT_WEIGHT * req.max_answer_tokens
        mean = self._mean_size.get(route.name, size)
        self._mean_size[route.name] = mean + SIZE_SMOOTHING * (size - mean)
        part = 1 - SIZE_WEIGHT + SIZE_WEIGHT * (size / mean if mean else 1.0)
        # Places are what is scarce, and a long request holds one for long.
        place_s = SLOT_HOLD_S + SLOT_HOLD_S_PER_TOKEN * req.max_answer_tokens
        return (
            VALUE_FACTOR_PER_RANK**rank * min(MAX_SIZE_FACTOR, part) / place_s**SLOT_HOLD_EXPONENT
        )

    def longest_wait(self, route: str, wait_s: float) -> float:
        """Return the longest time that callers of a route gave a request, this one included."""
        if math.isinf(wait_s):
            return wait_s
        longest = max(self._longest_wait.get(route, 0.0), wait_s)
        self._longest_wait[route] = longest
        return longest
