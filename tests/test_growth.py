"""Traffic from a planner to one gateway, which must not grow with the size of the fleet."""

import functools

import logbook
import pytest
from simulated_fleet import SimulatedFleet
from world import new_loop

GATEWAYS = (50, 150, 370)
ENGINES = (300, 900, 2700)
SECONDS = 3.0
SLACK = 1.1
"""Allowed ratio between runs: bytes and messages vary with the random requests."""


@functools.cache
def cost_per_gateway(gateways, engines, may_scope=True):
    """Return bytes at the connection, and bytes and messages per second, each for one gateway."""

    async def scenario():
        fleet = SimulatedFleet(gateways, engines, 1.0, may_scope=may_scope)
        await fleet.play(2.0)
        joined = fleet.count("bytes") / gateways
        fleet.reset()
        await fleet.play(SECONDS)
        sent = fleet.count("bytes") / gateways / SECONDS
        messages = fleet.count("messages") / gateways / SECONDS
        assert fleet.count("answered") > 0.8 * gateways * SECONDS
        await fleet.stop()
        return joined, sent, messages

    loop = new_loop()
    try:
        with logbook.NullHandler().applicationbound():
            return loop.run_until_complete(scenario())
    finally:
        loop.close()


class TestGrowth:
    def test_bytes_per_gateway_do_not_grow_with_the_gateways(self):
        """Guards against 40 KB per second and 196 KB at the connection for each of 370 gateways."""
        first, *others = [cost_per_gateway(gateways, 600) for gateways in GATEWAYS]
        for costs in others:
            for few, many in zip(first, costs, strict=True):
                assert many <= SLACK * few

    def test_bytes_per_gateway_do_not_grow_with_the_engines(self):
        first, *others = [cost_per_gateway(100, engines) for engines in ENGINES]
        for costs in others:
            for few, many in zip(first, costs, strict=True):
                assert many <= SLACK * few

    @pytest.mark.parametrize("gateways", GATEWAYS)
    def test_a_gateway_receives_less_than_a_tenth_of_its_limit(self, gateways):
        """The limit for all control traffic of an instance is 10 KB per second."""
        joined, sent, _ = cost_per_gateway(gateways, 600)
        assert sent < 1_000
        assert joined < 10_000

    def test_without_scoped_updates_bytes_per_gateway_grow(self):
        """Shows that the test setup detects growth."""
        few, many = cost_per_gateway(50, 600, False), cost_per_gateway(150, 600, False)
        assert many[1] > SLACK * few[1]
        assert few[0] > 100_000
