"""Cutting a document into immutable buckets named by their digest, and joining them again.

A change rewrites the buckets it touches and no others, so that an instance fetches little.
"""

from __future__ import annotations

import hashlib
import json
import typing as t
from dataclasses import dataclass

from .exceptions import InvalidConfig
from .findings import Finding
from .model import Adapter, Document
from .structure import make_converter, structure

ADAPTER_BUCKETS = 64
MAX_BUCKET_BYTES = 1_000_000
_RULES = "rules"
_converter = make_converter()


@dataclass(slots=True, frozen=True)
class Bucket:
    """An immutable piece of a document.

    Parameters
    ----------
    digest : str
        Hexadecimal SHA-256 of `content`; also its name in storage.
    content : bytes
        Canonical JSON, at most `MAX_BUCKET_BYTES` long.
    """

    digest: str
    content: bytes


def split(document: Document) -> tuple[Bucket, ...]:
    """Cut a document into buckets, rules first, then adapters by the digest of their name.

    Raises
    ------
    InvalidConfig
        If a bucket would outgrow what the platform's service holds.
    """
    plain = _converter.unstructure(document)
    adapters = plain.pop("adapters", [])
    shards: list[list[dict[str, t.Any]]] = [[] for _ in range(ADAPTER_BUCKETS)]
    for adapter in sorted(adapters, key=lambda item: item["name"]):
        shards[_shard(adapter["name"])].append(adapter)
    buckets = [_make({_RULES: plain})]
    buckets += [_make({"adapters": shard}) for shard in shards if shard]
    large = [bucket for bucket in buckets if len(bucket.content) > MAX_BUCKET_BYTES]
    if large:
        size = max(len(bucket.content) for bucket in large)
        message = f"a bucket of {size} bytes exceeds the limit of {MAX_BUCKET_BYTES}"
        raise InvalidConfig([Finding("configuration", message)])
    return tuple(buckets)


def read_adapters(content: bytes) -> list[Adapter]:
    """Return the adapters of a bucket; empty for the bucket of rules."""
    data = json.loads(content)
    return structure(_converter, data.get("adapters", []), list[Adapter], "bucket.adapters")


def read_rules(contents: t.Iterable[bytes]) -> Document:
    """Return the document without its adapters.

    Raises
    ------
    InvalidConfig
        If no bucket holds the rules.
    """
    for content in contents:
        data = json.loads(content)
        if _RULES in data:
            return structure(_converter, data[_RULES], Document, "bucket.rules")
    raise InvalidConfig([Finding("configuration", "the bucket of rules is missing")])


def join(contents: t.Sequence[bytes]) -> Document:
    """Return the whole document that `split` cut."""
    rules = _converter.unstructure(read_rules(contents))
    adapters = [adapter for content in contents for adapter in read_adapters(content)]
    adapters.sort(key=lambda adapter: adapter.name)
    rules["adapters"] = _converter.unstructure(adapters)
    return structure(_converter, rules, Document, "configuration")


def to_plain(document: Document) -> dict[str, t.Any]:
    """Return the document as nested dicts and lists, defaults left out."""
    return _converter.unstructure(document)


def _shard(name: str) -> int:
    digest = hashlib.sha256(name.encode()).digest()
    return int.from_bytes(digest[:4], "big") % ADAPTER_BUCKETS


def _make(data: dict[str, t.Any]) -> Bucket:
    content = json.dumps(data, sort_keys=True, separators=(",", ":")).encode()
    return Bucket(hashlib.sha256(content).hexdigest(), content)
