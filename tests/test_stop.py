"""A planned stop of a router, on real sockets."""

import asyncio

import pytest
from gradelug_router import main
from gradelug_router.settings import RouterSettings, Timing

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
