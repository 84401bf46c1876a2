"""How many connections of callers are open, and which of them are closed for newer ones."""

import asyncio
import errno
import resource
import socket
from pipes import RawClient, join

import pytest
from gradelug_http import (
    ConnectionEnd,
    Door,
    EarlyServer,
    EndCause,
    HttpServer,
    ServerLimits,
    max_caller_connections,
)
from gradelug_http.connection_limit import FILE_DESCRIPTORS, MIN_REST_S
from gradelug_http.server import ACCEPTS_PER_TURN
from test_unread import run

MAX_CONNECTIONS = 5
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"


class Callers:
    """A server that takes few connections, and its clients."""

    def __init__(self):
        self.ends: list[ConnectionEnd] = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        clock = asyncio.get_running_loop().time
        self.server = HttpServer(
            self._serve,
            ServerLimits,
            clock,
            on_end=self.ends.append,
            max_connections=MAX_CONNECTIONS,
        )

    async def _serve(self, inc):
        await self.may_answer.wait()
        inc.respond(200, [], b"")

    async def connect(self, sent=b""):
        client = RawClient()
        join(client, self.server.new_connection())
        if sent:
            client.transport.write(sent)
        await asyncio.sleep(0.01)
        return client


class TestLimit:
    def test_a_newcomer_is_closed_while_all_others_are_served(self):
        async def scenario():
            callers = Callers()
            callers.may_answer.clear()
            served = [await callers.connect(GET) for _ in range(MAX_CONNECTIONS)]
            await asyncio.sleep(MIN_REST_S)
            newcomer = await callers.connect(GET)
            assert newcomer.ended
            assert not newcomer.received
            callers.may_answer.set()
            await asyncio.sleep(0.01)
            assert all(b" 200 " in client.received for client in served)
            assert [end.cause for end in callers.ends] == [EndCause.CROWDED]

        run(scenario)

    def test_unused_connections_are_closed_first_and_then_the_longest_resting(self):
        async def scenario():
            callers = Callers()
            clients = [await callers.connect(GET) for _ in range(3)]
            clients += [await callers.connect() for _ in range(2)]
            clients[0].transport.write(GET)
            await asyncio.sleep(MIN_REST_S)
            for _ in range(3):
                await callers.connect(GET)
            await asyncio.sleep(0.1)
            assert [client.ended for client in clients] == [False, True, False, True, True]

        run(scenario)

    def test_connections_that_rest_for_a_moment_are_kept(self):
        async def scenario():
            callers = Callers()
            clients = [await callers.connect() for _ in range(MAX_CONNECTIONS)]
            newcomer = await callers.connect(GET)
            assert newcomer.ended
            assert not any(client.ended for client in clients)

        run(scenario)

    def test_a_request_that_arrives_meanwhile_keeps_its_connection(self):
        async def scenario():
            callers = Callers()
            clients = [await callers.connect() for _ in range(MAX_CONNECTIONS)]
            await asyncio.sleep(MIN_REST_S)
            for client in clients:
                client.transport.write(GET)
            await callers.connect(GET)
            await asyncio.sleep(0.1)
            assert all(b" 200 " in client.received for client in clients)

        run(scenario)

    def test_the_limit_leaves_descriptors_for_files_and_replicas(self):
        limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        assert max_caller_connections() <= (limit - FILE_DESCRIPTORS) // 2 + 1


class Exhausted(socket.socket):
    """Fails to accept, as without free descriptors, until `is_exhausted` is cleared."""

    is_exhausted = True
    refusals = 0

    def accept(self):
        if self.is_exhausted:
            self.refusals += 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


# Each failure to accept was tried again a thousand times a second.
@pytest.mark.filterwarnings("error")
def test_a_process_without_descriptors_tried_to_accept_without_end_and_goes_on_later():
    async def scenario():
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda loop, context: errors.append(context["message"]))
        sock = Exhausted()
        sock.bind(("127.0.0.1", 0))
        sock.listen()

        async def serve(inc):
            inc.respond(200, [], b"")

        server = EarlyServer(serve, ServerLimits, loop.time)
        port = await server.enter(Door(sock, loop.time()))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(GET)
        await asyncio.sleep(0.5)
        assert 0 < sock.refusals <= ACCEPTS_PER_TURN
        sock.is_exhausted = False
        async with asyncio.timeout(10):
            assert b" 200 " in await reader.readline()
        assert set(errors) == {"socket.accept() out of system resource"}
        writer.close()
        await server.close()

    asyncio.run(scenario())


# The process may open more descriptors than its machine allows.
@pytest.mark.parametrize(
    ("process", "settings", "allowed"),
    [
        (4_100, 0, 1_950),
        (100_000, 4_100, 1_950),
        (600, 4_100, 200),
        (resource.RLIM_INFINITY, 600, 200),
        (resource.RLIM_INFINITY, 0, 0),
        (100, 0, 1),
    ],
)
def test_descriptors_that_the_settings_do_not_allow_went_to_callers(
    monkeypatch, process, settings, allowed
):
    monkeypatch.setattr(resource, "getrlimit", lambda which: (process, process))
    assert max_caller_connections(settings) == allowed
