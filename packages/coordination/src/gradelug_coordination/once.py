"""At most once: reservations of keys, durable before the request they stand for is sent.

The keys are divided into shards. A shard has one record in the key-value service, changed
only by compare-and-swap; any process may append to it, and one that does so from old knowledge
loses the swap, reads again and decides anew. No lease is needed for safety. Reservations that
arrive together are written together, so that the service sees a bounded number of writes a
second whatever the traffic.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import typing as t
import uuid
from dataclasses import dataclass, field
from enum import Enum, StrEnum

from .exceptions import CoordinationError, KvUnavailable
from .kv import ABSENT, KeyValue, KvSwap, swap_surely

SHARDS = 16
SPILL_RECORDS = 400
"""Records in the shard's own entry from which on older ones move to an immutable segment."""
KEPT_RECORDS = 100
"""Records left in the shard's own entry then, so that their outcome can still be noted."""


class OnceState(StrEnum):
    """What is known of a key."""

    RESERVED = "r"
    """Its request may be running, or may have run."""
    RAN = "d"
    """Its request ran to its end."""
    RELEASED = "n"
    """Its request was provably not run; the key may be used again."""


class OnceVerdict(Enum):
    """Answer to a reservation."""

    FRESH = "fresh"
    """The key is yours: send the request, once."""
    RUNNING = "running"
    """Reserved before, its outcome not known."""
    RAN = "ran"
    """Its request has run."""
    MISMATCH = "mismatch"
    """The key was used for another request."""


@dataclass(slots=True)
class OnceRecord:
    """A key's record: digests only.

    Parameters
    ----------
    key, body : str
        Digests of the caller's key and of the request, as hexadecimal text.
    state : OnceState
        What is known.
    at : float
        When the record was made, in seconds of wall-clock time.
    attempt : str
        Unique to the reservation.
    """

    key: str
    body: str
    state: OnceState
    at: float
    attempt: str

    def to_row(self) -> list[t.Any]:
        """Return the record as it is stored."""
        return [self.key, self.body, self.state.value, round(self.at, 1), self.attempt]

    @classmethod
    def from_row(cls, row: list[t.Any]) -> OnceRecord:
        """Read a stored record."""
        return cls(row[0], row[1], OnceState(row[2]), float(row[3]), row[4])


@dataclass(slots=True)
class _ShardRecord:
    """The shard's own entry: segments moved out, and the latest records."""

    segments: list[tuple[str, float]] = field(default_factory=list)
    recent: list[OnceRecord] = field(default_factory=list)
    operation: str = ""

    def encode(self) -> bytes:
        rows = [record.to_row() for record in self.recent]
        data = {"segments": self.segments, "recent": rows, "operation": self.operation}
        return json.dumps(data, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, value: bytes) -> _ShardRecord:
        data = json.loads(value)
        segments = [(name, float(at)) for name, at in data["segments"]]
        rows = [OnceRecord.from_row(row) for row in data["recent"]]
        return cls(segments, rows, data["operation"])


@dataclass(slots=True)
class _Pending:
    """A reservation waiting for the next write."""

    record: OnceRecord
    fut: asyncio.Future[OnceVerdict]


def digest(text: str) -> str:
    """Return the digest under which a key or request is kept."""
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def shard_of(key_digest: str) -> int:
    """Return the shard of a key's digest."""
    return int(key_digest[:4], 16) % SHARDS


