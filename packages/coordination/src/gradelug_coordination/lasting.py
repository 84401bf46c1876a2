"""Owners that are remembered: who comes back goes on with what it owned, at once.

A record names the owner of a resource and outlasts the owner's lease. Beside it each instance keeps
its presence, which goes with its lease. An owner acts on the records that it wrote under the lease
which it holds now. Another instance takes a record over after its owner has been seen absent for
`hold_off_s` and the time to live of its lease: a service that takes an instance's entries away
does not tell it, and it goes on until its lease is over by its own clock. Whichever of the two
writes the record first is its owner, and the other's write fails.

Where the service comes back from an older copy, leases are gone and records show earlier owners or
none. Who holds a claim then writes it again at once; everybody else waits as long as for an owner
that is absent, since any other owner may still act.

While the service is away nobody can take a record over, and owners go on. An owner takes it for
away, and not only itself for cut off, while most instances say that they cannot reach it and none
says that it can. What they say is a second old at most, far less than others wait who reach it.
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
from .exceptions import CoordinationError
from .kv import ABSENT, KeyValue, KvEntry, swap_surely
from .lease import LeaseKeeper
from .mirror import Mirror
from .positions import EraWatch, era_of
from .rendezvous import score

log = logbook.Logger("ownership")
PRESENT = "present/"
OWNERS = "owners/"
STEP_S = 0.1
TURN_S = 0.4
"""Each next instance waits so much longer, and as long as mirrors gather changes, before it takes
what is free: a write takes a few ms, and up to 0.3 s with the store slow."""
SETTLE_S = 1.0
"""What nobody has owned yet is not taken earlier than this after a start: all instances start
within 0.3 s of each other and are to share it."""
OUTAGE_S = 1.0
"""What instances say of the service's absence holds for so long."""
FORGET_S = 30.0
"""Records of resources that are gone are kept this long: some come back."""
MEMBERS_PER_TTL = 25
"""With more instances than this leases are longer, so that all together renew about 60 a second."""


@dataclass(slots=True, frozen=True)
class LastingRecord:
    """Who owns a resource.

    Parameters
    ----------
    owner : str
        Name of the instance, the same before and after a restart.
    fence : int
        Fencing token: the revision of the record.
    era : int
        Of the service when it was written; an earlier one than the token's if the service came back
        from a copy since.
    """

    owner: str
    fence: int
    era: int = 0

    @property
    def is_copied(self) -> bool:
        """Whether a later record may have been lost."""
        return self.era < era_of(self.fence)


@dataclass(slots=True, frozen=True)
class Claim:
    """A record that this process wrote, and the lease under which it did."""

    fence: int
    lease: int


