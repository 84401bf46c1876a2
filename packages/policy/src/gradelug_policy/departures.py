"""Keeps track of draining replicas, reported by their responses or by the platform's store.

Load pattern: replicas are drained and replaced one after the other, while the platform's store may
be unavailable, return stale data, or be read by each instance at a different time.
"""

from __future__ import annotations

MAX_INCARNATIONS = 4096
"""Maximum number of stored incarnations: several rollouts of 600 replicas."""


class DrainingReplicas:
    """Stores the incarnations of replicas that are draining.

    An incarnation is a replica's name and start time. A draining one never accepts requests again,
    so later reports do not revert it. The next incarnation under the same name is not affected.
    """

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[tuple[str, int], None] = {}

    def note(self, replica: str, born: int) -> bool:
        """Record that an incarnation is draining; return whether that is new."""
        if self.has(replica, born):
            return False
        self._incarnations[replica, born] = None
        if len(self._incarnations) > MAX_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def has(self, replica: str, born: int) -> bool:
        """Return whether an incarnation is known to be draining."""
        return (replica, born) in self._incarnations
