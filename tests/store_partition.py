"""Complete gateways whose connections to the platform store can be cut one by one."""

import asyncio
import random

from gradelug_http import HttpPool, ServerLimits
from gradelug_platform.store import PlatformStore
from limit_world import LimitWorld
from platform_stand_in import FakeStore

STORE_ADDRESS = "10.9.0.1:80"
CUT_S = 60.0
"""Time for which an attempt to connect across a partition hangs, in seconds."""


class StoreConnection:
    """Connections of one instance to the store.

    Parameters
    ----------
    net : Network
        Network that the store listens on.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    seed : int
        Seed of the jitter of retries.
    """

    def __init__(self, net, clock, seed):
        self._net = net
        self._is_cut = False
        self._transports = []
        self.client = PlatformStore(STORE_ADDRESS, HttpPool(clock, self._dial), random.Random(seed))

    async def _dial(self, address):
        if self._is_cut:
            await asyncio.sleep(CUT_S)
        wire = await self._net.dial(address)
        self._transports.append(wire.transport)
        return wire

    def silence(self):
        """Drop all packets on open connections; new ones work."""
        for transport in self._transports:
            transport.silence()
        self._transports.clear()

    def cut(self):
        """Drop all packets to and from the store."""
        self._is_cut = True
        self.silence()

    def heal(self):
        """Let new connections through again."""
        self._is_cut = False


class PartitionWorld(LimitWorld):
    """Gateways that reach the store over HTTP, each over connections of its own."""

    def __init__(self, gateways=3, engines=1, plain=3, without=()):
        super().__init__(gateways, engines, plain, without)
        self.connections = []
        """Connections to the store, in the order of the gateways."""
        self.store_server = FakeStore()
        self.store_server.kv = self.kv
        self.net.serve(STORE_ADDRESS, self.store_server.serve, ServerLimits, self.clock)

    def store(self):
        self.connections.append(StoreConnection(self.net, self.clock, len(self.connections)))
        return self.connections[-1].client

    async def remove_entry(self, name):
        """Delete the entry of a replica that goes on serving; return the time."""
        found = self.kv.entries()[f"servers/{name}"]
        assert await self.kv.delete(found.key, found.revision)
        return self.clock()

    async def drain_entry(self, name):
        """Make the entry of a plain replica announce that it leaves; return the time."""
        found = self.kv.entries()[f"servers/{name}"]
        value = found.value.replace(b'"ready"', b'"draining"')
        assert (await self.kv.swap(found.key, value, found.revision)).swapped
        return self.clock()

    async def write_entry(self, name):
        """Write the entry of a plain replica again."""
        await self.plain[name].register()

    def arrivals(self, name, since, senders):
        """Return the times of requests of some gateways to a replica, later than `since`."""
        return [
            at
            for at, body, where in self.arrived
            if where == name and at > since and self.sender(body) in senders
        ]