class OnceShard:
    """One shard of the records of requests that may run at most once.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    key : str
        Key of the shard's entry; its segments lie below ``<key>/``.
    wall : callable
        Wall-clock time in seconds. Only the retention depends on it.
    window_s : float
        How long reservations are gathered before they are written.
    retention_s : float
        How long a key is remembered.
    """

    __slots__ = (
        "_by_key",
        "_flusher",
        "_key",
        "_kv",
        "_pending",
        "_retention_s",
        "_revision",
        "_seen_segments",
        "_settled",
        "_shard",
        "_wall",
        "_window_s",
        "writes",
    )

    def __init__(
        self,
        kv: KeyValue,
        key: str,
        wall: t.Callable[[], float],
        window_s: float = 0.05,
        retention_s: float = 3600.0,
    ) -> None:
        self._kv = kv
        self._key = key
        self._wall = wall
        self._window_s = window_s
        self._retention_s = retention_s
        self._by_key: dict[str, OnceRecord] = {}
        self._shard = _ShardRecord()
        self._revision: int | None = None
        self._seen_segments: set[str] = set()
        self._pending: list[_Pending] = []
        self._settled: dict[str, OnceState] = {}
        self._flusher: asyncio.Task[None] | None = None
        self.writes = 0
        """Writes made to the service, for the measurements."""

    async def reserve(self, key: str, body: str, attempt: str) -> OnceVerdict:
        """Reserve a key for a request.

        Parameters
        ----------
        key, body : str
            Digests from `digest`.
        attempt : str
            Unique to the request that is to be sent. The same attempt may reserve again, for
            instance through another process after an answer was lost.

        Returns
        -------
        OnceVerdict
            `FRESH` only after the reservation is durable.

        Raises
        ------
        KvUnavailable
            If it is unknown whether the reservation was kept. The request must not be sent;
            the key may be found reserved later.
        """
        record = OnceRecord(key, body, OnceState.RESERVED, self._wall(), attempt)
        fut: asyncio.Future[OnceVerdict] = asyncio.get_running_loop().create_future()
        self._pending.append(_Pending(record, fut))
        self._wake()
        return await fut

    def settle(self, key: str, attempt: str, state: OnceState) -> None:
        """Note a reserved request's outcome; it is written along with the next reservations."""
        record = self._by_key.get(key)
        if record is None or record.attempt != attempt:
            return
        self._settled[attempt] = state
        self._wake()

    def _wake(self) -> None:
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.get_running_loop().create_task(self._flush_soon())

    async def _flush_soon(self) -> None:
        while self._pending or self._settled:
            await asyncio.sleep(self._window_s)
            pending, self._pending = self._pending, []
            settled, self._settled = self._settled, {}
            try:
                await self._flush(pending, settled)
            except (CoordinationError, OSError) as exc:
                self._fail(pending, exc)
                # Settlements are a service to callers who ask again: without one the key
                # stays reserved, which is safe.
                self._revision = None

    def _fail(self, pending: list[_Pending], exc: Exception) -> None:
        for item in pending:
            if not item.fut.done():
                item.fut.set_exception(KvUnavailable(f"reservation not confirmed: {exc}"))

    async def _flush(self, pending: list[_Pending], settled: dict[str, OnceState]) -> None:
        while True:
            if self._revision is None:
                await self._load()
            changed = self._apply_settled(settled)
            verdicts, added = self._decide(pending)
            if (added or changed) and not await self._write(added):
                self._revision = None
                continue
            for item, verdict in zip(pending, verdicts, strict=True):
                if not item.fut.done():
                    item.fut.set_result(verdict)
            return

    def _decide(self, pending: list[_Pending]) -> tuple[list[OnceVerdict], list[OnceRecord]]:
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

    def _apply_settled(self, settled: dict[str, OnceState]) -> bool:
        changed = False
        for record in self._shard.recent:
            state = settled.get(record.attempt)
            if state is not None and record.state is OnceState.RESERVED:
                record.state = state
                changed = True
        return changed

    async def _write(self, added: list[OnceRecord]) -> bool:
        shard = self._pruned()
        shard.recent = [*shard.recent, *added]
        if len(shard.recent) > SPILL_RECORDS:
            await self._spill(shard)
        shard.operation = uuid.uuid4().hex
        expected = self._revision if self._revision is not None else ABSENT
        outcome: KvSwap = await swap_surely(self._kv, self._key, shard.encode(), expected)
        self.writes += 1
        if not outcome.swapped:
            return False
        self._revision = outcome.revision
        self._shard = shard
        self._remember(added)
        return True

    async def _spill(self, shard: _ShardRecord) -> None:
        name = uuid.uuid4().hex
        moved, kept = shard.recent[:-KEPT_RECORDS], shard.recent[-KEPT_RECORDS:]
        rows = [record.to_row() for record in moved]
        content = json.dumps(rows, separators=(",", ":")).encode()
        # The segment outlives every record in it, then goes by itself.
        lease = await self._kv.grant_lease(self._retention_s * 1.5)
        await swap_surely(self._kv, f"{self._key}/{name}", content, ABSENT, lease)
        self.writes += 1
        shard.segments = [*shard.segments, (name, self._wall())]
        shard.recent = kept
        self._seen_segments.add(name)

    def _pruned(self) -> _ShardRecord:
        oldest = self._wall() - self._retention_s
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
        shard = _ShardRecord.decode(entry.value)
        for name, _ in shard.segments:
            if name in self._seen_segments:
                continue
            segment = await self._kv.get(f"{self._key}/{name}")
            if segment is not None:
                self._remember([OnceRecord.from_row(row) for row in json.loads(segment.value)])
            self._seen_segments.add(name)
        self._shard, self._revision = shard, entry.revision
        self._remember(shard.recent)

    def _remember(self, records: t.Iterable[OnceRecord]) -> None:
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
