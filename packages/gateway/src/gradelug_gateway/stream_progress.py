"""Measures the progress of streams: first events, pauses and the speed of their engines."""

from __future__ import annotations

import typing as t

import logbook

from .exchange import Exchange
from .fleet import Fleet
from .metrics import GatewayMetrics

log = logbook.Logger("sending")


class StreamProgress:
    """Records first events and pauses of streams in metrics, logs and estimates.

    Parameters
    ----------
    fleet : Fleet
        Load and speed of all replicas.
    meters : GatewayMetrics
        Request metrics.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_fleet", "_meters")

    def __init__(self, fleet: Fleet, meters: GatewayMetrics, clock: t.Callable[[], float]) -> None:
        self._fleet = fleet
        self._meters = meters
        self._clock = clock

    def note_first_event(self, exchange: Exchange) -> None:
        """Record that the first event of an attempt has arrived."""
        load = self._fleet.load(exchange.replica.name)
        load.starting -= 1
        load.queued[exchange.work.urgency] -= exchange.work.prefill_tokens
        load.running += 1
        exchange.is_running = True
        self._update_speed(exchange)
        if exchange.job.inc.started:
            return
        first_s = self._clock() - exchange.job.req.arrived_at
        self._meters.observe_first_event(first_s)
        if first_s > exchange.job.route.target_s:
            log.info(
                "late first event",
                id=exchange.job.req.id,
                replica=exchange.replica.name,
                first_s=round(first_s, 3),
                placed_s=round(exchange.job.placed_s, 3),
                sends=exchange.job.sends,
                prompt=exchange.work.prompt_tokens,
                urgency=exchange.work.urgency,
                expected_s=round(exchange.expected_s, 3),
                held=exchange.busyness.held,
                queued=[tokens for tokens in exchange.busyness.queued if tokens],
                speed=round(self._fleet.speeds.speed(exchange.replica.service)),
            )

    def note_pause(self, exchange: Exchange, events: int) -> None:
        """Record the pause before events.

        Parameters
        ----------
        exchange : Exchange
            The attempt.
        events : int
            Number of events that arrived together, among which the pause is divided.
        """
        pause_s = self._clock() - exchange.last_event_at
        gap_s = exchange.job.route.gap_s
        if gap_s and pause_s > gap_s:
            exchange.pauses += 1
            exchange.longest_s = max(exchange.longest_s, pause_s)
        tally = self._fleet.pauses.get(exchange.replica.service)
        if tally is not None:
            tally.note(exchange.replica.name, pause_s, events)

    def log_pauses(self, exchange: Exchange) -> None:
        """Log the long pauses of an attempt, if there were any."""
        if not exchange.pauses:
            return
        log.info(
            "long pause",
            id=exchange.job.req.id,
            replica=exchange.replica.name,
            pauses=exchange.pauses,
            longest_s=round(exchange.longest_s, 3),
            bound_s=exchange.job.route.gap_s,
            last_event=exchange.job.events.last_event,
            running=self._fleet.load(exchange.replica.name).busyness().running,
        )

    def note_end(self, exchange: Exchange) -> None:
        """Record how long a complete stream occupied its engine."""
        job, estimator = exchange.job, self._fleet.engine_estimator
        if estimator is None or not job.work.prompt_tokens or job.req.last_event:
            return
        service = exchange.replica.service
        read_s = exchange.work.prefill_tokens / self._fleet.speeds.speed(service)
        estimator.note_run(service, read_s + self._clock() - exchange.first_at)

    def _update_speed(self, exchange: Exchange) -> None:
        service, work = exchange.replica.service, exchange.work
        if not work.prompt_tokens or exchange.job.resumed_copy is not None:
            return
        took_s = self._clock() - exchange.sent_at
        self._meters.observe_estimate(exchange.job.route.name, took_s, exchange.expected_s)
        self._fleet.speeds.note(service, exchange.busyness, work, took_s)
