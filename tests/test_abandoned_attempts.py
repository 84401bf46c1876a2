"""Requests whose replica is silent for a time, and whose next replica does not take them."""

import asyncio
import itertools
import random
from dataclasses import dataclass, replace

import pytest
from gradelug_gateway.model import Repeat, Share
from gradelug_gateway.shutdown import ShutdownSchedule
from run_engines import Refusal
from run_world import is_whole, run, status
from silent_scene import ARRIVAL_S, Scene
from test_budgets import take_retry
from test_serving import FULL, MISDIRECTED, OK, Bench, route
from test_silent_searches import set_keys

PAUSES_S = (1.3, 1.6, 2.0)
BUDGETS = (0, 1, 2)
END_S = 16.0
"""Time after which each request has ended."""
SLACK_S = 0.5
LONG_PAUSE_S = 8.0
FIRST_PAUSE_S = 1.5
SUCCESSOR_PAUSE_S = 2.5
SERIES_STREAMS = 12
SERIES_SEEDS = range(4, 8)
SERIES_SILENCES_S = (0.9, 1.6)
SERIES_DEADLINE_MS = 7500
"""Long enough for a stream that stays at its engine."""
ASKED_S = 1.4
"""Time from a silence until the request is at the successor."""
GRACE_S = 8.0
KEY_LINE = b"Authorization: Bearer k1\r\n"
ENGINES_GO_ON_S = 1.2
"""Time from then until both engines go on."""
DEADLINE_MS = 4500
"""Long enough for a stream whose engine is silent for less than 2 s, and no longer."""
REFUSALS = [one for one in Refusal if one is not Refusal.UNANSWERED]
MAX_DESCRIBED = 8
LEFT_S = 0.5
"""Time within which nothing of a request that ended is left at an engine."""


@dataclass(slots=True, frozen=True)
class Case:
    """Streams of one silent engine, beside engines that do not take them.

    Parameters
    ----------
    refusals : tuple of Refusal
        How the engines but the first do not take requests.
    pause_s : float
        Time for which the first engine is silent, in seconds.
    is_begun : bool
        Whether the streams have begun before.
    budget : int
        Retries of the gateway.
    streams : int
        Number of streams, which are spread over the engines.
    replicas : int
        Engines that the route allows for each request.
    """

    refusals: tuple
    pause_s: float
    is_begun: bool
    budget: int = 1
    streams: int = 1
    replicas: int = 2

    def __str__(self):
        kinds = ", ".join(one.value for one in self.refusals)
        stage = "begun" if self.is_begun else "not begun"
        return f"{kinds}; {self.pause_s} s, {stage}, {self.budget} retries, {self.streams} streams"


def cases(refusals, **more):
    """Return the cases of some engines' refusals, by pauses and by whether streams have begun."""
    return [
        Case(tuple(refusals), pause_s, is_begun, **more)
        for pause_s, is_begun in itertools.product(PAUSES_S, (False, True))
    ]


def faults(case, is_moved_allowed=False):
    """Play a case; return what is wrong."""

    async def scenario():
        scene = Scene(len(case.refusals) + 1, budget=case.budget, replicas=case.replicas)
        await scene.fall_silent(case.pause_s, case.is_begun, case.streams)
        for engine, refusal in zip(scene.others, case.refusals, strict=True):
            engine.refuse(refusal)
        await asyncio.sleep(END_S)
        return scene.faults() + ([] if is_moved_allowed else scene.moved())

    return run(scenario)


def check(cases):
    """Check that the streams of all cases are whole, from their first engines."""
    found = [f"{case}: {wrong[:3]}" for case in cases if (wrong := faults(case))]
    assert not found, describe(found)


def describe(found):
    """Return the number of faults and the first of them."""
    return "\n".join([f"{len(found)} cases", *found[:MAX_DESCRIBED]])


