"""Plain services before many gateways: shares, full replicas, and requests that wait for room."""

import asyncio
import heapq
import itertools
import random
from collections import Counter

import pytest
from gradelug_gateway.health import ToldFinding
from gradelug_gateway.model import Repeat
from gradelug_policy.outcomes import Ended, Source
from gradelug_policy.plain import PlainShares, PlainView, weigh
from gradelug_policy.verdicts import Finding, VerdictPool
from test_serving import ELSEWHERE, FULL, OK, Bench, route, run, status

GATEWAYS = 85
SLOTS = 6
QUEUE = 4
SERVICE_S = 0.072
PER_S = 134.0
TARGET_S = 0.2
GATHER_S = 0.2
NEWS_S = 0.24
REPLICAS = ("p0", "p1", "p2")
HALLS = {"p0": "a", "p1": "b", "p2": "c"}
SOURCES = [Source(f"g{n}", "aabbc"[n % 5]) for n in range(GATEWAYS)]
HALL_COST = 0.3


class OwnLeast:
    """The replica with fewest requests of the gateway's own; a nearer one among equals."""

    def choose(self, world, gateway, now):
        hall = SOURCES[gateway].hall
        own = world.own[gateway]
        return min(REPLICAS, key=lambda rep: own[rep] + HALL_COST * (HALLS[rep] != hall))


class ToldLeast:
    """The replica with fewest requests of all, as told with the news."""

    def choose(self, world, gateway, now):
        others = {rep: world.told[rep] - world.telling[gateway][rep] for rep in REPLICAS}
        return min(REPLICAS, key=lambda rep: others[rep] + world.own[gateway][rep])


class ToldTwo(ToldLeast):
    """The better one, by the same counts, of two that are drawn."""

    def choose(self, world, gateway, now):
        drawn = world.rng.sample(REPLICAS, 2)
        others = {rep: world.told[rep] - world.telling[gateway][rep] for rep in drawn}
        return min(drawn, key=lambda rep: others[rep] + world.own[gateway][rep])


class Shares:
    """Shares by the pooled time of answers, as it is built."""

    def __init__(self):
        self.shares = [PlainShares(random.Random(n)) for n in range(GATEWAYS)]

    def choose(self, world, gateway, now):
        hall = SOURCES[gateway].hall
        allowed = []
        for rep in REPLICAS:
            found = world.found.get(rep, Finding(rep))
            if found.prober == SOURCES[gateway].name:
                return rep
            if world.rng.random() >= found.held_back:
                allowed.append(found)
        allowed = allowed or [world.found.get(rep, Finding(rep)) for rep in REPLICAS]
        views = [
            PlainView(
                found.replica,
                found.took_s,
                found.failing,
                world.own[gateway][found.replica],
                HALLS[found.replica] == hall,
            )
            for found in allowed
        ]
        return self.shares[gateway].choose(views)


class World:
    """Replicas with slots and a short queue; requests by chance; news that lag."""

    def __init__(self, way, per_s=PER_S, slow=(), failing=(), until=40.0, seed=1):
        self.rng = random.Random(seed)
        self.way, self.per_s, self.slow, self.failing = way, per_s, dict(slow), dict(failing)
        self.own = [Counter() for _ in range(GATEWAYS)]
        self.telling = [Counter() for _ in range(GATEWAYS)]
        self.told = Counter()
        self.found = {}
        self.pool = VerdictPool()
        self.ended = [{} for _ in range(GATEWAYS)]
        self.running, self.queued = Counter(), {rep: [] for rep in REPLICAS}
        self.sent, self.full, self.failed, self.late = Counter(), 0, 0, 0
        self.took = []
        self.ejected = set()
        self._events, self._numbers = [], itertools.count()
        self._at(0.0, self._arrive)
        self._at(NEWS_S, self._tell)
        for gateway in range(GATEWAYS):
            self._at(self.rng.random() * GATHER_S, self._gather, gateway)
        while self._events[0][0] < until:
            now, _, act, args = heapq.heappop(self._events)
            act(now, *args)

    def _at(self, at, act, *args):
        heapq.heappush(self._events, (at, next(self._numbers), act, args))

    def _arrive(self, now):
        self._at(now + self.rng.expovariate(self.per_s), self._arrive)
        gateway = self.rng.randrange(GATEWAYS)
        rep = self.way.choose(self, gateway, now)
        self.sent[rep] += 1
        if self.rng.random() < self.failing.get(rep, 0.0):
            self.failed += 1
            self._note(gateway, rep, bad=1)
        elif self.running[rep] < SLOTS:
            self.own[gateway][rep] += 1
            self._start(now, rep, gateway, now)
        elif len(self.queued[rep]) < QUEUE:
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
        seen = self.ended[gateway].get(rep, Ended(0, 0))
        self.ended[gateway][rep] = Ended(
            seen.good + good, seen.bad + bad, seen.took_s + took_s, seen.full + full
        )

    def _gather(self, now, gateway):
        self.telling[gateway] = Counter(self.own[gateway])
        for rep, ended in self.ended[gateway].items():
            self.pool.note(rep, SOURCES[gateway], ended, now)
        self.ended[gateway].clear()
        self._at(now + GATHER_S, self._gather, gateway)

    def _tell(self, now):
        self.told = sum(self.telling, Counter())
        members = {"plain": REPLICAS}
        changes = self.pool.step(members, GATHER_S, now)
        self.ejected |= {change.replica for change in changes if change.ejected}
        self.found = {found.replica: found for found in self.pool.findings(members, now)}
        self._at(now + NEWS_S, self._tell)

    @property
    def spread(self):
        """How far the replica that is furthest from the mean is from it, as a part of it."""
        mean = sum(self.sent.values()) / len(REPLICAS)
        return max(abs(self.sent[rep] - mean) for rep in REPLICAS) / mean

    def part(self, count):
        return count / sum(self.sent.values())


