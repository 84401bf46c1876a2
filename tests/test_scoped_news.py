"""State updates in a large fleet: a gateway receives what it uses in time, and nothing else."""

import asyncio
from collections import Counter

import pytest
from gradelug_gateway.engine_index import EngineIndex
from gradelug_gateway.engine_registry import MAX_QUERIED_ENGINES
from gradelug_gateway.engines import Engine, Phase, WeightSlot
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.follower import MAX_QUEUED_ANSWERS, MAX_QUEUED_ORDERS
from gradelug_gateway.followers import MAX_LOCATIONS_PER_KEY, MAX_UNSCOPED_ENGINES, Followers
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.load_targets import MAX_CACHED_CANDIDATES, MAX_CANDIDATES, LoadTargets
from gradelug_gateway.model import AdapterKey, FleetState, Holding, Replica, ReportedLoad
from gradelug_gateway.pending import merge_store_updates, merge_updates
from gradelug_gateway.scope import MAX_SCOPE_KEYS, SCOPE_RETENTION_S
from gradelug_gateway.state_sync import MAX_PENDING_SYNCS
from gradelug_policy.cells import Cells
from gradelug_wire import placement_pb2 as pb
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule
from simulated_fleet import SPEC, SimulatedFleet
from world import new_loop

ENGINES = MAX_UNSCOPED_ENGINES + 4
ACTIVE_ENGINES = 2
"""Number of engines in the model on which anything changes."""
KEYS = [AdapterKey("m", f"a{number}") for number in range(3)]


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


class Model:
    """A planner's engines and connected gateways, with the link of one of them."""

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
        self.followers.mark_changed(name)

    def remove(self, name, key):
        del self.engines[name].weight_slots[key]
        self.followers.mark_changed(name)

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
            self.link._handle_message(message)
        return messages

    def tell(self, seconds=0.05):
        self.now += seconds
        self.followers.broadcast_updates(True)


def test_locations_read_between_ticks_are_sent_again_after_reverting():
    """The state machine below found that the gateway kept the version in between."""
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
    """A gateway's view of weights it uses equals a recent state; it has no other weights."""

    @initialize(gateways=st.sampled_from([1, 60]))
    def begin(self, gateways):
        self.model = Model(gateways)
        self.used = {}
        self.runs = Counter()
        self.truths = {key: [{}] for key in KEYS}
        """Successive locations by weights, since the last update that was due."""

    def note_truth(self):
        for key in KEYS:
            self.truths[key].append(self.model.truth(key))

    @rule(
        number=st.integers(0, ACTIVE_ENGINES - 1),
        key=st.sampled_from(KEYS),
        version=st.integers(1, 3),
    )
    def place(self, number, key, version):
        self.model.place(f"e{number}", key, version)
        self.note_truth()

    @rule(number=st.integers(0, ACTIVE_ENGINES - 1), key=st.sampled_from(KEYS))
    def remove(self, number, key):
        if key in self.model.engines[f"e{number}"].weight_slots:
            self.model.remove(f"e{number}", key)
            self.note_truth()

    @rule(number=st.integers(0, ACTIVE_ENGINES - 1), key=st.sampled_from(KEYS))
    def unsettle(self, number, key):
        """Start draining weights: the slot remains, but accepts no new requests."""
        place = self.model.engines[f"e{number}"].weight_slots.get(key)
        if place is not None:
            place.phase = Phase.DRAINING
            self.model.followers.mark_changed(f"e{number}")
            self.note_truth()

    @rule(key=st.sampled_from(KEYS))
    def ask(self, key):
        self.model.followers.note_use(self.model.follower, key)
        self.used[key] = self.model.now

    @rule(
        number=st.integers(0, ACTIVE_ENGINES - 1),
        key=st.sampled_from(KEYS),
        change=st.integers(-1, 1),
    )
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
            # The update is built when it is read, and includes at least all changes so far.
            self.truths = {key: [self.model.truth(key)] for key in KEYS}

    @rule()
    def read(self):
        """Read, possibly after a long time: the view is as recent as the last update."""
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
                # Either it still receives updates for the weights, or it holds none.
                assert view in ({}, *self.truths[key])

    def teardown(self):
        if hasattr(self, "model"):
            self.model.loop.close()


TestScopedNews = ScopedNews.TestCase
TestScopedNews.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True, database=None
)


