"""Persistence of blocked requests and suspects in the platform's store.

One entry is written by the planner that keeps the ledger, and read by every instance with the rest
of the store. It holds the blocked requests, and the suspects with the ends that count against them:
should all instances lose power after the third end, the next is enough to block a suspect.
"""

from __future__ import annotations

import asyncio
import json
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_coordination import (
    CoordinationError,
    EraTracker,
    InvalidRecord,
    KeyValue,
    KvEntry,
    Mirror,
    Record,
    RecordReader,
)
from gradelug_coordination.records import as_integer, as_list, as_number, as_table, as_text
from gradelug_policy.poison import EndLedger
from gradelug_policy.poison_parts import PartSighting

from .poison import NO_FINDINGS, PoisonFindings

log = logbook.Logger("poison record")
MAX_POSITION = 2**31
"""Upper bound of the position of a part in a prompt."""
KEY = "gradelug/poison"
ABSENT = KvEntry(KEY, b"", 0)
WRITE_RETRY_S = 0.5
"""Delay before a failed write is retried, in seconds."""


@dataclass(slots=True, frozen=True)
class _StoredFindings:
    """Decoded content of the entry."""

    blocked: t.Mapping[bytes, float]
    """Blocked requests with their weights."""
    ends: t.Sequence[tuple[str, bytes, float]]
    """Ends at which suspects were present, with the suspect and its weight."""
    blocked_parts: t.Sequence[bytes]
    sightings: t.Sequence[tuple[str, PartSighting]]
    """Ends at which suspected parts were present."""

    def add_to(self, ledger: EndLedger, now: float) -> None:
        """Add the findings to a ledger."""
        for fingerprint, weight in self.blocked.items():
            ledger.block(fingerprint, weight, now)
        for end, fingerprint, weight in self.ends:
            ledger.note_end(end, fingerprint, weight, now)
        for part in self.blocked_parts:
            ledger.parts.block(part, now)
        for end, sighting in self.sightings:
            ledger.parts.note_end(end, sighting, now)


class PoisonRecord:
    """Reads and writes the entry of blocked requests and suspects.

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
        "_eras",
        "_kv",
        "_ledger",
        "_mirror",
        "_reader",
        "_seen_revision",
        "_write_requested",
        "_written",
        "removal_count",
        "findings",
    )

    def __init__(self, kv: KeyValue, mirror: Mirror, clock: t.Callable[[], float]) -> None:
        self._kv = kv
        self._mirror = mirror
        self._clock = clock
        self._ledger = EndLedger()
        """The ledger to be written."""
        self._write_requested = asyncio.Event()
        self._written = ABSENT
        """The newest entry that this instance wrote or merged."""
        self._seen_revision = 0
        self._eras = EraTracker()
        self._reader = RecordReader(_decode)
        self.findings = NO_FINDINGS
        """Findings of the entry."""
        self.removal_count = 0
        """Number of times the entry was deleted, by which an operator unblocks all requests."""

    def poll(self) -> bool:
        """Read the entry; return whether it has changed.

        The findings of the last valid entry stay in force while it cannot be read.
        """
        entry = self._mirror.entries.get(KEY)
        revision = entry.revision if entry is not None else 0
        if self._eras.has_advanced(self._mirror.revision):
            self._seen_revision = revision
            self._rewrite_lost(entry)
            return False
        if revision == self._seen_revision:
            return False
        if entry is None:
            self.removal_count += 1
            log.warning("entry deleted by an operator; unblocking all requests", key=KEY)
        self._seen_revision = revision
        ledger = EndLedger()
        if entry is not None and not self._add(entry, ledger, self._clock()):
            return True
        self.findings = PoisonFindings(
            frozenset((*ledger.blocked, *ledger.parts.blocked)),
            frozenset((*ledger.suspects(), *ledger.parts.suspects())),
        )
        return True

    def _rewrite_lost(self, entry: KvEntry | None) -> None:
        """Schedule a rewrite of findings lost when the store was restored; they stay in force."""
        self._written = entry or ABSENT
        if entry is not None:
            self._add(entry, self._ledger, self._clock())
        self._write_requested.set()

    def restore(self, ledger: EndLedger, now: float) -> None:
        """Add the findings of the entry to a ledger."""
        entry = self._mirror.entries.get(KEY)
        if entry is not None:
            self._add(entry, ledger, now)

    def _add(self, entry: KvEntry, ledger: EndLedger, now: float) -> bool:
        """Add the findings of an entry to a ledger; return False if it cannot be read."""
        findings = self._reader.read(entry)
        if findings is None:
            return False
        findings.add_to(ledger, now)
        return True

    def save(self, ledger: EndLedger) -> None:
        """Schedule a write of a ledger."""
        self._ledger = ledger
        self._write_requested.set()

    async def run(self) -> None:
        """Write scheduled ledgers until cancelled."""
        while True:
            await self._write_requested.wait()
            self._write_requested.clear()
            try:
                await self._write()
            except CoordinationError as exc:
                log.warning("write failed; retrying", why=repr(exc))
                self._write_requested.set()
                await asyncio.sleep(WRITE_RETRY_S)

    async def _write(self) -> None:
        entry = self._mirror.entries.get(KEY)
        if entry is not None and entry.revision > self._written.revision:
            self._merge(entry)
        value, written = _encode(self._ledger), self._written
        if value == (written.value or _encode(EndLedger())):
            return
        swap = await self._kv.swap(KEY, value, written.revision)
        if swap.swapped:
            self._written = KvEntry(KEY, value, swap.revision)
            return
        found = await self._kv.get(KEY)
        if found is None:
            self._written = ABSENT
        else:
            self._merge(found)
        self._write_requested.set()

    def _merge(self, entry: KvEntry) -> None:
        """Merge the entry of another planner, which may hold more findings."""
        self._written = entry
        self._add(entry, self._ledger, self._clock())


def _encode(ledger: EndLedger) -> bytes:
    data = {
        "blocked": {
            fingerprint.hex(): ledger.weight_of(fingerprint) for fingerprint in ledger.blocked
        },
        "suspects": {
            fingerprint.hex(): ledger.ends_of(fingerprint) for fingerprint in ledger.suspects()
        },
        "blocked_parts": [part.hex() for part in ledger.parts.blocked],
        "suspected_parts": [
            [end, part.hex(), sighting.request.hex(), sighting.position, sighting.weight]
            for part in ledger.parts.suspects()
            for end, sighting in ledger.parts.sightings(part)
        ],
    }
    return json.dumps(data).encode()


def _decode(entry: KvEntry) -> _StoredFindings:
    record = Record(entry.key, entry.value)
    try:
        return _StoredFindings(
            {
                bytes.fromhex(fingerprint): as_number(weight)
                for fingerprint, weight in record.table("blocked").items()
            },
            [
                (as_text(end), bytes.fromhex(fingerprint), as_number(weight))
                for fingerprint, weights in record.table("suspects").items()
                for end, weight in as_table(weights).items()
            ],
            # Entries of earlier releases have no parts.
            [bytes.fromhex(part) for part in record.texts("blocked_parts", [])],
            [_decode_sighting(row) for row in record.rows("suspected_parts", [])],
        )
    except ValueError as exc:
        raise InvalidRecord(entry.key, str(exc)) from exc


def _decode_sighting(row: t.Any) -> tuple[str, PartSighting]:
    end, part, request, position, weight = as_list(row, 5)
    sighting = PartSighting(
        bytes.fromhex(as_text(part)),
        bytes.fromhex(as_text(request)),
        as_integer(position, MAX_POSITION),
        as_number(weight),
    )
    return as_text(end), sighting
