"""Assigns resources to members by rendezvous hashing and compare-and-swap.

The hash ranks the members for each resource; the record in the key-value service decides which
member owns it. The records are tied to the owners' leases.
"""

from __future__ import annotations

import contextlib
import json
import typing as t
import uuid
from dataclasses import dataclass

from .exceptions import CoordinationError
from .kv import ABSENT, KeyValue, KvEntry, swap_and_confirm
from .lease import LeaseKeeper
from .membership import Membership
from .mirror import Mirror
from .records import Record, RecordReader
from .rendezvous import rank

OWNERS_PREFIX = "owners/"


@dataclass(slots=True, frozen=True)
class OwnerRecord:
    """The owner of a resource, as recorded in the service.

    Parameters
    ----------
    owner : str
        The member's name; empty if the last owner released the resource.
    fence : int
        Fencing token: the revision at which the record was written. Revisions of the service
        only grow, so a later owner's token is always greater, even if the record was deleted
        in between.
    """

    owner: str
    fence: int
    lease: int = 0
    """Lease to which the record is tied."""
    predecessors_remaining_s: float = 0.0
    """How long former owners may still act after the record is read, in seconds."""
    is_readable: bool = True
    """Whether the record could be decoded; its owner is unknown otherwise."""


@dataclass(slots=True, frozen=True)
class Held:
    """A resource that this process owns.

    Parameters
    ----------
    fence : int
        Fencing token to be sent with commands.
    lease : int
        Lease to which the record is tied.
    taken_at : float
        When the resource was acquired, by the runtime's clock, in seconds.
    was_released : bool
        Whether the former owner released the resource; False if its lease expired.
    doubt_s : float
        How long after `taken_at` an owner before the former one may still act, in seconds.
    """

    fence: int
    lease: int
    acquired_at: float
    was_released: bool
    predecessors_remaining_s: float = 0.0


