"""The load of a replica, as known to one instance."""

from __future__ import annotations

from gradelug_policy.prefill import URGENCY_LEVELS, EngineLoad, add_queues

from .model import ReportedLoad

RUNNING_REQUEST_COST = 0.06
"""Cost of a running stream to a new request, relative to a request in prefill."""


class ReplicaLoad:
    """Counts of requests at a replica: those of this instance and those reported by others."""

    __slots__ = ("memory", "others", "running", "starting", "queued", "reported_running")

    def __init__(self) -> None:
        self.memory = 0
        """Memory that requests of this instance will occupy when they complete, in tokens."""
        self.starting = 0
        """Requests sent by this instance that have no response yet."""
        self.running = 0
        """Requests sent by this instance whose response is being received."""
        self.queued = [0] * URGENCY_LEVELS
        """Prompt tokens of the starting requests, by urgency."""
        self.others = ReportedLoad()
        """Load from other instances."""
        self.reported_running = 0
        """Running requests of all instances, as last reported by the planner."""

    def cost(self) -> float:
        """Return the load ahead of a new request, in starting requests."""
        starting = self.starting + self.others.starting
        return starting + RUNNING_REQUEST_COST * (self.running + self.others.running)

    def busyness(self) -> EngineLoad:
        """Return the load in the form that estimates of waiting times take."""
        running = self.running + self.others.running
        starting = self.starting + self.others.starting
        queued = add_queues([self.queued, self.others.queued])
        return EngineLoad(queued, running, starting, self.memory + self.others.memory)

    def own(self) -> ReportedLoad:
        """Return the load from this instance."""
        return ReportedLoad(self.starting, self.running, tuple(self.queued), self.memory)
