"""Bounds on bytes that replicas, the store and peers send, in memory."""

import asyncio
import contextlib
import gc
import tracemalloc
import weakref
from pipes import Network, RawClient, RawServer, join
from types import SimpleNamespace

import pytest
import test_serving
from gradelug_gateway import streams
from gradelug_gateway.model import Repeat
from gradelug_gateway.response_wait import ResponseWaiter
from gradelug_gateway.settings import BASE_MEMORY_MB, Addresses, Bounds, GatewaySettings
from gradelug_gateway.streams import EventAssembler
from gradelug_http import (
    HttpPool,
    OutgoingRequest,
    ResponseBroken,
    TunnelServer,
    TunnelStatus,
    Wire,
    connect_tcp,
    open_tunnel,
)
from gradelug_http.budget import LEAST_BODY_BYTES, LEAST_PART, LEAST_READ_AHEAD, BodyBudget
from gradelug_http.client import MAX_HEAD_BYTES
from gradelug_http.tunnel import MAX_BUFFERED_BYTES
from gradelug_platform import main
from gradelug_platform.settings import PlatformSettings
from gradelug_platform.store import PlatformStore
from hypothesis import given, settings
from hypothesis import strategies as st
from refusal_world import DEADLINE_S
from run_world import run
from test_endless_responses import CHUNK, CHUNKED, RESPONSES, endless_world
from test_endless_responses import HEAD as ENDLESS_HEAD

ADDRESS = "10.0.1.1:80"
GET = OutgoingRequest(b"GET", b"/x", [(b"Host", b"h")])
HEAD = b"HTTP/1.1 200 OK\r\n"
SHORT = HEAD + b"Content-Length: 2\r\n\r\nok"
LIMIT_BYTES = 4_000_000
TUNNELS = 20
STREAMS = 50
UNREAD_BYTES = 32_000_000
BOUND_BYTES = 2_000_000
FACTOR = 3
"""Memory that a body may take, by its bytes."""


class Server(RawServer):
    """A scripted server that notes the end of its connection."""

    is_lost = False

    def connection_lost(self, exc):
        self.is_lost = True


class Bench:
    """A pool before one scripted server."""

    def __init__(self, script):
        self.net = Network()
        self.opened = []
        self.net.servers[ADDRESS] = self._accept
        self._script = script
        self.pool = HttpPool(asyncio.get_running_loop().time, self.net.dial)

    def _accept(self):
        self.opened.append(Server(self._script))
        return self.opened[-1]

    async def exchange(self, most_bytes=LIMIT_BYTES):
        return await self.pool.exchange(ADDRESS, GET, 1.0, most_bytes)


class TestHeads:
    @pytest.mark.parametrize(
        "head",
        [
            HEAD + b"a:b\r\n" * 10_000 + b"Content-Length: 2\r\n\r\nok",
            HEAD + b"X-Fill: " + b"x" * 2 * MAX_HEAD_BYTES + b"\r\nContent-Length: 2\r\n\r\nok",
            b"HTTP/1.1 103 Early Hints\r\n" + b"a:b\r\n" * 10_000 + b"\r\n" + SHORT,
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n" + b"a:b\r\n" * 10_000 + b"\r\n",
        ],
        ids=["fields", "bytes", "informational", "trailer"],
    )
    def test_a_large_head_that_came_in_one_piece_was_accepted(self, head):
        async def scenario():
            bench = Bench([[head]])
            with pytest.raises(ResponseBroken):
                await bench.exchange()
            await asyncio.sleep(0.01)
            assert bench.opened[0].is_lost

        run(scenario)

    def test_an_announced_body_over_the_limit_is_not_awaited(self):
        async def scenario():
            bench = Bench([[HEAD + b"Content-Length: 5000000\r\n\r\n"]])
            with pytest.raises(ResponseBroken):
                await bench.exchange()

        run(scenario)


class TestLongNumbers:
    @pytest.mark.parametrize("digits", [400, 5_000])
    def test_a_long_keep_alive_time_broke_off_a_whole_answer(self, digits):
        async def scenario():
            stated = b"Keep-Alive: timeout=" + b"9" * digits + b"\r\n"
            bench = Bench([[HEAD + stated + b"Content-Length: 2\r\n\r\nok"]])
            _, body = await bench.exchange()
            assert body == b"ok"

        run(scenario)

    def test_a_long_event_number_raised_no_broken_response(self):
        assembler = EventAssembler(0)
        with pytest.raises(ResponseBroken):
            assembler.feed(b"id: " + b"9" * 5_000 + b"\ndata: x\n\n")

    def test_a_long_era_ended_the_calls_of_the_store(self):
        async def scenario():
            era = b"Store-Era: " + b"9" * 5_000 + b"\r\n"
            body = b'{"items": [], "StoreRevision": 3}'
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            bench = Bench([[HEAD + era + length + body]])
            listing = await PlatformStore(ADDRESS, bench.pool).list("")
            assert listing.revision == 3

        run(scenario)


