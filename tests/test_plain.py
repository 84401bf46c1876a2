"""Plain services behind many gateways: shares, full replicas and the queue for capacity."""

import asyncio
import heapq
import itertools
import random
from collections import Counter
from types import SimpleNamespace

import pytest
from gradelug_gateway.health import SharedVerdict
from gradelug_gateway.model import Repeat
from gradelug_policy.outcomes import OutcomeCounts, Source
from gradelug_policy.plain import PlainShares, PlainView, replica_weights
from gradelug_policy.verdicts import OutlierDetector, ReplicaHealth
from test_serving import FULL, MISDIRECTED, OK, Bench, route, run, status

GATEWAYS = 85
SLOTS = 6
QUEUE_CAPACITY = 4
SERVICE_S = 0.072
REQUESTS_PER_S = 134.0
TARGET_S = 0.2
GATHER_INTERVAL_S = 0.2
PROPAGATION_INTERVAL_S = 0.24
REPLICAS = ("p0", "p1", "p2")
HALLS = {"p0": "a", "p1": "b", "p2": "c"}
SOURCES = [Source(f"g{n}", "aabbc"[n % 5]) for n in range(GATEWAYS)]
REMOTE_HALL_COST = 0.3


class LeastOwnRequests:
    """Chooses the replica with the fewest own requests, preferring the local hall."""

    def choose(self, simulation, gateway, now):
        hall = SOURCES[gateway].hall
        own = simulation.own[gateway]
        return min(REPLICAS, key=lambda rep: own[rep] + REMOTE_HALL_COST * (HALLS[rep] != hall))


class LeastReportedRequests:
    """Chooses the replica with the fewest requests of all gateways, as last propagated."""

    def choose(self, simulation, gateway, now):
        others = {
            rep: simulation.reported[rep] - simulation.reporting[gateway][rep] for rep in REPLICAS
        }
        return min(REPLICAS, key=lambda rep: others[rep] + simulation.own[gateway][rep])


class BestOfTwoReported(LeastReportedRequests):
    """Chooses the better of two random replicas by the propagated counts."""

    def choose(self, simulation, gateway, now):
        drawn = simulation.rng.sample(REPLICAS, 2)
        others = {
            rep: simulation.reported[rep] - simulation.reporting[gateway][rep] for rep in drawn
        }
        return min(drawn, key=lambda rep: others[rep] + simulation.own[gateway][rep])


class PooledShares:
    """Chooses by shares from the pooled response times, as the gateway does."""

    def __init__(self):
        self.shares = [PlainShares(random.Random(n)) for n in range(GATEWAYS)]

    def choose(self, simulation, gateway, now):
        hall = SOURCES[gateway].hall
        allowed = []
        for rep in REPLICAS:
            found = simulation.found.get(rep, ReplicaHealth(rep))
            if found.prober == SOURCES[gateway].name:
                return rep
            if simulation.rng.random() >= found.diverted_fraction:
                allowed.append(found)
        allowed = allowed or [simulation.found.get(rep, ReplicaHealth(rep)) for rep in REPLICAS]
        views = [
            PlainView(
                found.replica,
                found.mean_time_s,
                found.failing,
                simulation.own[gateway][found.replica],
                HALLS[found.replica] == hall,
            )
            for found in allowed
        ]
        return self.shares[gateway].choose(views)


