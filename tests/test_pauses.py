"""Streams that would pause beyond their bound count in where a request goes."""

import random

import pytest
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.gaps import ServiceGaps
from gradelug_gateway.model import (
    AdapterKey,
    EngineSpec,
    FleetState,
    Repeat,
    Replica,
    Route,
    Service,
    Share,
    Snapshot,
    ToldLoad,
)
from gradelug_http import ServerLimits
from gradelug_policy.engine_room import PAUSED_S, Pace, pause_cost_s
from gradelug_policy.reading import Busyness, Work

GAP_S = 0.3
PACE = Pace(20_000.0)
PROMPT = Work(1_000)
KEY = AdapterKey("m", "a")


def route(service, gap_s, streaming=True):
    shares = (Share(service, 1.0),)
    return Route("r", "h", "/", shares, streaming, Repeat.NEVER, 9.0, 0.8, gap_s, 1, 0)


def state(*routes):
    spec = EngineSpec((), 1000.0, 8, 12, 60_000, 2.0)
    services = {"llm": Service("llm", 10, spec)}
    return FleetState(Snapshot(1, routes, services, ServerLimits()))


class TestCost:
    def test_few_prompts_cost_nobody_a_pause(self):
        assert pause_cost_s(Busyness((4_000,), 8, 4), PROMPT, PACE, GAP_S) == 0.0

    def test_many_cost_each_stream_that_runs(self):
        assert pause_cost_s(Busyness((6_000,), 8, 6), PROMPT, PACE, GAP_S) == 8 * PAUSED_S
        assert pause_cost_s(Busyness((6_000,), 0, 6), PROMPT, PACE, GAP_S) == 0.0

    def test_without_a_bound_no_pause_is_late(self):
        assert pause_cost_s(Busyness((90_000,), 8, 9), PROMPT, PACE, 0.0) == 0.0


class TestGaps:
    def test_the_shortest_bound_of_its_streams_counts(self):
        gaps = ServiceGaps(state(route("llm", 0.4), route("llm", 0.3), route("llm", 0.1, False)))
        assert gaps.of("llm") == 0.3
        assert gaps.of("other") == 0.0

    def test_a_new_configuration_counts_at_once(self):
        fleet_state = state(route("llm", 0.4))
        gaps = ServiceGaps(fleet_state)
        assert gaps.of("llm") == 0.4
        fleet_state.snapshot = state(route("llm", 0.2)).snapshot
        assert gaps.of("llm") == 0.2


class TestChoice:
    @pytest.mark.parametrize(("has_room", "chosen"), [(True, "e1"), (False, "e0")])
    def test_a_request_goes_where_it_makes_fewer_streams_pause(self, has_room, chosen):
        """1,892 streams of 12,681 runs paused beyond their bound on one day of waves."""
        fleet_state = state(route("llm", GAP_S))
        fleet = Fleet(fleet_state, "h", lambda: 0.0, random.Random(1), has_room)
        for name in ("e0", "e1"):
            fleet_state.replicas[name] = Replica(name, "llm", f"{name}:1", "h")
            fleet.add_holding(name, KEY, 1)
        # At e1 it would wait 20 ms longer, behind prompts of which no stream has to pause.
        fleet.load("e0").others = ToldLoad(5, 6, (5_500,))
        fleet.load("e1").others = ToldLoad(5, 0, (6_700,))
        found = fleet.choose(fleet.holders("llm", KEY), work=PROMPT)
        assert found.name == chosen
