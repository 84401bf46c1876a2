"""Tracks which replicas this instance can connect to directly, for logs, metrics and routing."""

from __future__ import annotations

import asyncio
import typing as t

import logbook
from gradelug_http import Dial, Wire
from gradelug_policy.reachability import PathSummary, ReplicaPaths

from .model import FleetState

log = logbook.Logger("links")
HANG_S = 0.3
"""A connection attempt that is given up after this time or later counts as failed, in seconds;
earlier, the caller of the request left."""


class LinkMonitor:
    """Records which replicas this instance can connect to.

    Parameters
    ----------
    state : FleetState
        Replicas by service.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = ("_clock", "_lost_since", "_state", "paths")

    def __init__(self, state: FleetState, clock: t.Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self.paths = ReplicaPaths()
        self._lost_since: dict[str, float] = {}
        """When this instance lost its links to a service, by service."""

    async def connect(self, dial: Dial, address: str) -> Wire:
        """Open a direct connection to a replica and record the outcome.

        Parameters
        ----------
        dial : callable
            Coroutine function that opens the connection.
        address : str
            ``IP:port`` of the replica.

        Raises
        ------
        OSError
            If the connection cannot be established.
        """
        began_at = self._clock()
        try:
            wire = await dial(address)
        except asyncio.CancelledError:
            if self._clock() - began_at >= HANG_S:
                self._note(address, False, "no response")
            raise
        except OSError as exc:
            self._note(address, False, repr(exc))
            raise
        self._note(address, True)
        return wire

    def summaries(self) -> dict[str, PathSummary]:
        """Return the state of the direct paths to the replicas of each service."""
        addresses: dict[str, list[str]] = {}
        for rep in self._state.replicas.values():
            if not rep.leaving:
                addresses.setdefault(rep.service, []).append(rep.address)
        now = self._clock()
        return {service: self.paths.summary(found, now) for service, found in addresses.items()}

    def count_lost(self) -> dict[str, float]:
        """Return the number of replicas that this instance cannot connect to, by service."""
        return {service: summary.lost for service, summary in self.summaries().items()}

    @property
    def cut_off_count(self) -> int:
        """Number of services to whose replicas this instance has lost its links."""
        return len(self._lost_since)

    def is_cut_off(self, service: str) -> bool:
        """Return whether this instance has lost its links to the replicas of a service."""
        return service in self._lost_since

    def refresh(self) -> None:
        """Drop the paths to removed replicas, and update which services are cut off."""
        self.paths.forget_gone({rep.address for rep in self._state.replicas.values()})
        summaries = self.summaries()
        for service in [service for service in self._lost_since if service not in summaries]:
            del self._lost_since[service]
        for service, summary in summaries.items():
            self._update(service, summary)

    def _note(self, address: str, connected: bool, why: str = "") -> None:
        was_lost = self.paths.is_lost(address)
        self.paths.note_direct(address, connected, self._clock())
        if was_lost == (not connected):
            return
        if connected:
            log.info("replica connected again", address=address)
        else:
            log.info("replica cannot be connected", address=address, why=why)
        self.refresh()

    def _update(self, service: str, summary: PathSummary) -> None:
        since = self._lost_since.get(service)
        if summary.is_mostly_lost and since is None:
            self._lost_since[service] = self._clock()
            log.warning(
                "links to the replicas of a service lost",
                service=service,
                lost=summary.lost,
                tried=summary.tried,
                replicas=summary.known,
            )
        elif since is not None and not summary.is_mostly_lost:
            del self._lost_since[service]
            log.warning(
                "links to the replicas of a service are back",
                service=service,
                after_s=round(self._clock() - since, 2),
                lost=summary.lost,
                replicas=summary.known,
            )
