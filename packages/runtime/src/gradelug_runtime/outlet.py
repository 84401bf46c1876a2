"""Structured log lines on standard output that never hold up the loop."""

from __future__ import annotations

import asyncio
import os
import sys
import typing as t
from collections import deque

import logbook

from .clock import steady_s
from .logs import JsonFormatter

LINES_PER_S = 150.0
"""Lines that an instance may write for long: one for each decision at 30 requests a second."""
BURST_LINES = 600.0
HELD_BYTES = 262_144
"""Lines kept while nobody reads the pipe."""
STDOUT = 1


class Outlet(logbook.Handler):
    """Writes lines to a descriptor, within a budget and without waiting for its reader.

    What exceeds the budget or the memory is left out and counted; the next line that gets
    through says how many were.

    Parameters
    ----------
    process : str
        Part of every line.
    descriptor : int
        Where to write.
    clock : callable
        In seconds.
    """

    def __init__(
        self,
        process: str,
        descriptor: int = STDOUT,
        clock: t.Callable[[], float] = steady_s,
    ) -> None:
        super().__init__(level=logbook.INFO)
        self.formatter = JsonFormatter(process)
        self.left_out = 0
        self._descriptor = descriptor
        self._clock = clock
        self._tokens = BURST_LINES
        self._at = clock()
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._waiting = False
        os.set_blocking(descriptor, False)

    def emit(self, record: logbook.LogRecord) -> None:
        """Write a line, or count it as left out."""
        if not self._take_token(record) or self._held_bytes > HELD_BYTES:
            self.left_out += 1
            return
        if self.left_out:
            record.kwargs["lines_left_out"] = self.left_out
            self.left_out = 0
        line = self.format(record).encode() + b"\n"
        self._held.append(line)
        self._held_bytes += len(line)
        if not self._waiting:
            self._flush()

    def _take_token(self, record: logbook.LogRecord) -> bool:
        now = self._clock()
        self._tokens = min(BURST_LINES, self._tokens + (now - self._at) * LINES_PER_S)
        self._at = now
        if self._tokens < 1 and record.level < logbook.ERROR:
            return False
        self._tokens -= 1
        return True

    def _flush(self) -> None:
        while self._held:
            line = self._held[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                self._wait()
                return
            except OSError:
                # Nobody reads any longer; there is nowhere left to say so.
                self._held.clear()
                self._held_bytes = 0
                return
            self._held_bytes -= written
            if written < len(line):
                self._held[0] = line[written:]
            else:
                self._held.popleft()
        self._stop_waiting()

    def _wait(self) -> None:
        if self._waiting:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            # Outside of the loop the next line tries again.
            return
        self._waiting = True
        loop.add_writer(self._descriptor, self._flush)

    def _stop_waiting(self) -> None:
        if self._waiting:
            self._waiting = False
            asyncio.get_running_loop().remove_writer(self._descriptor)


def open_outlet(process: str) -> t.ContextManager[t.Any]:
    """Return the context in which this process's log goes to standard output."""
    sys.stdout.flush()
    return Outlet(process).applicationbound()
