"""The secret by which instances prove to each other that they may open tunnels.

It stands in the platform store, which only instances read, and is written once by a planner.
"""

from __future__ import annotations

import asyncio
import hmac
import re
import secrets
import typing as t

import logbook
from gradelug_coordination import (
    ABSENT,
    CoordinationError,
    InvalidRecord,
    KeyValue,
    KvEntry,
    Mirror,
    RecordReader,
)

log = logbook.Logger("tunnel key")
KEY = "gradelug/tunnel-key"
KEY_BYTES = 16
CHECK_INTERVAL_S = 0.5
_value_re = re.compile(rb"[0-9a-zA-Z]{1,128}")


class TunnelKey:
    """Reads the secret from the store, and writes it if there is none.

    Parameters
    ----------
    kv : KeyValue
        The platform's key-value service.
    mirror : Mirror
        Local copy of its entries.
    may_write : callable
        Returns whether this instance is to write a missing secret.
    """

    __slots__ = ("_kv", "_may_write", "_mirror", "_reader")

    def __init__(self, kv: KeyValue, mirror: Mirror, may_write: t.Callable[[], bool]) -> None:
        self._kv = kv
        self._mirror = mirror
        self._may_write = may_write
        self._reader = RecordReader(_decode)

    @property
    def value(self) -> bytes:
        """The secret; empty while none is known, or its entry cannot be read."""
        entry = self._mirror.entries.get(KEY)
        return self._reader.read(entry) or b"" if entry is not None else b""

    def matches(self, candidate: bytes) -> bool:
        """Return whether a client's secret is the right one."""
        value = self.value
        return bool(value) and hmac.compare_digest(value, candidate)

    async def run(self) -> None:
        """Write the secret whenever it is missing or cannot be read, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.value or not self._mirror.synced or not self._may_write():
                continue
            entry = self._mirror.entries.get(KEY)
            expected = entry.revision if entry is not None else ABSENT
            try:
                swap = await self._kv.swap(KEY, secrets.token_hex(KEY_BYTES).encode(), expected)
            except CoordinationError as exc:
                log.info("could not write the key of tunnels", why=repr(exc))
                continue
            if not swap.swapped:
                log.info("another instance wrote the key of tunnels")
            self._mirror.request_poll()


def _decode(entry: KvEntry) -> bytes:
    if not _value_re.fullmatch(entry.value):
        raise InvalidRecord(entry.key, "not a key of letters and digits")
    return entry.value
