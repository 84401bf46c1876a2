"""Fingerprints of requests, equal for all attempts of one request at any instance."""

from __future__ import annotations

from hashlib import blake2b

from .requests import Request

FINGERPRINT_BYTES = 16
"""Size of a fingerprint; collisions between different requests are negligible at this size."""
LOGGED_HEX_DIGITS = 12
"""Number of hexadecimal digits of a fingerprint in logs."""


def fingerprint(req: Request, owner: str = "") -> bytes:
    """Return a digest of a request's sender, destination and content.

    Each attempt of a caller has its own identifier, deadline and last event, and may be received by
    any instance. The digest covers none of these, so that all instances compute the same one.

    Parameters
    ----------
    req : Request
        The request.
    owner : str
        Name of the organisation that sent it, whose keys may change. If empty, the credentials in
        the request identify the sender.
    """
    weights = req.key.text if req.key is not None else ""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    sender = (owner.encode(),) if owner else req.credentials
    head = (req.method, req.host.encode(), req.target, weights.encode(), *sender)
    for part in (*head, req.body):
        # The length prefix makes the concatenation of the parts unambiguous.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.digest()


def part_fingerprints(req: Request) -> tuple[bytes, ...]:
    """Return digests of the parts that a request's prompt shares with others, in order.

    A part has the same digest in requests of any sender, route and weights. The last part belongs
    to the request alone and has none.
    """
    return tuple(
        blake2b(b"part:" + part.name.encode(), digest_size=FINGERPRINT_BYTES).digest()
        for part in req.parts[:-1]
    )


def format_fingerprint(mark: bytes) -> str:
    """Return the prefix of a fingerprint that is written to logs."""
    return mark.hex()[:LOGGED_HEX_DIGITS]
