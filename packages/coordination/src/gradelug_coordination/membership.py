"""Registers the members of a group, with one record per process that is tied to its lease."""

from __future__ import annotations

import json
import typing as t
from dataclasses import asdict, dataclass, replace

from .kv import ABSENT, KeyValue, swap_and_confirm
from .lease import LeaseKeeper
from .mirror import Mirror
from .records import Record, RecordReader

MEMBERS_PREFIX = "members/"


@dataclass(slots=True, frozen=True)
class Member:
    """One process that is registered as a member.

    Parameters
    ----------
    name : str
        Unique to this start of the process: a restarted instance is another member, so that
        state of the earlier process is not attributed to it.
    address : str
        ``IP:port`` at which peers connect to it.
    hall : str
        Hall of the machine.
    leaving : bool
        Whether the process is stopping; it accepts no new work then.
    """

    name: str
    address: str
    hall: str = ""
    leaving: bool = False

    @classmethod
    def decode(cls, value: bytes, key: str = "") -> Member:
        """Decode a member from its stored record; raises `InvalidRecord`."""
        record = Record(key, value)
        return cls(
            record.name("name"),
            record.address("address"),
            record.text("hall", ""),
            record.flag("leaving"),
        )

    def encode(self) -> bytes:
        """Encode the member as its stored record."""
        return json.dumps(asdict(self), sort_keys=True).encode()


class Membership:
    """Registers this process and lists all members.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of all mirrored keys.
    mirror : Mirror
        Mirror of `root`.
    lease : LeaseKeeper
        Lease of this process.
    me : Member
        Record of this process.
    """

    __slots__ = ("_kv", "_lease", "_mirror", "_reader", "_root", "local_member")

    def __init__(
        self, kv: KeyValue, root: str, mirror: Mirror, lease: LeaseKeeper, local_member: Member
    ) -> None:
        self._kv = kv
        self._root = root
        self._mirror = mirror
        self._lease = lease
        self.local_member = local_member
        # Records of newer releases in an unknown format are skipped as well.
        self._reader = RecordReader(lambda entry: Member.decode(entry.value, entry.key))

    def all(self) -> dict[str, Member]:
        """Return all members by name, including those that are leaving."""
        entries = self._mirror.entries_below(f"{self._root}{MEMBERS_PREFIX}")
        return {
            member.name: member for member in map(self._reader.read, entries) if member is not None
        }

    def active(self) -> list[str]:
        """Return the sorted names of the members that accept new work."""
        return sorted(name for name, member in self.all().items() if not member.leaving)

    async def register(self) -> None:
        """Write this process's record if the mirrored one is missing or differs."""
        if not self._lease.lease or not self._lease.is_valid():
            return
        key = f"{self._root}{MEMBERS_PREFIX}{self.local_member.name}"
        found = self._mirror.entries.get(key)
        if found and found.value == self.local_member.encode() and found.lease == self._lease.lease:
            return
        expected = found.revision if found else ABSENT
        await swap_and_confirm(
            self._kv, key, self.local_member.encode(), expected, self._lease.lease
        )

    async def leave(self) -> None:
        """Mark this process as leaving."""
        self.local_member = replace(self.local_member, leaving=True)
        await self.register()


def names(members: t.Iterable[Member]) -> list[str]:
    """Return the sorted names of members."""
    return sorted(member.name for member in members)
