"""Where all instances send the same prompts, though none tells the others what it sent.

The load that it answers: many gateways, each of which sends few of the prompts that have their
first parts in common, so that none knows by itself which engine keeps them. They agree by hashing:
each engine has a random number for each chain, the same for all who ask (rendezvous hashing), and
one engine more or less moves only the chains that were drawn to it.
"""

from __future__ import annotations

import math
import typing as t
from collections import OrderedDict, deque
from hashlib import blake2b

from .kept_parts import MARK_BYTES, Chain

SPLIT = 8.0
"""A chain that makes up a part of the requests for its weights is split into so many times that
part of the engines, each with a draw of its own, so that no chain of which there are many requests
goes to one engine alone. Replayed with one chain for all and news of 0.26 s, 40 requests a second:
99 in 100 first events come within 0.151 s by chance alone, 0.161 with 8, 0.172 with 4; unsplit, 16%
take more than 0.25 s. With 132 chains and ten gateways 18.4% of shared tokens are read again by
chance alone, 13.6% with 8, 10.9% with 4."""
RECENT = 32
"""Requests for some weights from which the part of a chain is taken."""
MOST_WEIGHTS = 500
"""Weights of which the newest requests are remembered, 1.5 kB each."""
MOST = 1 << 8 * MARK_BYTES
STEP = 0x9E3779B97F4A7C15
"""Odd, so that all splits of a chain differ; the golden part of the range spreads them."""


def home_of(chain: Chain, engines: t.Iterable[str]) -> str:
    """Return the engine of some that is the home of a chain, empty if there is none."""
    mark = chain.prefixes[-1].mark
    return max(engines, key=lambda engine: draw(engine, mark), default="")


def draw(engine: str, mark: int) -> float:
    """Return the number of an engine for a mark, above 0 and at most 1."""
    key = mark.to_bytes(MARK_BYTES)
    drawn = blake2b(engine.encode(), digest_size=MARK_BYTES, key=key).digest()
    return (int.from_bytes(drawn) + 1) / MOST


class ChainShares:
    """Learns which part of the requests for some weights begin alike."""

    __slots__ = ("_recent",)

    def __init__(self) -> None:
        self._recent: OrderedDict[str, deque[int]] = OrderedDict()

    def note(self, chain: Chain) -> float:
        """Count a request and return its chain's part of those for its weights, above 0.

        What was not seen yet is taken for frequent: to split a rare chain costs little.
        """
        mark = chain.prefixes[-1].mark
        recent = self._recent.setdefault(chain.weights, deque(maxlen=RECENT))
        self._recent.move_to_end(chain.weights)
        if len(self._recent) > MOST_WEIGHTS:
            self._recent.popitem(last=False)
        share = (recent.count(mark) + 1) / (len(recent) + 1)
        recent.append(mark)
        return share


def split_mark(chain: Chain, share: float, engines: int, chance: float) -> int:
    """Return the mark by which a request of a chain is drawn to an engine.

    Parameters
    ----------
    chain : Chain
        What it has in common with others.
    share : float
        Part of the requests for its weights that have it.
    engines : int
        How many have the weights.
    chance : float
        Drawn for the request, from 0 to less than 1.
    """
    splits = math.ceil(SPLIT * share * engines)
    return (chain.prefixes[-1].mark + math.floor(chance * splits) * STEP) % MOST
