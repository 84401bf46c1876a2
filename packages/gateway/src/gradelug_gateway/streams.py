"""Event streams: whole events only, numbered without a gap, resumable after the last one."""

from __future__ import annotations

import re

from gradelug_http import ResponseBroken

MAX_EVENT_BYTES = 1_000_000
_id_re = re.compile(rb"(?m)^id:[ ]?(\d+)\r?$")
_end_re = re.compile(rb"\r?\n\r?\n")


class EventAssembler:
    """Turns the bytes of a stream into whole events that go on where the last one ended.

    Parameters
    ----------
    last_event : int
        Number of the last event that the caller has, 0 for none.
    """

    __slots__ = ("_buffer", "last_event")

    def __init__(self, last_event: int) -> None:
        self._buffer = b""
        self.last_event = last_event

    def restart(self) -> None:
        """Forget a part of an event: another run goes on after the last whole one."""
        self._buffer = b""

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is waiting for its rest."""
        return not self._buffer

    def feed(self, data: bytes) -> bytes:
        """Return the events that are whole now.

        Raises
        ------
        ResponseBroken
            If events are missing or an event is too large.
        """
        self._buffer += data
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ResponseBroken("an event is too large")
        out, start = [], 0
        for match in _end_re.finditer(self._buffer):
            event = self._buffer[start : match.end()]
            start = match.end()
            if self._is_next(event):
                out.append(event)
        self._buffer = self._buffer[start:]
        return b"".join(out)

    def _is_next(self, event: bytes) -> bool:
        found = _id_re.search(event)
        if found is None:
            return True
        number = int(found.group(1))
        if number <= self.last_event:
            return False
        if self.last_event and number != self.last_event + 1:
            raise ResponseBroken(f"event {number} follows event {self.last_event}")
        self.last_event = number
        return True
