"""Choice of the path to a replica: direct, or through peers."""

import asyncio
import random
from pipes import Network, join
from unittest import mock

import pytest
from gradelug_gateway.connection_race import ATTEMPT_DELAY_S, connect_first
from gradelug_gateway.follower import Follower
from gradelug_gateway.link_monitor import LinkMonitor
from gradelug_gateway.model import FleetState, Replica
from gradelug_gateway.replica_dialer import PROBE_TIMEOUT_S, ReplicaDialer
from gradelug_gateway.tunnel_gate import TunnelGate
from gradelug_gateway.tunnel_peers import PAUSE_S, TunnelPeer, TunnelPeers, select_peers
from gradelug_http import (
    HttpPool,
    OutgoingRequest,
    ServerLimits,
    TunnelServer,
    TunnelStatus,
    Wire,
)
from gradelug_http.tunnel import REUSE_S
from gradelug_policy.reachability import PEER_VALIDITY_S, PROBE_INTERVAL_S, PeerOutcome
from link_world import Cut, LinkWorld
from run_world import run
from test_tunnel import echo

ADDRESS = "10.0.1.1:80"
OWN = "10.0.0.1:83"


class FixedKey:
    value = b"secret"

    def matches(self, candidate):
        return candidate == self.value


class DialWorld:
    """One instance that dials, and peers with links of their own."""

    def __init__(self, peers=2, halls=("z", "y")):
        self.clock = asyncio.get_running_loop().time
        self.net = Network()
        self.net.serve(ADDRESS, echo, ServerLimits, self.clock)
        self.state = FleetState(replicas={"e1": Replica("e1", "llm", ADDRESS, "z")})
        self.cuts = {}
        """What happens to connections to the replica, by the instance that opens them."""
        self.monitor = LinkMonitor(self.state, self.clock)
        self.peers = TunnelPeers(OWN, "z", self.clock, random.Random(1))
        self.dialer = ReplicaDialer(
            self.connect_from(0),
            self.monitor,
            self.peers,
            FixedKey(),
            self.clock,
            random.Random(1),
        )
        self.servers = []
        known = []
        for number in range(1, peers + 1):
            connect = self.connect_from(number)
            monitor = LinkMonitor(self.state, self.clock)
            gate = TunnelGate(self.state, monitor, FixedKey())
            self.servers.append(TunnelServer(gate, connect, 8))
            address = f"10.0.0.{number + 1}:83"
            self.net.servers[address] = self.servers[-1].new_connection
            known.append(TunnelPeer(address, halls[(number - 1) % len(halls)]))
        self.peers.replace("llm", known)

    def connect_from(self, number):
        async def connect(address, make=Wire):
            cut = self.cuts.get(number) if address == ADDRESS else None
            if cut is Cut.HANG:
                await asyncio.sleep(60.0)
            if cut is Cut.REFUSE:
                raise ConnectionRefusedError(111, "refused")
            return await self.net.dial(address, make)

        return connect

    def opened(self):
        return [server.opened for server in self.servers]


