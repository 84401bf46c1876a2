"""Resource ownership that survives restarts: a restarted owner resumes its resources immediately.

An ownership record names the owner of a resource and outlives the owner's lease. Each instance also
has a presence entry that is tied to its lease. An owner acts only on records that it wrote under
its current lease. Another instance takes a record over after the owner has been absent for
`hold_off_s` plus the time to live of its lease: the service does not notify an instance whose
entries it deletes, and the instance continues until the lease expires by its own clock. If the
owner and another instance both write the record, the first write is applied and the other fails.

After a restore of the service from an older copy, leases are gone and records show earlier owners
or are missing. An instance with a claim rewrites its record immediately. All others wait as long as
for an absent owner, since another owner may still be acting.

While the service is unavailable no record can be taken over, and owners continue. An owner assumes
an outage of the service, rather than a fault of its own connection, while most instances report
that they cannot reach the service and none reports that it can. These reports are at most a second
old, which is far less than the delay before an instance that reaches the service takes over.
"""

from __future__ import annotations

import asyncio
import json
import typing as t
import uuid
from collections import Counter
from dataclasses import dataclass

import logbook

from .candidacy import Candidacy
from .exceptions import CoordinationError, InvalidRecord
from .kv import ABSENT, KeyValue, KvEntry, swap_and_confirm
from .lease import LeaseKeeper
from .mirror import Mirror
from .positions import EraTracker, era_of
from .records import Record, RecordReader
from .rendezvous import score

log = logbook.Logger("ownership")
PRESENCE_PREFIX = "present/"
OWNERS_PREFIX = "owners/"
UNKNOWN_OWNER = ""
"""Owner of a record that cannot be read; no instance has this name."""
STEP_INTERVAL_S = 0.1
TAKEOVER_STAGGER_S = 0.4
"""Additional delay per rank before an instance takes a free resource, on top of the mirror's poll
interval. A write takes a few ms, and up to 0.3 s while the service is slow."""
INITIAL_TAKE_DELAY_S = 1.0
"""Resources without an owner record are not taken earlier after the start of the process: all
instances start within 0.3 s of each other, and the resources are to be spread over all of them."""
OUTAGE_REPORT_VALID_S = 1.0
"""How long a report of an outage is valid."""
UNWANTED_RECORD_TTL_S = 30.0
"""Records of removed resources are kept this long, since some resources are added again."""
MAX_MEMBERS_AT_BASE_TTL = 25
"""With more members, the time to live of leases grows in proportion, which limits the renewals of
all members to about 60 a second."""


@dataclass(slots=True, frozen=True)
class PersistentOwnerRecord:
    """The owner of a resource, as recorded.

    Parameters
    ----------
    owner : str
        Name of the instance, the same before and after a restart.
    fence : int
        Fencing token: the revision of the record.
    era : int
        Era of the service when the record was written; earlier than the token's if the service has
        been restored from a copy since.
    """

    owner: str
    fence: int
    era: int = 0

    @property
    def may_be_outdated(self) -> bool:
        """Whether a later version of the record may have been lost in a restore."""
        return self.era < era_of(self.fence)


@dataclass(slots=True, frozen=True)
class Claim:
    """A record that this process wrote, and the lease under which it wrote it."""

    fence: int
    lease: int


