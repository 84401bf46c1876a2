"""What a planner sees in the platform's store, told to the gateways that follow it.

Each look at the store is a call, and all instances see the same changes. So the planner looks
often, and its gateways rest as long as it tells them what it has seen: they look themselves when
they are told nothing any more, and now and then in any case.
"""

from __future__ import annotations

import math
import typing as t
import zlib
from dataclasses import replace

import logbook
from gradelug_coordination import KvEntry, Mirror
from gradelug_wire import placement_pb2 as pb

from .feed import Feed
from .freshness import Freshness
from .model import AdapterKey, FleetState, Replica

log = logbook.Logger("storenews")
TELL_SPACING_S = 0.3
"""A planner's own looks at the store are so far apart."""
MAX_REPLICAS_PER_MESSAGE = 256
"""Replicas that a gateway which joins without the store is told of in one message, some 25 KB: what
is under way to 300 gateways at once fits in a few MB."""
MAX_CONFIG_BYTES = 8_388_608
"""The store's entries hold 1 MB."""
LEAST_FOLLOWERS = 16
"""With fewer gateways the planner's looks would cost as much as theirs."""


class StoreTeller:
    """Finds what has changed since gateways were told last.

    Parameters
    ----------
    feed : Feed
        What is known of the platform.
    mirror : Mirror
        The copy of the store that it reads.
    clock : callable
        The runtime's clock.
    freshness : Freshness
        When the configuration in force here was the newest.
    passes_config : bool
        Whether this instance's link bears it to pass a new configuration on to all: 83 times 50 KB
        take 0.2 s of 200 Mbit/s and 3 s of 10.
    """

    __slots__ = (
        "_clock",
        "_published_config",
        "_feed",
        "_freshness",
        "_has_baseline",
        "_mirror",
        "_forwards_config",
        "_published_replicas",
        "_published_versions",
    )

    def __init__(
        self,
        feed: Feed,
        mirror: Mirror,
        clock: t.Callable[[], float],
        freshness: Freshness,
        forwards_config: bool = True,
    ) -> None:
        self._forwards_config = forwards_config
        self._feed = feed
        self._freshness = freshness
        self._mirror = mirror
        self._clock = clock
        self._published_replicas: dict[str, Replica] = {}
        self._published_versions: dict[AdapterKey, int] = {}
        self._published_config = 0
        self._has_baseline = False

    def news(self) -> pb.StoreNews | None:
        """Return what is new since the last call, None while the store does not answer.

        The first call returns nothing of what was there before: nobody was told of that, and
        everybody is told of it by `listing`.
        """
        if not self._mirror.synced:
            return None
        state = self._feed.state
        told = self._new_message(False)
        if not self._has_baseline:
            self._has_baseline = True
            self._published_replicas = dict(state.replicas)
            self._published_versions = dict(state.versions)
            self._published_config = self._config_version(state)
            return told
        if self._config_version(state) != self._published_config:
            self._add_config(told)
        for name, rep in state.replicas.items():
            known = self._published_replicas.get(name)
            if known is rep:
                continue
            if known is None or _essence(known) != _essence(rep):
                told.replicas.append(self._encode(rep))
        gone = self._published_replicas.keys() - state.replicas.keys()
        told.replicas.extend(
            pb.ReplicaFact(replica=name, revision=self._mirror.revision, gone=True) for name in gone
        )
        told.versions.extend(
            _encode_version(key, version)
            for key, version in state.versions.items()
            if self._published_versions.get(key) != version
        )
        self._published_replicas = dict(state.replicas)
        self._published_versions = dict(state.versions)
        self._published_config = self._config_version(state)
        return told

    def listing(self, since: int, is_first: bool) -> tuple[pb.StoreNews, int]:
        """Return the next piece of all that was told so far, for a gateway that does not know it.

        Parameters
        ----------
        since : int
            Revision of the store up to which the gateway knows of all replicas.
        is_first : bool
            Whether it is its first piece; versions are told with that.

        Returns
        -------
        StoreNews
            The piece.
        int
            The revision up to which it knows all then; 0 if there is no further piece.
        """
        # What it has not seen of the rest cannot be known.
        told = self._new_message(is_first)
        if is_first:
            told.versions.extend(
                _encode_version(*item) for item in self._published_versions.items()
            )
        later = sorted(
            (revision, name)
            for name in self._published_replicas
            if (revision := self._feed.revision(name)) > since
        )
        reached = (
            later[MAX_REPLICAS_PER_MESSAGE - 1][0] if len(later) > MAX_REPLICAS_PER_MESSAGE else 0
        )
        told.replicas.extend(
            self._encode(self._published_replicas[name])
            for revision, name in later
            if not reached or revision <= reached
        )
        return told, reached

    def _add_config(self, told: pb.StoreNews) -> None:
        """Pass a new configuration on, or have everybody look for it."""
        entry = self._feed.config_entry
        if entry is None or not self._forwards_config:
            told.look = True
            return
        told.config_entry.key = entry.key
        told.config_entry.revision = entry.revision
        told.config_entry.deflated = zlib.compress(entry.value)

    def _new_message(self, look: bool) -> pb.StoreNews:
        return pb.StoreNews(
            age_ms=round((self._clock() - self._mirror.looked_at) * 1000),
            look=look,
            # Rounded down: an earlier moment is as true.
            proven_ms=math.floor(max(0.0, self._freshness.proven_at) * 1000),
            config=self._freshness.config,
        )

    def _config_version(self, state: FleetState) -> int:
        return state.snapshot.version if state.snapshot is not None else 0

    def _encode(self, rep: Replica) -> pb.ReplicaFact:
        return pb.ReplicaFact(
            replica=rep.name,
            revision=self._feed.revision(rep.name),
            service=rep.service,
            address=rep.address,
            hall=rep.hall,
            leaving=rep.leaving,
            slots=rep.slots,
            born=rep.born,
        )


