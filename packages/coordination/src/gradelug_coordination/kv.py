"""The interface to the platform's key-value service, and writes whose answer may be lost."""

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
        Position of the service at the entry's last change (`positions`); grows with every change of
        any key, also when the service comes back from an older copy.
    lease : int
        Lease the entry is tied to, 0 if none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


@dataclass(slots=True, frozen=True)
class KvListing:
    """All entries below a prefix, as of one revision."""

    entries: tuple[KvEntry, ...]
    revision: int


@dataclass(slots=True, frozen=True)
class KvSwap:
    """Outcome of a compare-and-swap.

    Parameters
    ----------
    swapped : bool
        Whether the write took effect.
    revision : int
        The entry's revision after a write that took effect.
    """

    swapped: bool
    revision: int = 0


@dataclass(slots=True, frozen=True)
class KvEvent:
    """A change seen by a watch; `entry` is None when the key was deleted."""

    key: str
    entry: KvEntry | None
    revision: int


class KeyValue(t.Protocol):
    """What the platform's key-value service offers.

    Every call may raise `KvUnavailable` or `KvThrottled`.
    """

    async def get(self, key: str) -> KvEntry | None:
        """Return the entry, or None."""
        ...

    async def list(self, prefix: str) -> KvListing:
        """Return all entries below a prefix."""
        ...

    async def swap(self, key: str, value: bytes, expected: int, lease: int = 0) -> KvSwap:
        """Write if the key's revision is `expected` (`ABSENT`: if there is no such key)."""
        ...

    async def delete(self, key: str, expected: int) -> bool:
        """Delete if the key's revision is `expected`; tell whether it was deleted."""
        ...

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease that lapses `ttl_s` seconds after its last renewal."""
        ...

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has lapsed."""
        ...

    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete the entries tied to it."""
        ...

    def watch(self, prefix: str, after: int) -> t.AsyncIterator[tuple[KvEvent, ...]]:
        """Yield the changes below a prefix made after a revision; counts as one call.

        Raises
        ------
        WatchCompacted
            If the revision is no longer kept.
        """
        ...


async def swap_surely(
    kv: KeyValue, key: str, value: bytes, expected: int, lease: int = 0
) -> KvSwap:
    """Compare and swap, and find out what happened when the answer is lost.

    `value` must be unique to this attempt (it carries an operation id), so that reading it
    back tells our own write from another's.

    Raises
    ------
    KvUnavailable
        If the read-back fails too; the write may still take effect.
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
    # Nothing has changed yet. The lost call may still arrive, but only one of the two can
    # take effect, and both write the same value.
    outcome = await kv.swap(key, value, expected, lease)
    if outcome.swapped:
        return outcome
    found = await kv.get(key)
    mine = found is not None and found.value == value
    return KvSwap(mine, found.revision if found else ABSENT)
