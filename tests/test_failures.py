"""Single failures and pairs of them, each with what must come of it."""

import asyncio
from dataclasses import replace

import pytest
from gradelug_config.model import Adapter, Version
from gradelug_coordination import Gossip
from gradelug_scheduler import keeper
from world import FakeExchange, run_world


def owner_of(world, engine):
    return next(
        node for node in world.nodes if not node.process.dead and engine in node.node.keepers
    )


async def load_on(world, engine, adapter="a0"):
    """Get an adapter resident on one engine alone, by draining the others."""
    others = [name for name in world.engines if name != engine]
    await world.publish(replace(world.document, draining=others))
    await asyncio.sleep(2.0)
    exchange = await world.ask(world.routers[0], adapter)
    assert exchange.is_whole
    await world.publish(replace(world.document, draining=[]))
    await asyncio.sleep(2.0)


class TestRightAdapter:
    def test_an_engine_that_restarts_empty_between_grant_and_request_runs_nothing_wrong(self):
        async def scenario(world):
            await load_on(world, "e1")
            credit_holder = world.routers[0]
            for engine in world.engines.values():
                engine.restart()
            exchange = await world.ask(credit_holder, "a0")
            assert exchange.is_whole

        run_world(scenario)

    def test_an_answer_that_names_another_adapter_is_never_passed_on(self):
        async def scenario(world):
            for engine in world.engines.values():
                run = engine.run
                engine.run = lambda i, a, p, n, run=run: run(i, a, p, n)
            body = b'data: {"id": "x-A", "model": "a1@2", "text": "[a1@2]"}\n\ndata: [DONE]\n\n'
            from gradelug_router.exceptions import UpstreamBroken
            from gradelug_router.upstream import EventChecker, Outgoing

            checker = EventChecker(Outgoing("", b"", "A", "a0@2", False))
            with pytest.raises(UpstreamBroken, match="comes from 'a1@2'"):
                checker.feed(body)

        run_world(scenario)

    def test_a_failed_load_is_tried_on_another_engine(self):
        async def scenario(world):
            for engine in world.engines.values():
                engine.faults.fail_loads = 1
            exchange = await world.ask(world.routers[0], "a0")
            assert exchange.is_whole or exchange.outcome == "not-run"
            await asyncio.sleep(2.0)
            assert (await world.ask(world.routers[0], "a0")).is_whole

        run_world(scenario)


