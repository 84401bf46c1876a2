"""A service's planner role: election, the planner's lifetime, and the gRPC service for gateways.

Each instance that may plan runs an election for the role. The elected one runs a planner, which
gateways connect to; when it is lost, another instance is elected.
"""

from __future__ import annotations

import asyncio
import math
import random
import typing as t

import logbook
from gradelug_coordination import Backoff, Election
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.placement_grpc import PlacementBase
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from .follower import Follower
from .planner import Planner
from .planning_errors import ErrorScope, PlanningErrors
from .search import PlannerAddress

log = logbook.Logger("placement")
SEND_SPACING_S = 0.005
"""Batching interval of messages to a gateway, in seconds."""
ELECTION_CHECK_INTERVAL_S = 0.05
FAILURE_MEMORY_S = 30.0
"""A planner that fails within this time after the last failure has failed repeatedly."""
MIN_FAILURE_PAUSE_S = 1.0
MAX_FAILURE_PAUSE_S = 16.0
"""Limits of the pause of this instance's candidacy after repeated failures, in seconds: another
instance is elected within about one second."""
GATEWAY_TIMEOUT_S = 2.5
"""Timeout after which a gateway that sends nothing is disconnected and its requests are dropped, in
seconds. A gateway sends a message at least every 0.5 s plus its batching interval (0.9 s at 370
gateways)."""


