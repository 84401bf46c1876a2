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
SHORTER = 4
"""The pause that is told is longer than one in so many."""
MOST_TOGETHER = 8
"""Events that come together count as so many at most."""


class PauseTally:
    """Pauses between events that this instance saw and has not told yet, by engine."""

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, list[float]] = {}

    def note(self, replica: str, pause_s: float, events: int) -> None:
        """Count events that came together after a pause, in seconds."""
        self._seen.setdefault(replica, []).extend([pause_s / events] * min(events, MOST_TOGETHER))

    def take(self) -> dict[str, tuple[float, int]]:
        """Return a pause of each engine's shorter ones and the number of events; forget them.

        While an engine reads prompts, its streams pause for each piece of them: the longer pauses
        say how busy it is. The shortest may be of two events that were held up together.
        """
        seen, self._seen = self._seen, {}
        return {
            replica: (sorted(pauses)[len(pauses) // SHORTER], len(pauses))
            for replica, pauses in seen.items()
        }


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
        for replica, (pause_s, events) in self._tally.take().items():
            message.speeds.add(replica=replica, step_ms=MS * pause_s, samples=events)

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
    is_reading : callable
        Tells whether an engine has prompts to read, by its name: its streams pause for them, and
        what is before a new request there is reckoned with already.
    """

    __slots__ = ("_is_reading", "_paces", "_service", "_slow", "_speeds")

    def __init__(
        self,
        service: str,
        paces: EnginePaces,
        speeds: ReadingSpeeds,
        is_reading: t.Callable[[str], bool] = lambda replica: False,
    ) -> None:
        self._is_reading = is_reading
        self._service = service
        self._paces = paces
        self._speeds = speeds
        self._slow: frozenset[str] = frozenset()

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Learn from what a gateway saw."""
        for seen in message.speeds:
            if self._is_reading(seen.replica):
                continue
            pause_s = seen.step_ms / MS
            self._paces.note(self._service, seen.replica, pause_s, seen.samples, now)

    def leave(self, follower: Follower, now: float) -> None:
        """What a gateway saw ages by itself."""

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Tell which engines are slow, and once which are not any more."""
        slow, usual = self._paces.slow(now), self._speeds.speed(self._service)
        for replica, slowness in slow.items():
            news.speeds.add(replica=replica, tokens_per_s=usual / slowness)
        for replica in sorted(slow.keys() - self._slow):
            log.info("engine is slow", replica=replica, times=round(slow[replica], 2))
        for replica in sorted(self._slow - slow.keys()):
            news.speeds.add(replica=replica, tokens_per_s=usual)
            log.info("engine is well again", replica=replica)
        self._slow = frozenset(slow)

    def forget(self, replica: str) -> None:
        """Forget an engine that is gone or has begun another life."""
        self._paces.forget(replica)
