"""Decodes chunked bodies of requests, a bounded number of chunks at a time."""

from __future__ import annotations

import re

from .exceptions import MalformedRequest

MAX_LINE_BYTES = 4_096
"""Longest line with the size of a chunk, extensions included."""
FRAMING_PER_BYTE = 16
"""Bytes of framing for each byte of a body; chunks of one byte have five."""
FRAMING_BYTES = 65_536
"""Bytes of framing that each body may have beyond that."""
_line_re = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?[ \t]*\r\n")


class ChunkDecoder:
    """Moves the content of chunks from a buffer to a body.

    The buffer keeps what cannot be decoded yet, and what follows the last chunk.
    """

    __slots__ = ("_framing_bytes", "_left", "has_more", "is_last")

    def __init__(self) -> None:
        self._left = 0
        """Bytes that remain of the current chunk, its line end included."""
        self._framing_bytes = 0
        self.is_last = False
        """Whether the last chunk was read; the trailer follows it."""
        self.has_more = False
        """Whether it stopped at the bound on its work, and not for want of bytes."""

    def decode(self, buffer: bytearray, body: bytearray, max_chunks: int) -> None:
        """Decode some chunks.

        Parameters
        ----------
        buffer : bytearray
            What arrived; decoded bytes are removed from it.
        body : bytearray
            Receives the content.
        max_chunks : int
            How many chunks are decoded.

        Raises
        ------
        MalformedRequest
            If the framing is not that of chunks, or too much of it is framing.
        """
        size = len(body)
        self.has_more = False
        at = self._read_chunks(buffer, body, max_chunks)
        self._framing_bytes += at - (len(body) - size)
        if self._framing_bytes > FRAMING_BYTES + FRAMING_PER_BYTE * len(body):
            raise MalformedRequest(400, f"{self._framing_bytes} bytes of framing in a body")
        del buffer[:at]

    def _read_chunks(self, buffer: bytearray, body: bytearray, max_chunks: int) -> int:
        """Return how many bytes of the buffer were decoded."""
        at, end = 0, len(buffer)
        match = _line_re.match
        for _ in range(max_chunks):
            if not self._left:
                line = match(buffer, at)
                if line is None:
                    _check_incomplete_line(buffer, at)
                    return at
                at = line.end()
                size = int(line[1], 16)
                if not size:
                    self.is_last = True
                    return at
                self._left = size + 2
            content = min(self._left - 2, end - at)
            if content > 0:
                body += buffer[at : at + content]
                at += content
                self._left -= content
            if self._left > 2 or end - at < 2:
                return at
            if buffer[at : at + 2] != b"\r\n":
                raise MalformedRequest(400, "no line end after a chunk")
            at += 2
            self._left = 0
        self.has_more = True
        return at


def _check_incomplete_line(buffer: bytearray, at: int) -> None:
    """Raise if more bytes cannot make the line of a chunk's size from what follows `at`."""
    if len(buffer) - at > MAX_LINE_BYTES:
        raise MalformedRequest(400, f"the line of a chunk exceeds {MAX_LINE_BYTES} bytes")
    if buffer.find(b"\n", at) >= 0:
        raise MalformedRequest(400, "malformed size of a chunk")
