"""Streams of engines that end early, at each of their offsets, begun, resumed and not begun."""

import re
from functools import partial
from pipes import RawServer, join

import pytest
from cut_responses import (
    ENDINGS,
    FRAMINGS,
    Caller,
    actions,
    build,
    open_tunnels,
    settle,
    sparse_cuts,
)
from gradelug_gateway.model import Repeat
from test_serving import ADAPTER, HELD, SIGNED, Bench, route, run
from test_truncated_responses import callers

COUNT = 3
TUNNELLED = ("length", "trailers", "close")
ROUTES = [("direct", framing) for framing in FRAMINGS] + [("tunnel", one) for one in TUNNELLED]
ALL = list(range(1, COUNT + 1))
EVENT = b"id: %d\ndata: x%d\n\n"
HEADERS = b"X-Gradelug-Request-Id: q1\r\n" + SIGNED + b"Content-Type: text/event-stream\r\n"
_number_re = re.compile(rb"(?m)^id: (\d+)$")
_after_re = re.compile(rb"\r\nLast-Event-Id: (\d+)\r\n", re.IGNORECASE)


def stream(framing, after=0, until=COUNT):
    """Return the answer of an engine with the events behind one; each comes in two chunks."""
    events = [EVENT % (number, number) for number in range(after + 1, until + 1)]
    return build(framing, [half for event in events for half in (event[:7], event[7:])], HEADERS)


class Engine(RawServer):
    """Runs a stream behind the event that its request names.

    Parameters
    ----------
    framing : str
        Framing of its answer.
    size : int or None
        Bytes that it sends; if negative, those that are missing; None for a whole answer.
    ending : str
        How its connection ends then.
    """

    def __init__(self, framing="chunked", size=None, ending="fin"):
        super().__init__([])
        self.framing, self.size, self.ending = framing, size, ending

    def data_received(self, data):
        self.received += data
        answer = stream(self.framing, self.after)
        if self.size is None:
            self._act([answer.raw])
            return
        size = self.size if self.size >= 0 else max(0, len(answer.raw) + self.size)
        self._act(actions(answer, size, self.ending))

    @property
    def after(self):
        found = _after_re.search(self.received)
        return int(found[1]) if found else 0


class World:
    """A gateway with engines, each of which answers as a function says."""

    def __init__(self, engines, repeat=Repeat.RESUME, via="direct", budget=10.0):
        the_route = route(repeat, True, len(engines), "llm", 10.0)
        scripts = [[] for _ in engines]
        self.bench = Bench(the_route, scripts, HELD, engine=True, budget=budget)
        self.opened = []
        """Connections by engine in the order in which they were opened."""
        for at, make in enumerate(engines):
            self.bench.net.servers[f"10.0.1.{at}:80"] = lambda make=make, at=at: self._open(
                at, make
            )
        if via == "tunnel":
            self.bench.serving._sender._pool.dial = open_tunnels(self.bench.net)

    def _open(self, at, make):
        engine = make()
        self.opened.append((at, engine))
        return engine

    def ask(self, version=b"1.1", headers=b""):
        caller = Caller()
        join(caller, self.bench.server.new_connection())
        caller.transport.write(
            b"POST /p HTTP/%b\r\nHost: h\r\nX-Gradelug-Request-Id: q1\r\n"
            b"X-Gradelug-Deadline-Ms: 8000\r\n%b%bContent-Length: 4\r\n\r\nbody"
            % (version, ADAPTER, headers)
        )
        return caller


def numbers(caller):
    """Return the numbers of the events that a caller has; they are whole."""
    body, _ = caller.body()
    assert not body or body.endswith(b"\n\n")
    found = [int(number) for number in _number_re.findall(body)]
    assert body == b"".join(EVENT % (number, number) for number in found)
    return found


def check_incomplete(caller, events):
    """Check that a caller has the first events and sees that its answer is not complete."""
    assert numbers(caller) == events
    _, is_whole = caller.body()
    if not events:
        assert (caller.status, is_whole) == (502, True)
        assert b"X-Gradelug-Server-Signature" not in caller.received
        return
    assert caller.ended
    assert (caller.status, is_whole) == (200, False)
    assert not caller.received.endswith(b"0\r\n\r\n")
    assert caller.was_reset or not caller.is_http_10


