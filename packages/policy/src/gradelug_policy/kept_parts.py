"""Which parts of prompts engines keep, so that what is kept need not be read again.

The load that it answers: many prompts begin with the same few parts, and several engines hold the
same adapter. An engine keeps what it has read for one adapter until memory runs out, and reads a
part anew unless all parts before it are kept as well. Sent anywhere, a prompt is read whole at each
engine; what is read holds up the first events of all that wait there.

What an engine keeps is reckoned from what was sent there. It is a count of tokens that need not be
read, so that it compares with the queue of an engine by itself, in seconds: where the engine that
keeps the parts is busier than others by more than reading them takes, others read them again.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from hashlib import blake2b

MARK_BYTES = 8
"""Of 100,000 chains two have the same mark with a chance of 3e-10."""
KEPT_PART = 0.8
"""Part of an engine's memory that keeps parts which nothing uses: runs take the rest. An engine
with all slots taken holds a third in prompts; their answers, and runs older than the part, are not
seen in what was sent since. Too much, and parts are credited that are gone: their requests are
expected too early. Too little, and parts are read again."""
KEPT_S = 30.0
"""Nothing is taken for kept that was not used for so long, also at an engine that reads little:
what it reads for others may not have been told."""
MOST_CHAINS = 128
"""Parts remembered for each engine, at 136 bytes measured: 10 MB for 600 engines. An engine whose
memory holds 40 prompts of three parts keeps 80 shared ones at the most."""
READ_WEIGHT = 2.0
"""What need not be read counts so many times in a choice: it would hold up its own request, and
those that come meanwhile. Replayed with 1, 2, 3 and 5 times (one chooser, 40 requests a second at
twelve engines): 11.5, 9.9, 9.0 and 8.4% of shared tokens read again, mean first event after 64.3,
64.0, 63.9 and 64.1 ms, so that it saves little beyond."""


HOME_S = 0.2
"""A chain that is not known to be kept at its home draws a request there as if this were spared at
the most, in seconds: as much as a caller with a target of 0.8 s can wait for nothing. Replayed with
parts of 2,800 tokens, 20 requests a second at twelve engines: mean first event after 107 ms (117
without homes, 108 unbounded, 117 with 0.15 s), 0.9% after more than 0.25 s (0.4, 1.3, 0.8)."""


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt, as its caller names it.

    Parameters
    ----------
    name : str
        The same for the same content.
    tokens : int
        Its length.
    """

    name: str
    tokens: int


@dataclass(slots=True, frozen=True)
class Prefix:
    """The first parts of a prompt, together.

    Parameters
    ----------
    mark : int
        Digest of their names, of the weights and of whose they are.
    tokens : int
        Length of all of them.
    """

    mark: int
    tokens: int


@dataclass(slots=True, frozen=True)
class Chain:
    """What of a prompt may be kept for others.

    Parameters
    ----------
    weights : str
        For which model and adapter.
    prefixes : tuple of Prefix
        The first part, the first two, and so on.
    """

    weights: str
    prefixes: tuple[Prefix, ...]

    @property
    def tokens(self) -> int:
        """Length of all parts, in tokens."""
        return self.prefixes[-1].tokens if self.prefixes else 0


def chain_of(weights: str, owner: str, parts: t.Sequence[PromptPart]) -> Chain | None:
    """Return what of a prompt may be kept for others, None if there is nothing.

    Parameters
    ----------
    weights : str
        For which model and adapter it is read.
    owner : str
        The organisation whose prompt it is, empty if nobody's. What was read for one is never taken
        for kept for another: nothing tells which parts are an organisation's own.
    parts : sequence of PromptPart
        All of the prompt, in order. The last one belongs to the request itself.
    """
    prefixes, tokens = [], 0
    digest = blake2b(f"{owner}\0{weights}".encode(), digest_size=MARK_BYTES)
    for part in parts[:-1]:
        digest.update(f"\0{part.name}:{part.tokens}".encode())
        tokens += part.tokens
        prefixes.append(Prefix(int.from_bytes(digest.copy().digest()), tokens))
    return Chain(weights, tuple(prefixes)) if prefixes else None


@dataclass(slots=True)
class _Use:
    """When a part was used last: after so many tokens sent to its engine, and by the clock."""

    sent: float
    at: float


