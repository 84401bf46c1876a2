"""A gateway of a large fleet is told of what it uses: all of that, soon, and nothing else."""

import asyncio
from collections import Counter

import pytest
from gradelug_gateway.engine_index import EngineIndex
from gradelug_gateway.engines import Engine, Phase, WeightSlot
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.followers import (
    MAX_LOCATIONS_PER_KEY,
    MAX_QUEUED_ANSWERS,
    MAX_QUEUED_ORDERS,
    MAX_UNSCOPED_ENGINES,
    Followers,
)
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.load_targets import MAX_CACHED_CANDIDATES, MAX_CANDIDATES, LoadTargets
from gradelug_gateway.model import AdapterKey, FleetState, Holding, Replica, ReportedLoad
from gradelug_gateway.pending import merge_news, merge_store
from gradelug_gateway.planner import MAX_CONCURRENT_SYNCS, MAX_PENDING_SYNCS
from gradelug_gateway.scope import MAX_SCOPE_KEYS, SCOPE_RETENTION_S
from gradelug_policy.cells import Cells
from gradelug_wire import placement_pb2 as pb
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from simulated_fleet import SPEC, SimulatedFleet
from world import new_loop

ENGINES = MAX_UNSCOPED_ENGINES + 4
SITES = 2
"""Engines of the model on which anything changes."""
KEYS = [AdapterKey("m", f"a{number}") for number in range(3)]


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


class Model:
    """A planner's gateways, engines and news, and one gateway's end of the stream."""

    def __init__(self, gateways=1, may_scope=True):
        self.now = 1000.0
        self.state = FleetState()
        self.index = EngineIndex()
        self.engines = {}
        self.cells = Cells()
        for number in range(ENGINES):
            rep = Replica(f"e{number}", "llm", f"e:{number}", "hall")
            self.state.replicas[rep.name] = rep
            self.engines[rep.name] = Engine(rep, SPEC, self.index)
            self.cells.add(rep.name)
        self.followers = Followers(
            self.engines,
            lambda: self.now,
            index=self.index,
            may_scope=may_scope,
            cells=self.cells,
        )
        self.loop = new_loop()
        self.loop.run_until_complete(self._join(gateways))

    async def _join(self, gateways):
        self.fleet = Fleet(self.state, "hall", lambda: self.now)
        self.link = PlannerLink("llm", "me", "", self.fleet, lambda: self.now)
        self.follower = self.followers.join("me", "me:1")
        for number in range(gateways - 1):
            self.followers.join(f"g{number}", "g:1")

    def place(self, name, key, version=1):
        self.engines[name].weight_slots[key] = WeightSlot(version, Phase.READY, self.now)
        self.followers.mark(name)

    def remove(self, name, key):
        del self.engines[name].weight_slots[key]
        self.followers.mark(name)

    def truth(self, key):
        return {
            name: engine.weight_slots[key].version
            for name, engine in self.engines.items()
            if key in engine.weight_slots and engine.weight_slots[key].phase is Phase.READY
        }

    def view(self, key):
        return dict(self.fleet._by_key.get(key, {}))

    def read(self):
        messages = self.follower.take_messages()
        for message in messages:
            self.link._take(message)
        return messages

    def tell(self, seconds=0.05):
        self.now += seconds
        self.followers.tell_news(True)


def test_what_was_read_between_two_ticks_is_told_anew_when_it_is_as_it_was():
    """Found by the state machine below: the gateway went on with the version in between."""
    model, key = Model(), KEYS[0]
    model.place("e0", key, 2)
    model.followers.note_use(model.follower, key, "e0", 1)
    model.tell()
    model.place("e0", key, 1)
    model.read()
    assert model.view(key) == {"e0": 1}
    model.place("e0", key, 2)
    model.tell(SCOPE_RETENTION_S / 2)
    model.read()
    assert model.view(key) == {"e0": 2}


