"""Parts of what a gateway and a planner tell each other, each a module of its own.

A part is registered with the link at the gateway and with the planner; neither knows what it says.
"""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .followers import Follower


class GatewayPart(t.Protocol):
    """A part's end at a gateway, on its link to one planner."""

    def begin_stream(self) -> None:
        """Note that another stream begins: what was said on the last one may not have arrived."""
        ...

    def fill(self, message: pb.FromGateway) -> None:
        """Put what is to be told into a message."""
        ...

    def take(self, message: pb.FromPlanner) -> None:
        """Take over what the planner tells."""
        ...


class PlannerPart(t.Protocol):
    """A part's end at a planner, for all gateways that follow it.

    Nothing of it outlives the planner: its successor learns anew from what gateways tell.
    """

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Take over what a gateway tells, `now` by the runtime's clock."""
        ...

    def leave(self, follower: Follower, now: float) -> None:
        """Note that a gateway is not heard of any more."""
        ...

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Put what all gateways are to be told into the news."""
        ...

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone or has begun another life."""
        ...
