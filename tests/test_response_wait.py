"""Tests of the wait for the parts of a replica's response."""

import asyncio
import contextlib
import gc
from unittest import mock

import logbook
import pytest
from gradelug_gateway.model import Repeat
from gradelug_gateway.response_wait import ResponseWaiter
from gradelug_http import ResponseBroken
from world import new_loop


class TestAbandonedResponses:
    @pytest.mark.parametrize("is_cancelled_first", [True, False])
    def test_error_of_an_abandoned_response_is_logged(self, is_cancelled_first):
        """Guards against errors that nobody reads, which Python prints with a traceback when their
        task is collected, as if a task of the gateway had failed."""
        unread = []

        async def scenario():
            asyncio.get_running_loop().set_exception_handler(lambda _, context: unread.append(1))
            broken = asyncio.Event()

            async def next_part():
                with contextlib.suppress(asyncio.CancelledError):
                    await broken.wait()
                raise ResponseBroken("the upstream reset the connection")

            waiter = ResponseWaiter(lambda: 0.0, None, mock.Mock())
            exchange = mock.Mock(run=None)
            exchange.job.route.repeat = Repeat.NEVER
            receiving = asyncio.create_task(waiter.receive(exchange, next_part()))
            await asyncio.sleep(0.1)
            if not is_cancelled_first:
                broken.set()
                await asyncio.sleep(0)
            receiving.cancel()
            with pytest.raises(asyncio.CancelledError):
                await receiving
            await asyncio.sleep(0.1)
            gc.collect()

        loop = new_loop()
        with logbook.TestHandler().applicationbound() as handler:
            loop.run_until_complete(scenario())
            loop.close()
        assert not unread
        assert [record.message for record in handler.records] == ["abandoned response broke off"]
