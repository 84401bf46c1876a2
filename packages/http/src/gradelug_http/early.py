"""A door that is open before the process behind it is whole.

A process takes half a second of a core to read its code, on a third of a core one and a half. Who
calls meanwhile would find nobody there; with the door open they wait for so long instead.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass

from .after_poll import call_after_poll
from .server import HttpServer
from .server_connection import ServerConnection
from .socket_info import data_age_s

ACCEPT_S = 0.1
"""Connections that came before the process was whole are taken within this after it is."""


@dataclass(slots=True, frozen=True)
class Door:
    """A socket that listens.

    Parameters
    ----------
    sock : socket.socket
        The socket.
    since : float
        Since when, by the runtime's clock.
    """

    sock: socket.socket
    since: float


class EarlyServer(HttpServer):
    """Serves behind a door that was opened before, if there is one."""

    _since = 0.0
    _until = float("-inf")

    async def enter(self, door: Door) -> int:
        """Serve who waits at a door and who comes; return its port."""
        self._since = door.since
        self._until = self.clock() + ACCEPT_S
        return await self._listen(door.sock)

    def new_connection(self) -> ServerConnection:
        """Return the protocol of a connection that is about to come up."""
        if self.clock() < self._until:
            return EarlyConnection(self, self._since)
        return super().new_connection()


class EarlyConnection(ServerConnection):
    """A connection that may have come before the process was whole.

    Its first request counts as come when the kernel received the data that are read first. Of
    several pieces that lie unread the kernel knows the last one: a request that counts as too young
    is ended by its caller, one that counts as too old would be cut before its deadline. Where the
    kernel does not tell, a request that had arrived before the connection was accepted counts as
    come when the door was opened, and so is answered or given up within its time for certain.
    """

    def __init__(self, server: HttpServer, since: float) -> None:
        super().__init__(server)
        self._opened_before = since
        self._is_first = True
        """Whether no byte was read yet."""
        self._is_read_at_once = True
        """Whether what is read now had arrived before the connection was accepted."""
        self._first_arrived_at: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport over."""
        super().connection_made(transport)
        call_after_poll(self._note_read)

    def _note_read(self) -> None:
        self._is_read_at_once = False

    def _note_first_byte(self) -> None:
        super()._note_first_byte()
        if self._is_first:
            self._is_first = False
            self._first_arrived_at = self._data_came_at()

    def _data_came_at(self) -> float | None:
        """Return when the data that were read first came; None for now."""
        sock = self.transport.get_extra_info("socket") if self.transport is not None else None
        age_s = data_age_s(sock) if sock is not None else None
        if age_s is not None:
            return max(self._opened_before, self.server.clock() - age_s)
        return self._opened_before if self._is_read_at_once else None

    def _request_arrived_at(self) -> float:
        if self._first_arrived_at is None:
            return super()._request_arrived_at()
        arrived_at, self._first_arrived_at = self._first_arrived_at, None
        return arrived_at
