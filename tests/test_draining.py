"""The end of an HTTP server: connections that are on their way, resting, or in use."""

import asyncio
import socket
import time
from pipes import Network, RawClient, join

import pytest
from gradelug_http import HttpServer, ServerLimits
from world import new_loop

GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
QUEUED = 40
FINISH_S = 2.0
WORK_S = 0.05


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def clock():
    return asyncio.get_running_loop().time()


async def answer(inc):
    await asyncio.sleep(WORK_S)
    inc.respond(200, [], b"whole")


def statuses(client):
    """Return the statuses of the answers that a client has received."""
    return [int(part.split(b" ")[0]) for part in bytes(client.received).split(b"HTTP/1.1 ")[1:]]


class Door:
    """A server in memory."""

    def __init__(self, serve=answer):
        self.net = Network()
        self.server = self.net.serve("10.0.0.1:80", serve, ServerLimits, clock)

    def connect(self, data=b""):
        client = RawClient()
        join(client, self.server.new_connection())
        if data:
            client.transport.write(data)
        return client

    async def finish(self, finish_s=FINISH_S):
        """Stop the server; return how long that took."""
        began_at = clock()
        self.server.draining = True
        await self.server.finish(began_at + finish_s)
        return clock() - began_at


class TestListening:
    def test_connections_that_the_kernel_has_accepted_are_reset(self):
        async def scenario():
            server = HttpServer(answer, ServerLimits, time.monotonic)
            port = await server.start("127.0.0.1", 0)
            server.draining = True
            # The loop does not run meanwhile, so that all connections wait in the queue.
            clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(QUEUED)]
            for client in clients:
                client.sendall(GET)
                client.settimeout(10.0)
            cut = await server.finish(time.monotonic() + 10.0)
            answers = [client.recv(1000) for client in clients]
            for client in clients:
                client.close()
            assert cut == 0
            assert sum(b" 200 " in text for text in answers) == QUEUED
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))

        asyncio.run(scenario())

    def test_connections_are_dropped_between_accept_and_close(self):
        async def scenario():
            server = HttpServer(answer, ServerLimits, time.monotonic)
            port = await server.start("127.0.0.1", 0)
            server.draining = True
            clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(QUEUED)]
            for client in clients:
                client.sendall(GET)
                client.settimeout(10.0)
            # The loop accepts them in its next turn, and makes their transports in a later one.
            for _ in range(2):
                await asyncio.sleep(0)
            await server.finish(time.monotonic() + 10.0)
            answers = [client.recv(1000) for client in clients]
            for client in clients:
                client.close()
            assert sum(b" 200 " in text for text in answers) == QUEUED

        asyncio.run(scenario())


class TestConnections:
    def test_a_request_on_its_way_finds_its_connection_closed(self):
        async def scenario():
            door = Door()
            fresh, kept = door.connect(), door.connect(GET)
            await asyncio.sleep(2 * WORK_S)
            finishing = asyncio.ensure_future(door.finish())
            await asyncio.sleep(0.1)
            fresh.transport.write(GET)
            kept.transport.write(GET)
            await finishing
            assert statuses(fresh) == [200]
            assert statuses(kept) == [200, 200]
            assert fresh.ended
            assert kept.ended

        run(scenario)

    def test_a_request_that_was_sent_ahead_is_dropped(self):
        async def scenario():
            door = Door()
            client = door.connect(3 * GET)
            await asyncio.sleep(WORK_S / 2)
            await door.finish()
            assert statuses(client) == [200, 200, 200]
            assert bytes(client.received).lower().count(b"connection: close") == 1
            assert client.ended

        run(scenario)

    def test_half_a_request_is_closed_without_an_answer(self):
        async def scenario():
            door = Door()
            client = door.connect(POST + b"ab")
            await asyncio.sleep(0.01)
            took_s = await door.finish()
            assert statuses(client) == [503]
            assert client.ended
            assert took_s < 1.0

        run(scenario)

    def test_a_request_that_crosses_the_close_is_read_and_dropped(self):
        async def scenario():
            door = Door()
            client = door.connect(GET)
            await asyncio.sleep(2 * WORK_S)
            conn = next(iter(door.server.connections))
            conn.end()
            client.transport.write(GET)
            await door.finish()
            assert conn._read_at < clock() - 0.05
            assert statuses(client) == [200]

        run(scenario)

    def test_a_request_in_progress_is_cut(self):
        async def scenario():
            async def work(inc):
                await asyncio.sleep(1.0)
                inc.respond(200, [], b"whole")

            door = Door(work)
            client = door.connect(GET)
            await asyncio.sleep(0.01)
            await door.finish()
            assert statuses(client) == [200]

        run(scenario)

    def test_the_end_waits_for_clients_that_keep_their_connections_open(self):
        async def scenario():
            door = Door()
            client = door.connect()
            client.eof_received = lambda: True
            assert await door.finish() < 1.0
            await asyncio.sleep(0.01)
            assert not door.server.connections

        run(scenario)

    def test_a_client_that_left_ends_the_drain(self):
        async def scenario():
            door = Door()
            clients = [door.connect(), door.connect(POST), door.connect(GET)]
            await asyncio.sleep(0.01)
            finishing = asyncio.ensure_future(door.finish())
            for client in clients:
                client.transport.abort()
            assert await finishing < 1.0
            assert not door.server.connections

        run(scenario)
