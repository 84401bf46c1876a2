"""Memory limit for responses that callers do not read, and read-ahead from upstreams."""

import asyncio
from pipes import MemoryTransport, RawClient

from gradelug_gateway.model import Repeat
from gradelug_gateway.settings import BASE_MEMORY_MB, Addresses, Bounds, GatewaySettings
from gradelug_http import HttpServer, ServerLimits, Wire
from gradelug_http.budget import (
    LEAST_READ_AHEAD,
    MOST_READ_AHEAD,
    SlowReader,
    read_ahead,
    to_shed,
)
from hypothesis import given
from hypothesis import strategies as st
from test_serving import STREAM, Bench, event, route
from world import new_loop

HIGH_WATER_BYTES = 65_536
CHUNK_BYTES = 16_384
MAX_UNREAD_BYTES = 8_000_000
BODY_BYTES = 20_000
GET = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + b"b" * BODY_BYTES


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


class UnreadTransport(MemoryTransport):
    """Buffers written data while the peer does not read."""

    is_reading = True

    def __init__(self, protocol):
        super().__init__(protocol)
        self.buffer = bytearray()

    def write(self, data):
        if self.is_reading:
            super().write(data)
            return
        self.buffer += data
        if len(self.buffer) > HIGH_WATER_BYTES:
            self.protocol.pause_writing()

    def read(self):
        self.is_reading = True
        data, self.buffer = bytes(self.buffer), bytearray()
        super().write(data)
        self.protocol.resume_writing()

    def get_write_buffer_size(self):
        return len(self.buffer)


def connect(server, is_reading, request=GET):
    client, conn = RawClient(), server.new_connection()
    near, far = MemoryTransport(client), UnreadTransport(conn)
    near.peer, far.peer = far, near
    far.is_reading = is_reading
    client.connection_made(near)
    conn.connection_made(far)
    near.write(request)
    return client, far


class TestMemoryLimit:
    @given(
        st.integers(0, 1000),
        st.lists(st.tuples(st.floats(0, 100), st.integers(0, 400)), max_size=20),
        st.integers(0, 2000),
    )
    def test_longest_stalled_readers_are_shed_first_and_only_as_needed(
        self, limit, readers, others
    ):
        slow = [SlowReader(at, since, size) for at, (since, size) in enumerate(readers)]
        held = others + sum(reader.size for reader in slow)
        shed = to_shed(limit, held, slow)
        left = held - sum(reader.size for reader in shed)
        assert left <= limit or len(shed) == len(slow)
        if shed:
            assert left + shed[-1].size > limit
            kept = [reader for reader in slow if reader not in shed]
            assert all(shed[-1].since <= reader.since for reader in kept)

    @given(st.integers(0, 10**9), st.integers(0, 10**5))
    def test_read_ahead_is_an_equal_share_with_a_minimum(self, limit, answers):
        size = read_ahead(limit, answers)
        assert LEAST_READ_AHEAD <= size <= MOST_READ_AHEAD
        assert size == LEAST_READ_AHEAD or size * answers <= limit

    def test_unread_limit_fits_the_memory_of_the_smallest_instance(self):
        for memory_mb in (40.0, 160.0, 552.0):
            settings = GatewaySettings(
                "i", "h", Addresses("a:1", "a:2", "a:3"), Bounds(), memory_mb=memory_mb
            )
            assert settings.unread_bytes > 0
            assert settings.unread_bytes / 1e6 <= max(4.0, memory_mb - BASE_MEMORY_MB)


