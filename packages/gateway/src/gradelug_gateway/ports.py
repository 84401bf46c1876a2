"""What the daemon needs of a platform; an adapter for one implements these."""

from __future__ import annotations

import typing as t

from gradelug_http import Header, Incoming, OutgoingRequest, ResponseHead
from gradelug_policy.abandoned_runs import EngineRunsReport
from gradelug_policy.replica_limits import LimitWord
from gradelug_policy.rests import RestWord
from gradelug_policy.run_versions import ReportedVersion

from .model import (
    Attempt,
    EngineReport,
    Holding,
    Order,
    OrderOutcome,
    Replica,
    Request,
    Verdict,
)
from .run_moves import MoveReply


class BadRequest(Exception):
    """A request cannot be read; the message says why."""


class OrderTransport(t.Protocol):
    """Gives orders to engines and reads their state."""

    async def order(self, replica: Replica, order: Order) -> OrderOutcome:
        """Give an order."""
        ...

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the engine's state, None if it cannot be had."""
        ...

    def may_order(self, replica: Replica) -> bool:
        """Tell whether an order to an engine can be given now."""
        ...


class RunTransport(t.Protocol):
    """Moves runs from engine to engine."""

    async def move(
        self, source: Replica, request_id: str, target: Replica, last: bool
    ) -> MoveReply:
        """Have a run's memory copied to another engine, and stop the run if it is the last time."""
        ...

    async def ends_in_s(self, replica: Replica) -> float | None:
        """Return how long an engine has until it is gone, in seconds; None if that is not told."""
        ...

    async def word(self, replica: Replica) -> EngineRunsReport | None:
        """Return what an engine says of the requests that it has; None if that is not told."""
        ...

    async def holdings(self, replica: Replica) -> tuple[Holding, ...] | None:
        """Return the weights that an engine holds; None if that is not told."""
        ...

    async def free(self, replica: Replica, handle: str) -> None:
        """Have memory that is kept under a handle given up."""
        ...


class Dialect(t.Protocol):
    """How callers and replicas speak HTTP on a platform."""

    def read_request(self, inc: Incoming) -> Request:
        """Return what a caller asks; raises `BadRequest`."""
        ...

    def outgoing(self, req: Request, attempt: Attempt) -> OutgoingRequest:
        """Return the request as it goes to a replica."""
        ...

    def is_own(self, head: ResponseHead, req: Request) -> bool:
        """Tell whether an answer belongs to the request."""
        ...

    def judge(self, head: ResponseHead, replica: Replica) -> Verdict:
        """Return what an answer's head says."""
        ...

    def limit(self, head: ResponseHead) -> LimitWord:
        """Return what an answer's head says of the requests a second that its replica takes."""
        ...

    def leaves(self, head: ResponseHead) -> bool:
        """Tell whether an answer's head says that its replica leaves."""
        ...

    def rest(self, head: ResponseHead) -> RestWord:
        """Return for how long the replica of an answer asks not to be sent anything."""
        ...

    def weights(self, head: ResponseHead) -> ReportedVersion:
        """Return what an answer's head says of the version of its replica's base model."""
        ...

    def event_weights(self, events: bytes) -> ReportedVersion:
        """Return what whole events say of it; the last one counts, since it may change."""
        ...

    def refusal(
        self, request_id: str, retry_after_s: float | None, wants_key: bool = False
    ) -> list[Header]:
        """Return the headers of an answer of our own, one that asks for a key if so said."""
        ...