class TestNeverUnloadedUnderARequest:
    def test_adapters_in_use_stay_while_others_wait_for_their_slot(self):
        async def scenario(world):
            long = [FakeExchange(f"a{n}", tokens=400) for n in range(6)]
            tasks = [world.routers[n % 3].send(item) for n, item in enumerate(long)]
            await asyncio.sleep(2.0)
            late = FakeExchange("a7", tokens=3)
            tasks.append(world.routers[0].send(late))
            await asyncio.wait(tasks)
            # The late one is not starved: a slot is drained for it once it has waited a while.
            assert all(item.is_whole for item in [*long, late])

        run_world(scenario)

    @pytest.mark.parametrize("engine", ["e1", "e3"])
    def test_an_owner_frozen_past_its_lease_unloads_nothing_when_it_wakes(self, engine):
        async def scenario(world):
            await load_on(world, engine)
            owner = owner_of(world, engine)
            world.freeze(owner)
            await asyncio.sleep(6.0)
            assert engine in _kept(world, owner)
            long = FakeExchange("a0", tokens=300)
            task = world.routers[1].send(long)
            await asyncio.sleep(1.0)
            world.thaw(owner)
            for n in range(1, 6):
                world.routers[2].send(FakeExchange(f"a{n}"))
            await asyncio.wait([task])
            assert long.is_whole

        run_world(scenario)

    def test_an_owner_that_wakes_grants_nothing_before_it_has_heard_anybody(self):
        async def scenario(world):
            await load_on(world, "e1")
            owner = owner_of(world, "e1")
            kept = owner.node.keepers["e1"]
            assert kept.authority.may_grant()
            world.freeze(owner)
            await asyncio.sleep(6.0)
            assert not kept.authority.may_grant()
            assert kept.authority.unload_limit_s() == 0.0

        run_world(scenario)

    def test_an_order_to_unload_that_comes_late_is_fenced_off(self):
        async def scenario(world):
            await load_on(world, "e1")
            engine, owner = world.engines["e1"], owner_of(world, "e1")
            held = owner.node.keepers["e1"].authority
            late = held.next_token()
            await asyncio.sleep(0.5)
            await engine.claim(held.next_token())
            with pytest.raises(Exception, match="older"):
                await engine.unload("a0@2", late)

        run_world(scenario)

    @pytest.mark.parametrize("engine", ["e1", "e3"])
    def test_a_killed_router_holds_an_adapter_only_until_the_engine_confirms(self, engine):
        async def scenario(world):
            await load_on(world, engine)
            world.routers[0].send(FakeExchange("a0", tokens=100_000))
            await asyncio.sleep(1.0)
            world.kill(world.routers[0])
            # Without fencing, an owner that finds no record of another waits out a lapsed one.
            await asyncio.sleep(6.0 if engine == "e1" else 130.0)
            book = owner_of(world, engine).node.keepers[engine].book
            assert book.is_free("a0@2")

        run_world(scenario)

    def test_a_frozen_router_with_a_stream_keeps_its_adapter(self):
        async def scenario(world):
            await load_on(world, "e1")
            world.routers[0].send(FakeExchange("a0", tokens=2000))
            await asyncio.sleep(1.0)
            world.freeze(world.routers[0])
            await asyncio.sleep(6.0)
            assert not owner_of(world, "e1").node.keepers["e1"].book.is_free("a0@2")
            world.thaw(world.routers[0])
            await asyncio.sleep(1.0)

        run_world(scenario)

    def test_a_change_of_owner_in_an_outage_unloads_nothing_in_use(self):
        async def scenario(world):
            await load_on(world, "e1")
            long = FakeExchange("a0", tokens=1500)
            task = world.routers[0].send(long)
            await asyncio.sleep(1.0)
            world.kv.set_down(True)
            world.kill(owner_of(world, "e1"))
            await asyncio.sleep(8.0)
            world.kv.set_down(False)
            for n in range(1, 7):
                world.routers[1].send(FakeExchange(f"a{n}"))
            await asyncio.wait([task])
            assert long.is_whole

        run_world(scenario)


class TestChangesOfPools:
    def test_a_change_of_a_pool_leaves_its_engines_in_use_and_their_books_kept(self):
        """A keeper made anew forgot its grants and began its tokens from the first again."""

        async def scenario(world):
            for engine in ("e1", "e3"):
                await load_on(world, engine)
            kept = owner_of(world, "e1").node.keepers["e1"]
            token = kept.authority.next_token()
            (pool,) = world.document.pools
            await world.publish(replace(world.document, pools=[replace(pool, batch=4)]))
            await asyncio.sleep(3.0)
            now = owner_of(world, "e1").node.keepers["e1"]
            assert now.pool.batch == 4
            assert now.authority.next_token() > token
            for n in range(1, 7):
                assert (await world.ask(world.routers[0], f"a{n}")).is_whole

        run_world(scenario)

    def test_an_engine_that_moves_is_taken_anew(self):
        async def scenario(world):
            await load_on(world, "e3")
            before = owner_of(world, "e3").node.keepers["e3"].authority.held.fence
            (pool,) = world.document.pools
            engines = [*pool.engines[:2], replace(pool.engines[2], hall="h9")]
            await world.publish(replace(world.document, pools=[replace(pool, engines=engines)]))
            await asyncio.sleep(3.0)
            after = owner_of(world, "e3").node.keepers["e3"]
            assert after.engine.hall == "h9"
            assert after.authority.held.fence > before

        run_world(scenario)

    def test_the_weight_stores_path_of_a_version_is_the_one_ordered(self):
        async def scenario(world):
            ordered = []
            for engine in world.engines.values():
                load = engine.load

                async def spy(adapter, path, fence, load=load):
                    ordered.append(path)
                    await load(adapter, path, fence)

                engine.load = spy
            adapters = [Adapter("a0", "base", [Version(1), Version(2, path="bucket/a0-two")])]
            await world.publish(replace(world.document, adapters=adapters))
            await asyncio.sleep(2.0)
            assert (await world.ask(world.routers[0], "a0@2")).is_whole
            assert (await world.ask(world.routers[0], "a0@1")).is_whole
            assert ordered == ["bucket/a0-two", "a0@1"]

        run_world(scenario)


