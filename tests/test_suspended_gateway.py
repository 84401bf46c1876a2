"""A gateway process that is suspended while requests arrive on connections that rest."""

import asyncio
import json
import signal

import pytest
from fleet_stand_in import GATEWAY_HOST, HOST
from gradelug_http import HttpServer, ServerLimits
from platform_stand_in import FakeStore
from soak_parts import Gateway, free_ports
from soak_settings import CONFIG

pytestmark = pytest.mark.xdist_group("processes")

CLIENTS = 8
IDLE_S = 2.0
REST_S = 0.5
STOP_S = 0.2
"""Time in which the process has stopped, so that nothing that is sent later wakes it."""
SUSPENDED_S = 3.0
"""Longer than the idle timeout with its slack."""
ANSWER_S = 20.0
REQUEST = (
    "GET /i/x HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: {}\r\n"
    "X-Gradelug-Deadline-Ms: 10000\r\n\r\n"
)
ENTRY = {"Backend": "plain", "Zone": "z", "Slots": 8, "State": "ready", "Models": []}


async def ask(reader, writer, ident):
    """Send a request and return the status of its answer, None for a connection that ended."""
    writer.write(REQUEST.format(ident).encode())
    try:
        async with asyncio.timeout(ANSWER_S):
            head = await reader.readuntil(b"\r\n\r\n")
            (length,) = (
                int(line.partition(b":")[2])
                for line in head.split(b"\r\n")
                if line.lower().startswith(b"content-length:")
            )
            await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return int(head.split(b" ")[1])


# The idle timeout was checked before the sockets were read again.
def test_requests_that_arrive_while_a_gateway_is_suspended_are_closed_unread(tmp_path):
    async def scenario():
        clock = asyncio.get_running_loop().time
        store = FakeStore()
        config = {**CONFIG, "Limits": {"IdleTimeoutMs": IDLE_S * 1000}}
        await store.kv.swap("op/config", json.dumps(config).encode(), 0)
        server = HttpServer(store.serve, ServerLimits, clock)
        store_port = await server.start(HOST, 0)
        replica = HttpServer(_answer, ServerLimits, clock)
        address = f"{HOST}:{await replica.start(HOST, 0)}"
        await store.kv.swap("servers/i-1", json.dumps({**ENTRY, "Address": address}).encode(), 0)
        gateway = Gateway(0, tmp_path, store_port, free_ports(3), True)
        gateway.start()
        try:
            await _wait_until_ready(gateway)
            clients = [
                await asyncio.open_connection(GATEWAY_HOST, gateway.front) for _ in range(CLIENTS)
            ]
            first = [ask(*ends, f"a{number}") for number, ends in enumerate(clients)]
            assert await asyncio.gather(*first) == [200] * CLIENTS
            await asyncio.sleep(REST_S)
            gateway.signal(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            second = [
                asyncio.ensure_future(ask(*ends, f"b{number}"))
                for number, ends in enumerate(clients)
            ]
            await asyncio.sleep(SUSPENDED_S)
            gateway.signal(signal.SIGCONT)
            assert await asyncio.gather(*second) == [200] * CLIENTS
        finally:
            gateway.process.kill()
            gateway.process.wait()
            await replica.close()
            await server.close()

    asyncio.run(scenario())


async def _answer(inc):
    signature = (b"X-Gradelug-Server-Signature", b"i-1")
    ident = (b"X-Gradelug-Request-Id", inc.header(b"x-gradelug-request-id"))
    inc.respond(200, [ident, signature], b"whole")


async def _wait_until_ready(gateway):
    async with asyncio.timeout(ANSWER_S):
        while True:
            try:
                reader, writer = await asyncio.open_connection(GATEWAY_HOST, gateway.ready)
                writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                if b" 200 " in head:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
