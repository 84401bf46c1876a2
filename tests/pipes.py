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
