"""The parts of one instance that keep requests from ending replicas, put together."""

from __future__ import annotations

import typing as t

from gradelug_coordination import KeyValue, Mirror
from gradelug_http import HttpPool

from .end_detection import EndDetector
from .link import REPLACED_S, PlannerLink
from .model import FleetState
from .poison import BlockAuthority, PoisonGuard
from .poison_desk import PoisonDesk, PoisonReporter
from .poison_record import PoisonRecord


class PoisonControl:
    """Puts the guard, the watch over replicas and the platform's entry together.

    Parameters
    ----------
    kv : KeyValue
        The platform's service.
    mirror : Mirror
        Its copy here.
    pool : HttpPool
        Connections to replicas.
    state : FleetState
        What the platform has told.
    home : callable
        Returns the link to the planner that all instances tell; None if there is none.
    clock : callable
        The runtime's clock.
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
    ) -> None:
        self._coordinator = link
        self._state = state
        self._clock = clock
        self.guard = PoisonGuard(clock, self._authority, self._hurry)
        self.record = PoisonRecord(kv, mirror, clock)
        self.ends = EndDetector(pool, state, clock, self.guard.note_end)

    def look(self) -> None:
        """Follow what the platform tells: what is blocked, and which replicas are gone."""
        if self.record.poll():
            self.guard.stored_findings = self.record.findings
        self.ends.poll()

    def teller(self, service: str) -> PoisonReporter:
        """Return what tells the planner of a service, if that is the one that all are told to."""
        return PoisonReporter(
            self.guard, lambda: self._state.coordinating_service == service, self._clock
        )

    def desk(self, service: str) -> PoisonDesk:
        """Return what a planner of a service here takes that in with."""
        return PoisonDesk(service, self._state, self.record)

    def _authority(self) -> BlockAuthority:
        link = self._coordinator()
        if link is None:
            return BlockAuthority.SELF
        if not link.is_quiet:
            return BlockAuthority.PLANNER
        return BlockAuthority.UNKNOWN if link.missed_s < REPLACED_S else BlockAuthority.SELF

    def _hurry(self) -> None:
        link = self._coordinator()
        if link is not None:
            link.hurry()
