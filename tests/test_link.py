"""Placement requests and updates on a gateway's link, and its behaviour without a planner."""

import asyncio
import math

import pytest
from gradelug_gateway.directory import Directory
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.link import FAILOVER_TIMEOUT_S, UPDATE_OVERDUE_S, PlannerLink
from gradelug_gateway.model import AdapterKey, FleetState, ReportedLoad
from gradelug_gateway.pacing import MIN_FLUSH_INTERVAL_S, UPDATE_INTERVAL_S
from gradelug_gateway.search import PlannerAddress, PlannerSearch
from gradelug_wire import placement_pb2 as pb
from world import new_loop


def run(scenario):
    loop = new_loop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def new_link():
    clock = asyncio.get_running_loop().time
    return clock, PlannerLink("llm", "me", "", Fleet(FleetState(), "hall", clock), clock)


class TestPlannerLink:
    def test_request_without_planner_times_out_after_failover_time(self):
        """Requests waited until their callers' deadlines while there was no planner."""

        async def scenario():
            clock, link = new_link()
            began = clock()
            for wait_s in (FAILOVER_TIMEOUT_S, 0.0):
                with pytest.raises(TimeoutError):
                    await link.ask(1, pb.Ask(ticket=1), clock() + 60.0)
                assert clock() - began <= FAILOVER_TIMEOUT_S + 0.2
                assert clock() - began >= wait_s

        run(scenario)

    def test_connected_planner_may_use_the_whole_deadline(self):
        async def scenario():
            clock, link = new_link()
            link.is_connected = True
            began = clock()
            asking = asyncio.create_task(link.ask(1, pb.Ask(ticket=1), began + 4.0))
            await asyncio.sleep(3.0)
            link._handle_message(pb.FromPlanner(answers=[pb.Answer(ticket=1, replica="e0")]))
            assert (await asking).replica == "e0"
            with pytest.raises(TimeoutError):
                await link.ask(2, pb.Ask(ticket=2), clock() + 1.0)

        run(scenario)

    def test_first_use_of_weights_is_sent_at_once(self):
        """At 82 gateways uses were sent 0.2 s late, and a third of the unloads affected weights in
        use."""

        async def scenario():
            _, link = new_link()
            sent = []

            class Stream:
                async def send_message(self, message):
                    sent.append(message)

            link._handle_message(pb.FromPlanner(gateways=80, news_ms=240, flush_ms=200))
            sending = asyncio.create_task(link._send(Stream()))
            key = AdapterKey("m", "a1")
            link.note("e0", AdapterKey("m", "a9"), 1)
            await asyncio.sleep(0.06)
            sent.clear()
            link.note("e0", key, 1)
            await asyncio.sleep(0.02)
            assert [(use.adapter, use.active) for use in sent[0].uses] == [("a1", 1)]
            sent.clear()
            link.note("e0", key, 1)
            await asyncio.sleep(0.02)
            assert not sent
            for number in range(100):
                link.note("e0", AdapterKey("m", f"b{number}"), 1)
                await asyncio.sleep(0.01)
            assert len(sent) <= 20
            sending.cancel()

        run(scenario)

    def test_event_received_by_another_instance_proves_replica_alive(self):
        """Each of 82 instances considered busy replicas unresponsive and sent requests again."""

        async def scenario():
            clock, link = new_link()
            health = link._fleet.health("e0")
            await asyncio.sleep(1.0)
            link._handle_message(
                pb.FromPlanner(loads=[pb.Load(replica="e0", starting=9, running=1)])
            )
            assert health.last_received_at == clock()
            received_at = clock()
            await asyncio.sleep(1.0)
            link._handle_message(
                pb.FromPlanner(loads=[pb.Load(replica="e0", starting=12, running=1)])
            )
            link._handle_message(
                pb.FromPlanner(loads=[pb.Load(replica="e0", starting=12, running=0)])
            )
            assert health.last_received_at == received_at

        run(scenario)

    def test_long_update_interval_is_not_taken_for_a_lost_planner(self):
        """At 370 gateways updates are 1.1 s apart, and planners were considered lost after 1
        s."""

        async def scenario():
            clock, link = new_link()
            link._handle_message(pb.FromPlanner(gateways=370, news_ms=1110, flush_ms=900))
            link.is_connected = True
            await asyncio.sleep(1.1)
            assert not link.is_update_overdue
            await asyncio.sleep(UPDATE_OVERDUE_S + 0.1)
            assert link.is_update_overdue

        run(scenario)

    def test_default_intervals_apply_to_planner_of_earlier_version(self):
        async def scenario():
            _, link = new_link()
            link._handle_message(pb.FromPlanner(gateways=9))
            assert (link.update_interval_s, link._flush_s, link.ask_first) == (
                UPDATE_INTERVAL_S,
                MIN_FLUSH_INTERVAL_S,
                False,
            )

        run(scenario)

    def test_caller_with_a_choice_does_not_wait_for_overdue_planner(self):
        async def scenario():
            clock, link = new_link()
            link._handle_message(
                pb.FromPlanner(gateways=90, news_ms=270, flush_ms=40, ask_first=True)
            )
            link.is_connected = True
            began = clock()
            with pytest.raises(TimeoutError):
                await link.ask(1, pb.Ask(ticket=1), began + 4.0, has_choice=True)
            assert clock() - began <= 0.27 + UPDATE_OVERDUE_S + 0.11

        run(scenario)

    def test_store_changes_from_planner_are_passed_to_subscriber(self):
        async def scenario():
            _, link = new_link()
            taken = []

            class Subscriber:
                def apply_update(self, news, ahead_s):
                    taken.append((news.age_ms, ahead_s))

            link._store_subscriber = Subscriber()
            link._handle_message(pb.FromPlanner(gateways=20, news_ms=60))
            link._handle_message(
                pb.FromPlanner(gateways=20, news_ms=60, store=pb.StoreNews(age_ms=7))
            )
            assert taken == [(7, math.inf)]
            for received_ms in (5_400, 5_900):
                echo = pb.Echo(sent_ms=5_000, received_ms=received_ms)
                link._handle_message(pb.FromPlanner(echo=echo, store=pb.StoreNews(age_ms=8)))
            # The message with the shortest transit time gives the best estimate of the clock
            # offset.
            assert taken[1:] == [(8, 0.4), (8, 0.4)]

        run(scenario)

    def test_load_from_answer_is_applied_and_actual_load_is_resent(self):
        """Otherwise a request that was never sent would count as load of its engine forever."""

        async def scenario():
            clock, link = new_link()
            ask = pb.Ask(ticket=1, rank=1, prompt_tokens=500)
            asking = asyncio.create_task(link.ask(1, ask, clock() + 10.0))
            await asyncio.sleep(0.01)
            total_load = pb.Load(replica="e0", starting=3, running=2, queued=[100, 700])
            link._handle_message(
                pb.FromPlanner(answers=[pb.Answer(ticket=1, replica="e0", load=total_load)])
            )
            await asking
            assert link._fleet.load("e0").others == ReportedLoad(2, 2, (100, 200))
            (load,) = link._message(False).loads
            assert (load.replica, load.starting) == ("e0", 0)
            assert not link._message(False).loads

        run(scenario)


