"""The callers' door on real sockets: limits on input, framing, callers that leave."""

import asyncio
import json
import time

import pytest
from gradelug_router.door import Door
from gradelug_router.settings import Limits

LIMITS = Limits(
    body_bytes=10_000,
    header_bytes=2_000,
    read_s=0.3,
    connections=3,
    unsent_bytes=20_000,
    slow_reader_s=0.3,
)
HEAD = b"POST /x HTTP/1.1\r\nHost: a\r\n"


async def echo(exchange):
    exchange.respond(200, exchange.body, {"Content-Type": "text/plain"})


def with_door(scenario, serve=echo, limits=LIMITS):
    async def run():
        door = Door(("127.0.0.1", 0), limits, serve)
        try:
            async with asyncio.timeout(20):
                await scenario(door)
        finally:
            await door.close()

    asyncio.run(run())


async def connect(door):
    return await asyncio.open_connection("127.0.0.1", door.port)


async def read_answer(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    status = int(head.split()[1])
    length = int(head.lower().partition("content-length: ")[2].split()[0])
    return status, await reader.readexactly(length)


class TestLimits:
    @pytest.mark.parametrize(
        ("sent", "status", "code"),
        [
            (HEAD + b"Content-Length: 10001\r\n\r\n", 413, "body_too_large"),
            (HEAD + b"Big: " + b"x" * 3000 + b"\r\n\r\n", 431, "headers_too_large"),
            (HEAD + b"Big: " + b"x" * 3000, 431, "headers_too_large"),
            (HEAD + b"Content-Length: ten\r\n\r\n", 400, "bad_framing"),
            (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400, "bad_framing"),
            (
                HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
                "bad_framing",
            ),
            (HEAD + b"Content-Length: 5\r\n\r\nab", 408, "slow_request"),
            (b"POST /x HT", 408, "slow_request"),
            (b"nonsense\r\n\r\n", 400, "bad_request"),
            (b"GET / HTTP/1.1\r\n\r\n", 400, "bad_request"),
        ],
    )
    def test_each_excess_has_its_own_answer_and_the_door_lives_on(self, sent, status, code):
        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(sent)
            answer, body = await read_answer(reader)
            assert (answer, json.loads(body)["error"]["code"]) == (status, code)
            assert json.loads(body)["error"]["outcome"] == "not-run"
            writer.close()
            reader, writer = await connect(door)
            writer.write(HEAD + b"Content-Length: 2\r\n\r\nok")
            assert await read_answer(reader) == (200, b"ok")
            writer.close()

        with_door(scenario)

    # The sweep ran before what had arrived was read.
    def test_a_request_whose_rest_arrived_while_the_loop_was_held_up_is_refused(self):
        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(HEAD)
            await asyncio.sleep(0.1)
            writer.write(b"Content-Length: 2\r\n\r\nok")
            # Nothing is read and no timer runs meanwhile.
            time.sleep(1.0)
            assert await read_answer(reader) == (200, b"ok")
            writer.close()

        with_door(scenario)

    def test_a_body_that_outgrows_its_limit_in_chunks_is_refused(self):
        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            writer.write((b"1000\r\n" + b"x" * 4096 + b"\r\n") * 4)
            assert (await read_answer(reader))[0] == 413
            writer.close()

        with_door(scenario)

    def test_connections_beyond_the_limit_are_told_to_come_back(self):
        async def scenario(door):
            held = [await connect(door) for _ in range(3)]
            reader, writer = await connect(door)
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            assert "503" in head
            assert "Retry-After: 1" in head
            for _, other in [*held, (None, writer)]:
                other.close()

        with_door(scenario)


class TestConnections:
    def test_requests_sent_ahead_are_answered_in_order(self):
        async def scenario(door):
            reader, writer = await connect(door)
            one = HEAD + b"Content-Length: 3\r\n\r\none"
            two = HEAD + b"Content-Length: 3\r\n\r\ntwo"
            writer.write(one)
            await asyncio.sleep(0)
            writer.write(two)
            assert await read_answer(reader) == (200, b"one")
            assert await read_answer(reader) == (200, b"two")
            writer.close()

        with_door(scenario)

    def test_a_request_that_follows_before_the_last_ones_task_has_ended_is_served(self):
        """The ending task took the new one off the list, which then counted as gone."""
        ended = asyncio.Event()

        async def serve(exchange):
            if exchange.body == b"one":
                exchange.respond(200, b"one", {})
                await ended.wait()
                return
            exchange.begin(200, {})
            ended.set()
            await asyncio.sleep(0.02)
            await exchange.send(b"two")
            exchange.finish()

        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(HEAD + b"Content-Length: 3\r\n\r\none")
            assert await read_answer(reader) == (200, b"one")
            writer.write(HEAD + b"Content-Length: 3\r\n\r\ntwo")
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readuntil(b"0\r\n\r\n") == b"3\r\ntwo\r\n0\r\n\r\n"
            writer.close()

        with_door(scenario, serve)

    def test_a_caller_that_leaves_cancels_its_request(self):
        cancelled = asyncio.Event()

        async def serve(exchange):
            try:
                await asyncio.Event().wait()
            finally:
                cancelled.set()

        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(HEAD + b"\r\n")
            while not door.in_progress:
                await asyncio.sleep(0.01)
            writer.close()
            await cancelled.wait()

        with_door(scenario, serve)

    def test_a_caller_that_does_not_read_is_cut_off_with_bounded_memory(self):
        ended = asyncio.Event()
        most = 0

        async def serve(exchange):
            nonlocal most
            exchange.begin(200, {})
            try:
                while True:
                    await exchange.send(b"x" * 8192)
                    most = max(most, exchange._door._unsent(exchange.sock))
            finally:
                ended.set()

        async def scenario(door):
            reader, writer = await connect(door)
            writer.transport.pause_reading()
            writer.write(HEAD + b"\r\n")
            await ended.wait()
            assert most <= LIMITS.unsent_bytes + 8192 + 16
            writer.close()

        with_door(scenario, serve)

    def test_an_answer_cut_off_cannot_be_taken_for_whole(self):
        async def serve(exchange):
            exchange.begin(200, {})
            await exchange.send(b"half")
            exchange.cut()

        async def scenario(door):
            reader, writer = await connect(door)
            writer.write(HEAD + b"\r\n")
            data = await reader.read()
            assert b"half" in data
            assert not data.endswith(b"0\r\n\r\n")
            writer.close()

        with_door(scenario, serve)
