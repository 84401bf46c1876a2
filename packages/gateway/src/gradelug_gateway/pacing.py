"""How often a planner and its gateways speak to each other, from how much there is to say."""

from __future__ import annotations

NEWS_S = 0.05
"""News are gathered this long and told to everybody in one message."""
UPDATE_INTERVAL_S_PER_GATEWAY = 0.003
"""With many gateways news are rarer: telling them costs 330 messages a second however many."""
MIN_HOLDINGS_INTERVAL_S = 1.0
"""What is held is told no more often than this to gateways that ask first: it is most of the bytes
of news, and they use it only while no planner answers."""
FRESH_S = 0.1
"""What is known of engines for longer does not tell where a request had better run: a load takes
0.25 s, and callers want a first event within a second."""
FLUSH_S = 0.04
"""What ends and how much runs is told by a gateway in messages at least so far apart."""
MAX_FLUSH_S_PER_GATEWAY = 0.0025
"""The most that they are spaced, for each gateway: 400 messages a second however many."""
TARGET_MESSAGES_PER_S = 800.0
"""Messages that a planner takes a second: 0.17 ms each, grpclib's part included, is a seventh of a
core."""
STARTS_PER_S = 600.0
"""Requests a second up to which each is asked for: 0.3 ms each is a fifth of a core. With more,
gateways rely on what they were told of weights that are held."""
RATE_WINDOW_S = 1.0
"""Time over which rates are taken."""


class Pacing:
    """Rates of what gateways say, and what follows from them.

    Parameters
    ----------
    now : float
        By the runtime's clock, in seconds.
    """

    __slots__ = ("_at", "_gateways", "_messages", "_starts", "flush_s", "messages", "starts")

    def __init__(self, now: float) -> None:
        self._at = now
        self._gateways = 0
        self._messages = 0
        self._starts = 0
        self.messages = 0.0
        """Messages of gateways a second."""
        self.starts = 0.0
        """Requests that begin a second."""
        self.flush_s = FLUSH_S
        """How long gateways are to gather what they tell, in seconds."""

    @property
    def news_s(self) -> float:
        """How long news are gathered, in seconds."""
        return max(NEWS_S, UPDATE_INTERVAL_S_PER_GATEWAY * self._gateways)

    @property
    def ask_first(self) -> bool:
        """Whether gateways ask also for weights that they know of, since their news are old."""
        return self.news_s > FRESH_S and self.starts <= STARTS_PER_S

    @property
    def holdings_interval_s(self) -> float:
        """How long changes of what is held are gathered, in seconds."""
        return max(MIN_HOLDINGS_INTERVAL_S, self.news_s) if self.ask_first else self.news_s

    def note_gateways(self, gateways: int) -> None:
        """Note how many gateways there are."""
        if gateways > self._gateways:
            # Those that come tell all at once; there is no rate of them yet.
            self.flush_s = max(self.flush_s, MAX_FLUSH_S_PER_GATEWAY * gateways)
        self._gateways = gateways

    def note_message(self, starts: int) -> None:
        """Count a gateway's message, and the requests that it says have begun."""
        self._messages += 1
        self._starts += starts

    def step(self, now: float) -> None:
        """Take the rates anew."""
        passed_s = now - self._at
        if passed_s <= 0:
            return
        weight = min(1.0, passed_s / RATE_WINDOW_S)
        self.messages += weight * (self._messages / passed_s - self.messages)
        self.starts += weight * (self._starts / passed_s - self.starts)
        self._at, self._messages, self._starts = now, 0, 0
        most_s = max(FLUSH_S, MAX_FLUSH_S_PER_GATEWAY * self._gateways)
        wanted_s = self.flush_s * self.messages / TARGET_MESSAGES_PER_S
        self.flush_s = min(most_s, max(FLUSH_S, wanted_s))
