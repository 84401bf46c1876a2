"""Authentication of requests by API keys in their ``Authorization`` headers."""

from __future__ import annotations

import re
import typing as t

from .exceptions import Unauthenticated
from .organisations import Organisations, Principal, digest

_bearer_re = re.compile(rb"bearer +([A-Za-z0-9._~+/-]+=*)", re.IGNORECASE)
"""Bearer credentials (RFC 6750); the scheme is case-insensitive (RFC 9110)."""
MAX_HEADER_BYTES = 4_096
"""Longer headers are rejected without parsing; keys have some tens of bytes."""


def authenticate(credentials: t.Sequence[bytes], organisations: Organisations) -> Principal:
    """Return the sender of a request.

    Parameters
    ----------
    credentials : sequence of bytes
        Values of its ``Authorization`` headers.
    organisations : Organisations
        The organisations of the current configuration.

    Raises
    ------
    Unauthenticated
        If there is not exactly one header, it is malformed, or no organisation owns the key.
    """
    if not credentials:
        raise Unauthenticated("no key was sent")
    if len(credentials) > 1:
        raise Unauthenticated("several keys were sent")
    value = credentials[0].strip(b" \t")
    matched = _bearer_re.fullmatch(value) if len(value) <= MAX_HEADER_BYTES else None
    if matched is None:
        raise Unauthenticated("the key cannot be read")
    key_digest = digest(matched.group(1))
    owner = organisations.owner(key_digest)
    if owner is None:
        raise Unauthenticated("nobody has the key")
    return Principal(owner, key_digest)


def reauthenticate(principal: Principal, organisations: Organisations) -> Principal:
    """Look up a principal's key in a later configuration; raises `Unauthenticated` if absent."""
    owner = organisations.owner(principal.digest)
    if owner is None:
        raise Unauthenticated("the key was revoked")
    return Principal(owner, principal.digest)
