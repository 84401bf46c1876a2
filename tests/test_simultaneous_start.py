"""Simultaneous start of a planner and its gateways, as after a power failure."""

import asyncio
import functools

import logbook
import pytest
from simulated_fleet import SimulatedFleet
from world import new_loop

GATEWAYS = (50, 150, 300)
ENGINES = 600
FIRST_S = 1.0
STARTS_PER_S = 2.0
"""Request rate of a gateway: 40% of them have sent a request after 0.25 s and 88% after 1 s."""
SLACK = 1.1
MAX_CONCURRENT_REPORTS = 64
"""Number of engines whose state is requested concurrently."""


class Fleet(SimulatedFleet):
    """A simulated fleet that records when each gateway got its first answer."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs, tells=True)
        self.started_at = self.clock()
        self.first_answer_s = {}

    async def run_for(self, seconds):
        until = self.clock() + seconds
        while self.clock() < until:
            await self.play(0.05)
            for gateway in self.gateways:
                if gateway.answered:
                    self.first_answer_s.setdefault(gateway.name, self.clock() - self.started_at)

    def replace_planner(self):
        """Replace the planner by one without state, to which all gateways connect at once."""
        self.task.cancel()
        return Fleet(len(self.gateways), ENGINES, self.starts_per_s)


def play(scenario):
    loop = new_loop()
    try:
        with logbook.NullHandler().applicationbound():
            return loop.run_until_complete(scenario())
    finally:
        loop.close()


@functools.cache
def cost_of_first_second(gateways):
    """Return the cost per gateway during the first second of a simultaneous start."""

    async def scenario():
        fleet = Fleet(gateways, ENGINES, STARTS_PER_S)
        await fleet.run_for(FIRST_S)
        sent_bytes = fleet.count("bytes") / gateways
        messages = fleet.count("messages") / gateways
        firsts = sorted(fleet.first_answer_s.values())
        unknown, refused = fleet.planner.unsynced_engine_count, fleet.count("refused")
        most = fleet.orders.max_concurrent_reports
        await fleet.stop()
        return sent_bytes, messages, firsts, unknown, refused, most

    return play(scenario)


class TestStart:
    def test_initial_bytes_per_gateway_do_not_grow_with_the_gateways(self):
        few = cost_of_first_second(GATEWAYS[0])
        for gateways in GATEWAYS[1:]:
            many = cost_of_first_second(gateways)
            assert many[0] <= SLACK * few[0]
            assert many[1] <= SLACK * few[1]

    @pytest.mark.parametrize("gateways", GATEWAYS)
    def test_requests_are_placed_before_all_engines_have_reported(self, gateways):
        sent_bytes, _, firsts, unknown, refused, most = cost_of_first_second(gateways)
        assert len(firsts) >= 0.8 * gateways
        assert firsts[gateways // 4] <= 0.25
        assert not refused
        assert most <= MAX_CONCURRENT_REPORTS
        assert unknown == 0
        assert sent_bytes < 10_000

    def test_a_second_planner_failure_delays_only_by_its_own_duration(self):
        """The next planner starts without state and must answer as fast as the first one."""

        async def scenario():
            first = Fleet(GATEWAYS[-1], ENGINES, STARTS_PER_S)
            await first.run_for(0.3)
            assert first.planner.unsynced_engine_count > 0
            second = first.replace_planner()
            await asyncio.gather(first.task, return_exceptions=True)
            await second.run_for(FIRST_S)
            firsts, refused = sorted(second.first_answer_s.values()), second.count("refused")
            await second.stop()
            return firsts, refused

        firsts, refused = play(scenario)
        assert len(firsts) >= 0.8 * GATEWAYS[-1]
        assert firsts[GATEWAYS[-1] // 4] <= 0.25
        assert not refused
