"""Requests in the pipeline of a gateway that shuts down."""

import asyncio

import pytest
from gradelug_gateway.model import Repeat
from gradelug_gateway.route_durations import WINDOW_S, RouteDurations
from gradelug_gateway.shutdown import ShutdownSchedule
from test_serving import ADAPTER, FULL, OK, Bench, route, run, status

GRACE_S = 8.0
TIMEOUT_S = 20.0
DEADLINE_MS = 20_000


def schedule(bench, refuse_in_s=0.0, work_s=1.0):
    now = bench.clock()
    return ShutdownSchedule(now + refuse_in_s, now + work_s, now + work_s, now + work_s + 0.5)


def poll(bench):
    """Withdraw late requests as the daemon does, until the loop is closed."""

    async def withdraw():
        while True:
            bench.serving.withdraw_late()
            await asyncio.sleep(0.05)

    return asyncio.create_task(withdraw())


class TestWaiting:
    @pytest.mark.parametrize("repeat", list(Repeat))
    def test_a_request_waits_for_weights_until_it_cannot_end(self, repeat):
        async def scenario():
            bench = Bench(route(repeat, timeout_s=TIMEOUT_S), [[[OK]]], engine=True)
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(0.1)
            assert client.received == b""
            bench.serving.shut_down(schedule(bench, work_s=1.0))
            polling = poll(bench)
            # The route's target time is 0.2 s.
            await asyncio.sleep(0.9)
            assert status(client) == 503
            assert b"Retry-After: 0.05" in client.received
            polling.cancel()

        run(scenario)

    @pytest.mark.parametrize("repeat", list(Repeat))
    def test_a_request_that_cannot_end_is_placed_before_it_is_refused(self, repeat):
        async def scenario():
            bench = Bench(route(repeat, timeout_s=TIMEOUT_S), [[[OK]]], engine=True)
            bench.serving.shut_down(schedule(bench, refuse_in_s=0.1, work_s=0.1))
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(0.01)
            assert status(client) == 503
            assert bench.directory.asked == []

        run(scenario)

    def test_a_request_that_may_have_run_is_refused(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY, timeout_s=TIMEOUT_S), [[[]]])
            client = bench.client(deadline_ms=DEADLINE_MS)
            await asyncio.sleep(0.1)
            bench.serving.shut_down(schedule(bench, work_s=0.5))
            polling = poll(bench)
            await asyncio.sleep(0.6)
            assert status(client) == 504
            polling.cancel()

        run(scenario)

    def test_a_retry_begins_too_late_to_end(self):
        async def scenario():
            the_route = route(Repeat.FREELY, timeout_s=TIMEOUT_S)
            bench = Bench(the_route, [[[0.25, FULL]], [[0.25, FULL]]])
            client = bench.client(deadline_ms=DEADLINE_MS)
            await asyncio.sleep(0.1)
            bench.serving.shut_down(schedule(bench, work_s=0.3))
            await asyncio.sleep(0.2)
            assert status(client) == 503
            assert b"" in (bench.received("s0"), bench.received("s1"))

        run(scenario)

    def test_an_attempt_is_abandoned_without_time_for_another_one(self):
        async def scenario():
            the_route = route(Repeat.FREELY, timeout_s=TIMEOUT_S)
            bench = Bench(the_route, [[[0.45, OK]], [[0.45, OK]]])
            client = bench.client(deadline_ms=DEADLINE_MS)
            await asyncio.sleep(0.1)
            bench.serving.shut_down(schedule(bench, work_s=0.4))
            await asyncio.sleep(0.5)
            assert status(client) == 200
            assert b"" in (bench.received("s0"), bench.received("s1"))

        run(scenario)


class TestSchedule:
    @pytest.mark.parametrize("grace_s", [0.0, 0.5, 2.0, 4.0, 8.0, 30.0])
    def test_a_grace_period_is_too_short_for_the_steps_of_a_stop(self, grace_s):
        plan = ShutdownSchedule.plan(100.0, grace_s)
        steps = [100.0, plan.refuse_at, plan.close_at, plan.work_until, plan.exit_at]
        assert steps == sorted(steps)
        assert plan.exit_at <= 100.0 + grace_s

    def test_a_failing_instance_accepts_requests(self):
        assert ShutdownSchedule.plan(100.0, GRACE_S, is_failing=True).refuse_at == 100.0


class TestDurations:
    def test_the_longest_duration_is_forgotten_early_or_never(self):
        now = [0.0]
        durations = RouteDurations(lambda: now[0])
        one = route(Repeat.FREELY)
        assert durations.longest_s(one) == one.target_s
        durations.note(one.name, 5.0)
        durations.note(one.name, 1.0)
        now[0] += WINDOW_S + 1
        durations.note(one.name, 2.0)
        assert durations.longest_s(one) == 5.0
        now[0] += WINDOW_S + 1
        durations.note(one.name, 1.0)
        assert durations.longest_s(one) == 2.0

    @pytest.mark.parametrize(
        ("repeat", "left_s", "expected"),
        [
            (Repeat.NEVER, 19.0, 503),
            (Repeat.NEVER, 21.0, 200),
            (Repeat.FREELY, 5.0, 503),
            (Repeat.FREELY, 7.0, 200),
            (Repeat.RESUME, 3.5, 503),
            (Repeat.RESUME, 4.5, 200),
        ],
    )
    def test_a_request_that_takes_as_long_as_others_is_refused_or_cut(
        self, repeat, left_s, expected
    ):
        async def scenario():
            bench = Bench(route(repeat, timeout_s=TIMEOUT_S), [[[OK]]])
            for duration_s in (4.0, 1.0, 1.0):
                bench.serving._gate.durations.note("r", duration_s)
            bench.serving.shut_down(schedule(bench, refuse_in_s=2.0, work_s=left_s))
            client = bench.client(deadline_ms=DEADLINE_MS)
            await asyncio.sleep(0.1)
            assert status(client) == expected

        run(scenario)
