"""Replicas that silently forget idle connections and reset what is sent over them later."""

import asyncio
from pipes import Network, RawServer

from gradelug_http import HttpPool, OutgoingRequest, ResponseBroken
from limit_world import LimitWorld
from run_world import run

ADDRESS = "10.0.0.1:80"
GET = OutgoingRequest(b"GET", b"/a", [(b"Host", b"h")])
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
FORGET_S = 0.3
"""Time after which a forgetful replica resets an idle connection that is used again."""
REST_S = 1.0
"""Idle time of the connections before they are used again."""
SERVICE_SIZE = 4
IDLE_EACH = 2
"""Connections to each replica that rest."""


class ForgetfulConnection(asyncio.Protocol):
    """A server's end of a connection, which it resets if it was idle when a request arrives."""

    def __init__(self, inner, clock, forget_s):
        self.inner, self.clock, self.forget_s = inner, clock, forget_s
        self.transport = None
        self.used_at = clock()
        self.uses = 0

    def connection_made(self, transport):
        self.transport = transport
        self.inner.connection_made(transport)

    def data_received(self, data):
        rested_s, self.used_at = self.clock() - self.used_at, self.clock()
        self.uses += 1
        if self.uses > 1 and rested_s >= self.forget_s:
            self.transport.abort()
            return
        self.inner.data_received(data)

    def eof_received(self):
        return self.inner.eof_received()

    def connection_lost(self, exc):
        self.inner.connection_lost(exc)


def forget_idle(net, clock, address, forget_s=FORGET_S):
    """Let the server at an address forget connections that are idle."""
    listen = net.servers[address]
    net.servers[address] = lambda: ForgetfulConnection(listen(), clock, forget_s)


def clock():
    return asyncio.get_running_loop().time


class PoolBench:
    """A pool with idle connections to one server that forgets them."""

    def __init__(self, idle, forget_s=FORGET_S):
        self.net = Network()
        self.net.servers[ADDRESS] = lambda: RawServer([[OK]] * 100)
        forget_idle(self.net, clock(), ADDRESS, forget_s)
        self.pool = HttpPool(clock(), self.net.dial)
        self._idle = idle

    async def open_idle(self):
        conns = [await self.pool.acquire(ADDRESS, 1.0) for _ in range(self._idle)]
        for conn in conns:
            conn.send(GET)
            head = await conn.head(lambda head: True)
            await conn.body(100)
            self.pool.release(conn, head)

    async def get(self):
        """Return whether a request is answered."""
        try:
            await self.pool.exchange(ADDRESS, GET, 0.5, 100)
        except ResponseBroken:
            return False
        return True


class TestPool:
    def test_one_connection_after_the_other_was_reset_after_the_same_rest(self):
        async def scenario():
            bench = PoolBench(idle=3)
            answered = []
            for _ in range(3):
                await bench.open_idle()
                await asyncio.sleep(REST_S)
                answered.append(await bench.get())
            assert answered == [False, True, True]

        run(scenario)


async def rest(world):
    """Leave idle connections to each plain replica."""
    (gateway,) = world.gateways
    asked = SERVICE_SIZE * IDLE_EACH * 3
    await asyncio.gather(*(world.ask(gateway, b"harmless", path=b"/i/x") for _ in range(asked)))
    await asyncio.sleep(REST_S)


class TestService:
    def test_a_request_that_must_not_run_twice_failed_after_resets_at_other_replicas(self):
        async def scenario():
            async with LimitWorld(gateways=1, engines=1, plain=SERVICE_SIZE) as world:
                for replica in world.plain.values():
                    forget_idle(world.net, world.clock, replica.address)
                await rest(world)
                (gateway,) = world.gateways
                statuses = [
                    await world.ask(gateway, b"harmless", path=b"/u/x")
                    for _ in range(SERVICE_SIZE * IDLE_EACH)
                ]
                assert statuses.count(502) == 1, statuses

        run(scenario)

    def test_each_replica_of_a_service_reset_a_connection_of_the_same_instance(self):
        async def scenario():
            async with LimitWorld(gateways=1, engines=1, plain=SERVICE_SIZE) as world:
                for replica in world.plain.values():
                    forget_idle(world.net, world.clock, replica.address)
                await rest(world)
                (gateway,) = world.gateways
                for _ in range(SERVICE_SIZE * IDLE_EACH):
                    assert await world.ask(gateway, b"harmless", path=b"/i/x") == 200
                metrics = gateway.daemon._meters.render().decode()
                assert 'gradelug_broken_sendings_total{stage="sent"} 1.0' in metrics

        run(scenario)
