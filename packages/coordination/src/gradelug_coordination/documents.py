"""Publishes a document to all members as immutable buckets and a head whose revision only grows.

The publisher writes the buckets and then replaces the head by compare-and-swap. Followers fetch the
buckets that a new head lists and install the document.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import typing as t
import uuid
from dataclasses import asdict, dataclass, field

from .exceptions import CoordinationError, CorruptBucket, RevisionConflict
from .kv import ABSENT, KeyValue, KvEntry, swap_and_confirm
from .records import Record

HEAD_KEY = "head"
BUCKETS_PREFIX = "buckets/"
RETAINED_REVISIONS = 16
MAX_CONCURRENT_FETCHES = 8
"""Number of buckets fetched concurrently; limits the request rate at a slow service."""


@dataclass(slots=True, frozen=True)
class Head:
    """Lists the buckets of the current document.

    Parameters
    ----------
    revision : int
        Grows by one with every accepted change; 0 before the first.
    buckets : list of str
        Digests of the buckets, in order.
    operation : str
        Unique identifier of the attempt that wrote the head.
    author : str
        Name of the user who published the document.
    retired : list of (int, str)
        Unused buckets, each with the revision that dropped it. They are deleted some revisions
        later, when no follower fetches them.
    """

    revision: int = 0
    buckets: list[str] = field(default_factory=list)
    operation: str = ""
    author: str = ""
    retired: list[tuple[int, str]] = field(default_factory=list)

    @classmethod
    def decode(cls, value: bytes) -> Head:
        """Decode a head from its stored record; raises `InvalidRecord`."""
        record = Record(HEAD_KEY, value)
        return cls(
            record.integer("revision"),
            record.texts("buckets"),
            record.text("operation"),
            record.text("author"),
            record.pairs("retired"),
        )

    def encode(self) -> bytes:
        """Encode the head as its stored record."""
        return json.dumps(asdict(self), sort_keys=True).encode()


class BucketSource(t.Protocol):
    """Source of buckets: the key-value service, or a peer while the service is unavailable."""

    async def fetch(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Return those of the requested buckets that the source has, by digest."""
        ...


