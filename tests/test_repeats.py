"""Requests that need a retry while the retry budget is exhausted."""

import asyncio

from gradelug_gateway.budgets import BUDGET_FRACTION
from gradelug_gateway.model import Repeat
from test_serving import FULL, OK, Bench, route, run, status


class TestExhaustedBudget:
    def test_request_that_has_not_run_waits_for_a_retry_until_its_target(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[FULL]], [[OK]]], budget=0.0)
            budgets = bench.serving._budgets
            budgets._ratio = 1.1 * BUDGET_FRACTION
            budgets._window_s = 0.5
            client = bench.client()
            await asyncio.sleep(0.07)
            assert not client.received
            budgets.note_request("plain")
            await asyncio.sleep(0.1)
            assert status(client) == 200

        run(scenario)

    def test_request_that_has_not_run_is_refused_at_once_without_a_retry_in_time(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[FULL]], [[OK]]], budget=0.0)
            client = bench.client()
            await asyncio.sleep(0.02)
            assert status(client) == 503
            assert b"Retry-After: 0.3" in client.received

        run(scenario)

    def test_request_that_may_have_run_fails_at_once(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[["reset"]], [[OK]]], budget=0.0)
            client = bench.client()
            await asyncio.sleep(0.02)
            assert status(client) == 502

        run(scenario)
