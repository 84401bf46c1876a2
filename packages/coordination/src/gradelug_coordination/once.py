"""At-most-once execution: a key is reserved durably before its request is sent.

The keys are divided into shards. A shard has one record in the key-value service, changed only by
compare-and-swap. Any process may append to it; a process with outdated state fails the swap, reads
the record again and repeats its decision. Safety does not depend on a lease. Concurrent
reservations are written in batches, which bounds the number of writes a second under any load.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import typing as t
import uuid
from dataclasses import dataclass, field
from enum import Enum, StrEnum

import logbook

from .exceptions import CoordinationError, InvalidRecord, KvUnavailable
from .kv import ABSENT, KeyValue, KvEntry, KvSwap, swap_and_confirm
from .records import Record, as_list, as_number, as_text, decode_json

log = logbook.Logger("once")

SHARDS = 16
MAX_INLINE_RECORDS = 400
"""Number of records in the shard's own entry above which older ones are moved to an immutable
segment."""
RETAINED_INLINE_RECORDS = 100
"""Number of records that stay in the shard's own entry then, so that their outcome can still be
recorded."""


class OnceState(StrEnum):
    """State of a key's request."""

    RESERVED = "r"
    """The request may be running or may have run."""
    RAN = "d"
    """The request ran to completion."""
    RELEASED = "n"
    """The request was provably not run; the key may be reserved again."""


class OnceVerdict(Enum):
    """Result of a reservation."""

    FRESH = "fresh"
    """The key is reserved for this caller, which sends the request once."""
    RUNNING = "running"
    """The key is reserved, and the outcome of its request is unknown."""
    RAN = "ran"
    """The request has run."""
    MISMATCH = "mismatch"
    """The key was used for a different request."""


@dataclass(slots=True)
class OnceRecord:
    """Record of a key, which contains digests only.

    Parameters
    ----------
    key, body : str
        Digests of the caller's key and of the request, as hexadecimal text.
    state : OnceState
        State of the request.
    at : float
        When the record was created, in seconds of wall-clock time.
    attempt : str
        Unique identifier of the reservation.
    """

    key: str
    body: str
    state: OnceState
    at: float
    attempt: str

    def to_row(self) -> list[t.Any]:
        """Return the record in its stored form."""
        return [self.key, self.body, self.state.value, round(self.at, 1), self.attempt]

    @classmethod
    def from_row(cls, row: t.Any) -> OnceRecord:
        """Decode a stored record; raises `ValueError`."""
        key, body, state, at, attempt = as_list(row, 5)
        return cls(
            as_text(key),
            as_text(body),
            OnceState(as_text(state)),
            as_number(at),
            as_text(attempt),
        )


@dataclass(slots=True)
class _ShardRecord:
    """The shard's own entry: references to its segments, and the latest records."""

    segments: list[tuple[str, float]] = field(default_factory=list)
    recent: list[OnceRecord] = field(default_factory=list)
    operation: str = ""

    def encode(self) -> bytes:
        rows = [record.to_row() for record in self.recent]
        data = {"segments": self.segments, "recent": rows, "operation": self.operation}
        return json.dumps(data, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, entry: KvEntry) -> _ShardRecord:
        """Decode a shard's entry; raises `InvalidRecord`."""
        record = Record(entry.key, entry.value)
        try:
            segments = [_decode_segment_reference(row) for row in record.rows("segments")]
            recent = [OnceRecord.from_row(row) for row in record.rows("recent")]
        except ValueError as exc:
            raise InvalidRecord(entry.key, str(exc)) from exc
        return cls(segments, recent, record.text("operation"))


def _decode_segment_reference(row: t.Any) -> tuple[str, float]:
    name, at = as_list(row, 2)
    return as_text(name), as_number(at)


def _decode_segment(entry: KvEntry) -> list[OnceRecord]:
    try:
        return [OnceRecord.from_row(row) for row in as_list(decode_json(entry.value))]
    except ValueError as exc:
        raise InvalidRecord(entry.key, str(exc)) from exc