class Simulation:
    """Replicas with slots and a short queue, random requests and delayed propagation."""

    def __init__(self, strategy, per_s=REQUESTS_PER_S, slow=(), failing=(), until=40.0, seed=1):
        self.rng = random.Random(seed)
        self.strategy, self.per_s, self.slow, self.failing = (
            strategy,
            per_s,
            dict(slow),
            dict(failing),
        )
        self.own = [Counter() for _ in range(GATEWAYS)]
        self.reporting = [Counter() for _ in range(GATEWAYS)]
        self.reported = Counter()
        self.found = {}
        self.pool = OutlierDetector()
        self.ended = [{} for _ in range(GATEWAYS)]
        self.running, self.queued = Counter(), {rep: [] for rep in REPLICAS}
        self.sent, self.full, self.failed, self.late = Counter(), 0, 0, 0
        self.took = []
        self.ejected = set()
        self._events, self._numbers = [], itertools.count()
        self._at(0.0, self._arrive)
        self._at(PROPAGATION_INTERVAL_S, self._propagate)
        for gateway in range(GATEWAYS):
            self._at(self.rng.random() * GATHER_INTERVAL_S, self._gather, gateway)
        while self._events[0][0] < until:
            now, _, act, args = heapq.heappop(self._events)
            act(now, *args)

    def _at(self, at, act, *args):
        heapq.heappush(self._events, (at, next(self._numbers), act, args))

    def _arrive(self, now):
        self._at(now + self.rng.expovariate(self.per_s), self._arrive)
        gateway = self.rng.randrange(GATEWAYS)
        rep = self.strategy.choose(self, gateway, now)
        self.sent[rep] += 1
        if self.rng.random() < self.failing.get(rep, 0.0):
            self.failed += 1
            self._note(gateway, rep, bad=1)
        elif self.running[rep] < SLOTS:
            self.own[gateway][rep] += 1
            self._start(now, rep, gateway, now)
        elif len(self.queued[rep]) < QUEUE_CAPACITY:
            self.own[gateway][rep] += 1
            self.queued[rep].append((gateway, now))
        else:
            self.full += 1
            self._note(gateway, rep, full=1)

    def _start(self, now, rep, gateway, sent_at):
        self.running[rep] += 1
        took_s = SERVICE_S * (0.5 + 0.5 * self.rng.expovariate(1.0)) * self.slow.get(rep, 1.0)
        self._at(now + took_s, self._end, rep, gateway, sent_at)

    def _end(self, now, rep, gateway, sent_at):
        self.running[rep] -= 1
        self.own[gateway][rep] -= 1
        self.late += now - sent_at > TARGET_S
        self.took.append(now - sent_at)
        self._note(gateway, rep, good=1, took_s=now - sent_at)
        if self.queued[rep]:
            self._start(now, rep, *self.queued[rep].pop(0))

    def _note(self, gateway, rep, good=0, bad=0, took_s=0.0, full=0):
        previous = self.ended[gateway].get(rep, OutcomeCounts(0, 0))
        self.ended[gateway][rep] = OutcomeCounts(
            previous.good + good, previous.bad + bad, previous.took_s + took_s, previous.full + full
        )

    def _gather(self, now, gateway):
        self.reporting[gateway] = Counter(self.own[gateway])
        for rep, ended in self.ended[gateway].items():
            self.pool.note(rep, SOURCES[gateway], ended, now)
        self.ended[gateway].clear()
        self._at(now + GATHER_INTERVAL_S, self._gather, gateway)

    def _propagate(self, now):
        self.reported = sum(self.reporting, Counter())
        members = {"plain": REPLICAS}
        changes = self.pool.step(members, GATHER_INTERVAL_S, now)
        self.ejected |= {change.replica for change in changes if change.ejected}
        self.found = {found.replica: found for found in self.pool.health_of_replicas(members, now)}
        self._at(now + PROPAGATION_INTERVAL_S, self._propagate)

    @property
    def spread(self):
        """Largest deviation of a replica's requests from the mean, as a fraction of the mean."""
        mean = sum(self.sent.values()) / len(REPLICAS)
        return max(abs(self.sent[rep] - mean) for rep in REPLICAS) / mean

    def fraction(self, count):
        return count / sum(self.sent.values())


