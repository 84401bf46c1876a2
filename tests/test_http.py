import asyncio
import socket
import struct
from pipes import Network, RawClient, RawServer, join

import pytest
from gradelug_http import (
    ConnectFailed,
    EarlyServer,
    HttpPool,
    HttpServer,
    OutgoingRequest,
    ResponseBroken,
    ServerLimits,
    end_to_end,
)
from gradelug_http import Door as ListeningDoor
from gradelug_http import pool as pool_module
from gradelug_http.liveness import UNACKED_S
from gradelug_http.pool import dial_tcp
from world import new_loop

GET = OutgoingRequest(b"GET", b"/a", [(b"Host", b"h")])
ADDRESS = "10.0.0.1:80"


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def clock():
    return asyncio.get_running_loop().time()


def own(text):
    return lambda head: head.get(b"x-id") == text


def answer(body=b"ok", ident=b"1", extra=b""):
    return (
        b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: %d\r\n%b\r\n" % (ident, len(body), extra)
    ) + body


class TestPool:
    def test_a_whole_answer_lets_the_connection_be_used_again(self):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[answer()], [answer(b"two")]])
            pool = HttpPool(clock, net.dial)
            for body in (b"ok", b"two"):
                conn = await pool.acquire(ADDRESS, 1.0)
                conn.send(GET)
                head = await conn.head(own(b"1"))
                assert await conn.body(100) == body
                pool.release(conn, head)
            assert net.dialled == [ADDRESS]

        run(scenario)

    def test_after_silence_the_next_request_takes_a_new_connection(self):
        """Links silence all connections of one age: the next kept one would be silent as well."""

        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[answer()], []])
            pool = HttpPool(clock, net.dial)
            conns = [await pool.acquire(ADDRESS, 1.0) for _ in range(3)]
            for conn in conns:
                conn.send(GET)
                head = await conn.head(own(b"1"))
                await conn.body(100)
                pool.release(conn, head)
            await asyncio.sleep(0.1)
            with pytest.raises(TimeoutError):
                await pool.exchange(ADDRESS, GET, 0.5, 100)
            assert (len(net.dialled), pool.doubted) == (3, 2)
            await pool.exchange(ADDRESS, GET, 0.5, 100)
            assert len(net.dialled) == 4

        run(scenario)

    def test_a_connection_that_was_proven_since_is_kept(self):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[answer()]])
            pool = HttpPool(clock, net.dial)
            conn = await pool.acquire(ADDRESS, 1.0)
            sent_at = clock()
            await asyncio.sleep(0.1)
            conn.send(GET)
            head = await conn.head(own(b"1"))
            await conn.body(100)
            pool.release(conn, head)
            pool.doubt(ADDRESS, sent_at)
            assert await pool.acquire(ADDRESS, 1.0) is conn
            assert pool.doubted == 0

        run(scenario)

    def test_a_connection_is_watched_by_the_kernel(self):
        """A connection that was silenced without a reset was waited for until the deadline."""

        async def scenario():
            server = await asyncio.get_running_loop().create_server(
                lambda: RawServer([]), "127.0.0.1", 0
            )
            host, port = server.sockets[0].getsockname()
            wire = await dial_tcp(f"{host}:{port}")
            sock = wire.transport.get_extra_info("socket")
            unacked_ms = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
            assert unacked_ms == round(UNACKED_S * 1000)
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
            wire.transport.abort()
            server.close()

        asyncio.run(scenario())

    def test_an_answer_to_an_earlier_request_is_skipped(self):
        async def scenario():
            net = Network()
            late = answer(b"old one", b"0")
            net.servers[ADDRESS] = lambda: RawServer([[late + answer(b"mine")]])
            pool = HttpPool(clock, net.dial)
            conn = await pool.acquire(ADDRESS, 1.0)
            conn.send(GET)
            await conn.head(own(b"1"))
            assert await conn.body(100) == b"mine"

        run(scenario)

    def test_bytes_behind_an_answer_end_the_connection(self):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[answer() + b"HTTP/1.1 200 OK\r\n"]])
            pool = HttpPool(clock, net.dial)
            conn = await pool.acquire(ADDRESS, 1.0)
            conn.send(GET)
            head = await conn.head(own(b"1"))
            await conn.body(100)
            pool.release(conn, head)
            assert await pool.acquire(ADDRESS, 1.0) is not conn

        run(scenario)

    def test_a_surplus_answer_that_comes_while_idle_ends_the_connection(self):
        async def scenario():
            net, servers = Network(), []

            def make():
                servers.append(RawServer([[answer()]]))
                return servers[-1]

            net.servers[ADDRESS] = make
            pool = HttpPool(clock, net.dial)
            conn = await pool.acquire(ADDRESS, 1.0)
            conn.send(GET)
            head = await conn.head(own(b"1"))
            await conn.body(100)
            pool.release(conn, head)
            servers[0].transport.write(answer(b"surplus"))
            await asyncio.sleep(0.01)
            assert await pool.acquire(ADDRESS, 1.0) is not conn

        run(scenario)

    def test_of_too_many_idle_connections_the_least_used_are_closed(self, monkeypatch):
        """A planner kept one to each of 3,000 engines."""
        monkeypatch.setattr(pool_module, "MOST_IDLE", 2)

        async def scenario():
            net, now = Network(), [1.0]
            pool = HttpPool(lambda: now[0], net.dial)
            conns = {}
            for at in range(4):
                now[0] += 1.0
                address = f"10.0.0.{at}:80"
                net.servers[address] = lambda: RawServer([[answer()], [answer()]])
                conn = conns[address] = await pool.acquire(address, 1.0)
                conn.send(GET)
                head = await conn.head(own(b"1"))
                await conn.body(100)
                pool.release(conn, head)
                assert len(pool._resting) <= 2
            again = await pool.acquire("10.0.0.2:80", 1.0)
            assert again is conns["10.0.0.2:80"]
            again.send(GET)
            head = await again.head(own(b"1"))
            await again.body(100)
            pool.release(again, head)
            kept = [
                address for address in conns if await pool.acquire(address, 1.0) is conns[address]
            ]
            assert kept == ["10.0.0.2:80", "10.0.0.3:80"]

        run(scenario)

    def test_an_answer_without_length_is_whole_when_closed_and_broken_when_reset(self):
        async def scenario(ending):
            net = Network()
            raw = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nsome"
            net.servers[ADDRESS] = lambda: RawServer([[raw, ending]])
            conn = await HttpPool(clock, net.dial).acquire(ADDRESS, 1.0)
            conn.send(GET)
            await conn.head(own(b"1"))
            return await conn.body(100)

        assert run(lambda: scenario("close")) == b"some"
        with pytest.raises(ResponseBroken):
            run(lambda: scenario("reset"))

    @pytest.mark.parametrize(
        "raw",
        [
            b"no answer at all\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nshort",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
            b"",
        ],
    )
    def test_what_is_cut_or_malformed_is_broken(self, raw):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[raw, "close"]])
            conn = await HttpPool(clock, net.dial).acquire(ADDRESS, 1.0)
            conn.send(GET)
            await conn.head(own(b"1"))
            await conn.body(100)

        with pytest.raises(ResponseBroken):
            run(scenario)

    def test_a_connection_rests_no_longer_than_the_upstream_says(self):
        async def scenario():
            net = Network()
            net.servers[ADDRESS] = lambda: RawServer([[answer(extra=b"Keep-Alive: timeout=2\r\n")]])
            pool = HttpPool(clock, net.dial)
            conn = await pool.acquire(ADDRESS, 1.0)
            conn.send(GET)
            head = await conn.head(own(b"1"))
            await conn.body(100)
            pool.release(conn, head)
            await asyncio.sleep(1.6)
            assert await pool.acquire(ADDRESS, 1.0) is not conn

        run(scenario)

    def test_a_dead_address_is_told_as_not_connected(self):
        async def scenario():
            await HttpPool(clock, Network().dial).acquire(ADDRESS, 1.0)

        with pytest.raises(ConnectFailed):
            run(scenario)


