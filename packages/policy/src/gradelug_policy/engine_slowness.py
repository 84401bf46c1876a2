"""Detects engines that are slower than others of their service by the pauses between their events.

Engines slow down by a factor of two to eight for a while. The time to a first event reveals little
of that: it depends on the queue, and an engine receives about three requests per second. But every
event of a running stream shows the step time of its engine, whichever instance the stream belongs
to.
"""

from __future__ import annotations

import math
import statistics
import typing as t

EVENT_HALF_LIFE_S = 0.15
"""Half-life of the weight of events. A slow engine must be detected within a second, although it
produced many more events while it ran at normal speed."""
SLOWNESS_HALF_LIFE_S = 1.5
"""Half-life of a detected slowness while an engine produces no events. A slow engine receives few
requests, so its rating must recover for it to be tried again."""
MIN_EVENTS = 2.0
"""Fewer events, weighted by age, are not conclusive: a run may pause for another's prefill."""
SLOW_THRESHOLD_RATIO = 1.6
"""Lower ratios to the median pause are normal differences in load: a full batch steps that much
slower."""
MAX_SLOWNESS = 10.0
"""Upper limit of a slowness; an engine this slow receives no requests in any case."""
MAX_PAUSE_RATIO = 12.0
"""Limit of a pause, as a ratio to the median pause: a stopped run is no evidence of slowness."""
MEDIAN_REFRESH_S = 0.1
"""Interval at which the median pause of a service is recomputed."""
MIN_SLOW_DURATION_S = 0.4
"""Time for which the pauses of an engine must stay long for it to count as slow. Streams also pause
during prefill: on nine engines at normal speed 39 times in 40 s, mostly for less than 0.15 s."""
MIN_SLOWNESS = 1.15
"""A lower slowness is reported as 1, normal speed."""
MIN_ENGINES = 3
"""With fewer engines the median does not show which of them is slow."""


class _EngineEvents:
    """Number and total pauses of the events of an engine, with exponential decay."""

    __slots__ = ("at", "events", "total_pause_s", "slow_since")

    def __init__(self) -> None:
        self.events = 0.0
        self.total_pause_s = 0.0
        self.at = 0.0
        self.slow_since = math.inf
        """Time since which its pauses have been long without interruption."""

    def decay_to(self, now: float) -> None:
        factor = math.exp2(-max(0.0, now - self.at) / EVENT_HALF_LIFE_S)
        self.events *= factor
        self.total_pause_s *= factor
        self.at = now

    @property
    def mean_pause_s(self) -> float:
        return self.total_pause_s / self.events


class SlowEngineDetector:
    """Compares the pauses between events among the engines of each service."""

    __slots__ = ("_by_service", "_slowness_by_engine", "_medians")

    def __init__(self) -> None:
        self._by_service: dict[str, dict[str, _EngineEvents]] = {}
        self._medians: dict[str, tuple[float, float]] = {}
        """By service: median pause in seconds, and the time of its computation."""
        self._slowness_by_engine: dict[str, tuple[float, float]] = {}
        """By engine: slowness, and the time at which it was determined."""

    def note(self, service: str, replica: str, pause_s: float, events: float, now: float) -> None:
        """Add events of streams on an engine.

        Parameters
        ----------
        pause_s : float
            Mean pause before each event, in seconds.
        events : float
            Number of events.
        """
        if events <= 0 or pause_s <= 0:
            return
        engine_events = self._by_service.setdefault(service, {}).setdefault(
            replica, _EngineEvents()
        )
        engine_events.decay_to(now)
        median_s = self._median_pause_s(service, now)
        capped_s = min(pause_s, MAX_PAUSE_RATIO * median_s) if median_s else pause_s
        engine_events.events += events
        engine_events.total_pause_s += events * capped_s
        if engine_events.events < MIN_EVENTS or not median_s:
            return
        factor = engine_events.mean_pause_s / median_s
        if factor <= SLOW_THRESHOLD_RATIO:
            engine_events.slow_since = math.inf
            self._slowness_by_engine[replica] = (1.0, now)
            return
        engine_events.slow_since = min(engine_events.slow_since, now)
        if now - engine_events.slow_since >= MIN_SLOW_DURATION_S:
            self._slowness_by_engine[replica] = (min(MAX_SLOWNESS, factor), now)

    def set_slowness(self, replica: str, slowness: float, now: float) -> None:
        """Set the slowness of an engine that was determined elsewhere."""
        self._slowness_by_engine[replica] = (min(MAX_SLOWNESS, max(1.0, slowness)), now)

    def slowness(self, service: str, replica: str, now: float) -> float:
        """Return by which factor an engine is slower than the median of its service; at least 1."""
        rating = self._slowness_by_engine.get(replica)
        if rating is None:
            return 1.0
        factor, at = rating
        slowness = 1.0 + (factor - 1.0) * math.exp2(-max(0.0, now - at) / SLOWNESS_HALF_LIFE_S)
        return slowness if slowness > MIN_SLOWNESS else 1.0

    def slow_engines(self, now: float) -> dict[str, float]:
        """Return the slowness of all slow engines by name."""
        slowness = {name: self.slowness("", name, now) for name in self._slowness_by_engine}
        return {name: factor for name, factor in slowness.items() if factor > 1.0}

    def forget(self, replica: str) -> None:
        """Drop the state of an engine that was removed or restarted."""
        self._slowness_by_engine.pop(replica, None)
        for engine_events in self._by_service.values():
            engine_events.pop(replica, None)

    def forget_gone(self, replicas: t.Container[str]) -> None:
        """Drop the state of all engines but those of the given replicas."""
        names = self._slowness_by_engine.keys() | {
            name for engine_events in self._by_service.values() for name in engine_events
        }
        for name in names:
            if name not in replicas:
                self.forget(name)

    def _median_pause_s(self, service: str, now: float) -> float:
        """Return the median pause of a service, in seconds; 0 if unknown."""
        median_s, at = self._medians.get(service, (0.0, -math.inf))
        if now - at < MEDIAN_REFRESH_S:
            return median_s
        pauses = [
            engine_events.mean_pause_s
            for engine_events in self._by_service[service].values()
            if engine_events.events
            >= MIN_EVENTS * math.exp2(-(now - engine_events.at) / EVENT_HALF_LIFE_S)
            and engine_events.events > 0
        ]
        median_s = statistics.median(pauses) if len(pauses) >= MIN_ENGINES else median_s
        self._medians[service] = (median_s, now)
        return median_s
