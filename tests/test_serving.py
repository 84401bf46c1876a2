"""The gateway's request pipeline, over in-memory connections to scripted replicas."""

import asyncio
import math
import random
from pipes import Network, RawClient, RawServer, join

import logbook
import pytest
from gradelug_gateway.admission import AdmissionControl
from gradelug_gateway.budgets import BUDGET_FRACTION, RetryBudgets
from gradelug_gateway.directory import Directory
from gradelug_gateway.exceptions import Refused
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import (
    AdapterKey,
    EngineSpec,
    FleetState,
    Holding,
    Repeat,
    Replica,
    Route,
    Service,
    Share,
    Snapshot,
)
from gradelug_gateway.quotas import Quotas
from gradelug_gateway.sending import Sender
from gradelug_gateway.serving import FIRST_CONFIG_WAIT_S, RequestPipeline
from gradelug_gateway.shutdown import ShutdownSchedule
from gradelug_http import HttpPool, ServerLimits
from gradelug_platform.dialect import PlatformDialect
from gradelug_policy.quotas import LocalShares
from world import new_loop

SPEC = EngineSpec((), 1000.0, 6, 96, 1000, 2.0)
KEY = AdapterKey("m", "a1")


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def route(repeat, streaming=False, replicas=2, service="plain", timeout_s=2.0):
    return Route(
        "r", "h", "/", (Share(service, 1.0),), streaming, repeat, timeout_s, 0.2, 0.4, replicas, 0
    )


def reply(body=b"ok", status=b"200 OK", ident=b"q1", extra=b""):
    return (
        b"HTTP/1.1 %b\r\nX-Gradelug-Request-Id: %b\r\n%bContent-Length: %d\r\n\r\n"
        % (status, ident, extra, len(body))
    ) + body


