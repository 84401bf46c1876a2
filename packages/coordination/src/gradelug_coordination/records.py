"""Decodes JSON records of the key-value service, which any writer may have left there.

A record that cannot be decoded raises `InvalidRecord` and nothing else. `RecordReader` turns that
into one log line, so that readers skip the record and go on with all others.
"""

from __future__ import annotations

import json
import math
import typing as t

import logbook

from .exceptions import InvalidRecord
from .kv import KvEntry

log = logbook.Logger("records")
T = t.TypeVar("T")
MAX_INTEGER = 2**53
"""Not every JSON parser represents larger integers exactly."""
MAX_PORT = 65_535
MAX_PORT_DIGITS = 5
MAX_LOGGED_KEYS = 4096
"""Number of invalid entries whose logged revisions are remembered."""


def decode_json(raw: bytes | str) -> t.Any:
    """Decode JSON; raises `ValueError` for any invalid input, also if it is nested too deeply."""
    try:
        return json.loads(raw)
    except RecursionError as exc:
        raise ValueError("the JSON is nested too deeply") from exc


def is_text(value: t.Any) -> t.TypeGuard[str]:
    """Return whether a value is a string that can be encoded, so without lone surrogates."""
    if not isinstance(value, str):
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def is_address(text: str) -> bool:
    """Return whether a text is of the form ``HOST:PORT`` with a valid port."""
    host, _, port = text.rpartition(":")
    is_number = port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS
    return bool(host) and is_number and 0 < int(port) <= MAX_PORT


def as_text(value: t.Any) -> str:
    """Return a string that can be encoded; raises `ValueError` for any other value."""
    if not is_text(value):
        raise ValueError("not a valid text")
    return value


def as_number(value: t.Any) -> float:
    """Return a finite number of at least 0; raises `ValueError` for any other value."""
    if not isinstance(value, (int, float)) or isinstance(value, bool):
        raise ValueError("not a number")
    if not (math.isfinite(value) if isinstance(value, float) else value <= MAX_INTEGER):
        raise ValueError("the number is too large")
    if value < 0:
        raise ValueError("the number is negative")
    return float(value)


def as_integer(value: t.Any, limit: int = MAX_INTEGER) -> int:
    """Return an integer of at least 0 and at most `limit`; raises `ValueError`."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= limit:
        raise ValueError(f"not an integer of at least 0 and at most {limit}")
    return value


def as_list(value: t.Any, length: int | None = None) -> list[t.Any]:
    """Return a list, of a given length if any; raises `ValueError` for any other value."""
    if not isinstance(value, list) or (length is not None and len(value) != length):
        raise ValueError("not a list" if length is None else f"not a list of {length} items")
    return value


def as_table(value: t.Any) -> dict[str, t.Any]:
    """Return a table; raises `ValueError` for any other value."""
    if not isinstance(value, dict):
        raise ValueError("not a table")
    return value


class Record:
    """A decoded record; each access raises `InvalidRecord` if the field is missing or invalid.

    Parameters
    ----------
    key : str
        Key of the record, for error messages.
    raw : bytes
        The record's value.
    """

    __slots__ = ("_data", "_key")

    def __init__(self, key: str, raw: bytes) -> None:
        self._key = key
        try:
            self._data = as_table(decode_json(raw))
        except ValueError as exc:
            raise InvalidRecord(key, str(exc)) from exc

    def text(self, name: str, default: str | None = None) -> str:
        """Return a string."""
        return self._read(name, as_text, default)

    def name(self, name: str) -> str:
        """Return a string that is not empty."""
        value = self.text(name)
        if not value:
            raise InvalidRecord(self._key, f"field {name!r} is empty")
        return value

    def address(self, name: str) -> str:
        """Return an address of the form ``HOST:PORT``."""
        value = self.text(name)
        if not is_address(value):
            raise InvalidRecord(self._key, f"field {name!r} is not an address with a port")
        return value

    def number(self, name: str, default: float | None = None) -> float:
        """Return a finite number of at least 0."""
        return self._read(name, as_number, default)

    def integer(self, name: str, default: int | None = None) -> int:
        """Return an integer of at least 0."""
        return self._read(name, as_integer, default)

    def flag(self, name: str) -> bool:
        """Return a boolean; False if it is missing."""
        return self._read(name, _as_flag, False)

    def table(self, name: str) -> dict[str, t.Any]:
        """Return a table."""
        return self._read(name, as_table, None)

    def rows(self, name: str, default: list[t.Any] | None = None) -> list[t.Any]:
        """Return a list."""
        return self._read(name, as_list, default)

    def texts(self, name: str, default: list[str] | None = None) -> list[str]:
        """Return a list of strings."""
        return self._read(name, lambda value: [as_text(item) for item in as_list(value)], default)

    def pairs(self, name: str) -> list[tuple[int, str]]:
        """Return a list of pairs of an integer and a string."""
        return self._read(name, _as_pairs, None)

    def _read(self, name: str, convert: t.Callable[[t.Any], T], default: T | None) -> T:
        value = self._data.get(name)
        if value is None and default is not None:
            return default
        try:
            return convert(value)
        except ValueError as exc:
            raise InvalidRecord(self._key, f"field {name!r} is invalid: {exc}") from exc


def _as_pairs(value: t.Any) -> list[tuple[int, str]]:
    pairs = (as_list(item, 2) for item in as_list(value))
    return [(as_integer(number), as_text(text)) for number, text in pairs]


def _as_flag(value: t.Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("not a boolean")
    return value


class InvalidEntryLog:
    """Logs each invalid entry once per revision."""

    __slots__ = ("_revisions",)

    def __init__(self) -> None:
        self._revisions: dict[str, int] = {}
        """Last logged revisions by key, the latest last."""

    def note(self, key: str, revision: int, why: str) -> None:
        """Log an invalid entry unless this revision of it was logged before."""
        if self._revisions.get(key) == revision:
            return
        self._revisions.pop(key, None)
        self._revisions[key] = revision
        if len(self._revisions) > MAX_LOGGED_KEYS:
            del self._revisions[next(iter(self._revisions))]
        log.error("invalid entry skipped", key=key, revision=revision, why=why)


class RecordReader(t.Generic[T]):
    """Decodes entries, and skips invalid ones with one log line for each revision.

    Parameters
    ----------
    decode : callable
        Decodes an entry; raises `InvalidRecord`.
    """

    __slots__ = ("_decode", "_log")

    def __init__(self, decode: t.Callable[[KvEntry], T]) -> None:
        self._decode = decode
        self._log = InvalidEntryLog()

    def read(self, entry: KvEntry) -> T | None:
        """Return the decoded entry, None if it is invalid."""
        try:
            return self._decode(entry)
        except InvalidRecord as exc:
            self._log.note(entry.key, entry.revision, exc.why)
            return None
