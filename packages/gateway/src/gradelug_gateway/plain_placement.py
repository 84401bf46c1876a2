"""Placement of requests of plain services, which have no engines, and a queue for full replicas.

If all replicas of a service are at capacity, a request waits for a fraction of its target time.
The queue is ordered by urgency, then by target time; a request that cannot meet its target is
refused immediately.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import typing as t

import logbook
from gradelug_policy.plain import PlainShares, PlainView

from .backoff_check import check_backoff
from .error_responses import DEFAULT_RETRY_AFTER_S
from .exceptions import Refused
from .fleet import Fleet
from .job import Job
from .metrics import GatewayMetrics
from .model import Replica

log = logbook.Logger("plain")
FULL_RETRY_FRACTION = 0.4
"""Delay before a full replica is tried again, as a fraction of its response time: of six slots, two
or three have become free by then."""
MIN_FULL_RETRY_S = 0.005
DEFAULT_ANSWER_S = 0.05
"""Response time that is assumed until one is known."""
MAX_WAIT_FRACTION = 0.5
"""Longest wait as a fraction of the target time; the remainder is left for the response."""
NO_REPLICA_TIMEOUT_S = 0.25
"""How long a request waits for a usable replica before it is refused."""
POLL_S = 0.05


class PlainPlacer:
    """Chooses replicas for requests of services without engines.

    Parameters
    ----------
    fleet : Fleet
        State, health and load of all replicas.
    clock : callable
        Returns the event loop's time, in seconds.
    rng : Random
        Source of randomness for shares and jitter.
    meters : GatewayMetrics
        Counts requests that wait for capacity.
    uses_shared_health : bool
        Whether requests are balanced by the health data that all instances share; otherwise the
        replica with the lowest cost is chosen, and requests do not wait for capacity.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_full_until",
        "_queues",
        "_meters",
        "_rng",
        "_plain_shares",
        "is_queueing_enabled",
    )

    def __init__(
        self,
        fleet: Fleet,
        clock: t.Callable[[], float],
        rng: random.Random,
        meters: GatewayMetrics,
        uses_shared_health: bool,
    ) -> None:
        self.is_queueing_enabled = uses_shared_health
        """Whether requests may wait for capacity."""
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._meters = meters
        self._plain_shares: dict[str, PlainShares] = {}
        self._queues: dict[str, _CapacityQueue] = {}
        self._full_until: dict[str, float] = {}
        """When each replica that reported no capacity is tried again, by its name."""

    async def place(self, job: Job, excluded: t.Collection[str]) -> Replica:
        """Return a replica for a request, after a wait if all replicas are full.

        Parameters
        ----------
        job : Job
            The request.
        excluded : collection of str
            Names of replicas that are chosen only if there is no other.

        Raises
        ------
        Refused
            If no replica becomes usable, or none has capacity, in time.
        """
        give_up_at = self._clock() + NO_REPLICA_TIMEOUT_S
        full = (
            self._first_free_if_all_full(job)
            if self.is_queueing_enabled and not job.sends
            else None
        )
        if full is not None:
            await self.wait(job, full)
        while True:
            check_backoff(self._fleet, job)
            replica = self._choose(job, excluded)
            if replica is not None:
                return replica
            if self._clock() >= give_up_at:
                raise Refused("no replica is usable", DEFAULT_RETRY_AFTER_S)
            await asyncio.sleep(POLL_S)

    def note_full(self, replica: Replica) -> None:
        """Record that a replica reported no capacity."""
        now = self._clock()
        self._full_until[replica.name] = now + self._answer_and_retry_s(replica, now)[1]

    async def wait(self, job: Job, replica: Replica) -> None:
        """Wait until a full replica may have capacity.

        Parameters
        ----------
        job : Job
            The request.
        replica : Replica
            The full replica.

        Raises
        ------
        Refused
            If the request would miss its target by then.
        """
        now = self._clock()
        took_s, pause_s = self._answer_and_retry_s(replica, now)
        queue = self._queues.setdefault(job.service.name, _CapacityQueue(self._clock))
        target_at = job.req.arrived_at + job.route.target_s
        latest_at = target_at - max(took_s, (1 - MAX_WAIT_FRACTION) * job.route.target_s)
        priority = (job.rank, target_at)
        if now + (queue.count_before(priority) + 1) * pause_s > latest_at:
            raise Refused(
                "all replicas of the plain service are at capacity", DEFAULT_RETRY_AFTER_S
            )
        self._meters.count_plain_wait()
        jitter = 0.5 + self._rng.random()
        if not await queue.wait(priority, pause_s * jitter, latest_at):
            raise Refused(
                "all replicas of the plain service are at capacity", DEFAULT_RETRY_AFTER_S
            )

    def allow_again(self, job: Job, replica: Replica) -> None:
        """Let a request be sent to the replica for which it waited, or to others if it is gone."""
        job.excluded.discard(replica.name)
        if not self.has_alternative(job):
            # The others were full before the wait.
            job.excluded.clear()

    def note_finished(self, service: str) -> None:
        """Release a waiting request of a service, since another one has finished."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.release_first()

    def forget_gone(self) -> None:
        """Drop the state of removed replicas."""
        known = self._fleet.state.replicas
        now = self._clock()
        self._full_until = {name: at for name, at in self._full_until.items() if at > now}
        for shares in self._plain_shares.values():
            shares.keep(known)

    def _answer_and_retry_s(self, replica: Replica, now: float) -> tuple[float, float]:
        """Return a replica's response time and its delay until the next try, in seconds."""
        took_s = self._fleet.health(replica.name).took_s(now) or DEFAULT_ANSWER_S
        return took_s, max(MIN_FULL_RETRY_S, FULL_RETRY_FRACTION * took_s)

    def _first_free_if_all_full(self, job: Job) -> Replica | None:
        """Return the replica that is retried first if all are full, otherwise None."""
        usable, now = self._available(job), self._clock()
        if not usable or any(self._full_until.get(rep.name, now) <= now for rep in usable):
            return None
        return min(usable, key=lambda rep: self._full_until[rep.name])

    def has_alternative(self, job: Job) -> bool:
        """Return whether a request may be sent to a replica that has not failed or refused it."""
        only = job.candidates()
        usable = self._available(job)
        return any(
            rep.name not in job.excluded and (only is None or rep.name in only) for rep in usable
        )

    def _available(self, job: Job) -> list[Replica]:
        """Return the usable replicas of a request's service that are not in backoff."""
        usable = self._fleet.usable(job.service.name)
        return [
            rep for rep in usable if job.accepts(rep) and not self._fleet.rests.remaining_s(rep)
        ]

    def _choose(self, job: Job, excluded: t.Collection[str]) -> Replica | None:
        usable = self._available(job)
        if not self.is_queueing_enabled:
            found = self._fleet.choose(usable, excluded, job.candidates())
            if found is None and job.candidates() is None:
                found = self._fleet.choose(usable)
            return found
        only = job.candidates()
        allowed = [rep for rep in usable if only is None or rep.name in only]
        preferred = [rep for rep in allowed if rep.name not in excluded]
        # If the request failed at all replicas, any of them is as good for a retry.
        return self._choose_by_share(job, preferred or (allowed if only is None else []))

    def _choose_by_share(self, job: Job, found: t.Sequence[Replica]) -> Replica | None:
        if not found:
            return None
        now = self._clock()
        if job.may_repeat():
            probed = self._fleet.claim_probe(found, now)
            if probed is not None:
                return probed
        # If all of them are failing, some requests still succeed.
        found = [rep for rep in found if self._fleet.allows(rep, now)] or found
        found = [rep for rep in found if self._full_until.get(rep.name, now) <= now] or found
        shares = self._plain_shares.setdefault(job.service.name, PlainShares(self._rng))
        chosen = shares.choose([self._view(rep, now) for rep in found])
        return next(rep for rep in found if rep.name == chosen)

    def _view(self, replica: Replica, now: float) -> PlainView:
        health, load = self._fleet.health(replica.name), self._fleet.load(replica.name)
        return PlainView(
            replica.name,
            health.took_s(now),
            health.shared_rate(now),
            load.starting + load.running,
            replica.hall == self._fleet.hall,
        )


