"""Questions of a planner whose engines are full, by shares of what was used."""

import asyncio

import logbook
import pytest
from gradelug_gateway.fair_line import BEYOND_SHARE, QuotaWeights
from gradelug_gateway.job import Outcome
from gradelug_gateway.metrics import Meters
from gradelug_gateway.model import AdapterKey, Snapshot
from gradelug_gateway.organisations import Organisation, Organisations, Principal, Quota
from gradelug_gateway.share_log import tell_standing
from gradelug_gateway.share_tally import MOST_UNTOLD, NOBODY, ShareTally, ShareTeller, party_of
from gradelug_policy.engine_room import HOLD_S
from gradelug_policy.reading import Work
from gradelug_policy.uses import FIRST_TURNS_S, Party
from gradelug_wire import placement_pb2 as pb
from test_planner import run
from test_planner_room import ASK, BATCH, RoomBench

FLOOD = {"organisation": "flood", "kind": "k", **ASK}
SMALL = {"organisation": "small", "kind": "k", **ASK}


class ShareBench(RoomBench):
    """Engines on which one organisation used nearly all."""

    def used(self, owner, tokens, requests=1, kind="k"):
        use = pb.PartyUse(owner=owner, kind=kind, tokens=tokens, requests=requests)
        self.planner.take(self.gateway, pb.FromGateway(party_uses=[use]))

    async def flooded(self, turns=100):
        """Bring an adapter to an engine, which is full; return its name."""
        home = await self.place("a")
        self.used("flood", 900_000, turns)
        self.used("small", 10_000)
        self.used("other", 10_000)
        await asyncio.sleep(FIRST_TURNS_S)
        self.tell_all(BATCH)
        return home

    async def answer(self, ticket, after_s):
        await asyncio.sleep(after_s)
        return self.collect().get(ticket)


class TestWarmRequests:
    def test_the_slot_that_gets_free_goes_to_who_used_less(self):
        async def scenario():
            bench = ShareBench()
            home = await bench.flooded()
            first = bench.ask("a", target_s=3.0, **FLOOD)
            second = bench.ask("a", target_s=3.0, **SMALL)
            await asyncio.sleep(0.1)
            bench.tell(home, BATCH - 1)
            assert (await bench.answer(second, 0.05)).replica == home
            assert await bench.answer(first, 0.0) is None
            bench.tell(home, BATCH - 1)
            assert (await bench.answer(first, 0.15)).replica == home
            await bench.stop()

        run(scenario)

    def test_without_the_feature_it_goes_to_who_came_first(self):
        async def scenario():
            bench = ShareBench()
            bench.planner.fair_queue._is_on = False
            home = await bench.flooded()
            first = bench.ask("a", **FLOOD)
            second = bench.ask("a", **SMALL)
            await asyncio.sleep(0.1)
            bench.tell(home, BATCH - 1)
            answer = await bench.answer(first, 0.05)
            assert answer.replica == home
            assert not answer.HasField("standing")
            assert await bench.answer(second, 0.0) is None
            await bench.stop()

        run(scenario)

    def test_who_floods_does_not_fill_the_engines_queue(self):
        async def scenario():
            bench = ShareBench()
            await bench.flooded()
            flood = bench.ask("a", target_s=2.0, **FLOOD)
            small = bench.ask("a", target_s=2.0, **SMALL)
            # As before, who is within its part queues at an engine after a while.
            assert (await bench.answer(small, HOLD_S + 0.15)).replica
            assert await bench.answer(flood, 0.0) is None
            await bench.stop()

        run(scenario)

    def test_what_would_not_have_its_turn_in_time_is_refused_at_once(self):
        async def scenario():
            bench = ShareBench()
            await bench.flooded(turns=2)
            small = bench.ask("a", target_s=2.0, **SMALL)
            await asyncio.sleep(0.02)
            floods = [bench.ask("a", target_s=2.0, **FLOOD) for _ in range(20)]
            await asyncio.sleep(0.1)
            found = bench.collect()
            assert small not in found
            assert floods[0] not in found
            refused = [found[ticket] for ticket in floods if ticket in found]
            assert len(refused) > 10
            assert {answer.reason for answer in refused} == {BEYOND_SHARE}
            standing = refused[-1].standing
            assert standing.yields
            assert standing.part > 0.9
            assert standing.owners == 2
            assert standing.age_ms < 1_000
            await bench.stop()

        run(scenario)

    def test_a_stream_that_was_begun_yields_to_nobody(self):
        async def scenario():
            bench = ShareBench()
            home = await bench.flooded()
            bench.ask("a", **SMALL)
            await asyncio.sleep(0.05)
            begun = bench.ask("a", begun=True, **FLOOD)
            assert (await bench.answer(begun, 0.02)).replica == home
            await bench.stop()

        run(scenario)

    def test_where_engines_have_room_nothing_waits(self):
        async def scenario():
            bench = ShareBench()
            home = await bench.flooded()
            bench.tell_all(0)
            for ask in (FLOOD, SMALL):
                answer = await bench.answer(bench.ask("a", **ask), 0.0)
                assert answer.replica == home
                assert not answer.HasField("standing")
            await bench.stop()

        run(scenario)

    def test_a_successor_begins_with_equal_owners(self):
        async def scenario():
            bench = ShareBench()
            home = await bench.place("a")
            bench.tell_all(BATCH)
            first = bench.ask("a", target_s=3.0, **FLOOD)
            second = bench.ask("a", target_s=3.0, **SMALL)
            await asyncio.sleep(0.1)
            bench.tell(home, BATCH - 1)
            assert (await bench.answer(first, 0.05)).replica == home
            assert await bench.answer(second, 0.0) is None
            await bench.stop()

        run(scenario)


