"""State machine test of run recovery: no stream loses or repeats an event or runs twice at once."""

import asyncio
from enum import Enum
from unittest import mock

from gradelug_gateway import runs as runs_module
from gradelug_gateway.model import Repeat
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from run_engines import EVENTS, KEY, MODEL
from run_world import RunWorld, close, events, is_whole, status
from world import new_loop

ALL = list(range(1, EVENTS + 1))
MAX_CLIENTS = 8


class Waiting(Enum):
    """Behaviour of a run that is queued for memory when its connection closes."""

    DROPPED = "dropped"
    AT_ONCE = "at once"
    """It continues at once."""
    WHEN_MEMORY_FREES = "waits out"
    """It continues when memory frees."""


class Breaks(RuleBasedStateMachine):
    """Injects faults into streams that may or may not be resumed by another run."""

    def __init__(self):
        super().__init__()
        self._patch = mock.patch.object(runs_module, "should_copy", return_value=True)
        self._patch.start()
        self.loop = new_loop()
        self.clients = {}
        self.world = None

    @initialize(
        repeat=st.sampled_from([Repeat.NEVER, Repeat.RESUME]),
        drops=st.booleans(),
        waiting=st.sampled_from(Waiting),
        replicas=st.sampled_from([1, 3]),
    )
    def start(self, repeat, drops, waiting, replicas):
        async def make():
            return RunWorld(4, repeat, replicas=replicas)

        self.repeat = repeat
        self.world = self.loop.run_until_complete(make())
        self.drops, self.waiting = drops, waiting
        for engine in self.world.engines.values():
            self.configure(engine)

    def configure(self, engine):
        engine.keeps_disconnected_runs = not self.drops
        engine.keeps_disconnected_waiting = self.waiting is not Waiting.DROPPED
        engine.resumes_when_memory_frees = self.waiting is Waiting.WHEN_MEMORY_FREES

    def add(self):
        self.configure(self.world.add())

    def act(self, work):
        async def do():
            work()
            await asyncio.sleep(0)

        self.loop.run_until_complete(do())

    def engine(self, at):
        alive = [one for one in self.world.engines.values() if not one.dead]
        return alive[at % len(alive)]

    def busy(self, at):
        """Return an engine that has runs if there is one, else any engine."""
        with_runs = [one for one in self.world.engines.values() if one.runs and not one.dead]
        return with_runs[at % len(with_runs)] if with_runs else self.engine(at)

    @precondition(lambda self: len(self.clients) < MAX_CLIENTS)
    @rule(model=st.sampled_from(["m/a1", "m"]))
    def ask(self, model):
        ident = f"q{len(self.clients)}"

        def send():
            self.clients[ident] = self.world.ask(ident, model=model)

        self.act(send)

    @rule(delay_s=st.sampled_from([0.03, 0.1, 0.25, 0.6, 1.5]))
    def wait(self, delay_s):
        self.loop.run_until_complete(asyncio.sleep(delay_s))

    @rule(at=st.integers(0, 3), mid_event=st.booleans())
    def reset(self, at, mid_event):
        self.act(lambda: self.engine(at).reset(mid_event))

    @rule(at=st.integers(0, 3))
    def silence_engine(self, at):
        self.act(self.engine(at).silence)

    @rule(at=st.integers(0, 3), delay_s=st.sampled_from([0.05, 0.2]))
    def delay(self, at, delay_s):
        self.act(lambda: self.engine(at).delay(delay_s))

    @precondition(lambda self: sum(not one.dead for one in self.world.engines.values()) > 2)
    @rule(at=st.integers(0, 3), is_reported=st.booleans())
    def crash(self, at, is_reported):
        engine = self.engine(at)
        self.act(engine.crash)
        if is_reported:
            self.world.leave(engine)
        self.act(self.add)

    @precondition(lambda self: sum(not one.dead for one in self.world.engines.values()) > 2)
    @rule(at=st.integers(0, 3), left_s=st.sampled_from([0.3, 1.0, 2.0]), reports_end=st.booleans())
    def notice(self, at, left_s, reports_end):
        engine = self.engine(at)
        self.act(lambda: engine.notice(left_s, reports_end))
        self.act(self.add)

    @precondition(lambda self: sum(not one.dead for one in self.world.engines.values()) > 2)
    @rule(at=st.integers(0, 3), left_s=st.sampled_from([0.1, 0.3]), ends=st.booleans())
    def end_while_a_copy_is_in_transit(self, at, left_s, ends):
        """Give an engine notice, then end the target of its copies and optionally the engine."""
        if len(self.clients) < MAX_CLIENTS:
            self.ask("m/a1")
        self.wait(0.3)
        source = self.busy(at)
        source.copy_s = 0.2
        self.act(lambda: source.notice(0.6))
        self.act(self.add)
        for _ in range(6):
            self.wait(0.05)
            if self.end_target(left_s):
                if ends:
                    self.act(source.end)
                return

    def end_target(self, left_s):
        """Give notice to an engine that receives a copy; return whether there is one."""
        targets = (one for one in self.world.engines.values() if one.receiving and not one.dead)
        target = next(targets, None)
        if target is None:
            return False
        self.act(lambda: target.notice(left_s))
        self.act(self.add)
        return True

    @rule(at=st.integers(0, 3), pause_s=st.sampled_from([0.3, 1.8]))
    def preempt(self, at, pause_s):
        for work in self.busy(at).runs.values():
            work.pause_s = pause_s

    @precondition(lambda self: self.clients)
    @rule(then=st.sampled_from(["wait", "reset", "hush"]))
    def run_out_of_memory(self, then):
        """Queue all runs for memory, for longer than a stream may stall."""
        engines = [one for one in self.world.engines.values() if not one.dead]
        for engine in engines:
            for work in engine.runs.values():
                work.pause_s = 1.8
        self.wait(0.1)
        for engine in engines:
            if then != "wait":
                self.act(engine.reset if then == "reset" else engine.silence)
        self.wait(1.5)

    @rule(at=st.integers(0, 3), has_capacity=st.booleans())
    def fill(self, at, has_capacity):
        self.engine(at).has_capacity = has_capacity

    @rule(at=st.integers(0, 3))
    def lose_memory(self, at):
        self.engine(at).kept.clear()

    @rule(
        key=st.sampled_from([KEY, MODEL]),
        ordered=st.none() | st.sets(st.integers(0, 3), max_size=3),
    )
    def publish_next_version(self, key, ordered):
        """Announce a version, and order all or some engines with an older one to unload it."""
        world = self.world
        engines = None if ordered is None else [self.engine(at) for at in sorted(ordered)]
        self.act(lambda: world.publish_version(key, world.newest(key) + 1, engines))

    @precondition(lambda self: len(self.clients) < MAX_CLIENTS)
    @rule(
        model=st.sampled_from(["m/a1", "m"]),
        key=st.sampled_from([KEY, MODEL]),
        how=st.sampled_from(["hush", "reset", "notice"]),
        delay_s=st.sampled_from([0.0, 0.3, 0.9, 1.2]),
        ordered=st.sampled_from(["all", "one", "others", "none"]),
    )
    def publish_next_version_at_a_break(self, model, key, how, delay_s, ordered):
        """Break a run's stream or give its engine notice, and announce a version then."""
        self.ask(model)
        self.wait(0.7)
        world, broken = self.world, self.busy(0)
        if how == "notice":
            self.act(lambda: broken.notice(2.0))
            self.act(self.add)
        else:
            self.act(broken.silence if how == "hush" else broken.reset)
        self.wait(delay_s)
        engines = list(world.engines.values())
        engines_to_order = {
            "all": engines,
            "one": [broken],
            "others": [one for one in engines if one is not broken],
            "none": [],
        }
        self.act(
            lambda: world.publish_version(key, world.newest(key) + 1, engines_to_order[ordered])
        )
        self.wait(1.5)

    @rule(at=st.integers(0, 3), key=st.sampled_from([KEY, MODEL]))
    def load(self, at, key):
        """Order an engine to replace weights by their newest version."""
        engine = self.engine(at)
        self.act(lambda: engine.start(engine.renew(key)))

    @rule(at=st.integers(0, 3), quiet=st.booleans())
    def ignore_calls(self, at, quiet):
        self.engine(at).ignores_calls = quiet

    @invariant()
    def streams_are_consistent(self):
        if self.world is None:
            return
        assert not self.world.ledger.wrong
        for ident, client in self.clients.items():
            numbers, lines = events(client)
            # No event is lost, repeated, or from another request or run.
            assert numbers == ALL[: len(numbers)]
            assert all(line.startswith(f"{ident}.") for line in lines)
            assert not is_whole(client) or numbers == ALL or status(client) != 200
            count = self.world.ledger.runs_started.get(ident, 0)
            if self.repeat is Repeat.NEVER:
                assert count <= 1
                assert len(set(lines)) <= 1
            if client.received and status(client) == 503:
                assert count == 0

    def teardown(self):
        try:
            if self.world is not None:
                self.loop.run_until_complete(asyncio.sleep(25.0))
                self.streams_are_consistent()
                for client in self.clients.values():
                    assert client.ended or status(client) != 200 or is_whole(client)
        finally:
            self._patch.stop()
            close(self.loop)


TestBreaks = Breaks.TestCase
TestBreaks.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=25,
    deadline=None,
)
