"""Decides whether an instance joins a group of which a few members are sufficient.

Each member holds a lease and renews it several times per time to live, and each renewal is a call
to the key-value service. Where any instance can take over from any other, only some instances join;
the others join when the number of members drops.
"""

from __future__ import annotations

import random
import typing as t

MAX_MEMBERS = 9
"""No further instances join a group of this size. The smaller deployments have 6 to 9 instances,
and the group survives the loss of several at once."""
JOIN_JITTER_S = 3.0
"""Weaker instances join after a delay drawn from this range. With 70 of them they are 0.04 s apart
on average, so that each observes the members that joined before it."""
POLL_LEAD_S = 0.1
"""A poll of the service is requested this long before the instance joins; it shows entries
written until then."""


class Candidacy:
    """Decides whether this instance joins.

    Parameters
    ----------
    clock : callable
        The runtime's clock, in seconds.
    rng : random.Random
        Source of jitter.
    join_delay_s : float
        Delay before this instance joins, in seconds; 0 for instances that join immediately.
    max_members : int
        The instance does not join while the group has this many members.
    """

    __slots__ = ("_clock", "_join_at", "_join_delay_s", "_max_members", "_rng", "has_joined")

    def __init__(
        self,
        clock: t.Callable[[], float],
        rng: random.Random,
        join_delay_s: float = 0.0,
        max_members: int = MAX_MEMBERS,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._join_delay_s = join_delay_s
        self._max_members = max_members
        self._join_at: float | None = None
        self.has_joined = False

    def should_join(
        self, member_count: int, is_returning: bool, request_poll: t.Callable[[], None]
    ) -> bool:
        """Return whether this instance is a member; once it has joined, it stays one.

        Parameters
        ----------
        member_count : int
            Number of present members.
        is_returning : bool
            Whether the instance was a member before a restart; the others then leave its resources
            to it.
        request_poll : callable
            Requests a poll of the service, so that `member_count` is current at the next call.
        """
        if self.has_joined or is_returning:
            self.has_joined = True
            return True
        if member_count >= self._max_members:
            self._join_at = None
            return False
        if not self._join_delay_s:
            self.has_joined = True
            return True
        now = self._clock()
        if self._join_at is None:
            self._join_at = now + self._join_delay_s + self._rng.uniform(0.0, JOIN_JITTER_S)
        if now < self._join_at - POLL_LEAD_S:
            return False
        if now < self._join_at:
            request_poll()
            return False
        self.has_joined = True
        return True
