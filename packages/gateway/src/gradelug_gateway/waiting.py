"""Requests that wait for their weights: whose turn it is, and who had better come back."""

from __future__ import annotations

import math
import typing as t
from collections import Counter

import logbook
from gradelug_policy import Popularity
from gradelug_policy.reading import Work
from gradelug_wire import placement_pb2 as pb

from .followers import Follower
from .kept import decode_chain
from .model import AdapterKey

log = logbook.Logger("waiting")

DEMAND_HORIZON_S = 2.0
"""Requests of the coming seconds that loaded weights will serve count like those that wait."""
LOAD_TO_FIRST_EVENT_S = 0.2
"""From loaded weights to the first event."""
LATE_GAIN_FACTOR = 0.4
"""An answer that is late anyway is worth about a third, whenever it comes."""
RETURNING_GAIN_FACTOR = 1.5
"""A caller that was refused once is not to be refused again."""
WAIT_ESTIMATE_FACTOR = 2.0
"""Those who come later and are more urgent go first: waits last so many times as long."""
MAX_RETRY_AFTER_FRACTION = 0.33
"""Callers come back after at most a third of their time."""
MIN_RETRY_AFTER_S = 0.3
MIN_LOADS_PER_S = 0.5
THROUGHPUT_DECAY_S = 1.0
"""Span over which the rate of loads is taken."""
MIN_BUSY_SPAN_S = 0.1
TOO_LATE_REASON = "the weights would come too late"
LOG_INTERVAL_S = 1.0
"""What refusals are decided by is logged this often at most."""


class Waiter:
    """A question that is not answered yet."""

    __slots__ = ("ask", "asked_at", "follower", "is_held", "key", "target_at", "until", "work")

    def __init__(self, follower: Follower, ask: pb.Ask, now: float) -> None:
        self.follower = follower
        self.is_held = False
        """Whether its weights can be used and it waits for room there: it needs no load."""
        self.ask = ask
        self.key = AdapterKey(ask.model, ask.adapter)
        self.asked_at = now
        self.until = now + ask.wait_ms / 1000
        self.target_at = now + ask.target_ms / 1000
        chain = decode_chain(self.key.text, ask.prefixes)
        self.work = Work(ask.prompt_tokens, ask.rank, ask.answer_tokens, chain)

    def may_use(self, replica: str) -> bool:
        """Tell whether the request may run on a replica."""
        if self.ask.only:
            return replica == self.ask.only
        return replica not in self.ask.excluded

    def answer(
        self,
        replica: str,
        version: int,
        load: pb.Load,
        kept_tokens: int = 0,
        standing: pb.Standing | None = None,
        has_room: bool = False,
    ) -> None:
        """Tell where it can run, what runs and is kept there, and by what it had its turn.

        Also whether room was taken for it at a replica with a limit.
        """
        self.follower.answer(
            pb.Answer(
                ticket=self.ask.ticket,
                replica=replica,
                version=version,
                load=load,
                kept_tokens=kept_tokens,
                standing=standing,
                has_room=has_room,
            )
        )

    def refuse(
        self,
        ready_s: float,
        now: float,
        why: str = TOO_LATE_REASON,
        standing: pb.Standing | None = None,
    ) -> None:
        """Tell when to come back, the weights or room being there in `ready_s` seconds."""
        retry_s = max(
            MIN_RETRY_AFTER_S, min(ready_s, MAX_RETRY_AFTER_FRACTION * (self.until - now))
        )
        self.follower.answer(
            pb.Answer(
                ticket=self.ask.ticket,
                reason=why,
                retry_after_ms=round(retry_s * 1000),
                standing=standing,
            )
        )


