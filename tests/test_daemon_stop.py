"""Planned stops of whole gateways, in virtual time."""

import asyncio
import copy
from pipes import RawClient, join
from unittest import mock

import pytest
from gradelug_gateway.daemon import REST_S
from gradelug_gateway.shutdown import ANSWER_S, BALANCER_REMOVAL_S, CLOSE_S
from limit_world import LimitWorld, PlainReplica
from run_world import run
from soak_settings import CONFIG

GRACE_S = 8.0
"""Grace period of the worlds' gateways."""
LONG_S = 20.0
"""Timeouts and deadlines that exceed the grace period."""
WORK_S = 0.3
TARGET_S = 1.0


class Worker(PlainReplica):
    """A replica that works on a request as long as the request says."""

    def __init__(self, world, name, address):
        super().__init__(world, name, address)
        self.deadlines = {}
        """The time handed over with each request, in seconds, by its identifier."""

    async def serve(self, inc):
        ident = inc.header(b"x-gradelug-request-id")
        self.world.arrived.append((self.world.clock(), inc.body, self.name))
        self.deadlines[ident] = int(inc.header(b"x-gradelug-deadline-ms")) / 1000
        await asyncio.sleep(float(inc.header(b"x-work-s")))
        signature = (b"X-Gradelug-Server-Signature", self.name.encode())
        inc.respond(200, [(b"X-Gradelug-Request-Id", ident), signature], b"whole")


class StopWorld(LimitWorld):
    """Gateways before plain replicas, one of which is stopped."""

    config = copy.deepcopy(CONFIG)
    for route in config["Routes"]:
        route |= {"TimeoutMs": LONG_S * 1000, "TargetLatencyMs": TARGET_S * 1000}

    def __init__(self, gateways=1, workers=2):
        super().__init__(gateways, engines=0)
        self.numbers = iter(range(1, 1000))
        self.exited_after_s = None
        self.workers = [
            Worker(self, f"p{number}", f"10.0.2.{number}:80") for number in range(workers)
        ]
        for worker in self.workers:
            self.spawn(worker.register())

    @property
    def daemon(self):
        return self.gateways[0].daemon

    async def stop(self):
        """Stop the first gateway, as its process does on SIGTERM."""
        began_at = self.clock()
        # The servers are not started in memory, and this one does not allow to be closed then.
        self.daemon._peer_server.close = mock.Mock()
        await self.daemon._drain()
        await self.daemon._close()
        self.exited_after_s = self.clock() - began_at

    def client(self):
        client = RawClient()
        join(client, self.net.servers[self.gateways[0].front]())
        return client

    def send(self, path=b"/u/x", work_s=WORK_S, deadline_s=LONG_S, client=None):
        """Send a request; return its client."""
        client = client or self.client()
        client.transport.write(self.request(path, work_s, deadline_s))
        return client

    def request(self, path=b"/u/x", work_s=WORK_S, deadline_s=LONG_S):
        number = next(self.numbers)
        return (
            b"POST %b HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: q%d\r\n"
            b"X-Gradelug-Deadline-Ms: %d\r\nX-Work-S: %.3f\r\nContent-Length: 4\r\n\r\n%04d"
            % (path, number, deadline_s * 1000, work_s, number)
        )


def statuses(client):
    """Return the statuses of the answers that a client has received."""
    return [int(part.split(b" ")[0]) for part in bytes(client.received).split(b"HTTP/1.1 ")[1:]]


def play(scenario, **options):
    async def main():
        async with StopWorld(**options) as world:
            await scenario(world)

    run(main)


class TestArrivals:
    def test_a_request_that_must_not_run_twice_is_begun_and_cut(self):
        async def scenario(world):
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(1.0)
            client = world.send(b"/u/x", work_s=LONG_S - 1)
            await asyncio.sleep(0.1)
            assert statuses(client) == [503]
            assert b"Retry-After: 0.05" in client.received
            assert world.arrived == []
            await stopping

        play(scenario)

    def test_a_request_that_ends_in_time_is_refused_before_the_balancer_is_done(self):
        async def scenario(world):
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(2.0)
            once = world.send(b"/u/x", deadline_s=5.0)
            repeatable = world.send(b"/i/x", deadline_s=LONG_S)
            await asyncio.sleep(2 * WORK_S)
            assert (statuses(once), statuses(repeatable)) == ([200], [200])
            await stopping

        play(scenario)

    def test_work_as_long_as_recent_work_is_begun_too_late(self):
        async def scenario(world):
            world.send(b"/i/x", work_s=6.5)
            await asyncio.sleep(7.0)
            count = len(world.arrived)
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(1.0)
            client = world.send(b"/i/x", work_s=6.5)
            await stopping
            assert statuses(client) == [503]
            assert len(world.arrived) == count

        play(scenario)

    def test_a_request_without_time_left_is_answered_by_a_closed_connection(self):
        async def scenario(world):
            once = world.send(b"/u/x", work_s=LONG_S - 1)
            repeatable = world.send(b"/i/x", work_s=LONG_S - 1)
            await asyncio.sleep(0.5)
            await world.stop()
            assert (statuses(once), statuses(repeatable)) == ([504], [504])
            assert world.exited_after_s < GRACE_S

        play(scenario)

    def test_replicas_work_beyond_the_end_of_the_process(self):
        async def scenario(world):
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(2.0)
            world.send(b"/i/x")
            await stopping
            (left_s,) = [left_s for one in world.workers for left_s in one.deadlines.values()]
            assert left_s <= GRACE_S - 2.0

        play(scenario)


