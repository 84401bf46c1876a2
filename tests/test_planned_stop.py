"""A planned stop of a gateway process, with callers on each kind of connection until it is gone."""

import asyncio

import pytest
from stop_fleet import StopFleet


def play(folder, seed, before_s=1.5, **options):
    async def scenario():
        fleet = StopFleet(folder, seed, **options)
        await fleet.play(before_s)
        return fleet

    return asyncio.run(scenario())


class TestPlannedStop:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_connections_are_closed_before_their_requests_are_answered(self, tmp_path, seed):
        fleet = play(tmp_path, seed)
        assert fleet.unanswered() == []
        assert fleet.cut() == []
        assert fleet.broken_promises() == []
        assert fleet.gateway.faults() == []

    def test_work_longer_than_the_grace_period_is_begun_and_cut(self, tmp_path):
        fleet = play(tmp_path, 3, callers=30, long_part=0.5)
        assert fleet.unanswered() == []
        assert fleet.cut() == []
        assert fleet.broken_promises() == []
        assert fleet.given_up() == []
        assert fleet.gateway.faults() == []
