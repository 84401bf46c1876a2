"""Checks whether the process of a replica outlived the close of a connection."""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_http import ConnectFailed, ConnectRefused, HttpPool

from .fleet import Fleet
from .model import Replica
from .ports import RunTransport
from .presence import Presence

log = logbook.Logger("presence")
CONNECT_TIMEOUT_S = 0.35
"""An ended process refuses connections within a round trip; a lost packet is not waited for."""
LISTENER_END_S = 0.05
"""The listener of a process that ends may accept connections for some ms after its connections were
closed. A connection that is accepted later shows that the process is there."""
HOLD_S = 0.02
"""Time for which a connection that is accepted earlier must stay open: it is reset with its
listener."""
CHECK_INTERVAL_S = 0.05
"""Pause before a replica that gave no sign is checked again."""


class PresenceCheck:
    """Tells whether replicas are there after a connection to them was closed.

    Parameters
    ----------
    fleet : Fleet
        Which services have engines.
    calls : RunTransport or None
        Calls engines; None where they cannot be called.
    pool : HttpPool
        Connections to replicas.
    clock : callable
        The runtime's clock.
    """

    __slots__ = ("_calls", "_clock", "_fleet", "_pool")

    def __init__(
        self,
        fleet: Fleet,
        calls: RunTransport | None,
        pool: HttpPool,
        clock: t.Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._calls = calls
        self._pool = pool
        self._clock = clock

    async def wait(self, replica: Replica, closed_at: float, useful_s: float) -> Presence:
        """Check a replica until it gives a sign.

        Parameters
        ----------
        replica : Replica
            The replica.
        closed_at : float
            When the connection to it was closed, by the runtime's clock.
        useful_s : float
            How long a sign is of use, in seconds from now.
        """
        until = self._clock() + useful_s
        while True:
            presence = await self._check(replica, closed_at)
            if presence is not Presence.UNKNOWN or self._clock() + CHECK_INTERVAL_S >= until:
                return presence
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self, replica: Replica, closed_at: float) -> Presence:
        presence = Presence.UNKNOWN
        if self._calls is not None and self._fleet.state.has_engines(replica.service):
            presence = await self._calls.check_presence(replica)
        if presence is Presence.UNKNOWN:
            presence = await self._connect(replica, closed_at)
        return presence

    async def _connect(self, replica: Replica, closed_at: float) -> Presence:
        """Open a connection to a replica, and keep it for the next request."""
        is_late = self._clock() - closed_at >= LISTENER_END_S
        try:
            conn = await self._pool.open(replica.address, CONNECT_TIMEOUT_S)
        except ConnectRefused:
            return Presence.ENDED
        except ConnectFailed as exc:
            log.info("replica not connected", replica=replica.name, why=str(exc))
            return Presence.UNKNOWN
        if is_late:
            self._pool.keep(conn)
            return Presence.PRESENT
        await asyncio.sleep(HOLD_S)
        is_open = conn.is_fit(self._clock())
        self._pool.keep(conn)
        return Presence.PRESENT if is_open else Presence.UNKNOWN
