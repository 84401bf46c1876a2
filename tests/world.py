"""Several schedulers and routers, the real code, on one paused clock with fakes at its edges.

A process here is a context: its callbacks can be held back (frozen) while the clock goes on,
or never run again (killed). Messages between processes can be cut, delayed and lost.
"""

from __future__ import annotations

import asyncio
import contextvars
import inspect
import itertools
import json
import random
from dataclasses import dataclass, field

import looptime
from gradelug_backends import Instance, UpstreamUnavailable
from gradelug_backends.keys import LIVE, STORE
from gradelug_config.buckets import split
from gradelug_config.model import Access, Adapter, Caller, Document, Engine, Pool, Version
from gradelug_coordination import KvThrottled, KvUnavailable, Publisher
from gradelug_policy import PlacementSettings
from gradelug_router.acquire import Accountant, Acquirer
from gradelug_router.exceptions import CallerGone, NotSent, UpstreamBroken, UpstreamRefused
from gradelug_router.levels import Levels
from gradelug_router.once import OnceKeeper
from gradelug_router.openai import DONE
from gradelug_router.serving import Parts, Serving
from gradelug_router.settings import RouterSettings
from gradelug_router.upstream import EventChecker
from gradelug_router.view import View
from gradelug_router.wallet import Wallet
from gradelug_runtime import Metrics, StatsdSettings
from gradelug_scheduler.node import Node
from gradelug_scheduler.service import ControlService
from gradelug_scheduler.settings import SchedulerSettings, Timing
from gradelug_standins.engine import EngineDied, EngineSpec, NotStarted, StubEngine
from gradelug_standins.kv import MemoryKv
from gradelug_wire import PeerUnavailable
from gradelug_wire import control_pb2 as pb

PROCESS: contextvars.ContextVar[Process | None] = contextvars.ContextVar("process", default=None)
TOKEN = "secret"
TOKEN_SHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"
METHODS = {
    "AskGrant": "grant",
    "SendReport": "take_report",
    "Exchange": "exchange",
    "AskPermit": "permit",
    "ReserveKey": "reserve",
}


@dataclass(eq=False)
class Process:
    name: str
    frozen: bool = False
    dead: bool = False
    parked: list = field(default_factory=list)
    tasks: set = field(default_factory=set)


class FreezableLoop(looptime.LoopTimeEventLoop, asyncio.SelectorEventLoop):
    """Holds back the callbacks of frozen processes."""

    def __init__(self):
        super().__init__()
        self.spawned = set()
        """Tasks of processes that have not ended; those of killed ones never do."""

    def call_soon(self, callback, *args, context=None):
        context = context or contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        cell = []
        handle = super().call_soon(self._gate, process, cell, callback, args, context=context)
        cell.append(handle)
        return handle

    def call_at(self, when, callback, *args, context=None):
        context = context or contextvars.copy_context()
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        cell = []
        handle = super().call_at(when, self._gate, process, cell, callback, args, context=context)
        cell.append(handle)
        return handle

    def _gate(self, process, cell, callback, args):
        if process.dead:
            return
        if process.frozen:
            process.parked.append((cell, callback, args, contextvars.copy_context()))
            return
        callback(*args)

    def thaw(self, process):
        process.frozen = False
        parked, process.parked = process.parked, []
        for cell, callback, args, context in parked:
            if not cell[0].cancelled():
                super().call_soon(callback, *args, context=context)

    def close(self):
        """Close what a killed or frozen process never began, before its loop is forgotten.

        It would be told as never awaited whenever it is collected, within any other test; where
        that is in a frame without builtins, as a named tuple's, the telling itself fails.
        """
        for task in self.spawned:
            coro = task.get_coro()
            if inspect.getcoroutinestate(coro) == inspect.CORO_CREATED:
                coro.close()
        self.spawned.clear()
        super().close()


def new_loop():
    loop = FreezableLoop()
    loop.setup_looptime(start=1000.0, noop_cycles=2)
    loop.set_exception_handler(_report)
    return loop


def _report(loop, context):
    # A killed process leaves tasks behind that never end.
    if "was destroyed" not in context["message"]:
        loop.default_exception_handler(context)