@dataclass(slots=True)
class _PendingReservation:
    """A reservation that is part of the next write."""

    record: OnceRecord
    fut: asyncio.Future[OnceVerdict]


def digest(text: str) -> str:
    """Return the digest under which a key or request is stored."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def shard_of(key_digest: str) -> int:
    """Return the number of the shard of a key's digest."""
    return int(key_digest[:4], 16) % SHARDS


class OnceShard:
    """One shard of the records of requests that may run at most once.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    key : str
        Key of the shard's entry; the keys of its segments begin with ``<key>/``.
    wall_clock : callable
        Returns the wall-clock time in seconds. Only the retention depends on it.
    batch_window_s : float
        How long reservations are collected before they are written, in seconds.
    retention_s : float
        How long a key is kept, in seconds.
    """

    __slots__ = (
        "_by_key",
        "_flush_task",
        "_key",
        "_kv",
        "_pending",
        "_retention_s",
        "_revision",
        "_loaded_segments",
        "_pending_outcomes",
        "_shard",
        "_wall_clock",
        "_batch_window_s",
        "writes",
    )

    def __init__(
        self,
        kv: KeyValue,
        key: str,
        wall_clock: t.Callable[[], float],
        batch_window_s: float = 0.05,
        retention_s: float = 3600.0,
    ) -> None:
        self._kv = kv
        self._key = key
        self._wall_clock = wall_clock
        self._batch_window_s = batch_window_s
        self._retention_s = retention_s
        self._by_key: dict[str, OnceRecord] = {}
        self._shard = _ShardRecord()
        self._revision: int | None = None
        self._loaded_segments: set[str] = set()
        self._pending: list[_PendingReservation] = []
        self._pending_outcomes: dict[str, OnceState] = {}
        self._flush_task: asyncio.Task[None] | None = None
        self.writes = 0
        """Number of writes to the service, for measurements."""

    async def reserve(self, key: str, body: str, attempt: str) -> OnceVerdict:
        """Reserve a key for a request.

        Parameters
        ----------
        key, body : str
            Digests from `digest`.
        attempt : str
            Unique identifier of the request that is to be sent. The same attempt may reserve the
            key again, for instance through another process after a lost answer.

        Returns
        -------
        OnceVerdict
            `FRESH` only after the reservation is durable.

        Raises
        ------
        KvUnavailable
            If it is unknown whether the reservation was stored. The request must not be sent; the
            key may turn out to be reserved later.
        """
        record = OnceRecord(key, body, OnceState.RESERVED, self._wall_clock(), attempt)
        fut: asyncio.Future[OnceVerdict] = asyncio.get_running_loop().create_future()
        self._pending.append(_PendingReservation(record, fut))
        self._ensure_flushing()
        return await fut

    def settle(self, key: str, attempt: str, state: OnceState) -> None:
        """Record a reserved request's outcome; it is stored with the next batch of reservations."""
        record = self._by_key.get(key)
        if record is None or record.attempt != attempt:
            return
        self._pending_outcomes[attempt] = state
        self._ensure_flushing()

    def _ensure_flushing(self) -> None:
        if self._flush_task is None or self._flush_task.done():
            self._flush_task = asyncio.get_running_loop().create_task(self._flush_until_empty())

    async def _flush_until_empty(self) -> None:
        while self._pending or self._pending_outcomes:
            await asyncio.sleep(self._batch_window_s)
            pending, self._pending = self._pending, []
            outcomes, self._pending_outcomes = self._pending_outcomes, {}
            try:
                await self._flush(pending, outcomes)
            except (CoordinationError, OSError) as exc:
                self._fail_reservations(pending, exc)
                log.warning("reservations not confirmed", key=self._key, why=repr(exc))
                # Outcomes only improve the answers to repeated requests: without one the key stays
                # reserved, which is safe.
                self._revision = None

    def _fail_reservations(self, pending: list[_PendingReservation], exc: Exception) -> None:
        for item in pending:
            if not item.fut.done():
                item.fut.set_exception(KvUnavailable(f"reservation not confirmed: {exc}"))

    async def _flush(
        self, pending: list[_PendingReservation], outcomes: dict[str, OnceState]
    ) -> None:
        while True:
            if self._revision is None:
                await self._load()
            changed = self._apply_outcomes(outcomes)
            verdicts, added = self._decide(pending)
            if (added or changed) and not await self._write(added):
                self._revision = None
                continue
            for item, verdict in zip(pending, verdicts, strict=True):
                if not item.fut.done():
                    item.fut.set_result(verdict)
            return

    def _decide(
        self, pending: list[_PendingReservation]
    ) -> tuple[list[OnceVerdict], list[OnceRecord]]:
        verdicts, added = [], []
        chosen: dict[str, OnceRecord] = {}
        for item in pending:
            found = chosen.get(item.record.key) or self._by_key.get(item.record.key)
            verdict = _judge(found, item.record)
            verdicts.append(verdict)
            if verdict is OnceVerdict.FRESH:
                chosen[item.record.key] = item.record
                added.append(item.record)
        return verdicts, added

    def _apply_outcomes(self, outcomes: dict[str, OnceState]) -> bool:
        changed = False
        for record in self._shard.recent:
            state = outcomes.get(record.attempt)
            if state is not None and record.state is OnceState.RESERVED:
                record.state = state
                changed = True
        return changed

    async def _write(self, added: list[OnceRecord]) -> bool:
        shard = self._without_expired()
        shard.recent = [*shard.recent, *added]
        if len(shard.recent) > MAX_INLINE_RECORDS:
            await self._move_to_segment(shard)
        shard.operation = uuid.uuid4().hex
        expected = self._revision if self._revision is not None else ABSENT
        outcome: KvSwap = await swap_and_confirm(self._kv, self._key, shard.encode(), expected)
        self.writes += 1
        if not outcome.swapped:
            return False
        self._revision = outcome.revision
        self._shard = shard
        self._index_records(added)
        return True

    async def _move_to_segment(self, shard: _ShardRecord) -> None:
        name = uuid.uuid4().hex
        moved, kept = (
            shard.recent[:-RETAINED_INLINE_RECORDS],
            shard.recent[-RETAINED_INLINE_RECORDS:],
        )
        rows = [record.to_row() for record in moved]
        content = json.dumps(rows, separators=(",", ":")).encode()
        # The lease outlasts every record in the segment and then deletes the segment.
        lease = await self._kv.grant_lease(self._retention_s * 1.5)
        await swap_and_confirm(self._kv, f"{self._key}/{name}", content, ABSENT, lease)
        self.writes += 1
        shard.segments = [*shard.segments, (name, self._wall_clock())]
        shard.recent = kept
        self._loaded_segments.add(name)

    def _without_expired(self) -> _ShardRecord:
        oldest = self._wall_clock() - self._retention_s
        segments = [(name, at) for name, at in self._shard.segments if at >= oldest]
        recent = [record for record in self._shard.recent if record.at >= oldest]
        for key in [key for key, record in self._by_key.items() if record.at < oldest]:
            del self._by_key[key]
        return _ShardRecord(segments, recent)

    async def _load(self) -> None:
        entry = await self._kv.get(self._key)
        if entry is None:
            self._shard, self._revision = _ShardRecord(), ABSENT
            return
        shard = _ShardRecord.decode(entry)
        for name, _ in shard.segments:
            if name in self._loaded_segments:
                continue
            segment = await self._kv.get(f"{self._key}/{name}")
            if segment is not None:
                self._index_records(_decode_segment(segment))
            self._loaded_segments.add(name)
        self._shard, self._revision = shard, entry.revision
        self._index_records(shard.recent)

    def _index_records(self, records: t.Iterable[OnceRecord]) -> None:
        for record in records:
            self._by_key[record.key] = record


def _judge(found: OnceRecord | None, record: OnceRecord) -> OnceVerdict:
    if found is None:
        return OnceVerdict.FRESH
    if found.body != record.body:
        return OnceVerdict.MISMATCH
    if found.state is OnceState.RELEASED or found.attempt == record.attempt:
        return OnceVerdict.FRESH
    if found.state is OnceState.RAN:
        return OnceVerdict.RAN
    return OnceVerdict.RUNNING
