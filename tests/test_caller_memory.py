"""What is kept for callers: counted as it arrives, and who is given up when it is too much."""

import array
import asyncio
import fcntl
import termios
from pipes import RawClient, join_paced

import pytest
from gradelug_http import HttpServer, ServerLimits
from gradelug_http.budget import SlowSender, to_refuse
from gradelug_http.server_connection import RECEIVE_BUFFER_BYTES
from hypothesis import given
from hypothesis import strategies as st
from test_unread import run

MOST_BYTES = 1_000_000
BODY_BYTES = 200_000
PIECE_BYTES = 50_000
PIECE_S = 0.05
CLIENTS = 20
SMALL = b"POST /small HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"


def head(size):
    return b"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size


class Crowd:
    """A server with little memory, and its clients."""

    def __init__(self, most_bytes=MOST_BYTES):
        self.served = []
        clock = asyncio.get_running_loop().time
        self.server = HttpServer(self._serve, ServerLimits, clock, most_bytes)
        self.server.start_sweeping()
        self.ends = []

    async def _serve(self, inc):
        self.served.append((inc.target, len(inc.body)))
        inc.respond(200, [], b"")

    def connect(self):
        client = RawClient()
        near, far = join_paced(client, self.server.new_connection())
        self.ends.append(far)
        return client, near

    def kept_bytes(self):
        """Return what the connections keep, by their own count."""
        return sum(conn.held for conn in self.server.connections)

    async def send(self, size, until=None, pause_s=PIECE_S):
        """Send a body in pieces, the first `until` bytes of it; return the client."""
        client, near = self.connect()
        near.write(head(size))
        for at in range(0, size if until is None else until, PIECE_BYTES):
            near.write(b"x" * min(PIECE_BYTES, size - at))
            await asyncio.sleep(pause_s)
        return client


def status(client):
    return bytes(client.received[9:12])


class TestCount:
    def test_bodies_were_counted_at_the_next_sweep_only(self):
        async def scenario():
            crowd = Crowd()
            await asyncio.sleep(0.01)
            for _ in range(4):
                _, near = crowd.connect()
                near.write(head(2 * BODY_BYTES) + b"x" * BODY_BYTES)
            await asyncio.sleep(0.01)
            assert crowd.server.held == crowd.kept_bytes() >= 4 * BODY_BYTES

        run(scenario)

    def test_a_crowd_filled_the_memory_between_two_sweeps(self):
        async def scenario():
            crowd = Crowd()
            await asyncio.sleep(0.01)
            for _ in range(CLIENTS):
                asyncio.ensure_future(crowd.send(4_000_000, 3_900_000, pause_s=0.0))
            await asyncio.sleep(0.2)
            assert crowd.server.held == crowd.kept_bytes()
            assert crowd.kept_bytes() <= MOST_BYTES + CLIENTS * PIECE_BYTES

        run(scenario)

    def test_nothing_is_counted_when_all_have_left(self):
        async def scenario():
            crowd = Crowd()
            await asyncio.gather(*(crowd.send(BODY_BYTES, BODY_BYTES - 1) for _ in range(CLIENTS)))
            for conn in list(crowd.server.connections):
                conn.transport.peer.abort()
            await asyncio.sleep(0.1)
            assert crowd.server.held == 0
            assert not crowd.server.memory.is_short

        run(scenario)


