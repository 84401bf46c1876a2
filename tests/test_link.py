"""Questions of an instance to a planner, and what becomes of them without one."""

import asyncio
import math

import pytest
from gradelug_gateway.directory import Directory
from gradelug_gateway.fleet import Fleet
from gradelug_gateway.link import REPLACED_S, UPDATE_OVERDUE_S, PlannerLink
from gradelug_gateway.model import AdapterKey, FleetState, ReportedLoad
from gradelug_gateway.pacing import FLUSH_S, NEWS_S
from gradelug_gateway.search import PlannerAddress, Search
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
    def test_without_a_planner_a_question_is_given_up_when_one_should_have_been_replaced(self):
        """Requests were held to the end of their callers' patience while nobody planned."""

        async def scenario():
            clock, link = new_link()
            began = clock()
            for wait_s in (REPLACED_S, 0.0):
                with pytest.raises(TimeoutError):
                    await link.ask(1, pb.Ask(ticket=1), clock() + 60.0)
                assert clock() - began <= REPLACED_S + 0.2
                assert clock() - began >= wait_s

        run(scenario)

    def test_a_planner_that_is_followed_has_all_of_the_time(self):
        async def scenario():
            clock, link = new_link()
            link.is_followed = True
            began = clock()
            asking = asyncio.create_task(link.ask(1, pb.Ask(ticket=1), began + 4.0))
            await asyncio.sleep(3.0)
            link._take(pb.FromPlanner(answers=[pb.Answer(ticket=1, replica="e0")]))
            assert (await asking).replica == "e0"
            with pytest.raises(TimeoutError):
                await link.ask(2, pb.Ask(ticket=2), clock() + 1.0)

        run(scenario)

    def test_the_first_use_of_weights_is_told_at_once(self):
        """With 82 gateways uses were told 0.2 s late, and a third of the unloads met some."""

        async def scenario():
            _, link = new_link()
            sent = []

            class Stream:
                async def send_message(self, message):
                    sent.append(message)

            link._take(pb.FromPlanner(gateways=80, news_ms=240, flush_ms=200))
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

    def test_what_another_instance_hears_from_a_replica_counts(self):
        """With 82 instances each took busy replicas for silent ones and sent requests again."""

        async def scenario():
            clock, link = new_link()
            health = link._fleet.health("e0")
            await asyncio.sleep(1.0)
            link._take(pb.FromPlanner(loads=[pb.Load(replica="e0", starting=9, running=1)]))
            assert health.last_received_at == clock()
            heard_at = clock()
            await asyncio.sleep(1.0)
            link._take(pb.FromPlanner(loads=[pb.Load(replica="e0", starting=12, running=1)]))
            link._take(pb.FromPlanner(loads=[pb.Load(replica="e0", starting=12, running=0)]))
            assert health.last_received_at == heard_at

        run(scenario)

    def test_news_that_are_rare_by_design_are_not_taken_for_silence(self):
        """With 370 gateways a planner's news are 1.1 s apart, and it was given up after 1 s."""

        async def scenario():
            clock, link = new_link()
            link._take(pb.FromPlanner(gateways=370, news_ms=1110, flush_ms=900))
            link.is_followed = True
            await asyncio.sleep(1.1)
            assert not link.is_quiet
            await asyncio.sleep(UPDATE_OVERDUE_S + 0.1)
            assert link.is_quiet

        run(scenario)

    def test_a_planner_of_an_earlier_version_is_followed_at_the_usual_spacings(self):
        async def scenario():
            _, link = new_link()
            link._take(pb.FromPlanner(gateways=9))
            assert (link.news_s, link._flush_s, link.ask_first) == (NEWS_S, FLUSH_S, False)

        run(scenario)

    def test_who_knows_a_choice_does_not_wait_for_a_planner_that_is_quiet(self):
        async def scenario():
            clock, link = new_link()
            link._take(pb.FromPlanner(gateways=90, news_ms=270, flush_ms=40, ask_first=True))
            link.is_followed = True
            began = clock()
            with pytest.raises(TimeoutError):
                await link.ask(1, pb.Ask(ticket=1), began + 4.0, has_choice=True)
            assert clock() - began <= 0.27 + UPDATE_OVERDUE_S + 0.11

        run(scenario)

    def test_what_the_planner_saw_in_the_store_is_handed_on(self):
        async def scenario():
            _, link = new_link()
            taken = []

            class Listener:
                def apply_update(self, news, ahead_s):
                    taken.append((news.age_ms, ahead_s))

            link._store_subscriber = Listener()
            link._take(pb.FromPlanner(gateways=20, news_ms=60))
            link._take(pb.FromPlanner(gateways=20, news_ms=60, store=pb.StoreNews(age_ms=7)))
            assert taken == [(7, math.inf)]
            for received_ms in (5_400, 5_900):
                echo = pb.Echo(sent_ms=5_000, received_ms=received_ms)
                link._take(pb.FromPlanner(echo=echo, store=pb.StoreNews(age_ms=8)))
            # The message that was on its way for the shortest time tells most of the clocks.
            assert taken[1:] == [(8, 0.4), (8, 0.4)]

        run(scenario)

    def test_an_answer_tells_what_runs_there_and_what_was_booked_is_told_as_it_is(self):
        """Otherwise a request that was never sent would count at its engine for good."""

        async def scenario():
            clock, link = new_link()
            ask = pb.Ask(ticket=1, rank=1, prompt_tokens=500)
            asking = asyncio.create_task(link.ask(1, ask, clock() + 10.0))
            await asyncio.sleep(0.01)
            told = pb.Load(replica="e0", starting=3, running=2, queued=[100, 700])
            link._take(pb.FromPlanner(answers=[pb.Answer(ticket=1, replica="e0", load=told)]))
            await asking
            assert link._fleet.load("e0").others == ReportedLoad(2, 2, (100, 200))
            (load,) = link._message(False).loads
            assert (load.replica, load.starting) == ("e0", 0)
            assert not link._message(False).loads

        run(scenario)


