"""Distribution of store changes from a planner to the gateways connected to it.

Each poll of the platform store is a call, and all instances read the same changes. So the planner
polls at a short interval and forwards what changed; gateways pause their own polling while such
updates arrive. They poll again when updates stop, and once in a while in any case.
"""

from __future__ import annotations

import math
import typing as t
import zlib
from dataclasses import replace

import logbook
from gradelug_coordination import KvEntry, Mirror
from gradelug_wire import placement_pb2 as pb

from .config_freshness import ConfigFreshness
from .feed import Feed
from .model import AdapterKey, FleetState, Replica

log = logbook.Logger("storenews")
PUBLISHER_POLL_INTERVAL_S = 0.3
"""Interval at which a planner polls the store, in seconds."""
MAX_REPLICAS_PER_MESSAGE = 256
"""Maximum number of replicas listed in one message to a gateway that connects without a copy of the
store, some 25 KB: messages in transit to 300 gateways at once fit in a few MB."""
MAX_CONFIG_BYTES = 8_388_608
"""Limit of a decompressed configuration; entries of the store hold up to 1 MB."""
MIN_FOLLOWERS = 16
"""Gateways needed for a planner to distribute changes: with fewer, its own polling would cost as
many calls as theirs."""


class StorePublisher:
    """Collects the store changes that a planner has not sent to its gateways yet.

    Parameters
    ----------
    feed : Feed
        View of the fleet read from the store.
    mirror : Mirror
        Local copy of the store that the feed reads.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    freshness : ConfigFreshness
        When the configuration in force here was known to be the newest.
    forwards_config : bool
        Whether this instance's link is fast enough to forward a new configuration to all gateways:
        83 times 50 KB take 0.2 s at 200 Mbit/s and 3 s at 10 Mbit/s.
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
        freshness: ConfigFreshness,
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

    def next_update(self) -> pb.StoreNews | None:
        """Return the changes since the last call, None while the store does not respond.

        The first call returns no replicas and versions: what exists by then is sent to each
        gateway in pages when it connects.
        """
        if not self._mirror.synced:
            return None
        state = self._feed.state
        update = self._new_message(False)
        if not self._has_baseline:
            self._has_baseline = True
            self._published_replicas = dict(state.replicas)
            self._published_versions = dict(state.versions)
            self._published_config = self._config_version(state)
            return update
        if self._config_version(state) != self._published_config:
            self._add_config(update)
        for name, rep in state.replicas.items():
            known = self._published_replicas.get(name)
            if known is rep:
                continue
            if known is None or _published_fields(known) != _published_fields(rep):
                update.replicas.append(self._encode(rep))
        removed = self._published_replicas.keys() - state.replicas.keys()
        update.replicas.extend(
            pb.ReplicaFact(replica=name, revision=self._mirror.revision, gone=True)
            for name in removed
        )
        update.versions.extend(
            _encode_version(key, version)
            for key, version in state.versions.items()
            if self._published_versions.get(key) != version
        )
        self._published_replicas = dict(state.replicas)
        self._published_versions = dict(state.versions)
        self._published_config = self._config_version(state)
        return update

    def next_listing_page(self, since: int, is_first: bool) -> tuple[pb.StoreNews, int]:
        """Return the next page of all that was sent so far, for a gateway that lacks it.

        Parameters
        ----------
        since : int
            Store revision up to which the gateway has the state of all replicas.
        is_first : bool
            Whether it is the gateway's first page, which includes the versions.

        Returns
        -------
        StoreNews
            The page.
        int
            Store revision up to which the gateway has all with this page; 0 if it is the last one.
        """
        # Which other changes the gateway lacks is unknown, so the first page makes it poll.
        update = self._new_message(is_first)
        if is_first:
            update.versions.extend(
                _encode_version(*item) for item in self._published_versions.items()
            )
        newer = sorted(
            (revision, name)
            for name in self._published_replicas
            if (revision := self._feed.revision(name)) > since
        )
        page_end = (
            newer[MAX_REPLICAS_PER_MESSAGE - 1][0] if len(newer) > MAX_REPLICAS_PER_MESSAGE else 0
        )
        update.replicas.extend(
            self._encode(self._published_replicas[name])
            for revision, name in newer
            if not page_end or revision <= page_end
        )
        return update, page_end

    def _add_config(self, update: pb.StoreNews) -> None:
        """Add a new configuration, or ask all gateways to poll the store for it."""
        entry = self._feed.config_entry
        if entry is None or not self._forwards_config:
            update.look = True
            return
        update.config_entry.key = entry.key
        update.config_entry.revision = entry.revision
        update.config_entry.deflated = zlib.compress(entry.value)

    def _new_message(self, look: bool) -> pb.StoreNews:
        return pb.StoreNews(
            age_ms=round((self._clock() - self._mirror.polled_at) * 1000),
            look=look,
            # Rounded down: the proof holds for any earlier moment, too.
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
            software=rep.software,
        )


class StoreSubscriber:
    """Applies store changes that a planner sends, so that this instance can pause its own polling.

    Parameters
    ----------
    feed : Feed
        View of the fleet that the changes are applied to.
    mirror : Mirror
        Local copy of the store, whose polling is paused while updates arrive.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    poll_interval_s : float
        Maximum age of the state read from the store, in seconds.
    can_pause : callable
        Returns whether this instance needs nothing from the store but what planners send.
    freshness : ConfigFreshness
        Records the planner's proof that its configuration is the newest.
    """

    __slots__ = ("_clock", "_feed", "_freshness", "_can_pause", "_mirror", "_poll_interval_s")

    def __init__(
        self,
        feed: Feed,
        mirror: Mirror,
        clock: t.Callable[[], float],
        poll_interval_s: float,
        can_pause: t.Callable[[], bool],
        freshness: ConfigFreshness,
    ) -> None:
        self._feed = feed
        self._freshness = freshness
        self._mirror = mirror
        self._clock = clock
        self._poll_interval_s = poll_interval_s
        self._can_pause = can_pause

    @property
    def revision(self) -> int:
        """Store revision up to which this instance has the state of all replicas, 0 for none."""
        return self._mirror.revision

    def apply_update(self, update: pb.StoreNews, clock_offset_s: float = math.inf) -> None:
        """Apply an update from a planner.

        Parameters
        ----------
        update : StoreNews
            The update.
        clock_offset_s : float
            Upper bound of how far the planner's clock is ahead of this instance's, in seconds;
            infinite while it is unknown.
        """
        state = self._feed.state
        for fact in update.replicas:
            self._feed.apply_remote_replica(fact.replica, fact.revision, _decode(fact, state))
        for version in update.versions:
            key = AdapterKey(version.model, version.adapter)
            self._feed.apply_remote_version(key, version.version)
        if update.HasField("config_entry"):
            self._apply_config(update.config_entry)
        self._feed.notify_remote_changes()
        self._feed.note_store_read(self._clock() - update.age_ms / 1000)
        self._freshness.note_remote_proof(update.config, update.proven_ms / 1000 - clock_offset_s)
        if self._can_pause():
            pause_until = self._clock() - update.age_ms / 1000 + self._poll_interval_s
            self._mirror.defer_polls_until(min(pause_until, self._freshness.renew_at))
        if update.look:
            self._mirror.request_poll()

    def _apply_config(self, entry: pb.ConfigEntry) -> None:
        decompressor = zlib.decompressobj()
        try:
            value = decompressor.decompress(entry.deflated, MAX_CONFIG_BYTES)
        except zlib.error as exc:
            log.error("configuration from the planner cannot be decompressed", why=str(exc))
            self._mirror.request_poll()
            return
        if not decompressor.eof:
            log.error("configuration from the planner is too large or truncated", key=entry.key)
            self._mirror.request_poll()
            return
        self._feed.apply_remote_config(KvEntry(entry.key, value, entry.revision))


def _published_fields(rep: Replica) -> tuple[str, str, str, bool, int, int]:
    return rep.service, rep.address, rep.hall, rep.leaving, rep.slots, rep.born


def _encode_version(key: AdapterKey, version: int) -> pb.VersionFact:
    return pb.VersionFact(model=key.model, adapter=key.adapter, version=version)


def _decode(fact: pb.ReplicaFact, state: FleetState) -> Replica | None:
    if fact.gone:
        return None
    known = state.replicas.get(fact.replica)
    if known is None or known.born != fact.born:
        # The state of an earlier incarnation does not apply.
        known = Replica(fact.replica, "", "", "")
    return replace(
        known,
        service=fact.service,
        address=fact.address,
        hall=fact.hall,
        leaving=fact.leaving,
        slots=fact.slots,
        born=fact.born,
        software=fact.software or known.software,
    )
