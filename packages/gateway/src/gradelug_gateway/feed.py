"""Applies changes of the platform store's entries to this instance's view of the fleet.

A feed reads the mirrored entries after each change, and takes in replicas, versions and
configurations that another instance reports before the mirror shows them. Each instance runs one
for as long as its process lives.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass, replace

import logbook
from gradelug_coordination import KvEntry, Mirror, era_of, revision_of

from .missing_entries import MissingEntries
from .model import AdapterKey, FleetState, Replica, Snapshot

log = logbook.Logger("feed")
MAX_INDIVIDUAL_LOG_LINES = 8
"""If more replicas than this are new at once, one summary line is logged instead of a line each: at
a start all are new and would use up the burst of 600 lines that an instance may log."""
MAX_REMOVED_KEYS = 4096
"""Upper bound of removed keys whose last revisions are remembered."""
STALE_RESTORE_GRACE_S = 5.0
"""How long a removed entry that came back with a restored copy of the store is ignored, in seconds:
if its replica does not run, the entry expires after three heartbeats."""
EXPIRED_ENTRY_GRACE_S = 2.2
"""Time for which replicas are kept after the store lost their entries, in seconds: replicas that
run write their entries again within about two."""


@dataclass(slots=True, frozen=True)
class NewestVersion:
    """The newest published version of some weights, as an entry of the store states it."""

    key: AdapterKey
    version: int


EntryContent = Snapshot | Replica | NewestVersion


class MalformedEntry(Exception):
    """An entry of the platform store cannot be decoded.

    Parameters
    ----------
    why : str
        Reason, for the log.
    is_config : bool
        Whether the entry is the configuration.
    replica : str
        Name of the replica that the entry's key belongs to; empty if it belongs to none.
    """

    def __init__(self, why: str, is_config: bool = False, replica: str = "") -> None:
        super().__init__(why)
        self.is_config = is_config
        self.replica = replica


class EntryReader(t.Protocol):
    """Decodes the entries of the platform store."""

    def read(self, entry: KvEntry) -> EntryContent | None:
        """Return what an entry states, None if it is not relevant here; raises `MalformedEntry`."""
        ...


class Feed:
    """Applies changes of the mirrored entries to the fleet state.

    Parameters
    ----------
    mirror : Mirror
        Local copy of the store's entries.
    reader : EntryReader
        Decodes the entries.
    state : FleetState
        View of the fleet that is kept up to date.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = (
        "_clock",
        "_restored_since",
        "_removed_revisions",
        "_leaving_listeners",
        "_listeners",
        "_mirror",
        "_missing",
        "_overdue_since",
        "_replica_names",
        "_unlogged",
        "_applied_revisions",
        "_reader",
        "_revisions",
        "_unconfirmed",
        "_has_remote_changes",
        "config_entry",
        "is_config_readable",
        "state",
    )

    def __init__(
        self, mirror: Mirror, reader: EntryReader, state: FleetState, clock: t.Callable[[], float]
    ) -> None:
        self._mirror = mirror
        self._reader = reader
        self._clock = clock
        self._applied_revisions: dict[str, int] = {}
        self._replica_names: dict[str, str] = {}
        self._missing = MissingEntries(mirror, state, clock)
        self._overdue_since: dict[str, float] = {}
        """When the mirror should have shown the entry of a reported replica, by its name."""
        self._restored_since: dict[str, float] = {}
        """When removed entries came back with a restored copy of the store, by key."""
        self._removed_revisions: dict[str, int] = {}
        """Last known store revisions of removed entries, by key."""
        self._listeners: list[t.Callable[[], None]] = []
        self._leaving_listeners: list[t.Callable[[str], None]] = []
        self._revisions: dict[str, int] = {}
        """Newest store revision applied for each replica, also for recently removed ones."""
        self._unconfirmed: set[str] = set()
        """Replicas reported by another instance that the mirror does not show yet."""
        self._has_remote_changes = False
        self._unlogged: list[Replica] = []
        """Replicas that are new or whose `leaving` changed, and are not logged yet."""
        self.config_entry: KvEntry | None = None
        """Entry of the store that holds the configuration in force."""
        self.is_config_readable = True
        """Whether the newest configuration in the mirror could be decoded and is in force."""
        self.state = state
        mirror.subscribe(self.refresh)

    def subscribe(self, listener: t.Callable[[], None]) -> None:
        """Call `listener` after each batch of changes to the state."""
        self._listeners.append(listener)

    def subscribe_leaving(self, listener: t.Callable[[str], None]) -> None:
        """Call `listener` with the name of each replica that announces that it shuts down."""
        self._leaving_listeners.append(listener)

    def refresh(self) -> None:
        """Apply all entries that changed or disappeared since the last call."""
        changed = False
        for key, entry in self._mirror.entries.items():
            if self._applied_revisions.get(key, 0) < entry.revision and not self._is_stale_restore(
                entry
            ):
                self._applied_revisions[key] = entry.revision
                changed |= self._apply(entry)
        for key in [key for key in self._replica_names if key not in self._mirror.entries]:
            changed |= self._handle_missing_entry(key)
        self._missing.remove_restored()
        changed |= self._drop_unconfirmed()
        self._drop_old_revisions()
        self.note_store_read(self._mirror.proven_at)
        if changed:
            self._notify()

    def note_store_read(self, at: float) -> None:
        """Record that the state includes all that a poll of the store started at `at` returned."""
        self.state.store_read_at = max(self.state.store_read_at, at)

    def revision(self, replica: str) -> int:
        """Return the newest store revision applied for a replica; 0 if there is none."""
        return self._revisions.get(replica, 0)

    def apply_remote_replica(self, name: str, revision: int, rep: Replica | None) -> None:
        """Apply the state of a replica that another instance read, unless it is outdated.

        Parameters
        ----------
        name : str
            Name of the replica.
        revision : int
            Store revision at which the other instance read it.
        rep : Replica or None
            State of the replica; None if it was removed.
        """
        if revision <= self.revision(name):
            return
        self._revisions[name] = revision
        if rep is not None:
            self._unconfirmed.add(name)
            self._update_replica(rep)
        elif self.state.replicas.pop(name, None) is not None:
            self.state.change += 1
            for key in [key for key, known in self._replica_names.items() if known == name]:
                self._record_removed(key, revision)
            log.info("replica removed", replica=name, told=True)
        self._has_remote_changes = True

    def mark_leaving(self, name: str, born: int, source: str) -> bool:
        """Mark a replica that announced its shutdown as leaving.

        Parameters
        ----------
        name : str
            Name of the replica.
        born : int
            Identifies the incarnation that shuts down.
        source : str
            Where the announcement came from, for the log.

        Returns
        -------
        bool
            Whether the announcement was new.
        """
        if not self.state.departures.note(name, born):
            return False
        rep = self.state.replicas.get(name)
        log.info("replica is shutting down", replica=name, source=source, known=rep is not None)
        if rep is not None and rep.born == born:
            self.state.replicas[name] = replace(rep, leaving=True)
            self.state.change += 1
            self._notify()
        for listener in self._leaving_listeners:
            listener(name)
        return True

    def apply_remote_version(self, key: AdapterKey, version: int) -> None:
        """Apply a newest version of weights that another instance read."""
        self._has_remote_changes |= self._apply_version(NewestVersion(key, version))

    def apply_remote_config(self, entry: KvEntry) -> None:
        """Apply the configuration's entry that another instance read, if it is newer."""
        known = self._applied_revisions.get(entry.key, 0)
        if entry.revision <= known and era_of(entry.revision) == era_of(known):
            return
        # Revisions of different store eras don't compare; the configuration's version decides.
        self._applied_revisions[entry.key] = max(known, entry.revision)
        self._has_remote_changes |= self._apply(entry)

    def notify_remote_changes(self) -> None:
        """Notify listeners if reports of other instances changed the state since the last call."""
        if self._has_remote_changes:
            self._has_remote_changes = False
            self._notify()

    def _notify(self) -> None:
        self._log_new()
        for listener in self._listeners:
            listener()

    def _is_stale_restore(self, entry: KvEntry) -> bool:
        """Return whether a removed entry came back with a restored copy and is still ignored."""
        removed_revision = self._removed_revisions.get(entry.key)
        if removed_revision is None:
            return False
        now, revision = self._clock(), entry.revision
        since = self._restored_since.setdefault(entry.key, now)
        is_older = era_of(revision) > era_of(removed_revision) and revision_of(
            revision
        ) <= revision_of(removed_revision)
        if is_older and now - since < STALE_RESTORE_GRACE_S:
            return True
        del self._removed_revisions[entry.key], self._restored_since[entry.key]
        return False

    def _drop_old_revisions(self) -> None:
        """Drop the revisions of all removed replicas but the most recent ones."""
        if len(self._revisions) <= len(self.state.replicas) + MAX_REMOVED_KEYS:
            return
        removed = [name for name in self._revisions if name not in self.state.replicas]
        removed.sort(key=lambda name: self._revisions[name])
        for name in removed[: -MAX_REMOVED_KEYS // 2]:
            del self._revisions[name]

    def _record_removed(self, key: str, removed_revision: int) -> None:
        self._removed_revisions[key] = removed_revision
        if len(self._removed_revisions) > MAX_REMOVED_KEYS:
            del self._removed_revisions[next(iter(self._removed_revisions))]

    def _apply(self, entry: KvEntry) -> bool:
        try:
            fact = self._reader.read(entry)
        except MalformedEntry as exc:
            if exc.replica:
                return self._remove_unusable(entry, exc)
            self.is_config_readable &= not exc.is_config
            log.error(
                "malformed entry ignored; the last valid one stays in force",
                key=entry.key,
                why=str(exc),
            )
            return False
        if isinstance(fact, Snapshot):
            return self._apply_snapshot(entry, fact)
        if isinstance(fact, Replica):
            return self._apply_replica(entry, fact)
        if isinstance(fact, NewestVersion):
            return self._apply_version(fact)
        return False

    def _apply_snapshot(self, entry: KvEntry, fact: Snapshot) -> bool:
        self.is_config_readable = True
        known = self.state.snapshot
        if known is not None and fact.version <= known.version:
            return False
        self.state.snapshot = fact
        self.state.note_engines(fact)
        self.config_entry = entry
        log.info("configuration in force", version=fact.version, routes=len(fact.routes))
        return True

    def _apply_replica(self, entry: KvEntry, fact: Replica) -> bool:
        self._replica_names[entry.key] = fact.name
        if entry.revision < self.revision(fact.name):
            # Another instance reported a newer state.
            return False
        known = self.state.replicas.get(fact.name)
        if known is not None and self._is_ended_incarnation(known, fact):
            return False
        if known is not None and known.born and not fact.born:
            why = MalformedEntry("start time is missing but was given before", False, fact.name)
            return self._remove_unusable(entry, why)
        self._revisions[fact.name] = entry.revision
        self._update_replica(fact)
        return True

    def _is_ended_incarnation(self, known: Replica, fact: Replica) -> bool:
        """Return whether a restored entry describes an earlier incarnation of a replica."""
        return known.born != fact.born and self.state.departures.has(fact.name, fact.born)

    def _remove_unusable(self, entry: KvEntry, exc: MalformedEntry) -> bool:
        """Remove the replica whose entry another writer replaced by one that is unusable."""
        self._replica_names[entry.key] = exc.replica
        if entry.revision < self.revision(exc.replica):
            return False
        self._revisions[exc.replica] = entry.revision
        was_known = self.state.replicas.pop(exc.replica, None) is not None
        self.state.change += was_known
        log.error(
            "entry does not describe a usable replica", key=entry.key, known=was_known, why=str(exc)
        )
        return was_known

    def _update_replica(self, rep: Replica) -> None:
        known = self.state.replicas.get(rep.name)
        if rep.leaving:
            self.state.departures.note(rep.name, rep.born)
        elif self.state.departures.has(rep.name, rep.born):
            rep = replace(rep, leaving=True)
        self.state.replicas[rep.name] = rep
        self.state.change += 1
        if known is not None and known.born and known.born != rep.born:
            self.state.departures.note(known.name, known.born)
            log.info("replica restarted", replica=rep.name, born=rep.born, before=known.born)
        elif known is None or known.leaving != rep.leaving:
            self._unlogged.append(rep)

    def _log_new(self) -> None:
        new, self._unlogged = self._unlogged, []
        if len(new) > MAX_INDIVIDUAL_LOG_LINES:
            leaving = [rep.name for rep in new if rep.leaving]
            software = sorted({rep.software for rep in new})
            log.info(
                "replicas",
                new=len(new),
                known=len(self.state.replicas),
                software=software,
                leaving=leaving,
            )
            return
        for rep in new:
            log.info(
                "replica",
                replica=rep.name,
                service=rep.service,
                software=rep.software,
                leaving=rep.leaving,
            )

    def _apply_version(self, fact: NewestVersion) -> bool:
        if fact.version <= self.state.versions.get(fact.key, 0):
            return False
        self.state.versions[fact.key] = fact.version
        self.state.namings.note(fact.key, fact.version, self._clock())
        log.info("newer weights version published", weights=fact.key.text, version=fact.version)
        return True

    def _drop_unconfirmed(self) -> bool:
        """Remove reported replicas whose entries came and went between two polls of the store."""
        for name in self._unconfirmed & set(self._replica_names.values()):
            self._unconfirmed.discard(name)
            self._overdue_since.pop(name, None)
        missed = [name for name in self._unconfirmed if self._is_confirmation_overdue(name)]
        for name in missed:
            self._unconfirmed.discard(name)
            self._overdue_since.pop(name, None)
            if self.state.replicas.pop(name, None) is not None:
                self.state.change += 1
                log.info("replica removed", replica=name)
        return bool(missed)

    def _is_confirmation_overdue(self, name: str) -> bool:
        """Return whether the mirror should show the entry of a reported replica by now."""
        reported_revision, now = self.revision(name), self._clock()
        if reported_revision > self._mirror.revision:
            return False
        if not reported_revision or era_of(reported_revision) == era_of(self._mirror.revision):
            return True
        # A restored store may have lost the entry; a replica that runs writes it again.
        return now - self._overdue_since.setdefault(name, now) >= EXPIRED_ENTRY_GRACE_S

    def _handle_missing_entry(self, key: str) -> bool:
        if self._missing.keeps(key, self._replica_names[key]):
            return False
        name = self._replica_names.pop(key)
        missing_s = self._missing.remove(key)
        self._record_removed(key, self._applied_revisions.pop(key, 0))
        if self.state.replicas.pop(name, None) is None:
            return False
        self.state.change += 1
        log.info("replica removed", replica=name, missing_s=round(missing_s, 3))
        return True