class TestOutage:
    def test_what_is_loaded_is_served_through_a_long_outage_on_every_engine(self):
        async def scenario(world):
            for engine, adapter in (("e1", "a1"), ("e3", "a3")):
                await load_on(world, engine, adapter)
            world.kv.set_down(True)
            await asyncio.sleep(60.0)
            for adapter in ("a1", "a3"):
                exchange = await world.ask(world.routers[0], adapter)
                assert exchange.is_whole, exchange.data
            cold = await world.ask(world.routers[1], "a5")
            assert cold.is_whole, "an engine that checks tokens loads in the outage"

        run_world(scenario)

    def test_after_an_owner_lapsed_an_engine_without_fencing_is_left_as_it_is(self):
        async def scenario(world):
            await load_on(world, "e3")
            owner = owner_of(world, "e3")
            for name in ("kv", *(node.process.name for node in world.nodes)):
                world.cut(owner.process.name, name)
            await asyncio.sleep(8.0)
            successor = owner_of(world, "e3")
            successors = [n for n in world.nodes if n is not owner and "e3" in n.node.keepers]
            assert successors, successor
            book = successors[0].node.keepers["e3"].book
            assert not book.is_free("a0@2")
            await asyncio.sleep(130.0)
            assert book.is_free("a0@2")

        run_world(scenario)

    def test_the_doubt_about_a_lapsed_owner_outlives_a_clean_handover(self):
        async def scenario(world):
            await load_on(world, "e3")
            world.kill(owner_of(world, "e3"))
            await asyncio.sleep(8.0)
            successor = owner_of(world, "e3")
            await successor.spawn(successor.node.stop())
            world.kill(successor)
            await asyncio.sleep(5.0)
            held = owner_of(world, "e3").node.keepers["e3"].authority.held
            assert held.was_released
            assert held.predecessors_remaining_s > 90.0

        run_world(scenario)


def _kept(world, excluded):
    return [name for node in world.nodes if node is not excluded for name in node.node.keepers]


class TestWholeAnswers:
    def test_a_stream_cut_midway_is_told_as_cut(self):
        async def scenario(world):
            for engine in world.engines.values():
                engine.faults.cut_after = 5
            exchange = await world.ask(world.routers[0], "a0", stream=True, tokens=20)
            assert exchange.was_cut
            assert not exchange.finished
            assert b"[DONE]" not in exchange.data
            assert b'"outcome": "unknown"' in exchange.data

        run_world(scenario)

    def test_a_caller_that_leaves_frees_its_place(self):
        async def scenario(world):
            exchange = FakeExchange("a0", stream=True, tokens=10_000)
            task = world.routers[0].send(exchange)
            await asyncio.sleep(1.0)
            exchange.gone = True
            await asyncio.wait([task])
            await asyncio.sleep(2.0)
            assert all(sum(engine._running.values()) == 0 for engine in world.engines.values())

        run_world(scenario)


class TestNotRunIsTrue:
    def test_an_engine_that_accepts_and_dies_leaves_the_outcome_unknown(self):
        async def scenario(world):
            for engine in world.engines.values():
                engine.faults.die_on_accept = True
            exchange = await world.ask(
                world.routers[0], "a0", headers={"Gradelug-Repeatable": "no"}
            )
            assert exchange.outcome == "unknown"
            assert len(world.runs_of(exchange.user)) == 1

        run_world(scenario)

    def test_an_engine_out_of_reach_ran_nothing(self):
        async def scenario(world):
            world.dead_engines.update(world.engines)
            exchange = await world.ask(
                world.routers[0], "a0", headers={"Gradelug-Deadline-Ms": "3000"}
            )
            assert exchange.outcome == "not-run"
            assert exchange.answer_headers["Retry-After"]
            assert world.runs_of(exchange.user) == []

        run_world(scenario)

    def test_a_request_given_up_gets_its_answer_at_once(self):
        async def scenario(world):
            world.dead_engines.update(world.engines)
            started = world.loop.time()
            exchange = await world.ask(world.routers[0], "a0")
            assert exchange.status == 503
            assert world.loop.time() - started < 20.0

        run_world(scenario)


