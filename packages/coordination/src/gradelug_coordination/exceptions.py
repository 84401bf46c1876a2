"""Errors of the coordination package."""

from __future__ import annotations


class CoordinationError(Exception):
    """Base class of everything this package raises."""


class KvUnavailable(CoordinationError):
    """The key-value service did not answer; a write may or may not have taken effect."""


class KvThrottled(CoordinationError):
    """The key-value service refused the call for its rate; nothing took effect.

    Attributes
    ----------
    retry_after_s : float
        How long to wait before the next call, in seconds.
    """

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s
        super().__init__(f"throttled; retry after {retry_after_s:.3f} s")


class WatchCompacted(CoordinationError):
    """The watch's revision is no longer kept; list again and resume from there."""


class Raced(CoordinationError):
    """Another writer changed the record first.

    Attributes
    ----------
    revision : int
        The revision now in force.
    """

    def __init__(self, revision: int) -> None:
        self.revision = revision
        super().__init__(f"another change was accepted first; revision {revision} is in force")


class CorruptBucket(CoordinationError):
    """A bucket's content does not match its digest."""