class TestStateUpdates:
    def test_new_gateway_in_large_fleet_receives_no_unused_state(self):
        """Each of 300 gateways that connected to a fleet of 3,000 engines received 1 MB at once."""
        model = Model()
        for number in range(ENGINES):
            model.place(f"e{number}", KEYS[0])
        model.tell(2.0)
        assert sum(message.ByteSize() for message in model.follower.take_messages()) < 100

    def test_full_updates_are_sent_if_scoping_is_disabled(self):
        model = Model(may_scope=False)
        model.place("e0", KEYS[0])
        model.tell(2.0)
        (message,) = model.read()
        assert len(message.holdings) >= ENGINES
        assert not message.scoped
        assert model.view(KEYS[0]) == {"e0": 1}

    def test_unread_updates_are_merged(self):
        """A planner queued all updates for gateways that read slowly, which took 304 MB."""
        model = Model(gateways=60)
        model.follower.take_messages()
        for step in range(600):
            for number in range(ACTIVE_ENGINES):
                key = AdapterKey("m", f"b{step}-{number}")
                model.followers.note_use(model.follower, key)
                model.place(f"e{number}", key)
                model.engines[f"e{number}"].update_load(
                    model.follower.number, ReportedLoad(0, step + 1)
                )
            model.follower.queue_message(pb.FromPlanner(orders=[pb.EngineOrder(ticket=step)]))
            model.follower.queue_answer(pb.Answer(ticket=step))
            model.tell(0.2)
        pending = model.follower.pending
        assert len(pending.keys) <= 2 * MAX_SCOPE_KEYS + ACTIVE_ENGINES
        assert len(pending.replicas) <= ACTIVE_ENGINES
        assert len(model.follower.outbox) <= MAX_QUEUED_ORDERS
        messages = model.read()
        assert len(messages) <= MAX_QUEUED_ORDERS + 2
        used = model.followers._scopes.used_keys(model.follower.number)
        assert len(used) <= MAX_SCOPE_KEYS
        for key in used:
            assert model.view(key) == model.truth(key)

    @pytest.mark.parametrize("may_scope", [True, False])
    def test_scope_drops_weights_after_retention(self, may_scope):
        model = Model(may_scope=may_scope)
        for step in range(400):
            model.followers.note_use(model.follower, AdapterKey("m", f"b{step}"))
            model.tell(0.2)
            model.read()
        used = model.followers._scopes.used_keys(model.follower.number)
        assert len(used) <= SCOPE_RETENTION_S / 0.2 + 1

    def test_unread_answers_are_bounded(self):
        model = Model()
        for ticket in range(MAX_QUEUED_ANSWERS + 50):
            model.follower.queue_answer(pb.Answer(ticket=ticket))
            model.follower.queue_quota_answer(pb.QuotaAnswer(ticket=ticket))
        first = model.follower.take_messages()[0]
        assert len(first.answers) == len(first.quota_answers) == MAX_QUEUED_ANSWERS
        assert first.answers[-1].ticket == MAX_QUEUED_ANSWERS + 49

    def test_draining_weights_are_reported_as_removed(self):
        model = Model()
        model.place("e0", KEYS[0])
        model.followers.note_use(model.follower, KEYS[0])
        model.tell(2.0)
        model.read()
        assert model.view(KEYS[0]) == {"e0": 1}
        model.engines["e0"].weight_slots[KEYS[0]].phase = Phase.DRAINING
        model.followers.mark_changed("e0")
        model.tell(2.0)
        model.read()
        assert model.view(KEYS[0]) == {}

    def test_unused_weights_are_removed_at_both_ends(self):
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

    def test_locations_from_previous_connection_are_cleared(self):
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

    def test_subset_of_many_locations_is_sent(self):
        model = Model()
        key = AdapterKey("m")
        for number in range(ENGINES):
            model.place(f"e{number}", key)
        model.followers.note_use(model.follower, key)
        model.tell(2.0)
        model.read()
        first_view = model.view(key)
        assert len(first_view) == MAX_LOCATIONS_PER_KEY
        listed, unlisted = next(iter(first_view)), next(
            name for name in model.engines if name not in first_view
        )
        for name in (listed, unlisted):
            model.engines[name].update_load(77, ReportedLoad(0, 5))
        model.remove(unlisted, key)
        model.tell(2.0)
        (message,) = model.read()
        assert not message.homes
        assert [load.replica for load in message.loads] == [listed]
        model.remove(listed, key)
        model.tell(2.0)
        model.read()
        assert len(model.view(key)) == MAX_LOCATIONS_PER_KEY
        assert len(model.view(key).keys() & first_view.keys()) == MAX_LOCATIONS_PER_KEY - 1

    def test_gateway_receives_load_of_engines_it_uses(self):
        model = Model(gateways=60)
        model.read()
        model.engines["e0"].update_load(model.follower.number, ReportedLoad(0, 1))
        for number in (0, 1):
            model.engines[f"e{number}"].update_load(77, ReportedLoad(0, 5))
        model.tell()
        (message,) = model.read()
        assert [(load.replica, load.running) for load in message.loads] == [("e0", 6)]

    def test_full_updates_resume_when_fleet_shrinks(self):
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

    def test_gateways_receive_different_subsets_of_base_model_locations(self):
        async def scenario():
            fleet = SimulatedFleet(3, 400, 0.0)
            await fleet.play(3.0)
            location_sets = []
            for gateway in fleet.gateways:
                gateway.follower.take_messages()
                use = pb.Use(replica="x", model="base-model", active=1, started=1)
                fleet.planner.take(gateway.follower, pb.FromGateway(uses=[use]))
            await asyncio.sleep(1.0)
            for gateway in fleet.gateways:
                (locations,) = gateway.follower.take_messages()[-1].homes
                location_sets.append({location.replica for location in locations.homes})
            assert [len(names) for names in location_sets] == [MAX_LOCATIONS_PER_KEY] * 3
            assert location_sets[0] != location_sets[1]
            await fleet.stop()

        run(scenario)


