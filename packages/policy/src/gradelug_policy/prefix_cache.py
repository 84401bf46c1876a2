"""Tracks which prompt prefixes engines have in their prefix caches.

Many prompts begin with the same few parts, and several engines hold the same adapter. An engine
caches what it has processed for an adapter until memory runs out, and a part is reusable only if
all parts before it are cached as well. If requests are placed without regard to this, every engine
processes every prompt whole, which delays the first events of all requests queued there.

The contents of a cache are estimated from the requests sent to the engine. The result is a count of
tokens that need no prefill, which compares directly, in seconds, with the queue of an engine: where
the engine with the cached prefix is busier than others by more than its prefill takes, another
engine processes the prefix again.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from hashlib import blake2b

DIGEST_BYTES = 8
"""Two of 100,000 chains share a digest with a probability of 3e-10."""
CACHE_MEMORY_FRACTION = 0.8
"""Fraction of an engine's memory that can hold cached parts of ended runs; active runs take the
rest. With all slots taken, prompts occupy a third; their answers, and runs older than a part, do
not show in the tokens sent since the part was used. A greater fraction credits parts that were
evicted, so that first events are expected too early; with a smaller one cached parts are processed
again."""
CACHE_TTL_S = 30.0
"""A part unused for this long counts as evicted even at an engine with little traffic: prompts that
others sent there may not have been reported."""
MAX_CACHED_PREFIXES = 128
"""Prefixes tracked per engine, at 136 bytes each: 10 MB for 600 engines. An engine whose memory
holds 40 prompts of three parts caches 80 shared ones at most."""
PREFILL_WEIGHT = 2.0
"""Weight of cached tokens in the choice of an engine: their prefill would delay both its own
request and those that arrive meanwhile. In simulation (one planner, 40 requests per second at
twelve engines) weights of 1, 2, 3 and 5 process 11.5, 9.9, 9.0 and 8.4% of the shared tokens again,
with mean first events after 64.3, 64.0, 63.9 and 64.1 ms, so greater weights gain little."""
MAX_PREFERENCE_CREDIT_S = 0.2
"""Greatest saving that is assumed at the preferred engine of a chain that is not known to be cached
there: the time that a caller with a target of 0.8 s can afford to lose if it is not. In simulation
(parts of 2,800 tokens, 20 requests per second at twelve engines) first events come after 107 ms in
the mean (117 without preferred engines, 108 unbounded, 117 with 0.15 s), 0.9% of them after more
than 0.25 s (0.4, 1.3, 0.8)."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, with the identifier that its caller gave it.

    Parameters
    ----------
    name : str
        Identifier; equal for equal content.
    tokens : int
        Length of the part.
    """

    name: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prefix:
    """A number of leading parts of a prompt.

    Parameters
    ----------
    mark : int
        Digest of the part names, the weights and the owner.
    tokens : int
        Total length of the parts.
    """

    mark: int
    tokens: int


@dataclass(slots=True, frozen=True)
class PrefixChain:
    """The prefixes of a prompt that other prompts may reuse.

    Parameters
    ----------
    weights : str
        Model and adapter that the prompt is for.
    prefixes : tuple of Prefix
        Prefixes of one part, of two parts, and so on.
    """

    weights: str
    prefixes: tuple[Prefix, ...]

    @property
    def tokens(self) -> int:
        """Length of the longest prefix, in tokens."""
        return self.prefixes[-1].tokens if self.prefixes else 0


def prefix_chain(weights: str, owner: str, parts: t.Sequence[PromptPart]) -> PrefixChain | None:
    """Return the reusable prefixes of a prompt, None if there are none.

    Parameters
    ----------
    weights : str
        Model and adapter that process the prompt.
    owner : str
        Organisation that owns the prompt, empty if none. A prefix cached for one organisation is
        never credited to another, since parts private to an organisation can't be recognised.
    parts : sequence of PromptPart
        All parts of the prompt in order. The last one is specific to the request and excluded.
    """
    prefixes, tokens = [], 0
    digest = blake2b(f"{owner}\0{weights}".encode(), digest_size=DIGEST_BYTES)
    for part in parts[:-1]:
        digest.update(f"\0{part.name}:{part.tokens}".encode())
        tokens += part.tokens
        prefixes.append(Prefix(int.from_bytes(digest.copy().digest()), tokens))
    return PrefixChain(weights, tuple(prefixes)) if prefixes else None


@dataclass(slots=True)
class _LastUse:
    """Last use of a prefix: total tokens sent to the engine by then, and the time."""

    sent: float
    at: float


class _EngineCache:
    """Estimated prefix cache of one engine, by weights and digest."""

    __slots__ = ("count", "max_tokens_since_use", "pruned_at", "sent", "uses")

    def __init__(self) -> None:
        self.sent = 0.0
        """Total tokens of all prompts sent to the engine."""
        self.max_tokens_since_use = math.inf
        """Prompt tokens sent since its last use after which a prefix counts as evicted."""
        self.uses: dict[str, dict[int, _LastUse]] = {}
        self.count = 0
        self.pruned_at = -math.inf
        """Time of the last removal of evicted prefixes."""

    def note(self, weights: str, mark: int, now: float) -> None:
        """Record the use of a prefix."""
        last_uses = self.uses.setdefault(weights, {})
        self.count += mark not in last_uses
        last_uses[mark] = _LastUse(self.sent, now)

    def is_cached(self, use: _LastUse, now: float) -> bool:
        """Return whether a prefix with this last use is presumably still cached."""
        return self.sent - use.sent <= self.max_tokens_since_use and now - use.at <= CACHE_TTL_S

    def forget(self, weights: str) -> None:
        """Remove all prefixes cached for some weights."""
        self.count -= len(self.uses.pop(weights, ()))

    def prune(self, now: float) -> None:
        """Remove evicted prefixes, and the older half of the rest if there are still too many."""
        self.pruned_at = now
        self._retain(lambda use: self.is_cached(use, now))
        if self.count > MAX_CACHED_PREFIXES:
            sent = sorted(
                use.sent for last_uses in self.uses.values() for use in last_uses.values()
            )
            median_sent = sent[len(sent) // 2]
            self._retain(lambda use: use.sent > median_sent)

    def _retain(self, is_retained: t.Callable[[_LastUse], bool]) -> None:
        retained = {
            weights: {mark: use for mark, use in last_uses.items() if is_retained(use)}
            for weights, last_uses in self.uses.items()
        }
        self.uses = {weights: last_uses for weights, last_uses in retained.items() if last_uses}
        self.count = sum(map(len, self.uses.values()))


class PrefixCacheTracker:
    """Estimates the prefix caches of engines from the requests sent to them."""

    __slots__ = ("_engines", "credited", "reread", "observed_fraction", "shared")

    def __init__(self) -> None:
        self._engines: dict[str, _EngineCache] = {}
        self.observed_fraction = 1.0
        """Fraction of the traffic to engines that is recorded here; the rest is extrapolated."""
        self.shared = 0
        """Total tokens of reusable prefixes in all requests sent."""
        self.credited = 0
        """Tokens among them that were assumed to be cached at the chosen engine."""
        self.reread = 0
        """Tokens processed again because an engine with more of them cached was not chosen."""

    @property
    def size(self) -> int:
        """Number of prefixes tracked."""
        return sum(cache.count for cache in self._engines.values())

    def estimate_cached_tokens(self, engine: str, chain: PrefixChain | None, now: float) -> int:
        """Return the tokens of a chain that an engine is assumed to have cached."""
        cache = self._engines.get(engine)
        if chain is None or cache is None:
            return 0
        uses = cache.uses.get(chain.weights)
        if uses is None:
            return 0
        tokens = 0
        for prefix in chain.prefixes:
            use = uses.get(prefix.mark)
            if use is None or not cache.is_cached(use, now):
                break
            tokens = prefix.tokens
        return tokens

    def note(self, engine: str, chain: PrefixChain | None, now: float, tokens: int = -1) -> None:
        """Record that an engine caches a chain, or only prefixes of up to `tokens` tokens."""
        if chain is None or tokens == 0:
            return
        cache = self._engines.setdefault(engine, _EngineCache())
        for prefix in chain.prefixes:
            if tokens < 0 or prefix.tokens <= tokens:
                cache.note(chain.weights, prefix.mark, now)
        if cache.count > MAX_CACHED_PREFIXES:
            cache.prune(now)

    def note_sent(self, engine: str, tokens: int, memory_tokens: int) -> None:
        """Record prompts sent to an engine, which evict prefixes used before.

        Parameters
        ----------
        engine : str
            Name of the engine.
        tokens : int
            Total length of the prompts.
        memory_tokens : int
            Capacity of the engine's memory; 0 if unknown, then prefixes expire by time alone.
        """
        if tokens:
            cache = self._engines.setdefault(engine, _EngineCache())
            cache.sent += tokens / self.observed_fraction
            cache.max_tokens_since_use = (
                CACHE_MEMORY_FRACTION * memory_tokens if memory_tokens else math.inf
            )

    def note_credit(self, chain: PrefixChain | None, cached: int, max_cached: int = 0) -> None:
        """Add a sent request to the token counters.

        Parameters
        ----------
        chain : PrefixChain or None
            Reusable prefixes of the prompt.
        cached : int
            Tokens assumed to be cached at the chosen engine.
        max_cached : int
            Tokens assumed to be cached at the engine with the most of them.
        """
        self.shared += chain.tokens if chain is not None else 0
        self.credited += cached
        self.reread += max(0, max_cached - cached)

    def forget(self, engine: str) -> None:
        """Drop the state of an engine that was removed or restarted."""
        self._engines.pop(engine, None)

    def forget_weights(self, engine: str, weights: str) -> None:
        """Drop the prefixes that an engine cached for weights it has unloaded."""
        cache = self._engines.get(engine)
        if cache is not None:
            cache.forget(weights)

    def forget_gone(self, engines: t.Container[str], now: float) -> None:
        """Drop all engines but the given ones and, periodically, their evicted prefixes."""
        for engine in [engine for engine in self._engines if engine not in engines]:
            del self._engines[engine]
        for cache in self._engines.values():
            if now - cache.pruned_at > CACHE_TTL_S:
                cache.prune(now)


def preferred_engine_tokens(chain: PrefixChain, known: int, tokens_per_s: float) -> int:
    """Return the tokens of a chain to assume cached at its preferred engine when choosing one.

    Parameters
    ----------
    chain : PrefixChain
        Reusable prefixes of the prompt.
    known : int
        Tokens of the chain that are known to be cached there.
    tokens_per_s : float
        Prefill speed of the engines, in tokens per second.
    """
    limit = known + int(MAX_PREFERENCE_CREDIT_S * tokens_per_s / PREFILL_WEIGHT)
    return max(known, min(chain.tokens, limit))


def prefill_delay_saved_s(cached_tokens: int, tokens_per_s: float) -> float:
    """Return the delay of other requests that cached tokens avoid, in seconds."""
    return (PREFILL_WEIGHT - 1) * cached_tokens / tokens_per_s
