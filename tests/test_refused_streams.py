"""Streams whose engines fall silent and refuse requests at any moment, with any retry budget."""

import asyncio
from collections import Counter
from dataclasses import replace

from gradelug_gateway.model import Repeat, Share
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from run_engines import TICK_S, Refusal
from run_world import RunWorld, close, events, is_whole, status
from silent_scene import ALL, OverlapWatch, left_behind
from world import new_loop

DEADLINE_S = 12.0
DEADLINE_SLACK_S = 0.1
MAX_STREAMS = 4
END_S = 25.0
"""Time after which each stream has ended."""
PROMISES = frozenset({408, 421, 429, 503})
"""Statuses which promise that a request did not run."""
PROOFS = frozenset({Refusal.ABSENT, Refusal.FULL, Refusal.RESTING})
"""Refusals which prove that a request did not run."""
WHICH = st.sampled_from(["busy", "others", "all", "one"])
SILENCE_S = st.sampled_from([0.5, 0.9, 1.3, 1.6, 2.0, 3.0])
REFUSALS = st.sampled_from([None, *Refusal])


class Stream:
    """A stream as its caller sees it.

    Parameters
    ----------
    client : RawClient
        Its caller.
    asked_at : float
        When it was sent, by the event loop's clock.
    """

    def __init__(self, client, asked_at):
        self.client = client
        self.asked_at = asked_at
        self.ended_at = None
        self.was_untaken = False
        """Whether each engine that it was sent to had refused it when it ended."""

    @property
    def has_ended(self):
        client = self.client
        return client.ended or is_whole(client) or status(client) not in (0, 200)

    @property
    def is_served(self):
        return is_whole(self.client) and events(self.client)[0] == ALL

    @property
    def is_at_deadline(self):
        return self.ended_at - self.asked_at > DEADLINE_S - DEADLINE_SLACK_S


