"""Interfaces between the daemon and a platform, which the platform's adapter implements."""

from __future__ import annotations

import typing as t

from gradelug_http import Header, Incoming, OutgoingRequest, ResponseHead
from gradelug_policy.abandoned_runs import EngineRunsReport
from gradelug_policy.replica_limits import ReportedLimit
from gradelug_policy.rests import ReportedBackoff
from gradelug_policy.run_versions import ReportedVersion

from .brittleness import ReportedTolerance
from .model import (
    Attempt,
    EngineReport,
    Holding,
    NotRunProof,
    Order,
    OrderOutcome,
    Replica,
    Request,
    Verdict,
)
from .presence import Presence
from .run_moves import MoveReply

MOVE_TIMEOUT_S = 0.25
"""Timeout of a move, in seconds. A copy of 0.5 GB takes 12 ms on a link of 370 Gbit/s, plus the
time for copies queued before it; the stream of a caller may pause for 0.3 s."""


class BadRequest(Exception):
    """A request is malformed; the message gives the reason."""


class OrderTransport(t.Protocol):
    """Sends load and unload orders to engines and reads their state."""

    async def order(self, replica: Replica, order: Order) -> OrderOutcome:
        """Send an order to an engine and return its outcome."""
        ...

    async def report(self, replica: Replica) -> EngineReport | None:
        """Return the state of the engine, None if it cannot be read."""
        ...

    def may_order(self, replica: Replica) -> bool:
        """Return whether an order can be sent to the engine now."""
        ...


class RunTransport(t.Protocol):
    """Moves runs between engines and reads the state of their runs."""

    async def move(
        self,
        source: Replica,
        request_id: str,
        target: Replica,
        last: bool,
        timeout_s: float = MOVE_TIMEOUT_S,
        is_poll: bool = False,
    ) -> MoveReply:
        """Copy the KV cache of a run to another engine.

        Parameters
        ----------
        source, target : Replica
            The engine that has the run, and the one to which it is copied.
        request_id : str
            The request of the run.
        last : bool
            Whether the run is stopped as well.
        timeout_s : float
            Longest wait for the answer, in seconds.
        is_poll : bool
            Whether a connection that has carried other calls may be used. The response may then be
            a copy of one to an earlier call.
        """
        ...

    async def responds(self, replica: Replica) -> bool:
        """Return whether an engine answers a call."""
        ...

    async def check_presence(self, replica: Replica) -> Presence:
        """Return whether an engine answers a call that begins now."""
        ...

    async def remaining_s(self, replica: Replica) -> float | None:
        """Return the time until an engine is removed, in seconds; None if unknown."""
        ...

    async def read_runs(self, replica: Replica, is_poll: bool = False) -> EngineRunsReport | None:
        """Return the runs that an engine reports; None if it does not report them.

        Parameters
        ----------
        replica : Replica
            The engine.
        is_poll : bool
            As in `move`.
        """
        ...

    async def read_holdings(self, replica: Replica) -> tuple[Holding, ...] | None:
        """Return the weights that an engine holds; None if it does not report them."""
        ...

    async def release(self, replica: Replica, handle: str) -> None:
        """Release the copy of a KV cache that an engine keeps under a handle."""
        ...


class Dialect(t.Protocol):
    """Reads and writes the HTTP messages of callers and replicas on a platform."""

    def read_request(self, inc: Incoming) -> Request:
        """Parse a request of a caller; raises `BadRequest`."""
        ...

    def build_request(self, req: Request, attempt: Attempt) -> OutgoingRequest:
        """Build the HTTP request that is sent to a replica."""
        ...

    def is_response_to(self, head: ResponseHead, req: Request) -> bool:
        """Return whether a response belongs to the request."""
        ...

    def classify_response(self, head: ResponseHead, replica: Replica) -> Verdict:
        """Classify a response by its head."""
        ...

    def read_not_run_proof(self, head: ResponseHead) -> NotRunProof:
        """Return what in the head of a response says that the request was not run."""
        ...

    def read_limit(self, head: ResponseHead) -> ReportedLimit:
        """Return the request rate limit in the head of a response, in requests per second."""
        ...

    def read_tolerance(self, head: ResponseHead) -> ReportedTolerance:
        """Return the rejections per second that a brittle replica reports to bear."""
        ...

    def is_leaving(self, head: ResponseHead) -> bool:
        """Return whether the head of a response announces that its replica is leaving."""
        ...

    def read_backoff(self, head: ResponseHead) -> ReportedBackoff:
        """Return the backoff that a response requests for its replica."""
        ...

    def read_version(self, head: ResponseHead) -> ReportedVersion:
        """Return the version of the replica's base model in the head of a response."""
        ...

    def read_event_version(self, events: bytes) -> ReportedVersion:
        """Return the version of the base model in complete events.

        The last one counts, since the version may change during a stream.
        """
        ...

    def error_headers(
        self, request_id: str, retry_after_s: float | None, wants_key: bool = False
    ) -> list[Header]:
        """Return the headers of an error response of the gateway itself.

        Parameters
        ----------
        request_id : str
            Identifier of the request; empty if it has none.
        retry_after_s : float or None
            Time after which the caller may retry, in seconds.
        wants_key : bool
            Whether the response asks the caller for credentials.
        """
        ...
