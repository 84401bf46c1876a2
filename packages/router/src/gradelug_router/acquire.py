"""Getting credits: requests for one adapter wait in one line, and one question asks for all."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

import logbook
from gradelug_config import AdapterKey
from gradelug_policy import Circuit, EngineView, PlacementSettings, choose_engine, judge, priority
from gradelug_runtime import Metrics
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb
from returns.result import Failure, Result, Success

from .view import View, wait_changed
from .wallet import Credit, Wallet

log = logbook.Logger("acquire")
ASK_WAIT_S = 0.5
"""How long an owner may hold an answer back before another engine is considered."""
CALL_MARGIN_S = 0.5
AVOID_S = 0.3
AVOID_LEAVING_S = 2.0
NO_ENGINE_WAIT_S = 0.25
NO_ENGINE_LIMIT_S = 5.0
"""A request finds no engine at all for this long before it is refused."""
ASK_ELSEWHERE_S = 1.0
"""After this long without an engine another scheduler is asked which there are: the one that is
read may have missed an owner's word, which comes again after 10 s only."""
MAX_RETRY_AFTER_S = 30.0
NOT_CARRIED_RETRY_S = 1.0
"""Retry-After where a new configuration lets no pool carry the adapter of a waiting request."""


@dataclass(slots=True, frozen=True)
class Wanted:
    """A request that needs a credit.

    Parameters
    ----------
    key : str
        Adapter and version.
    pools : tuple of str
        Pools that may serve it.
    weight : float
        How much it counts.
    deadline : float
        When waiting is in vain, by the runtime's clock.
    request_id : str
        For the logs.
    """

    key: str
    pools: tuple[str, ...]
    weight: float
    deadline: float
    request_id: str


@dataclass(slots=True, frozen=True)
class Refused:
    """No credit, and when to come back."""

    code: str
    reason: str
    retry_after_s: float


Acquired = Result[Credit, Refused]


@dataclass(slots=True)
class _Waiter:
    wanted: Wanted
    since: float
    fut: asyncio.Future[Acquired]


@dataclass(slots=True)
class _Line:
    """Requests for one adapter in the same pools."""

    key: str
    pools: tuple[str, ...]
    heap: list[tuple[float, int, _Waiter]] = field(default_factory=list)
    fresh: int = 0
    without_engine_since: float | None = None
    asked_elsewhere: bool = False
    pump: asyncio.Task[None] | None = None


@dataclass(slots=True)
class _Avoided:
    until: float
    verdict: pb.Verdict
    reason: str


