"""What an owner has promised: credits handed out, requests running, and when a key is free.

A grant lets its holder start some requests on a resource under a key until a moment. The book
answers one question above all: may what the key stands for be taken away now? In doubt: no.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

CLOCK_MARGIN_S = 0.25
"""Added to a grant's end before it counts as over: two clocks drift, and a request takes a
moment from its last look at the clock to the resource."""


@dataclass(slots=True)
class Holding:
    """What one holder has under one key.

    Parameters
    ----------
    grant : int
        Number of its latest grant.
    valid_until : float
        End of the latest of its grants, by the owner's clock, in seconds.
    unspent : int
        Credits not yet used, as far as the owner knows.
    running : int
        Requests running, by the holder's last account.
    """

    grant: int
    valid_until: float
    unspent: int = 0
    running: int = 0


@dataclass(slots=True, frozen=True)
class Account:
    """A holder's own account of what it has under a key.

    Parameters
    ----------
    holder, key : str
        Whose, and of what.
    grant : int
        The latest grant it has received.
    unspent, running : int
        Credits left and requests running.
    closed : bool
        It has dropped its credits, every request has ended, and it will start none without
        a new grant.
    """

    holder: str
    key: str
    grant: int
    unspent: int = 0
    running: int = 0
    closed: bool = False


@dataclass(slots=True, frozen=True)
class Observation:
    """What the resource itself says of a key.

    Parameters
    ----------
    taken_at : float
        Moment, by the owner's clock, before which the snapshot cannot have been taken: when
        the report was asked for, less the age it states.
    running : int
        Requests running or waiting under the key.
    """

    taken_at: float
    running: int


class GrantBook:
    """Grants of one resource.

    Parameters
    ----------
    taken_at : float
        When this owner took the resource, by its clock, in seconds.
    longest_s : float
        Longest validity that any owner gives a grant. What former owners granted is unknown
        here, but over by ``taken_at + longest_s``.
    first : int
        Number of the first grant. Greater than any number of a former owner's, so that an
        account of what that one granted is not taken for one of ours.
    """

    __slots__ = ("_cleared", "_holdings", "_next_grant", "_predecessors_over")

    def __init__(self, taken_at: float, longest_s: float, first: int = 1) -> None:
        self._predecessors_over = taken_at + longest_s + CLOCK_MARGIN_S
        self._cleared: set[str] = set()
        self._holdings: dict[str, dict[str, Holding]] = {}
        self._next_grant = first

    def set_predecessors_over(self, at: float) -> None:
        """State anew from when on no grant of a former owner can be valid."""
        self._predecessors_over = at + CLOCK_MARGIN_S
        self._cleared.clear()

    def doubt_s(self, now: float) -> float:
        """Return how much longer grants of former owners may be valid, in seconds."""
        return max(0.0, self._predecessors_over - now)

    def issue(self, holder: str, key: str, credits_: int, valid_until: float) -> int:
        """Record credits handed to a holder and return the grant's number."""
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

    def account(self, account: Account, now: float) -> None:
        """Take in a holder's account.

        One written before the holder received its latest grant says nothing of that grant:
        it neither closes the holding nor takes credits off it.
        """
        by_holder = self._holdings.setdefault(account.key, {})
        holding = by_holder.get(account.holder)
        if holding is None:
            if not account.closed and (account.unspent or account.running):
                # Granted by a former owner; its requests run on and must not be cut.
                by_holder[account.holder] = Holding(
                    account.grant, max(now, self._predecessors_over), running=account.running
                )
        elif holding.grant > account.grant:
            holding.running = account.running
        elif account.closed:
            del by_holder[account.holder]
        else:
            holding.unspent, holding.running = account.unspent, account.running
        if not by_holder:
            del self._holdings[account.key]

    def observe(self, key: str, seen: Observation) -> None:
        """Take in what the resource says of a key.

        If nothing ran under it after every grant of a silent holder was over, nothing can be
        running now, whatever became of the holder.
        """
        if seen.running:
            return
        if seen.taken_at >= self._predecessors_over:
            self._cleared.add(key)
        by_holder = self._holdings.get(key, {})
        for holder, holding in list(by_holder.items()):
            if seen.taken_at > holding.valid_until + CLOCK_MARGIN_S:
                del by_holder[holder]
        if not by_holder:
            self._holdings.pop(key, None)

    def is_free(self, key: str) -> bool:
        """Tell whether nothing runs or can start under a key without a new grant."""
        return key in self._cleared and key not in self._holdings

    def note_created(self, key: str, now: float) -> None:
        """Note that this owner itself has just brought in what the key stands for."""
        if now >= self._predecessors_over:
            self._cleared.add(key)

    def keys(self) -> list[str]:
        """Return the keys under which something is held."""
        return list(self._holdings)

    def load(self, now: float) -> int:
        """Return the requests running or about to, over all keys."""
        return sum(self.load_of(key, now) for key in self._holdings)

    def load_of(self, key: str, now: float) -> int:
        """Return the requests running or about to under a key."""
        return sum(
            holding.running + (holding.unspent if now <= holding.valid_until else 0)
            for holding in self._holdings.get(key, {}).values()
        )

    def holders(self, key: str) -> t.Iterator[str]:
        """Yield who holds anything under a key."""
        yield from self._holdings.get(key, {})