class FakeKv:
    """A process's way to the key-value service, which can be cut."""

    def __init__(self, world, process):
        self._world, self._process = world, process

    def __getattr__(self, name):
        method = getattr(self._world.kv, name)

        async def call(*args, **kwargs):
            await self._check()
            # The service is no part of the process: its leases lapse whatever becomes of us.
            return await self._world.spawn_outside(method(*args, **kwargs))

        return call

    async def _check(self):
        await asyncio.sleep(0.002)
        if self._world.is_cut(self._process.name, "kv"):
            await asyncio.sleep(2.0)
            raise KvUnavailable("cut off")

    async def watch(self, prefix, after, wait_s=None):
        await self._check()
        watch = self._world.kv.watch(prefix, after)
        while True:
            step = asyncio.ensure_future(anext(watch))
            try:
                while not step.done():
                    await asyncio.wait([step], timeout=1.0)
                    if self._world.is_cut(self._process.name, "kv"):
                        raise KvUnavailable("cut off")
                yield step.result()
            finally:
                step.cancel()


class FakePeers:
    """Calls between processes: delayed, cut, lost."""

    def __init__(self, world, process):
        self._world, self._process = world, process

    def stub(self, address):
        return _Stub(self._world, self._process, address)

    async def call(self, method, message, limit_s=1.0):
        try:
            async with asyncio.timeout(limit_s):
                return await method(message)
        except (TimeoutError, ConnectionError) as exc:
            raise PeerUnavailable(repr(exc)) from exc

    def keep_only(self, addresses):
        pass

    def close(self):
        pass


class _Stub:
    def __init__(self, world, source, address):
        self._world, self._source, self._address = world, source, address

    def __getattr__(self, name):
        async def rpc(message):
            world = self._world
            node = world.node_at(self._address)
            await asyncio.sleep(world.latency_s)
            if node is None or node.process.dead:
                raise ConnectionRefusedError
            await world.pass_link(self._source.name, node.process.name)
            copy = type(message).FromString(message.SerializeToString())
            reply = await asyncio.shield(node.spawn(node.handle(name, copy)))
            await asyncio.sleep(world.latency_s)
            await world.pass_link(self._source.name, node.process.name)
            if node.process.dead:
                raise ConnectionResetError
            return type(reply).FromString(reply.SerializeToString())

        return rpc


class FakeControl:
    """Orders to an engine: carried out there even if the sender is frozen or gone."""

    def __init__(self, world, process, engine):
        self._world, self._process, self._engine = world, process, engine

    async def _order(self, coro, limit_s, delay_s=0.0):
        world = self._world
        task = world.spawn_outside(_late(coro, world.latency_s + delay_s))
        try:
            async with asyncio.timeout(limit_s):
                await world.pass_link(self._process.name, self._engine.name)
                return await asyncio.shield(task)
        except TimeoutError as exc:
            raise UpstreamUnavailable("no answer") from exc

    async def claim(self, fence):
        await self._order(self._engine.claim(fence), 1.0)

    async def load(self, adapter, path, fence):
        await self._order(self._engine.load(adapter, path, fence), 30.0)

    async def unload(self, adapter, fence, limit_s):
        delay_s, self._world.order_delay_s = self._world.order_delay_s, 0.0
        await self._order(self._engine.unload(adapter, fence), limit_s, delay_s)

    async def report(self):
        return await self._order(self._engine.report(), 1.0)


async def _late(coro, delay_s):
    await asyncio.sleep(delay_s)
    return await coro


class FakeClient:
    """Sends requests to engines; the engine's side runs on whatever becomes of the router."""

    def __init__(self, world, process):
        self._world, self._process = world, process

    async def whole(self, out, valid_until):
        text, last = "", b""
        async for events in self.stream(out, valid_until):
            for event in events.split(b"\n\n"):
                if event and event != DONE.strip():
                    last = event
                    text += json.loads(event.removeprefix(b"data: "))["text"]
        return json.dumps({**json.loads(last.removeprefix(b"data: ")), "text": text}).encode()

    async def stream(self, out, valid_until):
        world = self._world
        engine = world.engine_of(out.url)
        body = json.loads(out.body)
        await asyncio.sleep(world.latency_s)
        if engine.name in world.dead_engines or world.is_cut(self._process.name, engine.name):
            raise NotSent("refused")
        if asyncio.get_running_loop().time() >= valid_until:
            raise NotSent("the credit ran out")
        world.attempts[out.attempt] = body["user"]
        world.sent_at[out.attempt] = asyncio.get_running_loop().time()
        queue = asyncio.Queue()
        side = world.spawn_outside(_engine_side(world, engine, out, body, queue))
        self._process.tasks.add(side)
        checker = EventChecker(out)
        try:
            while True:
                item = await queue.get()
                if isinstance(item, Exception):
                    raise item
                if item is None:
                    break
                yield checker.feed(item)
        finally:
            side.cancel()
        if not checker.done:
            raise UpstreamBroken("ended early")


