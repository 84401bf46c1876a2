"""The state of one attempt: a request that was sent to a replica over one connection."""

from __future__ import annotations

from enum import Enum

from gradelug_http import Connection, HttpPool, ResponseHead
from gradelug_policy.poison import QUEUED_WEIGHT, STARTED_WEIGHT, STREAMING_WEIGHT
from gradelug_policy.prefill import EngineLoad, RequestWork

from .job import Job
from .model import Replica
from .offers import Offer
from .runs import Run, SuccessorFinder


class Stage(Enum):
    """How far a response has progressed, as far as the gateway can observe it."""

    SENT = "sent"
    """No response yet: the request may be queued or running."""
    BEGUN = "begun"
    """The response head has arrived, but no event."""
    RUNNING = "running"
    """Events of the stream have arrived."""


class Exchange:
    """One attempt of a request over one connection.

    Parameters
    ----------
    job : Job
        The request.
    replica : Replica
        The replica to which it is sent.
    conn : Connection
        The connection over which it is sent.
    work : RequestWork
        Prompt size, urgency and memory that it takes at the replica.
    busyness : EngineLoad
        Load of the replica when the request was sent.
    sent_at : float
        When the request was sent, by the event loop's clock.
    expected_s : float
        Time to the first event as estimated at sending, in seconds.
    """

    __slots__ = (
        "busyness",
        "conn",
        "last_event_at",
        "expected_s",
        "first_at",
        "job",
        "longest_s",
        "offer",
        "pauses",
        "is_acquitted",
        "is_excused",
        "is_released",
        "replica",
        "run",
        "is_running",
        "sent_at",
        "stop_mark",
        "status",
        "successors",
        "work",
    )

    def __init__(
        self,
        job: Job,
        replica: Replica,
        conn: Connection,
        work: RequestWork,
        busyness: EngineLoad,
        sent_at: float,
        expected_s: float,
    ) -> None:
        self.work = work
        self.busyness = busyness
        self.sent_at = sent_at
        self.stop_mark = job.stop_orders.mark()
        """The moment at which it began, among the orders to stop runs of its request."""
        self.expected_s = expected_s
        self.job = job
        self.replica = replica
        self.conn = conn
        self.is_running = False
        self.is_acquitted = False
        """Whether the parts of its prompt were recorded as sound."""
        self.run: Run | None = None
        """The run of this attempt; None if the request's runs cannot be continued."""
        self.successors: SuccessorFinder | None = None
        """Holds what the next attempt needs if this one is abandoned; None to never abandon it."""
        self.offer: Offer | None = None
        """The offer by which it is made; None if no other attempt was in progress then."""
        self.is_excused = False
        """Whether it was abandoned in a silence that is no evidence against its replica."""
        self.is_released = False
        self.status = 0
        """HTTP status of the response; 0 until its head arrives."""
        self.last_event_at = sent_at
        """When the most recent event arrived; the time of sending until there is one."""
        self.first_at = sent_at
        self.pauses = 0
        """Number of pauses between events that exceeded the route's limit."""
        self.longest_s = 0.0

    @property
    def stage(self) -> Stage:
        """Stage that the response has reached."""
        if self.is_running:
            return Stage.RUNNING
        return Stage.BEGUN if self.status else Stage.SENT

    @property
    def is_secondary(self) -> bool:
        """Whether another attempt of its request is kept while this one waits for an answer."""
        return self.offer is not None and self.offer.is_secondary

    @property
    def failure_weight(self) -> float:
        """Evidence that the request is the cause if its replica ends now."""
        if self.is_running:
            return STREAMING_WEIGHT
        # A stream's head is sent when it starts; other responses arrive only once complete.
        return QUEUED_WEIGHT if self.job.route.streaming and not self.status else STARTED_WEIGHT

    def has_run_for(self, duration_s: float, now: float) -> bool:
        """Return whether its first event arrived at least some time ago, in seconds."""
        return self.is_running and now - self.first_at >= duration_s

    def release(self, pool: HttpPool, head: ResponseHead) -> None:
        """Return the connection to the pool after a complete response."""
        pool.release(self.conn, head)
        self.is_released = True
