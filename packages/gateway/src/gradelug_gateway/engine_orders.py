"""Orders to load or unload weights on engines, their outcomes, and the planner's term."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .replicas import AdapterKey


class OrderOutcome(Enum):
    """Outcome of an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    """The engine is already in the requested state."""
    CONFLICT = "conflict"
    """Another order is in progress, or the number of accepted orders is not the expected one."""
    OUTRANKED = "outranked"
    """The engine has seen a greater fencing token."""
    REFUSED = "refused"
    """The engine cannot execute the order."""
    GONE = "gone"
    """Another replica has the address, or it is unreachable: the order was not executed."""
    LOST = "lost"
    """No response: the order may have been executed, may be executed later, or not at all."""
    NOT_GIVEN = "not given"
    """No instance may send orders to the engine now, so none was sent."""


class PlannerTerm:
    """Period during which a planner may send orders under one fencing token.

    Parameters
    ----------
    fence : int
        Fencing token of the term; never 0.
    """

    __slots__ = ("fence", "has_ended")

    def __init__(self, fence: int) -> None:
        self.fence = fence
        self.has_ended = False


@dataclass(slots=True, frozen=True)
class Order:
    """An order to an engine.

    Parameters
    ----------
    load : bool
        Whether to load the weights; otherwise they are unloaded.
    key : AdapterKey
        Model and adapter.
    version : int
        Version of the weights; 0 for the newest.
    expected : int
        Number of orders that the engine must have accepted before this one.
    owner : str
        Name of the instance that sends the order.
    fence : int
        Fencing token of the owner.
    """

    load: bool
    key: AdapterKey
    version: int
    expected: int
    owner: str
    fence: int
