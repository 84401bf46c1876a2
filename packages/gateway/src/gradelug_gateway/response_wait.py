"""Waiting for the parts of a replica's response, and when a silent replica is given up.

`Sender` uses it for the head and for each chunk of a response. A replica that has fallen silent may
go on at any moment, and a request that gives it up needs a retry and another replica. So an attempt
is abandoned only once another replica has begun to answer; otherwise it is kept, however long its
replica is silent.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_http import BodyFraming, ResponseBroken
from gradelug_policy.silences import silence_timeout_s

from .exchange import Exchange
from .model import Repeat, Route
from .runs import RunRecovery
from .silences import RECENT_ACTIVITY_S, SilenceScope, SilenceTracker

T = t.TypeVar("T")
log = logbook.Logger("sending")
SILENCE_TIMEOUT_TARGETS = 1.5
"""Timeout of a repeatable request without a response, in multiples of its target time. Its last
allowed attempt has none: all replicas may be silent for a moment."""
STREAM_SILENCE_TIMEOUT_S = 1.2
"""Timeout of a resumable stream for its first or next event, after which another replica is sought;
callers time out after 2 s or more."""
SILENCE_TIMEOUT_GAPS = 2.0
"""Timeout of a started stream that is not repeatable but whose engine keeps its KV cache, in
multiples of the longest pause between events that the route allows."""
BUSY_STREAM_SILENCE_TIMEOUT_S = 2.4
"""Timeout of a resumable stream at a replica that responds to other requests: the stream is queued
there, and would be queued at another replica too."""
SILENT_SERVICE_PATIENCE_FRACTION = 0.6
"""Timeout of a stream while most replicas of its service are silent, as a fraction of the time for
which its caller waits: little is gained elsewhere, and the rest is enough to begin there."""
RETRY_INTERVALS_S = (0.2, 0.4, 0.8)
"""Intervals between attempts to find another replica; the last one repeats."""
CLOCK_RESOLUTION_S = 0.001
"""Timeouts that have less than this left have ended: waits for less need not advance the clock."""
MAX_TIMER_DELAY_S = 0.1
"""A timeout that ends later than this shows that this instance was suspended or overloaded, and may
not have read what has arrived."""
TIMER_GRACE_S = 0.25
"""Time for which data is awaited once more after such a delay."""


class ReplicaSilent(ResponseBroken):
    """A replica sent no data within the silence timeout."""


@dataclass(slots=True, frozen=True)
class SilenceTimeouts:
    """Silence timeouts of an attempt by how much of its service is silent, in seconds.

    Parameters
    ----------
    stream_s : float
        While the replica sends data for other requests.
    replica_s : float
        While the replica sends nothing.
    service_s : float
        While most replicas of the service send nothing.
    window_s : float
        Time without data after which a replica counts as silent.
    """

    stream_s: float
    replica_s: float
    service_s: float
    window_s: float = RECENT_ACTIVITY_S

    def timeout_s(self, scope: SilenceScope) -> float:
        """Return the timeout in a scope, in seconds."""
        if scope is SilenceScope.STREAM:
            return self.stream_s
        return self.replica_s if scope is SilenceScope.REPLICA else self.service_s

    @property
    def shortest_s(self) -> float:
        """The shortest of the three, in seconds."""
        return min(self.stream_s, self.replica_s, self.service_s)


NO_TIMEOUTS = SilenceTimeouts(math.inf, math.inf, math.inf)
"""Timeouts of an attempt that is never abandoned."""


class ResponseWaiter:
    """Awaits the parts of responses.

    Parameters
    ----------
    clock : callable
        Returns the event loop's time, in seconds.
    lasting : RunRecovery or None
        Continues runs after their connection is lost; None disables that.
    silences : SilenceTracker
        Tracks the replicas that owe data.
    """

    __slots__ = ("_clock", "_lasting", "_silences")

    def __init__(
        self,
        clock: t.Callable[[], float],
        lasting: RunRecovery | None,
        silences: SilenceTracker,
    ) -> None:
        self._clock = clock
        self._lasting = lasting
        self._silences = silences

    async def receive(self, exchange: Exchange, next_part: t.Coroutine[t.Any, t.Any, T]) -> T:
        """Await the next part of a response.

        Parameters
        ----------
        exchange : Exchange
            The attempt.
        next_part : coroutine
            Returns the next part, such as the head or a chunk.

        Raises
        ------
        ReplicaSilent
            If nothing arrives within the silence timeout and the request holds what it needs to go
            on at another replica.
        """
        timeouts = self._timeouts(exchange)
        task = asyncio.ensure_future(next_part)
        try:
            if timeouts is None:
                await asyncio.wait([task])
            else:
                await self._wait(exchange, task, timeouts)
        except BaseException:
            # The caller left or the replica is silent: nobody else reads the result.
            task.add_done_callback(_log_unread_error)
            task.cancel()
            raise
        if task.exception() is None:
            self._silences.note_data(exchange.replica)
            if not exchange.is_secondary:
                # Its replica responds again: successors may be asked anew in a later silence.
                exchange.job.declined.clear()
        try:
            return task.result()
        finally:
            # An error refers to this frame: with the task in it, it would refer to itself.
            del task

    async def _wait(
        self, exchange: Exchange, task: asyncio.Future[t.Any], timeouts: SilenceTimeouts
    ) -> None:
        """Wait for a part; raises `ReplicaSilent` if the attempt is abandoned instead."""
        began_at = self._clock()
        late_s = await self._wait_on_time(task, timeouts.shortest_s)
        searches = 0
        was_replica_silent = False
        while not task.done():
            # A successor that goes on alone is waited for as any other replica.
            timeouts = self._timeouts(exchange) or NO_TIMEOUTS
            scope = self._silences.scope(exchange.replica, timeouts.window_s)
            left_s = began_at + timeouts.timeout_s(scope) - self._clock()
            if left_s > CLOCK_RESOLUTION_S:
                await asyncio.wait([task], timeout=min(left_s, RECENT_ACTIVITY_S))
                continue
            if await self._try_prepare(exchange, task):
                if self._should_abandon(exchange, timeouts, began_at):
                    scope = self._silences.scope(exchange.replica, timeouts.window_s)
                    self._note_abandoned(exchange, scope, timeouts.window_s, began_at, late_s)
                    raise ReplicaSilent("no data from the replica within the silence timeout")
                # The replica went on for others during the search.
                self._release(exchange)
            interval_s = RETRY_INTERVALS_S[min(searches, len(RETRY_INTERVALS_S) - 1)]
            searches += 1
            was_replica_silent = scope is not SilenceScope.STREAM
            await asyncio.wait([task], timeout=interval_s)
        if searches:
            waited_s = self._clock() - began_at
            if was_replica_silent and exchange.is_running and late_s <= MAX_TIMER_DELAY_S:
                self._silences.note_ended(exchange.replica.service, waited_s)
            log.info(
                "silent attempt went on",
                id=exchange.job.req.id,
                replica=exchange.replica.name,
                waited_s=round(waited_s, 3),
                searches=searches,
            )

    def _should_abandon(
        self, exchange: Exchange, timeouts: SilenceTimeouts, began_at: float
    ) -> bool:
        """Return whether an attempt ends now that the next one is prepared."""
        offer, run = exchange.job.offer, exchange.run
        is_taken = offer is not None and offer.is_accepted
        was_stopped = run is not None and run.stopped is not None
        scope = self._silences.scope(exchange.replica, timeouts.window_s)
        is_due = self._clock() >= began_at + timeouts.timeout_s(scope)
        return is_taken or was_stopped or is_due

    async def _wait_on_time(self, task: asyncio.Future[t.Any], timeout_s: float) -> float:
        """Wait for a part, longer if this instance itself was late; return how late, in seconds."""
        due_at = self._clock() + timeout_s
        await asyncio.wait([task], timeout=timeout_s)
        late_s = max(0.0, self._clock() - due_at)
        if late_s > MAX_TIMER_DELAY_S and not task.done():
            await asyncio.wait([task], timeout=TIMER_GRACE_S)
        return late_s

    async def _try_prepare(self, exchange: Exchange, task: asyncio.Future[t.Any]) -> bool:
        """Prepare the next attempt unless the awaited part arrives first.

        Returns
        -------
        bool
            Whether the request holds all that its next attempt needs; otherwise it holds nothing
            but what an order to stop its run, once sent, may still make it need.
        """
        search = asyncio.ensure_future(self._prepare(exchange))
        try:
            await asyncio.wait([task, search], return_when=asyncio.FIRST_COMPLETED)
            if not task.done() and search.exception() is None and search.result():
                return True
        finally:
            search.add_done_callback(_log_search_error)
            search.cancel()
        if not exchange.is_secondary and not _may_have_failed(exchange, task):
            self._release(exchange)
        return False

    def _release(self, exchange: Exchange) -> None:
        """Release what a request holds, but for what an order to stop its run makes it need."""
        exchange.job.withdraw_offer()
        if exchange.run is None or not exchange.run.was_stop_requested:
            exchange.job.release_retry()

    async def _prepare(self, exchange: Exchange) -> bool:
        if exchange.is_secondary:
            # Its request still has the attempt before it.
            return True
        successors, run = exchange.successors, exchange.run
        if successors is None:
            return False
        if run is None or self._lasting is None or not run.needs_confirmed_stop:
            return await successors.hold(exchange.job, exchange.replica)
        return await self._lasting.stop_stalled(run, successors)

    def _note_abandoned(
        self,
        exchange: Exchange,
        scope: SilenceScope,
        window_s: float,
        began_at: float,
        late_s: float,
    ) -> None:
        """Log and count an attempt that ends because its replica is silent.

        Parameters
        ----------
        exchange : Exchange
            The attempt.
        scope : SilenceScope
            How much of the service is silent.
        window_s : float
            Time without data after which a replica is silent, in seconds.
        began_at : float
            When the wait for its next part began, by the event loop's clock.
        late_s : float
            How late this instance noticed the end of the silence timeout, in seconds.
        """
        job, replica, run = exchange.job, exchange.replica, exchange.run
        activity = self._silences.activity(replica.service, window_s)
        log.info(
            "attempt abandoned",
            id=job.req.id,
            replica=replica.name,
            stage=exchange.stage.value,
            scope=scope.value,
            waited_s=round(self._clock() - began_at, 3),
            late_s=round(late_s, 3),
            replica_silent_s=round(self._silences.silent_s(replica.name), 3),
            silent=activity.silent,
            responsive=activity.responsive,
            stopped=run is not None and run.stopped is not None,
            secondary=exchange.is_secondary,
            successor=job.offer.replica.name if job.offer is not None else "",
            last_event=job.events.last_event,
        )
        job.abandoned += 1
        if scope is not SilenceScope.STREAM:
            job.silent_since[replica.name] = self._clock()
        exchange.is_excused = self._silences.is_shared(replica, window_s)
        if run is not None:
            run.is_abandoned = True
        self._silences.note_abandoned(replica, scope, is_late=late_s > MAX_TIMER_DELAY_S)

    def _timeouts(self, exchange: Exchange) -> SilenceTimeouts | None:
        """Return the silence timeouts of an attempt; None if it is never abandoned."""
        job, run = exchange.job, exchange.run
        route = job.route
        if exchange.is_secondary:
            return SilenceTimeouts(
                BUSY_STREAM_SILENCE_TIMEOUT_S, RECENT_ACTIVITY_S, RECENT_ACTIVITY_S
            )
        if route.repeat is Repeat.FREELY and job.candidates() is None:
            timeout_s = SILENCE_TIMEOUT_TARGETS * route.target_s
            return SilenceTimeouts(
                timeout_s, timeout_s, timeout_s, min(timeout_s, RECENT_ACTIVITY_S)
            )
        if route.repeat is Repeat.RESUME:
            return self._stream_timeouts(
                exchange, BUSY_STREAM_SILENCE_TIMEOUT_S, STREAM_SILENCE_TIMEOUT_S
            )
        if run is not None and run.first_event_at is not None:
            replica_s = SILENCE_TIMEOUT_GAPS * route.gap_s
            return self._stream_timeouts(exchange, STREAM_SILENCE_TIMEOUT_S, replica_s)
        return None

    def _stream_timeouts(
        self, exchange: Exchange, stream_s: float, replica_s: float
    ) -> SilenceTimeouts:
        """Return the silence timeouts of a stream.

        Parameters
        ----------
        exchange : Exchange
            The attempt.
        stream_s, replica_s : float
            Timeouts while its replica sends data for other requests, and while it sends nothing
            and nothing is known of recent silences, in seconds.
        """
        latest_s = _silent_service_timeout_s(exchange.job.route, replica_s)
        longest_s = self._silences.longest_ended_s(exchange.replica.service)
        return SilenceTimeouts(
            stream_s, silence_timeout_s(replica_s, latest_s, longest_s), latest_s
        )


def _silent_service_timeout_s(route: Route, shortest_s: float) -> float:
    return max(shortest_s, SILENT_SERVICE_PATIENCE_FRACTION * route.patience_s)


def _may_have_failed(exchange: Exchange, task: asyncio.Future[t.Any]) -> bool:
    """Return whether a part did not come, or is an end that its framing does not prove."""
    if not task.done() or task.cancelled():
        return False
    if task.exception() is not None:
        return True
    return task.result() is None and exchange.conn.framing is BodyFraming.CLOSE


def _log_search_error(search: asyncio.Future[bool]) -> None:
    if not search.cancelled() and search.exception() is not None:
        log.info("search for another replica failed", why=repr(search.exception()))


def _log_unread_error(task: asyncio.Future[t.Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.info("abandoned response broke off", why=repr(task.exception()))
