"""Reads requests from the bytes of a client, in steps of bounded work, and tells what is kept."""

from __future__ import annotations

import re
import typing as t
from enum import Enum

import h11

from .chunked import ChunkDecoder
from .exceptions import MalformedRequest
from .headers import find

MAX_CHUNKS_PER_STEP = 256
"""Chunks of a body that are decoded in one step, which takes less than half a millisecond."""
_blank_line_re = re.compile(rb"\n\r?\n")
_FIRST_PRINTABLE = 0x21


class Step(Enum):
    """Result of a step."""

    WAIT = "wait"
    """More bytes have to arrive."""
    MORE = "more"
    """A part of the body was read; another step goes on without further bytes."""
    HEAD = "head"
    """The head of a request was read."""
    END = "end"
    """The request is whole."""


class _Part(Enum):
    """Part of a request that is read next."""

    HEAD = "head"
    LENGTH = "body of a stated length"
    CHUNKS = "chunks"
    TRAILER = "trailer"
    DONE = "nothing"


class RequestReader:
    """Reads the requests of one connection, one after the other.

    Parameters
    ----------
    header_bytes : int
        Longest head and longest trailer.
    """

    __slots__ = (
        "_chunks",
        "_left",
        "_part",
        "_searched",
        "announced_bytes",
        "body",
        "buffer",
        "header_bytes",
        "is_chunked",
        "parser",
        "req",
    )

    def __init__(self, header_bytes: int) -> None:
        self.header_bytes = header_bytes
        """Longest head and longest trailer."""
        self.parser = h11.Connection(h11.SERVER)
        """Parses heads and writes responses; it keeps no bytes."""
        self.buffer = bytearray()
        """Bytes that arrived and were not read."""
        self.body = bytearray()
        """What was read of the body."""
        self.req: h11.Request | None = None
        self.announced_bytes = 0
        """Stated length of the body; 0 if none is stated."""
        self.is_chunked = False
        """Whether the body comes in chunks."""
        self._part = _Part.HEAD
        self._chunks: ChunkDecoder | None = None
        self._left = 0
        self._searched = 0

    @property
    def size(self) -> int:
        """Bytes that are kept."""
        return len(self.buffer) + len(self.body)

    @property
    def is_whole(self) -> bool:
        """Whether all of a request was read."""
        return self._part is _Part.DONE

    def clear(self) -> None:
        """Drop all that is kept."""
        self.buffer = bytearray()
        self.body = bytearray()

    def take_body(self) -> bytes:
        """Hand over the body of a whole request."""
        body, self.body = bytes(self.body), bytearray()
        return body

    def start_next(self) -> None:
        """Go on with the next request, once the answer to this one is whole."""
        self.parser.start_next_cycle()
        self.body = bytearray()
        self.req = None
        self._part = _Part.HEAD
        self._searched = 0

    def step(self) -> Step:
        """Read a part of what arrived.

        Raises
        ------
        MalformedRequest
            If it is no request, or its head is too long.
        """
        try:
            return self._STEPS[self._part](self)
        except h11.RemoteProtocolError as exc:
            raise MalformedRequest(exc.error_status_hint, str(exc)) from exc

    def _read_head(self) -> Step:
        buffer = self.buffer
        if not buffer:
            return Step.WAIT
        if buffer[0] < _FIRST_PRINTABLE:
            raise MalformedRequest(400, "illegal request line")
        blank = _blank_line_re.search(buffer, max(0, self._searched - 2))
        if blank is None:
            self._searched = len(buffer)
            if len(buffer) > self.header_bytes:
                raise MalformedRequest(431, f"a head exceeds {self.header_bytes} bytes")
            return Step.WAIT
        event = self._parse(blank.end())
        assert isinstance(event, h11.Request)
        self.req = event
        length = find(event.headers, b"content-length")
        self.announced_bytes = int(length) if length is not None else 0
        self.is_chunked = find(event.headers, b"transfer-encoding") is not None
        if self.is_chunked:
            self._chunks = ChunkDecoder()
            self._part = _Part.CHUNKS
        else:
            self._left = self.announced_bytes
            self._part = _Part.LENGTH
        return Step.HEAD

    def _read_length(self) -> Step:
        if self._left:
            if not self.buffer:
                return Step.WAIT
            size = min(self._left, len(self.buffer))
            event = self._parse(size)
            assert isinstance(event, h11.Data)
            self.body += event.data
            self._left -= size
        return self._read_end() if not self._left else Step.WAIT

    def _read_chunks(self) -> Step:
        assert self._chunks is not None
        self._chunks.decode(self.buffer, self.body, MAX_CHUNKS_PER_STEP)
        if not self._chunks.is_last:
            return Step.MORE if self._chunks.has_more else Step.WAIT
        # The parser has seen nothing of the body: to it, the trailer follows an empty one.
        self.parser.receive_data(b"0\r\n")
        self._part = _Part.TRAILER
        self._searched = 0
        return self._read_trailer()

    def _read_trailer(self) -> Step:
        buffer = self.buffer
        if buffer[:2] == b"\r\n":
            end = 2
        elif buffer[:1] == b"\n":
            end = 1
        else:
            blank = _blank_line_re.search(buffer, max(0, self._searched - 2))
            if blank is None:
                self._searched = len(buffer)
                if len(buffer) > self.header_bytes:
                    raise MalformedRequest(431, f"a trailer exceeds {self.header_bytes} bytes")
                return Step.WAIT
            end = blank.end()
        self.parser.receive_data(bytes(buffer[:end]))
        del buffer[:end]
        return self._read_end()

    def _read_end(self) -> Step:
        event = self.parser.next_event()
        assert isinstance(event, h11.EndOfMessage)
        self._part = _Part.DONE
        return Step.END

    def _read_nothing(self) -> Step:
        return Step.WAIT

    def _parse(self, size: int) -> t.Any:
        """Let the parser read the first bytes of the buffer, which are one event to it."""
        self.parser.receive_data(bytes(self.buffer[:size]))
        del self.buffer[:size]
        return self.parser.next_event()

    _STEPS: t.ClassVar[dict[_Part, t.Callable[[RequestReader], Step]]] = {
        _Part.HEAD: _read_head,
        _Part.LENGTH: _read_length,
        _Part.CHUNKS: _read_chunks,
        _Part.TRAILER: _read_trailer,
        _Part.DONE: _read_nothing,
    }