class TestRefusedByTheSuccessor:
    def test_stream_was_cut_after_its_successor_refused_it(self):
        found = [case for refusal in REFUSALS for case in cases([refusal])]
        # The second stream runs at the successor, which counts as responsive for it.
        check([*found, *cases([Refusal.CONNECTION], streams=2)])

    def test_stream_was_cut_after_weights_were_dropped_without_news(self):
        def play(pause_s, is_begun):
            async def scenario():
                scene = Scene(2, budget=1)
                await scene.fall_silent(pause_s, is_begun)
                scene.others[0].holds = {}
                await asyncio.sleep(END_S)
                return scene.faults()

            return run(scenario)

        pairs = itertools.product(PAUSES_S, (False, True))
        found = [f"{pair}: {wrong}" for pair in pairs if (wrong := play(*pair))]
        assert not found, describe(found)

    def test_streams_were_cut_after_refusals_beyond_the_retry_budget(self):
        series = [
            *itertools.product([Refusal.ABSENT, Refusal.RESET], repeat=2),
            (Refusal.ABSENT, Refusal.ABSENT, Refusal.FULL),
            (Refusal.RESET, Refusal.CLOSED, Refusal.RESET),
        ]
        many = itertools.product((16,), BUDGETS, REFUSALS, (False, True))
        several = itertools.product((2, 4), BUDGETS, series, (False, True))
        check(
            [
                *(
                    Case((refusal,), 1.6, is_begun, budget, streams)
                    for streams, budget, refusal, is_begun in many
                ),
                *(
                    Case(refusals, 1.6, is_begun, budget, replicas=replicas)
                    for replicas, budget, refusals, is_begun in several
                ),
            ]
        )

    def test_stream_is_taken_by_an_engine_after_others_refused_it(self):
        def play(refusal, is_begun):
            async def scenario():
                scene = Scene(4, replicas=4, budget=10)
                await scene.fall_silent(LONG_PAUSE_S, is_begun)
                for engine in scene.others[:2]:
                    engine.refuse(refusal)
                await asyncio.sleep(LONG_PAUSE_S - SLACK_S)
                is_whole_in_time = is_whole(scene.clients["q0"])
                await asyncio.sleep(END_S)
                return [] if is_whole_in_time and not scene.faults() else [scene.arrivals("q0")]

            return run(scenario)

        pairs = itertools.product((Refusal.FULL, Refusal.RESET, Refusal.ABSENT), (False, True))
        found = [f"{pair}: {wrong}" for pair in pairs if (wrong := play(*pair))]
        assert not found, describe(found)


class TestSilentSuccessor:
    @staticmethod
    def play(is_begun, budget, silence_delay_s):
        """Let the successor fall silent before it answers; return what is wrong.

        Parameters
        ----------
        is_begun : bool
            Whether the stream has begun at its first engine.
        budget : int
            Retries of the gateway.
        silence_delay_s : float or None
            Time from the silence of the first engine to that of its successor, in seconds; None if
            the successor answers all but the request.
        """

        async def scenario():
            scene = Scene(2, budget=budget)
            await scene.fall_silent(FIRST_PAUSE_S, is_begun, deadline_ms=DEADLINE_MS)
            # It runs at the successor, which counts as responsive for it.
            scene.clients["q1"] = scene.world.ask("q1")
            if silence_delay_s is None:
                await asyncio.sleep(ARRIVAL_S)
                scene.others[0].refuse(Refusal.UNANSWERED)
            else:
                await asyncio.sleep(silence_delay_s)
                scene.others[0].pause(FIRST_PAUSE_S + SUCCESSOR_PAUSE_S)
            await asyncio.sleep(END_S)
            assert scene.arrivals("q1")[0] == scene.others[0].name
            return [*scene.faults(), *scene.moved("q0")]

        return run(scenario)

    def test_stream_was_cut_after_its_successor_fell_silent_for_longer(self):
        cases = itertools.product((False, True), BUDGETS, (0.9, 1.0, 1.15, None))
        found = [f"{case}: {wrong}" for case in cases if (wrong := self.play(*case))]
        assert not found, describe(found)


class TestSilencesInTurn:
    @staticmethod
    def play(budget, deadline_ms, seed, is_stalled):
        """Let two engines fall silent in turn while streams come; return what is wrong."""
        rng = random.Random(seed)

        async def silence_in_turn(engines):
            for engine in itertools.cycle(engines):
                silent_s = rng.uniform(*SERIES_SILENCES_S)
                (engine.stall if is_stalled else engine.pause)(silent_s)
                await asyncio.sleep(silent_s + rng.uniform(0.0, 0.3))

        async def scenario():
            scene = Scene(2, budget=budget)
            silences = asyncio.create_task(silence_in_turn([scene.first, *scene.others]))
            for at in range(SERIES_STREAMS):
                scene.clients[f"q{at}"] = scene.world.ask(f"q{at}", deadline_ms)
                await asyncio.sleep(rng.uniform(0.2, 0.4))
            await asyncio.sleep(END_S)
            silences.cancel()
            await asyncio.sleep(END_S)
            return scene.faults()

        return run(scenario)

    def check(self, deadline_ms):
        cases = itertools.product((1, 50), (deadline_ms,), SERIES_SEEDS, (False, True))
        found = [f"{case}: {wrong}" for case in cases if (wrong := self.play(*case))]
        assert not found, describe(found)

    def test_stream_is_whole_within_a_long_time(self):
        self.check(15_000)

    def test_stream_ran_out_of_time_between_two_engines(self):
        self.check(SERIES_DEADLINE_MS)


