"""Stores recent refusals of quota requests, to recognise their retries.

Load pattern: a third of the callers retry a refused request at once and often, the others wait for
the given time if it is short enough compared with their remaining time. Tries of one request share
nothing but their content and the time until which the caller waits.
"""

from __future__ import annotations

import math
import typing as t

MATCH_TOLERANCE_S = 0.06
"""Maximum difference between the waiting deadlines of two tries of one request, in seconds;
messages are batched for up to this time."""
MAX_REFUSALS = 8_192
"""Maximum number of stored refusals of all organisations, 1.5 MB; the oldest are removed."""


class Caller(t.NamedTuple):
    """Origin of a request for a part of a quota.

    Parameters
    ----------
    rank : int
        Urgency, 0 for the most urgent.
    waits_s : float
        Time for which the caller still waits, in seconds.
    service : str
        Service within which urgencies are comparable.
    value : float
        Value of an answer in time, 1 for an ordinary urgent request.
    mark : int
        Fingerprint that all tries of one request share; 0 if unknown.
    """

    rank: int = 0
    waits_s: float = math.inf
    service: str = ""
    value: float = 1.0
    fingerprint: int = 0


UNKNOWN_CALLER = Caller()


class QuotaRefusal(t.NamedTuple):
    """End of the caller's waiting time and its retry time, by the runtime's clock."""

    waits_until: float
    retry_at: float


class Refusals:
    """Refused callers that may retry."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[tuple[str, int], QuotaRefusal] = {}

    def __len__(self) -> int:
        return len(self._known)

    def find(self, organisation: str, caller: Caller, now: float) -> QuotaRefusal | None:
        """Return the earlier refusal of a caller, None if there is none."""
        if not caller.fingerprint:
            return None
        known = self._known.get((organisation, caller.fingerprint))
        if known is None or abs(known.waits_until - now - caller.waits_s) > MATCH_TOLERANCE_S:
            return None
        return known

    def note(self, organisation: str, caller: Caller, retry_at: float, now: float) -> None:
        """Record the retry time given to a caller."""
        if not caller.fingerprint or math.isinf(caller.waits_s):
            return
        name = organisation, caller.fingerprint
        self._known.pop(name, None)
        self._known[name] = QuotaRefusal(now + caller.waits_s, retry_at)
        if len(self._known) > MAX_REFUSALS:
            del self._known[next(iter(self._known))]

    def forget(self, organisation: str, caller: Caller) -> None:
        """Remove the refusal of a caller that was served."""
        self._known.pop((organisation, caller.fingerprint), None)