class TestShares:
    """85 gateways before three replicas of six slots, 54% busy."""

    @pytest.mark.parametrize("seed", range(3))
    def test_while_all_are_well_each_gets_the_same(self, seed):
        """By its own requests alone a gateway sends nearly all of them to its own hall."""
        assert World(OwnLeast(), seed=seed).spread > 0.3
        world = World(Shares(), seed=seed)
        assert world.spread < 0.15
        assert not world.ejected

    @pytest.mark.parametrize("seed", range(3))
    def test_what_is_told_of_requests_under_way_sends_all_the_same_way(self, seed):
        shares, told, two = (World(way, seed=seed) for way in (Shares(), ToldLeast(), ToldTwo()))
        assert shares.part(shares.full) < 0.01
        assert told.part(told.full) > 0.1
        assert two.part(two.full) > 0.02

    @pytest.mark.parametrize("seed", range(3))
    def test_one_that_is_four_times_as_slow_gets_what_it_can_answer(self, seed):
        own = World(OwnLeast(), slow={"p1": 4.0}, seed=seed)
        world = World(Shares(), slow={"p1": 4.0}, seed=seed)
        assert world.part(world.full) < 0.04 < own.part(own.full)
        assert world.part(world.late) < 0.7 * own.part(own.late)

    @pytest.mark.parametrize("seed", range(3))
    def test_one_that_fails_nearly_half_and_says_that_it_is_well_is_left_alone(self, seed):
        own = World(OwnLeast(), failing={"p0": 0.45}, seed=seed)
        world = World(Shares(), failing={"p0": 0.45}, seed=seed)
        assert world.ejected == {"p0"}
        assert world.failed < 0.15 * own.failed

    @pytest.mark.parametrize("seed", range(3))
    def test_where_all_fail_all_are_used(self, seed):
        world = World(Shares(), failing=dict.fromkeys(REPLICAS, 0.45), seed=seed)
        assert not world.ejected
        assert world.spread < 0.15

    @pytest.mark.parametrize("seed", range(3))
    def test_a_burst_is_spread_as_evenly(self, seed):
        world = World(Shares(), per_s=1.5 * PER_S, seed=seed)
        own = World(OwnLeast(), per_s=1.5 * PER_S, seed=seed)
        assert world.spread < 0.15
        assert world.full < 0.6 * own.full

    def test_one_that_says_it_is_full_while_it_is_not_gets_less(self):
        pool = VerdictPool()
        for step in range(20):
            now = step * NEWS_S
            for rep in REPLICAS:
                full = 3 if rep == "p0" else 0
                pool.note(rep, SOURCES[0], Ended(7, 0, 7 * SERVICE_S, full), now)
            pool.step({"plain": REPLICAS}, GATHER_S, now)
        found = {f.replica: f for f in pool.findings({"plain": REPLICAS}, now)}
        views = [PlainView(rep, found[rep].took_s, 0.0, 0, False) for rep in REPLICAS]
        assert weigh(views)[0] < 0.7 * weigh(views)[1]

    def test_shares_add_up_and_nobody_is_given_up(self):
        views = [PlainView("a", 0.0, 1.0, 0, True), PlainView("b", 0.1, 0.0, 9, False)]
        weights = weigh(views)
        assert sum(weights) == pytest.approx(1.0)
        assert min(weights) > 0.02


