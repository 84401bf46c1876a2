"""Permits to use the weight store, for the engines that this instance owns."""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from gradelug_coordination import Membership, Ownership
from gradelug_policy.permits import PermitRequest
from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb

from .store import RESOURCE, StoreDesk

PERMIT_WAIT_S = 5.0


class StoreAccess:
    """Gets permits from the store's owner, or keeps to a share while there is none.

    Parameters
    ----------
    membership, ownership
        Who takes part, and who owns the store.
    peers : Peers
        Connections to other schedulers.
    stamp : callable
        What every message carries.
    limits : callable
        The store's loads per second and loads at once, by the configuration in force.
    clock : callable
        The runtime's clock.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_membership",
        "_ownership",
        "_peers",
        "_share",
        "_stamp",
        "desk",
    )

    def __init__(
        self,
        membership: Membership,
        ownership: Ownership,
        peers: Peers,
        stamp: t.Callable[[], pb.Stamp],
        limits: t.Callable[[], tuple[float, int]],
        clock: t.Callable[[], float],
    ) -> None:
        self._membership = membership
        self._ownership = ownership
        self._peers = peers
        self._stamp = stamp
        self._limits = limits
        self._clock = clock
        self._share: StoreDesk | None = None
        self.desk: StoreDesk | None = None
        """The desk itself, while this instance owns the store."""

    def refresh(self) -> None:
        """Open or close the desk as the store is held, with the limits in force."""
        if RESOURCE not in self._ownership.held:
            self.desk = None
        elif self.desk is None:
            self.desk = StoreDesk(*self._limits(), self._clock)
        else:
            self.desk.limit(*self._limits())

    async def acquire(self, engine: str, key: str, urgency: float) -> Permit:
        """Return a permit once there is one."""
        request = PermitRequest(self._membership.local_member.name, engine, key, urgency)
        while True:
            if self.desk is not None:
                number = await self.desk.acquire(request, PERMIT_WAIT_S)
                permit = Permit(number, self.desk) if number else None
            else:
                permit = await self._ask_owner(request)
            if permit is not None:
                return permit

    async def end(self, permit: Permit) -> None:
        """Give a permit back to the desk it came from."""
        if isinstance(permit.desk, StoreDesk):
            permit.desk.end(permit.number)
            return
        message = pb.PermitDone(stamp=self._stamp(), number=permit.number)
        # A permit that is not given back lapses.
        with contextlib.suppress(PeerUnavailable):
            await self._peers.call(self._peers.stub(permit.desk).EndPermit, message)

    async def _ask_owner(self, request: PermitRequest) -> Permit | None:
        owner = self._ownership.records().get(RESOURCE)
        member = self._membership.all().get(owner.owner) if owner else None
        if member is None or member.name == self._membership.local_member.name:
            return await self._take_share(request)
        message = pb.PermitAsk(
            stamp=self._stamp(),
            engine=request.engine,
            adapter=request.key,
            urgency=request.urgency,
            wait_ms=int(PERMIT_WAIT_S * 1000),
        )
        stub = self._peers.stub(member.address)
        try:
            reply = await self._peers.call(stub.AskPermit, message, PERMIT_WAIT_S + 1)
        except PeerUnavailable:
            return await self._take_share(request)
        if reply.granted:
            return Permit(reply.number, member.address)
        await asyncio.sleep(reply.retry_after_ms / 1000)
        return None

    async def _take_share(self, request: PermitRequest) -> Permit | None:
        members = max(1, len(self._membership.active()))
        rate, parallel = self._limits()
        share_rate, share_parallel = rate / members, max(1, parallel // members)
        if self._share is None:
            self._share = StoreDesk(share_rate, share_parallel, self._clock)
        self._share.limit(share_rate, share_parallel)
        number = await self._share.acquire(request, PERMIT_WAIT_S)
        return Permit(number, self._share) if number else None


class Permit:
    """A permit, and the desk that takes it back: one of ours, or another's ``IP:port``."""

    __slots__ = ("desk", "number")

    def __init__(self, number: int, desk: StoreDesk | str) -> None:
        self.number = number
        self.desk = desk
