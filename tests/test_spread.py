"""Gateways that choose by themselves among few engines, by news that all of them have."""

import functools
import random

import pytest
from gradelug_policy.engine_room import EngineRates, Terms, expected_s
from gradelug_policy.reading import Busyness, Work
from gradelug_policy.spread import choose_spread

ENGINES = 8
TERMS = Terms(12)
HOLD_S = 1.6
SPEED = 19_200.0
PROMPT = 1_250
LATE_S = 0.8


class Crowd:
    """Gateways that know what they sent themselves, and all else as it was at the last news."""

    def __init__(self, gateways, news_s, choose, rate=45.0, seed=1):
        self.rng = random.Random(seed)
        self.gateways, self.news_s, self.choose, self.rate = gateways, news_s, choose, rate
        self.slots = [[0.0] * TERMS.slots for _ in range(ENGINES)]
        self.read_until = [0.0] * ENGINES
        self.sent = [[] for _ in range(ENGINES)]
        """By engine: gateway, when it was sent, when its first event comes, when it ends."""
        self.told = [Busyness()] * ENGINES
        self.news_at = 0.0
        self.waits = []

    def go(self, length_s=20.0):
        now = 0.0
        while now < length_s:
            now += self.rng.expovariate(self.rate)
            if now >= self.news_at + self.news_s:
                self._tell(now)
            self._send(self.rng.randrange(self.gateways), now)
        return self

    def _tell(self, now):
        self.news_at = now
        self.sent = [[run for run in runs if run[3] > now] for runs in self.sent]
        self.told = [
            Busyness(
                (PROMPT * sum(run[2] > now for run in runs),),
                sum(run[2] <= now for run in runs),
                sum(run[2] > now for run in runs),
            )
            for runs in self.sent
        ]

    def _seen(self, engine, gateway):
        told = self.told[engine]
        own = sum(run[0] == gateway and run[1] > self.news_at for run in self.sent[engine])
        return Busyness((sum(told.queued) + PROMPT * own,), told.running, told.starting + own)

    def _send(self, gateway, now):
        pace, work = EngineRates(SPEED, HOLD_S), Work(PROMPT)
        costs_s = [
            (engine, expected_s(self._seen(engine, gateway), work, TERMS, pace))
            for engine in range(ENGINES)
        ]
        engine = self.choose(costs_s, self.news_s, self.rng)
        slots = self.slots[engine]
        slot = slots.index(min(slots))
        begin = max(now, slots[slot], self.read_until[engine])
        first = self.read_until[engine] = begin + PROMPT / SPEED
        slots[slot] = first + self.rng.uniform(0.5, 1.5) * HOLD_S
        self.sent[engine].append((gateway, now, first, slots[slot]))
        self.waits.append(first - now)

    def late(self):
        return sum(wait > LATE_S for wait in self.waits) / len(self.waits)

    def mean_s(self):
        return sum(self.waits) / len(self.waits)


def choose_least(costs_s, news_s, rng):
    return min(costs_s, key=lambda item: item[1])[0]


def choose_of_two(costs_s, news_s, rng):
    return min(rng.sample(costs_s, 2), key=lambda item: item[1])[0]


@functools.cache
def crowd(gateways, news_s, choose):
    return Crowd(gateways, news_s, choose).go()


@pytest.mark.parametrize(("gateways", "news_s"), [(8, 0.05), (30, 0.1), (85, 0.255), (370, 1.1)])
def test_first_events_come_earlier_than_where_all_choose_the_least(gateways, news_s):
    least = crowd(gateways, news_s, choose_least)
    spread = crowd(gateways, news_s, choose_spread)
    assert spread.mean_s() < 0.9 * least.mean_s()
    assert spread.late() < 0.03


def test_with_old_news_nearly_nobody_is_late_who_was():
    assert crowd(370, 1.1, choose_least).late() > 0.5
    assert crowd(370, 1.1, choose_spread).late() < crowd(370, 1.1, choose_of_two).late()


def test_an_engine_that_costs_much_more_is_not_chosen():
    rng = random.Random(1)
    drawn = {choose_spread([("a", 0.1), ("b", 0.1), ("c", 2.0)], 0.25, rng) for _ in range(500)}
    assert drawn == {"a", "b"}


def test_of_none_none_is_chosen():
    assert choose_spread([], 0.25, random.Random(1)) is None
