"""One engine's keeper against the stand-in engine, on a paused clock."""

import asyncio

from gradelug_config.model import Engine, Pool
from gradelug_coordination import HolderReport
from gradelug_coordination.ownership import Held
from gradelug_runtime import Metrics, StatsdSettings
from gradelug_scheduler.authority import Authority
from gradelug_scheduler.keeper import EngineKeeper, KeeperParts
from gradelug_scheduler.questions import Question
from gradelug_standins.engine import EngineSpec, StubEngine
from world import new_loop


class Lease:
    valid_until = float("inf")

    def remaining_s(self):
        return 10.0


class Store:
    async def acquire(self, engine, key, urgency):
        return 1

    async def end(self, number):
        pass


class Bench:
    """A keeper of one engine with two slots."""

    def __init__(self, checks_fences=True, fence=7):
        clock = asyncio.get_running_loop().time
        self.stub = StubEngine("e", EngineSpec(slots=2, checks_fences=checks_fences))
        engine = Engine("e", "http://127.0.0.1:1", "h", checks_fences)
        held = Held(fence=fence, lease=1, acquired_at=clock(), was_released=True)
        parts = KeeperParts(
            control=self.stub,
            store=Store(),
            clock=clock,
            carries=lambda key: True,
            path_of=lambda key: key,
            metrics=Metrics(StatsdSettings(), "test"),
        )
        authority = Authority(held, Lease(), checks_fences, clock, 120.0)
        self.keeper = EngineKeeper(engine, Pool("p", "b", slots=2), authority, parts)

    async def settle(self, seconds):
        end = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end:
            await self.keeper.poll()
            await asyncio.sleep(0.25)

    async def ask(self, key, holder="r1"):
        question = Question(holder, key, want=1, fresh=1, weight=1.0, wait_s=1.0)
        return (await self.keeper.ask(question)).unwrap()


def run(scenario):
    loop = new_loop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


class TestGrantNumbers:
    def test_an_account_of_a_former_owners_grants_closes_nothing_of_a_later_ones(self):
        """Numbers began again with every owner, so that an old, higher one closed a new grant."""

        async def scenario():
            former = Bench(fence=7)
            await former.settle(6.0)
            numbers = [(await former.ask("a0")).number for _ in range(5)]
            later = Bench(fence=8)
            await later.settle(6.0)
            granted = await later.ask("a0")
            assert granted.number > max(numbers)
            later.keeper.account(HolderReport("r1", "a0", max(numbers), closed=True))
            assert not later.keeper.book.is_free("a0")

        run(scenario)


class TestRestart:
    def test_credits_given_before_a_restart_was_noticed_still_count(self):
        """The restart's first report, late, made the owner forget what it had granted since."""

        async def scenario():
            bench = Bench()
            await bench.settle(6.0)
            await bench.ask("a0")
            bench.stub.restart()
            await bench.ask("a1")
            await bench.settle(1.0)
            assert not bench.keeper.book.is_free("a1")

        run(scenario)

    def test_an_engine_that_forgot_its_token_is_claimed_again_before_it_is_used(self):
        async def scenario():
            bench = Bench()
            await bench.settle(6.0)
            late = bench.keeper.authority.next_token()
            await bench.ask("a0")
            bench.stub.restart()
            await bench.settle(1.0)
            assert bench.stub.fence > late

        run(scenario)
