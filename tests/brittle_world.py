"""Complete gateways with plain replicas that fall over when they reject too many requests."""

import asyncio
import json
import random
from collections import deque

from limit_world import LimitWorld, PlainReplica
from poison_world import ENTRY_EXPIRY_S

SLOTS = 6
WORK_S = 0.1
MAX_WAITING = 6
MAX_WAITING_WHILE_BRITTLE = 1
CONTACT_S = 3.0
"""Time after which brittle replicas let fewer requests wait."""
RETURN_S = 4.0
"""Time until a replica that fell over is back, in seconds."""


class BrittleReplica(PlainReplica):
    """A plain replica with slots and a queue, which can be brittle."""

    def __init__(self, world, name, address):
        self.running = 0
        self.waiting = deque()
        self.rejections = deque()
        self.has_fallen = False
        super().__init__(world, name, address)

    async def register(self):
        data = {
            "Backend": "plain",
            "Address": self.address,
            "Zone": "z",
            "Slots": SLOTS,
            "State": "ready",
        }
        await self.world.kv.swap(f"servers/{self.name}", json.dumps(data).encode(), 0)

    async def serve(self, inc):
        world = self.world
        headers = [(b"X-Gradelug-Request-Id", inc.header(b"x-gradelug-request-id"))]
        if world.tolerance is not None:
            headers.append((b"Server-Brittle", b"%d" % world.tolerance))
        world.arrived.append((world.clock(), inc.body, self.name))
        if self.running >= SLOTS:
            if len(self.waiting) >= world.max_waiting():
                self._reject(inc, headers)
                return
            turn = asyncio.get_running_loop().create_future()
            self.waiting.append(turn)
            try:
                await turn
            except asyncio.CancelledError:
                if turn.done() and not turn.cancelled():
                    self._leave()
                elif turn in self.waiting:
                    self.waiting.remove(turn)
                raise
        else:
            self.running += 1
        try:
            await asyncio.sleep(WORK_S * world.rng.uniform(0.8, 1.2))
        finally:
            self._leave()
        world.served_at.append(world.clock())
        headers.append((b"X-Gradelug-Server-Signature", self.name.encode()))
        inc.respond(200, headers, b"whole")

    def _leave(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    def _reject(self, inc, headers):
        now = self.world.clock()
        inc.respond(503, [*headers, (b"X-Gradelug-Not-Executed", b"1")], b"")
        self.rejections.append(now)
        while self.rejections[0] <= now - 1.0:
            self.rejections.popleft()
        if self.world.is_strict() and len(self.rejections) > self.world.tolerance:
            self._fall()

    def _fall(self):
        if self.has_fallen:
            return
        self.has_fallen = True
        world = self.world
        world.falls.append(world.clock())
        world.net.servers.pop(self.address, None)
        for conn in list(self.server.connections):
            asyncio.get_running_loop().call_soon(conn.abort)
        asyncio.get_running_loop().call_later(ENTRY_EXPIRY_S, world.spawn, self._expire_entry())
        asyncio.get_running_loop().call_later(RETURN_S, world.add_replica, self.address)

    async def _expire_entry(self):
        found = self.world.kv.entries().get(f"servers/{self.name}")
        if found is not None:
            await self.world.kv.delete(found.key, found.revision)


class BrittleWorld(LimitWorld):
    """Gateways with brittle replicas; `tolerance` is what they say while they are brittle."""

    def __init__(self, gateways=7, replicas=2, without=()):
        self.rng = random.Random(3)
        self.tolerance = None
        self.brittle_since = 0.0
        self.falls = []
        self.served_at = []
        self.replica_count = 0
        super().__init__(gateways, 1, 0, without)
        for number in range(replicas):
            self.add_replica(f"10.0.2.{number}:80")

    def add_replica(self, address):
        self.replica_count += 1
        replica = BrittleReplica(self, f"p{self.replica_count}", address)
        self.plain[replica.name] = replica
        self.spawn(replica.register())

    def become_brittle(self, tolerance):
        self.tolerance, self.brittle_since = tolerance, self.clock()

    def is_strict(self):
        """Return whether the replicas let fewer wait, and fall over."""
        return self.tolerance is not None and self.clock() >= self.brittle_since + CONTACT_S

    def max_waiting(self):
        return MAX_WAITING_WHILE_BRITTLE if self.is_strict() else MAX_WAITING

    async def demand(self, rate, until, path=b"/i/x"):
        """Send requests at random moments through the instances."""
        number = 0
        while self.clock() < until:
            number += 1
            gateway = self.gateways[self.rng.randrange(len(self.gateways))]
            self.spawn(self.ask(gateway, b"try %d" % number, 1500, path=path))
            await asyncio.sleep(self.rng.expovariate(rate))
