"""Assigns prompt prefixes to engines by hashing, without coordination between gateways.

Each of many gateways sends few of the prompts that share a prefix, so none knows by itself which
engine has the prefix cached. They agree by rendezvous hashing: each pair of engine and prefix has a
pseudorandom number that is the same on every gateway, and adding or removing an engine moves only
the prefixes that are assigned to it.
"""

from __future__ import annotations

import math
import typing as t
from collections import OrderedDict, deque
from hashlib import blake2b

from .prefix_cache import DIGEST_BYTES, PrefixChain

SPLIT_FACTOR = 8.0
"""A chain that accounts for a share of the requests for its weights is split into this factor times
its share of the engines, each split hashed separately, so that a frequent chain does not overload
one engine. In simulation with a single chain, engine state 0.26 s old and 40 requests per second,
the 99th percentile of first events is 0.151 s with random choice, 0.161 s with a factor of 8 and
0.172 s with 4; unsplit, 16% take more than 0.25 s. With 132 chains and ten gateways, random choice
processes 18.4% of the shared tokens again, a factor of 8 13.6% and one of 4 10.9%."""
RECENT_REQUESTS = 32
"""Latest requests for some weights from which the share of a chain is computed."""
MAX_WEIGHTS = 500
"""Weights whose latest requests are stored, at 1.5 kB each."""
DIGEST_RANGE = 1 << 8 * DIGEST_BYTES
SPLIT_STRIDE = 0x9E3779B97F4A7C15
"""Odd, so that all splits of a chain differ; the golden section of the range spreads them
evenly."""


def preferred_engine(chain: PrefixChain, engines: t.Iterable[str]) -> str:
    """Return the engine that a chain is assigned to, empty if there are no engines."""
    mark = chain.prefixes[-1].mark
    return max(engines, key=lambda engine: uniform_hash(engine, mark), default="")


def uniform_hash(engine: str, mark: int) -> float:
    """Return the pseudorandom number of an engine and a digest, above 0 and at most 1."""
    key = mark.to_bytes(DIGEST_BYTES)
    hashed = blake2b(engine.encode(), digest_size=DIGEST_BYTES, key=key).digest()
    return (int.from_bytes(hashed) + 1) / DIGEST_RANGE


class PrefixShares:
    """Tracks the share of each chain in the latest requests for its weights."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: OrderedDict[str, deque[int]] = OrderedDict()

    def note(self, chain: PrefixChain) -> float:
        """Add a request and return the share of its chain among those for its weights, above 0.

        The first chain of some weights counts as frequent, since splitting a rare chain costs
        little.
        """
        mark = chain.prefixes[-1].mark
        recent = self._recent.setdefault(chain.weights, deque(maxlen=RECENT_REQUESTS))
        self._recent.move_to_end(chain.weights)
        if len(self._recent) > MAX_WEIGHTS:
            self._recent.popitem(last=False)
        share = (recent.count(mark) + 1) / (len(recent) + 1)
        recent.append(mark)
        return share


def split_digest(chain: PrefixChain, share: float, engines: int, chance: float) -> int:
    """Return the digest by which a request of a chain is assigned to an engine.

    Parameters
    ----------
    chain : PrefixChain
        Prefixes that the prompt shares with others.
    share : float
        Share of the chain among the requests for its weights, 0 to 1.
    engines : int
        Number of engines that hold the weights.
    chance : float
        Random number of the request, from 0 to less than 1.
    """
    splits = math.ceil(SPLIT_FACTOR * share * engines)
    return (chain.prefixes[-1].mark + math.floor(chance * splits) * SPLIT_STRIDE) % DIGEST_RANGE