class ScopedNews(RuleBasedStateMachine):
    """What a gateway knows of what it uses was so a moment ago, and it knows no more."""

    @initialize(gateways=st.sampled_from([1, 60]))
    def begin(self, gateways):
        self.model = Model(gateways)
        self.used = {}
        self.runs = Counter()
        self.truths = {key: [{}] for key in KEYS}
        """Where weights were, one after the other, since the news that are due were told last."""

    def note_truth(self):
        for key in KEYS:
            self.truths[key].append(self.model.truth(key))

    @rule(number=st.integers(0, SITES - 1), key=st.sampled_from(KEYS), version=st.integers(1, 3))
    def place(self, number, key, version):
        self.model.place(f"e{number}", key, version)
        self.note_truth()

    @rule(number=st.integers(0, SITES - 1), key=st.sampled_from(KEYS))
    def remove(self, number, key):
        if key in self.model.engines[f"e{number}"].weight_slots:
            self.model.remove(f"e{number}", key)
            self.note_truth()

    @rule(number=st.integers(0, SITES - 1), key=st.sampled_from(KEYS))
    def unsettle(self, number, key):
        """Begin to take weights out: the place stays, for no new requests."""
        place = self.model.engines[f"e{number}"].weight_slots.get(key)
        if place is not None:
            place.phase = Phase.DRAINING
            self.model.followers.mark(f"e{number}")
            self.note_truth()

    @rule(key=st.sampled_from(KEYS))
    def ask(self, key):
        self.model.followers.note_use(self.model.follower, key)
        self.used[key] = self.model.now

    @rule(number=st.integers(0, SITES - 1), key=st.sampled_from(KEYS), change=st.integers(-1, 1))
    def use(self, number, key, change):
        active = max(0, self.runs[(number, key)] + change)
        self.runs[(number, key)] = active
        self.model.followers.note_use(self.model.follower, key, f"e{number}", active)
        self.used[key] = self.model.now

    @rule(seconds=st.sampled_from([0.05, 0.2, 1.1, 4.0, SCOPE_RETENTION_S]))
    def tell(self, seconds):
        self.model.tell(seconds)
        bound_s = max(self.model.followers.pacing.holdings_interval_s, 0.05)
        if seconds >= bound_s:
            # What is told is made when it is read, from what had changed until now at least.
            self.truths = {key: [self.model.truth(key)] for key in KEYS}

    @rule()
    def read(self):
        """Read, perhaps after a long time: all that is known is as new as the last news."""
        if not self.model.read():
            return
        self.check()

    @rule(seconds=st.sampled_from([1.1, SCOPE_RETENTION_S]))
    def tell_and_read(self, seconds):
        self.tell(seconds)
        self.read()

    @rule()
    def reconnect(self):
        followers = self.model.followers
        followers.leave(self.model.follower)
        self.model.follower = followers.join("me", "me:2")
        self.used = {}
        for (number, key), active in self.runs.items():
            if active:
                followers.note_use(self.model.follower, key, f"e{number}", active)
                self.used[key] = self.model.now
        self.model.read()
        self.check()

    def check(self):
        running = {key for (_, key), active in self.runs.items() if active}
        for key in KEYS:
            view = self.model.view(key)
            used_at = self.used.get(key, -SCOPE_RETENTION_S)
            if key in running or self.model.now - used_at < SCOPE_RETENTION_S:
                assert view in self.truths[key]
            else:
                # Either it is still told of it, or it knows nothing.
                assert view in ({}, *self.truths[key])

    def teardown(self):
        if hasattr(self, "model"):
            self.model.loop.close()


TestScopedNews = ScopedNews.TestCase
TestScopedNews.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, database=None
)


