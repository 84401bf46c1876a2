"""Time-stepped simulation of engines with few slots and of request placement, without a network."""

import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from gradelug_policy.engine_capacity import (
    COPY_DEMAND_HORIZON_S,
    EQUAL_URGENCY,
    MAX_REQUEST_HOLD_S,
    EngineCapacity,
    EngineEstimator,
    copy_gain_s,
    expected_first_event_s,
    has_capacity,
)
from gradelug_policy.prefill import LATE_URGENCY, EngineLoad, PrefillSpeeds, RequestWork
from gradelug_policy.residency import STORE_COST_S

STEP_S = 0.01
BASE_STEP_S = 0.0095
"""Duration of a batch step, to which each run adds."""
STEP_S_PER_RUN = 0.0003
TOKENS_PER_EVENT = 4
PAUSE_S = 0.3
MOVE_S = 0.5
RETRY_INTERVAL_S = 0.04
"""Interval at which placement of waiting requests is retried."""
MAX_ATTEMPTS = 3
CALLER_TIMEOUT_S = 3.0
"""Time after which callers without a first event give up."""


@dataclass(slots=True, frozen=True)
class FleetParameters:
    """Parameters of a fleet and of the load on it."""

    engines: int = 70
    slots: int = 12
    queue: int = 4
    speed: float = 19_200.0
    rate: float = 215.0
    adapters: int = 2_000
    places: int = 8
    load_s: float = 0.29
    loads_at_once: int = 64
    wave: float = 0.55
    bursts: tuple = ((4.0, 6.0), (13.0, 14.5))
    burst: float = 2.6
    length_s: float = 20.0
    slow: dict = field(default_factory=dict)
    """By engine: factor by which it is slower, and the times at which that starts and ends."""
    kinds: tuple = ((1, 0.808, 1_460, 172), (0, 1.008, 1_460, 172), (2, 0.806, 646, 68))
    """Rank, target in seconds, and mean prompt and answer in tokens, of each kind of request."""
    mix: tuple = (122, 16.9, 75.8)


@dataclass(slots=True, frozen=True)
class PlacementOptions:
    """Options of request placement."""

    slots: bool = True
    """Whether slots are considered, requests held for them, and adapter copies loaded ahead."""
    copies: bool = True
    urgency: str = "learned"
    """Urgency at engines: "rank", "equal", or "learned", which selects one by the bottleneck."""
    speeds: bool = True
    """Whether slow engines are detected."""
    news_s: float = 0.12


BASELINE = PlacementOptions(slots=False, copies=False, urgency="rank", speeds=False)


@dataclass(slots=True)
class Req:
    number: int
    at: float
    adapter: int
    rank: int
    target_s: float
    prompt: int
    answer: int
    urgency: int = 0
    engine: int = -1
    prefill_left: float = 0.0
    made: float = 0.0
    first_at: float = math.inf
    last_at: float = math.inf
    worst_pause_s: float = 0.0
    done_at: float = math.inf
    rejected: int = 0
    preempted: int = 0
    sent_at: float = math.inf
    retry_at: float = 0.0
    busy: EngineLoad = EngineLoad()
    excluded: set = field(default_factory=set)


