"""Responses to the router and the scheduler that end early, at each of their offsets, over sockets.

Silences before the end are left out: they would take real time, and the client sees the same end.
"""

import asyncio
import contextlib
import json
import socket
import struct

import aiohttp
import pytest
from cut_responses import FRAMINGS, build, cuts
from gradelug_backends import HttpEngineControl, UpstreamUnavailable, new_connector
from gradelug_backends.etcd import EtcdKeyValue
from gradelug_config.model import Replica, Service
from gradelug_coordination import KvUnavailable
from gradelug_policy import Circuit
from gradelug_router.door import Door
from gradelug_router.exceptions import ApiError, UpstreamBroken
from gradelug_router.openai import DONE
from gradelug_router.relay import Progress, Relay
from gradelug_router.settings import Limits
from gradelug_router.upstream import Outgoing, UpstreamClient
from test_incomplete_answers import read_to_end

ENDINGS = ("fin", "reset")
ATTEMPT, ADAPTER = "q1-a", "m@1"
HEADERS = b"Content-Type: application/json\r\n"
CHUNK = json.dumps({"id": ATTEMPT, "model": ADAPTER, "choices": []}).encode()
EVENTS = [b"data: " + CHUNK + b"\n\n", b"data: " + CHUNK + b"\n\n", DONE]
REPORT = {"boot": "b", "age_s": 0.1, "fence": 1, "adapters": {"a": 1}, "slots": 4}
LISTING = {"header": {"revision": "9"}, "kvs": [{"key": "aw==", "value": "", "mod_revision": "7"}]}
LIMITS = Limits(
    body_bytes=10_000,
    header_bytes=2_000,
    read_s=5.0,
    connections=100,
    unsent_bytes=100_000,
    slow_reader_s=5.0,
)


class Upstream:
    """A server that sends the first bytes of an answer and ends its connection."""

    def __init__(self):
        self.raw, self.ending = b"", "fin"
        self.asked = 0

    def answer(self, raw, ending):
        """Set what it sends."""
        self.raw, self.ending, self.asked = raw, ending, 0

    async def serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            length = head.partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length or 0))
            self.asked += 1
            writer.write(self.raw)
            await writer.drain()
            if self.ending == "reset":
                linger = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()


def with_upstream(scenario):
    async def work():
        upstream = Upstream()
        server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            await scenario(upstream, f"http://127.0.0.1:{port}")
        finally:
            server.close()

    asyncio.run(work())


def outgoing(address, is_single=False):
    return Outgoing(f"{address}/v1/completions", b"{}", ATTEMPT, ADAPTER, is_single)


def sizes(answer):
    """Yield the cuts of an answer, and orderly ends within its body where it has no length."""
    yield from cuts(answer, ENDINGS)
    if not answer.is_sized:
        for size in range(answer.head_size, len(answer.raw)):
            yield size, "fin"


@contextlib.asynccontextmanager
async def upstream_client():
    client = UpstreamClient(asyncio.get_running_loop().time, 100_000)
    try:
        yield client
    finally:
        await client.close()


class TestEngines:
    def test_a_truncated_completion_is_taken_for_whole(self):
        async def scenario(upstream, address):
            async with upstream_client() as client:
                for framing in FRAMINGS:
                    answer = build(framing, [CHUNK[:9], CHUNK[9:]], HEADERS)
                    for size, ending in sizes(answer):
                        upstream.answer(answer.raw[:size], ending)
                        with pytest.raises(UpstreamBroken):
                            await client.whole(outgoing(address, bool(size % 2)), float("inf"))
                    upstream.answer(answer.raw, "fin")
                    assert await client.whole(outgoing(address), float("inf")) == CHUNK

        with_upstream(scenario)

    @pytest.mark.parametrize("framing", FRAMINGS)
    def test_a_truncated_stream_gets_a_last_event(self, framing):
        answer = build(framing, EVENTS, HEADERS)

        async def scenario(upstream, address):
            async with upstream_client() as client:
                for size, ending in sizes(answer):
                    upstream.answer(answer.raw[:size], ending)
                    events = b""
                    stream = client.stream(outgoing(address), float("inf"))
                    with contextlib.suppress(UpstreamBroken):
                        async for data in stream:
                            events += data
                        pytest.fail(f"a stream of {size} bytes is whole after {ending}")
                    assert b"".join(EVENTS).startswith(events)
                    assert (DONE in events) <= (DONE in answer.raw[:size])
                upstream.answer(answer.raw, "fin")
                found = [one async for one in client.stream(outgoing(address), float("inf"))]
                assert b"".join(found) == b"".join(EVENTS)

        with_upstream(scenario)


class StubView:
    def is_leaving(self, name, address):
        return False


