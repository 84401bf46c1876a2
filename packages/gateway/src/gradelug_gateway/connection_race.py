"""Opens a connection by the first of several paths that succeeds (as in RFC 8305, section 5)."""

from __future__ import annotations

import asyncio
import typing as t

from gradelug_http import HttpError, Wire

ATTEMPT_DELAY_S = 0.1
"""Time after which the next path is tried too, in seconds. A connection takes a few milliseconds;
a peer that cannot connect either reports this within its own timeout."""

FAILURES = (OSError, HttpError)
Attempt = t.Callable[[], t.Awaitable[Wire]]
"""Opens a connection by one path; raises an exception if that fails."""


async def connect_first(attempts: t.Sequence[Attempt]) -> Wire | None:
    """Start attempts one after the other until one succeeds.

    The next attempt starts when the last one has failed, or after `ATTEMPT_DELAY_S`. Attempts that
    are still in progress when another one succeeds are cancelled.

    Parameters
    ----------
    attempts : sequence of callable
        The attempts in order of preference. One fails by an `OSError` or `HttpError`.

    Returns
    -------
    Wire or None
        The connection, None if all attempts failed.
    """
    waiting = list(attempts)
    running: set[asyncio.Future[Wire]] = set()
    connected: list[Wire] = []
    try:
        while waiting or running:
            if waiting:
                running.add(asyncio.ensure_future(waiting.pop(0)()))
            timeout_s = ATTEMPT_DELAY_S if waiting else None
            done, running = await asyncio.wait(
                running, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
            )
            connected.extend(fut.result() for fut in done if not _has_failed(fut))
            if connected:
                return connected.pop(0)
        return None
    finally:
        for fut in running:
            fut.add_done_callback(_close_late)
            fut.cancel()
        for wire in connected:
            _abort(wire)


def _has_failed(fut: asyncio.Future[Wire]) -> bool:
    exc = fut.exception()
    if exc is not None and not isinstance(exc, FAILURES):
        raise exc
    return exc is not None


def _close_late(fut: asyncio.Future[Wire]) -> None:
    if not fut.cancelled() and fut.exception() is None:
        _abort(fut.result())


def _abort(wire: Wire) -> None:
    if wire.transport is not None:
        wire.transport.abort()