class TestMergeUpdates:
    def test_newest_record_of_each_replica_is_kept(self):
        old = pb.FromPlanner(
            gateways=3,
            loads=[pb.Load(replica="a", running=1), pb.Load(replica="b", running=2)],
            verdicts=[pb.Verdict(replica="a", failing=0.5)],
        )
        new = pb.FromPlanner(gateways=4, loads=[pb.Load(replica="a", running=9)])
        merged = merge_updates(old, new)
        assert merged.gateways == 4
        assert {load.replica: load.running for load in merged.loads} == {"a": 9, "b": 2}
        assert [verdict.replica for verdict in merged.verdicts] == ["a"]

    def test_store_records_are_not_lost(self):
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
        merged = merge_store_updates(old, new)
        assert merged.look
        assert merged.age_ms == 7
        assert {fact.replica: (fact.gone, fact.leaving) for fact in merged.replicas} == {
            "a": (True, False),
            "b": (False, True),
        }
        assert [fact.version for fact in merged.versions] == [3]
        assert merged.config_entry.revision == 4


class TestGateway:
    def test_locations_of_other_services_are_kept(self):
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

    def test_zero_load_is_reported_after_replica_is_removed(self):
        """Otherwise the planner would count the load on the replica forever."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            state = FleetState()
            state.replicas["a"] = Replica("a", "llm", "a:1", "hall")
            fleet = Fleet(state, "hall", clock)
            link = PlannerLink("llm", "me", "", fleet, clock)
            link._handle_message(pb.FromPlanner(gateways=300, news_ms=900, scoped=True))
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

    def test_self_reported_holders_are_used_without_planner(self):
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
    def test_number_of_engines_checked_for_load_is_bounded(self, engines, monkeypatch):
        async def scenario():
            fleet = SimulatedFleet(2, engines, 0.0)
            await fleet.play(3.0)
            checked = []
            find = LoadTargets._find
            monkeypatch.setattr(
                LoadTargets,
                "_find",
                lambda self, engine: checked.append(engine) or find(self, engine),
            )
            targets = fleet.planner.load_targets()
            assert not checked
            key = AdapterKey("base-model", "adapter-of-nobody")
            found = targets.candidates(key, 1, lambda name: True)
            assert len(found) == MAX_CANDIDATES
            assert len(checked) <= MAX_CANDIDATES + MAX_CACHED_CANDIDATES
            await fleet.stop()

        run(scenario)

    def test_engines_with_cached_adapter_are_always_candidates(self, engines):
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

    def test_only_synced_engine_is_found(self, engines):
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
    def test_concurrent_syncs_are_bounded_and_engines_in_use_go_first(self):
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
            assert fleet.orders.max_concurrent_reports <= MAX_QUERIED_ENGINES
            assert asked.index(late) <= 2 * MAX_PENDING_SYNCS
            assert all(engine.synced for engine in fleet.planner.engines.values())
            await fleet.stop()

        run(scenario)

    def test_holdings_from_store_apply_until_engine_reports(self):
        """After the loss of all instances, requests waited for the reports of 3,000 engines."""

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

    def test_engines_without_report_do_not_delay_others(self):
        async def scenario():
            fleet = SimulatedFleet(1, 900, 0.0)
            report = fleet.orders.report

            async def report_some(replica):
                if int(replica.name[-5:]) < 500:
                    await asyncio.sleep(0.1)
                    return None
                return await report(replica)

            fleet.orders.report = report_some
            await asyncio.sleep(6.0)
            engines = fleet.planner.engines.values()
            assert sum(engine.synced for engine in engines) == 400
            await fleet.stop()

        run(scenario)


def test_hall_verdict_is_kept_beside_fleet_verdict():
    of_all = pb.Verdict(replica="r", failing=0.2)
    of_hall = pb.Verdict(replica="r", hall="east", failing=0.9)
    newer = pb.Verdict(replica="r", failing=0.3)
    merged = merge_updates(
        pb.FromPlanner(verdicts=[of_all, of_hall]), pb.FromPlanner(verdicts=[newer])
    )
    assert list(merged.verdicts) == [newer, of_hall]
