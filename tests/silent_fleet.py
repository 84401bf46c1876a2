"""Gateways as processes before engines that fall silent for a time, and callers of streams."""

import asyncio
import random
import signal
from collections import Counter
from enum import Enum

from fleet_stand_in import EVENTS, GATEWAY_HOST, HOST, Ledger, Proxy, ReplicaStandIn, event
from gradelug_gateway.model import AdapterKey, Order
from gradelug_http import (
    ConnectFailed,
    HttpPool,
    HttpServer,
    OutgoingRequest,
    ResponseBroken,
    ServerLimits,
)
from platform_stand_in import FakeStore
from soak_parts import Gateway, Keys, free_ports
from soak_settings import CONFIG

GATEWAYS = 3
ENGINES = 9
CALLERS = 72
ADAPTERS = 9
HELD = 3
"""Adapters that each engine holds from the start."""
EVENT_S = 0.2
STREAM_S = EVENTS * EVENT_S
BUDGET_EXTRA = 12
"""Fewer retries than there are streams at a time."""
CALLER_TIMEOUT_S = 15.0
DEADLINE_MS = 12_000
SETTLE_S = 2.5
"""Time after the start until all gateways serve."""
MIN_TIMEOUT_S = 8.0
"""The shorter one of the route's timeouts."""
SLACK_S = 0.2
"""Answers that end this long before the timeout or later are at their deadlines."""
REFUSED = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request did not run."""
PAUSE_S = 0.05
"""Time after which a caller goes on that was refused or not answered."""
_llm, _plain = CONFIG["Services"]
SETTINGS = {**CONFIG, "Services": [{**_llm, "Engine": {**_llm["Engine"], "Moves": True}}, _plain]}
WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))


class Outcome(Enum):
    """How a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused and not run"
    FAILED = "answered as failed, or refused although it ran"
    CUT = "begun and broken off"
    LOST = "not answered"


NOT_WHOLE = (Outcome.FAILED, Outcome.CUT, Outcome.LOST)


class StreamCaller:
    """Asks for one stream after the other, over a connection that it keeps.

    Parameters
    ----------
    fleet : SilentFleet
        What it calls.
    address : str
        ``IP:port`` of its gateway.
    number : int
        Its own, which tells its requests from those of others.
    """

    def __init__(self, fleet, address, number):
        self._fleet = fleet
        self._address = address
        self._number = number
        self._pool = HttpPool(fleet.clock)
        self._adapter = b"m/a%d" % (number % ADAPTERS + 1)

    async def call(self):
        """Ask until the callers are told to end; the last stream is read to its end."""
        # Callers begin one after the other: few streams at a time are without an event.
        await asyncio.sleep(self._number / CALLERS * STREAM_S)
        turn = 0
        while not self._fleet.is_ending:
            turn += 1
            request_id, asked_at = f"c{self._number}-{turn}", self._fleet.clock()
            outcome = await self._play(request_id)
            self._fleet.outcomes[outcome] += 1
            took_s = self._fleet.clock() - asked_at
            if outcome in NOT_WHOLE and took_s < MIN_TIMEOUT_S - SLACK_S:
                self._fleet.early.append(f"{request_id}: {outcome.value} after {took_s:.2f} s")
            if outcome is not Outcome.WHOLE:
                await asyncio.sleep(PAUSE_S)
        self._pool.close()

    async def _play(self, request_id):
        ledger, key = self._fleet.ledger, self._fleet.keys.held["free"][0]
        body = f"body of {request_id}".encode()
        ledger.bodies[request_id] = body
        ledger.organisations[request_id] = "free"
        headers = [
            (b"Host", b"h"),
            (b"X-Gradelug-Request-Id", request_id.encode()),
            (b"X-Gradelug-Deadline-Ms", b"%d" % DEADLINE_MS),
            (b"X-Gradelug-Model", self._adapter),
            (b"Authorization", f"Bearer {key}".encode()),
        ]
        conn = head = None
        try:
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                conn = await self._pool.acquire(self._address, 1.0)
                conn.send(OutgoingRequest(b"POST", b"/s/x", headers, body))
                head = await conn.head(lambda head: True)
                answer = await conn.body(len(WHOLE_STREAM))
                self._pool.release(conn, head)
        except (ConnectFailed, ResponseBroken, TimeoutError):
            if conn is not None:
                conn.abort()
            return Outcome.LOST if head is None else Outcome.CUT
        if head.status in REFUSED and not ledger.runs.get(request_id):
            return Outcome.REFUSED
        if head.status != 200:
            return Outcome.FAILED
        return Outcome.WHOLE if answer == WHOLE_STREAM else Outcome.CUT


