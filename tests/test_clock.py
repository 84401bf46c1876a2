"""Tests of the runtime's clock, which must advance while the machine is suspended."""

import asyncio
import random
from unittest import mock

import pytest
from gradelug_coordination import LeaseKeeper
from gradelug_gateway import daemon as gateway_daemon
from gradelug_gateway.budgets import RetryBudgets
from gradelug_gateway.config_freshness import ConfigFreshness
from gradelug_runtime import clock as clock_module
from gradelug_runtime import process as process_module
from gradelug_runtime.clock import SteadyLoop, run, steady_s
from gradelug_standins.kv import MemoryKv

SUSPENDED_S = 5.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that simulates a suspension of the machine for some seconds."""
    real, suspended_s = steady_s, [0.0]
    monkeypatch.setattr(clock_module, "steady_s", lambda: real() + suspended_s[0])

    def do(seconds=SUSPENDED_S):
        suspended_s[0] += seconds

    return do


def test_the_clock_is_monotonic():
    times = [steady_s() for _ in range(100)]
    assert times == sorted(times)


def test_both_daemons_use_the_clock():
    async def loop_type():
        return type(asyncio.get_running_loop())

    assert run(loop_type()) is SteadyLoop
    assert gateway_daemon.run_steady is run
    assert process_module.run is run


def test_a_lease_that_expired_during_suspension_is_invalid_at_once(suspend):
    """Guards against a clock that stops during suspension: the holder of an expired lease then
    considers it valid and sends orders to engines at the same time as its successor."""

    async def main():
        loop = asyncio.get_running_loop()
        lease = LeaseKeeper(MemoryKv(), 3.0, loop.time, random.Random(1))
        await lease.step()
        assert lease.is_valid()
        suspend()
        return lease.is_valid()

    assert run(main()) is False


def test_a_retry_window_ends_during_suspension(suspend):
    async def main():
        budgets = RetryBudgets(0.0, 4.0, SUSPENDED_S, asyncio.get_running_loop().time)
        budgets.share_among(1)
        while (reservation := budgets.reserve("s")) is not None:
            reservation.use()
        suspend(2.1 * SUSPENDED_S)
        return budgets.has_retry("s")

    assert run(main()) is True


def test_a_configuration_proof_expires_during_suspension(suspend):
    async def main():
        clock = asyncio.get_running_loop().time
        mirror = mock.Mock(proven_at=clock(), polled_at=clock())
        freshness = ConfigFreshness(
            mirror, mock.Mock(is_config_readable=True), clock, SUSPENDED_S - 1.0
        )
        was_proven = freshness.is_proven()
        suspend()
        return was_proven, freshness.is_proven()

    assert run(main()) == (True, False)


def test_timers_due_during_suspension_run_at_once(suspend):
    async def main():
        loop = asyncio.get_running_loop()
        sleeping = asyncio.create_task(asyncio.sleep(SUSPENDED_S))
        await asyncio.sleep(0)
        suspend()
        began = clock_module.steady_s()
        await asyncio.wait([sleeping], timeout=SUSPENDED_S)
        return loop.time() - began

    assert run(main()) < 1.0
