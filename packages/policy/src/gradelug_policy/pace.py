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
FIRST_AT_ONCE = 8.0
"""Where the search for the number begins unless more is known; 75 times as many are found within
seconds (see the tests' simulated stores)."""
LEAST_AT_ONCE = 4.0
FEW = 8
"""With so few under way the time that a load takes is taken for the store's own. Of a store that
bears fewer a time is learned that is too long, and as many loads a second all the same."""
MOST_AT_ONCE = 2_400.0
"""Four loads for each of 600 engines."""
LEAST_LOAD_S = 0.02
MOST_LOAD_S = 10.0
"""Bounds of the search, as far from what was seen so far (0.25 to 0.29 s) as one can think of."""
TOLERANCE = 1.2
"""Loads may take so many times as long as on their own: it shows that the store is fully used."""
FAST_GROWTH = 1.0
"""Each load at the limit adds so many until loads take longer for the first time: the number
doubles in a load's time."""
QUEUE = 0.5
"""After that it grows by this part of its root in a load's time."""
LEAST_GRADIENT = 0.5
MARGIN = 1.1
"""A load that was late is expected to take so many times as long as it was seen to take at least:
each load that is late costs its requests a repetition."""
MOST_RAISE = 1.5
"""One late report raises the expected time by this factor at most: it may itself have come late."""
DECAY = 0.006
"""Part of the expected time that is taken off in the time of a load. Loads are late for one load's
time each time the margin is used up, one time in 17."""
FIRST_DECAY = 0.12
"""The same until a load was late for the first time."""
ALONE_PART = 0.3
"""Part by which a load among few moves what is taken for the store's own time."""
ALONE_DECAY_PER_S = 0.003
"""Nothing shows that the store's own time was taken for too long while many loads are under way; so
it is lowered until few are, and learned anew then."""
CACHED_FACTOR = 10.0
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
        "_alone_s",
        "_at",
        "_at_once",
        "_is_searching",
        "_raised_at",
        "_was_late",
        "load_s",
    )

    def __init__(self, now: float = 0.0, first_at_once: float = 0.0) -> None:
        self._at = now
        self._at_once = max(FIRST_AT_ONCE, first_at_once)
        self._alone_s = FIRST_LOAD_S
        """Time of a load when few are under way, in seconds."""
        self._is_searching = True
        """Whether loads have not taken longer yet for being many."""
        self._was_late = False
        """Whether a load was late once: until then nothing is known of its time."""
        self._raised_at = -math.inf
        self.load_s = FIRST_LOAD_S
        """Expected time of a load, in seconds."""

    @property
    def at_once(self) -> int:
        """How many loads may be under way."""
        return int(self._at_once)

    @property
    def cached_s(self) -> float:
        """Expected time of a load from an engine's host memory, in seconds."""
        return self._alone_s / CACHED_FACTOR

    @property
    def rate(self) -> float:
        """Loads a second that the store bears, as far as is known."""
        return self._at_once / self.load_s

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
        if under_way <= FEW:
            self._alone_s += ALONE_PART * (self.load_s - self._alone_s)
        if at_limit:
            self._adjust()

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
        if now - self._raised_at >= self.load_s:
            wanted = min(elapsed_s * MARGIN, self.load_s * MOST_RAISE, MOST_LOAD_S)
            if wanted > self.load_s:
                self.load_s = wanted
                self._raised_at = now
        if under_way <= FEW or not self._was_late:
            self._alone_s = max(self._alone_s, self.load_s)
        self._was_late = True

    def _decay(self, now: float) -> None:
        passed_s = max(0.0, now - self._at)
        self._at = now
        decay = DECAY if self._was_late else FIRST_DECAY
        self.load_s = max(LEAST_LOAD_S, self.load_s * math.exp(-decay * passed_s / self.load_s))
        self._alone_s = min(self.load_s, self._alone_s * math.exp(-ALONE_DECAY_PER_S * passed_s))

    def _adjust(self) -> None:
        """Move the number of loads at once by how much longer loads take than among few."""
        gradient = max(LEAST_GRADIENT, TOLERANCE * self._alone_s / self.load_s)
        if gradient >= 1:
            growth = FAST_GROWTH if self._is_searching else QUEUE / math.sqrt(self._at_once)
        else:
            self._is_searching = False
            growth = gradient - 1 + QUEUE / math.sqrt(self._at_once)
        before = self._at_once
        self._at_once = min(MOST_AT_ONCE, max(LEAST_AT_ONCE, before + growth))
        if gradient < 1:
            # Beyond what the store bears the time is in proportion to the number.
            scaled_s = self.load_s * self._at_once / before
            self.load_s = max(scaled_s, min(self.load_s, MARGIN * self._alone_s))
