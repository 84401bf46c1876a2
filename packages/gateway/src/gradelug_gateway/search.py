"""Address of a service's planner, and the search for a new one after its loss.

Used by a gateway that has no connection to a planner: it polls the platform store with growing
intervals and queries its peers.
"""

from __future__ import annotations

import asyncio
import math
import typing as t
from dataclasses import dataclass

import logbook
from gradelug_coordination import is_address
from gradelug_wire import placement_pb2 as pb
from gradelug_wire.bounded import BoundedChannel
from gradelug_wire.placement_grpc import PlacementStub
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

log = logbook.Logger("search")
PLANNER_POLL_INTERVAL_S = 0.1
"""Interval at which a gateway checks for a newer planner, in seconds."""
GATEWAYS_PER_POLL_INTERVAL = 20
"""Number of gateways that may poll the store in each interval during a search: at 0.1 s, 195
gateways would make 1,950 calls a second."""
POLL_BACKOFF_FACTOR = 1.25
MAX_POLL_INTERVAL_UNKNOWN_FLEET_S = 0.5
"""Maximum polling interval while the number of gateways is unknown, in seconds."""
MAX_LOGGED_LENGTH = 200
PEER_TIMEOUT_S = 0.3
"""Timeout of a query to a peer, in seconds; a peer responds within a round trip."""


@dataclass(slots=True, frozen=True)
class PlannerAddress:
    """Address of a service's planner.

    Parameters
    ----------
    owner : str
        Name of the instance that plans.
    address : str
        ``IP:port``.
    fence : int
        Fencing token of the planner.
    """

    owner: str
    address: str
    fence: int


class PlannerSearch:
    """Limits the rate of polls for a new planner; the interval grows with each poll.

    Parameters
    ----------
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = ("_clock", "_due_at", "_interval_s")

    def __init__(self, clock: t.Callable[[], float]) -> None:
        self._clock = clock
        self.found()

    def found(self) -> None:
        """Reset the interval for the next search."""
        self._due_at = -math.inf
        self._interval_s = PLANNER_POLL_INTERVAL_S

    def is_due(self, gateways: int) -> bool:
        """Return whether to poll now, and if so schedule the next poll.

        Parameters
        ----------
        gateways : int
            Number of gateways that search, 0 if unknown.
        """
        now = self._clock()
        if now < self._due_at:
            return False
        max_interval_s = (
            PLANNER_POLL_INTERVAL_S * gateways / GATEWAYS_PER_POLL_INTERVAL
            if gateways
            else MAX_POLL_INTERVAL_UNKNOWN_FLEET_S
        )
        # Allows for polling loops that run slightly early or late.
        self._due_at = now + 0.9 * self._interval_s
        self._interval_s = max(
            PLANNER_POLL_INTERVAL_S, min(max_interval_s, self._interval_s * POLL_BACKOFF_FACTOR)
        )
        return True


async def query_planner_address(address: str, service: str) -> PlannerAddress | None:
    """Query a peer for a service's planner; None if it knows none or does not respond."""
    if not is_address(address):
        log.error("invalid address of a peer", address=ascii(address)[:MAX_LOGGED_LENGTH])
        return None
    host, _, port = address.rpartition(":")
    channel = BoundedChannel(host, int(port))
    try:
        async with asyncio.timeout(PEER_TIMEOUT_S):
            reply = await PlacementStub(channel).Locate(pb.Where(service=service))
    except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
        log.info("peer did not respond", address=address, why=repr(exc))
        return None
    finally:
        channel.close()
    if not reply.address:
        return None
    if not is_address(reply.address):
        reported = ascii(reply.address)[:MAX_LOGGED_LENGTH]
        log.error("peer reported an invalid planner address", peer=address, address=reported)
        return None
    return PlannerAddress(reply.owner, reply.address, reply.fence)