class TestWhoIsGivenUp:
    def test_a_body_at_a_usual_pace_is_served_beside_bodies_that_stop(self):
        async def scenario():
            crowd = Crowd()
            stopped = [crowd.send(BODY_BYTES, BODY_BYTES // 2) for _ in range(CLIENTS)]
            stopped = await asyncio.gather(*stopped)
            await asyncio.sleep(1.0)
            client = await crowd.send(BODY_BYTES)
            await asyncio.sleep(0.5)
            assert status(client) == b"200"
            assert {status(one) for one in stopped} <= {b"503", b""}
            assert crowd.server.held <= MOST_BYTES

        run(scenario)

    def test_the_slowest_is_refused_first_and_the_others_are_served(self):
        async def scenario():
            crowd = Crowd()
            slow = [crowd.send(400_000, pause_s=0.3) for _ in range(5)]
            slow = [asyncio.ensure_future(one) for one in slow]
            await asyncio.sleep(1.0)
            fast = [asyncio.ensure_future(crowd.send(BODY_BYTES, pause_s=0.01)) for _ in range(2)]
            await asyncio.sleep(5.0)
            assert [status(one.result()) for one in fast] == [b"200", b"200"]
            assert {status(one.result()) for one in slow} == {b"200", b"503"}

        run(scenario)

    def test_a_small_request_is_served_while_memory_is_short(self):
        async def scenario():
            crowd = Crowd()
            for _ in range(CLIENTS):
                asyncio.ensure_future(crowd.send(4_000_000, pause_s=0.0))
            await asyncio.sleep(0.1)
            assert crowd.server.memory.is_short
            client, near = crowd.connect()
            near.write(SMALL)
            await asyncio.sleep(0.05)
            assert crowd.server.memory.is_short
            assert status(client) == b"200"

        run(scenario)

    def test_a_held_back_request_waits_for_a_bounded_time(self):
        async def scenario():
            crowd = Crowd()
            clients = [crowd.connect() for _ in range(CLIENTS)]
            for _, near in clients:
                near.write(head(BODY_BYTES) + b"x" * (MOST_BYTES // CLIENTS + 1_000))
            await asyncio.sleep(0.1)
            assert any(far.is_paused for far in crowd.ends)
            await asyncio.sleep(10.0)
            assert {status(client) for client, _ in clients} <= {b"408", b"503"}
            assert not crowd.server.connections

        run(scenario)

    @given(
        st.integers(0, 1000),
        st.lists(st.tuples(st.floats(0, 100), st.integers(0, 400)), max_size=20),
    )
    def test_the_slowest_are_refused_and_only_as_needed(self, limit, senders):
        slow = [SlowSender(at, rate, size) for at, (rate, size) in enumerate(senders)]
        held = sum(sender.size for sender in slow)
        refused = to_refuse(limit, held, slow)
        left = held - sum(sender.size for sender in refused)
        assert left <= limit or len(refused) == len(slow)
        if refused:
            assert left + refused[-1].size > limit
            kept = [sender for sender in slow if sender not in refused]
            assert all(refused[-1].rate <= sender.rate for sender in kept)


class TestRefusedBodies:
    @pytest.mark.parametrize("expects", [b"", b"Expect: 100-continue\r\n"])
    def test_an_announced_body_over_the_limit_was_read_up_to_the_limit(self, expects):
        async def scenario():
            crowd = Crowd()
            client, near = crowd.connect()
            near.write(head(4_194_305).replace(b"\r\n\r\n", b"\r\n" + expects + b"\r\n"))
            await asyncio.sleep(0.01)
            assert status(client) == b"413"
            assert crowd.server.held == 0

        run(scenario)

    def test_a_refused_body_was_read_for_as_long_as_its_client_sent(self):
        async def scenario():
            crowd = Crowd(100 * MOST_BYTES)
            client, near = crowd.connect()
            near.write(b"POST /body HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(200):
                near.write(b"%x\r\n%b\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES))
                await asyncio.sleep(0.001)
            (far,) = crowd.ends
            assert status(client) == b"413"
            assert far.is_paused
            await asyncio.sleep(2.0)
            assert client.ended

        run(scenario)


def test_what_the_kernel_keeps_of_a_caller_is_bounded():
    async def scenario():
        async def serve(inc):
            inc.respond(200, [], b"")

        clock = asyncio.get_running_loop().time
        server = HttpServer(serve, ServerLimits, clock, 100 * MOST_BYTES)
        port = await server.start("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # The kernel lets the buffers of fast connections grow.
        for _ in range(8):
            writer.write(head(4_000_000) + b"x" * 4_000_000)
            assert b" 200 " in await reader.readuntil(b"\r\n\r\n")
        (conn,) = server.connections
        conn.transport.pause_reading()
        for _ in range(200):
            writer.write(b"x" * RECEIVE_BUFFER_BYTES)
            await asyncio.sleep(0)
        await asyncio.sleep(0.2)
        count = array.array("i", [0])
        fcntl.ioctl(conn.transport.get_extra_info("socket").fileno(), termios.FIONREAD, count)
        writer.transport.abort()
        await server.close()
        assert 0 < count[0] <= RECEIVE_BUFFER_BYTES

    asyncio.run(scenario())
