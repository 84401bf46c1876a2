"""Merging of state updates that a gateway has not read yet: newer facts replace older ones."""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .model import AdapterKey

if t.TYPE_CHECKING:
    from .follower import Follower


class ReplicaRecord(t.Protocol):
    """Record of an update that concerns one replica."""

    replica: str


class PendingUpdate:
    """Merged update that waits to be sent to one gateway.

    However slowly the gateway reads, the queued data is bounded to one message with the newest
    record of each replica and the keys of the weights that it uses.

    Parameters
    ----------
    complete : callable
        Adds the state that only this gateway receives, when the message is read.
    """

    __slots__ = (
        "_complete",
        "_update",
        "_store_update",
        "needs_full_update",
        "keys",
        "replicas",
        "location_subsets",
    )

    def __init__(
        self,
        complete: t.Callable[[Follower, pb.FromPlanner], None] = lambda follower, message: None,
    ) -> None:
        self._complete = complete
        self._update: pb.FromPlanner | None = None
        self._store_update: pb.StoreNews | None = None
        self.keys: set[AdapterKey] = set()
        """Weights whose locations are to be sent, or removed at the gateway."""
        self.needs_full_update = True
        """Whether the next update lists all weights that the gateway uses, and removes all others
        there."""
        self.location_subsets: dict[AdapterKey, dict[str, int]] = {}
        """Locations sent for weights that very many replicas hold, by weights and replica, with
        versions."""
        self.replicas: set[str] = set()
        """Replicas whose load is to be sent."""

    @property
    def is_waiting(self) -> bool:
        """Whether an update has not been read yet."""
        return self._update is not None

    def add(self, update: pb.FromPlanner, store: pb.StoreNews | None) -> None:
        """Merge in an update that other gateways receive as well."""
        self._update = update if self._update is None else merge_updates(self._update, update)
        if store is not None:
            self._store_update = (
                store
                if self._store_update is None
                else merge_store_updates(self._store_update, store)
            )

    def take(self, follower: Follower) -> pb.FromPlanner | None:
        """Return and clear the update, None if there is none."""
        update, self._update = self._update, None
        if update is None:
            return None
        message = pb.FromPlanner()
        message.CopyFrom(update)
        if self._store_update is not None:
            message.store.CopyFrom(self._store_update)
            self._store_update = None
        self._complete(follower, message)
        return message


def merge_updates(old: pb.FromPlanner, new: pb.FromPlanner) -> pb.FromPlanner:
    """Return one update that replaces two; records of the newer one take precedence."""
    merged = pb.FromPlanner()
    merged.CopyFrom(new)
    _keep_newest(old.holdings, merged.holdings)
    _keep_newest(old.loads, merged.loads)
    newer_verdicts = {(verdict.replica, verdict.hall) for verdict in new.verdicts}
    merged.verdicts.extend(
        verdict for verdict in old.verdicts if (verdict.replica, verdict.hall) not in newer_verdicts
    )
    _keep_newest(old.speeds, merged.speeds)
    _keep_newest(old.limits, merged.limits)
    _keep_newest(old.leaving, merged.leaving)
    merged.streams.extend(old.streams)
    if old.HasField("poison") and not new.HasField("poison"):
        merged.poison.CopyFrom(old.poison)
    return merged


def merge_store_updates(old: pb.StoreNews, new: pb.StoreNews) -> pb.StoreNews:
    """Return one store update that replaces two; records of the newer one take precedence."""
    merged = pb.StoreNews()
    merged.CopyFrom(new)
    merged.look |= old.look
    if old.HasField("config_entry") and not new.HasField("config_entry"):
        merged.config_entry.CopyFrom(old.config_entry)
    _keep_newest(old.replicas, merged.replicas)
    newer_versions = {(fact.model, fact.adapter) for fact in new.versions}
    merged.versions.extend(
        fact for fact in old.versions if (fact.model, fact.adapter) not in newer_versions
    )
    return merged


def _keep_newest(old: t.Iterable[ReplicaRecord], merged: t.Any) -> None:
    """Add the old records of replicas that have no newer record."""
    newer_replicas = {fact.replica for fact in merged}
    merged.extend(fact for fact in old if fact.replica not in newer_replicas)