class RefusedStreams(RuleBasedStateMachine):
    """Lets engines fall silent and refuse requests; none of them ends or loses a run."""

    def __init__(self):
        super().__init__()
        self.loop = new_loop()
        self.world = None
        self.streams = {}

    @initialize(
        engines=st.sampled_from([2, 3, 4]),
        budget=st.sampled_from([0, 1, 2, 50]),
        replicas=st.sampled_from([2, 2, 3, 1]),
        keeps_runs=st.booleans(),
    )
    def start(self, engines, budget, replicas, keeps_runs):
        self.budget = budget

        async def make():
            world = RunWorld(engines, Repeat.RESUME, budget=budget, replicas=replicas)
            self.overlaps = OverlapWatch(world, self.streams)
            self.watcher = asyncio.create_task(self.watch())
            return world

        self.world = self.loop.run_until_complete(make())
        self.engines = list(self.world.engines.values())
        for engine in self.engines:
            engine.keeps_disconnected_runs = keeps_runs

    # Time, faults and changes.

    async def watch(self):
        while True:
            await asyncio.sleep(TICK_S)
            for ident, stream in self.streams.items():
                if stream.has_ended and stream.ended_at is None:
                    stream.ended_at = self.loop.time()
                    stream.was_untaken = self.is_untaken(ident)

    def is_untaken(self, ident):
        """Return whether no engine has taken a stream, nor holds it unread."""
        ledger = self.world.ledger
        arrivals, started = ledger.arrivals.get(ident, ()), ledger.runs_started.get(ident, 0)
        return not started and len(arrivals) == ledger.rejections[ident]

    def chosen(self, which):
        """Return the engines of a choice: those that have runs, the others, all or one of them."""
        busy = [one for one in self.engines if one.runs] or self.engines[:1]
        if which == "busy":
            return busy
        if which == "others":
            return [one for one in self.engines if one not in busy]
        return self.engines if which == "all" else self.engines[-1:]

    def act(self, work):
        async def do():
            work()
            await asyncio.sleep(0)

        self.loop.run_until_complete(do())

    @precondition(lambda self: len(self.streams) < MAX_STREAMS)
    @rule()
    def ask(self):
        ident = f"q{len(self.streams)}"

        def send():
            client = self.world.ask(ident, deadline_ms=round(DEADLINE_S * 1000))
            self.streams[ident] = Stream(client, self.loop.time())

        self.act(send)

    @rule(delay_s=st.sampled_from([0.02, 0.1, 0.3, 0.6, 1.0, 1.3]))
    def wait(self, delay_s):
        self.loop.run_until_complete(asyncio.sleep(delay_s))

    @rule(which=WHICH, silence_s=SILENCE_S, answers_calls=st.booleans())
    def fall_silent(self, which, silence_s, answers_calls):
        def begin():
            for engine in self.chosen(which):
                (engine.stall if answers_calls else engine.pause)(silence_s)

        self.act(begin)

    @rule(which=WHICH, refusal=REFUSALS)
    def refuse(self, which, refusal):
        self.act(lambda: [engine.refuse(refusal) for engine in self.chosen(which)])

    @rule(silence_s=SILENCE_S, refusal=REFUSALS, is_begun=st.booleans(), is_moved=st.booleans())
    def fall_silent_beside_refusals(self, silence_s, refusal, is_begun, is_moved):
        """Let the engines of a stream fall silent while all others refuse requests."""
        self.ask_if_allowed()
        self.wait(0.6 if is_begun else 0.02)
        self.fall_silent("busy", silence_s, False)
        self.refuse("others", refusal)
        if is_moved:
            self.configure("other")
        self.wait(silence_s + 0.1)

    def ask_if_allowed(self):
        if len(self.streams) < MAX_STREAMS:
            self.ask()

    @rule(which=WHICH)
    def drop_weights(self, which):
        """Let engines unload weights that no run uses, without news of it."""
        for engine in self.chosen(which):
            if not engine.runs and engine.ordered is None:
                engine.holds = {}

    @rule(change=st.sampled_from(["same", "other", "dropped"]))
    def configure(self, change):
        """Put a configuration in force that keeps the route of the streams, moves or drops it."""
        state = self.world.state
        changes = {"shares": (Share("llm" if change != "other" else "other", 1.0),)}
        changes["host"] = "h" if change != "dropped" else "elsewhere"
        routes = tuple(replace(one, **changes) for one in state.snapshot.routes)
        state.snapshot = replace(state.snapshot, version=state.snapshot.version + 1, routes=routes)
        state.change += 1

    # What must hold.

    @invariant()
    def streams_are_consistent(self):
        if self.world is None:
            return
        wrong = [*self.world.ledger.wrong, *self.overlaps.found]
        assert not wrong, wrong
        for ident, stream in self.streams.items():
            numbers, lines = events(stream.client)
            assert numbers == ALL[: len(numbers)]
            assert all(line.startswith(f"{ident}.") for line in lines)
            if stream.ended_at is not None and not stream.is_at_deadline:
                self.check_end(ident, stream)

    def check_end(self, ident, stream):
        """Check a stream that ended before its deadline."""
        if stream.is_served:
            return
        found = status(stream.client)
        ledger = self.world.ledger
        what = f"{ident}: {found} with {len(events(stream.client)[0])} events"
        assert stream.was_untaken, f"{what}, sent to {ledger.arrivals.get(ident)}"
        if not ledger.breaks[ident]:
            assert found in PROMISES or found == 404, what

    @invariant()
    def budget_holds(self):
        if self.world is None:
            return
        ledger = self.world.ledger
        unproved = Counter()
        for ident, names in ledger.arrivals.items():
            unproved[ident] = len(names) - ledger.rejections[ident] + ledger.breaks[ident]
        extra = sum(max(0, count - 1) for count in unproved.values())
        assert extra <= self.budget, f"{extra} retries, {self.budget} allowed"

    def teardown(self):
        try:
            if self.world is not None:
                self.loop.run_until_complete(asyncio.sleep(END_S))
                self.streams_are_consistent()
                assert all(one.ended_at is not None for one in self.streams.values())
                left = left_behind(self.world)
                assert not left, left
        finally:
            close(self.loop)


TestRefusedStreams = RefusedStreams.TestCase
TestRefusedStreams.settings = settings(
    derandomize=True,
    max_examples=80,
    stateful_step_count=15,
    deadline=None,
    # Shrinking a failure takes minutes.
    phases=(Phase.generate,),
)
