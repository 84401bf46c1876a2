"""News that wait until a gateway reads: later ones take the place of earlier ones."""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .model import AdapterKey

if t.TYPE_CHECKING:
    from .followers import Follower


class ReplicaRecord(t.Protocol):
    """What news tell of a replica."""

    replica: str


class Pending:
    """What one gateway is to be told with its next news.

    However slowly it reads, that is one message with the newest of each replica, and the names of
    what it uses.

    Parameters
    ----------
    complete : callable
        Adds to a message what this gateway alone is told.
    """

    __slots__ = ("_complete", "_news", "_store", "is_whole", "keys", "replicas", "location_subsets")

    def __init__(
        self,
        complete: t.Callable[[Follower, pb.FromPlanner], None] = lambda follower, message: None,
    ) -> None:
        self._complete = complete
        self._news: pb.FromPlanner | None = None
        self._store: pb.StoreNews | None = None
        self.keys: set[AdapterKey] = set()
        """Weights of which it is to be told where they are, or that it is not told of any more."""
        self.is_whole = True
        """Whether it is to be told of all weights that it uses, and to forget of others."""
        self.location_subsets: dict[AdapterKey, dict[str, int]] = {}
        """What it was told of weights that very many replicas have."""
        self.replicas: set[str] = set()
        """Replicas of which it is to be told what runs there."""

    @property
    def is_waiting(self) -> bool:
        """Whether there are news that were not read."""
        return self._news is not None

    def add(self, news: pb.FromPlanner, store: pb.StoreNews | None) -> None:
        """Have news told, which others are told as well."""
        self._news = news if self._news is None else merge_news(self._news, news)
        if store is not None:
            self._store = store if self._store is None else merge_store(self._store, store)

    def take(self, follower: Follower) -> pb.FromPlanner | None:
        """Return the news as they are now, None if there are none."""
        news, self._news = self._news, None
        if news is None:
            return None
        message = pb.FromPlanner()
        message.CopyFrom(news)
        if self._store is not None:
            message.store.CopyFrom(self._store)
            self._store = None
        self._complete(follower, message)
        return message


def merge_news(old: pb.FromPlanner, new: pb.FromPlanner) -> pb.FromPlanner:
    """Return what is to be told instead of two messages of news."""
    merged = pb.FromPlanner()
    merged.CopyFrom(new)
    _keep_newest(old.holdings, merged.holdings)
    _keep_newest(old.loads, merged.loads)
    found = {(verdict.replica, verdict.hall) for verdict in new.verdicts}
    merged.verdicts.extend(
        verdict for verdict in old.verdicts if (verdict.replica, verdict.hall) not in found
    )
    _keep_newest(old.speeds, merged.speeds)
    _keep_newest(old.limits, merged.limits)
    _keep_newest(old.leaving, merged.leaving)
    if old.HasField("poison") and not new.HasField("poison"):
        merged.poison.CopyFrom(old.poison)
    return merged


def merge_store(old: pb.StoreNews, new: pb.StoreNews) -> pb.StoreNews:
    """Return what is to be told of the store instead of two messages."""
    merged = pb.StoreNews()
    merged.CopyFrom(new)
    merged.look |= old.look
    if old.HasField("config_entry") and not new.HasField("config_entry"):
        merged.config_entry.CopyFrom(old.config_entry)
    _keep_newest(old.replicas, merged.replicas)
    told = {(fact.model, fact.adapter) for fact in new.versions}
    merged.versions.extend(fact for fact in old.versions if (fact.model, fact.adapter) not in told)
    return merged


def _keep_newest(old: t.Iterable[ReplicaRecord], merged: t.Any) -> None:
    """Add what was told of replicas of which nothing newer is told."""
    told = {fact.replica for fact in merged}
    merged.extend(fact for fact in old if fact.replica not in told)
