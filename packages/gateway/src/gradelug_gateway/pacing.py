"""Message intervals between a planner and its gateways, adjusted to the message rate.

Used by a planner on every tick to set the interval of its updates and the batching interval of its
gateways, so that its CPU load stays bounded in a large fleet.
"""

from __future__ import annotations

UPDATE_INTERVAL_S = 0.05
"""Minimum interval between the planner's updates to its gateways, in seconds."""
UPDATE_INTERVAL_S_PER_GATEWAY = 0.003
"""Update interval per connected gateway, in seconds. It limits updates to about 330 messages a
second in total."""
MIN_HOLDINGS_INTERVAL_S = 1.0
"""Minimum interval between updates of held weights to gateways that ask the planner first, in
seconds: held weights are most of the bytes of an update, and those gateways use them only while no
planner responds."""
MAX_PLACEMENT_STATE_AGE_S = 0.1
"""Maximum age of engine state that is useful to choose an engine, in seconds: a load takes 0.25 s,
and callers want a first event within a second."""
MIN_FLUSH_INTERVAL_S = 0.04
"""Minimum interval between a gateway's reports of its loads and ended requests, in seconds."""
MAX_FLUSH_S_PER_GATEWAY = 0.0025
"""Upper limit of the report interval per connected gateway, in seconds; 400 messages a second in
total."""
TARGET_MESSAGES_PER_S = 800.0
"""Target rate of messages received by a planner, per second: at 0.17 ms each, including grpclib, a
seventh of a core."""
MAX_ASKED_STARTS_PER_S = 600.0
"""Rate of requests up to which gateways ask the planner for each one, per second: at 0.3 ms each, a
fifth of a core. Above it, gateways rely on their own copy of the locations of weights."""
RATE_WINDOW_S = 1.0
"""Time window of the averaged rates, in seconds."""


class Pacing:
    """Averaged rates of gateways' messages, and the intervals derived from them.

    Parameters
    ----------
    now : float
        Time of the runtime's clock, in seconds.
    """

    __slots__ = ("_at", "_gateways", "_messages", "_starts", "flush_s", "messages", "starts")

    def __init__(self, now: float) -> None:
        self._at = now
        self._gateways = 0
        self._messages = 0
        self._starts = 0
        self.messages = 0.0
        """Messages received from gateways, per second."""
        self.starts = 0.0
        """Requests started by gateways, per second."""
        self.flush_s = MIN_FLUSH_INTERVAL_S
        """Interval at which gateways batch their reports, in seconds."""

    @property
    def update_interval_s(self) -> float:
        """Interval between the planner's updates, in seconds."""
        return max(UPDATE_INTERVAL_S, UPDATE_INTERVAL_S_PER_GATEWAY * self._gateways)

    @property
    def ask_first(self) -> bool:
        """Whether gateways ask the planner even for weights with known locations, as their state is
        stale."""
        return (
            self.update_interval_s > MAX_PLACEMENT_STATE_AGE_S
            and self.starts <= MAX_ASKED_STARTS_PER_S
        )

    @property
    def holdings_interval_s(self) -> float:
        """Interval between updates of held weights, in seconds."""
        return (
            max(MIN_HOLDINGS_INTERVAL_S, self.update_interval_s)
            if self.ask_first
            else self.update_interval_s
        )

    def set_gateway_count(self, gateways: int) -> None:
        """Set the number of connected gateways."""
        if gateways > self._gateways:
            # New gateways send their full state at once, and their rate is unknown yet.
            self.flush_s = max(self.flush_s, MAX_FLUSH_S_PER_GATEWAY * gateways)
        self._gateways = gateways

    def count_message(self, starts: int) -> None:
        """Count a message of a gateway, and the requests that it reports as started."""
        self._messages += 1
        self._starts += starts

    def update_rates(self, now: float) -> None:
        """Update the averaged rates and the report interval of gateways."""
        elapsed_s = now - self._at
        if elapsed_s <= 0:
            return
        weight = min(1.0, elapsed_s / RATE_WINDOW_S)
        self.messages += weight * (self._messages / elapsed_s - self.messages)
        self.starts += weight * (self._starts / elapsed_s - self.starts)
        self._at, self._messages, self._starts = now, 0, 0
        max_flush_s = max(MIN_FLUSH_INTERVAL_S, MAX_FLUSH_S_PER_GATEWAY * self._gateways)
        target_flush_s = self.flush_s * self.messages / TARGET_MESSAGES_PER_S
        self.flush_s = min(max_flush_s, max(MIN_FLUSH_INTERVAL_S, target_flush_s))