class _CapacityQueue:
    """Requests that wait for capacity at a service, in order of urgency and target time.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_sequence", "_waiting")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[tuple[int, float], int, asyncio.Future[bool]]] = []

    def count_before(self, priority: tuple[int, float]) -> int:
        """Return the number of waiting requests that precede one of this priority."""
        return sum(other <= priority and not fut.done() for other, _, fut in self._waiting)

    async def wait(self, priority: tuple[int, float], pause_s: float, latest_at: float) -> bool:
        """Wait to be released.

        Parameters
        ----------
        priority : tuple of (int, float)
            Urgency, 0 first, and target time by the event loop's clock.
        pause_s : float
            Delay after which this call releases the first waiting request, in seconds.
        latest_at : float
            End of the wait, by the event loop's clock.

        Returns
        -------
        bool
            Whether the request was released by then.
        """
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[bool] = loop.create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), fut))
        # One request is released after each pause even if none of this instance finishes.
        loop.call_later(pause_s, self.release_first)
        try:
            async with asyncio.timeout_at(latest_at):
                return await fut
        except TimeoutError:
            return False
        finally:
            self._waiting = [entry for entry in self._waiting if entry[2] is not fut]
            heapq.heapify(self._waiting)

    def release_first(self) -> None:
        """Release the first waiting request so that it is sent."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(True)
                return
