"""Engines of few slots, and who places requests on them, in steps of time without a network."""

import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from gradelug_policy.engine_room import (
    COPY_USE_S,
    EQUAL,
    HOLD_S,
    EngineRoom,
    Terms,
    copy_gain_s,
    expected_s,
    has_room,
)
from gradelug_policy.reading import LATE, Busyness, ReadingSpeeds, Work
from gradelug_policy.residency import STORE_COST_S

STEP_S = 0.01
BASE_STEP_S = 0.0095
"""A step of a batch, and what each run adds to it."""
STEP_S_PER_RUN = 0.0003
TOKENS_PER_EVENT = 4
PAUSE_S = 0.3
MOVE_S = 0.5
LOOK_S = 0.04
"""How often those that wait are looked at again."""
MOST_SENDS = 3
AWAY_S = 3.0
"""Callers without a first event leave after this."""


@dataclass(slots=True, frozen=True)
class Shape:
    """A fleet, and the load on it."""

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
    """By engine: so many times slower, from and until a moment."""
    kinds: tuple = ((1, 0.808, 1_460, 172), (0, 1.008, 1_460, 172), (2, 0.806, 646, 68))
    """Rank, target, mean prompt and mean answer in tokens."""
    mix: tuple = (122, 16.9, 75.8)


@dataclass(slots=True, frozen=True)
class Rules:
    """How requests are placed."""

    slots: bool = True
    """Whether slots are reckoned with, requests held for them, and copies brought ahead."""
    copies: bool = True
    urgency: str = "learned"
    """At engines: by "rank", "equal", or the one or the other by what is short."""
    speeds: bool = True
    """Whether each engine's own speed is learned."""
    news_s: float = 0.12


OLD = Rules(slots=False, copies=False, urgency="rank", speeds=False)


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
    to_read: float = 0.0
    made: float = 0.0
    first_at: float = math.inf
    last_at: float = math.inf
    worst_pause_s: float = 0.0
    done_at: float = math.inf
    rejected: int = 0
    preempted: int = 0
    sent_at: float = math.inf
    look_at: float = 0.0
    busy: Busyness = Busyness()
    excluded: set = field(default_factory=set)


