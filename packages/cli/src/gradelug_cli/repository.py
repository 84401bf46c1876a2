"""The configuration in force, read from and published to the platform's key-value service."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

from gradelug_backends.keys import LIVE, STORE
from gradelug_config import Document
from gradelug_config.buckets import join, split
from gradelug_coordination import (
    CoordinationError,
    Head,
    KeyValue,
    KvBuckets,
    Publisher,
    RevisionConflict,
)

from .exceptions import EXIT_FAILED, CommandError

MAX_TRIES = 5


@dataclass(slots=True, frozen=True)
class Current:
    """The configuration in force.

    Parameters
    ----------
    revision : int
        0 if none has been applied yet.
    document : Document
        Empty then.
    author : str
        Who applied it.
    """

    revision: int
    document: Document
    author: str


class Repository:
    """Reads and publishes documents.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    """

    __slots__ = ("_buckets", "_publisher")

    def __init__(self, kv: KeyValue) -> None:
        self._publisher = Publisher(kv, LIVE, STORE)
        self._buckets = KvBuckets(kv, STORE)

    async def current(self) -> Current:
        """Return the configuration in force; raises `CommandError`."""
        try:
            head, _ = await self._publisher.head()
            return await self._read(head)
        except CoordinationError as exc:
            raise CommandError(EXIT_FAILED, f"the key-value service: {exc}") from exc

    async def publish(self, document: Document, base: int, author: str) -> int:
        """Publish a document as successor of revision `base` and return its revision.

        Raises
        ------
        RevisionConflict
            If another revision is in force.
        CommandError
            If the service does not answer; the message says whether the change may be in
            force all the same.
        """
        buckets = {bucket.digest: bucket.content for bucket in split(document)}
        try:
            head = await self._publisher.publish(buckets, base, author)
        except RevisionConflict:
            raise
        except CoordinationError as exc:
            message = f"the key-value service: {exc}; `gradelug status` tells what is in force"
            raise CommandError(EXIT_FAILED, message) from exc
        return head.revision

    async def change(self, edit: t.Callable[[Document], Document], author: str) -> int:
        """Publish an edit that applies to any document, again if another change came first."""
        for _ in range(MAX_TRIES):
            current = await self.current()
            try:
                return await self.publish(edit(current.document), current.revision, author)
            except RevisionConflict:
                continue
        raise CommandError(EXIT_FAILED, "others keep changing the configuration; try again")

    async def _read(self, head: Head) -> Current:
        if not head.revision:
            return Current(0, Document(), "")
        contents = await self._buckets.fetch(head.buckets)
        missing = [digest for digest in head.buckets if digest not in contents]
        if missing:
            raise CoordinationError(f"bucket {missing[0]} is missing")
        document = join([contents[digest] for digest in head.buckets])
        return Current(head.revision, document, head.author)
