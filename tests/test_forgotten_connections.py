"""Replicas that silently forget idle connections and reset what is sent over them later."""

import asyncio
from pipes import Network, RawServer

import pytest
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

    async def break_one(self):
        """Send a request over an idle connection, and report its break."""
        conn = await self.pool.acquire(ADDRESS, 1.0)
        assert conn.uses
        conn.send(GET)
        with pytest.raises(ResponseBroken):
            await conn.head(lambda head: True)
        self.pool.note_broken(conn)

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

    def test_idle_connections_that_rested_as_long_are_closed_at_once(self):
        async def scenario():
            bench = PoolBench(idle=3)
            await bench.open_idle()
            await asyncio.sleep(REST_S)
            await bench.break_one()
            assert bench.pool.connections == 1
            assert bench.pool.resets.noted == 1
            await bench.get()
            assert len(bench.net.dialled) == 4

        run(scenario)

    def test_a_request_that_may_not_be_repeated_gets_a_new_connection(self):
        async def scenario():
            bench = PoolBench(idle=2)
            await bench.open_idle()
            conn = await bench.pool.acquire(ADDRESS, 1.0, may_repeat=False)
            assert conn.uses == 1
            await asyncio.sleep(REST_S)
            await bench.break_one()
            # The connection that this leaves has rested for a moment only.
            assert await bench.get()
            assert (await bench.pool.acquire(ADDRESS, 1.0, may_repeat=False)).uses == 0
            assert (await bench.pool.acquire(ADDRESS, 1.0)).uses == 1

        run(scenario)

    @pytest.mark.parametrize(
        ("first_bytes", "via"), [(b"HTTP/1.1 2", ""), (b"", "10.0.0.2:83")], ids=["head", "tunnel"]
    )
    def test_a_reset_was_taken_for_a_forgotten_connection(self, first_bytes, via):
        """The upstream had begun to answer, or the tunnel may have ended instead of it."""

        async def scenario():
            bench = PoolBench(idle=1, forget_s=100.0)
            bench.net.servers[ADDRESS] = lambda: RawServer([[OK], [first_bytes, "reset"]])
            dial = bench.net.dial

            async def dial_via(address):
                wire = await dial(address)
                wire.via = via
                return wire

            bench.pool.dial = dial_via
            await bench.open_idle()
            await asyncio.sleep(REST_S)
            await bench.break_one()
            assert bench.pool.resets.noted == 0

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