async def _engine_side(world, engine, out, body, queue):
    await asyncio.sleep(world.latency_s)
    tokens = engine.run(out.attempt, body["model"], body["priority"], body["max_tokens"])
    try:
        async for token in tokens:
            part = {"id": f"cmpl-{out.attempt}", "model": body["model"], "text": token}
            queue.put_nowait(b"data: " + json.dumps(part).encode() + b"\n\n")
        queue.put_nowait(DONE)
        queue.put_nowait(None)
    except NotStarted as exc:
        queue.put_nowait(UpstreamRefused(exc.status, exc.code, exc.code))
    except EngineDied:
        queue.put_nowait(UpstreamBroken("died"))
    finally:
        await tokens.aclose()


class FakeExchange:
    """One caller's request."""

    numbers = itertools.count(1)

    def __init__(self, model, stream=False, key="", tokens=3, headers=None, number=None):
        self.number = number or next(self.numbers)
        body = {"model": model, "prompt": "x", "stream": stream, "max_tokens": tokens}
        body["user"] = key or f"request-{self.number}"
        self.model, self.key = model, key
        self.user = body["user"]
        self.body = json.dumps(body).encode()
        self.method, self.path, self.query = "POST", "/v1/completions", ""
        self.headers = {"Authorization": f"Bearer {TOKEN}", **(headers or {})}
        if key:
            self.headers["Idempotency-Key"] = key
        self.started = self.finished = self.was_cut = self.gone = False
        self.status, self.answer_headers, self.data = 0, {}, b""

    def header(self, name):
        return self.headers.get(name, "")

    def respond(self, status, body, headers):
        assert not self.started
        self.started = self.finished = True
        self.status, self.answer_headers, self.data = status, dict(headers), body

    def begin(self, status, headers):
        assert not self.started
        self.started, self.status, self.answer_headers = True, status, dict(headers)

    async def send(self, data):
        if self.gone:
            raise CallerGone("gone")
        self.data += data

    def send_now(self, data):
        self.data += data

    def finish(self):
        self.finished = True

    def cut(self):
        self.was_cut = True

    @property
    def outcome(self):
        return self.answer_headers.get("Gradelug-Outcome", "")

    @property
    def wanted(self):
        return self.model if "@" in self.model else f"{self.model}@2"

    @property
    def is_whole(self):
        return self.status == 200 and self.finished and not self.was_cut

    @property
    def ran_on(self):
        """The adapter named in the first token."""
        return self.data.decode().partition("[")[2].partition("]")[0]


class FakeNode:
    def __init__(self, world, number, hall):
        self.process = Process(f"node-{number}")
        self.world = world
        self.address = f"127.0.0.1:{7000 + number}"
        seeds = [f"127.0.0.1:{7000 + other}" for other in range(1, 10) if other != number]
        cfg = SchedulerSettings(
            name=self.process.name,
            hall=hall,
            listen=self.address,
            seeds=seeds,
            timing=Timing(lease_s=3.0),
        )
        self.revisions = []

        async def build():
            self.node = Node(
                cfg,
                FakeKv(world, self.process),
                world,
                None,
                Metrics(StatsdSettings(), "test"),
                random.Random(world.rng.random()),
                make_control=lambda engine: FakeControl(
                    world, self.process, world.engines[engine.name]
                ),
                peers=FakePeers(world, self.process),
                wall=asyncio.get_running_loop().time,
            )
            self.service = ControlService(self.node)
            self.node.start()

        self.built = self.spawn(build())

    def spawn(self, coro):
        return self.world.spawn_in(self.process, coro)

    async def handle(self, name, message):
        if name == "FetchBuckets":
            held = self.node.follower.contents
            contents = {d: held[d] for d in message.digests if d in held}
            return pb.Buckets(stamp=self.node.stamp(), contents=contents)
        if name == "EndPermit":
            if self.node.store.desk is not None:
                self.node.store.desk.end(message.number)
            return pb.Done(stamp=self.node.stamp())
        if name == "SettleKey":
            from gradelug_coordination.once import shard_of
            from gradelug_scheduler.service import _OUTCOMES

            shard = self.node.shards[shard_of(message.key)]
            shard.settle(message.key, message.attempt, _OUTCOMES[message.outcome])
            return pb.Done(stamp=self.node.stamp())
        reply = getattr(self.service, METHODS[name])(message)
        return await reply if asyncio.iscoroutine(reply) else reply


