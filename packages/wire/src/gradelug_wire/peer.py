"""Calls to peers, each with a time limit, over one connection per peer."""

from __future__ import annotations

import asyncio
import typing as t

from google.protobuf.message import Message
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from .control_grpc import ControlStub
from .exceptions import PeerUnavailable

CALL_LIMIT_S = 1.0

Req = t.TypeVar("Req", bound=Message, contravariant=True)
Rep = t.TypeVar("Rep", bound=Message, covariant=True)


class UnaryMethod(t.Protocol[Req, Rep]):
    """A stub's method that takes one message and returns one."""

    async def __call__(self, message: Req, *, timeout: float | None = None) -> Rep:
        """Call the peer."""
        ...


class Peers:
    """Connections to peers by address.

    Examples
    --------
    >>> reply = await peers.call(peers.stub("127.0.0.1:7001").AskGrant, ask, limit_s=0.5)
    """

    __slots__ = ("_channels", "calls", "transferred_bytes")

    def __init__(self) -> None:
        self.calls = 0
        self.transferred_bytes = 0
        """Bytes of all messages sent and received by `call`, without their framing."""
        self._channels: dict[str, Channel] = {}

    def stub(self, address: str) -> ControlStub:
        """Return the stub of the peer at ``IP:port``."""
        channel = self._channels.get(address)
        if channel is None:
            host, _, port = address.rpartition(":")
            channel = self._channels[address] = Channel(host.strip("[]"), int(port))
        return ControlStub(channel)

    async def call(
        self, method: UnaryMethod[Req, Rep], message: Req, limit_s: float = CALL_LIMIT_S
    ) -> Rep:
        """Call a peer.

        Raises
        ------
        PeerUnavailable
            If it does not answer within `limit_s` seconds or breaks off.
        """
        self.calls += 1
        self.transferred_bytes += message.ByteSize()
        try:
            # grpclib's own time-out does not cover a connection that hangs while it opens.
            async with asyncio.timeout(limit_s):
                reply = await method(message, timeout=limit_s)
                self.transferred_bytes += reply.ByteSize()
                return reply
        except (GRPCError, ProtocolError, StreamTerminatedError, OSError, TimeoutError) as exc:
            raise PeerUnavailable(f"{type(exc).__name__}: {exc}") from exc

    def forget(self, address: str) -> None:
        """Close the connection to a peer that is gone."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def keep_only(self, addresses: t.Collection[str]) -> None:
        """Close the connections to all peers but these."""
        for address in [address for address in self._channels if address not in addresses]:
            self.forget(address)

    def close(self) -> None:
        """Close every connection."""
        for address in list(self._channels):
            self.forget(address)
