"""The state of a request while the gateway serves it, across all of its attempts."""

from __future__ import annotations

import math
import typing as t
from dataclasses import dataclass
from enum import Enum

from gradelug_http import Headers, Incoming, KeptBody, ResponseHead
from gradelug_policy.prefill import RequestWork

from .budgets import RetryBudgets, RetryReservation
from .execution import ExecutionRecord
from .fingerprints import fingerprint, part_fingerprints
from .model import KvCopy, Repeat, Replica, Request, Route, Service
from .organisations import Principal
from .quotas import Charge
from .stop_orders import StopOrders
from .streams import EventAssembler

if t.TYPE_CHECKING:
    from .offers import Offer

DEADLINE_MARGIN_S = 0.012
"""The final answer is sent this long before the caller's deadline."""
LEAVING_S = 0.1
"""A stream that has begun is ended this long after its caller's deadline: the end of the caller's
connection arrives before."""
TIMER_S = 0.001
"""Replicas are told whole milliseconds, and may stop this much earlier."""
MAX_SENDS = 6
"""Maximum number of attempts per request, refused ones that do not count aside."""
MAX_REFUSED_SENDS = 6
"""Maximum number of refused attempts that do not count."""


class Outcome(Enum):
    """The result of one attempt at a replica."""

    DONE = "done"
    NOT_SENT = "not sent"
    NOT_RUN = "not run"
    FULL = "full"
    """Not run: the replica had no capacity."""
    ABSENT = "absent"
    LIMITED = "limited"
    """Not sent: the replica is at its rate limit or in backoff."""
    STALE = "stale"
    """Not sent: the saved KV cache belongs to other weights than the replica has loaded."""
    RAN = "ran"
    UNKNOWN = "unknown"


REFUSALS = frozenset(
    {Outcome.NOT_SENT, Outcome.LIMITED, Outcome.FULL, Outcome.ABSENT, Outcome.NOT_RUN}
)
"""Outcomes of attempts that have certainly not run their request."""


@dataclass(slots=True, frozen=True)
class Admission:
    """The configuration and the principal under which a request was admitted.

    Parameters
    ----------
    config : int
        Version of the configuration.
    principal : Principal or None
        The authenticated sender; None if the request has no known key.
    shows_credentials : bool
        Whether the caller's credentials are forwarded to replicas.
    """

    config: int = 0
    principal: Principal | None = None
    forwards_credentials: bool = False

    @property
    def owner(self) -> str:
        """Name of the organisation that owns the request, empty if there is none."""
        return self.principal.organisation.name if self.principal is not None else ""

    def rank(self, route: Route) -> int:
        """Return a request's urgency: its organisation's rank if set, otherwise the route's."""
        if self.principal is None or self.principal.organisation.rank is None:
            return route.rank
        return self.principal.organisation.rank