class TestColdRequests:
    def test_who_loaded_beyond_its_share_comes_after_the_others(self):
        async def scenario():
            bench = ShareBench()
            fair = bench.planner.fair_queue
            waiters = [_Waiting(owner) for owner in ("flood", "flood", "small", "other")]
            now = bench.clock()
            assert fair.put_over_share_last(list(waiters), now) == waiters
            for _ in range(40):
                fair.note_load(waiters[0], now)
            fair.note_load(waiters[2], now)
            assert fair.put_over_share_last(list(waiters), now) == [*waiters[2:], *waiters[:2]]
            await bench.stop()

        run(scenario)


class TestWeights:
    def test_quotas_are_weights_and_who_has_none_has_their_mean(self):
        members = [
            (Organisation("a", quota=Quota(100.0, 10.0)), ["x"]),
            (Organisation("b", quota=Quota(300.0, 10.0)), ["y"]),
            (Organisation("c", quota=Quota(5.0, 10.0, counts_tokens=False)), ["z"]),
            (Organisation("d"), ["w"]),
        ]
        weights = QuotaWeights(Organisations(members))
        assert [weights.weight(name) for name in "abcd"] == [100.0, 300.0, 200.0, 200.0]

    def test_the_configuration_in_force_tells(self):
        async def scenario():
            bench = ShareBench()
            await bench.flooded()
            bench.planner.state.snapshot = Snapshot(
                1, (), {}, None, Organisations([(Organisation("flood", quota=Quota(1e9, 1.0)), [])])
            )
            assert bench.planner.fair_queue._current_weights().weight("small") == 1e9
            await bench.stop()

        run(scenario)


class _Waiting:
    def __init__(self, owner):
        self.ask = pb.Ask(organisation=owner)


class _Named:
    def __init__(self, name):
        self.name = name


class _Job:
    """What a tally asks of a request."""

    def __init__(self, owner="o", prompt=100, answer=10, engine=True):
        self.principal = Principal(Organisation(owner), b"") if owner else None
        self.route = _Named("r")
        self.service = _Named("llm")
        self.service.engine = object() if engine else None
        self.work = Work(prompt, 0, answer)
        self.placed_s = 0.2
        self.req = _Named("")
        self.req.key = AdapterKey("m", "a")


class TestTally:
    @pytest.fixture
    def tally(self):
        return ShareTally(lambda: 1.0, Meters(), lambda: True)

    def told(self, tally):
        message = pb.FromGateway()
        ShareTeller("llm", tally, lambda: 1.5).fill(message)
        return [(use.owner, use.kind, use.tokens, use.requests) for use in message.party_uses]

    def test_what_was_sent_is_told_once(self, tally):
        tally.begin(_Job())
        tally.begin(_Job())
        tally.end(_Job(), Outcome.DONE)
        assert self.told(tally) == [("o", "r", 400, 2)]
        assert self.told(tally) == []

    def test_what_did_not_run_is_taken_back(self, tally):
        tally.begin(_Job())
        assert self.told(tally) == [("o", "r", 200, 1)]
        tally.end(_Job(), Outcome.FULL)
        assert self.told(tally) == [("o", "r", -200, -1)]

    def test_services_without_engines_do_not_count(self, tally):
        tally.begin(_Job(engine=False))
        tally.end(_Job(engine=False), Outcome.FULL)
        assert self.told(tally) == []

    def test_what_is_untold_is_bounded(self, tally):
        for at in range(MOST_UNTOLD + 10):
            tally.begin(_Job(f"o{at}"))
        assert len(self.told(tally)) == MOST_UNTOLD

    def test_without_organisations_an_adapter_is_the_owner(self):
        assert party_of(_Job(""), False) == Party("m/a", "r")
        assert party_of(_Job(""), True) == Party(NOBODY, "r")

    def test_the_figures_name_organisations_alone(self, tally):
        tally.begin(_Job())
        tally.begin(_Job(""))
        text = tally._meters.text().decode()
        assert 'gradelug_engine_tokens_total{organisation="o"} 200.0' in text
        assert 'gradelug_engine_tokens_total{organisation=""} 200.0' in text
        assert 'gradelug_engine_wait_seconds_count{organisation="o"} 1.0' in text

    def test_on_another_stream_what_was_not_told_is_forgotten(self, tally):
        tally.begin(_Job())
        ShareTeller("llm", tally, lambda: 1.5).begin_stream()
        assert self.told(tally) == []


def test_a_line_tells_by_what_a_request_was_judged():
    standing = pb.Standing(part=0.61, fair=0.4, yields=True, waiting=9, owners=3, age_ms=120)
    with logbook.TestHandler() as handler:
        tell_standing("q1", Party("o", "k"), 2, pb.Answer(standing=standing))
    (record,) = handler.records
    assert record.message == "share"
    assert record.kwargs["id"] == "q1"
    told = {name: record.kwargs[name] for name in ("owner", "part", "fair", "age_s", "outcome")}
    assert told == {"owner": "o", "part": 0.61, "fair": 0.4, "age_s": 0.12, "outcome": "refused"}
