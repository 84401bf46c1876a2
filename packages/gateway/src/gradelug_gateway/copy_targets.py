"""Which engine a run's memory is sent to."""

from __future__ import annotations

import math
import random
import typing as t

from gradelug_policy.lasting_runs import CopyTarget, Pace, choose_target
from gradelug_policy.run_versions import WeightVersions

from .fleet import CHOICES, Fleet
from .job import Job
from .model import EngineSpec, Replica
from .run_weights import RunWeights


class CopyTargets:
    """Chooses engines that receive the memory of runs.

    Parameters
    ----------
    fleet : Fleet
        Engines.
    weights : RunWeights
        Tells which engines have the weights of a memory.
    pace : callable
        Returns what is known of the length of a service's runs.
    clock : callable
        The runtime's clock.
    rng : random.Random
        Of many engines without the weights of a run, some are drawn to choose from.
    """

    __slots__ = ("_clock", "_fleet", "_pace", "_rng", "_weights")

    def __init__(
        self,
        fleet: Fleet,
        weights: RunWeights,
        pace: t.Callable[[str], Pace],
        clock: t.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._weights = weights
        self._pace = pace
        self._clock = clock
        self._rng = rng

    def choose(
        self, job: Job, source: Replica, versions: WeightVersions, most_used: float
    ) -> Replica | None:
        """Return an engine on which a run can go on from its memory; None if there is none.

        Parameters
        ----------
        job : Job
            The request.
        source : Replica
            Where it runs.
        versions : WeightVersions
            Of the weights that make its memory.
        most_used : float
            Part of the engine's memory that may be in use with the copy, 0 to 1 or more.
        """
        spec = job.service.engine
        if spec is None:
            return None
        service, key = source.service, job.req.key
        holders = self._weights.holders(service, versions, key) if key is not None else []
        usable = self._fleet.usable(service)
        if len(usable) > CHOICES:
            usable = self._rng.sample(usable, CHOICES)
        held = {rep.name for rep in holders}
        now = self._clock()
        targets = [
            CopyTarget(
                rep.name, self._used(rep, job, spec), rep.name in held, rep.hall == source.hall
            )
            for rep in (*holders, *usable)
            if rep.name != source.name and self._fleet.health(rep.name).circuit.allows(now)
            # There the run would wait for room before it goes on.
            and self._fleet.limits.rate(rep.name) is None
            and not self._fleet.rests.left_s(rep)
            and self._weights.may_hold(rep, versions, key)
        ]
        name = choose_target(targets, most_used)
        return self._fleet.state.replicas[name] if name is not None else None

    def _used(self, rep: Replica, job: Job, spec: EngineSpec) -> float:
        """Return the part of an engine's memory in use with a copy of a run in it."""
        if not spec.kv_tokens:
            return math.inf
        load = self._fleet.load(rep.name)
        runs = load.starting + load.running + load.others.starting + load.others.running
        copy = job.work.prompt_tokens + job.req.most_tokens
        return (runs * self._pace(rep.service).mean_tokens + copy) / spec.kv_tokens
