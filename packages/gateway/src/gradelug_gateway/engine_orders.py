"""Orders to engines, and what these say to them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .replicas import AdapterKey


class OrderOutcome(Enum):
    """What an engine said to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    """It is so already."""
    CONFLICT = "conflict"
    """Another is under way, or the number of orders taken differs."""
    OUTRANKED = "outranked"
    """A greater fencing token has been seen."""
    REFUSED = "refused"
    """The engine cannot do it."""
    GONE = "gone"
    """Another replica has the address, or it cannot be reached: not done."""
    LOST = "lost"
    """No answer: done, not done, or done later."""
    NOT_GIVEN = "not given"
    """Nobody may order the engine now, so nothing was sent."""


class Term:
    """The time during which a planner may order, under one token.

    Parameters
    ----------
    fence : int
        Its fencing token; never 0.
    """

    __slots__ = ("fence", "is_over")

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.is_over = False


@dataclass(slots=True, frozen=True)
class Order:
    """An order to an engine.

    Parameters
    ----------
    load : bool
        Load if set, otherwise unload.
    key : AdapterKey
        What.
    version : int
        At which version; 0 for the newest.
    expected : int
        How many orders the engine must have taken before.
    owner : str
        Who orders.
    fence : int
        The owner's fencing token.
    """

    load: bool
    key: AdapterKey
    version: int
    expected: int
    owner: str
    fence: int
