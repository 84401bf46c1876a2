"""Connections and the bound on what is kept for callers, in sequences of any order."""

import asyncio
import re
from pipes import RawClient, join_paced

from gradelug_http import HttpServer, ServerLimits
from gradelug_http.caller_memory import EXCESS_PART
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from world import new_loop

CLIENTS = 3
MOST_BYTES = 200_000
ANSWER_BYTES = 90_000
MAX_PIECE_BYTES = 40_000
CHUNKED = b"POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
SIZED = b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
MIN_HEADER_BYTES = 100
SETTLED_S = 60.0
"""Longer than all time limits together."""
_status_re = re.compile(rb"HTTP/1\.1 (\d{3}) ")
clients = st.integers(0, CLIENTS - 1)


class Caller:
    """A client, what it has sent whole, and the body that it is sending."""

    def __init__(self, server):
        self.client = RawClient()
        self.near, self.far = join_paced(self.client, server.new_connection())
        self.conn = self.far.protocol
        self.whole = []
        """Number and body of each whole request."""
        self.open = None
        """Number and body so far of a chunked request without its end."""
        self.is_slow = False
        """Whether it let time pass with an unfinished request."""

    def statuses(self):
        return [int(status) for status in _status_re.findall(self.client.received)]

    def kept_bytes(self):
        """Return the bytes that the server's end keeps, counted by their places."""
        reader, inc = self.conn._reader, self.conn._incoming
        served = len(inc.body) if inc is not None else 0
        return len(reader.buffer) + len(reader.body) + served + len(self.far.unsent)


