"""Tests of the record of silent replicas."""

import types

import pytest
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.silences import RECENT_ACTIVITY_S, SilenceScope, SilenceTracker


class World:
    def __init__(self, replicas):
        self.now = 100.0
        self.meters = GatewayMetrics()
        state = FleetState()
        self.replicas = [
            Replica(f"s{at}", "llm", f"10.0.1.{at}:80", "hall") for at in range(replicas)
        ]
        state.replicas = {rep.name: rep for rep in self.replicas}
        state.change = 1
        self.fleet = Fleet(state, "hall", lambda: self.now)
        self.tracker = SilenceTracker(self.fleet, self.meters, lambda: self.now)

    def wait(self, seconds, active=()):
        """Let time pass; some replicas send data at its end."""
        self.now += seconds
        for at in active:
            self.tracker.note_data(self.replicas[at])


class TestScope:
    @pytest.mark.parametrize(
        ("replicas", "silent", "scope"),
        [
            (3, 1, SilenceScope.REPLICA),
            (3, 2, SilenceScope.SERVICE),
            (3, 3, SilenceScope.SERVICE),
            (600, 300, SilenceScope.REPLICA),
            (600, 301, SilenceScope.SERVICE),
        ],
    )
    def test_most_replicas_make_a_silent_service(self, replicas, silent, scope):
        world = World(replicas)
        for rep in world.replicas:
            world.tracker.begin(rep)
        world.wait(RECENT_ACTIVITY_S + 0.1, range(silent, replicas))
        assert world.tracker.scope(world.replicas[0]) is scope

    def test_stream_is_silent_at_a_replica_that_sends_data_for_others(self):
        world = World(3)
        world.tracker.begin(world.replicas[0])
        world.wait(5.0, [0])
        assert world.tracker.scope(world.replicas[0]) is SilenceScope.STREAM

    def test_replica_that_owes_nothing_is_not_silent(self):
        world = World(3)
        world.tracker.begin(world.replicas[0])
        world.tracker.end(world.replicas[0])
        world.wait(60.0)
        assert world.tracker.silent_s("s0") == 0.0
        world.tracker.begin(world.replicas[0])
        world.wait(0.5)
        assert world.tracker.silent_s("s0") == pytest.approx(0.5)


class TestLogs:
    def test_replica_that_goes_on_is_counted_with_its_abandoned_attempts(self):
        world = World(3)
        rep = types.SimpleNamespace(**{"name": "s0", "service": "llm"})
        for _ in range(2):
            world.tracker.begin(rep)
            world.tracker.note_abandoned(rep, SilenceScope.SERVICE)
            world.tracker.end(rep)
        world.wait(1.3, [0])
        rendered = world.meters.render().decode()
        assert 'gradelug_abandoned_attempts_total{scope="service"} 2.0' in rendered
        assert "gradelug_needless_abandonments_total 2.0" in rendered
        world.wait(0.1, [0])
        assert "gradelug_needless_abandonments_total 2.0" in world.meters.render().decode()


class TestEndedSilences:
    def abandon(self, world, after_s, scope=SilenceScope.REPLICA, **kwargs):
        rep = world.replicas[0]
        world.tracker.begin(rep)
        world.wait(after_s)
        world.tracker.note_abandoned(rep, scope, **kwargs)
        world.tracker.end(rep)

    def test_silence_of_a_replica_that_goes_on_is_remembered(self):
        world = World(2)
        self.abandon(world, 1.3)
        assert world.tracker.longest_ended_s("llm") == 0.0
        world.wait(0.2, [0])
        assert world.tracker.longest_ended_s("llm") == pytest.approx(1.5)

    def test_time_without_requests_is_no_silence(self):
        world = World(2)
        self.abandon(world, 1.3)
        world.wait(60.0)
        world.tracker.begin(world.replicas[0])
        world.wait(0.1, [0])
        assert world.tracker.longest_ended_s("llm") == pytest.approx(1.3)

    @pytest.mark.parametrize(
        ("scope", "is_late"), [(SilenceScope.STREAM, False), (SilenceScope.REPLICA, True)]
    )
    def test_stalled_stream_and_late_instance_show_no_silence(self, scope, is_late):
        world = World(2)
        self.abandon(world, 1.3, scope, is_late=is_late)
        world.wait(0.2, [0])
        assert world.tracker.longest_ended_s("llm") == 0.0