class LastingOwnership:
    """Shares resources among instances.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of its keys.
    mirror : Mirror
        Mirror in which they show.
    lease : LeaseKeeper
        This process's lease; kept alive here.
    name : str
        This instance, the same before and after a restart, and no other machine's ever.
    clock : callable
        The runtime's clock, in seconds.
    hold_off_s : float
        No two instances may act on a resource within this time, in seconds.
    wanted : callable
        Returns the names of the resources that there are.
    on_change : callable
        Called without arguments when something was gained or lost.
    spacing_s : float
        How long the mirror gathers changes, in seconds.
    candidacy : Candidacy or None
        Tells whether this instance takes part; None if it does in any case.
    """

    __slots__ = (
        "_absent_since",
        "_candidacy",
        "_claims",
        "_clock",
        "_eras",
        "_free_since",
        "_hold_off_s",
        "_joined",
        "_kv",
        "_lease",
        "_mirror",
        "_name",
        "_on_change",
        "_outage_until",
        "_presence",
        "_restored_at",
        "_retry_at",
        "_root",
        "_started_at",
        "_ttl_s",
        "_turn_s",
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
        spacing_s: float = 0.0,
        candidacy: Candidacy | None = None,
    ) -> None:
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
        self._turn_s = TURN_S + spacing_s
        self._retry_at: dict[str, float] = {}
        """When a record that another instance changed first is looked at again."""
        self._started_at = clock()
        self._ttl_s = lease.ttl_s
        self._outage_until = float("-inf")
        self._claims: dict[str, Claim] = {}
        self._presence = Claim(ABSENT, 0)
        self._absent_since: dict[LastingRecord, float] = {}
        self._free_since: dict[str, float] = {}
        self._unwanted_since: dict[str, float] = {}
        self._eras = EraWatch()
        self._restored_at = float("-inf")
        """When the service was seen to have come back from a copy."""

    # What may be done.

    def token(self, resource: str) -> int | None:
        """Return the fencing token to act on a resource with right now, None if that is over."""
        claim = self._claims.get(resource)
        if claim is None or claim.lease != self._lease.lease:
            return None
        return claim.fence if self._lease.is_valid() or self._is_outage() else None

    @property
    def has_joined(self) -> bool:
        """Whether this process takes part, and so knows whether the service answers."""
        return self._joined.is_set()

    @property
    def is_cut_off(self) -> bool:
        """Whether the service does not answer this process, if it takes part."""
        return self._lease.is_cut_off()

    def note_outage(self, cut_off: int) -> None:
        """Take that so many that take part cannot reach the service, and that none is known to.

        It keeps alive what has not been over since the lease was valid: once it was, another
        instance may have been in contact for long enough to take over.
        """
        now, known = self._clock(), len(self.present() | {self._name})
        goes_on = now < max(self._lease.valid_until, self._outage_until)
        if goes_on and self.is_cut_off and 2 * cut_off > known:
            self._outage_until = now + OUTAGE_S

    def _is_outage(self) -> bool:
        return self.is_cut_off and self._clock() < self._outage_until

    def held(self) -> frozenset[str]:
        """Return the resources that this process may act on now."""
        return frozenset(name for name in self._claims if self.token(name) is not None)

    def records(self) -> dict[str, LastingRecord]:
        """Return the owners as the mirror shows them."""
        prefix = f"{self._root}{OWNERS}"
        found = {}
        for entry in self._mirror.below(prefix):
            record = _read(entry)
            if record is not None:
                found[entry.key.removeprefix(prefix)] = record
        return found

    def present(self) -> set[str]:
        """Return the instances that are there, as the mirror shows them."""
        prefix = f"{self._root}{PRESENT}"
        return {entry.key.removeprefix(prefix) for entry in self._mirror.below(prefix)}

    # Life.

    async def run(self) -> None:
        """Take, keep and lose resources until cancelled."""
        renewing = asyncio.create_task(self._renew())
        try:
            while True:
                await self.step()
                await asyncio.sleep(STEP_S)
        finally:
            renewing.cancel()

    async def _renew(self) -> None:
        await self._joined.wait()
        await self._lease.run()

    async def step(self) -> None:
        """Do what is due now."""
        if not self._takes_part():
            return
        if not self._mirror.synced or not self._lease.is_valid() or self.is_cut_off:
            # Owners may go on while nobody reaches the service: absence counts from contact on.
            self._absent_since.clear()
            return
        try:
            await self._announce()
            await self._reconcile()
            await self._forget_unwanted()
        except CoordinationError as exc:
            log.info("the store did not take a record", root=self._root, why=repr(exc))

    def _takes_part(self) -> bool:
        if self._joined.is_set():
            return True
        if self._candidacy is None or not self._mirror.synced:
            return False
        present, records = self.present(), self.records().values()
        is_awaited = self._name in present or any(record.owner == self._name for record in records)
        if self._candidacy.consider(len(present), is_awaited, self._mirror.hurry):
            log.info("joined", root=self._root, present=len(present), awaited=is_awaited)
            self._joined.set()
        return self._joined.is_set()

    async def leave(self) -> None:
        """End the lease: others see at once that this process is gone."""
        try:
            await self._lease.release()
        except CoordinationError as exc:
            log.info("the lease could not be ended and will lapse", why=repr(exc))

    async def _announce(self) -> None:
        lease = self._lease.lease
        if self._presence.lease == lease:
            return
        key = f"{self._root}{PRESENT}{self._name}"
        found = await self._kv.get(key)
        expected = found.revision if found is not None else ABSENT
        value = json.dumps({"operation": uuid.uuid4().hex}).encode()
        swap = await swap_surely(self._kv, key, value, expected, lease)
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
        self._lease.ttl_s = self._ttl_s * max(1.0, len(present) / MEMBERS_PER_TTL)
        taking = []
        free = []
        for name in wanted:
            record = records.get(name)
            claim = self._claims.get(name)
            if claim is not None and record is not None and self._is_taken(claim, record):
                self._drop(name, record)
                claim = None
            if claim is not None and claim.lease == lease:
                continue
            if self._clock() < self._retry_at.get(name, 0.0):
                continue
            if claim is not None or self._is_own(record):
                taking.append(self._take(name, self._expected(claim, record), lease))
            elif self._is_free(name, record, present):
                free.append(name)
        counts = Counter(record.owner for record in records.values())
        for name in free:
            if self._is_my_turn(name, present, counts):
                taking.append(self._take(name, self._expected(None, records.get(name)), lease))
        if taking:
            await asyncio.gather(*taking)

    def _note_era(self) -> None:
        is_first = self._eras.era is None
        if self._eras.has_risen(self._mirror.revision):
            log.warning(
                "owners may be lost", root=self._root, era=self._eras.era, claims=len(self._claims)
            )
            self._restored_at = self._clock()
            self._absent_since.clear()
            self._free_since.clear()
        elif is_first and self._eras.era:
            # A recent return cannot be ruled out, so this process waits as after one.
            self._restored_at = self._clock()

    def _is_settled(self) -> bool:
        """Tell whether nobody acts any more on what it owned before the service's return."""
        return self._clock() - self._restored_at >= self._hold_off_s + self._lease.ttl_s

    def _is_taken(self, claim: Claim, record: LastingRecord) -> bool:
        """Tell whether a record took a claim's place, and is not from a copy."""
        if era_of(record.fence) > era_of(claim.fence):
            return self._is_settled() and record.owner != self._name
        return record.fence > claim.fence

    def _is_own(self, record: LastingRecord | None) -> bool:
        """Tell whether a record is of an earlier process of this instance, and the newest."""
        if record is None or record.owner != self._name:
            return False
        return not record.is_copied or self._is_settled()

    def _expected(self, claim: Claim | None, record: LastingRecord | None) -> int:
        """Return the position at which a record is to be replaced."""
        record_at = record.fence if record is not None else ABSENT
        if claim is None or era_of(claim.fence) < (self._eras.era or 0):
            return record_at
        return max(claim.fence, record_at)

    def _is_free(self, name: str, record: LastingRecord | None, present: set[str]) -> bool:
        """Tell whether nobody owns a resource who may still act on it, and note since when."""
        now = self._clock()
        if not self._is_settled():
            return False
        if record is None:
            if now - self._started_at >= SETTLE_S:
                self._free_since.setdefault(name, now)
                return True
            return False
        if record.owner in present:
            self._absent_since.pop(record, None)
            self._free_since.pop(name, None)
            return False
        absent_s = now - self._absent_since.setdefault(record, now)
        if absent_s < self._hold_off_s + self._lease.ttl_s:
            return False
        self._free_since.setdefault(name, now)
        return True

    def _is_my_turn(self, name: str, present: set[str], counts: Counter[str]) -> bool:
        order = sorted(present, key=lambda member: (counts[member], -score(member, name)))
        counts[order[0]] += 1
        waited_s = self._clock() - self._free_since[name]
        return waited_s >= self._turn_s * order.index(self._name)

    async def _take(self, name: str, expected: int, lease: int) -> None:
        key = f"{self._root}{OWNERS}{name}"
        data = {"owner": self._name, "era": self._eras.era, "operation": uuid.uuid4().hex}
        value = json.dumps(data).encode()
        swap = await swap_surely(self._kv, key, value, expected)
        if not swap.swapped:
            # The mirror does not show the newest record yet: trying again would fail again.
            self._claims.pop(name, None)
            self._retry_at[name] = self._clock() + self._turn_s
            return
        self._claims[name] = Claim(swap.revision, lease)
        self._free_since.pop(name, None)
        log.info("owned", resource=name, fence=swap.revision, before=expected, lease=lease)
        self._on_change()

    def _drop(self, name: str, record: LastingRecord) -> None:
        claim = self._claims.pop(name)
        log.info("no longer owned", resource=name, fence=claim.fence, owner=record.owner)
        self._on_change()

    async def _forget_unwanted(self) -> None:
        """Delete records of resources that are gone for good."""
        wanted, now = set(self._wanted()), self._clock()
        for name, record in self.records().items():
            if name in wanted:
                self._unwanted_since.pop(name, None)
                continue
            if now - self._unwanted_since.setdefault(name, now) < FORGET_S:
                continue
            if record.owner == self._name or record.owner not in self.present():
                self._claims.pop(name, None)
                await self._kv.delete(f"{self._root}{OWNERS}{name}", record.fence)
                self._unwanted_since[name] = now


def _read(entry: KvEntry) -> LastingRecord | None:
    try:
        data = json.loads(entry.value)
        return LastingRecord(str(data["owner"]), entry.revision, int(data.get("era") or 0))
    except (ValueError, KeyError, TypeError) as exc:
        log.error("a record cannot be read", key=entry.key, why=repr(exc))
        return None
