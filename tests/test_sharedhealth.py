"""How requests ended, from gateways to a planner, and what it found, back to all of them."""

import asyncio
import random

import pytest
from gradelug_gateway.engines import Engine, Phase, Place
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
from gradelug_gateway.sharedhealth import (
    DOUBTED_S,
    EJECTED_COST_S,
    VERDICT_TTL_S,
    RESEND_INTERVAL_S,
    EndsTeller,
    HealthDesk,
)
from gradelug_http import ServerLimits
from gradelug_policy.residency import LoadWindow
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
    """A gateway's end, to the planner of one service."""

    def __init__(self, state, name, hall, clock, service="llm", home="llm"):
        self.name, self.hall = name, hall
        self.fleet = Fleet(state, hall, clock)
        self.part = EndsTeller(service, name, self.fleet, clock, lambda: home == service)

    def message(self):
        message = pb.FromGateway()
        self.part.fill(message)
        return message


class Pair:
    """Gateways and a planner's desk, without a network between them."""

    def __init__(self, gateways=9, service="llm", state=None):
        self.now = 0.0
        self.state = state or new_state()
        self.desk = HealthDesk(service, self.state, {}, lambda: 0.2)
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
        """Let everybody tell what there is to tell; return the news."""
        self.now += NEWS_S
        for gateway, follower in zip(self.gateways, self.followers, strict=True):
            self.desk.take(follower, gateway.message(), self.now)
        news = pb.FromPlanner()
        self.desk.fill(news, self.now)
        for gateway in self.gateways:
            gateway.part.take(news)
        return news

    def fail(self, replica, steps=6):
        """Let requests of all gateways fail at a replica, until it is ejected."""
        for _ in range(steps):
            for gateway in self.gateways:
                gateway.fleet.health(replica).note(True, self.now)
            self.step()


