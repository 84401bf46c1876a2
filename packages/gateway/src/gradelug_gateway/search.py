"""Where a service's planner is, and how one that is missed is looked for."""

from __future__ import annotations

import asyncio
import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.placement_grpc import PlacementStub
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

log = logbook.Logger("search")
LOOK_S = 0.1
"""How often it is looked whether there is a newer planner than the one that is followed."""
GATEWAYS_PER_POLL_INTERVAL = 20
"""While a planner is missed, so many gateways look at the store as often as one would: each 0.1 s,
195 of them are 1,950 calls a second."""
POLL_BACKOFF_FACTOR = 1.25
MAX_POLL_INTERVAL_UNKNOWN_FLEET_S = 0.5
"""While it is not known how many gateways there are, looks are at most this far apart."""
PEER_TIMEOUT_S = 0.3
"""A peer that knows answers in a round trip."""


@dataclass(slots=True, frozen=True)
class PlannerAddress:
    """Where a service's planner is.

    Parameters
    ----------
    owner : str
        Name of its instance.
    address : str
        ``IP:port``.
    fence : int
        Its fencing token.
    """

    owner: str
    address: str
    fence: int


class Search:
    """Paces the looks for a planner that is missed: each pause is longer than the one before.

    Parameters
    ----------
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_clock", "_due_at", "_interval_s")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self.found()

    def found(self) -> None:
        """Begin anew with the next search."""
        self._due_at = -math.inf
        self._interval_s = LOOK_S

    def is_due(self, gateways: int) -> bool:
        """Tell whether to look now; the next look is due after a pause.

        Parameters
        ----------
        gateways : int
            Instances that search, 0 if unknown.
        """
        now = self._clock()
        if now < self._due_at:
            return False
        most_s = (
            LOOK_S * gateways / GATEWAYS_PER_POLL_INTERVAL
            if gateways
            else MAX_POLL_INTERVAL_UNKNOWN_FLEET_S
        )
        # The loops that look are a little early or late.
        self._due_at = now + 0.9 * self._interval_s
        self._interval_s = max(LOOK_S, min(most_s, self._interval_s * POLL_BACKOFF_FACTOR))
        return True


async def ask_where(address: str, service: str) -> PlannerAddress | None:
    """Return the planner that a peer knows of, None if it cannot tell."""
    host, _, port = address.rpartition(":")
    channel = Channel(host, int(port))
    try:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            reply = await PlacementStub(channel).Locate(pb.Where(service=service))
    except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
        log.info("a peer does not answer", address=address, why=repr(exc))
        return None
    finally:
        channel.close()
    if not reply.address:
        return None
    return PlannerAddress(reply.owner, reply.address, reply.fence)