SIGNED = b"X-Gradelug-Server-Signature: s1\r\n"
OK = reply(extra=SIGNED)
FULL = reply(b"", b"503 Service Unavailable", extra=b"X-Gradelug-Not-Executed: 1\r\n")
MISDIRECTED = reply(b"", b"421 Misdirected Request", extra=b"X-Gradelug-Instance-Id: other\r\n")
ABSENT = reply(b"", b"421 Misdirected Request")
ABSENT_ONCE = reply(b"", b"421 Misdirected Request", extra=b"Connection: close\r\n")
FAILED = reply(b"no", b"500 Internal Server Error", extra=SIGNED)
STREAM = (
    b"HTTP/1.1 200 OK\r\nX-Gradelug-Request-Id: q1\r\n" + SIGNED + b"Content-Type: "
    b"text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
END = b"0\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number):
    return chunk(b"id: %d\ndata: x\n\n" % number)


class StubDirectory(Directory):
    """Returns placements from a list in place of the planner."""

    def __init__(self, fleet):
        super().__init__("i", "10.0.0.9:1", fleet, fleet._clock, lambda service: None)
        self.answers = []
        self.asked = []
        self.has_planner = False
        self.planner_first = False

    def is_connected(self, service):
        return self.has_planner

    def should_ask_planner(self, service):
        return self.planner_first

    async def place(self, service, key, **asked):
        self.asked.append(asked)
        if not self.answers:
            await asyncio.sleep(max(0.0, asked["wish"].until - self._clock()))
            raise Refused("the weights could not be placed in time", 0.5)
        return self.answers.pop(0)


class StubFreshness:
    """A configuration freshness that the test sets directly."""

    def __init__(self, state):
        self.proven = True
        self.age_s = 0.1
        self.state = state

    @property
    def config(self):
        return self.state.snapshot.version

    def is_proven(self):
        return self.proven


class Bench:
    def __init__(
        self,
        the_route,
        scripts,
        holdings=(),
        engine=False,
        budget=10.0,
        uses_shared_health=True,
        net=None,
    ):
        clock = asyncio.get_running_loop().time
        self.clock = clock
        self.expects_config = False
        self.net = net or Network()
        self.servers = {}
        state = FleetState()
        name = the_route.shares[0].service
        services = {name: Service(name, 10, SPEC if engine else None)}
        state.snapshot = Snapshot(1, (the_route,), services, ServerLimits())
        for at, script in enumerate(scripts):
            self._add(state, name, at, script, holdings)
        self.state = state
        self.fleet = Fleet(state, "hall", clock)
        self.freshness = StubFreshness(state)
        self.home = None
        self.directory = StubDirectory(self.fleet)
        dialect, meters = PlatformDialect(), GatewayMetrics()
        budgets = RetryBudgets(0.0, budget / BUDGET_FRACTION, 1000.0, clock)
        budgets.share_among(1)
        pool = HttpPool(clock, self.net.dial)
        sender = Sender(dialect, self.fleet, self.directory, pool, meters, clock)
        self.serving = RequestPipeline(
            dialect,
            self.fleet,
            self.directory,
            sender,
            budgets,
            meters,
            clock,
            random.Random(1),
            AdmissionControl(self.freshness),
            Quotas(self._home, clock, random.Random(1), LocalShares()),
            lambda: self.expects_config,
            uses_shared_health,
        )
        self.server = self.net.serve("10.0.0.9:80", self.serving.serve, ServerLimits, clock)

    def _home(self):
        return self.home

    def _add(self, state, service, at, script, holdings):
        replica, address = f"s{at}", f"10.0.1.{at}:80"
        hall = "hall" if at == 0 else "other"
        state.replicas[replica] = Replica(replica, service, address, hall, holdings=holdings)
        self.servers[replica] = []
        if script is None:
            return

        def make():
            self.servers[replica].append(RawServer(script))
            return self.servers[replica][-1]

        self.net.servers[address] = make

    def script_sends(self, replica, *replies):
        """Let a replica answer the sends of one request, each of which has its own connection."""
        scripts = iter([[reply] for reply in replies])

        def make():
            self.servers[replica].append(RawServer(next(scripts)))
            return self.servers[replica][-1]

        self.net.servers[self.state.replicas[replica].address] = make

    def client(self, deadline_ms=1000, headers=b"", method=b"POST", body=b"body"):
        client = RawClient()
        join(client, self.server.new_connection())
        client.transport.write(
            b"%b /p/q%%20r?x=1 HTTP/1.1\r\nHost: h\r\nX-Gradelug-Request-Id: q1\r\n"
            b"X-Gradelug-Deadline-Ms: %d\r\n%bContent-Length: %d\r\n\r\n%b"
            % (method, deadline_ms, headers, len(body), body)
        )
        return client

    def received(self, replica):
        return b"".join(bytes(server.received) for server in self.servers[replica])


def status(client):
    return int(client.received.split(b" ")[1])


def allow_retry_after(bench, monkeypatch, service, delay_s):
    """Let a retry become available after a delay, of which the budget knows."""
    available_at = bench.clock() + delay_s
    monkeypatch.setattr(
        RetryBudgets,
        "seconds_to_retry",
        lambda self, service: max(0.0, available_at - bench.clock()),
    )
    window = bench.serving._budgets._window(service)
    asyncio.get_running_loop().call_at(available_at, lambda: setattr(window, "extra", 1.0))


class TestPlainRequests:
    def test_request_and_response_are_forwarded_unchanged_with_the_remaining_deadline(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[OK]]])
            client = bench.client(headers=b"X-Own: 1\r\nX-Gradelug-Expect-Instance: forged\r\n")
            await asyncio.sleep(0.1)
            sent = bench.received("s0")
            assert sent.startswith(b"POST /p/q%20r?x=1 HTTP/1.1\r\n")
            assert sent.endswith(b"\r\n\r\nbody")
            assert b"X-Own: 1\r\n" in sent
            assert b"X-Gradelug-Expect-Instance: s0\r\n" in sent
            assert b"forged" not in sent
            left = int(sent.split(b"X-Gradelug-Deadline-Ms: ")[1].split(b"\r\n")[0])
            assert 900 < left <= 1000
            assert status(client) == 200
            assert SIGNED in client.received

        run(scenario)

    def test_nonrepeatable_request_is_not_retried_after_a_lost_connection(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[["reset"]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 502
            assert not bench.received("s1")

        run(scenario)

    def test_nonrepeatable_request_is_retried_elsewhere_if_it_was_not_run(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[FULL]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 200

        run(scenario)

    @pytest.mark.parametrize(
        ("first", "verdict", "proof"),
        [(FULL, "full", "header"), (ABSENT, "absent", "status"), (FAILED, "failed", "none")],
    )
    def test_log_names_the_connection_and_the_proof_of_a_refusal(self, first, verdict, proof):
        async def scenario():
            other = reply(b"not yours", ident=b"q0", extra=SIGNED)
            with logbook.TestHandler() as logged:
                bench = Bench(route(Repeat.NEVER, replicas=2), [[[other + first]], [[OK]]])
                bench.client()
                await asyncio.sleep(0.2)
            rows = [row for row in logged.records if row.message.startswith("replica did not")]
            assert rows[0].kwargs["proof"] == proof
            assert rows[0].kwargs["conn"] == 1
            assert rows[0].kwargs["skipped"] == 1
            metrics = bench.serving._meters.render().decode()
            assert f'proof="{proof}",verdict="{verdict}"}} 1.0' in metrics
            assert "gradelug_skipped_responses_total 1.0" in metrics

        run(scenario)

    @pytest.mark.parametrize(("failing_after_s", "early"), [(0.0, True), (0.8, False)])
    def test_log_and_metric_tell_an_early_failure_from_one_near_the_deadline(
        self, failing_after_s, early
    ):
        async def scenario():
            with logbook.TestHandler() as logged:
                bench = Bench(route(Repeat.NEVER), [[[failing_after_s, "reset"]], [[OK]]])
                bench.client(deadline_ms=1000)
                await asyncio.sleep(1.0)
            (row,) = [row for row in logged.records if row.message == "failed"]
            assert row.kwargs["left_s"] == pytest.approx(0.988 - failing_after_s, abs=0.01)
            (broken,) = [row for row in logged.records if row.message == "broken"]
            assert broken.kwargs["conn_uses"] == 1
            metrics = bench.serving._meters.render().decode()
            counted = 'gradelug_early_failures_total{abandoned="false",started="false"} 1.0'
            assert (counted in metrics) is early

        run(scenario)

    def test_attempts_are_limited_to_the_replicas_that_the_route_allows(self):
        async def scenario():
            # The replica stays full for the retries that it receives until the target time.
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 8, [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 503
            assert b"Retry-After: " in client.received
            assert not bench.received("s1")

        run(scenario)

    def test_unreachable_replica_does_not_count_as_an_attempt(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [None, [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 200

        run(scenario)

    # A tunnel also ends with the peer that it passes through.
    @pytest.mark.parametrize(("via", "broken"), [("", 1), ("10.0.0.2:83", 0)])
    def test_the_end_of_a_tunnel_is_reported_as_a_failure_of_the_replica(self, via, broken):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[["reset"]]])
            pool = bench.serving._sender._pool

            async def dial(address):
                wire = await bench.net.dial(address)
                wire.via = via
                return wire

            pool.dial = dial
            client = bench.client()
            await asyncio.sleep(0.5)
            assert status(client) == 502
            assert bench.fleet.health("s0").tally.broken == broken

        run(scenario)

    def test_misdirected_request_is_retried_at_another_replica(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[MISDIRECTED]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 200

        run(scenario)

    @pytest.mark.parametrize("first", [[FAILED], ["reset"], []])
    def test_repeatable_request_is_retried(self, first):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[first], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.6)
            assert status(client) == 200

        run(scenario)

    def test_replica_error_is_forwarded_if_no_attempt_succeeds(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[FAILED]], [[FAILED]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 500
            assert SIGNED in client.received

        run(scenario)

    def test_no_retry_without_budget(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[["reset"]], [[OK]]], budget=0.0)
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 502
            assert not bench.received("s1")

        run(scenario)

    @pytest.mark.parametrize(("retry_after_s", "expected"), [(0.5, 200), (3.0, 502)])
    def test_a_repeatable_request_failed_although_a_retry_is_available_soon(
        self, monkeypatch, retry_after_s, expected
    ):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[["reset"]], [[OK]]], budget=0.0)
            allow_retry_after(bench, monkeypatch, "plain", retry_after_s)
            client = bench.client(deadline_ms=1000)
            await asyncio.sleep(0.2)
            assert client.received[9:12] == (b"502" if expected == 502 else b"")
            await asyncio.sleep(0.6)
            assert status(client) == expected

        run(scenario)

    def test_a_request_that_was_not_sent_takes_nothing_from_the_budget(self):
        async def scenario():
            # The replica in this instance's hall refuses connections.
            bench = Bench(route(Repeat.NEVER, replicas=1), [None, [[OK]]], budget=1.0)
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 200
            assert bench.serving._budgets.has_retry("plain")

        run(scenario)

    def test_a_reserved_retry_is_kept_while_replicas_refuse_connections(self):
        async def scenario():
            scripts = [[["reset"]], None, None, None, None, [[OK]]]
            bench = Bench(route(Repeat.FREELY, replicas=3), scripts, budget=1.0)
            with logbook.TestHandler() as logged:
                client = bench.client()
                await asyncio.sleep(0.4)
            assert status(client) == 200
            budgets = bench.serving._budgets
            assert not budgets.has_retry("plain")
            budgets._window("plain").extra = 2.0
            assert budgets.has_retry("plain")
            unsent = [row for row in logged.records if row.message == "not sent"]
            assert unsent

        run(scenario)

    def test_an_error_of_a_replica_is_not_held_back_until_a_retry_is_available(self, monkeypatch):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[FAILED]], [[OK]]], budget=0.0)
            allow_retry_after(bench, monkeypatch, "plain", 0.5)
            client = bench.client(deadline_ms=1000)
            await asyncio.sleep(0.1)
            assert status(client) == 500

        run(scenario)

    def test_success_without_a_signature_is_rejected(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[reply()]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            # The request may have run, so it must not be reported as not run.
            assert status(client) == 502

        run(scenario)

    def test_response_to_another_request_is_not_forwarded(self):
        async def scenario():
            other = reply(b"not yours", ident=b"q0", extra=SIGNED)
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[other + OK]]])
            client = bench.client()
            await asyncio.sleep(0.2)
            assert status(client) == 200
            assert b"not yours" not in client.received
            assert client.received.endswith(b"ok")

        run(scenario)

    def test_leaving_replica_is_not_usable(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]], [[OK]]])
            gone = bench.state.replicas["s0"]
            bench.state.replicas["s0"] = Replica(
                gone.name, gone.service, gone.address, gone.hall, leaving=True
            )
            bench.state.change += 1
            assert [rep.name for rep in bench.fleet.usable("plain")] == ["s1"]

        run(scenario)

    def test_silent_replica_is_bounded_by_the_route_timeout(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1, timeout_s=0.5), [[[]]])
            client = bench.client(deadline_ms=5000)
            await asyncio.sleep(0.45)
            assert not client.received
            await asyncio.sleep(0.1)
            assert status(client) == 504

        run(scenario)

    def test_leaving_replica_receives_no_requests(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]], [[OK]]])
            gone = bench.state.replicas["s0"]
            bench.state.replicas["s0"] = Replica(
                gone.name, gone.service, gone.address, gone.hall, leaving=True
            )
            client = bench.client()
            await asyncio.sleep(0.1)
            assert status(client) == 200
            assert not bench.received("s0")

        run(scenario)

    def test_requests_are_still_sent_when_all_replicas_are_failing(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[OK]], [[OK]]])
            for name in ("s0", "s1"):
                for _ in range(5):
                    bench.fleet.health(name).note(True, bench.clock())
            client = bench.client()
            await asyncio.sleep(0.05)
            assert status(client) == 200

        run(scenario)

    def test_replica_connection_is_closed_when_the_caller_disconnects(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[]], [[]]])
            client = bench.client()
            await asyncio.sleep(0.1)
            client.transport.close()
            await asyncio.sleep(0.05)
            assert bench.servers["s0"][0].transport.closing

        run(scenario)

    @pytest.mark.parametrize(
        ("raw", "expected"),
        [(b"Host: nowhere\r\nX-Gradelug-Request-Id: q1\r\n", 404), (b"Host: h\r\n", 400)],
    )
    def test_missing_route_or_request_id_is_an_error(self, raw, expected):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]]])
            client = RawClient()
            join(client, bench.server.new_connection())
            client.transport.write(b"GET / HTTP/1.1\r\n" + raw + b"\r\n")
            await asyncio.sleep(0.05)
            assert status(client) == expected

        run(scenario)

    def test_request_without_a_configuration_is_refused_not_denied(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]]])
            bench.state.snapshot = None
            client = bench.client()
            await asyncio.sleep(0.05)
            assert status(client) == 503

        run(scenario)

    def test_shutting_down_instance_refuses_new_requests(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]]])
            bench.serving.shut_down(ShutdownSchedule(bench.clock(), math.inf, math.inf, math.inf))
            client = bench.client()
            await asyncio.sleep(0.05)
            assert status(client) == 503
            assert b"Retry-After: 0.05" in client.received
            assert not bench.received("s0")

        run(scenario)