class TestPlannerSearch:
    def count_polls(self, gateways, seconds):
        now = [0.0]
        search, count = PlannerSearch(lambda: now[0]), 0
        while now[0] < seconds:
            count += search.is_due(gateways)
            now[0] += 0.02
        return count

    def test_small_fleet_polls_at_a_constant_rate(self):
        assert 18 <= self.count_polls(9, 2.0) <= 24

    def test_total_poll_rate_does_not_grow_with_fleet(self):
        """195 gateways made 1,950 store calls a second searching for a planner."""
        assert self.count_polls(195, 4.0) <= 13
        assert self.count_polls(195, 1.0) >= 4

    def test_polls_back_off_while_fleet_size_is_unknown(self):
        assert 5 <= self.count_polls(0, 1.0) <= 8
        assert self.count_polls(0, 10.0) <= 28

    def test_reset_restarts_the_poll_interval(self):
        now = [0.0]
        search = PlannerSearch(lambda: now[0])
        assert search.is_due(195)
        assert not search.is_due(195)
        search.found()
        assert search.is_due(195)


class TestDirectory:
    def test_link_switches_to_newer_planner_if_old_one_does_not_respond(self, monkeypatch):
        """Gateways stayed with a failed planner for 1.3 s after its successor was elected."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            followed, poll_requests = [], []

            async def follow(link, planner):
                followed.append((planner.owner, clock()))
                await asyncio.sleep(60.0)

            monkeypatch.setattr(PlannerLink, "follow", follow)
            known = [PlannerAddress("old", "old:1", 3)]
            directory = Directory(
                "me",
                "",
                Fleet(FleetState(), "hall", clock),
                clock,
                lambda service: known[-1],
                lambda: poll_requests.append(clock()),
            )
            directory.ensure_links(["llm"])
            await asyncio.sleep(1.0)
            assert len(poll_requests) >= 9
            known.append(PlannerAddress("new", "new:1", 4))
            elected_at = clock()
            await asyncio.sleep(1.0)
            assert [owner for owner, _ in followed] == ["old", "new"]
            assert followed[1][1] - elected_at <= 0.25
            await directory.close()

        run(scenario)

    def test_gateway_polls_for_successor_after_planner_resigned(self, monkeypatch):
        """A planner shut down, and gateways polled the store only 2.2 s later. An instance with
        half a core that had just started polled first and became the planner."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            poll_requests = []

            async def follow(link, planner):
                link.is_connected = True
                await asyncio.sleep(1.0)
                link._handle_message(pb.FromPlanner(gateways=9, news_ms=50, resigned=True))
                await asyncio.sleep(60.0)

            monkeypatch.setattr(PlannerLink, "follow", follow)
            directory = Directory(
                "me",
                "",
                Fleet(FleetState(), "hall", clock),
                clock,
                lambda service: PlannerAddress("old", "old:1", 3),
                lambda: poll_requests.append(clock()),
            )
            directory.ensure_links(["llm"])
            await asyncio.sleep(0.9)
            assert not poll_requests
            await asyncio.sleep(0.5)
            assert len(poll_requests) >= 3
            await directory.close()

        run(scenario)