class TestSearch:
    def looks(self, gateways, seconds):
        now = [0.0]
        search, count = Search(lambda: now[0]), 0
        while now[0] < seconds:
            count += search.is_due(gateways)
            now[0] += 0.02
        return count

    def test_a_small_fleet_looks_all_the_time(self):
        assert 18 <= self.looks(9, 2.0) <= 24

    def test_a_large_fleet_does_not_look_more_often_together(self):
        """195 gateways together made 1,950 calls a second while they missed a planner."""
        assert self.looks(195, 4.0) <= 13
        assert self.looks(195, 1.0) >= 4

    def test_who_does_not_know_the_fleet_looks_less_and_less_often(self):
        assert 5 <= self.looks(0, 1.0) <= 8
        assert self.looks(0, 10.0) <= 28

    def test_each_search_begins_anew(self):
        now = [0.0]
        search = Search(lambda: now[0])
        assert search.is_due(195)
        assert not search.is_due(195)
        search.found()
        assert search.is_due(195)


class TestDirectory:
    def test_a_newer_planner_is_followed_while_the_old_one_does_not_answer(self, monkeypatch):
        """On Tenger's trouble-3 gateways hung on a planner that was gone for 1.3 s after its
        successor had been entered."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            followed, hurried = [], []

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
                lambda: hurried.append(clock()),
            )
            directory.ensure(["llm"])
            await asyncio.sleep(1.0)
            assert len(hurried) >= 9
            known.append(PlannerAddress("new", "new:1", 4))
            entered_at = clock()
            await asyncio.sleep(1.0)
            assert [owner for owner, _ in followed] == ["old", "new"]
            assert followed[1][1] - entered_at <= 0.25
            await directory.close()

        run(scenario)

    def test_a_successor_is_looked_for_while_the_planner_has_resigned(self, monkeypatch):
        """On the grown new customer's scale-1 a planner stopped, and the store was looked at 2.2 s
        later; an instance with half a core that had just been started saw it first and planned."""

        async def scenario():
            clock = asyncio.get_running_loop().time
            hurried = []

            async def follow(link, planner):
                link.is_followed = True
                await asyncio.sleep(1.0)
                link._take(pb.FromPlanner(gateways=9, news_ms=50, resigned=True))
                await asyncio.sleep(60.0)

            monkeypatch.setattr(PlannerLink, "follow", follow)
            directory = Directory(
                "me",
                "",
                Fleet(FleetState(), "hall", clock),
                clock,
                lambda service: PlannerAddress("old", "old:1", 3),
                lambda: hurried.append(clock()),
            )
            directory.ensure(["llm"])
            await asyncio.sleep(0.9)
            assert not hurried
            await asyncio.sleep(0.5)
            assert len(hurried) >= 3
            await directory.close()

        run(scenario)
