"""The regular check of all connections of an HTTP server."""

import asyncio
from pipes import RawClient, join

from gradelug_http import HttpServer, ServerLimits
from test_unread import UnreadTransport, connect, run

HEADER_S = 1.0
HALF_HEAD = b"GET /x HTTP/1.1\r\nHost:"
WHOLE_HEAD = HALF_HEAD + b" h\r\n\r\n"
LARGE_BYTES = 100_000
MOST_BYTES = 1_000_000


class HalfClosed(UnreadTransport):
    """Stays open while the response is unsent, as sockets do after the end of the other side."""

    def end_of_file(self):
        if not self.protocol.eof_received():
            self.closing = True

    def abort(self):
        self._loop.call_soon(self.protocol.connection_lost, None)


def half_close(server):
    """Let a client half-close that has not read its response and has begun another request."""
    client, conn = RawClient(), server.new_connection()
    near, far = UnreadTransport(client), HalfClosed(conn)
    near.peer, far.peer = far, near
    far.is_reading = False
    client.connection_made(near)
    conn.connection_made(far)
    near.write(WHOLE_HEAD + HALF_HEAD)
    return near


async def respond_large(inc):
    inc.respond(200, [], b"x" * LARGE_BYTES)


def new_server(most_bytes=0):
    clock = asyncio.get_running_loop().time
    limits = ServerLimits(header_s=HEADER_S)
    server = HttpServer(respond_large, lambda: limits, clock, most_bytes)
    server.start_sweeping()
    return server


class TestClientThatHalfCloses:
    def test_no_timeout_held_after_a_half_closed_client_was_refused(self):
        async def scenario():
            server = new_server()
            near = half_close(server)
            await asyncio.sleep(0.1)
            near.close()
            await asyncio.sleep(2 * HEADER_S)
            client = RawClient()
            join(client, server.new_connection()).write(HALF_HEAD)
            await asyncio.sleep(2 * HEADER_S)
            assert client.received.startswith(b"HTTP/1.1 408 ")

        run(scenario)

    def test_the_count_of_kept_bytes_stood_still_after_a_half_closed_client_was_refused(self):
        async def scenario():
            server = new_server(MOST_BYTES)
            readers = [connect(server, False, WHOLE_HEAD) for _ in range(9)]
            near = half_close(server)
            await asyncio.sleep(0.1)
            near.close()
            await asyncio.sleep(2 * HEADER_S)
            for client, _ in readers:
                client.transport.abort()
            await asyncio.sleep(HEADER_S)
            assert server.held < LARGE_BYTES * 2

        run(scenario)
