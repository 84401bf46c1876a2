"""Ends of requests at their callers' deadlines, the timeouts of their routes and planned stops."""

import asyncio

import pytest
from gradelug_gateway.model import Repeat
from gradelug_gateway.response_times import MIN_SAMPLES, WINDOW_S, ResponseTimes
from test_serving import ADAPTER, END, FULL, HELD, OK, STREAM, Bench, event, route, run, status
from test_shutdown import schedule

DEADLINE_MS = 1000


def stream_bench(*scripts, timeout_s=10.0, repeat=Repeat.RESUME):
    the_route = route(repeat, True, 2, "llm", timeout_s)
    return Bench(the_route, [[script] for script in scripts], HELD, engine=True)


class TestBegunStreams:
    def test_a_begun_stream_is_cut_before_its_callers_deadline(self):
        async def scenario():
            bench = stream_bench([STREAM + event(1), 0.995, event(2)])
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(1.0)
            assert event(2) in client.received
            assert not client.ended
            assert b"X-Gradelug-Deadline-Ms: 1000\r\n" in bench.received("s0")
            await asyncio.sleep(0.15)
            assert client.ended
            assert bench.servers["s0"][0].transport.closing

        run(scenario)

    def test_a_stream_that_has_not_begun_is_answered_after_its_callers_deadline(self):
        async def scenario():
            bench = stream_bench([STREAM])
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(0.995)
            assert status(client) == 504

        run(scenario)

    @pytest.mark.parametrize("deadline_ms", [505, 560, 1000])
    def test_a_begun_stream_outlives_the_timeout_of_its_route(self, deadline_ms):
        async def scenario():
            bench = stream_bench([STREAM + event(1)], timeout_s=0.5)
            client = bench.client(deadline_ms, ADAPTER)
            await asyncio.sleep(0.498)
            assert not client.ended
            await asyncio.sleep(0.004)
            assert client.ended

        run(scenario)

    @pytest.mark.parametrize(("work_s", "ends_at_s"), [(0.5, 0.5), (0.995, 0.995), (1.05, 1.05)])
    def test_a_begun_stream_outlives_a_planned_stop(self, work_s, ends_at_s):
        async def scenario():
            bench = stream_bench([STREAM + event(1)])
            client = bench.client(DEADLINE_MS, ADAPTER)
            began_at = bench.clock()
            await asyncio.sleep(0.1)
            bench.serving.shut_down(schedule(bench, work_s=work_s - 0.1))
            await asyncio.sleep(began_at + ends_at_s - 0.002 - bench.clock())
            assert not client.ended
            await asyncio.sleep(0.004)
            assert client.ended

        run(scenario)

    @pytest.mark.parametrize("is_first_told", [True, False])
    def test_a_stream_that_begins_during_a_planned_stop_outlives_it(self, is_first_told):
        async def scenario():
            bench = stream_bench([0.2, STREAM + event(1)])
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(0.1 if is_first_told else 0.3)
            bench.serving.shut_down(schedule(bench, work_s=0.9))
            await asyncio.sleep(0.97)
            assert client.ended

        run(scenario)

    # A replica stops at the deadline that it was handed.
    @pytest.mark.parametrize("end", ["reset", "close"])
    def test_the_end_of_a_replica_at_the_deadline_counts_as_its_failure(self, end):
        async def scenario():
            bench = stream_bench([STREAM + event(1), 1.005, end], [STREAM + event(2)])
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(1.2)
            assert client.ended
            assert not bench.received("s1")
            assert bench.fleet.health("s0").rate(bench.clock()) == 0

        run(scenario)


TOKENS = b"X-Gradelug-Token-Usage: 2000,50\r\n"
"""A prompt that takes an idle engine 0.1 s by the estimate."""


def serve_others(bench, took_s, count=MIN_SAMPLES, route_name="r"):
    """Record responses of other requests."""
    service = bench.state.snapshot.routes[0].shares[0].service
    for _ in range(count):
        bench.serving._sender.time_check.times.note(service, route_name, took_s)