class TestShares:
    """85 gateways in front of three replicas of six slots, 54% busy."""

    @pytest.mark.parametrize("seed", range(3))
    def test_healthy_replicas_receive_equal_shares(self, seed):
        """By its own requests alone a gateway sends nearly all of them to its own hall."""
        assert Simulation(LeastOwnRequests(), seed=seed).spread > 0.3
        simulation = Simulation(PooledShares(), seed=seed)
        assert simulation.spread < 0.15
        assert not simulation.ejected

    @pytest.mark.parametrize("seed", range(3))
    def test_reported_request_counts_send_all_gateways_to_the_same_replica(self, seed):
        shares, reported, two = (
            Simulation(strategy, seed=seed)
            for strategy in (PooledShares(), LeastReportedRequests(), BestOfTwoReported())
        )
        assert shares.fraction(shares.full) < 0.01
        assert reported.fraction(reported.full) > 0.1
        assert two.fraction(two.full) > 0.02

    @pytest.mark.parametrize("seed", range(3))
    def test_slow_replica_receives_a_share_that_it_can_serve(self, seed):
        own = Simulation(LeastOwnRequests(), slow={"p1": 4.0}, seed=seed)
        simulation = Simulation(PooledShares(), slow={"p1": 4.0}, seed=seed)
        assert simulation.fraction(simulation.full) < 0.04 < own.fraction(own.full)
        assert simulation.fraction(simulation.late) < 0.7 * own.fraction(own.late)

    @pytest.mark.parametrize("seed", range(3))
    def test_replica_that_fails_nearly_half_of_requests_is_ejected(self, seed):
        own = Simulation(LeastOwnRequests(), failing={"p0": 0.45}, seed=seed)
        simulation = Simulation(PooledShares(), failing={"p0": 0.45}, seed=seed)
        assert simulation.ejected == {"p0"}
        assert simulation.failed < 0.15 * own.failed

    @pytest.mark.parametrize("seed", range(3))
    def test_no_replica_is_ejected_if_all_are_failing(self, seed):
        simulation = Simulation(PooledShares(), failing=dict.fromkeys(REPLICAS, 0.45), seed=seed)
        assert not simulation.ejected
        assert simulation.spread < 0.15

    @pytest.mark.parametrize("seed", range(3))
    def test_burst_is_balanced_evenly(self, seed):
        simulation = Simulation(PooledShares(), per_s=1.5 * REQUESTS_PER_S, seed=seed)
        own = Simulation(LeastOwnRequests(), per_s=1.5 * REQUESTS_PER_S, seed=seed)
        assert simulation.spread < 0.15
        assert simulation.full < 0.6 * own.full

    def test_replica_that_falsely_reports_full_receives_less(self):
        pool = OutlierDetector()
        for step in range(20):
            now = step * PROPAGATION_INTERVAL_S
            for rep in REPLICAS:
                full = 3 if rep == "p0" else 0
                pool.note(rep, SOURCES[0], OutcomeCounts(7, 0, 7 * SERVICE_S, full), now)
            pool.step({"plain": REPLICAS}, GATHER_INTERVAL_S, now)
        found = {f.replica: f for f in pool.health_of_replicas({"plain": REPLICAS}, now)}
        views = [PlainView(rep, found[rep].mean_time_s, 0.0, 0, False) for rep in REPLICAS]
        assert replica_weights(views)[0] < 0.7 * replica_weights(views)[1]

    def test_shares_sum_to_one_and_are_never_zero(self):
        views = [PlainView("a", 0.0, 1.0, 0, True), PlainView("b", 0.1, 0.0, 9, False)]
        weights = replica_weights(views)
        assert sum(weights) == pytest.approx(1.0)
        assert min(weights) > 0.02


