"""What the running system says of itself."""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import asdict, dataclass, field

from gradelug_backends.keys import LIVE
from gradelug_coordination import KeyValue, RecordReader
from gradelug_coordination.membership import MEMBERS_PREFIX, Member
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb
from gradelug_wire.facts import EngineFact, engine_name


@dataclass(slots=True)
class MemberStatus:
    """A scheduler.

    Parameters
    ----------
    answered : bool
        Whether it answered just now.
    revision : int
        The configuration in force there.
    """

    name: str
    address: str
    hall: str
    leaving: bool
    answered: bool = False
    revision: int = 0


@dataclass(slots=True)
class Status:
    """The system, as far as it answered."""

    revision: int
    members: list[MemberStatus] = field(default_factory=list)
    engines: dict[str, EngineFact] = field(default_factory=dict)

    def to_plain(self) -> dict[str, t.Any]:
        """Return nested dicts and lists."""
        return asdict(self)

    def problems(self) -> list[str]:
        """Return what an operator should look at."""
        found = [f"{m.name} does not answer" for m in self.members if not m.answered]
        found += [
            f"{m.name} is at revision {m.revision}, not {self.revision}"
            for m in self.members
            if m.answered and m.revision != self.revision
        ]
        return found


async def gather_status(kv: KeyValue, revision: int) -> Status:
    """Ask every registered scheduler."""
    listing = await kv.list(f"{LIVE}{MEMBERS_PREFIX}")
    status = Status(revision)
    reader = RecordReader(lambda entry: Member.decode(entry.value, entry.key))
    members = [member for member in map(reader.read, listing.entries) if member is not None]
    status.members = [MemberStatus(m.name, m.address, m.hall, m.leaving) for m in members]
    peers = Peers()
    try:
        await asyncio.gather(*(_ask(peers, member, status) for member in status.members))
    finally:
        peers.close()
    return status


async def _ask(peers: Peers, member: MemberStatus, status: Status) -> None:
    message = pb.Sync(stamp=pb.Stamp(member="gradelug"), reader=True)
    try:
        reply = await peers.call(peers.stub(member.address).Exchange, message)
    except PeerUnavailable:
        return
    member.answered = True
    member.revision = reply.stamp.revision
    for item in reply.facts:
        name = engine_name(item.key)
        if name is not None:
            status.engines.setdefault(name, EngineFact.decode(item.payload))
