"""Connections that a replica accepts from all instances together.

A replica accepts a configured number of connections and resets further ones. If each instance keeps
its used connections without a limit, 370 instances with one each occupy 370 of 490 connections
while nothing runs, and those of 195 instances at a replica that accepts 110 leave none for
instances that have to open one.
"""

import asyncio
import copy

import pytest
from gradelug_policy.connections import IDLE_CONNECTION_FRACTION, max_idle_connections
from limit_world import LimitWorld
from run_world import run


def world_of(gateways, most):
    """Return a simulation whose plain replica accepts a limited number of connections."""
    world = LimitWorld(gateways=gateways, engines=1, plain=1)
    world.config = copy.deepcopy(world.config)
    world.config["Services"][1]["MaxConns"] = most
    return world


class TestIdleConnections:
    @pytest.mark.parametrize(("gateways", "most"), [(12, 10), (40, 20), (3, 20)])
    def test_idle_instances_leave_connections_to_others(self, gateways, most):
        async def scenario():
            async with world_of(gateways, most) as world:
                for gateway in world.gateways:
                    assert await world.ask(gateway, b"harmless", path=b"/i/x") == 200
                await asyncio.sleep(0.1)
                assert len(world.plain["p0"].server.connections) < most

        run(scenario)

    def test_few_instances_keep_their_connections(self):
        async def scenario():
            async with world_of(3, 100) as world:
                for _ in range(4):
                    for gateway in world.gateways:
                        assert await world.ask(gateway, b"harmless", path=b"/i/x") == 200
                assert all(one.pool.opened <= 2 for one in world.gateways)

        run(scenario)


class TestShare:
    @pytest.mark.parametrize(
        ("most", "instances"), [(490, 7), (100, 7), (100, 86), (110, 195), (490, 370), (10, 0)]
    )
    def test_all_instances_together_leave_half_for_new_connections(self, most, instances):
        draws = [(number + 0.5) / max(1, instances) for number in range(max(1, instances))]
        kept = sum(max_idle_connections(most, instances, draw) for draw in draws)
        assert kept <= IDLE_CONNECTION_FRACTION * most + 1
        assert kept >= 0.8 * IDLE_CONNECTION_FRACTION * most
