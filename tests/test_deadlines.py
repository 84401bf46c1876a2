"""Ends of requests at their callers' deadlines, the timeouts of their routes and planned stops."""

import asyncio

from gradelug_gateway.model import Repeat
from test_serving import ADAPTER, HELD, STREAM, Bench, event, route, run

DEADLINE_MS = 1000


def stream_bench(*scripts, timeout_s=10.0, repeat=Repeat.RESUME):
    the_route = route(repeat, True, 2, "llm", timeout_s)
    return Bench(the_route, [[script] for script in scripts], HELD, engine=True)


class TestBegunStreams:
    def test_a_begun_stream_is_cut_before_its_callers_deadline(self):
        async def scenario():
            bench = stream_bench([STREAM + event(1), 0.995, event(2)])
            client = bench.client(DEADLINE_MS, ADAPTER)
            await asyncio.sleep(1.0)
            assert event(2) in client.received
            assert not client.ended
            assert b"X-Gradelug-Deadline-Ms: 1000\r\n" in bench.received("s0")
            await asyncio.sleep(0.15)
            assert client.ended
            assert bench.servers["s0"][0].transport.closing

        run(scenario)