class SimEngine:
    """An engine that admits the urgent first and lets them displace others."""

    def __init__(self, shape, speed):
        self.shape = shape
        self.speed = speed
        self.slow = 1.0
        self.batch = []
        self.waiting = []
        self.pauses_s = 0.0
        self.events = 0

    def arrive(self, req):
        full = len(self.batch) >= self.shape.slots and len(self.waiting) >= self.shape.queue
        if full and all(other.urgency <= req.urgency for other in self.batch):
            return False
        req.to_read = req.prompt
        self.waiting.append(req)
        return True

    def step(self, now):
        """Return the runs that made their first event, and those that ended."""
        self.waiting.sort(key=lambda req: (req.urgency, req.number))
        while self.waiting and len(self.batch) < self.shape.slots:
            self.batch.append(self.waiting.pop(0))
        while self.waiting:
            worst = max(self.batch, key=lambda req: (req.urgency, req.sent_at))
            if worst.urgency <= self.waiting[0].urgency:
                break
            self.batch.remove(worst)
            worst.preempted += 1
            worst.to_read = worst.prompt + worst.made
            self.batch.append(self.waiting.pop(0))
            self.waiting.append(worst)
            self.waiting.sort(key=lambda req: (req.urgency, req.number))
        budget = STEP_S * self.speed / self.slow
        unread = [req for req in self.batch if req.to_read]
        for req in sorted(unread, key=lambda req: (req.urgency, req.number)):
            part = min(budget, req.to_read)
            req.to_read -= part
            budget -= part
        step_s = (BASE_STEP_S + STEP_S_PER_RUN * len(self.batch)) * self.slow
        firsts, ended = [], []
        for req in self.batch:
            if req.to_read > 0:
                continue
            events = int(req.made // TOKENS_PER_EVENT)
            req.made += STEP_S / step_s
            if req.first_at == math.inf:
                req.first_at = req.last_at = now
                firsts.append(req)
            elif int(req.made // TOKENS_PER_EVENT) > events:
                req.worst_pause_s = max(req.worst_pause_s, now - req.last_at)
                self.pauses_s += now - req.last_at
                self.events += 1
                req.last_at = now
            if req.made >= req.answer:
                req.done_at = now
                ended.append(req)
        self.batch = [req for req in self.batch if req.done_at == math.inf]
        return firsts, ended


class Run:
    """One run of a load under some rules; its figures are in `figures`."""

    def __init__(self, shape, rules, seed=1):
        self.shape, self.rules = shape, rules
        self.rng = random.Random(seed)
        self.engines = [SimEngine(shape, shape.speed) for _ in range(shape.engines)]
        self.terms = Terms(shape.slots if rules.slots else 0)
        self.speeds = ReadingSpeeds()
        self.room = EngineRoom(self.speeds)
        self.now = 0.0
        self.weights = [1 / (rank + 1) ** 1.2 for rank in range(shape.adapters)]
        self.held = [{} for _ in self.engines]
        """By engine: adapters and when each was used."""
        self.coming = {}
        """Loads under way: when they are there."""
        self.users = [Counter() for _ in self.engines]
        self.seen = [[0, 0, Counter()] for _ in self.engines]
        """What is known by engine: starting, running, queued tokens by urgency."""
        self.news = deque()
        self.rates = Counter()
        self.line = []
        self.by_key = defaultdict(set)
        self.loads = 0
        self.sent = Counter()
        """Requests that each engine took."""
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
            self._take_news(now)
            if now < shape.length_s:
                rate = shape.rate * (1 + shape.wave * math.sin(2 * math.pi * now / 10.0))
                if any(begin <= now < end for begin, end in shape.bursts):
                    rate = shape.rate * shape.burst
                due += rate * STEP_S
                while due >= 1:
                    due -= 1
                    number += 1
                    self._arrive(self._request(number, now), now)
            self._land(now)
            steps += 1
            if steps % 10 == 0:
                for key in self.rates:
                    self.rates[key] *= 1 - 10 * STEP_S / 4.0
                if self.rules.copies:
                    self._add_copies(now)
                if self.rules.speeds:
                    self._learn_paces(now)
            due_now = [req for req in self.line if req.look_at <= now]
            self.line = [req for req in self.line if req.look_at > now]
            for req in self._in_order(due_now):
                req.look_at = now + LOOK_S
                self._place(req, now)
            for index, engine in enumerate(self.engines):
                slow = shape.slow.get(index)
                engine.slow = slow[0] if slow and slow[1] <= now < slow[2] else 1.0
                firsts, ended = engine.step(now)
                for req in firsts:
                    self.news.append((now + self.rules.news_s, "first", index, req))
                for req in ended:
                    self.users[index][req.adapter] -= 1
                    self.news.append((now + self.rules.news_s, "end", index, req))
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
        starting, running, queued = self.seen[index]
        tokens = tuple(queued[urgency] for urgency in range(10))
        return Busyness(tokens, running, starting)

    def _pace(self, index):
        return self.room.pace("llm", str(index), self.now)

    def _cost(self, index, work):
        return expected_s(self._busy(index), work, self.terms, self._pace(index))

    def _learn_paces(self, now):
        for index, engine in enumerate(self.engines):
            if engine.events:
                pause_s = engine.pauses_s / engine.events
                self.room.paces.note("llm", str(index), pause_s, engine.events, now)
            engine.pauses_s, engine.events = 0.0, 0

    def _place(self, req, now):
        if now - req.at > AWAY_S:
            return
        work = Work(req.prompt, self._urgency(req.rank))
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
        full = not has_room(self._busy(best), work, self.terms, self._pace(best))
        waits = now <= req.at + (HOLD_S if full else MOVE_S) and (late or full)
        if waits and (coming or self._load(req.adapter, now, least - 0.1) or full):
            self.line.append(req)
            return
        self._send(req, best, work, late or full, now)

    def _urgency(self, rank):
        learned = self.rules.urgency == "learned" and self.room.is_slot_bound("llm", self.terms)
        return EQUAL if learned or self.rules.urgency == "equal" else rank

    def _send(self, req, index, work, last, now):
        req.urgency = LATE if last and work.urgency != EQUAL else work.urgency
        req.sent_at, req.engine = now, index
        req.busy = self._busy(index)
        if not self.engines[index].arrive(req):
            req.rejected += 1
            req.excluded.add(index)
            if req.rejected < MOST_SENDS:
                self.line.append(req)
            return
        self.sent[index] += 1
        self.held[index][req.adapter] = now
        self.users[index][req.adapter] += 1
        seen = self.seen[index]
        seen[0] += 1
        seen[2][req.urgency] += req.prompt

    def _take_news(self, now):
        while self.news and self.news[0][0] <= now:
            _, what, index, req = self.news.popleft()
            seen = self.seen[index]
            if what == "first":
                seen[0] -= 1
                seen[1] += 1
                seen[2][req.urgency] -= req.prompt
                self.speeds.note(
                    "llm", req.busy, Work(req.prompt, req.urgency), req.first_at - req.sent_at
                )
            else:
                seen[1] -= 1
                read_s = req.prompt / self.speeds.speed("llm")
                self.room.note_run("llm", read_s + req.done_at - req.first_at)

    def _price(self, key):
        if not self.rules.copies:
            return STORE_COST_S
        return STORE_COST_S / max(1.0, self.rates[key] * COPY_USE_S)

    def _load(self, key, now, most_s):
        if len(self.coming) >= self.shape.loads_at_once:
            return False
        work = Work(1_000, 1)
        best, least, victim = None, most_s, None
        for index, held in enumerate(self.held):
            on_way = [other for other, where in self.coming if where == index]
            if key in held or key in on_way:
                continue
            out, missed = None, 0.0
            if len(held) + len(on_way) >= self.shape.places:
                idle = [
                    other
                    for other, at in held.items()
                    if not self.users[index][other] and now - at >= 0.06
                ]
                if not idle:
                    continue
                out = min(idle, key=lambda other: self.rates[other])
                missed = 0.15 * self.rates[out]
            cost = self.shape.load_s + self._price(key) + self._cost(index, work) + missed
            if cost < least:
                best, least, victim = index, cost, out
        if best is None:
            return False
        if victim is not None:
            del self.held[best][victim]
            self.by_key[victim].discard(best)
        self.loads += 1
        self.coming[key, best] = now + self.shape.load_s
        return True

    def _land(self, now):
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
                best = min(self._cost(index, Work(1_000, 1)) for index in holders)
                self._load(key, now, best + gain / max(1.0, rate * COPY_USE_S))

    def figures(self):
        reqs = self.requests
        lag = [req.first_at - req.at for req in reqs if req.first_at < math.inf]
        lag.sort()
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
            "p50": round(lag[len(lag) // 2], 3),
            "p95": round(lag[len(lag) * 95 // 100], 3),
        }
