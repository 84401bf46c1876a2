"""Faults that are open, of configurations that come into force while requests are under way."""

import asyncio

from test_config_during_requests import ROUTER_REJECT_S, remove_adapters
from world import FakeExchange
from world import run_world as run_router_world


class TestOpenaiDoor:
    # "Not carried" is not final for a line of waiting requests, which asks until their deadlines.
    def test_a_request_waits_for_an_adapter_that_was_removed_until_its_deadline(self):
        async def scenario(world):
            router, *_ = world.routers
            exchange = FakeExchange("a1", stream=True)
            task = router.send(exchange)
            await asyncio.sleep(0.3)
            await world.publish(remove_adapters(world.document))
            await asyncio.wait([task], timeout=ROUTER_REJECT_S)
            assert exchange.finished
            assert exchange.outcome == "not-run"

        run_router_world(scenario, spec={"load_s": 1.0})