class Acquirer:
    """Gets credits from the owners of engines.

    Parameters
    ----------
    view : View
        Engines and owners.
    wallet : Wallet
        Where credits are kept.
    peers : Peers
        Connections to owners.
    metrics : Metrics
        Counters.
    placement : PlacementSettings
        Weights of the choice.
    hall : str
        Where this router stands.
    queue_limit : int
        Requests that may wait.
    """

    __slots__ = (
        "_avoided",
        "_circuits",
        "_clock",
        "_counter",
        "_hall",
        "_lines",
        "_metrics",
        "_peers",
        "_placement",
        "_queue_limit",
        "_view",
        "_waiting",
        "_wallet",
    )

    def __init__(
        self,
        view: View,
        wallet: Wallet,
        peers: Peers,
        metrics: Metrics,
        placement: PlacementSettings,
        hall: str,
        queue_limit: int,
    ) -> None:
        self._clock = asyncio.get_running_loop().time
        self._view = view
        self._wallet = wallet
        self._peers = peers
        self._metrics = metrics
        self._placement = placement
        self._hall = hall
        self._queue_limit = queue_limit
        self._waiting = 0
        self._counter = itertools.count()
        self._lines: dict[tuple[str, tuple[str, ...]], _Line] = {}
        self._avoided: dict[tuple[str, str], _Avoided] = {}
        self._circuits: dict[str, Circuit] = {}

    def circuit(self, upstream: str) -> Circuit:
        """Return the circuit of an upstream."""
        return self._circuits.setdefault(upstream, Circuit())

    async def acquire(self, wanted: Wanted) -> Acquired:
        """Return a credit, or a refusal as soon as it is clear that there will be none."""
        now = self._clock()
        held = self._spend_held(wanted)
        if held is not None:
            self._line(wanted).fresh += 1
            return Success(held)
        refusal = judge(0.0, wanted.deadline - now, self._waiting, self._queue_limit)
        if refusal is not None:
            return Failure(Refused("overloaded", refusal.reason, refusal.retry_after_s))
        return await self._wait_in_line(wanted, now)

    def distrust(self, engine: str, key: str, reason: str) -> None:
        """Avoid an engine for an adapter for a moment after it refused or failed."""
        self._wallet.drop(engine, key)
        self._avoid(engine, key, AVOID_S, pb.VERDICT_BUSY, reason)

    async def _wait_in_line(self, wanted: Wanted, now: float) -> Acquired:
        line = self._line(wanted)
        line.fresh += 1
        waiter = _Waiter(wanted, now, asyncio.get_running_loop().create_future())
        # Ageing grows alike for all that wait, so an order fixed at arrival stays right.
        order = -priority(wanted.weight, -now)
        heapq.heappush(line.heap, (order, next(self._counter), waiter))
        self._waiting += 1
        if line.pump is None or line.pump.done():
            line.pump = asyncio.get_running_loop().create_task(self._pump(line))
        try:
            async with asyncio.timeout_at(wanted.deadline):
                return await waiter.fut
        except TimeoutError:
            self._return_late(waiter)
            return Failure(Refused("deadline", "its deadline passed while it waited", 1.0))
        except asyncio.CancelledError:
            self._return_late(waiter)
            raise
        finally:
            self._waiting -= 1

    def _return_late(self, waiter: _Waiter) -> None:
        """Give back a credit that came in the very moment the wait was given up."""
        if waiter.fut.done() and not waiter.fut.cancelled():
            acquired = waiter.fut.result()
            if isinstance(acquired, Success):
                self._wallet.end(acquired.unwrap())
        waiter.fut.cancel()

    def _line(self, wanted: Wanted) -> _Line:
        place = (wanted.key, wanted.pools)
        line = self._lines.get(place)
        if line is None:
            line = self._lines[place] = _Line(wanted.key, wanted.pools)
        return line

    def _spend_held(self, wanted: Wanted) -> Credit | None:
        engines = self._wallet.engines_with_credit(wanted.key)
        if not engines:
            return None
        now = self._clock()
        for view in self._view.fleet(wanted.pools).views:
            if view.name in engines and self._is_usable(view, wanted.key, now):
                credit = self._wallet.spend(view.name, wanted.key)
                if credit is not None:
                    return credit
        return None

    async def _pump(self, line: _Line) -> None:
        """Ask for credits until nobody waits in the line."""
        try:
            while self._drop_done(line):
                await self._ask_once(line)
        finally:
            self._lines.pop((line.key, line.pools), None)
            for _, _, waiter in line.heap:
                if not waiter.fut.done():
                    waiter.fut.set_result(Failure(Refused("internal", "the line broke", 1.0)))

    async def _ask_once(self, line: _Line) -> None:
        if not self._is_carried(line):
            reason = "the configuration no longer lets any pool carry it"
            self._refuse(line, Refused("unavailable", reason, NOT_CARRIED_RETRY_S))
            return
        candidates = self._candidates(line.key, line.pools)
        engine = choose_engine(candidates, line.key, self._hall, self._placement)
        if engine is None:
            await self._without_engine(line)
            return
        line.without_engine_since = None
        line.asked_elsewhere = False
        address = self._view.owner_address(engine.name)
        if address is None:
            self._avoid(engine.name, line.key, AVOID_S, pb.VERDICT_NOT_OWNER, "no owner")
            return
        sent_at = self._clock()
        try:
            grant = await self._ask(line, engine, address)
        except PeerUnavailable as exc:
            self._metrics.count("asks_failed")
            self._avoid_everywhere(engine.name, AVOID_S, pb.VERDICT_NOT_OWNER, str(exc))
            return
        if grant.verdict == pb.VERDICT_GRANTED:
            self._take_grant(line, engine.name, grant, sent_at)
            return
        await self._take_refusal(line, engine.name, grant)

    def _is_carried(self, line: _Line) -> bool:
        """Tell whether the configuration in force lets a pool of the line carry its adapter."""
        catalog = self._view.catalog
        found = [catalog.pools[name] for name in line.pools if name in catalog.pools]
        key = AdapterKey.parse(line.key)
        return any(catalog.carries(pool, key) for pool in found)

    async def _ask(self, line: _Line, engine: EngineView, address: str) -> pb.Grant:
        wanted = [waiter.wanted for _, _, waiter in line.heap]
        since = min(waiter.since for _, _, waiter in line.heap)
        fresh, line.fresh = line.fresh, 0
        message = pb.Ask(
            stamp=self._view.stamp(),
            engine=engine.name,
            adapter=line.key,
            want=len(wanted),
            weight=max(item.weight for item in wanted),
            wait_ms=int(ASK_WAIT_S * 1000),
            request_id=line.heap[0][2].wanted.request_id,
            fresh=fresh,
            waited_ms=int((self._clock() - since) * 1000),
        )
        self._metrics.count("asks")
        stub = self._peers.stub(address)
        return await self._peers.call(stub.AskGrant, message, ASK_WAIT_S + CALL_MARGIN_S)

    def _take_grant(self, line: _Line, engine: str, grant: pb.Grant, sent_at: float) -> None:
        valid_until = sent_at + grant.valid_ms / 1000
        self._wallet.add(engine, line.key, grant.number, grant.credits, valid_until)
        stall_s = grant.stall_ms / 1000
        if stall_s:
            self._metrics.time("load_stall", stall_s)
        while self._drop_done(line):
            credit = self._wallet.spend(engine, line.key, stall_s)
            if credit is None:
                return
            _, _, waiter = heapq.heappop(line.heap)
            waiter.fut.set_result(Success(credit))

    async def _take_refusal(self, line: _Line, engine: str, grant: pb.Grant) -> None:
        verdict, retry_s = grant.verdict, grant.retry_after_ms / 1000
        self._metrics.count(f"declined.{pb.Verdict.Name(verdict).lower()}")
        if verdict == pb.VERDICT_BEHIND:
            if not await self._view.sync():
                await asyncio.sleep(NO_ENGINE_WAIT_S)
            return
        if verdict in (pb.VERDICT_NOT_OWNER, pb.VERDICT_LEAVING):
            limit_s = AVOID_LEAVING_S if verdict == pb.VERDICT_LEAVING else AVOID_S
            self._avoid_everywhere(engine, limit_s, verdict, grant.reason)
            await self._view.sync()
            return
        avoid_s = AVOID_S if verdict == pb.VERDICT_BUSY else max(AVOID_S, retry_s)
        self._avoid(engine, line.key, avoid_s, verdict, grant.reason)

    async def _without_engine(self, line: _Line) -> None:
        """Refuse the line if waiting is in vain, else wait for something to change."""
        now = self._clock()
        blocked = [
            avoided
            for (_, key), avoided in self._avoided.items()
            if key == line.key and avoided.until > now
        ]
        final = [
            item
            for item in blocked
            if item.verdict in (pb.VERDICT_LOAD_FAILED, pb.VERDICT_OVERLOADED)
        ]
        if final and len(final) == len(blocked):
            retry_s = max(0.5, min(item.until for item in final) - now)
            self._refuse(line, Refused("unavailable", final[0].reason, retry_s))
            return
        if line.without_engine_since is None:
            line.without_engine_since = now
        if now - line.without_engine_since > NO_ENGINE_LIMIT_S:
            self._refuse(line, Refused("unavailable", "no engine can take it", 2.0))
            return
        if now - line.without_engine_since > ASK_ELSEWHERE_S and not line.asked_elsewhere:
            line.asked_elsewhere = True
            self._view.read_another()
        await wait_changed(self._view, NO_ENGINE_WAIT_S)

    def _refuse(self, line: _Line, refused: Refused) -> None:
        heap, line.heap = line.heap, []
        log.info(
            "refused {} waiting for {}: {}; pools {}, {} engines known, avoided: {}",
            len(heap),
            line.key,
            refused.reason,
            line.pools,
            len(self._view.fleet(line.pools).views),
            [f"{name} {item.reason}" for (name, _), item in self._avoided.items()],
        )
        for _, _, waiter in heap:
            if not waiter.fut.done():
                waiter.fut.set_result(Failure(refused))

    def _drop_done(self, line: _Line) -> bool:
        """Drop those at the head who have given up; tell whether anybody waits."""
        line.heap = [item for item in line.heap if not item[2].fut.done()]
        heapq.heapify(line.heap)
        return bool(line.heap)

    def _candidates(self, key: str, pools: tuple[str, ...]) -> list[EngineView]:
        fleet = self._view.fleet(pools)
        now = self._clock()
        if self._avoided:
            self._avoided = {place: a for place, a in self._avoided.items() if a.until > now}
        usable = [view for view in fleet.candidates(key) if self._is_usable(view, key, now)]
        return usable or [view for view in fleet.views if self._is_usable(view, key, now)]

    def _is_usable(self, view: EngineView, key: str, now: float) -> bool:
        if (view.name, key) in self._avoided or (view.name, "") in self._avoided:
            return False
        circuit = self._circuits.get(view.name)
        return circuit is None or circuit.allows(now)

    def _avoid(
        self, engine: str, key: str, limit_s: float, verdict: pb.Verdict, reason: str
    ) -> None:
        until = self._clock() + min(limit_s, MAX_RETRY_AFTER_S)
        self._avoided[(engine, key)] = _Avoided(until, verdict, reason)

    def _avoid_everywhere(
        self, engine: str, limit_s: float, verdict: pb.Verdict, reason: str
    ) -> None:
        self._avoid(engine, "", limit_s, verdict, reason)


