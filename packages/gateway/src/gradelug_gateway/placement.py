"""Being a service's planner: elected, reached by the other instances, replaced when lost."""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_coordination import Election
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.placement_grpc import PlacementBase
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .followers import Follower
from .planner import Planner
from .search import PlannerAddress

log = logbook.Logger("placement")
SEND_SPACING_S = 0.005
"""What is to be told within this time goes out together."""
LOOK_S = 0.05
GATEWAY_TIMEOUT_S = 2.5
"""A gateway says something every 0.5 s and the gathering of its news (0.9 s with 370 gateways); of
one that says nothing for so long the stream has fallen silent. What it ran is forgotten."""


class Duty:
    """The duty of planning for one service, held or not.

    Parameters
    ----------
    election : Election
        Decides who holds it.
    make : callable
        Makes a fresh planner.
    strength : float
        How well this instance can plan: a weak one lets a strong one have the duty.
    """

    __slots__ = ("_make_planner", "_strength", "election", "planner")

    def __init__(
        self, election: Election, make: t.Callable[[], Planner], strength: float = 1.0
    ) -> None:
        self.election = election
        self._make_planner = make
        self._strength = strength
        self.planner: Planner | None = None

    def address(self) -> PlannerAddress | None:
        """Return where the planner is."""
        record = self.election.record()
        return PlannerAddress(record.owner, record.address, record.fence) if record else None

    async def resign(self) -> None:
        """Give the duty up; its gateways look for a successor at once."""
        await self.election.resign()
        if self.planner is not None:
            self.planner.followers.resign()

    async def run(self) -> None:
        """Stand for the duty and plan while it is held, until cancelled."""
        standing = asyncio.create_task(self.election.run())
        try:
            while True:
                if self.election.fence:
                    await self._run_planner()
                await asyncio.sleep(LOOK_S)
        finally:
            standing.cancel()

    async def _run_planner(self) -> None:
        fence = self.election.fence
        planner = self.planner = self._make_planner()
        planning = asyncio.create_task(planner.run())
        acted = has_stepped_aside = False
        try:
            while self.election.fence and not planning.done():
                if self.election.fence != fence:
                    # It was entered again, and not lost in between.
                    fence, acted = self.election.fence, False
                    planner.end_term()
                if planner.is_outranked:
                    self.election.lose()
                    return
                may_act = self.election.may_act()
                if may_act != acted:
                    acted = may_act
                    if may_act:
                        planner.begin_term(fence)
                    else:
                        planner.end_term()
                    log.info("planner", service=planner.service, fence=fence, acts=may_act)
                if not has_stepped_aside and planner.followers.has_stronger(self._strength):
                    has_stepped_aside = True
                    log.info("a stronger instance is to plan", service=planner.service)
                    planner.followers.resign()
                    await self.election.step_aside()
                await asyncio.sleep(LOOK_S)
        finally:
            planner.end_term()
            planning.cancel()
            self.planner = None
            if planning.done() and not planning.cancelled() and planning.exception() is not None:
                log.error("planner failed", service=planner.service, why=repr(planning.exception()))


class PlacementService(PlacementBase):
    """Serves the streams of gateways.

    Parameters
    ----------
    duties : mapping of str to Duty
        By service.
    locate : callable
        Returns the planner of a service that this instance knows of, or None.
    """

    def __init__(
        self,
        duties: t.Mapping[str, Duty],
        locate: t.Callable[[str], PlannerAddress | None],
    ) -> None:
        self._duties = duties
        self._locate = locate

    async def Locate(self, stream: t.Any) -> None:  # noqa: N802
        """Tell a peer which planner this instance knows of."""
        where = await stream.recv_message()
        found = self._locate(where.service) if where is not None else None
        reply = pb.Planner()
        if found is not None:
            reply = pb.Planner(owner=found.owner, address=found.address, fence=found.fence)
        await stream.send_message(reply)

    async def Follow(self, stream: t.Any) -> None:  # noqa: N802
        """Exchange messages with a gateway until either end leaves."""
        first = await stream.recv_message()
        if first is None:
            return
        duty = self._duties.get(first.service)
        planner = duty.planner if duty is not None else None
        if planner is None:
            raise GRPCError(Status.UNAVAILABLE, "this instance does not plan for the service")
        gateway = planner.join(first.instance, first.address)
        telling = asyncio.create_task(_send_messages(stream, gateway))
        try:
            planner.take(gateway, first)
            while (message := await _receive_message(stream)) is not None:
                if gateway.is_gone or (duty is not None and duty.planner is not planner):
                    return
                planner.take(gateway, message)
        except StreamTerminatedError as exc:
            log.info("gateway left", instance=gateway.instance, why=str(exc))
        except TimeoutError:
            log.info("gateway silent", instance=gateway.instance, after_s=GATEWAY_TIMEOUT_S)
        except Exception as exc:
            log.error("a gateway's stream failed", instance=gateway.instance, why=repr(exc))
            raise
        finally:
            telling.cancel()
            planner.leave(gateway)


async def _receive_message(stream: t.Any) -> pb.FromGateway | None:
    """Return a gateway's next message; raises `TimeoutError` if it falls silent."""
    async with asyncio.timeout(GATEWAY_TIMEOUT_S):
        return t.cast("pb.FromGateway | None", await stream.recv_message())


async def _send_messages(stream: t.Any, gateway: Follower) -> None:
    while True:
        await gateway.wake.wait()
        gateway.wake.clear()
        for message in gateway.take_messages():
            await stream.send_message(message)
        await asyncio.sleep(SEND_SPACING_S)
