"""Whether a replica responds, by what it has sent lately or by a call to it."""

from __future__ import annotations

import asyncio
import math
import typing as t

from .fleet import Fleet
from .model import Replica
from .ports import RunTransport
from .silences import RECENT_ACTIVITY_S, SilenceTracker


class LivenessCheck:
    """Tells whether replicas respond.

    All requests that ask for the same replica share one call.

    Parameters
    ----------
    fleet : Fleet
        When data was received from each replica last.
    silences : SilenceTracker
        Which replicas owe data.
    transport : RunTransport or None
        Calls engines; None where no replica can be called.
    clock : callable
        Returns the event loop's time, in seconds.
    """

    __slots__ = ("_answered_at", "_calls", "_clock", "_fleet", "_silences", "_transport")

    def __init__(
        self,
        fleet: Fleet,
        silences: SilenceTracker,
        transport: RunTransport | None,
        clock: t.Callable[[], float],
    ) -> None:
        self._fleet = fleet
        self._silences = silences
        self._transport = transport
        self._clock = clock
        self._calls: dict[str, asyncio.Task[bool]] = {}
        """Calls in progress, by the name of the replica."""
        self._answered_at: dict[str, float] = {}
        """When each replica answered a call last. An answer shows that the replica responds, not
        that it sends data for requests."""

    async def responds(self, replica: Replica) -> bool:
        """Return whether a replica sent data lately or answers a call.

        A replica that cannot be called counts as responsive unless it has owed data for
        `RECENT_ACTIVITY_S`.
        """
        if self._clock() - self.active_at(replica.name) < RECENT_ACTIVITY_S:
            return True
        if self._transport is None or not self._fleet.state.has_engines(replica.service):
            return self._silences.silent_s(replica.name) < RECENT_ACTIVITY_S
        return await self.answers(replica)

    def active_at(self, replica: str) -> float:
        """Return when a replica last sent data or answered a call, by the event loop's clock."""
        return max(
            self._fleet.health(replica).last_received_at,
            self._answered_at.get(replica, -math.inf),
        )

    async def answers(self, replica: Replica) -> bool:
        """Return whether an engine answers a call now."""
        if self._transport is None:
            return False
        call = self._calls.get(replica.name)
        if call is None:
            call = self._calls[replica.name] = asyncio.create_task(self._call(replica))
            call.add_done_callback(lambda _: self._calls.pop(replica.name, None))
        return await asyncio.shield(call)

    async def _call(self, replica: Replica) -> bool:
        assert self._transport is not None
        if not await self._transport.responds(replica):
            return False
        self._answered_at[replica.name] = self._clock()
        return True

    def forget_removed(self, known: t.Container[str]) -> None:
        """Drop the records of removed replicas."""
        for name in [name for name in self._answered_at if name not in known]:
            del self._answered_at[name]