class TestDialer:
    def test_a_working_link_is_used_alone(self):
        async def scenario():
            world = DialWorld()
            assert (await world.dialer.dial(ADDRESS)).via == ""
            assert world.opened() == [0, 0]

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_a_peer_connects_when_the_link_is_lost(self, how):
        async def scenario():
            world = DialWorld()
            world.cuts[0] = how
            began_at = world.clock()
            assert (await world.dialer.dial(ADDRESS)).via == "10.0.0.2:83"
            assert world.clock() - began_at <= ATTEMPT_DELAY_S + 0.01
            await asyncio.sleep(PROBE_TIMEOUT_S)
            assert world.monitor.paths.is_bypassed(ADDRESS)
            began_at = world.clock()
            await world.dialer.dial(ADDRESS)
            assert world.clock() - began_at < 0.01

        run(scenario)

    def test_a_packet_that_is_lost_makes_no_link_lost(self):
        async def scenario():
            world = DialWorld()
            world.cuts[0] = Cut.HANG
            dialling = asyncio.create_task(world.dialer.dial(ADDRESS))
            await asyncio.sleep(ATTEMPT_DELAY_S / 2)
            world.cuts.clear()
            assert (await dialling).via
            await asyncio.sleep(PROBE_TIMEOUT_S)
            assert not world.monitor.paths.has_lost
            assert (await world.dialer.dial(ADDRESS)).via == ""

        run(scenario)

    @pytest.mark.parametrize("how", [Cut.HANG, Cut.REFUSE])
    def test_a_peer_of_another_hall_connects_when_a_whole_hall_is_cut_off(self, how):
        async def scenario():
            world = DialWorld()
            world.cuts = {0: how, 1: how}
            assert (await world.dialer.dial(ADDRESS)).via == "10.0.0.3:83"

        run(scenario)

    def test_a_refusal_counts_only_if_a_peer_is_refused_too(self):
        async def scenario():
            world = DialWorld()
            world.cuts = dict.fromkeys(range(3), Cut.REFUSE)
            with pytest.raises(ConnectionRefusedError):
                await world.dialer.dial(ADDRESS)
            world = DialWorld()
            world.cuts = {0: Cut.REFUSE, 1: Cut.HANG, 2: Cut.HANG}
            with pytest.raises(OSError, match="no path") as found:
                await world.dialer.dial(ADDRESS)
            assert not isinstance(found.value, ConnectionRefusedError)
            world = DialWorld(peers=0)
            world.cuts[0] = Cut.REFUSE
            with pytest.raises(ConnectionRefusedError):
                await world.dialer.dial(ADDRESS)

        run(scenario)

    def test_peers_are_not_asked_again_about_a_replica_that_ended(self):
        async def scenario():
            world = DialWorld()
            world.cuts = dict.fromkeys(range(3), Cut.REFUSE)
            for _ in range(5):
                with pytest.raises(ConnectionRefusedError):
                    await world.dialer.dial(ADDRESS)
            assert sum(world.opened()) <= 2
            await asyncio.sleep(PEER_VALIDITY_S)
            world.cuts = {0: Cut.REFUSE}
            assert (await world.dialer.dial(ADDRESS)).via

        run(scenario)

    def test_a_peer_never_connects_through_another_peer(self):
        async def scenario():
            world = DialWorld()
            world.cuts = {0: Cut.REFUSE, 1: Cut.REFUSE}
            await world.dialer.dial(ADDRESS)
            assert world.opened()[1] == 1
            assert not world.servers[1].connections - {
                conn for conn in world.servers[1].connections if conn.other is not None
            }

        run(scenario)

    # The outcome for a peer replaced the own one, and the refusal was forgotten.
    def test_a_refusal_is_not_confirmed_while_peers_ask_for_the_same_replica(self):
        async def scenario():
            world = DialWorld()
            world.cuts = dict.fromkeys(range(3), Cut.REFUSE)
            own_gate = TunnelGate(world.state, world.monitor, FixedKey())
            note_peer = LinkMonitor.note_peer

            def note_both(monitor, address, outcome):
                own_gate.note(address, ConnectionRefusedError())
                note_peer(monitor, address, outcome)

            patch = mock.patch.object(LinkMonitor, "note_peer", note_both)
            with patch, pytest.raises(ConnectionRefusedError):
                await world.dialer.dial(ADDRESS)

        run(scenario)

    def test_a_peer_that_lost_its_own_link_refuses_at_once(self):
        async def scenario():
            world = DialWorld()
            gate = world.servers[0].policy
            gate.note(ADDRESS, ConnectionRefusedError())
            assert gate.check(ADDRESS, b"secret") is TunnelStatus.OPEN
            gate._monitor.note_peer(ADDRESS, PeerOutcome.CONNECTED)
            assert gate.check(ADDRESS, b"secret") is TunnelStatus.UNAVAILABLE
            assert gate.check("10.0.1.7:80", b"secret") is TunnelStatus.FORBIDDEN
            assert gate.check(ADDRESS, b"") is TunnelStatus.UNAUTHENTICATED

        run(scenario)

    def test_a_direct_connection_is_used_soon_after_the_link_is_back(self):
        async def scenario():
            world = DialWorld()
            probing = asyncio.create_task(world.dialer.run())
            world.cuts[0] = Cut.HANG
            await world.dialer.dial(ADDRESS)
            await asyncio.sleep(3.0)
            assert world.monitor.paths.is_bypassed(ADDRESS)
            world.cuts.clear()
            await asyncio.sleep(2 * PROBE_INTERVAL_S)
            assert (await world.dialer.dial(ADDRESS)).via == ""
            probing.cancel()

        run(scenario)

    def test_a_loss_is_confirmed_by_a_peer_without_requests(self):
        async def scenario():
            world = DialWorld()
            probing = asyncio.create_task(world.dialer.run())
            world.cuts[0] = Cut.HANG
            world.dialer.probe(ADDRESS)
            await asyncio.sleep(0.5)
            assert world.monitor.cut_off == {"llm"}
            probing.cancel()

        run(scenario)


class TestRace:
    def test_connections_that_come_late_are_closed(self):
        async def scenario():
            wires = []

            def attempt(delay_s):
                async def connect():
                    await asyncio.sleep(delay_s)
                    wire = Wire()
                    wires.append(wire)
                    join(wire, Wire())
                    return wire

                return connect

            wire = await connect_first([attempt(0.15), attempt(0.05), attempt(60.0)])
            await asyncio.sleep(1.0)
            assert [one.ended for one in wires if one is not wire] == [True] * (len(wires) - 1)
            assert not wire.ended

        run(scenario)

    def test_a_failed_attempt_starts_the_next_one_at_once(self):
        async def scenario():
            began_at = asyncio.get_running_loop().time()

            async def fail():
                raise OSError("no path")

            async def connect():
                return Wire()

            assert await connect_first([fail, fail, connect]) is not None
            assert asyncio.get_running_loop().time() == began_at
            assert await connect_first([fail, fail]) is None

        run(scenario)


