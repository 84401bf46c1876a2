"""Tracks the request rate that a replica accepts from all instances, as reported by its answers.

Load pattern: overloaded replicas report a limit in their answers, of a few requests per second or
less than one, change it and withdraw it, while hundreds of instances may send to them. Answers on
different connections arrive out of order.
"""

from __future__ import annotations

import math
import typing as t

REORDER_TOLERANCE_S = 0.25
"""An answer without a limit ends a limit only if its request was sent at least this long after the
limit was received, in seconds, since an earlier answer may arrive later."""


class ReportedLimit(t.NamedTuple):
    """Limit reported by an answer.

    Parameters
    ----------
    rate : float or None
        Requests per second from all instances together; None if the answer reports no limit.
    invalid_text : str
        Reported value that is not a number; empty if there is none.
    burst : float
        Maximum number of requests at once; infinite if only the rate is limited.
    """

    rate: float | None = None
    invalid_text: str = ""
    burst: float = math.inf


class LimitFact(t.NamedTuple):
    """Observation of a limit, or of its absence, in an answer.

    Parameters
    ----------
    rate : float or None
        Requests per second; None if no limit was reported.
    sent_at, heard_at : float
        Time at which the request was sent and its answer received, by the runtime's clock. The
        answer was created between the two.
    burst : float
        Maximum number of requests at once; infinite if only the rate is limited.
    """

    rate: float | None
    sent_at: float
    received_at: float
    burst: float = math.inf


class ReplicaLimit:
    """Current limit of a replica, from answers in any order."""

    __slots__ = ("fact", "since")

    def __init__(self) -> None:
        self.fact = LimitFact(None, -math.inf, -math.inf)
        """Most recent observation."""
        self.since = -math.inf
        """Time at which the limit in force was first received."""

    @property
    def rate(self) -> float | None:
        """Requests per second that the replica accepts, None while it reports no limit."""
        return self.fact.rate

    @property
    def burst(self) -> float:
        """Maximum number of requests at once."""
        return self.fact.burst

    def note(self, fact: LimitFact) -> bool:
        """Apply an observation; return whether the limit changed."""
        previous = self.fact.rate
        if fact.rate is None:
            self._note_none(fact)
        elif previous is None:
            if fact.received_at > self.fact.sent_at:
                self.fact, self.since = fact, fact.received_at
        else:
            self._note_rate(fact, previous)
        return self.fact.rate != previous

    def _note_none(self, fact: LimitFact) -> None:
        if self.fact.rate is None or fact.sent_at >= self.fact.received_at + REORDER_TOLERANCE_S:
            self.fact = max(self.fact, fact, key=lambda candidate: candidate.sent_at)

    def _note_rate(self, fact: LimitFact, previous: float) -> None:
        """Apply a limit; if the order of two answers is unknown, the lower limit holds."""
        rate = fact.rate
        if rate is None or fact.received_at < self.fact.sent_at:
            return
        if fact.sent_at < self.fact.received_at:
            rate = min(rate, previous)
        heard_at = max(fact.received_at, self.fact.received_at)
        burst = min(fact.burst, self.fact.burst) if rate != fact.rate else fact.burst
        self.fact = LimitFact(rate, max(fact.sent_at, self.fact.sent_at), heard_at, burst)


def request_interval_s(rate: float, max_s: float) -> float:
    """Return the mean time between two requests at a limit, `max_s` at most, in seconds."""
    return min(max_s, 1 / max(rate, 1 / max_s))