class SilentFleet:
    """Store, engines, gateways and callers; an asynchronous context manager.

    Parameters
    ----------
    folder : Path
        For settings and logs of the gateways.
    """

    def __init__(self, folder):
        self._folder = folder
        self.clock = asyncio.get_running_loop().time
        self.ledger = Ledger()
        self.outcomes = Counter()
        self.early = []
        """Answers that are not whole and ended before their deadlines."""
        self.is_ending = False
        self._store = FakeStore()
        self.keys = Keys(self._store, self.clock, random.Random(0))
        self._store_server = HttpServer(self._store.serve, ServerLimits, self.clock)
        self._engines = []
        self._proxies = []
        self._gateways = []
        self._callers = []

    async def __aenter__(self):
        await self.configure()
        store_port = await self._store_server.start(HOST, 0)
        for number in range(ENGINES):
            await self._add_engine(number)
        for number in range(GATEWAYS):
            gateway = Gateway(
                number, self._folder, store_port, free_ports(3), True, budget_extra=BUDGET_EXTRA
            )
            self._gateways.append(gateway)
            gateway.start()
        await asyncio.sleep(SETTLE_S)
        for number in range(CALLERS):
            gateway = self._gateways[number % GATEWAYS]
            caller = StreamCaller(self, f"{GATEWAY_HOST}:{gateway.front}", number)
            self._callers.append(asyncio.create_task(caller.call()))
        await asyncio.sleep(STREAM_S)
        return self

    async def __aexit__(self, *exc):
        for caller in self._callers:
            caller.cancel()
        await asyncio.gather(*self._callers, return_exceptions=True)
        for gateway in self._gateways:
            if not gateway.is_running:
                gateway.note_exit()
            gateway.signal(signal.SIGKILL)
            gateway.process.wait()
        for engine in self._engines:
            await engine.server.close()
        for proxy in self._proxies:
            await proxy.close()
        await self._store_server.close()

    async def configure(self):
        """Write a new version of the configuration, with other times."""
        self.keys.version += 1
        other = self.keys.version % 2
        routes = [
            {**route, "TimeoutMs": MIN_TIMEOUT_S * 1000 + 500 * other} for route in CONFIG["Routes"]
        ]
        limits = {"IdleTimeoutMs": 15_000 - 3000 * other}
        self.keys.settings = {**SETTINGS, "Routes": routes, "Limits": limits}
        await self.keys.write()

    async def silence_engines(self, lasts_s, numbers=None):
        """Hold some engines, or all, and what they are sent, and let them go on."""
        chosen = [self._engines[at] for at in numbers] if numbers else self._engines
        proxies = [self._proxies[at] for at in numbers] if numbers else self._proxies
        for engine, proxy in zip(chosen, proxies, strict=True):
            engine.silence.begin()
            proxy.silent = True
        await asyncio.sleep(lasts_s)
        for engine, proxy in zip(chosen, proxies, strict=True):
            engine.silence.end()
            proxy.silent = False

    def is_silent(self, number):
        """Return whether an engine is held."""
        return self._engines[number].silence.is_on

    async def lose_weights(self, number, lasts_s):
        """Let an engine lack all adapters for a time, of which it says nothing."""
        engine = self._engines[number]
        engine.lost = {key for key in engine.engine.held if key.adapter}
        await asyncio.sleep(lasts_s)
        engine.lost = set()

    async def end_calls(self):
        """Let the callers read their last streams to the end."""
        self.is_ending = True
        await asyncio.gather(*self._callers)

    def faults(self):
        """Return what engines and processes saw that must not be."""
        return [
            *self.ledger.faults,
            *(row for gateway in self._gateways for row in gateway.faults()),
        ]

    async def _add_engine(self, number):
        engine = ReplicaStandIn(f"i-{number}", "llm", self._store.kv, self.ledger, {})
        engine.event_s = EVENT_S
        for count in range(HELD):
            key = AdapterKey("m", f"a{(number + count) % ADAPTERS + 1}")
            engine.engine.carry_out(Order(True, key, 1, count, "", 0))
        await engine.start()
        proxy = Proxy(engine.port)
        await proxy.start()
        await engine.enter(f"{HOST}:{proxy.port}")
        self._engines.append(engine)
        self._proxies.append(proxy)