class Job:
    """The state of a request while the gateway serves it.

    Parameters
    ----------
    inc : Incoming
        The caller's HTTP request, over which the answer is sent.
    req : Request
        The request as the dialect parsed it.
    route : Route
        The route that matches it.
    service : Service
        The service chosen among the route's shares.
    work : RequestWork
        Prompt size, urgency and memory that it takes at an engine.
    admission : Admission
        Configuration version and principal under which it was admitted.
    """

    __slots__ = (
        "abandoned",
        "absent",
        "absent_count",
        "was_planner_asked",
        "backup",
        "caller_deadline_at",
        "caller_leaves_at",
        "charge",
        "is_chosen_locally",
        "config",
        "copy",
        "deadline_at",
        "declined",
        "refused_sends",
        "ends_by",
        "last_event_at",
        "events",
        "on_begun",
        "excluded",
        "execution",
        "failure",
        "fingerprint",
        "inc",
        "part_fingerprints",
        "weights_in_use_at",
        "retry",
        "spare_retry",
        "offer",
        "placed_s",
        "principal",
        "rank",
        "req",
        "software",
        "has_capacity_elsewhere",
        "capacity_retry_s",
        "route",
        "sends",
        "service",
        "silent_since",
        "stop_orders",
        "forwards_credentials",
        "tried",
        "resumed_copy",
        "work",
    )

    def __init__(
        self,
        inc: Incoming,
        req: Request,
        route: Route,
        service: Service,
        work: RequestWork,
        admission: Admission = Admission(),  # noqa: B008
    ) -> None:
        self.inc = inc
        self.config = admission.config
        self.principal = admission.principal
        self.forwards_credentials = admission.forwards_credentials
        self.rank = admission.rank(route)
        """Urgency; 0 is the most urgent."""
        self.charge: Charge | None = None
        """Tokens charged to its organisation's quota; None if nothing was charged."""
        self.req = req
        self.fingerprint = fingerprint(req, admission.owner)
        """Digest that is the same for all retries of a request by its caller."""
        self.part_fingerprints = part_fingerprints(req)
        """Digests of the parts that its prompt shares with other requests."""
        self.route = route
        self.service = service
        wait_s = min(req.wait_s - DEADLINE_MARGIN_S, route.timeout_s)
        self.caller_deadline_at = req.arrived_at + wait_s
        """The deadline of its caller and its route, by the event loop's clock."""
        self.deadline_at = self.caller_deadline_at
        """When it has to end: earlier than its caller's deadline if this instance shuts down, later
        if its stream has begun."""
        self.caller_leaves_at = req.arrived_at + min(req.wait_s, route.timeout_s)
        """When its caller, or its route, stops waiting."""
        self.ends_by = math.inf
        """When this instance ends all requests because it shuts down."""
        self.on_begun: t.Callable[[Job], None] = lambda job: None
        """Called when its answer begins."""
        self.events = EventAssembler(req.last_event)
        self.tried: set[str] = set()
        """Names of the replicas to which it was sent."""
        self.excluded: set[str] = set()
        """Names of the replicas that failed or refused it."""
        self.abandoned = 0
        """Number of its attempts that ended because their replica was silent."""
        self.absent = ""
        """Name of a replica that lacks the weights, until this is reported to the planner."""
        self.absent_count = 0
        """How often a replica reported that it lacks the weights."""
        self.was_planner_asked = False
        """Whether the planner was already considered for a better replica than the local choice."""
        self.is_chosen_locally = False
        """Whether this instance chose the replica itself instead of the planner."""
        self.capacity_retry_s = 0.0
        """Time until the replica that last denied it has capacity, in seconds."""
        self.has_capacity_elsewhere = False
        """Whether another replica had capacity when it was denied."""
        self.software: str | None = None
        """Software version of the replica that began its stream; None before the first event.
        Events of two versions do not fit together, so the stream may only go on at this one."""
        self.sends = 0
        self.stop_orders = StopOrders()
        """Orders to engines to stop its runs."""
        self.execution = ExecutionRecord()
        """Whether a replica may have run it."""
        self.failure: tuple[ResponseHead, KeptBody] | None = None
        """A replica's error response, forwarded to the caller unless another attempt succeeds. Its
        status does not promise that the request was not run."""
        self.placed_s = 0.0
        self.work = work
        """Prompt size, urgency and memory that it takes at an engine."""
        self.backup: KvCopy | None = None
        """The replicated KV cache of its run, updated while the run is in progress."""
        self.copy: KvCopy | None = None
        """The saved KV cache from which its run is to continue."""
        self.weights_in_use_at = ""
        """Name of the engine whose weights are reserved for its KV cache between two attempts."""
        self.retry: RetryReservation | None = None
        """The retry that is reserved for its next attempt; used once that is sent."""
        self.spare_retry: RetryReservation | None = None
        """The retry that is reserved for the attempt after that one, should it be refused."""
        self.offer: Offer | None = None
        """Its attempt at a successor of the replica of its current attempt."""
        self.silent_since: dict[str, float] = {}
        """When its attempts at silent replicas were abandoned, by the name of the replica."""
        self.declined: dict[str, float] = {}
        """When successors did not take it during the present silence, by name."""
        self.refused_sends = 0
        """Number of its attempts that were refused, have not run it and do not count as sent: it
        would be cut if they did."""
        self.resumed_copy: KvCopy | None = None
        """The saved KV cache from which its last attempt continued."""
        self.last_event_at = req.arrived_at
        """When its last event arrived, by the event loop's clock."""

    @property
    def is_unrun(self) -> bool:
        """Whether it has certainly not run and no attempt is in progress that may run it."""
        return not (self.execution.may_have_run or self.inc.started)

    @property
    def owner(self) -> str:
        """Name of the organisation that owns it, empty if there is none."""
        return self.principal.organisation.name if self.principal is not None else ""

    @property
    def is_cut_short(self) -> bool:
        """Whether it has to end before its caller's deadline."""
        return self.deadline_at < self.caller_deadline_at

    @property
    def run_deadline_at(self) -> float:
        """When the replica that runs it has to stop."""
        if self.route.streaming:
            return min(self.caller_leaves_at, self.ends_by)
        return self.deadline_at

    def is_over(self, now: float) -> bool:
        """Return whether its stream has begun and the time of its replica is over."""
        return self.inc.started and now >= self.run_deadline_at - TIMER_S

    def begin(self, status: int, headers: Headers) -> None:
        """Begin a stream; it may go on until its caller has left.

        Its end sends nothing more: it would only take the caller's last events.
        """
        self.inc.begin(status, headers)
        req, route = self.req, self.route
        latest_at = req.arrived_at + min(req.wait_s + LEAVING_S, route.timeout_s)
        self.deadline_at = max(self.deadline_at, min(latest_at, self.ends_by))
        self.on_begun(self)

    def end_by(self, until: float) -> None:
        """End it by a time of the event loop's clock, whatever its caller's deadline."""
        self.ends_by = min(self.ends_by, until)
        self.deadline_at = min(self.deadline_at, until)

    def keep_failure(self, head: ResponseHead, body: KeptBody) -> None:
        """Keep a replica's error response until the request has ended."""
        self.drop_failure()
        self.failure = (head, body)

    def drop_failure(self) -> None:
        """Release the error response that is kept, if any."""
        if self.failure is not None:
            self.failure[1].release()
            self.failure = None

    def give_back(self) -> None:
        """Refund its quota charge if it has not run."""
        if self.charge is not None and self.is_unrun:
            self.charge.refund()

    def reserve_retry(self, budgets: RetryBudgets, unrun: bool = False) -> bool:
        """Reserve a retry for its next attempt unless it has one; return whether it has one.

        Parameters
        ----------
        budgets : RetryBudgets
            Retry budget of each service.
        unrun : bool
            Whether the request has certainly not run.
        """
        if self.retry is None:
            self.retry = self._take_spare_retry()
        if self.retry is None:
            self.retry = budgets.reserve(self.service.name, unrun, self.inc.started)
        return self.retry is not None

    def reserve_spare_retry(self, budgets: RetryBudgets) -> None:
        """Reserve a retry for the attempt after its next one, unless it has one or none is left."""
        if self.spare_retry is None:
            self.spare_retry = budgets.reserve(self.service.name, begun=self.inc.started)

    def _take_spare_retry(self) -> RetryReservation | None:
        spare, self.spare_retry = self.spare_retry, None
        return spare

    def use_retry(self) -> None:
        """Count the retry that is reserved for an attempt, if any, as sent."""
        if self.retry is not None:
            self.retry.use()
            self.retry = None

    def release_retry(self) -> None:
        """Return the reserved retries, if any, to the budget."""
        if self.retry is not None:
            self.retry.release()
            self.retry = None
        self.release_spare_retry()

    def release_spare_retry(self) -> None:
        """Return the second reserved retry, if any, to the budget."""
        spare = self._take_spare_retry()
        if spare is not None:
            spare.release()

    def withdraw_offer(self) -> None:
        """End its attempt at a successor, if there is one."""
        if self.offer is not None:
            self.offer.withdraw()
            self.offer = None

    @property
    def has_sends_left(self) -> bool:
        """Whether it may be sent once more."""
        return self.sends - min(self.refused_sends, MAX_REFUSED_SENDS) < MAX_SENDS

    def take_retry(self) -> RetryReservation | None:
        """Return the reserved retry, if any, which its next attempt does not hold any more."""
        retry, self.retry = self.retry, self._take_spare_retry()
        return retry

    def accepts(self, replica: Replica) -> bool:
        """Return whether a replica has the software version that began the stream, if any did."""
        return self.software is None or replica.software == self.software

    def may_repeat(self) -> bool:
        """Return whether the route allows a retry after the request may have run."""
        return self.route.repeat is not Repeat.NEVER

    def candidates(self) -> set[str] | None:
        """Return the names of the replicas to which it may still be sent; None for any."""
        return self.tried if len(self.tried) >= self.route.max_replicas else None
