"""Reports of request outcomes from gateways to a planner, and its verdicts back to all of them."""

import asyncio
import random

import pytest
from gradelug_gateway.engines import Engine, Phase, WeightSlot
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.followers import Followers
from gradelug_gateway.model import (
    AdapterKey,
    EngineSpec,
    FleetState,
    Replica,
    Service,
    Snapshot,
)
from gradelug_gateway.planner import Planner
from gradelug_gateway.settings import Feature
from gradelug_gateway.shared_health import (
    EJECTED_COST_S,
    RESEND_INTERVAL_S,
    SUSPECT_COST_S,
    VERDICT_TTL_S,
    HealthAggregator,
    OutcomeReporter,
)
from gradelug_http import ServerLimits
from gradelug_policy.residency import LoadRateLimiter
from gradelug_wire import placement_pb2 as pb
from test_planner import ModelTransport, run

SPEC = EngineSpec((), 1000.0, 6, 96, 1000, 2.0)
NEWS_S = 0.24
HALLS = ("a", "b", "c")


def new_state(engines=4, plain=3):
    state = FleetState()
    services = {
        "llm": Service("llm", 10, SPEC),
        "other": Service("other", 10, SPEC),
        "plain": Service("plain", 10),
    }
    state.snapshot = Snapshot(1, (), services, ServerLimits())
    for number in range(engines):
        state.replicas[f"e{number}"] = Replica(f"e{number}", "llm", f"10.0.0.{number}:1", "a")
        state.replicas[f"o{number}"] = Replica(f"o{number}", "other", f"10.0.1.{number}:1", "a")
    for number in range(plain):
        state.replicas[f"p{number}"] = Replica(f"p{number}", "plain", f"10.0.2.{number}:1", "a")
    return state


class Gateway:
    """A gateway's connection to the planner of one service."""

    def __init__(self, state, name, hall, clock, service="llm", home="llm"):
        self.name, self.hall = name, hall
        self.fleet = Fleet(state, hall, clock)
        self.part = OutcomeReporter(service, name, self.fleet, clock, lambda: home == service)

    def message(self):
        message = pb.FromGateway()
        self.part.fill(message)
        return message


class Connections:
    """Gateways connected directly to a planner's health aggregation, without a network."""

    def __init__(self, gateways=9, service="llm", state=None):
        self.now = 0.0
        self.state = state or new_state()
        self.desk = HealthAggregator(service, self.state, {}, lambda: 0.2)
        followers = self.all_followers = Followers({}, self.clock)
        self.gateways = [
            Gateway(self.state, f"g{number}", HALLS[number % 3], self.clock, service)
            for number in range(gateways)
        ]
        self.followers = [followers.join(gateway.name, "") for gateway in self.gateways]
        for gateway, follower in zip(self.gateways, self.followers, strict=True):
            follower.hall = gateway.hall

    def clock(self):
        return self.now

    def step(self):
        """Exchange one round of messages; return the planner's message."""
        self.now += NEWS_S
        for gateway, follower in zip(self.gateways, self.followers, strict=True):
            self.desk.take(follower, gateway.message(), self.now)
        news = pb.FromPlanner()
        self.desk.fill(news, self.now)
        for gateway in self.gateways:
            gateway.part.take(news)
        return news

    def fail(self, replica, steps=6):
        """Let requests of all gateways fail at a replica until it is ejected."""
        for _ in range(steps):
            for gateway in self.gateways:
                gateway.fleet.health(replica).note(True, self.now)
            self.step()


