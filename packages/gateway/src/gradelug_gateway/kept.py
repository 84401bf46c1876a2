"""Parts of prompts that engines keep, as one instance reckons with them."""

from __future__ import annotations

import random
import typing as t
from dataclasses import replace

from gradelug_policy.chain_homes import ChainShares, home_of, split_mark
from gradelug_policy.kept_parts import Chain, KeptParts, Prefix, chain_of, tokens_at_home
from gradelug_policy.reading import Work
from gradelug_wire import placement_pb2 as pb

from .metrics import Meters
from .model import Replica, Request

if t.TYPE_CHECKING:
    from .planner import Planner

T = t.TypeVar("T")
HOMES_BELOW = 16
"""Where there are more engines gateways look at so many, drawn by each anew, and would not agree on
a home among them."""
CHAIN_HOLDERS = 4
"""Of the engines that are drawn for a request so many are the same for all that begin alike: drawn
by chance alone, an engine that keeps its parts is seldom among them."""


class Kept:
    """Tells how much of a prompt an engine need not read.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    is_on : bool
        Whether kept parts are reckoned with at all.
    """

    __slots__ = ("_clock", "_is_on", "_shares", "parts")

    def __init__(self, clock: t.Callable[[], float], is_on: bool = True) -> None:
        self._clock = clock
        self._is_on = is_on
        self._shares = ChainShares()
        self.parts = KeptParts()
        """What engines keep, as far as this instance knows."""

    def chain(self, req: Request, owner: str) -> Chain | None:
        """Return what of a request's prompt may be kept for others of the same owner."""
        if not self._is_on or req.key is None:
            return None
        return chain_of(req.key.text, owner, req.parts)

    def at(self, replica: str, work: Work) -> Work:
        """Return what a request asks of a certain engine."""
        kept = self.parts.kept_tokens(replica, work.chain, self._clock())
        return work if kept == work.kept_tokens else replace(work, kept_tokens=kept)

    def at_each(
        self, replicas: t.Collection[Replica], work: Work, speed: float
    ) -> list[tuple[Replica, Work]]:
        """Return what a request asks of each of some engines, for a choice among them.

        Most of what is sent there is not seen here, so a chain is taken for kept at its home as
        well, where all instances send it that find nothing better.

        Parameters
        ----------
        replicas : collection of Replica
            Engines.
        work : Work
            What is asked.
        speed : float
            How fast they read, in tokens a second.
        """
        home = self.home(work, (rep.name for rep in replicas))
        return [(rep, self.at_least(rep.name, work, home, speed)) for rep in replicas]

    def home(self, work: Work, replicas: t.Iterable[str]) -> str:
        """Return the home of a request's chain among some engines, empty if it has none."""
        if work.chain is None:
            return ""
        names = list(replicas)
        return home_of(work.chain, names) if len(names) < HOMES_BELOW else ""

    def at_least(self, replica: str, work: Work, home: str, speed: float) -> Work:
        """Return what a request asks of an engine if its chain's home keeps it."""
        at = self.at(replica, work)
        if work.chain is None or replica != home:
            return at
        return replace(work, kept_tokens=tokens_at_home(work.chain, at.kept_tokens, speed))

    def mark(self, work: Work, engines: int, rng: random.Random) -> int | None:
        """Return by what a request is drawn to one of some engines, None if by chance alone."""
        if work.chain is None:
            return None
        return split_mark(work.chain, self._shares.note(work.chain), engines, rng.random())

    def note_sent(self, replica: str, work: Work, memory_tokens: int, gateways: int) -> None:
        """Note that a request is sent to an engine, which will keep its parts.

        Parameters
        ----------
        replica : str
            Which engine.
        work : Work
            What is asked of it there.
        memory_tokens : int
            What its memory holds; 0 if that is not known.
        gateways : int
            Instances that send like this one; 0 if that is not known.
        """
        self.parts.seen_part = 1 / max(1, gateways)
        self.parts.note_credit(work.chain, work.kept_tokens)
        self.parts.note_sent(replica, work.prompt_tokens, memory_tokens)
        self.parts.note(replica, work.chain, self._clock())

    def note_told(self, replica: str, chain: Chain | None, tokens: int) -> None:
        """Take over what a planner tells of an engine: how much of a chain it keeps."""
        self.parts.note(replica, chain, self._clock(), tokens)


def sample_holders(
    found: t.Sequence[T], count: int, chain: Chain | None, rng: random.Random
) -> list[T]:
    """Return some of very many engines, some of them the same for all prompts of a chain."""
    if chain is None:
        return rng.sample(found, count)
    own = random.Random(chain.prefixes[-1].mark).sample(found, CHAIN_HOLDERS)
    return [*own, *rng.sample(found, count - CHAIN_HOLDERS)]


def encode_chain(chain: Chain | None) -> list[pb.Prefix]:
    """Return a chain for a question to a planner."""
    if chain is None:
        return []
    return [pb.Prefix(mark=prefix.mark, tokens=prefix.tokens) for prefix in chain.prefixes]


def decode_chain(weights: str, prefixes: t.Sequence[pb.Prefix]) -> Chain | None:
    """Return the chain of a question, None if it names none."""
    if not prefixes:
        return None
    return Chain(weights, tuple(Prefix(told.mark, told.tokens) for told in prefixes))


def add_gauges(
    meters: Meters, parts: KeptParts, planners: t.Callable[[], t.Iterable[Planner]]
) -> None:
    """Add what operators see of kept parts, here and at the planners that run here."""
    meters.gauge("kept_parts", "Parts of prompts taken for kept, all engines", lambda: parts.size)
    meters.gauge(
        "shared_prompt_tokens",
        "Tokens of parts that others may have had read, of all requests sent since the start",
        lambda: parts.shared,
    )
    meters.gauge(
        "credited_prompt_tokens",
        "Those of them that were taken for kept by the engine they were sent to",
        lambda: parts.credited,
    )
    meters.gauge(
        "reread_prompt_tokens",
        "Tokens of parts that planners here sent elsewhere than to the engine taken to keep them",
        lambda: sum(planner.index.kept.reread for planner in planners()),
    )
