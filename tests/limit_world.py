"""Complete gateways with replicas that signal limits, departures or backoff in responses.

The daemons are the real ones, as in `poison_world`. Replicas record the requests that reach them.
"""

import asyncio
import json
import re
from dataclasses import dataclass

from gradelug_http import ServerLimits
from poison_world import Engine, PoisonWorld

WINDOW_S = 4.0
MAX_OVERAGE_FACTOR, EXTRA_REQUESTS = 1.5, 5
"""Bound on the requests of a replica in any window: a multiple of its limit, and a constant."""
PROPAGATION_S = 0.5
"""Time until all instances apply a signal that one of them has received, in seconds."""
RESPONSE_TIME_S = 0.045
"""Response time of a plain replica, in seconds."""


@dataclass(slots=True, frozen=True)
class CallerResult:
    """Response of a caller: status, retry delay and response time in seconds."""

    status: int
    retry_s: float
    took_s: float


class SignallingEngine(Engine):
    """An engine that can signal a limit, a departure or backoff in its responses."""

    limit = None
    leaves = False
    rest = None
    """Value of ``Retry-After`` in its rejections; empty to omit it, None to accept requests."""

    async def serve(self, inc):
        if self.rest is None:
            await super().serve(inc)
            return
        ident = inc.header(b"x-gradelug-request-id").decode()
        reject_request(self, inc, self.headers(ident))

    def headers(self, ident):
        return [*super().headers(ident), *state_headers(self)]


class PlainReplica:
    """A replica without weights that can send the same signals."""

    limit = None
    leaves = False
    rest = None

    def __init__(self, world, name, address):
        self.world, self.name, self.address = world, name, address
        self.server = world.net.serve(address, self.serve, ServerLimits, world.clock)

    async def register(self):
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
            *state_headers(self),
        ]
        if self.rest is not None:
            reject_request(self, inc, headers)
            return
        self.world.arrived.append((self.world.clock(), inc.body, self.name))
        await asyncio.sleep(RESPONSE_TIME_S)
        headers.append((b"X-Gradelug-Server-Signature", self.name.encode()))
        inc.respond(200, headers, b"whole")


class LimitWorld(PoisonWorld):
    """Gateways with engines and plain replicas that signal limits."""

    engine_type = SignallingEngine

    def __init__(self, gateways=7, engines=4, plain=0, without=()):
        super().__init__(gateways, engines, without)
        self.plain = {}
        self.results = []
        self.rejected = []
        """Time, body and replica of each rejected request."""
        for number in range(plain):
            replica = PlainReplica(self, f"p{number}", f"10.0.2.{number}:80")
            self.plain[replica.name] = replica
            self.spawn(replica.register())

    def note_answer(self, body, status, received, took_s):
        found = re.search(rb"Retry-After: ([\d.]+)", received)
        self.results.append(CallerResult(status, float(found[1]) if found else 0.0, took_s))

    def replica(self, name):
        return self.plain.get(name) or self.engines[name]

    async def load(self, rate, until, path=b"/s/x", adapters=9, first=0):
        """Send distinct requests at a constant rate, through the instances in turn."""
        number = first
        while self.clock() < until:
            number += 1
            body = b"harmless %d" % number
            gateway = self.gateways[number % len(self.gateways)]
            self.spawn(self.ask(gateway, body, adapter=f"a{number % adapters}", path=path))
            await asyncio.sleep(1 / rate)

    def sender(self, body):
        """Return the number of the instance through which `load` sent a request."""
        return int(body.rpartition(b" ")[2]) % len(self.gateways)

    def most(self, replica, since, window_s=WINDOW_S):
        """Return the maximum number of requests to a replica in any window, from `since` on."""
        times = [at for at, _, name in self.arrived if name == replica and at >= since]
        return self.max_in_window(times, window_s)

    def max_in_window(self, times, window_s=WINDOW_S):
        """Return the maximum number of times that lie in one window."""
        return max((sum(at - window_s < one <= at for one in times) for at in times), default=0)

    def received_since(self, replica, since):
        """Return the number of requests that reached a replica from `since` on."""
        return sum(name == replica and at >= since for at, _, name in self.arrived)


def max_allowed(rate):
    """Return the maximum number of requests in a window for a limit."""
    return MAX_OVERAGE_FACTOR * WINDOW_S * rate + EXTRA_REQUESTS


def reject_request(replica, inc, headers):
    """Reject a request as not run, with the replica's ``Retry-After`` if it has one."""
    world = replica.world
    world.arrived.append((world.clock(), inc.body, replica.name))
    world.rejected.append(world.arrived[-1])
    rest = [(b"Retry-After", replica.rest.encode())] if replica.rest else []
    inc.respond(503, [*headers, (b"X-Gradelug-Not-Executed", b"1"), *rest], b"")


def state_headers(replica):
    """Return the headers that signal a replica's limit and departure."""
    limit = [] if replica.limit is None else [(b"Server-Limit", str(replica.limit).encode())]
    return [*limit, *([(b"Server-Leaving", b"1")] if replica.leaves else [])]
