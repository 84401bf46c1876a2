"""Memory of a gateway process before replicas that send too much."""

import asyncio

import pytest
from endless_replica import FaultyReplica, GatewayBeforeFaultyReplicas
from fleet_stand_in import GATEWAY_HOST
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.placement_grpc import PlacementStub
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

# Each of these tests measures the memory of a process.
pytestmark = pytest.mark.xdist_group("memory")

MEMORY_MB = 160
"""Memory limit of the smallest instances."""
CROWD = 50
MIN_REACHED = 10
"""Requests that reach a replica at least; others may be refused meanwhile."""
ROUNDS = 2
DEADLINE_MS = 2_000
SPACING_S = 0.02
"""Time between two callers whose answers are whole: each is received before the next begins."""
WAIT_S = 3.0
NAMES = 10
PEERS = 5
MESSAGE_BYTES = 20_000_000
REPORT_BYTES = 1_000_000
MAX_DESCRIPTORS = 400
PIECE_BYTES = 65_536
FILL = b"x" * PIECE_BYTES
SIGNED = b"X-Gradelug-Request-Id: %b\r\nX-Gradelug-Server-Signature: s\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNED
STRAY = b"HTTP/1.1 200 OK\r\nX-Gradelug-Request-Id: other\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = b"Content-Length: 1000000000000\r\n\r\n"
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, FILL)
FIELDS = b"a:b\r\n" * 13_000
LARGE_BYTES = 8_000_000
LARGE = b"Content-Length: %d\r\n\r\n" % LARGE_BYTES + b"x" * LARGE_BYTES
ENDLESS_RESPONSES = {
    "status line": ("unsafe", b"HTTP/1.1 200 ", FILL),
    "informational": ("unsafe", b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1000),
    "header line": ("unsafe", HEAD + b"X-Fill: ", FILL),
    "header lines": ("unsafe", HEAD, FIELDS),
    "fields of a whole head": ("unsafe", HEAD + FIELDS + ENDLESS, b""),
    "body": ("unsafe", HEAD + ENDLESS, FILL),
    "body without length": ("unsafe", HEAD + b"\r\n", FILL),
    "chunks": ("unsafe", HEAD + CHUNKED, CHUNK),
    "chunks of two bytes": ("unsafe", HEAD + CHUNKED, b"2\r\nxx\r\n" * 9_000),
    "chunk size": ("unsafe", HEAD + CHUNKED, b"0" * PIECE_BYTES),
    "chunk extension": ("unsafe", HEAD + CHUNKED + b"5;x=", FILL),
    "trailer": ("unsafe", HEAD + CHUNKED + b"0\r\nx: ", FILL),
    "trailer lines": ("unsafe", HEAD + CHUNKED + b"0\r\n", FIELDS),
    "skipped body": ("unsafe", STRAY + ENDLESS, FILL),
    "event": ("stream", HEAD + CHUNKED, CHUNK),
    "event lines": ("stream", HEAD + CHUNKED, b"7\r\ndata:x\n\r\n" * 5_000),
    "behind a whole answer": ("unsafe", HEAD + b"Content-Length: 2\r\n\r\nok", FILL),
}
"""Kind of the request, what the replica sends first, and then again and again."""


def measure(folder, replica, scenario, names=NAMES, has_engines=False):
    """Play a scenario against a gateway and check what must hold afterwards."""

    async def run():
        bench = GatewayBeforeFaultyReplicas(folder, replica, MEMORY_MB, names, has_engines)
        async with bench:
            await scenario(bench)
            answer = await bench.ask_sound()
            assert bench.gateway.is_running
            return answer, bench.peak_bytes(), bench.descriptors()

    answer, peak_bytes, descriptors = asyncio.run(run())
    print(f"peak {peak_bytes / 1e6:.0f} MB, {descriptors} descriptors")
    assert peak_bytes <= MEMORY_MB * 1_000_000
    assert descriptors <= MAX_DESCRIPTORS
    assert answer.startswith(b"HTTP/1.1 200")
    assert answer.endswith(b"sound")


def play_crowd(folder, replica, kind, **kwargs):
    async def scenario(bench):
        await bench.play_crowd(kind, CROWD, DEADLINE_MS, ROUNDS, **kwargs)

    measure(folder, replica, scenario)
    assert len(replica.idents) >= MIN_REACHED


class TestEndlessResponses:
    @pytest.mark.parametrize("name", ENDLESS_RESPONSES)
    def test_memory_grew_with_what_replicas_sent(self, name, tmp_path):
        kind, first, piece = ENDLESS_RESPONSES[name]
        play_crowd(tmp_path, FaultyReplica(first, piece), kind)


class TestLargeResponses:
    def test_failures_kept_for_a_retry_were_not_counted(self, tmp_path):
        first = b"HTTP/1.1 500 Failed\r\n" + SIGNED + LARGE
        replica = FaultyReplica(first, b"", repeats=False)
        play_crowd(tmp_path, replica, "safe", spacing_s=SPACING_S)

    def test_whole_answers_to_callers_that_do_not_read_were_not_counted_in_time(self, tmp_path):
        replica = FaultyReplica(HEAD + LARGE, b"")
        play_crowd(tmp_path, replica, "unsafe", is_reading=False, spacing_s=SPACING_S)


class TestReports:
    @pytest.mark.parametrize("name", ["text", "nested"])
    def test_reports_of_all_engines_arrived_at_once(self, name, tmp_path):
        body = {"text": b"x" * REPORT_BYTES, "nested": b"[" + b"[]," * (REPORT_BYTES // 3)}[name]
        first = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body

        async def scenario(bench):
            await asyncio.sleep(WAIT_S)

        measure(tmp_path, FaultyReplica(first, b""), scenario, CROWD, has_engines=True)


class TestStore:
    @pytest.mark.parametrize("name", ["text", "nested"])
    def test_responses_of_the_store_were_bounded_one_by_one(self, name, tmp_path):
        body = {"text": b"x" * LARGE_BYTES, "nested": b"[" + b"[]," * (LARGE_BYTES // 3)}[name]

        async def scenario(bench):
            bench.store.raw = body
            await asyncio.sleep(WAIT_S)
            bench.store.raw = None

        measure(tmp_path, FaultyReplica(b"", b""), scenario)


class TestStatusPort:
    def test_bodies_at_the_status_port_were_not_counted(self, tmp_path):
        head = b"POST /metrics HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"

        async def scenario(bench):
            request = head + b"x" * 3_999_999
            await bench.send_unfinished(bench.gateway.ready, request, CROWD, WAIT_S)

        measure(tmp_path, FaultyReplica(b"", b""), scenario)


class TestPeers:
    def test_messages_of_peers_had_no_bound(self, tmp_path):
        async def scenario(bench):
            message = pb.FromGateway(instance="x" * MESSAGE_BYTES)
            await asyncio.gather(*(_send_message(bench, message) for _ in range(PEERS)))

        measure(tmp_path, FaultyReplica(b"", b""), scenario)


async def _send_message(bench, message):
    channel = Channel(GATEWAY_HOST, bench.gateway.peer)
    try:
        async with asyncio.timeout(WAIT_S), PlacementStub(channel).Follow.open() as stream:
            await stream.send_message(message)
            await stream.recv_message()
    except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
        print(f"the gateway ended a stream: {exc!r}")
    finally:
        channel.close()