class SimEngine:
    """An engine that admits urgent requests first and preempts others for them."""

    def __init__(self, shape, speed):
        self.shape = shape
        self.speed = speed
        self.slow = 1.0
        self.batch = []
        self.waiting = []
        self.total_pause_s = 0.0
        self.events = 0

    def arrive(self, req):
        full = len(self.batch) >= self.shape.slots and len(self.waiting) >= self.shape.queue
        if full and all(other.urgency <= req.urgency for other in self.batch):
            return False
        req.prefill_left = req.prompt
        self.waiting.append(req)
        return True

    def step(self, now):
        """Return the runs that produced their first event and those that ended."""
        self.waiting.sort(key=lambda req: (req.urgency, req.number))
        while self.waiting and len(self.batch) < self.shape.slots:
            self.batch.append(self.waiting.pop(0))
        while self.waiting:
            worst = max(self.batch, key=lambda req: (req.urgency, req.sent_at))
            if worst.urgency <= self.waiting[0].urgency:
                break
            self.batch.remove(worst)
            worst.preempted += 1
            worst.prefill_left = worst.prompt + worst.made
            self.batch.append(self.waiting.pop(0))
            self.waiting.append(worst)
            self.waiting.sort(key=lambda req: (req.urgency, req.number))
        budget = STEP_S * self.speed / self.slow
        unprocessed = [req for req in self.batch if req.prefill_left]
        for req in sorted(unprocessed, key=lambda req: (req.urgency, req.number)):
            part = min(budget, req.prefill_left)
            req.prefill_left -= part
            budget -= part
        step_s = (BASE_STEP_S + STEP_S_PER_RUN * len(self.batch)) * self.slow
        firsts, ended = [], []
        for req in self.batch:
            if req.prefill_left > 0:
                continue
            events = int(req.made // TOKENS_PER_EVENT)
            req.made += STEP_S / step_s
            if req.first_at == math.inf:
                req.first_at = req.last_at = now
                firsts.append(req)
            elif int(req.made // TOKENS_PER_EVENT) > events:
                req.worst_pause_s = max(req.worst_pause_s, now - req.last_at)
                self.total_pause_s += now - req.last_at
                self.events += 1
                req.last_at = now
            if req.made >= req.answer:
                req.done_at = now
                ended.append(req)
        self.batch = [req for req in self.batch if req.done_at == math.inf]
        return firsts, ended


class FleetSimulation:
    """Simulation of a load under some placement rules; `figures` returns the results."""

    def __init__(self, shape, rules, seed=1):
        self.shape, self.rules = shape, rules
        self.rng = random.Random(seed)
        self.engines = [SimEngine(shape, shape.speed) for _ in range(shape.engines)]
        self.terms = EngineCapacity(shape.slots if rules.slots else 0)
        self.speeds = PrefillSpeeds()
        self.room = EngineEstimator(self.speeds)
        self.now = 0.0
        self.weights = [1 / (rank + 1) ** 1.2 for rank in range(shape.adapters)]
        self.held = [{} for _ in self.engines]
        """By engine: loaded adapters and the time of their last use."""
        self.coming = {}
        """Loads in progress, by adapter and engine: time of completion."""
        self.active_requests = [Counter() for _ in self.engines]
        self.known_load = [[0, 0, Counter()] for _ in self.engines]
        """Known load by engine: starting and running requests, queued tokens by urgency."""
        self.reports = deque()
        self.rates = Counter()
        self.line = []
        self.by_key = defaultdict(set)
        self.loads = 0
        self.sent = Counter()
        """Number of requests accepted by each engine."""
        self.requests = []
        order = sorted(range(shape.adapters), key=lambda key: key)
        for key in order[: shape.engines * shape.places]:
            engine = key % shape.engines
            self.held[engine][key] = 0.0
            self.by_key[key].add(engine)

    def go(self):
        now, number, steps = 0.0, 0, 0
        shape = self.shape
        due = 0.0
        while now < shape.length_s + 8.0:
            self.now = now
            self._apply_reports(now)
            if now < shape.length_s:
                rate = shape.rate * (1 + shape.wave * math.sin(2 * math.pi * now / 10.0))
                if any(begin <= now < end for begin, end in shape.bursts):
                    rate = shape.rate * shape.burst
                due += rate * STEP_S
                while due >= 1:
                    due -= 1
                    number += 1
                    self._arrive(self._request(number, now), now)
            self._complete_loads(now)
            steps += 1
            if steps % 10 == 0:
                for key in self.rates:
                    self.rates[key] *= 1 - 10 * STEP_S / 4.0
                if self.rules.copies:
                    self._add_copies(now)
                if self.rules.speeds:
                    self._learn_paces(now)
            due_reqs = [req for req in self.line if req.retry_at <= now]
            self.line = [req for req in self.line if req.retry_at > now]
            for req in self._in_order(due_reqs):
                req.retry_at = now + RETRY_INTERVAL_S
                self._place(req, now)
            for index, engine in enumerate(self.engines):
                slow = shape.slow.get(index)
                engine.slow = slow[0] if slow and slow[1] <= now < slow[2] else 1.0
                firsts, ended = engine.step(now)
                for req in firsts:
                    self.reports.append((now + self.rules.news_s, "first", index, req))
                for req in ended:
                    self.active_requests[index][req.adapter] -= 1
                    self.reports.append((now + self.rules.news_s, "end", index, req))
            now += STEP_S
        return self

    def _in_order(self, due):
        return sorted(due, key=lambda req: (req.rank, req.number))

    def _request(self, number, now):
        rng = self.rng
        kind = rng.choices(self.shape.kinds, self.shape.mix)[0]
        rank, target_s, mean_prompt, mean_answer = kind
        prompt = int(mean_prompt * rng.lognormvariate(-0.18, 0.6))
        answer = int(mean_answer * rng.lognormvariate(-0.12, 0.5)) + TOKENS_PER_EVENT
        adapter = rng.choices(range(self.shape.adapters), self.weights)[0]
        return Req(number, now, adapter, rank, target_s, prompt, answer)

    def _arrive(self, req, now):
        self.requests.append(req)
        self.rates[req.adapter] += 1 / 4.0
        self.line.append(req)

    def _busy(self, index):
        starting, running, queued = self.known_load[index]
        tokens = tuple(queued[urgency] for urgency in range(10))
        return EngineLoad(tokens, running, starting)

    def _pace(self, index):
        return self.room.pace("llm", str(index), self.now)

    def _cost(self, index, work):
        return expected_first_event_s(self._busy(index), work, self.terms, self._pace(index))

    def _learn_paces(self, now):
        for index, engine in enumerate(self.engines):
            if engine.events:
                pause_s = engine.total_pause_s / engine.events
                self.room.paces.note("llm", str(index), pause_s, engine.events, now)
            engine.total_pause_s, engine.events = 0.0, 0

    def _place(self, req, now):
        if now - req.at > CALLER_TIMEOUT_S:
            return
        work = RequestWork(req.prompt, self._urgency(req.rank))
        holders = [index for index in self.by_key[req.adapter] if index not in req.excluded]
        best = min(holders, key=lambda index: self._cost(index, work), default=None)
        least = self._cost(best, work) if best is not None else math.inf
        coming = any(key == req.adapter for key, _ in self.coming)
        if best is None:
            if not coming:
                self._load(req.adapter, now, math.inf)
            self.line.append(req)
            return
        late = now + least > req.at + req.target_s
        is_full = not has_capacity(self._busy(best), work, self.terms, self._pace(best))
        waits = now <= req.at + (MAX_REQUEST_HOLD_S if is_full else MOVE_S) and (late or is_full)
        if waits and (coming or self._load(req.adapter, now, least - 0.1) or is_full):
            self.line.append(req)
            return
        self._send(req, best, work, late or is_full, now)

    def _urgency(self, rank):
        learned = self.rules.urgency == "learned" and self.room.is_slot_bound("llm", self.terms)
        return EQUAL_URGENCY if learned or self.rules.urgency == "equal" else rank

    def _send(self, req, index, work, last, now):
        req.urgency = LATE_URGENCY if last and work.urgency != EQUAL_URGENCY else work.urgency
        req.sent_at, req.engine = now, index
        req.busy = self._busy(index)
        if not self.engines[index].arrive(req):
            req.rejected += 1
            req.excluded.add(index)
            if req.rejected < MAX_ATTEMPTS:
                self.line.append(req)
            return
        self.sent[index] += 1
        self.held[index][req.adapter] = now
        self.active_requests[index][req.adapter] += 1
        known = self.known_load[index]
        known[0] += 1
        known[2][req.urgency] += req.prompt

    def _apply_reports(self, now):
        while self.reports and self.reports[0][0] <= now:
            _, kind, index, req = self.reports.popleft()
            known = self.known_load[index]
            if kind == "first":
                known[0] -= 1
                known[1] += 1
                known[2][req.urgency] -= req.prompt
                self.speeds.note(
                    "llm",
                    req.busy,
                    RequestWork(req.prompt, req.urgency),
                    req.first_at - req.sent_at,
                )
            else:
                known[1] -= 1
                prefill_s = req.prompt / self.speeds.speed("llm")
                self.room.note_run("llm", prefill_s + req.done_at - req.first_at)

    def _price(self, key):
        if not self.rules.copies:
            return STORE_COST_S
        return STORE_COST_S / max(1.0, self.rates[key] * COPY_DEMAND_HORIZON_S)

    def _load(self, key, now, max_cost_s):
        if len(self.coming) >= self.shape.loads_at_once:
            return False
        work = RequestWork(1_000, 1)
        best, min_cost, victim = None, max_cost_s, None
        for index, held in enumerate(self.held):
            loading = [other for other, where in self.coming if where == index]
            if key in held or key in loading:
                continue
            evicted, eviction_cost = None, 0.0
            if len(held) + len(loading) >= self.shape.places:
                idle = [
                    other
                    for other, at in held.items()
                    if not self.active_requests[index][other] and now - at >= 0.06
                ]
                if not idle:
                    continue
                evicted = min(idle, key=lambda other: self.rates[other])
                eviction_cost = 0.15 * self.rates[evicted]
            cost = self.shape.load_s + self._price(key) + self._cost(index, work) + eviction_cost
            if cost < min_cost:
                best, min_cost, victim = index, cost, evicted
        if best is None:
            return False
        if victim is not None:
            del self.held[best][victim]
            self.by_key[victim].discard(best)
        self.loads += 1
        self.coming[key, best] = now + self.shape.load_s
        return True

    def _complete_loads(self, now):
        for (key, index), at in list(self.coming.items()):
            if at <= now:
                del self.coming[key, index]
                self.held[index][key] = now
                self.by_key[key].add(index)

    def _add_copies(self, now):
        for key, rate in self.rates.most_common(40):
            holders = list(self.by_key[key])
            holders += [index for other, index in self.coming if other == key]
            busy = [self._busy(index) for index in holders]
            gain = copy_gain_s(busy, rate, self.shape.load_s, self.terms, self.room.hold_s("llm"))
            if gain > STORE_COST_S:
                best = min(self._cost(index, RequestWork(1_000, 1)) for index in holders)
                self._load(key, now, best + gain / max(1.0, rate * COPY_DEMAND_HORIZON_S))

    def figures(self):
        reqs = self.requests
        first_event_s = [req.first_at - req.at for req in reqs if req.first_at < math.inf]
        first_event_s.sort()
        good = [
            req
            for req in reqs
            if req.first_at - req.at <= req.target_s and req.worst_pause_s <= PAUSE_S
        ]
        return {
            "requests": len(reqs),
            "in_time": round(len(good) / len(reqs), 3),
            "by_rank": [
                round(
                    sum(req.rank == rank for req in good)
                    / max(1, sum(req.rank == rank for req in reqs)),
                    3,
                )
                for rank in range(3)
            ],
            "paused": sum(req.worst_pause_s > PAUSE_S for req in reqs),
            "never": sum(req.first_at == math.inf for req in reqs),
            "preempted": sum(req.preempted for req in reqs),
            "rejected": sum(req.rejected for req in reqs),
            "loads": self.loads,
            "p50": round(first_event_s[len(first_event_s) // 2], 3),
            "p95": round(first_event_s[len(first_event_s) * 95 // 100], 3),
        }
