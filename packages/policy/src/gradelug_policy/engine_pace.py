"""Which engines are slower than the others of their service, from pauses between their events.

The load that it answers: engines that turn two to eight times slow and well again. A request's
first event says little of that: it waits for others, and an engine gets three requests a second.
But each of its running streams shows at each event how fast it steps, at whatever instance it runs.
"""

from __future__ import annotations

import math
import statistics

EVENT_HALF_LIFE_S = 0.15
"""Events count half after this: a slow engine is to be seen within a second, and those that it made
while it was well were many more."""
SLOWNESS_HALF_LIFE_S = 1.5
"""An engine without events is taken for well again: what was known of it counts half after this.
It gets few requests while it is slow, so it must be tried again."""
MIN_EVENTS = 2.0
"""Fewer events, newer ones counting more, say nothing: one run may pause for another's prompt."""
SLOW_THRESHOLD_RATIO = 1.6
"""Engines differ by this with what runs on them: a full batch steps that much slower."""
MAX_SLOWNESS = 10.0
"""Nothing is lost if an engine is taken for no slower than that: no request goes there."""
MAX_PAUSE_RATIO = 12.0
"""A pause counts as so many usual ones at most: a run that was stopped says little of the pace."""
MEDIAN_REFRESH_S = 0.1
"""The usual pause of a service is taken anew this often."""
MIN_SLOW_DURATION_S = 0.4
"""An engine is slow when its pauses have been long for this time: streams pause for prompts, and on
nine engines that are well some did 39 times in 40 s, mostly for less than 0.15 s."""
MIN_SLOWNESS = 1.15
"""An engine that is found less slow than that is taken for well."""
MIN_ENGINES = 3
"""Of fewer none can be told to be the slow one."""


class _EngineEvents:
    """Events of one engine, aged."""

    __slots__ = ("at", "events", "pauses_s", "slow_since")

    def __init__(self) -> None:
        self.events = 0.0
        self.pauses_s = 0.0
        self.at = 0.0
        self.slow_since = math.inf
        """Since when its pauses have been long without interruption."""

    def age(self, now: float) -> None:
        kept = math.exp2(-max(0.0, now - self.at) / EVENT_HALF_LIFE_S)
        self.events *= kept
        self.pauses_s *= kept
        self.at = now

    @property
    def pause_s(self) -> float:
        return self.pauses_s / self.events


class EnginePaces:
    """Compares the pauses between events of the engines of each service."""

    __slots__ = ("_by_service", "_slowness_by_engine", "_medians")

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, _EngineEvents]] = {}
        self._medians: dict[str, tuple[float, float]] = {}
        """By service: the usual pause, and when it was taken."""
        self._slowness_by_engine: dict[str, tuple[float, float]] = {}
        """By engine: how slow it was found, and when."""

    def note(self, service: str, replica: str, pause_s: float, events: float, now: float) -> None:
        """Learn from events of streams.

        Parameters
        ----------
        pause_s : float
            Mean pause before each of them, in seconds.
        events : float
            How many.
        """
        if events <= 0 or pause_s <= 0:
            return
        seen = self._by_service.setdefault(service, {}).setdefault(replica, _EngineEvents())
        seen.age(now)
        usual_s = self._median_pause_s(service, now)
        capped_s = min(pause_s, MAX_PAUSE_RATIO * usual_s) if usual_s else pause_s
        seen.events += events
        seen.pauses_s += events * capped_s
        if seen.events < MIN_EVENTS or not usual_s:
            return
        factor = seen.pause_s / usual_s
        if factor <= SLOW_THRESHOLD_RATIO:
            seen.slow_since = math.inf
            self._slowness_by_engine[replica] = (1.0, now)
            return
        seen.slow_since = min(seen.slow_since, now)
        if now - seen.slow_since >= MIN_SLOW_DURATION_S:
            self._slowness_by_engine[replica] = (min(MAX_SLOWNESS, factor), now)

    def take(self, replica: str, slowness: float, now: float) -> None:
        """Take over what others found of an engine."""
        self._slowness_by_engine[replica] = (min(MAX_SLOWNESS, max(1.0, slowness)), now)

    def slowness(self, service: str, replica: str, now: float) -> float:
        """Return how many times slower an engine is than its service's usual ones; 1 at least."""
        known = self._slowness_by_engine.get(replica)
        if known is None:
            return 1.0
        factor, at = known
        slowness = 1.0 + (factor - 1.0) * math.exp2(-max(0.0, now - at) / SLOWNESS_HALF_LIFE_S)
        return slowness if slowness > MIN_SLOWNESS else 1.0

    def slow(self, now: float) -> dict[str, float]:
        """Return how slow the engines are that are slow."""
        found = {name: self.slowness("", name, now) for name in self._slowness_by_engine}
        return {name: factor for name, factor in found.items() if factor > 1.0}

    def forget(self, replica: str) -> None:
        """Forget an engine that is gone or has begun another life."""
        self._slowness_by_engine.pop(replica, None)
        for seen in self._by_service.values():
            seen.pop(replica, None)

    def _median_pause_s(self, service: str, now: float) -> float:
        """Return the usual pause, 0 if it is not known."""
        usual_s, at = self._medians.get(service, (0.0, -math.inf))
        if now - at < MEDIAN_REFRESH_S:
            return usual_s
        pauses = [
            seen.pause_s
            for seen in self._by_service[service].values()
            if seen.events >= MIN_EVENTS * math.exp2(-(now - seen.at) / EVENT_HALF_LIFE_S)
            and seen.events > 0
        ]
        usual_s = statistics.median(pauses) if len(pauses) >= MIN_ENGINES else usual_s
        self._medians[service] = (usual_s, now)
        return usual_s
