"""A planned stop of a router, on real sockets."""

import asyncio
import socket

import pytest
from gradelug_router import main
from gradelug_router.exceptions import ApiError, Outcome
from gradelug_router.serving import Serving
from gradelug_router.settings import RouterSettings, Timing
from world import FakeExchange

EVENTS = 5


async def stop_under_a_stream(stop_s):
    """Stop a router while it streams; return what its caller read."""
    cfg = RouterSettings(
        name="r",
        hall="h",
        listen="127.0.0.1:0",
        schedulers=["127.0.0.1:1"],
        timing=Timing(stop_s=stop_s),
    )
    router = main.Router(cfg)
    stopping = asyncio.Event()

    async def serve(exchange):
        exchange.begin(200, {})
        await exchange.send(b"first ")
        await stopping.wait()
        for number in range(EVENTS):
            await asyncio.sleep(0.05)
            await exchange.send(b"event%d " % number)
        exchange.finish()

    router.door._serve = serve
    reader, writer = await asyncio.open_connection("127.0.0.1", router.door.port)
    writer.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
    data = await reader.readuntil(b"first ")
    stop = asyncio.ensure_future(router.stop())
    stopping.set()
    data += await reader.read() if stop_s < 1 else await reader.readuntil(b"0\r\n\r\n")
    await stop
    writer.close()
    return data


@pytest.fixture(autouse=True)
def no_notice(monkeypatch):
    monkeypatch.setattr(main, "NOTICE_S", 0.0)


class TestStop:
    def test_a_stream_in_progress_runs_to_its_end(self):
        data = asyncio.run(stop_under_a_stream(stop_s=10.0))
        assert data.endswith(b"0\r\n\r\n")
        assert b"event%d " % (EVENTS - 1) in data

    def test_without_the_wait_it_would_be_cut(self):
        data = asyncio.run(stop_under_a_stream(stop_s=0.01))
        assert not data.endswith(b"0\r\n\r\n")


REQUEST = b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n"
HALF = b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab"
QUEUED = 30
READ_S = 20.0


class WorkServing(Serving):
    """Answers any request; those to one path only when the test lets them end."""

    def __init__(self, parts):
        super().__init__(parts)
        self.ended = asyncio.Event()
        self.served = 0

    async def _route(self, exchange, request_id):
        self.served += 1
        if exchange.path == "/long":
            await self.ended.wait()
        exchange.respond(200, b"whole", {})


class StoppedRouter:
    """A router that is stopped while callers use it."""

    def __init__(self, stop_s=10.0):
        cfg = RouterSettings(
            name="r",
            hall="h",
            listen="127.0.0.1:0",
            schedulers=["127.0.0.1:1"],
            timing=Timing(stop_s=stop_s),
        )
        self.router = main.Router(cfg)
        self.serving = self.router.serving = WorkServing(self.router.serving._parts)
        self.door = self.router.door
        self.door._serve = self.serving.serve
        self.ended = self.serving.ended

    async def connect(self, data=b""):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.door.port)
        writer.write(data)
        return reader, writer

    async def wait_closed(self):
        """Wait until the door listens no more."""
        while self.door._web.server._sock is not None:
            await asyncio.sleep(0.01)


async def answers(reader):
    """Return the statuses of all answers until the connection ends, and whether it was told."""
    data = await reader.read()
    heads = data.split(b"HTTP/1.1 ")[1:]
    return [int(head[:3]) for head in heads], b"connection: close" in data.lower()


def stop_router(scenario, **options):
    async def play():
        async with asyncio.timeout(READ_S):
            await scenario(StoppedRouter(**options))

    asyncio.run(play())


class TestStopOfTheDoor:
    def test_connections_that_the_kernel_has_accepted_are_reset(self):
        async def scenario(stopped):
            port = stopped.door.port
            stopping = asyncio.ensure_future(stopped.router.stop())
            # The loop does not run meanwhile, so that all connections wait in the queue.
            clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(QUEUED)]
            for client in clients:
                client.sendall(REQUEST)
                client.settimeout(READ_S)
            await stopping
            received = [client.recv(1000) for client in clients]
            for client in clients:
                client.close()
            assert sum(b" 200 " in data for data in received) == QUEUED

        stop_router(scenario)

    def test_a_request_on_a_resting_connection_is_closed_unread(self):
        async def scenario(stopped):
            kept, kept_writer = await stopped.connect()
            long, _ = await stopped.connect(REQUEST.replace(b"/x", b"/long"))
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stopped.router.stop())
            await stopped.wait_closed()
            kept_writer.write(REQUEST)
            assert await answers(kept) == ([200], True)
            stopped.ended.set()
            assert await answers(long) == ([200], True)
            await stopping

        stop_router(scenario)

    def test_a_request_that_was_sent_ahead_is_dropped(self):
        async def scenario(stopped):
            reader, _ = await stopped.connect(REQUEST.replace(b"/x", b"/long") + REQUEST)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stopped.router.stop())
            await stopped.wait_closed()
            stopped.ended.set()
            assert await answers(reader) == ([200, 200], True)
            await stopping

        stop_router(scenario)

    def test_half_a_request_is_closed_without_an_answer(self):
        async def scenario(stopped):
            reader, _ = await stopped.connect(HALF)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stopped.router.stop())
            assert await answers(reader) == ([503], True)
            await stopping
            assert stopped.serving.served == 0

        stop_router(scenario, stop_s=0.5)

    def test_a_request_without_time_left_is_answered_by_a_closed_connection(self):
        async def scenario(stopped):
            reader, _ = await stopped.connect(REQUEST.replace(b"/x", b"/long"))
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(stopped.router.stop())
            statuses, _ = await answers(reader)
            assert statuses == [504]
            await stopping

        stop_router(scenario, stop_s=0.5)

    @pytest.mark.parametrize("headers", [{}, {"Gradelug-Repeatable": "no"}])
    def test_a_deadline_is_later_than_the_end_of_the_router(self, headers):
        async def scenario(stopped):
            serving = stopped.serving
            exchange = FakeExchange("m", headers={**headers, "Gradelug-Deadline-Ms": "60000"})
            until = asyncio.get_running_loop().time() + 1.0
            serving.stop(until)
            if not headers:
                assert serving._job(exchange, "r1", None).deadline == until
                return
            with pytest.raises(ApiError) as caught:
                serving._job(exchange, "r1", None)
            assert (caught.value.status, caught.value.outcome) == (503, Outcome.NOT_RUN)

        stop_router(scenario)
