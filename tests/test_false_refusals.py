"""Requests that ran although their callers were told that they had not, or that ran twice."""

import asyncio
import itertools
import math
import typing
from dataclasses import replace

import pytest
from gradelug_gateway.shutdown import ShutdownSchedule
from gradelug_router.exceptions import UpstreamBroken, UpstreamRefused
from gradelug_router.upstream import _raise_refusal
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from refusal_world import (
    ABSENT,
    DEADLINE_S,
    FULL,
    KINDS,
    ONCE,
    SERVE,
    Behaviour,
    RefusalWorld,
)
from run_world import close, run
from world import new_loop

ANSWER_S = DEADLINE_S + 0.3
"""Time within which a request is answered, in seconds."""
THROTTLED = replace(FULL, status=429)
BEFORE_STOP = 6
"""Number of requests before the gateway may refuse further ones because it shuts down."""
PREFIXES = (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n")


async def ask_one(kind, *script, replicas=1):
    """Send one request to replicas with a script; return the world and its caller."""
    world = RefusalWorld(replicas, max_replicas=replicas)
    world.replicas["s0"].script.extend(script)
    caller = world.ask(kind)
    await asyncio.sleep(ANSWER_S)
    return world, caller


class TestSurplusRefusals:
    # The copy came where the answer to the second send was due, with the same identifier.
    def test_second_send_was_refused_by_a_copy_of_the_first_refusal(self):
        async def scenario():
            found = {}
            for kind, refusal in itertools.product(KINDS, (FULL, ABSENT, THROTTLED)):
                world, caller = await ask_one(kind, replace(refusal, copies=1))
                if world.faults() or caller.statuses != [200]:
                    found[kind, refusal.status] = (caller.statuses, world.faults())
            assert not found

        run(scenario)

    def test_third_send_ran_after_a_copy_hid_that_the_second_had_run(self):
        async def scenario():
            world, _ = await ask_one("stream", replace(ABSENT, copies=2), SERVE, SERVE)
            assert len(world.runs.by_ident["q0"]) == 1

        run(scenario)

    def test_connection_is_kept_for_other_requests_after_a_refusal(self):
        async def scenario():
            world, _ = await ask_one("unsafe", FULL)
            opened = len(world.replicas["s0"].connections)
            world.ask("unsafe")
            await asyncio.sleep(ANSWER_S)
            assert len(world.replicas["s0"].connections) == opened

        run(scenario)


class TestUnprovenRefusals:
    # The caller took the status for a promise that the request had not run.
    def test_refusal_of_a_replica_that_had_run_the_request_was_passed_on(self):
        async def scenario():
            found = {}
            for kind, status, prefix in itertools.product(KINDS, (408, 429, 503), PREFIXES):
                world = RefusalWorld()
                for replica in world.replicas.values():
                    replica.default = Behaviour(status, prefix=prefix)
                caller = world.ask(kind)
                await asyncio.sleep(ANSWER_S)
                # The signature would say that the status is the replica's.
                is_signed = b"X-Gradelug-Server-Signature" in caller.client.received
                if world.faults() or caller.statuses != [502] or is_signed:
                    found[kind, status, prefix] = (caller.statuses, world.faults())
            assert not found

        run(scenario)

    def test_request_with_an_unproven_refusal_is_not_sent_again(self):
        async def scenario():
            for kind in ONCE:
                world, _ = await ask_one(kind, Behaviour(503), replicas=2)
                assert world.runs.by_ident["q0"] == ["s0"]

        run(scenario)

    def test_errors_of_replicas_keep_their_status_and_signature(self):
        async def scenario():
            _, caller = await ask_one("unsafe", Behaviour(504))
            assert caller.statuses == [504]
            assert b"X-Gradelug-Server-Signature: s0" in caller.client.received

        run(scenario)


class EngineError:
    """An error response of an engine at the OpenAI door."""

    headers: typing.ClassVar = {}

    def __init__(self, status):
        self.status = status

    async def json(self, content_type):
        return {"error": {"code": "timeout", "message": "out of time"}}


class TestOpenaiDoor:
    def test_timeout_that_an_engine_reports_was_told_as_not_run(self):
        for status, error in (
            (408, UpstreamBroken),
            (400, UpstreamRefused),
            (503, UpstreamRefused),
        ):
            with pytest.raises(error):
                asyncio.run(_raise_refusal(EngineError(status)))


kinds = st.sampled_from(sorted(KINDS))
names = st.sampled_from(["s0", "s1"])
idents = st.sampled_from([None, None, None, b"", b"other"])
behaviours = st.builds(
    Behaviour,
    status=st.sampled_from([200, 400, 408, 421, 429, 500, 503, 504]),
    runs=st.booleans(),
    is_proven=st.booleans(),
    ident=idents,
    copies=st.integers(0, 2),
    copy_after_s=st.sampled_from([None, None, 0.0, 0.01, 0.1]),
    cut=st.sampled_from([None, None, 0.0, 0.1, 0.5, 0.9, 0.99]),
    delay_s=st.sampled_from([0.001, 0.03, 0.6]),
    prefix=st.sampled_from([b"", b"HTTP/1.1 100 Continue\r\n\r\n"]),
    instance=st.sampled_from([b"", b"other"]),
)


def honest(behaviour):
    """Return a behaviour that refuses only what it does not run, and says so."""
    if behaviour.runs:
        status = behaviour.status if behaviour.status != 421 else 500
        return replace(behaviour, is_proven=False, status=status)
    if behaviour.status == 421:
        return replace(behaviour, is_proven=True)
    status = behaviour.status if behaviour.status in (400, 429, 503) else 503
    return replace(behaviour, is_proven=True, status=status)


class RefusalMachine(RuleBasedStateMachine):
    """Replicas refuse, fail, repeat, delay and lose answers to a gateway that may be suspended."""

    @initialize(
        replicas=st.integers(1, 2),
        max_replicas=st.integers(1, 3),
        budget=st.sampled_from([0.0, 2.0, 1000.0]),
    )
    def start(self, replicas, max_replicas, budget):
        self.loop = new_loop()
        self.suspended_s = 0.0
        self.world = self.loop.run_until_complete(self._build(replicas, max_replicas, budget))

    async def _build(self, *sizes):
        return RefusalWorld.in_process(*sizes)

    def _sleep(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def _call(self, function, *args):
        async def call():
            return function(*args)

        return self.loop.run_until_complete(call())

    def _replica(self, name):
        return self.world.replicas.get(name, self.world.replicas["s0"])

    @rule(kind=kinds)
    def ask(self, kind):
        self._call(self.world.ask, kind)

    @rule(name=names, script=st.lists(behaviours.map(honest), min_size=1, max_size=4))
    def behave(self, name, script):
        self._replica(name).script.extend(script)

    @rule(name=names, refusal=st.sampled_from([FULL, ABSENT]), copies=st.integers(1, 2))
    def refuse(self, name, refusal, copies):
        self._replica(name).script.append(replace(refusal, copies=copies))

    @rule(seconds=st.sampled_from([0.002, 0.02, 0.04, 0.1, 0.5]))
    def advance(self, seconds):
        self._sleep(seconds)

    @rule(name=names)
    def reset(self, name):
        self._call(self._replica(name).reset)

    @precondition(lambda self: len(self.world.callers) >= BEFORE_STOP)
    @rule(grace_s=st.sampled_from([math.inf, 0.0, 0.1, 0.5]))
    def stop(self, grace_s):
        now = self.loop.time()
        schedule = ShutdownSchedule(now, *[now + grace_s] * 3)
        self._call(self.world.serving.shut_down, schedule)

    @rule()
    def withdraw_late(self):
        self._call(self.world.serving.withdraw_late)

    @precondition(lambda self: not self.world.process.frozen)
    @rule(seconds=st.sampled_from([0.05, 0.5]), timers_first=st.booleans())
    def suspend(self, seconds, timers_first):
        self.suspended_s += seconds
        self._call(self.world.suspend, seconds, timers_first)

    @invariant()
    def promises_hold(self):
        if hasattr(self, "world"):
            assert self.world.faults() == []

    def teardown(self):
        if hasattr(self, "world"):
            self._sleep(ANSWER_S + self.suspended_s)
            try:
                assert self.world.faults() == []
                late = [one.ident for one in self.world.callers if not one.is_answered]
                assert not late, f"not answered: {late}"
            finally:
                close(self.loop)


RefusalMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
TestRefusalMachine = RefusalMachine.TestCase
