"""gRPC servers and channels that bound the messages which they receive.

grpclib collects a message of any length that its sender states.
"""

from __future__ import annotations

import asyncio
import contextlib
import typing as t

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError
from grpclib.protocol import Connection, EventsProcessor, H2Protocol, Stream
from grpclib.server import Server

MAX_MESSAGE_BYTES = 8_388_608
"""Largest message that is received."""
MAX_RECEIVING_BYTES = 16_777_216
"""Bytes of all larger messages that are being received at a time in this process."""
SMALL_MESSAGE_BYTES = 65_536
"""Messages up to this size are received whatever the others take."""


class _MessageBudget:
    """Bytes of the messages that are being received."""

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held = 0

    @contextlib.contextmanager
    def hold(self, size: int) -> t.Iterator[None]:
        """Count a message while it is received; raises `GRPCError` if it does not fit."""
        if size > MAX_MESSAGE_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"a message of {size} bytes exceeds {MAX_MESSAGE_BYTES} bytes",
            )
        if size > SMALL_MESSAGE_BYTES and self._held + size > MAX_RECEIVING_BYTES:
            raise GRPCError(
                Status.RESOURCE_EXHAUSTED,
                f"a message of {size} bytes does not fit beside {self._held} bytes of others",
            )
        self._held += size
        try:
            yield
        finally:
            self._held -= size


_budget = _MessageBudget()


class _BoundedStream(Stream):
    async def recv_data(self, size: int) -> bytes:
        with _budget.hold(size):
            return await super().recv_data(size)


class _BoundedConnection(Connection):
    def create_stream(self, *, stream_id: int | None = None, wrapper: t.Any = None) -> Stream:
        return _BoundedStream(
            self, self._connection, self._transport, stream_id=stream_id, wrapper=wrapper
        )


class _BoundedProtocol(H2Protocol):
    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.connection = _BoundedConnection(
            self.connection._connection, t.cast(asyncio.Transport, transport), config=self.config
        )
        self.processor = EventsProcessor(self.handler, self.connection)


class BoundedServer(Server):
    """A server that refuses messages over the bounds with `Status.RESOURCE_EXHAUSTED`."""

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _BoundedProtocol(plain.handler, plain.config, plain.h2_config)


class BoundedChannel(Channel):
    """A channel whose calls raise `GRPCError` for messages over the bounds."""

    def _protocol_factory(self) -> H2Protocol:
        plain = super()._protocol_factory()
        return _BoundedProtocol(plain.handler, plain.config, plain.h2_config)
