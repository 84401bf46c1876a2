"""How often this instance may send requests again, for each service."""

from __future__ import annotations

import typing as t

from gradelug_policy import RetryWindow

BUDGET_SHARE = 0.8
"""Part of the repeated sendings that is given out; the rest covers instances that come and go."""
GATEWAYS_GUESS = 200
"""Instances among which the budget is shared until a planner tells how many there are: as many as
the largest deployment has, since all of them may start at once and repeat what the loss of all of
them broke off. With nine in its place 195 of them could spend 20 times what they share."""


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

    def try_retry(self, service: str) -> bool:
        """Take a repeated sending from the budget if there is one."""
        return self._window(service).try_retry(self._clock())

    def _window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = RetryWindow(self._ratio, self._share, self._window_s)
            self._windows[service] = window
        return window
