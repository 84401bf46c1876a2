"""Tracks which replicas this instance can connect to directly, for logs, metrics and routing."""

from __future__ import annotations

import asyncio
import math
import typing as t

import logbook
from gradelug_http import Dial, Wire
from gradelug_policy.reachability import PathSummary, PeerOutcome, ReplicaPaths

from .model import FleetState

log = logbook.Logger("links")
HANG_S = 0.1
"""A connection attempt that is given up after this time or later counts as failed, in seconds: a
connection takes a few milliseconds."""


class LinkMonitor:
    """Records which replicas this instance can connect to.

    Parameters
    ----------
    state : FleetState
        Replicas by service.
    clock : callable
        Returns the time of the runtime's clock, in seconds.
    """

    __slots__ = (
        "_clock",
        "_cut_off",
        "_cut_off_since",
        "_lost_since",
        "_refused",
        "_state",
        "on_bypass",
        "paths",
    )

    def __init__(self, state: FleetState, clock: t.Callable[[], float]) -> None:
        self._state = state
        self._clock = clock
        self.paths = ReplicaPaths()
        self._lost_since: dict[str, float] = {}
        """When this instance lost its links to a service, by service."""
        self._refused: set[str] = set()
        """Addresses that refused the last direct connection."""
        self._cut_off: frozenset[str] = frozenset()
        self._cut_off_since = math.inf
        """Since when this instance has been cut off from some service, by the runtime's clock."""
        self.on_bypass: t.Callable[[str], None] = lambda address: None
        """Called with the address of a replica that peers reach and this instance does not."""

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
                self.note(address, TimeoutError("no response"))
            raise
        except OSError as exc:
            self.note(address, exc)
            raise
        self.note(address, None)
        return wire

    def was_refused(self, address: str) -> bool:
        """Return whether an address refused the last direct connection."""
        return address in self._refused

    def note(self, address: str, exc: Exception | None) -> None:
        """Record the outcome of a direct connection attempt.

        Parameters
        ----------
        address : str
            ``IP:port`` of the replica.
        exc : Exception or None
            Why the connection failed; None if it was established.
        """
        connected = exc is None
        was_lost, was_bypassed = self.paths.is_lost(address), self.paths.is_bypassed(address)
        self.paths.note_direct(address, connected, self._clock())
        if isinstance(exc, ConnectionRefusedError):
            self._refused.add(address)
        else:
            self._refused.discard(address)
        if was_lost == (not connected):
            return
        if connected:
            log.info("replica connected again", address=address)
        else:
            log.info("replica cannot be connected", address=address, why=repr(exc))
        self._note_bypass(address, was_bypassed)
        self.refresh()

    def note_peer(self, address: str, outcome: PeerOutcome) -> None:
        """Record the outcome of a peer's attempt to connect to a replica."""
        was_bypassed = self.paths.is_bypassed(address)
        self.paths.note_peer(address, outcome, self._clock())
        if self.paths.is_bypassed(address) != was_bypassed:
            self._note_bypass(address, was_bypassed)
            self.refresh()

    def take_due_probes(self, max_count: int) -> list[str]:
        """Return the addresses of replicas to be probed directly now, at most `max_count`."""
        found: list[str] = []
        if self.paths.has_lost:
            now = self._clock()
            for addresses in self._addresses().values():
                found += self.paths.take_due_probes(addresses, now, max_count - len(found))
        return found

    def others(self, address: str) -> tuple[list[str], list[str]]:
        """Return the addresses of the other replicas of a replica's service, and of all others."""
        same_service: list[str] = []
        elsewhere: list[str] = []
        for addresses in self._addresses().values():
            found = same_service if address in addresses else elsewhere
            found.extend(other for other in addresses if other != address)
        return same_service, elsewhere

    def _addresses(self) -> dict[str, list[str]]:
        found: dict[str, list[str]] = {}
        for rep in self._state.replicas.values():
            if not rep.leaving:
                found.setdefault(rep.service, []).append(rep.address)
        return found

    def summaries(self) -> dict[str, PathSummary]:
        """Return the state of the direct paths to the replicas of each service."""
        now = self._clock()
        return {
            service: self.paths.summary(addresses, now)
            for service, addresses in self._addresses().items()
        }

    def count_lost(self) -> dict[str, float]:
        """Return the number of replicas that this instance cannot connect to, by service."""
        return {service: summary.lost for service, summary in self.summaries().items()}

    def has_been_cut_off(self, duration_s: float) -> bool:
        """Return whether this instance has been cut off from a service for some time."""
        return self._clock() - self._cut_off_since >= duration_s

    @property
    def cut_off(self) -> frozenset[str]:
        """Services whose replicas peers reach while this instance has lost its links to them."""
        return self._cut_off

    def refresh(self) -> None:
        """Drop the paths to removed replicas, and update which services are cut off."""
        self.paths.forget_gone({rep.address for rep in self._state.replicas.values()})
        summaries = self.summaries()
        for service in [service for service in self._lost_since if service not in summaries]:
            del self._lost_since[service]
        for service, summary in summaries.items():
            self._update(service, summary)
        self._cut_off = frozenset(
            service for service, summary in summaries.items() if summary.is_cut_off
        )
        if not self._cut_off:
            self._cut_off_since = math.inf
        elif math.isinf(self._cut_off_since):
            self._cut_off_since = self._clock()

    def _note_bypass(self, address: str, was_bypassed: bool) -> None:
        if self.paths.is_bypassed(address) and not was_bypassed:
            log.info("replica reached through a peer", address=address)
            self.on_bypass(address)

    def _update(self, service: str, summary: PathSummary) -> None:
        since = self._lost_since.get(service)
        if summary.is_mostly_lost and since is None:
            self._lost_since[service] = self._clock()
            log.warning(
                "links to the replicas of a service lost",
                service=service,
                lost=summary.lost,
                tried=summary.tried,
                through_peers=summary.bypassed,
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
