"""Whole gateways before replicas that say something of themselves in their answers.

They name limits, say that they leave, or ask for rest. The daemons are the real ones, as in
`poison_world`.
Replicas note what reaches them.
"""

import asyncio
import json
import re
from dataclasses import dataclass

from gradelug_http import ServerLimits
from poison_world import Engine, PoisonWorld

WINDOW_S = 4.0
OVERAGE, EXTRA = 1.5, 5
"""In some window a replica gets at most so many times what it named, and so many requests more."""
TOLD_S = 0.5
"""Instances that passed an answer on keep to it after this."""
ANSWER_S = 0.045
"""Time of an answer of a plain replica."""


@dataclass(slots=True, frozen=True)
class Told:
    """What a caller got: the status, when to come back, and how long that took."""

    status: int
    retry_s: float
    took_s: float


class LimitedEngine(Engine):
    """An engine that may name a limit in its answers, say that it leaves, or ask for rest."""

    limit = None
    leaves = False
    rest = None
    """What it asks for when it turns a request away, as it stands in the header."""

    async def serve(self, inc):
        if self.rest is None:
            await super().serve(inc)
            return
        ident = inc.header(b"x-gradelug-request-id").decode()
        turn_away(self, inc, self.headers(ident))

    def headers(self, ident):
        return [*super().headers(ident), *said_headers(self)]


class PlainReplica:
    """A replica without weights that may say the same of itself."""

    limit = None
    leaves = False
    rest = None

    def __init__(self, world, name, address):
        self.world, self.name, self.address = world, name, address
        self.server = world.net.serve(address, self.serve, ServerLimits, world.clock)

    async def enter(self):
        data = {
            "Backend": "plain",
            "Address": self.address,
            "Zone": "z",
            "Slots": 6,
            "State": "ready",
        }
        await self.world.kv.swap(f"servers/{self.name}", json.dumps(data).encode(), 0)

    async def serve(self, inc):
        headers = [
            (b"X-Gradelug-Request-Id", inc.header(b"x-gradelug-request-id")),
            *said_headers(self),
        ]
        if self.rest is not None:
            turn_away(self, inc, headers)
            return
        self.world.arrived.append((self.world.clock(), inc.body, self.name))
        await asyncio.sleep(ANSWER_S)
        headers.append((b"X-Gradelug-Server-Signature", self.name.encode()))
        inc.respond(200, headers, b"whole")


class LimitWorld(PoisonWorld):
    """Gateways before engines and plain replicas that name limits."""

    engine_type = LimitedEngine

    def __init__(self, gateways=7, engines=4, plain=0, without=()):
        super().__init__(gateways, engines, without)
        self.plain = {}
        self.told = []
        self.turned_away = []
        """Requests that replicas turned away: when, which body, which replica."""
        for number in range(plain):
            replica = PlainReplica(self, f"p{number}", f"10.0.2.{number}:80")
            self.plain[replica.name] = replica
            self.spawn(replica.enter())

    def note_answer(self, body, status, received, took_s):
        found = re.search(rb"Retry-After: ([\d.]+)", received)
        self.told.append(Told(status, float(found[1]) if found else 0.0, took_s))

    def replica(self, name):
        return self.plain.get(name) or self.engines[name]

    async def load(self, rate, until, path=b"/s/x", adapters=9, first=0):
        """Send requests evenly, each once, by each instance in turn."""
        number = first
        while self.clock() < until:
            number += 1
            body = b"harmless %d" % number
            gateway = self.gateways[number % len(self.gateways)]
            self.spawn(self.ask(gateway, body, adapter=f"a{number % adapters}", path=path))
            await asyncio.sleep(1 / rate)

    def sender(self, body):
        """Return the number of the instance by which `load` sent a request."""
        return int(body.rpartition(b" ")[2]) % len(self.gateways)

    def most(self, replica, since, window_s=WINDOW_S):
        """Return the most requests that reached a replica in some window that ends later."""
        times = [at for at, _, name in self.arrived if name == replica and at >= since]
        return self.most_of(times, window_s)

    def most_of(self, times, window_s=WINDOW_S):
        """Return the most of some moments that lie in one window."""
        return max((sum(at - window_s < one <= at for one in times) for at in times), default=0)

    def got(self, replica, since):
        """Return how many requests have reached a replica since a moment."""
        return sum(name == replica and at >= since for at, _, name in self.arrived)


def allowed(rate):
    """Return how many requests a replica that names a rate may get in a window."""
    return OVERAGE * WINDOW_S * rate + EXTRA


def turn_away(replica, inc, headers):
    """Answer that a request was not run and that the replica wants rest."""
    world = replica.world
    world.arrived.append((world.clock(), inc.body, replica.name))
    world.turned_away.append(world.arrived[-1])
    rest = [(b"Retry-After", replica.rest.encode())] if replica.rest else []
    inc.respond(503, [*headers, (b"X-Gradelug-Not-Executed", b"1"), *rest], b"")


def said_headers(replica):
    """Return the headers by which a replica says something of itself."""
    limit = [] if replica.limit is None else [(b"Server-Limit", str(replica.limit).encode())]
    return [*limit, *([(b"Server-Leaving", b"1")] if replica.leaves else [])]