class TestBodies:
    def test_chunks_of_two_bytes_took_many_times_their_size(self):
        async def scenario():
            size = 400_000
            chunks = b"2\r\nxx\r\n" * (size // 2)
            bench = Bench([[HEAD + b"Transfer-Encoding: chunked\r\n\r\n", 0.01, chunks]])
            exchange = asyncio.ensure_future(bench.exchange())
            # The piece is in memory in any case.
            await asyncio.sleep(0.005)
            tracemalloc.start()
            try:
                await asyncio.sleep(0.5)
                # The transport in memory keeps what was written.
                bench.opened[0].transport.written.clear()
                held, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
                exchange.cancel()
            assert held <= FACTOR * size

        run(scenario)

    def test_one_body_in_small_chunks_held_up_the_loop(self):
        async def scenario():
            chunks = b"2\r\nxx\r\n" * 50_000
            bench = Bench([[HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + chunks]])
            exchange = asyncio.ensure_future(bench.exchange())
            turns = 0
            while bench.pool.held() == 0:
                await asyncio.sleep(0)
            while bench.pool.held() > 0:
                turns += 1
                await asyncio.sleep(0)
            exchange.cancel()
            # One turn of the loop takes at most a twentieth of what has come.
            assert turns >= 20

        run(scenario)


class Held:
    """Stands for what the frames of a broken answer refer to."""


class TestBrokenAnswers:
    def test_what_a_broken_answer_held_waited_for_the_collector(self):
        refs = []

        async def break_off():
            held = Held()
            refs.append(weakref.ref(held))
            raise ResponseBroken("cut")

        async def scenario():
            route = SimpleNamespace(repeat=Repeat.NEVER)
            exchange = SimpleNamespace(
                job=SimpleNamespace(route=route), run=None, is_secondary=False
            )
            waiter = ResponseWaiter(asyncio.get_running_loop().time, None, None)
            for _ in range(10):
                with contextlib.suppress(ResponseBroken):
                    await waiter.receive(exchange, break_off())
                await asyncio.sleep(0.01)

        gc.disable()
        try:
            run(scenario)
            assert [ref() for ref in refs[:-1]] == [None] * 9
        finally:
            gc.enable()


class TestBudget:
    @settings(derandomize=True)
    @given(
        st.integers(0, 2_000_000),
        st.integers(0, 400_000),
        st.lists(st.tuples(st.integers(0, 20), st.integers(1, 300_000)), max_size=60),
    )
    def test_bodies_exceed_the_limit_only_by_the_share_of_each(self, limit, unsent, parts):
        budget = BodyBudget(limit, lambda: unsent)
        leases = {}
        for number, size in parts:
            lease = leases.setdefault(number, None) or budget.open()
            leases[number] = lease
            if not lease.add(size):
                lease.release()
                leases[number] = None
            # Each body has its share of a half, and 8 KB where that is less.
            least = len(leases) * LEAST_READ_AHEAD
            assert budget.held <= limit * (1 + LEAST_PART) + least
        for lease in leases.values():
            if lease is not None:
                lease.release()
                lease.release()
        assert (budget.held, budget.bodies) == (0, 0)

    def test_answers_that_callers_do_not_read_leave_no_room_for_large_bodies(self):
        lease = BodyBudget(4 * LEAST_BODY_BYTES, lambda: 4 * LEAST_BODY_BYTES).open()
        assert lease.add(LEAST_BODY_BYTES)
        assert not lease.add(1)


class TestSums:
    @pytest.mark.parametrize("memory_mb", [160, 200, 300])
    def test_bounds_of_all_pools_exceeded_the_memory_of_an_instance(self, memory_mb, monkeypatch):
        pools = []

        class RecordedPool(HttpPool):
            def __init__(self, *args):
                super().__init__(*args)
                pools.append(self)

        async def scenario():
            monkeypatch.setattr(main, "HttpPool", RecordedPool)
            addresses = Addresses("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
            gateway = GatewaySettings("i", "h", addresses, Bounds(), memory_mb=memory_mb)
            main._new_daemon(PlatformSettings(gateway, "127.0.0.1:4"), None)
            bodies = sum(pool.body_limit for pool in pools) * (1 + LEAST_PART)
            base = BASE_MEMORY_MB * 1_000_000
            assert len(pools) == 4
            assert base + gateway.unread_bytes + bodies <= memory_mb * 1_000_000

        run(scenario)


class TestReadAhead:
    def test_each_connection_received_a_whole_read_beyond_its_bound(self):
        async def scenario():
            target = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
            address = f"127.0.0.1:{target.sockets[0].getsockname()[1]}"
            pool = HttpPool(asyncio.get_running_loop().time)
            pool.bound_read_ahead(LEAST_READ_AHEAD)
            conns = [await pool.acquire(address, 1.0) for _ in range(TUNNELS)]
            for conn in conns:
                conn.send(GET)
            most = 0
            for _ in range(50):
                await asyncio.sleep(0.005)
                most = max(most, pool.held())
            for conn in conns:
                conn.abort()
            target.close()
            return most

        most = asyncio.run(scenario())
        assert 0 < most <= 2 * TUNNELS * LEAST_READ_AHEAD


class TestWires:
    def test_a_read_that_was_cancelled_loses_nothing(self):
        async def scenario():
            wire = Wire()
            read = asyncio.ensure_future(wire.read())
            await asyncio.sleep(0.01)
            wire.data_received(b"first")
            read.cancel()
            await asyncio.sleep(0.01)
            wire.data_received(b"second")
            assert await wire.read() == b"firstsecond"
            again = asyncio.ensure_future(wire.read())
            await asyncio.sleep(0.01)
            wire.data_received(b"third")
            assert await again == b"third"

        run(scenario)

    def test_what_came_before_a_reset_is_read_from_a_closed_transport(self):
        async def scenario():
            target = await asyncio.start_server(send_and_reset, "127.0.0.1", 0)
            address = f"127.0.0.1:{target.sockets[0].getsockname()[1]}"
            wire = await connect_tcp(address, Wire)
            wire.read_ahead = 0
            wire.transport.write(b"GET")
            async with asyncio.timeout(5.0):
                while not wire.received:
                    await asyncio.sleep(0.001)
                wire.transport.abort()
                while not wire.ended:
                    await asyncio.sleep(0.001)
                assert await wire.read(3) == b"xxx"
            target.close()

        asyncio.run(scenario())

    def test_requests_that_replicas_do_not_read_were_not_counted(self):
        async def scenario():
            target = await asyncio.start_server(read_nothing, "127.0.0.1", 0)
            address = f"127.0.0.1:{target.sockets[0].getsockname()[1]}"
            pool = HttpPool(asyncio.get_running_loop().time)
            conn = await pool.acquire(address, 1.0)
            conn.send(OutgoingRequest(b"POST", b"/x", [(b"Host", b"h")], bytes(UNREAD_BYTES)))
            await asyncio.sleep(0.1)
            held = pool.held()
            conn.abort()
            target.close()
            return held, pool.held()

        held, after = asyncio.run(scenario())
        assert held >= UNREAD_BYTES // 4
        assert after == 0


async def send_and_reset(reader, writer):
    await reader.read(3)
    writer.write(b"x" * 1000)
    await writer.drain()
    await reader.read()


async def read_nothing(reader, writer):
    writer.transport.pause_reading()


class TestIdleConnections:
    def test_bytes_behind_a_whole_answer_were_kept_on_an_idle_connection(self):
        async def scenario():
            bench = Bench([[SHORT, 0.5, b"x" * 1000]])
            await bench.exchange()
            await asyncio.sleep(0.6)
            assert bench.opened[0].is_lost
            assert bench.pool.held() == 0

        run(scenario)

    def test_closed_connections_were_counted_until_they_were_collected(self):
        async def scenario():
            bench = Bench([[SHORT + b"x" * 1000]])
            conn = await bench.pool.acquire(ADDRESS, 1.0)
            conn.send(GET)
            await asyncio.sleep(0.01)
            assert bench.pool.held() > 0
            conn.abort()
            await asyncio.sleep(0.01)
            # The connection is still referenced, as by an exception's traceback.
            assert bench.pool.held() == 0
            assert bench.pool.connections == 0

        run(scenario)


class CountingPattern:
    """A pattern that counts the bytes that it was given to search."""

    def __init__(self, pattern):
        self._pattern = pattern
        self.searched = 0

    def finditer(self, data, start=0):
        self.searched += len(data) - start
        return self._pattern.finditer(data, start)

    def search(self, data, start=0):
        self.searched += len(data) - start
        return self._pattern.search(data, start)


class TestEvents:
    @pytest.mark.parametrize("size", [1, 7, 16])
    def test_an_event_in_small_pieces_was_searched_from_its_start_each_time(
        self, size, monkeypatch
    ):
        pattern = CountingPattern(streams._end_re)
        monkeypatch.setattr(streams, "_end_re", pattern)
        assembler, total = EventAssembler(0), 40_000
        for _ in range(total // size):
            assembler.feed(b"x" * size)
        assert pattern.searched <= 8 * total

    @settings(derandomize=True)
    @given(st.lists(st.integers(1, 9), min_size=1), st.sampled_from([b"\n\n", b"\r\n\r\n"]))
    def test_ends_of_events_are_found_for_any_chunking(self, sizes, end):
        raw = b"".join(b"id: %d\ndata: x%b" % (number, end) for number in range(1, 6))
        assembler, out, start, turn = EventAssembler(0), b"", 0, 0
        while start < len(raw):
            size = sizes[turn % len(sizes)]
            out += assembler.feed(raw[start : start + size])
            start, turn = start + size, turn + 1
        assert out == raw
        assert assembler.is_between_events


class TestUnfinishedEvents:
    def test_events_without_an_end_were_not_counted(self, monkeypatch):
        class BoundedPool(HttpPool):
            def __init__(self, *args):
                super().__init__(*args)
                self.bound_bodies(BOUND_BYTES)

        async def scenario():
            monkeypatch.setattr(test_serving, "HttpPool", BoundedPool)
            monkeypatch.setitem(RESPONSES, "event", (ENDLESS_HEAD + CHUNKED, CHUNK))
            world, opened = endless_world("event")
            tracemalloc.start()
            try:
                for _ in range(STREAMS):
                    world.ask("stream")
                await asyncio.sleep(DEADLINE_S + 0.3)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert len(opened) == STREAMS
            assert peak <= 10 * BOUND_BYTES
            assert all(caller.is_answered for caller in world.callers)

        run(scenario)


class OpenPolicy:
    def check(self, target, key):
        return TunnelStatus.OPEN

    def note(self, target, exc):
        pass


class TestTunnels:
    def test_bytes_sent_with_the_request_for_a_tunnel_were_kept(self):
        async def scenario():
            net = Network()
            server = Server([])
            net.servers[ADDRESS] = lambda: server
            tunnels = TunnelServer(OpenPolicy(), net.dial, 8)
            client = RawClient()
            join(client, tunnels.new_connection())
            client.transport.write(
                b"CONNECT 10.0.1.1:80 HTTP/1.1\r\nHost: h\r\n"
                b"Proxy-Authorization: Bearer k\r\n\r\n" + b"x" * 100_000
            )
            await asyncio.sleep(0.1)
            assert client.ended
            assert not tunnels.connections

        run(scenario)

    def test_a_head_of_many_fields_opened_a_tunnel(self):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: Server([])
            tunnels = TunnelServer(OpenPolicy(), net.dial, 8)
            client = RawClient()
            join(client, tunnels.new_connection())
            client.transport.write(
                b"CONNECT 10.0.1.1:80 HTTP/1.1\r\nHost: h\r\n" + b"a:b\r\n" * 10_000 + b"\r\n"
            )
            await asyncio.sleep(0.1)
            assert client.ended
            assert b" 200 " not in client.received

        run(scenario)

    def test_bytes_behind_the_response_to_a_request_for_a_tunnel_were_lost(self):
        async def scenario():
            net = Network()
            net.servers["proxy"] = lambda: Server([[b"HTTP/1.1 200 OK\r\n\r\nextra"]])
            wire = await open_tunnel(net.dial, "proxy", ADDRESS, b"k")
            async with asyncio.timeout(1.0):
                assert await wire.read() == b"extra"

        run(scenario)

    def test_each_tunnel_buffered_a_whole_read_beyond_its_limit(self):
        async def scenario():
            target = await asyncio.start_server(send_without_end, "127.0.0.1", 0)
            address = f"127.0.0.1:{target.sockets[0].getsockname()[1]}"
            tunnels = TunnelServer(OpenPolicy(), connect_tcp, TUNNELS)
            proxy = f"127.0.0.1:{await tunnels.start('127.0.0.1', 0)}"
            wires = []
            for _ in range(TUNNELS):
                wires.append(await open_tunnel(connect_tcp, proxy, address, b"k"))
                wires[-1].transport.pause_reading()
                wires[-1].transport.write(b"GET")
            most = 0
            for _ in range(200):
                await asyncio.sleep(0.005)
                buffers = [conn.transport.get_write_buffer_size() for conn in tunnels.connections]
                most = max(most, sum(buffers))
            for wire in wires:
                wire.transport.abort()
            await tunnels.close()
            target.close()
            return most

        most = asyncio.run(scenario())
        assert 0 < most <= TUNNELS * MAX_BUFFERED_BYTES


async def send_without_end(reader, writer):
    try:
        await reader.read(3)
        while not writer.is_closing():
            writer.write(b"x" * 262_144)
            await writer.drain()
    except ConnectionError:
        writer.close()
