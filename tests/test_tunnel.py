"""Tunnels through another instance, over sockets and in memory."""

import asyncio
import socket
from pipes import Network, RawClient, RawServer, join

import pytest
from gradelug_http import (
    HttpPool,
    HttpServer,
    OutgoingRequest,
    ResponseBroken,
    ServerLimits,
    TunnelFailed,
    TunnelServer,
    TunnelStatus,
    connect_tcp,
    open_tunnel,
)
from gradelug_http.tunnel import CONNECT_TIMEOUT_S, HEAD_TIMEOUT_S, MAX_BUFFERED_BYTES, REUSE_S
from run_world import run

KEY = b"secret"
PROXY, TARGET = "10.0.0.2:83", "10.0.1.1:80"
UNREAD_BYTES = 64_000_000
"""Size of a response that exceeds the buffers of the kernel."""
GET = OutgoingRequest(b"GET", b"/x", [(b"Host", b"h")])


class OpenPolicy:
    """Admits clients with the right key to any target but one."""

    forbidden = "10.0.9.9:80"

    def __init__(self):
        self.noted = []

    def check(self, target, key):
        if key != KEY:
            return TunnelStatus.UNAUTHENTICATED
        return TunnelStatus.FORBIDDEN if target == self.forbidden else TunnelStatus.OPEN

    def note(self, target, exc):
        self.noted.append((target, exc is None))


class TunnelNetwork(Network):
    """Servers in memory, one of which opens tunnels."""

    def __init__(self, connect=None, max_tunnels=8):
        super().__init__()
        self.policy = OpenPolicy()
        self.tunnels = TunnelServer(self.policy, connect or self.dial, max_tunnels)
        self.servers[PROXY] = self.tunnels.new_connection

    async def open(self, target=TARGET, key=KEY):
        return await open_tunnel(self.dial, PROXY, target, key)

    def pool(self):
        return HttpPool(asyncio.get_running_loop().time, self.open)


async def echo(inc):
    inc.respond(200, [(b"X-Method", inc.method)], inc.body or inc.target)


async def failure(network, target=TARGET, key=KEY):
    with pytest.raises(TunnelFailed) as found:
        await network.open(target, key)
    return found.value.status


class TestOpening:
    def test_requests_and_responses_pass_unchanged(self):
        async def scenario():
            net = TunnelNetwork()
            net.serve(TARGET, echo, ServerLimits, asyncio.get_running_loop().time)
            pool = net.pool()
            head, body = await pool.exchange(TARGET, GET, 1.0, 100)
            assert (head.status, body) == (200, b"/x")
            assert net.policy.noted == [(TARGET, True)]
            await pool.exchange(TARGET, GET, 1.0, 100)
            assert net.tunnels.opened == 1

        run(scenario)

    def test_clients_without_the_key_get_no_tunnel(self):
        async def scenario():
            net = TunnelNetwork()
            net.serve(TARGET, echo, ServerLimits, asyncio.get_running_loop().time)
            for key in (b"other", KEY[:-1], KEY + b"x"):
                assert await failure(net, key=key) is TunnelStatus.UNAUTHENTICATED
            assert net.dialled.count(TARGET) == 0

        run(scenario)

    def test_other_targets_are_forbidden(self):
        async def scenario():
            net = TunnelNetwork()
            assert await failure(net, OpenPolicy.forbidden) is TunnelStatus.FORBIDDEN

        run(scenario)

    def test_a_refusal_of_the_target_is_reported(self):
        async def scenario():
            net = TunnelNetwork()
            assert await failure(net) is TunnelStatus.REFUSED
            assert net.policy.noted == [(TARGET, False)]

        run(scenario)

    def test_a_target_that_does_not_respond_is_reported_in_time(self):
        async def scenario():
            async def hang(address, make):
                await asyncio.sleep(60.0)

            net = TunnelNetwork(hang)
            began_at = asyncio.get_running_loop().time()
            assert await failure(net) is TunnelStatus.TIMEOUT
            assert asyncio.get_running_loop().time() - began_at < CONNECT_TIMEOUT_S + 0.05

        run(scenario)

    def test_a_server_that_drains_or_is_full_opens_no_tunnel(self):
        async def scenario():
            net = TunnelNetwork(max_tunnels=1)
            net.serve(TARGET, echo, ServerLimits, asyncio.get_running_loop().time)
            await net.open()
            assert await failure(net) is TunnelStatus.UNAVAILABLE
            net.tunnels.is_draining = True
            assert await failure(net) is TunnelStatus.UNAVAILABLE

        run(scenario)

    @pytest.mark.parametrize(
        "data",
        [
            b"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
            b"\x00\xff\r\n\r\n",
            b"CONNECT " + b"x" * 9000,
            b"CONNECT 10.0.1.1:80 HTTP/1.1\r\nHost: h\r\nProxy-Authorization: Basic secret\r\n\r\n",
            b"CONNECT 10.0.1.1:80 HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\n\r\n",
            b"CONN",
        ],
    )
    def test_other_requests_open_no_tunnel(self, data):
        async def scenario():
            net = TunnelNetwork()
            net.serve(TARGET, echo, ServerLimits, asyncio.get_running_loop().time)
            client = RawClient()
            join(client, net.tunnels.new_connection())
            client.transport.write(data)
            await asyncio.sleep(HEAD_TIMEOUT_S + 0.1)
            assert b" 200 " not in client.received
            assert client.ended
            assert not net.tunnels.connections
            assert net.dialled.count(TARGET) == 0

        run(scenario)


