"""Keeping one engine: what is in its slots, who waits for it, what is granted, loaded, dropped."""

from __future__ import annotations

import asyncio
import typing as t
from collections import deque

import logbook
from gradelug_backends import (
    EngineReport,
    FencedOff,
    OrderRefused,
    UpstreamError,
    UpstreamUnavailable,
)
from gradelug_config.model import Engine, Pool
from gradelug_coordination import GrantTracker, HolderReport, Observation
from gradelug_policy import (
    CREDIT_TTL_S,
    Demand,
    Popularity,
    Resident,
    choose_demand,
    choose_victim,
    offer_credits,
    priority,
)
from gradelug_wire import control_pb2 as pb
from gradelug_wire.facts import EngineFact
from returns.result import Failure, Success

from .authority import Authority
from .keeperparts import KeeperParts
from .questions import Answer, Decline, Offer, Question
from .slots import FailedLoad, FailedLoads, Slot, SlotTable
from .waiters import Waiter, Waiters

log = logbook.Logger("keeper")
DELAYED_ORDER_S = 10.0
CREDIT_HALF_LIFE_S = 3.0
"""Credits follow the demand of the last seconds, slots that of the last minutes."""
PEAK_SAMPLES = 8
LOAD_TASK = "load"
UNLOAD_TASK = "unload"
NOT_LOADED = "not_loaded"
ALREADY_LOADED = "already_loaded"


