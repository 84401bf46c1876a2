"""Assembles the components of one instance that block requests which crash replicas."""

from __future__ import annotations

import typing as t

from gradelug_coordination import KeyValue, Mirror
from gradelug_http import HttpPool

from .end_detection import EndDetector
from .link import FAILOVER_TIMEOUT_S, PlannerLink
from .model import FleetState
from .poison import BlockAuthority, PoisonGuard
from .poison_desk import PoisonAggregator, PoisonReporter
from .poison_record import PoisonRecord


class PoisonControl:
    """Connects the guard, the detector of replica ends and the record in the store.

    Parameters
    ----------
    kv : KeyValue
        The platform's key-value service.
    mirror : Mirror
        Local copy of its entries.
    pool : HttpPool
        Connections to replicas.
    state : FleetState
        Replicas and configuration from the store.
    link : callable
        Returns the link to the planner of the coordinating service, None if there is none.
    clock : callable
        The runtime's clock.
    has_links : callable
        See `EndDetector`.
    """

    __slots__ = ("_clock", "_coordinator", "_state", "ends", "guard", "record")

    def __init__(
        self,
        kv: KeyValue,
        mirror: Mirror,
        pool: HttpPool,
        state: FleetState,
        link: t.Callable[[], PlannerLink | None],
        clock: t.Callable[[], float],
        has_links: t.Callable[[str], t.Awaitable[bool]],
    ) -> None:
        self._coordinator = link
        self._state = state
        self._clock = clock
        self.guard = PoisonGuard(clock, self._authority, self._hurry)
        self.record = PoisonRecord(kv, mirror, clock)
        self.ends = EndDetector(pool, state, clock, self.guard.note_end, has_links)

    def poll(self) -> None:
        """Read the record from the store, and check for replicas that are gone."""
        if self.record.poll():
            self.guard.stored_findings = self.record.findings
        self.ends.poll()

    def reporter(self, service: str) -> PoisonReporter:
        """Return the reporter for the planner of a service; active while that one coordinates."""
        return PoisonReporter(
            self.guard, lambda: self._state.coordinating_service == service, self._clock
        )

    def aggregator(self, service: str) -> PoisonAggregator:
        """Return the aggregator for a planner of a service at this instance."""
        return PoisonAggregator(service, self._state, self.record)

    def _authority(self) -> BlockAuthority:
        link = self._coordinator()
        if link is None:
            return BlockAuthority.SELF
        if not link.is_update_overdue:
            return BlockAuthority.PLANNER
        return (
            BlockAuthority.UNKNOWN
            if link.disconnected_s < FAILOVER_TIMEOUT_S
            else BlockAuthority.SELF
        )

    def _hurry(self) -> None:
        link = self._coordinator()
        if link is not None:
            link.flush_soon()
