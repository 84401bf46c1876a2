"""Choice of the engine that receives the memory of a run, for a backup copy or a move."""

from __future__ import annotations

import math
import random
import typing as t

from gradelug_policy.run_recovery import CopyTarget, RunStatistics, choose_target
from gradelug_policy.run_versions import WeightVersions

from .fleet import MAX_SAMPLED_REPLICAS, Fleet
from .job import Job
from .model import EngineSpec, Replica
from .run_weights import RunWeights


class CopyTargets:
    """Chooses engines that receive the memory of runs.

    Parameters
    ----------
    fleet : Fleet
        The engines and their state.
    weights : RunWeights
        Finds engines that hold the weights of a run's memory.
    pace : callable
        Returns the run length statistics of a service.
    clock : callable
        The runtime's clock.
    rng : random.Random
        Samples candidate engines where there are many.
    """

    __slots__ = ("_clock", "_fleet", "_rng", "_run_statistics", "_weights")

    def __init__(
        self,
        fleet: Fleet,
        weights: RunWeights,
        run_statistics: t.Callable[[str], RunStatistics],
        clock: t.Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._fleet = fleet
        self._weights = weights
        self._run_statistics = run_statistics
        self._clock = clock
        self._rng = rng

    def choose(
        self, job: Job, source: Replica, versions: WeightVersions, max_used: float
    ) -> Replica | None:
        """Return an engine on which a run can be resumed from its memory; None if there is none.

        Parameters
        ----------
        job : Job
            The request being executed.
        source : Replica
            The engine that executes it.
        versions : WeightVersions
            Versions of the weights that produce its memory.
        most_used : float
            Largest fraction of the engine's memory in use including the copy; 0 to 1, or more.
        """
        spec = job.service.engine
        if spec is None:
            return None
        service, key = source.service, job.req.key
        holders = self._weights.holders(service, versions, key) if key is not None else []
        usable = [rep for rep in self._fleet.usable(service) if rep.software == source.software]
        if len(usable) > MAX_SAMPLED_REPLICAS:
            usable = self._rng.sample(usable, MAX_SAMPLED_REPLICAS)
        held = {rep.name for rep in holders}
        now = self._clock()
        targets = [
            CopyTarget(
                rep.name,
                self._used_fraction(rep, job, spec),
                rep.name in held,
                rep.hall == source.hall,
            )
            for rep in (*holders, *usable)
            if rep.name != source.name
            # Runs do not go on from memory that another software version computed.
            and rep.software == source.software and self._fleet.health(rep.name).circuit.allows(now)
            # A rate-limited engine would delay the resumed run.
            and self._fleet.limits.rate(rep.name) is None
            and not self._fleet.rests.remaining_s(rep)
            and self._weights.may_provide(rep, versions, key)
        ]
        name = choose_target(targets, max_used)
        return self._fleet.state.replicas[name] if name is not None else None

    def _used_fraction(self, rep: Replica, job: Job, spec: EngineSpec) -> float:
        """Return the fraction of an engine's memory in use including a copy of a run."""
        if not spec.kv_tokens:
            return math.inf
        load = self._fleet.load(rep.name)
        runs = load.starting + load.running + load.others.starting + load.others.running
        copy = job.work.prompt_tokens + job.req.max_answer_tokens
        return (runs * self._run_statistics(rep.service).mean_tokens + copy) / spec.kv_tokens
