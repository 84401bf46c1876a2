"""Interfaces for extensions of the messages between gateways and planners.

Each extension is a module of its own. It is registered with a gateway's link and with the planner,
and both treat its fields as opaque.
"""

from __future__ import annotations

import typing as t

from gradelug_wire import placement_pb2 as pb

from .follower import Follower


class GatewayExtension(t.Protocol):
    """Extension at a gateway, on its link to one planner."""

    def begin_stream(self) -> None:
        """Reset for a new stream: messages sent on the last one may not have arrived."""
        ...

    def fill(self, message: pb.FromGateway) -> None:
        """Add fields to a message for the planner."""
        ...

    def take(self, message: pb.FromPlanner) -> None:
        """Process the fields of a message from the planner."""
        ...


class PlannerExtension(t.Protocol):
    """Extension at a planner, for all connected gateways.

    Its state does not survive the planner: a successor rebuilds it from the gateways' messages.
    """

    def take(self, follower: Follower, message: pb.FromGateway, now: float) -> None:
        """Process the fields of a gateway's message; `now` is the time of the runtime's clock, in
        seconds."""
        ...

    def leave(self, follower: Follower, now: float) -> None:
        """Remove the state of a gateway that disconnected."""
        ...

    def fill(self, news: pb.FromPlanner, now: float) -> None:
        """Add fields to the update for all gateways."""
        ...

    def forget(self, replica: str) -> None:
        """Remove the state of a replica that is gone or was replaced by a new incarnation."""
        ...
