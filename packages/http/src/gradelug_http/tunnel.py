"""Connections through another process, opened with the CONNECT method (RFC 9110, 9.3.6).

A tunnel carries bytes unchanged in both directions. Its server decides which targets may be
reached, and by whom, through a `TunnelPolicy`.
"""

from __future__ import annotations

import asyncio
import enum
import typing as t

import h11
import logbook

from .client import Wire
from .exceptions import HttpError
from .headers import find
from .liveness import keep_alive

log = logbook.Logger("tunnels")
MAX_HEAD_BYTES = 4_096
HEAD_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.25
"""Time for a connection to the target; the client of a tunnel waits a little longer."""
MAX_FIELDS = 32
"""Most fields in the head of a request for a tunnel, which has two."""
MAX_BUFFERED_BYTES = 16_384
"""Bytes buffered per direction: a few events of a stream, so that a slow reader holds up its
sender."""
FORWARDED_BYTES = MAX_BUFFERED_BYTES // 2
"""Most bytes that are received and forwarded at a time; reading pauses above as many."""
REUSE_S = 2.0
"""Time for which a tunnel carries new requests. A server that shuts down is then free of tunnels as
soon as their last requests have ended."""
AUTHORIZATION = b"Proxy-Authorization"
SCHEME = b"Bearer "

P = t.TypeVar("P", bound=asyncio.BaseProtocol)
Connect = t.Callable[[str, t.Callable[[], t.Any]], t.Awaitable[t.Any]]
"""Coroutine function that connects to ``IP:port`` with a protocol from a factory, and returns the
protocol; raises `OSError`."""


class TunnelStatus(enum.IntEnum):
    """Status codes of responses to CONNECT."""

    OPEN = 200
    FORBIDDEN = 403
    """The target may not be reached through this server."""
    UNAUTHENTICATED = 407
    REFUSED = 502
    """The target refused the connection."""
    UNAVAILABLE = 503
    """This server opens no tunnel to the target at present."""
    TIMEOUT = 504
    """The target did not respond."""


class TunnelFailed(HttpError):
    """A tunnel was not opened.

    Parameters
    ----------
    proxy, target : str
        ``IP:port`` of the tunnel server and of the target.
    status : TunnelStatus or None
        The server's response; None if there was none.
    """

    def __init__(self, proxy: str, target: str, status: TunnelStatus | None) -> None:
        reason = f"{status:d} {status.name.lower()}" if status is not None else "no response"
        super().__init__(f"no tunnel through {proxy} to {target}: {reason}")
        self.status = status


class TunnelPolicy(t.Protocol):
    """Decides which tunnels a server opens."""

    def check(self, target: str, key: bytes) -> TunnelStatus:
        """Return `TunnelStatus.OPEN` if a client with this key may reach the target now."""
        ...

    def note(self, target: str, exc: Exception | None) -> None:
        """Record the outcome of a connection attempt: its error, None if it connected."""
        ...


