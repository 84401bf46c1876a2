"""Answers whose end is marked by the end of their connection alone.

A caller of HTTP/1.0 gets no chunks, so an orderly close makes a cut answer look complete (RFC 9112,
6.3). The connections of such answers are reset unless the answer is whole.
"""

from __future__ import annotations

import socket
import struct
import typing as t


class UnsizedAnswers:
    """Sockets on which such an answer has begun, and those on which it has ended."""

    __slots__ = ("_begun", "_ending")

    def __init__(self) -> None:
        self._begun: set[t.Any] = set()
        self._ending: set[t.Any] = set()

    def __contains__(self, sock: t.Any) -> bool:
        return sock in self._begun

    def begin(self, sock: t.Any) -> None:
        """Have the kernel reset a connection when it is closed, also if this process dies."""
        self._begun.add(sock)
        _reset_on_close(sock, True)

    def end(self, sock: t.Any) -> None:
        """Note that the answer is whole, while a part of it may be unsent."""
        self._ending.add(sock)

    def note_sent(self, sock: t.Any) -> bool:
        """Let a connection be closed in order if its answer is whole; return whether it is."""
        if sock not in self._ending:
            return False
        _reset_on_close(sock, False)
        self.forget(sock)
        return True

    def forget(self, sock: t.Any) -> None:
        """Drop a connection."""
        self._begun.discard(sock)
        self._ending.discard(sock)


def _reset_on_close(sock: t.Any, is_on: bool) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", is_on, 0))