class ConnectionBudgetMachine(RuleBasedStateMachine):
    """Clients that send, stop, read and leave as they like."""

    @initialize()
    def start(self):
        self.loop = new_loop()
        self.limits = ServerLimits(body_bytes=100_000, header_s=3.0, idle_s=8.0)
        self.served = {}
        self.was_short = False
        self.body_limits = {100_000}
        self.statuses = {200}
        """Statuses that some client may have been answered."""
        self.numbers = iter(range(1, 10**6))
        self.do(self._start())

    async def _start(self):
        clock = asyncio.get_running_loop().time
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.server = HttpServer(self._serve, lambda: self.limits, clock, MOST_BYTES)
        self.server.start_sweeping()
        self.callers = [Caller(self.server) for _ in range(CLIENTS)]

    async def _serve(self, inc):
        self.served[int(inc.target[1:])] = inc.body
        await self.may_answer.wait()
        inc.respond(200, [], b"x" * (ANSWER_BYTES if inc.body else 0))

    @property
    def min_body_bytes(self):
        return 1_000 if 1_000 in self.body_limits else 100_000

    def do(self, coro):
        return self.loop.run_until_complete(coro)

    async def _write(self, caller, data):
        for at in range(0, len(data), MAX_PIECE_BYTES):
            caller.near.write(data[at : at + MAX_PIECE_BYTES])
            await asyncio.sleep(0.001)

    def send(self, caller, data):
        self.do(self._write(caller, data))

    @rule(at=clients, size=st.sampled_from([0, 5, 20_000, 60_000, 120_000]))
    def send_whole(self, at, size):
        caller = self.callers[at]
        if caller.open is not None:
            return
        number, body = next(self.numbers), b"b" * size
        caller.whole.append((number, body))
        if size > self.min_body_bytes:
            self.statuses.add(413)
        self.send(caller, SIZED % (number, size) + body)

    @rule(at=clients, count=st.integers(1, 30))
    def send_ahead(self, at, count):
        for _ in range(count):
            self.send_whole(at, 0)

    @rule(
        at=clients,
        chunk_bytes=st.sampled_from([1, 2, 700, 30_000]),
        chunks=st.integers(1, 600),
    )
    def send_chunks(self, at, chunk_bytes, chunks):
        caller = self.callers[at]
        head = b""
        if caller.open is None:
            caller.open = (next(self.numbers), bytearray())
            head = CHUNKED % caller.open[0]
        chunks = min(chunks, 70_000 // chunk_bytes)
        caller.open[1].extend(b"c" * chunk_bytes * chunks)
        if len(caller.open[1]) > self.min_body_bytes:
            self.statuses.add(413)
        self.send(caller, head + b"%x\r\n%b\r\n" % (chunk_bytes, b"c" * chunk_bytes) * chunks)

    @rule(at=clients)
    def end_body(self, at):
        caller = self.callers[at]
        if caller.open is None:
            return
        number, body = caller.open
        caller.open = None
        caller.whole.append((number, bytes(body)))
        self.send(caller, b"0\r\n\r\n")

    @rule(at=clients, reads=st.booleans())
    def read(self, at, reads):
        near = self.callers[at].near
        self.do(self._read(near, reads))

    async def _read(self, near, reads):
        near.resume_reading() if reads else near.pause_reading()
        await asyncio.sleep(0.01)

    @rule(answers=st.booleans())
    def let_answer(self, answers):
        self.may_answer.set() if answers else self.may_answer.clear()
        self.do(asyncio.sleep(0.01))

    @rule(body_bytes=st.sampled_from([1_000, 100_000]), header_bytes=st.sampled_from([40, 16_384]))
    def change_limits(self, body_bytes, header_bytes):
        self.limits = ServerLimits(header_bytes, body_bytes, 3.0, 8.0)
        self.body_limits.add(body_bytes)
        if header_bytes < MIN_HEADER_BYTES:
            self.statuses.add(431)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 12.0]))
    def wait(self, seconds):
        for caller in self.callers:
            caller.is_slow |= caller.open is not None
        self.do(asyncio.sleep(seconds))

    @rule(at=clients)
    def leave(self, at):
        self.do(self._leave(at))

    async def _leave(self, at):
        self.callers[at].near.abort()
        await asyncio.sleep(0.01)
        self.callers[at] = Caller(self.server)

    @precondition(lambda self: not self.server.draining)
    @rule()
    def drain(self):
        self.statuses.add(503)
        self.do(self._drain())

    async def _drain(self):
        self.server.draining = True
        self.server.end_connections()
        await asyncio.sleep(0.01)

    @invariant()
    def counted_bytes_are_what_is_kept(self):
        self.do(asyncio.sleep(0.001))
        self.was_short |= self.server.memory.is_short or self.server.shed > 0
        open_conns = [caller for caller in self.callers if caller.conn in self.server.connections]
        assert self.server.held >= sum(caller.kept_bytes() for caller in open_conns)
        if not self.server.connections:
            assert self.server.held == 0

    @invariant()
    def the_bound_holds(self):
        # Each client may have one answer and one piece beyond it.
        beyond = CLIENTS * (ANSWER_BYTES + MAX_PIECE_BYTES)
        assert self.server.held <= EXCESS_PART * MOST_BYTES + beyond

    def teardown(self):
        if not hasattr(self, "loop"):
            return
        self.do(self._settle())
        for caller in self.callers:
            self._check(caller)
        self.do(self.server.close())
        self.loop.close()

    async def _settle(self):
        self.may_answer.set()
        for caller in self.callers:
            caller.near.resume_reading()
        await asyncio.sleep(SETTLED_S)

    def _check(self, caller):
        """Whole requests were answered in order, until the server ended the connection."""
        for number, body in caller.whole:
            if number in self.served:
                assert self.served[number] == body
        statuses = caller.statuses()
        answered = [status for status in statuses if status == 200]
        allowed = set(self.statuses)
        if self.was_short or self.server.shed:
            allowed |= {408, 503}
        if caller.is_slow or caller.open is not None:
            allowed.add(408)
        assert set(statuses) <= allowed
        assert len(statuses) - len(answered) <= 1
        assert len(answered) <= len(caller.whole)
        if len(answered) < len(caller.whole):
            # A refusal, an announced end or an answer that nobody read came before the others.
            end = caller.conn._end
            assert end is not None
            assert end.cause.value in ("refused", "answered", "unread", "stop", "idle")
        served = [number for number, _ in caller.whole if number in self.served]
        assert served == [number for number, _ in caller.whole[: len(served)]]


TestConnectionBudget = ConnectionBudgetMachine.TestCase
TestConnectionBudget.settings = settings(
    derandomize=True, max_examples=60, stateful_step_count=25, deadline=None
)
