"""Connections in memory between the HTTP package's client and server, on a paused clock."""

import asyncio

from gradelug_http import HttpServer, Wire


class MemoryTransport(asyncio.Transport):
    """One end of a connection; what it writes reaches the other end's protocol soon."""

    def __init__(self, protocol):
        super().__init__()
        self.protocol = protocol
        self.peer = None
        self.closing = False
        self.silent = False
        """Whether the connection drops all that either end sends, without an error."""
        self.written = bytearray()
        self.delay_s = 0.0
        """Time until the other end notices the end of this one, in seconds."""
        self._loop = asyncio.get_running_loop()

    def write(self, data):
        self.written += data
        if not self.closing:
            self._loop.call_soon(self.peer.deliver, bytes(data))

    def silence(self):
        """Drop all that either end sends from now on."""
        self.silent = self.peer.silent = True

    def deliver(self, data):
        if not self.closing and not self.silent:
            self.protocol.data_received(data)

    def close(self):
        self._end(None, self.peer.end_of_file)

    def abort(self):
        self._end(None, lambda: self.peer.lose(ConnectionResetError(104, "reset")))

    def end_of_file(self):
        if not self.closing and not self.protocol.eof_received():
            self.lose(None)

    def write_eof(self):
        """Send the end of this direction; the connection ends once the other end closes too."""
        self._loop.call_later(self.delay_s, self._end_direction)

    def _end_direction(self):
        if self.silent or self.peer.closing:
            return
        self.peer.end_of_file()
        if self.peer.closing:
            self.end_of_file()

    def lose(self, exc):
        if not self.closing:
            self.closing = True
            self.protocol.connection_lost(exc)

    def is_closing(self):
        return self.closing

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def _end(self, exc, tell_peer):
        if self.closing:
            return
        self.closing = True
        self._loop.call_soon(self.protocol.connection_lost, exc)
        if not self.silent:
            self._loop.call_later(self.delay_s, tell_peer)


class PacedTransport(MemoryTransport):
    """Keeps what arrives while its end does not read, and what its end writes to one that does not.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Its end.
    high_bytes : int
        Unsent bytes above which its end is told to write no more.
    """

    def __init__(self, protocol, high_bytes=65_536):
        super().__init__(protocol)
        self.is_paused = False
        self.unread = []
        """Pieces that arrived and were not read."""
        self.unsent = bytearray()
        self._high_bytes = high_bytes
        self._is_full = False
        self._is_ending = False
        self._has_written_eof = False

    def deliver(self, data):
        if self.closing:
            return
        if self.is_paused:
            self.unread.append(data)
        else:
            self.protocol.data_received(data)

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False
        self._loop.call_soon(self._deliver_unread)

    def _deliver_unread(self):
        while self.unread and not self.is_paused and not self.closing:
            self.protocol.data_received(self.unread.pop(0))
        if not self.is_paused:
            self.peer.flush()

    def write(self, data):
        if self.closing or not self.peer.is_paused:
            super().write(data)
            return
        self.unsent += data
        if len(self.unsent) > self._high_bytes and not self._is_full:
            self._is_full = True
            self.protocol.pause_writing()

    def close(self):
        if not self.unsent:
            super().close()
        self._is_ending = True

    def write_eof(self):
        self._has_written_eof = True
        if not self.unsent:
            super().write_eof()

    def is_closing(self):
        return self.closing or self._is_ending

    def abort(self):
        self.unsent.clear()
        super().abort()

    def flush(self):
        """Send what is unsent, once the other end reads again."""
        if not self.unsent or self.closing:
            return
        data, self.unsent = bytes(self.unsent), bytearray()
        super().write(data)
        if self._is_full:
            self._is_full = False
            self.protocol.resume_writing()
        if self._is_ending:
            super().close()
        elif self._has_written_eof:
            super().write_eof()

    def get_write_buffer_size(self):
        return len(self.unsent)


def join_paced(client, server):
    """Connect two protocols by ends that keep what is not read, and return both ends."""
    near, far = PacedTransport(client), PacedTransport(server)
    near.peer, far.peer = far, near
    client.connection_made(near)
    server.connection_made(far)
    return near, far


def join(client, server):
    """Connect two protocols and return the client's end."""
    ends = MemoryTransport(client), MemoryTransport(server)
    ends[0].peer, ends[1].peer = ends[1], ends[0]
    client.connection_made(ends[0])
    server.connection_made(ends[1])
    return ends[0]


class Network:
    """Servers by address."""

    def __init__(self):
        self.servers: dict[str, object] = {}
        self.dialled: list[str] = []

    async def dial(self, address, make=Wire):
        self.dialled.append(address)
        listen = self.servers.get(address)
        if listen is None:
            raise ConnectionRefusedError(111, "nobody listens")
        protocol = make()
        join(protocol, listen())
        return protocol

    def serve(self, address, serve, limits, clock):
        server = HttpServer(serve, limits, clock)
        server.start_sweeping()
        self.servers[address] = server.new_connection
        return server


class RawServer(asyncio.Protocol):
    """A server that answers by a script: one reply for each piece of a request it receives.

    A reply is a list of bytes, "close", "reset", and numbers: pauses in seconds.
    """

    def __init__(self, script):
        self.script = list(script)
        self.received = bytearray()
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data
        if self.script:
            self._act(self.script.pop(0))

    def _act(self, actions):
        for at, action in enumerate(actions):
            if isinstance(action, float):
                asyncio.get_running_loop().call_later(action, self._act, actions[at + 1 :])
                return
            if action == "close":
                self.transport.close()
            elif action == "reset":
                self.transport.abort()
            else:
                self.transport.write(action)

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        pass


class RawClient(asyncio.Protocol):
    """A client that sends bytes as they are and keeps what comes back."""

    def __init__(self):
        self.received = bytearray()
        self.ended = False
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.received += data

    def eof_received(self):
        self.ended = True
        return False

    def connection_lost(self, exc):
        self.ended = True
