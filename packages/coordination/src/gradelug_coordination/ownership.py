"""Who owns which resource: proposed by rendezvous hashing, decided by compare-and-swap."""

from __future__ import annotations

import contextlib
import json
import typing as t
import uuid
from dataclasses import dataclass

from .exceptions import CoordinationError
from .kv import ABSENT, KeyValue, KvEntry, swap_surely
from .lease import LeaseKeeper
from .membership import Membership
from .mirror import Mirror
from .rendezvous import rank

OWNERS = "owners/"


@dataclass(slots=True, frozen=True)
class OwnerRecord:
    """Who owns a resource, as the service holds it.

    Parameters
    ----------
    owner : str
        The member's name; empty if the last owner gave the resource up itself.
    fence : int
        Fencing token: the revision at which the record was written. Revisions of the service
        only grow, so a later owner's token is always greater, even if the record was gone
        in between.
    """

    owner: str
    fence: int
    lease: int = 0
    """The lease the record is tied to."""
    doubt_s: float = 0.0
    """How long, from when the record is found, former owners may still act."""


@dataclass(slots=True, frozen=True)
class Held:
    """A resource held by this process.

    Parameters
    ----------
    fence : int
        Fencing token for orders.
    lease : int
        The lease the record is tied to.
    taken_at : float
        When it was taken, by the runtime's clock.
    clean : bool
        Whether the former owner gave it up itself; False if its lease lapsed.
    doubt_s : float
        How long after `taken_at` an owner before the former one may still act.
    """

    fence: int
    lease: int
    taken_at: float
    clean: bool
    doubt_s: float = 0.0


class Ownership:
    """Takes, keeps and gives up resources.

    Parameters
    ----------
    kv, root, mirror, lease, membership
        As in `Membership`.
    clock : callable
        The runtime's clock, in seconds.
    settle_s : float
        How long another member must be preferred before a resource is handed to it.
    before_release : callable
        Coroutine function called with a resource's name before it is given up; nothing must be
        done to the resource in this process's name after it returns. It returns how long, in
        seconds, owners before this one may still act.
    step_s : float
        How much longer each next-ranked member waits before it takes a free resource, so that
        a frozen member does not keep one free.
    """

    __slots__ = (
        "_before_release",
        "_clock",
        "_free_since",
        "_given_up",
        "_kv",
        "_lease",
        "_membership",
        "_mirror",
        "_root",
        "_settle_s",
        "_step_s",
        "_unwanted_since",
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
        settle_s: float = 3.0,
        step_s: float = 0.5,
    ) -> None:
        self._kv = kv
        self._root = root
        self._mirror = mirror
        self._lease = lease
        self._membership = membership
        self._clock = clock
        self._before_release = before_release
        self._settle_s = settle_s
        self._step_s = step_s
        self._free_since: dict[str, float] = {}
        self._given_up: dict[str, int] = {}
        self._unwanted_since: dict[str, float] = {}
        self.held: dict[str, Held] = {}

    def records(self) -> dict[str, OwnerRecord]:
        """Return the owners as this process knows them."""
        prefix = f"{self._root}{OWNERS}"
        return {
            entry.key.removeprefix(prefix): _read(entry) for entry in self._mirror.below(prefix)
        }

    def holds(self, resource: str) -> bool:
        """Tell whether this process holds the resource under a lease valid right now."""
        held = self.held.get(resource)
        return held is not None and held.lease == self._lease.lease and self._lease.is_valid()

    def forget_lost(self) -> list[str]:
        """Drop what is held under a lapsed lease or was taken by another; return the names."""
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
        """Hold a resource no longer, because another is known to own it."""
        held = self.held.pop(resource, None)
        if held is not None:
            self._given_up[resource] = held.fence

    async def reconcile(self, resources: t.Iterable[str]) -> None:
        """Take what is free and preferred here, give up what another is preferred for."""
        if not self._lease.is_valid() or not self._mirror.synced:
            return
        active = self._membership.active()
        records = self.records()
        wanted = set(resources)
        for resource in sorted(wanted):
            if resource in self.held:
                await self._consider_release(resource, active)
                continue
            record = records.get(resource)
            if record is not None and record.owner:
                self._free_since.pop(resource, None)
                self._take_up(resource, record)
                continue
            await self._consider_taking(resource, active, record)
        for resource in set(self.held) - wanted:
            await self.release(resource)

    async def release(self, resource: str) -> None:
        """Give a resource up, leaving a record that says so."""
        held = self.held.pop(resource, None)
        if held is None:
            return
        self._given_up[resource] = held.fence
        self._unwanted_since.pop(resource, None)
        doubt_s = 0.0
        if self._before_release is not None:
            doubt_s = await self._before_release(resource)
        with contextlib.suppress(CoordinationError):
            # On failure the record goes with the lease, and the next owner, finding none,
            # takes us for lapsed.
            await self._kv.swap(self._key(resource), _encode("", doubt_s), held.fence)

    async def _consider_release(self, resource: str, active: list[str]) -> None:
        me = self._membership.me
        if me.leaving:
            await self.release(resource)
            return
        order = rank(active, resource)
        if not order or order[0] == me.name:
            self._unwanted_since.pop(resource, None)
            return
        since = self._unwanted_since.setdefault(resource, self._clock())
        if self._clock() - since >= self._settle_s:
            await self.release(resource)

    async def _consider_taking(
        self, resource: str, active: list[str], free: OwnerRecord | None
    ) -> None:
        me = self._membership.me
        if me.leaving or me.name not in active:
            return
        since = self._free_since.setdefault(resource, self._clock())
        place = rank(active, resource).index(me.name)
        if self._clock() - since >= place * self._step_s:
            await self._take(resource, free)

    async def _take(self, resource: str, free: OwnerRecord | None) -> None:
        value = _encode(self._membership.me.name)
        lease = self._lease.lease
        expected = free.fence if free else ABSENT
        outcome = await swap_surely(self._kv, self._key(resource), value, expected, lease)
        if not outcome.swapped:
            return
        self._free_since.pop(resource, None)
        doubt_s = free.doubt_s if free else 0.0
        self.held[resource] = Held(
            outcome.revision, lease, self._clock(), free is not None, doubt_s
        )

    def _take_up(self, resource: str, record: OwnerRecord) -> None:
        """Hold what a write of ours took whose outcome we never learned."""
        lease = self._lease.lease
        if record.fence <= self._given_up.get(resource, ABSENT):
            # The mirror has yet to show that we gave it up.
            return
        if record.owner == self._membership.me.name and record.lease == lease:
            # Who held it before is not known any more, so nothing is trusted of it.
            self.held[resource] = Held(record.fence, lease, self._clock(), clean=False)

    def _key(self, resource: str) -> str:
        return f"{self._root}{OWNERS}{resource}"


def _encode(owner: str, doubt_s: float = 0.0) -> bytes:
    data = {"owner": owner, "doubt_s": round(doubt_s, 1), "operation": uuid.uuid4().hex}
    return json.dumps(data).encode()


def _read(entry: KvEntry) -> OwnerRecord:
    data = json.loads(entry.value)
    return OwnerRecord(data["owner"], entry.revision, entry.lease, float(data["doubt_s"]))
