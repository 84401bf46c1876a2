"""Buckets of the configuration from peers, while the platform's service does not answer."""

from __future__ import annotations

import contextlib
import typing as t

from gradelug_wire import Peers, PeerUnavailable
from gradelug_wire import control_pb2 as pb

FETCH_LIMIT_S = 3.0


class PeerBuckets:
    """Implements `gradelug_coordination.BucketSource`.

    Parameters
    ----------
    peers : Peers
        Connections to other schedulers.
    addresses : callable
        Where they are.
    stamp : callable
        What every message carries.
    """

    __slots__ = ("_addresses", "_peers", "_stamp")

    def __init__(
        self,
        peers: Peers,
        addresses: t.Callable[[], list[str]],
        stamp: t.Callable[[], pb.Stamp],
    ) -> None:
        self._peers = peers
        self._addresses = addresses
        self._stamp = stamp

    async def fetch(self, digests: t.Sequence[str]) -> dict[str, bytes]:
        """Return those of the buckets that some peer holds."""
        found: dict[str, bytes] = {}
        for address in self._addresses():
            missing = [digest for digest in digests if digest not in found]
            if not missing:
                break
            message = pb.Fetch(stamp=self._stamp(), digests=missing)
            stub = self._peers.stub(address)
            with contextlib.suppress(PeerUnavailable):
                reply = await self._peers.call(stub.FetchBuckets, message, FETCH_LIMIT_S)
                found.update(reply.contents)
        return found
