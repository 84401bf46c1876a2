"""Exchange of engine speeds between gateways and planners.

Gateways report the pauses between events of their streams to the planner of a service, and the
planner reports back which engines are slow.
"""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.engine_slowness import SlowEngineDetector
from gradelug_policy.prefill import PrefillSpeeds
from gradelug_wire import placement_pb2 as pb

from .follower import Follower

log = logbook.Logger("engine speeds")
MS = 1000.0
PAUSE_RANK_DIVISOR = 4
"""The reported pause is the quantile at 1 / `PAUSE_RANK_DIVISOR`, here the lower quartile."""
MAX_BATCH_EVENTS = 8
"""Maximum number of events counted for one batch."""


class PauseTally:
    """Pauses between events that this instance observed and has not reported yet, by engine."""

    __slots__ = ("_pauses",)

    def __init__(self) -> None:
        self._pauses: dict[str, list[float]] = {}

    def note(self, replica: str, pause_s: float, events: int) -> None:
        """Record a batch of events that was received after a pause.

        Parameters
        ----------
        replica : str
            Name of the engine.
        pause_s : float
            Time since the previous batch, in seconds.
        events : int
            Number of events in the batch.
        """
        self._pauses.setdefault(replica, []).extend(
            [pause_s / events] * min(events, MAX_BATCH_EVENTS)
        )

    def take(self) -> dict[str, tuple[float, int]]:
        """Return the lower quartile and number of pauses for each engine, and reset the tally.

        While an engine is in prefill, its streams pause for each chunk, so longer pauses reflect
        its load. The shortest pauses may be between events that were delayed together.
        """
        observed, self._pauses = self._pauses, {}
        return {
            replica: (sorted(pauses)[len(pauses) // PAUSE_RANK_DIVISOR], len(pauses))
            for replica, pauses in observed.items()
        }


class SpeedReporter:
    """Reports observed pauses to the planner and receives slow engines; a `parts.GatewayExtension`.

    Parameters
    ----------
    service : str
        Name of the service that the engines belong to.
    tally : PauseTally
        Pauses that this instance observed.
    paces : SlowEngineDetector
        Receives the slowness that the planner reports.
    speeds : PrefillSpeeds
        Usual prefill speeds of engines.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_paces", "_service", "_speeds", "_tally")

    def __init__(
        self,
        service: str,
        tally: PauseTally,
        paces: SlowEngineDetector,
        speeds: PrefillSpeeds,
        clock: t.Callable[[], float],
    ) -> None:
        self._service = service
        self._tally = tally
        self._paces = paces
        self._speeds = speeds
        self._clock = clock

    def begin_stream(self) -> None:
        """Discard pending observations, which are outdated after a reconnect."""
        self._tally.take()

    def fill(self, message: pb.FromGateway) -> None:
        """Add the pauses observed since the last message."""
        for replica, (pause_s, events) in self._tally.take().items():
            message.speeds.add(replica=replica, step_ms=MS * pause_s, samples=events)

    def take(self, message: pb.FromPlanner) -> None:
        """Apply the reported slow engines; the others expire."""
        now, usual = self._clock(), self._speeds.speed(self._service)
        for reported in message.speeds:
            if reported.tokens_per_s > 0:
                self._paces.set_slowness(reported.replica, usual / reported.tokens_per_s, now)


class SpeedAggregator:
    """Aggregates the pauses that gateways report into slow engines; a `parts.PlannerExtension`.

    Parameters
    ----------
    service : str
        Name of the service that the engines belong to.
    paces : SlowEngineDetector
        Detects slow engines from the reported pauses.
    speeds : PrefillSpeeds
        Usual prefill speeds of engines.
    is_reading : callable
        Returns whether an engine, given by name, is in prefill. Its streams pause for that, and its
        queue is accounted for elsewhere.
    """

    __slots__ = ("_is_reading", "_paces", "_service", "_slow", "_speeds")

    def __init__(
        self,
        service: str,
        paces: SlowEngineDetector,
        speeds: PrefillSpeeds,
        is_reading: t.Callable[[str], bool] = lambda replica: False,
    ) -> None:
        self._is_reading = is_reading
        self._service = service
        self._paces = paces
        self._speeds = speeds
        self._slow: frozenset[str] = frozenset()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Process the pauses that a gateway reports."""
        for observed in message.speeds:
            if self._is_reading(observed.replica):
                continue
            pause_s = observed.step_ms / MS
            self._paces.note(self._service, observed.replica, pause_s, observed.samples, now)

    def leave(self, follower: Follower, now: float) -> None:
        """Do nothing: the observations of a disconnected gateway expire."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add the engines that are slow, and, once each, those that have recovered."""
        slow, usual = self._paces.slow_engines(now), self._speeds.speed(self._service)
        for replica, slowness in slow.items():
            news.speeds.add(replica=replica, tokens_per_s=usual / slowness)
        for replica in sorted(slow.keys() - self._slow):
            log.info("engine is slow", replica=replica, times=round(slow[replica], 2))
        for replica in sorted(self._slow - slow.keys()):
            news.speeds.add(replica=replica, tokens_per_s=usual)
            log.info("engine speed is back to normal", replica=replica)
        self._slow = frozenset(slow)

    def forget(self, replica: str) -> None:
        """Discard the observations of an engine that was removed or restarted."""
        self._paces.forget(replica)
