"""The regular check of all connections of an HTTP server."""

import asyncio
from pipes import MemoryTransport, RawClient, join

from gradelug_http import HttpServer, ServerLimits
from test_unread import UnreadTransport, connect, run

HEADER_S = 1.0
IDLE_S = 4.0
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
    limits = ServerLimits(header_s=HEADER_S, idle_s=IDLE_S)
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


class Faulty(MemoryTransport):
    """Raises whenever it is closed."""

    def close(self):
        raise RuntimeError("cannot be closed")


# Which connections were checked depended on their order in a set.
def test_an_error_of_one_connection_kept_the_others_open_beyond_their_timeouts():
    async def scenario():
        server = new_server()
        for _ in range(4):
            client, conn = RawClient(), server.new_connection()
            near, far = MemoryTransport(client), Faulty(conn)
            near.peer, far.peer = far, near
            conn.connection_made(far)
        clients = [RawClient() for _ in range(2)]
        for client in clients:
            join(client, server.new_connection())
        await asyncio.sleep(2 * IDLE_S)
        assert all(client.ended for client in clients)
        assert not server.connections

    run(scenario)


class Unwritable(MemoryTransport):
    """Raises whenever it is written to."""

    def write(self, data):
        raise RuntimeError("cannot be written to")


def test_no_timeout_held_after_an_error_while_a_caller_was_given_up():
    async def scenario():
        server = new_server(MOST_BYTES)
        for _ in range(3):
            client, conn = RawClient(), server.new_connection()
            near, far = MemoryTransport(client), Unwritable(conn)
            near.peer, far.peer = far, near
            conn.connection_made(far)
            near.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\n")
            near.write(b"x" * 400_000)
        client = RawClient()
        join(client, server.new_connection())
        await asyncio.sleep(2 * IDLE_S)
        assert client.ended
        assert not server.connections
        assert server.held == 0

    run(scenario)


def test_a_request_under_way_was_cut_because_a_next_one_came_while_memory_was_exhausted():
    async def scenario():
        server = new_server(MOST_BYTES)
        may_answer = asyncio.Event()

        async def serve(inc):
            await may_answer.wait()
            inc.respond(200, [], b"")

        server.serve = serve
        clients = [RawClient() for _ in range(2)]
        for client in clients:
            join(client, server.new_connection())
            client.transport.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 950000\r\n\r\n")
            client.transport.write(b"x" * 950_000)
        await asyncio.sleep(0.1)
        assert server.memory.is_exhausted
        for client in clients:
            client.transport.write(WHOLE_HEAD)
        await asyncio.sleep(0.1)
        may_answer.set()
        await asyncio.sleep(0.1)
        assert all(client.received.count(b" 200 ") == 2 for client in clients)

    run(scenario)