class TestSlowReaders:
    def test_500_slow_readers_do_not_affect_others_and_memory_stays_bounded(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            served = []

            async def serve(inc):
                inc.begin(200, [])
                for _ in range(40):
                    await inc.send(b"x" * CHUNK_BYTES)
                    await asyncio.sleep(0.01)
                inc.finish()
                served.append(inc)

            server = HttpServer(serve, ServerLimits, clock, MAX_UNREAD_BYTES)
            server.start_sweeping()
            slow = [connect(server, is_reading=False) for _ in range(500)]
            await asyncio.sleep(1.0)
            reading = [connect(server, is_reading=True) for _ in range(20)]
            await asyncio.sleep(2.0)
            held = sum(conn.held for conn in server.connections)
            ended = sum(client.ended for client, _ in slow)
            await server.close()
            return held, len(served), server.shed, ended, reading

        held, served, shed, ended, reading = run(scenario)
        assert held <= MAX_UNREAD_BYTES
        assert served == len(reading)
        # 500 times 65 KB are 33 MB: only as many readers were shed as necessary.
        assert shed == ended
        assert 300 < shed < 450

    def test_no_reader_is_shed_below_the_limit(self):
        async def scenario():
            clock = asyncio.get_running_loop().time

            async def serve(inc):
                inc.begin(200, [])
                await inc.send(b"x" * 4 * HIGH_WATER_BYTES)
                inc.finish()

            server = HttpServer(serve, ServerLimits, clock, MAX_UNREAD_BYTES)
            server.start_sweeping()
            client, far = connect(server, is_reading=False)
            await asyncio.sleep(1.0)
            far.read()
            await asyncio.sleep(0.1)
            shed = server.shed
            await server.close()
            return shed, len(client.received)

        shed, received = run(scenario)
        assert shed == 0
        assert received > 4 * HIGH_WATER_BYTES

    def test_request_whose_body_exceeds_the_memory_limit_is_refused(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            served = []

            async def serve(inc):
                served.append(inc)
                await asyncio.sleep(60.0)

            def post():
                return connect(server, is_reading=True, request=POST)[0]

            server = HttpServer(serve, ServerLimits, clock, 2 * BODY_BYTES)
            server.start_sweeping()
            kept = [post() for _ in range(3)]
            await asyncio.sleep(1.0)
            refused = post()
            await asyncio.sleep(0.1)
            count = len(served)
            await server.close()
            return [bytes(client.received) for client in kept], bytes(refused.received), count

        kept, refused, count = run(scenario)
        assert kept == [b"", b"", b""]
        assert refused.startswith(b"HTTP/1.1 503")
        assert count == 3

    def test_stall_time_is_tracked_for_each_request(self):
        async def scenario():
            clock = asyncio.get_running_loop().time
            seen = []

            async def serve(inc):
                inc.begin(200, [])
                await inc.send(b"x" * 2 * HIGH_WATER_BYTES)
                seen.append(inc.held_up_s)
                inc.finish()

            server = HttpServer(serve, ServerLimits, clock)
            _, far = connect(server, is_reading=False)
            await asyncio.sleep(3.0)
            far.read()
            await asyncio.sleep(0.1)
            far.peer.write(GET)
            await asyncio.sleep(0.1)
            await server.close()
            return seen

        first, second = run(scenario)
        assert 2.9 < first < 3.1
        assert second == 0.0


class TestReadAhead:
    def test_upstream_reading_pauses_beyond_the_read_ahead_limit(self):
        class Paused:
            paused = False

            def pause_reading(self):
                self.paused = True

        wire = Wire()
        wire.transport = Paused()
        wire.read_ahead = LEAST_READ_AHEAD
        wire.data_received(b"x" * LEAST_READ_AHEAD)
        assert not wire.transport.paused
        wire.data_received(b"x")
        assert wire.transport.paused


class TestBrokenResponse:
    def failure_rate_after_break(self, is_reading):
        """Return a replica's failure rate after its stream broke, with a reading caller or not."""

        async def scenario():
            events = b"".join(event(number) for number in range(1, 3000))
            script = [[STREAM + events, 3.0, "reset"]]
            bench = Bench(route(Repeat.NEVER, streaming=True, timeout_s=20.0), [script])
            client, conn = RawClient(), bench.server.new_connection()
            near, far = MemoryTransport(client), UnreadTransport(conn)
            near.peer, far.peer = far, near
            far.is_reading = is_reading
            client.connection_made(near)
            conn.connection_made(far)
            near.write(
                b"POST /p HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: q1\r\n"
                b"X-Gradelug-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n"
            )
            await asyncio.sleep(4.0)
            if not is_reading:
                far.read()
                await asyncio.sleep(0.5)
            rate = bench.fleet.health("s0").rate(bench.clock())
            await bench.server.close()
            return rate

        return run(scenario)

    def test_break_counts_against_the_replica_only_if_the_caller_was_reading(self):
        assert self.failure_rate_after_break(is_reading=True) > 0
        assert self.failure_rate_after_break(is_reading=False) == 0
