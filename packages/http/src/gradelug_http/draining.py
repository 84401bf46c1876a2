"""The end of a server in a planned stop: no request that is on its way loses its answer."""

from __future__ import annotations

import asyncio
import socket
import typing as t

import logbook

log = logbook.Logger("draining")
IN_FLIGHT_S = 0.3
"""Time for which requests on open connections are still read after the server has stopped
listening: it covers a round trip, and a client's pause between connecting and sending."""
LINGER_S = 0.2
"""Longest wait for the clients' ends of the connections that the server has closed."""
POLL_S = 0.01
ACCEPTED_TURNS = 2
"""Turns of the event loop in which it makes transports of the sockets that it has accepted."""
READ_TURNS = 6
"""Turns of the event loop in which what has arrived is read, and answered if it is refused."""

Protocol = t.TypeVar("Protocol", bound=asyncio.BaseProtocol)


class DrainingServer(t.Protocol):
    """A server whose connections are to be ended."""

    clock: t.Callable[[], float]

    @property
    def unfinished(self) -> int:
        """Requests being served, and answers of which a part is not sent yet."""
        ...

    @property
    def is_connected(self) -> bool:
        """Whether any connection is open."""
        ...

    async def stop_listening(self) -> None:
        """Take the connections that wait to be accepted, and accept no more."""
        ...

    def end_connections(self) -> None:
        """Close the connections on which no request is being served."""
        ...


async def drain(server: DrainingServer, until: float) -> int:
    """Stop listening, answer what is on its way, and close the connections.

    Parameters
    ----------
    server : DrainingServer
        The server; it answers or refuses each request, and closes its connection then.
    until : float
        Time by which this ends, by the server's clock.

    Returns
    -------
    int
        Requests still being served, and answers that are not sent yet.
    """
    await server.stop_listening()
    await _wait(server, lambda: False, min(until, server.clock() + IN_FLIGHT_S))
    await _wait(server, lambda: not server.unfinished, until - LINGER_S)
    # The time may be over because the process was suspended or busy.
    await _yield_turns(READ_TURNS)
    server.end_connections()
    end_at = min(until, server.clock() + LINGER_S)
    await _wait(server, lambda: not server.is_connected, end_at)
    return server.unfinished


async def _wait(server: DrainingServer, is_done: t.Callable[[], bool], until: float) -> None:
    while server.clock() < until and not is_done():
        await asyncio.sleep(POLL_S)


async def _yield_turns(count: int) -> None:
    for _ in range(count):
        await asyncio.sleep(0)


def open_listener(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


async def close_listener(
    server: asyncio.Server, listener: socket.socket, make: t.Callable[[], Protocol]
) -> None:
    """Take the connections in the accept queue of a socket, then close it.

    The kernel resets the connections that are in the queue when the socket is closed, and the
    event loop drops those that it has accepted without a transport.

    Parameters
    ----------
    server : asyncio.Server
        Accepts connections from the socket.
    listener : socket.socket
        The listening socket.
    make : callable
        Returns the protocol of a new connection.
    """
    loop = asyncio.get_running_loop()
    loop.remove_reader(listener)
    await _yield_turns(ACCEPTED_TURNS)
    # Nothing is awaited between the last accept and the close.
    queued = _accept_queued(listener)
    server.close()
    for sock in queued:
        try:
            await loop.connect_accepted_socket(make, sock)
        except OSError as exc:
            log.info("connection lost before it was served", why=str(exc))
            sock.close()


def _accept_queued(listener: socket.socket) -> list[socket.socket]:
    found: list[socket.socket] = []
    while True:
        try:
            sock, _ = listener.accept()
        except (BlockingIOError, InterruptedError):
            return found
        except ConnectionAbortedError:
            continue
        except OSError as exc:
            log.warning("connections are left in the accept queue", why=str(exc))
            return found
        sock.setblocking(False)
        found.append(sock)
