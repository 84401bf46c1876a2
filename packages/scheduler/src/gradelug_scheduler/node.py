"""One scheduler instance: what it is, what it owns, and the tasks that keep it so."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import typing as t
import uuid

import aiohttp
import logbook
from gradelug_backends import (
    EngineControl,
    HttpEngineControl,
    InstanceList,
    UpstreamUnavailable,
)
from gradelug_backends.keys import LIVE, ONCE, STORE
from gradelug_config import AdapterKey, Catalog, Document, InvalidConfig
from gradelug_config.buckets import read_adapters, read_rules
from gradelug_coordination import (
    CoordinationError,
    Fact,
    Follower,
    Gossip,
    Head,
    InvalidRecord,
    KeyValue,
    KvBuckets,
    KvEntry,
    LeaseKeeper,
    Member,
    Membership,
    Mirror,
    OnceShard,
    Ownership,
    RecordReader,
)
from gradelug_coordination.documents import HEAD_KEY
from gradelug_coordination.once import SHARDS
from gradelug_runtime import Metrics, Tasks
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb
from gradelug_wire.facts import ENGINE, MEMBER, MemberFact

from .authority import Authority
from .keeper import EngineKeeper
from .keeperparts import KeeperParts
from .peerbuckets import PeerBuckets
from .permits import StoreAccess
from .settings import SchedulerSettings
from .store import RESOURCE

log = logbook.Logger("node")
TICK_S = 0.25
IDLE_FACTOR = 2.5
"""An engine on which nothing waits is asked for its report so much more seldom."""
FACT_REFRESH_S = 10.0
"""A fact that has not changed is told anew after this long, well before it expires."""
ROUTER_LIFE_S = 10.0
FACT_PAUSE_S = 0.5
"""Between two tellings of a changed fact."""


class Node:
    """A scheduler instance.

    Parameters
    ----------
    cfg : SchedulerSettings
        Its settings.
    kv : KeyValue
        The platform's key-value service.
    instances : InstanceList or None
        The platform's instance list.
    session : aiohttp.ClientSession or None
        For the engines; None with `make_control`.
    metrics : Metrics
        Counters.
    rng : random.Random
        Source of jitter and of gossip's choices.
    make_control : callable, optional
        Returns the control of an engine; tests pass their own.
    peers : Peers, optional
        Connections to other schedulers; tests pass their own.
    wall : callable
        Wall-clock time, for the retention of at-most-once records alone.
    """

    def __init__(
        self,
        cfg: SchedulerSettings,
        kv: KeyValue,
        instances: InstanceList | None,
        session: aiohttp.ClientSession | None,
        metrics: Metrics,
        rng: random.Random,
        make_control: t.Callable[[t.Any], EngineControl] | None = None,
        peers: Peers | None = None,
        wall: t.Callable[[], float] = time.time,
    ) -> None:
        self.cfg = cfg
        self.metrics = metrics
        self.clock = asyncio.get_running_loop().time
        self.name = f"{cfg.name}-{uuid.UUID(int=rng.getrandbits(128)).hex[:8]}"
        self.address = cfg.listen
        self.peers = peers or Peers()
        self.tasks = Tasks()
        self.leaving = False
        self._kv = kv
        self._instances = instances
        self._session = session
        self._rng = rng
        self._make_control = make_control or self._http_control
        self.lease = LeaseKeeper(kv, cfg.timing.lease_s, self.clock, rng, self._wake)
        self.mirror = Mirror(kv, LIVE, rng)
        member = Member(self.name, cfg.listen, cfg.hall)
        self.membership = Membership(kv, LIVE, self.mirror, self.lease, member)
        self.ownership = Ownership(
            kv,
            LIVE,
            self.mirror,
            self.lease,
            self.membership,
            self.clock,
            before_release=self._finish_keeper,
        )
        self.gossip = Gossip(self.clock, rng)
        self.follower = Follower(
            [KvBuckets(kv, STORE), PeerBuckets(self.peers, self.peer_addresses, self.stamp)],
            self._install,
        )
        self.catalog = Catalog(0, Document())
        self.after_install: t.Callable[[], None] = lambda: None
        """Called after a configuration has come into force."""
        self.keepers: dict[str, EngineKeeper] = {}
        self.shards = [
            OnceShard(kv, f"{ONCE}{number}", wall, cfg.timing.once_s) for number in range(SHARDS)
        ]
        self.store = StoreAccess(
            self.membership, self.ownership, self.peers, self.stamp, self._store_limits, self.clock
        )
        self._outdated: set[str] = set()
        self._pollers: dict[str, asyncio.Task[t.Any]] = {}
        self._leaving_upstreams: list[str] = []
        self._heard_at = self.clock()
        self._heads = RecordReader(lambda entry: Head.decode(entry.value))
        self._member_facts = RecordReader(lambda entry: MemberFact.decode(entry.value))
        self._offered: Head | None = None
        self._offered_from = ""
        self._woken = asyncio.Event()
        self._new_head = asyncio.Event()
        self._version = 0
        self._routers: dict[str, float] = {}
        self._published: dict[str, tuple[bytes, float]] = {}
        metrics.before_flush.append(self._set_gauges)

    # Life

    def start(self) -> None:
        """Start the background tasks."""
        self.mirror.subscribe(self._on_mirror)
        self.tasks.start(self.lease.run(), "lease")
        self.tasks.start(self.mirror.run(), "mirror")
        self.tasks.start(self._reconcile_forever(), "reconcile")
        self.tasks.start(self._exchange_forever(), "exchange")
        self.tasks.start(self._follow_forever(), "follow")
        self.tasks.start(self.metrics.run(), "metrics")
        if self._instances is not None:
            self.tasks.start(self._look_forever(self._instances), "instances")

    async def stop(self) -> None:
        """Leave: hand everything over, then end."""
        self.leaving = True
        log.info("leaving")
        with contextlib.suppress(CoordinationError):
            await self.membership.leave()
        for resource in list(self.ownership.held):
            await self.ownership.release(resource)
        self._publish()
        for address in self.peer_addresses():
            with contextlib.suppress(PeerUnavailable):
                await self._exchange_with(address)
        with contextlib.suppress(CoordinationError):
            await self.lease.release()
        await self.tasks.cancel()
        self.peers.close()

    def stamp(self) -> pb.Stamp:
        """Return what every message carries."""
        return pb.Stamp(member=self.name, revision=self.follower.head.revision)

    def _set_gauges(self) -> None:
        self.metrics.gauge("revision", self.follower.head.revision)
        self.metrics.gauge("engines", len(self.keepers))
        self.metrics.gauge("peer_calls", self.peers.calls)
        self.metrics.gauge("peer_bytes", self.peers.transferred_bytes)

    # Configuration

    def offer_head(self, head: Head, source: str = "") -> None:
        """Note a head; the newest is brought into force by its own task."""
        known = max(self.follower.head.revision, self._offered.revision if self._offered else 0)
        if head.revision > known:
            self._offered, self._offered_from = head, source
            self._new_head.set()

    async def note_stamp(self, stamp: pb.Stamp, address: str = "") -> None:
        """Take in what a message says of its sender's configuration."""
        self._heard_at = self.clock()
        if stamp.revision > self.follower.head.revision and address:
            with contextlib.suppress(PeerUnavailable):
                await self._exchange_with(address)

    async def _follow_forever(self) -> None:
        while True:
            await self._new_head.wait()
            self._new_head.clear()
            head = self._offered
            if head is None or head.revision <= self.follower.head.revision:
                continue
            try:
                await self.follower.offer(head)
            except (CoordinationError, InvalidConfig) as exc:
                log.warning("configuration {} not yet in force: {}", head.revision, exc)
                await asyncio.sleep(0.2)
                self._new_head.set()

    async def _install(self, head: Head, contents: dict[str, bytes]) -> None:
        catalog = Catalog(head.revision, read_rules(contents.values()))
        for content in contents.values():
            catalog.add_adapters(read_adapters(content))
            # The loop goes on between buckets.
            await asyncio.sleep(0)
        self.catalog = catalog
        self.after_install()
        self.metrics.count("configurations")
        log.info("configuration {} is in force: {} adapters", head.revision, len(catalog))
        self._refresh_keepers()
        self._wake()

    def _refresh_keepers(self) -> None:
        for name, keeper in self.keepers.items():
            engine, pool = self.catalog.engines.get(name, (None, None))
            if engine != keeper.engine or pool is None or pool.base != keeper.pool.base:
                # Given up and taken anew: what a keeper has granted must not be forgotten
                # while its ownership goes on.
                self._outdated.add(name)
            else:
                keeper.pool = pool

    # Ownership

    def _wake(self) -> None:
        self._woken.set()

    def _on_mirror(self) -> None:
        self._heard_at = self.clock()
        entry = self.mirror.entries.get(f"{LIVE}{HEAD_KEY}")
        head = self._heads.read(entry) if entry is not None else None
        if head is not None:
            self.offer_head(head)
        self._wake()

    async def _reconcile_forever(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(TICK_S):
                    await self._woken.wait()
            self._woken.clear()
            if self.leaving:
                continue
            try:
                await self._reconcile()
            except CoordinationError as exc:
                log.debug("reconcile: {}", exc)
                await asyncio.sleep(self._rng.uniform(TICK_S / 2, TICK_S))

    async def _reconcile(self) -> None:
        for resource in [*self.ownership.drop_lost(), *self._outranked()]:
            self.ownership.drop(resource)
            self._close_keeper(resource)
        self._keep_what_is_held()
        outdated, self._outdated = self._outdated, set()
        for name in outdated:
            await self.ownership.release(name)
        await self.membership.register()
        await self.ownership.reconcile([*self.catalog.engines, RESOURCE])
        self._keep_what_is_held()
        self._note_drained()
        self._publish()

    def _outranked(self) -> list[str]:
        """Return what a peer is known to own by a later token, or the engine says so."""
        lost = []
        for name, keeper in self.keepers.items():
            fact = self.gossip.get(ENGINE + name)
            if keeper.authority.deposed or (fact and fact.epoch > keeper.authority.held.fence):
                lost.append(name)
        return lost

    def _keep_what_is_held(self) -> None:
        for name in [name for name in self.keepers if name not in self.ownership.held]:
            self._close_keeper(name)
        for name, held in self.ownership.held.items():
            if name in self.keepers or name not in self.catalog.engines:
                continue
            engine, pool = self.catalog.engines[name]
            authority = Authority(
                held, self.lease, engine.checks_fences, self.clock, self.cfg.timing.outage_s
            )
            parts = KeeperParts(
                control=self._make_control(engine),
                store=self.store,
                clock=self.clock,
                carries=lambda key, pool=pool: self.carries(pool.name, key),  # type: ignore[misc]
                path_of=lambda key: self.catalog.path_of(AdapterKey.parse(key)),
                metrics=self.metrics,
                slots=self.cfg.slots,
                limits=self.cfg.limits,
            )
            keeper = self.keepers[name] = EngineKeeper(engine, pool, authority, parts)
            self._pollers[name] = self.tasks.start(self._poll_forever(keeper), f"poll {name}")
            log.info("took {} with token {}", name, held.fence)
            self.metrics.count("engines_taken")
        self.store.refresh()

    def _store_limits(self) -> tuple[float, int]:
        rules = self.catalog.rules
        return rules.store_loads_per_s, rules.store_parallel

    def _close_keeper(self, name: str) -> None:
        keeper = self.keepers.pop(name, None)
        if keeper is None:
            return
        self._pollers.pop(name).cancel()
        keeper.close()
        log.info("gave up {}", name)

    async def _finish_keeper(self, name: str) -> float:
        keeper = self.keepers.get(name)
        if keeper is None:
            return 0.0
        self._close_keeper(name)
        await keeper.finish()
        # An engine that checks tokens makes its next owner certain by itself.
        return (
            0.0
            if keeper.engine.checks_fences
            else keeper.book.predecessors_remaining_s(self.clock())
        )

    async def _poll_forever(self, keeper: EngineKeeper) -> None:
        while True:
            await keeper.poll()
            if keeper.authority.deposed:
                self._wake()
            period_s = self.cfg.timing.report_s * (1.0 if keeper.is_active() else IDLE_FACTOR)
            await asyncio.sleep(self._rng.uniform(0.9, 1.1) * period_s)

    def carries(self, pool: str, text: str) -> bool:
        """Tell whether the configuration lets a pool carry an adapter version."""
        try:
            key = AdapterKey.parse(text)
        except ValueError:
            return False
        known = self.catalog.pools.get(pool)
        return known is not None and self.catalog.carries(known, key)

    def is_isolated(self) -> bool:
        """Tell whether this instance hears neither the platform nor any peer.

        It cannot know then whether a newer configuration is in force.
        """
        if self.mirror.synced:
            return False
        return self.clock() - self._heard_at > self.cfg.timing.isolated_s

    def _http_control(self, engine: t.Any) -> EngineControl:
        assert self._session is not None
        return HttpEngineControl(self._session, engine.address)

    # Gossip

    def peer_addresses(self) -> list[str]:
        """Return the addresses of all other schedulers known."""
        addresses = {
            member.address for member in self.membership.all().values() if member.name != self.name
        }
        for fact in self.gossip.facts():
            if fact.key.startswith(MEMBER) and fact.key != MEMBER + self.name:
                member = self._member_facts.read(KvEntry(fact.key, fact.payload, fact.version))
                if member is not None:
                    addresses.add(member.address)
        if not addresses:
            addresses = set(self.cfg.seeds)
        return sorted(addresses - {self.address})

    def _publish(self) -> None:
        me = MemberFact(
            address=self.address,
            hall=self.cfg.hall,
            leaving=self.leaving,
            leaving_upstreams=self._leaving_upstreams,
            routers=self._present_routers(),
        )
        self._publish_fact(MEMBER + self.name, 0, me.encode())
        for name, keeper in self.keepers.items():
            if keeper.reported and keeper.authority.may_grant():
                payload = keeper.fact(self.name, self.address).encode()
                self._publish_fact(ENGINE + name, keeper.authority.held.fence, payload)

    def note_router(self, address: str) -> None:
        """Note that a router reads from here."""
        self._routers[address] = self.clock()

    def _present_routers(self) -> list[str]:
        oldest = self.clock() - ROUTER_LIFE_S
        self._routers = {name: at for name, at in self._routers.items() if at >= oldest}
        return sorted(self._routers)

    def _publish_fact(self, key: str, epoch: int, payload: bytes) -> None:
        last, at = self._published.get(key, (b"", float("-inf")))
        now = self.clock()
        if now - at < (FACT_REFRESH_S if last == payload else FACT_PAUSE_S):
            return
        self._version += 1
        self._published[key] = (payload, now)
        self.gossip.put(Fact(key, epoch, self._version, payload))

    async def _exchange_forever(self) -> None:
        while True:
            period_s = self.cfg.timing.exchange_s
            await asyncio.sleep(self._rng.uniform(0.8, 1.2) * period_s)
            self._publish()
            addresses = self.peer_addresses()
            self.peers.keep_only(addresses)
            await asyncio.gather(
                *(self._try_exchange(peer) for peer in self.gossip.choose_peers(addresses))
            )

    async def _try_exchange(self, address: str) -> None:
        try:
            await self._exchange_with(address)
        except PeerUnavailable:
            self.metrics.count("exchanges_failed")

    async def _exchange_with(self, address: str) -> None:
        news = self.gossip.updates_for(address)
        message = self.make_sync(news)
        try:
            reply = await self.peers.call(self.peers.stub(address).Exchange, message)
        except PeerUnavailable:
            self.gossip.mark_undelivered(address, news)
            raise
        self.take_sync(reply)

    def make_sync(self, facts: list[Fact]) -> pb.Sync:
        """Return a message with facts."""
        return pb.Sync(
            stamp=self.stamp(),
            address=self.address,
            facts=[
                pb.Fact(key=item.key, epoch=item.epoch, version=item.version, payload=item.payload)
                for item in facts
            ],
        )

    def take_sync(self, message: pb.Sync) -> None:
        """Take in a message's facts and head."""
        self._heard_at = self.clock()
        for item in message.facts:
            fact = Fact(item.key, item.epoch, item.version, item.payload)
            self.gossip.put(fact, message.address)
        if message.head:
            try:
                self.offer_head(Head.decode(message.head))
            except InvalidRecord as exc:
                log.warning("{} sent a head that cannot be read: {}", message.address, exc)
        if self._outranked():
            self._wake()

    # The instance list

    async def _look_forever(self, instances: InstanceList) -> None:
        while True:
            try:
                found = await instances.fetch()
            except UpstreamUnavailable:
                self.metrics.count("instance_lists_missed")
            else:
                leaving = sorted(item.address for item in found.values() if item.leaving)
                if leaving != self._leaving_upstreams:
                    log.info("leaving by the instance list: {}", ", ".join(leaving) or "none")
                self._leaving_upstreams = leaving
            await asyncio.sleep(self.cfg.timing.instances_s)

    def _note_drained(self) -> None:
        for name, keeper in self.keepers.items():
            address = keeper.engine.address.partition("://")[2]
            draining = self.catalog.rules.draining
            keeper.drained = name in draining or address in self._leaving_upstreams
            if keeper.drained:
                keeper.decide()
