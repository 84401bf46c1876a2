"""Limits on what callers send: the HTTP library has none of its own."""

from __future__ import annotations

import re
import typing as t
from dataclasses import dataclass, field

from circuits import BaseComponent, handler
from circuits.net.events import close, read, write

from .exceptions import ApiError
from .openai import error_body
from .settings import Limits

HEAD_END = b"\r\n\r\n"
IDLE_S = 75.0
LINGER_S = 1.0
"""A refused sender is listened to this much longer, so that it can read its answer."""
MAX_PIPELINED_BYTES = 65_536
_length_re = re.compile(rb"(?im)^content-length[ \t]*:[ \t]*([^\r\n]*?)[ \t]*\r$")
_chunked_re = re.compile(rb"(?im)^transfer-encoding[ \t]*:")
_REASONS = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}

Socket = t.Any


@dataclass(slots=True)
class _Connection:
    active_at: float
    head: bytearray = field(default_factory=bytearray)
    received: int = 0
    head_done: bool = False
    busy: bool = False
    refused: bool = False
    expected: int = 0
    """Length of the whole request, once its head has told it; 0 before, and if chunked."""
    pipelined: bytearray = field(default_factory=bytearray)

    @property
    def is_receiving(self) -> bool:
        """Whether a request has arrived in part."""
        return bool(self.received) and not (self.busy or self.refused)


class Guard(BaseComponent):
    """Stands before the HTTP component and refuses what exceeds the limits.

    Parameters
    ----------
    limits : Limits
        The limits.
    clock : callable
        The runtime's clock.
    feed : callable
        Hands a socket's bytes to the HTTP component.
    forget : callable
        Makes the HTTP component forget what it has of a socket.
    """

    channel = "web"

    def __init__(
        self,
        limits: Limits,
        clock: t.Callable[[], float],
        feed: t.Callable[[Socket, bytes], None],
        forget: t.Callable[[Socket], None],
    ) -> None:
        super().__init__()
        self._limits = limits
        self._clock = clock
        self._feed = feed
        self._forget = forget
        self._connections: dict[Socket, _Connection] = {}
        self.refusals = 0

    def __len__(self) -> int:
        return len(self._connections)

    @handler("connect", priority=10)
    def _on_connect(self, sock: Socket, *_: t.Any) -> None:
        self._connections[sock] = _Connection(self._clock())
        if len(self._connections) > self._limits.connections:
            self._refuse(
                sock, ApiError(503, "connections", "too many connections", retry_after_s=1)
            )

    @handler("disconnect", priority=10)
    def _on_disconnect(self, sock: Socket) -> None:
        self._connections.pop(sock, None)
        self._forget(sock)

    @handler("read", priority=10)
    def _on_read(self, event: t.Any, sock: Socket, data: bytes) -> None:
        # The HTTP component takes all that it reads for one request, so it is handed the
        # bytes of one request at a time.
        event.stop()
        conn = self._connections.get(sock)
        if conn is None or conn.refused:
            return
        if conn.busy:
            self._pipeline(sock, conn, data)
            return
        if not conn.received:
            conn.active_at = self._clock()
        conn.received += len(data)
        wrong = self._check(conn, data)
        if wrong is not None:
            self._refuse(sock, wrong)
            return
        excess = max(0, conn.received - conn.expected) if conn.expected else 0
        own = data[: len(data) - excess]
        conn.busy = bool(conn.expected) and conn.received >= conn.expected
        self._feed(sock, own)
        if excess:
            self._pipeline(sock, conn, data[len(own) :])

    @handler("request", priority=10)
    def _on_request(self, req: t.Any, *_: t.Any) -> None:
        conn = self._connections.get(req.sock)
        if conn is not None:
            conn.busy = True

    def finished(self, sock: Socket) -> None:
        """Note that a request has its answer; the next one may be read."""
        conn = self._connections.get(sock)
        if conn is None:
            return
        pipelined = bytes(conn.pipelined)
        self._connections[sock] = _Connection(self._clock())
        if pipelined:
            self.fire(read(sock, pipelined), "web")

    @property
    def is_receiving(self) -> bool:
        """Whether a request has arrived in part."""
        return any(conn.is_receiving for conn in self._connections.values())

    def has_next(self, sock: Socket) -> bool:
        """Return whether a further request has begun to arrive behind the current one."""
        conn = self._connections.get(sock)
        return conn is not None and bool(conn.pipelined)

    def refuse_incomplete(self) -> None:
        """Refuse the requests that have arrived in part, because the process stops."""
        for sock, conn in list(self._connections.items()):
            if conn.is_receiving:
                self._refuse(sock, ApiError(503, "stopping", "the router stops", retry_after_s=1))

    def sweep(self) -> None:
        """Refuse senders that are too slow, close connections that are idle."""
        now = self._clock()
        for sock, conn in list(self._connections.items()):
            if conn.busy:
                continue
            age_s = now - conn.active_at
            if conn.refused and age_s > LINGER_S:
                self.fire(close(sock), "web")
            elif conn.refused:
                continue
            elif conn.received and age_s > self._limits.read_s:
                self._refuse(sock, ApiError(408, "slow_request", "the request took too long"))
            elif not conn.received and age_s > IDLE_S:
                self.fire(close(sock), "web")

    def _check(self, conn: _Connection, data: bytes) -> ApiError | None:
        limits = self._limits
        if not conn.head_done:
            conn.head += data
            end = conn.head.find(HEAD_END)
            size = end if end >= 0 else len(conn.head)
            if size > limits.header_bytes:
                return ApiError(431, "headers_too_large", f"over {limits.header_bytes} bytes")
            if end < 0:
                return None
            conn.head_done = True
            wrong = self._check_framing(conn, bytes(conn.head[: end + 2]))
            conn.head = bytearray()
            if wrong is not None:
                return wrong
        if conn.received > limits.body_bytes + limits.header_bytes:
            return ApiError(413, "body_too_large", f"over {limits.body_bytes} bytes")
        return None

    def _check_framing(self, conn: _Connection, head: bytes) -> ApiError | None:
        lengths = _length_re.findall(head)
        chunked = _chunked_re.search(head)
        if len(lengths) > 1 or not all(map(bytes.isdigit, lengths)) or (lengths and chunked):
            return ApiError(400, "bad_framing", "Content-Length must be one whole number")
        length = int(lengths[0]) if lengths else 0
        if length > self._limits.body_bytes:
            return ApiError(413, "body_too_large", f"over {self._limits.body_bytes} bytes")
        if not chunked:
            conn.expected = len(head) - 2 + len(HEAD_END) + length
        return None

    def _pipeline(self, sock: Socket, conn: _Connection, data: bytes) -> None:
        conn.pipelined += data
        if len(conn.pipelined) > MAX_PIPELINED_BYTES:
            self.fire(close(sock), "web")

    def _refuse(self, sock: Socket, exc: ApiError) -> None:
        conn = self._connections[sock]
        conn.refused = True
        conn.active_at = self._clock()
        self.refusals += 1
        self._forget(sock)
        body = error_body(exc, "")
        retry = b"Retry-After: 1\r\n" if exc.retry_after_s else b""
        head = (
            f"HTTP/1.1 {exc.status} {_REASONS[exc.status]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Gradelug-Outcome: not-run\r\n"
            "Connection: close\r\n"
        ).encode()
        self.fire(write(sock, head + retry + b"\r\n" + body), "web")
