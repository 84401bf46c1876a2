"""What all sendings of one request have in common, whoever sends it again and where."""

from __future__ import annotations

from hashlib import blake2b

from .requests import Request

FINGERPRINT_BYTES = 16
"""Bytes of a fingerprint: two different requests never share one."""
LOGGED_HEX_DIGITS = 12
"""Digits of it that logs show."""


def fingerprint(req: Request, owner: str = "") -> bytes:
    """Return a digest of whose request it is, of where it goes and of what it says.

    Another attempt of its caller has an identifier, a deadline and a last event of its own, and
    comes to any instance: none of them counts, so that every instance finds the same digest.

    Parameters
    ----------
    req : Request
        The request.
    owner : str
        The organisation that sent it, whose keys may change; if empty, what the caller proves
        itself with tells whose it is.
    """
    weights = req.key.text if req.key is not None else ""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    sender = (owner.encode(),) if owner else req.credentials
    head = (req.method, req.host.encode(), req.target, weights.encode(), *sender)
    for part in (*head, req.body):
        # With its length before it no part can be taken for the end of another.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def shown(mark: bytes) -> str:
    """Return a fingerprint as logs show it."""
    return mark.hex()[:LOGGED_HEX_DIGITS]
