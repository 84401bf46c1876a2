"""How many requests a second a replica takes from all instances together, as its answers say.

Load pattern: replicas in need name a limit in their answers, of some requests a second or of less
than one, change it and take it back, while any of hundreds of instances may send to them. Answers
on different connections overtake one another.
"""

from __future__ import annotations

import math
import typing as t

REORDER_TOLERANCE_S = 0.25
"""An answer that names no limit ends one only if its request was sent so much later than the limit
was heard, in seconds: an answer made before may arrive after."""


class LimitWord(t.NamedTuple):
    """What an answer says of its replica's limit.

    Parameters
    ----------
    rate : float or None
        Requests a second from all instances together; None if the answer names no limit.
    unreadable : str
        What stands in the limit's place and is no number; empty if that can be read.
    """

    rate: float | None = None
    unreadable: str = ""


class LimitFact(t.NamedTuple):
    """What an answer told of a limit, and when.

    Parameters
    ----------
    rate : float or None
        Requests a second; None if it named none.
    sent_at, heard_at : float
        When the request was sent and its answer came, by the runtime's clock: the answer was made
        between the two.
    """

    rate: float | None
    sent_at: float
    heard_at: float


class LimitRecord:
    """The limit of a replica, from answers that come in any order."""

    __slots__ = ("fact", "since")

    def __init__(self) -> None:
        self.fact = LimitFact(None, -math.inf, -math.inf)
        """The newest that is known."""
        self.since = -math.inf
        """When the limit in force was heard of first."""

    @property
    def rate(self) -> float | None:
        """Requests a second that the replica takes, None while it names no limit."""
        return self.fact.rate

    def note(self, fact: LimitFact) -> bool:
        """Take over what an answer told; tell whether the limit is another one now."""
        previous = self.fact.rate
        if fact.rate is None:
            self._note_none(fact)
        elif previous is None:
            if fact.heard_at > self.fact.sent_at:
                self.fact, self.since = fact, fact.heard_at
        else:
            self._note_rate(fact, previous)
        return self.fact.rate != previous

    def _note_none(self, fact: LimitFact) -> None:
        if self.fact.rate is None or fact.sent_at >= self.fact.heard_at + REORDER_TOLERANCE_S:
            self.fact = max(self.fact, fact, key=lambda candidate: candidate.sent_at)

    def _note_rate(self, fact: LimitFact, previous: float) -> None:
        """Of two answers of which either may be the newer one, the lower limit holds."""
        rate = fact.rate
        if rate is None or fact.heard_at < self.fact.sent_at:
            return
        if fact.sent_at < self.fact.heard_at:
            rate = min(rate, previous)
        heard_at = max(fact.heard_at, self.fact.heard_at)
        self.fact = LimitFact(rate, max(fact.sent_at, self.fact.sent_at), heard_at)
