"""Header lists as they came: order, repetitions and spelling are kept."""

from __future__ import annotations

import typing as t

Header = tuple[bytes, bytes]
"""Name and value."""
Headers = t.Sequence[Header]

_CONNECTION_ONLY = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Headers of one connection (RFC 9110, 7.6.1) and of the framing, which is done anew."""


def find(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, `name` in lower case, or None."""
    for found, value in headers:
        if found.lower() == name:
            return value
    return None


def end_to_end(headers: Headers) -> list[Header]:
    """Return the headers that are passed on, without those of a single connection."""
    dropped = set(_CONNECTION_ONLY)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    return [(name, value) for name, value in headers if name.lower() not in dropped]
