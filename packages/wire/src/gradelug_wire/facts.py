"""What schedulers tell each other, and routers, about members and engines."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

from gradelug_coordination import Record

ENGINE = "engine/"
MEMBER = "member/"


@dataclass(slots=True, frozen=True)
class EngineFact:
    """An engine, as its owner sees it.

    Parameters
    ----------
    owner, address : str
        The owner's name and ``IP:port``.
    resident, loading : list of str
        Adapters in its slots and on their way there.
    evictable : int
        Resident adapters that nobody uses.
    coldest : float
        Weighted requests per second for the least wanted of them.
    load : int
        Requests running or about to.
    waiting : int
        Requests waiting at the owner.
    leaving : bool
        Whether it takes no new work.
    """

    owner: str
    address: str
    resident: list[str] = field(default_factory=list)
    loading: list[str] = field(default_factory=list)
    evictable: int = 0
    coldest: float = 0.0
    load: int = 0
    waiting: int = 0
    leaving: bool = False

    def encode(self) -> bytes:
        """Return the fact's payload."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, payload: bytes) -> EngineFact:
        """Read a payload; raises `InvalidRecord`."""
        record = Record("engine fact", payload)
        return cls(
            record.text("owner"),
            record.address("address"),
            record.texts("resident", []),
            record.texts("loading", []),
            record.integer("evictable", 0),
            record.number("coldest", 0.0),
            record.integer("load", 0),
            record.integer("waiting", 0),
            record.flag("leaving"),
        )


@dataclass(slots=True, frozen=True)
class MemberFact:
    """A scheduler, as it describes itself.

    Parameters
    ----------
    address, hall : str
        Where it is.
    leaving : bool
        Whether it is stopping.
    leaving_upstreams : list of str
        ``IP:port`` of the upstreams it has seen leaving in the instance list.
    routers : list of str
        ``IP:port`` of the routers that read from it.
    """

    address: str
    hall: str
    leaving: bool = False
    leaving_upstreams: list[str] = field(default_factory=list)
    routers: list[str] = field(default_factory=list)

    def encode(self) -> bytes:
        """Return the fact's payload."""
        return json.dumps(asdict(self), separators=(",", ":")).encode()

    @classmethod
    def decode(cls, payload: bytes) -> MemberFact:
        """Read a payload; raises `InvalidRecord`."""
        record = Record("member fact", payload)
        return cls(
            record.address("address"),
            record.text("hall", ""),
            record.flag("leaving"),
            record.texts("leaving_upstreams", []),
            record.texts("routers", []),
        )


def engine_name(key: str) -> str | None:
    """Return the engine that a fact's key is about, or None."""
    return key.removeprefix(ENGINE) if key.startswith(ENGINE) else None


def member_name(key: str) -> str | None:
    """Return the member that a fact's key is about, or None."""
    return key.removeprefix(MEMBER) if key.startswith(MEMBER) else None
