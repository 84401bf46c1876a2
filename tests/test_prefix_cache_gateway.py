"""Prefix caching: wire format, placement by planners and choice of engine by gateways."""

import asyncio

import pytest
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.link import PlannerLink
from gradelug_gateway.model import (
    AdapterKey,
    EngineReport,
    FleetState,
    Holding,
    Repeat,
    Replica,
    ReportedLoad,
    Request,
)
from gradelug_gateway.prefix_cache import PrefixCache, decode_chain, encode_chain
from gradelug_policy.engine_capacity import EngineEstimator
from gradelug_policy.prefill import EngineLoad, PrefillSpeeds, RequestWork, first_event_s
from gradelug_policy.prefix_cache import CACHE_TTL_S, PromptPart, prefix_chain
from gradelug_wire import placement_pb2 as pb
from test_planner import Bench as PlannerBench
from test_planner import run
from test_planner_capacity import SPEC as ROOM_SPEC
from test_serving import ADAPTER, END, HELD, STREAM, Bench, event, route

KEY = AdapterKey("m", "a")
PARTS = (PromptPart("5c1e", 800), PromptPart("91bd", 410), PromptPart("e440", 250))
CHAIN = prefix_chain("m/a", "", PARTS)
WORK = RequestWork(1_460, 0, 80, CHAIN)
HEADERS = b"X-Gradelug-Token-Usage: 1460,80\r\nX-Gradelug-Prompt-Prefix: %b\r\n"
PREFIX = b"5c1e:800,91bd:410,e440:250"


class TestWire:
    @pytest.mark.parametrize(
        ("text", "parts"),
        [
            (PREFIX, PARTS),
            (b"5c1e:800, 91bd:410 ,e440:250", PARTS),
            (b"", ()),
            (b"5c1e", ()),
            (b"5c1e:800,:410", ()),
            (b"5c1e:800,91bd:-4", ()),
            (b"5c1e:800,91bd:4.5", ()),
            (b"5c1e:800,,e440:250", ()),
        ],
    )
    def test_prefixes_are_parsed_and_forwarded_unchanged(self, text, parts):
        async def scenario():
            bench = Bench(
                route(Repeat.RESUME, True, 2, "llm"), [[[STREAM + END]]], HELD, engine=True
            )
            seen = []

            class RecordingCache(PrefixCache):
                def chain(self, req, owner):
                    seen.append(req.parts)

            bench.fleet.prefix_cache = RecordingCache(bench.clock)
            bench.client(4000, ADAPTER + HEADERS % text)
            await asyncio.sleep(0.1)
            assert seen == [parts]
            assert b"X-Gradelug-Prompt-Prefix: " + text.strip() in bench.received("s0")

        run(scenario)

    def test_a_chain_survives_encoding(self):
        assert decode_chain("m/a", encode_chain(CHAIN)) == CHAIN
        assert decode_chain("m/a", encode_chain(None)) is None


class PrefixCacheBench(PlannerBench):
    """A planner with two engines that both hold the same adapter."""

    async def answer(self, **more):
        ticket = self.ask("a", prompt_tokens=1_460, prefixes=encode_chain(CHAIN), **more)
        await asyncio.sleep(0.05)
        return self.collect()[ticket]