class StubAcquirer:
    def __init__(self):
        self.circuits = {}

    def circuit(self, name):
        return self.circuits.setdefault(name, CountingCircuit())


class CountingCircuit(Circuit):
    def __init__(self):
        super().__init__()
        self.failures = 0

    def allows(self, now):
        return True

    def note_failure(self, now):
        self.failures += 1


class RelayDoor:
    """The door in front of a plain service with one replica."""

    def __init__(self, client, address, is_single):
        self.acquirer = StubAcquirer()
        self.relay = Relay(
            StubView(), client, self.acquirer, "hall", asyncio.get_running_loop().time
        )
        self.service = Service("s", "", replicas=[Replica("r0", address)])
        self.is_single = is_single
        self.door = Door(("127.0.0.1", 0), LIMITS, self.serve)

    async def serve(self, exchange):
        headers = {"Gradelug-Request-Id": "q1"}
        try:
            await self.relay.service(
                exchange, self.service, "a", self.is_single, headers, Progress()
            )
        except ApiError as exc:
            exchange.respond(exc.status, b"", {"Gradelug-Outcome": exc.outcome.value})

    async def fetch(self, version, method=b"GET"):
        """Return status, body, and whether the answer looks whole."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.door.port)
        connection = b"Connection: close\r\n" if version == b"1.1" else b""
        writer.write(b"%b /a HTTP/%b\r\nHost: h\r\n%b\r\n" % (method, version, connection))
        data, was_reset = await read_to_end(reader)
        writer.close()
        head, _, body = data.partition(b"\r\n\r\n")
        status = int(head.split()[1])
        if b"chunked" in head:
            return status, body, body.endswith(b"0\r\n\r\n")
        if b"Content-Length: " in head:
            length = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
            return status, body, len(body) == length
        return status, body, not was_reset


class TestServices:
    def each_cut(self, check, method=b"GET"):
        """Check each cut of the responses of a service to a request that may run once."""

        async def scenario(upstream, address):
            async with upstream_client() as client:
                door = RelayDoor(client, address, is_single=True)
                for framing in FRAMINGS:
                    answer = build(framing, [b"first ", b"second"], b"Content-Type: text/plain\r\n")
                    for size, ending in cuts(answer, ENDINGS):
                        upstream.answer(answer.raw[:size], ending)
                        door.acquirer.circuits.clear()
                        found = await door.fetch((b"1.1", b"1.0")[size % 2], method)
                        circuit = door.acquirer.circuit("r0")
                        assert check(upstream, circuit, found), (framing, size, ending, found)
                    upstream.answer(answer.raw, "fin")
                    status, _, is_whole = await door.fetch(b"1.1")
                    assert (status, is_whole) == (200, True)
                await door.door.close()

        with_upstream(scenario)

    def test_a_truncated_response_is_taken_for_whole(self):
        self.each_cut(lambda upstream, circuit, found: found[0] == 502 or not found[2])

    @pytest.mark.parametrize("method", [b"GET", b"DELETE"])
    def test_a_request_that_may_run_once_is_sent_again(self, method):
        self.each_cut(lambda upstream, circuit, found: upstream.asked == 1, method)

    def test_a_truncated_response_is_no_failure_of_its_replica(self):
        self.each_cut(lambda upstream, circuit, found: circuit.failures == 1)


class TestOrders:
    def each_cut(self, body, work, error, is_json=True):
        """Check that a call fails after each cut of its response."""

        async def scenario(upstream, address):
            async with aiohttp.ClientSession(connector=new_connector()) as session:
                for framing in FRAMINGS:
                    answer = build(framing, [json.dumps(body).encode()], HEADERS)
                    for size, ending in sizes(answer) if is_json else cuts(answer, ENDINGS):
                        upstream.answer(answer.raw[:size], ending)
                        with pytest.raises(error):
                            await work(session, address)
                    upstream.answer(answer.raw, "fin")
                    await work(session, address)

        with_upstream(scenario)

    def test_a_truncated_report_is_an_unexpected_error(self):
        self.each_cut(
            REPORT,
            lambda session, address: HttpEngineControl(session, address).report(),
            UpstreamUnavailable,
        )

    def test_a_truncated_response_to_an_order_is_taken_for_whole(self):
        self.each_cut(
            {"status": "ok"},
            lambda session, address: HttpEngineControl(session, address).load("a", "/a", 1),
            UpstreamUnavailable,
            is_json=False,
        )

    def test_a_truncated_response_of_the_key_value_service_is_an_unexpected_error(self):
        self.each_cut(
            LISTING,
            lambda session, address: EtcdKeyValue(session, address).list("k"),
            KvUnavailable,
        )
