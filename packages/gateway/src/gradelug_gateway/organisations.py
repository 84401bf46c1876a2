"""Organisations with their API keys and quotas, as read from a configuration."""

from __future__ import annotations

import hashlib
import secrets
import typing as t
from dataclasses import dataclass

_DIGEST_KEY = secrets.token_bytes(32)
"""Secret of the keyed hash by which API keys are looked up. Only this process can compute the hash,
so that neither the time of a look-up nor a logged digest reveals anything about a key."""
DIGEST_BYTES = 16


@dataclass(slots=True, frozen=True)
class Quota:
    """Rate limit of an organisation, for all instances together.

    Parameters
    ----------
    rate : float
        Tokens a second; requests a second where `counts_tokens` is False.
    burst : float
        Size of a burst, in tokens or requests.
    counts_tokens : bool
        Whether requests count by their tokens, or each as one.
    default_tokens : float
        Tokens counted for a request that states none.
    """

    rate: float
    burst: float
    counts_tokens: bool = True
    default_tokens: float = 1.0

    def charge(self, prompt_tokens: int, max_answer_tokens: int) -> float:
        """Return the amount to charge for a request; 0 tokens mean that it states none."""
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + max_answer_tokens) or self.default_tokens


@dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation whose requests are served.

    Parameters
    ----------
    name : str
        Its name, also sent to replicas.
    rank : int or None
        Urgency of its requests, 0 first; None to use the urgency of their routes.
    quota : Quota or None
        Its rate limit, None if it has none.
    """

    name: str
    rank: int | None = None
    quota: Quota | None = None


@dataclass(slots=True, frozen=True)
class Principal:
    """The authenticated sender of a request.

    Parameters
    ----------
    organisation : Organisation
        The organisation that owns the key.
    digest : bytes
        Digest of the key, by which it can be checked again.
    """

    organisation: Organisation
    digest: bytes


class DuplicateKey(ValueError):
    """Two organisations have the same key; the message contains their names, not the key."""


class Organisations:
    """The organisations of one configuration, by name and by key digest; immutable.

    Parameters
    ----------
    members : iterable of (Organisation, iterable of str)
        Organisations with their keys.

    Raises
    ------
    DuplicateKey
        If two organisations have the same key.
    """

    __slots__ = ("_by_digest", "_by_name")

    def __init__(self, members: t.Iterable[tuple[Organisation, t.Iterable[str]]] = ()) -> None:
        self._by_digest: dict[bytes, Organisation] = {}
        self._by_name: dict[str, Organisation] = {}
        for organisation, keys in members:
            self._by_name[organisation.name] = organisation
            for key in keys:
                owner = self._by_digest.setdefault(digest(key.encode()), organisation)
                if owner is not organisation:
                    raise DuplicateKey(f"{owner.name} and {organisation.name} share a key")

    def __bool__(self) -> bool:
        return bool(self._by_name)

    def by_name(self, name: str) -> Organisation | None:
        """Return the organisation with a name, None if there is none."""
        return self._by_name.get(name)

    def token_rates(self) -> dict[str, float]:
        """Return the rates of token quotas, in tokens a second, by organisation."""
        return {
            name: member.quota.rate
            for name, member in self._by_name.items()
            if member.quota is not None and member.quota.counts_tokens and member.quota.rate > 0
        }

    def owner(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that owns the key with a digest, None if there is none."""
        return self._by_digest.get(key_digest)


def digest(key: bytes) -> bytes:
    """Return the keyed digest of an API key; it is valid within this process only."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()