class TestEndsTeller:
    def test_ends_are_told_once_to_the_planner_of_their_service(self):
        state = new_state()
        gateway = Gateway(state, "g", "a", lambda: 1.0)
        for name in ("e0", "o0", "p0", "gone"):
            health = gateway.fleet.health(name)
            health.note(False, 1.0, took_s=0.25)
            health.note(True, 1.0)
            health.note_broken(1.0)
            health.note_full(1.0)
        ends = {told.replica: told for told in gateway.message().ends}
        assert sorted(ends) == ["e0", "p0"]
        told = ends["e0"]
        assert (told.served, told.failed, told.broken, told.full) == (1, 1, 1, 1)
        assert told.took_ms == 250
        assert not gateway.message().ends

    def test_the_home_alone_is_told_of_services_without_engines(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0, "other", "llm")
        for name in ("o0", "p0"):
            gateway.fleet.health(name).note(True, 1.0)
        assert [told.replica for told in gateway.message().ends] == ["o0"]

    def test_what_could_not_be_told_is_not_told_later(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.fleet.health("e0").note(True, 1.0)
        gateway.part.begin_stream()
        assert not gateway.message().ends

    def test_a_finding_for_another_hall_is_not_taken_over(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        for hall, held_back in (("b", 1.0), ("a", 0.5)):
            verdict = pb.Verdict(replica="e0", hall=hall, held_back=held_back)
            gateway.part.take(pb.FromPlanner(verdicts=[verdict]))
        assert gateway.fleet.health("e0").held_back(1.0) == 0.5

    def test_findings_age_out_when_the_planner_is_lost(self):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.part.take(pb.FromPlanner(verdicts=[pb.Verdict(replica="e0", held_back=1.0)]))
        health = gateway.fleet.health("e0")
        assert health.held_back(1.0 + VERDICT_TTL_S - 0.1) == 1.0
        assert health.held_back(1.0 + VERDICT_TTL_S) == 0.0


class TestHealthDesk:
    @pytest.mark.parametrize("replica", ["e1", "p1"])
    def test_what_some_gateways_meet_all_know(self, replica):
        pair = Pair()
        pair.fail(replica)
        newcomer = Gateway(pair.state, "new", "b", pair.clock)
        pair.gateways.append(newcomer)
        pair.followers.append(pair.followers[0])
        for _ in range(3):
            pair.step()
        assert newcomer.fleet.health(replica).held_back(pair.now) == 1.0
        assert newcomer.fleet.health("e2").held_back(pair.now) == 0.0

    def test_another_planner_finds_nothing_of_services_without_engines(self):
        pair = Pair(service="other")
        pair.fail("p1")
        assert all(g.fleet.health("p1").held_back(pair.now) == 0.0 for g in pair.gateways)

    def test_nothing_is_told_while_all_is_well(self):
        pair = Pair()
        for _ in range(20):
            for gateway in pair.gateways:
                gateway.fleet.health("e0").note(False, pair.now)
            assert not pair.step().verdicts

    def test_a_finding_is_told_again_before_it_ages_out_and_when_it_is_over(self):
        pair = Pair()
        pair.fail("e1")
        last_at, rests = pair.now, []
        for _ in range(12):
            if any(verdict.replica == "e1" for verdict in pair.step().verdicts):
                rests.append(pair.now - last_at)
                last_at = pair.now
        assert max(rests) <= RESEND_INTERVAL_S + NEWS_S
        del pair.state.replicas["e1"]
        pair.state.change += 1
        told = [verdict for verdict in pair.step().verdicts if verdict.replica == "e1"]
        assert told
        assert all(verdict.held_back == 0.0 for verdict in told)
        assert not any(verdict.replica == "e1" for verdict in pair.step().verdicts)

    def test_one_gateway_is_named_to_probe(self):
        pair = Pair()
        pair.fail("e1")
        named = set()
        for _ in range(20):
            pair.step()
            health = [gateway.fleet.health("e1") for gateway in pair.gateways]
            probers = sum(each.may_probe(pair.now) for each in health)
            assert probers <= 1
            named.add(probers)
        assert 1 in named

    def test_half_of_three_replicas_is_one(self):
        pair = Pair()
        for _ in range(8):
            for gateway in pair.gateways:
                gateway.fleet.health("p0").note(True, pair.now)
                gateway.fleet.health("p1").note(True, pair.now)
                gateway.fleet.health("p2").note(False, pair.now)
            pair.step()
        held = [pair.gateways[0].fleet.health(f"p{n}").held_back(pair.now) for n in range(3)]
        assert sorted(held) == [0.0, 0.0, 1.0]
        assert held[2] == 0.0

    def test_an_ejected_engine_costs_more_than_a_doubted_one_except_for_its_prober(self):
        pair = Pair()
        first = pair.followers[0]
        assert pair.desk.doubt_s("e1", first, ()) == 0.0
        assert pair.desk.doubt_s("e1", first, ("e1",)) == DOUBTED_S
        pair.fail("e1")
        assert pair.desk.doubt_s("e1", first, ()) >= EJECTED_COST_S
        assert pair.desk.ejected_s("e1") == EJECTED_COST_S
        for _ in range(8):
            pair.step()
        costs = [pair.desk.doubt_s("e1", follower, ()) for follower in pair.followers]
        assert costs.count(0.0) == 1

    def test_a_few_failures_send_no_requests_to_other_engines(self):
        pair = Pair()
        for step in range(8):
            for gateway in pair.gateways:
                gateway.fleet.health("e1").note(step == 4, pair.now)
            pair.step()
        newcomer = pair.followers[0]
        assert pair.desk._findings[("e1", "")].failing > 0.05
        assert pair.desk.doubt_s("e1", newcomer, ()) == 0.0

    def test_a_gateway_that_has_left_is_no_source(self):
        pair = Pair()
        for follower in pair.followers:
            pair.desk.leave(follower, pair.now)
        pair.step()
        assert not pair.desk._pool._sources


class TestCalmFleet:
    """Requests that are answered, as nearly all are, are no matter for messages."""

    def play(self, gateways, engines, failing, steps=40):
        """Return entries about replicas told by gateways, and by the planner."""
        pair = Pair(gateways, state=new_state(engines, 0))
        rng, told, found = random.Random(gateways), 0, 0
        for _ in range(steps):
            for gateway in pair.gateways:
                for number in rng.sample(range(engines), 6):
                    bad = number < failing and rng.random() < 0.45
                    gateway.fleet.health(f"e{number}").note(bad, pair.now)
            pair.now += NEWS_S
            for gateway, follower in zip(pair.gateways, pair.followers, strict=True):
                message = gateway.message()
                told += len(message.ends)
                pair.desk.take(follower, message, pair.now)
            news = pb.FromPlanner()
            pair.desk.fill(news, pair.now)
            found += len(news.verdicts)
            for gateway in pair.gateways:
                gateway.part.take(news)
        return told, found

    @pytest.mark.parametrize("gateways", [4, 40, 120])
    def test_a_calm_fleet_tells_nothing(self, gateways):
        assert self.play(gateways, 40, 0) == (0, 0)

    def test_what_is_told_grows_with_requests_at_failing_replicas_alone(self):
        """With each engine more, of 40 to 160, no entry more while as many fail."""
        told = {engines: self.play(40, engines, 1)[0] for engines in (40, 80, 160)}
        # Each gateway's six requests a step fall on the failing one in 6 of so many.
        for engines, entries in told.items():
            at_failing = 40 * 40 * 6 / engines
            assert 0 < entries <= 1.2 * at_failing

    def test_ten_failing_tell_ten_times_as_much_as_one_and_no_more(self):
        one, ten = (self.play(40, 80, failing)[0] for failing in (1, 10))
        assert ten <= 12 * one

    def test_of_replicas_without_engines_all_is_told(self):
        """Their shares go by the times of their answers."""
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        for name in ("e0", "p0"):
            gateway.fleet.health(name).note(False, 1.0, took_s=0.1)
        assert [told.replica for told in gateway.message().ends] == ["p0"]

    @pytest.mark.parametrize("part", [{"failing": 0.2}, {"held_back": 0.5}])
    def test_what_the_planner_doubts_is_told_of_with_what_was_kept(self, part):
        gateway = Gateway(new_state(), "g", "a", lambda: 1.0)
        gateway.fleet.health("e0").note(False, 1.0)
        assert not gateway.message().ends
        gateway.part.take(pb.FromPlanner(verdicts=[pb.Verdict(replica="e0", **part)]))
        gateway.fleet.health("e0").note(False, 1.0)
        assert [told.served for told in gateway.message().ends] == [2]

    def test_a_gateway_with_requests_elsewhere_is_named_to_probe(self):
        pair = Pair()
        pair.fail("e1")
        calm = pair.all_followers.join("calm", "")
        named = set()
        for _ in range(60):
            pair.now += NEWS_S
            use = pb.Use(replica="e2", model="m", active=1, started=1)
            pair.desk.take(calm, pb.FromGateway(uses=[use]), pair.now)
            news = pb.FromPlanner()
            pair.desk.fill(news, pair.now)
            named |= {verdict.prober for verdict in news.verdicts}
        assert "calm" in named

    @pytest.mark.parametrize("in_use", [True, False])
    def test_engines_in_use_of_which_nothing_is_told_do_well(self, in_use):
        """Six of twenty fail; nothing is told of the others."""
        pair = Pair(state=new_state(20, 0))
        engines = {name: Engine(rep, SPEC) for name, rep in pair.state.replicas.items()}
        for engine in engines.values():
            engine.take_use(1, AdapterKey("m", "a"), int(in_use))
        pair.desk = HealthDesk("llm", pair.state, engines, lambda: 0.2)
        rng = random.Random(4)
        for _ in range(20):
            for number in range(6):
                for gateway in pair.gateways:
                    gateway.fleet.health(f"e{number}").note(rng.random() < 0.45, pair.now)
            pair.step()
        health = pair.gateways[0].fleet.health
        held = {number for number in range(20) if health(f"e{number}").held_back(pair.now)}
        assert held == (set(range(6)) if in_use else set())


class TestPlannerWithHealth:
    def make(self, features):
        clock = asyncio.get_running_loop().time
        state = new_state()
        transport = ModelTransport(random.Random(1))
        window = LoadWindow(2.0, 5.0, 1.1, 3)
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
    def test_requests_go_to_an_engine_that_others_do_not_fail_at(self, shared):
        async def scenario():
            planner = self.make(frozenset({Feature.SHARED_HEALTH}) if shared else frozenset())
            gateways = [planner.join(f"g{number}", f"{number}:1") for number in range(9)]
            key, loop = AdapterKey("m", "a"), asyncio.get_running_loop()
            for name in ("e0", "e1"):
                place = planner.engines[name].places[key] = Place(1, Phase.READY, loop.time())
                place.ready_at = loop.time()
            first = self.ask(planner, gateways[0], 1)
            for _ in range(6):
                await asyncio.sleep(NEWS_S)
                for number, gateway in enumerate(gateways):
                    ends = [pb.Ends(replica=first, failed=1)]
                    planner.take(gateway, pb.FromGateway(ends=ends, hall=HALLS[number % 3]))
                planner.followers.tell_news(True)
            told = [v for m in gateways[0].take_messages() for v in m.verdicts if v.ejected]
            assert bool(told) == shared
            chosen = {self.ask(planner, gateways[0], ticket) for ticket in range(2, 6)}
            if shared:
                assert chosen == {({"e0", "e1"} - {first}).pop()}
            else:
                assert first in chosen
            for task in list(planner._tasks):
                task.cancel()

        run(scenario)