class TestAtMostOnce:
    def test_the_same_key_through_another_router_is_not_run_again(self):
        async def scenario(world):
            both = [FakeExchange("a0", key="k") for _ in range(2)]
            await asyncio.wait([world.routers[n].send(item) for n, item in enumerate(both)])
            assert sorted(item.status for item in both) == [200, 409]

        run_world(scenario)

    def test_a_key_whose_router_died_is_not_run_again(self):
        async def scenario(world):
            world.routers[0].send(FakeExchange("a0", key="k", tokens=500))
            await asyncio.sleep(1.0)
            world.kill(world.routers[0])
            again = await world.ask(world.routers[1], "a0", key="k", tokens=500)
            assert (again.status, again.outcome) == (409, "unknown")

        run_world(scenario)

    def test_a_key_is_remembered_through_a_change_of_all_schedulers(self):
        async def scenario(world):
            assert (await world.ask(world.routers[0], "a0", key="k")).is_whole
            for _ in range(3):
                await world.add_node()
            for node in world.nodes[:2]:
                world.kill(node)
            await asyncio.sleep(8.0)
            assert (await world.ask(world.routers[2], "a0", key="k")).status == 409

        run_world(scenario)

    def test_a_key_used_for_another_request_is_refused(self):
        async def scenario(world):
            await world.ask(world.routers[0], "a0", key="k")
            other = await world.ask(world.routers[1], "a1", key="k")
            assert (other.status, other.outcome) == (422, "not-run")

        run_world(scenario)

    def test_without_the_key_value_service_nothing_is_risked(self):
        async def scenario(world):
            world.kv.set_down(True)
            exchange = await world.ask(world.routers[0], "a0", key="k")
            assert (exchange.status, exchange.outcome) == (503, "not-run")
            world.kv.set_down(False)
            await asyncio.sleep(3.0)
            assert (await world.ask(world.routers[1], "a0", key="k")).is_whole

        run_world(scenario)

    def test_a_frozen_scheduler_stops_costing_once_its_lease_has_lapsed(self):
        """Each batch of keys took 2.6 s for as long as one of three schedulers was frozen."""

        async def scenario(world):
            world.freeze(world.nodes[2])
            await asyncio.sleep(6.0)
            clock = asyncio.get_running_loop().time
            held_s = []
            for number in range(48):
                began = clock()
                exchange = await world.ask(world.routers[number % 2], "a0", key=f"k{number}")
                held_s.append(clock() - began)
                assert exchange.is_whole
            slow = [round(s, 2) for s in held_s if s > 1.0]
            assert len(slow) <= 4, slow

        run_world(scenario)

    def test_a_reservation_whose_answer_was_lost_is_still_its_own(self):
        async def scenario(world):
            world.kv.faults.lose_answers = 1
            assert (await world.ask(world.routers[0], "a0", key="k")).is_whole

        run_world(scenario)


class TestLeaving:
    @pytest.mark.parametrize("how", ["list", "operator"])
    def test_a_leaving_engine_gets_no_new_work_within_seconds(self, how):
        async def scenario(world):
            await load_on(world, "e1")
            for _ in range(10):
                await world.ask(world.routers[0], "a0")
            if how == "list":
                world.leave("e1", lag_s=2.0)
                await asyncio.sleep(2.0 + 3.5)
            else:
                await world.publish(replace(world.document, draining=["e1"]))
                await asyncio.sleep(4.0)
            before = len(world.engines["e1"].runs)
            for router in world.routers:
                assert (await world.ask(router, "a0")).is_whole
            assert len(world.engines["e1"].runs) == before

        run_world(scenario)

    def test_a_stopping_scheduler_hands_over_without_a_gap(self):
        async def scenario(world):
            await load_on(world, "e1")
            long = FakeExchange("a0", tokens=300)
            task = world.routers[0].send(long)
            await asyncio.sleep(1.0)
            for node in list(world.nodes):
                replacement = await world.add_node()
                await asyncio.sleep(2.0)
                await node.spawn(node.node.stop())
                world.kill(node)
                await asyncio.sleep(1.0)
                exchange = await world.ask(world.routers[1], "a0")
                assert exchange.is_whole, replacement.process.name
            await asyncio.wait([task])
            assert long.is_whole

        run_world(scenario)


