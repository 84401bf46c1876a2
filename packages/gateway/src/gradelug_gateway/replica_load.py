"""What runs at a replica, as one instance knows it."""

from __future__ import annotations

from gradelug_policy.reading import URGENCIES, Busyness, add_queues

from .model import ToldLoad

RUNNING_COST = 0.06
"""A running stream slows a new request down by this part of one that waits for its prompt."""


class ReplicaLoad:
    """Requests at a replica."""

    __slots__ = ("memory", "others", "running", "starting", "queued", "told_running")

    def __init__(self) -> None:
        self.memory = 0
        """What those of this instance hold of its memory when they have ended, in tokens."""
        self.starting = 0
        """Sent by this instance, no answer yet."""
        self.running = 0
        """Sent by this instance, answers coming."""
        self.queued = [0] * URGENCIES
        """Tokens of the prompts of those that are starting, by urgency."""
        self.others = ToldLoad()
        """Sent by other instances."""
        self.told_running = 0
        """Running of all instances, as the planner last told."""

    def cost(self) -> float:
        """Return how much is before a new request, in requests."""
        starting = self.starting + self.others.starting
        return starting + RUNNING_COST * (self.running + self.others.running)

    def busyness(self) -> Busyness:
        """Return what the replica does, if it is an engine."""
        running = self.running + self.others.running
        starting = self.starting + self.others.starting
        queued = add_queues([self.queued, self.others.queued])
        return Busyness(queued, running, starting, self.memory + self.others.memory)

    def own(self) -> ToldLoad:
        """Return what this instance has there."""
        return ToldLoad(self.starting, self.running, tuple(self.queued), self.memory)
