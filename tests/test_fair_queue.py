"""Tests of fair sharing among requests that wait for full engines, and of usage reports."""

import asyncio

import logbook
import pytest
from gradelug_gateway.fair_queue import BEYOND_SHARE, QuotaWeights
from gradelug_gateway.job import Outcome
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import AdapterKey, Snapshot
from gradelug_gateway.organisations import Organisation, Organisations, Principal, Quota
from gradelug_gateway.share_log import log_share_decision
from gradelug_gateway.share_tally import (
    MAX_UNREPORTED_PARTIES,
    UNKNOWN_OWNER,
    UsageReporter,
    UsageTally,
    party_of,
)
from gradelug_policy.engine_capacity import MAX_REQUEST_HOLD_S
from gradelug_policy.prefill import RequestWork
from gradelug_policy.uses import MIN_OBSERVED_S, Party
from gradelug_wire import placement_pb2 as pb
from test_planner import run
from test_planner_capacity import ASK, BATCH, RoomBench

FLOOD = {"organisation": "flood", "kind": "k", **ASK}
SMALL = {"organisation": "small", "kind": "k", **ASK}


class FairShareBench(RoomBench):
    """Engines on which one organisation used nearly all capacity."""

    def report_usage(self, owner, tokens, requests=1, kind="k"):
        use = pb.PartyUse(owner=owner, kind=kind, tokens=tokens, requests=requests)
        self.planner.take(self.gateway, pb.FromGateway(party_uses=[use]))

    async def start_flooded(self, turns=100):
        """Load an adapter, then report all engines as full; return the adapter's engine."""
        holder = await self.place("a")
        self.report_usage("flood", 900_000, turns)
        self.report_usage("small", 10_000)
        self.report_usage("other", 10_000)
        await asyncio.sleep(MIN_OBSERVED_S)
        self.report_all_loads(BATCH)
        return holder

    async def answer(self, ticket, after_s):
        await asyncio.sleep(after_s)
        return self.collect().get(ticket)


class TestRequestsForLoadedWeights:
    def test_free_slot_goes_to_the_owner_that_used_less(self):
        async def scenario():
            bench = FairShareBench()
            holder = await bench.start_flooded()
            first = bench.ask("a", target_s=3.0, **FLOOD)
            second = bench.ask("a", target_s=3.0, **SMALL)
            await asyncio.sleep(0.1)
            bench.report_load(holder, BATCH - 1)
            assert (await bench.answer(second, 0.05)).replica == holder
            assert await bench.answer(first, 0.0) is None
            bench.report_load(holder, BATCH - 1)
            assert (await bench.answer(first, 0.15)).replica == holder
            await bench.stop()

        run(scenario)

    def test_without_the_feature_the_first_request_gets_the_slot(self):
        async def scenario():
            bench = FairShareBench()
            bench.planner.fair_queue._is_on = False
            holder = await bench.start_flooded()
            first = bench.ask("a", **FLOOD)
            second = bench.ask("a", **SMALL)
            await asyncio.sleep(0.1)
            bench.report_load(holder, BATCH - 1)
            answer = await bench.answer(first, 0.05)
            assert answer.replica == holder
            assert not answer.HasField("standing")
            assert await bench.answer(second, 0.0) is None
            await bench.stop()

        run(scenario)

    def test_flooding_owner_does_not_fill_the_engine_queue(self):
        async def scenario():
            bench = FairShareBench()
            await bench.start_flooded()
            flood = bench.ask("a", target_s=2.0, **FLOOD)
            small = bench.ask("a", target_s=2.0, **SMALL)
            # An owner within its share is sent to an engine's queue after the maximum hold time.
            assert (await bench.answer(small, MAX_REQUEST_HOLD_S + 0.15)).replica
            assert await bench.answer(flood, 0.0) is None
            await bench.stop()

        run(scenario)

    def test_request_that_cannot_be_served_in_time_is_refused_at_once(self):
        async def scenario():
            bench = FairShareBench()
            await bench.start_flooded(turns=2)
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

    def test_resumed_stream_yields_to_no_request(self):
        async def scenario():
            bench = FairShareBench()
            holder = await bench.start_flooded()
            bench.ask("a", **SMALL)
            await asyncio.sleep(0.05)
            begun = bench.ask("a", begun=True, **FLOOD)
            assert (await bench.answer(begun, 0.02)).replica == holder
            await bench.stop()

        run(scenario)

    def test_requests_do_not_wait_while_engines_have_capacity(self):
        async def scenario():
            bench = FairShareBench()
            holder = await bench.start_flooded()
            bench.report_all_loads(0)
            for ask in (FLOOD, SMALL):
                answer = await bench.answer(bench.ask("a", **ask), 0.0)
                assert answer.replica == holder
                assert not answer.HasField("standing")
            await bench.stop()

        run(scenario)

    def test_new_planner_starts_with_equal_shares(self):
        async def scenario():
            bench = FairShareBench()
            holder = await bench.place("a")
            bench.report_all_loads(BATCH)
            first = bench.ask("a", target_s=3.0, **FLOOD)
            second = bench.ask("a", target_s=3.0, **SMALL)
            await asyncio.sleep(0.1)
            bench.report_load(holder, BATCH - 1)
            assert (await bench.answer(first, 0.05)).replica == holder
            assert await bench.answer(second, 0.0) is None
            await bench.stop()

        run(scenario)


