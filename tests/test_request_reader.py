"""Requests from the bytes of a client, compared with what the parser alone makes of them."""

import asyncio
import random
from pipes import MemoryTransport, RawClient, join

import h11
import pytest
from gradelug_http import HttpServer, ServerLimits
from gradelug_http.exceptions import MalformedRequest
from gradelug_http.request_reader import MAX_CHUNKS_PER_STEP, RequestReader, Step
from hypothesis import example, given, settings
from hypothesis import strategies as st
from test_unread import run

HEADER_BYTES = 500
BODY_BYTES = 4_194_304
CHUNKED = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
REQUESTS = [
    GET,
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    CHUNKED + b"3\r\nabc\r\nA;x=1\r\n0123456789\r\n0\r\n\r\n",
    CHUNKED.replace(b"\r\n", b"\n") + b"3\r\nabc\r\n0\r\nT: 1\r\nU: 2\r\n\r\n",
    b"POST /a HTTP/1.0\r\nContent-Length: 2\r\n\r\nab",
    b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"y" * 600 + b"\r\n\r\n",
    b"\r\n",
]
ODD_BYTES = b"\n 0;:Aazx\x00\xff"
"""Without a carriage return, which the parser takes for a part of a chunk's extension."""


def respond(parser):
    parser.send(h11.Response(status_code=200, headers=[(b"Content-Length", b"0")]))
    parser.send(h11.EndOfMessage())


def parsed(pieces):
    """Return the heads and bodies that the parser reads, and the status of its refusal."""
    parser, found, body = h11.Connection(h11.SERVER, HEADER_BYTES), [], b""
    try:
        for piece in pieces:
            parser.receive_data(piece)
            while (event := parser.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Request):
                    found.append((event.method, event.target, tuple(event.headers.raw_items())))
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                else:
                    found.append(body)
                    body = b""
                    if parser.their_state is not h11.DONE:
                        return found, None
                    respond(parser)
                    parser.start_next_cycle()
    except h11.RemoteProtocolError as exc:
        return found, exc.error_status_hint
    return found, None


def read(pieces):
    """Return the same of the reader."""
    reader, found = RequestReader(HEADER_BYTES), []
    try:
        for piece in pieces:
            reader.buffer += piece
            while (step := reader.step()) is not Step.WAIT:
                if step is Step.HEAD:
                    req = reader.req
                    found.append((req.method, req.target, tuple(req.headers.raw_items())))
                elif step is Step.END:
                    found.append(reader.take_body())
                    if reader.parser.their_state is not h11.DONE:
                        return found, None
                    respond(reader.parser)
                    reader.start_next()
    except MalformedRequest as exc:
        return found, exc.status
    return found, None


def read_to_end(reader):
    while reader.step() is Step.MORE:
        pass


def cut(raw, cuts):
    ends = sorted({at for at in cuts if 0 < at < len(raw)} | {len(raw)})
    return [raw[begin:end] for begin, end in zip([0, *ends], ends, strict=False)]


class TestLikeTheParser:
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        st.lists(st.sampled_from(REQUESTS), min_size=1, max_size=3),
        st.integers(0, 2),
        st.integers(0, 2**32),
        st.lists(st.integers(0, 400), max_size=4),
    )
    @example([REQUESTS[3], GET], 0, 0, list(range(400)))
    @example([REQUESTS[2], GET], 0, 0, list(range(400)))
    def test_changed_and_cut_requests_are_read_alike(self, requests, changes, seed, cuts):
        raw, rng = bytearray(b"".join(requests)), random.Random(seed)
        for _ in range(changes):
            at = rng.randrange(len(raw))
            if rng.random() < 0.5:
                raw[at] = rng.choice(ODD_BYTES)
            else:
                raw.insert(at, rng.choice(ODD_BYTES))
        pieces = cut(bytes(raw), cuts)
        assert read(pieces) == parsed(pieces)

    def test_a_carriage_return_in_an_extension_is_refused(self):
        assert read([CHUNKED + b"1;x\rx\r\na\r\n0\r\n\r\n"]) == (
            [(b"POST", b"/a", ((b"Host", b"h"), (b"Transfer-Encoding", b"chunked")))],
            400,
        )


class TestFraming:
    @pytest.mark.parametrize(
        "raw",
        [b"1;" + b"x" * 5_000, b"zz\r\n", b"1\r\nab\r\n", b"1;" + b"x" * 2_000 + b"\r\na\r\n"],
    )
    def test_lines_and_framing_are_bounded(self, raw):
        reader = RequestReader(HEADER_BYTES)
        reader.buffer += CHUNKED
        assert reader.step() is Step.HEAD
        reader.buffer += raw * 100
        with pytest.raises(MalformedRequest):
            read_to_end(reader)

    def test_a_step_decodes_a_bounded_number_of_chunks(self):
        reader = RequestReader(HEADER_BYTES)
        reader.buffer += CHUNKED + b"2\r\nab\r\n" * 3 * MAX_CHUNKS_PER_STEP
        steps = []
        while (step := reader.step()) is not Step.WAIT:
            steps.append((step, len(reader.body)))
        assert [size for _, size in steps] == [2 * MAX_CHUNKS_PER_STEP * at for at in range(4)]


class Recording(MemoryTransport):
    """Tells whether its connection reads."""

    is_paused = False

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False


class Server:
    """Keeps the order in which requests are served, and their sizes."""

    def __init__(self):
        self.served = []
        clock = asyncio.get_running_loop().time
        self._server = HttpServer(self._serve, ServerLimits, clock)

    async def _serve(self, inc):
        self.served.append((inc.target, len(inc.body)))
        inc.respond(200, [], b"")

    def send(self, data):
        client = RawClient()
        join(client, self._server.new_connection()).write(data)
        return client


def chunked(size, chunk_bytes):
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return CHUNKED + chunk * (size // chunk_bytes) + b"0\r\n\r\n"


class TestServer:
    def test_a_body_in_chunks_of_two_bytes_held_up_the_requests_of_others(self):
        async def scenario():
            server = Server()
            server.send(chunked(50_000, 2))
            server.send(GET)
            await asyncio.sleep(1.0)
            assert server.served == [(b"/b", 0), (b"/a", 50_000)]

        run(scenario)

    @pytest.mark.parametrize("chunk_bytes", [2, 65_536])
    def test_the_longest_body_is_served_in_chunks_of_any_size(self, chunk_bytes):
        async def scenario():
            server = Server()
            client = server.send(chunked(BODY_BYTES, chunk_bytes))
            await asyncio.sleep(1.0)
            assert server.served == [(b"/a", BODY_BYTES)]
            assert b" 200 " in client.received

        run(scenario)

    def test_reading_went_on_while_bytes_waited_for_the_decoder(self):
        async def scenario():
            server = Server()
            conn = server._server.new_connection()
            near, far = MemoryTransport(RawClient()), Recording(conn)
            near.peer, far.peer = far, near
            conn.connection_made(far)
            for piece in cut(chunked(100_000, 2), range(0, 10**6, 65_536)):
                far.deliver(piece)
            assert far.is_paused
            await asyncio.sleep(1.0)
            assert not far.is_paused
            assert server.served == [(b"/a", 100_000)]

        run(scenario)