class TestPeers:
    def peers(self, halls):
        now = [100.0]
        peers = TunnelPeers(OWN, "z", lambda: now[0], random.Random(1))
        peers.replace("llm", [TunnelPeer(f"p{at}", hall) for at, hall in enumerate(halls)])
        return peers, now

    def test_the_first_is_in_the_same_hall_and_the_second_is_not(self):
        peers, _ = self.peers(["y", "z", "x", "z"])
        for _ in range(20):
            first, second = peers.choose()
            assert first in {"p1", "p3"}
            assert second in {"p0", "p2"}

    def test_all_peers_of_a_hall_are_used(self):
        peers, _ = self.peers(["z", "z", "z", "y"])
        assert {peers.choose()[0] for _ in range(50)} == {"p0", "p1", "p2"}

    def test_a_peer_that_failed_is_used_last_for_a_while(self):
        peers, now = self.peers(["z", "y"])
        peers.note_failed("p0", "no response")
        assert peers.choose() == ["p1", "p0"]
        now[0] += PAUSE_S
        assert peers.choose() == ["p0", "p1"]

    def test_an_instance_is_not_its_own_peer(self):
        peers, _ = self.peers(["z"])
        peers.replace("llm", [TunnelPeer(OWN, "z")])
        assert peers.is_empty
        assert peers.choose() == []


class TestSelection:
    def followers(self, halls, cut_off=()):
        found = []
        for number, hall in enumerate(halls):
            follower = Follower(number, f"g{number}", f"10.0.0.{number}:81")
            follower.hall, follower.tunnel = hall, f"10.0.0.{number}:83"
            follower.is_cut_off = number in cut_off
            found.append(follower)
        return found

    def test_cut_off_gateways_are_left_out(self):
        first, *others = self.followers("zzzyyy", {1, 2, 3})
        found = {peer.address for peer in select_peers(first, others)}
        assert found == {"10.0.0.4:83", "10.0.0.5:83"}

    def test_some_peers_of_other_halls_are_always_named(self):
        first, *others = self.followers("z" * 20 + "y" * 5)
        halls = [peer.hall for peer in select_peers(first, others)]
        assert halls == ["z"] * 3 + ["y"] * 3

    def test_the_peers_of_many_gateways_are_spread_evenly(self):
        gateways = self.followers("".join("wxyz"[at % 4] for at in range(370)), set(range(123)))
        uses = {}
        for follower in gateways[:123]:
            others = [other for other in gateways if other is not follower]
            for peer in select_peers(follower, others)[:3]:
                uses[peer.address] = uses.get(peer.address, 0) + 1
        assert max(uses.values()) <= 12


class TestKey:
    def test_a_planner_writes_the_key_once(self):
        async def scenario():
            async with LinkWorld() as world:
                entries = world.kv.entries()
                key = entries["gradelug/tunnel-key"]
                await asyncio.sleep(3.0)
                assert world.kv.entries()["gradelug/tunnel-key"].revision == key.revision
                known = {gateway.daemon._access.key.value for gateway in world.gateways}
                assert known == {key.value}

        run(scenario)

    def test_a_key_that_the_store_lost_is_written_again(self):
        async def scenario():
            async with LinkWorld() as world:
                key = world.kv.entries()["gradelug/tunnel-key"]
                await world.kv.delete(key.key, key.revision)
                await asyncio.sleep(3.0)
                known = {gateway.daemon._access.key.value for gateway in world.gateways}
                assert len(known) == 1
                assert known != {key.value}

        run(scenario)


class TestIdleTunnels:
    # Pools other than that of requests kept their idle connections, tunnels among them.
    def test_idle_tunnels_of_moved_runs_stay_open(self):
        async def scenario():
            async with LinkWorld() as world:
                daemon = world.gateways[1].daemon
                run_pool = HttpPool(world.clock)
                run_pool.dial = daemon._access.dialer.dial
                daemon._replica_pools.append(run_pool)
                world.cut([1], Cut.REFUSE)
                address = world.addresses(["p0"])[0]
                conn = await run_pool.acquire(address, 1.0)
                assert conn.via
                request = OutgoingRequest(
                    b"GET", b"/i/x", [(b"Host", b"h"), (b"X-Gradelug-Request-Id", b"1")]
                )
                conn.send(request)
                head = await conn.head(lambda head: True)
                await conn.body(100)
                run_pool.release(conn, head)
                await asyncio.sleep(REUSE_S + 1.0)
                assert not any(one.daemon._access.server.connections for one in world.gateways)

        run(scenario)