class PlannerRole:
    """The planner role of one service on this instance, whether or not it is held.

    Parameters
    ----------
    election : Election
        Elects the instance that holds the role.
    make : callable
        Creates a new planner.
    strength : float
        Fitness of this instance to plan: it gives the role up to a fully capable instance (1) if it
        is below that.
    is_cut_off : callable
        Returns whether this instance has lost its links to the engines; it then gives the role up.
    errors : PlanningErrors or None
        Logs and counts errors of planners.
    rng : random.Random or None
        Source of jitter.
    """

    __slots__ = (
        "_backoff",
        "_errors",
        "_failed_at",
        "_is_cut_off",
        "_make_planner",
        "_strength",
        "election",
        "planner",
    )

    def __init__(
        self,
        election: Election,
        make: t.Callable[[], Planner],
        strength: float = 1.0,
        is_cut_off: t.Callable[[], bool] = lambda: False,
        errors: PlanningErrors | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._errors = errors or PlanningErrors()
        self._backoff = Backoff(MIN_FAILURE_PAUSE_S, MAX_FAILURE_PAUSE_S, rng or random.Random())
        self._failed_at = -math.inf
        """Time of the last failure of a planner, by the runtime's clock."""
        self._is_cut_off = is_cut_off
        self.election = election
        self._make_planner = make
        self._strength = strength
        self.planner: Planner | None = None

    def address(self) -> PlannerAddress | None:
        """Return the address of the elected planner, None if there is none."""
        record = self.election.record()
        return PlannerAddress(record.owner, record.address, record.fence) if record else None

    async def resign(self) -> None:
        """Give up the role, and make connected gateways search for a successor at once."""
        await self.election.resign()
        if self.planner is not None:
            self.planner.followers.resign()

    async def run(self) -> None:
        """Take part in the election, and plan while the role is held, until cancelled."""
        election_task = asyncio.create_task(self.election.run())
        try:
            while True:
                if election_task.done():
                    # Raise its error: without an election the role would stay as it is.
                    election_task.result()
                if self.election.fence:
                    try:
                        await self._run_planner(election_task)
                    except Exception as exc:
                        await self._handle_failure(exc)
                await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
        finally:
            election_task.cancel()

    async def _run_planner(self, election_task: asyncio.Task[None]) -> None:
        """Run a planner until the role is lost or an error ends it; raises its error."""
        planner = self.planner = self._make_planner()
        planner_task = asyncio.create_task(planner.run())
        try:
            await self._follow_election(planner, planner_task, election_task)
        finally:
            planner.end_term()
            planner_task.cancel()
            self.planner = None

    async def _follow_election(
        self,
        planner: Planner,
        planner_task: asyncio.Task[None],
        election_task: asyncio.Task[None],
    ) -> None:
        term = _TermKeeper(planner, self.election)
        has_stepped_aside = False
        while self.election.fence and not planner_task.done() and not election_task.done():
            if planner.is_outranked:
                self.election.mark_lost()
                return
            term.update()
            has_stepped_aside = has_stepped_aside or await self._step_aside(planner)
            await asyncio.sleep(ELECTION_CHECK_INTERVAL_S)
        if planner_task.done():
            planner_task.result()
        elif planner.failure is not None:
            raise planner.failure

    async def _step_aside(self, planner: Planner) -> bool:
        """Hand the role over if another instance should plan; tell whether it does."""
        why = self._why_step_aside(planner)
        if not why:
            return False
        log.info("stepping aside", service=planner.service, why=why)
        planner.followers.resign()
        await self.election.step_down()
        return True

    async def _handle_failure(self, exc: Exception) -> None:
        """Plan again at once after a first failure; let another instance plan after further ones.

        A planner that fails each time would otherwise keep the role from an instance on which
        planning may work.
        """
        self._errors.record(ErrorScope.TERM, exc, key=self.election.key)
        now = asyncio.get_running_loop().time()
        is_repeated = now < self._failed_at + FAILURE_MEMORY_S
        self._failed_at = now
        if not is_repeated:
            self._backoff.reset()
            return
        pause_s = self._backoff.next_delay()
        log.info("planning paused", key=self.election.key, pause_s=round(pause_s, 2))
        await self.election.withdraw(pause_s)

    def _why_step_aside(self, planner: Planner) -> str:
        """Return why another instance should plan, empty if there is no reason."""
        if planner.followers.has_stronger(self._strength):
            return "a fully capable instance is connected"
        if self._is_cut_off() and planner.followers.has_linked():
            return "the links to the engines are lost"
        return ""


class _TermKeeper:
    """Begins and ends the terms of a planner as its election allows.

    Parameters
    ----------
    planner : Planner
        The planner.
    election : Election
        Elects the instance that holds the planner's role.
    """

    __slots__ = ("_election", "_fence", "_is_acting", "_planner")

    def __init__(self, planner: Planner, election: Election) -> None:
        self._planner = planner
        self._election = election
        self._fence = election.fence
        self._is_acting = False

    def update(self) -> None:
        """Begin or end a term if what the election allows has changed."""
        if self._election.fence != self._fence:
            # The role was renewed under a new token without being lost in between.
            self._fence, self._is_acting = self._election.fence, False
            self._planner.end_term()
        may_act = self._election.may_act()
        if may_act == self._is_acting:
            return
        self._is_acting = may_act
        if may_act:
            self._planner.begin_term(self._fence)
        else:
            self._planner.end_term()
        log.info("planner", service=self._planner.service, fence=self._fence, acts=may_act)


class PlacementService(PlacementBase):
    """Implements the gRPC service that gateways and peers call.

    Parameters
    ----------
    duties : mapping of str to PlannerRole
        Planner roles by service.
    locate : callable
        Returns the address of a service's planner as known here, or None.
    errors : PlanningErrors or None
        Logs and counts errors in messages of gateways.
    """

    def __init__(
        self,
        duties: t.Mapping[str, PlannerRole],
        locate: t.Callable[[str], PlannerAddress | None],
        errors: PlanningErrors | None = None,
    ) -> None:
        self._errors = errors or PlanningErrors()
        self._duties = duties
        self._locate = locate

    async def Locate(self, stream: t.Any) -> None:  # noqa: N802
        """Return the planner address known to this instance."""
        request = await _receive_message(stream)
        found = self._locate(request.service) if request is not None else None
        reply = pb.Planner()
        if found is not None:
            reply = pb.Planner(owner=found.owner, address=found.address, fence=found.fence)
        await stream.send_message(reply)

    async def Follow(self, stream: t.Any) -> None:  # noqa: N802
        """Exchange messages with a gateway until either side closes the stream."""
        first = await _receive_message(stream)
        if first is None:
            return
        duty = self._duties.get(first.service)
        planner = duty.planner if duty is not None else None
        if planner is None:
            raise GRPCError(Status.UNAVAILABLE, "this instance does not plan for the service")
        gateway = planner.join(first.instance, first.address)
        sender = asyncio.create_task(_send_messages(stream, gateway))
        try:
            planner.take(gateway, first)
            while (message := await _receive_message(stream)) is not None:
                if gateway.is_disconnected or (duty is not None and duty.planner is not planner):
                    return
                planner.take(gateway, message)
        except StreamTerminatedError as exc:
            log.info("gateway disconnected", instance=gateway.instance, why=str(exc))
        except TimeoutError:
            log.info("gateway timed out", instance=gateway.instance, after_s=GATEWAY_TIMEOUT_S)
        except GRPCError:
            raise
        except Exception as exc:
            self._errors.record(ErrorScope.GATEWAY, exc, instance=gateway.instance)
            raise
        finally:
            sender.cancel()
            planner.leave(gateway)


async def _receive_message(stream: t.Any) -> t.Any:
    """Return a peer's next message; raises `TimeoutError` if none arrives in time."""
    try:
        async with asyncio.timeout(GATEWAY_TIMEOUT_S):
            return await stream.recv_message()
    except GRPCError as exc:
        log.warning("message of a peer refused", why=str(exc))
        raise


async def _send_messages(stream: t.Any, gateway: Follower) -> None:
    while True:
        await gateway.wake.wait()
        gateway.wake.clear()
        for message in gateway.take_messages():
            await stream.send_message(message)
        await asyncio.sleep(SEND_SPACING_S)