def events_in(answer, size):
    """Return the events that are whole in the first bytes of an answer."""
    body = answer.raw[answer.head_size : size]
    return [number for number in ALL if b"x%d\n\n" % number in body]


class TestOnce:
    @pytest.mark.parametrize(("via", "framing"), ROUTES)
    def test_a_truncated_stream_looks_complete_or_is_run_again(self, framing, via):
        answer = stream(framing)

        async def scenario():
            for (size, ending), (version, headers) in zip(
                sparse_cuts(answer), callers(), strict=False
            ):
                world = World(
                    [partial(Engine, framing, size, ending), Engine],
                    Repeat.NEVER,
                    via,
                )
                caller = world.ask(version, headers)
                await settle()
                check_incomplete(caller, events_in(answer, size))
                assert [at for at, _ in world.opened] == [0], (size, ending)
                health = world.bench.fleet.health("s0")
                assert health.tally.broken == (0 if via == "tunnel" else 1)

        run(scenario)

    def test_an_orderly_end_within_an_event_completes_a_stream_without_a_length(self):
        answer = stream("close")

        async def scenario():
            for size in range(answer.head_size + 1, len(answer.raw)):
                if answer.raw[:size].endswith(b"\n\n"):
                    continue
                world = World([partial(Engine, "close", size, "fin")], Repeat.NEVER)
                caller = world.ask()
                await settle()
                check_incomplete(caller, events_in(answer, size))

        run(scenario)


class TestResumed:
    @pytest.mark.parametrize(("via", "framing"), ROUTES)
    def test_a_truncated_stream_loses_or_repeats_events_when_it_is_resumed(self, framing, via):
        answer = stream(framing)

        async def scenario():
            for (size, ending), (version, headers) in zip(
                sparse_cuts(answer), callers(), strict=False
            ):
                world = World([partial(Engine, framing, size, ending), Engine], via=via)
                caller = world.ask(version, headers)
                await settle()
                assert numbers(caller) == ALL, (size, ending)
                assert caller.status == 200
                assert caller.body()[1]
                assert not caller.was_reset
                assert [at for at, _ in world.opened] == [0, 1]
                assert world.opened[1][1].after == len(events_in(answer, size))

        run(scenario)

    @pytest.mark.parametrize(
        ("is_last", "framing"),
        [*((False, framing) for framing in FRAMINGS), *((True, one) for one in TUNNELLED)],
    )
    def test_a_resumed_stream_that_is_truncated_looks_complete(self, framing, is_last):
        """The first engine breaks off behind an event; `is_last`: no further retry is left."""
        first = stream("chunked")
        first_size = first.raw.index(b"x1\n\n") + len(b"x1\n\n")
        answer = stream(framing, after=1)

        async def scenario():
            for (size, ending), (version, headers) in zip(
                sparse_cuts(answer), callers(), strict=False
            ):
                world = World(
                    [
                        partial(Engine, "chunked", first_size, "reset"),
                        partial(Engine, framing, size, ending),
                        Engine,
                    ],
                    budget=1.0 if is_last else 10.0,
                )
                caller = world.ask(version, headers)
                await settle(9.0 if is_last else 0.6)
                delivered = [1, *events_in(answer, size)]
                assert world.opened[1][1].after == 1
                if is_last:
                    check_incomplete(caller, delivered)
                    assert len(world.opened) == 2
                    continue
                assert numbers(caller) == ALL, (size, ending)
                assert caller.body()[1]
                assert not caller.was_reset
                assert world.opened[2][1].after == len(delivered)

        run(scenario)

    def test_a_stream_looks_complete_whose_engines_all_break_off(self):
        whole = len(stream("chunked").raw)

        async def scenario():
            for missing, (version, headers) in zip(range(1, whole + 1), callers(), strict=False):
                ending = list(ENDINGS)[missing % len(ENDINGS)]
                world = World([partial(Engine, "chunked", -missing, ending)] * 3)
                caller = world.ask(version, headers)
                await settle(9.0)
                assert len(world.opened) > 1
                found = numbers(caller)
                assert found == ALL[: len(found)]
                check_incomplete(caller, found)

        run(scenario)
