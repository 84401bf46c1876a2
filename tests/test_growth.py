"""What one gateway costs its planner, and is told, does not grow with the fleet."""

import functools

import logbook
import pytest
from grown_fleet import GrownFleet
from world import new_loop

GATEWAYS = (50, 150, 370)
ENGINES = (300, 900, 2700)
SECONDS = 3.0
SLACK = 1.1
"""Bytes and messages depend a little on what is drawn."""


@functools.cache
def measured(gateways, engines, may_scope=True):
    """Return bytes when joining, and bytes and messages a second, each for one gateway."""

    async def scenario():
        fleet = GrownFleet(gateways, engines, 1.0, may_scope=may_scope)
        await fleet.play(2.0)
        joined = fleet.count("bytes") / gateways
        fleet.reset()
        await fleet.play(SECONDS)
        told = fleet.count("bytes") / gateways / SECONDS
        messages = fleet.count("messages") / gateways / SECONDS
        assert fleet.count("answered") > 0.8 * gateways * SECONDS
        await fleet.stop()
        return joined, told, messages

    loop = new_loop()
    try:
        with logbook.NullHandler().applicationbound():
            return loop.run_until_complete(scenario())
    finally:
        loop.close()


class TestGrowth:
    def test_what_a_gateway_is_told_does_not_grow_with_the_gateways(self):
        """With 370 of them each was told 40 KB a second, and 196 KB when it joined."""
        first, *others = [measured(gateways, 600) for gateways in GATEWAYS]
        for found in others:
            for few, many in zip(first, found, strict=True):
                assert many <= SLACK * few

    def test_what_a_gateway_is_told_does_not_grow_with_the_engines(self):
        first, *others = [measured(100, engines) for engines in ENGINES]
        for found in others:
            for few, many in zip(first, found, strict=True):
                assert many <= SLACK * few

    @pytest.mark.parametrize("gateways", GATEWAYS)
    def test_a_gateway_is_told_less_than_a_tenth_of_what_an_instance_may_take(self, gateways):
        """An instance may take 10 KB a second for all of its control."""
        joined, told, _ = measured(gateways, 600)
        assert told < 1_000
        assert joined < 10_000

    def test_without_scoped_news_it_grows(self):
        """The measure finds what it is for."""
        few, many = measured(50, 600, False), measured(150, 600, False)
        assert many[1] > SLACK * few[1]
        assert few[0] > 100_000
