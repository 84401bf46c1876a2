"""The runtime's clock, and the event loop that runs by it."""

from __future__ import annotations

import asyncio
import time
import typing as t

T = t.TypeVar("T")
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
"""Where there is no clock that goes on while a machine is suspended, the steady one is used."""


def steady_s() -> float:
    """Return seconds since some moment; they go on while the machine is suspended.

    The monotonic clock stands still meanwhile: a lease, a permit or a proof of freshness that
    lapsed for everybody else would hold on for an instance that was away for seconds.
    """
    return time.clock_gettime(_CLOCK)


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers and whose `time` go by `steady_s`.

    What was due while the machine was suspended is due at once when it wakes.
    """

    def time(self) -> float:
        """Return the time by the runtime's clock, in seconds."""
        return steady_s()


def run(main: t.Coroutine[t.Any, t.Any, T]) -> T:
    """Run a daemon by the runtime's clock, and return what it returns."""
    with asyncio.Runner(loop_factory=SteadyLoop) as runner:
        return runner.run(main)