class TestWhatIsTold:
    def test_a_gateway_that_joins_a_large_fleet_is_told_nothing_of_what_it_does_not_use(self):
        """300 gateways that joined 3,000 engines were told 1 MB each, all at once."""
        model = Model()
        for number in range(ENGINES):
            model.place(f"e{number}", KEYS[0])
        model.tell(2.0)
        assert sum(message.ByteSize() for message in model.follower.take_messages()) < 100

    def test_without_the_feature_all_are_told_of_all(self):
        model = Model(may_scope=False)
        model.place("e0", KEYS[0])
        model.tell(2.0)
        (message,) = model.read()
        assert len(message.holdings) >= ENGINES
        assert not message.scoped
        assert model.view(KEYS[0]) == {"e0": 1}

    def test_news_that_are_not_read_are_replaced(self):
        """A planner kept all news for gateways that read slowly: 304 MB."""
        model = Model(gateways=60)
        model.follower.take_messages()
        for step in range(600):
            for number in range(SITES):
                key = AdapterKey("m", f"b{step}-{number}")
                model.followers.note_use(model.follower, key)
                model.place(f"e{number}", key)
                model.engines[f"e{number}"].update_load(
                    model.follower.number, ReportedLoad(0, step + 1)
                )
            model.follower.send(pb.FromPlanner(orders=[pb.EngineOrder(ticket=step)]))
            model.follower.answer(pb.Answer(ticket=step))
            model.tell(0.2)
        pending = model.follower.pending
        assert len(pending.keys) <= 2 * MAX_SCOPE_KEYS + SITES
        assert len(pending.replicas) <= SITES
        assert len(model.follower.outbox) <= MAX_QUEUED_ORDERS
        messages = model.read()
        assert len(messages) <= MAX_QUEUED_ORDERS + 2
        used = model.followers._scopes.used_keys(model.follower.number)
        assert len(used) <= MAX_SCOPE_KEYS
        for key in used:
            assert model.view(key) == model.truth(key)

    @pytest.mark.parametrize("may_scope", [True, False])
    def test_what_was_used_long_ago_is_not_kept(self, may_scope):
        model = Model(may_scope=may_scope)
        for step in range(400):
            model.followers.note_use(model.follower, AdapterKey("m", f"b{step}"))
            model.tell(0.2)
            model.read()
        used = model.followers._scopes.used_keys(model.follower.number)
        assert len(used) <= SCOPE_RETENTION_S / 0.2 + 1

    def test_answers_that_are_not_read_are_bounded(self):
        model = Model()
        for ticket in range(MAX_QUEUED_ANSWERS + 50):
            model.follower.answer(pb.Answer(ticket=ticket))
            model.follower.answer_quota(pb.QuotaAnswer(ticket=ticket))
        first = model.follower.take_messages()[0]
        assert len(first.answers) == len(first.quota_answers) == MAX_QUEUED_ANSWERS
        assert first.answers[-1].ticket == MAX_QUEUED_ANSWERS + 49

    def test_weights_that_are_to_leave_are_told_as_gone(self):
        model = Model()
        model.place("e0", KEYS[0])
        model.followers.note_use(model.follower, KEYS[0])
        model.tell(2.0)
        model.read()
        assert model.view(KEYS[0]) == {"e0": 1}
        model.engines["e0"].weight_slots[KEYS[0]].phase = Phase.DRAINING
        model.followers.mark("e0")
        model.tell(2.0)
        model.read()
        assert model.view(KEYS[0]) == {}

    def test_what_is_not_used_any_more_is_forgotten_at_both_ends(self):
        model = Model()
        for key in KEYS:
            model.place("e0", key)
        model.followers.note_use(model.follower, KEYS[0])
        model.followers.note_use(model.follower, KEYS[1], "e0", 1)
        model.tell(2.0)
        model.read()
        for _ in range(3):
            model.tell(SCOPE_RETENTION_S)
        model.read()
        assert [bool(model.view(key)) for key in KEYS] == [False, True, False]
        model.followers.note_use(model.follower, KEYS[1], "e0", 0)
        model.tell(2 * SCOPE_RETENTION_S)
        model.read()
        assert not model.view(KEYS[1])

    def test_a_new_planner_knows_nothing_of_what_the_last_one_told(self):
        model = Model()
        model.place("e0", KEYS[0])
        model.place("e0", KEYS[1])
        for key in KEYS[:2]:
            model.followers.note_use(model.follower, key)
        model.tell(2.0)
        model.read()
        model.followers.leave(model.follower)
        model.follower = model.followers.join("me", "me:2")
        model.followers.note_use(model.follower, KEYS[1], "e0", 1)
        model.read()
        assert [bool(model.view(key)) for key in KEYS[:2]] == [False, True]

    def test_of_very_many_holders_gateways_are_told_of_some(self):
        model = Model()
        key = AdapterKey("m")
        for number in range(ENGINES):
            model.place(f"e{number}", key)
        model.followers.note_use(model.follower, key)
        model.tell(2.0)
        model.read()
        told = model.view(key)
        assert len(told) == MAX_LOCATIONS_PER_KEY
        near, far = next(iter(told)), next(name for name in model.engines if name not in told)
        for name in (near, far):
            model.engines[name].update_load(77, ReportedLoad(0, 5))
        model.remove(far, key)
        model.tell(2.0)
        (message,) = model.read()
        assert not message.homes
        assert [load.replica for load in message.loads] == [near]
        model.remove(near, key)
        model.tell(2.0)
        model.read()
        assert len(model.view(key)) == MAX_LOCATIONS_PER_KEY
        assert len(model.view(key).keys() & told.keys()) == MAX_LOCATIONS_PER_KEY - 1

    def test_a_gateway_is_told_what_runs_where_it_runs_something(self):
        model = Model(gateways=60)
        model.read()
        model.engines["e0"].update_load(model.follower.number, ReportedLoad(0, 1))
        for number in (0, 1):
            model.engines[f"e{number}"].update_load(77, ReportedLoad(0, 5))
        model.tell()
        (message,) = model.read()
        assert [(load.replica, load.running) for load in message.loads] == [("e0", 6)]

    def test_a_fleet_that_shrinks_is_told_of_all_again(self):
        model = Model()
        model.place("e0", KEYS[0])
        model.tell(2.0)
        model.read()
        assert model.followers.is_scoped
        for name in [f"e{number}" for number in range(8, ENGINES)]:
            model.index.drop(model.engines.pop(name))
        model.tell(2.0)
        (message,) = model.read()
        assert not model.followers.is_scoped
        assert len(message.holdings) >= 8
        assert model.view(KEYS[0]) == {"e0": 1}

    def test_a_base_model_that_all_engines_hold_is_told_in_part(self):
        async def scenario():
            fleet = SimulatedFleet(3, 400, 0.0)
            await fleet.play(3.0)
            told = []
            for gateway in fleet.gateways:
                gateway.follower.take_messages()
                use = pb.Use(replica="x", model="base-model", active=1, started=1)
                fleet.planner.take(gateway.follower, pb.FromGateway(uses=[use]))
            await asyncio.sleep(1.0)
            for gateway in fleet.gateways:
                (homes,) = gateway.follower.take_messages()[-1].homes
                told.append({home.replica for home in homes.homes})
            assert [len(names) for names in told] == [MAX_LOCATIONS_PER_KEY] * 3
            assert told[0] != told[1]
            await fleet.stop()

        run(scenario)