class Door:
    """A server that echoes, and what it saw."""

    def __init__(self, limits=None):
        self.seen = []
        self.left = 0
        self.hold = None
        self.limits = limits or ServerLimits()

    async def serve(self, inc):
        self.seen.append((inc.method, inc.target, inc.headers, inc.body))
        try:
            if self.hold is not None:
                await self.hold.wait()
        except asyncio.CancelledError:
            self.left += 1
            raise
        inc.respond(200, [], inc.body)

    def connect(self):
        net = Network()
        server = net.serve(ADDRESS, self.serve, lambda: self.limits, clock)
        client = RawClient()
        join(client, server.new_connection())
        client.server = server
        return client


class TestServer:
    @pytest.mark.parametrize("how", ["closed", "reset"])
    def test_a_client_that_left_before_it_was_read_is_not_served(self, how):
        """A frozen instance that went on sent the requests of callers that had long left."""

        async def scenario():
            served = []

            async def serve(inc):
                served.append(inc.target)
                inc.respond(200, [], b"")

            server = HttpServer(serve, ServerLimits, clock)
            port = await server.start("127.0.0.1", 0)
            # Nothing is read before all of this is done, as in a process that stood still.
            client = socket.create_connection(("127.0.0.1", port))
            client.sendall(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            if how == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            client.close()
            await asyncio.sleep(0.1)
            assert not served
            await server.close()

        asyncio.run(scenario())

    # The body of an answer waited until the client had acknowledged its head.
    @pytest.mark.parametrize("is_early", [False, True])
    def test_small_parts_of_answers_were_held_up_for_40_ms(self, is_early):
        async def scenario():
            async def serve(inc):
                inc.respond(200, [], b"")

            loop = asyncio.get_running_loop()
            server = EarlyServer(serve, ServerLimits, loop.time)
            if is_early:
                sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                sock.bind(("127.0.0.1", 0))
                sock.listen()
                port = await server.enter(ListeningDoor(sock, loop.time()))
            else:
                port = await server.start("127.0.0.1", 0)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.05)
            (conn,) = server.connections
            accepted = conn.transport.get_extra_info("socket")
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_method_target_headers_and_body_arrive_unchanged(self):
        async def scenario():
            door = Door()
            client = door.connect()
            client.transport.write(
                b"POST /a//b%2F?q=%20&r HTTP/1.1\r\nHost: h\r\nX-Two: 1\r\nx-two: 2\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
            )
            await asyncio.sleep(0.01)
            method, target, headers, body = door.seen[0]
            assert (method, target, body) == (b"POST", b"/a//b%2F?q=%20&r", b"abc")
            assert end_to_end(headers) == [
                (b"Host", b"h"),
                (b"X-Two", b"1"),
                (b"x-two", b"2"),
            ]
            assert client.received.endswith(b"abc")

        run(scenario)

    def test_requests_sent_ahead_are_answered_in_order(self):
        async def scenario():
            door = Door()
            client = door.connect()
            one = b"POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\n"
            client.transport.write(one + b"a" + one + b"b")
            await asyncio.sleep(0.01)
            assert [body for *_, body in door.seen] == [b"a", b"b"]
            assert client.received.count(b"200 ") == 2

        run(scenario)

    @pytest.mark.parametrize(
        ("raw", "status"),
        [
            (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 500 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\n" + b"z" * 30, b"413"),
            (
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
            (b"nonsense\r\n\r\n", b"400"),
        ],
    )
    def test_what_exceeds_the_limits_or_is_malformed_is_refused(self, raw, status):
        async def scenario():
            door = Door(ServerLimits(header_bytes=200, body_bytes=20))
            client = door.connect()
            client.transport.write(raw)
            await asyncio.sleep(0.01)
            assert client.received.split(b" ")[1] == status
            assert not door.seen
            await asyncio.sleep(2.0)
            assert client.ended

        run(scenario)

    def test_a_head_in_pieces_is_bounded_by_lowered_limits_after_a_rest(self):
        async def scenario():
            door = Door(ServerLimits(header_bytes=2_000))
            client = door.connect()
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
            assert len(door.seen) == 1
            door.limits = ServerLimits(header_bytes=200)
            client.received.clear()
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 300)
            await asyncio.sleep(0.01)
            assert client.received.startswith(b"HTTP/1.1 431 ")

        run(scenario)

    @pytest.mark.parametrize(("bound", "later_bound", "status"), [(9, 2, b"200"), (2, 9, b"413")])
    @pytest.mark.parametrize("is_one_write", [True, False])
    def test_a_request_sent_ahead_is_read_with_limits_that_came_after_its_first_byte(
        self, is_one_write, bound, later_bound, status
    ):
        async def scenario():
            door = Door(ServerLimits(body_bytes=later_bound))
            door.hold = asyncio.Event()
            client = door.connect()
            client.transport.write(b"GET / HTTP")
            await asyncio.sleep(0.01)
            door.limits = ServerLimits(body_bytes=bound)
            parts = [
                b"/1.1\r\nHost: h\r\n\r\n",
                b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
            ]
            for data in [b"".join(parts)] if is_one_write else parts:
                client.transport.write(data)
                await asyncio.sleep(0.01)
            door.limits = ServerLimits(body_bytes=later_bound)
            door.hold.set()
            await asyncio.sleep(0.01)
            assert client.received.count(b"HTTP/1.1 ") == 2
            assert client.received.split(b"HTTP/1.1 ")[2].startswith(status)

        run(scenario)

    def test_a_head_sent_ahead_in_pieces_is_refused_by_the_bound_of_the_request_before(self):
        async def scenario():
            door = Door(ServerLimits(header_bytes=200))
            door.hold = asyncio.Event()
            client = door.connect()
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
            door.limits = ServerLimits(header_bytes=2_000)
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 300)
            await asyncio.sleep(0.01)
            door.hold.set()
            await asyncio.sleep(0.01)
            client.transport.write(b"\r\n\r\n")
            await asyncio.sleep(0.01)
            assert client.received.count(b"HTTP/1.1 200 ") == 2

        run(scenario)

    def test_a_request_that_arrives_too_slowly_is_refused(self):
        async def scenario():
            door = Door(ServerLimits(header_s=1.0))
            client = door.connect()
            client.transport.write(b"GET / HTTP/1.1\r\nHost:")
            await asyncio.sleep(1.5)
            assert client.received.startswith(b"HTTP/1.1 408 ")

        run(scenario)

    def test_a_client_that_leaves_ends_its_request(self):
        async def scenario():
            door = Door()
            door.hold = asyncio.Event()
            client = door.connect()
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
            client.transport.close()
            await asyncio.sleep(0.01)
            assert door.left == 1

        run(scenario)

    def test_an_answer_that_was_not_ended_closes_the_connection(self):
        async def scenario():
            async def serve(inc):
                inc.begin(200, [])
                await inc.send(b"part")

            net = Network()
            server = net.serve(ADDRESS, serve, ServerLimits, clock)
            client = RawClient()
            join(client, server.new_connection())
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
            assert b"part" in client.received
            assert not client.received.endswith(b"0\r\n\r\n")
            assert client.ended

        run(scenario)

    def test_a_resting_connection_outlives_four_fifths_of_its_time_and_is_closed_later(self):
        async def scenario():
            client = Door(ServerLimits(idle_s=4.0)).connect()
            await asyncio.sleep(4.0)
            assert not client.ended
            await asyncio.sleep(2.0)
            assert client.ended

        run(scenario)

    def test_while_draining_the_next_answer_closes_its_connection(self):
        async def scenario():
            client = Door().connect()
            client.server.draining = True
            client.transport.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await asyncio.sleep(0.01)
            assert b"connection: close" in client.received.lower()
            assert client.ended

        run(scenario)
