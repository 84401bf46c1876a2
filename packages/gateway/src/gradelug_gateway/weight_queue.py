"""The planner's queue of requests that wait for weights to be loaded.

It determines which weights are loaded first, and refuses requests whose weights would be loaded too
late.
"""

from __future__ import annotations

import math
import typing as t
from collections import Counter

import logbook
from gradelug_policy import Popularity
from gradelug_policy.prefill import RequestWork
from gradelug_wire import placement_pb2 as pb

from .follower import Follower
from .model import AdapterKey
from .prefix_cache import decode_chain

log = logbook.Logger("waiting")

DEMAND_HORIZON_S = 2.0
"""Expected requests within this time count towards a load's urgency like waiting ones."""
LOAD_TO_FIRST_EVENT_S = 0.2
"""Time from the end of a load to the first event of a request."""
LATE_GAIN_FACTOR = 0.4
"""Factor on the value of a request that would miss its target: about a third, however late."""
RETURNING_GAIN_FACTOR = 1.5
"""Factor on the value of a caller's retry, to avoid refusing the same request twice."""
WAIT_ESTIMATE_FACTOR = 2.0
"""Factor on estimated waits, since more urgent requests that arrive later are served first."""
MAX_RETRY_AFTER_FRACTION = 0.33
"""Longest Retry-After, as a fraction of the caller's remaining wait time."""
MIN_RETRY_AFTER_S = 0.3
MIN_LOADS_PER_S = 0.5
THROUGHPUT_DECAY_S = 1.0
"""Time constant of the exponential average of the load rate."""
MIN_BUSY_SPAN_S = 0.1
TOO_LATE_REASON = "the weights would come too late"
LOG_INTERVAL_S = 1.0
"""Minimum interval between log lines about refusals."""


