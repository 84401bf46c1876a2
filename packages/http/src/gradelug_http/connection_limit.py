"""Keeps the connections of callers to a part of the descriptors of the process."""

from __future__ import annotations

import resource
import typing as t
from collections import deque

FILE_DESCRIPTORS = 200
"""Descriptors that are kept for files."""
CALLERS_PART = 0.5
"""Part of the others that callers may take; each request may need one for its replica as well."""
MIN_REST_S = 1.0
"""A connection that has rested for less is not closed for a newer one."""
SCAN_INTERVAL_S = 0.25


def max_caller_connections(max_fds: int = 0) -> int:
    """Return how many connections of callers the process may have, 0 for any number.

    Parameters
    ----------
    max_fds : int
        Descriptors that its settings allow; 0 if only the limit of the process counts.
    """
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    limits = [count for count in (limit, max_fds) if count not in (0, resource.RLIM_INFINITY)]
    if not limits:
        return 0
    return max(1, round(CALLERS_PART * (min(limits) - FILE_DESCRIPTORS)))


class Resting(t.Protocol):
    """A connection that may rest."""

    def is_idle(self) -> bool:
        """Tell whether nothing is being received or served."""
        ...

    @property
    def rested_at(self) -> float:
        """When it began to rest, if it does."""
        ...

    @property
    def is_unused(self) -> bool:
        """Whether no request has been answered on it yet."""
        ...


R = t.TypeVar("R", bound=Resting)


class RestingConnections(t.Generic[R]):
    """Chooses connections that are closed for newer ones.

    Those on which no request has been answered yet go first, then those that have rested for
    longest.
    """

    __slots__ = ("_chosen", "_scanned_at")

    def __init__(self) -> None:
        self._chosen: deque[R] = deque()
        self._scanned_at = float("-inf")

    def take(self, conns: t.Iterable[R], now: float) -> R | None:
        """Return the next connection to close, None if none has rested for long enough.

        Parameters
        ----------
        conns : iterable of Resting
            All connections.
        now : float
            Time by the runtime's clock.
        """
        if not self._chosen and now - self._scanned_at >= SCAN_INTERVAL_S:
            self._scan(conns, now)
        while self._chosen:
            conn = self._chosen.popleft()
            if _may_close(conn, now):
                return conn
        return None

    def _scan(self, conns: t.Iterable[R], now: float) -> None:
        self._scanned_at = now
        resting = [conn for conn in conns if _may_close(conn, now)]
        resting.sort(key=lambda conn: (not conn.is_unused, conn.rested_at))
        self._chosen.extend(resting)


def _may_close(conn: Resting, now: float) -> bool:
    return conn.is_idle() and now - conn.rested_at >= MIN_REST_S
