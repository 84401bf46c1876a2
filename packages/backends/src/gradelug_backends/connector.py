"""Connections of the HTTP client that keep a reset apart from a close.

The client takes any end of a connection for the end of a response without a length. One that was
reset is not complete (RFC 9112, 8).
"""

from __future__ import annotations

import asyncio
import functools
import typing as t

import aiohttp
from aiohttp.client_proto import ResponseHandler


class ResetAwareHandler(ResponseHandler):
    """A connection whose reset breaks the response that is being received."""

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end, by a reset or not."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}"))
        super().connection_lost(exc)


def new_connector(**options: t.Any) -> aiohttp.TCPConnector:
    """Return a connector with such connections; `options` are those of the client's own."""
    connector = aiohttp.TCPConnector(**options)
    factory = functools.partial(ResetAwareHandler, loop=asyncio.get_running_loop())
    # The client has no public option for the class of its connections.
    connector._factory = t.cast("functools.partial[ResponseHandler]", factory)
    return connector