class TestGossip:
    def test_peers_that_have_met_are_not_told_everything_again(self, monkeypatch):
        """Whoever asked was looked up by its name and remembered by its address."""
        told = []
        news_for = Gossip.updates_for

        def spy(self, peer):
            told.append((len(news_for(self, peer)), len(self.facts())))
            return []

        async def scenario(world):
            await asyncio.sleep(20.0)
            monkeypatch.setattr(Gossip, "updates_for", spy)
            await asyncio.sleep(5.0)

        run_world(scenario)
        assert len(told) > 50
        share = sum(news for news, _ in told) / sum(known for _, known in told)
        assert share < 0.25, share


class TestChangeOfOwner:
    def test_a_new_owners_grants_are_told_from_its_predecessors(self):
        """Numbers began again, so that a router took new grants for old ones."""

        async def scenario(world):
            await load_on(world, "e1")
            others = [name for name in world.engines if name != "e1"]
            await world.publish(replace(world.document, draining=others))
            await asyncio.sleep(2.0)
            router = world.routers[0]
            long = FakeExchange("a0", tokens=1500)
            task = router.send(long)
            for _ in range(5):
                await asyncio.sleep(2.5)
                if task.done():
                    break
                await world.ask(router, "a0", tokens=1)
            assert not task.done()
            world.kill(owner_of(world, "e1"))
            await asyncio.sleep(0.5)
            started = world.loop.time()
            exchange = await world.ask(router, "a0", tokens=1)
            assert exchange.is_whole
            assert world.loop.time() - started < 6.0
            await asyncio.wait([task])
            assert long.is_whole

        run_world(scenario)


class TestConfigurationInForce:
    async def _serve_everywhere(self, world, limit_s=4.0):
        revision = await world.publish(world.document)
        started = world.loop.time()
        while world.served_revision() < revision:
            await asyncio.sleep(0.05)
            assert world.loop.time() - started < limit_s, "not in force in time"

    def test_an_instance_cut_from_the_service_learns_from_its_peers(self):
        async def scenario(world):
            world.cut("node-1", "kv")
            await asyncio.sleep(5.0)
            await self._serve_everywhere(world)

        run_world(scenario)

    def test_an_instance_started_in_an_outage_serves_what_is_in_force(self):
        async def scenario(world):
            world.kv.set_down(True)
            await asyncio.sleep(1.0)
            node = await world.add_node()
            await asyncio.sleep(4.0)
            assert node.node.follower.head.revision == world.revision

        run_world(scenario)

    def test_a_frozen_router_admits_nothing_by_an_old_configuration(self):
        async def scenario(world):
            router = world.routers[0]
            world.freeze(router)
            await world.publish(replace(world.document, access=[]))
            await asyncio.sleep(6.0)
            exchange = FakeExchange("a0")
            task = router.send(exchange)
            world.thaw(router)
            await asyncio.wait([task])
            assert exchange.status in (403, 503)

        run_world(scenario)

    def test_of_two_racing_operators_one_is_told(self):
        async def scenario(world):
            from gradelug_backends.keys import LIVE, STORE
            from gradelug_coordination import Publisher, RevisionConflict

            publishers = [Publisher(world.kv, LIVE, STORE) for _ in range(2)]
            base = world.revision
            outcomes = await asyncio.gather(
                *(p.publish({}, base, f"op-{n}") for n, p in enumerate(publishers)),
                return_exceptions=True,
            )
            assert sum(isinstance(outcome, RevisionConflict) for outcome in outcomes) == 1
            world.revision += 1

        run_world(scenario)

    def test_an_accepted_change_whose_answer_was_lost_is_known_as_accepted(self):
        async def scenario(world):
            world.kv.faults.lose_answers = 1
            before = world.revision
            assert await world.publish(world.document) == before + 1

        run_world(scenario)


