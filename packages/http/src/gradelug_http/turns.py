"""Lets connections with much to decode go on one after the other."""

from __future__ import annotations

import asyncio
import typing as t


class Reads(t.Protocol):
    """A connection whose bytes are decoded in steps."""

    def read_on(self) -> None:
        """Decode one step, and ask for another turn if there is more."""
        ...


class Turns:
    """Gives one connection a turn in each turn of the event loop.

    The work between two looks at the sockets is that of one step, however many connections wait.
    """

    __slots__ = ("_is_scheduled", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[Reads, None] = {}
        self._is_scheduled = False

    def __contains__(self, conn: Reads) -> bool:
        return conn in self._waiting

    def add(self, conn: Reads) -> None:
        """Give a connection a turn after those that wait."""
        self._waiting[conn] = None
        self._schedule()

    def discard(self, conn: Reads) -> None:
        """Take back the turn of a connection, if it waits for one."""
        self._waiting.pop(conn, None)

    def _schedule(self) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._take)

    def _take(self) -> None:
        self._is_scheduled = False
        if not self._waiting:
            return
        conn = next(iter(self._waiting))
        del self._waiting[conn]
        try:
            conn.read_on()
        finally:
            self._schedule()