class TestMergedNews:
    def test_the_newest_of_each_replica_is_kept(self):
        old = pb.FromPlanner(
            gateways=3,
            loads=[pb.Load(replica="a", running=1), pb.Load(replica="b", running=2)],
            verdicts=[pb.Verdict(replica="a", failing=0.5)],
        )
        new = pb.FromPlanner(gateways=4, loads=[pb.Load(replica="a", running=9)])
        merged = merge_news(old, new)
        assert merged.gateways == 4
        assert {load.replica: load.running for load in merged.loads} == {"a": 9, "b": 2}
        assert [verdict.replica for verdict in merged.verdicts] == ["a"]

    def test_nothing_of_the_store_is_lost(self):
        old = pb.StoreNews(
            look=True,
            replicas=[pb.ReplicaFact(replica="a", gone=True), pb.ReplicaFact(replica="b")],
            versions=[pb.VersionFact(model="m", adapter="x", version=2)],
            config_entry=pb.ConfigEntry(key="c", revision=4),
        )
        new = pb.StoreNews(
            age_ms=7,
            replicas=[pb.ReplicaFact(replica="b", leaving=True)],
            versions=[pb.VersionFact(model="m", adapter="x", version=3)],
        )
        merged = merge_store(old, new)
        assert merged.look
        assert merged.age_ms == 7
        assert {fact.replica: (fact.gone, fact.leaving) for fact in merged.replicas} == {
            "a": (True, False),
            "b": (False, True),
        }
        assert [fact.version for fact in merged.versions] == [3]
        assert merged.config_entry.revision == 4