class Throughput:
    """How many loads a second begin while requests wait for some.

    Parameters
    ----------
    now : float
        By the runtime's clock.
    rate : float
        Loads a second to reckon with as long as nothing was seen.
    """

    __slots__ = ("_at", "_begun", "_busy_s", "_waiting")

    def __init__(self, now: float, rate: float) -> None:
        self._at = now
        self._waiting = False
        self._begun = rate * THROUGHPUT_DECAY_S
        self._busy_s = THROUGHPUT_DECAY_S

    def note_load(self) -> None:
        """Count a load that begins."""
        self._begun += 1

    def note_queue(self, waiting: bool, now: float) -> None:
        """Note whether requests wait for loads that cannot begin yet."""
        passed_s = now - self._at
        self._at = now
        kept = math.exp(-passed_s / THROUGHPUT_DECAY_S)
        if self._waiting:
            self._begun *= kept
            self._busy_s = self._busy_s * kept + passed_s
        self._waiting = waiting

    def rate(self) -> float:
        """Return the loads a second to reckon with."""
        return max(MIN_LOADS_PER_S, self._begun / max(self._busy_s, MIN_BUSY_SPAN_S))


class WaitingLine:
    """All requests that wait for weights on the engines of a service.

    Parameters
    ----------
    popularity : Popularity
        How often weights are asked for.
    now : float
        By the runtime's clock.
    rate : float
        Loads a second to reckon with as long as nothing was seen.
    """

    __slots__ = ("_popularity", "_logged_at", "throughput", "waiters")

    def __init__(self, popularity: Popularity, now: float, rate: float) -> None:
        self._popularity = popularity
        self.throughput = Throughput(now, rate)
        self._logged_at = -math.inf
        self.waiters: list[Waiter] = []

    def cancel(self, follower: Follower, tickets: t.Collection[int]) -> None:
        """Forget questions that a gateway took back."""
        self.waiters = [
            waiter
            for waiter in self.waiters
            if waiter.follower is not follower or waiter.ask.ticket not in tickets
        ]

    def forget(self, follower: Follower) -> None:
        """Forget all questions of a gateway."""
        self.waiters = [waiter for waiter in self.waiters if waiter.follower is not follower]

    def in_order(self, now: float, load_s: float) -> list[Waiter]:
        """Return one waiter for each kind of weights, the most urgent first.

        Parameters
        ----------
        now : float
            By the runtime's clock.
        load_s : float
            Expected time of a load, in seconds.
        """
        wanted: dict[AdapterKey, Waiter] = {}
        urgency: dict[AdapterKey, float] = Counter()  # type: ignore[assignment]
        for waiter in self.waiters:
            if waiter.is_held:
                continue
            wanted.setdefault(waiter.key, waiter)
            urgency[waiter.key] += _gain(waiter, now, load_s)
        for key in wanted:
            urgency[key] += DEMAND_HORIZON_S * self._popularity.rate(key.text, now)
        return sorted(wanted.values(), key=lambda waiter: -urgency[waiter.key])

    def refuse_hopeless(self, queued: t.Iterable[AdapterKey], now: float, load_s: float) -> None:
        """Refuse what will not be loaded before its caller leaves, so that it can come back.

        Parameters
        ----------
        queued : iterable of AdapterKey
            Weights that are not on their way yet, in their order.
        now : float
            By the runtime's clock.
        load_s : float
            Expected time of a load, in seconds.
        """
        rate = self.throughput.rate()
        ready = {
            key: now + WAIT_ESTIMATE_FACTOR * (at + 1) / rate + load_s
            for at, key in enumerate(queued)
        }
        kept, refused = [], 0
        for waiter in self.waiters:
            ready_at = ready.get(waiter.key)
            served = ready_at is None or ready_at + LOAD_TO_FIRST_EVENT_S < waiter.until
            if ready_at is None or served or waiter.ask.begun or waiter.is_held:
                kept.append(waiter)
            else:
                waiter.refuse(ready_at - now, now)
                refused += 1
        self.waiters = kept
        if refused and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.info(
                "refusing",
                refused=refused,
                kept=len(kept),
                kinds=len(ready),
                rate=round(rate, 1),
                load_s=round(load_s, 3),
            )


def _gain(waiter: Waiter, now: float, load_s: float) -> float:
    """Return what is gained by loading what a request waits for now and not later."""
    gain = waiter.ask.value * (RETURNING_GAIN_FACTOR if waiter.ask.returning else 1.0)
    in_time = now + load_s + LOAD_TO_FIRST_EVENT_S < waiter.target_at
    return gain if in_time else gain * LATE_GAIN_FACTOR
