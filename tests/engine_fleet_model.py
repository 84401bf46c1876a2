"""Engines of few slots, and who places requests on them, in steps of time without a network."""

import math
import random
from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field

from gradelug_policy.engine_room import (
    HoldTime,
    Pace,
    Terms,
    copy_gain_s,
    expected_s,
    has_room,
    room_wait_s,
)
from gradelug_policy.reading import Busyness, Work, first_event_s

STEP_S = 0.01
BASE_STEP_S = 0.0095
"""A step of a batch, and what each run adds to it."""
STEP_S_PER_RUN = 0.0003
TOKENS_PER_EVENT = 4
PAUSE_S = 0.3
STORE_COST_S = 0.8
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
    """Engines that are so many times slower, from and until a moment."""


@dataclass(slots=True, frozen=True)
class Rules:
    """How requests are placed."""

    slots: bool = True
    hold: bool = True
    hold_s: float = 1.0
    queue_s: float = 0.0
    move_s: float = MOVE_S
    copies: bool = True
    urgency: str = "rank"
    news_s: float = 0.12


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
    excluded: set = field(default_factory=set)


class SimEngine:
    """An engine that admits the urgent first and lets them displace others."""

    def __init__(self, shape, speed):
        self.shape = shape
        self.speed = speed
        self.slow = 1.0
        self.batch = []
        self.waiting = []

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
        self.hold = HoldTime()
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
            due_now = [req for req in self.line if req.look_at <= now]
            self.line = [req for req in self.line if req.look_at > now]
            for req in sorted(due_now, key=lambda req: (req.rank, req.number)):
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

    def _request(self, number, now):
        rng = self.rng
        kind = rng.choices(range(3), (122, 16.9, 75.8))[0]
        rank, target_s = ((1, 0.808), (0, 1.008), (2, 0.806))[kind]
        long = kind != 2
        prompt = int((1_460 if long else 646) * rng.lognormvariate(-0.18, 0.6))
        answer = int((172 if long else 68) * rng.lognormvariate(-0.12, 0.5)) + 4
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

    def _cost(self, index, work):
        pace = Pace(self.shape.speed, self.hold.seconds)
        return expected_s(self._busy(index), work, self.terms, pace)

    def _place(self, req, now):
        if now - req.at > AWAY_S:
            return
        work = Work(req.prompt, self._urgency(req.rank))
        holders = [index for index in self.by_key[req.adapter] if index not in req.excluded]
        best = min(holders, key=lambda index: self._cost(index, work), default=None)
        least = self._cost(best, work) if best is not None else math.inf
        pace = Pace(self.shape.speed, self.hold.seconds)
        coming = any(key == req.adapter for key, _ in self.coming)
        if best is None:
            if not coming:
                self._load(req.adapter, now, math.inf)
            self.line.append(req)
            return
        late = now + least > req.at + req.target_s
        full = self.rules.slots and not has_room(
            self._busy(best), work, self.terms, pace, self.rules.queue_s
        )
        moves = now <= req.at + self.rules.move_s and (late or full)
        if moves and (coming or self._load(req.adapter, now, least - 0.1)):
            self.line.append(req)
            return
        if full and self.rules.hold and now < req.at + min(self.rules.hold_s, req.target_s - 0.15):
            self.line.append(req)
            return
        self._send(req, best, work, late, now)

    def _urgency(self, rank):
        if self.rules.urgency == "one":
            return 5
        if self.rules.urgency == "two":
            return 0 if rank == 0 else 5
        if self.rules.urgency == "need":
            return 5
        return rank

    def _send(self, req, index, work, late, now):
        req.urgency = work.urgency
        if late and self.rules.urgency == "late":
            req.urgency = 9
        if late and self.rules.urgency == "need":
            req.urgency = req.rank
        if self.rules.urgency.startswith("room"):
            free = self.shape.slots - self._busy(index).held
            if free <= int(self.rules.urgency[4:] or 0):
                req.urgency = 9
        req.sent_at, req.engine = now, index
        if not self.engines[index].arrive(req):
            req.rejected += 1
            req.excluded.add(index)
            if req.rejected < MOST_SENDS:
                self.line.append(req)
            return
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
            else:
                seen[1] -= 1
                self.hold.note(req.done_at - req.sent_at)

    def _price(self, key):
        if not self.rules.copies:
            return STORE_COST_S
        return STORE_COST_S / max(1.0, self.rates[key] * 4.0)

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
            gain = copy_gain_s(busy, rate, self.shape.load_s, self.terms, self.hold.seconds)
            if gain > STORE_COST_S:
                best = min(self._cost(index, Work(1_000, 1)) for index in holders)
                self._load(key, now, best + gain / max(1.0, rate * 4.0))

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
            "hold_s": round(self.hold.seconds, 2),
        }


def reading_only(busy, work, speed):
    """Return what was expected before slots were reckoned with."""
    return first_event_s(busy, work, speed)


def slot_wait(busy, work, terms, pace):
    """Return the wait for room alone."""
    return room_wait_s(busy, work, terms, pace)
