"""The state machine over the whole system; used by the tests and by the long run."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gradelug_config.model import Weight
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from world import FakeExchange, FakeNode, FakeRouter, World, new_loop

ADAPTERS = 6
IN_FORCE_S = 4.0
MAX_NODES = 6
steps = 0

adapters = st.integers(0, ADAPTERS - 1)
places = st.integers(0, 2)


class SystemMachine(RuleBasedStateMachine):
    """Three schedulers, three routers, three engines of one slot each, and what may fail."""

    @initialize(seed=st.integers(0, 999))
    def start(self, seed):
        self.loop = new_loop()
        self.world = World(self.loop, seed=seed, adapters=ADAPTERS, slots=1)
        self.world.spec = {}
        self.do(self.world.start())
        self.keys = 0

    def do(self, coro):
        return self.loop.run_until_complete(coro)

    def node(self, number):
        alive = [node for node in self.world.nodes if not node.process.dead]
        return alive[number % len(alive)]

    def router(self, number):
        alive = [router for router in self.world.routers if not router.process.dead]
        return alive[number % len(alive)]

    @rule(
        router=places,
        adapter=adapters,
        stream=st.booleans(),
        tokens=st.sampled_from([1, 30, 150, 400]),
    )
    def send(self, router, adapter, stream, tokens):
        exchange = FakeExchange(f"a{adapter}", stream=stream, tokens=tokens)
        self.router(router).send(exchange)

    @rule(router=places, adapter=adapters, count=st.integers(2, 6))
    def send_many(self, router, adapter, count):
        for offset in range(count):
            exchange = FakeExchange(f"a{(adapter + offset) % ADAPTERS}", tokens=80)
            self.router(router + offset).send(exchange)

    @rule(router=places, back=st.integers(0, 4))
    def send_once(self, router, back):
        """Send a new key, or one of the latest again."""
        if not back:
            self.keys += 1
        number = max(1, self.keys - max(0, back - 1))
        model = f"a{number % ADAPTERS}"
        self.router(router).send(FakeExchange(model, key=f"key-{number}", tokens=5))

    @rule(seconds=st.sampled_from([0.01, 0.05, 0.2, 0.5, 1.0, 2.5, 4.0]))
    def advance(self, seconds):
        self.do(asyncio.sleep(seconds))

    @rule(number=places)
    def freeze_node(self, number):
        self.world.freeze(self.node(number))

    @rule(number=places)
    def freeze_router(self, number):
        self.world.freeze(self.router(number))

    @rule()
    def thaw(self):
        for member in [*self.world.nodes, *self.world.routers]:
            if member.process.frozen and not member.process.dead:
                self.world.thaw(member)

    @precondition(lambda self: len(self.world.nodes) < MAX_NODES)
    @rule(number=places)
    def replace_node(self, number):
        self.world.kill(self.node(number))
        node = FakeNode(self.world, len(self.world.nodes) + 1, "h1")
        self.world.nodes.append(node)
        self.do(asyncio.sleep(0.01))

    @precondition(lambda self: len(self.world.routers) < MAX_NODES)
    @rule(number=places)
    def replace_router(self, number):
        self.world.kill(self.router(number))
        alive = [i for i, n in enumerate(self.world.nodes, 1) if not n.process.dead]
        self.world.routers.append(FakeRouter(self.world, alive[number % len(alive)], "h0"))
        self.do(asyncio.sleep(0.01))

    @rule(down=st.booleans())
    def key_value_service(self, down):
        self.world.kv.set_down(down)

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.world.kv.faults.lose_answers = count

    @rule(delay_s=st.sampled_from([0.0, 0.5, 1.5]))
    def slow_key_value_service(self, delay_s):
        self.world.kv.faults.delay_s = delay_s

    @rule(number=places)
    def lapse_lease(self, number):
        self.world.kv.lapse(self.node(number).node.lease.lease)

    @rule(number=places, other=places)
    def cut(self, number, other):
        ends = ["kv", *(node.process.name for node in self.world.nodes), *self.world.engines]
        self.world.cut(self.node(number).process.name, ends[other % len(ends)])

    @rule(router=places, engine=places)
    def cut_router(self, router, engine):
        self.world.cut(self.router(router).process.name, f"e{engine + 1}")

    @rule()
    def heal(self):
        self.world.cuts.clear()

    @rule(engine=places)
    def restart_engine(self, engine):
        self.world.engines[f"e{engine + 1}"].restart()

    @rule(engine=places)
    def fail_load(self, engine):
        self.world.engines[f"e{engine + 1}"].faults.fail_loads += 1

    @rule(delay_s=st.sampled_from([0.5, 3.0, 14.0]))
    def delay_next_unload(self, delay_s):
        self.world.order_delay_s = delay_s

    @rule(weight=st.integers(1, 9))
    def change_configuration(self, weight):
        if self.world.kv.faults.down:
            return
        weights = [Weight("w", float(weight))]
        self.do(self.world.publish(replace(self.world.document, weights=weights)))

    @rule()
    def settle(self):
        """Heal everything; the accepted configuration must be in force within seconds."""
        self.heal()
        self.thaw()
        self.world.kv.set_down(False)
        self.world.kv.faults.delay_s = 0.0
        self.do(asyncio.sleep(IN_FORCE_S + 2.0))
        assert self.world.served_revision() == self.world.revision

    @invariant()
    def holds(self):
        global steps
        steps += 1
        self.world.check()
        for node in self.world.nodes:
            if not node.process.dead:
                revision = node.node.follower.head.revision
                node.revisions.append(revision)
                assert node.revisions == sorted(node.revisions)

    def teardown(self):
        if hasattr(self, "world"):
            self.do(self.world.close())
            self.loop.close()