class TestWaitingForRoom:
    def test_what_has_no_room_is_sent_again_when_there_may_be_some(self):
        """956 requests of a day were refused since the one replica of their route was full."""

        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL], [OK]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.1)
            assert status(client) == 200
            assert not bench.received("s1")

        run(scenario)

    def test_switched_off_it_is_refused_at_once(self):
        async def scenario():
            bench = Bench(
                route(Repeat.NEVER, replicas=1), [[[FULL], [OK]], [[OK]]], uses_shared_health=False
            )
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_switched_off_the_own_hall_gets_what_it_can_take(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 9, [[OK]] * 9], uses_shared_health=False)
            for _ in range(8):
                client = bench.client()
                await asyncio.sleep(0.1)
                assert status(client) == 200
            assert not bench.received("s1")

        run(scenario)

    def test_it_waits_no_longer_than_half_of_its_target(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 20])
            client = bench.client()
            await asyncio.sleep(0.11)
            assert status(client) == 503
            assert 2 <= bench.received("s0").count(b"POST ") <= 6

        run(scenario)

    def test_who_would_come_too_late_behind_the_others_is_refused_at_once(self):
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

    def test_it_waits_only_where_it_may_be_sent_again(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL], [OK]]], budget=0.0)
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_a_request_goes_to_another_replica_before_it_waits(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[FULL], [OK]], [[OK]]])
            client = bench.client()
            await asyncio.sleep(0.005)
            assert status(client) == 200
            assert bench.received("s1")

        run(scenario)

    def test_another_replica_at_the_address_is_not_waited_for(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[ELSEWHERE], [OK]]])
            client = bench.client()
            await asyncio.sleep(0.01)
            assert status(client) == 503

        run(scenario)

    def test_a_caller_that_leaves_while_it_waits_leaves_nothing_behind(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[FULL]] * 20])
            client = bench.client()
            await asyncio.sleep(0.005)
            client.transport.abort()
            await asyncio.sleep(0.2)
            assert not bench.serving._plain_placer._queues["plain"]._waiting
            assert bench.fleet.load("s0").starting == 0

        run(scenario)


class TestToldFindings:
    def test_an_ejected_replica_gets_nothing_and_a_probe_from_who_may_send_one(self):
        async def scenario():
            bench = Bench(route(Repeat.FREELY), [[[OK]] * 20, [[OK]] * 20])
            told = bench.fleet.health("s0").told
            told[""] = ToldFinding(0.5, 1.0, 0.0, False, bench.clock() + 3.0)
            for _ in range(5):
                bench.client()
                await asyncio.sleep(0.05)
            assert not bench.received("s0")
            told[""] = ToldFinding(0.5, 1.0, 0.0, True, bench.clock() + 3.0)
            for _ in range(3):
                bench.client()
            await asyncio.sleep(0.05)
            assert bench.received("s0").count(b"POST ") == 1

        run(scenario)

    def test_what_may_run_once_only_is_no_probe(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 20, [[OK]] * 20])
            told = bench.fleet.health("s0").told
            told[""] = ToldFinding(0.5, 1.0, 0.0, True, bench.clock() + 3.0)
            bench.client()
            await asyncio.sleep(0.05)
            assert not bench.received("s0")

        run(scenario)

    def test_findings_age_out(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER), [[[OK]] * 20, [[OK]] * 20])
            bench.fleet.health("s0").told[""] = ToldFinding(
                0.5, 1.0, 0.0, False, bench.clock() + 3.0
            )
            await asyncio.sleep(3.1)
            for _ in range(4):
                bench.client()
                await asyncio.sleep(0.05)
            assert bench.received("s0")

        run(scenario)

    def test_a_replica_that_does_not_answer_is_noted_also_when_its_caller_gives_up(self):
        """A replica that hangs was never noted for requests that may run once only."""

        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[]]])
            bench.client(deadline_ms=900)
            await asyncio.sleep(1.0)
            assert bench.fleet.health("s0").tally.broken == 1

        run(scenario)

    def test_a_caller_that_leaves_soon_says_nothing_of_the_replica(self):
        async def scenario():
            bench = Bench(route(Repeat.NEVER, replicas=1), [[[]]])
            client = bench.client()
            await asyncio.sleep(0.1)
            client.transport.abort()
            await asyncio.sleep(0.1)
            assert bench.fleet.health("s0").tally.count == 0

        run(scenario)
