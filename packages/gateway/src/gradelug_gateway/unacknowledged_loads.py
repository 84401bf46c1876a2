"""Load orders without an answer, which may still take effect on a later process of their engine.

A planner records them by engine name, since the engine may have restarted, or left and returned,
by the time the order takes effect or its answer is given up.
"""

from __future__ import annotations

import typing as t
from dataclasses import dataclass

if t.TYPE_CHECKING:
    from .engines import Engine

UNACKNOWLEDGED_LOAD_TTL_S = 15.0
"""An order without an answer may take effect up to 12 s later, and may then reach a process that
has restarted under the engine's name."""


@dataclass(slots=True, frozen=True)
class _UnacknowledgedLoad:
    """A load order without an answer.

    Parameters
    ----------
    engine : Engine
        Record of the engine for which the order was decided.
    expected : int
        Number of orders that the engine must have accepted for it to take effect.
    until : float
        Time until which it may take effect, by the runtime's clock.
    """

    engine: Engine
    expected: int
    until: float


class UnacknowledgedLoads:
    """The unacknowledged loads of one planner's engines."""

    __slots__ = ("_by_name",)

    def __init__(self) -> None:
        self._by_name: dict[str, list[_UnacknowledgedLoad]] = {}

    def note(self, engine: Engine, expected: int, now: float) -> None:
        """Record a load order without an answer that had `expected` orders before it."""
        load = _UnacknowledgedLoad(engine, expected, now + UNACKNOWLEDGED_LOAD_TTL_S)
        self._by_name.setdefault(engine.replica.name, []).append(load)

    def count_inherited(self, engine: Engine) -> int:
        """Return how many loads ordered from earlier records of an engine it may still execute.

        An engine with more orders than a load expects rejects it. Loads ordered from the current
        record need no slot: the next order carries the same number, so that one of the two fails.
        """
        return sum(
            load.engine is not engine and load.expected >= engine.orders
            for load in self._by_name.get(engine.replica.name, ())
        )

    def drop_expired(self, now: float) -> None:
        """Remove the loads that cannot take effect any more."""
        for name, loads in list(self._by_name.items()):
            pending = [load for load in loads if load.until > now]
            if pending:
                self._by_name[name] = pending
            else:
                del self._by_name[name]
