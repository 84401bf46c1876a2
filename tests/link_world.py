"""Complete gateways whose own links to replicas can be cut, one instance at a time."""

import asyncio
import enum
import errno
import math
from dataclasses import dataclass
from pipes import join

from gradelug_gateway.model import OrderOutcome
from gradelug_http import Wire, liveness
from limit_world import LimitWorld
from poison_world import ModelOrderTransport

HANG_S = 60.0
"""Time for which a connection attempt hangs, in seconds."""
ORDER_TIMEOUT_S = 0.12
DELAY_S = 0.0014
"""One-way delay to an instance or a replica, in seconds."""


class Cut(enum.Enum):
    """What a cut does to the connections of an instance to replicas."""

    HANG = "hang"
    """Open connections and new ones hang."""
    REFUSE = "refuse"
    """Open connections are reset, new ones are refused."""
    REFUSE_NEW = "refuse new"
    """Open connections live on, new ones are refused."""
    HANG_NEW = "hang new"
    """Open connections live on, new ones hang."""


@dataclass(slots=True, frozen=True)
class Try:
    """One request of a caller: when it was sent, through which instance, and its status."""

    sent_at: float
    instance: int
    path: bytes
    status: int


class ReplicaLinks:
    """The connections of one instance to replicas.

    Parameters
    ----------
    world : LinkWorld
        The deployment.
    """

    def __init__(self, world):
        self.world = world
        self.cuts = {}
        """Cut in force, by address of the replica."""
        self.transports = []
        self.opened = []
        """Time and address of each attempt to open a connection."""

    async def connect(self, address, make=Wire):
        """Open a connection to a replica or to another instance."""
        world = self.world
        is_replica = address in world.addresses()
        self.opened.append((world.clock(), address))
        silent_s = world.silent_s() if is_replica and not world.acks_in_silence else 0.0
        await asyncio.sleep(2 * DELAY_S + silent_s)
        cut = self.cuts.get(address)
        if cut in (Cut.HANG, Cut.HANG_NEW):
            await asyncio.sleep(HANG_S)
        listener = world.net.servers.get(address)
        if cut is not None or listener is None:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "refused")
        protocol = make()
        transport = join(protocol, listener())
        self.transports.append((address, transport))
        for end in (transport, transport.peer):
            end.write = self._delayed(transport, end, is_replica)
            # The end of a connection arrives after what was sent before it.
            end.delay_s = 2 * DELAY_S
        return protocol

    def _delayed(self, transport, end, is_replica):
        """Return a function that writes at one end of a connection, as the network delivers it."""
        world, loop = self.world, asyncio.get_running_loop()
        delivered_at = -math.inf

        def write(data):
            nonlocal delivered_at
            silent_s = world.silent_s() if is_replica else 0.0
            # Bytes that are delivered at the same time stay in order.
            delivered_at = max(loop.time() + DELAY_S + silent_s, delivered_at + 1e-6)
            if not end.closing:
                end.written += data
                loop.call_at(delivered_at, end.peer.deliver, bytes(data))
            is_lost = silent_s > liveness.UNACKED_S and not world.acks_in_silence
            if transport.silent or (is_lost and end is transport):
                loop.call_later(liveness.UNACKED_S, self._time_out, transport)

        return write

    def cut(self, how, addresses):
        """Cut the links to some replicas."""
        self.cuts.update(dict.fromkeys(addresses, how))
        for address, transport in self.transports:
            if address not in addresses or transport.is_closing():
                continue
            if how is Cut.HANG:
                self._silence(transport)
            elif how is Cut.REFUSE:
                transport.peer.abort()

    def heal(self):
        """Let new connections through again."""
        self.cuts.clear()

    def mute(self):
        """Drop all packets on open connections; new ones work."""
        for _, transport in self.transports:
            if not transport.is_closing():
                self._silence(transport)

    def _silence(self, transport):
        transport.silence()
        idle_s = liveness.KEEP_IDLE_S * (1 + liveness.KEEP_PROBES)
        asyncio.get_running_loop().call_later(idle_s, self._time_out, transport)

    def _time_out(self, transport):
        transport.lose(TimeoutError(errno.ETIMEDOUT, "timed out"))
        # The replica notices in the same way.
        transport.peer.lose(TimeoutError(errno.ETIMEDOUT, "timed out"))


