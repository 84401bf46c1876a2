"""What is recorded of callers' connections that end."""

import asyncio
import contextlib
from pipes import RawClient, join

import pytest
from gradelug_gateway.connection_log import ConnectionLog
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import FleetState
from gradelug_http import EndCause, HttpServer, RequestState, ServerLimits
from logbook import TestHandler as LogHandler
from world import new_loop

REQUEST = b"GET /%b HTTP/1.1\r\nHost: h\r\n\r\n"


class Ends:
    """A server and the ends of its connections."""

    def __init__(self):
        self.ends = []
        self.server = HttpServer(
            self.serve,
            lambda: ServerLimits(header_s=1.0, idle_s=2.0),
            asyncio.get_running_loop().time,
            on_end=self.ends.append,
        )
        self.server.start_sweeping()

    async def serve(self, inc):
        what = inc.target.strip(b"/")
        if what == b"hold":
            await asyncio.sleep(100.0)
        if what == b"error":
            raise KeyError("unknown")
        if what in (b"begun", b"begun-hold"):
            inc.begin(200, [])
            await inc.send(b"part")
            await asyncio.sleep(100.0 if what == b"begun-hold" else 0.0)
        if what == b"whole":
            inc.respond(200, [], b"")

    def connect(self):
        client = RawClient()
        join(client, self.server.new_connection())
        return client


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


@pytest.mark.parametrize(
    ("sent", "cause", "request_state", "is_unanswered"),
    [
        (b"", EndCause.IDLE, RequestState.NONE, False),
        (REQUEST % b"whole", EndCause.IDLE, RequestState.NONE, False),
        (b"GET /whole HTTP/1.1\r\nHost:", EndCause.REFUSED, RequestState.ARRIVING, False),
        (REQUEST % b"error", EndCause.ERROR, RequestState.NONE, False),
        (REQUEST % b"nothing", EndCause.INCOMPLETE, RequestState.READ, True),
        (REQUEST % b"begun", EndCause.INCOMPLETE, RequestState.ANSWERING, True),
        (
            REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n") % b"whole",
            EndCause.ANSWERED,
            RequestState.NONE,
            False,
        ),
    ],
)
def test_each_end_has_its_cause(sent, cause, request_state, is_unanswered):
    async def scenario():
        ends = Ends()
        client = ends.connect()
        if sent:
            client.transport.write(sent)
        with contextlib.suppress(KeyError):
            await asyncio.sleep(5.0)
        (end,) = ends.ends
        assert (end.cause, end.request) == (cause, request_state)
        assert end.is_unanswered is is_unanswered

    loop = new_loop()
    loop.set_exception_handler(lambda loop, context: None)
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


@pytest.mark.parametrize(
    ("target", "request_state"),
    [(b"hold", RequestState.READ), (b"begun-hold", RequestState.ANSWERING)],
)
def test_the_end_by_a_client_is_told_from_that_by_the_server(target, request_state):
    async def scenario():
        ends = Ends()
        one, other = ends.connect(), ends.connect()
        for client in (one, other):
            client.transport.write(REQUEST % target)
        await asyncio.sleep(0.1)
        one.transport.close()
        await asyncio.sleep(0.1)
        await ends.server.close()
        await asyncio.sleep(0.1)
        assert [(end.cause, end.request) for end in ends.ends] == [
            (EndCause.CLIENT, request_state),
            (EndCause.STOP, request_state),
        ]
        assert [end.is_unanswered for end in ends.ends] == [False, True]

    run(scenario)


def test_an_unanswered_request_is_logged_with_its_cause():
    async def scenario():
        ends = Ends()
        ends.connect().transport.write(REQUEST % b"nothing" + REQUEST % b"whole")
        await asyncio.sleep(0.1)
        meters = GatewayMetrics()
        with LogHandler() as handler:
            ConnectionLog(meters, FleetState()).note_end(ends.ends[0])
        (record,) = handler.records
        assert record.kwargs["cause"] == "incomplete"
        assert record.kwargs["ahead_bytes"] == len(REQUEST % b"whole")
        name = b'gradelug_connection_ends_total{cause="incomplete",request="read"} 1.0'
        assert name in meters.render()

    run(scenario)


def test_a_late_sweep_is_logged():
    async def scenario():
        now = [0.0]
        server = HttpServer(lambda inc: None, ServerLimits, lambda: now[0])
        with LogHandler() as handler:
            server.start_sweeping()
            now[0] = 1.5
            server._sweep()
        (record,) = handler.records
        assert record.kwargs["delay_s"] == 1.25
        assert server.longest_delay_s == 1.25

    run(scenario)
