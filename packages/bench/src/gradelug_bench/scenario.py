"""What happens in a run: the deployment, the arrivals, and what goes wrong when."""

from __future__ import annotations

import bisect
import itertools
import random
import typing as t
from dataclasses import dataclass, replace

TOKEN_S = 0.05
MIN_TOKENS, MAX_TOKENS = 20, 140
WEIGHTS = ((8.0, 0.15), (4.0, 0.25), (1.0, 0.60))
"""Weights of requests and the share of each."""
HORIZON_S = 300.0


@dataclass(slots=True, frozen=True)
class Deployment:
    """A deployment of the brief.

    Parameters
    ----------
    name : str
        Prefix of its scenarios.
    engines, slots, batch : int
        Replicas, adapter slots and requests at once of each.
    adapters : int
        How many adapters there are.
    store_rate, store_parallel : float, int
        The weight store's limit.
    load_s : float
        Time of one load.
    rate : float
        Requests per second.
    skew : float
        Exponent of the popularity's long tail.
    """

    name: str
    engines: int
    slots: int
    batch: int
    adapters: int
    store_rate: float
    store_parallel: int
    load_s: float
    rate: float
    skew: float


TENGER = Deployment("tenger", 5, 8, 32, 5000, 2.0, 2, 0.8, 16.0, 1.8)
CHECK_IN = Deployment("check-in", 9, 8, 32, 5000, 4.0, 6, 1.2, 30.0, 1.6)


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request.

    Parameters
    ----------
    at : float
        When it comes, in seconds.
    adapter : int
        What it wants.
    weight : float
        How much it counts.
    service_s : float
        How long it occupies a place in a batch.
    """

    at: float
    adapter: int
    weight: float
    service_s: float


@dataclass(slots=True, frozen=True)
class Scenario:
    """A run to be.

    Parameters
    ----------
    arrivals : tuple of Arrival
        In order of time.
    restarts : tuple of (float, int)
        When which engine returns empty.
    failing : float
        Share of loads that fail.
    slow_store : tuple of (float, float)
        Between these times loads take three times as long.
    """

    name: str
    deployment: Deployment
    arrivals: tuple[Arrival, ...]
    restarts: tuple[tuple[float, int], ...] = ()
    failing: float = 0.0
    slow_store: tuple[float, float] = (0.0, 0.0)
    seed: int = 1


class Popularity:
    """Draws adapters by a long-tailed popularity over a permutation that can be changed."""

    def __init__(self, adapters: int, skew: float, rng: random.Random) -> None:
        weights = [1 / (rank + 1) ** skew for rank in range(adapters)]
        self._cumulative = list(itertools.accumulate(weights))
        self._rng = rng
        self.order = list(range(adapters))
        rng.shuffle(self.order)

    def draw(self) -> int:
        """Return an adapter."""
        point = self._rng.random() * self._cumulative[-1]
        return self.order[bisect.bisect(self._cumulative, point)]

    def swap(self, share: float, top: int) -> None:
        """Exchange a share of the top adapters with ones from the tail."""
        for rank in range(top):
            if self._rng.random() < share:
                other = self._rng.randrange(top, len(self.order))
                self.order[rank], self.order[other] = self.order[other], self.order[rank]


def all_scenarios() -> list[Scenario]:
    """Return every scenario of both deployments."""
    return [
        make(deployment)
        for deployment in (TENGER, CHECK_IN)
        for make in (steady, morning, wave, restart, failing, slow_store, churn)
    ]


def steady(deployment: Deployment) -> Scenario:
    """Steady long-tailed popularity."""
    return _make(deployment, "steady", 11, lambda now: deployment.rate)


def morning(deployment: Deployment) -> Scenario:
    """At a third of the time half of the popular adapters are ones nobody used before."""
    shift = HORIZON_S / 3
    return _make(
        deployment,
        "morning",
        12,
        lambda now: deployment.rate * (1.2 if now > shift else 0.8),
        [(shift, 0.5)],
    )


def wave(deployment: Deployment) -> Scenario:
    """A departure wave: the rate doubles for a third of the time."""
    return _make(deployment, "wave", 13, lambda now: _wave_rate(deployment, now))


def restart(deployment: Deployment) -> Scenario:
    """Two engines return empty in the wave."""
    scenario = _make(deployment, "restart", 14, lambda now: _wave_rate(deployment, now))
    return replace(scenario, restarts=((130.0, 0), (150.0, 1)))


def failing(deployment: Deployment) -> Scenario:
    """One load in ten fails."""
    scenario = _make(deployment, "failing", 15, lambda now: deployment.rate)
    return replace(scenario, failing=0.1)


def slow_store(deployment: Deployment) -> Scenario:
    """The store is three times as slow for a third of the time."""
    scenario = _make(deployment, "slow-store", 16, lambda now: deployment.rate)
    return replace(scenario, slow_store=(HORIZON_S / 3, 2 * HORIZON_S / 3))


def churn(deployment: Deployment) -> Scenario:
    """Within the hour 44% of the adapters wake or fall idle: a share of that every 15 s."""
    times = [15.0 * step for step in range(1, int(HORIZON_S / 15))]
    share = 0.44 * 15 / 3600 * 10
    return _make(
        deployment, "churn", 17, lambda now: deployment.rate, [(at, share) for at in times]
    )


def _wave_rate(deployment: Deployment, now: float) -> float:
    in_wave = HORIZON_S / 3 < now < 2 * HORIZON_S / 3
    return deployment.rate * (1.6 if in_wave else 0.7)


def _make(
    deployment: Deployment,
    name: str,
    seed: int,
    rate: t.Callable[[float], float],
    swaps: t.Sequence[tuple[float, float]] = (),
) -> Scenario:
    rng = random.Random(f"{deployment.name}-{name}-{seed}")
    popularity = Popularity(deployment.adapters, deployment.skew, rng)
    top = deployment.engines * deployment.slots
    due = list(swaps)
    arrivals = []
    now = 0.0
    while True:
        now += rng.expovariate(rate(now))
        if now >= HORIZON_S:
            break
        while due and due[0][0] <= now:
            popularity.swap(due.pop(0)[1], top)
        arrivals.append(_arrival(now, popularity, rng))
    return Scenario(f"{deployment.name}-{name}", deployment, tuple(arrivals), seed=seed)


def _arrival(now: float, popularity: Popularity, rng: random.Random) -> Arrival:
    point, weight = rng.random(), WEIGHTS[-1][0]
    for candidate, share in WEIGHTS:
        if point < share:
            weight = candidate
            break
        point -= share
    tokens = rng.randint(MIN_TOKENS, MAX_TOKENS)
    return Arrival(now, popularity.draw(), weight, tokens * TOKEN_S)
