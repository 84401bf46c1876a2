"""How fast each engine steps: gateways tell the pauses they saw, the planner who is slow."""

from __future__ import annotations

import typing as t

import logbook
from gradelug_policy.engine_pace import EnginePaces
from gradelug_policy.reading import ReadingSpeeds
from gradelug_wire import placement_pb2 as pb

from .followers import Follower

log = logbook.Logger("engine speeds")
MS = 1000.0


class PauseTally:
    """Pauses between events that this instance saw and has not told yet, by engine."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, tuple[float, int]] = {}

    def note(self, replica: str, pause_s: float, events: int) -> None:
        """Count events that came together after a pause, in seconds."""
        before_s, count = self._seen.get(replica, (0.0, 0))
        self._seen[replica] = (before_s + pause_s, count + events)

    def take(self) -> dict[str, tuple[float, int]]:
        """Return the sum of the pauses and the number of events by engine, and forget them."""
        seen, self._seen = self._seen, {}
        return seen


class SpeedTeller:
    """Implements `parts.GatewayPart` for the speed of engines.

    Parameters
    ----------
    service : str
        Whose engines.
    tally : PauseTally
        What this instance saw.
    paces : EnginePaces
        Takes what the planner tells.
    speeds : ReadingSpeeds
        How fast engines usually read.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_paces", "_service", "_speeds", "_tally")

    def __init__(
        self,
        service: str,
        tally: PauseTally,
        paces: EnginePaces,
        speeds: ReadingSpeeds,
        clock: t.Callable[[], float],
    ) -> None:
        self._service = service
        self._tally = tally
        self._paces = paces
        self._speeds = speeds
        self._clock = clock

    def begin_stream(self) -> None:
        """Forget what was seen: it is old, and the next events tell the same."""
        self._tally.take()

    def fill(self, message: pb.FromGateway) -> None:
        """Tell the pauses since the last message."""
        for replica, (pauses_s, events) in self._tally.take().items():
            message.speeds.add(replica=replica, step_ms=MS * pauses_s / events, samples=events)

    def take(self, message: pb.FromPlanner) -> None:
        """Take over which engines are slow; those not named any more are forgotten with time."""
        now, usual = self._clock(), self._speeds.speed(self._service)
        for told in message.speeds:
            if told.tokens_per_s > 0:
                self._paces.take(told.replica, usual / told.tokens_per_s, now)


class SpeedDesk:
    """Implements `parts.PlannerPart` for the speed of engines.

    Parameters
    ----------
    service : str
        Whose engines.
    paces : EnginePaces
        Learns.
    speeds : ReadingSpeeds
        How fast engines usually read.
    """

    __slots__ = ("_paces", "_service", "_slow", "_speeds")

    def __init__(self, service: str, paces: EnginePaces, speeds: ReadingSpeeds) -> None:
        self._service = service
        self._paces = paces
        self._speeds = speeds
        self._slow: frozenset[str] = frozenset()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Learn from what a gateway saw."""
        for seen in message.speeds:
            pause_s = seen.step_ms / MS
            self._paces.note(self._service, seen.replica, pause_s, seen.samples, now)

    def leave(self, follower: Follower, now: float) -> None:
        """What a gateway saw ages by itself."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Tell which engines are slow."""
        slow, usual = self._paces.slow(now), self._speeds.speed(self._service)
        for replica, slowness in slow.items():
            news.speeds.add(replica=replica, tokens_per_s=usual / slowness)
        for replica in sorted(slow.keys() - self._slow):
            log.info("engine is slow", replica=replica, times=round(slow[replica], 2))
        for replica in sorted(self._slow - slow.keys()):
            log.info("engine is well again", replica=replica)
        self._slow = frozenset(slow)

    def forget(self, replica: str) -> None:
        """Forget an engine that is gone or has begun another life."""
        self._paces.forget(replica)