HELD = (Holding(AdapterKey("m"), 1), Holding(KEY, 1))
ADAPTER = b"X-Gradelug-Model: m/a1\r\n"


class TestFirstConfiguration:
    """After a power failure of 195 instances, 550 requests were refused in the half second in which
    the instances read 1,640 routes, and exhausted their callers' retries."""

    @pytest.mark.parametrize(
        ("comes_in_s", "expected"), [(0.4, b"200"), (1.8, b"200"), (3.0, b"503")]
    )
    def test_request_waits_briefly_for_the_first_configuration(self, comes_in_s, expected):
        async def scenario():
            bench = Bench(route(Repeat.FREELY, timeout_s=8.0), [[[OK]]])
            snapshot, bench.state.snapshot = bench.state.snapshot, None
            bench.expects_config = True
            client = bench.client(8000)
            await asyncio.sleep(comes_in_s)
            assert bool(client.received) is (comes_in_s > FIRST_CONFIG_WAIT_S)
            bench.state.snapshot = snapshot
            await asyncio.sleep(0.2)
            assert client.received.startswith(b"HTTP/1.1 " + expected)

        run(scenario)

    def test_request_is_refused_at_once_if_the_store_does_not_respond(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[OK]]])
            bench.state.snapshot = None
            client = bench.client(8000)
            await asyncio.sleep(0.01)
            assert client.received.startswith(b"HTTP/1.1 503")

        run(scenario)


