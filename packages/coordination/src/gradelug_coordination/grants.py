"""Tracks an owner's grants: unused credits, running requests, and which keys are idle.

A grant allows its holder to start a number of requests on a resource under a key until a given
time. The owner uses `GrantTracker` to decide whether the object behind a key, such as a loaded
model, may be removed; while that is uncertain, the key does not count as idle.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

CLOCK_MARGIN_S = 0.25
"""Added to the end of a grant before it counts as expired: clocks drift, and some time passes
between a holder's last check of the clock and the arrival of its request at the resource."""


@dataclass(slots=True)
class Holding:
    """Credits and requests of one holder under one key.

    Parameters
    ----------
    grant : int
        Number of the holder's latest grant.
    valid_until : float
        End of the latest of its grants, by the owner's clock, in seconds.
    unspent : int
        Unused credits, as far as the owner knows.
    running : int
        Running requests, according to the holder's last report.
    """

    grant: int
    valid_until: float
    unspent: int = 0
    running: int = 0


@dataclass(slots=True, frozen=True)
class HolderReport:
    """A holder's report of its credits and requests under a key.

    Parameters
    ----------
    holder, key : str
        The holder that reports, and the key to which the report applies.
    grant : int
        Number of the latest grant that the holder has received.
    unspent, running : int
        Unused credits and running requests.
    closed : bool
        Whether the holder has discarded its credits, all its requests have ended, and it starts no
        others without a new grant.
    """

    holder: str
    key: str
    grant: int
    unspent: int = 0
    running: int = 0
    closed: bool = False


@dataclass(slots=True, frozen=True)
class Observation:
    """A report of the resource itself about a key.

    Parameters
    ----------
    taken_at : float
        Earliest time at which the snapshot can have been taken, by the owner's clock, in seconds:
        the time of the request for the report minus the age that the report states.
    running : int
        Requests running or queued under the key.
    """

    taken_at: float
    running: int


class GrantTracker:
    """Records the grants of one resource.

    Parameters
    ----------
    taken_at : float
        When this owner acquired the resource, by its clock, in seconds.
    max_validity_s : float
        Longest validity of a grant of any owner, in seconds. Grants of former owners are not
        recorded here, but have expired by ``taken_at + max_validity_s``.
    first_grant : int
        Number of the first grant. It must exceed all numbers of former owners, so that a report
        about one of their grants is not applied to a grant of this owner.
    """

    __slots__ = ("_confirmed_free", "_holdings", "_next_grant", "_predecessors_expire_at")

    def __init__(self, taken_at: float, max_validity_s: float, first_grant: int = 1) -> None:
        self._predecessors_expire_at = taken_at + max_validity_s + CLOCK_MARGIN_S
        self._confirmed_free: set[str] = set()
        self._holdings: dict[str, dict[str, Holding]] = {}
        self._next_grant = first_grant

    def set_predecessors_expiry(self, at: float) -> None:
        """Set the time from which no grant of a former owner can be valid."""
        self._predecessors_expire_at = at + CLOCK_MARGIN_S
        self._confirmed_free.clear()

    def predecessors_remaining_s(self, now: float) -> float:
        """Return how much longer grants of former owners may be valid, in seconds."""
        return max(0.0, self._predecessors_expire_at - now)

    def issue(self, holder: str, key: str, credits_: int, valid_until: float) -> int:
        """Record credits granted to a holder and return the number of the grant."""
        number = self._next_grant
        self._next_grant += 1
        by_holder = self._holdings.setdefault(key, {})
        holding = by_holder.get(holder)
        if holding is None:
            by_holder[holder] = Holding(number, valid_until, credits_)
            return number
        holding.grant = number
        holding.unspent += credits_
        holding.valid_until = max(holding.valid_until, valid_until)
        return number

    def apply_report(self, account: HolderReport, now: float) -> None:
        """Apply a holder's report.

        A report that was written before the holder received its latest grant neither closes the
        holding nor reduces its credits.
        """
        by_holder = self._holdings.setdefault(account.key, {})
        holding = by_holder.get(account.holder)
        if holding is None:
            if not account.closed and (account.unspent or account.running):
                # Granted by a former owner; its requests are running and must not be aborted.
                by_holder[account.holder] = Holding(
                    account.grant, max(now, self._predecessors_expire_at), running=account.running
                )
        elif holding.grant > account.grant:
            holding.running = account.running
        elif account.closed:
            del by_holder[account.holder]
        else:
            holding.unspent, holding.running = account.unspent, account.running
        if not by_holder:
            del self._holdings[account.key]

    def apply_observation(self, key: str, observation: Observation) -> None:
        """Apply a report of the resource about a key.

        If no request was running under the key after all grants of an unresponsive holder had
        expired, none can be running later, whatever the state of the holder.
        """
        if observation.running:
            return
        if observation.taken_at >= self._predecessors_expire_at:
            self._confirmed_free.add(key)
        by_holder = self._holdings.get(key, {})
        for holder, holding in list(by_holder.items()):
            if observation.taken_at > holding.valid_until + CLOCK_MARGIN_S:
                del by_holder[holder]
        if not by_holder:
            self._holdings.pop(key, None)

    def is_free(self, key: str) -> bool:
        """Return whether no request is running or can start under a key without a new grant."""
        return key in self._confirmed_free and key not in self._holdings

    def note_created(self, key: str, now: float) -> None:
        """Record that this owner has just created the object behind a key."""
        if now >= self._predecessors_expire_at:
            self._confirmed_free.add(key)

    def keys(self) -> list[str]:
        """Return the keys under which there are holdings."""
        return list(self._holdings)

    def load(self, now: float) -> int:
        """Return the number of running requests and valid unused credits over all keys."""
        return sum(self.load_of(key, now) for key in self._holdings)

    def load_of(self, key: str, now: float) -> int:
        """Return the number of running requests and valid unused credits under a key."""
        return sum(
            holding.running + (holding.unspent if now <= holding.valid_until else 0)
            for holding in self._holdings.get(key, {}).values()
        )

    def holders(self, key: str) -> t.Iterator[str]:
        """Yield the names of the holders under a key."""
        yield from self._holdings.get(key, {})
