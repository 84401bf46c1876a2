"""A request on its way through the daemon."""

from __future__ import annotations

import typing as t
from dataclasses import dataclass
from enum import Enum

from gradelug_http import Incoming, ResponseHead
from gradelug_policy.reading import Work

from .fingerprints import fingerprint
from .model import Copy, Repeat, Request, Route, Service
from .organisations import Principal
from .quotas import Charge
from .streams import EventAssembler

DEADLINE_MARGIN_S = 0.012
"""The final answer leaves this long before the caller stops waiting."""


class Outcome(Enum):
    """How one sending ended."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FULL = "full"
    """Not run for want of room."""
    ABSENT = "absent"
    LIMITED = "limited"
    """Not sent: its replica takes no more requests a second, or rests."""
    STALE = "stale"
    """Not sent: its memory is of other weights than its replica's."""
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class Admission:
    """Under which configuration and for whom a request was let in.

    Parameters
    ----------
    config : int
        Version of the configuration.
    principal : Principal or None
        Who sent it, if a key told.
    shows_credentials : bool
        Whether replicas are shown what the caller sent to prove itself.
    """

    config: int = 0
    principal: Principal | None = None
    shows_credentials: bool = False

    @property
    def owner(self) -> str:
        """The organisation whose request it is, empty if nobody's."""
        return self.principal.organisation.name if self.principal is not None else ""

    def rank(self, route: Route) -> int:
        """Return the urgency of a request on a route; its organisation's goes first."""
        if self.principal is None or self.principal.organisation.rank is None:
            return route.rank
        return self.principal.organisation.rank


class Job:
    """A request on its way through the daemon."""

    __slots__ = (
        "absent",
        "absences",
        "was_planner_asked",
        "backup",
        "charge",
        "is_chosen_locally",
        "config",
        "copy",
        "deadline_at",
        "event_at",
        "events",
        "excluded",
        "failure",
        "fingerprint",
        "inc",
        "may_have_run",
        "weights_in_use_at",
        "is_paid",
        "placed_s",
        "principal",
        "rank",
        "req",
        "has_capacity_elsewhere",
        "capacity_retry_s",
        "route",
        "sends",
        "service",
        "shows_credentials",
        "tried",
        "used",
        "work",
    )

    def __init__(
        self,
        inc: Incoming,
        req: Request,
        route: Route,
        service: Service,
        work: Work,
        admission: Admission = Admission(),  # noqa: B008
    ) -> None:
        self.inc = inc
        self.config = admission.config
        self.principal = admission.principal
        self.shows_credentials = admission.shows_credentials
        self.rank = admission.rank(route)
        """Urgency, 0 first."""
        self.charge: Charge | None = None
        """What it counts to its organisation's quota."""
        self.req = req
        self.fingerprint = fingerprint(req, admission.owner)
        """What it has in common with its caller's other attempts."""
        self.route = route
        self.service = service
        wait_s = min(req.wait_s - DEADLINE_MARGIN_S, route.timeout_s)
        self.deadline_at = req.arrived_at + wait_s
        self.events = EventAssembler(req.last_event)
        self.tried: set[str] = set()
        """Replicas to which it was sent."""
        self.excluded: set[str] = set()
        """Replicas that failed it."""
        self.absent = ""
        """The replica that said it lacks the weights, until the planner was told."""
        self.absences = 0
        """How often a replica said so."""
        self.was_planner_asked = False
        """Whether the planner was to be asked for a better replica than those known here."""
        self.is_chosen_locally = False
        """Whether this instance chose its replica by itself, and no planner."""
        self.capacity_retry_s = 0.0
        """When there is room for it at a replica that takes no more now, in seconds."""
        self.has_capacity_elsewhere = False
        """Whether another replica had room then."""
        self.sends = 0
        self.may_have_run = False
        """Whether it may have run without an answer that reached us."""
        self.failure: tuple[ResponseHead, bytes] | None = None
        """A replica's own failure, answered unless another sending does better."""
        self.placed_s = 0.0
        self.work = work
        """What it asks of an engine."""
        self.backup: Copy | None = None
        """Where a copy of its run is kept as it grows."""
        self.copy: Copy | None = None
        """From what its run is to go on."""
        self.weights_in_use_at = ""
        """The engine whose weights stay in use for its memory between two sendings."""
        self.is_paid = False
        """Whether its next sending was taken from the budget already."""
        self.used: Copy | None = None
        """From what its last sending went on."""
        self.event_at = req.arrived_at
        """When its last event came, by the runtime's clock."""

    @property
    def is_unrun(self) -> bool:
        """Whether it has not run, nor can it any more unless it is sent."""
        return not (self.may_have_run or self.failure is not None or self.inc.started)

    def give_back(self) -> None:
        """Return what it was granted, if it has not run."""
        if self.charge is not None and self.is_unrun:
            self.charge.give_back()

    def may_repeat(self) -> bool:
        """Tell whether it may be sent again after it may have run."""
        return self.route.repeat is not Repeat.NEVER

    def candidates(self) -> t.Container[str] | None:
        """Return the replicas to which it may still go; None for any."""
        return self.tried if len(self.tried) >= self.route.max_replicas else None
