"""Tests of errors in a planner or in a background task: what they end, and what they do not."""

import asyncio
import random
from unittest import mock

import logbook
import pytest
from gradelug_gateway.model import AdapterKey
from gradelug_gateway.placement import (
    FAILURE_MEMORY_S,
    MAX_FAILURE_PAUSE_S,
    MIN_FAILURE_PAUSE_S,
    PlannerRole,
)
from gradelug_gateway.planning_errors import PlanningErrors
from gradelug_standins.kv import MemoryKv
from poison_world import EVENT_S, PoisonWorld
from run_world import run
from test_election import Candidate, holders
from test_planner import Bench


class OwnError(Exception):
    """Raised by these tests alone."""


def failing(*args, **kwargs):
    raise OwnError("injected")


class Duty:
    """A planner role whose planners can be made to fail.

    Parameters
    ----------
    is_failing : bool
        Whether planners fail at their first step.
    """

    def __init__(self, is_failing=False):
        self.is_failing = is_failing
        self.begun_at = []
        self.counts = []
        self.election = mock.Mock(fence=7, key="duty", run=asyncio.Event().wait)
        self.election.may_act.return_value = True
        self.election.withdraw = mock.AsyncMock()
        self.benches = []
        self.role = PlannerRole(
            self.election,
            self._make,
            errors=PlanningErrors(self.counts.append),
            rng=random.Random(1),
        )
        self.task = asyncio.create_task(self.role.run())

    def _make(self):
        bench = Bench()
        bench.task.cancel()
        self.benches.append(bench)
        self.begun_at.append(bench.clock())
        if self.is_failing:
            bench.planner._maintenance = mock.Mock(run_due=failing)
        return bench.planner

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class TestErrorsOfPlanners:
    @pytest.mark.parametrize("method", ["refresh", "decide"])
    def test_error_in_planning_ends_the_planner_and_not_its_caller(self, method):
        """Guards against a gateway that ends with all its requests because planning failed when it
        read a change from the store."""

        async def scenario():
            duty = Duty()
            await asyncio.sleep(0.5)
            planner = duty.role.planner
            planner.fair_queue = mock.Mock(arrange=failing)
            planner._maintenance = mock.Mock(run_due=failing)
            with logbook.TestHandler().applicationbound() as handler:
                getattr(planner, method)()
                assert planner.term is None
                await asyncio.sleep(0.5)
            assert duty.role.planner is duty.benches[1].planner
            assert duty.role.planner.term is not None
            assert duty.counts == ["term"]
            (record,) = [record for record in handler.records if record.level == logbook.ERROR]
            assert record.message == "planner failed"
            assert "OwnError: injected" in record.formatted_exception
            await duty.stop()

        run(scenario)

    def test_planner_that_fails_each_time_backs_off(self):
        """Guards against a planner that keeps its role, and starts 20 times a second, while it
        fails each time."""

        async def scenario():
            duty = Duty(is_failing=True)
            length_s = 100.0
            pauses = []

            async def withdraw(pause_s):
                pauses.append(pause_s)
                fence, duty.election.fence = duty.election.fence, 0
                asyncio.get_running_loop().call_later(
                    pause_s, setattr, duty.election, "fence", fence + 1
                )

            duty.election.withdraw = withdraw
            await asyncio.sleep(length_s)
            starts = len(duty.begun_at)
            assert starts == len(duty.counts)
            assert MIN_FAILURE_PAUSE_S / 4 <= pauses[0] <= MIN_FAILURE_PAUSE_S
            assert max(pauses) <= MAX_FAILURE_PAUSE_S
            # Ceilings of 1, 2, 4, 8 and 16 s, each drawn between a quarter of it and all of it.
            assert starts <= 2 + 5 + length_s / (MAX_FAILURE_PAUSE_S / 4)
            duty.is_failing = False
            await asyncio.sleep(MAX_FAILURE_PAUSE_S + FAILURE_MEMORY_S)
            assert duty.role.planner is not None
            duty.role.planner.fail(OwnError())
            await asyncio.sleep(0.5)
            assert duty.role.planner is duty.benches[-1].planner
            await duty.stop()

        run(scenario)

    def test_instance_that_withdraws_leaves_the_role_to_another_one(self):
        async def scenario():
            kv = MemoryKv()
            first = Candidate(kv, "n0", outlasts=True)
            await asyncio.sleep(1.0)
            second = Candidate(kv, "n1", outlasts=True)
            await asyncio.sleep(0.5)
            await first.election.withdraw(3.0)
            assert not first.election.may_act()
            await asyncio.sleep(1.5)
            assert holders([first, second]) == [second]
            await second.die()
            await second.lease.release()
            await asyncio.sleep(3.0)
            assert holders([first, second]) == [first]
            await first.die()

        run(scenario)

    def test_election_that_fails_is_not_left_alone(self):
        """Guards against a role that nobody renews, without a line in the log."""

        async def scenario():
            duty = Duty()
            duty.task.cancel()
            duty.election.run = mock.AsyncMock(side_effect=OwnError)
            with pytest.raises(OwnError):
                await duty.role.run()

        run(scenario)


