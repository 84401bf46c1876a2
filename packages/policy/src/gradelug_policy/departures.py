"""Replicas that leave, as reported by their answers or by the platform's store.

Load pattern: replicas are emptied and replaced one after the other, while the platform's store may
be away, show an older state, or be read by each instance at another moment.
"""

from __future__ import annotations

MOST_LIVES = 4096
"""Upper bound of remembered lives: several rollouts of 600 replicas."""


class Departures:
    """Remembers the lives of replicas that leave.

    A life is a replica's name and its start. One that leaves never takes new work again, so
    no later report reverts it. The next life under its name is not affected.
    """

    __slots__ = ("_incarnations",)

    def __init__(self) -> None:
        self._incarnations: dict[tuple[str, int], None] = {}

    def note(self, replica: str, born: int) -> bool:
        """Note that a life leaves; tell whether that is new."""
        if self.has(replica, born):
            return False
        self._incarnations[replica, born] = None
        if len(self._incarnations) > MOST_LIVES:
            del self._incarnations[next(iter(self._incarnations))]
        return True

    def has(self, replica: str, born: int) -> bool:
        """Tell whether a life is known to leave."""
        return (replica, born) in self._incarnations
