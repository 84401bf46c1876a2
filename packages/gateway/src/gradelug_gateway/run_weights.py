"""Runs go on under the weights that made their memory."""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.run_versions import (
    NOT_TOLD,
    WeightVersions,
    is_loadable,
    is_same,
    may_begin,
)

from .fleet import Fleet
from .job import Job
from .model import AdapterKey, Copy, CopyKind, Replica
from .ports import RunTransport

log = logbook.Logger("run weights")
MOST_ABSENCES = 2
"""After one rejection the planner tells where the weights are, and at which version."""
JUST_STOPPED_S = 0.1
"""An engine that stopped a run so lately has the run's base model or none: loading another takes
some times as long, from its own memory as well."""
REPORT_TRIES = 2
"""Links silence kept connections: the second call takes a new one."""


def asked_version(fleet: Fleet, job: Job, replica: Replica) -> int:
    """Return the version that a replica must have for a request; `NOT_TOLD` for any.

    A request that goes on from memory asks for the memory's, another for the newest that was named
    or is known to be there, so that its run's version is certain. After some rejections what is
    known may be older than what is there.
    """
    key = job.req.key
    if key is None:
        return NOT_TOLD
    if job.copy is not None:
        return job.copy.versions.adapter if key.adapter else job.copy.versions.model
    newest = fleet.state.versions.get(key, NOT_TOLD)
    if job.absences >= MOST_ABSENCES:
        return newest
    return max(newest, fleet.told_version(replica.name, key) or NOT_TOLD)


class RunWeights:
    """Tells which engines have the weights of a run's memory.

    A request names the version of the adapter, or of the base model if it uses no adapter, and its
    engine rejects it under another. No request can name the version of the base model below an
    adapter, so engines are asked for that before a run goes on from memory.

    Parameters
    ----------
    fleet : Fleet
        Engines, and the versions that were named.
    transport : RunTransport
        Asks engines for the weights that they hold, and frees memory.
    clock : callable
        The runtime's clock.
    version_s : float
        No run goes on under an older version of its adapter so long after a newer one was named, in
        seconds.
    """

    __slots__ = ("_clock", "_fleet", "_tasks", "_transport", "_version_s")

    def __init__(
        self,
        fleet: Fleet,
        transport: RunTransport,
        clock: t.Callable[[], float],
        version_s: float = math.inf,
    ) -> None:
        self._version_s = version_s
        self._fleet = fleet
        self._transport = transport
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()

    def newest(self, key: AdapterKey | None) -> WeightVersions:
        """Return the newest versions that were named of weights and their base model."""
        if key is None:
            return WeightVersions()
        versions = self._fleet.state.versions
        adapter = versions.get(key, NOT_TOLD) if key.adapter else NOT_TOLD
        return WeightVersions(versions.get(AdapterKey(key.model), NOT_TOLD), adapter)

    def held(self, replica: Replica, key: AdapterKey | None) -> WeightVersions:
        """Return the versions of weights and their base model on an engine, as last told."""
        if key is None:
            return WeightVersions()
        told = self._fleet.told_version
        adapter = told(replica.name, key) if key.adapter else None
        return WeightVersions(
            told(replica.name, AdapterKey(key.model)) or NOT_TOLD, adapter or NOT_TOLD
        )

    def may_hold(self, rep: Replica, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Tell whether an engine may have a memory's weights, now or after a load."""
        if key is None:
            return True
        held, newest = self._fleet.told_version(rep.name, AdapterKey(key.model)), self.newest(key)
        if held is not None and not is_same(versions.model, held, newest.model):
            return False
        return self.holds(rep, versions, key) or is_loadable(versions, newest)

    def holds(self, rep: Replica, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Tell whether an engine holds what the request of a memory names, as last told."""
        if key is None:
            return True
        return any(one.name == rep.name for one in self.holders(rep.service, versions, key))

    def holders(self, service: str, versions: WeightVersions, key: AdapterKey) -> list[Replica]:
        """Return engines that hold what the request of a memory names, as last told.

        Planners tell of the newest weights alone, and sooner; engines tell of older ones.
        """
        version = versions.adapter if key.adapter else versions.model
        newest = self._fleet.state.versions.get(key, NOT_TOLD)
        if version != NOT_TOLD and version < newest:
            return self._fleet.holders_at(service, key, version)
        return [
            rep
            for rep in self._fleet.holders(service, key)
            if is_same(version, self._fleet.told_version(rep.name, key) or NOT_TOLD, newest)
        ]

    def is_in_time(self, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Tell whether a run may still go on under the adapter of its memory."""
        if key is None or not key.adapter:
            return True
        namings = self._fleet.state.namings
        return may_begin(namings.replaced_s(key, versions.adapter, self._clock()), self._version_s)

    def can_load(self, copy: Copy, key: AdapterKey | None) -> bool:
        """Tell whether a load at the engine that keeps a memory can bring its weights.

        Not where it was told to have newer ones, of which the name may not have come here, nor
        after a load that did not bring them.
        """
        held = self.held(copy.holder, key)
        newer = held.model > copy.versions.model or held.adapter > copy.versions.adapter
        return not (newer or copy.was_loaded) and is_loadable(copy.versions, self.newest(key))

    async def is_usable(self, job: Job, copy: Copy) -> bool:
        """Tell whether a run may go on from memory at the engine that keeps it.

        The engine says itself which base model it has. What the request names is left to the
        engine, which rejects another version.
        """
        key, versions = job.req.key, copy.versions
        if key is None:
            return True
        newest = self.newest(key).model
        if not self.is_in_time(versions, key):
            log.info("memory too old", id=job.req.id, memory=versions.text)
            return False
        if not key.adapter:
            return versions.model != NOT_TOLD or newest == NOT_TOLD
        if versions.adapter == NOT_TOLD and self.newest(key).adapter != NOT_TOLD:
            return False
        if self._clock() - copy.kept_at < JUST_STOPPED_S:
            return True
        held = await self._held_model(copy.holder, key.model)
        kept = held is not None and is_same(versions.model, held, newest)
        if not kept:
            log.info(
                "memory of other weights",
                id=job.req.id,
                replica=copy.holder.name,
                memory=versions.text,
                held=held,
                newest=newest,
            )
        return kept

    async def _held_model(self, replica: Replica, model: str) -> int | None:
        """Return the version of a base model that an engine holds; None if it does not say."""
        for _ in range(REPORT_TRIES):
            holdings = await self._transport.holdings(replica)
            if holdings is not None:
                key = AdapterKey(model)
                return next((held.version for held in holdings if held.key == key), None)
        return None

    def give_up(self, copy: Copy) -> None:
        """Have memory that nothing goes on from freed, wherever it is.

        Engines free by themselves what they received as a run grew.
        """
        if copy.kind is CopyKind.BACKUP:
            return
        task = asyncio.get_running_loop().create_task(self._free(copy))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _free(self, copy: Copy) -> None:
        log.info(
            "memory given up",
            replica=copy.holder.name,
            how=copy.kind.value,
            memory=copy.versions.text,
        )
        replicas = self._fleet.state.replicas.values()
        # The engine that made it frees it at both ends.
        source = next((rep for rep in replicas if rep.address == copy.source), copy.holder)
        await self._transport.free(source, copy.ident)
