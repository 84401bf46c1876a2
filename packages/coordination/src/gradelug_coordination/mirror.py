"""Maintains a local copy of the keys below a prefix with listings and a watch."""

from __future__ import annotations

import asyncio
import random
import typing as t

import logbook

from .backoff import Backoff
from .exceptions import CoordinationError, KvThrottled, WatchCompacted
from .kv import KeyValue, KvEntry, KvEvent
from .positions import era_of

log = logbook.Logger("mirror")
INITIAL_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 5.0
MAX_POLL_DEFERRAL_S = 12.0
"""Longest interval between two polls while polls are deferred because other instances send the
changes."""
MIN_RELIST_INTERVAL_S = 1.0
ANSWER_MARGIN_S = 0.3
"""An answer to a watch is due this long after the end of the poll interval, in seconds, also
without changes: until then a watch over a silent connection looks like one without changes."""
MIN_WATCH_WAIT_S = 0.1
"""Shortest wait for changes; an answer of the service takes some milliseconds."""
MIN_WAIT_S = 0.001
"""Shorter waits are skipped, since the clock may not resolve them."""
RELIST_AFTER_INTERVALS = 2.0
"""If the last answer is older than this many poll intervals, or than this many seconds where the
interval is less than a second, the keys are listed instead: a watch delivers all intermediate
states, an estimated 400 KB after 8 s with 45 replicas, or 0.6 s of a link of 5 Mbit/s."""