class Accountant:
    """Gives the owners of engines the router's accounts, once a period.

    Parameters
    ----------
    view, wallet, peers, metrics
        As in `Acquirer`.
    """

    __slots__ = ("_metrics", "_peers", "_view", "_wallet")

    def __init__(self, view: View, wallet: Wallet, peers: Peers, metrics: Metrics) -> None:
        self._view = view
        self._wallet = wallet
        self._peers = peers
        self._metrics = metrics

    async def run(self, period_s: float) -> None:
        """Give accounts until cancelled."""
        while True:
            await asyncio.sleep(period_s)
            await self.send()

    async def send(self) -> None:
        """Give every account that is due."""
        by_owner: dict[str, list[pb.Holding]] = {}
        for engine, holdings in self._wallet.accounts().items():
            address = self._view.owner_address(engine)
            if address is not None:
                by_owner.setdefault(address, []).extend(holdings)
        await asyncio.gather(*(self._send_to(*item) for item in by_owner.items()))

    async def _send_to(self, address: str, holdings: list[pb.Holding]) -> None:
        message = pb.Report(stamp=self._view.stamp(), holdings=holdings)
        try:
            reply = await self._peers.call(self._peers.stub(address).SendReport, message)
        except PeerUnavailable:
            self._metrics.count("reports_failed")
            return
        self._wallet.delivered(holdings)
        for recall in reply.recalls:
            self._wallet.drop(recall.engine, recall.adapter)
