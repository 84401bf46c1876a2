"""Limits retries, so that they cannot overload an upstream, and stops requests to a failing one."""

from __future__ import annotations

from collections import deque
from enum import Enum

MAX_RESERVED_RETRY_FRACTION = 0.5
"""Maximum fraction of a window's retries that is reserved for requests that may have run."""
RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Allows retries as a fraction of first attempts.

    Parameters
    ----------
    ratio : float
        Retries per first attempt in the long run.
    burst : float
        Maximum number of accumulated retries.
    """

    __slots__ = ("_balance", "_burst", "_ratio")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def set_burst(self, burst: float) -> None:
        """Change the maximum number of accumulated retries."""
        self._burst = burst
        self._balance = min(self._balance, burst)

    def note_attempt(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_retry(self) -> bool:
        """Take a retry from the budget if one is available."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class RetryWindow:
    """Allows retries in a sliding window as a fraction of the requests in it.

    A `RetryBudget` accumulates a few retries and discards the rest: with many instances of few
    requests each, an instance whose upstream breaks off several of them at once may retry two. Here
    all retries of the last window may be used at any moment of it.

    Requests that may have run take precedence, since they fail without a retry: they may use the
    last one. A request that has not run can wait or be retried by its caller; it leaves as many
    retries as the others have used in the window. Load pattern: all instances start at once and
    weights arrive late. Requests that found them missing used the retries of the first second that
    streams broken off in the next second would have needed.

    Streams that have begun come first: their callers lose the events that they have. Other requests
    leave a retry to each of them that waits for one.

    Parameters
    ----------
    ratio : float
        Retries per request.
    extra : float
        Additional retries per window.
    window_s : float
        Length of the window, in seconds.
    """

    __slots__ = (
        "_possibly_run_retries",
        "_ratio",
        "_requests",
        "_reserved",
        "_reserved_possibly_run",
        "_retries",
        "_window_s",
        "awaited",
        "extra",
    )

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self.awaited = 0
        """Streams that have begun and wait for a retry."""
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._possibly_run_retries: deque[float] = deque()
        """Times of the retries of requests that may have run."""
        self._reserved = 0
        """Retries that are reserved and not sent yet."""
        self._reserved_possibly_run = 0
        """Those of them that are for requests that may have run."""
        self.extra = extra

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._requests.append(now)
        self._forget(now)

    def has_retry(self, now: float, not_run: bool = False, begun: bool = False) -> bool:
        """Return whether a retry is available in the window.

        Parameters
        ----------
        now : float
            Current time by the runtime's clock.
        not_run : bool
            Whether the request has certainly not run.
        begun : bool
            Whether the request is a stream that has begun.
        """
        self._forget(now)
        precedence = 0.0 if begun else float(self.awaited)
        if not_run:
            possibly_run = len(self._possibly_run_retries) + self._reserved_possibly_run
            precedence += min(possibly_run, MAX_RESERVED_RETRY_FRACTION * self._allowed)
        return len(self._retries) + self._reserved + 1 + precedence <= self._allowed

    def try_reserve(self, now: float, unrun: bool = False, begun: bool = False) -> bool:
        """Reserve a retry if one is available; it counts until it is used or released."""
        if not self.has_retry(now, unrun, begun):
            return False
        self._reserved += 1
        self._reserved_possibly_run += not unrun
        return True

    def use_reserved(self, now: float, unrun: bool = False) -> None:
        """Count a reserved retry as sent now."""
        self.release_reserved(unrun)
        self._retries.append(now)
        if not unrun:
            self._possibly_run_retries.append(now)

    def release_reserved(self, unrun: bool = False) -> None:
        """Return a reserved retry that is not sent."""
        self._reserved -= 1
        self._reserved_possibly_run -= not unrun

    def try_retry(self, now: float, unrun: bool = False) -> bool:
        """Take a retry from the window if one is available."""
        if not self.try_reserve(now, unrun):
            return False
        self.use_reserved(now, unrun)
        return True

    def next_s(self, now: float) -> float:
        """Return the time until a retry may be available, in seconds.

        No other request takes it meanwhile, and those that are reserved may be returned at once.
        """
        self._forget(now)
        missing = len(self._retries) + 1 - self._allowed
        if missing <= 0:
            return 0.0
        allowance_per_s = self._ratio * len(self._requests) / self._window_s
        allowance_s = missing / allowance_per_s if allowance_per_s else self._window_s
        oldest_s = self._retries[0] + self._window_s - now if self._retries else self._window_s
        return max(0.0, min(allowance_s, oldest_s))

    @property
    def _allowed(self) -> float:
        return self._ratio * len(self._requests) + self.extra

    def _forget(self, now: float) -> None:
        since = now - self._window_s
        for times in (self._requests, self._retries, self._possibly_run_retries):
            while times and times[0] <= since:
                times.popleft()


class CircuitState(Enum):
    """Whether requests are sent to an upstream."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Circuit:
    """Stops requests to an upstream after consecutive failures, then permits single trial requests.

    Parameters
    ----------
    threshold : int
        Consecutive failures that open the circuit.
    open_s : float
        Time for which it stays open, in seconds.
    """

    __slots__ = ("_failures", "_open_s", "_opened_at", "_threshold", "_trial_started_at")

    def __init__(self, threshold: int = 3, open_s: float = 2.0) -> None:
        self._threshold = threshold
        self._open_s = open_s
        self._failures = 0
        self._opened_at = float("-inf")
        self._trial_started_at = float("-inf")

    def state(self, now: float) -> CircuitState:
        """Return the state at a given time."""
        if self._failures < self._threshold:
            return CircuitState.CLOSED
        if now - self._opened_at < self._open_s:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent; does not count it."""
        state = self.state(now)
        if state is CircuitState.HALF_OPEN:
            return now - self._trial_started_at >= self._open_s
        return state is CircuitState.CLOSED

    def note_start(self, now: float) -> None:
        """Record that a request is being sent."""
        if self.state(now) is CircuitState.HALF_OPEN:
            self._trial_started_at = now

    def note_success(self) -> None:
        """Record a success."""
        self._failures = 0
        self._trial_started_at = float("-inf")

    def note_failure(self, now: float) -> None:
        """Record a failure."""
        self._failures += 1
        if self._failures >= self._threshold:
            self._opened_at = now
