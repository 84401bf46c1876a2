"""What a router knows: the configuration in force, the engines and their owners."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import random
import typing as t

import logbook
from gradelug_config import Catalog, Document
from gradelug_config.buckets import read_adapters, read_rules
from gradelug_config.model import Pool
from gradelug_coordination import Fact, Gossip, Head, InvalidRecord, KvEntry, RecordReader
from gradelug_coordination.rendezvous import rank
from gradelug_policy import EngineView, Fleet
from gradelug_runtime import Metrics
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb
from gradelug_wire.facts import EngineFact, MemberFact, engine_name, member_name

log = logbook.Logger("view")
FETCH_LIMIT_S = 5.0
FACT_LIFE_S = 30.0


class View:
    """Kept by exchanges with one scheduler, the instance's own if it answers.

    Parameters
    ----------
    name : str
        The router's name, unique to this start.
    schedulers : sequence of str
        Addresses, in order of preference.
    peers : Peers
        Connections to schedulers.
    metrics : Metrics
        Counters.
    """

    __slots__ = (
        "_clock",
        "_contents",
        "_current",
        "_cursor",
        "_cursor_of",
        "_engine_facts",
        "_engines",
        "_fleets",
        "_gossip",
        "_lock",
        "_member_facts",
        "_members",
        "_metrics",
        "_peers",
        "_schedulers",
        "address",
        "after_install",
        "catalog",
        "changed",
        "head",
        "heard_at",
        "leaving_upstreams",
        "name",
    )

    def __init__(
        self, name: str, schedulers: t.Sequence[str], peers: Peers, metrics: Metrics
    ) -> None:
        self._clock = asyncio.get_running_loop().time
        self._schedulers = list(schedulers)
        self._current = 0
        self._cursor = 0
        self._cursor_of = ""
        self._peers = peers
        self._metrics = metrics
        self._gossip = Gossip(self._clock, random.Random(), expire_s=FACT_LIFE_S)
        self._contents: dict[str, bytes] = {}
        self._engine_facts = RecordReader(lambda entry: EngineFact.decode(entry.value))
        self._member_facts = RecordReader(lambda entry: MemberFact.decode(entry.value))
        self._engines: dict[str, EngineFact] = {}
        self._members: dict[str, MemberFact] = {}
        self._fleets: dict[tuple[str, ...], Fleet] = {}
        self._lock = asyncio.Lock()
        self.name = name
        self.address = ""
        """Where this router's door is, once it is open."""
        self.after_install: t.Callable[[], None] = lambda: None
        """Called after a configuration has come into force."""
        self.head = Head()
        self.catalog = Catalog(0, Document())
        self.heard_at = float("-inf")
        self.leaving_upstreams: frozenset[str] = frozenset()
        self.changed = asyncio.Event()
        """Set, and made anew, after every exchange that brought something."""

    def stamp(self) -> pb.Stamp:
        """Return what every message carries."""
        return pb.Stamp(member=self.name, revision=self.head.revision)

    def is_fresh(self, limit_s: float) -> bool:
        """Tell whether a scheduler was heard from within `limit_s` seconds."""
        return self.head.revision > 0 and self._clock() - self.heard_at < limit_s

    def owner_address(self, engine: str) -> str | None:
        """Return the ``IP:port`` of the engine's owner, if one is known."""
        fact = self._engines.get(engine)
        return fact.address if fact else None

    def fleet(self, pools: tuple[str, ...]) -> Fleet:
        """Return the engines of some pools that have an owner and are not leaving."""
        fleet = self._fleets.get(pools)
        if fleet is None:
            found = [self.catalog.pools[name] for name in pools if name in self.catalog.pools]
            views = [view for pool in found for view in self._views_of(pool)]
            fleet = self._fleets[pools] = Fleet(views)
        return fleet

    def _views_of(self, pool: Pool) -> list[EngineView]:
        found = []
        for engine in pool.engines:
            fact = self._engines.get(engine.name)
            if fact is None or fact.leaving or self.is_leaving(engine.name, engine.address):
                continue
            found.append(
                EngineView(
                    name=engine.name,
                    hall=engine.hall,
                    resident=frozenset(fact.resident),
                    loading=frozenset(fact.loading),
                    slots=pool.slots,
                    evictable=fact.evictable,
                    coldest=fact.coldest,
                    load=fact.load,
                    batch=pool.batch,
                    waiting=fact.waiting,
                )
            )
        return found

    def is_leaving(self, name: str, address: str) -> bool:
        """Tell whether an upstream is leaving, by operators or the instance list."""
        return (
            name in self.catalog.rules.draining
            or address.partition("://")[2] in self.leaving_upstreams
        )

    def once_homes(self, shard: int) -> list[str]:
        """Return the addresses of schedulers for a shard of at-most-once records, best first."""
        active = [name for name, fact in self._members.items() if not fact.leaving]
        return [self._members[name].address for name in rank(active, f"once/{shard}")]

    def read_another(self) -> None:
        """Exchange with another scheduler from now on, for a while."""
        self._current = (self._current + 1) % len(self._schedulers)
        log.info("no engine is known for a request: reading {}", self._schedulers[self._current])

    async def sync(self) -> bool:
        """Exchange with a scheduler; tell whether one answered."""
        async with self._lock:
            for _ in range(len(self._schedulers)):
                address = self._schedulers[self._current]
                try:
                    await self._exchange(address)
                except PeerUnavailable as exc:
                    self._metrics.count("syncs_failed")
                    log.debug("{} did not answer: {}", address, exc)
                    self._current = (self._current + 1) % len(self._schedulers)
                else:
                    return True
            return False

    async def run(self, period_s: float) -> None:
        """Exchange once a period until cancelled."""
        rounds = 0
        while True:
            await self.sync()
            rounds += 1
            if rounds % 40 == 0:
                # Now and then, see whether the instance's own scheduler is back.
                self._current = 0
            await asyncio.sleep(period_s)

    async def _exchange(self, address: str) -> None:
        sent_at = self._clock()
        if address != self._cursor_of:
            self._cursor, self._cursor_of = 0, address
        message = pb.Sync(
            stamp=self.stamp(), reader=True, cursor=self._cursor, address=self.address
        )
        reply = await self._peers.call(self._peers.stub(address).Exchange, message)
        for item in reply.facts:
            self._gossip.put(Fact(item.key, item.epoch, item.version, item.payload))
        self._cursor = reply.cursor
        self._read_facts()
        if reply.head:
            try:
                head = Head.decode(reply.head)
            except InvalidRecord as exc:
                raise PeerUnavailable(f"the scheduler sent an invalid head: {exc}") from exc
            await self._adopt(head, address)
        # Made anew when they are asked for: far more questions come than exchanges.
        self._fleets = {}
        self.heard_at = sent_at
        self.changed.set()
        self.changed = asyncio.Event()

    def _read_facts(self) -> None:
        engines, members = {}, {}
        for fact in self._gossip.facts():
            entry = KvEntry(fact.key, fact.payload, fact.version)
            engine, member = engine_name(fact.key), member_name(fact.key)
            engine_fact = self._engine_facts.read(entry) if engine is not None else None
            member_fact = self._member_facts.read(entry) if member is not None else None
            if engine is not None and engine_fact is not None:
                engines[engine] = engine_fact
            if member is not None and member_fact is not None:
                members[member] = member_fact
        self._engines, self._members = engines, members
        self.leaving_upstreams = frozenset(
            address for fact in members.values() for address in fact.leaving_upstreams
        )
        others = {fact.address for fact in members.values()}
        known = set(self._schedulers)
        self._schedulers.extend(sorted(others - known))

    async def _adopt(self, head: Head, address: str) -> None:
        if head.revision <= self.head.revision:
            return
        contents = {d: self._contents[d] for d in head.buckets if d in self._contents}
        missing = [digest for digest in head.buckets if digest not in contents]
        if missing:
            message = pb.Fetch(stamp=self.stamp(), digests=missing)
            stub = self._peers.stub(address)
            reply = await self._peers.call(stub.FetchBuckets, message, FETCH_LIMIT_S)
            contents.update(_verified(reply.contents))
        if any(digest not in contents for digest in head.buckets):
            raise PeerUnavailable("the scheduler lacks a bucket of its own head")
        ordered = {digest: contents[digest] for digest in head.buckets}
        catalog = Catalog(head.revision, read_rules(ordered.values()))
        for content in ordered.values():
            catalog.add_adapters(read_adapters(content))
            await asyncio.sleep(0)
        self.catalog, self.head, self._contents = catalog, head, ordered
        self.after_install()
        self._metrics.count("configurations")
        log.info("configuration {} is in force: {} adapters", head.revision, len(catalog))


def _verified(contents: t.Mapping[str, bytes]) -> dict[str, bytes]:
    return {
        digest: content
        for digest, content in contents.items()
        if hashlib.sha256(content).hexdigest() == digest
    }


async def wait_changed(view: View, limit_s: float) -> None:
    """Wait for the next exchange that brought something, or for `limit_s` seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(limit_s):
            await view.changed.wait()