class TestConnections:
    @pytest.mark.parametrize("at_s", [0.1, 1.0, 2.5, 2.7, 3.5, 4.9])
    @pytest.mark.parametrize("deadline_s", [1.0, 4.0])
    @pytest.mark.parametrize("path", [b"/u/x", b"/i/x"])
    def test_a_connection_without_a_request_is_closed_while_the_gateway_listens(
        self, path, at_s, deadline_s
    ):
        async def scenario(world):
            client = world.client()
            busy = world.send(work_s=5.5)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(at_s)
            world.send(path, deadline_s=deadline_s, client=client)
            await stopping
            expected = 200 if at_s + deadline_s < GRACE_S - ANSWER_S else 503
            assert statuses(client) == [expected]
            assert statuses(busy) == [200]
            assert client.ended

        play(scenario)

    @pytest.mark.parametrize("used_at_s", [0.0, 2.0, 2.2])
    def test_a_request_on_a_kept_connection_is_refused_in_place_of_a_close(self, used_at_s):
        """Streams that began before the stop leave their connections open."""

        async def scenario(world):
            busy = world.send(work_s=6.0)
            client = world.client()
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(used_at_s)
            world.daemon._caller_server.draining = False
            world.send(client=client, deadline_s=1.0)
            await asyncio.sleep(WORK_S + 0.05)
            world.daemon._caller_server.draining = True
            assert (statuses(client), client.ended) == ([200], False)
            await asyncio.sleep(BALANCER_REMOVAL_S - used_at_s + REST_S)
            assert client.ended
            await stopping
            assert statuses(busy) == [200]

        play(scenario)

    def test_requests_that_were_sent_ahead_are_dropped(self):
        async def scenario(world):
            client = world.client()
            requests = [world.request(deadline_s=4.0) for _ in range(3)]
            client.transport.write(b"".join(requests))
            await world.stop()
            assert statuses(client) == [200, 200, 200]

        play(scenario)

    @pytest.mark.parametrize("rest_s", [1.0, 2.7, None])
    def test_half_a_request_is_lost(self, rest_s):
        async def scenario(world):
            client, data = world.client(), world.request(deadline_s=4.0)
            busy = world.send(work_s=6.0)
            client.transport.write(data[:60])
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.stop())
            if rest_s is not None:
                await asyncio.sleep(rest_s)
                client.transport.write(data[60:])
            await stopping
            assert statuses(client) == [503 if rest_s is None else 200]
            assert statuses(busy) == [200]

        play(scenario)

    def test_a_request_is_served_while_the_connections_are_closed(self):
        async def scenario(world):
            client = world.client()
            busy = world.send(work_s=LONG_S - 1)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(GRACE_S - CLOSE_S + 0.05)
            world.send(deadline_s=0.1, work_s=0.01, client=client)
            await stopping
            assert (statuses(client), statuses(busy)) == ([503], [504])

        play(scenario)

    @pytest.mark.parametrize("at_s", [2.7, 3.5, 4.9])
    def test_new_connections_keep_a_gateway_at_work(self, at_s):
        async def scenario(world):
            busy = world.send(work_s=5.5)
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(world.stop())
            await asyncio.sleep(at_s)
            client = world.send(deadline_s=1.0)
            await stopping
            assert statuses(client) == [503]
            assert statuses(busy) == [200]
            assert len(world.arrived) == 1

        play(scenario)


class TestExit:
    def test_an_idle_gateway_stays_until_the_end_of_the_grace_period(self):
        async def scenario(world):
            world.client()
            await world.stop()
            assert BALANCER_REMOVAL_S <= world.exited_after_s < BALANCER_REMOVAL_S + 0.5

        play(scenario)

    @pytest.mark.parametrize("work_s", [0.0, LONG_S - 1])
    def test_the_process_is_killed_because_the_store_does_not_respond(self, work_s):
        async def scenario(world):
            client = world.send(work_s=work_s) if work_s else None
            await asyncio.sleep(1.0)

            async def hang(*args):
                await asyncio.sleep(60.0)

            world.kv.revoke_lease = hang
            await world.stop()
            assert world.exited_after_s < GRACE_S
            if client is not None:
                assert statuses(client) == [504]

        StopWorld.is_fenced, was_fenced = False, StopWorld.is_fenced
        try:
            play(scenario)
        finally:
            StopWorld.is_fenced = was_fenced