class TestPlanner:
    def new_bench(self):
        return PrefixCacheBench(spec=ROOM_SPEC, room=EngineEstimator(PrefillSpeeds()))

    def play(self, scenario):
        async def whole():
            bench = self.new_bench()
            await asyncio.sleep(0.5)
            for name in ("e0", "e1"):
                begun = bench.planner.load(
                    KEY,
                    bench.clock(),
                    bench.planner.load_targets(),
                    lambda other, to=name: other == to,
                )
                assert begun
            await asyncio.sleep(0.6)
            await scenario(bench)
            await bench.stop()

        run(whole)

    def test_prompts_with_a_common_prefix_go_to_the_engine_that_caches_it(self):
        async def scenario(bench):
            first = await bench.answer()
            assert first.kept_tokens == 0
            # That engine has a slightly longer queue.
            bench.load(first.replica, 0)
            load = pb.Load(replica=first.replica, running=2, queued=[500])
            bench.planner.take(bench.gateway, pb.FromGateway(loads=[load]))
            second = await bench.answer()
            assert (second.replica, second.kept_tokens) == (first.replica, 1_210)
            assert list(second.load.queued) == [500 + 250]

        self.play(scenario)

    def test_a_long_queue_outweighs_a_cached_prefix(self):
        async def scenario(bench):
            first = await bench.answer()
            bench.load(first.replica, 2)
            second = await bench.answer()
            assert second.replica != first.replica
            assert second.kept_tokens == 0

        self.play(scenario)

    def test_a_restarted_engine_has_nothing_cached(self):
        async def scenario(bench):
            first = await bench.answer()
            kept = bench.planner.index.prefix_cache
            assert kept.estimate_cached_tokens(first.replica, CHAIN, bench.clock()) == 1_210
            old = bench.planner.engines[first.replica]
            bench.planner.registry.replace(old, 9)
            assert kept.estimate_cached_tokens(first.replica, CHAIN, bench.clock()) == 0

        self.play(scenario)

    def test_prefixes_are_dropped_with_their_adapter(self):
        async def scenario(bench):
            first = await bench.answer()
            engine = bench.planner.engines[first.replica]
            engine.evict(KEY.text)
            kept = bench.planner.index.prefix_cache
            assert kept.estimate_cached_tokens(first.replica, CHAIN, bench.clock()) == 0

        self.play(scenario)

    def test_prefixes_are_dropped_with_an_older_adapter_version(self):
        """The engine reports a newer version in place of the older one."""

        async def scenario(bench):
            first = await bench.answer()
            engine = bench.planner.engines[first.replica]
            held = (Holding(AdapterKey("m"), 1), Holding(KEY, 2))
            engine.apply_report(EngineReport(9, held, (), frozenset(), False), bench.clock())
            kept = bench.planner.index.prefix_cache
            assert kept.estimate_cached_tokens(first.replica, CHAIN, bench.clock()) == 0

        self.play(scenario)

    def test_prompts_of_all_gateways_evict_prefixes(self):
        async def scenario(bench):
            first = await bench.answer()
            use = pb.Use(replica=first.replica, model="m", adapter="a", started_tokens=20_000)
            bench.planner.take(bench.gateway, pb.FromGateway(uses=[use]))
            assert (await bench.answer(only=first.replica)).kept_tokens == 0

        self.play(scenario)

    def test_planner_and_gateways_choose_the_same_engine(self):
        async def scenario(bench):
            fleet = new_fleet()
            del fleet.state.replicas["e2"]
            homes = set()
            for number in range(12):
                chain = prefix_chain("m/a", "", (PromptPart(f"p{number}", 900), PARTS[2]))
                ticket = bench.ask("a", prompt_tokens=1_150, prefixes=encode_chain(chain))
                await asyncio.sleep(0.05)
                answer = bench.collect()[ticket]
                assert answer.kept_tokens == 0
                work = RequestWork(1_150, 0, 80, chain)
                assert answer.replica == fleet.choose(fleet.usable("llm"), work=work).name
                homes.add(answer.replica)
                bench.load(answer.replica, 0)
            assert homes == {"e0", "e1"}

        self.play(scenario)

    def test_few_of_many_engines_cache_the_same_prefixes(self):
        async def scenario():
            bench = PrefixCacheBench(80, spec=ROOM_SPEC, room=EngineEstimator(PrefillSpeeds()))
            await asyncio.sleep(1.0)
            replicas = set()
            for number in range(40):
                parts = (*PARTS[:2], PromptPart(f"own{number}", 250))
                prefixes = encode_chain(prefix_chain("m", "", parts))
                ticket = bench.ask("", prompt_tokens=1_460, prefixes=prefixes)
                await asyncio.sleep(0.05)
                replica = bench.collect()[ticket].replica
                replicas.add(replica)
                bench.load(replica, 0)
            assert len(replicas) <= 4
            assert bench.planner.index.prefix_cache.reread == 0
            await bench.stop()

        run(scenario)

    def test_a_request_without_prefixes_is_credited_nothing(self):
        async def scenario(bench):
            await bench.answer()
            ticket = bench.ask("a", prompt_tokens=1_460)
            await asyncio.sleep(0.05)
            assert bench.collect()[ticket].kept_tokens == 0

        self.play(scenario)