class TestEndsTeller:
    def test_outcomes_are_reported_once_to_the_planner_of_their_service(self):
        state = new_state()
        gateway = Gateway(state, "g", "a", lambda: 1.0)
        for name in ("e0", "o0", "p0", "gone"):
            health = gateway.fleet.health(name)
            health.note(False, 1.0, took_s=0.25)
            health.note(True, 1.0)
            health.note_broken(1.0)
            health.note_full(1.0)
        by_name = {ends.replica: ends for ends in gateway.message().ends}
        assert sorted(by_name) == ["e0", "p0"]
        ends = by_name["e0"]
        assert (ends.served, ends.failed, ends.broken, ends.full) == (1, 1, 1, 1)
        assert ends.took_ms == 250
        assert not gateway.message().ends

    def test_services_without_engines_are_reported_to_the_coordinating_planner_only(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0, "other", "llm")
        for name in ("o0", "p0"):
            gateway.fleet.health(name).note(True, 1.0)
        assert [ends.replica for ends in gateway.message().ends] == ["o0"]

    def test_unsent_outcomes_are_dropped_on_reconnect(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.fleet.health("e0").note(True, 1.0)
        gateway.part.begin_stream()
        assert not gateway.message().ends

    def test_a_verdict_for_another_hall_is_ignored(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        for hall, held_back in (("b", 1.0), ("a", 0.5)):
            verdict = pb.Verdict(replica="e0", hall=hall, held_back=held_back)
            gateway.part.take(pb.FromPlanner(verdicts=[verdict]))
        assert gateway.fleet.health("e0").held_back(1.0) == 0.5

    def test_verdicts_expire_without_a_planner(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.part.take(pb.FromPlanner(verdicts=[pb.Verdict(replica="e0", held_back=1.0)]))
        health = gateway.fleet.health("e0")
        assert health.held_back(1.0 + VERDICT_TTL_S - 0.1) == 1.0
        assert health.held_back(1.0 + VERDICT_TTL_S) == 0.0


class TestHealthDesk:
    @pytest.mark.parametrize("replica", ["e1", "p1"])
    def test_failures_of_some_gateways_reach_all_gateways(self, replica):
        conns = Connections()
        conns.fail(replica)
        new_gateway = Gateway(conns.state, "new", "b", conns.clock)
        conns.gateways.append(new_gateway)
        conns.followers.append(conns.followers[0])
        for _ in range(3):
            conns.step()
        assert new_gateway.fleet.health(replica).held_back(conns.now) == 1.0
        assert new_gateway.fleet.health("e2").held_back(conns.now) == 0.0

    def test_other_planners_do_not_judge_services_without_engines(self):
        conns = Connections(service="other")
        conns.fail("p1")
        assert all(g.fleet.health("p1").held_back(conns.now) == 0.0 for g in conns.gateways)

    def test_no_verdicts_are_sent_without_failures(self):
        conns = Connections()
        for _ in range(20):
            for gateway in conns.gateways:
                gateway.fleet.health("e0").note(False, conns.now)
            assert not conns.step().verdicts

    def test_a_verdict_is_resent_before_it_expires_and_revoked_at_its_end(self):
        conns = Connections()
        conns.fail("e1")
        last_at, intervals = conns.now, []
        for _ in range(12):
            if any(verdict.replica == "e1" for verdict in conns.step().verdicts):
                intervals.append(conns.now - last_at)
                last_at = conns.now
        assert max(intervals) <= RESEND_INTERVAL_S + NEWS_S
        del conns.state.replicas["e1"]
        conns.state.change += 1
        verdicts = [verdict for verdict in conns.step().verdicts if verdict.replica == "e1"]
        assert verdicts
        assert all(verdict.held_back == 0.0 for verdict in verdicts)
        assert not any(verdict.replica == "e1" for verdict in conns.step().verdicts)

    def test_a_single_gateway_is_assigned_as_prober(self):
        conns = Connections()
        conns.fail("e1")
        probers = set()
        for _ in range(20):
            conns.step()
            health = [gateway.fleet.health("e1") for gateway in conns.gateways]
            count = sum(each.may_probe(conns.now) for each in health)
            assert count <= 1
            probers.add(count)
        assert 1 in probers

    def test_at_most_one_of_three_replicas_is_ejected(self):
        conns = Connections()
        for _ in range(8):
            for gateway in conns.gateways:
                gateway.fleet.health("p0").note(True, conns.now)
                gateway.fleet.health("p1").note(True, conns.now)
                gateway.fleet.health("p2").note(False, conns.now)
            conns.step()
        held = [conns.gateways[0].fleet.health(f"p{n}").held_back(conns.now) for n in range(3)]
        assert sorted(held) == [0.0, 0.0, 1.0]
        assert held[2] == 0.0

    def test_an_ejected_engine_costs_more_than_a_suspect_one_except_for_its_prober(self):
        conns = Connections()
        first = conns.followers[0]
        assert conns.desk.failure_penalty_s("e1", first, ()) == 0.0
        assert conns.desk.failure_penalty_s("e1", first, ("e1",)) == SUSPECT_COST_S
        conns.fail("e1")
        assert conns.desk.failure_penalty_s("e1", first, ()) >= EJECTED_COST_S
        assert conns.desk.ejection_penalty_s("e1") == EJECTED_COST_S
        for _ in range(8):
            conns.step()
        costs = [conns.desk.failure_penalty_s("e1", follower, ()) for follower in conns.followers]
        assert costs.count(0.0) == 1

    def test_a_few_failures_shift_no_requests_to_other_engines(self):
        conns = Connections()
        for step in range(8):
            for gateway in conns.gateways:
                gateway.fleet.health("e1").note(step == 4, conns.now)
            conns.step()
        follower = conns.followers[0]
        assert conns.desk._findings[("e1", "")].failing > 0.05
        assert conns.desk.failure_penalty_s("e1", follower, ()) == 0.0

    def test_a_disconnected_gateway_is_no_source(self):
        conns = Connections()
        for follower in conns.followers:
            conns.desk.leave(follower, conns.now)
        conns.step()
        assert not conns.desk._pool._sources


class TestHealthyFleet:
    """Answered requests, which are nearly all, must not cause messages."""

    def play(self, gateways, engines, failing, steps=40):
        """Return the numbers of entries sent by gateways and of verdicts sent by the planner."""
        conns = Connections(gateways, state=new_state(engines, 0))
        rng, sent, received = random.Random(gateways), 0, 0
        for _ in range(steps):
            for gateway in conns.gateways:
                for number in rng.sample(range(engines), 6):
                    bad = number < failing and rng.random() < 0.45
                    gateway.fleet.health(f"e{number}").note(bad, conns.now)
            conns.now += NEWS_S
            for gateway, follower in zip(conns.gateways, conns.followers, strict=True):
                message = gateway.message()
                sent += len(message.ends)
                conns.desk.take(follower, message, conns.now)
            news = pb.FromPlanner()
            conns.desk.fill(news, conns.now)
            received += len(news.verdicts)
            for gateway in conns.gateways:
                gateway.part.take(news)
        return sent, received

    @pytest.mark.parametrize("gateways", [4, 40, 120])
    def test_a_healthy_fleet_sends_nothing(self, gateways):
        assert self.play(gateways, 40, 0) == (0, 0)

    def test_reports_grow_only_with_requests_at_failing_replicas(self):
        """With one failing engine, more healthy engines add no entries."""
        sent = {engines: self.play(40, engines, 1)[0] for engines in (40, 80, 160)}
        # Each gateway sends six requests in a step to engines drawn at random.
        for engines, entries in sent.items():
            at_failing = 40 * 40 * 6 / engines
            assert 0 < entries <= 1.2 * at_failing

    def test_reports_grow_at_most_linearly_with_failing_replicas(self):
        one, ten = (self.play(40, 80, failing)[0] for failing in (1, 10))
        assert ten <= 12 * one

    def test_all_outcomes_are_reported_for_services_without_engines(self):
        """Their shares of traffic depend on the response times."""
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        for name in ("e0", "p0"):
            gateway.fleet.health(name).note(False, 1.0, took_s=0.1)
        assert [ends.replica for ends in gateway.message().ends] == ["p0"]

    @pytest.mark.parametrize("part", [{"failing": 0.2}, {"held_back": 0.5}])
    def test_retained_outcomes_are_reported_once_the_planner_suspects_a_replica(self, part):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.fleet.health("e0").note(False, 1.0)
        assert not gateway.message().ends
        gateway.part.take(pb.FromPlanner(verdicts=[pb.Verdict(replica="e0", **part)]))
        gateway.fleet.health("e0").note(False, 1.0)
        assert [ends.served for ends in gateway.message().ends] == [2]

    def test_a_gateway_with_requests_elsewhere_is_assigned_as_prober(self):
        conns = Connections()
        conns.fail("e1")
        unaffected = conns.all_followers.join("calm", "")
        probers = set()
        for _ in range(60):
            conns.now += NEWS_S
            use = pb.Use(replica="e2", model="m", active=1, started=1)
            conns.desk.take(unaffected, pb.FromGateway(uses=[use]), conns.now)
            news = pb.FromPlanner()
            conns.desk.fill(news, conns.now)
            probers |= {verdict.prober for verdict in news.verdicts}
        assert "calm" in probers

    @pytest.mark.parametrize("in_use", [True, False])
    def test_engines_in_use_without_reports_count_as_healthy(self, in_use):
        """Six of twenty engines fail; nothing is reported for the others."""
        conns = Connections(state=new_state(20, 0))
        engines = {name: Engine(rep, SPEC) for name, rep in conns.state.replicas.items()}
        for engine in engines.values():
            engine.update_use(1, AdapterKey("m", "a"), int(in_use))
        conns.desk = HealthAggregator("llm", conns.state, engines, lambda: 0.2)
        rng = random.Random(4)
        for _ in range(20):
            for number in range(6):
                for gateway in conns.gateways:
                    gateway.fleet.health(f"e{number}").note(rng.random() < 0.45, conns.now)
            conns.step()
        health = conns.gateways[0].fleet.health
        held = {number for number in range(20) if health(f"e{number}").held_back(conns.now)}
        assert held == (set(range(6)) if in_use else set())


class TestPlannerWithHealth:
    def make(self, features):
        clock = asyncio.get_running_loop().time
        state = new_state()
        transport = ModelTransport(random.Random(1))
        window = LoadRateLimiter(2.0, 5.0, 1.1, 3)
        planner = Planner("llm", "me", SPEC, state, transport, window, clock, features=features)
        planner.begin_term(1)
        planner.refresh()
        return planner

    def ask(self, planner, follower, ticket):
        ask = pb.Ask(ticket=ticket, model="m", adapter="a", wait_ms=4000, target_ms=4000)
        planner.take(follower, pb.FromGateway(asks=[ask]))
        answers = [answer for answer in follower.answers if answer.ticket == ticket]
        return answers[0].replica if answers else ""

    @pytest.mark.parametrize("shared", [True, False])
    def test_requests_avoid_an_engine_that_fails_for_other_gateways(self, shared):
        async def scenario():
            planner = self.make(frozenset({Feature.SHARED_HEALTH}) if shared else frozenset())
            gateways = [planner.join(f"g{number}", f"{number}:1") for number in range(9)]
            key, loop = AdapterKey("m", "a"), asyncio.get_running_loop()
            for name in ("e0", "e1"):
                place = planner.engines[name].weight_slots[key] = WeightSlot(
                    1, Phase.READY, loop.time()
                )
                place.ready_at = loop.time()
            first = self.ask(planner, gateways[0], 1)
            for _ in range(6):
                await asyncio.sleep(NEWS_S)
                for number, gateway in enumerate(gateways):
                    ends = [pb.Ends(replica=first, failed=1)]
                    planner.take(gateway, pb.FromGateway(ends=ends, hall=HALLS[number % 3]))
                planner.followers.broadcast_updates(True)
            verdicts = [v for m in gateways[0].take_messages() for v in m.verdicts if v.ejected]
            assert bool(verdicts) == shared
            chosen = {self.ask(planner, gateways[0], ticket) for ticket in range(2, 6)}
            if shared:
                assert chosen == {({"e0", "e1"} - {first}).pop()}
            else:
                assert first in chosen
            for task in list(planner._tasks):
                task.cancel()

        run(scenario)