class KvBuckets:
    """Reads buckets from the key-value service.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of the buckets' keys; not part of any mirrored prefix.
    """

    __slots__ = ("_kv", "_root")

    def __init__(self, kv: KeyValue, root: str) -> None:
        self._kv = kv
        self._root = root

    async def fetch(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Return those of the requested buckets that the service has, by digest."""
        limit = asyncio.Semaphore(MAX_CONCURRENT_FETCHES)
        entries = await asyncio.gather(*(self._get(digest, limit) for digest in digests))
        return {
            digest: entry.value
            for digest, entry in zip(digests, entries, strict=True)
            if entry is not None
        }

    async def _get(self, digest: str, limit: asyncio.Semaphore) -> KvEntry | None:
        async with limit:
            return await self._kv.get(f"{self._root}{BUCKETS_PREFIX}{digest}")


class Publisher:
    """Publishes a document; of two concurrent changes one raises `RevisionConflict`.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of the mirrored keys, which include the head.
    store : str
        Prefix of the buckets' keys.
    """

    __slots__ = ("_kv", "_root", "_store")

    def __init__(self, kv: KeyValue, root: str, store: str) -> None:
        self._kv = kv
        self._root = root
        self._store = store

    async def head(self) -> tuple[Head, int]:
        """Return the current head and the service's revision of its record."""
        entry = await self._kv.get(f"{self._root}{HEAD_KEY}")
        if entry is None:
            return Head(), ABSENT
        return Head.decode(entry.value), entry.revision

    async def publish(self, buckets: t.Mapping[str, bytes], base: int, author: str) -> Head:
        """Publish buckets as the successor of revision `base`.

        Parameters
        ----------
        buckets : mapping of str to bytes
            Contents by digest, in order.
        base : int
            The revision on which the change is based.
        author : str
            Name of the user who publishes.

        Raises
        ------
        RevisionConflict
            If the current revision is not `base`.
        KvUnavailable
            If it is unknown whether the change was accepted; read the head later to find out.
        """
        old, expected = await self.head()
        if old.revision != base:
            raise RevisionConflict(old.revision)
        await self._write_buckets(buckets, set(old.buckets))
        head = _build_next_head(old, list(buckets), author)
        outdated = await self._find_outdated(old, head)
        outcome = await swap_and_confirm(
            self._kv, f"{self._root}{HEAD_KEY}", head.encode(), expected
        )
        if not outcome.swapped:
            current, _ = await self.head()
            raise RevisionConflict(current.revision)
        await self._delete(outdated)
        return head

    async def _write_buckets(self, buckets: t.Mapping[str, bytes], existing: set[str]) -> None:
        for digest, content in buckets.items():
            if digest in existing:
                continue
            key = f"{self._store}{BUCKETS_PREFIX}{digest}"
            found = await self._kv.get(key)
            # Rewrite a bucket that exists already: this changes its revision, so that a deletion
            # which an earlier publisher has decided on does not match it.
            await swap_and_confirm(self._kv, key, content, found.revision if found else ABSENT)

    async def _find_outdated(self, old: Head, head: Head) -> list[KvEntry]:
        kept = {digest for _, digest in head.retired} | set(head.buckets)
        outdated = [digest for _, digest in old.retired if digest not in kept]
        found = [
            await self._kv.get(f"{self._store}{BUCKETS_PREFIX}{digest}") for digest in outdated
        ]
        return [entry for entry in found if entry is not None]

    async def _delete(self, entries: list[KvEntry]) -> None:
        # The change is already published; a bucket that is not deleted only takes up space.
        with contextlib.suppress(CoordinationError):
            for entry in entries:
                await self._kv.delete(entry.key, entry.revision)


class Follower:
    """Installs new heads in ascending order of revision.

    Parameters
    ----------
    sources : sequence of BucketSource
        Sources of missing buckets, queried in this order.
    install : callable
        Coroutine function that installs ``(head, contents)``; `contents` are the buckets'
        contents in the head's order.

    Attributes
    ----------
    head : Head
        The installed head; revision 0 before the first.
    """

    __slots__ = ("_contents", "_install", "_sources", "head")

    def __init__(
        self,
        sources: t.Sequence[BucketSource],
        install: t.Callable[[Head, dict[str, bytes]], t.Awaitable[None]],
    ) -> None:
        self._sources = sources
        self._install = install
        self._contents: dict[str, bytes] = {}
        self.head = Head()

    @property
    def contents(self) -> t.Mapping[str, bytes]:
        """Contents of the installed buckets, by digest."""
        return self._contents

    async def offer(self, head: Head) -> bool:
        """Install `head` if it is newer; return whether it is the installed one.

        Raises
        ------
        CoordinationError
            If no source has a bucket; the installed revision stays.
        """
        if head.revision <= self.head.revision:
            return head.revision == self.head.revision
        contents = {d: self._contents[d] for d in head.buckets if d in self._contents}
        await self._fetch_missing(head, contents)
        if head.revision <= self.head.revision:
            # A newer head was installed while this one's buckets were being fetched.
            return False
        ordered = {digest: contents[digest] for digest in head.buckets}
        await self._install(head, ordered)
        self._contents = ordered
        self.head = head
        return True

    async def _fetch_missing(self, head: Head, contents: dict[str, bytes]) -> None:
        failure: CoordinationError | None = None
        for source in self._sources:
            missing = [digest for digest in head.buckets if digest not in contents]
            if not missing:
                return
            try:
                found = await source.fetch(missing)
            except CoordinationError as exc:
                failure = exc
                continue
            for digest, content in found.items():
                if hashlib.sha256(content).hexdigest() != digest:
                    raise CorruptBucket(f"bucket {digest} does not match its digest")
                contents[digest] = content
        missing = [digest for digest in head.buckets if digest not in contents]
        if missing:
            raise failure or CoordinationError(f"no source has bucket {missing[0]}")


def _build_next_head(old: Head, buckets: list[str], author: str) -> Head:
    revision = old.revision + 1
    retired = [
        (dropped, digest)
        for dropped, digest in old.retired
        if dropped > revision - RETAINED_REVISIONS and digest not in buckets
    ]
    retired += [(revision, digest) for digest in old.buckets if digest not in buckets]
    return Head(revision, buckets, uuid.uuid4().hex, author, retired)