class TestWaitingForCapacity:
    def test_request_refused_by_a_full_replica_is_retried_after_a_delay(self):
        """956 requests per day were refused because their route's only replica was full."""

        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[], [[OK]]])
            bench.script_sends("s0", [FULL], [OK])
            client = bench.client()
            await asyncio.sleep(0.1)
            assert status(client) == 200
            assert not bench.received("s1")

        run(scenario)

    def test_without_shared_health_a_request_is_refused_at_once(self):
        async def scenario():
            bench = Bench(
                route(Repeat.NEVER, replicas=1), [[[FULL], [OK]], [[OK]]], uses_shared_health=False
            )
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_without_shared_health_the_local_hall_is_preferred(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 9, [[OK]] * 9], uses_shared_health=False)
            for _ in range(8):
                client = bench.client()
                await asyncio.sleep(0.1)
                assert status(client) == 200
            assert not bench.received("s1")

        run(scenario)

    def test_request_waits_at_most_half_of_its_target_time(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 20])
            client = bench.client()
            await asyncio.sleep(0.11)
            assert status(client) == 503
            assert 2 <= bench.received("s0").count(b"POST ") <= 6

        run(scenario)

    def test_request_that_would_be_late_behind_the_queue_is_refused_at_once(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 20], budget=100.0)
            clients = [bench.client() for _ in range(12)]
            await asyncio.sleep(0.01)
            refused = [client for client in clients if client.received]
            assert 5 <= len(refused) < 12
            assert {status(client) for client in refused} == {503}
            await asyncio.sleep(0.1)
            assert all(status(client) == 503 for client in clients)

        run(scenario)

    def test_request_does_not_wait_without_a_retry(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL], [OK]]], budget=0.0)
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_request_is_sent_to_another_replica_before_it_waits(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[FULL], [OK]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.005)
            assert status(client) == 200
            assert bench.received("s1")

        run(scenario)

    @pytest.mark.parametrize(("gone", "excluded"), [("", {"s0"}), ("s1", set())])
    def test_request_is_sent_to_another_full_replica_only_if_its_own_is_gone(self, gone, excluded):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=2), [[[OK]], [[OK]]])
            replicas = dict(bench.state.replicas)
            bench.state.replicas.pop(gone, None)
            job = SimpleNamespace(
                service=bench.state.snapshot.services["plain"],
                excluded=set(replicas),
                candidates=lambda: set(replicas),
                accepts=lambda replica: True,
            )
            bench.serving._plain_placer.allow_again(job, replicas["s1"])
            assert job.excluded == excluded

        run(scenario)

    def test_request_does_not_wait_after_a_misdirected_response(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[MISDIRECTED], [OK]]])
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_disconnected_caller_is_removed_from_the_queue(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 20])
            client = bench.client()
            await asyncio.sleep(0.005)
            client.transport.abort()
            await asyncio.sleep(0.2)
            assert not bench.serving._plain_placer._queues["plain"]._waiting
            assert bench.fleet.load("s0").starting == 0

        run(scenario)


class TestSharedFindings:
    def test_ejected_replica_receives_only_a_probe_from_the_designated_gateway(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[OK]] * 20, [[OK]] * 20])
            findings = bench.fleet.health("s0").shared_verdicts
            findings[""] = SharedVerdict(0.5, 1.0, 0.0, False, bench.clock() + 3.0)
            for _ in range(5):
                bench.client()
                await asyncio.sleep(0.05)
            assert not bench.received("s0")
            findings[""] = SharedVerdict(0.5, 1.0, 0.0, True, bench.clock() + 3.0)
            for _ in range(3):
                bench.client()
            await asyncio.sleep(0.05)
            assert bench.received("s0").count(b"POST ") == 1

        run(scenario)

    def test_nonrepeatable_request_is_not_used_as_a_probe(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 20, [[OK]] * 20])
            findings = bench.fleet.health("s0").shared_verdicts
            findings[""] = SharedVerdict(0.5, 1.0, 0.0, True, bench.clock() + 3.0)
            bench.client()
            await asyncio.sleep(0.05)
            assert not bench.received("s0")

        run(scenario)

    def test_findings_expire(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 20, [[OK]] * 20])
            bench.fleet.health("s0").shared_verdicts[""] = SharedVerdict(
                0.5, 1.0, 0.0, False, bench.clock() + 3.0
            )
            await asyncio.sleep(3.1)
            for _ in range(4):
                bench.client()
                await asyncio.sleep(0.05)
            assert bench.received("s0")

        run(scenario)

    def test_silent_replica_is_recorded_when_the_deadline_passes(self):
        """A hanging replica was never recorded if its requests were not repeatable."""

        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[]]])
            bench.client(deadline_ms=900)
            await asyncio.sleep(1.0)
            assert bench.fleet.health("s0").tally.broken == 1

        run(scenario)

    def test_early_disconnect_is_not_recorded_against_the_replica(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[]]])
            client = bench.client()
            await asyncio.sleep(0.1)
            client.transport.abort()
            await asyncio.sleep(0.1)
            assert bench.fleet.health("s0").tally.count == 0

        run(scenario)
