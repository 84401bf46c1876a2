"""Status codes of responses (RFC 9110, 15)."""

from __future__ import annotations

MAX_INTERIM_ANSWERS = 16
"""Informational answers that may precede one answer."""
BODILESS_STATUSES = frozenset({204, 304})
"""Statuses of answers whose stated length is not that of their body."""
_SWITCHING_PROTOCOLS = 101


def is_final(status: int) -> bool:
    """Return whether a status code can be that of a final response."""
    return 200 <= status < 600


def is_interim(status: int) -> bool:
    """Return whether a final response follows one with this status code.

    None follows 101, which switches to a protocol that was not requested.
    """
    return 100 <= status < 200 and status != _SWITCHING_PROTOCOLS


def announces_denied_body(status: int, length: bytes | None, has_coding: bool) -> bool:
    """Return whether a head states a body although its status allows none.

    Parameters
    ----------
    status : int
        Status code of the response.
    length : bytes or None
        Value of its Content-Length header; None without one.
    has_coding : bool
        Whether it has a Transfer-Encoding header.
    """
    return status in BODILESS_STATUSES and (has_coding or length not in (None, b"0"))
