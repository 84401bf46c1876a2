"""How callers of the OpenAI door tell over sockets that an answer is not complete."""

import asyncio
import itertools

import pytest
from gradelug_router.door import Door
from gradelug_router.settings import Limits
from test_incomplete_answers import REQUEST_HEADERS, ask, read_to_end

UNREAD_BYTES = 20_000_000
LIMITS = Limits(
    body_bytes=10_000,
    header_bytes=2_000,
    read_s=0.3,
    connections=3,
    unsent_bytes=2 * UNREAD_BYTES,
    slow_reader_s=0.3,
)
HOW = ("cut", "cancelled", "closed")


def fetch(serve, version, headers=b"", act=None):
    """Return an answer of the door, and whether a reset ended its connection."""

    async def scenario():
        door = Door(("127.0.0.1", 0), LIMITS, serve)
        reader, writer = await ask(door.port, version, headers)
        async with asyncio.timeout(10.0):
            if act is not None:
                await act(door)
            found = await read_to_end(reader)
        writer.close()
        await door.close()
        return found

    return asyncio.run(scenario())


def cut_answer(how, version, headers, parts):
    begun = asyncio.Event()

    async def serve(exchange):
        exchange.begin(200, {})
        for _ in range(parts):
            await exchange.send(b"part")
        # The parts reach the caller before the end.
        await asyncio.sleep(0.05)
        begun.set()
        if how == "cut":
            exchange.cut()
        else:
            await asyncio.sleep(60.0)

    async def act(door):
        await begun.wait()
        if how == "cancelled":
            await door.cancel_requests()
        elif how == "closed":
            await door.close()

    return fetch(serve, version, headers, act)


class TestIncomplete:
    def test_an_answer_cut_short_ended_in_an_orderly_close(self):
        for how, headers, parts in itertools.product(HOW, REQUEST_HEADERS, (0, 1, 3)):
            data, was_reset = cut_answer(how, b"1.0", headers, parts)
            assert data.partition(b"\r\n\r\n")[2] == b"part" * parts
            assert was_reset, (how, headers, parts)

    def test_what_an_unread_answer_lacks_is_not_taken_for_its_end(self):
        """The end of the answer waits behind parts that the caller has not read."""

        async def serve(exchange):
            exchange.begin(200, {})
            await exchange.send(bytes(UNREAD_BYTES))
            exchange.finish()

        async def act(door):
            while not door.has_unsent:
                await asyncio.sleep(0.01)
            await door.close()

        data, was_reset = fetch(serve, b"1.0", act=act)
        assert len(data) < UNREAD_BYTES
        assert was_reset

    @pytest.mark.parametrize("how", HOW)
    def test_a_chunked_answer_cut_short_has_no_last_chunk(self, how):
        data, _ = cut_answer(how, b"1.1", b"", 1)
        assert b"4\r\npart\r\n" in data
        assert not data.endswith(b"0\r\n\r\n")


class TestComplete:
    @pytest.mark.parametrize("size", [0, 4, UNREAD_BYTES])
    def test_a_whole_answer_ends_in_an_orderly_close(self, size):
        async def serve(exchange):
            exchange.begin(200, {})
            if size:
                await exchange.send(bytes(size))
            exchange.finish()

        data, was_reset = fetch(serve, b"1.0")
        assert not was_reset
        assert len(data.partition(b"\r\n\r\n")[2]) == size