class Ownership:
    """Acquires, holds and releases resources.

    Parameters
    ----------
    kv, root, mirror, lease, membership
        As in `Membership`.
    clock : callable
        The runtime's clock, in seconds.
    before_release : callable
        Coroutine function that is called with a resource's name before the resource is released.
        After it returns, this process must not act on the resource. It returns how long, in
        seconds, owners before this one may still act.
    handover_delay_s : float
        How long another member must be preferred before a resource is released to it, in seconds.
    rank_delay_s : float
        Additional delay per rank before a member acquires a free resource, in seconds, so that an
        unresponsive member does not keep a resource free.
    """

    __slots__ = (
        "_before_release",
        "_clock",
        "_free_since",
        "_released_fences",
        "_kv",
        "_lease",
        "_membership",
        "_mirror",
        "_root",
        "_handover_delay_s",
        "_rank_delay_s",
        "_reader",
        "_outranked_since",
        "_unreadable_since",
        "held",
    )

    def __init__(
        self,
        kv: KeyValue,
        root: str,
        mirror: Mirror,
        lease: LeaseKeeper,
        membership: Membership,
        clock: t.Callable[[], float],
        before_release: t.Callable[[str], t.Awaitable[float]] | None = None,
        handover_delay_s: float = 3.0,
        rank_delay_s: float = 0.5,
    ) -> None:
        self._kv = kv
        self._root = root
        self._mirror = mirror
        self._lease = lease
        self._membership = membership
        self._clock = clock
        self._before_release = before_release
        self._handover_delay_s = handover_delay_s
        self._rank_delay_s = rank_delay_s
        self._free_since: dict[str, float] = {}
        self._released_fences: dict[str, int] = {}
        self._outranked_since: dict[str, float] = {}
        self._reader = RecordReader(_decode)
        self._unreadable_since: dict[str, tuple[int, float]] = {}
        """Revision of each unreadable record, and since when it was seen, by resource."""
        self.held: dict[str, Held] = {}

    def records(self) -> dict[str, OwnerRecord]:
        """Return the ownership records by resource, according to the mirror."""
        prefix = f"{self._root}{OWNERS_PREFIX}"
        return {
            entry.key.removeprefix(prefix): self._reader.read(entry) or _unknown_owner(entry)
            for entry in self._mirror.entries_below(prefix)
        }

    def holds(self, resource: str) -> bool:
        """Return whether this process owns the resource under a lease that is valid now."""
        held = self.held.get(resource)
        return held is not None and held.lease == self._lease.lease and self._lease.is_valid()

    def drop_lost(self) -> list[str]:
        """Drop resources lost by a lease expiry or to another member; return their names."""
        records = self.records() if self._mirror.synced else {}
        lost = []
        for resource, held in self.held.items():
            record = records.get(resource)
            if record is None:
                taken = self._mirror.synced and self._mirror.revision >= held.fence
            else:
                taken = record.fence > held.fence
            if taken or (self._lease.lease and held.lease != self._lease.lease):
                lost.append(resource)
        for resource in lost:
            self.drop(resource)
        return lost

    def drop(self, resource: str) -> None:
        """Stop holding a resource that another member owns."""
        held = self.held.pop(resource, None)
        if held is not None:
            self._released_fences[resource] = held.fence

    async def reconcile(self, resources: t.Iterable[str]) -> None:
        """Acquire free resources and release those for which another member is preferred."""
        if not self._lease.is_valid() or not self._mirror.synced:
            return
        active = self._membership.active()
        records = self.records()
        wanted = set(resources)
        for resource in sorted(wanted):
            if resource in self.held:
                await self._release_if_outranked(resource, active)
                continue
            record = records.get(resource)
            if record is not None and not record.is_readable:
                await self._replace_if_due(resource, active, record)
                continue
            if record is not None and record.owner:
                self._free_since.pop(resource, None)
                self._adopt(resource, record)
                continue
            await self._take_if_due(resource, active, record)
        for resource in set(self.held) - wanted:
            await self.release(resource)

    async def release(self, resource: str) -> None:
        """Release a resource and record that it was released."""
        held = self.held.pop(resource, None)
        if held is None:
            return
        self._released_fences[resource] = held.fence
        self._outranked_since.pop(resource, None)
        doubt_s = 0.0
        if self._before_release is not None:
            doubt_s = await self._before_release(resource)
        with contextlib.suppress(CoordinationError):
            # If this fails, the lease's expiry deletes the record, and the next owner treats this
            # process as expired.
            await self._kv.swap(self._key(resource), _encode("", doubt_s), held.fence)

    async def _release_if_outranked(self, resource: str, active: list[str]) -> None:
        me = self._membership.local_member
        if me.leaving:
            await self.release(resource)
            return
        order = rank(active, resource)
        if not order or order[0] == me.name:
            self._outranked_since.pop(resource, None)
            return
        since = self._outranked_since.setdefault(resource, self._clock())
        if self._clock() - since >= self._handover_delay_s:
            await self.release(resource)

    async def _take_if_due(
        self, resource: str, active: list[str], free: OwnerRecord | None
    ) -> None:
        me = self._membership.local_member
        if me.leaving or me.name not in active:
            return
        since = self._free_since.setdefault(resource, self._clock())
        rank_index = rank(active, resource).index(me.name)
        if self._clock() - since >= rank_index * self._rank_delay_s:
            await self._acquire(resource, free)

    async def _replace_if_due(self, resource: str, active: list[str], record: OwnerRecord) -> None:
        """Take a resource whose record cannot be read once its writer's lease must have expired."""
        now = self._clock()
        fence, since = self._unreadable_since.get(resource, (record.fence, now))
        if fence != record.fence:
            since = now
        self._unreadable_since[resource] = (record.fence, since)
        if now - since < self._lease.ttl_s:
            self._free_since.pop(resource, None)
            return
        await self._take_if_due(resource, active, record)

    async def _acquire(self, resource: str, free: OwnerRecord | None) -> None:
        value = _encode(self._membership.local_member.name)
        lease = self._lease.lease
        expected = free.fence if free else ABSENT
        outcome = await swap_and_confirm(self._kv, self._key(resource), value, expected, lease)
        if not outcome.swapped:
            return
        self._free_since.pop(resource, None)
        self._unreadable_since.pop(resource, None)
        doubt_s = free.predecessors_remaining_s if free else 0.0
        was_released = free is not None and free.is_readable
        self.held[resource] = Held(outcome.revision, lease, self._clock(), was_released, doubt_s)

    def _adopt(self, resource: str, record: OwnerRecord) -> None:
        """Hold a resource whose record this process wrote without receiving the answer."""
        lease = self._lease.lease
        if record.fence <= self._released_fences.get(resource, ABSENT):
            # The mirror does not show yet that this process released the resource.
            return
        if record.owner == self._membership.local_member.name and record.lease == lease:
            # The former owner is unknown, so the resource does not count as released by it.
            self.held[resource] = Held(record.fence, lease, self._clock(), was_released=False)

    def _key(self, resource: str) -> str:
        return f"{self._root}{OWNERS_PREFIX}{resource}"


def _encode(owner: str, doubt_s: float = 0.0) -> bytes:
    data = {"owner": owner, "doubt_s": round(doubt_s, 1), "operation": uuid.uuid4().hex}
    return json.dumps(data).encode()


def _decode(entry: KvEntry) -> OwnerRecord:
    record = Record(entry.key, entry.value)
    return OwnerRecord(record.text("owner"), entry.revision, entry.lease, record.number("doubt_s"))


def _unknown_owner(entry: KvEntry) -> OwnerRecord:
    return OwnerRecord("", entry.revision, entry.lease, is_readable=False)
