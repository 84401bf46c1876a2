"""Requests on connections that rest while client and server know different idle timeouts."""

import asyncio
from pipes import Network

import pytest
from gradelug_http import HttpPool, OutgoingRequest, ServerLimits
from world import new_loop

ADDRESS = "10.0.0.1:80"
REQUEST = OutgoingRequest(b"GET", b"/a", [(b"Host", b"h")])
DELAY_S = 0.4
"""Time until the other end notices the end of a connection, longer than a check's interval."""


async def respond(inc):
    inc.respond(200, [], b"ok")


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


# The server closed by the timeout that it knew, on a request of a client that knew a longer one.
@pytest.mark.parametrize("rest_s", [1.0, 1.4, 2.4, 2.6, 2.8, 3.5])
def test_a_request_crosses_the_close_of_a_server_that_knows_a_shorter_timeout(rest_s):
    async def scenario():
        clock = asyncio.get_running_loop().time
        net = Network()
        server = net.serve(ADDRESS, respond, lambda: ServerLimits(idle_s=2.0), clock)
        pool = HttpPool(clock, net.dial)
        await pool.exchange(ADDRESS, REQUEST, 1.0, 100)
        (conn,) = server.connections
        conn.transport.delay_s = DELAY_S
        await asyncio.sleep(rest_s)
        _, body = await pool.exchange(ADDRESS, REQUEST, 1.0, 100)
        assert body == b"ok"

    run(scenario)


@pytest.mark.parametrize("shorter_s", [1.0, 0.4])
def test_a_connection_is_closed_before_the_time_that_an_answer_stated(shorter_s):
    async def scenario():
        clock = asyncio.get_running_loop().time
        net, limits = Network(), [ServerLimits(idle_s=4.0)]

        async def change_then_finish(inc):
            inc.begin(200, [])
            limits[0] = ServerLimits(idle_s=shorter_s)
            inc.finish()

        server = net.serve(ADDRESS, change_then_finish, lambda: limits[0], clock)
        pool = HttpPool(clock, net.dial)
        head, _ = await pool.exchange(ADDRESS, REQUEST, 1.0, 100)
        assert head.get(b"keep-alive") == b"timeout=4"
        await asyncio.sleep(4.0)
        assert server.connections

    run(scenario)


def test_an_idle_timeout_below_a_second_is_not_stated():
    async def scenario():
        clock = asyncio.get_running_loop().time
        net = Network()
        net.serve(ADDRESS, respond, lambda: ServerLimits(idle_s=0.9), clock)
        head, _ = await HttpPool(clock, net.dial).exchange(ADDRESS, REQUEST, 1.0, 100)
        assert head.get(b"keep-alive") is None

    run(scenario)
