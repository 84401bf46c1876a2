"""Requests sent ahead of the answers to those before them."""

import asyncio
from pipes import RawClient, join_paced

from gradelug_http import HttpServer, ServerLimits
from gradelug_http.server_connection import IDLE_SLACK, MAX_AHEAD_BYTES
from test_unread import run

LARGE_BYTES = 200_000
IDLE_S = 4.0
GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
BODY = b"POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + b"x" * 300_000


class Caller:
    """A client that sends ahead, and the server that it calls."""

    def __init__(self, answer_bytes=0, limits=None):
        self.served = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self._answer = b"x" * answer_bytes
        limits = limits or ServerLimits(idle_s=IDLE_S)
        clock = asyncio.get_running_loop().time
        self.server = HttpServer(self._serve, lambda: limits, clock)
        self.server.start_sweeping()
        self.client = RawClient()
        self.near, self.far = join_paced(self.client, self.server.new_connection())

    async def _serve(self, inc):
        self.served.append(inc.target)
        await self.may_answer.wait()
        inc.respond(200, [], self._answer)

    async def write(self, data):
        for at in range(0, len(data), 10_000):
            self.near.write(data[at : at + 10_000])
            await asyncio.sleep(0.001)


class TestUnreadAnswers:
    def test_requests_ahead_were_served_while_their_answers_lay_unread(self):
        async def scenario():
            caller = Caller(LARGE_BYTES)
            caller.near.pause_reading()
            await caller.write(b"".join(GET % number for number in range(20)))
            await asyncio.sleep(1.0)
            assert caller.served == [b"/0"]
            caller.near.resume_reading()
            await asyncio.sleep(1.0)
            assert caller.served == [b"/%d" % number for number in range(20)]
            assert caller.client.received.count(b"HTTP/1.1 200 ") == 20

        run(scenario)

    def test_a_whole_answer_that_nobody_reads_kept_its_connection(self):
        async def scenario():
            caller = Caller(LARGE_BYTES)
            caller.near.pause_reading()
            await caller.write(GET % 0 + GET % 1)
            await asyncio.sleep(IDLE_S * IDLE_SLACK - 0.5)
            assert caller.server.connections
            await asyncio.sleep(1.5)
            assert not caller.server.connections

        run(scenario)

    def test_an_answer_that_nobody_reads_kept_a_connection_that_is_being_closed(self):
        async def scenario():
            caller = Caller(LARGE_BYTES)
            caller.near.pause_reading()
            caller.server.draining = True
            await caller.write(GET % 0)
            await asyncio.sleep(IDLE_S * IDLE_SLACK - 0.5)
            assert caller.server.connections
            await asyncio.sleep(1.5)
            assert not caller.server.connections

        run(scenario)

    def test_an_answer_is_read_after_a_long_request(self):
        async def scenario():
            caller = Caller(LARGE_BYTES)
            caller.near.pause_reading()
            caller.may_answer.clear()
            await caller.write(GET % 0)
            await asyncio.sleep(5 * IDLE_S)
            caller.may_answer.set()
            await asyncio.sleep(1.0)
            caller.near.resume_reading()
            await asyncio.sleep(0.5)
            assert caller.client.received.endswith(b"x" * LARGE_BYTES)

        run(scenario)


class TestMuchAhead:
    def test_a_client_was_closed_that_sent_more_ahead_than_a_next_request(self):
        async def scenario():
            caller = Caller()
            caller.may_answer.clear()
            await caller.write(GET % 0 + BODY + GET % 1)
            assert caller.far.is_paused
            assert caller.far.protocol.held <= MAX_AHEAD_BYTES + 10_000
            caller.may_answer.set()
            await asyncio.sleep(1.0)
            assert caller.served == [b"/0", b"/body", b"/1"]
            assert caller.client.received.count(b"HTTP/1.1 200 ") == 3

        run(scenario)