class Clock:
    now = 5.0

    def __call__(self):
        return self.now


def new_fleet(is_on=True, has_room=False):
    clock, state = Clock(), FleetState()
    for name in ("e0", "e1", "e2"):
        state.replicas[name] = Replica(name, "llm", f"{name}:1", "hall", born=1)
    fleet = Fleet(state, "hall", clock, has_room=has_room, kept=PrefixCache(clock, is_on))
    fleet.set_weight_locations("llm", KEY, {"e0": 1, "e1": 1, "e2": 1})
    fleet.detect_restarts()
    return fleet


def request(parts=PARTS):
    return Request("q", "h", "/p", b"POST", b"/p", (), b"", 0.0, key=KEY, parts=parts)


class TestGateway:
    def test_gateways_without_observations_agree_on_an_engine(self):
        chains = [prefix_chain("m/a", "", (PromptPart(f"p{n}", 900), PARTS[2])) for n in range(30)]
        for chain in chains:
            work = RequestWork(1_150, 0, 80, chain)
            chosen = {new_fleet().choose(new_fleet().usable("llm"), work=work).name for _ in "ab"}
            assert len(chosen) == 1
        names = [
            new_fleet()
            .choose(new_fleet().usable("llm"), work=RequestWork(1_150, 0, 80, chain))
            .name
            for chain in chains
        ]
        assert set(names) == {"e0", "e1", "e2"}

    def test_gateways_with_old_state_agree_on_rare_chains(self):
        fleets = [new_fleet(has_room=True) for _ in range(4)]
        chosen = []
        for fleet in fleets:
            fleet.state_age_s = 0.5
            for number in range(64):
                chain = prefix_chain("m/a", "", (PromptPart(f"p{number}", 900), PARTS[2]))
                last = fleet.choose(fleet.usable("llm"), work=RequestWork(1_150, 0, 80, chain)).name
            chosen.append(last)
        assert len(set(chosen)) == 1

    def test_a_longer_queue_outweighs_cached_prefixes(self):
        fleet = new_fleet()
        home = fleet.choose(fleet.usable("llm"), work=WORK).name
        fleet.load(home).others = ReportedLoad(3, 0, (4_000,))
        assert fleet.choose(fleet.usable("llm"), work=WORK).name != home

    def test_sent_and_reported_prefixes_are_credited(self):
        fleet = new_fleet()
        assert fleet.prefix_cache.work_at("e0", WORK).prefill_tokens == 1_460
        fleet.prefix_cache.note_sent("e0", WORK, 60_000, 1)
        assert fleet.prefix_cache.work_at("e0", WORK).prefill_tokens == 250
        fleet.prefix_cache.note_reported("e1", CHAIN, 800)
        assert fleet.prefix_cache.work_at("e1", WORK).prefill_tokens == 660
        assert first_event_s(EngineLoad(), fleet.prefix_cache.work_at("e0", WORK), 1_000.0) == 0.25
        fleet.prefix_cache._clock.now += CACHE_TTL_S + 1
        assert fleet.prefix_cache.work_at("e0", WORK).prefill_tokens == 1_460

    def test_a_restarted_engine_is_not_credited(self):
        fleet = new_fleet()
        fleet.prefix_cache.note_sent("e0", WORK, 60_000, 1)
        fleet.state.replicas["e0"] = Replica("e0", "llm", "e0:1", "hall", born=2)
        fleet.detect_restarts()
        assert fleet.prefix_cache.work_at("e0", WORK).kept_tokens == 0

    def test_prefixes_are_dropped_only_with_removed_weights(self):
        fleet = new_fleet()
        for name in ("e0", "e1"):
            fleet.prefix_cache.note_sent(name, WORK, 60_000, 1)
        fleet.set_weight_locations("llm", KEY, {"e0": 1, "e1": 2})
        assert fleet.prefix_cache.work_at("e0", WORK).kept_tokens == 1_210
        assert fleet.prefix_cache.work_at("e1", WORK).kept_tokens == 0
        fleet.set_holdings("e0", {})
        assert fleet.prefix_cache.work_at("e0", WORK).kept_tokens == 0

    @pytest.mark.parametrize(
        "report",
        [
            lambda fleet: fleet.set_holdings("e0", {KEY: 2}),
            lambda fleet: fleet.add_holding("e0", KEY, 2),
            lambda fleet: fleet.set_weight_locations("llm", KEY, {"e0": 2}),
        ],
        ids=["holdings", "answer", "homes"],
    )
    def test_prefixes_are_dropped_when_a_newer_version_is_reported(self, report):
        fleet = new_fleet()
        fleet.prefix_cache.note_sent("e0", WORK, 60_000, 1)
        report(fleet)
        assert fleet.prefix_cache.work_at("e0", WORK).kept_tokens == 0

    def test_load_reserved_by_the_planner_is_not_counted_twice(self):
        async def scenario():
            fleet = new_fleet()
            clock = asyncio.get_running_loop().time
            link = PlannerLink("llm", "me", "", fleet, clock)
            ask = pb.Ask(ticket=1, model="m", adapter="a", prompt_tokens=1_460)
            asking = asyncio.create_task(link.ask(1, ask, clock() + 1.0))
            await asyncio.sleep(0.01)
            load = pb.Load(replica="e0", starting=1, queued=[250])
            answer = pb.Answer(ticket=1, replica="e0", load=load, kept_tokens=1_210)
            link._handle_message(pb.FromPlanner(answers=[answer]))
            await asyncio.wait([asking], timeout=0.5)
            assert sum(fleet.load("e0").others.queued) == 0

        run(scenario)

    @pytest.mark.parametrize("is_on", [True, False])
    def test_prefix_caching_can_be_disabled(self, is_on):
        fleet = new_fleet(is_on)
        assert (fleet.prefix_cache.chain(request(), "") is not None) is is_on
        assert fleet.prefix_cache.chain(request(()), "") is None

    def test_prefixes_are_not_shared_between_organisations(self):
        fleet = new_fleet()
        one, two = (fleet.prefix_cache.chain(request(), owner) for owner in ("one", "two"))
        fleet.prefix_cache.note_sent("e0", RequestWork(1_460, 0, 80, one), 60_000, 1)
        assert fleet.prefix_cache.work_at("e0", RequestWork(1_460, 0, 80, one)).kept_tokens == 1_210
        assert fleet.prefix_cache.work_at("e0", RequestWork(1_460, 0, 80, two)).kept_tokens == 0

    def test_queues_count_uncached_tokens_and_return_to_zero(self):
        async def scenario():
            bench = Bench(route(Repeat.RESUME, True, 2, "llm"), [[[STREAM]]], HELD, engine=True)
            bench.fleet.prefix_cache = PrefixCache(bench.clock)
            for _ in range(2):
                bench.client(4000, ADAPTER + HEADERS % PREFIX)
                await asyncio.sleep(0.05)
            load = bench.fleet.load("s0")
            assert sum(load.queued) == 1_460 + 250
            for server in bench.servers["s0"]:
                server.transport.write(event(1) + END)
            await asyncio.sleep(0.1)
            assert sum(load.queued) == 0
            parts = bench.fleet.prefix_cache.parts
            assert (parts.shared, parts.credited) == (2_420, 1_210)

        run(scenario)