class TunnelWire(Wire):
    """Bytes of a connection through a tunnel.

    The server of a tunnel cannot pass on whether the target closed or reset the connection, so
    every end counts as a reset: a response that is delimited by the close is not complete.
    """

    def __init__(self, proxy: str) -> None:
        super().__init__()
        self.via = proxy
        self.reuse_until = asyncio.get_running_loop().time() + REUSE_S

    def eof_received(self) -> None:
        """Record the end of the connection."""
        self.reset = ConnectionResetError("the tunnel ended")
        super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection."""
        super().connection_lost(exc or ConnectionResetError("the tunnel ended"))


async def open_tunnel(connect: Connect, proxy: str, target: str, key: bytes) -> Wire:
    """Connect to a target through a tunnel server.

    Parameters
    ----------
    connect : callable
        Opens the connection to the server.
    proxy, target : str
        ``IP:port`` of the server and of the target.
    key : bytes
        Authenticates this client to the server.

    Raises
    ------
    TunnelFailed
        If the server does not open the tunnel.
    """
    try:
        wire: Wire = await connect(proxy, lambda: TunnelWire(proxy))
    except OSError as exc:
        raise TunnelFailed(proxy, target, None) from exc
    is_open = False
    try:
        status = await _request_tunnel(wire, target, key)
        is_open = status is TunnelStatus.OPEN
    except (HttpError, h11.ProtocolError, ValueError) as exc:
        raise TunnelFailed(proxy, target, None) from exc
    finally:
        if not is_open and wire.transport is not None:
            wire.transport.abort()
    if not is_open:
        raise TunnelFailed(proxy, target, status)
    return wire


async def _request_tunnel(wire: Wire, target: str, key: bytes) -> TunnelStatus:
    """Send a CONNECT request, and return the status of the response."""
    parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
    headers = [(b"Host", target.encode()), (AUTHORIZATION, SCHEME + key)]
    req = h11.Request(method=b"CONNECT", target=target.encode(), headers=headers)
    head = (parser.send(req) or b"") + (parser.send(h11.EndOfMessage()) or b"")
    if wire.transport is None:
        return TunnelStatus.UNAVAILABLE
    wire.transport.write(head)
    while (event := parser.next_event()) is h11.NEED_DATA:
        parser.receive_data(await wire.read())
    if not isinstance(event, h11.Response):
        raise ValueError("the response to CONNECT has no head")
    wire.received[:0] = parser.trailing_data[0]
    return TunnelStatus(event.status_code)


_receive_buffer = memoryview(bytearray(FORWARDED_BYTES))
"""Shared by all connections: each forwards what came before the next one receives."""


class _TunnelEnd(asyncio.BufferedProtocol):
    """One of the two connections of a tunnel; it writes what it receives to the other."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _TunnelEnd | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Configure the connection."""
        self.transport = t.cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(FORWARDED_BYTES)
        keep_alive(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the transport puts what comes."""
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has put into the buffer."""
        self.data_received(bytes(_receive_buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Forward bytes."""
        if self.other is not None:
            self.other.write(data)

    def pause_writing(self) -> None:
        """Stop reading at the other end while this one's buffer is full."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        """Continue reading at the other end."""
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def eof_received(self) -> bool:
        """Close the other end after all bytes are sent."""
        if self.other is not None:
            self.other.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other end too."""
        if self.other is not None:
            if exc is None:
                self.other.close()
            else:
                self.other.abort()

    def write(self, data: bytes) -> None:
        """Send bytes."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def close(self) -> None:
        """Close after all bytes are sent."""
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Close at once."""
        if self.transport is not None:
            self.transport.abort()


class TunnelConnection(_TunnelEnd):
    """A client's connection to a tunnel server."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._parser = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._task: asyncio.Task[None] | None = None
        self._has_head = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for a CONNECT request."""
        super().connection_made(transport)
        self._server.connections.add(self)
        asyncio.get_running_loop().call_later(HEAD_TIMEOUT_S, self._check_head)

    def data_received(self, data: bytes) -> None:
        """Read the request, then forward bytes."""
        if self._has_head:
            if self.other is None:
                # Clients send nothing before the response.
                self.abort()
            super().data_received(data)
            return
        try:
            self._parser.receive_data(data)
            event = self._parser.next_event()
        except h11.RemoteProtocolError as exc:
            log.info("malformed request for a tunnel", why=str(exc))
            self.abort()
            return
        if event is h11.NEED_DATA:
            return
        self._has_head = True
        if not isinstance(event, h11.Request) or event.method != b"CONNECT":
            self._answer(TunnelStatus.FORBIDDEN)
            return
        if self._parser.trailing_data[0] or len(event.headers) > MAX_FIELDS:
            log.info("malformed request for a tunnel", why="many fields, or bytes behind the head")
            self.abort()
            return
        self._task = asyncio.get_running_loop().create_task(self._open(event))

    def connection_lost(self, exc: Exception | None) -> None:
        """End the tunnel."""
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()
        super().connection_lost(exc)

    def _check_head(self) -> None:
        if not self._has_head:
            self.abort()

    async def _open(self, req: h11.Request) -> None:
        target = req.target.decode("latin-1")
        scheme, _, key = (find(list(req.headers), AUTHORIZATION.lower()) or b"").partition(b" ")
        status = self._server.check(target, key if scheme == SCHEME.strip() else b"")
        if status is TunnelStatus.OPEN:
            try:
                status = await self._connect(target)
            except Exception:
                self.abort()
                raise
        if status is not TunnelStatus.OPEN:
            log.info("tunnel not opened", target=target, status=status.value)
        self._answer(status)

    async def _connect(self, target: str) -> TunnelStatus:
        policy, end = self._server.policy, _TunnelEnd()
        end.other = self
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._server.connect(target, lambda: end)
        except ConnectionRefusedError as exc:
            policy.note(target, exc)
            return TunnelStatus.REFUSED
        except (OSError, TimeoutError, ValueError) as exc:
            policy.note(target, exc)
            return TunnelStatus.TIMEOUT
        policy.note(target, None)
        self.other = end
        return TunnelStatus.OPEN

    def _answer(self, status: TunnelStatus) -> None:
        headers = [] if status is TunnelStatus.OPEN else [(b"Content-Length", b"0")]
        self.write(self._parser.send(h11.Response(status_code=int(status), headers=headers)) or b"")
        if status is not TunnelStatus.OPEN:
            self.close()


class TunnelServer:
    """Accepts connections and opens tunnels.

    Parameters
    ----------
    policy : TunnelPolicy
        Decides which tunnels are opened.
    connect : callable
        Connects to targets.
    max_tunnels : int
        Maximum number of tunnels at the same time.
    """

    def __init__(self, policy: TunnelPolicy, connect: Connect, max_tunnels: int) -> None:
        self.policy = policy
        self.connect = connect
        self.connections: set[TunnelConnection] = set()
        self.is_draining = False
        """Whether no further tunnels are opened."""
        self.opened = 0
        """Tunnels opened since the start."""
        self._max_tunnels = max_tunnels
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen, and return the port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(self.new_connection, host, port, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def new_connection(self) -> TunnelConnection:
        """Return the protocol of a new connection."""
        return TunnelConnection(self)

    def check(self, target: str, key: bytes) -> TunnelStatus:
        """Return whether a tunnel may be opened."""
        if self.is_draining or len(self.connections) > self._max_tunnels:
            return TunnelStatus.UNAVAILABLE
        status = self.policy.check(target, key)
        self.opened += status is TunnelStatus.OPEN
        return status

    async def close(self) -> None:
        """Stop listening and end all tunnels."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.abort()
