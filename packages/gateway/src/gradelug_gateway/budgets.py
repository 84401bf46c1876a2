"""Retry budgets: how many retries this instance may make for each service.

All instances share one budget per service; each takes an equal share of it, by the number of
gateways that a planner reports.
"""

from __future__ import annotations

import contextlib
import math
import typing as t

from gradelug_policy import RetryWindow

BUDGET_FRACTION = 0.8
"""Fraction of the budget that is distributed; the remainder covers instances that start or stop."""
DEFAULT_GATEWAY_COUNT = 200
"""Number of instances that share the budget until a planner reports their count. It is the size of
the largest deployment, since all instances may restart at once and retry what their failure
interrupted. With a value of nine, 195 instances could spend 20 times the shared budget."""


COUNT_SETTLE_S = 3.0
"""Delay before the first count of a planner is used: instances that failed together reconnect one
by one, within one or two seconds of the planner's start."""
FOLLOW_TIMEOUT_S = 3.0
"""After this time without a connected planner, an instance may be missing from the count."""


class GatewayCount:
    """The number of instances that share a budget, from the counts that a planner reports.

    Instances that a planner does not count any more may still use their shares, until they detect
    that they are connected to no planner and take the minimum share. Their retries count for one
    more window, so no other share grows before that. This covers a power failure of all
    instances, after which the first one counted would take the whole budget, and a network
    partition that separates half of them.

    Parameters
    ----------
    window_s : float
        Length of the budget's window, in seconds.
    """

    __slots__ = ("_counts", "_followed_at", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: list[tuple[int, float]] = []
        """Counts and the time at which each expires, the largest count first."""
        self._followed_at = -math.inf

    def note(self, reported_count: int, now: float) -> int:
        """Record a reported count and return how many instances share the budget.

        Parameters
        ----------
        reported_count : int
            Number of gateways that the connected planner reports; 0 if none is connected.
        now : float
            Current time by the event loop's clock.
        """
        if reported_count:
            if now - self._followed_at > FOLLOW_TIMEOUT_S:
                self._counts = [(DEFAULT_GATEWAY_COUNT, now + COUNT_SETTLE_S)]
            self._followed_at = now
            kept = [
                (count, until)
                for count, until in self._counts
                if count > reported_count and until > now
            ]
            self._counts = [
                *kept,
                (reported_count, now + self._window_s + FOLLOW_TIMEOUT_S + COUNT_SETTLE_S),
            ]
        if now - self._followed_at > FOLLOW_TIMEOUT_S or not self._counts:
            return DEFAULT_GATEWAY_COUNT
        return self._counts[0][0]


class RetryReservation:
    """A retry of one request, taken from the budget before its attempt is sent.

    Parameters
    ----------
    window : RetryWindow
        The window in which it is reserved.
    unrun : bool
        Whether the request had certainly not run when it was reserved.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_is_open", "_unrun", "_window")

    def __init__(self, window: RetryWindow, unrun: bool, clock: t.Callable[[], float]) -> None:
        self._window = window
        self._unrun = unrun
        self._clock = clock
        self._is_open = True

    @property
    def is_open(self) -> bool:
        """Whether it was neither used nor released."""
        return self._is_open

    def use(self) -> None:
        """Count the retry as sent now."""
        if self._is_open:
            self._is_open = False
            self._window.use_reserved(self._clock(), self._unrun)

    def release(self) -> None:
        """Return the retry to the budget unless it was used."""
        if self._is_open:
            self._is_open = False
            self._window.release_reserved(self._unrun)


class RetryBudgets:
    """This instance's share of the retries that all instances may make, per service.

    Parameters
    ----------
    ratio : float
        Retries per request, of all instances.
    extra : float
        Additional retries in each window, of all instances.
    window_s : float
        Length of the windows, in seconds.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_clock", "_extra", "_ratio", "_share", "_window_s", "_windows")

    def __init__(
        self, ratio: float, extra: float, window_s: float, clock: t.Callable[[], float]
    ) -> None:
        self._ratio = ratio * BUDGET_FRACTION
        self._extra = extra * BUDGET_FRACTION
        self._window_s = window_s
        self._clock = clock
        self._windows: dict[str, RetryWindow] = {}
        self._share = 0.0
        self.share_among(DEFAULT_GATEWAY_COUNT)

    def share_among(self, gateways: int) -> None:
        """Divide the additional retries among instances.

        Parameters
        ----------
        gateways : int
            Number of instances that share the budget.
        """
        self._share = self._extra / max(1, gateways)
        for window in self._windows.values():
            window.extra = self._share

    def note_request(self, service: str) -> None:
        """Count a caller's request, which adds to the budget of its service."""
        self._window(service).note_request(self._clock())

    @contextlib.contextmanager
    def awaiting(self, service: str, begun: bool) -> t.Iterator[None]:
        """Leave a retry to a request while it waits for one, if its stream has begun."""
        window = self._window(service)
        window.awaited += begun
        try:
            yield
        finally:
            window.awaited -= begun

    def has_retry(self, service: str, begun: bool = False) -> bool:
        """Return whether a retry is available now for a request that may have run."""
        return self._window(service).has_retry(self._clock(), begun=begun)

    def reserve(
        self, service: str, unrun: bool = False, begun: bool = False
    ) -> RetryReservation | None:
        """Reserve a retry if one is available, otherwise return None.

        Parameters
        ----------
        service : str
            Name of the request's service.
        unrun : bool
            Whether the request has not run; some retries are then reserved for requests that may
            have run, which would otherwise fail.
        begun : bool
            Whether the request is a stream of which its caller has events; retries are left to
            such requests while they wait for one.
        """
        window = self._window(service)
        if not window.try_reserve(self._clock(), unrun, begun):
            return None
        return RetryReservation(window, unrun, self._clock)

    def seconds_to_retry(self, service: str) -> float:
        """Return the time until a retry may be available, in seconds."""
        return self._window(service).next_s(self._clock())

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(self._ratio, self._share, self._window_s)
            self._windows[service] = window
        return window
