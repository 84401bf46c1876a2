"""Counters, gauges and timings, gathered in memory and sent to statsd once a period."""

from __future__ import annotations

import asyncio
import typing as t
from collections import Counter, defaultdict

from statsd import StatsClient

from .settings import StatsdSettings

MAX_TIMINGS = 1_000
"""Timings kept per name and period; more are counted but not sent."""


class Metrics:
    """What a process counts.

    Sending once a period keeps the cost off the path of a request: a counter is one addition
    to a dict.
    """

    __slots__ = ("_client", "_gauges", "_period_s", "_timings", "before_flush", "counts", "totals")

    def __init__(self, settings: StatsdSettings, process: str) -> None:
        self._client: StatsClient | None = None
        self._period_s = settings.period_s
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, list[float]] = defaultdict(list)
        self.before_flush: list[t.Callable[[], None]] = []
        """Called before each sending, to set gauges."""
        self.counts: Counter[str] = Counter()
        self.totals: Counter[str] = Counter()
        """Counts since the start."""
        if settings.address:
            host, _, port = settings.address.rpartition(":")
            prefix = f"{settings.prefix}.{process}"
            self._client = StatsClient(host.strip("[]"), int(port), prefix=prefix)

    def count(self, name: str, by: int = 1) -> None:
        """Add to a counter."""
        self.counts[name] += by
        self.totals[name] += by

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def time(self, name: str, seconds: float) -> None:
        """Record a duration."""
        timings = self._timings[name]
        if len(timings) < MAX_TIMINGS:
            timings.append(seconds)

    async def run(self) -> None:
        """Send once a period until cancelled."""
        while True:
            await asyncio.sleep(self._period_s)
            self.flush()

    def flush(self) -> None:
        """Send what was gathered."""
        for hook in self.before_flush:
            hook()
        counts, self.counts = self.counts, Counter()
        timings, self._timings = self._timings, defaultdict(list)
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, by in counts.items():
                pipe.incr(name, by)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
            for name, seconds in _flatten(timings):
                pipe.timing(name, seconds * 1000)


def _flatten(timings: t.Mapping[str, list[float]]) -> t.Iterator[tuple[str, float]]:
    return ((name, seconds) for name, values in timings.items() for seconds in values)
