"""How often this instance may send requests again, for each service."""

from __future__ import annotations

import math
import typing as t

from gradelug_policy import RetryWindow

BUDGET_SHARE = 0.8
"""Part of the repeated sendings that is given out; the rest covers instances that come and go."""
GATEWAYS_GUESS = 200
"""Instances among which the budget is shared until a planner tells how many there are: as many as
the largest deployment has, since all of them may start at once and repeat what the loss of all of
them broke off. With nine in its place 195 of them could spend 20 times what they share."""


COUNT_SETTLE_S = 3.0
"""Instances that were lost together are counted again one by one, within a second or two of a
planner: a first count is believed after this time, in seconds."""
FOLLOW_TIMEOUT_S = 3.0
"""An instance that has followed no planner for so long, in seconds, may be counted no more."""


class GatewayCount:
    """How many instances share a budget, from what a planner tells.

    Those that a planner does not count any more may go on with their shares. They notice that they
    follow none, take the least share, and what they have repeated counts for a window more: until
    then nobody's share grows. Load patterns: all instances lose power and the first to be counted
    again would take all of the budget for its own; half of them are cut off.

    Parameters
    ----------
    window_s : float
        Length of the windows of the budget, in seconds.
    """

    __slots__ = ("_counts", "_followed_at", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._counts: list[tuple[int, float]] = []
        """Counts that hold until a moment, the greatest first."""
        self._followed_at = -math.inf

    def note(self, reported_count: int, now: float) -> int:
        """Take over a count and return among how many instances to share.

        Parameters
        ----------
        told : int
            How many a planner that is followed tells of; 0 if none is followed.
        now : float
            By the runtime's clock.
        """
        if reported_count:
            if now - self._followed_at > FOLLOW_TIMEOUT_S:
                self._counts = [(GATEWAYS_GUESS, now + COUNT_SETTLE_S)]
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
            return GATEWAYS_GUESS
        return self._counts[0][0]


class RetryBudgets:
    """This instance's share of what all instances may send again.

    Parameters
    ----------
    ratio : float
        Repeated sendings per request, of all instances.
    extra : float
        Repeated sendings beyond that in each window, of all instances.
    window_s : float
        Length of the windows, in seconds.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_extra", "_ratio", "_share", "_window_s", "_windows")

    def __init__(
        self, ratio: float, extra: float, window_s: float, clock: t.Callable[[], float]
    ) -> None:
        self._ratio = ratio * BUDGET_SHARE
        self._extra = extra * BUDGET_SHARE
        self._window_s = window_s
        self._clock = clock
        self._windows: dict[str, RetryWindow] = {}
        self._share = 0.0
        self.share_among(GATEWAYS_GUESS)

    def share_among(self, gateways: int) -> None:
        """Share the sendings that no request has earned among so many instances."""
        self._share = self._extra / max(1, gateways)
        for window in self._windows.values():
            window.extra = self._share

    def note_request(self, service: str) -> None:
        """Count a caller's request."""
        self._window(service).note_request(self._clock())

    def has_retry(self, service: str) -> bool:
        """Tell whether a request may be sent again now."""
        return self._window(service).has_retry(self._clock())

    def try_retry(self, service: str, unrun: bool = False) -> bool:
        """Take a repeated sending from the budget if there is one.

        Parameters
        ----------
        service : str
            Where the request goes.
        unrun : bool
            Whether it has not run: it leaves some to those that end failed without.
        """
        return self._window(service).try_retry(self._clock(), unrun)

    def next_s(self, service: str) -> float:
        """Return when there may be a repeated sending again, in seconds."""
        return self._window(service).next_s(self._clock())

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(self._ratio, self._share, self._window_s)
            self._windows[service] = window
        return window