class Mirror:
    """Keeps `entries` equal to the service's entries, as of the last poll.

    Several components share one mirror, since the service counts a pending watch as a call.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    prefix : str
        Prefix of the mirrored keys.
    rng : random.Random
        Source of jitter for retries after an outage.
    max_retry_delay_s : float
        Upper limit of the delay between retries, in seconds.
    poll_interval_s : float
        Interval between polls after changes, in seconds; each poll is a call.
    restore_grace_s : float
        Time after the earliest possible end of an outage for which absent keys count as missing,
        in seconds: the outage may have prevented their writers from renewing them, and they write
        them again.
    is_polled : bool
        Whether each step of the service's watch is a call that starts when the next changes are
        requested, so that its answer includes all earlier changes.
    """

    __slots__ = (
        "_backoff",
        "_interrupted",
        "_is_polled",
        "_poll_requested",
        "_kv",
        "_restore_grace_s",
        "_listeners",
        "_disconnected_at",
        "_last_failed_at",
        "_requested_at",
        "_prefix",
        "_proven_from",
        "_deferred_until",
        "entries",
        "polled_at",
        "missing",
        "proven_at",
        "revision",
        "poll_interval_s",
        "settled_at",
        "synced",
    )

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        rng: random.Random,
        max_retry_delay_s: float = MAX_RETRY_DELAY_S,
        poll_interval_s: float = 0.0,
        restore_grace_s: float = 0.0,
        is_polled: bool = False,
    ) -> None:
        self._kv = kv
        self._prefix = prefix
        self._backoff = Backoff(INITIAL_RETRY_DELAY_S, max_retry_delay_s, rng)
        self.poll_interval_s = poll_interval_s
        self._deferred_until = float("-inf")
        self.polled_at = float("-inf")
        """When the service last answered."""
        self.proven_at = float("-inf")
        """The mirror includes all changes made before this time."""
        self._is_polled = is_polled
        self._restore_grace_s = restore_grace_s
        self.settled_at = float("-inf")
        """Keys that are missing from this time on were removed by their writers."""
        self._proven_from = float("-inf")
        """Until this time a restored copy may lack recent changes."""
        self._poll_requested = asyncio.Event()
        self._interrupted = False
        self._disconnected_at: float | None = None
        self._requested_at = float("-inf")
        """When the last call was sent."""
        self._last_failed_at = float("-inf")
        """When the last call without an answer was sent; the service may be back since then."""
        self._listeners: list[t.Callable[[], None]] = []
        self.entries: dict[str, KvEntry] = {}
        self.missing: set[str] = set()
        """Keys that may have been removed by an outage rather than by their writers."""
        self.revision = 0
        self.synced = False
        """Whether the watch is running; False from an outage until the next listing."""

    def request_poll(self) -> None:
        """Poll for changes without further delay."""
        self._poll_requested.set()

    @property
    def is_disconnected(self) -> bool:
        """Whether the service failed at the last call; False before its first answer."""
        return self._disconnected_at is not None

    def defer_polls_until(self, at: float) -> None:
        """Defer polls until a given time, since other instances send the changes to this one.

        Polls after an outage are not deferred: others send no change for a key that was removed
        here alone and is written again.
        """
        if asyncio.get_running_loop().time() < self.settled_at + self._restore_grace_s:
            return
        self._deferred_until = min(at, self.polled_at + MAX_POLL_DEFERRAL_S)

    def subscribe(self, listener: t.Callable[[], None]) -> None:
        """Register a listener that is called after every change."""
        self._listeners.append(listener)

    def entries_below(self, prefix: str) -> t.Iterator[KvEntry]:
        """Yield the entries below a prefix."""
        return (entry for key, entry in self.entries.items() if key.startswith(prefix))

    async def run(self) -> None:
        """Update the mirror until cancelled."""
        while True:
            try:
                await self._list()
                self._backoff.reset()
                await self._watch()
                while True:
                    await self._list()
                    if not await self._wait_for_next_poll():
                        await self._watch()
            except WatchCompacted:
                continue
            except CoordinationError as exc:
                self._note_disconnected(exc)
                await asyncio.sleep(self._backoff.next_delay())

    def _note_disconnected(self, exc: CoordinationError) -> None:
        self.synced = False
        self._interrupted = True
        if self._disconnected_at is None or not isinstance(exc, KvThrottled):
            self._last_failed_at = max(self._requested_at, self.polled_at)
        if self._disconnected_at is None:
            self._disconnected_at = asyncio.get_running_loop().time()
            log.warning("store lost", prefix=self._prefix, revision=self.revision, why=repr(exc))

    def _note_reconnected(self) -> None:
        self.synced = True
        self._interrupted = False
        if self._disconnected_at is None:
            return
        now = asyncio.get_running_loop().time()
        away_s = now - self._disconnected_at
        self._disconnected_at = None
        self._settle_at(self._last_failed_at + self._restore_grace_s)
        log.info(
            "store regained",
            prefix=self._prefix,
            revision=self.revision,
            away_s=round(away_s, 2),
            missing=len(self.missing),
            last_failure_s=round(now - self._last_failed_at, 2),
            settled_in_s=round(self.settled_at - now, 2),
        )

    async def _list(self) -> None:
        requested_at = self._requested_at = asyncio.get_running_loop().time()
        listing = await self._kv.list(self._prefix)
        if listing.revision < self.revision:
            raise CoordinationError("the service answered with a revision below the mirrored one")
        entries = {entry.key: entry for entry in listing.entries}
        if self.is_from_restored_copy(listing.revision):
            self._note_restored(listing.revision)
        if self._interrupted:
            self.missing |= self.entries.keys()
        self.missing -= entries.keys()
        self.entries = entries
        self.revision = listing.revision
        self.polled_at = asyncio.get_running_loop().time()
        self._note_proven(requested_at)
        self._note_reconnected()
        self._notify()

    def _note_proven(self, requested_at: float) -> None:
        if asyncio.get_running_loop().time() >= self._proven_from:
            self.proven_at = requested_at

    def is_from_restored_copy(self, revision: int) -> bool:
        """Return whether the service was restored from a copy between the mirror and a position."""
        return bool(self.revision) and era_of(revision) > era_of(self.revision)

    def _note_restored(self, revision: int) -> None:
        """Count keys that the copy lacks as missing, since their writers restore them."""
        log.warning(
            "store was restored from a copy", prefix=self._prefix, known=self.revision, now=revision
        )
        self._interrupted = True
        self._proven_from = asyncio.get_running_loop().time() + self._restore_grace_s
        self._settle_at(self._proven_from)

    def _settle_at(self, at: float) -> None:
        """Count absent keys as missing until a given time, and notify listeners then."""
        loop = asyncio.get_running_loop()
        self.settled_at = at
        if at > loop.time():
            loop.call_at(at + MIN_WAIT_S, self._notify)

    async def _watch(self) -> None:
        """Apply changes until the last poll is so old that a listing transfers less data."""
        loop = asyncio.get_running_loop()
        self._requested_at = loop.time()
        wait_s = self._watch_wait_s if self._is_polled else None
        async for events in self._kv.watch(self._prefix, self.revision, wait_s):
            for event in events:
                if event.revision <= self.revision and event.entry is None:
                    continue
                self._apply_event(event)
            self.revision = max([self.revision, *(event.revision for event in events)])
            self.polled_at = loop.time()
            if self._is_polled:
                self._note_proven(self._requested_at)
            self._notify()
            if await self._wait_for_next_poll(bool(events)):
                return
            self._requested_at = loop.time()

    def _apply_event(self, event: KvEvent) -> None:
        self.missing.discard(event.key)
        if event.entry is not None:
            self.entries[event.key] = event.entry
            return
        self.entries.pop(event.key, None)
        if asyncio.get_running_loop().time() < self.settled_at:
            self.missing.add(event.key)

    def _watch_wait_s(self) -> float:
        due_at = self.polled_at + self.poll_interval_s + ANSWER_MARGIN_S
        return max(MIN_WATCH_WAIT_S, due_at - asyncio.get_running_loop().time())

    async def _wait_for_next_poll(self, has_changes: bool = True) -> bool:
        """Wait for the next poll; return whether a listing probably transfers less data by then.

        Polls are spaced after changes only: a watch without changes has waited already.
        """
        if not self.poll_interval_s:
            return False
        loop = asyncio.get_running_loop()
        while not self._poll_requested.is_set():
            spaced_until = self.polled_at + (self.poll_interval_s if has_changes else 0.0)
            wait_s = max(spaced_until, self._deferred_until) - loop.time()
            if wait_s < MIN_WAIT_S:
                break
            try:
                async with asyncio.timeout(wait_s):
                    await self._poll_requested.wait()
            except TimeoutError:
                # No poll was requested; polls may have been deferred further meanwhile.
                continue
        self._poll_requested.clear()
        return loop.time() - self.polled_at > RELIST_AFTER_INTERVALS * max(
            self.poll_interval_s, MIN_RELIST_INTERVAL_S
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