class TestTooLittleTime:
    # It was sent, and its caller got 504 at its deadline instead of 503.
    def test_a_stream_that_cannot_begin_in_time_is_sent(self):
        async def scenario():
            the_route = route(Repeat.RESUME, True, 2, "llm")
            script = [[0.05, STREAM + event(1) + END]] * 40
            bench = Bench(the_route, [script], HELD, engine=True)
            resumed = b"Last-Event-Id: 7\r\n"
            for _ in range(20):
                client = bench.client(1000, ADAPTER + TOKENS)
                await asyncio.sleep(0.1)
                assert status(client) == 200
            for headers in (b"", resumed):
                before = len(bench.received("s0"))
                client = bench.client(52, ADAPTER + TOKENS + headers)
                await asyncio.sleep(0.003)
                assert status(client) == 503
                assert b"Retry-After: " in client.received
                assert len(bench.received("s0")) == before

        run(scenario)

    @pytest.mark.parametrize(
        ("deadline_ms", "tokens", "took_s", "count"),
        [
            (72, TOKENS, 0.05, MIN_SAMPLES),
            (52, TOKENS, 0.05, MIN_SAMPLES - 1),
            (52, b"X-Gradelug-Token-Usage: 20,50\r\n", 0.05, MIN_SAMPLES),
            (130, TOKENS, 0.5, MIN_SAMPLES),
        ],
        ids=["longer", "unknown", "short prompt", "busy before"],
    )
    def test_a_stream_that_can_begin_in_time_is_refused(self, deadline_ms, tokens, took_s, count):
        async def scenario():
            bench = stream_bench([STREAM + event(1) + END])
            serve_others(bench, took_s, count)
            client = bench.client(deadline_ms, ADAPTER + tokens)
            await asyncio.sleep(0.01)
            assert status(client) == 200
            assert client.received.endswith(END)

        run(scenario)

    @pytest.mark.parametrize(("deadline_ms", "expected"), [(30, 503), (60, 200)])
    def test_a_plain_request_that_cannot_be_answered_in_time_is_sent(self, deadline_ms, expected):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[OK]]])
            serve_others(bench, 0.03)
            client = bench.client(deadline_ms)
            await asyncio.sleep(0.01)
            assert status(client) == expected
            assert bool(bench.received("s0")) is (expected == 200)

        run(scenario)

    # Nothing would ever show that the requests of the shorter route take less.
    def test_a_request_is_refused_since_another_route_takes_longer(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[OK]]])
            serve_others(bench, 0.5, route_name="longer")
            client = bench.client(300)
            await asyncio.sleep(0.01)
            assert status(client) == 200

        run(scenario)

    def test_a_request_that_was_rejected_is_sent_again_without_time(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[0.08, FULL]], [[0.08, FULL]]])
            serve_others(bench, 0.03)
            client = bench.client(deadline_ms=112)
            await asyncio.sleep(0.09)
            assert status(client) == 503
            assert b"" in (bench.received("s0"), bench.received("s1"))

        run(scenario)

    def test_a_request_that_may_have_run_is_refused_without_time(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[0.08, "reset"]], [[0.08, "reset"]]])
            serve_others(bench, 0.03)
            client = bench.client(deadline_ms=112)
            await asyncio.sleep(0.09)
            assert status(client) == 504
            assert b"" in (bench.received("s0"), bench.received("s1"))

        run(scenario)

    @pytest.mark.parametrize("streaming", [True, False])
    def test_the_shortest_time_is_not_learned_from_responses(self, streaming):
        async def scenario():
            script = [0.05, STREAM + event(1) + END] if streaming else [0.05, OK]
            the_route = route(Repeat.RESUME if streaming else Repeat.FREELY, streaming, 2, "llm")
            bench = Bench(the_route, [[script] * MIN_SAMPLES], HELD, engine=streaming)
            for _ in range(MIN_SAMPLES):
                client = bench.client(1000, ADAPTER)
                await asyncio.sleep(0.1)
                assert status(client) == 200
            times = bench.serving._sender.time_check.times
            assert times.shortest_s("llm", "r") == pytest.approx(0.05, abs=0.002)

        run(scenario)


class TestResponseTimes:
    def test_the_shortest_time_is_known_early_or_kept_for_good(self):
        now = [0.0]
        times = ResponseTimes(lambda: now[0])
        assert times.shortest_s("a", "r") == 0.0
        for took_s in (0.3, 0.1, *([0.2] * (MIN_SAMPLES - 3))):
            times.note("a", "r", took_s)
        assert times.shortest_s("a", "r") == 0.0
        times.note("a", "r", 0.2)
        assert times.shortest_s("a", "r") == 0.1
        assert times.shortest_s("b", "r") == 0.0
        now[0] += WINDOW_S + 1
        times.note("a", "r", 0.4)
        assert times.shortest_s("a", "r") == 0.1
        now[0] += WINDOW_S + 1
        times.note("a", "r", 0.5)
        assert times.shortest_s("a", "r") == 0.0
