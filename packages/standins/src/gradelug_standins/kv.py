"""A key-value service in memory, with the failures that the real one has.

It implements `gradelug_coordination.KeyValue` for tests; `kv_http` puts it behind HTTP.
"""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass, field, replace

from gradelug_coordination import (
    KvEntry,
    KvEvent,
    KvListing,
    KvSwap,
    KvThrottled,
    KvUnavailable,
    WatchCompacted,
    era_of,
    position,
    revision_of,
)

KEPT_EVENTS = 10_000
MAX_VALUE_BYTES = 1_000_000


@dataclass(slots=True)
class KvFaults:
    """What goes wrong.

    Parameters
    ----------
    down : bool
        No call is answered and watches break.
    delay_s : float
        Added to every call.
    lose_answers : int
        So many writes take effect without an answer.
    calls_per_s : float
        Calls beyond this rate are refused; 0 for no limit.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    calls_per_s: float = 0.0


@dataclass(slots=True, frozen=True)
class KvCopy:
    """What the service held at some moment."""

    entries: tuple[KvEntry, ...]
    revision: int


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    timer: asyncio.TimerHandle | None = None
    keys: set[str] = field(default_factory=set)


class MemoryKv:
    """The service; leases lapse by the runtime's clock."""

    def __init__(self, faults: KvFaults | None = None) -> None:
        self.faults = faults or KvFaults()
        self.revision = 1
        self.calls = 0
        self.writes = 0
        self._entries: dict[str, KvEntry] = {}
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1000
        self._events: list[KvEvent] = []
        self._first_kept = 1
        self._changed = asyncio.Event()
        self._tokens = 0.0
        self._tokens_at = float("-inf")

    async def get(self, key: str) -> KvEntry | None:
        """Return the entry, or None."""
        await self._enter()
        return self._entries.get(key)

    async def list(self, prefix: str) -> KvListing:
        """Return all entries below a prefix."""
        await self._enter()
        entries = tuple(e for key, e in sorted(self._entries.items()) if key.startswith(prefix))
        return KvListing(entries, self.revision)

    async def swap(self, key: str, value: bytes, expected: int, lease: int = 0) -> KvSwap:
        """Write if the key's revision is `expected`."""
        await self._enter()
        if len(value) > MAX_VALUE_BYTES:
            raise KvUnavailable("the value is too large")
        found = self._entries.get(key)
        if (found.revision if found else 0) != expected:
            return KvSwap(False)
        if lease and lease not in self._leases:
            raise KvUnavailable("the lease has lapsed")
        self._detach(key)
        entry = KvEntry(key, value, self.revision + 1, lease)
        self._entries[key] = entry
        if lease:
            self._leases[lease].keys.add(key)
        self._record([(key, entry)])
        self._lose_answer()
        return KvSwap(True, entry.revision)

    async def delete(self, key: str, expected: int) -> bool:
        """Delete if the key's revision is `expected`."""
        await self._enter()
        found = self._entries.get(key)
        if found is None or found.revision != expected:
            return False
        self._detach(key)
        del self._entries[key]
        self._record([(key, None)])
        self._lose_answer()
        return True

    async def grant_lease(self, ttl_s: float) -> int:
        """Return a new lease."""
        await self._enter()
        self._next_lease += 1
        self._leases[self._next_lease] = _Lease(ttl_s)
        self._set_timer(self._next_lease)
        return self._next_lease

    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; False if it has lapsed."""
        await self._enter()
        if lease not in self._leases:
            return False
        self._set_timer(lease)
        self._lose_answer()
        return True

    async def revoke_lease(self, lease: int) -> None:
        """End a lease."""
        await self._enter()
        self.lapse(lease)

    async def watch(
        self, prefix: str, after: int, wait_s: t.Callable[[], float] | None = None
    ) -> t.AsyncIterator[tuple[KvEvent, ...]]:
        """Yield the changes below a prefix made after a revision."""
        await self._enter()
        seen = after
        while True:
            if self.faults.down:
                raise KvUnavailable("the service is down")
            if seen > self.revision:
                raise WatchCompacted(f"there has been no revision {seen}")
            if seen + 1 < self._first_kept:
                raise WatchCompacted(f"revisions before {self._first_kept} are gone")
            events = tuple(e for e in self._since(seen) if e.key.startswith(prefix))
            seen = self.revision
            if events:
                yield events
                continue
            await self._changed.wait()

    def lapse(self, lease: int) -> None:
        """Let a lease end now; its entries vanish in one revision."""
        known = self._leases.pop(lease, None)
        if known is None:
            return
        if known.timer is not None:
            known.timer.cancel()
        gone = sorted(known.keys)
        for key in gone:
            del self._entries[key]
        if gone:
            self._record([(key, None) for key in gone])

    def set_down(self, down: bool) -> None:
        """Take the service down or bring it back."""
        self.faults.down = down
        self._wake()

    def has_lease(self, lease: int) -> bool:
        """Tell whether a lease has not lapsed."""
        return lease in self._leases

    def copy(self) -> KvCopy:
        """Return a copy to which the service may go back."""
        return KvCopy(tuple(self._entries.values()), revision_of(self.revision))

    def go_back(self, copy: KvCopy) -> None:
        """Lose what was written since a copy, and all leases; give revisions out again."""
        for lease in list(self._leases.values()):
            if lease.timer is not None:
                lease.timer.cancel()
        self._leases.clear()
        era = era_of(self.revision) + 1
        self.revision = position(era, copy.revision)
        self._entries = {
            entry.key: replace(entry, revision=position(era, revision_of(entry.revision)))
            for entry in copy.entries
            if not entry.lease
        }
        self._events.clear()
        self._first_kept = self.revision + 1
        self._wake()

    def entries(self) -> dict[str, KvEntry]:
        """Return a copy of everything, for checks."""
        return dict(self._entries)

    def _set_timer(self, lease: int) -> None:
        known = self._leases[lease]
        if known.timer is not None:
            known.timer.cancel()
        loop = asyncio.get_running_loop()
        known.timer = loop.call_later(known.ttl_s, self.lapse, lease)

    def _detach(self, key: str) -> None:
        found = self._entries.get(key)
        if found is not None and found.lease in self._leases:
            self._leases[found.lease].keys.discard(key)

    def _since(self, revision: int) -> t.Iterator[KvEvent]:
        # Events are in order of revision; the newest are few.
        newest = []
        for event in reversed(self._events):
            if event.revision <= revision:
                break
            newest.append(event)
        return reversed(newest)

    def _record(self, changes: t.Iterable[tuple[str, KvEntry | None]]) -> None:
        self.revision += 1
        self.writes += 1
        self._events.extend(KvEvent(key, entry, self.revision) for key, entry in changes)
        if len(self._events) > KEPT_EVENTS:
            del self._events[: KEPT_EVENTS // 2]
            self._first_kept = self._events[0].revision
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _lose_answer(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise KvUnavailable("the answer was lost")

    async def _enter(self) -> None:
        self.calls += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise KvUnavailable("the service is down")
        if self.faults.calls_per_s:
            self._throttle()

    def _throttle(self) -> None:
        now = asyncio.get_running_loop().time()
        rate = self.faults.calls_per_s
        elapsed = min(1.0, now - self._tokens_at)
        self._tokens = min(rate, self._tokens + elapsed * rate)
        self._tokens_at = now
        if self._tokens < 1:
            raise KvThrottled(1 / rate)
        self._tokens -= 1
