"""Whether a request may have run at a replica, across all of its attempts.

A request that was sent may have run until the replica's own response to that send proves that it
did not. A reset, a timeout or a response of another send proves nothing. All attempts of a request
carry the caller's identifier, so a response is told from those of earlier attempts only by its
connection: no connection carries the same request twice.

A caller takes some statuses for a promise that the request was not run. They are sent only with
such a proof; a replica's own status without one is not passed on.
"""

from __future__ import annotations

from gradelug_http import Connection

from .requests import NotRunProof

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


class ExecutionRecord:
    """The sends of one request that may have run it."""

    __slots__ = ("_connections", "_unproven")

    def __init__(self) -> None:
        self._connections: set[int] = set()
        """Numbers of the connections that have carried the request."""
        self._unproven = 0

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run the request, or may run it later."""
        return self._unproven > 0

    def may_use(self, conn: Connection) -> bool:
        """Return whether a connection has not carried the request yet."""
        return conn.number not in self._connections

    def note_sent(self, conn: Connection) -> None:
        """Record that the request was handed over to a connection."""
        self._connections.add(conn.number)
        self._unproven += 1

    def note_response(self, proof: NotRunProof) -> None:
        """Record what a whole response to the last send proves."""
        if proof is not NotRunProof.NONE:
            self._unproven -= 1
