"""Simulation of gateways that choose independently among few engines by the same outdated state."""

import functools
import random

import pytest
from gradelug_policy.engine_capacity import EngineCapacity, EngineRates, expected_first_event_s
from gradelug_policy.prefill import EngineLoad, RequestWork
from gradelug_policy.weighted_choice import choose_weighted

ENGINES = 8
TERMS = EngineCapacity(12)
HOLD_S = 1.6
SPEED = 19_200.0
PROMPT = 1_250
LATE_S = 0.8


class GatewaySimulation:
    """Gateways that know their own latest requests, and all others as of the last state update."""

    def __init__(self, gateways, state_age_s, choose, rate=45.0, seed=1):
        self.rng = random.Random(seed)
        self.gateways, self.state_age_s, self.choose, self.rate = (
            gateways,
            state_age_s,
            choose,
            rate,
        )
        self.slots = [[0.0] * TERMS.slots for _ in range(ENGINES)]
        self.prefill_until = [0.0] * ENGINES
        self.sent = [[] for _ in range(ENGINES)]
        """By engine: gateway, and the times of sending, first event and end, for each request."""
        self.state = [EngineLoad()] * ENGINES
        self.updated_at = 0.0
        self.waits = []

    def run(self, length_s=20.0):
        now = 0.0
        while now < length_s:
            now += self.rng.expovariate(self.rate)
            if now >= self.updated_at + self.state_age_s:
                self._update_state(now)
            self._send(self.rng.randrange(self.gateways), now)
        return self

    def _update_state(self, now):
        self.updated_at = now
        self.sent = [[run for run in runs if run[3] > now] for runs in self.sent]
        self.state = [
            EngineLoad(
                (PROMPT * sum(run[2] > now for run in runs),),
                sum(run[2] <= now for run in runs),
                sum(run[2] > now for run in runs),
            )
            for runs in self.sent
        ]

    def _known_load(self, engine, gateway):
        state = self.state[engine]
        own = sum(run[0] == gateway and run[1] > self.updated_at for run in self.sent[engine])
        return EngineLoad((sum(state.queued) + PROMPT * own,), state.running, state.starting + own)

    def _send(self, gateway, now):
        pace, work = EngineRates(SPEED, HOLD_S), RequestWork(PROMPT)
        costs_s = [
            (engine, expected_first_event_s(self._known_load(engine, gateway), work, TERMS, pace))
            for engine in range(ENGINES)
        ]
        engine = self.choose(costs_s, self.state_age_s, self.rng)
        slots = self.slots[engine]
        slot = slots.index(min(slots))
        begin = max(now, slots[slot], self.prefill_until[engine])
        first = self.prefill_until[engine] = begin + PROMPT / SPEED
        slots[slot] = first + self.rng.uniform(0.5, 1.5) * HOLD_S
        self.sent[engine].append((gateway, now, first, slots[slot]))
        self.waits.append(first - now)

    def late_fraction(self):
        return sum(wait > LATE_S for wait in self.waits) / len(self.waits)

    def mean_wait_s(self):
        return sum(self.waits) / len(self.waits)


def choose_cheapest(costs_s, state_age_s, rng):
    return min(costs_s, key=lambda item: item[1])[0]


def choose_of_two(costs_s, state_age_s, rng):
    return min(rng.sample(costs_s, 2), key=lambda item: item[1])[0]


@functools.cache
def simulated(gateways, state_age_s, choose):
    return GatewaySimulation(gateways, state_age_s, choose).run()


@pytest.mark.parametrize(
    ("gateways", "state_age_s"), [(8, 0.05), (30, 0.1), (85, 0.255), (370, 1.1)]
)
def test_first_events_come_earlier_than_if_all_choose_the_cheapest(gateways, state_age_s):
    cheapest = simulated(gateways, state_age_s, choose_cheapest)
    weighted = simulated(gateways, state_age_s, choose_weighted)
    assert weighted.mean_wait_s() < 0.9 * cheapest.mean_wait_s()
    assert weighted.late_fraction() < 0.03


def test_with_an_old_state_fewer_are_late_than_with_other_choices():
    assert simulated(370, 1.1, choose_cheapest).late_fraction() > 0.5
    assert (
        simulated(370, 1.1, choose_weighted).late_fraction()
        < simulated(370, 1.1, choose_of_two).late_fraction()
    )


def test_an_engine_of_much_higher_cost_is_not_chosen():
    rng = random.Random(1)
    chosen = {choose_weighted([("a", 0.1), ("b", 0.1), ("c", 2.0)], 0.25, rng) for _ in range(500)}
    assert chosen == {"a", "b"}


def test_without_engines_none_is_chosen():
    assert choose_weighted([], 0.25, random.Random(1)) is None