class TestRequestsForMissingWeights:
    def test_owner_over_its_share_of_loads_goes_last(self):
        async def scenario():
            bench = FairShareBench()
            fair = bench.planner.fair_queue
            waiters = [_WaitingRequest(owner) for owner in ("flood", "flood", "small", "other")]
            now = bench.clock()
            assert fair.put_over_share_last(list(waiters), now) == waiters
            for _ in range(40):
                fair.note_load(waiters[0], now)
            fair.note_load(waiters[2], now)
            assert fair.put_over_share_last(list(waiters), now) == [*waiters[2:], *waiters[:2]]
            await bench.stop()

        run(scenario)


class TestWeights:
    def test_weights_are_quotas_with_the_mean_as_default(self):
        members = [
            (Organisation("a", quota=Quota(100.0, 10.0)), ["x"]),
            (Organisation("b", quota=Quota(300.0, 10.0)), ["y"]),
            (Organisation("c", quota=Quota(5.0, 10.0, counts_tokens=False)), ["z"]),
            (Organisation("d"), ["w"]),
        ]
        weights = QuotaWeights(Organisations(members))
        assert [weights.weight(name) for name in "abcd"] == [100.0, 300.0, 200.0, 200.0]

    def test_weights_follow_the_configuration_in_force(self):
        async def scenario():
            bench = FairShareBench()
            await bench.start_flooded()
            bench.planner.state.snapshot = Snapshot(
                1, (), {}, None, Organisations([(Organisation("flood", quota=Quota(1e9, 1.0)), [])])
            )
            assert bench.planner.fair_queue._current_weights().weight("small") == 1e9
            await bench.stop()

        run(scenario)


class _WaitingRequest:
    def __init__(self, owner):
        self.ask = pb.Ask(organisation=owner)


class _Named:
    def __init__(self, name):
        self.name = name


class _Job:
    """The attributes of a request that the tally reads."""

    def __init__(self, owner="o", prompt=100, answer=10, engine=True):
        self.principal = Principal(Organisation(owner), b"") if owner else None
        self.route = _Named("r")
        self.service = _Named("llm")
        self.service.engine = object() if engine else None
        self.work = RequestWork(prompt, 0, answer)
        self.placed_s = 0.2
        self.req = _Named("")
        self.req.key = AdapterKey("m", "a")


class TestTally:
    @pytest.fixture
    def tally(self):
        return UsageTally(lambda: 1.0, GatewayMetrics(), lambda: True)

    def reported(self, tally):
        message = pb.FromGateway()
        UsageReporter("llm", tally, lambda: 1.5).fill(message)
        return [(use.owner, use.kind, use.tokens, use.requests) for use in message.party_uses]

    def test_usage_is_reported_once(self, tally):
        tally.begin(_Job())
        tally.begin(_Job())
        tally.end(_Job(), Outcome.DONE)
        assert self.reported(tally) == [("o", "r", 400, 2)]
        assert self.reported(tally) == []

    def test_usage_of_a_request_that_did_not_run_is_reversed(self, tally):
        tally.begin(_Job())
        assert self.reported(tally) == [("o", "r", 200, 1)]
        tally.end(_Job(), Outcome.FULL)
        assert self.reported(tally) == [("o", "r", -200, -1)]

    def test_services_without_engines_do_not_count(self, tally):
        tally.begin(_Job(engine=False))
        tally.end(_Job(engine=False), Outcome.FULL)
        assert self.reported(tally) == []

    def test_unreported_usage_is_bounded(self, tally):
        for i in range(MAX_UNREPORTED_PARTIES + 10):
            tally.begin(_Job(f"o{i}"))
        assert len(self.reported(tally)) == MAX_UNREPORTED_PARTIES

    def test_adapter_is_the_owner_without_organisations(self):
        assert party_of(_Job(""), False) == Party("m/a", "r")
        assert party_of(_Job(""), True) == Party(UNKNOWN_OWNER, "r")

    def test_metrics_are_labelled_by_organisation_only(self, tally):
        tally.begin(_Job())
        tally.begin(_Job(""))
        text = tally._meters.render().decode()
        assert 'gradelug_engine_tokens_total{organisation="o"} 200.0' in text
        assert 'gradelug_engine_tokens_total{organisation=""} 200.0' in text
        assert 'gradelug_engine_wait_seconds_count{organisation="o"} 1.0' in text

    def test_unreported_usage_is_dropped_on_a_new_stream(self, tally):
        tally.begin(_Job())
        UsageReporter("llm", tally, lambda: 1.5).begin_stream()
        assert self.reported(tally) == []


def test_log_line_shows_the_shares_of_a_request():
    standing = pb.Standing(part=0.61, fair=0.4, yields=True, waiting=9, owners=3, age_ms=120)
    with logbook.TestHandler() as handler:
        log_share_decision("q1", Party("o", "k"), 2, pb.Answer(standing=standing))
    (record,) = handler.records
    assert record.message == "share"
    assert record.kwargs["id"] == "q1"
    reported = {name: record.kwargs[name] for name in ("owner", "part", "fair", "age_s", "outcome")}
    assert reported == {
        "owner": "o",
        "part": 0.61,
        "fair": 0.4,
        "age_s": 0.12,
        "outcome": "refused",
    }
