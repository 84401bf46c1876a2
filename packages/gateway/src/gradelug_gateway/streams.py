"""Reassembly of server-sent events from the chunks of a response.

Callers receive complete events only, numbered without gaps, so that a stream can be resumed after
any of them.
"""

from __future__ import annotations

import re

from gradelug_http import ResponseBroken

MAX_EVENT_BYTES = 1_000_000
MAX_NUMBER_DIGITS = 15
_id_re = re.compile(rb"(?m)^id:[ ]?(\d+)\r?$")
LONGEST_END = b"\r\n\r\n"
_end_re = re.compile(rb"\r?\n\r?\n")


class EventAssembler:
    """Splits the bytes of a stream into complete events, without those already delivered.

    Parameters
    ----------
    last_event : int
        Number of the last event that the caller has received, 0 for none.
    """

    __slots__ = ("_buffer", "_searched", "last_event")

    def __init__(self, last_event: int) -> None:
        self._buffer = bytearray()
        self._searched = 0
        """Bytes of the buffer that hold no end of an event."""
        self.last_event = last_event

    def restart(self) -> None:
        """Discard an incomplete event: the next run resumes after the last complete one."""
        self._buffer.clear()
        self._searched = 0

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return not self._buffer

    @property
    def size(self) -> int:
        """Bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that they complete.

        Parameters
        ----------
        data : bytes
            The next bytes of the stream.

        Raises
        ------
        ResponseBroken
            If events are missing or an event is too large.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseBroken("an event exceeds the size limit")
        out, start = [], 0
        # Only an end that has not come whole begins before the new bytes.
        unsearched = max(0, self._searched - len(LONGEST_END) + 1)
        for end in [match.end() for match in _end_re.finditer(self._buffer, unsearched)]:
            event = bytes(self._buffer[start:end])
            start = end
            if self._is_next(event):
                out.append(event)
        del self._buffer[:start]
        self._searched = len(self._buffer)
        return b"".join(out)

    def _is_next(self, event: bytes) -> bool:
        found = _id_re.search(event)
        if found is None:
            return True
        digits = found.group(1)
        if len(digits) > MAX_NUMBER_DIGITS:
            raise ResponseBroken(f"the number of an event has {len(digits)} digits")
        number = int(digits)
        if number <= self.last_event:
            return False
        if self.last_event and number != self.last_event + 1:
            raise ResponseBroken(f"event {number} follows event {self.last_event}")
        self.last_event = number
        return True
