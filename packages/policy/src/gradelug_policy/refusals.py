"""Who was refused a part of a quota lately, and comes back.

Load pattern: a third of the callers repeat at once and often what was refused, the others wait as
told for a part of the time that they have left. Tries of one request carry nothing in common but
what is asked, and the moment until which the caller waits.
"""

from __future__ import annotations

import math
import typing as t

MATCH_TOLERANCE_S = 0.06
"""Moments until which two tries wait that differ by less, in seconds, are the same: a question may
be on its way for as long as messages are gathered."""
MAX_REFUSALS = 8_192
"""So many are known of all organisations, 1 MB and a half; the oldest are forgotten."""


class Caller(t.NamedTuple):
    """Who asks for a part of a quota.

    Parameters
    ----------
    rank : int
        Urgency, 0 first.
    waits_s : float
        How long its caller still waits, in seconds.
    service : str
        Whose urgencies can be compared.
    value : float
        What an answer in time is worth, 1 for an ordinary urgent one.
    mark : int
        The same for all tries of one request; 0 if nothing tells.
    """

    rank: int = 0
    waits_s: float = math.inf
    service: str = ""
    value: float = 1.0
    mark: int = 0


UNKNOWN_CALLER = Caller()


class QuotaRefusal(t.NamedTuple):
    """What a refused caller was told, by the runtime's clock."""

    waits_until: float
    retry_at: float


class Refusals:
    """Callers that were refused and may come back."""

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[tuple[str, int], QuotaRefusal] = {}

    def __len__(self) -> int:
        return len(self._known)

    def find(self, organisation: str, caller: Caller, now: float) -> QuotaRefusal | None:
        """Return what a caller was told before, None if it seems to be new."""
        if not caller.mark:
            return None
        known = self._known.get((organisation, caller.mark))
        if known is None or abs(known.waits_until - now - caller.waits_s) > MATCH_TOLERANCE_S:
            return None
        return known

    def note(self, organisation: str, caller: Caller, retry_at: float, now: float) -> None:
        """Note what a caller is told."""
        if not caller.mark or math.isinf(caller.waits_s):
            return
        name = organisation, caller.mark
        self._known.pop(name, None)
        self._known[name] = QuotaRefusal(now + caller.waits_s, retry_at)
        if len(self._known) > MAX_REFUSALS:
            del self._known[next(iter(self._known))]

    def forget(self, organisation: str, caller: Caller) -> None:
        """Forget a caller that was served."""
        self._known.pop((organisation, caller.mark), None)
