"""Random outages, silent connections and departures against one instance's view of the replicas."""

import asyncio
import itertools
import json
import random
from pipes import Network

import pytest
from gradelug_coordination import Mirror
from gradelug_gateway.feed import Feed
from gradelug_gateway.model import FleetState
from gradelug_gateway.poll_interval import missing_entry_grace_s, store_poll_interval_s
from gradelug_gateway.settings import Bounds
from gradelug_http import ServerLimits
from gradelug_platform.entries import PlatformEntries
from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from platform_stand_in import FakeStore
from store_partition import STORE_ADDRESS, StoreConnection
from world import new_loop

NAMES = ("a", "b", "c")
DRAIN_S = 2.0
"""Time within which a departure takes effect while the store answers, in seconds."""
CONTACT_S = 3.0
"""Time after an outage within which all departures have taken effect, in seconds."""
CHECK_S = 0.05
UPKEEP_S = 0.5
SILENCE_SPACING_S = 4.0
"""Minimum time between two moments at which open connections fall silent, in seconds."""


class StoreFreshness(RuleBasedStateMachine):
    """One instance's connection to the store, and what it takes for usable replicas."""

    def __init__(self):
        super().__init__()
        self.loop = new_loop()
        self.clock = self.loop.time
        self.born = itertools.count(1)
        self.absent_since = {}
        """When replicas left, by name."""
        self.present_since = {}
        self.in_contact_since = self.clock()
        self.silenced_at = float("-inf")
        self.is_cut = False
        self.violations = []
        self.run(self.start())

    def run(self, coro):
        return self.loop.run_until_complete(coro)

    async def start(self):
        net = Network()
        self.server = FakeStore()
        net.serve(STORE_ADDRESS, self.server.serve, ServerLimits, self.clock)
        self.connection = StoreConnection(net, self.clock, 1)
        bounds = Bounds()
        self.mirror = Mirror(
            self.connection.client,
            "",
            random.Random(1),
            0.8,
            store_poll_interval_s(bounds),
            missing_entry_grace_s(bounds),
            is_polled=True,
        )
        self.state = FleetState()
        self.feed = Feed(self.mirror, PlatformEntries(), self.state, self.clock)
        for name in NAMES:
            await self.put(name, "ready")
        self.tasks = [
            asyncio.create_task(coro)
            for coro in (self.mirror.run(), self.refresh(), self.check_continuously())
        ]
        await asyncio.sleep(1.0)

    async def put(self, name, state):
        found = self.server.kv.entries().get(f"servers/{name}")
        data = {
            "Backend": "s",
            "Address": "10.0.0.1:80",
            "Zone": "z",
            "Slots": 1,
            "State": state,
            "born": next(self.born) if found is None else json.loads(found.value)["born"],
        }
        expected = found.revision if found is not None else 0
        await self.server.kv.swap(f"servers/{name}", json.dumps(data).encode(), expected)
        if state == "ready":
            self.present_since[name] = self.clock()
            self.absent_since.pop(name, None)
        else:
            self.note_departure(name)

    def note_departure(self, name):
        self.present_since.pop(name, None)
        self.absent_since.setdefault(name, self.clock())

    async def refresh(self):
        while True:
            await asyncio.sleep(UPKEEP_S)
            self.feed.refresh()

    async def check_continuously(self):
        while True:
            await asyncio.sleep(CHECK_S)
            self.check()

    def check(self):
        now = self.clock()
        if self.is_cut or now - self.in_contact_since < CONTACT_S:
            return
        usable = {rep.name for rep in self.state.replicas.values() if not rep.leaving}
        for name, since in self.absent_since.items():
            if name in usable and now - since >= DRAIN_S:
                self.violations.append((name, "used after its departure", now, since))
        for name, since in self.present_since.items():
            if name not in usable and now - since >= DRAIN_S:
                self.violations.append((name, "not used although it is ready", now, since))

    @rule(seconds=st.floats(0.05, 4.0))
    def wait(self, seconds):
        self.run(asyncio.sleep(seconds))

    @rule(name=st.sampled_from(NAMES))
    def remove(self, name):
        found = self.server.kv.entries().get(f"servers/{name}")
        if found is not None:
            self.run(self.server.kv.delete(found.key, found.revision))
            self.note_departure(name)

    @rule(name=st.sampled_from(NAMES))
    def drain(self, name):
        if name in self.present_since:
            self.run(self.put(name, "draining"))

    @rule(name=st.sampled_from(NAMES))
    def enter(self, name):
        if f"servers/{name}" not in self.server.kv.entries():
            self.run(self.put(name, "ready"))

    @precondition(lambda self: not self.is_cut)
    @rule(status=st.sampled_from(["silent", 429, 503]))
    def begin_outage(self, status):
        self.is_cut = True
        if status == "silent":
            self.connection.cut()
        else:
            self.server.status = status

    @precondition(lambda self: self.is_cut)
    @rule()
    def end_outage(self):
        self.is_cut = False
        self.connection.heal()
        self.server.status = None
        self.in_contact_since = self.clock()

    @precondition(lambda self: self.clock() - self.silenced_at >= SILENCE_SPACING_S)
    @rule()
    def silence(self):
        self.silenced_at = self.clock()
        self.connection.silence()

    @invariant()
    def departures_take_effect_in_time(self):
        assert not self.violations, self.violations[0]

    def teardown(self):
        for task in self.tasks:
            task.cancel()
        self.run(asyncio.gather(*self.tasks, return_exceptions=True))
        self.loop.close()


TestStoreFreshness = StoreFreshness.TestCase
TestStoreFreshness.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    # Shrinking takes minutes.
    phases=[Phase.explicit, Phase.generate],
)


SILENT_AFTER_THROTTLING = (
    lambda machine: machine.begin_outage("silent"),
    lambda machine: machine.remove("a"),
    lambda machine: machine.wait(1.0),
    lambda machine: machine.end_outage(),
    lambda machine: machine.begin_outage(429),
    lambda machine: machine.wait(3.0),
    lambda machine: machine.end_outage(),
    lambda machine: machine.silence(),
)
SILENT_AFTER_REFUSALS = (
    lambda machine: machine.drain("c"),
    lambda machine: machine.begin_outage("silent"),
    lambda machine: machine.remove("a"),
    lambda machine: machine.silence(),
    lambda machine: machine.enter("a"),
    lambda machine: machine.end_outage(),
    lambda machine: machine.begin_outage(503),
    lambda machine: machine.wait(3.1245860939955667),
    lambda machine: machine.remove("b"),
    lambda machine: machine.end_outage(),
    lambda machine: machine.begin_outage("silent"),
    lambda machine: machine.end_outage(),
    lambda machine: machine.wait(1.6387488506333159),
    lambda machine: machine.silence(),
    lambda machine: machine.begin_outage(503),
    lambda machine: machine.remove("c"),
    lambda machine: machine.wait(5.08750902736215827),
    lambda machine: machine.silence(),
    lambda machine: machine.end_outage(),
)


# The listing after the outage was requested over a connection that had fallen silent.
@pytest.mark.parametrize("steps", [SILENT_AFTER_THROTTLING, SILENT_AFTER_REFUSALS])
def test_departures_take_effect_if_connections_fall_silent_as_an_outage_ends(steps):
    machine = StoreFreshness()
    try:
        for step in steps:
            step(machine)
        machine.wait(6.0)
        machine.departures_take_effect_in_time()
    finally:
        machine.teardown()
