"""Origins of streams in the platform's store, which outlive all instances.

Written by the planner that collects the origins, while several software versions serve. Each entry
holds the streams that began since the last one, and expires with its lease. All instances read the
entries together with the rest of the store.
"""

from __future__ import annotations

import asyncio
import typing as t
from collections import deque

import logbook
from google.protobuf.message import DecodeError
from gradelug_coordination import ABSENT, CoordinationError, KeyValue, KvEntry, Mirror
from gradelug_policy.stream_origins import MARK_BYTES, MAX_LIFETIME_S, StreamOrigin
from gradelug_wire import placement_pb2 as pb

log = logbook.Logger("stream origins")
PREFIX = "gradelug/streams/"
WRITE_INTERVAL_S = 0.5
LEASE_TERM_S = 10.0
"""Time for which new entries are tied to the same lease, in seconds."""
SLOTS = int((MAX_LIFETIME_S + LEASE_TERM_S) / WRITE_INTERVAL_S) + 20
"""Number of keys, used in turn: those of all entries that have not expired, and some spare ones."""
MAX_STREAMS_PER_ENTRY = 512
"""Bounds what all instances read of the store to 8 KB a second. Streams beyond it are not stored;
they are lost only together with the planner and the instance that began them."""


class OriginRecord:
    """Reads and writes the entries of stream origins.

    Parameters
    ----------
    kv : KeyValue
        The platform's key-value service.
    mirror : Mirror
        Local copy of its entries.
    clock : callable
        The runtime's clock.
    """

    __slots__ = (
        "_clock",
        "_kv",
        "_lease",
        "_leased_at",
        "_mirror",
        "_read",
        "_slot",
        "_unwritten",
        "skipped",
    )

    def __init__(self, kv: KeyValue, mirror: Mirror, clock: t.Callable[[], float]) -> None:
        self._kv = kv
        self._mirror = mirror
        self._clock = clock
        self._lease = 0
        self._leased_at = float("-inf")
        self._slot = 0
        self._unwritten: deque[tuple[bytes, StreamOrigin]] = deque(maxlen=MAX_STREAMS_PER_ENTRY)
        self._read: dict[str, tuple[int, dict[bytes, StreamOrigin]]] = {}
        """Revision and origins of each entry that was read."""
        self.skipped = 0
        """Number of streams that were not stored because there were too many."""

    def add(self, mark: bytes, origin: StreamOrigin) -> None:
        """Schedule a stream to be written with the next entry."""
        if len(self._unwritten) == MAX_STREAMS_PER_ENTRY:
            self.skipped += 1
        self._unwritten.append((mark, origin))

    def find(self, mark: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, None if no entry has it.

        The newest entry counts if a caller uses an identifier again.
        """
        newest = max(
            ((revision, found[mark]) for revision, found in self._entries() if mark in found),
            default=None,
        )
        return newest[1] if newest is not None else None

    def origins(self) -> set[StreamOrigin]:
        """Return the origins that entries hold."""
        return {origin for _, found in self._entries() for origin in found.values()}

    async def run(self) -> None:
        """Write scheduled streams until cancelled."""
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            if not self._unwritten:
                continue
            try:
                await self._write()
            except CoordinationError as exc:
                # The streams stay scheduled.
                log.info("write failed; retrying", why=repr(exc))
                self._lease = 0

    async def _write(self) -> None:
        now = self._clock()
        if not self._lease or now - self._leased_at > LEASE_TERM_S:
            self._lease = await self._kv.grant_lease(MAX_LIFETIME_S + LEASE_TERM_S)
            self._leased_at = now
        written = list(self._unwritten)
        key = self._next_free_key()
        if key is None:
            log.warning("no free key for the origins of streams", streams=len(written))
            return
        swap = await self._kv.swap(key, _encode(written), ABSENT, self._lease)
        if not swap.swapped:
            # An earlier planner used the key, or an answer was lost; the next one is tried.
            return
        for item in written:
            if self._unwritten and self._unwritten[0] == item:
                self._unwritten.popleft()

    def _next_free_key(self) -> str | None:
        for _ in range(SLOTS):
            self._slot = (self._slot + 1) % SLOTS
            key = f"{PREFIX}{self._slot}"
            if key not in self._mirror.entries:
                return key
        return None

    def _entries(self) -> t.Iterator[tuple[int, dict[bytes, StreamOrigin]]]:
        for slot in range(SLOTS):
            key = f"{PREFIX}{slot}"
            entry = self._mirror.entries.get(key)
            if entry is None:
                self._read.pop(key, None)
                continue
            known = self._read.get(key)
            if known is None or known[0] != entry.revision:
                known = self._read[key] = (entry.revision, _decode(entry))
            yield known


def group_marks(
    streams: t.Iterable[tuple[bytes, StreamOrigin]],
) -> dict[StreamOrigin, bytes]:
    """Return the concatenated marks of streams by their origin."""
    grouped: dict[StreamOrigin, bytearray] = {}
    for mark, origin in streams:
        grouped.setdefault(origin, bytearray()).extend(mark)
    return {origin: bytes(marks) for origin, marks in grouped.items()}


def split_marks(marks: bytes) -> t.Iterator[bytes]:
    """Yield the marks in a concatenation of them."""
    for start in range(0, len(marks) - MARK_BYTES + 1, MARK_BYTES):
        yield marks[start : start + MARK_BYTES]


def _encode(streams: t.Iterable[tuple[bytes, StreamOrigin]]) -> bytes:
    message = pb.FromGateway()
    for origin, marks in group_marks(streams).items():
        message.streams.add(service=origin.service, software=origin.software, marks=marks)
    return message.SerializeToString()


def _decode(entry: KvEntry) -> dict[bytes, StreamOrigin]:
    try:
        message = pb.FromGateway.FromString(entry.value)
    except DecodeError as exc:
        log.error("malformed entry of another writer", key=entry.key, why=repr(exc))
        return {}
    return {
        mark: StreamOrigin(group.service, group.software)
        for group in message.streams
        for mark in split_marks(group.marks)
    }