class TestMutations:
    """With a mechanism taken out, a failure must come through: the checks can fail."""

    def test_without_the_book_an_adapter_is_unloaded_under_a_request(self, monkeypatch):
        monkeypatch.setattr(keeper.GrantTracker, "is_free", lambda self, key: True)
        with pytest.raises(AssertionError, match="unloaded under"):
            TestNeverUnloadedUnderARequest().test_adapters_in_use_stay_while_others_wait_for_their_slot()

    def test_without_reservations_a_key_runs_twice(self, monkeypatch):
        from gradelug_coordination import OnceVerdict, once

        monkeypatch.setattr(once, "_judge", lambda found, record: OnceVerdict.FRESH)
        with pytest.raises(AssertionError):
            TestAtMostOnce().test_the_same_key_through_another_router_is_not_run_again()

    def test_without_a_look_at_the_clock_a_woken_router_uses_old_configuration(self, monkeypatch):
        from gradelug_router.view import View

        monkeypatch.setattr(View, "is_fresh", lambda self, limit_s: True)
        with pytest.raises(AssertionError):
            TestConfigurationInForce().test_a_frozen_router_admits_nothing_by_an_old_configuration()

    def test_without_the_leases_end_a_woken_owner_goes_on(self, monkeypatch):
        from gradelug_scheduler.authority import Authority

        monkeypatch.setattr(Authority, "_leased", lambda self: True)
        test = TestNeverUnloadedUnderARequest()
        with pytest.raises(AssertionError):
            test.test_an_owner_that_wakes_grants_nothing_before_it_has_heard_anybody()

    def test_without_the_last_look_a_broken_answer_is_told_as_not_run(self, monkeypatch):
        from gradelug_router.exceptions import ApiError, Outcome
        from gradelug_router.serving import Serving

        def take_broken(self, exchange, job, credit, exc, attempt):
            raise ApiError(502, "upstream_broken", str(exc), Outcome.NOT_RUN)

        monkeypatch.setattr(Serving, "_take_broken", take_broken)
        with pytest.raises(AssertionError):
            TestNotRunIsTrue().test_an_engine_that_accepts_and_dies_leaves_the_outcome_unknown()

    def test_without_a_look_at_who_leaves_work_goes_on_there(self, monkeypatch):
        from gradelug_router.view import View

        async def scenario(world):
            await load_on(world, "e1")
            monkeypatch.setattr(View, "is_leaving", lambda self, name, address: False)
            monkeypatch.setattr(keeper.EngineKeeper, "is_leaving", False)
            await world.publish(replace(world.document, draining=["e1"]))
            await asyncio.sleep(4.0)
            before = len(world.engines["e1"].runs)
            await world.ask(world.routers[0], "a0")
            assert len(world.engines["e1"].runs) > before

        run_world(scenario)

    def test_without_fencing_a_late_order_is_carried_out(self, monkeypatch):
        from gradelug_standins.engine import StubEngine

        monkeypatch.setattr(StubEngine, "_check_fence", lambda self, fence: None)
        with pytest.raises(BaseException, match="DID NOT RAISE"):
            TestNeverUnloadedUnderARequest().test_an_order_to_unload_that_comes_late_is_fenced_off()

    def test_without_the_engines_word_a_silent_router_blocks_for_ever(self, monkeypatch):
        monkeypatch.setattr(keeper.GrantTracker, "apply_observation", lambda self, key, seen: None)
        with pytest.raises(AssertionError):
            TestNeverUnloadedUnderARequest().test_a_killed_router_holds_an_adapter_only_until_the_engine_confirms(
                "e1"
            )


class TestOwnersUnknownToAScheduler:
    def test_a_router_reads_another_scheduler_when_its_own_knows_no_owner(self):
        """An owner's word that one scheduler missed cost its router's callers 5 s and a 503."""

        async def scenario(world):
            owner = owner_of(world, "e1")
            number = next(i for i, node in enumerate(world.nodes) if node is not owner)
            for other in world.nodes:
                if other is not world.nodes[number]:
                    world.cut(world.nodes[number].process.name, other.process.name)
            # Longer than a fact lives that nobody refreshes.
            await asyncio.sleep(32.0)
            began_at = asyncio.get_running_loop().time()
            exchange = await world.ask(world.routers[number], "a0")
            assert exchange.is_whole
            assert asyncio.get_running_loop().time() - began_at < 2.5

        run_world(scenario, engines=1)
