"""Organisations, their keys and their quotas, as a configuration names them."""

from __future__ import annotations

import hashlib
import secrets
import typing as t
from dataclasses import dataclass

_DIGEST_KEY = secrets.token_bytes(32)
"""Keys are found by a hash that only this process can compute: how long a look-up takes tells
nothing of the keys, and neither does a digest that gets into a log."""
DIGEST_BYTES = 16


@dataclass(slots=True, frozen=True)
class Quota:
    """What an organisation may use, of all instances together.

    Parameters
    ----------
    rate : float
        Tokens a second; requests a second where `counts_tokens` is False.
    burst : float
        As much again at once.
    counts_tokens : bool
        Whether requests count by their tokens, or each as one.
    plain_tokens : float
        What a request counts that states no tokens.
    """

    rate: float
    burst: float
    counts_tokens: bool = True
    plain_tokens: float = 1.0

    def charge(self, prompt_tokens: int, max_answer_tokens: int) -> float:
        """Return what a request counts, 0 tokens meaning that it states none."""
        if not self.counts_tokens:
            return 1.0
        return float(prompt_tokens + max_answer_tokens) or self.plain_tokens


@dataclass(slots=True, frozen=True)
class Organisation:
    """One of those whose requests are served.

    Parameters
    ----------
    name : str
        Told to replicas.
    rank : int or None
        Urgency of its requests, 0 first; None for that of their routes.
    quota : Quota or None
        None without a limit.
    """

    name: str
    rank: int | None = None
    quota: Quota | None = None


@dataclass(slots=True, frozen=True)
class Principal:
    """Who sent a request, by the key that it carried.

    Parameters
    ----------
    organisation : Organisation
        Whose key it is.
    digest : bytes
        Of the key.
    """

    organisation: Organisation
    digest: bytes


class DuplicateKey(ValueError):
    """One key is given to two organisations; the message names them, not the key."""


class Organisations:
    """The organisations of one configuration by the digests of their keys; never changed.

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

    def named(self, name: str) -> Organisation | None:
        """Return the organisation of a name."""
        return self._by_name.get(name)

    def token_rates(self) -> dict[str, float]:
        """Return the rates of quotas that count tokens, in tokens a second, by organisation."""
        return {
            name: member.quota.rate
            for name, member in self._by_name.items()
            if member.quota is not None and member.quota.counts_tokens and member.quota.rate > 0
        }

    def owner(self, key_digest: bytes) -> Organisation | None:
        """Return the organisation that has the key of a digest."""
        return self._by_digest.get(key_digest)


def digest(key: bytes) -> bytes:
    """Return a digest of a key that is good within this process."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=_DIGEST_KEY).digest()
