"""Adapts the number of concurrent loads from the weight store, by which loads complete in time.

Load pattern: many adapters are requested at once from a store of unknown speed. It may serve two
loads at full speed or six hundred, and one load may take a tenth of a second or three. With too few
concurrent loads slots stay empty while requests are refused; with too many every load is late.

The number of concurrent loads follows the ratio of the time of a load when few are in progress to
the current time of a load, as in gradient concurrency limits.
"""

from __future__ import annotations

import math

INITIAL_LOAD_TIME_S = 0.3
"""Initial estimate of the time of a load, in seconds. It is rather high: a late load costs its
requests a retry, while loads in time lower the estimate quickly."""
INITIAL_PARALLEL_LOADS = 8.0
"""Initial number of concurrent loads if the store's capacity is unknown; the search reaches 75
times as many within seconds."""
MIN_PARALLEL_LOADS = 4.0
UNLOADED_MAX_LOADS = 8
"""With at most this many loads in progress, a load's time counts as the store's unloaded time. For
a store with less capacity that time is overestimated, at the same throughput."""
MAX_PARALLEL_LOADS = 2_400.0
"""Maximum number of concurrent loads: four for each of 600 engines."""
MIN_LOAD_TIME_S = 0.02
MAX_LOAD_TIME_S = 10.0
"""Maximum of the time estimate, in seconds. Both bounds are far from usual times, 0.25 to 0.29
s."""
LOAD_TIME_TOLERANCE = 1.2
"""Loads may take this many times the unloaded time, which shows that the store is fully used."""
SEARCH_GROWTH_LOADS = 1.0
"""Increase per load at the limit until load times rise for the first time: the limit doubles within
the time of a load."""
SQRT_GROWTH_FACTOR = 0.5
"""Afterwards the limit grows by this multiple of its square root within the time of a load."""
MIN_GRADIENT = 0.5
LATE_LOAD_MARGIN = 1.1
"""After a late load the estimate is this multiple of the elapsed time. Each late load costs its
requests a retry."""
MAX_LOAD_TIME_INCREASE_FACTOR = 1.5
"""Maximum factor by which one late report raises the estimate, since the report may be delayed
itself."""
LOAD_TIME_DECAY = 0.006
"""Fraction by which the estimate decays within the time of a load. Once the margin is used up,
loads are late for the time of one load: one time in 17."""
INITIAL_LOAD_TIME_DECAY = 0.12
"""Fraction by which the estimate decays until the first late load."""
UNLOADED_TIME_SMOOTHING = 0.3
"""Weight of a new value in the moving average of the unloaded time."""
UNLOADED_TIME_DECAY_PER_S = 0.003
"""Decay of the unloaded time per second. Under many concurrent loads an overestimate cannot be
detected, so it decays until few loads are in progress and new values arrive."""
CACHED_LOAD_SPEEDUP = 10.0
"""Adapters in an engine's host memory load this many times as fast (the platform's contract)."""


class StoreConcurrencyLimit:
    """Expected time of a load from the weight store, and the limit of concurrent loads.

    Parameters
    ----------
    now : float
        Current time by the runtime's clock, in seconds.
    initial_concurrent_loads : float
        Known capacity of the store in concurrent loads; 0 if unknown.
    """

    __slots__ = (
        "_unloaded_s",
        "_updated_at",
        "_max_parallel",
        "_is_searching",
        "_increased_at",
        "_has_been_late",
        "load_s",
    )

    def __init__(self, now: float = 0.0, initial_concurrent_loads: float = 0.0) -> None:
        self._updated_at = now
        self._max_parallel = max(INITIAL_PARALLEL_LOADS, initial_concurrent_loads)
        self._unloaded_s = INITIAL_LOAD_TIME_S
        """Time of a load while few are in progress, in seconds."""
        self._is_searching = True
        """Whether load times have not yet risen with the number of loads."""
        self._has_been_late = False
        """Whether a load has been late; until then there is no lower bound of its time."""
        self._increased_at = -math.inf
        self.load_s = INITIAL_LOAD_TIME_S
        """Expected time of a load, in seconds."""

    @property
    def max_concurrent_loads(self) -> int:
        """Maximum number of concurrent loads."""
        return int(self._max_parallel)

    @property
    def expected_cached_load_s(self) -> float:
        """Expected time of a load from an engine's host memory, in seconds."""
        return self._unloaded_s / CACHED_LOAD_SPEEDUP

    @property
    def rate(self) -> float:
        """Estimated throughput of the store, in loads per second."""
        return self._max_parallel / self.load_s

    def record_success(self, under_way: int, at_limit: bool, now: float) -> None:
        """Record that a load completed in time.

        Parameters
        ----------
        under_way : int
            Number of loads in progress when it started.
        at_limit : bool
            Whether that number was the limit.
        now : float
            Current time by the runtime's clock, in seconds.
        """
        self._decay(now)
        if under_way <= UNLOADED_MAX_LOADS:
            self._unloaded_s += UNLOADED_TIME_SMOOTHING * (self.load_s - self._unloaded_s)
        if at_limit:
            self._adjust_limit()

    def record_late(self, under_way: int, elapsed_s: float, now: float) -> None:
        """Record that a load has not completed in time.

        Parameters
        ----------
        under_way : int
            Number of loads in progress when it started.
        elapsed_s : float
            Time since it started, in seconds.
        now : float
            Current time by the runtime's clock, in seconds.
        """
        self._decay(now)
        # Loads that started together are all late together, so they raise the estimate once.
        if now - self._increased_at >= self.load_s:
            new_load_s = min(
                elapsed_s * LATE_LOAD_MARGIN,
                self.load_s * MAX_LOAD_TIME_INCREASE_FACTOR,
                MAX_LOAD_TIME_S,
            )
            if new_load_s > self.load_s:
                self.load_s = new_load_s
                self._increased_at = now
        if under_way <= UNLOADED_MAX_LOADS or not self._has_been_late:
            self._unloaded_s = max(self._unloaded_s, self.load_s)
        self._has_been_late = True

    def _decay(self, now: float) -> None:
        passed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        decay = LOAD_TIME_DECAY if self._has_been_late else INITIAL_LOAD_TIME_DECAY
        self.load_s = max(MIN_LOAD_TIME_S, self.load_s * math.exp(-decay * passed_s / self.load_s))
        self._unloaded_s = min(
            self.load_s, self._unloaded_s * math.exp(-UNLOADED_TIME_DECAY_PER_S * passed_s)
        )

    def _adjust_limit(self) -> None:
        """Adapt the limit by the ratio of the unloaded time to the current time of a load."""
        gradient = max(MIN_GRADIENT, LOAD_TIME_TOLERANCE * self._unloaded_s / self.load_s)
        if gradient >= 1:
            growth = (
                SEARCH_GROWTH_LOADS
                if self._is_searching
                else SQRT_GROWTH_FACTOR / math.sqrt(self._max_parallel)
            )
        else:
            self._is_searching = False
            growth = gradient - 1 + SQRT_GROWTH_FACTOR / math.sqrt(self._max_parallel)
        previous = self._max_parallel
        self._max_parallel = min(MAX_PARALLEL_LOADS, max(MIN_PARALLEL_LOADS, previous + growth))
        if gradient < 1:
            # Beyond the store's capacity the time of a load is proportional to the number of loads.
            scaled_s = self.load_s * self._max_parallel / previous
            self.load_s = max(scaled_s, min(self.load_s, LATE_LOAD_MARGIN * self._unloaded_s))
