"""Placing requests of services without engines, and a short queue for when all replicas are full.

A request that no replica has room for waits here for a part of its target, the most urgent first,
then that with the nearest target; what cannot be in time is refused at once.
"""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
import typing as t

import logbook
from gradelug_policy.plain import PlainShares, PlainView

from .answering import DEFAULT_RETRY_AFTER_S
from .exceptions import Refused
from .fleet import Fleet
from .job import Job
from .metrics import Meters
from .model import Replica
from .resting import check_backoff

log = logbook.Logger("plain")
FULL_RETRY_FRACTION = 0.4
"""A replica that was full is tried again after this part of the time that an answer takes: with six
slots two or three requests have ended by then."""
MIN_FULL_RETRY_S = 0.005
DEFAULT_ANSWER_S = 0.05
"""Time of an answer, in seconds, where nothing is known of it yet."""
MAX_WAIT_FRACTION = 0.5
"""A request waits here no longer than this part of its target; the rest is for its answer."""
NO_REPLICA_TIMEOUT_S = 0.25
"""How long a request waits for a replica to turn up before it is refused."""
POLL_S = 0.05


class PlainPlacer:
    """Chooses replicas for requests of services without engines.

    Parameters
    ----------
    fleet : Fleet
        Replicas.
    clock, rng
        The runtime's clock and source of chance.
    meters : Meters
        Counts who waits.
    shares_health : bool
        Whether replicas get shares by what all instances found of them; otherwise the one that
        costs least is chosen, and nobody waits.
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
        meters: Meters,
        uses_shared_health: bool,
    ) -> None:
        self.is_queueing_enabled = uses_shared_health
        """Whether requests may wait."""
        self._fleet = fleet
        self._clock = clock
        self._rng = rng
        self._meters = meters
        self._plain_shares: dict[str, PlainShares] = {}
        self._queues: dict[str, _CapacityQueue] = {}
        self._full_until: dict[str, float] = {}
        """Replicas that said lately that they have no room."""

    async def place(self, job: Job) -> Replica:
        """Return a replica for a request; raises `Refused` if there is none."""
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
            replica = self._choose(job)
            if replica is not None:
                return replica
            if self._clock() >= give_up_at:
                raise Refused("no replica is usable", DEFAULT_RETRY_AFTER_S)
            await asyncio.sleep(POLL_S)

    def note_full(self, replica: Replica) -> None:
        """Note that a replica has said that it has no room."""
        now = self._clock()
        self._full_until[replica.name] = now + self._answer_and_retry_s(replica, now)[1]

    async def wait(self, job: Job, replica: Replica) -> None:
        """Wait until a replica that had no room may have some.

        Raises
        ------
        Refused
            If the request would be too late then.
        """
        now = self._clock()
        took_s, pause_s = self._answer_and_retry_s(replica, now)
        queue = self._queues.setdefault(job.service.name, _CapacityQueue(self._clock))
        target_at = job.req.arrived_at + job.route.target_s
        latest_at = target_at - max(took_s, (1 - MAX_WAIT_FRACTION) * job.route.target_s)
        priority = (job.rank, target_at)
        if now + (queue.count_before(priority) + 1) * pause_s > latest_at:
            raise Refused("the plain service is full", DEFAULT_RETRY_AFTER_S)
        self._meters.waited_plain()
        jitter = 0.5 + self._rng.random()
        if not await queue.wait(priority, pause_s * jitter, latest_at):
            raise Refused("the plain service is full", DEFAULT_RETRY_AFTER_S)

    def note_finished(self, service: str) -> None:
        """Note that a request of a service has left its replica: there may be room."""
        queue = self._queues.get(service)
        if queue is not None:
            queue.release_first()

    def forget_gone(self) -> None:
        """Drop what is known of replicas that are gone."""
        known = self._fleet.state.replicas
        now = self._clock()
        self._full_until = {name: at for name, at in self._full_until.items() if at > now}
        for shares in self._plain_shares.values():
            shares.keep(known)

    def _answer_and_retry_s(self, replica: Replica, now: float) -> tuple[float, float]:
        """Return the time of an answer, and the pause until there may be room, in seconds."""
        took_s = self._fleet.health(replica.name).took_s(now) or DEFAULT_ANSWER_S
        return took_s, max(MIN_FULL_RETRY_S, FULL_RETRY_FRACTION * took_s)

    def _first_free_if_all_full(self, job: Job) -> Replica | None:
        """Return the replica that has room next if all of them have said that they have none."""
        usable, now = self._available(job), self._clock()
        if not usable or any(self._full_until.get(rep.name, now) <= now for rep in usable):
            return None
        return min(usable, key=lambda rep: self._full_until[rep.name])

    def has_alternative(self, job: Job) -> bool:
        """Tell whether a request may go to a replica that has not failed or refused it."""
        only = job.candidates()
        usable = self._available(job)
        return any(
            rep.name not in job.excluded and (only is None or rep.name in only) for rep in usable
        )

    def _available(self, job: Job) -> list[Replica]:
        """Return the replicas of a request's service that take new work and do not rest."""
        usable = self._fleet.usable(job.service.name)
        return [rep for rep in usable if not self._fleet.rests.left_s(rep)]

    def _choose(self, job: Job) -> Replica | None:
        usable = self._available(job)
        if not self.is_queueing_enabled:
            found = self._fleet.choose(usable, job.excluded, job.candidates())
            if found is None and job.candidates() is None:
                found = self._fleet.choose(usable)
            return found
        only = job.candidates()
        allowed = [rep for rep in usable if only is None or rep.name in only]
        preferred = [rep for rep in allowed if rep.name not in job.excluded]
        # Of a request that failed everywhere another try is as good at any of them.
        return self._choose_by_share(job, preferred or (allowed if only is None else []))

    def _choose_by_share(self, job: Job, found: t.Sequence[Replica]) -> Replica | None:
        if not found:
            return None
        now = self._clock()
        if job.may_repeat():
            probed = self._fleet.to_probe(found, now)
            if probed is not None:
                return probed
        # When all of them fail, some requests still get through.
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
    """Requests that wait for room at a service, in order of urgency and target."""

    __slots__ = ("_clock", "_sequence", "_waiting")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self._sequence = itertools.count()
        self._waiting: list[tuple[tuple[int, float], int, asyncio.Future[bool]]] = []

    def count_before(self, priority: tuple[int, float]) -> int:
        """Return how many wait that go before a request."""
        return sum(other <= priority and not fut.done() for other, _, fut in self._waiting)

    async def wait(self, priority: tuple[int, float], pause_s: float, latest_at: float) -> bool:
        """Wait for one's turn; tell whether it came in time."""
        loop = asyncio.get_running_loop()
        fut: asyncio.Future[bool] = loop.create_future()
        heapq.heappush(self._waiting, (priority, next(self._sequence), fut))
        # Somebody's turn comes after each pause, whether or not a request of this instance ends.
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
        """Let the first of those that wait try."""
        while self._waiting:
            _, _, fut = heapq.heappop(self._waiting)
            if not fut.done():
                fut.set_result(True)
                return