class TestErrorsOfEngines:
    def test_engine_is_queried_again_after_an_error_in_its_load(self):
        """Guards against an adapter that counts as loading for good after an error."""

        async def scenario():
            bench = Bench(engines=1)
            counts = []
            bench.planner._errors = PlanningErrors(counts.append)
            await asyncio.sleep(1.0)
            order = bench.transport.order
            bench.transport.order = failing
            bench.ask("a1", wait_s=0.05)
            await asyncio.sleep(0.1)
            bench.transport.order = order
            assert counts == ["engine"]
            await asyncio.sleep(1.0)
            ticket = bench.ask("a1")
            await asyncio.sleep(1.0)
            assert bench.collect()[ticket].replica == "e0"
            assert bench.transport.engines["e0"].can_run(AdapterKey("m", "a1"))
            await bench.stop()

        run(scenario)

    def test_query_that_fails_each_time_is_delayed(self):
        async def scenario():
            bench = Bench(engines=1)
            counts = []
            bench.planner._errors = PlanningErrors(counts.append)
            await asyncio.sleep(1.0)
            bench.transport.report = failing
            bench.planner.engines["e0"].synced = False
            await asyncio.sleep(3.0)
            # Every 0.3 s, or more with the steps of the planner.
            assert 5 <= len(counts) <= 10
            assert not bench.task.done()
            await bench.stop()

        run(scenario)


class TestErrorsOfInstances:
    def test_error_in_planning_ends_no_instance(self):
        """Guards against an instance that ends by itself when planning fails in the task that reads
        the store."""

        async def scenario():
            async with PoisonWorld(gateways=3, engines=4) as world:
                until = world.clock() + 8.0
                others = asyncio.create_task(world.send_harmless(0.1, until))
                await asyncio.sleep(1.0)
                (planning,) = [one for one in world.gateways if one.is_planner]
                (planner,) = planning.daemon._planners()
                planner._maintenance = mock.Mock(run_due=failing)
                world.add_engine("10.0.1.50:80")
                await others
                await asyncio.sleep(6.0)
                for gateway in world.gateways:
                    assert not gateway.daemon._tasks._failed.is_set()
                assert [one for one in world.gateways if one.is_planner]
                answers = world.harmless()
                assert set(answers) == {200}
                assert answers[200] >= 70
                text = planning.daemon._meters.render()
                assert b'gradelug_planning_errors_total{scope="term"} 1.0' in text

        run(scenario)

    def test_requests_end_before_an_instance_does_whose_task_failed(self):
        """Guards against an instance that cuts the requests it serves because a background task
        failed."""

        async def scenario():
            async with PoisonWorld(gateways=2, engines=2) as world:
                gateway, other = world.gateways
                daemon = gateway.daemon
                daemon._start = mock.AsyncMock()
                daemon._peer_server = mock.Mock()
                world.loop.add_signal_handler = mock.Mock()
                ended = asyncio.create_task(daemon.run())
                await asyncio.sleep(1.0)
                served = asyncio.create_task(world.ask(gateway, b"long", deadline_ms=8000))
                await asyncio.sleep(2 * EVENT_S)

                async def fail():
                    failing()

                daemon._tasks.start(fail(), "own")
                await asyncio.sleep(0.05)
                assert not daemon._is_ready()
                assert await world.ask(gateway, b"new") == 503
                assert await served == 200
                assert await asyncio.wait_for(ended, daemon.settings.bounds.grace_s)
                assert await world.ask(other, b"elsewhere") == 200

        run(scenario)
