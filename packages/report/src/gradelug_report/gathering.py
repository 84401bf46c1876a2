"""Asking every router for its windows."""

from __future__ import annotations

import asyncio
import typing as t
from dataclasses import dataclass, field

import aiohttp
from gradelug_backends import new_connector
from gradelug_backends.keys import LIVE
from gradelug_coordination import KeyValue, RecordReader
from gradelug_coordination.membership import MEMBERS_PREFIX, Member
from gradelug_objectives import Joined
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb
from gradelug_wire.facts import MemberFact, member_name

WINDOWS = "/-/windows"
LIMIT_S = 3.0


@dataclass(slots=True)
class Gathered:
    """What the routers told.

    Parameters
    ----------
    now : float
        Wall-clock time of the latest answer, in seconds.
    since : dict of str to float
        Start of each router that answered; its window reaches back no further.
    silent : dict of str to str
        Routers that did not answer, with the reason.
    objectives : dict of str to Joined
        Joined windows by objective.
    """

    now: float = 0.0
    since: dict[str, float] = field(default_factory=dict)
    silent: dict[str, str] = field(default_factory=dict)
    objectives: dict[str, Joined] = field(default_factory=dict)


async def find_routers(kv: KeyValue) -> list[str]:
    """Return the addresses of the routers that the schedulers have heard from."""
    listing = await kv.list(f"{LIVE}{MEMBERS_PREFIX}")
    reader = RecordReader(lambda entry: Member.decode(entry.value, entry.key))
    members = [member for member in map(reader.read, listing.entries) if member is not None]
    peers = Peers()
    found: set[str] = set()
    try:
        for member in members:
            message = pb.Sync(stamp=pb.Stamp(member="gradelug-report"), reader=True)
            try:
                reply = await peers.call(peers.stub(member.address).Exchange, message)
            except PeerUnavailable:
                continue
            for item in reply.facts:
                if member_name(item.key) is not None:
                    found.update(MemberFact.decode(item.payload).routers)
    finally:
        peers.close()
    return sorted(found)


async def gather(routers: t.Iterable[str], token: str) -> Gathered:
    """Ask every router, at once, each within `LIMIT_S` seconds."""
    gathered = Gathered()
    limits = aiohttp.ClientTimeout(total=LIMIT_S)
    headers = {"Authorization": f"Bearer {token}"}
    async with aiohttp.ClientSession(
        connector=new_connector(), timeout=limits, headers=headers
    ) as session:
        await asyncio.gather(*(_ask(session, router, gathered) for router in routers))
    return gathered


async def _ask(session: aiohttp.ClientSession, router: str, gathered: Gathered) -> None:
    try:
        async with session.get(f"http://{router}{WINDOWS}") as res:
            data = await res.json(content_type=None)
            if res.status != 200:
                gathered.silent[router] = data["error"]["message"]
                return
    except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as exc:
        gathered.silent[router] = type(exc).__name__
        return
    gathered.now = max(gathered.now, data["now"])
    gathered.since[data["router"]] = data["since"]
    for name, plain in data["objectives"].items():
        gathered.objectives.setdefault(name, Joined()).add(plain)
