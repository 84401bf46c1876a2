"""Checks that runs are resumed under the weight versions that produced their memory.

A run's memory is only valid under the same version of the base model and the adapter. The functions
here determine the version that a request must name, the engines that hold it, and whether the
memory of a run can still be used.
"""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_policy.run_versions import (
    UNKNOWN_VERSION,
    WeightVersions,
    is_loadable,
    is_same_version,
    may_start,
)

from .fleet import Fleet
from .job import Job
from .model import AdapterKey, KvCopy, KvCopyKind, Replica
from .ports import RunTransport

log = logbook.Logger("run weights")
MAX_ABSENCES = 2
"""Rejections after which the planner's location and version of weights are relied on."""
RECENT_STOP_S = 0.1
"""Time after a stop in which an engine holds the run's base model or none: loading another takes
several times as long, even from its own memory."""
REPORT_ATTEMPTS = 2
"""Links drop idle pooled connections silently; the second call opens a new one."""


def expected_version(fleet: Fleet, job: Job, replica: Replica) -> int:
    """Return the version that a replica must have for a request; `UNKNOWN_VERSION` for any.

    A request that is resumed from memory requires the version that produced it. Any other requires
    the newest version that was announced or is known to be on the replica, so that the version of
    its run is certain. After `MAX_ABSENCES` rejections the replica's known version may be outdated
    and is ignored.
    """
    key = job.req.key
    if key is None:
        return UNKNOWN_VERSION
    if job.copy is not None:
        return job.copy.versions.adapter if key.adapter else job.copy.versions.model
    newest = fleet.state.versions.get(key, UNKNOWN_VERSION)
    if job.absent_count >= MAX_ABSENCES:
        return newest
    return max(newest, fleet.known_version(replica.name, key) or UNKNOWN_VERSION)


class RunWeights:
    """Finds engines that hold the weights of a run's memory, and releases unused memory.

    A request names the version of its adapter, or of the base model if it uses no adapter, and an
    engine with another version rejects it. A request with an adapter cannot name the version of the
    base model, so engines are queried for that before a run is resumed from memory.

    Parameters
    ----------
    fleet : Fleet
        The engines, and the announced weight versions.
    transport : RunTransport
        Queries engines for the weights that they hold, and frees memory.
    clock : callable
        The runtime's clock.
    version_s : float
        Time after the announcement of a newer adapter version beyond which no run is resumed under
        an older one, in seconds.
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
        """Return the newest announced versions of an adapter and its base model."""
        if key is None:
            return WeightVersions()
        versions = self._fleet.state.versions
        adapter = versions.get(key, UNKNOWN_VERSION) if key.adapter else UNKNOWN_VERSION
        return WeightVersions(versions.get(AdapterKey(key.model), UNKNOWN_VERSION), adapter)

    def held(self, replica: Replica, key: AdapterKey | None) -> WeightVersions:
        """Return the versions of an adapter and its base model on an engine, as last reported."""
        if key is None:
            return WeightVersions()
        last_version = self._fleet.known_version
        adapter = last_version(replica.name, key) if key.adapter else None
        return WeightVersions(
            last_version(replica.name, AdapterKey(key.model)) or UNKNOWN_VERSION,
            adapter or UNKNOWN_VERSION,
        )

    def may_provide(self, rep: Replica, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Return whether an engine may hold the given versions, now or after a load."""
        if key is None:
            return True
        held, newest = self._fleet.known_version(rep.name, AdapterKey(key.model)), self.newest(key)
        if held is not None and not is_same_version(versions.model, held, newest.model):
            return False
        return self.holds(rep, versions, key) or is_loadable(versions, newest)

    def holds(self, rep: Replica, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Return whether an engine holds the version a request would name, as last reported."""
        if key is None:
            return True
        return any(one.name == rep.name for one in self.holders(rep.service, versions, key))

    def holders(self, service: str, versions: WeightVersions, key: AdapterKey) -> list[Replica]:
        """Return engines that hold the version that a request would name, as last reported.

        Planners report only the newest version, and earlier; engines also report older ones.
        """
        version = versions.adapter if key.adapter else versions.model
        newest = self._fleet.state.versions.get(key, UNKNOWN_VERSION)
        if version != UNKNOWN_VERSION and version < newest:
            return self._fleet.holders_of_version(service, key, version)
        return [
            rep
            for rep in self._fleet.holders(service, key)
            if is_same_version(
                version, self._fleet.known_version(rep.name, key) or UNKNOWN_VERSION, newest
            )
        ]

    def meets_version_deadline(self, versions: WeightVersions, key: AdapterKey | None) -> bool:
        """Return whether a run may still be resumed under the adapter version of its memory."""
        if key is None or not key.adapter:
            return True
        namings = self._fleet.state.namings
        return may_start(
            namings.superseded_for_s(key, versions.adapter, self._clock()), self._version_s
        )

    def can_load_versions(self, copy: KvCopy, key: AdapterKey | None) -> bool:
        """Return whether a load on the engine that keeps a copy can provide its weights.

        It cannot if the engine reported newer weights, whose announcement may not have arrived
        here, or if a load was already tried for this copy.
        """
        held = self.held(copy.holder, key)
        newer = held.model > copy.versions.model or held.adapter > copy.versions.adapter
        return not (newer or copy.were_weights_loaded) and is_loadable(
            copy.versions, self.newest(key)
        )

    async def is_usable(self, job: Job, copy: KvCopy) -> bool:
        """Return whether a run may be resumed from a copy on the engine that keeps it.

        The engine is queried for its base model version if the request cannot name it. The version
        that the request names is checked by the engine, which rejects any other.
        """
        key, versions = job.req.key, copy.versions
        if key is None:
            return True
        newest = self.newest(key).model
        if not self.meets_version_deadline(versions, key):
            log.info("adapter version of memory too old", id=job.req.id, memory=versions.text)
            return False
        if not key.adapter:
            return versions.model != UNKNOWN_VERSION or newest == UNKNOWN_VERSION
        if versions.adapter == UNKNOWN_VERSION and self.newest(key).adapter != UNKNOWN_VERSION:
            return False
        if self._clock() - copy.weights_confirmed_at < RECENT_STOP_S:
            return True
        held = await self._query_model_version(copy.holder, key.model)
        kept = held is not None and is_same_version(versions.model, held, newest)
        if not kept:
            log.info(
                "weights on engine do not match memory",
                id=job.req.id,
                replica=copy.holder.name,
                memory=versions.text,
                held=held,
                newest=newest,
            )
        return kept

    async def _query_model_version(self, replica: Replica, model: str) -> int | None:
        """Query an engine for the version of a base model; None if it holds none or is silent."""
        for _ in range(REPORT_ATTEMPTS):
            holdings = await self._transport.read_holdings(replica)
            if holdings is not None:
                key = AdapterKey(model)
                return next((held.version for held in holdings if held.key == key), None)
        return None

    def release(self, copy: KvCopy) -> None:
        """Free the memory of a copy that will not be resumed, in the background.

        Backup copies are left alone: engines free those by themselves.
        """
        if copy.kind is KvCopyKind.BACKUP:
            return
        task = asyncio.get_running_loop().create_task(self._release(copy))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _release(self, copy: KvCopy) -> None:
        log.info(
            "memory released",
            replica=copy.holder.name,
            how=copy.kind.value,
            memory=copy.versions.text,
        )
        replicas = self._fleet.state.replicas.values()
        # The engine that produced the memory frees it on both engines.
        source = next((rep for rep in replicas if rep.address == copy.source), copy.holder)
        await self._transport.release(source, copy.ident)