class Waiter:
    """A placement request of a gateway that has not been answered yet.

    Parameters
    ----------
    follower : Follower
        Connection to the gateway that sent it.
    ask : pb.Ask
        The request, as received.
    now : float
        Current time by the event loop's clock.
    software_of : callable
        Returns the software version of an engine, given its name.
    """

    __slots__ = (
        "_software_of",
        "ask",
        "asked_at",
        "follower",
        "waits_for_capacity",
        "key",
        "target_at",
        "until",
        "work",
    )

    def __init__(
        self,
        follower: Follower,
        ask: pb.Ask,
        now: float,
        software_of: t.Callable[[str], str] = lambda name: "",
    ) -> None:
        self._software_of = software_of
        self.follower = follower
        self.waits_for_capacity = False
        """Whether its weights are loaded and it waits only for capacity at their engine."""
        self.ask = ask
        self.key = AdapterKey(ask.model, ask.adapter)
        self.asked_at = now
        self.until = now + ask.wait_ms / 1000
        self.target_at = now + ask.target_ms / 1000
        chain = decode_chain(self.key.text, ask.prefixes)
        self.work = RequestWork(ask.prompt_tokens, ask.rank, ask.answer_tokens, chain)

    @property
    def software(self) -> str | None:
        """Software version of the engines that may run the request; None for any."""
        return self.ask.software if self.ask.HasField("software") else None

    def may_use(self, replica: str) -> bool:
        """Return whether the request may run at a replica."""
        if self.software is not None and self._software_of(replica) != self.software:
            return False
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
        """Answer with the replica at which the request is placed.

        Parameters
        ----------
        replica : str
            Name of the replica.
        version : int
            Version of the weights there.
        load : pb.Load
            Current load of the replica.
        kept_tokens : int
            Tokens of the prompt that are in the replica's prefix cache.
        standing : pb.Standing or None
            The values by which the request was ranked, for the log.
        has_room : bool
            Whether capacity was reserved for it at a rate-limited replica.
        """
        self.follower.queue_answer(
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
        """Answer that the request is refused, and when to retry it.

        Parameters
        ----------
        ready_s : float
            Time until the weights or capacity are expected to be available, in seconds.
        now : float
            Current time by the event loop's clock.
        why : str
            Reason that is sent to the gateway.
        standing : pb.Standing or None
            The values by which the request was ranked, for the log.
        """
        retry_s = max(
            MIN_RETRY_AFTER_S, min(ready_s, MAX_RETRY_AFTER_FRACTION * (self.until - now))
        )
        self.follower.queue_answer(
            pb.Answer(
                ticket=self.ask.ticket,
                reason=why,
                retry_after_ms=round(retry_s * 1000),
                standing=standing,
            )
        )


class Throughput:
    """Rate at which loads start while requests wait for them.

    Parameters
    ----------
    now : float
        Current time by the event loop's clock.
    rate : float
        Initial estimate of the rate, in loads per second.
    """

    __slots__ = ("_at", "_begun", "_busy_s", "_waiting")

    def __init__(self, now: float, rate: float) -> None:
        self._at = now
        self._waiting = False
        self._begun = rate * THROUGHPUT_DECAY_S
        self._busy_s = THROUGHPUT_DECAY_S

    def note_load(self) -> None:
        """Count a load that starts."""
        self._begun += 1

    def note_queue(self, waiting: bool, now: float) -> None:
        """Record whether requests wait for loads that cannot start yet.

        Parameters
        ----------
        waiting : bool
            Whether there are such requests from now on.
        now : float
            Current time by the event loop's clock.
        """
        passed_s = now - self._at
        self._at = now
        kept = math.exp(-passed_s / THROUGHPUT_DECAY_S)
        if self._waiting:
            self._begun *= kept
            self._busy_s = self._busy_s * kept + passed_s
        self._waiting = waiting

    def rate(self) -> float:
        """Return the estimated rate of loads per second."""
        return max(MIN_LOADS_PER_S, self._begun / max(self._busy_s, MIN_BUSY_SPAN_S))


class WeightQueue:
    """All requests that wait for weights at the engines of a service.

    Parameters
    ----------
    popularity : Popularity
        Request rate of each kind of weights.
    now : float
        Current time by the event loop's clock.
    rate : float
        Initial estimate of the rate, in loads per second.
    """

    __slots__ = ("_popularity", "_logged_at", "throughput", "waiters")

    def __init__(self, popularity: Popularity, now: float, rate: float) -> None:
        self._popularity = popularity
        self.throughput = Throughput(now, rate)
        self._logged_at = -math.inf
        self.waiters: list[Waiter] = []

    def cancel(self, follower: Follower, tickets: t.Collection[int]) -> None:
        """Remove requests that a gateway cancelled.

        Parameters
        ----------
        follower : Follower
            Connection to the gateway.
        tickets : collection of int
            Numbers of the cancelled requests on that connection.
        """
        self.waiters = [
            waiter
            for waiter in self.waiters
            if waiter.follower is not follower or waiter.ask.ticket not in tickets
        ]

    def forget(self, follower: Follower) -> None:
        """Remove all requests of a gateway."""
        self.waiters = [waiter for waiter in self.waiters if waiter.follower is not follower]

    def by_urgency(self, now: float, load_s: float) -> list[Waiter]:
        """Return one waiter for each kind of weights and software, the most urgent first.

        Parameters
        ----------
        now : float
            Current time by the event loop's clock.
        load_s : float
            Expected time of a load, in seconds.
        """
        wanted: dict[tuple[AdapterKey, str | None], Waiter] = {}
        urgency: dict[AdapterKey, float] = Counter()  # type: ignore[assignment]
        for waiter in self.waiters:
            if waiter.waits_for_capacity:
                continue
            wanted.setdefault((waiter.key, waiter.software), waiter)
            urgency[waiter.key] += _gain(waiter, now, load_s)
        for key in list(urgency):
            urgency[key] += DEMAND_HORIZON_S * self._popularity.rate(key.text, now)
        return sorted(wanted.values(), key=lambda waiter: -urgency[waiter.key])

    def refuse_late(self, queued: t.Iterable[AdapterKey], now: float, load_s: float) -> None:
        """Refuse requests whose weights cannot be loaded before their callers time out.

        Parameters
        ----------
        queued : iterable of AdapterKey
            Weights whose load has not started, in the order of loading.
        now : float
            Current time by the event loop's clock.
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
            if ready_at is None or served or waiter.ask.begun or waiter.waits_for_capacity:
                kept.append(waiter)
            else:
                waiter.refuse(ready_at - now, now)
                refused += 1
        self.waiters = kept
        if refused and now - self._logged_at >= LOG_INTERVAL_S:
            self._logged_at = now
            log.info(
                "refusing requests whose weights would be late",
                refused=refused,
                kept=len(kept),
                kinds=len(ready),
                rate=round(rate, 1),
                load_s=round(load_s, 3),
            )


def _gain(waiter: Waiter, now: float, load_s: float) -> float:
    """Return the value of loading a request's weights now instead of later."""
    gain = waiter.ask.value * (RETURNING_GAIN_FACTOR if waiter.ask.returning else 1.0)
    in_time = now + load_s + LOAD_TO_FIRST_EVENT_S < waiter.target_at
    return gain if in_time else gain * LATE_GAIN_FACTOR
