"""How fast the weight store serves, learned from loads that were or were not through in time.

Load pattern: many adapters are asked for at once, of a store of which nothing is known: it may
bear two loads at full speed or six hundred, and one may take a tenth of a second or three. Too few
at once leave places empty while requests are refused; too many make every load late.

The number of loads at once follows the ratio of the time that a load takes when few are under way
to the time that it takes now, as gradient limits of concurrency do.
"""

from __future__ import annotations

import math

FIRST_LOAD_S = 0.3
"""Where the search for the time begins: rather too long, since a load that is late costs its
requests a repetition, and one that is in time brings the expected time down fast."""
INITIAL_PARALLEL_LOADS = 8.0
"""Where the search for the number begins unless more is known; 75 times as many are found within
seconds (see the tests' simulated stores)."""
MIN_PARALLEL_LOADS = 4.0
UNLOADED_MAX_LOADS = 8
"""With so few under way the time that a load takes is taken for the store's own. Of a store that
bears fewer a time is learned that is too long, and as many loads a second all the same."""
MAX_PARALLEL_LOADS = 2_400.0
"""Four loads for each of 600 engines."""
MIN_LOAD_TIME_S = 0.02
MAX_LOAD_TIME_S = 10.0
"""Bounds of the search, as far from what was seen so far (0.25 to 0.29 s) as one can think of."""
LOAD_TIME_TOLERANCE = 1.2
"""Loads may take so many times as long as on their own: it shows that the store is fully used."""
SEARCH_GROWTH_LOADS = 1.0
"""Each load at the limit adds so many until loads take longer for the first time: the number
doubles in a load's time."""
SQRT_GROWTH_FACTOR = 0.5
"""After that it grows by this part of its root in a load's time."""
MIN_GRADIENT = 0.5
LATE_LOAD_MARGIN = 1.1
"""A load that was late is expected to take so many times as long as it was seen to take at least:
each load that is late costs its requests a repetition."""
MAX_LOAD_TIME_INCREASE_FACTOR = 1.5
"""One late report raises the expected time by this factor at most: it may itself have come late."""
LOAD_TIME_DECAY = 0.006
"""Part of the expected time that is taken off in the time of a load. Loads are late for one load's
time each time the margin is used up, one time in 17."""
INITIAL_LOAD_TIME_DECAY = 0.12
"""The same until a load was late for the first time."""
UNLOADED_TIME_SMOOTHING = 0.3
"""Part by which a load among few moves what is taken for the store's own time."""
UNLOADED_TIME_DECAY_PER_S = 0.003
"""Nothing shows that the store's own time was taken for too long while many loads are under way; so
it is lowered until few are, and learned anew then."""
CACHED_LOAD_SPEEDUP = 10.0
"""Adapters that an engine had lately load so many times as fast (the platform's contract)."""


class StorePace:
    """Expected time of a load, and how many may be under way.

    Parameters
    ----------
    now : float
        By the runtime's clock.
    first_at_once : float
        What the store is known to bear at once, in loads; 0 if nothing is known.
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

    def __init__(self, now: float = 0.0, first_at_once: float = 0.0) -> None:
        self._updated_at = now
        self._max_parallel = max(INITIAL_PARALLEL_LOADS, first_at_once)
        self._unloaded_s = FIRST_LOAD_S
        """Time of a load when few are under way, in seconds."""
        self._is_searching = True
        """Whether loads have not taken longer yet for being many."""
        self._has_been_late = False
        """Whether a load was late once: until then nothing is known of its time."""
        self._increased_at = -math.inf
        self.load_s = FIRST_LOAD_S
        """Expected time of a load, in seconds."""

    @property
    def at_once(self) -> int:
        """How many loads may be under way."""
        return int(self._max_parallel)

    @property
    def cached_s(self) -> float:
        """Expected time of a load from an engine's host memory, in seconds."""
        return self._unloaded_s / CACHED_LOAD_SPEEDUP

    @property
    def rate(self) -> float:
        """Loads a second that the store bears, as far as is known."""
        return self._max_parallel / self.load_s

    def note_in_time(self, under_way: int, at_limit: bool, now: float) -> None:
        """Note that a load was through.

        Parameters
        ----------
        under_way : int
            Loads under way when it began.
        at_limit : bool
            Whether that was as many as allowed.
        now : float
            By the runtime's clock.
        """
        self._decay(now)
        if under_way <= UNLOADED_MAX_LOADS:
            self._unloaded_s += UNLOADED_TIME_SMOOTHING * (self.load_s - self._unloaded_s)
        if at_limit:
            self._adjust_limit()

    def note_late(self, under_way: int, elapsed_s: float, now: float) -> None:
        """Note that a load was not through yet.

        Parameters
        ----------
        under_way : int
            Loads under way when it began.
        elapsed_s : float
            How long it had been under way, in seconds.
        now : float
            By the runtime's clock.
        """
        self._decay(now)
        # Of loads that were begun together all are late: they tell one thing, not many.
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
        """Move the number of loads at once by how much longer loads take than among few."""
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
            # Beyond what the store bears the time is in proportion to the number.
            scaled_s = self.load_s * self._max_parallel / previous
            self.load_s = max(scaled_s, min(self.load_s, LATE_LOAD_MARGIN * self._unloaded_s))