class CuttableOrderTransport(ModelOrderTransport):
    """Delivers orders from an instance to engines unless its links are cut.

    Orders have a connection to each engine, which lives on in some cuts.
    """

    def __init__(self, world, number):
        super().__init__(world)
        self.number = number

    async def order(self, replica, order):
        if await self._is_connected(replica):
            return await super().order(replica, order)
        return OrderOutcome.LOST

    async def report(self, replica):
        return await super().report(replica) if await self._is_connected(replica) else None

    async def _is_connected(self, replica):
        if self.world.links[self.number].cuts.get(replica.address) not in (Cut.HANG, Cut.REFUSE):
            return True
        dialer = self.world.gateways[self.number].daemon._access.dialer
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                await dialer.dial_directly(replica.address)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.0)
        return False


class LinkWorld(LimitWorld):
    """Gateways whose links to replicas can be cut, and callers whose first tries are counted."""

    def __init__(self, gateways=3, engines=3, plain=2, without=(), fenced=True):
        self.is_fenced = fenced
        self.links = [ReplicaLinks(self) for _ in range(gateways)]
        super().__init__(gateways, engines, plain, without)
        self.tries = []
        self.silent_until = -math.inf
        """Until when all replicas neither read nor respond."""
        self.acks_in_silence = True
        """Whether their kernels acknowledge what arrives meanwhile."""
        self.paths = {}
        """Path of each first try, by body."""

    def is_unrepeatable(self, body):
        """Return whether a request must not run twice."""
        return self.paths[body] == b"/u/x"

    def connect(self, number):
        return self.links[number].connect

    def orders(self, number):
        return CuttableOrderTransport(self, number)

    def addresses(self, replicas=None):
        """Return the addresses of some replicas, of all by default."""
        known = {**self.engines, **self.plain}
        return [known[name].address for name in (known if replicas is None else replicas)]

    def cut(self, numbers, how=Cut.HANG, replicas=None):
        """Cut some instances off from replicas, from all by default; return the time."""
        for number in numbers:
            self.links[number].cut(how, self.addresses(replicas))
        return self.clock()

    def heal(self):
        """End all cuts; return the time."""
        for links in self.links:
            links.heal()
        return self.clock()

    def silence_replicas(self, silent_s, acks):
        """Silence all replicas for some time."""
        self.silent_until, self.acks_in_silence = self.clock() + silent_s, acks

    def silent_s(self):
        """Return how long the replicas stay silent, 0 if they respond."""
        return max(0.0, self.silent_until - self.clock())

    def held(self, number):
        """Return the names of the engines that an instance may order."""
        return self.gateways[number].daemon._ownership.held()

    def planner(self):
        """Return the number of the instance that plans."""
        return next(one.at for one in self.gateways if one.is_planner)

    async def call(self, rate, until, paths=(b"/s/x", b"/u/x", b"/i/x"), adapter_of=None):
        """Send first tries at a constant rate, through the instances in turn."""
        number = 0
        adapter_of = adapter_of or (lambda at, now: f"a{at % 6}")
        while self.clock() < until:
            instance = number % len(self.gateways)
            path = paths[number // len(self.gateways) % len(paths)]
            adapter = adapter_of(number, self.clock())
            self.spawn(self._try(instance, path, b"try %d" % number, adapter))
            number += 1
            await asyncio.sleep(1 / rate)
        await asyncio.sleep(4.0)

    async def _try(self, instance, path, body, adapter):
        sent_at = self.clock()
        self.paths[body] = path
        deadline_ms = 4000 if path.startswith(b"/s/") else 1500
        gateway = self.gateways[instance]
        status = await self.ask(gateway, body, deadline_ms, adapter, path)
        self.tries.append(Try(sent_at, instance, path, status))

    def served(self, instances, since, until, path=b""):
        """Return the fraction of the first tries at some instances that were served."""
        found = [
            one.status == 200
            for one in self.tries
            if one.instance in instances
            and since <= one.sent_at < until
            and one.path.startswith(path)
        ]
        return sum(found) / len(found)
