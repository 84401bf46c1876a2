"""Rendezvous hashing: assigns each resource to the member with the highest score for it."""

from __future__ import annotations

import typing as t

import xxhash


def score(member: str, resource: str) -> int:
    """Return a member's score for a resource."""
    return xxhash.xxh3_64_intdigest(f"{member}\0{resource}".encode())


def rank(members: t.Iterable[str], resource: str) -> list[str]:
    """Return the members in descending order of their scores for a resource."""
    return sorted(members, key=lambda member: (score(member, resource), member), reverse=True)


def preferred(members: t.Iterable[str], resource: str) -> str | None:
    """Return the member with the highest score for a resource, or None if there are no members."""
    return max(members, key=lambda member: (score(member, resource), member), default=None)