class TestEnds:
    def test_the_end_of_the_client_reaches_the_target(self):
        async def scenario():
            net = TunnelNetwork()
            server = RawServer([])
            net.servers[TARGET] = lambda: server
            lost = []
            server.connection_lost = lost.append
            wire = await net.open()
            wire.transport.write(b"GET")
            await asyncio.sleep(0.01)
            wire.transport.abort()
            await asyncio.sleep(0.01)
            assert len(lost) == 1
            assert not net.tunnels.connections

        run(scenario)

    @pytest.mark.parametrize("end", ["close", "reset"])
    def test_a_response_without_length_is_not_complete(self, end):
        async def scenario():
            net = TunnelNetwork()
            script = [[b"HTTP/1.1 200 OK\r\n\r\npart", 0.1, end]]
            net.servers[TARGET] = lambda: RawServer(script)
            with pytest.raises(ResponseBroken):
                await net.pool().exchange(TARGET, GET, 1.0, 100)

        run(scenario)

    def test_a_response_that_ends_with_its_connection_is_delivered(self):
        async def scenario():
            net = TunnelNetwork()
            script = [[b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "close"]]
            net.servers[TARGET] = lambda: RawServer(script)
            _, body = await net.pool().exchange(TARGET, GET, 1.0, 100)
            assert body == b"body"

        run(scenario)

    def test_a_tunnel_carries_new_requests_for_a_limited_time(self):
        async def scenario():
            net = TunnelNetwork()
            net.serve(TARGET, echo, ServerLimits, asyncio.get_running_loop().time)
            pool = net.pool()
            await pool.exchange(TARGET, GET, 1.0, 100)
            await asyncio.sleep(REUSE_S - 0.1)
            await pool.exchange(TARGET, GET, 1.0, 100)
            assert net.tunnels.opened == 1
            await asyncio.sleep(0.2)
            pool.prune({TARGET})
            await asyncio.sleep(0.01)
            assert not net.tunnels.connections
            await pool.exchange(TARGET, GET, 1.0, 100)
            assert net.tunnels.opened == 2

        run(scenario)


class TestSockets:
    def test_a_large_body_passes_and_a_slow_reader_holds_up_its_sender(self):
        async def scenario():
            loop = asyncio.get_running_loop()
            size = 3_000_000
            body = bytes(range(256)) * (size // 256)

            async def serve(inc):
                inc.respond(200, [], inc.body or bytes(UNREAD_BYTES))

            server = HttpServer(serve, ServerLimits, loop.time)
            target = f"127.0.0.1:{await server.start('127.0.0.1', 0)}"
            tunnels = TunnelServer(OpenPolicy(), connect_tcp, 8)
            proxy = f"127.0.0.1:{await tunnels.start('127.0.0.1', 0)}"

            async def dial(address):
                return await open_tunnel(connect_tcp, proxy, address, KEY)

            pool = HttpPool(loop.time, dial)
            req = OutgoingRequest(b"POST", b"/x", [(b"Host", b"h")], body)
            _, received = await pool.exchange(target, req, 10.0, 2 * size)
            assert received == body

            # A client that does not read: the tunnel buffers no more than its limit.
            wire = await dial(target)
            wire.transport.pause_reading()
            wire.transport.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n")
            async with asyncio.timeout(10.0):
                while not any(
                    conn.transport.get_write_buffer_size() for conn in tunnels.connections
                ):
                    await asyncio.sleep(0)
            for _ in range(1000):
                await asyncio.sleep(0)
                # One read of the loop may exceed the limit.
                assert all(
                    conn.transport.get_write_buffer_size() <= MAX_BUFFERED_BYTES + 262_144
                    for conn in tunnels.connections
                )
            wire.transport.abort()
            await tunnels.close()
            await server.close()
            pool.close()

        asyncio.run(scenario())

    def test_a_server_that_is_gone_is_reported(self):
        async def scenario():
            # A port that is bound and not listened on refuses connections.
            with socket.socket() as found:
                found.bind(("127.0.0.1", 0))
                proxy = f"127.0.0.1:{found.getsockname()[1]}"
                with pytest.raises(TunnelFailed) as failed:
                    await open_tunnel(connect_tcp, proxy, TARGET, KEY)
                assert failed.value.status is None

        asyncio.run(scenario())
