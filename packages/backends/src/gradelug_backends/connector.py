"""Connections of the HTTP client that take no broken response for a whole one.

The client takes any end of a connection for the end of a response without a length. One that was
reset is not complete (RFC 9112, 8). It also takes any three digits for a status code, any number
of informational responses, and whatever comes on an idle connection for the next response.
"""

from __future__ import annotations

import asyncio
import functools
import typing as t

import aiohttp
import logbook
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader
from gradelug_http import MAX_INTERIM_ANSWERS, announces_denied_body, is_final, is_interim

log = logbook.Logger("connector")


class StrictHandler(ResponseHandler):
    """A connection that breaks the response that is being received where it is not valid."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._is_awaited = False
        """Whether the response to a request is due."""
        self._interim_answers = 0
        """Informational responses to the current request."""

    def set_response_params(self, **params: t.Any) -> None:
        """Expect the response to the next request."""
        self._is_awaited = True
        self._interim_answers = 0
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Parse what came, unless it belongs to no request."""
        if data and self._is_idle:
            log.info("bytes on an idle connection", size=len(data))
            self._refuse("bytes came on an idle connection")
            return
        super().data_received(data)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Pass a response on if a request waits for it and its status is valid."""
        message = data[0]
        if not self._is_awaited:
            self._refuse("more than one response came to a request")
            return
        if is_interim(message.code):
            self._interim_answers += 1
            if self._interim_answers > MAX_INTERIM_ANSWERS:
                self._refuse(f"more than {MAX_INTERIM_ANSWERS} informational responses")
                return
        elif not is_final(message.code):
            self._refuse(f"{message.code} is not the status of a final response")
            return
        else:
            self._note_final(message)
        super().feed_data(data, size)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Note the end, by a reset or not."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}"))
        super().connection_lost(exc)

    @property
    def _is_idle(self) -> bool:
        return not self._is_awaited and (self._payload is None or self._payload.is_eof())

    def _note_final(self, message: RawResponseMessage) -> None:
        self._is_awaited = False
        length = message.headers.get("Content-Length")
        raw_length = length.encode() if length is not None else None
        has_coding = "Transfer-Encoding" in message.headers
        if announces_denied_body(message.code, raw_length, has_coding):
            self.force_close()

    def _refuse(self, why: str) -> None:
        """Break the response that is due, if any, and close the connection."""
        self._is_awaited = False
        if self.exception() is None:
            self.set_exception(HttpProcessingError(message=why))
        if self.transport is not None:
            self.transport.close()


def new_connector(**options: t.Any) -> aiohttp.TCPConnector:
    """Return a connector with such connections; `options` are those of the client's own."""
    connector = aiohttp.TCPConnector(**options)
    factory = functools.partial(StrictHandler, loop=asyncio.get_running_loop())
    # The client has no public option for the class of its connections.
    connector._factory = t.cast("functools.partial[ResponseHandler]", factory)
    return connector
