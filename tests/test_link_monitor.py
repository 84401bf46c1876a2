"""Which replicas an instance can connect to, as shown to operators."""

import asyncio
import re

import logbook
import pytest
from gradelug_gateway.link_monitor import HANG_S, LinkMonitor
from gradelug_gateway.metrics import GatewayMetrics
from gradelug_gateway.model import FleetState, Replica
from gradelug_policy.reachability import ATTEMPT_VALIDITY_S, PeerOutcome, ReplicaPaths
from link_world import Cut, LinkWorld
from run_world import run

ADDRESSES = [f"10.0.1.{number}:80" for number in range(6)]


def paths_after(connected, failed, at=100.0):
    paths = ReplicaPaths()
    for address in ADDRESSES[:connected]:
        paths.note_direct(address, True, at)
    for address in ADDRESSES[connected : connected + failed]:
        paths.note_direct(address, False, at)
    return paths


class TestSummary:
    @pytest.mark.parametrize(
        ("connected", "failed", "lost"),
        [
            (0, 0, False),
            (6, 0, False),
            (3, 3, False),
            (0, 1, False),
            (0, 2, True),
            (2, 4, True),
            (0, 6, True),
        ],
    )
    def test_most_attempted_replicas_must_be_lost(self, connected, failed, lost):
        summary = paths_after(connected, failed).summary(ADDRESSES, 101.0)
        assert summary.is_mostly_lost == lost
        assert summary.lost == failed

    def test_the_only_replica_of_a_service_is_enough(self):
        assert paths_after(0, 1).summary(ADDRESSES[:1], 101.0).is_mostly_lost

    def test_old_successes_are_no_evidence(self):
        paths = paths_after(3, 2)
        assert not paths.summary(ADDRESSES, 101.0).is_mostly_lost
        assert paths.summary(ADDRESSES, 100.0 + ATTEMPT_VALIDITY_S).is_mostly_lost

    def test_a_connection_ends_a_loss(self):
        paths = paths_after(0, 3)
        for address in ADDRESSES[:3]:
            paths.note_direct(address, True, 102.0)
        assert not paths.summary(ADDRESSES, 102.0).lost


class TestMonitor:
    def test_a_departed_replica_is_forgotten(self):
        state = FleetState(
            replicas={f"e{at}": Replica(f"e{at}", "llm", ADDRESSES[at], "z") for at in range(2)}
        )
        monitor = LinkMonitor(state, lambda: 100.0)

        async def refuse(address):
            raise ConnectionRefusedError(111, "refused")

        async def scenario():
            for address in ADDRESSES[:2]:
                with pytest.raises(ConnectionRefusedError):
                    await monitor.connect(refuse, address)

        run(scenario)
        for address in ADDRESSES[:2]:
            monitor.note_peer(address, PeerOutcome.CONNECTED)
        assert monitor.cut_off == {"llm"}
        state.replicas.clear()
        monitor.refresh()
        assert not monitor.cut_off
        assert monitor.count_lost() == {}

    def test_callers_that_leave_are_no_failure_of_the_link(self):
        async def scenario():
            state = FleetState(replicas={"e0": Replica("e0", "llm", ADDRESSES[0], "z")})
            monitor = LinkMonitor(state, asyncio.get_running_loop().time)

            async def hang(address):
                await asyncio.sleep(60.0)

            with pytest.raises(TimeoutError):
                async with asyncio.timeout(HANG_S / 2):
                    await monitor.connect(hang, ADDRESSES[0])
            assert not monitor.paths.is_lost(ADDRESSES[0])
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(2 * HANG_S):
                    await monitor.connect(hang, ADDRESSES[0])
            assert monitor.paths.is_lost(ADDRESSES[0])

        run(scenario)


class TestOperators:
    def test_logs_and_metrics_name_the_service_whose_links_are_lost(self):
        async def scenario():
            async with LinkWorld() as world:
                calling = asyncio.create_task(world.call(40.0, world.clock() + 10.0))
                await asyncio.sleep(2.0)
                with logbook.TestHandler().applicationbound() as logs:
                    world.cut([1], Cut.REFUSE)
                    await asyncio.sleep(2.5)
                    found = [rec for rec in logs.records if "replicas of a service" in rec.message]
                    assert {rec.kwargs["service"] for rec in found} == {"llm", "plain"}
                    metrics = world.gateways[1].daemon._meters.render().decode()
                    for service in ("llm", "plain"):
                        line = rf'replicas_unreachable{{service="{service}"}} (\d)'
                        assert int(re.search(line, metrics)[1]) >= 2
                    assert "gradelug_services_cut_off 2.0" in metrics
                    others = world.gateways[0].daemon._meters.render().decode()
                    assert "gradelug_services_cut_off 0.0" in others
                    world.heal()
                    await calling
                    metrics = world.gateways[1].daemon._meters.render().decode()
                    assert "gradelug_services_cut_off 0.0" in metrics
                    messages = [rec.message for rec in logs.records]
                    assert "links to the replicas of a service are back" in messages

        run(scenario)

    def test_a_gauge_has_a_value_for_each_service(self):
        meters = GatewayMetrics()
        meters.add_service_gauge("replicas_lost", "Replicas", lambda: {"a": 1.0, "b": 0.0})
        text = meters.render().decode()
        assert 'gradelug_replicas_lost{service="a"} 1.0' in text
        assert 'gradelug_replicas_lost{service="b"} 0.0' in text
