"""Requests that have arrived, but were not read yet, when a time limit of their connection ends."""

import asyncio
import socket

import pytest
from gradelug_http import HttpServer, ServerLimits

REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LIMITS = ServerLimits(header_s=1.0, idle_s=2.0)
LATE_S = 10.0
"""Longer than each limit."""
ANSWER_S = 5.0


class HeldUpServer:
    """A server on a loopback address, by a clock that the test advances."""

    def __init__(self):
        self.now = 0.0
        self.server = HttpServer(self._serve, lambda: LIMITS, lambda: self.now)
        self.client = None

    async def _serve(self, inc):
        inc.respond(200, [], b"")

    async def __aenter__(self):
        port = await self.server.start("127.0.0.1", 0)
        self.client = socket.create_connection(("127.0.0.1", port))
        self.client.setblocking(False)
        return self

    async def __aexit__(self, *exc):
        self.client.close()
        await self.server.close()

    async def read(self):
        """Return what the server sends next, empty if it closes the connection."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(ANSWER_S):
            return await loop.sock_recv(self.client, 65_536)

    def hold_up(self, sent):
        """Let bytes arrive while nothing is read, and the next check be late."""
        self.client.sendall(sent)
        self.now += LATE_S
        self.server._sweep()


# The loop was held up between the arrival of a request and the check of the idle timeout.
def test_a_request_on_a_resting_connection_is_closed_unread():
    async def scenario():
        async with HeldUpServer() as held_up:
            held_up.client.sendall(REQUEST)
            assert b" 200 " in await held_up.read()
            await asyncio.sleep(0.05)
            held_up.hold_up(REQUEST)
            assert b" 200 " in await held_up.read()

    asyncio.run(scenario())


def test_a_first_request_is_closed_unread():
    async def scenario():
        async with HeldUpServer() as held_up:
            await asyncio.sleep(0.05)
            held_up.hold_up(REQUEST)
            assert b" 200 " in await held_up.read()

    asyncio.run(scenario())


def test_a_request_whose_rest_has_arrived_is_refused_as_too_slow():
    async def scenario():
        async with HeldUpServer() as held_up:
            held_up.client.sendall(REQUEST[:10])
            await asyncio.sleep(0.05)
            held_up.hold_up(REQUEST[10:])
            assert b" 200 " in await held_up.read()

    asyncio.run(scenario())


def test_a_request_that_arrives_as_idle_connections_are_closed_is_unanswered():
    async def scenario():
        async with HeldUpServer() as held_up:
            held_up.client.sendall(REQUEST)
            assert b" 200 " in await held_up.read()
            await asyncio.sleep(0.05)
            held_up.client.sendall(REQUEST)
            held_up.server.draining = True
            held_up.server.close_rested(0.0)
            answer = await held_up.read()
            assert b" 200 " in answer
            assert b"connection: close" in answer.lower()

    asyncio.run(scenario())


def test_a_request_that_arrives_as_a_server_without_time_left_ends_is_unanswered():
    async def scenario():
        async with HeldUpServer() as held_up:
            held_up.client.sendall(REQUEST)
            assert b" 200 " in await held_up.read()
            await asyncio.sleep(0.05)
            held_up.client.sendall(REQUEST)
            held_up.server.draining = True
            finishing = asyncio.ensure_future(held_up.server.finish(until=held_up.now))
            answer = await held_up.read()
            assert b" 200 " in answer
            assert b"connection: close" in answer.lower()
            await finishing

    asyncio.run(scenario())


@pytest.mark.parametrize(("sent", "answer"), [(b"", b""), (REQUEST[:10], b" 408 ")])
def test_a_limit_still_ends_what_has_not_arrived(sent, answer):
    async def scenario():
        async with HeldUpServer() as held_up:
            if sent:
                held_up.client.sendall(sent)
            await asyncio.sleep(0.05)
            held_up.hold_up(b"")
            received = await held_up.read()
            assert answer in received
            assert bool(received) is bool(answer)

    asyncio.run(scenario())