class TestStreams:
    def bench(self, scripts, repeat=Repeat.RESUME, replicas=2, **more):
        the_route = route(repeat, True, replicas, "llm", 10.0)
        return Bench(the_route, scripts, HELD, engine=True, **more)

    def test_events_and_end_of_stream_are_forwarded_immediately(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1)]]])
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.05)
            assert event(1) in client.received
            assert not client.received.endswith(END)
            bench.servers["s0"][0].transport.write(event(2) + END)
            await asyncio.sleep(0.05)
            assert client.received.endswith(END)
            assert b"X-Gradelug-Request-Priority: 0\r\n" in bench.received("s0")

        run(scenario)

    def test_request_that_would_be_late_gets_a_lower_priority(self):
        """Behind a queue of 50,000 tokens, a request and all later ones miss their targets."""

        async def scenario():
            for queued, urgency in ((0, b"0"), (100_000, b"9")):
                bench = self.bench([[[STREAM + event(1) + END]]])
                bench.fleet.load("s0").queued[0] = queued
                bench.client(8000, ADAPTER + b"X-Gradelug-Token-Usage: 1000,50\r\n")
                await asyncio.sleep(0.05)
                sent = bench.received("s0")
                assert b"X-Gradelug-Request-Priority: %b\r\n" % urgency in sent
                assert bench.fleet.load("s0").queued[9] == 0

        run(scenario)

    def test_planner_places_request_when_the_best_holder_would_be_late(self):
        async def scenario():
            bench = self.bench([[], [[STREAM + event(1) + END]]])
            for name in ("s0", "s1"):
                bench.fleet.load(name).queued[0] = 100_000
            bench.directory.has_planner = True
            bench.directory.answers = [bench.state.replicas["s1"]]
            bench.client(8000, ADAPTER + b"X-Gradelug-Token-Usage: 1000,50\r\n")
            await asyncio.sleep(0.05)
            assert [asked["wish"].work.prompt_tokens for asked in bench.directory.asked] == [1000]
            assert bench.received("s1")

        run(scenario)

    def test_planner_places_request_when_local_state_is_stale(self):
        """With 195 gateways the local state was 0.6 s old: requests were sent to engines that had
        unloaded their weights, and to those with the longest queues."""

        async def scenario():
            bench = self.bench([[], [[STREAM + event(1) + END]]])
            bench.directory.has_planner = bench.directory.planner_first = True
            bench.directory.answers = [bench.state.replicas["s1"]]
            bench.client(8000, ADAPTER)
            await asyncio.sleep(0.05)
            assert [asked["known"].name for asked in bench.directory.asked] == ["s0"]
            assert bench.received("s1")

        run(scenario)

    def test_broken_stream_resumes_after_its_last_event_at_another_replica(self):
        async def scenario():
            first = STREAM + event(1) + event(2) + chunk(b"id: 3\nda")
            bench = self.bench([[[first, "reset"]], [[STREAM + event(3) + event(4) + END]]])
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.3)
            assert b"Last-Event-Id: 2\r\n" in bench.received("s1")
            payload = bytes(client.received).partition(b"\r\n\r\n")[2]
            found = [payload.count(b"id: %d\n" % number) for number in (1, 2, 3, 4)]
            assert found == [1, 1, 1, 1]
            assert client.received.endswith(END)
            assert client.received.count(b"HTTP/1.1 200") == 1

        run(scenario)

    def test_broken_stream_is_placed_with_the_priority_of_a_started_stream(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1), "reset"]], [[STREAM + event(2) + END]]])
            s1 = bench.state.replicas["s1"]
            bench.state.replicas["s1"] = Replica(s1.name, s1.service, s1.address, s1.hall)
            bench.directory.answers = [bench.state.replicas["s1"]]
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.5)
            wish = bench.directory.asked[0]["wish"]
            assert wish.returning
            assert wish.until > bench.clock() + 1.0
            assert client.received.endswith(END)

        run(scenario)

    def test_silent_stream_resumes_elsewhere_and_closes_the_first_connection(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1)]], [[STREAM + event(2) + END]]])
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(2.0)
            assert client.received.endswith(END)
            assert bench.servers["s0"][0].transport.closing

        run(scenario)

    @pytest.mark.parametrize("pause_s", [1.5, 1.9])
    def test_slow_replica_is_awaited_when_no_retry_is_available(self, pause_s):
        """In a burst, attempts were abandoned after 1.2 s and failed because no retry was left."""

        async def scenario():
            script = [[STREAM, pause_s, event(1) + END]]
            bench = self.bench([script, [[STREAM + event(1) + END]]], budget=0.0)
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(pause_s + 0.3)
            assert client.received.endswith(event(1) + END)
            assert not bench.received("s1")

        run(scenario)

    # Each of many instances has a few retries only, and the next one was not awaited.
    @pytest.mark.parametrize(("retry_after_s", "is_served"), [(1.0, True), (6.0, False)])
    def test_a_begun_stream_is_cut_although_a_retry_is_available_soon(
        self, monkeypatch, retry_after_s, is_served
    ):
        async def scenario():
            bench = self.bench(
                [[[STREAM + event(1), "reset"]], [[STREAM + event(2) + END]]], budget=0.0
            )
            budgets = bench.serving._budgets
            monkeypatch.setattr(
                RetryBudgets,
                "seconds_to_retry",
                lambda self, service: max(0.0, available_at - bench.clock()),
            )
            available_at = bench.clock() + retry_after_s
            asyncio.get_running_loop().call_at(
                available_at, lambda: setattr(budgets._window("llm"), "extra", 1.0)
            )
            client = bench.client(9000, ADAPTER)
            await asyncio.sleep(0.2)
            assert client.ended is not is_served
            await asyncio.sleep(retry_after_s + 0.2)
            assert client.received.endswith(END) is is_served

        run(scenario)

    # A retry that comes after the caller has left is of no use: the caller can retry by itself.
    @pytest.mark.parametrize(("retry_after_s", "expected"), [(1.0, 200), (6.0, 502)])
    def test_a_stream_without_events_failed_although_a_retry_is_available_soon(
        self, monkeypatch, retry_after_s, expected
    ):
        async def scenario():
            bench = self.bench([[["reset"]], [[STREAM + event(1) + END]]], budget=0.0)
            allow_retry_after(bench, monkeypatch, "llm", retry_after_s)
            client = bench.client(9000, ADAPTER)
            await asyncio.sleep(0.2)
            assert client.received[9:12] == (b"502" if expected == 502 else b"")
            await asyncio.sleep(retry_after_s + 0.2)
            assert status(client) == expected

        run(scenario)

    # Most retries are used by requests that could be sent again by their callers.
    @pytest.mark.parametrize(
        "other", [pytest.param(ABSENT_ONCE, id="not run"), pytest.param("reset", id="no event")]
    )
    def test_the_only_retry_was_taken_from_a_begun_stream(self, monkeypatch, other):
        async def scenario():
            bench = self.bench([[], [[STREAM + event(2) + END]]], budget=0.0)
            bench.script_sends("s0", [STREAM + event(1), 0.05, "reset"], [other])
            # Both look for a retry every 50 ms, the stream that has begun some milliseconds later.
            allow_retry_after(bench, monkeypatch, "llm", 0.155)
            begun = bench.client(9000, ADAPTER)
            await asyncio.sleep(0.03)
            rival = bench.client(9000, ADAPTER)
            await asyncio.sleep(0.6)
            assert begun.received.endswith(END)
            await asyncio.sleep(3.0)
            assert status(rival) in (502, 503)

        run(scenario)

    def test_nonresumable_stream_is_aborted_without_its_end_marker(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1), "reset"]], [[STREAM + END]]], Repeat.NEVER)
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.3)
            assert client.ended
            assert not client.received.endswith(END)
            assert not bench.received("s1")

        run(scenario)

    def test_stream_with_a_missing_event_is_aborted(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1) + event(3) + END]]], Repeat.NEVER, 1)
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.3)
            assert b"id: 3" not in client.received
            assert not client.received.endswith(END)

        run(scenario)

    def test_absent_weights_are_reported_to_the_planner(self):
        async def scenario():
            bench = self.bench([[]], Repeat.NEVER, 1)
            bench.script_sends("s0", [ABSENT], [STREAM + event(1) + END])
            bench.directory.answers = [bench.state.replicas["s0"]]
            client = bench.client(8000, ADAPTER)
            await asyncio.sleep(0.3)
            assert bench.directory.asked[0]["absent"] == "s0"
            assert client.received.endswith(END)

        run(scenario)

    def test_request_is_refused_as_not_run_before_the_deadline_if_weights_never_load(self):
        async def scenario():
            bench = self.bench([[[STREAM]]])
            client = bench.client(9000, b"X-Gradelug-Model: m/a2\r\n")
            await asyncio.sleep(3.2)
            assert status(client) == 503
            assert b"Retry-After: " in client.received
            assert not bench.received("s0")

        run(scenario)

    def test_required_version_is_requested_and_older_holders_are_skipped(self):
        async def scenario():
            bench = self.bench([[[STREAM + event(1) + END]]])
            bench.state.versions[KEY] = 2
            bench.directory.answers = [bench.state.replicas["s0"]]
            bench.client(8000, ADAPTER)
            await asyncio.sleep(0.2)
            assert len(bench.directory.asked) == 1
            assert b"X-Gradelug-Expect-Version: 2\r\n" in bench.received("s0")

        run(scenario)
