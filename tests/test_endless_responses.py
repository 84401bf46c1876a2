"""Replicas that send bytes without end where a response is due."""

import asyncio
import tracemalloc

import pytest
from refusal_world import DEADLINE_S, KINDS, RefusalWorld
from run_world import run

PIECE_BYTES = 65_536
PIECE_S = 0.004
MAX_RECEIVED_BYTES = 16_777_216
"""Bytes that a gateway may read of one response before it closes the connection."""
MAX_INTERIM_BYTES = 131_072
"""The same of responses before the final one, which carry nothing."""
MAX_HELD_BYTES = 100_000_000
"""A third of the memory of an instance."""
HEAD = b"HTTP/1.1 200 OK\r\nX-Gradelug-Request-Id: %b\r\nX-Gradelug-Server-Signature: s\r\n"
STRAY = b"HTTP/1.1 200 OK\r\nX-Gradelug-Request-Id: other\r\n"
REFUSED = b"HTTP/1.1 503 Full\r\nX-Gradelug-Request-Id: %b\r\nX-Gradelug-Not-Executed: 1\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"Content-Length: 1000000000000\r\n\r\n"
FILL = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, FILL)
RESPONSES = {
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 100),
    "status line": (b"HTTP/1.1 200 ", FILL),
    "head": (HEAD + b"X-Fill: ", FILL),
    "body": (HEAD + ENDLESS, FILL),
    "body without length": (HEAD + b"\r\n", FILL),
    "chunks": (HEAD + CHUNKED, CHUNK),
    "chunk extension": (HEAD + CHUNKED + b"5;x=", FILL),
    "trailer": (HEAD + CHUNKED + b"0\r\nx: ", FILL),
    "skipped body": (STRAY + ENDLESS, FILL),
    "skipped chunks": (STRAY + CHUNKED, CHUNK),
    "skipped responses": (b"", (STRAY + b"Content-Length: 0\r\n\r\n") * 100),
    "refusal": (REFUSED + ENDLESS, FILL),
    "empty events": (HEAD + CHUNKED, b"2\r\n\n\n\r\n" * 10),
    "old events": (HEAD + CHUNKED, b"d\r\nid: 0\ndata:\n\n\r\n" * 10),
}
"""What a replica sends first, and then again and again."""


class EndlessReplica(asyncio.Protocol):
    """Sends a beginning and then the same piece until its connection is closed."""

    def __init__(self, first, piece):
        self._first, self._piece = first, piece
        self.sent = 0
        self.is_closed = False

    def connection_made(self, transport):
        self._transport = transport

    def data_received(self, data):
        ident = data.split(b"X-Gradelug-Request-Id: ")[1].split(b"\r\n")[0]
        first = self._first % ident if b"%b" in self._first else self._first
        self._transport.write(first)
        asyncio.get_running_loop().call_later(PIECE_S, self._send)

    def _send(self):
        if not self._transport.is_closing():
            self.sent += len(self._piece)
            self._transport.write(self._piece)
            # The transport in memory keeps what was written, which is not the gateway's memory.
            self._transport.written.clear()
            asyncio.get_running_loop().call_later(PIECE_S, self._send)

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        self.is_closed = True


def endless_world(name):
    """Return a world whose only replica sends a response without end, and its connections."""
    world, opened = RefusalWorld(replicas=1, max_replicas=1), []

    def accept():
        opened.append(EndlessReplica(*RESPONSES[name]))
        return opened[-1]

    world.net.servers["10.0.1.0:80"] = accept
    return world, opened


class TestOneResponse:
    @pytest.mark.parametrize("name", RESPONSES)
    def test_connection_was_read_without_end(self, name):
        async def scenario():
            for kind in KINDS:
                world, opened = endless_world(name)
                caller = world.ask(kind)
                await asyncio.sleep(DEADLINE_S + 0.3)
                assert caller.is_answered
                assert all(conn.is_closed for conn in opened)
                most = MAX_INTERIM_BYTES if name == "informational" else MAX_RECEIVED_BYTES
                assert max(conn.sent for conn in opened) <= most

        run(scenario)

    @pytest.mark.parametrize("name", RESPONSES)
    def test_other_requests_are_served_meanwhile(self, name):
        async def scenario():
            world, _ = endless_world(name)
            endless = world.net.servers["10.0.1.0:80"]
            sound = world.replicas["s0"].accept
            accepts = iter([endless] * 4)
            world.net.servers["10.0.1.0:80"] = lambda: next(accepts, sound)()
            for _ in range(4):
                world.ask("unsafe")
            await asyncio.sleep(0.05)
            callers = [world.ask("unsafe") for _ in range(4)]
            await asyncio.sleep(0.2)
            assert [caller.statuses for caller in callers] == [[200]] * 4

        run(scenario)


class TestManyResponses:
    def test_memory_grew_with_each_response_without_end(self):
        async def scenario():
            world, _ = endless_world("body")
            tracemalloc.start()
            try:
                for _ in range(50):
                    world.ask("unsafe")
                await asyncio.sleep(DEADLINE_S + 0.3)
                _, peak = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert peak <= MAX_HELD_BYTES
            assert all(caller.is_answered for caller in world.callers)

        run(scenario)