class FakeRouter:
    def __init__(self, world, number, hall):
        # A replaced router is another holder, as in the real one, whose name has a random part.
        self.process = Process(f"router-{len(world.routers) + 1}")
        self.world = world
        self.exchanges = []
        cfg = RouterSettings(
            name=self.process.name,
            hall=hall,
            listen="127.0.0.1:0",
            schedulers=[f"127.0.0.1:{7000 + number}"],
        )

        async def build():
            clock = asyncio.get_running_loop().time
            peers = FakePeers(world, self.process)
            metrics = self.metrics = Metrics(StatsdSettings(), "test")
            self.view = View(self.process.name, cfg.schedulers, peers, metrics)
            self.wallet = Wallet(clock)
            acquirer = Acquirer(
                self.view, self.wallet, peers, metrics, PlacementSettings(), hall, 500
            )
            self.accountant = Accountant(self.view, self.wallet, peers, metrics)
            client = FakeClient(world, self.process)
            once = OnceKeeper(self.view, peers, clock)
            self.serving = Serving(
                Parts(
                    cfg,
                    self.view,
                    self.wallet,
                    acquirer,
                    client,
                    once,
                    None,
                    metrics,
                    Levels(clock),
                    clock,
                )
            )
            self.spawn(self.view.run(cfg.timing.sync_s))
            self.spawn(self.accountant.run(cfg.timing.report_s))

        self.built = self.spawn(build())

    def spawn(self, coro):
        return self.world.spawn_in(self.process, coro)

    def send(self, exchange):
        """Serve a request in the background and return its task."""
        self.exchanges.append(exchange)
        exchange.task = self.spawn(self._serve(exchange))
        return exchange.task

    async def _serve(self, exchange):
        try:
            await self.serving.serve(exchange)
        except CallerGone:
            exchange.cut()


