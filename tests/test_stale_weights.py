"""Runs go on under the weights that made their memory, or not from it."""

import asyncio
from unittest import mock

import pytest
from gradelug_gateway import runs as runs_module
from run_engines import EVENTS, KEY, MODEL
from run_world import RunWorld, events, is_whole, run, runner

ALL = list(range(1, EVENTS + 1))
NAMED = [
    pytest.param("m/a1", KEY, id="adapter"),
    pytest.param("m/a1", MODEL, id="base-of-adapter"),
    pytest.param("m", MODEL, id="base"),
]


@pytest.fixture
def copied():
    """Every stream is copied, whatever the risk."""
    with mock.patch.object(runs_module, "wants_copy", return_value=True):
        yield


async def begin(world, model="m/a1"):
    client = world.ask("q1", model=model)
    await asyncio.sleep(0.67)
    assert len(events(client)[0]) > 3
    return client, runner(world, "q1")


class TestAStoppedRun:
    @pytest.mark.parametrize(("model", "renewed"), NAMED)
    def test_does_not_go_on_under_newer_weights(self, model, renewed):
        """Its engine replaced its weights as soon as it was stopped."""

        async def scenario():
            world = RunWorld()
            client, first = await begin(world, model)
            first.hush()
            await asyncio.sleep(0.9)
            world.name_version(renewed, 2)
            await asyncio.sleep(6.0)
            assert not world.ledger.wrong
            assert client.ended or is_whole(client)

        run(scenario)
