"""The end of the callers' door in a planned stop: no request on its way loses its answer."""

from __future__ import annotations

import asyncio
import typing as t

import logbook

if t.TYPE_CHECKING:
    from .door import Door

log = logbook.Logger("stopping")
IN_FLIGHT_S = 0.3
"""Time for which requests on open connections are still read after the door has stopped listening:
it covers a round trip, and a caller's pause between connecting and sending."""
FLUSH_S = 0.5
"""Longest wait until the last answers are sent."""
POLL_S = 0.02
TURNS = 8
"""Turns of the event loop in which the HTTP library handles what a socket has received, and sends
what answers it."""


async def let_end(door: Door, until: float) -> None:
    """Stop listening, and wait until the requests in progress or on their way have ended.

    Parameters
    ----------
    door : Door
        The door; it closes each connection after its answer.
    until : float
        Time by which this ends, by the event loop's clock.
    """
    clock = asyncio.get_running_loop().time
    await door.stop_listening()
    await _wait(lambda: False, min(until, clock() + IN_FLIGHT_S))
    await _wait(lambda: not door.is_busy, until)


async def end(door: Door) -> int:
    """Close the connections once their answers are sent.

    Requests in progress are cancelled, and half of a request is refused.

    Returns
    -------
    int
        Number of requests that were cancelled.
    """
    clock = asyncio.get_running_loop().time
    await yield_turns()
    cancelled = await door.cancel_requests()
    door.guard.refuse_incomplete()
    await yield_turns()
    await _wait(lambda: not door.has_unsent, clock() + FLUSH_S)
    return cancelled


async def yield_turns() -> None:
    """Let the HTTP library handle what has arrived and what is to be sent."""
    for _ in range(TURNS):
        await asyncio.sleep(0)


async def _wait(is_done: t.Callable[[], bool], until: float) -> None:
    clock = asyncio.get_running_loop().time
    while clock() < until and not is_done():
        await asyncio.sleep(POLL_S)
