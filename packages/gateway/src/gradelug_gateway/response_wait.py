"""Waiting for the parts of a replica's response, and when a silent replica is given up.

`Sender` uses it for the head and for each chunk of a response.
"""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_http import ResponseBroken

from .exchange import Exchange
from .fleet import Fleet
from .model import Repeat
from .runs import RunRecovery
from .silences import RECENT_ACTIVITY_S, SilenceTracker

T = t.TypeVar("T")
log = logbook.Logger("sending")
SILENCE_TIMEOUT_TARGETS = 1.5
"""Timeout of a repeatable request without a response, in multiples of its target time. Its last
allowed attempt has none: all replicas may be silent for a moment."""
STREAM_SILENCE_TIMEOUT_S = 1.2
"""Timeout of a resumable stream for its first or next event, after which it continues at another
replica; callers time out after 2 s or more."""
SILENCE_TIMEOUT_GAPS = 2.0
"""Timeout of a started stream that is not repeatable but whose engine keeps its KV cache, in
multiples of the longest pause between events that the route allows."""
BUSY_STREAM_SILENCE_TIMEOUT_S = 2.4
"""Timeout of a resumable stream at a replica that responds to other requests: the stream is queued
there, and would be queued at another replica too."""
POLL_S = 0.1
"""Interval at which the retry budget is polled for a request whose replica is silent."""


class ReplicaSilent(ResponseBroken):
    """A replica sent no data within the silence timeout."""


class ResponseWaiter:
    """Awaits the parts of responses.

    Parameters
    ----------
    fleet : Fleet
        Health of all replicas.
    clock : callable
        Returns the event loop's time, in seconds.
    has_retry : callable
        Returns whether the retry budget of a service has a retry available.
    lasting : RunRecovery or None
        Continues runs after their connection is lost; None disables that.
    silences : SilenceTracker
        Tracks the replicas that owe data.
    """

    __slots__ = ("_clock", "_fleet", "_has_retry", "_lasting", "_silences")

    def __init__(
        self,
        fleet: Fleet,
        clock: t.Callable[[], float],
        has_retry: t.Callable[[str], bool],
        lasting: RunRecovery | None,
        silences: SilenceTracker,
    ) -> None:
        self._silences = silences
        self._fleet = fleet
        self._clock = clock
        self._has_retry = has_retry
        self._lasting = lasting

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
            If nothing arrives within the silence timeout and the attempt may be abandoned.
        """
        health = self._fleet.health(exchange.replica.name)
        silence_timeout_s, busy_timeout_s = self._silence_timeouts_s(exchange)
        began_at = self._clock()
        task = asyncio.ensure_future(next_part)
        try:
            done, _ = await asyncio.wait([task], timeout=silence_timeout_s)
            late_s = 0.0
            if silence_timeout_s is not None:
                late_s = max(0.0, self._clock() - began_at - silence_timeout_s)
            if not done and busy_timeout_s is not None and silence_timeout_s is not None:
                is_busy = self._clock() - health.last_received_at < RECENT_ACTIVITY_S
                if is_busy:
                    done, _ = await asyncio.wait([task], timeout=busy_timeout_s - silence_timeout_s)
            while not done and not self._has_retry(exchange.job.service.name):
                # Without a retry, abandoning the attempt would fail the request: that caused 291
                # of 798 failures within nine seconds of a burst.
                done, _ = await asyncio.wait([task], timeout=POLL_S)
            while (
                not done
                and self._must_find_run(exchange)
                and not await self._try_stop_run(exchange)
            ):
                done, _ = await asyncio.wait([task], timeout=STREAM_SILENCE_TIMEOUT_S)
            if not task.done():
                self._note_abandoned(exchange, began_at, late_s)
                raise ReplicaSilent("no data from the replica within the silence timeout")
        except BaseException:
            # The caller left or the replica is silent: nobody else reads the result.
            task.add_done_callback(_log_unread_error)
            task.cancel()
            raise
        self._silences.note_data(exchange.replica)
        return task.result()

    def _note_abandoned(self, exchange: Exchange, began_at: float, late_s: float) -> None:
        """Log and count an attempt that ends because its replica is silent.

        Parameters
        ----------
        exchange : Exchange
            The attempt.
        began_at : float
            When the wait for its next part began, by the event loop's clock.
        late_s : float
            How late this instance noticed the end of the silence timeout, in seconds.
        """
        job, replica = exchange.job, exchange.replica
        scope = self._silences.scope(replica)
        activity = self._silences.activity(replica.service)
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
            has_retry=self._has_retry(job.service.name),
            last_event=job.events.last_event,
        )
        job.abandoned += 1
        self._silences.note_abandoned(replica, scope)

    def _must_find_run(self, exchange: Exchange) -> bool:
        """Return whether abandoning a silent replica could fail a request or run it twice."""
        return exchange.run is not None and exchange.run.needs_confirmed_stop

    async def _try_stop_run(self, exchange: Exchange) -> bool:
        """Stop a silent run if it can continue from its KV cache; return whether it was stopped.

        An engine that runs out of memory drops a run and recomputes it later, and does not list
        the run until then. Without this check, streams that would have recovered by themselves
        were abandoned (five in one day), and a run resumed at another engine would continue at
        both.
        """
        lasting, run = self._lasting, exchange.run
        return lasting is not None and run is not None and await lasting.stop_stalled(run)

    def _silence_timeouts_s(self, exchange: Exchange) -> tuple[float | None, float | None]:
        job = exchange.job
        if job.route.repeat is Repeat.FREELY and job.candidates() is None:
            return SILENCE_TIMEOUT_TARGETS * job.route.target_s, None
        if job.route.repeat is Repeat.RESUME:
            return STREAM_SILENCE_TIMEOUT_S, BUSY_STREAM_SILENCE_TIMEOUT_S
        if exchange.run is not None and exchange.run.first_event_at is not None:
            return SILENCE_TIMEOUT_GAPS * job.route.gap_s, STREAM_SILENCE_TIMEOUT_S
        return None, None


def _log_unread_error(task: asyncio.Future[t.Any]) -> None:
    if not task.cancelled() and task.exception() is not None:
        log.info("abandoned response broke off", why=repr(task.exception()))
