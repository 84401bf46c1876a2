"""Calls that wait until what has already arrived was read."""

from __future__ import annotations

import asyncio
import typing as t


def call_after_poll(callback: t.Callable[[], None]) -> None:
    """Call back once the loop has looked at its sockets and handled what they had received.

    The loop polls between two turns; what it finds is handled in the second one, and the callback
    runs in the third.
    """
    loop = asyncio.get_running_loop()
    loop.call_soon(loop.call_soon, callback)
