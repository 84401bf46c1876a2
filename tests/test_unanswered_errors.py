"""Requests whose serving raises an error that nobody foresaw."""

import asyncio
from pipes import Network, RawClient, RawServer, join

import pytest
from gradelug_gateway.ports import BadRequest
from gradelug_gateway.streams import EventAssembler
from gradelug_http import HttpPool, HttpServer, OutgoingRequest, ResponseBroken, ServerLimits
from gradelug_platform.dialect import PlatformDialect
from logbook import TestHandler as LogHandler
from world import new_loop

REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"


async def serve(inc):
    what = inc.target.strip(b"/")
    if what == b"begun":
        inc.begin(200, [])
        await inc.send(b"part")
    if what == b"whole":
        inc.respond(200, [], b"whole")
    if what == b"cancelled":
        shared = asyncio.get_running_loop().create_future()
        asyncio.get_running_loop().call_soon(shared.cancel)
        await shared
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


# Whatever of the answer was not sent yet was dropped, and so was the next request.
def test_an_answer_is_cut_by_an_error_after_its_end():
    received, ended, messages = answer_to(b"whole")
    assert received.startswith(b"HTTP/1.1 200 ")
    assert received.endswith(b"whole")
    assert not ended
    assert messages == ["serving a request failed"]


# It was taken for the end of the connection, by the server or by the client.
def test_a_request_that_awaits_what_is_cancelled_is_unanswered():
    received, ended, messages = answer_to(b"cancelled")
    assert received.startswith(b"HTTP/1.1 500 ")
    assert ended
    assert messages == ["serving a request was cancelled"]


class OddRequest:
    """A request with given headers."""

    method = b"POST"
    target = b"/s/"
    body = b""
    arrived_at = 0.0

    def __init__(self, **headers):
        self.headers = [(b"X-Gradelug-Request-Id", b"q1")]
        self.headers += [
            (name.replace("_", "-").encode(), value) for name, value in headers.items()
        ]

    def header(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), None)


class TestOddHeaders:
    @pytest.mark.parametrize(
        "number", [b"\xb2", b"9" * 5000, b"2147483648", b"-1", b"1e3", b"", b"1,2,3"]
    )
    def test_an_odd_number_of_tokens_ends_a_request(self, number):
        tokens = OddRequest(X_Gradelug_Token_Usage=number + b",80")
        assert PlatformDialect().read_request(tokens).prompt_tokens == 0
        parts = OddRequest(X_Gradelug_Prompt_Prefix=b"ab:" + number)
        assert PlatformDialect().read_request(parts).parts == ()

    @pytest.mark.parametrize("number", [b"\xb2", b"9" * 5000, b"-1", b"1e3"])
    def test_an_odd_deadline_ends_a_request(self, number):
        with pytest.raises(BadRequest, match="is not a whole number"):
            PlatformDialect().read_request(OddRequest(X_Gradelug_Deadline_Ms=number))
        with pytest.raises(BadRequest, match="is not a whole number"):
            PlatformDialect().read_request(OddRequest(Last_Event_Id=number))


class TestOddAnswers:
    def test_an_odd_keep_alive_time_ends_a_whole_answer(self):
        async def scenario():
            net = Network()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=%b\r\n\r\nok"
            net.servers["10.0.0.1:80"] = lambda: RawServer([[answer % (b"9" * 5000)]])
            pool = HttpPool(asyncio.get_running_loop().time, net.dial)
            request = OutgoingRequest(b"GET", b"/", [(b"Host", b"h")])
            _, body = await pool.exchange("10.0.0.1:80", request, 1.0, 1000)
            assert body == b"ok"

        loop = new_loop()
        try:
            loop.run_until_complete(scenario())
        finally:
            loop.close()

    def test_an_odd_event_number_ends_a_stream(self):
        events = b"id: %b\ndata: x\n\n" % (b"9" * 5000)
        with pytest.raises(ResponseBroken, match="has 5000 digits"):
            EventAssembler(0).feed(events)
