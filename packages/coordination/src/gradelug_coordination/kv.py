"""Protocol of the platform's key-value service, and a write that detects lost answers."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from .exceptions import KvUnavailable

ABSENT = 0
"""Expected revision of a key that must not exist."""


@dataclass(slots=True, frozen=True)
class KvEntry:
    """A key with its value.

    Parameters
    ----------
    key : str
        Full key.
    value : bytes
        At most one megabyte.
    revision : int
        Position of the service at the entry's last change, see `positions`. It grows with every
        change of any key, also after a restore of the service from an older copy.
    lease : int
        Lease to which the entry is tied, 0 if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class KvListing:
    """All entries below a prefix at one revision."""

    entries: tuple[KvEntry, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class KvSwap:
    """Outcome of a compare-and-swap.

    Parameters
    ----------
    swapped : bool
        Whether the write was applied.
    revision : int
        The entry's revision after a write that was applied.
    """

    swapped: bool
    revision: int = 0


@dataclass(slots=True, frozen=True)
class KvEvent:
    """A change reported by a watch; `entry` is None if the key was deleted."""

    key: str
    entry: KvEntry | None
    revision: int


class KeyValue(t.Protocol):
    """Operations of the platform's key-value service.

    Every call may raise `KvUnavailable` or `KvThrottled`.
    """

    async def get(self, key: str) -> KvEntry | None:
        """Return the entry, or None if there is no such key."""
        ...

    async def list(self, prefix: str) -> KvListing:
        """Return all entries below a prefix."""
        ...

    async def swap(self, key: str, value: bytes, expected: int, lease: int = 0) -> KvSwap:
        """Write if the key's revision is `expected` (`ABSENT` if there must be no such key)."""
        ...

    async def delete(self, key: str, expected: int) -> bool:
        """Delete if the key's revision is `expected`; return whether it was deleted."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease that expires `ttl_s` seconds after its last renewal."""
        ...

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the entries tied to it."""
        ...

    def watch(
        self, prefix: str, after: int, wait_s: t.Callable[[], float] | None = None
    ) -> t.AsyncIterator[tuple[KvEvent, ...]]:
        """Yield the changes below a prefix after a revision; counts as one call.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : int
            Revision of the last known change.
        wait_s : callable or None
            Returns how long the next answer may wait for a change, in seconds, where each step is
            a call; without changes an empty one is yielded then. None for the service's default.

        Raises
        ------
        WatchCompacted
            If the service has discarded the revision.
        """
        ...


async def swap_and_confirm(
    kv: KeyValue, key: str, value: bytes, expected: int, lease: int = 0
) -> KvSwap:
    """Compare and swap, and determine the outcome if the answer is lost.

    `value` must be unique to this attempt, for example through an operation identifier, so that
    reading the key back distinguishes this write from others.

    Raises
    ------
    KvUnavailable
        If reading back fails too; the write may still be applied.
    """
    try:
        return await kv.swap(key, value, expected, lease)
    except KvUnavailable:
        found = await kv.get(key)
    if found is not None and found.value == value:
        return KvSwap(True, found.revision)
    revision = found.revision if found else ABSENT
    if revision != expected:
        return KvSwap(False)
    # The key is unchanged. The lost call may still arrive, but only one of the two writes can be
    # applied, and both have the same value.
    outcome = await kv.swap(key, value, expected, lease)
    if outcome.swapped:
        return outcome
    found = await kv.get(key)
    is_ours = found is not None and found.value == value
    return KvSwap(is_ours, found.revision if found else ABSENT)