class PersistentOwnership:
    """Distributes resources over instances.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of the ownership and presence keys.
    mirror : Mirror
        Mirror that includes these keys.
    lease : LeaseKeeper
        Lease of this process; `run` renews it.
    name : str
        Name of this instance, the same before and after a restart, and unique to the machine.
    clock : callable
        The runtime's clock, in seconds.
    hold_off_s : float
        Minimum time between the last action of one instance on a resource and the first action of
        another one, in seconds.
    wanted : callable
        Returns the names of the existing resources.
    on_change : callable
        Called without arguments when a resource was gained or lost.
    spacing_s : float
        Poll interval of the mirror, in seconds.
    candidacy : Candidacy or None
        Decides whether this instance joins; None if it always does.
    can_act : callable
        Returns whether this instance reaches the resources. While it does not, it gives up its
        lease, so that others take over as from an owner that has ended.
    """

    __slots__ = (
        "_absent_since",
        "_can_act",
        "_candidacy",
        "_claims",
        "_clock",
        "_eras",
        "_free_since",
        "_hold_off_s",
        "_joined",
        "_known_owners",
        "_kv",
        "_lease",
        "_mirror",
        "_name",
        "_on_change",
        "_outage_until",
        "_presence",
        "_reader",
        "_restored_at",
        "_retry_at",
        "_root",
        "_started_at",
        "_ttl_s",
        "_takeover_stagger_s",
        "_unwanted_since",
        "_wanted",
    )

    def __init__(
        self,
        kv: KeyValue,
        root: str,
        mirror: Mirror,
        lease: LeaseKeeper,
        name: str,
        clock: t.Callable[[], float],
        hold_off_s: float,
        wanted: t.Callable[[], t.Collection[str]],
        on_change: t.Callable[[], None] = lambda: None,
        poll_interval_s: float = 0.0,
        candidacy: Candidacy | None = None,
        can_act: t.Callable[[], bool] = lambda: True,
    ) -> None:
        self._can_act = can_act
        self._kv = kv
        self._candidacy = candidacy
        self._joined = asyncio.Event()
        if candidacy is None:
            self._joined.set()
        self._root = root
        self._mirror = mirror
        self._lease = lease
        self._name = name
        self._clock = clock
        self._hold_off_s = hold_off_s
        self._wanted = wanted
        self._on_change = on_change
        self._takeover_stagger_s = TAKEOVER_STAGGER_S + poll_interval_s
        self._retry_at: dict[str, float] = {}
        """Earliest time of the next write of a record that another instance changed first, by
        resource."""
        self._reader = RecordReader(_decode)
        self._known_owners: dict[str, str] = {}
        """Owner in the last readable version of each record, by resource."""
        self._started_at = clock()
        self._ttl_s = lease.ttl_s
        self._outage_until = float("-inf")
        self._claims: dict[str, Claim] = {}
        self._presence = Claim(ABSENT, 0)
        self._absent_since: dict[PersistentOwnerRecord, float] = {}
        self._free_since: dict[str, float] = {}
        self._unwanted_since: dict[str, float] = {}
        self._eras = EraTracker()
        self._restored_at = float("-inf")
        """When the service was last observed to have been restored from a copy."""

    # State.

    def token(self, resource: str) -> int | None:
        """Return the fencing token to act on a resource now, None if this process may not."""
        claim = self._claims.get(resource)
        if claim is None or claim.lease != self._lease.lease:
            return None
        return claim.fence if self._lease.is_valid() or self._is_outage() else None

    @property
    def has_joined(self) -> bool:
        """Whether this process is a member, and so renews its lease and detects outages."""
        return self._joined.is_set()

    @property
    def is_cut_off(self) -> bool:
        """Whether the service does not answer this process; meaningful for members only."""
        return self._lease.is_cut_off()

    def note_outage(self, cut_off: int) -> None:
        """Extend the tokens during an outage of the service.

        Only an instance whose lease or outage period is unexpired extends it: later, another
        instance may have reached the service for long enough to take over.

        Parameters
        ----------
        cut_off : int
            Number of members that report that they cannot reach the service, while none reports
            that it can.
        """
        now, known = self._clock(), len(self.present() | {self._name})
        was_valid = now < max(self._lease.valid_until, self._outage_until)
        if was_valid and self.is_cut_off and 2 * cut_off > known:
            self._outage_until = now + OUTAGE_REPORT_VALID_S

    def _is_outage(self) -> bool:
        return self.is_cut_off and self._clock() < self._outage_until

    def held(self) -> frozenset[str]:
        """Return the resources on which this process may act now."""
        return frozenset(name for name in self._claims if self.token(name) is not None)

    def records(self) -> dict[str, PersistentOwnerRecord]:
        """Return the ownership records by resource, according to the mirror.

        A record that cannot be read has an unknown owner, which is never present: it is taken over
        as that of an absent owner, by a write at its revision, see `_may_former_owner_act`.
        """
        prefix = f"{self._root}{OWNERS_PREFIX}"
        found = {
            entry.key.removeprefix(prefix): self._reader.read(entry) or _unknown_owner(entry)
            for entry in self._mirror.entries_below(prefix)
        }
        self._known_owners = {
            name: record.owner or self._known_owners.get(name, UNKNOWN_OWNER)
            for name, record in found.items()
        }
        return found

    def present(self) -> set[str]:
        """Return the names of the present instances, according to the mirror."""
        prefix = f"{self._root}{PRESENCE_PREFIX}"
        names = {entry.key.removeprefix(prefix) for entry in self._mirror.entries_below(prefix)}
        return names - {UNKNOWN_OWNER}

    # Operation.

    async def run(self) -> None:
        """Take, hold and release resources until cancelled."""
        renewing = asyncio.create_task(self._renew())
        try:
            while True:
                await self.step()
                await asyncio.sleep(STEP_INTERVAL_S)
        finally:
            renewing.cancel()

    async def _renew(self) -> None:
        await self._joined.wait()
        while True:
            if self._can_act():
                delay_s = await self._lease.step()
            else:
                await self._suspend()
                delay_s = STEP_INTERVAL_S
            await asyncio.sleep(delay_s)

    async def _suspend(self) -> None:
        """Give up the lease and with it all tokens, without leaving the group."""
        if self._lease.lease:
            log.info("suspended", root=self._root, claims=len(self._claims))
            await self.leave()
            self._on_change()

    async def step(self) -> None:
        """Perform the actions that are due."""
        if not self._participates() or not self._can_act():
            return
        if not self._mirror.synced or not self._lease.is_valid() or self.is_cut_off:
            # Owners may continue during an outage, so absence counts from the reconnection.
            self._absent_since.clear()
            return
        try:
            await self._announce_presence()
            await self._reconcile()
            await self._delete_unwanted()
        except CoordinationError as exc:
            log.info("could not update the ownership records", root=self._root, why=repr(exc))

    def _participates(self) -> bool:
        if self._joined.is_set():
            return True
        if self._candidacy is None or not self._mirror.synced:
            return False
        present, records = self.present(), self.records().values()
        is_returning = self._name in present or any(
            record.owner == self._name for record in records
        )
        if self._candidacy.should_join(len(present), is_returning, self._mirror.request_poll):
            log.info(
                "joined as a member", root=self._root, present=len(present), awaited=is_returning
            )
            self._joined.set()
        return self._joined.is_set()

    async def leave(self) -> None:
        """Revoke the lease, so that other instances see immediately that this one stopped."""
        try:
            await self._lease.release()
        except CoordinationError as exc:
            log.info("could not revoke the lease; it will expire", why=repr(exc))

    async def _announce_presence(self) -> None:
        lease = self._lease.lease
        if self._presence.lease == lease:
            return
        key = f"{self._root}{PRESENCE_PREFIX}{self._name}"
        found = await self._kv.get(key)
        expected = found.revision if found is not None else ABSENT
        value = json.dumps({"operation": uuid.uuid4().hex}).encode()
        swap = await swap_and_confirm(self._kv, key, value, expected, lease)
        if swap.swapped:
            self._presence = Claim(swap.revision, lease)
            log.info("present", root=self._root, lease=lease)

    async def _reconcile(self) -> None:
        lease = self._lease.lease
        if self._presence.lease != lease:
            return
        self._note_era()
        records, present = self.records(), self.present() | {self._name}
        wanted = sorted(self._wanted())
        self._lease.ttl_s = self._ttl_s * max(1.0, len(present) / MAX_MEMBERS_AT_BASE_TTL)
        writes = []
        free = []
        for name in wanted:
            record = records.get(name)
            claim = self._claims.get(name)
            if claim is not None and record is not None and self._is_superseded(claim, record):
                self._drop_claim(name, record)
                claim = None
            if claim is not None and claim.lease == lease:
                continue
            if self._clock() < self._retry_at.get(name, 0.0):
                continue
            if claim is not None or self._is_own(record):
                writes.append(
                    self._take_ownership(name, self._expected_revision(claim, record), lease)
                )
            elif self._is_free(name, record, present):
                free.append(name)
        counts = Counter(record.owner for record in records.values())
        for name in free:
            if self._may_take_now(name, present, counts):
                writes.append(
                    self._take_ownership(
                        name, self._expected_revision(None, records.get(name)), lease
                    )
                )
        if writes:
            await asyncio.gather(*writes)

    def _note_era(self) -> None:
        is_first = self._eras.era is None
        if self._eras.has_advanced(self._mirror.revision):
            log.warning(
                "the store was restored; ownership records may be lost",
                root=self._root,
                era=self._eras.era,
                claims=len(self._claims),
            )
            self._restored_at = self._clock()
            self._absent_since.clear()
            self._free_since.clear()
        elif is_first and self._eras.era:
            # A recent restore can't be ruled out, so this process waits as after one.
            self._restored_at = self._clock()

    def _has_restore_wait_passed(self) -> bool:
        """Return whether all owners from before the last restore have stopped acting."""
        return self._clock() - self._restored_at >= self._hold_off_s + self._lease.ttl_s

    def _is_superseded(self, claim: Claim, record: PersistentOwnerRecord) -> bool:
        """Return whether a record replaced a claim and is not merely part of a restored copy."""
        if era_of(record.fence) > era_of(claim.fence):
            return self._has_restore_wait_passed() and record.owner != self._name
        return record.fence > claim.fence

    def _is_own(self, record: PersistentOwnerRecord | None) -> bool:
        """Return whether a record of this instance's earlier process is the latest one."""
        if record is None or record.owner != self._name:
            return False
        return not record.may_be_outdated or self._has_restore_wait_passed()

    def _expected_revision(self, claim: Claim | None, record: PersistentOwnerRecord | None) -> int:
        """Return the revision at which a record is to be replaced."""
        record_at = record.fence if record is not None else ABSENT
        if claim is None or era_of(claim.fence) < (self._eras.era or 0):
            return record_at
        return max(claim.fence, record_at)

    def _is_free(self, name: str, record: PersistentOwnerRecord | None, present: set[str]) -> bool:
        """Return whether no owner may still act on a resource, and record since when."""
        now = self._clock()
        if not self._has_restore_wait_passed():
            return False
        if record is None:
            if now - self._started_at >= INITIAL_TAKE_DELAY_S:
                self._free_since.setdefault(name, now)
                return True
            return False
        if record.owner in present or self._may_former_owner_act(name, record, present):
            self._absent_since.pop(record, None)
            self._free_since.pop(name, None)
            return False
        absent_s = now - self._absent_since.setdefault(record, now)
        if absent_s < self._hold_off_s + self._lease.ttl_s:
            return False
        self._free_since.setdefault(name, now)
        return True

    def _may_former_owner_act(
        self, name: str, record: PersistentOwnerRecord, present: set[str]
    ) -> bool:
        """Return whether the owner before an unreadable record may not have seen that record yet.

        While it is present it renews its lease, so it takes the record over itself once it sees it.
        """
        if record.owner != UNKNOWN_OWNER:
            return False
        former = self._known_owners.get(name, UNKNOWN_OWNER)
        return former != self._name and former in present

    def _may_take_now(self, name: str, present: set[str], counts: Counter[str]) -> bool:
        order = sorted(present, key=lambda member: (counts[member], -score(member, name)))
        counts[order[0]] += 1
        waited_s = self._clock() - self._free_since[name]
        return waited_s >= self._takeover_stagger_s * order.index(self._name)

    async def _take_ownership(self, name: str, expected: int, lease: int) -> None:
        key = f"{self._root}{OWNERS_PREFIX}{name}"
        data = {"owner": self._name, "era": self._eras.era, "operation": uuid.uuid4().hex}
        value = json.dumps(data).encode()
        swap = await swap_and_confirm(self._kv, key, value, expected)
        if not swap.swapped:
            # The mirror does not show the latest record yet, so an immediate retry would fail too.
            self._claims.pop(name, None)
            self._retry_at[name] = self._clock() + self._takeover_stagger_s
            return
        self._claims[name] = Claim(swap.revision, lease)
        self._free_since.pop(name, None)
        log.info("owned", resource=name, fence=swap.revision, before=expected, lease=lease)
        self._on_change()

    def _drop_claim(self, name: str, record: PersistentOwnerRecord) -> None:
        claim = self._claims.pop(name)
        log.info("ownership lost", resource=name, fence=claim.fence, owner=record.owner)
        self._on_change()

    async def _delete_unwanted(self) -> None:
        """Delete the records of resources that were removed for good."""
        wanted, now = set(self._wanted()), self._clock()
        for name, record in self.records().items():
            if name in wanted:
                self._unwanted_since.pop(name, None)
                continue
            if now - self._unwanted_since.setdefault(name, now) < UNWANTED_RECORD_TTL_S:
                continue
            if record.owner == self._name or record.owner not in self.present():
                self._claims.pop(name, None)
                await self._kv.delete(f"{self._root}{OWNERS_PREFIX}{name}", record.fence)
                self._unwanted_since[name] = now


def _decode(entry: KvEntry) -> PersistentOwnerRecord:
    record = Record(entry.key, entry.value)
    era = record.integer("era", 0)
    if era > era_of(entry.revision):
        raise InvalidRecord(entry.key, f"era {era} is later than that of the record's revision")
    return PersistentOwnerRecord(record.name("owner"), entry.revision, era)


def _unknown_owner(entry: KvEntry) -> PersistentOwnerRecord:
    return PersistentOwnerRecord(UNKNOWN_OWNER, entry.revision, era_of(entry.revision))