class World:
    """Everything there is.

    Parameters
    ----------
    nodes, engines : int
        How many; a router stands beside each node.
    """

    def __init__(self, loop, nodes=3, engines=3, seed=1, spec=None, adapters=12, slots=2):
        self.loop, self.rng = loop, random.Random(seed)
        self.kv = MemoryKv()
        self.latency_s, self.order_delay_s = 0.0015, 0.0
        self.cuts, self.lost_replies = set(), 0
        self.attempts, self.sent_at = {}, {}
        self.dead_engines, self.leaving, self.outside = set(), {}, set()
        self.spec = spec or {}
        self.engines = {}
        self.slots = slots
        for number in range(1, engines + 1):
            # The last engine checks no fencing tokens.
            settings = {"slots": slots, "batch": 8, "checks_fences": number != engines}
            engine = StubEngine(f"e{number}", EngineSpec(**{**settings, **self.spec}))
            self.engines[engine.name] = engine
        self.document = self.make_document(adapters)
        self.revision = 0
        self.nodes, self.routers, self.count = [], [], nodes

    def make_document(self, adapters):
        engines = [
            Engine(e.name, f"http://127.0.0.1:{9000 + i}", "h1", e.spec.checks_fences)
            for i, e in enumerate(self.engines.values())
        ]
        return Document(
            store_loads_per_s=50.0,
            store_parallel=10,
            callers=[Caller("all", TOKEN_SHA256)],
            adapters=[Adapter(f"a{n}", "base", [Version(1), Version(2)]) for n in range(adapters)],
            pools=[Pool("main", "base", slots=self.slots, batch=8, engines=engines)],
            access=[Access("all", "", "")],
        )

    async def start(self):
        await self.publish(self.document)
        for _ in range(self.count):
            await self.add_node()
        for number in range(1, self.count + 1):
            router = FakeRouter(self, number, f"h{number % 2}")
            await router.built
            self.routers.append(router)
        await asyncio.sleep(3.0)

    async def add_node(self):
        node = FakeNode(self, len(self.nodes) + 1, f"h{len(self.nodes) % 2}")
        await node.built
        self.nodes.append(node)
        return node

    async def publish(self, document):
        buckets = {bucket.digest: bucket.content for bucket in split(document)}
        publisher = Publisher(self.kv, LIVE, STORE)
        for _ in range(20):
            try:
                head, _ = await publisher.head()
                published = await publisher.publish(buckets, head.revision, "test")
                self.document, self.revision = document, published.revision
                return published.revision
            except (KvUnavailable, KvThrottled):
                await asyncio.sleep(0.5)
        raise AssertionError("nothing could be published")

    # Processes and links

    def spawn_in(self, process, coro):
        context = contextvars.copy_context()
        context.run(PROCESS.set, process)
        task = self.loop.create_task(coro, context=context)
        process.tasks.add(task)
        task.add_done_callback(process.tasks.discard)
        self.loop.spawned.add(task)
        task.add_done_callback(self.loop.spawned.discard)
        return task

    def spawn_outside(self, coro):
        context = contextvars.copy_context()
        context.run(PROCESS.set, None)
        task = self.loop.create_task(coro, context=context)
        self.outside.add(task)
        task.add_done_callback(self.outside.discard)
        return task

    def freeze(self, member):
        member.process.frozen = True

    def thaw(self, member):
        self.loop.thaw(member.process)

    def kill(self, member):
        """End a process at once: its connections close, which cancels its streams."""
        process = member.process
        process.dead = True
        for task in list(process.tasks):
            if task in self.outside:
                task.cancel()

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    def cut(self, one, other):
        self.cuts.add(frozenset((one, other)))

    async def pass_link(self, one, other):
        if self.is_cut(one, other):
            await asyncio.sleep(3600)

    def node_at(self, address):
        return next((node for node in self.nodes if node.address == address), None)

    def engine_of(self, url):
        number = int(url.split("/")[2].rpartition(":")[2]) - 9000
        return list(self.engines.values())[number]

    async def fetch(self):
        """Be the instance list."""
        return {
            address: Instance(address, True)
            for address, at in self.leaving.items()
            if self.loop.time() >= at
        }

    def leave(self, engine, lag_s):
        number = list(self.engines).index(engine)
        self.leaving[f"127.0.0.1:{9000 + number}"] = self.loop.time() + lag_s

    # Requests and checks

    async def ask(self, router, model, **kwargs):
        """Send a request and wait for its end."""
        exchange = FakeExchange(model, **kwargs)
        await asyncio.wait([router.send(exchange)])
        return exchange

    def runs_of(self, user):
        return [
            run
            for engine in self.engines.values()
            for run in engine.runs
            if self.attempts.get(run.request_id) == user
        ]

    def check(self):
        """Assert what must hold at every moment."""
        for engine in self.engines.values():
            assert engine.violations == [], engine.violations
        by_user = {}
        for engine in self.engines.values():
            for run in engine.runs:
                by_user.setdefault(self.attempts[run.request_id], []).append(run)
        for router in self.routers:
            for exchange in router.exchanges:
                self._check_exchange(exchange, by_user)

    def _check_exchange(self, exchange, by_user):
        runs = by_user.get(exchange.user, [])
        wanted = exchange.wanted
        sharing = [e for r in self.routers for e in r.exchanges if e.user == exchange.user]
        for run in runs:
            assert run.adapter in {item.wanted for item in sharing}
        if exchange.key:
            assert len(runs) <= 1, f"{exchange.key} ran {len(runs)} times"
        if exchange.is_whole:
            assert exchange.ran_on == wanted
            if exchange.path.endswith("completions") and b"[DONE]" in exchange.data:
                assert exchange.data.endswith(DONE)
        told_not_run = exchange.started and exchange.outcome == "not-run"
        if told_not_run and not exchange.key:
            assert runs == [], f"told not run, but ran: {runs}"
        if told_not_run and exchange.status not in (409, 422) and len(sharing) == 1:
            assert runs == []

    def served_revision(self):
        return min(
            member.node.follower.head.revision
            for member in self.nodes
            if not member.process.dead and not member.process.frozen
        )

    async def close(self):
        for member in [*self.nodes, *self.routers]:
            member.process.frozen = member.process.dead = False
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        # A task that lost a step when its process was killed never ends; the loop goes anyway.
        if tasks:
            await asyncio.wait(tasks, timeout=1.0)


def run_world(scenario, **kwargs):
    """Run a coroutine function on a new world and check what must hold at its end."""
    loop = new_loop()
    try:
        world = loop.run_until_complete(_run(scenario, loop, kwargs))
        world.check()
    finally:
        loop.close()


async def _run(scenario, loop, kwargs):
    world = World(loop, **kwargs)
    await world.start()
    try:
        await scenario(world)
        world.check()
    finally:
        await world.close()
    return world
