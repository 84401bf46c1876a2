"""Which service and software version began a stream, for callers that resume it elsewhere.

Load pattern: replicas of several software versions serve side by side for minutes, as in a gradual
release. Each instance begins up to some dozens of streams a second. A reset of connections, or the
loss of an instance, makes all callers concerned resume their streams at other instances within a
second, some of them more than once. Identifiers are chosen by the callers.

An entry is needed until its caller gives up. Entries are therefore kept in generations by the end
of their lifetime, and a generation is dropped as a whole.
"""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from hashlib import blake2b

MARK_BYTES = 8
"""Size of a mark; two of 10^5 streams share one with a probability of 10^-9."""
MAX_LIFETIME_S = 60.0
"""Longest time for which a stream's origin is kept, in seconds."""
GENERATION_S = 5.0
MAX_ENTRIES = 131_072
"""Maximum number of entries in a ledger: 18 MB. Beyond it the generation that ends first is
dropped."""


def stream_mark(owner: str, request_id: str) -> bytes:
    """Return the digest that identifies a stream.

    Parameters
    ----------
    owner : str
        Organisation of the caller, so that no caller can refer to another organisation's streams;
        empty if there is none.
    request_id : str
        Identifier of the attempt in which the caller received the first event.
    """
    owner_bytes = owner.encode()
    return blake2b(
        b"%d:%b%b" % (len(owner_bytes), owner_bytes, request_id.encode()), digest_size=MARK_BYTES
    ).digest()


@dataclass(slots=True, frozen=True, order=True)
class StreamOrigin:
    """The service and the software version of the replica that began a stream."""

    service: str
    software: str


class OriginLedger:
    """Origins of streams by mark, each for the lifetime of its stream."""

    __slots__ = ("_generations",)

    def __init__(self) -> None:
        self._generations: dict[int, dict[bytes, StreamOrigin]] = {}
        """Origins by mark, by the number of the generation in which their lifetime ends."""

    def __len__(self) -> int:
        return sum(map(len, self._generations.values()))

    def note(self, mark: bytes, origin: StreamOrigin, lifetime_s: float, now: float) -> None:
        """Record the origin of a stream; the newest record of a stream counts.

        Parameters
        ----------
        mark : bytes
            Identifies the stream.
        origin : StreamOrigin
            Where the stream began.
        lifetime_s : float
            Time for which its caller may still resume it, in seconds.
        now : float
            Current time, by the runtime's clock.
        """
        self.forget_expired(now)
        number = math.ceil((now + min(lifetime_s, MAX_LIFETIME_S)) / GENERATION_S)
        for generation in self._generations.values():
            generation.pop(mark, None)
        self._generations.setdefault(number, {})[mark] = origin
        if len(self) > MAX_ENTRIES:
            del self._generations[min(self._generations)]

    def find(self, mark: bytes) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        for generation in self._generations.values():
            origin = generation.get(mark)
            if origin is not None:
                return origin
        return None

    def remaining_s(self, mark: bytes, now: float) -> float:
        """Return the remaining lifetime of a stream, in seconds; 0 if it is not known."""
        for number, generation in self._generations.items():
            if mark in generation:
                return max(0.0, number * GENERATION_S - now)
        return 0.0

    def entries(self, now: float) -> t.Iterator[tuple[bytes, StreamOrigin, float]]:
        """Yield mark, origin and remaining lifetime, in seconds, of all streams."""
        self.forget_expired(now)
        for number, generation in self._generations.items():
            for mark, origin in generation.items():
                yield mark, origin, number * GENERATION_S - now

    def forget_expired(self, now: float) -> None:
        """Drop the generations whose lifetime has ended."""
        for number in [one for one in self._generations if one * GENERATION_S < now]:
            del self._generations[number]


class SoftwareHistory:
    """When replicas of each software version were last seen, by service."""

    __slots__ = ("_seen_at", "_since")

    def __init__(self, now: float) -> None:
        self._since = now
        self._seen_at: dict[str, dict[str, float]] = {}

    def note(self, service: str, software: str, now: float) -> None:
        """Record that a service has a replica of a software version now."""
        self._seen_at.setdefault(service, {})[software] = now

    def versions(self, service: str, now: float) -> set[str]:
        """Return the versions that may have begun a stream that a caller can still resume."""
        return {
            software
            for software, at in self._seen_at.get(service, {}).items()
            if now - at <= MAX_LIFETIME_S
        }

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether several versions may have begun streams that go on."""
        return len(self.versions(service, now)) > 1

    def sole_version(self, service: str, now: float) -> str | None:
        """Return the only version that was seen; None if there were several, or none."""
        versions = self.versions(service, now)
        return next(iter(versions)) if len(versions) == 1 else None

    def is_complete(self, now: float) -> bool:
        """Return whether it covers the longest lifetime of a stream."""
        return now - self._since >= MAX_LIFETIME_S

    def forget_expired(self, now: float) -> None:
        """Drop versions that were last seen too long ago to matter."""
        for service, seen_at in list(self._seen_at.items()):
            for software, at in list(seen_at.items()):
                if now - at > MAX_LIFETIME_S:
                    del seen_at[software]
            if not seen_at:
                del self._seen_at[service]