def _rounded(load: int) -> int:
    """Round a load up, so that small changes of a large one are not worth telling."""
    step = 1 if load < 8 else 4
    return -(-load // step) * step


class EngineKeeper:
    """Keeps one engine as long as this process owns it.

    Parameters
    ----------
    engine : Engine
        The engine.
    pool : Pool
        Its pool.
    authority : Authority
        What may be done at a moment.
    parts : KeeperParts
        What it works with.
    """

    __slots__ = (
        "_boot",
        "_claimed",
        "_failed",
        "_foreign",
        "_leaving",
        "_parts",
        "_peaks",
        "_popularity",
        "_recent",
        "_slots",
        "_tasks",
        "_took_over",
        "_waiters",
        "authority",
        "book",
        "drained",
        "engine",
        "pool",
        "reported",
    )

    def __init__(
        self, engine: Engine, pool: Pool, authority: Authority, parts: KeeperParts
    ) -> None:
        self.engine = engine
        self.pool = pool
        self.authority = authority
        self._parts = parts
        self._claimed = self._took_over = not engine.checks_fences
        self.book = GrantTracker(float("inf"), CREDIT_TTL_S, authority.next_token())
        if self._claimed:
            over_at = authority.predecessors_over_at(authority.held.acquired_at)
            self.book.set_predecessors_expiry(over_at)
        self._popularity = Popularity(parts.slots.half_life_s)
        self._recent = Popularity(CREDIT_HALF_LIFE_S)
        self._slots = SlotTable()
        self._failed = FailedLoads()
        self._waiters = Waiters()
        self._tasks: set[asyncio.Task[None]] = set()
        self._peaks: deque[int] = deque(maxlen=PEAK_SAMPLES)
        self._foreign = 0
        self._boot = ""
        self._leaving = False
        self.drained = False
        """Whether operators or the instance list say that the engine is to leave."""
        self.reported = False
        """Whether the engine has reported to this owner."""

    # Questions and accounts of holders

    async def ask(self, question: Question) -> Answer:
        """Answer a holder, holding the answer back for up to its `wait_s`."""
        declined = self._decline_at_once(question)
        if declined is not None:
            return Failure(declined)
        now = self._parts.clock()
        if question.fresh:
            self._popularity.note(question.key, now, question.fresh * question.weight)
            self._recent.note(question.key, now, question.fresh)
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        waiter = Waiter(question, now, fut, question.key not in self._slots.residents)
        self._waiters.add(waiter)
        self.decide()
        try:
            async with asyncio.timeout(question.wait_s):
                return await fut
        except TimeoutError:
            return Failure(Decline(pb.VERDICT_BUSY, "no room yet", self._expected_wait_s()))
        finally:
            self._waiters.drop(waiter)

    def account(self, account: HolderReport) -> bool:
        """Take in a holder's account; tell whether it should drop its credits."""
        self.book.apply_report(account, self._parts.clock())
        slot = self._slots.residents.get(account.key)
        if slot is not None and (account.running or account.unspent):
            slot.used_at = self._parts.clock()
        self.decide()
        return self.is_leaving or slot is None or slot.draining

    @property
    def is_leaving(self) -> bool:
        """Whether the engine takes no new work."""
        return self._leaving or self.drained

    @property
    def _is_known(self) -> bool:
        """Whether the engine's slots are known and it knows its owner."""
        return self.reported and self._claimed

    def is_active(self) -> bool:
        """Tell whether something waits for the engine's next report."""
        if self._waiters or self._slots.loading or not self._is_known:
            return True
        return self._slots.is_draining

    def fact(self, owner: str, address: str) -> EngineFact:
        """Return what others are told."""
        now = self._parts.clock()
        granted = self._slots.serving()
        idle = [key for key in granted if not self.book.load_of(key, now)]
        return EngineFact(
            owner=owner,
            address=address,
            resident=sorted(granted),
            loading=sorted(self._slots.loading),
            evictable=len(idle),
            coldest=round(min((self._popularity.rate(key, now) for key in idle), default=0.0), 2),
            load=_rounded(self._load(now)),
            waiting=self._waiters.wanted(),
            leaving=self.is_leaving,
        )

    # Decisions

    def decide(self) -> None:
        """Grant, load and drop what can be now."""
        if self.is_leaving:
            self._waiters.decline_all(Decline(pb.VERDICT_LEAVING, "the engine is leaving"))
            return
        if not self.authority.may_grant():
            return
        self._grant_waiting()
        self._load_waiting()
        self._drop_drained()

    def _grant_waiting(self) -> None:
        now = self._parts.clock()
        waiters = self._waiters.by_priority(now)
        free = self.pool.batch - self._load(now)
        contended = len(waiters) > 1
        for waiter in waiters:
            if free <= 0:
                return
            slot = self._slots.residents.get(waiter.question.key)
            if slot is None or not slot.serves:
                continue
            free -= self._grant(waiter, slot, free, contended, now)

    def _grant(self, waiter: Waiter, slot: Slot, free: int, contended: bool, now: float) -> int:
        question = waiter.question
        rate = self._recent.rate(question.key, now)
        holders = len(set(self.book.holders(question.key)) | {question.holder})
        offer = offer_credits(question.want, free, rate, holders, contended)
        valid_s = self.authority.grant_valid_s()
        if not offer.credits or valid_s <= 0 or waiter.fut.done():
            return 0
        number = self.book.issue(question.holder, question.key, offer.credits, now + valid_s)
        slot.used_at = now
        # The asker counts validity from when it sent the question, which is earlier than the
        # moment counted from here: the time the answer was held back goes on top for it.
        held_back_s = now - waiter.asked_at
        stall_s = now - waiter.since if waiter.needed_load else 0.0
        granted = Offer(number, offer.credits, valid_s + held_back_s, stall_s)
        self._waiters.answer(waiter, Success(granted))
        self._parts.metrics.count("grants")
        return offer.credits

    def _load_waiting(self) -> None:
        now = self._parts.clock()
        while len(self._slots.loading) < self._parts.limits.loads and self._is_known:
            demands = self._waiters.demands(
                now, self._popularity, lambda key: self._lacks(key, now)
            )
            demand = choose_demand(demands, now)
            if demand is None or not self.authority.may_load():
                return
            if self._slots.taken >= self.pool.slots:
                self._begin_drop(demand, now)
                return
            self._slots.loading[demand.key] = now
            self._spawn(self._load_adapter(demand), LOAD_TASK)

    def _lacks(self, key: str, now: float) -> bool:
        there = key in self._slots.residents or key in self._slots.loading
        return not there and not self._failed.blocking(key, now)

    def _begin_drop(self, demand: Demand, now: float) -> None:
        if self._slots.is_draining:
            return
        if self.authority.unload_limit_s() <= 0:
            return
        residents = [
            Resident(
                key=key,
                busy=self.book.load_of(key, now),
                rate=self._popularity.rate(key, now),
                used_at=slot.used_at,
            )
            for key, slot in self._slots.residents.items()
        ]
        victim = choose_victim(residents, demand, now, self._parts.slots)
        if victim is not None:
            self._slots.residents[victim.key].draining = True

    def _drop_drained(self) -> None:
        for key, slot in self._slots.residents.items():
            if not slot.draining or slot.unloading or not self.book.is_free(key):
                continue
            limit_s = self.authority.unload_limit_s()
            if limit_s > 0:
                slot.unloading = True
                self._spawn(self._unload_adapter(key, slot, limit_s), UNLOAD_TASK)

    # Orders

    async def _load_adapter(self, demand: Demand) -> None:
        key = demand.key
        permit = None
        try:
            now = self._parts.clock()
            urgency = priority(demand.weight, now - demand.since)
            permit = await self._parts.store.acquire(self.engine.name, key, urgency)
            if not self.authority.may_load():
                return
            path = self._parts.path_of(key)
            await self._parts.control.load(key, path, self.authority.next_token())
        except OrderRefused as exc:
            if exc.code != ALREADY_LOADED:
                self._note_failed_load(key, exc)
                return
            self._note_loaded(key)
        except UpstreamUnavailable as exc:
            self._note_failed_load(key, exc)
        else:
            self._note_loaded(key)
        finally:
            self._slots.loading.pop(key, None)
            if permit is not None:
                await self._parts.store.end(permit)
            self.decide()

    async def _unload_adapter(self, key: str, slot: Slot, limit_s: float) -> None:
        try:
            await self._parts.control.unload(key, self.authority.next_token(), limit_s)
        except OrderRefused as exc:
            slot.unloading = False
            if exc.code != NOT_LOADED:
                # Nothing was done; a later token or a busy engine: the next report decides.
                slot.draining = False
                return
        except UpstreamUnavailable:
            # The order may arrive yet. The slot stays drained and the order is given again
            # with a later token, which fences the first off; an engine that checks no tokens
            # gets the adapter back only when a delayed order is no longer to be feared.
            slot.unloading = False
            now = self._parts.clock()
            self._failed.block(key, "an unload is in doubt", now, DELAYED_ORDER_S)
            return
        self._slots.note_dropped(key, self._parts.clock())
        self._parts.metrics.count("unloads")
        self.decide()

    def _note_loaded(self, key: str) -> None:
        now = self._parts.clock()
        waiting = self._waiters.of(key)
        first = waiting[0].question.request_id if waiting else "nobody any more"
        log.info("{}: loaded {} for {}", self.engine.name, key, first)
        self._failed.clear(key)
        self._slots.note_loaded(key, now)
        self.book.note_created(key, now)
        self._parts.metrics.count("loads")

    def _note_failed_load(self, key: str, exc: UpstreamError) -> None:
        if isinstance(exc, FencedOff):
            # A later token, possibly our own: the engine's report tells whose.
            return
        now = self._parts.clock()
        failed = self._failed.note(key, str(exc), now)
        self._parts.metrics.count("loads_failed")
        log.warning("{}: loading {} failed: {}", self.engine.name, key, exc)
        declined = self._failed_decline(failed, now)
        for waiter in self._waiters.of(key):
            self._waiters.answer(waiter, Failure(declined))

    # The engine's own word

    async def poll(self) -> None:
        """Claim the engine if need be, ask for its report and act on it."""
        if not self._claimed:
            await self._claim()
        asked_at = self._parts.clock()
        try:
            report = await self._parts.control.report()
        except UpstreamUnavailable:
            self._parts.metrics.count("reports_missed")
            return
        self.observe(report, asked_at)

    def observe(self, report: EngineReport, asked_at: float) -> None:
        """Take in a report asked for at `asked_at`."""
        taken_at = asked_at - report.age_s
        self.authority.note_report(taken_at, report.fence)
        if report.boot != self._boot:
            self._restarted(report, taken_at)
        self._leaving = report.leaving
        self.reported = True
        # What is not resident does not run; but credits for it stay good until they end.
        for key in {*report.running, *self.book.keys()}:
            self.book.apply_observation(key, Observation(taken_at, report.running.get(key, 0)))
        self._slots.reconcile(report.running, taken_at, self._parts.clock())
        self._note_foreign(report)
        self.decide()

    async def _claim(self) -> None:
        try:
            await self._parts.control.claim(self.authority.next_token())
        except UpstreamError as exc:
            log.debug("{}: claim: {}", self.engine.name, exc)
            return
        self._claimed = True
        if not self._took_over:
            self._took_over = True
            over_at = self.authority.predecessors_over_at(self._parts.clock())
            self.book.set_predecessors_expiry(over_at)

    def _restarted(self, report: EngineReport, taken_at: float) -> None:
        if self._boot:
            log.warning("{}: the engine has restarted", self.engine.name)
            self._parts.metrics.count("engine_restarts")
            # It may have lost the token it had seen, too.
            self._claimed = not self.engine.checks_fences
        self._boot = report.boot
        self._slots.restart(report.running, self._parts.clock())

    def _note_foreign(self, report: EngineReport) -> None:
        # Requests that do not come through us. The report lags, so it is held against the
        # most that we ourselves had running lately.
        self._peaks.append(self.book.load(self._parts.clock()))
        self._foreign = max(0, sum(report.running.values()) - max(self._peaks))

    # Helpers

    def close(self) -> None:
        """Stop keeping: answer everyone, cancel loads; an order to unload runs to its end."""
        self.authority.deposed = True
        self._waiters.decline_all(Decline(pb.VERDICT_NOT_OWNER, "the engine has another owner"))
        for task in self._tasks:
            if task.get_name() == LOAD_TASK:
                task.cancel()

    async def finish(self) -> None:
        """Wait until no order to the engine is under way any more."""
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _decline_at_once(self, question: Question) -> Decline | None:
        now = self._parts.clock()
        if not self.authority.may_grant():
            return Decline(pb.VERDICT_NOT_OWNER, "this scheduler's lease is over")
        if self.is_leaving:
            return Decline(pb.VERDICT_LEAVING, "the engine is leaving")
        if not self._parts.carries(question.key):
            return Decline(pb.VERDICT_NOT_CARRIED, f"{self.pool.name} may not carry it")
        failed = self._failed.blocking(question.key, now)
        if failed is not None and question.key not in self._slots.residents:
            return self._failed_decline(failed, now)
        if len(self._waiters) >= self._parts.limits.waiting:
            return Decline(pb.VERDICT_OVERLOADED, "too many wait", self._expected_wait_s())
        return None

    def _failed_decline(self, failed: FailedLoad, now: float) -> Decline:
        return Decline(pb.VERDICT_LOAD_FAILED, failed.reason, failed.until - now)

    def _load(self, now: float) -> int:
        return self.book.load(now) + self._foreign

    def _expected_wait_s(self) -> float:
        return max(0.25, self._waiters.wanted() / self.pool.batch)

    def _spawn(self, coro: t.Coroutine[t.Any, t.Any, None], name: str) -> None:
        task = asyncio.get_running_loop().create_task(coro, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