class _EngineParts:
    """What one engine keeps, by weights and mark."""

    __slots__ = ("count", "most_sent", "pruned_at", "sent", "uses")

    def __init__(self) -> None:
        self.sent = 0.0
        """Tokens of all prompts sent to it."""
        self.most_sent = math.inf
        """After so many more a part that was not used meanwhile is gone."""
        self.uses: dict[str, dict[int, _Use]] = {}
        self.count = 0
        self.pruned_at = -math.inf
        """When it was looked last for what is gone."""

    def note(self, weights: str, mark: int, now: float) -> None:
        """Note that a part is used."""
        marks = self.uses.setdefault(weights, {})
        self.count += mark not in marks
        marks[mark] = _Use(self.sent, now)

    def is_kept(self, use: _Use, now: float) -> bool:
        """Tell whether a part is still there."""
        return self.sent - use.sent <= self.most_sent and now - use.at <= KEPT_S

    def forget(self, weights: str) -> None:
        """Forget what was kept for some weights."""
        self.count -= len(self.uses.pop(weights, ()))

    def prune(self, now: float) -> None:
        """Forget what is gone, and the older half if that does not suffice."""
        self.pruned_at = now
        self._keep(lambda use: self.is_kept(use, now))
        if self.count > MOST_CHAINS:
            sent = sorted(use.sent for marks in self.uses.values() for use in marks.values())
            middle = sent[len(sent) // 2]
            self._keep(lambda use: use.sent > middle)

    def _keep(self, is_kept: t.Callable[[_Use], bool]) -> None:
        kept = {
            weights: {mark: use for mark, use in marks.items() if is_kept(use)}
            for weights, marks in self.uses.items()
        }
        self.uses = {weights: marks for weights, marks in kept.items() if marks}
        self.count = sum(map(len, self.uses.values()))


class KeptParts:
    """What engines keep, from what was sent to them."""

    __slots__ = ("_engines", "credited", "reread", "seen_part", "shared")

    def __init__(self) -> None:
        self._engines: dict[str, _EngineParts] = {}
        self.seen_part = 1.0
        """Part of what is sent to engines that is noted here; the rest is reckoned as like it."""
        self.shared = 0
        """Tokens of parts that others may have had read, of all requests sent."""
        self.credited = 0
        """Those of them that were taken for kept."""
        self.reread = 0
        """Those that were taken for kept by another engine, where it was chosen."""

    @property
    def size(self) -> int:
        """Parts that are remembered."""
        return sum(parts.count for parts in self._engines.values())

    def kept_tokens(self, engine: str, chain: Chain | None, now: float) -> int:
        """Return how many tokens of a chain an engine need not read, as far as is known."""
        parts = self._engines.get(engine)
        if chain is None or parts is None:
            return 0
        uses = parts.uses.get(chain.weights)
        if uses is None:
            return 0
        tokens = 0
        for prefix in chain.prefixes:
            use = uses.get(prefix.mark)
            if use is None or not parts.is_kept(use, now):
                break
            tokens = prefix.tokens
        return tokens

    def note(self, engine: str, chain: Chain | None, now: float, tokens: int = -1) -> None:
        """Note that an engine keeps a chain, or its first tokens."""
        if chain is None or tokens == 0:
            return
        parts = self._engines.setdefault(engine, _EngineParts())
        for prefix in chain.prefixes:
            if tokens < 0 or prefix.tokens <= tokens:
                parts.note(chain.weights, prefix.mark, now)
        if parts.count > MOST_CHAINS:
            parts.prune(now)

    def note_sent(self, engine: str, tokens: int, memory_tokens: int) -> None:
        """Note that prompts were sent to an engine: parts that were used before give way.

        Parameters
        ----------
        engine : str
            Which.
        tokens : int
            Length of the prompts.
        memory_tokens : int
            What its memory holds; 0 if that is not known, and then time alone tells.
        """
        if tokens:
            parts = self._engines.setdefault(engine, _EngineParts())
            parts.sent += tokens / self.seen_part
            parts.most_sent = KEPT_PART * memory_tokens if memory_tokens else math.inf

    def note_credit(self, chain: Chain | None, kept: int, most: int = 0) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        chain : Chain or None
            How it begins.
        kept : int
            Tokens that are taken for kept where it goes.
        most : int
            Tokens that are taken for kept at the engine that keeps most of it.
        """
        self.shared += chain.tokens if chain is not None else 0
        self.credited += kept
        self.reread += max(0, most - kept)

    def forget(self, engine: str) -> None:
        """Forget an engine that is gone or has begun another life."""
        self._engines.pop(engine, None)

    def forget_weights(self, engine: str, weights: str) -> None:
        """Forget what an engine kept for weights that left it."""
        parts = self._engines.get(engine)
        if parts is not None:
            parts.forget(weights)

    def forget_gone(self, engines: t.Container[str], now: float) -> None:
        """Forget all engines but some, and what these keep no more, now and then."""
        for engine in [engine for engine in self._engines if engine not in engines]:
            del self._engines[engine]
        for parts in self._engines.values():
            if now - parts.pruned_at > KEPT_S:
                parts.prune(now)


def tokens_at_home(chain: Chain, known: int, tokens_per_s: float) -> int:
    """Return how many tokens of a chain its home is taken to keep, for a choice.

    Parameters
    ----------
    chain : Chain
        How a prompt begins.
    known : int
        Tokens of it that are known to be kept there.
    tokens_per_s : float
        How fast engines read.
    """
    most = known + int(HOME_S * tokens_per_s / READ_WEIGHT)
    return max(known, min(chain.tokens, most))


def held_up_s(kept_tokens: int, tokens_per_s: float) -> float:
    """Return how long others would be held up by reading what is kept, in seconds."""
    return (READ_WEIGHT - 1) * kept_tokens / tokens_per_s
