"""A caller's request that has arrived whole, and the way to answer it."""

from __future__ import annotations

import typing as t

import h11

from .headers import Header, Headers, find

if t.TYPE_CHECKING:
    from .server_connection import ServerConnection


class Incoming:
    """A request that arrived whole, and the way to answer it.

    Parameters
    ----------
    conn : ServerConnection
        Where it came in.
    req : h11.Request
        Its head.
    body : bytes
        Its body, without framing.
    arrived_at : float
        When its first byte came, by the runtime's clock.
    """

    __slots__ = (
        "_conn",
        "arrived_at",
        "body",
        "ended",
        "headers",
        "method",
        "started",
        "target",
    )

    def __init__(
        self, conn: ServerConnection, req: h11.Request, body: bytes, arrived_at: float
    ) -> None:
        self._conn = conn
        self.method = req.method
        self.target = req.target
        self.headers: tuple[Header, ...] = tuple(req.headers.raw_items())
        self.body = body
        self.arrived_at = arrived_at
        self.started = False
        """Whether an answer has begun."""
        self.ended = False
        """Whether the answer is whole."""

    def header(self, name: bytes) -> bytes | None:
        """Return a header's first value, `name` in lower case."""
        return find(self.headers, name)

    @property
    def held_up_s(self) -> float:
        """How long the client has let the answer lie unread, in seconds."""
        return self._conn.held_up_s

    @property
    def connected_at(self) -> float:
        """When its connection was opened, by the runtime's clock."""
        return self._conn.opened_at

    def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Answer whole; raises `ClientGone`."""
        self._head(status, [*headers, (b"Content-Length", b"%d" % len(body))])
        if body and self.method != b"HEAD":
            self._conn.send_event(h11.Data(data=body))
        self.finish()

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer of unknown length; raises `ClientGone`."""
        self._conn.begin_unsized()
        self._head(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part, waiting for a client that reads slowly; raises `ClientGone`."""
        self._conn.send_event(h11.Data(data=data))
        await self._conn.wait_sent()

    def finish(self) -> None:
        """End the answer as whole; raises `ClientGone`."""
        self._conn.send_event(h11.EndOfMessage())
        self.ended = True

    def _head(self, status: int, headers: Headers) -> None:
        sent = [*headers]
        if self._conn.is_last:
            sent.append((b"Connection", b"close"))
        else:
            sent.extend(self._conn.keep_alive_headers())
        self._conn.send_event(h11.Response(status_code=status, headers=sent))
        self.started = True