def change_route(scene, **changes):
    """Put a configuration in force in which the route of the streams is another one."""
    state = scene.world.state
    routes = tuple(replace(one, **changes) for one in state.snapshot.routes)
    state.snapshot = replace(state.snapshot, version=state.snapshot.version + 1, routes=routes)
    state.change += 1


def shut_down(scene):
    schedule = ShutdownSchedule.plan(scene.world.clock(), GRACE_S)
    scene.world.serving.shut_down(schedule)


class TestChangesWhileASuccessorIsAsked:
    CHANGES = {
        "none": lambda scene: None,
        "route moved": lambda scene: change_route(scene, shares=(Share("other", 1.0),)),
        "route dropped": lambda scene: change_route(scene, host="elsewhere"),
        "key revoked": lambda scene: set_keys(scene.world, ["k2"]),
        "shutting down": shut_down,
    }

    @staticmethod
    async def ask_successor(is_begun, is_paused):
        """Return a scene in which the successor of a stream has its request and does not answer.

        Parameters
        ----------
        is_begun : bool
            Whether the stream has begun at its first engine.
        is_paused : bool
            Whether the successor is suspended; otherwise it answers calls.
        """
        scene = Scene(2, budget=1)
        set_keys(scene.world, ["k1"])
        await scene.fall_silent(2.0, is_begun, headers=KEY_LINE)
        if is_paused:
            # It runs at the successor, which counts as responsive for it.
            scene.clients["q1"] = scene.world.ask("q1", headers=KEY_LINE)
            await asyncio.sleep(1.0)
            scene.others[0].pause(1.5)
        else:
            scene.others[0].refuse(Refusal.UNANSWERED)
            await asyncio.sleep(1.0)
        await asyncio.sleep(ASKED_S - 1.0)
        assert scene.arrivals("q0") == [scene.first.name, scene.others[0].name]
        return scene

    def test_stream_was_cut_after_a_change(self):
        def play(name, is_begun, is_paused):
            async def scenario():
                scene = await self.ask_successor(is_begun, is_paused)
                self.CHANGES[name](scene)
                await asyncio.sleep(END_S)
                return [*scene.faults(), *scene.moved("q0")]

            return run(scenario)

        cases = itertools.product(self.CHANGES, (False, True), (False, True))
        found = [f"{case}: {wrong}" for case in cases if (wrong := play(*case))]
        assert not found, describe(found)

    @pytest.mark.parametrize("is_paused", [False, True])
    @pytest.mark.parametrize("is_begun", [False, True])
    def test_requests_are_left_at_engines_after_the_caller_left(self, is_begun, is_paused):
        async def scenario():
            scene = await self.ask_successor(is_begun, is_paused)
            scene.clients["q0"].transport.close()
            await asyncio.sleep(ENGINES_GO_ON_S + LEFT_S)
            assert "q0" not in {ident for one in scene.world.engines.values() for ident in one.runs}
            assert scene.others[0].server.in_progress == len(scene.others[0].runs)
            await asyncio.sleep(END_S)
            assert scene.left() == []
            assert not take_retry(scene.world.budgets, "llm")

        run(scenario)

    @pytest.mark.parametrize("is_begun", [False, True])
    def test_requests_are_left_at_engines_after_the_deadline(self, is_begun):
        async def scenario():
            scene = Scene(2, budget=1)
            await scene.fall_silent(LONG_PAUSE_S, is_begun, deadline_ms=2500)
            scene.others[0].refuse(Refusal.UNANSWERED)
            await asyncio.sleep(2.5 + LEFT_S)
            assert scene.clients["q0"].ended or status(scene.clients["q0"]) == 504
            assert scene.others[0].server.in_progress == 0
            await asyncio.sleep(LONG_PAUSE_S)
            assert scene.left() == []

        run(scenario)


class TestPlainRequests:
    REFUSALS = {
        "full": [[[FULL]]],
        "misdirected": [[[MISDIRECTED]]],
        "reset": [[["reset"]]],
        "closed": [[["close"]]],
        "connection refused": [None],
        "silent for longer": [[[3.0, OK]]],
    }

    def test_request_failed_after_its_successor_did_not_take_it(self):
        def play(refusal, budget, replicas):
            async def scenario():
                the_route = route(Repeat.FREELY, replicas=replicas)
                scripts = [[[0.7, OK]], *self.REFUSALS[refusal] * (replicas - 1)]
                bench = Bench(the_route, scripts, budget=budget)
                client = bench.client(1500)
                await asyncio.sleep(3.0)
                return "" if status(client) == 200 else status(client)

            return run(scenario)

        cases = itertools.product(self.REFUSALS, (0.0, 1.0, 2.0, 10.0), (2, 3))
        found = [f"{case}: {wrong}" for case in cases if (wrong := play(*case))]
        assert not found, describe(found)
