"""Requests whose serving raises an error that nobody foresaw."""

import asyncio
from pipes import RawClient, join

import pytest
from gradelug_http import HttpServer, ServerLimits
from logbook import TestHandler as LogHandler
from world import new_loop

REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"


async def serve(inc):
    what = inc.target.strip(b"/")
    if what == b"begun":
        inc.begin(200, [])
        await inc.send(b"part")
    if what == b"header":
        inc.respond(200, [(b"X-Bad", b"a\nb")], b"")
    raise LookupError("no service of this name")


def answer_to(target):
    """Return what a client receives, whether its connection ended, and the messages logged."""

    async def scenario():
        server = HttpServer(serve, ServerLimits, asyncio.get_running_loop().time)
        client = RawClient()
        join(client, server.new_connection())
        with LogHandler() as handler:
            client.transport.write(REQUEST % target)
            await asyncio.sleep(0.1)
        return bytes(client.received), client.ended, [row.message for row in handler.records]

    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


# The connection was closed without an answer, and the error was seen only by the garbage collector.
@pytest.mark.parametrize("target", [b"lookup", b"header"])
def test_a_request_whose_serving_raises_an_error_is_unanswered(target):
    received, ended, messages = answer_to(target)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert received.endswith(b"\r\n\r\n")
    assert ended
    assert messages == ["serving a request failed"]


def test_an_answer_that_had_begun_does_not_look_complete():
    received, ended, messages = answer_to(b"begun")
    assert received.count(b"HTTP/1.1 ") == 1
    assert not received.endswith(b"0\r\n\r\n")
    assert ended
    assert messages == ["serving a request failed"]
