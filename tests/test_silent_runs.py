"""Streams whose engines fall silent for a time and then go on, or end without a sign."""

import asyncio
import itertools

from gradelug_gateway.model import Repeat
from run_engines import EVENTS
from run_world import RunWorld, events, is_whole, run, runner

ALL = list(range(1, EVENTS + 1))
REPEATS = (Repeat.RESUME, Repeat.NEVER)
LARGE_BUDGET = 1000


def broken_streams(fault, streams=4, engines=3, **kwargs):
    """Inject a fault into running streams; return the events of those whose answer broke off.

    Parameters
    ----------
    fault : callable
        Takes the world.
    streams, engines : int
        Number of streams and engines.
    **kwargs
        Further arguments of `RunWorld`.
    """

    async def scenario():
        world = RunWorld(engines, **kwargs)
        clients = {f"q{at}": world.ask(f"q{at}") for at in range(streams)}
        await asyncio.sleep(0.6)
        fault(world)
        await asyncio.sleep(8.0)
        assert not world.ledger.wrong
        for client in clients.values():
            numbers = events(client)[0]
            assert numbers == ALL[: len(numbers)]
        return {ident: len(events(one)[0]) for ident, one in clients.items() if not is_whole(one)}

    return run(scenario)


def pause_all(world, pause_s):
    for engine in world.engines.values():
        engine.pause(pause_s)


def pause_one(world, pause_s):
    runner(world, "q0").pause(pause_s)


def stall_all(world, stall_s):
    for engine in world.engines.values():
        engine.stall(stall_s)


class TestSilence:
    def check(self, cases, fault, **kwargs):
        """Check that no answer is broken off in any case of repetition, budget and pause."""
        found = {}
        for repeat, budget, pause_s in cases:
            broken = broken_streams(
                lambda world, pause_s=pause_s: fault(world, pause_s),
                repeat=repeat,
                budget=budget,
                **kwargs,
            )
            if broken:
                found[repeat.name, budget, pause_s] = broken
        assert not found, f"answers broken off after so many events: {found}"

    def test_streams_beyond_the_retry_budget_were_cut_while_all_engines_paused(self):
        self.check(itertools.product(REPEATS, (0, 1, 2), (1.3,)), pause_all)

    def test_all_streams_were_cut_by_orders_that_their_paused_engines_read_late(self):
        cases = list(itertools.product(REPEATS, (LARGE_BUDGET,), (0.5, 1.3, 1.8)))
        for replicas in (1, 2, 3):
            self.check(cases, pause_all, replicas=replicas)

    def test_streams_of_one_paused_engine_were_cut_while_others_answered(self):
        self.check(itertools.product(REPEATS, (0, 1, LARGE_BUDGET), (1.0, 1.5)), pause_one)

    def test_unrepeatable_stream_was_ended_by_an_order_that_its_engine_read_late(self):
        cases = itertools.product((Repeat.NEVER,), (0, 1, LARGE_BUDGET), (0.7, 1.0, 1.5, 1.8))
        self.check(cases, pause_one, streams=1, engines=2)

    def test_stalled_streams_beyond_the_retry_budget_were_stopped_and_not_resumed(self):
        cases = itertools.product(REPEATS, (0, 1, 2, LARGE_BUDGET), (0.5, 1.3, 1.8))
        self.check(cases, stall_all)

    def test_stream_of_an_engine_that_ended_silently_goes_on_at_another(self):
        for removed_after_s in (None, 3.6):
            broken = broken_streams(
                lambda world, after_s=removed_after_s: runner(world, "q0").vanish(after_s),
                repeat=Repeat.RESUME,
            )
            assert not broken
