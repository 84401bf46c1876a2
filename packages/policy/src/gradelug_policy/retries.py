"""Retries that cannot become a storm, and upstreams that are left alone while they fail."""

from __future__ import annotations

from enum import Enum

RETRY_RATIO = 0.1
RETRY_BURST = 10.0


class RetryBudget:
    """Allows retries as a share of first attempts.

    Parameters
    ----------
    ratio : float
        Retries per first attempt in the long run.
    burst : float
        Retries that may be saved up.
    """

    __slots__ = ("_balance", "_burst", "_ratio")

    def __init__(self, ratio: float = RETRY_RATIO, burst: float = RETRY_BURST) -> None:
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def set_burst(self, burst: float) -> None:
        """Change how many retries may be saved up."""
        self._burst = burst
        self._balance = min(self._balance, burst)

    def note_attempt(self) -> None:
        """Count a first attempt."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def try_retry(self) -> bool:
        """Take a retry from the budget if there is one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class CircuitState(Enum):
    """Whether an upstream is tried."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class Circuit:
    """Stops trying an upstream after failures in a row, then lets one request try it.

    Parameters
    ----------
    threshold : int
        Failures in a row that open the circuit.
    open_s : float
        How long it stays open, in seconds.
    """

    __slots__ = ("_failures", "_open_s", "_opened_at", "_threshold", "_trying_since")

    def __init__(self, threshold: int = 3, open_s: float = 2.0) -> None:
        self._threshold = threshold
        self._open_s = open_s
        self._failures = 0
        self._opened_at = float("-inf")
        self._trying_since = float("-inf")

    def state(self, now: float) -> CircuitState:
        """Return the state at this moment."""
        if self._failures < self._threshold:
            return CircuitState.CLOSED
        if now - self._opened_at < self._open_s:
            return CircuitState.OPEN
        return CircuitState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Tell whether a request may be sent; does not count it."""
        state = self.state(now)
        if state is CircuitState.HALF_OPEN:
            return now - self._trying_since >= self._open_s
        return state is CircuitState.CLOSED

    def note_start(self, now: float) -> None:
        """Note that a request is being sent."""
        if self.state(now) is CircuitState.HALF_OPEN:
            self._trying_since = now

    def note_success(self) -> None:
        """Note an answer."""
        self._failures = 0
        self._trying_since = float("-inf")

    def note_failure(self, now: float) -> None:
        """Note a failure."""
        self._failures += 1
        if self._failures >= self._threshold:
            self._opened_at = now