class StoreListener:
    """Takes what a planner has seen in the store, so that this instance need not look itself.

    Parameters
    ----------
    feed : Feed
        Kept up to date.
    mirror : Mirror
        Rests as long as the planner tells.
    clock : callable
        The runtime's clock.
    poll_interval_s : float
        What is known of the store may be so old, in seconds.
    can_pause : callable
        Tells whether this instance needs nothing else of the store.
    freshness : Freshness
        Is told what the planner has proven.
    """

    __slots__ = ("_clock", "_feed", "_freshness", "_can_pause", "_mirror", "_poll_interval_s")

    def __init__(
        self,
        feed: Feed,
        mirror: Mirror,
        clock: t.Callable[[], float],
        poll_interval_s: float,
        can_pause: t.Callable[[], bool],
        freshness: Freshness,
    ) -> None:
        self._feed = feed
        self._freshness = freshness
        self._mirror = mirror
        self._clock = clock
        self._poll_interval_s = poll_interval_s
        self._can_pause = can_pause

    @property
    def revision(self) -> int:
        """Revision of the store up to which this instance knows of all replicas, 0 for none."""
        return self._mirror.revision

    def take(self, news: pb.StoreNews, ahead_s: float = math.inf) -> None:
        """Apply a planner's news.

        Parameters
        ----------
        news : StoreNews
            What it tells.
        ahead_s : float
            The planner's clock is at most so much ahead of this instance's, in seconds; infinite
            while nothing is known of it.
        """
        state = self._feed.state
        for fact in news.replicas:
            self._feed.take_told(fact.replica, fact.revision, _decode(fact, state))
        for version in news.versions:
            key = AdapterKey(version.model, version.adapter)
            self._feed.apply_remote_version(key, version.version)
        if news.HasField("config_entry"):
            self._apply_config(news.config_entry)
        self._feed.notify_remote_changes()
        self._freshness.note_told(news.config, news.proven_ms / 1000 - ahead_s)
        if self._can_pause():
            until = self._clock() - news.age_ms / 1000 + self._poll_interval_s
            self._mirror.rest_until(min(until, self._freshness.renew_at))
        if news.look:
            self._mirror.hurry()

    def _apply_config(self, told: pb.ConfigEntry) -> None:
        inflate = zlib.decompressobj()
        try:
            value = inflate.decompress(told.deflated, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            log.error("a configuration that was told cannot be read", why=str(exc))
            self._mirror.hurry()
            return
        if not inflate.eof:
            log.error("a configuration that was told is too large", key=told.key)
            self._mirror.hurry()
            return
        self._feed.apply_remote_config(KvEntry(told.key, value, told.revision))


def _essence(rep: Replica) -> tuple[str, str, str, bool, int, int]:
    return rep.service, rep.address, rep.hall, rep.leaving, rep.slots, rep.born


def _encode_version(key: AdapterKey, version: int) -> pb.VersionFact:
    return pb.VersionFact(model=key.model, adapter=key.adapter, version=version)


def _decode(fact: pb.ReplicaFact, state: FleetState) -> Replica | None:
    if fact.gone:
        return None
    known = state.replicas.get(fact.replica)
    if known is None or known.born != fact.born:
        # What was known of an earlier life does not hold.
        known = Replica(fact.replica, "", "", "")
    return replace(
        known,
        service=fact.service,
        address=fact.address,
        hall=fact.hall,
        leaving=fact.leaving,
        slots=fact.slots,
        born=fact.born,
    )
