"""Exceptions that the coordination package raises."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of all exceptions in this package."""


class KvUnavailable(CoordinationError):
    """The key-value service did not answer; a write may or may not have been applied."""


class KvThrottled(CoordinationError):
    """The key-value service rejected the call because of its rate limit; nothing was applied.

    Attributes
    ----------
    retry_after_s : float
        Delay before the next call, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        super().__init__(f"throttled; retry after {retry_after_s:.3f} s")


class WatchCompacted(CoordinationError):
    """The service has discarded the watch's revision; list the keys and watch from there."""


class RevisionConflict(CoordinationError):
    """Another writer changed the record first.

    Attributes
    ----------
    revision : int
        The current revision.
    """

    def __init__(self, revision: int) -> None:
        self.revision = revision
        super().__init__(f"another change was accepted first; revision {revision} is current")


class CorruptBucket(CoordinationError):
    """A bucket's content does not match its digest."""


class InvalidRecord(CoordinationError):
    """A record of the key-value service cannot be decoded.

    Attributes
    ----------
    key : str
        Key of the record.
    why : str
        What is invalid.
    """

    def __init__(self, key: str, why: str) -> None:
        self.key = key
        self.why = why
        super().__init__(f"the record {key!r} is invalid: {why}")
