"""Responses of replicas that end early, at each of their offsets: never taken for whole."""

import asyncio
from pipes import Network, join

import pytest
from cut_responses import (
    ENDINGS,
    FRAMINGS,
    Caller,
    actions,
    build,
    cuts,
    listen,
    open_tunnels,
    settle,
    sparse_cuts,
)
from gradelug_gateway.model import Repeat
from gradelug_http import HttpPool, OutgoingRequest, ResponseBroken
from test_serving import OK, SIGNED, Bench, reply, route, run

ADDRESS = "10.0.0.1:80"
GET = OutgoingRequest(b"GET", b"/a", [(b"Host", b"h")])
PARTS = (b"first ", b"second, longer than ten")
HEADERS = b"X-Gradelug-Request-Id: q1\r\n" + SIGNED + b"Content-Type: text/plain\r\n"
REPLICA = "10.0.1.0:80"
VERSIONS = (b"1.1", b"1.0")
CONNECTION = (b"", b"Connection: close\r\n", b"Connection: keep-alive\r\n")


def ask(bench, version=b"1.1", headers=b"", deadline_ms=1000):
    """Send a request of a caller to a gateway, and return the caller."""
    caller = Caller()
    join(caller, bench.server.new_connection())
    caller.transport.write(
        b"POST /p HTTP/%b\r\nHost: h\r\nX-Gradelug-Request-Id: q1\r\n"
        b"X-Gradelug-Deadline-Ms: %d\r\n%bContent-Length: 4\r\n\r\nbody"
        % (version, deadline_ms, headers)
    )
    return caller


def callers():
    """Yield versions and headers of callers' requests in turn, without an end."""
    while True:
        for version in VERSIONS:
            for connection in CONNECTION:
                yield version, connection


class TestClient:
    @pytest.mark.parametrize("via", ["direct", "tunnel"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_a_truncated_response_is_taken_for_whole(self, framing, via):
        answer = build(framing, PARTS, HEADERS)

        async def scenario():
            net = Network()
            dial = open_tunnels(net) if via == "tunnel" else net.dial
            pool = HttpPool(asyncio.get_running_loop().time, dial)
            for size, ending in cuts(answer):
                listen(net, ADDRESS, [actions(answer, size, ending)])
                with pytest.raises(ResponseBroken):
                    await pool.exchange(ADDRESS, GET, 1.0, 1000)
            assert not pool.connections
            # The same answers whole.
            listen(net, ADDRESS, [[answer.raw, "close"]])
            if answer.is_sized or via == "direct":
                head, body = await pool.exchange(ADDRESS, GET, 1.0, 1000)
                assert (head.status, body) == (200, b"".join(PARTS))

        run(scenario)

    def test_the_end_of_a_tunnel_completes_a_response_without_a_length(self):
        answer = build("close", PARTS, HEADERS)

        async def scenario():
            net = Network()
            pool = HttpPool(asyncio.get_running_loop().time, open_tunnels(net))
            for ending in ENDINGS:
                for size in range(len(answer.raw) + 1):
                    listen(net, ADDRESS, [actions(answer, size, ending)])
                    with pytest.raises(ResponseBroken):
                        await pool.exchange(ADDRESS, GET, 1.0, 1000)

        run(scenario)


class TestPlain:
    @pytest.mark.parametrize("via", ["direct", "tunnel"])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_a_truncated_response_reaches_the_caller_or_is_repeated(self, framing, via):
        """The request may run once."""
        answer = build(framing, PARTS, HEADERS)

        async def scenario():
            for (size, ending), (version, headers) in zip(
                sparse_cuts(answer), callers(), strict=False
            ):
                bench = Bench(route(Repeat.NEVER), [[], [[OK]]])
                listen(bench.net, REPLICA, [actions(answer, size, ending)])
                if via == "tunnel":
                    bench.serving._sender._pool.dial = open_tunnels(bench.net)
                caller = ask(bench, version, headers)
                await settle()
                assert caller.status == 502, (size, ending)
                assert caller.body() == (b"", True)
                assert b"X-Gradelug-Server-Signature" not in caller.received
                assert not bench.received("s1")
                tally = bench.fleet.health("s0").tally
                assert (tally.broken, tally.served) == (0 if via == "tunnel" else 1, 0)

        run(scenario)

    @pytest.mark.parametrize("budget", [10.0, 0.0])
    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_a_repeatable_request_is_not_sent_again_after_a_truncated_response(
        self, framing, budget
    ):
        answer = build(framing, PARTS, HEADERS)

        async def scenario():
            for (size, ending), (version, headers) in zip(
                sparse_cuts(answer), callers(), strict=False
            ):
                bench = Bench(route(Repeat.FREELY), [[], [[OK]]], budget=budget)
                listen(bench.net, REPLICA, [actions(answer, size, ending)])
                caller = ask(bench, version, headers)
                await settle()
                expected = (200, (b"ok", True)) if budget else (502, (b"", True))
                assert (caller.status, caller.body()) == expected, (size, ending)
                assert bool(bench.received("s1")) is bool(budget)
                assert bench.fleet.health("s0").tally.broken == 1

        run(scenario)

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_a_truncated_refusal_proves_that_the_request_did_not_run(self, framing):
        refusal = b"X-Gradelug-Request-Id: q1\r\nX-Gradelug-Not-Executed: 1\r\n"
        answer = build(framing, PARTS, refusal, b"503 Service Unavailable")

        async def scenario():
            for size, ending in sparse_cuts(answer):
                bench = Bench(route(Repeat.NEVER), [[], [[OK]]])
                listen(bench.net, REPLICA, [actions(answer, size, ending)])
                caller = ask(bench)
                await settle()
                assert caller.status == 502, (size, ending)
                assert not bench.received("s1")

        run(scenario)

    def test_a_truncated_failure_is_forwarded_with_its_signature(self):
        answer = build("length", PARTS, HEADERS, b"500 Internal Server Error")

        async def scenario():
            for size, ending in sparse_cuts(answer):
                bench = Bench(route(Repeat.NEVER), [[], [[OK]]])
                listen(bench.net, REPLICA, [actions(answer, size, ending)])
                caller = ask(bench)
                await settle()
                assert caller.status == 502, (size, ending)
                assert b"X-Gradelug-Server-Signature" not in caller.received

        run(scenario)


class TestLateResponses:
    def test_a_truncated_response_to_another_request_is_completed_by_the_next_one(self):
        """An earlier response breaks off, and the connection goes on with the current one."""
        stray = reply(b"not yours", ident=b"q0", extra=SIGNED + b"X-Note: a note\r\n")
        failure = build("length", (b"no",), HEADERS, b"500 Internal Server Error").raw

        async def scenario():
            for size in range(1, len(stray)):
                bench = Bench(route(Repeat.NEVER, replicas=1), [[[stray[:size] + failure]]])
                caller = ask(bench)
                await settle(1.5)
                assert caller.status in (500, 502, 504), (size, bytes(caller.received))
                assert b"not yours" not in caller.received

        run(scenario)

    def test_a_success_gets_the_status_of_a_truncated_failure(self):
        stray = reply(b"no", b"500 Internal Server Error", b"q0", SIGNED + b"X-Note: a note\r\n")

        async def scenario():
            for size in range(1, len(stray)):
                bench = Bench(route(Repeat.NEVER, replicas=1), [[[stray[:size] + OK]]])
                caller = ask(bench)
                await settle(1.5)
                assert caller.status in (200, 502, 504), (size, bytes(caller.received))
                assert caller.status != 200 or caller.body() == (b"ok", True)

        run(scenario)
