"""Prefix caching: estimates of the prompt tokens that an engine need not prefill again.

Engines cache the computed prefixes of prompts for later prompts that begin alike. Gateways and
planners estimate from the requests that they send which engine has which prefixes cached, and take
that into account when they choose an engine.
"""

from __future__ import annotations

import random
import typing as t
from dataclasses import replace

from gradelug_policy.prefill import RequestWork
from gradelug_policy.prefix_affinity import PrefixShares, preferred_engine, split_digest
from gradelug_policy.prefix_cache import (
    Prefix,
    PrefixCacheTracker,
    PrefixChain,
    preferred_engine_tokens,
    prefix_chain,
)
from gradelug_wire import placement_pb2 as pb

from .metrics import GatewayMetrics
from .model import Replica, Request

if t.TYPE_CHECKING:
    from .planner import Planner

T = t.TypeVar("T")
HOME_ENGINE_LIMIT = 16
"""Number of engines from which on no home is used: gateways then choose among random samples, and
would not agree on one."""
CHAIN_SAMPLE_SIZE = 4
"""Number of sampled engines that are the same for all prompts with a common prefix chain; a purely
random sample would seldom include an engine that has the prefixes cached."""


class PrefixCache:
    """Estimates how much of a prompt an engine has cached.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    is_on : bool
        Whether cached prefixes are taken into account at all.
    """

    __slots__ = ("_clock", "_is_on", "_shares", "parts")

    def __init__(self, clock: t.Callable[[], float], is_on: bool = True) -> None:
        self._clock = clock
        self._is_on = is_on
        self._shares = PrefixShares()
        self.parts = PrefixCacheTracker()
        """Prefixes that engines have cached, as far as known to this instance."""

    def chain(self, req: Request, owner: str) -> PrefixChain | None:
        """Return the prefix chain of a prompt that other requests of the same owner may share."""
        if not self._is_on or req.key is None:
            return None
        return prefix_chain(req.key.text, owner, req.parts)

    def work_at(self, replica: str, work: RequestWork) -> RequestWork:
        """Return the work of a request on a given engine, less the tokens cached there."""
        cached = self.parts.estimate_cached_tokens(replica, work.chain, self._clock())
        return work if cached == work.kept_tokens else replace(work, kept_tokens=cached)

    def work_at_each(
        self, replicas: t.Collection[Replica], work: RequestWork, speed: float
    ) -> list[tuple[Replica, RequestWork]]:
        """Return the work of a request on each of some engines, for a choice among them.

        Most requests are sent by other instances, so a chain is also assumed to be cached on its
        home, the engine that all instances prefer for it by rendezvous hashing.

        Parameters
        ----------
        replicas : collection of Replica
            The engines to choose from.
        work : RequestWork
            The work of the request if nothing is cached.
        speed : float
            Prefill speed of the engines, in tokens a second.
        """
        home = self.preferred_engine(work, (rep.name for rep in replicas))
        return [(rep, self.work_at_preferred(rep.name, work, home, speed)) for rep in replicas]

    def preferred_engine(self, work: RequestWork, replicas: t.Iterable[str]) -> str:
        """Return the home of a request's chain among some engines; empty if there is none."""
        if work.chain is None:
            return ""
        names = list(replicas)
        return preferred_engine(work.chain, names) if len(names) < HOME_ENGINE_LIMIT else ""

    def work_at_preferred(
        self, replica: str, work: RequestWork, home: str, speed: float
    ) -> RequestWork:
        """Return the work of a request on an engine, assuming that its home has it cached."""
        known = self.work_at(replica, work)
        if work.chain is None or replica != home:
            return known
        return replace(
            work, kept_tokens=preferred_engine_tokens(work.chain, known.kept_tokens, speed)
        )

    def selection_digest(self, work: RequestWork, engines: int, rng: random.Random) -> int | None:
        """Return the digest that selects an engine for a request; None for a random choice."""
        if work.chain is None:
            return None
        return split_digest(work.chain, self._shares.note(work.chain), engines, rng.random())

    def note_sent(self, replica: str, work: RequestWork, memory_tokens: int, gateways: int) -> None:
        """Record that a request is sent to an engine, which will cache its prefixes.

        Parameters
        ----------
        replica : str
            Name of the engine.
        work : RequestWork
            The work of the request on that engine.
        memory_tokens : int
            Capacity of its memory in tokens; 0 if unknown.
        gateways : int
            Number of gateway instances that send requests; 0 if unknown.
        """
        self.parts.observed_fraction = 1 / max(1, gateways)
        self.parts.note_credit(work.chain, work.kept_tokens)
        self.parts.note_sent(replica, work.prompt_tokens, memory_tokens)
        self.parts.note(replica, work.chain, self._clock())

    def note_reported(self, replica: str, chain: PrefixChain | None, tokens: int) -> None:
        """Record how many tokens of a chain an engine has cached, as reported by a planner."""
        self.parts.note(replica, chain, self._clock(), tokens)


def sample_holders(
    found: t.Sequence[T], count: int, chain: PrefixChain | None, rng: random.Random
) -> list[T]:
    """Return a sample of many engines, part of which is the same for all prompts of a chain."""
    if chain is None:
        return rng.sample(found, count)
    common = random.Random(chain.prefixes[-1].mark).sample(found, CHAIN_SAMPLE_SIZE)
    return [*common, *rng.sample(found, count - CHAIN_SAMPLE_SIZE)]


def encode_chain(chain: PrefixChain | None) -> list[pb.Prefix]:
    """Return the wire form of a chain, for a request to a planner."""
    if chain is None:
        return []
    return [pb.Prefix(mark=prefix.mark, tokens=prefix.tokens) for prefix in chain.prefixes]


def decode_chain(weights: str, prefixes: t.Sequence[pb.Prefix]) -> PrefixChain | None:
    """Return the chain of a request to a planner; None if it has none."""
    if not prefixes:
        return None
    return PrefixChain(weights, tuple(Prefix(prefix.mark, prefix.tokens) for prefix in prefixes))


def add_gauges(
    meters: GatewayMetrics, parts: PrefixCacheTracker, planners: t.Callable[[], t.Iterable[Planner]]
) -> None:
    """Add the metrics of prefix caching of this instance and of the planners that run here."""
    meters.add_gauge(
        "kept_parts", "Parts of prompts taken for kept, all engines", lambda: parts.size
    )
    meters.add_gauge(
        "shared_prompt_tokens",
        "Tokens of parts that others may have had read, of all requests sent since the start",
        lambda: parts.shared,
    )
    meters.add_gauge(
        "credited_prompt_tokens",
        "Those of them that were taken for kept by the engine they were sent to",
        lambda: parts.credited,
    )
    meters.add_gauge(
        "reread_prompt_tokens",
        "Tokens of parts that planners here sent elsewhere than to the engine taken to keep them",
        lambda: sum(planner.index.prefix_cache.reread for planner in planners()),
    )
