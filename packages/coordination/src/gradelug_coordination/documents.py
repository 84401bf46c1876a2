"""A document published to every member: immutable buckets and one head that only moves on."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import typing as t
import uuid
from dataclasses import asdict, dataclass, field

from .exceptions import CoordinationError, CorruptBucket, Raced
from .kv import ABSENT, KeyValue, KvEntry, swap_surely

HEAD = "head"
BUCKETS = "buckets/"
KEPT_REVISIONS = 16
PARALLEL_FETCHES = 8
"""Buckets fetched at once: enough for a slow service, few enough for its rate."""


@dataclass(slots=True, frozen=True)
class Head:
    """Names the buckets of the document in force.

    Parameters
    ----------
    revision : int
        Grows by one with every accepted change; 0 before the first.
    buckets : list of str
        Digests of the buckets, in order.
    operation : str
        Unique to the attempt that wrote it.
    author : str
        Who published it.
    retired : list of (int, str)
        Buckets no longer used, with the revision that dropped them; deleted some revisions
        later, when nobody fetches them any more.
    """

    revision: int = 0
    buckets: list[str] = field(default_factory=list)
    operation: str = ""
    author: str = ""
    retired: list[tuple[int, str]] = field(default_factory=list)

    @classmethod
    def decode(cls, value: bytes) -> Head:
        """Read a head from its record."""
        data = json.loads(value)
        data["retired"] = [(int(revision), digest) for revision, digest in data["retired"]]
        return cls(**data)

    def encode(self) -> bytes:
        """Return the head's record."""
        return json.dumps(asdict(self), sort_keys=True).encode()


class BucketSource(t.Protocol):
    """Where buckets come from: the platform's service, or a peer during its outage."""

    async def fetch(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Return those of the buckets that the source holds."""
        ...


class KvBuckets:
    """Buckets in the key-value service.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix below which the buckets lie; outside every mirror.
    """

    __slots__ = ("_kv", "_root")

    def __init__(self, kv: KeyValue, root: str) -> None:
        self._kv = kv
        self._root = root

    async def fetch(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Return those of the buckets that the service holds."""
        limit = asyncio.Semaphore(PARALLEL_FETCHES)
        entries = await asyncio.gather(*(self._get(digest, limit) for digest in digests))
        return {
            digest: entry.value
            for digest, entry in zip(digests, entries, strict=True)
            if entry is not None
        }

    async def _get(self, digest: str, limit: asyncio.Semaphore) -> KvEntry | None:
        async with limit:
            return await self._kv.get(f"{self._root}{BUCKETS}{digest}")


class Publisher:
    """Publishes a document; of two racing operators one wins and the other is told.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    root : str
        Prefix of the mirrored keys; the head lies below it.
    store : str
        Prefix of the buckets.
    """

    __slots__ = ("_kv", "_root", "_store")

    def __init__(self, kv: KeyValue, root: str, store: str) -> None:
        self._kv = kv
        self._root = root
        self._store = store

    async def head(self) -> tuple[Head, int]:
        """Return the head in force and the service's revision of its record."""
        entry = await self._kv.get(f"{self._root}{HEAD}")
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
            The revision that the change was made from.
        author : str
            Who publishes.

        Raises
        ------
        Raced
            If another revision is in force.
        KvUnavailable
            If it is unknown whether the change was accepted; ask for the head later.
        """
        old, expected = await self.head()
        if old.revision != base:
            raise Raced(old.revision)
        await self._write_buckets(buckets, set(old.buckets))
        head = _succeed(old, list(buckets), author)
        outdated = await self._find_outdated(old, head)
        outcome = await swap_surely(self._kv, f"{self._root}{HEAD}", head.encode(), expected)
        if not outcome.swapped:
            current, _ = await self.head()
            raise Raced(current.revision)
        await self._delete(outdated)
        return head

    async def _write_buckets(self, buckets: t.Mapping[str, bytes], held: set[str]) -> None:
        for digest, content in buckets.items():
            if digest in held:
                continue
            key = f"{self._store}{BUCKETS}{digest}"
            found = await self._kv.get(key)
            # A bucket that is there already is written anew, so that its revision changes and
            # a deletion decided on by an earlier publisher no longer applies to it.
            await swap_surely(self._kv, key, content, found.revision if found else ABSENT)

    async def _find_outdated(self, old: Head, head: Head) -> list[KvEntry]:
        kept = {digest for _, digest in head.retired} | set(head.buckets)
        outdated = [digest for _, digest in old.retired if digest not in kept]
        found = [await self._kv.get(f"{self._store}{BUCKETS}{digest}") for digest in outdated]
        return [entry for entry in found if entry is not None]

    async def _delete(self, entries: list[KvEntry]) -> None:
        # The change is in force already; a bucket left behind costs space only.
        with contextlib.suppress(CoordinationError):
            for entry in entries:
                await self._kv.delete(entry.key, entry.revision)


class Follower:
    """Brings newer heads into force, in order of revision and never back.

    Parameters
    ----------
    sources : sequence of BucketSource
        Asked in turn for what is missing.
    install : callable
        Coroutine function that brings ``(head, contents)`` into force; `contents` are the
        buckets' contents in the head's order.
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
        """Contents of the buckets in force, by digest."""
        return self._contents

    async def offer(self, head: Head) -> bool:
        """Bring `head` into force if it is newer; tell whether it is in force now.

        Raises
        ------
        CoordinationError
            If no source holds a bucket; the revision in force stays.
        """
        if head.revision <= self.head.revision:
            return head.revision == self.head.revision
        contents = {d: self._contents[d] for d in head.buckets if d in self._contents}
        await self._fetch_missing(head, contents)
        if head.revision <= self.head.revision:
            # A newer head came into force while this one was being fetched.
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
            raise failure or CoordinationError(f"no source holds bucket {missing[0]}")


def _succeed(old: Head, buckets: list[str], author: str) -> Head:
    revision = old.revision + 1
    retired = [
        (dropped, digest)
        for dropped, digest in old.retired
        if dropped > revision - KEPT_REVISIONS and digest not in buckets
    ]
    retired += [(revision, digest) for digest in old.buckets if digest not in buckets]
    return Head(revision, buckets, uuid.uuid4().hex, author, retired)