class TestGateway:
    def test_what_planners_of_other_services_tell_stays(self):
        async def scenario():
            state = FleetState()
            state.replicas["a"] = Replica("a", "llm", "a:1", "hall")
            state.replicas["b"] = Replica("b", "other", "b:1", "hall")
            fleet = Fleet(state, "hall", lambda: 0.0)
            key = KEYS[0]
            fleet.set_weight_locations("llm", key, {"a": 1})
            fleet.set_weight_locations("other", key, {"b": 1})
            assert [rep.name for rep in fleet.holders("llm", key)] == ["a"]
            fleet.clear_weight_locations("llm")
            assert not fleet.holders("llm", key)
            assert [rep.name for rep in fleet.holders("other", key)] == ["b"]

        run(scenario)

    def test_the_end_of_what_ran_is_told_although_the_replica_is_forgotten(self):
        """Else its planner would count it there for ever."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            state = FleetState()
            state.replicas["a"] = Replica("a", "llm", "a:1", "hall")
            fleet = Fleet(state, "hall", clock)
            link = PlannerLink("llm", "me", "", fleet, clock)
            link._take(pb.FromPlanner(gateways=300, news_ms=900, scoped=True))
            fleet.load("a").running = 1
            assert [load.running for load in link._message(False).loads] == [1]
            fleet.load("a").running = 0
            fleet.forget_gone()
            assert not fleet.has_load("a")
            assert [(load.replica, load.running) for load in link._message(False).loads] == [
                ("a", 0)
            ]
            assert not link._message(False).loads

        run(scenario)

    def test_replicas_tell_where_weights_are_while_nobody_plans(self):
        state = FleetState()
        for name in ("a", "b"):
            held = (Holding(KEYS[0], 2),) if name == "a" else ()
            state.replicas[name] = Replica(name, "llm", f"{name}:1", "hall", holdings=held)
        fleet = Fleet(state, "hall", lambda: 0.0)
        fleet.is_scoped = True
        assert not fleet.holders("llm", KEYS[0])
        assert [rep.name for rep in fleet.self_reported_holders("llm", KEYS[0])] == ["a"]
        state.versions[KEYS[0]] = 3
        assert not fleet.self_reported_holders("llm", KEYS[0])


@pytest.mark.parametrize("engines", [300, 1200])
class TestDecisions:
    def test_the_engines_looked_at_for_a_load_do_not_grow_with_all(self, engines, monkeypatch):
        async def scenario():
            fleet = SimulatedFleet(2, engines, 0.0)
            await fleet.play(3.0)
            looked = []
            find = LoadTargets._find
            monkeypatch.setattr(
                LoadTargets,
                "_find",
                lambda self, engine: looked.append(engine) or find(self, engine),
            )
            openings = fleet.planner.load_targets()
            assert not looked
            key = AdapterKey("base-model", "adapter-of-nobody")
            found = openings.candidates(key, 1, lambda name: True)
            assert len(found) == MAX_CANDIDATES
            assert len(looked) <= MAX_CANDIDATES + MAX_CACHED_CANDIDATES
            await fleet.stop()

        run(scenario)

    def test_engines_that_keep_an_adapter_are_looked_at_wherever_they_are(self, engines):
        async def scenario():
            fleet = SimulatedFleet(2, engines, 0.0)
            await fleet.play(3.0)
            key = AdapterKey("base-model", "adapter-kept")
            names = list(fleet.planner.engines)[::100]
            for name in names:
                fleet.planner.engines[name].add_cached(Holding(key, 1))
            found = dict(fleet.planner.load_targets().candidates(key, 1, lambda name: True))
            assert found.keys() >= set(names)
            await fleet.stop()

        run(scenario)

    def test_an_adapter_finds_the_only_engine_with_room(self, engines):
        async def scenario():
            fleet = SimulatedFleet(2, engines, 0.0)
            await fleet.play(3.0)
            for name, engine in fleet.planner.engines.items():
                engine.synced = name == "engine-hall-1-life-00007"
            found = fleet.planner.load_targets().candidates(
                AdapterKey("base-model", "adapter-x"), 1, lambda name: True
            )
            assert [name for name, _ in found] == ["engine-hall-1-life-00007"]
            await fleet.stop()

        run(scenario)


class TestSyncs:
    def test_engines_are_asked_for_their_state_a_few_at_a_time_those_in_use_first(self):
        """A new planner opened 2,517 connections at once."""

        async def scenario():
            fleet = SimulatedFleet(1, 1000, 0.0)
            asked = []
            report = fleet.orders.report

            async def note(replica):
                asked.append(replica.name)
                return await report(replica)

            fleet.orders.report = note
            late = "engine-hall-0-life-00999"
            fleet.planner.refresh()
            fleet.planner.engines[late].update_load(1, ReportedLoad(0, 1))
            await asyncio.sleep(2.0)
            assert fleet.orders.max_concurrent_reports <= MAX_CONCURRENT_SYNCS
            assert asked.index(late) <= 2 * MAX_PENDING_SYNCS
            assert all(engine.synced for engine in fleet.planner.engines.values())
            await fleet.stop()

        run(scenario)

    def test_what_engines_tell_in_the_store_counts_until_their_reports(self):
        """After the loss of all instances requests waited for the reports of 3,000 engines."""

        async def scenario():
            fleet = SimulatedFleet(1, 300, 0.0, tells=True)
            (gateway,) = fleet.gateways
            never = asyncio.Event()

            async def report(replica):
                await never.wait()

            fleet.orders.report = report
            await asyncio.sleep(0.05)
            ask = gateway.ask()
            fleet.planner.take(gateway.follower, pb.FromGateway(asks=[ask]))
            (answer,) = gateway.follower.take_messages()[0].answers
            key = AdapterKey(ask.model, ask.adapter)
            assert key in {held.key for held in fleet.orders.holdings[answer.replica]}
            again = gateway.ask()
            again.adapter, again.absent = ask.adapter, answer.replica
            fleet.planner.take(gateway.follower, pb.FromGateway(asks=[again]))
            assert not fleet.planner.engines[answer.replica].holds(key)
            assert not any(message.answers for message in gateway.follower.take_messages())
            await fleet.stop()

        run(scenario)

    def test_engines_that_give_no_report_keep_no_other_waiting(self):
        async def scenario():
            fleet = SimulatedFleet(1, 900, 0.0)
            report = fleet.orders.report

            async def some(replica):
                if int(replica.name[-5:]) < 500:
                    await asyncio.sleep(0.1)
                    return None
                return await report(replica)

            fleet.orders.report = some
            await asyncio.sleep(6.0)
            engines = fleet.planner.engines.values()
            assert sum(engine.synced for engine in engines) == 400
            await fleet.stop()

        run(scenario)


def test_a_verdict_for_a_hall_waits_beside_the_one_for_all():
    of_all = pb.Verdict(replica="r", failing=0.2)
    of_hall = pb.Verdict(replica="r", hall="east", failing=0.9)
    newer = pb.Verdict(replica="r", failing=0.3)
    merged = merge_news(
        pb.FromPlanner(verdicts=[of_all, of_hall]), pb.FromPlanner(verdicts=[newer])
    )
    assert list(merged.verdicts) == [newer, of_hall]
